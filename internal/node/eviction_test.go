package node

import (
	"testing"
	"time"
)

// TestEvictionSparesRequest receives a set-up on a connection between its choice for eviction and its close. The
// connection stays open and the set-up is answered there.
func TestEvictionSparesRequest(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(optionsRequest)
	v.wantAnswer("", 200)
	var chosen *viewerConn // the answer is written before the connection counts as idle
	eventually(t, "an idle connection", func() bool {
		chosen = n.viewerConns.evictionCandidate(time.Now())
		return chosen != nil
	})
	v.send(setUpRequest(idA, "paid", ""))
	m := b.next(t, "open")
	if chosen.closeIfIdle(closedForCapacity) {
		t.Error("closed with a pending request")
	}
	answerReady(m)
	v.wantAnswer(idA, statusOK)
	n.wantSessionCount(1)
}
