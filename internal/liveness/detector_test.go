package liveness

import (
	"testing"
	"time"
)

// TestDetector simulates courses of events in steps of 100 ms and checks which servers are found lost, and when.
func TestDetector(t *testing.T) {
	const every = 2 * time.Second
	for _, c := range []struct {
		name          string
		heartbeat     func(at time.Duration) bool
		dial          func(at time.Duration) DialResult
		openConns     func(at time.Duration) int
		removed       bool
		setUpsTimeOut bool
		setUpDial     DialResult // result of each connection opened for a set-up
		lost          bool
		minLostAt     time.Duration
		maxLostAt     time.Duration
		minChecks     int
	}{
		{name: "notes arrive", heartbeat: func(at time.Duration) bool { return at%every == 0 }, openConns: oneConn},
		{name: "sends nothing, accepts connections", dial: always(Connected), openConns: oneConn, minChecks: 3},
		{name: "machine vanished", dial: always(NoResponse), openConns: oneConn, lost: true,
			minLostAt: 2 * time.Second, maxLostAt: 4 * time.Second, minChecks: 2},
		{name: "process ended, connections closed", dial: always(Refused), openConns: noConns,
			lost: true, maxLostAt: time.Second, minChecks: 1},
		{name: "refuses more connections, notes arrive",
			heartbeat: func(at time.Duration) bool { return at%every == 0 }, setUpDial: Refused, openConns: oneConn},
		{name: "connections of set-ups are slow", heartbeat: func(at time.Duration) bool { return at%every == 0 },
			setUpDial: NoResponse, dial: always(Connected), openConns: oneConn, minChecks: 10},
		{name: "process ended, connections left open", dial: always(Refused), openConns: oneConn, lost: true,
			minLostAt: 2 * time.Second, maxLostAt: 4 * time.Second, minChecks: 2},
		{name: "removed, connections left open", removed: true,
			heartbeat: func(at time.Duration) bool { return at == time.Second }, dial: always(Refused),
			openConns: oneConn, lost: true, minLostAt: time.Second, maxLostAt: 2 * time.Second, minChecks: 2},
		{name: "machine vanished, set-ups time out", setUpsTimeOut: true, dial: always(NoResponse), openConns: oneConn,
			lost: true, maxLostAt: time.Second, minChecks: 2},
		{name: "slow server, set-ups time out", setUpsTimeOut: true, dial: always(Connected), openConns: oneConn,
			minChecks: 10},
		{name: "removed, still running", removed: true, dial: always(Connected), openConns: oneConn, minChecks: 3},
		{name: "connections reset, server alive", dial: always(Connected), openConns: noConns, minChecks: 3},
		{name: "one handshake lost", dial: func(at time.Duration) DialResult {
			if at < 2600*time.Millisecond {
				return NoResponse
			}
			return Connected
		}, openConns: oneConn, minChecks: 2},
	} {
		detector, checks, lostAt := New(0), 0, time.Duration(-1)
		for at := time.Duration(0); at < 12*time.Second && lostAt < 0; at += 100 * time.Millisecond {
			if c.heartbeat != nil && c.heartbeat(at) {
				detector.RecordHeartbeat(at)
			}
			if c.setUpsTimeOut {
				detector.RecordSetUpTimeout()
			}
			if c.setUpDial != Connected {
				detector.RecordDial(at, c.setUpDial, c.openConns(at))
			}
			switch detector.Next(at, every, c.openConns(at), !c.removed) {
			case Check:
				checks++
				if c.dial == nil {
					t.Errorf("%s: unexpected check at %v", c.name, at)
					break
				}
				detector.RecordCheck(at, c.dial(at), c.openConns(at))
			case Lost:
				lostAt = at
			}
		}
		if c.lost != (lostAt >= 0) || lostAt >= 0 && (lostAt < c.minLostAt || lostAt > c.maxLostAt) ||
			checks < c.minChecks {
			t.Errorf("%s: lost at %v after %d checks", c.name, lostAt, checks)
		}
	}
}

func oneConn(time.Duration) int { return 1 }
func noConns(time.Duration) int { return 0 }
func always(d DialResult) func(time.Duration) DialResult {
	return func(time.Duration) DialResult { return d }
}

// TestHeartbeatAfterLost checks that a heartbeat of a server that was lost makes the detector treat it as alive again.
func TestHeartbeatAfterLost(t *testing.T) {
	detector := New(0)
	detector.RecordDial(time.Second, Refused, 0)
	if detector.Next(time.Second, time.Second, 0, true) != Lost {
		t.Fatal("a refused dial without open connections: server is not lost")
	}
	detector.RecordHeartbeat(2 * time.Second)
	if v := detector.Next(2*time.Second, time.Second, 1, true); v != Wait {
		t.Errorf("verdict %v after a heartbeat, want Wait", v)
	}
}

// TestWithoutNotes checks a fleet that is configured without notes. A silent server is checked only occasionally; it
// used to get one connection per second as long as it had sessions. A vanished server is still found in time.
func TestWithoutNotes(t *testing.T) {
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
		if dial == Connected && (checks == 0 || checks > 3 || lostAt >= 0) ||
			dial == NoResponse && (lostAt < 0 || lostAt > 6*time.Second) {
			t.Errorf("%s: %d checks, lost at %v", name, checks, lostAt)
		}
	}
}
