package node

import (
	"net"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
)

// settingsWithoutNotes are the default settings of a fleet whose servers send no notes.
var settingsWithoutNotes = strings.Replace(defaultSettings, `"reportsEvery":400000`, `"reportsEvery":0`, 1)

// restart replaces the server's process by a new one that listens at once: all connections are reset, and no new one is
// refused.
func (b *box) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// sendNotes sends a note on a session over the connection opened last, several times in each period, until the test
// ends.
func (b *box) sendNotes(t *testing.T, id string) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			b.sendNote(id)
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
}

// sendNote sends a note on a session over the connection opened last, if there is one.
func (b *box) sendNote(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.conns); n > 0 {
		b.conns[n-1].send(`{"msg":"event","sid":%q,"attrs":{"note":"link","value":0.1}}`, id)
	}
}

// TestListedRestartReleasesSessions guards against sessions that are never released: a server's process is replaced by
// one that listens at once, and the list reports its start later. The first start reported for a server was ignored.
// The sessions of the new process stay.
func TestListedRestartReleasesSessions(t *testing.T) {
	minute := time.Minute.Milliseconds()
	for name, started := range map[string]struct{ before, after int64 }{
		"first start reported":       {0, time.Now().UnixMilli()},
		"later start":                {time.Now().UnixMilli() - minute, time.Now().UnixMilli()},
		"earlier start, clock moved": {time.Now().UnixMilli(), time.Now().UnixMilli() - minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, "s-1", answerReady)
			entry := b.entry("up")
			entry.StartedMs = started.before
			n := startNodeWithSettings(t, 256, settingsWithoutNotes, func(*Node) {}, []coordinator.Entry{entry})
			v := n.dial().send(setUpRequest(idA, "free", ""))
			v.wantAnswer(idA, 200)
			accepted := b.acceptedCount()
			b.restart()
			eventually(t, "a connection to the new process", func() bool { return b.acceptedCount() > accepted })
			v.send(setUpRequest(idB, "free", "")).wantAnswer(idB, 200)
			entry.StartedMs = started.after
			n.coordinator.push(entry)
			v.wantRelease(idA, "cause=41")
			v.wantNoMessage()
			n.wantSessionCount(1)
			entry.State = "draining"
			n.coordinator.push(entry) // the same start again
			v.wantNoMessage()
			n.wantSessionCount(1)
		})
	}
}

// TestListedRestartOfVanishedMachine guards against sessions that are never released: a machine vanishes and comes back
// so quickly that no connection ends and no check fails. Only the list reports the new process. A session that began
// just before may be one of the new process, and stays if a message shows that it runs.
func TestListedRestartOfVanishedMachine(t *testing.T) {
	for name, running := range map[string]bool{"before the restart": false, "after the restart": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, "s-1", answerReady)
			n := startNodeWithSettings(t, 256, settingsWithoutNotes, func(*Node) {}, []coordinator.Entry{b.entry("up")})
			v := n.dial().send(setUpRequest(idA, "free", ""))
			v.wantAnswer(idA, 200)
			entry := b.entry("up")
			entry.StartedMs = time.Now().UnixMilli()
			n.coordinator.push(entry)
			if !running {
				v.wantRelease(idA, "cause=41")
				n.wantSessionCount(0)
				return
			}
			b.sendNotes(t, idA)
			_ = v.SetReadDeadline(time.Now().Add(8 * time.Second)) // when the release of a lost session is due
			if m, err := v.reader.Next(); err == nil {
				t.Errorf("message for a session that runs: %+v", m)
			}
			n.wantSessionCount(1)
		})
	}
}

// TestAdoptionBeforeFirstListing checks that the first start time that a list reports of a server is no restart for a
// session that was taken over before the server was listed.
func TestAdoptionBeforeFirstListing(t *testing.T) {
	n := startNode(t, newBox(t, "s-1", nil))
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock() // the failure detector must not run before the server is listed
	s := n.pool.addServer("s-2", n.now())
	s.activeSessions[idA] = activeSession{openedAt: n.now()}
	n.pool.applyReport(s, serverReport{addr: "127.0.0.1:1", startedMs: time.Now().UnixMilli()}, n.now())
	if _, active := s.activeSessions[idA]; !active {
		t.Error("the session was lost")
	}
	delete(n.pool.servers, "s-2")
}

// TestRestartWithoutList guards against sessions that are never released: a server's process is replaced by one that
// listens at once, and no list reports it. The new process sends no notes on the old one's sessions, while other
// servers send theirs. A process that has only closed its connections goes on sending notes, and where no server sends
// any, their absence proves nothing: its sessions stay.
func TestRestartWithoutList(t *testing.T) {
	for name, c := range map[string]struct{ alone, sentBefore, othersSend, processLives, released bool }{
		"new process":                    {othersSend: true, released: true},
		"only connections reset":         {othersSend: true, processLives: true},
		"no server sends notes just now": {sentBefore: true},
		"new process of the only server": {alone: true, sentBefore: true, released: true},
		"the only server, without notes": {alone: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newBox(t, "s-1", nil), newBox(t, "s-2", nil)
			n := startNode(t, a, b)
			v := n.dial().send(setUpRequest(idA, "free", ";at:s-1"))
			sessions := 1
			if !c.alone {
				v.send(setUpRequest(idB, "free", ";at:s-2"))
				sessions = 2
			}
			n.wantSessionCount(sessions)
			eventually(t, "a connection to each server with sessions", func() bool {
				return a.acceptedCount() > 0 && (c.alone || b.acceptedCount() > 0)
			})
			if c.sentBefore {
				a.sendNote(idA)
				eventually(t, "the note", func() bool {
					n.pool.mu.Lock()
					defer n.pool.mu.Unlock()
					return n.pool.servers["s-1"].lastNoteAt > 0
				})
			}
			if c.othersSend {
				b.sendNotes(t, idB)
			}
			time.Sleep(4 * quietPeriod) // a session that has only just begun could be one of the new process
			a.restart()
			if c.processLives {
				a.sendNotes(t, idA)
			}
			if c.released {
				v.wantRelease(idA, "cause=41")
				n.wantSessionCount(sessions - 1)
				if m := a.next(t, "close"); m.ID != idA { // in case it runs after all
					t.Errorf("release of session %s, want %s", m.ID, idA)
				}
				return
			}
			_ = v.SetReadDeadline(time.Now().Add(2500 * time.Millisecond)) // over twice the longest silence
			if m, err := v.reader.Next(); err == nil {
				t.Errorf("message for a session that may still run: %+v", m)
			}
			n.wantSessionCount(sessions)
		})
	}
}

// TestSuspicionClosesNoConnection guards against a set-up that fails because its server once closed another connection:
// the sessions that no note has named since then are ended, but a connection that waits for an answer stays open.
func TestSuspicionClosesNoConnection(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "free", ";at:s-1"))
	eventually(t, "a connection to the server", func() bool { return b.acceptedCount() > 0 })
	v.send(setUpRequest(idB, "paid", ""))
	setUp := b.next(t, "open")
	n.pool.mu.Lock()
	s, now := n.pool.servers["s-1"], n.now()
	s.lastNoteAt = now
	s.process.RecordConnEnd(now-time.Second, now)
	n.pool.mu.Unlock()
	v.wantRelease(idA, "cause=41")
	answerReady(setUp)
	v.wantAnswer(idB, 200)
}
