package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// The tests of this file close connections or pause the process while requests are pending: every request that was
// received must still be answered.

// TestMalformedMessageSparesEarlierRequests guards against losing the requests that precede a malformed or incomplete
// message on its connection: they are answered there, and then the connection is closed.
func TestMalformedMessageSparesEarlierRequests(t *testing.T) {
	good := setUp(idC, "free", "")
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"noise":           {"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400},
		"negative length": {strings.Replace(good, "Content-Length: ", "Content-Length: -", 1), 400},
		"too large":       {strings.Replace(good, "Content-Length: ", "Content-Length: 6000000", 1), 413},
		"incomplete":      {good[:60], 408},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, "s-1", nil)
			n := startNode(t, b)
			long := strings.NewReplacer("X-Timer-Ms: 3000", "X-Timer-Ms: 9000")
			v := n.dial().say(long.Replace(setUp(idA, "paid", "") + setUp(idB, "paid", "")))
			first, second := b.next(t, "open"), b.next(t, "open")
			v.say(c.text)
			v.want("", c.status)
			ready(first)
			v.want(first.ID, 200)
			v.say(setUp(idC, "free", "")) // not handled, since it follows the malformed message
			ready(second)
			if got := v.answerThenEOF(second.ID); got != 200 {
				t.Errorf("answer status %d", got)
			}
			n.agree(2)
		})
	}
}

// TestProcessPauseKeepsRequests pauses the process for longer than its read deadlines. Requests that arrived in the
// socket buffers meanwhile were in time and must be answered: on a connection without an earlier message, in the second
// half of a message, and in the accept backlog.
func TestProcessPauseKeepsRequests(t *testing.T) {
	t.Parallel()
	p := startProcess(t, newBox(t, "s-1", ready))
	const each = 6 // several of each kind, because the scheduler chooses between an expired deadline and a readable socket
	var fresh, begun, backlog [each]*dialogue
	id := func(kind, i int) string { return fmt.Sprintf("%016x", 0x100*(kind+1)+i) }
	for i := range each {
		fresh[i], begun[i] = p.dial(), p.dial()
		begun[i].say(setUp(id(1, i), "free", "")[:60])
	}
	p.dial().say(optionsRequest).want("", 200) // the process now reads from all of them
	p.pause(func() {
		for i := range each {
			fresh[i].say(setUp(id(0, i), "free", ""))
			begun[i].say(setUp(id(1, i), "free", "")[60:])
			backlog[i] = p.dial()
			backlog[i].say(setUp(id(2, i), "free", ""))
		}
	}, max(firstMessageTimeout, messageTimeout)+200*time.Millisecond)
	for i := range each {
		fresh[i].want(id(0, i), 200)
		begun[i].want(id(1, i), 200)
		backlog[i].want(id(2, i), 200)
	}
}

// TestHalfClosedViewer checks that a viewer that closes its write side after its request still gets the answer, and
// that the set-up of a viewer that closes both sides is withdrawn.
func TestHalfClosedViewer(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	if err := v.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	ready(b.next(t, "open"))
	if got := v.answerThenEOF(idA); got != 200 {
		t.Errorf("answer status %d", got)
	}
	n.agree(1)
	closed := n.dial().say(setUp(idB, "paid", ""))
	m := b.next(t, "open")
	_ = closed.Close()
	if c := b.next(t, "close"); c.ID != m.ID {
		t.Errorf("close for another session: %+v", c.Message)
	}
	n.agree(1)
}

// TestResentSetUpIsAnswered resends a set-up after its connection was reset, while the first request is still open. The
// resent set-up gets the answer of the one attempt.
func TestResentSetUpIsAnswered(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startGated(t, waitForResends, b)
	first := n.dial().say(setUp(idA, "paid", ""))
	m := b.next(t, "open")
	unblock := n.holdOwner() // only the connection notices that the viewer left
	s := n.findSession(idA)
	first.reset()
	eventually(t, "the first connection closed", func() bool { return s.currentConn().phase() == phaseClosed })
	again := n.dial().say(setUp(idA, "paid", ""))
	eventually(t, "the resent set-up handled", func() bool { return s.currentConn().phase() == phaseOpen })
	unblock()
	ready(m)
	again.want(idA, 200)
	again.silent()
	n.agree(1)
}

