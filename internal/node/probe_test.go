package node

import (
	"testing"

	"rainpulley/control"
)

// TestProbes: a test is sent where the module asks for one, its answer told with the load; an answer that comes after it
// was given up, or a session's under the test's id, counts for nothing, and set-ups go on.
func TestProbe(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	n.openIdleConn(b)
	n.pool.Probe("s-1")
	m := b.next(t, "probe")
	if m.Cause() != 0 || !isSessionID(m.ID) {
		t.Errorf("%+v", m.Message)
	}
	m.on.say(`{"msg":"ready","sid":%q,"text":"no session"}`, m.ID)
	m.on.say(`{"msg":"probed","sid":%q,"attrs":{"load":"rif:3;x0:0.5"},"code":1}`, m.ID)
	idle := func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return len(n.pool.servers["s-1"].idleConns) == 1
	}
	eventually(t, "the connection back", idle)
	n.pool.Probe("s-1")
	m = b.next(t, "probe")
	eventually(t, "the test given up", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return len(n.pool.servers["s-1"].conns) == 0 })
	m.on.say(`{"msg":"probed","sid":%q,"code":1}`, m.ID)
	v := n.dial().say(setUp(idA, "paid", ""))
	ready(b.next(t, "open"))
	v.want(idA, 200)
	n.agree(1)
	s := n.pool.servers["s-1"]
	if ok, l := n.probeWithCause(b, s, 0); ok || l != nil {
		t.Errorf("failed test: %v, %+v", ok, l)
	}
	if ok, l := n.probeWithCause(b, s, 1); !ok || l == nil || *l.Link != 0.5 {
		t.Errorf("passed test: %v, %+v", ok, l)
	}
	v.say(setUp(idB, "paid", "")) // on the connection that the test was on
	ready(b.next(t, "open"))
	v.want(idB, 200)
}

// probeAnswered has a server tested and answer with a cause, a load where it passes.
func (r *rig) probeWithCause(b *box, s *server, cause int) (bool, *control.LoadReport) {
	type result struct {
		ok   bool
		load *control.LoadReport
	}
	got := make(chan result, 1)
	go func() { ok, l := r.pool.runProbe(s, idC); got <- result{ok, l} }()
	m := b.next(r.t, "probe")
	load := ""
	if cause == 1 {
		load = "x0:0.5"
	}
	m.on.say(`{"msg":"probed","sid":%q,"attrs":{"load":%q},"code":%d}`, m.ID, load, cause)
	out := <-got
	return out.ok, out.load
}
