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

// What a judge waits for. A link note is due each period, and a check costs little: it need not be long overdue.
const (
	overdue     = 1.2
	leastQuiet  = time.Second
	noNotes     = 4 * time.Second        // where no notes come silence says little: looked at in time for releases, due in 8 s
	checkAgain  = 400 * time.Millisecond // between tries while one has failed
	failedTries = 2                      // in a row: one lost handshake proves nothing
)

// Judge judges one server.
type Judge struct {
	heard, checked time.Duration
	failed         int // tries in a row
	lost           bool
	checking       bool
	doubted        bool // a set-up went unanswered since it was heard
}

// New returns a judge for notes that come each period.
func New(now time.Duration) Judge { return Judge{heard: now, checked: now} }

// Heard says that something came from the server.
func (j *Judge) Heard(now time.Duration) {
	j.heard, j.failed, j.lost, j.doubted = now, 0, false, false
}

// Unanswered says that a set-up's time ran out: the server is looked at without waiting for its notes. A slow one
// comes to no harm by it.
func (j *Judge) Unanswered() { j.doubted = true }

// Next tells what to do about a server with sessions. Open is the number of connections to it; listed tells that
// the list still has it: one that was removed is looked at without waiting for its notes.
func (j *Judge) Next(now, every time.Duration, open int, listed bool) Verdict {
	quiet := max(time.Duration(overdue*float64(every)), leastQuiet)
	if every <= 0 {
		quiet = noNotes
	}
	switch {
	case j.lost:
		return Lost
	case j.checking:
		return Wait
	case open == 0 || j.failed > 0 || j.doubted || !listed && j.heard > j.checked:
		if now-j.checked < checkAgain {
			return Wait
		}
	case now-max(j.heard, j.checked) < quiet:
		return Wait
	}
	j.checking = true
	return Check
}

// Begin has a check made for another's reasons, unless one is under way or was a moment ago.
func (j *Judge) Begin(now time.Duration) bool {
	if j.checking || now-j.checked < checkAgain && j.failed > 0 {
		return false
	}
	j.checking = true
	return true
}

// Checking tells that a check is under way.
func (j *Judge) Checking() bool { return j.checking }

// Unknown says that a check came to nothing for reasons that are not the server's.
func (j *Judge) Unknown(now time.Duration) { j.checked, j.checking = now, false }

// Deferred says that a check could not begin: it is asked for again at the next look.
func (j *Judge) Deferred() { j.checking = false }

// Dialled says what came of a set-up's own try to connect. It is given less time than a check: that it did not come up
// has the server looked at, and proves nothing (seen: two late ones beside a check, and sessions that played on were
// released). Refused while connections are open may only mean that the server takes no more of them: the notes will tell.
func (j *Judge) Dialled(now time.Duration, d Dialled, open int) {
	switch {
	case d == Up:
		j.up(now)
	case d == Silent:
		j.doubted = true
	case open == 0:
		j.checked, j.lost = now, true
	}
}

// Checked says what came of a check. Refused while connections are open may also mean that the process ended and left
// them open and silent (seen: eight seconds until they were reset, sessions over meanwhile), which a further check in
// the silence tells.
func (j *Judge) Checked(now time.Duration, d Dialled, open int) {
	j.checked, j.checking = now, false
	if d == Up {
		j.up(now)
		return
	}
	j.failed++
	j.lost = j.failed >= failedTries || d == Refused && open == 0
}

func (j *Judge) up(now time.Duration) {
	j.checked, j.failed, j.lost, j.doubted = now, 0, false, false
}
