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
	v := n.dial().say(ping)
	v.want("", 200)
	chosen := n.viewers.evictionCandidate(time.Now())
	if chosen == nil {
		t.Fatal("no connection is at rest")
	}
	v.say(setUp(idA, "paid", ""))
	m := b.next(t, "open")
	if chosen.closeIdle(closedForRoom) {
		t.Error("closed under a request")
	}
	ready(m)
	v.want(idA, statusPlays)
	n.agree(1)
}
