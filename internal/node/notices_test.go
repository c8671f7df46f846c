package node

import (
	"testing"

	"rainpulley/internal/jsonlines"
)

const optionsRequest = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"

// endSession ends a served session at its server.
func (m receivedMessage) endSession() {
	m.conn.send(`{"msg":"close","sid":%q,"attrs":{},"code":%d}`, m.ID, jsonlines.CauseEnd)
}

// confirmRelease answers a release as a viewer does.
func (v *viewerClient) confirmRelease(id string) {
	v.send("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + id + "\r\nContent-Length: 0\r\n\r\n")
}

// pendingNoticeCount returns the number of unconfirmed notices for all viewers.
func (r *testNode) pendingNoticeCount() (count int) {
	r.viewerConns.mu.Lock()
	defer r.viewerConns.mu.Unlock()
	for _, pending := range r.viewerConns.pendingNotices {
		count += pending.Len()
	}
	return count
}

// TestNoticeWaitsForConnection checks that a viewer without a connection at its session's end is notified on the next
// one.
func TestNoticeWaitsForConnection(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	open := b.next(t, "open")
	answerReady(open)
	v.wantAnswer(idA, 200)
	n.wantSessionCount(1)
	_ = v.Close()
	eventually(t, "the connection closed", func() bool {
		n.viewerConns.mu.Lock()
		defer n.viewerConns.mu.Unlock()
		return len(n.viewerConns.conns) == 0
	})
	open.endSession()
	n.wantSessionCount(0)
	back := n.dial().send(optionsRequest)
	back.wantRelease(idA, "cause=16")
	back.wantAnswer("", 200)
	back.confirmRelease(idA)
	eventually(t, "the notice removed", func() bool { return n.pendingNoticeCount() == 0 })
}

// TestUnconfirmedNoticeIsResent checks that a notice whose connection ends before the viewer confirms it is sent again
// on another connection of the viewer, and that a confirmed one is not.
func TestUnconfirmedNoticeIsResent(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	first := n.dial()
	var opened [2]receivedMessage
	for i, id := range []string{idA, idB} {
		first.send(setUpRequest(id, "free", ""))
		opened[i] = b.next(t, "open")
		answerReady(opened[i])
		first.wantAnswer(id, 200)
	}
	second := n.dial().send(optionsRequest)
	second.wantAnswer("", 200)
	opened[0].endSession()
	first.wantRelease(idA, "cause=16")
	first.confirmRelease(idA)
	eventually(t, "the notice confirmed", func() bool { return n.pendingNoticeCount() == 0 })
	opened[1].endSession()
	eventually(t, "the notice queued on the connection", func() bool { return n.pendingNoticeCount() == 1 })
	_ = first.Close()
	second.wantRelease(idB, "cause=16")
	second.confirmRelease(idB)
	eventually(t, "the notice confirmed", func() bool { return n.pendingNoticeCount() == 0 })
	second.wantNoMessage()
}

// TestConnWithUnwrittenAnswerIsNotEvicted checks that a connection with an unwritten answer or a message in progress
// has the same eviction rank as one that awaits an answer.
func TestConnWithUnwrittenAnswerIsNotEvicted(t *testing.T) {
	n := startNode(t, newBox(t, "s-1", answerReady))
	v := n.dial().send(optionsRequest)
	v.wantAnswer("", 200)
	var c *viewerConn
	n.viewerConns.mu.Lock()
	for only := range n.viewerConns.conns {
		c = only
	}
	n.viewerConns.mu.Unlock()
	eventually(t, "all output written", func() bool { return !c.out.isWriting() })
	if rank, _ := c.rankForEviction(c.openedAt.Add(testTimeout)); rank != rankUnused {
		t.Errorf("rank %d for an unused connection", rank)
	}
	c.out.mu.Lock()
	c.out.writing = true // the writer has not written the answer yet
	c.out.mu.Unlock()
	if rank, _ := c.rankForEviction(c.openedAt.Add(testTimeout)); rank != rankAwaitingAnswer {
		t.Errorf("rank %d for a connection with an unwritten answer", rank)
	}
	c.out.mu.Lock()
	c.out.writing = false
	c.out.mu.Unlock()
	c.mu.Lock()
	c.handlingMessage = true // the reader is handling a message
	c.mu.Unlock()
	if rank, _ := c.rankForEviction(c.openedAt.Add(testTimeout)); rank != rankAwaitingAnswer {
		t.Errorf("rank %d for a connection with a message in progress", rank)
	}
	c.mu.Lock()
	c.handlingMessage = false
	c.mu.Unlock()
}

// TestReleaseToServerIsResent covers a connection to a server that ends just after a viewer's release was written on
// it. The node opens another connection and sends the release again.
func TestReleaseToServerIsResent(t *testing.T) {
	b := newBox(t, "s-1", answerReady)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	v.wantAnswer(idA, 200)
	n.wantSessionCount(1)
	v.send(tearDownRequest(idA))
	first := b.next(t, jsonlines.TypeClose)
	if first.ID != idA || first.Cause() != jsonlines.CauseCancelled {
		t.Fatalf("got %+v, want the release of the session", first.Message)
	}
	_ = first.conn.Close()
	second := b.next(t, jsonlines.TypeClose)
	if second.ID != idA || second.conn == first.conn {
		t.Errorf("got %+v, want the release again, on another connection", second.Message)
	}
	n.wantSessionCount(0)
}
