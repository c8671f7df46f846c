package node

import (
	"testing"
	"time"
)

// TestEvictionSparesRequest: a connection is chosen to be closed for room, and before that happens a set-up has come on it.
// It stays open, and the set-up is answered there.
func TestEvictionSparesRequest(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().say(optionsRequest)
	v.want("", 200)
	var chosen *viewerConn // the answer is written ahead of the connection's rest
	eventually(t, "a connection at rest", func() bool { chosen = n.viewerConns.evictionCandidate(time.Now()); return chosen != nil })
	v.say(setUp(idA, "paid", ""))
	m := b.next(t, "open")
	if chosen.closeIfIdle(closedForCapacity) {
		t.Error("closed under a request")
	}
	ready(m)
	v.want(idA, statusOK)
	n.agree(1)
}
