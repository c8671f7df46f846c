package node

import (
	"fmt"
	"testing"
)

const manyServers = 350

// adoptAt sends a set-up that names a session which a server is already playing.
func (v *viewerClient) adoptAt(id, server string) { v.send(setUpRequest(id, "free", ";at:"+server)) }

// TestMoreServersThanConnections has active sessions at far more servers than the node may have connections to. Half of
// the servers have ended their session and report it on the next connection; the others keep needing a connection. Each
// release must reach its viewer in time, without exceeding the connection limit.
func TestMoreServersThanConnections(t *testing.T) {
	for _, sockets := range []int{64, 256, 640} {
		t.Run(fmt.Sprint(sockets, " descriptors"), func(t *testing.T) {
			boxes := make([]*box, manyServers)
			session := func(i int) string { return fmt.Sprintf("%016x", i+1) }
			for i := range boxes {
				boxes[i] = newBox(t, fmt.Sprintf("s-%d", i), nil)
				if i%2 == 0 {
					boxes[i].setOnAccept(func(on *scriptedConn) { on.send(`{"msg":"close","sid":%q,"attrs":{},"code":16}`, session(i)) })
				}
			}
			n := startNodeWithSockets(t, sockets, boxes...)
			v := n.dial()
			for i, b := range boxes {
				v.adoptAt(session(i), b.id)
			}
			for range manyServers / 2 {
				m := v.next()
				if m.Method != "TEARDOWN" || m.Get("Reason") != "cause=16" {
					t.Fatalf("not a release: %+v", m)
				}
				v.confirmRelease(m.Get("Session"))
			}
			n.wantSessionCount(manyServers / 2)
			n.pool.mu.Lock()
			defer n.pool.mu.Unlock()
			if limit := sockets * 3 / 8; n.pool.maxConns != limit || n.pool.connCount > limit {
				t.Errorf("%d connections open, the limit is %d", n.pool.connCount, limit)
			}
		})
	}
}

// TestServersShareConnections takes all connection slots for servers with active sessions. A server without a
// connection must still get one from time to time, so that a session that ends there later is released in time too.
func TestServersShareConnections(t *testing.T) {
	const servers, slots = 12, 4
	boxes := make([]*box, servers)
	for i := range boxes {
		boxes[i] = newBox(t, fmt.Sprintf("s-%d", i), nil)
	}
	n := startModifiedNodeWithSockets(t, 256, func(n *Node) { n.pool.maxConns = slots }, boxes...)
	v := n.dial()
	for i, b := range boxes {
		v.adoptAt(fmt.Sprintf("%016x", i+1), b.id)
	}
	n.wantSessionCount(servers)
	for _, b := range boxes {
		eventually(t, "a connection to "+b.id, func() bool { return b.acceptedCount() > 0 })
	}
	unconnected := -1
	n.pool.mu.Lock()
	for i, b := range boxes {
		if len(n.pool.servers[b.id].conns) == 0 {
			unconnected = i
		}
	}
	n.pool.mu.Unlock()
	if unconnected < 0 {
		t.Fatal("more connections than slots")
	}
	b := boxes[unconnected]
	before := b.acceptedCount()
	eventually(t, "another connection", func() bool { return b.acceptedCount() > before })
	b.mu.Lock()
	on := b.conns[len(b.conns)-1]
	b.mu.Unlock()
	id := fmt.Sprintf("%016x", unconnected+1)
	on.send(`{"msg":"close","sid":%q,"attrs":{},"code":16}`, id)
	v.wantRelease(id, "cause=16")
	n.wantSessionCount(servers - 1)
}
