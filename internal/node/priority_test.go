package node

import "testing"

// TestAnswersTakePriorityOverNotes checks that readers of connections without a pending set-up yield to those that
// receive answers, and still handle their messages in order. The reader of a connection with a pending set-up does not
// yield.
func TestAnswersTakePriorityOverNotes(t *testing.T) {
	b, g := newBox(t, "s-1", nil), newGate()
	n := startGated(t, func(n *Node) { n.yieldProcessor = func() { g.pass("reader") } }, b)
	v := n.dial().say(setUp(idA, "paid", "") + setUp(idB, "paid", ""))
	first, second := b.next(t, "open"), b.next(t, "open")
	ready(first) // its reader does not block at the gate
	v.want(first.ID, 200)
	first.on.say(`{"msg":"event","sid":%q,"attrs":{"note":"rung","value":"0"}}`, first.ID)
	g.wait(t) // the note has arrived, and its reader yields
	ready(second)
	v.want(second.ID, 200)
	first.on.say(`{"msg":"close","sid":%q,"attrs":{},"code":16}`, first.ID)
	v.silent() // the release is queued after the note
	close(g.open)
	v.wantRelease(first.ID, "cause=16")
	n.agree(1)
}
