// Package join decides what a viewer's request joins: the session that it has, one that is being set
// up, or a new try. It is what keeps a viewer that knocks twice from being set up twice. It does no I/O
// and knows no protocol.
package admission

import "time"

// State of the session that a viewer has at this edge.
type State int

// States of a session.
const (
	None         State = iota // never seen, or forgotten
	Pending                   // asked for, no answer yet
	Playing                   // set up
	Lost                      // its server was lost, or it was moved; the viewer may come again
	Ended                     // played to its end, or the viewer left
	Unsuccessful              // refused or failed
	Leaving                   // its viewer went away, an attempt may still be out
)

// Session is what is known of the viewer's session of this title and class.
type Session struct {
	State State
	Moved bool // with Lost: taken off its server by this edge
	Since time.Duration
}

// Kind of a request.
type RequestKind int

// Kinds of requests.
const (
	Play   RequestKind = iota // for the session as a whole
	Reload                    // for more of one that the viewer thinks it has
)

// Verdict is what becomes of a request.
type Action int

// Verdicts.
const (
	Serve    Action = iota // from the session as it stands
	Wait                   // for the answer that the session is owed
	SetUp                  // a new try, with the marks below
	NotFound               // there is nothing to reload: the viewer begins anew
	Defer                  // until nothing of the earlier try is out, then decide again
)

// Decision is a verdict with the marks of the try.
type Decision struct {
	Action   Action
	Repeat   bool // the viewer asked before
	Returned bool // it comes again after a break or a refusal
	Moved    bool // it comes back after being moved
}

// remember is how long an ended session still marks the next try of its viewer as a return.
const returnWindow = time.Minute

// Decide settles one request. A reload never starts a session that ended in order: its viewer saw the
// end. It does bring back one whose server was lost, and one that another edge had.
func Decide(s Session, k RequestKind, now time.Duration, elsewhere bool) Decision {
	recent := now-s.Since < returnWindow
	switch s.State {
	case Pending:
		return Decision{Action: Wait, Repeat: true}
	case Leaving: // a new try beside an attempt that is out would be two at once
		return Decision{Action: Defer}
	case Playing:
		return Decision{Action: Serve, Repeat: true}
	case Lost:
		return Decision{Action: SetUp, Repeat: true, Returned: true, Moved: s.Moved}
	case Unsuccessful:
		return Decision{Action: SetUp, Repeat: recent, Returned: recent}
	case Ended:
		if k == Reload {
			return Decision{Action: NotFound}
		}
		return Decision{Action: SetUp}
	}
	if k == Reload {
		if elsewhere {
			return Decision{Action: SetUp, Repeat: true, Returned: true}
		}
		return Decision{Action: NotFound}
	}
	return Decision{Action: SetUp}
}

// Overload is what an edge can still take.
type Usage struct {
	Queued, QueueLimit     int // requests waiting for the decision
	Sessions, SessionLimit int
}

// Advice settles whether a request is turned away before it is taken, and for how long: the fuller
// the queue, the longer, so that viewers do not come back together.
func CheckCapacity(o Usage, jitter float64) (turnAway bool, after time.Duration) {
	if o.Queued < o.QueueLimit && o.Sessions < o.SessionLimit {
		return false, 0
	}
	return true, time.Second + time.Duration(jitter*float64(2*time.Second))
}
