package node

import (
	"context"
	"fmt"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/jsonlines"
)

// Probe tests a server, where the settings allow it, and tells the module what came of it. A test is a set-up's like on
// its connection: one at a time, given up after as long as a connection may take to come up.
func (p *pool) Probe(id string) {
	p.mu.Lock()
	s := p.byID[id]
	p.probes++
	sid := fmt.Sprintf("%016x", p.n.Config.Seed+p.probes)
	p.mu.Unlock()
	p.n.start(func() {
		result := control.ProbeResult{Server: id}
		if s != nil {
			result.OK, result.Load = p.probe(s, sid)
		}
		p.n.owner.AddEvent(result)
	})
}

func (p *pool) probe(s *server, sid string) (bool, *control.LoadReport) {
	ctx, stop := context.WithTimeout(p.n.serving, p.n.Config.Platform.ConnectTimeout+probeTimeout)
	defer stop()
	l, err := p.take(ctx, s)
	if err != nil {
		return false, nil
	}
	p.mu.Lock()
	if l.gone || s.state == control.Gone {
		p.mu.Unlock()
		p.free(l)
		return false, nil
	}
	l.sid, l.probe, l.heard = sid, true, p.n.now()
	l.say(jsonlines.TypeProbe, sid, nil, 0, "")
	p.mu.Unlock()
	var r core.Result
	select {
	case r = <-l.reply:
		p.free(l)
	case <-ctx.Done():
		p.mu.Lock()
		select {
		case r = <-l.reply: // the answer crossed
		default:
			r.Outcome = control.TimedOut
			l.sid, l.probe = "", false
		}
		p.retire(l) // a late answer finds nobody
		p.mu.Unlock()
	}
	return r.Outcome == control.Served, r.Load
}

const probeTimeout = 250 * time.Millisecond // for the answer, behind the connection
