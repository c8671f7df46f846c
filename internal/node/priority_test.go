package node

import "testing"

// TestAnswerAheadOfNotes: what comes on connections without a set-up gives way to answers, and is taken behind them. The
// reader of a connection with a set-up out gives way to nobody.
func TestAnswersTakePriorityOverNotes(t *testing.T) {
	b, g := newBox(t, "s-1", nil), newGate()
	n := startGated(t, func(n *Node) { n.yieldProcessor = func() { g.pass("a reader") } }, b)
	v := n.dial().say(setUp(idA, "paid", "") + setUp(idB, "paid", ""))
	first, second := b.next(t, "open"), b.next(t, "open")
	ready(first) // its reader does not stop at the gate
	v.want(first.ID, 200)
	first.on.say(`{"msg":"event","sid":%q,"attrs":{"note":"rung","value":"0"}}`, first.ID)
	g.wait(t) // the note has come, and gives way
	ready(second)
	v.want(second.ID, 200)
	first.on.say(`{"msg":"close","sid":%q,"attrs":{},"code":16}`, first.ID)
	v.silent() // behind the note
	close(g.open)
	v.wantRelease(first.ID, "cause=16")
	n.agree(1)
}
