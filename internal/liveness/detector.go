// Package liveness detects servers that no longer run their sessions. A machine that disappears from the network does
// not close its connections; they stay open without traffic. Probes may be forbidden, so the detector relies on overdue
// notes and on whether a plain TCP connection can be established. The package has no clock and does no I/O.
package liveness

import "time"

// DialResult is the outcome of an attempt to connect to a server.
type DialResult int

// Outcomes of an attempt to connect.
const (
	Connected  DialResult = iota // the machine accepts connections; a process that hangs may recover
	Refused                      // the machine is up, but no process listens on the port
	NoResponse                   // the machine did not respond within the configured time
)

// Verdict is the detector's decision about a server.
type Verdict int

// Decisions of a detector.
const (
	Wait  Verdict = iota // nothing to do
	Check                // try to connect, then call RecordCheck with the result
	Lost                 // the server's sessions have ended
)

// Limits of the detector. A link note is due in each period, and a check is cheap, so a server is checked as soon as a
// note is slightly overdue.
const (
	overdueFactor = 1.2         // a note is overdue after this many periods
	minSilence    = time.Second // shortest silence after which a server is checked

	// silenceWithoutNotes replaces the overdue time of a note if the server sends none. Silence is then weak evidence, but
	// a lost server must be found in time for the releases of its sessions, which are due within 8 s.
	silenceWithoutNotes = 4 * time.Second

	retryInterval   = 400 * time.Millisecond // between checks while the last one has failed
	maxFailedChecks = 2                      // in a row; a single lost handshake does not prove a failure
)

// Detector decides whether one server is still alive.
type Detector struct {
	lastHeartbeat time.Duration
	lastChecked   time.Duration
	failedChecks  int // in a row
	lost          bool
	checking      bool
	suspected     bool // a set-up timed out, or its dial got no response, since the last sign of life
}

// New returns a detector for a server that is assumed to be alive now.
func New(now time.Duration) Detector { return Detector{lastHeartbeat: now, lastChecked: now} }

// RecordHeartbeat records that a message arrived from the server.
func (d *Detector) RecordHeartbeat(now time.Duration) {
	d.lastHeartbeat, d.failedChecks, d.lost, d.suspected = now, 0, false, false
}

// RecordSetUpTimeout records that a set-up timed out. The server is then checked without waiting for an overdue note. A
// server that is merely slow accepts the connection of the check and is kept.
func (d *Detector) RecordSetUpTimeout() { d.suspected = true }

// Next returns what to do about a server that has sessions and sends a note each period; a period of 0 means that it
// sends none. openConns is the number of open connections to the server. listed reports whether the server list still
// contains it: a removed server is checked without waiting for its notes.
func (d *Detector) Next(now, period time.Duration, openConns int, listed bool) Verdict {
	silence := maxNoteSilence(period)
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

// BeginCheck starts a check for a reason outside the detector. It returns false, and starts none, while a
// check is in progress and for retryInterval after one has failed.
func (d *Detector) BeginCheck(now time.Duration) bool {
	if d.checking || now-d.lastChecked < retryInterval && d.failedChecks > 0 {
		return false
	}
	d.checking = true
	return true
}

// CheckInProgress reports whether a check is in progress.
func (d *Detector) CheckInProgress() bool { return d.checking }

// DiscardCheck ends a check that failed for local reasons, whose result is therefore no evidence about the server.
func (d *Detector) DiscardCheck(now time.Duration) { d.lastChecked, d.checking = now, false }

// DeferCheck ends a check that could not be started. The next call of Next asks for it again.
func (d *Detector) DeferCheck() { d.checking = false }

// RecordDial records the result of a connection opened for a set-up. It has a shorter time-out than a check, so
// NoResponse only causes a check and is not counted as a failed one: when it was counted, two slow connections next to
// a check released sessions that were still playing. Refused while connections are open may only mean that the server
// accepts no more of them; whether notes keep arriving decides.
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

// RecordCheck records the result of a check. Refused while connections are open may also mean that the process ended
// and its connections were not reset yet, which once took eight seconds during which the sessions were already over. A
// second failed check without a heartbeat in between tells the two cases apart.
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
