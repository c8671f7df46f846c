package node

import (
	"fmt"
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
		chosen = n.viewerConns.evictionCandidate(time.Now(), nil)
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

// Guards against: a connection was closed to make room although a request had arrived on it that was not read yet.
func TestEvictionSparesUnreadRequests(t *testing.T) {
	t.Parallel()
	p := startProcess(t, newBox(t, "s-1", answerReady)) // 256 descriptors: half of them for viewers
	const each, idle, arriving = 8, 104, 24
	p.dial().send(optionsRequest).wantAnswer("", statusOK) // the process is listening
	for range idle {
		openIdleConn(t, p.addr)
	}
	var resting, fresh [each]*viewerClient
	for i := range each {
		resting[i] = p.dial().send(optionsRequest)
		resting[i].wantAnswer("", statusOK)
		fresh[i] = p.dial()
	}
	p.dial().send(optionsRequest).wantAnswer("", statusOK) // the node has accepted all of them
	id := func(kind, i int) string { return fmt.Sprintf("%016x", 0x100*(kind+1)+i) }
	p.pause(func() {
		for i := range each {
			resting[i].send(setUpRequest(id(0, i), "free", ""))
			fresh[i].send(setUpRequest(id(1, i), "free", ""))
		}
		for range arriving { // the node has no room for them
			p.dial()
		}
	}, 2*newConnectionGrace)
	for i := range each {
		resting[i].wantAnswer(id(0, i), statusOK)
		fresh[i].wantAnswer(id(1, i), statusOK)
	}
}
