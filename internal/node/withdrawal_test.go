package node

import (
	"net"
	"testing"
)

// heardNothing checks that a server was sent no set-up of an id so far; a later one, of another viewer, is the mark.
func (r *rig) wantNoSetUp(b *box, id string) {
	r.t.Helper()
	mark := "00000000000000ff"
	v := r.dial().say(setUp(mark, "free", ""))
	for {
		m := b.next(r.t, "open")
		if m.ID == id {
			r.t.Fatalf("%s was sent on though its viewer had left", id)
		}
		if m.ID == mark {
			ready(m)
			v.want(mark, 200)
			v.say(tearDown(mark))
			return
		}
	}
}

// halfClose is the way of leaving after which the viewer may still read.
const halfClose = "half close"

// withdrawals are the ways in which a viewer that waits can go.
var withdrawals = map[string]func(r *rig, v *dialogue){
	"close":                          func(_ *rig, v *dialogue) { _ = v.Close() },
	halfClose:                        func(_ *rig, v *dialogue) { _ = v.Conn.(*net.TCPConn).CloseWrite() },
	"reset":                          func(_ *rig, v *dialogue) { _ = v.Conn.(*net.TCPConn).SetLinger(0); _ = v.Close() },
	"teardown":                       func(_ *rig, v *dialogue) { v.say(tearDown(idA)) },
	"teardown on another connection": func(r *rig, _ *dialogue) { r.dial().say(tearDown(idA)) },
}

func (r *rig) attemptsBlocked(id string) func() bool {
	s := r.findSession(id)
	return func() bool { return !s.mayBeginAttempt() }
}

// TestViewerGoneWhileDialling: a viewer that leaves while its server's connection comes up is never sent on, though the
// owner does not get to hear of it in time; one that leaves just after is taken back at the server.
func TestViewerLeavesWhileDialing(t *testing.T) {
	for name, leave := range withdrawals {
		t.Run(name, func(t *testing.T) {
			b, g := newBox(t, "s-1", nil), newGate()
			n := startGated(t, func(n *Node) { n.Dial = gatedDial(g) }, b)
			v := n.dial().say(setUp(idA, "paid", ""))
			g.wait(t)
			gone, letGo := n.attemptsBlocked(idA), n.holdOwner()
			leave(n, v)
			eventually(t, "the viewer seen to leave", gone)
			close(g.open)
			eventually(t, "the attempt over", func() bool {
				n.pool.mu.Lock()
				defer n.pool.mu.Unlock()
				return len(n.pool.servers["s-1"].idleConns) == 1
			})
			letGo()
			n.wantNoSetUp(b, idA)
			n.agree(0)

			v = n.dial().say(setUp(idA, "paid", "")) // the other order
			m := b.next(t, "open")
			leave(n, v)
			if name == halfClose { // it may still read, and what is out for it goes on
				ready(m)
				if got := v.answerThenEOF(idA); got != 200 {
					t.Errorf("answered %d", got)
				}
				n.agree(1)
				return
			}
			if c := b.next(t, "close"); c.ID != m.ID {
				t.Errorf("%+v", c.Message)
			}
			n.agree(0)
		})
	}
}

// TestViewerGoneAtAdmission: the same where a connection rests and only the last look is left.
func TestViewerLeavesAtAdmission(t *testing.T) {
	for name, leave := range withdrawals {
		t.Run(name, func(t *testing.T) {
			b, g := newBox(t, "s-1", nil), newGate()
			n := startGated(t, func(n *Node) {
				n.beforeAdmission = func(id string) {
					if id == idA {
						g.pass(id)
					}
				}
			}, b)
			n.openIdleConn(b)
			v := n.dial().say(setUp(idA, "free", ""))
			g.wait(t)
			gone, letGo := n.attemptsBlocked(idA), n.holdOwner()
			leave(n, v)
			eventually(t, "the viewer seen to leave", gone)
			close(g.open)
			letGo()
			n.agree(0)
			n.wantNoSetUp(b, idA)
		})
	}
}

// TestNoRetryForTheGone: a first attempt fails as its viewer leaves; the owner hears of the failure first and the module
// orders another attempt, which must not go out.
func TestNoRetryAfterViewerLeft(t *testing.T) {
	a, b := newBox(t, "s-1", nil), newBox(t, "s-2", nil)
	n := startNode(t, a, b)
	n.openIdleConn(a)
	n.openIdleConn(b)
	v := n.dial().say(setUp(idA, "free", ""))
	first, other := a, b
	var m said
	select {
	case m = <-a.heard:
	case m = <-b.heard:
		first, other = b, a
	}
	gone, letGo := n.attemptsBlocked(idA), n.holdOwner()
	m.on.say(`{"msg":"close","sid":%q,"code":47}`, idA)
	eventually(t, "the failure taken", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return len(n.pool.servers[first.id].idleConns) == 1
	})
	_ = v.Close()
	eventually(t, "the viewer seen to leave", gone)
	letGo()
	n.agree(0)
	select {
	case m := <-other.heard:
		t.Errorf("sent again for nobody: %+v", m.Message)
	default:
	}
}