// TestResentAfterWithdrawal resends a set-up that was withdrawn, before its attempt has ended. The answer carries the
// session id: a failure if the set-up was sent to a server, which may have run it, else a refusal.
func TestResentAfterWithdrawal(t *testing.T) {
	for status, sent := range map[int]bool{statusGatewayTimeout: true, statusServiceUnavailable: false} {
		b, g := newBox(t, "s-1", nil), newGate()
		n := startGated(t, func(n *Node) { n.Dial, n.recentAnswers.retention = gatedDial(g), testFor }, b)
		first := n.dial().say(setUp(idA, "paid", ""))
		g.wait(t)
		if sent {
			close(g.open)
			b.next(t, "open")
		}
		unblock := n.holdOwner()
		s := n.findSession(idA)
		first.reset()
		eventually(t, "withdrawn", s.isWithdrawn)
		again := n.dial().say(setUp(idA, "paid", ""))
		again.want(idA, status)
		unblock()
		if !sent {
			close(g.open)
		}
		again.silent()
		n.agree(0)
		again.say(setUp(idA, "paid", "")) // once its attempt has ended
		if sent {
			again.want(idA, status)
			n.wantNoSetUp(b, idA)
			continue
		}
		ready(b.next(t, "open")) // a set-up that was never sent may start anew
		again.want(idA, statusOK)
	}
}

// TestTearDownOnAnotherConnectionIsAnswered tears down a pending set-up on another connection. The set-up gets one
// answer on its own connection, also if the server's answer arrives at the same time.
func TestTearDownOnAnotherConnectionIsAnswered(t *testing.T) {
	for _, crossing := range []bool{false, true} {
		b := newBox(t, "s-1", nil)
		n := startNode(t, b)
		v := n.dial().say(setUp(idA, "paid", ""))
		m := b.next(t, "open")
		unblock := func() {}
		if crossing {
			unblock = n.holdOwner()
			ready(m)
		}
		n.dial().say(tearDown(idA))
		v.want(idA, 503)
		unblock()
		v.silent()
		n.agree(0)
	}
}

// TestNewConnectionWaitsForCapacity opens a connection while the maximum number of connections await answers. None of
// them is closed for it, and its request is answered as soon as one of theirs is.
func TestNewConnectionWaitsForCapacity(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startGated(t, func(n *Node) { n.viewerConns.maxConnections, n.viewerConns.reserveConnections = 2, 1 }, b)
	var waiting [3]*dialogue
	var out [3]said
	for i := range waiting {
		waiting[i] = n.dial().say(setUp(fmt.Sprintf("%016x", i+1), "paid", ""))
		out[i] = b.next(t, "open")
	}
	late := n.dial().say(setUp(idA, "paid", ""))
	time.Sleep(quiet)
	ready(out[0])
	waiting[0].want(out[0].ID, 200)
	ready(b.next(t, "open"))
	late.want(idA, 200)
	for i := 1; i < len(waiting); i++ {
		ready(out[i])
		waiting[i].want(out[i].ID, 200)
	}
}

// TestCloseAfterMalformedMessage closes a connection after a set-up and a malformed message. No attempt for the set-up
// may start later than the platform allows after that.
func TestCloseAfterMalformedMessage(t *testing.T) {
	b, g := newBox(t, "s-1", nil), newGate()
	n := startGated(t, func(n *Node) { n.Dial = gatedDial(g) }, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	g.wait(t)
	v.say("\x16\x03\x01\x02\x00\x01\r\n\r\n").want("", 400)
	over := n.attemptsBlocked(idA)
	_ = v.Close()
	eventually(t, "attempts blocked", over)
	close(g.open)
	n.agree(0)
	n.wantNoSetUp(b, idA)
}
