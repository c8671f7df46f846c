package node

import (
	"context"
	"fmt"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/jsonlines"
)

// Probe probes a server and reports the result to the controller. A probe occupies its connection like a set-up. It
// fails if connecting and answering together take longer than ConnectTimeout plus probeTimeout. The controller asks for
// probes only where the settings allow them.
func (p *pool) Probe(id string) {
	p.mu.Lock()
	s := p.servers[id]
	p.probeCount++
	probeID := fmt.Sprintf("%016x", p.node.Config.Seed+p.probeCount)
	p.mu.Unlock()
	p.node.startGoroutine(func() {
		result := control.ProbeResult{Server: id}
		if s != nil {
			result.OK, result.Load = p.runProbe(s, probeID)
		}
		p.node.orchestrator.AddEvent(result)
	})
}

func (p *pool) runProbe(s *server, probeID string) (bool, *control.LoadReport) {
	ctx, stop := context.WithTimeout(p.node.serveCtx, p.node.Config.Platform.ConnectTimeout+probeTimeout)
	defer stop()
	c, err := p.acquire(ctx, s)
	if err != nil {
		return false, nil
	}
	p.mu.Lock()
	if c.detached || s.state == control.Gone {
		p.mu.Unlock()
		p.putBack(c)
		return false, nil
	}
	c.activeID, c.isProbe, c.lastActivity = probeID, true, p.node.now()
	c.send(jsonlines.TypeProbe, probeID, nil, 0, "")
	p.mu.Unlock()
	var r core.Result
	select {
	case r = <-c.results:
		p.putBack(c)
	case <-ctx.Done():
		p.mu.Lock()
		select {
		case r = <-c.results: // the answer arrived just before
		default:
			r.Outcome = control.TimedOut
			c.activeID, c.isProbe = "", false
		}
		p.retireConn(c) // a late answer on it is ignored
		p.mu.Unlock()
	}
	return r.Outcome == control.Served, r.Load
}

const probeTimeout = 250 * time.Millisecond // time for the answer, in addition to connecting
