package node

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
)

// warm has a connection to a server rest.
func (r *rig) openIdleConn(b *box) {
	r.t.Helper()
	r.pool.mu.Lock()
	s := r.pool.servers[b.id]
	r.pool.mu.Unlock()
	if !r.pool.reserveFreeSlot() {
		r.t.Fatal("no place for a connection")
	}
	l, err := r.pool.dial(context.Background(), s, testFor, dialForSetUp)
	if err != nil {
		r.t.Fatal(err)
	}
	r.pool.putBack(l)
}

// TestServerClosesAsSetUpComes: a server closes an idle connection. Ahead of the set-up's first byte nothing was sent:
// another connection takes it, and nothing speaks against the server. Behind it the set-up may have run: a paid one fails
// and is sent nowhere else, a free one is sent on.
func TestServerClosesBeforeSetUpIsSent(t *testing.T) {
	for _, class := range []string{"free", "paid"} {
		t.Run(class, func(t *testing.T) {
			b, g := newBox(t, "s-1", nil), newGate()
			n := startGated(t, func(n *Node) {
				n.beforeAdmission = func(id string) {
					if id == idA {
						g.pass(id)
					}
				}
			}, b)
			n.openIdleConn(b)
			n.pool.mu.Lock()
			l := n.pool.servers["s-1"].idleConns[0]
			n.pool.mu.Unlock()
			v := n.dial().say(setUp(idA, class, ""))
			g.wait(t)
			eventually(t, "a connection", func() bool { return b.accepted() == 1 })
			b.mu.Lock()
			_ = b.conns[0].Close()
			b.mu.Unlock()
			eventually(t, "the close seen", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return l.detached })
			close(g.open)
			ready(b.next(t, "open"))
			v.want(idA, 200)
			v.say(setUp(idB, "paid", "")) // paid set-ups stay off a server that failed
			ready(b.next(t, "open"))
			v.want(idB, 200)

			v.say(setUp(idC, class, ""))
			m := b.next(t, "open")
			_ = m.on.Close()
			if class == "paid" {
				v.want(idC, 504)
				n.agree(2)
				return
			}
			ready(b.next(t, "open"))
			v.want(idC, 200)
			n.agree(3)
		})
	}
}

// TestKilledBehindAccept: a process that ends between its accept and the first byte ran nothing; a paid set-up goes
// elsewhere, and once only.
func TestServerDiesAfterAccept(t *testing.T) {
	a, b, g := newBox(t, "s-1", nil), newBox(t, "s-2", nil), newGate()
	n := startGated(t, func(n *Node) { n.beforeAdmission = func(id string) { g.pass(id) } }, a, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	g.wait(t)
	first, other := a, b
	n.pool.mu.Lock()
	if len(n.pool.servers["s-2"].conns) > 0 {
		first, other = b, a
	}
	l := n.pool.servers[first.id].conns[0]
	n.pool.mu.Unlock()
	eventually(t, "accepted", func() bool { return first.accepted() == 1 })
	first.die()
	eventually(t, "the end seen", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return l.detached })
	close(g.open)
	m := other.next(t, "open")
	if m.ID != idA || len(first.heard) > 0 {
		t.Errorf("%+v; the first heard %d lines", m.Message, len(first.heard))
	}
	ready(m)
	v.want(idA, 200)
	n.agree(1)
}

// TestDialBehindRemoval: a connection that comes up when its server has left the list is closed; the set-up that waited
// for it is placed anew. Nothing keeps the descriptor.
func TestDialCompletesAfterRemoval(t *testing.T) {
	a, g := newBox(t, "s-1", nil), newGate()
	n := startGated(t, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			if addr == a.l.Addr().String() {
				g.pass(addr)
			}
			return dialTCP(ctx, addr, within)
		}
	}, a)
	v := n.dial().say(setUp(idA, "free", ""))
	g.wait(t)
	b := newBox(t, "s-2", ready)
	n.feed.push(coordinator.Entry{ID: "s-1", State: "removed"}, b.entry("up"))
	eventually(t, "removed", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return n.pool.servers["s-1"] == nil })
	close(g.open)
	v.want(idA, 200)
	n.agree(1)
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	if len(a.heard) > 0 || n.pool.connCount != len(n.pool.servers["s-2"].conns) {
		t.Errorf("the removed server heard %d lines; %d connections counted", len(a.heard), n.pool.connCount)
	}
}

// TestSecondAnswerCrosses: a second answer some time after the first meets the next set-up on its connection, and is
// not taken for that one's.
func TestDuplicateAnswerIsIgnored(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().say(setUp(idA, "free", ""))
	first := b.next(t, "open")
	ready(first)
	v.want(idA, 200)
	v.say(setUp(idB, "free", ""))
	second := b.next(t, "open")
	if second.on != first.on {
		t.Fatal("another connection")
	}
	first.on.say(`{"msg":"ready","sid":%q,"text":"second"}`, idA) // behind the next set-up, ahead of its answer
	ready(second)
	if m := v.want(idB, 200); !strings.HasPrefix(string(m.Body), "for "+idB) {
		t.Errorf("%q", m.Body)
	}
	second.on.say(`{"msg":"close","sid":%q,"code":47}`, idC) // an end that nobody waits for
	v.silent()
	n.agree(2)
}

