// Package lifecycle decides whether something may be done for a request now: sent to a server, started under its id,
// released at a server, or left unanswered by closing its connection. Each rule is one function of stated facts, so that
// no caller decides with facts of its own. The Ledger checks at run time that what was done kept the rules, and counts
// violations. The package has no clock and does no I/O.
package lifecycle

import "time"

// Refusal is the reason why something may not be done; Permitted is none.
type Refusal int

// Reasons.
const (
	Permitted          Refusal = iota
	RequestOver                // the request has its final answer
	ViewerLeft                 // the viewer has withdrawn, or has closed its connection
	ViewerInputPending         // what the viewer has sent is not handled yet: it may have left
	TimeUp                     // the request's time is up
	ServerNotReady             // the server drains, is gone or has been replaced
	ConnectionUnusable         // the connection to the server has ended
	IDGivenUpHere              // a set-up under the id was given up on the connection: a late answer would be confused
	MayHaveRun                 // a set-up under the id may have run, and must not run twice
	RequestOpen                // the request still awaits its answer, and a later attempt of it may run
	SessionRuns                // the server runs a session under the id
	InputUnread                // something has arrived on the connection that was not read yet
)

var refusalNames = [...]string{"permitted", "request over", "viewer left", "viewer's input pending", "time is up", "server not ready",
	"connection unusable", "id given up on connection", "may have run", "request open", "session runs", "input unread"}

func (r Refusal) String() string {
	if r >= 0 && int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "unknown"
}

// SendFacts is what is known when a set-up is about to be written to a server.
type SendFacts struct {
	Answered           bool          // the request has its final answer
	ViewerWithdrew     bool          // the viewer has ended the request
	BlockedFrom        time.Duration // the viewer may have gone: no attempt begins from then on; 0: not blocked
	ViewerInputPending bool          // something that the viewer has sent is not handled yet
	Now                time.Duration
	TimeLeft           time.Duration
	ServerReady        bool // the server accepts set-ups, and its address is still its own
	ConnectionUsable   bool
	IDGivenUpHere      bool // a set-up under the same id was given up on the connection
}

// MaySend decides whether a set-up may be written to a server now.
func MaySend(f SendFacts) Refusal {
	switch {
	case f.Answered:
		return RequestOver
	case f.ViewerWithdrew, f.BlockedFrom != 0 && f.Now >= f.BlockedFrom:
		return ViewerLeft
	case f.ViewerInputPending:
		return ViewerInputPending
	case f.TimeLeft <= 0:
		return TimeUp
	case !f.ServerReady:
		return ServerNotReady
	case !f.ConnectionUsable:
		return ConnectionUnusable
	case f.IDGivenUpHere:
		return IDGivenUpHere
	}
	return Permitted
}

// ReleaseFacts is what is known when a server is about to be told that it need not run an earlier attempt.
type ReleaseFacts struct {
	AwaitsAnswer bool // the request of the attempt still awaits its answer
	RunsSession  bool // the server runs a session or set-up under the id
	AddressOwned bool // the server's address is still its own
}

// MayRelease decides whether an attempt that was given up or broke may be released at its server now. All attempts of a
// request have one id, so that a release of an earlier one ends the session of a later one.
func MayRelease(f ReleaseFacts) Refusal {
	switch {
	case !f.AddressOwned:
		return ServerNotReady
	case f.AwaitsAnswer:
		return RequestOpen
	case f.RunsSession:
		return SessionRuns
	}
	return Permitted
}

// CloseFacts is what is known when this side is about to close a viewer's connection to make room.
type CloseFacts struct {
	HandlingMessage bool
	OpenSetUps      int
	InputUnread     bool
}

// MayClose decides whether a viewer's connection may be closed for a reason that its viewer has not given.
func MayClose(f CloseFacts) Refusal {
	switch {
	case f.HandlingMessage, f.OpenSetUps > 0:
		return RequestOpen
	case f.InputUnread:
		return InputUnread
	}
	return Permitted
}
