package node

import (
	"testing"

	"rainpulley/internal/jsonlines"
)

const optionsRequest = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"

// endServed has a server end a session.
func (m said) endSession() {
	m.on.say(`{"msg":"close","sid":%q,"attrs":{},"code":%d}`, m.ID, jsonlines.CauseEnd)
}

// confirm answers a release, as usual viewers do.
func (d *dialogue) confirmRelease(id string) {
	d.say("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + id + "\r\nContent-Length: 0\r\n\r\n")
}

// heldNotices is how many notices the node holds for all viewers.
func (r *rig) pendingNoticeCount() (held int) {
	r.viewerConns.mu.Lock()
	defer r.viewerConns.mu.Unlock()
	for _, pending := range r.viewerConns.pendingNotices {
		held += pending.Len()
	}
	return held
}

// TestNoticeWithoutConnection: a viewer that has no connection when its session ends is told on the next one.
func TestNoticeWaitsForConnection(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().say(setUp(idA, "free", ""))
	open := b.next(t, "open")
	ready(open)
	v.want(idA, 200)
	n.agree(1)
	_ = v.Close()
	eventually(t, "the connection over", func() bool {
		n.viewerConns.mu.Lock()
		defer n.viewerConns.mu.Unlock()
		return len(n.viewerConns.conns) == 0
	})
	open.endSession()
	n.agree(0)
	back := n.dial().say(optionsRequest)
	back.wantRelease(idA, "cause=16")
	back.want("", 200)
	back.confirmRelease(idA)
	eventually(t, "the notice forgotten", func() bool { return n.pendingNoticeCount() == 0 })
}

// TestNoticeCrossesClose: a notice is handed to a connection which ends before the viewer has confirmed it. It is sent
// again on another connection of the viewer, and one that was confirmed is not.
func TestUnconfirmedNoticeIsResent(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	first := n.dial()
	var opened [2]said
	for i, id := range []string{idA, idB} {
		first.say(setUp(id, "free", ""))
		opened[i] = b.next(t, "open")
		ready(opened[i])
		first.want(id, 200)
	}
	second := n.dial().say(optionsRequest)
	second.want("", 200)
	opened[0].endSession()
	first.wantRelease(idA, "cause=16")
	first.confirmRelease(idA)
	eventually(t, "the notice confirmed", func() bool { return n.pendingNoticeCount() == 0 })
	opened[1].endSession()
	eventually(t, "the notice handed over", func() bool { return n.pendingNoticeCount() == 1 })
	_ = first.Close()
	second.wantRelease(idB, "cause=16")
	second.confirmRelease(idB)
	eventually(t, "the notice confirmed", func() bool { return n.pendingNoticeCount() == 0 })
	second.silent()
}

// TestUnwrittenAnswerIsNotEvicted: a connection whose answer is not written yet ranks with those that wait for one.
func TestConnWithUnwrittenAnswerIsNotEvicted(t *testing.T) {
	n := startNode(t, newBox(t, "s-1", ready))
	v := n.dial().say(optionsRequest)
	v.want("", 200)
	var c *viewerConn
	n.viewerConns.mu.Lock()
	for o := range n.viewerConns.conns {
		c = o
	}
	n.viewerConns.mu.Unlock()
	eventually(t, "all written", func() bool { return !c.out.isWriting() })
	if rank, _ := c.rankForEviction(c.openedAt.Add(testFor)); rank != rankUnused {
		t.Errorf("rank %d of a connection without use", rank)
	}
	c.out.mu.Lock()
	c.out.writing = true // its writer has not come to it
	c.out.mu.Unlock()
	if rank, _ := c.rankForEviction(c.openedAt.Add(testFor)); rank != rankAwaitingAnswer {
		t.Errorf("rank %d of a connection with an unwritten answer", rank)
	}
	c.out.mu.Lock()
	c.out.writing = false
	c.out.mu.Unlock()
	c.mu.Lock()
	c.handlingMessage = true // its reader has a message in hand
	c.mu.Unlock()
	if rank, _ := c.rankForEviction(c.openedAt.Add(testFor)); rank != rankAwaitingAnswer {
		t.Errorf("rank %d of a connection with a message that is being handled", rank)
	}
	c.mu.Lock()
	c.handlingMessage = false
	c.mu.Unlock()
}

// TestReleaseToServerCrossesClose: a viewer ends its session as the connection to the server ends. The release that was
// written on it goes on the next one too, which is opened for it.
func TestReleaseToServerIsResent(t *testing.T) {
	b := newBox(t, "s-1", ready)
	n := startNode(t, b)
	v := n.dial().say(setUp(idA, "free", ""))
	v.want(idA, 200)
	n.agree(1)
	v.say(tearDown(idA))
	first := b.next(t, jsonlines.TypeClose)
	if first.ID != idA || first.Cause() != jsonlines.CauseCancelled {
		t.Fatalf("%+v", first.Message)
	}
	_ = first.on.Close()
	second := b.next(t, jsonlines.TypeClose)
	if second.ID != idA || second.on == first.on {
		t.Errorf("%+v", second.Message)
	}
	n.agree(0)
}
