package planner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rainpulley/internal/view"
)

func TestWatch(t *testing.T) {
	start := time.UnixMilli(5000)
	ok := HealthCheck{Answered: true, BootID: "one", Started: start}
	w := NewMonitor(2, 100)
	w.Add(view.Box{ID: "a"})
	w.Add(view.Box{ID: "b"})
	state := func(id string) (view.State, int64) {
		v, _ := w.View()
		for _, b := range v.Boxes {
			if b.ID == id {
				return b.State, b.StartedMs
			}
		}
		return view.StateGone, 0
	}
	w.RecordCheck("a", ok)
	if w.AllChecked() {
		t.Error("settled before b was heard of or missed")
	}
	w.RecordCheck("b", HealthCheck{})
	w.RecordCheck("b", HealthCheck{})
	if s, _ := state("a"); !w.AllChecked() || s != view.StateReady {
		t.Error("not settled, or a not ready")
	}
	w.RecordCheck("a", HealthCheck{})
	if s, _ := state("a"); s != view.StateReady {
		t.Error("gone after one check missed")
	}
	w.RecordCheck("a", HealthCheck{})
	if s, _ := state("a"); s != view.StateGone {
		t.Error("not gone after two")
	}
	again := HealthCheck{Answered: true, BootID: "two", Started: time.UnixMilli(9000)}
	w.RecordCheck("a", again)
	if s, at := state("a"); s != view.StateReady || at != 9000 {
		t.Errorf("back as %s, started %d", s, at)
	}
	again.Started = time.UnixMilli(9500) // a clock that was set is no restart
	w.RecordCheck("a", again)
	if _, at := state("a"); at != 9000 {
		t.Errorf("started %d without a restart", at)
	}
	w.SetDrain("a", true)
	w.RecordCheck("a", again)
	if s, _ := state("a"); s != view.StateDraining {
		t.Error("an operator's drain was forgotten")
	}
	w.SetDrain("a", false)
	again.Draining = true
	w.RecordCheck("a", again)
	if s, _ := state("a"); s != view.StateDraining {
		t.Error("the box's own drain was forgotten")
	}
	if w.SetDrain("nobody", true) {
		t.Error("drained nobody")
	}
}

// Versions rise by one with each change and only then; a follower of the lines has the same view.
// A box's clock that is behind or ahead of the planner's makes no cold box warm.
func TestBoxClockApart(t *testing.T) {
	at := func(s int) time.Time { return time.UnixMilli(int64(1000 * s)) }
	for told, want := range map[int]int64{70: 100_000, 100: 100_000, 101: 101_000, 140: 103_000} {
		w := NewMonitor(2, 1)
		w.Add(view.Box{ID: "a"})
		w.RecordCheck("a", HealthCheck{Answered: true, BootID: "one", Started: at(10), AnsweredAt: at(100)})
		w.RecordCheck("a", HealthCheck{})
		w.RecordCheck("a", HealthCheck{Answered: true, BootID: "two", Started: at(told), AnsweredAt: at(103)})
		if v, _ := w.View(); v.Boxes[0].StartedMs != want {
			t.Errorf("told %d s: %d, want %d", told, v.Boxes[0].StartedMs, want)
		}
	}
}

func TestWatchProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewMonitor(2, 7)
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			w.Add(view.Box{ID: id})
		}
		follower := view.View{Version: 7}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				w.SetDrain(id, rapid.Bool().Draw(t, "on"))
			case 1:
				w.SetTitle(view.Title{Name: "t", CellSpan: rapid.IntRange(0, 2).Draw(t, "span")})
			default:
				w.RecordCheck(id, HealthCheck{Answered: rapid.Bool().Draw(t, "answered"), Draining: rapid.Bool().Draw(t, "draining"),
					BootID: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "boot"), Started: time.UnixMilli(rapid.Int64Range(1, 9).Draw(t, "started"))})
			}
			before := w.lastView
			v, changed := w.View()
			if !changed {
				if v.Version != follower.Version {
					t.Fatal("version rose without a change")
				}
				continue
			}
			next, _, err := view.Apply(follower, view.Diff(before, v))
			if err != nil || next.Version != v.Version || v.Version != follower.Version+1 || len(next.Boxes) != len(v.Boxes) {
				t.Fatalf("%v: %+v, want %+v", err, next, v)
			}
			follower = next
		}
	})
}
