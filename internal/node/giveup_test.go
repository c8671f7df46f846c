package node

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rainpulley/internal/jsonlines"
)

// TestGiveUpLostWithItsConnection: a set-up is given up for time, and its connection is reset before the server has read
// that. The session may stand there: the server is told again on another connection.
func TestGiveUpIsResentAfterReset(t *testing.T) {
	var first sync.Once
	tried := make(chan *box, 2)
	reset := make(chan struct{})
	answer := func(b **box) func(said) {
		return func(m said) {
			silent := false
			first.Do(func() { silent = true })
			if !silent {
				ready(m)
				return
			}
			tried <- *b
			<-reset // it reads nothing more of this connection
			_ = m.on.Conn.(*net.TCPConn).SetLinger(0)
			_ = m.on.Close()
		}
	}
	var a, b *box
	a, b = newBox(t, "s-1", answer(&a)), newBox(t, "s-2", answer(&b))
	n := startNode(t, a, b)
	v := n.dial().say(setUp(idA, "free", ""))
	silent := <-tried
	v.want(idA, 200) // of the other
	close(reset)
	if m := silent.next(t, jsonlines.TypeClose); m.ID != idA {
		t.Errorf("%+v", m.Message)
	}
}

// TestGiveUpSparesLaterAttempt: the connection of a set-up that was given up, or on which one was out, breaks, and a later
// attempt of the same request comes to stand at the same server. What concerns the earlier one is not said any more: it
// would end the session.
func TestGiveUpSparesLaterAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		atOnce bool // the connection breaks while the set-up is out
	}{{"given up for time", false}, {"broken while it is out", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int64
			b := newBox(t, "s-1", func(m said) {
				if m.Type == jsonlines.TypeClose && attempts.Load() > 1 {
					t.Errorf("the session that stands was released: %+v", m.Message)
				}
				if m.Type != jsonlines.TypeOpen {
					return
				}
				if attempts.Add(1) > 1 {
					ready(m)
					return
				}
				if !c.atOnce {
					time.Sleep(500 * time.Millisecond) // its time is 405 ms: the next attempt is out by now
				}
				_ = m.on.Conn.(*net.TCPConn).SetLinger(0)
				_ = m.on.Close()
			})
			n := startNode(t, b)
			v := n.dial().say(setUp(idA, "free", ""))
			v.want(idA, 200)
			time.Sleep(2 * watchInterval)
			n.agree(1)
		})
	}
}

// TestOldReleaseSparesSession: a set-up's connection breaks, the server is told to give it up on the next one, and there a
// later attempt of the same request comes to stand. That connection breaks too: what was said on it about the earlier
// attempt is not said again.
func TestReleaseOfEarlierAttemptSparesSession(t *testing.T) {
	var attempts atomic.Int64
	b := newBox(t, "s-1", func(m said) {
		switch {
		case m.Type == jsonlines.TypeClose && attempts.Load() > 1:
			t.Errorf("the session that stands was released: %+v", m.Message)
		case m.Type == jsonlines.TypeOpen && attempts.Add(1) > 1:
			ready(m)
		case m.Type == jsonlines.TypeOpen:
			_ = m.on.Conn.(*net.TCPConn).SetLinger(0)
			_ = m.on.Close()
		}
	})
	n := startNode(t, b)
	v := n.dial().say(setUp(idA, "free", ""))
	v.want(idA, 200)
	stands := b.next(t, jsonlines.TypeOpen)
	for stands.on == nil || attempts.Load() < 2 {
		stands = b.next(t, jsonlines.TypeOpen)
	}
	b.mu.Lock()
	last := b.conns[len(b.conns)-1]
	before := len(b.conns)
	b.mu.Unlock()
	_ = last.Conn.(*net.TCPConn).SetLinger(0)
	_ = last.Close()
	eventually(t, "another connection", func() bool { return b.accepted() > before })
	time.Sleep(2 * watchInterval)
	v.silent()
	n.agree(1)
}

// TestLateEndSparesSession: a server ends a set-up that was given up, on that one's connection, while a later attempt of
// the same request stands there. The session that stands plays on, and its own end is passed on.
func TestLateEndSparesSession(t *testing.T) {
	opened, done := make(chan said, 2), make(chan struct{})
	b := newBox(t, "s-1", func(m said) {
		if m.Type != jsonlines.TypeOpen {
			return
		}
		opened <- m
		if len(opened) < 2 {
			<-done // it reads nothing more of the first connection, and does not close it
		}
	})
	defer close(done)
	n := startNode(t, b)
	v := n.dial().say(setUp(idA, "free", ""))
	eventually(t, "two attempts", func() bool { return len(opened) == 2 }) // the first one's time runs out
	first, second := <-opened, <-opened
	ready(second)
	v.want(idA, 200)
	first.on.say(`{"msg":"close","sid":%q,"attrs":{},"code":%d}`, idA, jsonlines.CauseCancelled)
	first.on.say(`{"msg":"close","sid":%q,"attrs":{},"code":%d}`, idA, jsonlines.CauseEnd)
	v.silent()
	n.agree(1)
	second.endSession()
	v.wantRelease(idA, "cause=16")
	n.agree(0)
}
