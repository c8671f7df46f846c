package node

import "testing"

// TestAnswersTakePriorityOverNotes checks that readers of connections without a pending set-up yield to those that
// receive answers, and still handle their messages in order. The reader of a connection with a pending set-up does not
// yield.
func TestAnswersTakePriorityOverNotes(t *testing.T) {
	b, g := newBox(t, "s-1", nil), newGate()
	n := startModifiedNode(t, func(n *Node) { n.yieldProcessor = func() { g.pass("reader") } }, b)
	v := n.dial().send(setUpRequest(idA, "paid", "") + setUpRequest(idB, "paid", ""))
	first, second := b.next(t, "open"), b.next(t, "open")
	answerReady(first) // its reader does not block at the gate
	v.wantAnswer(first.ID, 200)
	first.conn.send(`{"msg":"event","sid":%q,"attrs":{"note":"rung","value":"0"}}`, first.ID)
	g.wait(t) // the note has arrived, and its reader yields
	answerReady(second)
	v.wantAnswer(second.ID, 200)
	first.conn.send(`{"msg":"close","sid":%q,"attrs":{},"code":16}`, first.ID)
	v.wantNoMessage() // the release is queued after the note
	close(g.open)
	v.wantRelease(first.ID, "cause=16")
	n.wantSessionCount(1)
}
