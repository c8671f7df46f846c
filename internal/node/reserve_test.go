package node

import (
	"fmt"
	"testing"
)

const manyServers = 350

// adoptAt has a viewer name a session that plays at a server already.
func (d *dialogue) adoptAt(id, server string) { d.say(setUp(id, "free", ";at:"+server)) }

// TestMoreServersThanConnections: sessions stand at far more servers than connections may be open to. Half of the servers
// have ended theirs and say so on the first connection that comes, the others' sessions play on and keep needing one.
// Each release reaches its viewer in time, and no more connections are open than may be.
func TestMoreServersThanConnections(t *testing.T) {
	for _, sockets := range []int{64, 256, 640} {
		t.Run(fmt.Sprint(sockets, " descriptors"), func(t *testing.T) {
			boxes := make([]*box, manyServers)
			session := func(i int) string { return fmt.Sprintf("%016x", i+1) }
			for i := range boxes {
				boxes[i] = newBox(t, fmt.Sprintf("s-%d", i), nil)
				if i%2 == 0 {
					boxes[i].greetWith(func(on *peer) { on.say(`{"msg":"close","sid":%q,"attrs":{},"code":16}`, session(i)) })
				}
			}
			n := startWith(t, sockets, boxes...)
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
			n.agree(manyServers / 2)
			n.pool.mu.Lock()
			defer n.pool.mu.Unlock()
			if limit := sockets * 3 / 8; n.pool.maxConns != limit || n.pool.connCount > limit {
				t.Errorf("%d connections where %d may be open", n.pool.connCount, limit)
			}
		})
	}
}

// TestServersTakeTurns: with all places taken by servers whose sessions play, one without a connection still gets one
// from time to time: a session that ends there later is released in time too.
func TestServersShareConnections(t *testing.T) {
	const servers, places = 12, 4
	boxes := make([]*box, servers)
	for i := range boxes {
		boxes[i] = newBox(t, fmt.Sprintf("s-%d", i), nil)
	}
	n := startAs(t, 256, func(n *Node) { n.pool.maxConns = places }, boxes...)
	v := n.dial()
	for i, b := range boxes {
		v.adoptAt(fmt.Sprintf("%016x", i+1), b.id)
	}
	n.agree(servers)
	for _, b := range boxes {
		eventually(t, "a connection to "+b.id, func() bool { return b.accepted() > 0 })
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
		t.Fatal("more connections than places")
	}
	b := boxes[unconnected]
	before := b.accepted()
	eventually(t, "its next turn", func() bool { return b.accepted() > before })
	b.mu.Lock()
	on := b.conns[len(b.conns)-1]
	b.mu.Unlock()
	id := fmt.Sprintf("%016x", unconnected+1)
	on.say(`{"msg":"close","sid":%q,"attrs":{},"code":16}`, id)
	v.wantRelease(id, "cause=16")
	n.agree(servers - 1)
}
