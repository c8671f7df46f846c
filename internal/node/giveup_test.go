package node

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rainpulley/internal/jsonlines"
)

// TestGiveUpIsResentAfterReset resets the connection of a set-up that timed out before the server has read the give-up.
// The session may be active there, so the give-up must be sent again on another connection.
func TestGiveUpIsResentAfterReset(t *testing.T) {
	var first sync.Once
	tried := make(chan *box, 2)
	reset := make(chan struct{})
	answer := func(b **box) func(receivedMessage) {
		return func(m receivedMessage) {
			silent := false
			first.Do(func() { silent = true })
			if !silent {
				answerReady(m)
				return
			}
			tried <- *b
			<-reset // the server reads nothing more from this connection
			_ = m.conn.Conn.(*net.TCPConn).SetLinger(0)
			_ = m.conn.Close()
		}
	}
	var a, b *box
	a, b = newBox(t, "s-1", answer(&a)), newBox(t, "s-2", answer(&b))
	n := startNode(t, a, b)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	silent := <-tried
	v.wantAnswer(idA, 200) // from the other server
	close(reset)
	if m := silent.next(t, jsonlines.TypeClose); m.ID != idA {
		t.Errorf("given up: %+v", m.Message)
	}
}

// TestGiveUpSparesLaterAttempt breaks the connection of a set-up that timed out or is pending, and has a later attempt
// of the same request start a session at the same server. The give-up of the earlier attempt must not be sent any
// more, because it would end that session.
func TestGiveUpSparesLaterAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		atOnce bool // the connection breaks while the set-up is pending
	}{{"timed out", false}, {"connection broken while pending", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int64
			b := newBox(t, "s-1", func(m receivedMessage) {
				if m.Type == jsonlines.TypeClose && attempts.Load() > 1 {
					t.Errorf("the active session was released: %+v", m.Message)
				}
				if m.Type != jsonlines.TypeOpen {
					return
				}
				if attempts.Add(1) > 1 {
					answerReady(m)
					return
				}
				if !c.atOnce {
					time.Sleep(500 * time.Millisecond) // the attempt times out after 405 ms; the next one is pending by now
				}
				_ = m.conn.Conn.(*net.TCPConn).SetLinger(0)
				_ = m.conn.Close()
			})
			n := startNode(t, b)
			v := n.dial().send(setUpRequest(idA, "free", ""))
			v.wantAnswer(idA, 200)
			time.Sleep(2 * checkServersInterval)
			n.wantSessionCount(1)
		})
	}
}

// TestReleaseOfEarlierAttemptSparesSession breaks the connection of a set-up. The give-up goes to the server on the
// next connection, where a later attempt of the same request starts a session. When that connection breaks too, the
// give-up of the earlier attempt must not be sent again.
func TestReleaseOfEarlierAttemptSparesSession(t *testing.T) {
	var attempts atomic.Int64
	b := newBox(t, "s-1", func(m receivedMessage) {
		switch {
		case m.Type == jsonlines.TypeClose && attempts.Load() > 1:
			t.Errorf("the active session was released: %+v", m.Message)
		case m.Type == jsonlines.TypeOpen && attempts.Add(1) > 1:
			answerReady(m)
		case m.Type == jsonlines.TypeOpen:
			_ = m.conn.Conn.(*net.TCPConn).SetLinger(0)
			_ = m.conn.Close()
		}
	})
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	v.wantAnswer(idA, 200)
	later := b.next(t, jsonlines.TypeOpen)
	for later.conn == nil || attempts.Load() < 2 {
		later = b.next(t, jsonlines.TypeOpen)
	}
	b.mu.Lock()
	last := b.conns[len(b.conns)-1]
	before := len(b.conns)
	b.mu.Unlock()
	_ = last.Conn.(*net.TCPConn).SetLinger(0)
	_ = last.Close()
	eventually(t, "another connection", func() bool { return b.acceptedCount() > before })
	time.Sleep(2 * checkServersInterval)
	v.wantNoMessage()
	n.wantSessionCount(1)
}

// TestLateEndSparesSession has a server end a set-up that was given up, on that set-up's connection, while a later
// attempt of the same request has an active session there. That session continues, and its own end is forwarded.
func TestLateEndSparesSession(t *testing.T) {
	opened, done := make(chan receivedMessage, 2), make(chan struct{})
	b := newBox(t, "s-1", func(m receivedMessage) {
		if m.Type != jsonlines.TypeOpen {
			return
		}
		opened <- m
		if len(opened) < 2 {
			<-done // the server reads nothing more from the first connection and does not close it
		}
	})
	defer close(done)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	eventually(t, "two attempts", func() bool { return len(opened) == 2 }) // the first one times out
	first, second := <-opened, <-opened
	answerReady(second)
	v.wantAnswer(idA, 200)
	first.conn.send(`{"msg":"close","sid":%q,"attrs":{},"code":%d}`, idA, jsonlines.CauseCancelled)
	first.conn.send(`{"msg":"close","sid":%q,"attrs":{},"code":%d}`, idA, jsonlines.CauseEnd)
	v.wantNoMessage()
	n.wantSessionCount(1)
	second.endSession()
	v.wantRelease(idA, "cause=16")
	n.wantSessionCount(0)
}
