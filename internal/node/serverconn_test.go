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
func (r *testNode) openIdleConn(b *box) {
	r.t.Helper()
	r.pool.mu.Lock()
	s := r.pool.servers[b.id]
	r.pool.mu.Unlock()
	if !r.pool.reserveFreeSlot() {
		r.t.Fatal("no slot for a connection to the server")
	}
	c, err := r.pool.dial(context.Background(), s, testTimeout, dialForSetUp)
	if err != nil {
		r.t.Fatal(err)
	}
	r.pool.putBack(c)
}

// TestServerClosesBeforeSetUpIsSent covers a server that closes a connection just before or after a set-up is written.
// Before the first byte nothing was sent: the set-up takes another connection, and the server is not considered
// faulty. After it the set-up may have run: an at-most-once set-up fails without another attempt, another one is sent
// again.
func TestServerClosesBeforeSetUpIsSent(t *testing.T) {
	for _, class := range []string{"free", "paid"} {
		t.Run(class, func(t *testing.T) {
			b, g := newBox(t, "s-1", nil), newGate()
			n := startModifiedNode(t, func(n *Node) {
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
			v := n.dial().send(setUpRequest(idA, class, ""))
			g.wait(t)
			eventually(t, "the connection accepted", func() bool { return b.acceptedCount() == 1 })
			b.mu.Lock()
			_ = b.conns[0].Close()
			b.mu.Unlock()
			eventually(t, "the close detected", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return l.detached })
			close(g.open)
			answerReady(b.next(t, "open"))
			v.wantAnswer(idA, 200)
			v.send(setUpRequest(idB, "paid", "")) // at-most-once set-ups avoid a server that failed
			answerReady(b.next(t, "open"))
			v.wantAnswer(idB, 200)

			v.send(setUpRequest(idC, class, ""))
			m := b.next(t, "open")
			_ = m.conn.Close()
			if class == "paid" {
				v.wantAnswer(idC, 504)
				n.wantSessionCount(2)
				return
			}
			answerReady(b.next(t, "open"))
			v.wantAnswer(idC, 200)
			n.wantSessionCount(3)
		})
	}
}

// TestServerDiesAfterAccept checks that an at-most-once set-up is sent to another server, exactly once, if the first
// server's process ends after accepting the connection and before the first byte: that server cannot have run it.
func TestServerDiesAfterAccept(t *testing.T) {
	a, b, g := newBox(t, "s-1", nil), newBox(t, "s-2", nil), newGate()
	n := startModifiedNode(t, func(n *Node) { n.beforeAdmission = func(id string) { g.pass(id) } }, a, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	g.wait(t)
	first, other := a, b
	n.pool.mu.Lock()
	if len(n.pool.servers["s-2"].conns) > 0 {
		first, other = b, a
	}
	c := n.pool.servers[first.id].conns[0]
	n.pool.mu.Unlock()
	eventually(t, "the connection accepted", func() bool { return first.acceptedCount() == 1 })
	first.crash()
	eventually(t, "the end of the connection detected", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return c.detached
	})
	close(g.open)
	m := other.next(t, "open")
	if m.ID != idA || len(first.received) > 0 {
		t.Errorf("got %+v; the first server received %d lines, want 0", m.Message, len(first.received))
	}
	answerReady(m)
	v.wantAnswer(idA, 200)
	n.wantSessionCount(1)
}

// TestDialCompletesAfterRemoval checks that a connection established after its server was removed from the list is
// closed, that its descriptor is freed and that the set-up waiting for it is placed on another server.
func TestDialCompletesAfterRemoval(t *testing.T) {
	a, g := newBox(t, "s-1", nil), newGate()
	n := startModifiedNode(t, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			if addr == a.listener.Addr().String() {
				g.pass(addr)
			}
			return dialTCP(ctx, addr, within)
		}
	}, a)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	g.wait(t)
	b := newBox(t, "s-2", answerReady)
	n.coordinator.push(coordinator.Entry{ID: "s-1", State: "removed"}, b.entry("up"))
	eventually(t, "the server removed", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return n.pool.servers["s-1"] == nil
	})
	close(g.open)
	v.wantAnswer(idA, 200)
	n.wantSessionCount(1)
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	if len(a.received) > 0 || n.pool.connCount != len(n.pool.servers["s-2"].conns) {
		t.Errorf("the removed server received %d lines, want 0; the pool counts %d connections",
			len(a.received), n.pool.connCount)
	}
}

// TestDuplicateAnswerIsIgnored checks that a duplicate answer that arrives during the next set-up on the same
// connection is not taken for the answer to that set-up.
func TestDuplicateAnswerIsIgnored(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	first := b.next(t, "open")
	answerReady(first)
	v.wantAnswer(idA, 200)
	v.send(setUpRequest(idB, "free", ""))
	second := b.next(t, "open")
	if second.conn != first.conn {
		t.Fatal("the second set-up used another connection")
	}
	first.conn.send(`{"msg":"ready","sid":%q,"text":"second"}`, idA) // after the next set-up was sent, before its answer
	answerReady(second)
	if m := v.wantAnswer(idB, 200); !strings.HasPrefix(string(m.Body), "for "+idB) {
		t.Errorf("body %q is not the answer to the second set-up", m.Body)
	}
	second.conn.send(`{"msg":"close","sid":%q,"code":47}`, idC) // the end of an unknown session
	v.wantNoMessage()
	n.wantSessionCount(2)
}

