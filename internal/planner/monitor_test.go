package planner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rainpulley/internal/view"
)

func TestMonitor(t *testing.T) {
	start := time.UnixMilli(5000)
	ok := HealthCheck{Answered: true, BootID: "one", Started: start}
	monitor := NewMonitor(2, 100)
	monitor.Add(view.Box{ID: "a"})
	monitor.Add(view.Box{ID: "b"})
	state := func(id string) (view.State, int64) {
		v, _ := monitor.View()
		for _, b := range v.Boxes {
			if b.ID == id {
				return b.State, b.StartedMs
			}
		}
		return view.StateGone, 0
	}
	monitor.RecordCheck("a", ok)
	if monitor.AllChecked() {
		t.Error("AllChecked is true before b answered or missed its checks")
	}
	monitor.RecordCheck("b", HealthCheck{})
	monitor.RecordCheck("b", HealthCheck{})
	if s, _ := state("a"); !monitor.AllChecked() || s != view.StateReady {
		t.Error("AllChecked is false after all checks, or a is not ready")
	}
	monitor.RecordCheck("a", HealthCheck{})
	if s, _ := state("a"); s != view.StateReady {
		t.Error("a is gone after one missed check")
	}
	monitor.RecordCheck("a", HealthCheck{})
	if s, _ := state("a"); s != view.StateGone {
		t.Error("a is not gone after two missed checks")
	}
	again := HealthCheck{Answered: true, BootID: "two", Started: time.UnixMilli(9000)}
	monitor.RecordCheck("a", again)
	if s, at := state("a"); s != view.StateReady || at != 9000 {
		t.Errorf("after a restart a is %s and started at %d, want ready and 9000", s, at)
	}
	again.Started = time.UnixMilli(9500) // an adjusted clock is no restart
	monitor.RecordCheck("a", again)
	if _, at := state("a"); at != 9000 {
		t.Errorf("the start time changed to %d without a restart", at)
	}
	monitor.SetDrain("a", true)
	monitor.RecordCheck("a", again)
	if s, _ := state("a"); s != view.StateDraining {
		t.Error("a check ended an operator's drain")
	}
	monitor.SetDrain("a", false)
	again.Draining = true
	monitor.RecordCheck("a", again)
	if s, _ := state("a"); s != view.StateDraining {
		t.Error("a box that reports a drain is not draining")
	}
	if monitor.SetDrain("nobody", true) {
		t.Error("SetDrain returns true for an unknown box")
	}
}

// A box whose clock is behind or ahead of the planner's must not skip its slow start.
func TestBoxClockDiffers(t *testing.T) {
	at := func(s int) time.Time { return time.UnixMilli(int64(1000 * s)) }
	for reported, want := range map[int]int64{70: 100_000, 100: 100_000, 101: 101_000, 140: 103_000} {
		monitor := NewMonitor(2, 1)
		monitor.Add(view.Box{ID: "a"})
		monitor.RecordCheck("a", HealthCheck{Answered: true, BootID: "one", Started: at(10), AnsweredAt: at(100)})
		monitor.RecordCheck("a", HealthCheck{})
		monitor.RecordCheck("a", HealthCheck{Answered: true, BootID: "two", Started: at(reported), AnsweredAt: at(103)})
		if v, _ := monitor.View(); v.Boxes[0].StartedMs != want {
			t.Errorf("reported start at %d s: started at %d ms, want %d ms", reported, v.Boxes[0].StartedMs, want)
		}
	}
}

