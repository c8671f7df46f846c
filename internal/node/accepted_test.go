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
// message on its connection: they are answered there, and then the connection is closed. A set-up whose id was received
// is refused by name, unless the refusal could be taken for the answer to an earlier one.
func TestMalformedMessageSparesEarlierRequests(t *testing.T) {
	good := setUpRequest(idC, "free", "")
	for name, c := range map[string]struct {
		text   string
		id     string // of the message that is refused, if it was received
		status int
	}{
		"noise":             {"\x16\x03\x01\x02\x00\x01\r\n\r\n", "", 400},
		"negative length":   {strings.Replace(good, "Content-Length: ", "Content-Length: -", 1), idC, 400},
		"too large":         {strings.Replace(good, "Content-Length: ", "Content-Length: 6000000", 1), idC, 413},
		"incomplete":        {good[:60], "", 408},
		"incomplete body":   {good[:len(good)-1], idC, 408},
		"id of the request": {strings.Replace(setUpRequest(idA, "paid", ""), "Content-Length: ", "Content-Length: -", 1), "", 400},
		"not a set-up":      {strings.Replace(tearDownRequest(idC), "Content-Length: 0", "Content-Length: -", 1), "", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, "s-1", nil)
			n := startNode(t, b)
			long := strings.NewReplacer("X-Timer-Ms: 3000", "X-Timer-Ms: 9000")
			v := n.dial().send(long.Replace(setUpRequest(idA, "paid", "") + setUpRequest(idB, "paid", "")))
			first, second := b.next(t, "open"), b.next(t, "open")
			v.send(c.text)
			v.wantAnswer(c.id, c.status)
			answerReady(first)
			v.wantAnswer(first.ID, 200)
			v.send(setUpRequest(idC, "free", "")) // not handled, since it follows the malformed message
			answerReady(second)
			if got := v.answerThenEOF(second.ID); got != 200 {
				t.Errorf("answer status %d", got)
			}
			n.wantSessionCount(2)
		})
	}
}

// TestProcessPauseKeepsRequests pauses the process for longer than its read deadlines. Requests that arrived in the
// socket buffers meanwhile were in time and must be answered: on a connection without an earlier message, in the second
// half of a message, and in the accept backlog.
func TestProcessPauseKeepsRequests(t *testing.T) {
	t.Parallel()
	p := startProcess(t, newBox(t, "s-1", answerReady))
	const each = 6 // several of each kind, because the scheduler chooses between an expired deadline and a readable socket
	var fresh, begun, backlog [each]*viewerClient
	id := func(kind, i int) string { return fmt.Sprintf("%016x", 0x100*(kind+1)+i) }
	for i := range each {
		fresh[i], begun[i] = p.dial(), p.dial()
		begun[i].send(setUpRequest(id(1, i), "free", "")[:60])
	}
	p.dial().send(optionsRequest).wantAnswer("", 200) // the process now reads from all of them
	p.pause(func() {
		for i := range each {
			fresh[i].send(setUpRequest(id(0, i), "free", ""))
			begun[i].send(setUpRequest(id(1, i), "free", "")[60:])
			backlog[i] = p.dial()
			backlog[i].send(setUpRequest(id(2, i), "free", ""))
		}
	}, max(firstMessageTimeout, messageTimeout)+200*time.Millisecond)
	for i := range each {
		fresh[i].wantAnswer(id(0, i), 200)
		begun[i].wantAnswer(id(1, i), 200)
		backlog[i].wantAnswer(id(2, i), 200)
	}
}

// TestHalfClosedViewer checks that a viewer that closes its write side after its request still gets the answer, and
// that the set-up of a viewer that closes both sides is withdrawn.
func TestHalfClosedViewer(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	if err := v.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	answerReady(b.next(t, "open"))
	if got := v.answerThenEOF(idA); got != 200 {
		t.Errorf("answer status %d", got)
	}
	n.wantSessionCount(1)
	closed := n.dial().send(setUpRequest(idB, "paid", ""))
	m := b.next(t, "open")
	_ = closed.Close()
	if c := b.next(t, "close"); c.ID != m.ID {
		t.Errorf("close for another session: %+v", c.Message)
	}
	n.wantSessionCount(1)
}

// TestResentSetUpIsAnswered resends a set-up after its connection was reset, while the first request is still open. The
// resent set-up gets the answer of the one attempt.
func TestResentSetUpIsAnswered(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startModifiedNode(t, waitForResends, b)
	first := n.dial().send(setUpRequest(idA, "paid", ""))
	m := b.next(t, "open")
	unblock := n.blockOrchestrator() // only the connection notices that the viewer left
	s := n.findSession(idA)
	first.reset()
	eventually(t, "the first connection closed", func() bool { return s.currentConn().phase() == phaseClosed })
	again := n.dial().send(setUpRequest(idA, "paid", ""))
	eventually(t, "the resent set-up handled", func() bool { return s.currentConn().phase() == phaseOpen })
	unblock()
	answerReady(m)
	again.wantAnswer(idA, 200)
	again.wantNoMessage()
	n.wantSessionCount(1)
}

