package join

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	now := time.Hour
	for _, c := range []struct {
		name      string
		s         Session
		k         Kind
		elsewhere bool
		want      Decision
	}{
		{"first", Session{}, Play, false, Decision{Verdict: Try}},
		{"knocks again while it waits", Session{State: Pending}, Play, false, Decision{Verdict: Wait, Repeat: true}},
		{"reloads while it waits", Session{State: Pending}, Reload, true, Decision{Verdict: Wait, Repeat: true}},
		{"asks again while it plays", Session{State: Playing}, Play, false, Decision{Verdict: Serve, Repeat: true}},
		{"reloads", Session{State: Playing}, Reload, false, Decision{Verdict: Serve, Repeat: true}},
		{"its box was lost", Session{State: Lost}, Reload, false, Decision{Verdict: Try, Repeat: true, Returned: true}},
		{"it was moved", Session{State: Lost, Moved: true}, Reload, false, Decision{Verdict: Try, Repeat: true, Returned: true, Moved: true}},
		{"refused a moment ago", Session{State: Answered, Since: now - time.Second}, Play, false, Decision{Verdict: Try, Repeat: true, Returned: true}},
		{"refused long ago", Session{State: Answered, Since: now - 2*time.Minute}, Play, false, Decision{Verdict: Try}},
		{"left, an attempt may be out", Session{State: Leaving}, Play, false, Decision{Verdict: Hold}},
		{"reload after the end", Session{State: Over}, Reload, true, Decision{Verdict: Absent}},
		{"once more from the start", Session{State: Over}, Play, false, Decision{Verdict: Try}},
		{"reload of what another edge had", Session{}, Reload, true, Decision{Verdict: Try, Repeat: true, Returned: true}},
		{"reload of nothing", Session{}, Reload, false, Decision{Verdict: Absent}},
	} {
		if got := Decide(c.s, c.k, now, c.elsewhere); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Whatever the state, no try starts beside one that may be out: that is what keeps set-ups single.
func TestNeverBeside(t *testing.T) {
	for s := None; s <= Leaving; s++ {
		for _, k := range []Kind{Play, Reload} {
			for _, elsewhere := range []bool{false, true} {
				d := Decide(Session{State: s}, k, time.Hour, elsewhere)
				if d.Verdict == Try && (s == Pending || s == Playing || s == Leaving) {
					t.Errorf("state %d, kind %d: a try", s, k)
				}
			}
		}
	}
}

func TestAdvice(t *testing.T) {
	for _, c := range []struct {
		o    Overload
		away bool
	}{{Overload{0, 4, 0, 4}, false}, {Overload{3, 4, 3, 4}, false}, {Overload{4, 4, 0, 4}, true}, {Overload{0, 4, 4, 4}, true}} {
		for _, j := range []float64{0, 0.5, 1} {
			away, after := Advice(c.o, j)
			if away != c.away || away && (after < time.Second || after > 3*time.Second) || !away && after != 0 {
				t.Errorf("%+v: %v %v", c.o, away, after)
			}
		}
	}
}