// TestRestartWithoutReportedStart guards against a restart that no edge learns of, so that a cold box is overloaded: the
// box does not report its start, and the catalogue's was used only in place of one of the box's own.
func TestRestartWithoutReportedStart(t *testing.T) {
	at := func(s int) time.Time { return time.UnixMilli(int64(1000 * s)) }
	monitor := NewMonitor(2, 1)
	monitor.Add(view.Box{ID: "a"})
	started := func() int64 { v, _ := monitor.View(); return v.Boxes[0].StartedMs }
	monitor.RecordCheck("a", HealthCheck{Answered: true, BootID: "one", AnsweredAt: at(100)})
	if got := started(); got != 0 {
		t.Errorf("started at %d ms before any start was reported", got)
	}
	monitor.RecordCheck("a", HealthCheck{Answered: true, BootID: "two", AnsweredAt: at(103)})
	if got := started(); got != 103_000 {
		t.Errorf("restarted with another boot ID: started at %d ms, want 103000", got)
	}
	monitor.RecordCheck("a", HealthCheck{Answered: true, BootID: "two", AnsweredAt: at(104)})
	monitor.SetReported("a", view.StateReady, 90_000)
	if got := started(); got != 103_000 {
		t.Errorf("no restart: started at %d ms, want 103000", got)
	}
	monitor.Add(view.Box{ID: "b"})
	monitor.SetReported("b", view.StateReady, 50_000)
	monitor.RecordCheck("b", HealthCheck{Answered: true, BootID: "one", AnsweredAt: at(105)})
	if v, _ := monitor.View(); v.Boxes[1].StartedMs != 50_000 {
		t.Errorf("start reported by the catalogue alone: started at %d ms, want 50000", v.Boxes[1].StartedMs)
	}
}

// Versions rise by one with each change and only then, and a follower that applies the changes has the same view.
func TestMonitorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor := NewMonitor(2, 7)
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			monitor.Add(view.Box{ID: id})
		}
		follower := view.View{Version: 7}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				monitor.SetDrain(id, rapid.Bool().Draw(t, "on"))
			case 1:
				monitor.SetTitle(view.Title{Name: "t", CellSpan: rapid.IntRange(0, 2).Draw(t, "span")})
			default:
				monitor.RecordCheck(id, HealthCheck{Answered: rapid.Bool().Draw(t, "answered"),
					Draining: rapid.Bool().Draw(t, "draining"), BootID: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "boot"),
					Started: time.UnixMilli(rapid.Int64Range(1, 9).Draw(t, "started"))})
			}
			before := monitor.lastView
			v, changed := monitor.View()
			if !changed {
				if v.Version != follower.Version {
					t.Fatal("the version rose without a change")
				}
				continue
			}
			next, _, err := view.Apply(follower, view.Diff(before, v))
			if err != nil || next.Version != v.Version || v.Version != follower.Version+1 || len(next.Boxes) != len(v.Boxes) {
				t.Fatalf("applying the change: error %v, view %+v, want %+v", err, next, v)
			}
			follower = next
		}
	})
}

// Guards against: an operator's drain was lost if its box was not known yet when the drain was restored, or left and
// returned.
func TestDrainOfBoxThatIsNotKnown(t *testing.T) {
	monitor := NewMonitor(2, 1)
	check := func() view.State {
		monitor.Add(view.Box{ID: "late"})
		monitor.RecordCheck("late", HealthCheck{Answered: true, BootID: "one", Started: time.UnixMilli(1)})
		return monitor.boxes["late"].box.State
	}
	if monitor.SetDrain("late", true) {
		t.Error("SetDrain returns true for an unknown box")
	}
	if state := check(); state != view.StateDraining {
		t.Errorf("%s after the box is known, want draining", state)
	}
	monitor.Remove("late")
	if state := check(); state != view.StateDraining {
		t.Errorf("%s after the box has returned, want draining", state)
	}
	monitor.SetDrain("late", false)
	if state := check(); state != view.StateReady {
		t.Errorf("%s after the drain has ended, want ready", state)
	}
}

// Guards against a box that drains by its own word and is published as ready until its next check when an operator's
// drain of it ends.
func TestEndOfOperatorDrainKeepsOwnDrain(t *testing.T) {
	monitor := NewMonitor(2, 1)
	monitor.Add(view.Box{ID: "a"})
	check := HealthCheck{Answered: true, Draining: true, BootID: "one", Started: time.UnixMilli(1)}
	monitor.RecordCheck("a", check)
	monitor.SetDrain("a", true)
	monitor.SetDrain("a", false)
	if v, _ := monitor.View(); v.Boxes[0].State != view.StateDraining {
		t.Errorf("%s while the box says that it drains", v.Boxes[0].State)
	}
	check.Draining = false
	monitor.RecordCheck("a", check)
	if v, _ := monitor.View(); v.Boxes[0].State != view.StateReady {
		t.Errorf("%s after the box has stopped draining", v.Boxes[0].State)
	}
}
