package reconcile

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is a Reconciler with ten boxes that the catalogue lists, and a simulated clock.
type fleet struct {
	*Reconciler
	now  int64
	list []Entry
}

type fataler interface{ Fatal(...any) }

func newFleet() *fleet {
	f := &fleet{Reconciler: New(DefaultRules(), "catalogue", "planner", "disk"), now: 1_000_000}
	for i := range 10 {
		f.list = append(f.list, Entry{ID: fmt.Sprint("b", i), Address: fmt.Sprint("h", i)})
	}
	return f
}

func (f *fleet) report(t fataler, source string) {
	if err := f.UpdateSource(source, f.list, f.now); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) advance(t fataler, d time.Duration) {
	for range int(d / time.Second) {
		f.now += 1000
		f.report(t, "catalogue")
		f.Evaluate(f.now)
	}
}

func (f *fleet) expect(t *testing.T, id string, want State, reason string) {
	t.Helper()
	for _, status := range f.Evaluate(f.now) {
		if status.ID == id {
			if status.State != want || !strings.Contains(status.Reason, reason) {
				t.Errorf("%s: %s (%s), want %s (%s)", id, status.State, status.Reason, want, reason)
			}
			return
		}
	}
	if want != Gone {
		t.Errorf("%s is not listed", id)
	}
}

func TestReconciledStates(t *testing.T) {
	for name, c := range map[string]func(t *testing.T, f *fleet){
		"check fails, nothing served": func(t *testing.T, f *fleet) {
			f.list[0].Health = Critical
			f.advance(t, time.Second)
			f.expect(t, "b0", Gone, "check fails")
		},
		"check fails, sessions are served": func(t *testing.T, f *fleet) {
			f.list[0].Health = Critical
			f.advance(t, time.Second)
			f.RecordServed("b0", f.now)
			f.expect(t, "b0", Ready, "sessions are served")
			f.advance(t, 25*time.Second)
			f.RecordServed("b0", f.now)
			f.expect(t, "b0", Gone, "check fails") // ServedGrace is over
		},
		"check passes, sessions fail": func(t *testing.T, f *fleet) {
			for range 3 {
				f.RecordFailure("b0", f.now)
			}
			f.expect(t, "b0", Ready, "")
			f.RecordFailure("b0", f.now)
			f.expect(t, "b0", Draining, "4 set-ups failed")
			f.advance(t, 3*time.Second)
			f.expect(t, "b0", Ready, "") // the cooldown is over: the box is tried again
			f.RecordFailure("b0", f.now)
			f.advance(t, 3*time.Second)
			f.expect(t, "b0", Draining, "") // the second cooldown is twice as long
			f.advance(t, 2*time.Second)
			f.RecordServed("b0", f.now)
			f.expect(t, "b0", Ready, "named and passing")
		},
		"warning": func(t *testing.T, f *fleet) {
			f.list[0].Health = Warning
			f.advance(t, time.Second)
			f.expect(t, "b0", Draining, "warns")
		},
		"flapping": func(t *testing.T, f *fleet) {
			for range 6 {
				f.list[0].Health = Critical - f.list[0].Health
				f.advance(t, time.Second)
			}
			f.expect(t, "b0", Draining, "flaps")
			f.advance(t, time.Minute)
			f.expect(t, "b0", Ready, "")
		},
		"missing from the list": func(t *testing.T, f *fleet) {
			f.list = f.list[1:]
			f.advance(t, time.Second)
			f.expect(t, "b0", Draining, "no longer named")
			f.advance(t, 6*time.Second)
			f.expect(t, "b0", Gone, "no longer named")
		},
		"most of the fleet leaves the list": func(t *testing.T, f *fleet) { // guards against new sessions on boxes that were replaced
			all := f.list
			f.list = all[6:]
			f.advance(t, time.Second)
			f.expect(t, "b0", Draining, "no longer named")
			f.advance(t, 10*time.Second)
			f.expect(t, "b0", Gone, "no longer named")
			f.list = nil
			f.advance(t, 10*time.Second)
			f.expect(t, "b0", Gone, "no longer named")
			f.expect(t, "b9", Ready, "kept")
			f.list = all
			f.advance(t, time.Second)
			f.expect(t, "b0", Ready, "named and passing")
		},
		"an empty list after a full one": func(t *testing.T, f *fleet) {
			f.list = nil
			f.advance(t, 30*time.Second)
			f.expect(t, "b3", Ready, "kept: checks took away 10 of 10")
			if f.MassFailureSince() == 0 {
				t.Error("the checks are not suspect")
			}
		},
		"half the fleet critical within seconds": func(t *testing.T, f *fleet) {
			for i := range 5 {
				f.list[i].Health = Critical
				f.advance(t, time.Second)
			}
			f.expect(t, "b2", Ready, "kept")
			f.RecordFailure("b2", f.now)
			f.RecordFailure("b2", f.now)
			f.RecordFailure("b2", f.now)
			f.RecordFailure("b2", f.now)
			f.expect(t, "b2", Gone, "check fails") // its set-ups fail too
			f.list[1].Drain = true
			f.advance(t, time.Second)
			f.expect(t, "b1", Draining, "drain told")
			for i := range 5 {
				f.list[i].Health = Passing
			}
			f.advance(t, time.Second)
			f.expect(t, "b0", Ready, "named and passing")
			if f.MassFailureSince() != 0 {
				t.Error("the checks are still suspect after the boxes passed them again")
			}
		},
		"boxes that fail one by one": func(t *testing.T, f *fleet) {
			for i := range 6 {
				f.list[i].Health = Critical
				f.advance(t, 20*time.Second)
			}
			f.expect(t, "b5", Gone, "check fails")
			f.expect(t, "b0", Gone, "check fails")
		},
		"two sources disagree on a drain": func(t *testing.T, f *fleet) {
			f.list[0].Drain = true
			f.report(t, "planner")
			f.list[0].Drain = false
			f.advance(t, 5*time.Second)
			f.expect(t, "b0", Draining, "drain told by planner")
			f.report(t, "planner")
			f.expect(t, "b0", Ready, "")
		},
		"the catalogue is not reached": func(t *testing.T, f *fleet) {
			f.list[0].Drain = true
			f.report(t, "catalogue")
			f.list[0].Drain = false
			f.now += 60_000
			f.report(t, "planner")
			v := f.Evaluate(f.now)
			if v[1].Source != "planner" || v[1].Age != 0 {
				t.Errorf("want the planner's entry of age 0, have %+v", v[1])
			}
			f.expect(t, "b0", Draining, "drain told by catalogue")
			f.now += 60_000
			if v = f.Evaluate(f.now); v[1].Source != "planner" || v[1].Age != time.Minute || len(v) != 10 {
				t.Errorf("no source is fresh, want the planner's list of 10 boxes: %+v", v)
			}
		},
		"restarted on the same address": func(t *testing.T, f *fleet) {
			f.list[0].Started = 5000
			f.advance(t, time.Second)
			f.list[0].Started = 4000 // an outdated report
			f.advance(t, time.Second)
			if v := f.Evaluate(f.now); v[0].Started != 5000 {
				t.Errorf("started at %d, want 5000", v[0].Started)
			}
			f.list[0].Address, f.list[0].Started = "elsewhere", 4500
			f.advance(t, time.Second)
			if v := f.Evaluate(f.now); v[0].Started != 4500 || v[0].Address != "elsewhere" {
				t.Errorf("a new address does not bring its own start time: %+v", v[0])
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.advance(t, 3*time.Second)
			c(t, f)
		})
	}
	f := newFleet()
	if f.Evaluate(f.now) != nil || f.UpdateSource("nobody", nil, 1) == nil {
		t.Error("a status without any report, or a report of an unknown source is accepted")
	}
}

