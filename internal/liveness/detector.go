// Package liveness detects servers that no longer run their sessions. A machine that vanished gives no sign:
// connections to it stay open and silent. Probes may be forbidden; what tells then are notes that are due and stay out,
// and whether a plain connection comes up. The package has no clock and no I/O.
package liveness

import "time"

// DialResult is what came of trying to connect.
type DialResult int

// Results of a try to connect.
const (
	Connected  DialResult = iota // its machine answers: a process that hangs may go on
	Refused                      // its machine answers, no process listens
	NoResponse                   // nobody answered in the settings' time
)

// Verdict is what a detector asks for.
type Verdict int

// Verdicts.
const (
	Wait  Verdict = iota
	Check         // try to connect, and tell what came of it
	Lost          // its sessions are over
)

// What a detector waits for. A link note is due each period, and a check costs little: it need not be long overdue.
const (
	overdueFactor       = 1.2
	minSilence          = time.Second
	silenceWithoutNotes = 4 * time.Second        // where no notes come silence says little: checked in time for releases, due in 8 s
	retryInterval       = 400 * time.Millisecond // between tries while one has failed
	maxFailedChecks     = 2                      // in a row: one lost handshake proves nothing
)

// Detector watches one server.
type Detector struct {
	lastHeartbeat time.Duration
	lastChecked   time.Duration
	failedChecks  int // tries in a row
	lost          bool
	checking      bool
	suspected     bool // a set-up went unanswered since the last heartbeat
}

// New returns a detector for a server that is taken to be alive now.
func New(now time.Duration) Detector { return Detector{lastHeartbeat: now, lastChecked: now} }

// Heartbeat says that something came from the server.
func (d *Detector) RecordHeartbeat(now time.Duration) {
	d.lastHeartbeat, d.failedChecks, d.lost, d.suspected = now, 0, false, false
}

// RequestTimedOut says that a set-up's time ran out: the server is checked without waiting for its notes. A slow one
// comes to no harm by it.
func (d *Detector) RecordSetupTimeout() { d.suspected = true }

// Next tells what to do about a server with sessions whose notes come each period. Open is the number of connections
// to it; listed tells that the list still has it: one that was removed is checked without waiting for its notes.
func (d *Detector) Next(now, period time.Duration, openConns int, listed bool) Verdict {
	silence := max(time.Duration(overdueFactor*float64(period)), minSilence)
	if period <= 0 {
		silence = silenceWithoutNotes
	}
	switch {
	case d.lost:
		return Lost
	case d.checking:
		return Wait
	case openConns == 0 || d.failedChecks > 0 || d.suspected || !listed && d.lastHeartbeat > d.lastChecked:
		if now-d.lastChecked < retryInterval {
			return Wait
		}
	case now-max(d.lastHeartbeat, d.lastChecked) < silence:
		return Wait
	}
	d.checking = true
	return Check
}

// BeginCheck has a check made for the caller's reasons, unless one is under way or has failed a moment ago.
func (d *Detector) BeginCheck(now time.Duration) bool {
	if d.checking || now-d.lastChecked < retryInterval && d.failedChecks > 0 {
		return false
	}
	d.checking = true
	return true
}

// Checking tells that a check is under way.
func (d *Detector) CheckInProgress() bool { return d.checking }

// Inconclusive says that a check came to nothing for reasons that are not the server's.
func (d *Detector) DiscardCheck(now time.Duration) { d.lastChecked, d.checking = now, false }

// Deferred says that a check could not begin: it is asked for again by the next call of Next.
func (d *Detector) DeferCheck() { d.checking = false }

// Dialed says what came of a set-up's own try to connect. It is given less time than a check: that it did not come up
// has the server checked, and proves nothing (seen: two late ones beside a check, and sessions that played on were
// released). Refused while connections are open may only mean that the server takes no more of them: the notes will tell.
func (d *Detector) RecordDial(now time.Duration, result DialResult, openConns int) {
	switch {
	case result == Connected:
		d.markAlive(now)
	case result == NoResponse:
		d.suspected = true
	case openConns == 0:
		d.lastChecked, d.lost = now, true
	}
}

// Checked says what came of a check. Refused while connections are open may also mean that the process ended and left
// them open and silent (seen: eight seconds until they were reset, sessions over meanwhile), which a further check in
// the silence tells.
func (d *Detector) RecordCheck(now time.Duration, result DialResult, openConns int) {
	d.lastChecked, d.checking = now, false
	if result == Connected {
		d.markAlive(now)
		return
	}
	d.failedChecks++
	d.lost = d.failedChecks >= maxFailedChecks || result == Refused && openConns == 0
}

func (d *Detector) markAlive(now time.Duration) {
	d.lastChecked, d.failedChecks, d.lost, d.suspected = now, 0, false, false
}
