package node

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
)

// openIdleConn opens a connection to a server and leaves it idle in the pool.
func (r *rig) openIdleConn(b *box) {
	r.t.Helper()
	r.pool.mu.Lock()
	s := r.pool.servers[b.id]
	r.pool.mu.Unlock()
	if !r.pool.reserveFreeSlot() {
		r.t.Fatal("no slot for a connection to the server")
	}
	l, err := r.pool.dial(context.Background(), s, testFor, dialForSetUp)
	if err != nil {
		r.t.Fatal(err)
	}
	r.pool.putBack(l)
}

// TestServerClosesBeforeSetUpIsSent covers a server that closes a connection just before or after a set-up is written.
// Before the first byte nothing was sent: the set-up takes another connection, and the server is not considered
// faulty. After it the set-up may have run: an at-most-once set-up fails without another attempt, another one is sent
// again.
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
			eventually(t, "the connection accepted", func() bool { return b.accepted() == 1 })
			b.mu.Lock()
			_ = b.conns[0].Close()
			b.mu.Unlock()
			eventually(t, "the close detected", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return l.detached })
			close(g.open)
			ready(b.next(t, "open"))
			v.want(idA, 200)
			v.say(setUp(idB, "paid", "")) // at-most-once set-ups avoid a server that failed
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

// TestServerDiesAfterAccept checks that an at-most-once set-up is sent to another server, exactly once, if the first
// server's process ends after accepting the connection and before the first byte: that server cannot have run it.
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
	eventually(t, "the connection accepted", func() bool { return first.accepted() == 1 })
	first.die()
	eventually(t, "the end of the connection detected", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return l.detached })
	close(g.open)
	m := other.next(t, "open")
	if m.ID != idA || len(first.heard) > 0 {
		t.Errorf("got %+v; the first server received %d lines, want 0", m.Message, len(first.heard))
	}
	ready(m)
	v.want(idA, 200)
	n.agree(1)
}

// TestDialCompletesAfterRemoval checks that a connection established after its server was removed from the list is
// closed, that its descriptor is freed and that the set-up waiting for it is placed on another server.
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
	eventually(t, "the server removed", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return n.pool.servers["s-1"] == nil })
	close(g.open)
	v.want(idA, 200)
	n.agree(1)
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	if len(a.heard) > 0 || n.pool.connCount != len(n.pool.servers["s-2"].conns) {
		t.Errorf("the removed server received %d lines, want 0; the pool counts %d connections", len(a.heard), n.pool.connCount)
	}
}

// TestDuplicateAnswerIsIgnored checks that a duplicate answer that arrives during the next set-up on the same
// connection is not taken for the answer to that set-up.
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
		t.Fatal("the second set-up used another connection")
	}
	first.on.say(`{"msg":"ready","sid":%q,"text":"second"}`, idA) // after the next set-up was sent, before its answer
	ready(second)
	if m := v.want(idB, 200); !strings.HasPrefix(string(m.Body), "for "+idB) {
		t.Errorf("body %q is not the answer to the second set-up", m.Body)
	}
	second.on.say(`{"msg":"close","sid":%q,"code":47}`, idC) // the end of an unknown session
	v.silent()
	n.agree(2)
}

// TestRetiredConnFlushesRelease checks that a release queued just before its connection is retired as surplus still
// reaches the server.
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
	counted, inUse := n.pool.connCount, len(s.conns)
	n.pool.mu.Unlock()
	if c := b.next(t, "close"); c.ID != idA {
		t.Errorf("got %+v, want the release of the session", c.Message)
	}
	if counted != 1 || inUse != 0 {
		t.Errorf("%d connections counted, want 1; %d in use, want 0", counted, inUse)
	}
	eventually(t, "its descriptor freed", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return len(n.pool.retired) == 0 })
}

// TestStaleConnIsNotReused checks that a connection idle for so long that its server may close it carries no set-up.
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
		t.Errorf("got %+v after %d connections, want 2", m.Message, b.accepted())
	}
	n.agree(1)
}

// TestSlowConnectKeepsSessions checks that two connections in a row that take longer than ConnectTimeout to establish
// end no session, and that a server that accepts no connection at all loses its sessions.
func TestSlowConnectKeepsSessions(t *testing.T) {
	for name, reachable := range map[string]bool{"late": true, "never": false} {
		t.Run(name, func(t *testing.T) {
			b := newBox(t, "s-1", nil)
			n := startGated(t, func(n *Node) {
				n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
					const connectTime = 500 * time.Millisecond // between the time-outs for set-ups and for checks
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
			n.dial().say(setUp(idB, "free", "")).want(idB, 453) // its connection was not established within ConnectTimeout
			eventually(t, "a connection accepted", func() bool { return b.accepted() > 0 })
			v.silent()
			n.agree(1)
		})
	}
}

// TestServerResendsReleaseOnNewConn covers a server's release that is lost with the connection it was written on,
// while others stay open. The server sends it again only on the next connection opened, so the node has to open one.
// The connection ends because a set-up on it timed out or because the server closed it.
func TestServerResendsReleaseOnNewConn(t *testing.T) {
	for name, end := range map[string]func(*rig, *peer){
		"closed by the node": func(n *rig, _ *peer) {
			n.pool.mu.Lock()
			defer n.pool.mu.Unlock()
			n.pool.retireConn(n.pool.servers["s-1"].idleConns[0])
		},
		"closed by the server": func(_ *rig, on *peer) { _ = on.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBox(t, "s-1", ready)
			// Missing notes must not trigger the failure detector, whose checks would open connections too.
			n := startGated(t, func(n *Node) { n.Config.Set.LinkNoteInterval = time.Hour }, b)
			v := n.dial().say(setUp(idA, "free", ""))
			v.want(idA, 200)
			first := b.next(t, "open")
			n.openIdleConn(b)
			n.agree(1)
			eventually(t, "two connections", func() bool { return b.accepted() == 2 })
			end(n, first.on)
			eventually(t, "the end of the connection detected", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return n.pool.servers["s-1"].reconnectAt > 0 })
			n.openIdleConn(b) // opened while the server may not have detected the end of the other yet
			eventually(t, "a connection opened at once, and another one after reconnectDelay", func() bool { return b.accepted() == 4 })
			b.mu.Lock()
			next := b.conns[3]
			b.mu.Unlock()
			next.say(`{"msg":"close","sid":%q,"code":16}`, idA)
			v.wantRelease(idA, "cause=16")
			n.agree(0)
		})
	}
}
