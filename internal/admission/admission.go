// Package admission decides how an edge handles a viewer's request: with the viewer's existing session, with a set-up
// that is already in progress, or with a new set-up. It prevents a repeated request from being set up twice. It also
// rejects requests when the edge is at its limits. The package does no I/O and is independent of the protocol.
package admission

import "time"

// State is the state of a viewer's session at this edge.
type State int

// The states of a session.
const (
	None         State = iota // the edge never had the session, or no longer keeps it
	Pending                   // requested, not yet answered
	Playing                   // set up
	Lost                      // its server was lost, or the session was moved; the viewer may return
	Ended                     // played to its end, or the viewer left
	Unsuccessful              // the request was refused or failed
	Leaving                   // the viewer left, but an attempt may still be in flight
)

// Session is the viewer's session for a title and class, as recorded by the edge.
type Session struct {
	State State
	Moved bool          // with Lost: this edge took the session off its server
	Since time.Duration // when the session entered State
}

// RequestKind is the kind of a viewer's request.
type RequestKind int

// The kinds of requests.
const (
	Play   RequestKind = iota // starts a session
	Reload                    // continues a session that the viewer assumes to exist
)

// Action is how a request is handled.
type Action int

// The actions.
const (
	Serve    Action = iota // serve the request from the playing session
	Wait                   // wait for the answer to the pending set-up
	SetUp                  // start a new set-up, with the flags of the Decision
	NotFound               // there is no session to reload: the viewer has to start a new one
	Defer                  // wait until no earlier attempt is in flight, then decide again
)

// Decision is an action and the flags of the set-up.
type Decision struct {
	Action   Action
	Repeat   bool // the viewer requested the session before
	Returned bool // the viewer returns after an interruption or a refusal
	Moved    bool // the viewer returns after its session was moved
}

// returnWindow is how long after a refusal or a failure another request of the viewer counts as its return.
const returnWindow = time.Minute

// Decide decides on one request. A reload never restarts a session that ended normally, because its viewer has received
// the end. It does restart a session whose server was lost, and one that the viewer had at another edge (onOtherEdge).
func Decide(s Session, kind RequestKind, now time.Duration, onOtherEdge bool) Decision {
	recent := now-s.Since < returnWindow
	switch s.State {
	case Pending:
		return Decision{Action: Wait, Repeat: true}
	case Leaving: // a new set-up could be a second one in flight
		return Decision{Action: Defer}
	case Playing:
		return Decision{Action: Serve, Repeat: true}
	case Lost:
		return Decision{Action: SetUp, Repeat: true, Returned: true, Moved: s.Moved}
	case Unsuccessful:
		return Decision{Action: SetUp, Repeat: recent, Returned: recent}
	case Ended:
		if kind == Reload {
			return Decision{Action: NotFound}
		}
		return Decision{Action: SetUp}
	}
	if kind == Reload {
		if onOtherEdge {
			return Decision{Action: SetUp, Repeat: true, Returned: true}
		}
		return Decision{Action: NotFound}
	}
	return Decision{Action: SetUp}
}

// Usage is the current usage of an edge and its limits.
type Usage struct {
	Queued, QueueLimit     int // requests that wait for a decision
	Sessions, SessionLimit int
}

// CheckCapacity decides whether the edge rejects a request before it is queued, and after which time the viewer should
// retry: 1 s to 3 s, for a jitter in [0, 1], so that rejected viewers do not return all at the same time.
func CheckCapacity(u Usage, jitter float64) (reject bool, retryAfter time.Duration) {
	if u.Queued < u.QueueLimit && u.Sessions < u.SessionLimit {
		return false, 0
	}
	return true, time.Second + time.Duration(jitter*float64(2*time.Second))
}