// For any sequence of reports: a drain remains in effect until the source that reported it withdraws it, every
// box with a status is listed by a source, and checks alone never remove most of the fleet at once.
func TestReconcileProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.advance(t, 12*time.Second)
		drains := map[string]map[string]bool{"catalogue": {}, "planner": {}, "disk": {}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f.now += rapid.Int64Range(0, 4000).Draw(t, "ms")
			i := rapid.IntRange(0, 9).Draw(t, "box")
			id := fmt.Sprint("b", i)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				f.RecordFailure(id, f.now)
			case 1:
				f.RecordServed(id, f.now)
			case 2:
				f.list[i].Health = Health(rapid.IntRange(0, 2).Draw(t, "health"))
			case 3:
				f.list[i].Drain = rapid.Bool().Draw(t, "drain")
			case 4:
				all := f.list
				f.list = append(slices.Clone(all[:i]), all[i+1:]...)
				f.report(t, "catalogue")
				for _, e := range f.list { // of the box itself the list says nothing
					drains["catalogue"][e.ID] = e.Drain
				}
				for _, status := range f.Evaluate(f.now) {
					if status.ID == id && status.State == Ready && status.Source == "catalogue" {
						t.Fatalf("%s is ready (%s) although the list lacks it", status.ID, status.Reason)
					}
				}
				f.list = all
			}
			source := rapid.SampledFrom([]string{"catalogue", "planner", "disk"}).Draw(t, "source")
			f.report(t, source)
			for _, e := range f.list {
				drains[source][e.ID] = e.Drain
			}
			for _, status := range f.Evaluate(f.now) {
				drained := drains["catalogue"][status.ID] || drains["planner"][status.ID] || drains["disk"][status.ID]
				if drained && status.State == Ready {
					t.Fatalf("%s is ready (%s) although a source reports a drain", status.ID, status.Reason)
				}
				if !slices.ContainsFunc(f.list, func(e Entry) bool { return e.ID == status.ID }) || status.Reason == "" || status.Source == "" {
					t.Fatalf("not listed by a source, or without reason or source: %+v", status)
				}
			}
		}
		ready := func() (n int) {
			for _, status := range f.Evaluate(f.now) {
				if status.State == Ready {
					n++
				}
			}
			return n
		}
		before := ready()
		for i := range f.list {
			f.list[i].Health, f.list[i].Drain = Critical, false
		}
		f.now += 100
		f.report(t, "catalogue")
		if after := ready(); before >= f.MassFailureMinBoxes+2 && after < before/2 &&
			f.leadingSource(f.now).name == "catalogue" {
			t.Fatalf("checks removed %d of %d boxes at once", before-after, before)
		}
	})
}
