// Package liveness judges whether a server that says nothing still runs its sessions. A machine that vanished
// gives no sign: connections to it stay open and silent. Probes may be forbidden; what tells then are notes that
// are due and stay out, and whether a plain connection comes up. It has no clock and no I/O.
package liveness

import "time"

// Dialled is what came of trying to connect.
type Dialled int

// Ends of a try to connect.
const (
	Up      Dialled = iota // its machine answers: a process that hangs may go on
	Refused                // its machine answers, no process listens
	Silent                 // nobody answered in the settings' time
)

// Verdict is what a judge thinks.
type Verdict int

// Verdicts.
const (
	Wait  Verdict = iota
	Check         // try to connect, and tell what came of it
	Lost          // its sessions are over
)

// What a judge waits for. A link note is due each period; half of one more allows for its way.
const (
	overdue     = 1.5
	leastQuiet  = time.Second
	checkAgain  = 400 * time.Millisecond // between tries while one has failed
	silentTries = 2                      // in a row: one lost handshake proves nothing
)

// Judge judges one server.
type Judge struct {
	heard, checked time.Duration
	silent         int
	lost           bool
	checking       bool
}

// New returns a judge for notes that come each period.
func New(now time.Duration) Judge { return Judge{heard: now, checked: now} }

// Heard says that something came from the server.
func (j *Judge) Heard(now time.Duration) {
	j.heard, j.silent, j.lost = now, 0, false
}

// Next tells what to do about a server with sessions. Open is the number of connections to it.
func (j *Judge) Next(now, every time.Duration, open int) Verdict {
	quiet := max(time.Duration(overdue*float64(every)), leastQuiet)
	switch {
	case j.lost:
		return Lost
	case j.checking:
		return Wait
	case open == 0 || j.silent > 0:
		if now-j.checked < checkAgain {
			return Wait
		}
	case now-max(j.heard, j.checked) < quiet:
		return Wait
	}
	j.checking = true
	return Check
}

// Dialled says what came of a try to connect, a check or another. Refused while connections are open may only
// mean that the server takes no more of them.
func (j *Judge) Dialled(now time.Duration, d Dialled, open int) {
	j.checked, j.checking = now, false
	switch d {
	case Up:
		j.silent, j.lost = 0, false
	case Refused:
		j.lost = open == 0
	case Silent:
		j.silent++
		j.lost = j.silent >= silentTries
	}
}
