package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// What was accepted stays owed: the tests of this file end a connection, or stop the process, around requests that wait.

// TestBadMessageKeepsNeighbours: a message that cannot be read, or stalls, ends its connection, but not the requests
// that were taken on it before: they are answered there, and then the connection closes.
func TestMalformedMessageSparesEarlierRequests(t *testing.T) {
	good := setUp(idC, "free", "")
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"noise":           {"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400},
		"negative length": {strings.Replace(good, "Content-Length: ", "Content-Length: -", 1), 400},
		"too large":       {strings.Replace(good, "Content-Length: ", "Content-Length: 6000000", 1), 413},
		"stalled":         {good[:60], 408},
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
			v.say(setUp(idC, "free", "")) // behind the bad message nothing is taken
			ready(second)
			if got := v.answerThenEOF(second.ID); got != 200 {
				t.Errorf("answered %d", got)
			}
			n.agree(2)
		})
	}
}

// TestPauseKeepsRequests: a process that stands still for longer than its read deadlines finds requests in its sockets'
// buffers when it goes on. They came in time, and are answered: one on a connection that had not spoken yet, one whose
// message had begun, and one in the accept backlog.
func TestProcessPauseKeepsRequests(t *testing.T) {
	t.Parallel()
	p := startProcess(t, newBox(t, "s-1", ready))
	const each = 6 // which of two things that are both due comes first is the scheduler's choice: each is tried often
	var fresh, begun, backlog [each]*dialogue
	id := func(kind, i int) string { return fmt.Sprintf("%016x", 0x100*(kind+1)+i) }
	for i := range each {
		fresh[i], begun[i] = p.dial(), p.dial()
		begun[i].say(setUp(id(1, i), "free", "")[:60])
	}
	p.dial().say(optionsRequest).want("", 200) // by now the process reads on all of them
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

// TestHalfClosedViewer: a viewer that has shut down its writing half behind its request still reads, and gets the answer;
// one that has closed both halves is not waited for.
func TestHalfClosedViewer(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	if err := v.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	ready(b.next(t, "open"))
	if got := v.answerThenEOF(idA); got != 200 {
		t.Errorf("answered %d", got)
	}
	n.agree(1)
	closed := n.dial().say(setUp(idB, "paid", ""))
	m := b.next(t, "open")
	_ = closed.Close()
	if c := b.next(t, "close"); c.ID != m.ID {
		t.Errorf("%+v", c.Message)
	}
	n.agree(1)
}

// TestResentSetUpIsAnswered: a set-up whose connection ends as it crosses is sent again under its id while the first copy
// is not over yet. The copy gets the one answer, of the one attempt.
func TestResentSetUpIsAnswered(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startGated(t, waitForResends, b)
	first := n.dial().say(setUp(idA, "paid", ""))
	m := b.next(t, "open")
	letGo := n.holdOwner() // what leaves is known to its connection only
	s := n.findSession(idA)
	first.reset()
	eventually(t, "the end of its connection seen", func() bool { return s.currentConn().phase() == phaseClosed })
	again := n.dial().say(setUp(idA, "paid", ""))
	eventually(t, "the copy taken", func() bool { return s.currentConn().phase() == phaseOpen })
	letGo()
	ready(m)
	again.want(idA, 200)
	again.silent()
	n.agree(1)
}

// TestResentTooLate: a set-up comes again when it has been withdrawn, which its attempt does not know yet. It is answered
// with its id: that it failed, if it was sent to a server, which may have run it; else that it is refused.
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
		letGo := n.holdOwner()
		s := n.findSession(idA)
		first.reset()
		eventually(t, "withdrawn", s.isWithdrawn)
		again := n.dial().say(setUp(idA, "paid", ""))
		again.want(idA, status)
		letGo()
		if !sent {
			close(g.open)
		}
		again.silent()
		n.agree(0)
		again.say(setUp(idA, "paid", "")) // when nothing of it is out any more
		if sent {
			again.want(idA, status)
			n.wantNoSetUp(b, idA)
			continue
		}
		ready(b.next(t, "open")) // what was never sent may be begun anew
		again.want(idA, statusOK)
	}
}

// TestTearDownByAnotherIsAnswered: a set-up that waits is ended on another connection. Whoever waits for it is answered,
// once, also where the server's answer crosses.
func TestTearDownOnAnotherConnectionIsAnswered(t *testing.T) {
	for _, crossing := range []bool{false, true} {
		b := newBox(t, "s-1", nil)
		n := startNode(t, b)
		v := n.dial().say(setUp(idA, "paid", ""))
		m := b.next(t, "open")
		letGo := func() {}
		if crossing {
			letGo = n.holdOwner()
			ready(m)
		}
		n.dial().say(tearDown(idA))
		v.want(idA, 503)
		letGo()
		v.silent()
		n.agree(0)
	}
}

// TestNoRoomIsWaitedFor: a request comes on a new connection while as many connections as may be open all wait for
// answers. Nobody is closed for it, and it is answered as soon as one of them is.
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

// TestCloseBehindBadMessage: a viewer sends what cannot be read behind a set-up, and closes. No attempt for the set-up
// begins later than the platform allows behind that.
func TestCloseAfterMalformedMessage(t *testing.T) {
	b, g := newBox(t, "s-1", nil), newGate()
	n := startGated(t, func(n *Node) { n.Dial = gatedDial(g) }, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	g.wait(t)
	v.say("\x16\x03\x01\x02\x00\x01\r\n\r\n").want("", 400)
	over := n.attemptsBlocked(idA)
	_ = v.Close()
	eventually(t, "no attempt may begin", over)
	close(g.open)
	n.agree(0)
	n.wantNoSetUp(b, idA)
}
