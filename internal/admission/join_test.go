package admission

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	now := time.Hour
	for _, c := range []struct {
		name      string
		s         Session
		k         RequestKind
		elsewhere bool
		want      Decision
	}{
		{"first", Session{}, Play, false, Decision{Action: SetUp}},
		{"knocks again while it waits", Session{State: Pending}, Play, false, Decision{Action: Wait, Repeat: true}},
		{"reloads while it waits", Session{State: Pending}, Reload, true, Decision{Action: Wait, Repeat: true}},
		{"asks again while it plays", Session{State: Playing}, Play, false, Decision{Action: Serve, Repeat: true}},
		{"reloads", Session{State: Playing}, Reload, false, Decision{Action: Serve, Repeat: true}},
		{"its box was lost", Session{State: Lost}, Reload, false, Decision{Action: SetUp, Repeat: true, Returned: true}},
		{"it was moved", Session{State: Lost, Moved: true}, Reload, false, Decision{Action: SetUp, Repeat: true, Returned: true, Moved: true}},
		{"refused a moment ago", Session{State: Unsuccessful, Since: now - time.Second}, Play, false, Decision{Action: SetUp, Repeat: true, Returned: true}},
		{"refused long ago", Session{State: Unsuccessful, Since: now - 2*time.Minute}, Play, false, Decision{Action: SetUp}},
		{"left, an attempt may be out", Session{State: Leaving}, Play, false, Decision{Action: Defer}},
		{"reload after the end", Session{State: Ended}, Reload, true, Decision{Action: NotFound}},
		{"once more from the start", Session{State: Ended}, Play, false, Decision{Action: SetUp}},
		{"reload of what another edge had", Session{}, Reload, true, Decision{Action: SetUp, Repeat: true, Returned: true}},
		{"reload of nothing", Session{}, Reload, false, Decision{Action: NotFound}},
	} {
		if got := Decide(c.s, c.k, now, c.elsewhere); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Whatever the state, no try starts beside one that may be out: that is what keeps set-ups single.
func TestNoSecondSetUpInFlight(t *testing.T) {
	for s := None; s <= Leaving; s++ {
		for _, k := range []RequestKind{Play, Reload} {
			for _, elsewhere := range []bool{false, true} {
				d := Decide(Session{State: s}, k, time.Hour, elsewhere)
				if d.Action == SetUp && (s == Pending || s == Playing || s == Leaving) {
					t.Errorf("state %d, kind %d: a try", s, k)
				}
			}
		}
	}
}

func TestCheckCapacity(t *testing.T) {
	for _, c := range []struct {
		o    Usage
		away bool
	}{{Usage{0, 4, 0, 4}, false}, {Usage{3, 4, 3, 4}, false}, {Usage{4, 4, 0, 4}, true}, {Usage{0, 4, 4, 4}, true}} {
		for _, j := range []float64{0, 0.5, 1} {
			away, after := CheckCapacity(c.o, j)
			if away != c.away || away && (after < time.Second || after > 3*time.Second) || !away && after != 0 {
				t.Errorf("%+v: %v %v", c.o, away, after)
			}
		}
	}
}
