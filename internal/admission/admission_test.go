package admission

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	now := time.Hour
	for _, c := range []struct {
		name        string
		session     Session
		kind        RequestKind
		onOtherEdge bool
		want        Decision
	}{
		{"first request", Session{}, Play, false, Decision{Action: SetUp}},
		{"repeated request during the set-up", Session{State: Pending}, Play, false,
			Decision{Action: Wait, Repeat: true}},
		{"reload during the set-up", Session{State: Pending}, Reload, true, Decision{Action: Wait, Repeat: true}},
		{"repeated request of a playing session", Session{State: Playing}, Play, false,
			Decision{Action: Serve, Repeat: true}},
		{"reload of a playing session", Session{State: Playing}, Reload, false,
			Decision{Action: Serve, Repeat: true}},
		{"reload after the server was lost", Session{State: Lost}, Reload, false,
			Decision{Action: SetUp, Repeat: true, Returned: true}},
		{"reload after the session was moved", Session{State: Lost, Moved: true}, Reload, false,
			Decision{Action: SetUp, Repeat: true, Returned: true, Moved: true}},
		{"request 1 s after a refusal", Session{State: Unsuccessful, Since: now - time.Second}, Play, false,
			Decision{Action: SetUp, Repeat: true, Returned: true}},
		{"request 2 min after a refusal", Session{State: Unsuccessful, Since: now - 2*time.Minute}, Play, false,
			Decision{Action: SetUp}},
		{"request while an attempt of a viewer that left may be in flight", Session{State: Leaving}, Play, false,
			Decision{Action: Defer}},
		{"reload after the end", Session{State: Ended}, Reload, true, Decision{Action: NotFound}},
		{"request after the end", Session{State: Ended}, Play, false, Decision{Action: SetUp}},
		{"reload of a session at another edge", Session{}, Reload, true,
			Decision{Action: SetUp, Repeat: true, Returned: true}},
		{"reload of an unknown session", Session{}, Reload, false, Decision{Action: NotFound}},
	} {
		if got := Decide(c.session, c.kind, now, c.onOtherEdge); got != c.want {
			t.Errorf("%s: decision %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestNoSecondSetUpInFlight checks that no request starts another set-up while an attempt may be in flight or a session
// plays.
func TestNoSecondSetUpInFlight(t *testing.T) {
	for state := None; state <= Leaving; state++ {
		for _, kind := range []RequestKind{Play, Reload} {
			for _, onOtherEdge := range []bool{false, true} {
				decision := Decide(Session{State: state}, kind, time.Hour, onOtherEdge)
				if decision.Action == SetUp && (state == Pending || state == Playing || state == Leaving) {
					t.Errorf("state %d, kind %d: started a set-up", state, kind)
				}
			}
		}
	}
}

func TestCheckCapacity(t *testing.T) {
	for _, c := range []struct {
		usage  Usage
		reject bool
	}{{Usage{0, 4, 0, 4}, false}, {Usage{3, 4, 3, 4}, false}, {Usage{4, 4, 0, 4}, true}, {Usage{0, 4, 4, 4}, true}} {
		for _, jitter := range []float64{0, 0.5, 1} {
			reject, retryAfter := CheckCapacity(c.usage, jitter)
			if reject != c.reject || reject && (retryAfter < time.Second || retryAfter > 3*time.Second) ||
				!reject && retryAfter != 0 {
				t.Errorf("%+v: reject %v, retry after %v", c.usage, reject, retryAfter)
			}
		}
	}
}
