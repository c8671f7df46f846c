package liveness

import (
	"testing"
	"time"
)

// TestDetector plays courses of events a tenth of a second at a time: who is found lost, and when.
func TestDetector(t *testing.T) {
	const every = 2 * time.Second
	for _, c := range []struct {
		name       string
		heard      func(at time.Duration) bool
		dial       func(at time.Duration) DialResult
		open       func(at time.Duration) int
		gone       bool
		unanswered bool
		other      DialResult // what set-ups' own connections come to, all the time
		lost       bool
		least      time.Duration
		most       time.Duration
		checks     int // at least
	}{
		{name: "notes come", heard: func(at time.Duration) bool { return at%every == 0 }, open: one},
		{name: "quiet but alive", dial: is(Connected), open: one, checks: 3},
		{name: "vanished", dial: is(NoResponse), open: one, lost: true, least: 2 * time.Second, most: 4 * time.Second, checks: 2},
		{name: "process died", dial: is(Refused), open: none, lost: true, most: time.Second, checks: 1},
		{name: "takes no more connections", heard: func(at time.Duration) bool { return at%every == 0 }, other: Refused, open: one},
		{name: "set-ups' connections come late", heard: func(at time.Duration) bool { return at%every == 0 }, other: NoResponse, dial: is(Connected), open: one, checks: 10},
		{name: "ended, connections left open", dial: is(Refused), open: one, lost: true, least: 2 * time.Second, most: 4 * time.Second, checks: 2},
		{name: "removed, connections left open", gone: true, heard: func(at time.Duration) bool { return at == time.Second }, dial: is(Refused), open: one,
			lost: true, least: time.Second, most: 2 * time.Second, checks: 2},
		{name: "vanished, set-ups time out", unanswered: true, dial: is(NoResponse), open: one, lost: true, most: time.Second, checks: 2},
		{name: "slow, set-ups time out", unanswered: true, dial: is(Connected), open: one, checks: 10},
		{name: "removed, and runs still", gone: true, dial: is(Connected), open: one, checks: 3},
		{name: "connections reset, machine alive", dial: is(Connected), open: none, checks: 3},
		{name: "one handshake lost", dial: func(at time.Duration) DialResult {
			if at < 2600*time.Millisecond {
				return NoResponse
			}
			return Connected
		}, open: one, checks: 2},
	} {
		detector, checks, lostAt := New(0), 0, time.Duration(-1)
		for at := time.Duration(0); at < 12*time.Second && lostAt < 0; at += 100 * time.Millisecond {
			if c.heard != nil && c.heard(at) {
				detector.RecordHeartbeat(at)
			}
			if c.unanswered {
				detector.RecordSetupTimeout()
			}
			if c.other != Connected {
				detector.RecordDial(at, c.other, c.open(at))
			}
			switch detector.Next(at, every, c.open(at), !c.gone) {
			case Check:
				checks++
				if c.dial == nil {
					t.Errorf("%s: checked at %v", c.name, at)
					break
				}
				detector.RecordCheck(at, c.dial(at), c.open(at))
			case Lost:
				lostAt = at
			}
		}
		if c.lost != (lostAt >= 0) || lostAt >= 0 && (lostAt < c.least || lostAt > c.most) || checks < c.checks {
			t.Errorf("%s: lost at %v after %d checks", c.name, lostAt, checks)
		}
	}
}

func one(time.Duration) int  { return 1 }
func none(time.Duration) int { return 0 }
func is(d DialResult) func(time.Duration) DialResult {
	return func(time.Duration) DialResult { return d }
}

// TestHeardAgain: a server that was lost and speaks again is judged anew.
func TestHeardAgain(t *testing.T) {
	detector := New(0)
	detector.RecordDial(time.Second, Refused, 0)
	if detector.Next(time.Second, time.Second, 0, true) != Lost {
		t.Fatal("not lost")
	}
	detector.RecordHeartbeat(2 * time.Second)
	if v := detector.Next(2*time.Second, time.Second, 1, true); v != Wait {
		t.Errorf("verdict %v after it was heard", v)
	}
}

// TestNoNotes: where settings say that no notes come, a server that says nothing is looked at now and then only (seen: a
// connection a second to each server with sessions), and one that has vanished is still found out in time.
func TestNoNotes(t *testing.T) {
	for name, dial := range map[string]DialResult{"alive": Connected, "vanished": NoResponse} {
		detector, checks, lostAt := New(0), 0, time.Duration(-1)
		for at := time.Duration(0); at < 12*time.Second && lostAt < 0; at += 100 * time.Millisecond {
			switch detector.Next(at, 0, 1, true) {
			case Check:
				checks++
				detector.RecordCheck(at, dial, 1)
			case Lost:
				lostAt = at
			}
		}
		if dial == Connected && (checks == 0 || checks > 3 || lostAt >= 0) || dial == NoResponse && (lostAt < 0 || lostAt > 6*time.Second) {
			t.Errorf("%s: %d checks, lost at %v", name, checks, lostAt)
		}
	}
}