// TestReleaseCrossesClosingOfSurplus: a release that is queued as its connection is closed for being one too many still reaches
// the server.
func TestRetiredConnFlushesRelease(t *testing.T) {
	b := newBox(t, "s-1", ready)
	n := startNode(t, b)
	v := n.dial().say(setUp(idA, "free", ""))
	v.want(idA, 200)
	n.agree(1)
	n.pool.mu.Lock()
	s := n.pool.servers["s-1"]
	l := s.anyConn()
	l.send("close", idA, nil, 31, "")
	n.pool.retireConn(l)
	links, left := n.pool.connCount, len(s.conns)
	n.pool.mu.Unlock()
	if c := b.next(t, "close"); c.ID != idA {
		t.Errorf("%+v", c.Message)
	}
	if links != 1 || left != 0 {
		t.Errorf("%d connections counted, %d in use", links, left)
	}
	eventually(t, "its descriptor back", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return len(n.pool.retired) == 0 })
}

// TestIdleTimeOut: a connection that its server may close at any moment carries no set-up any more.
func TestStaleConnIsNotReused(t *testing.T) {
	b := newBox(t, "s-1", ready)
	n := startNode(t, b)
	n.openIdleConn(b)
	idle := n.Config.Platform.ConnIdle
	n.pool.mu.Lock()
	old := n.pool.servers["s-1"].idleConns[0]
	old.lastActivity = n.now() - time.Duration(float64(idle)*0.81)
	n.pool.mu.Unlock()
	n.dial().say(setUp(idA, "free", "")).want(idA, 200)
	if m := b.next(t, "open"); b.accepted() != 2 {
		t.Errorf("%+v on connection %d", m.Message, b.accepted())
	}
	n.agree(1)
}

// TestLateConnections: connections that come up later than settings say, two in a row, end no session; a machine that
// lets none come up loses its sessions.
func TestSlowConnectKeepsSessions(t *testing.T) {
	for name, reachable := range map[string]bool{"late": true, "never": false} {
		t.Run(name, func(t *testing.T) {
			b := newBox(t, "s-1", nil)
			n := startGated(t, func(n *Node) {
				n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
					const connectTime = 500 * time.Millisecond // between what a set-up waits for it and what a check does
					inTime := reachable && within > connectTime
					wait := time.NewTimer(min(within, connectTime))
					defer wait.Stop()
					select {
					case <-ctx.Done():
						return nil, ctx.Err()
					case <-wait.C:
					}
					if !inTime {
						return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
					}
					return dialTCP(ctx, addr, within)
				}
			}, b)
			v := n.dial().say(setUp(idA, "free", ";at:s-1"))
			n.agree(1)
			if !reachable {
				v.wantRelease(idA, "cause=41")
				n.agree(0)
				return
			}
			n.dial().say(setUp(idB, "free", "")).want(idB, 453) // its connection did not come up in the settings' time
			eventually(t, "a connection", func() bool { return b.accepted() > 0 })
			v.silent()
			n.agree(1)
		})
	}
}

// TestReleaseCrossesEndOfConnection: a release is destroyed with the connection that it was written on, while others
// stay open; its server says it again on the next one opened, and the node opens one for that. The ways in which a
// connection ends: a set-up on it ran out of time, its server closed it.
func TestServerResendsReleaseOnNewConn(t *testing.T) {
	for name, end := range map[string]func(*rig, *peer){
		"by this side": func(n *rig, _ *peer) {
			n.pool.mu.Lock()
			defer n.pool.mu.Unlock()
			n.pool.retireConn(n.pool.servers["s-1"].idleConns[0])
		},
		"by the server": func(_ *rig, on *peer) { _ = on.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBox(t, "s-1", ready)
			// Notes are not missed in this test: the detector's own tries would open connections too.
			n := startGated(t, func(n *Node) { n.Config.Set.LinkNoteInterval = time.Hour }, b)
			v := n.dial().say(setUp(idA, "free", ""))
			v.want(idA, 200)
			first := b.next(t, "open")
			n.openIdleConn(b)
			n.agree(1)
			eventually(t, "two connections", func() bool { return b.accepted() == 2 })
			end(n, first.on)
			eventually(t, "the end seen", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return n.pool.servers["s-1"].reconnectAt > 0 })
			n.openIdleConn(b) // one that is opened as the other ends may be there before the server has seen the end
			eventually(t, "a connection opened at once, and another one later", func() bool { return b.accepted() == 4 })
			b.mu.Lock()
			next := b.conns[3]
			b.mu.Unlock()
			next.say(`{"msg":"close","sid":%q,"code":16}`, idA)
			v.wantRelease(idA, "cause=16")
			n.agree(0)
		})
	}
}
