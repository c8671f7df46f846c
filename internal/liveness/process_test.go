package liveness

import (
	"testing"
	"time"
)

const (
	second = time.Second
	period = 2 * time.Second // of notes; they are overdue after 2.4 s
)

// TestProcessWatch plays courses of events and checks which sessions are found to be those of an ended process.
func TestProcessWatch(t *testing.T) {
	for name, c := range map[string]struct {
		events          func(w *ProcessWatch)
		now             time.Duration
		period          time.Duration
		connectedSince  time.Duration
		confirmedBefore time.Duration // 0: not confirmed
		restartBefore   time.Duration // if the list reports a restart at now
	}{
		"nothing noticed": {events: func(*ProcessWatch) {}, now: 20 * second, period: period, restartBefore: 13 * second},
		"connection ended, silence": {events: func(w *ProcessWatch) { w.RecordConnEnd(second, 10*second) },
			now: 13 * second, period: period, connectedSince: 10 * second, confirmedBefore: 10 * second,
			restartBefore: 10 * second},
		"connection ended, note not due yet": {events: func(w *ProcessWatch) { w.RecordConnEnd(second, 10*second) },
			now: 12 * second, period: period, connectedSince: 10 * second, restartBefore: 10 * second},
		"no connection until late": {events: func(w *ProcessWatch) { w.RecordConnEnd(second, 10*second) },
			now: 13 * second, period: period, connectedSince: 12 * second, restartBefore: 10 * second},
		"fleet without notes": {events: func(w *ProcessWatch) { w.RecordConnEnd(second, 10*second) },
			now: 20 * second, connectedSince: 10 * second, restartBefore: 10 * second},
		"message about an older session": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordMessage(2 * second)
		}, now: 20 * second, period: period, restartBefore: 13 * second},
		"message from the next process": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordMessage(10*second + 1)
		}, now: 13 * second, period: period, connectedSince: 10 * second, confirmedBefore: 10 * second,
			restartBefore: 10 * second},
		"notes on later sessions only": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordSessionMessage(11 * second)
		}, now: 16 * second, period: period, connectedSince: 10 * second, restartBefore: 10 * second},
		"notes on later sessions only, for long": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordSessionMessage(11 * second)
		}, now: 17 * second, period: period, connectedSince: 10 * second, confirmedBefore: 10 * second,
			restartBefore: 10 * second},
		"notes on later sessions, then on an older one": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordSessionMessage(11 * second)
			w.RecordSessionMessage(second)
		}, now: 18 * second, period: period, restartBefore: 11 * second},
		"message from the next process, whose connection was handled first": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordMessage(10*second - time.Millisecond)
		}, now: 13 * second, period: period, connectedSince: 10 * second, confirmedBefore: 10 * second,
			restartBefore: 10 * second},
		"the next process ends too": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordConnEnd(10*second+1, 11*second)
		}, now: 13 * second, period: period, connectedSince: 10 * second, confirmedBefore: 10 * second,
			restartBefore: 11 * second},
		"the next process ends too, first loss found": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordConnEnd(10*second+1, 11*second)
			w.RecordSuspectsLost()
		}, now: 14 * second, period: period, connectedSince: 11 * second, confirmedBefore: 11 * second,
			restartBefore: 11 * second},
		"several connections of one process end": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordConnEnd(2*second, 10*second+time.Millisecond)
		}, now: 13 * second, period: period, connectedSince: 10 * second, confirmedBefore: 10 * second,
			restartBefore: 10 * second},
		"sessions were found lost before the list reports it": {events: func(w *ProcessWatch) { w.RecordAllLost(10 * second) },
			now: 13 * second, period: period, restartBefore: 10 * second},
		"reported long after the connection's end": {events: func(w *ProcessWatch) { w.RecordConnEnd(second, 10*second) },
			now: 10*second + restartReportWindow + 1, restartBefore: 3*second + restartReportWindow + 1},
		"the end is explained by an earlier report": {events: func(w *ProcessWatch) {
			w.RecordConnEnd(second, 10*second)
			w.RecordRestart(11 * second)
		}, now: 14 * second, period: period, restartBefore: 7 * second},
	} {
		var w ProcessWatch
		c.events(&w)
		before, ended := w.SuspicionConfirmed(c.now, c.period, c.connectedSince)
		if ended != (c.confirmedBefore > 0) || ended && before != c.confirmedBefore {
			t.Errorf("%s: confirmed %v for sessions before %v, want %v", name, ended, before, c.confirmedBefore)
		}
		if before := w.RecordRestart(c.now); before != c.restartBefore {
			t.Errorf("%s: a restart concerns sessions before %v, want %v", name, before, c.restartBefore)
		}
	}
}

// TestLostByRestart plays the time after a restart of which nothing was noticed but its report at 20 s: sessions are
// lost before their release is overdue, unless the process that runs now uses their connections or older ones.
func TestLostByRestart(t *testing.T) {
	const reported = 20 * second
	for name, c := range map[string]struct {
		messageOn time.Duration // opening of the connection that a message arrives on; 0: none arrives
		now, want time.Duration
	}{
		"at once":                       {now: reported, want: 13 * second},
		"later":                         {now: 25 * second, want: 18 * second},
		"all judged":                    {now: 27 * second, want: reported},
		"message on a young connection": {messageOn: 15 * second, now: 27 * second, want: 15 * second},
		"message on a later connection": {messageOn: 21 * second, now: 27 * second, want: reported},
	} {
		var w ProcessWatch
		if before := w.LostByRestart(reported); before != 0 {
			t.Errorf("sessions before %v lost without a restart", before)
		}
		w.RecordRestart(reported)
		if c.messageOn > 0 {
			w.RecordMessage(c.messageOn)
		}
		if got := w.LostByRestart(c.now); got != c.want {
			t.Errorf("%s: sessions before %v lost, want %v", name, got, c.want)
		}
		if got := w.LostByRestart(28 * second); c.now >= reported+maxUnreportedEnd && got != 0 {
			t.Errorf("%s: sessions before %v lost after all were judged", name, got)
		}
	}
}