// TestRetiredConnFlushesRelease checks that a release queued just before its connection is retired as surplus still
// reaches the server.
func TestRetiredConnFlushesRelease(t *testing.T) {
	b := newBox(t, "s-1", answerReady)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	v.wantAnswer(idA, 200)
	n.wantSessionCount(1)
	n.pool.mu.Lock()
	s := n.pool.servers["s-1"]
	surplus := s.anyConn()
	surplus.send("close", idA, nil, 31, "")
	n.pool.retireConn(surplus)
	counted, inUse := n.pool.connCount, len(s.conns)
	n.pool.mu.Unlock()
	if c := b.next(t, "close"); c.ID != idA {
		t.Errorf("got %+v, want the release of the session", c.Message)
	}
	if counted != 1 || inUse != 0 {
		t.Errorf("%d connections counted, want 1; %d in use, want 0", counted, inUse)
	}
	eventually(t, "its descriptor freed", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return len(n.pool.retired) == 0
	})
}

// TestStaleConnIsNotReused checks that a connection idle for so long that its server may close it carries no set-up.
func TestStaleConnIsNotReused(t *testing.T) {
	b := newBox(t, "s-1", answerReady)
	n := startNode(t, b)
	n.openIdleConn(b)
	idle := n.Config.Platform.ConnIdle
	n.pool.mu.Lock()
	old := n.pool.servers["s-1"].idleConns[0]
	old.lastActivity = n.now() - time.Duration(float64(idle)*0.81)
	n.pool.mu.Unlock()
	n.dial().send(setUpRequest(idA, "free", "")).wantAnswer(idA, 200)
	if m := b.next(t, "open"); b.acceptedCount() != 2 {
		t.Errorf("got %+v after %d connections, want 2", m.Message, b.acceptedCount())
	}
	n.wantSessionCount(1)
}

// TestSlowConnectKeepsSessions checks that two connections in a row that take longer than ConnectTimeout to establish
// end no session, and that a server that accepts no connection at all loses its sessions.
func TestSlowConnectKeepsSessions(t *testing.T) {
	for name, reachable := range map[string]bool{"late": true, "never": false} {
		t.Run(name, func(t *testing.T) {
			b := newBox(t, "s-1", nil)
			n := startModifiedNode(t, func(n *Node) {
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
			v := n.dial().send(setUpRequest(idA, "free", ";at:s-1"))
			n.wantSessionCount(1)
			if !reachable {
				v.wantRelease(idA, "cause=41")
				n.wantSessionCount(0)
				return
			}
			// The connection of this set-up is not established within ConnectTimeout.
			n.dial().send(setUpRequest(idB, "free", "")).wantAnswer(idB, 453)
			eventually(t, "a connection accepted", func() bool { return b.acceptedCount() > 0 })
			v.wantNoMessage()
			n.wantSessionCount(1)
		})
	}
}

// TestServerResendsReleaseOnNewConn covers a server's release that is lost with the connection it was written on,
// while others stay open. The server sends it again only on the next connection opened, so the node has to open one.
// The connection ends because a set-up on it timed out or because the server closed it.
func TestServerResendsReleaseOnNewConn(t *testing.T) {
	for name, end := range map[string]func(*testNode, *scriptedConn){
		"closed by the node": func(n *testNode, _ *scriptedConn) {
			n.pool.mu.Lock()
			defer n.pool.mu.Unlock()
			n.pool.retireConn(n.pool.servers["s-1"].idleConns[0])
		},
		"closed by the server": func(_ *testNode, on *scriptedConn) { _ = on.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBox(t, "s-1", answerReady)
			// Missing notes must not trigger the failure detector, whose checks would open connections too.
			n := startModifiedNode(t, func(n *Node) { n.Config.Set.LinkNoteInterval = time.Hour }, b)
			v := n.dial().send(setUpRequest(idA, "free", ""))
			v.wantAnswer(idA, 200)
			first := b.next(t, "open")
			n.openIdleConn(b)
			n.wantSessionCount(1)
			eventually(t, "two connections", func() bool { return b.acceptedCount() == 2 })
			end(n, first.conn)
			eventually(t, "the end of the connection detected", func() bool {
				n.pool.mu.Lock()
				defer n.pool.mu.Unlock()
				return n.pool.servers["s-1"].reconnectAt > 0
			})
			n.openIdleConn(b) // opened while the server may not have detected the end of the other yet
			eventually(t, "a connection opened at once, and another one after reconnectDelay", func() bool {
				return b.acceptedCount() == 4
			})
			b.mu.Lock()
			next := b.conns[3]
			b.mu.Unlock()
			next.send(`{"msg":"close","sid":%q,"code":16}`, idA)
			v.wantRelease(idA, "cause=16")
			n.wantSessionCount(0)
		})
	}
}