// TestResentAfterWithdrawal resends a set-up that was withdrawn, before its attempt has ended. The answer carries the
// session id: a failure if the set-up was sent to a server, which may have run it, else a refusal.
func TestResentAfterWithdrawal(t *testing.T) {
	for status, sent := range map[int]bool{statusGatewayTimeout: true, statusServiceUnavailable: false} {
		b, g := newBox(t, "s-1", nil), newGate()
		n := startModifiedNode(t, func(n *Node) { n.Dial, n.recentAnswers.retention = gatedDial(g), testTimeout }, b)
		first := n.dial().send(setUpRequest(idA, "paid", ""))
		g.wait(t)
		if sent {
			close(g.open)
			b.next(t, "open")
		}
		unblock := n.blockOrchestrator()
		s := n.findSession(idA)
		first.reset()
		eventually(t, "withdrawn", s.isWithdrawn)
		again := n.dial().send(setUpRequest(idA, "paid", ""))
		again.wantAnswer(idA, status)
		unblock()
		if !sent {
			close(g.open)
		}
		again.wantNoMessage()
		n.wantSessionCount(0)
		again.send(setUpRequest(idA, "paid", "")) // once its attempt has ended
		if sent {
			again.wantAnswer(idA, status)
			n.wantNoSetUp(b, idA)
			continue
		}
		answerReady(b.next(t, "open")) // a set-up that was never sent may start anew
		again.wantAnswer(idA, statusOK)
	}
}

// TestTearDownOnAnotherConnectionIsAnswered tears down a pending set-up on another connection. The set-up gets one
// answer on its own connection, also if the server's answer arrives at the same time. As it may have run at the server,
// the answer is a failure.
func TestTearDownOnAnotherConnectionIsAnswered(t *testing.T) {
	for _, crossing := range []bool{false, true} {
		b := newBox(t, "s-1", nil)
		n := startNode(t, b)
		v := n.dial().send(setUpRequest(idA, "paid", ""))
		m := b.next(t, "open")
		unblock := func() {}
		if crossing {
			unblock = n.blockOrchestrator()
			answerReady(m)
		}
		n.dial().send(tearDownRequest(idA))
		v.wantAnswer(idA, statusGatewayTimeout)
		unblock()
		v.wantNoMessage()
		n.wantSessionCount(0)
	}
}

// TestTearDownBeforeAttemptIsRefused tears down a set-up on another connection before it was sent to a server: its
// answer is a refusal, and it is not sent any more.
func TestTearDownBeforeAttemptIsRefused(t *testing.T) {
	b, g := newBox(t, "s-1", nil), newGate()
	n := startModifiedNode(t, func(n *Node) { n.Dial = gatedDial(g) }, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	g.wait(t)
	n.dial().send(tearDownRequest(idA))
	v.wantAnswer(idA, statusServiceUnavailable)
	close(g.open)
	v.wantNoMessage()
	n.wantSessionCount(0)
	n.wantNoSetUp(b, idA)
}

// TestNewConnectionWaitsForCapacity opens a connection while the maximum number of connections await answers. None of
// them is closed for it, and its request is answered as soon as one of theirs is.
func TestNewConnectionWaitsForCapacity(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startModifiedNode(t, func(n *Node) { n.viewerConns.maxConnections, n.viewerConns.reserveConnections = 2, 1 }, b)
	var waiting [3]*viewerClient
	var out [3]receivedMessage
	for i := range waiting {
		waiting[i] = n.dial().send(setUpRequest(fmt.Sprintf("%016x", i+1), "paid", ""))
		out[i] = b.next(t, "open")
	}
	late := n.dial().send(setUpRequest(idA, "paid", ""))
	time.Sleep(quietPeriod)
	answerReady(out[0])
	waiting[0].wantAnswer(out[0].ID, 200)
	answerReady(b.next(t, "open"))
	late.wantAnswer(idA, 200)
	for i := 1; i < len(waiting); i++ {
		answerReady(out[i])
		waiting[i].wantAnswer(out[i].ID, 200)
	}
}

// TestCloseAfterMalformedMessage closes a connection after a set-up and a malformed message. No attempt for the set-up
// may start later than the platform allows after that.
func TestCloseAfterMalformedMessage(t *testing.T) {
	b, g := newBox(t, "s-1", nil), newGate()
	n := startModifiedNode(t, func(n *Node) { n.Dial = gatedDial(g) }, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	g.wait(t)
	v.send("\x16\x03\x01\x02\x00\x01\r\n\r\n").wantAnswer("", 400)
	blocked := n.attemptsBlocked(idA)
	_ = v.Close()
	eventually(t, "attempts blocked", blocked)
	close(g.open)
	n.wantSessionCount(0)
	n.wantNoSetUp(b, idA)
}
