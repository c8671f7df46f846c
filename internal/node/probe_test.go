package node

import (
	"testing"

	"rainpulley/control"
)

// TestProbe checks that a requested probe is sent and that its result is reported with the server's load. An answer
// that arrives after the probe timed out, or a set-up's answer with the probe's id, is ignored, and set-ups continue
// to work.
func TestProbe(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	n.openIdleConn(b)
	n.pool.Probe("s-1")
	m := b.next(t, "probe")
	if m.Cause() != 0 || !isSessionID(m.ID) {
		t.Errorf("got %+v, want a probe with cause 0 and a valid id", m.Message)
	}
	m.conn.send(`{"msg":"ready","sid":%q,"text":"no session"}`, m.ID)
	m.conn.send(`{"msg":"probed","sid":%q,"attrs":{"load":"rif:3;x0:0.5"},"code":1}`, m.ID)
	idle := func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return len(n.pool.servers["s-1"].idleConns) == 1
	}
	eventually(t, "the connection idle again", idle)
	n.pool.Probe("s-1")
	m = b.next(t, "probe")
	eventually(t, "the probe timed out", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return len(n.pool.servers["s-1"].conns) == 0
	})
	m.conn.send(`{"msg":"probed","sid":%q,"code":1}`, m.ID)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	answerReady(b.next(t, "open"))
	v.wantAnswer(idA, 200)
	n.wantSessionCount(1)
	s := n.pool.servers["s-1"]
	if ok, load := n.probeWithCause(b, s, 0); ok || load != nil {
		t.Errorf("failed probe: ok %v, load %+v", ok, load)
	}
	if ok, load := n.probeWithCause(b, s, 1); !ok || load == nil || *load.Link != 0.5 {
		t.Errorf("passed probe: ok %v, load %+v", ok, load)
	}
	v.send(setUpRequest(idB, "paid", "")) // on the connection that carried the probe
	answerReady(b.next(t, "open"))
	v.wantAnswer(idB, 200)
}

// probeWithCause probes a server, which answers with a cause code, and with a load report if it passes.
func (r *testNode) probeWithCause(b *box, s *server, cause int) (bool, *control.LoadReport) {
	type result struct {
		ok   bool
		load *control.LoadReport
	}
	results := make(chan result, 1)
	go func() { ok, l := r.pool.runProbe(s, idC); results <- result{ok, l} }()
	m := b.next(r.t, "probe")
	load := ""
	if cause == 1 {
		load = "x0:0.5"
	}
	m.conn.send(`{"msg":"probed","sid":%q,"attrs":{"load":%q},"code":%d}`, m.ID, load, cause)
	got := <-results
	return got.ok, got.load
}
