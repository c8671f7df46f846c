package liveness

import (
	"math"
	"time"
)

const (
	// AllConnections is later than the opening of any connection.
	AllConnections = time.Duration(math.MaxInt64)

	// attributionMargin is how much earlier than a connection's end another connection must have been opened to count as
	// one to the same process. A connection to the next process may be handled just before the end of the old one's.
	attributionMargin = 200 * time.Millisecond

	// restartReportWindow is how long after a connection's end the server list may report the restart that caused it.
	restartReportWindow = 30 * time.Second

	// maxUnreportedEnd is how long after its end a session may stay unreported while its end is not certain. It leaves
	// room within the 8 s in which the release of a session that ended is due.
	maxUnreportedEnd = 7 * time.Second
)

// ProcessWatch tracks whether a server's process was replaced by a new one at the same address. The sessions of a
// process end with it, and so do its connections. If the new process listens at once, connecting is never refused, and
// the server looks as if it had only closed its connections, which servers also do while they run. Two kinds of
// evidence tell the cases apart: a message on a connection of the old process or about one of its sessions, and the
// server list, which reports the new process's start some time later.
//
// Connections and sessions are attributed to a process by the time at which the connection was opened; a session
// counts by the connection that its set-up was sent on. The zero value is ready to use.
type ProcessWatch struct {
	suspectBefore time.Duration // connections opened before this time may be those of an ended process; 0: no suspicion
	laterEnd      time.Duration // a connection opened after suspectBefore ended at this time; 0: none did
	laterSession  bool          // a message has concerned a session that is not suspect
	lostAt        time.Duration // the sessions opened before this time were found lost; 0: none were

	// A restart that was reported without any sign of when it happened.
	restartedAt  time.Duration // when it was reported; 0: there is none
	runningSince time.Duration // opening of the oldest connection that the process has used since then
}

// RecordConnEnd records that the server's side ended a connection.
func (w *ProcessWatch) RecordConnEnd(openedAt, now time.Duration) {
	switch {
	case w.suspectBefore == 0:
		w.suspectBefore = now
	case openedAt >= w.suspectBefore:
		w.laterEnd = now
	}
}

// RecordMessage records a message that arrived on a connection opened at a time. If the connection is older than the
// suspicion, the process was not replaced. After a reported restart, the connections opened since then are those of the
// process that runs.
func (w *ProcessWatch) RecordMessage(openedAt time.Duration) {
	if w.restartedAt > 0 {
		w.runningSince = min(w.runningSince, openedAt)
	}
	if w.suspectBefore > 0 && openedAt < w.suspectBefore-attributionMargin {
		w.suspectBefore, w.laterEnd, w.laterSession = 0, 0, false
	}
}

// RecordSessionMessage records a message about a session whose connection was opened at a time. It shows what a message
// on that connection would show.
func (w *ProcessWatch) RecordSessionMessage(openedAt time.Duration) {
	w.RecordMessage(openedAt)
	w.laterSession = w.suspectBefore > 0 && (w.laterSession || openedAt >= w.suspectBefore)
}

// SuspicionConfirmed reports whether the sessions opened before a time, which is returned too, have ended: while a
// connection has been open since connectedSince, the server has sent nothing about them, though a note was due in each
// period. A note concerns one session of several: if one has concerned a later session, another note is awaited as long
// as the release of those that ended is not overdue. Without notes (period 0) silence confirms nothing.
func (w *ProcessWatch) SuspicionConfirmed(now, period, connectedSince time.Duration) (before time.Duration, ended bool) {
	if w.suspectBefore == 0 || period <= 0 {
		return 0, false
	}
	silent := now-max(w.suspectBefore, connectedSince) >= maxNoteSilence(period)
	return w.suspectBefore, silent && (!w.laterSession || now-w.suspectBefore >= maxUnreportedEnd)
}

// RecordSuspectsLost records that the sessions which SuspicionConfirmed returned were found lost.
func (w *ProcessWatch) RecordSuspectsLost() {
	w.lostAt = w.suspectBefore
	w.suspectBefore, w.laterEnd, w.laterSession = w.laterEnd, 0, false
}

// RecordAllLost records that all sessions were found lost.
func (w *ProcessWatch) RecordAllLost(now time.Duration) { *w = ProcessWatch{lostAt: now} }

// RecordRestart records that the server list reported a new process. It returns the time before which the connections
// of ended processes were opened. Nothing may have been noticed of the restart: the machine vanished and came back, or
// this node had no connection. Then the connections of the last seconds may be those of either process. They stay in
// doubt until a message shows that the running process uses one of them; see LostByRestart.
func (w *ProcessWatch) RecordRestart(now time.Duration) (before time.Duration) {
	before = max(w.suspectBefore, w.laterEnd, w.lostAt)
	if before > 0 && now-before <= restartReportWindow {
		*w = ProcessWatch{}
		return before
	}
	*w = ProcessWatch{restartedAt: now, runningSince: AllConnections}
	return now - maxUnreportedEnd
}

// LostByRestart returns the time before which the connections were opened whose sessions have to count as lost, after a
// restart without any sign of when it happened; 0 if there is none. A session cannot have ended before its connection
// was opened, so a young one is given time to show that it runs.
func (w *ProcessWatch) LostByRestart(now time.Duration) (before time.Duration) {
	if w.restartedAt == 0 {
		return 0
	}
	before = min(now-maxUnreportedEnd, w.runningSince, w.restartedAt)
	if now-maxUnreportedEnd >= w.restartedAt {
		w.restartedAt = 0
	}
	return before
}

// maxNoteSilence returns the silence after which a note is overdue if one is due in each period.
func maxNoteSilence(period time.Duration) time.Duration {
	return max(time.Duration(overdueFactor*float64(period)), minSilence)
}
