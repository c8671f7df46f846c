package node

import (
	"time"

	"rainpulley/control"
	"rainpulley/internal/jsonlines"
)

// serverReport is what a list entry says of a server apart from what the controller uses.
type serverReport struct {
	addr      string
	startedMs int64 // start of the process on the coordinator's clock; 0: not reported
}

// applyList applies a change of the server list, or a whole list.
func (p *pool) applyList(entries []control.Server, reports map[string]serverReport, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		for _, s := range p.servers {
			s.state = control.Gone
		}
	}
	now := p.node.now()
	for _, e := range entries {
		s := p.servers[e.ID]
		if s == nil {
			if e.State == control.Gone {
				continue
			}
			s = p.addServer(e.ID, now)
		}
		s.state, s.started = e.State, max(s.started, e.Started)
		p.applyReport(s, reports[e.ID], now)
	}
	p.loseReplacedServers()
	p.removeGoneServers()
}

// applyReport ends the sessions of a server whose list entry shows that they belong to an earlier process: its address
// or the reported start time has changed. A server that did not start late is listed without a start time, so the first
// one that is reported after that is a change too. Start times are compared as reported, on the coordinator's clock.
func (p *pool) applyReport(s *server, r serverReport, now time.Duration) {
	if s.replaced && s.state == control.Gone {
		return
	}
	s.replaced = false
	if r.addr != "" && r.addr != s.addr {
		if s.addr != "" {
			p.loseSessions(s, "server address changed")
		}
		s.addr = r.addr
	}
	if r.startedMs != 0 && r.startedMs != s.reportedStartMs {
		if s.listed {
			p.node.Log.Debug("server list reports a restart", "server", s.id, "age", now-s.started)
			before := s.process.RecordRestart(now)
			p.closeServerConns(s, before)
			p.loseSessionsBefore(s, before, "server restarted")
		}
		s.reportedStartMs = r.startedMs
	}
	s.listed = true
}

// loseReplacedServers ends the sessions of removed servers whose address now belongs to another listed server.
func (p *pool) loseReplacedServers() {
	gone := map[string][]*server{} // by address; few servers, while the list may be long
	for _, s := range p.servers {
		if s.state == control.Gone {
			gone[s.addr] = append(gone[s.addr], s)
		}
	}
	if len(gone) == 0 {
		return
	}
	for _, s := range p.servers {
		if s.state == control.Gone {
			continue
		}
		for _, replaced := range gone[s.addr] {
			p.loseReplacedServer(replaced)
		}
	}
}

// loseReplacedServer ends the sessions of a removed server whose address belongs to another one. Nothing may be sent to
// that address for it any more. What was set up on a connection that is still open was set up at the new process: the
// process is told to end it, since the viewers are told that it is over.
func (p *pool) loseReplacedServer(s *server) {
	if c := s.anyConn(); c != nil {
		for id := range s.activeSessions {
			c.send(jsonlines.TypeClose, id, nil, jsonlines.CauseCancelled, "")
		}
	}
	for len(s.idleConns) > 0 {
		p.retireConn(s.idleConns[0])
	}
	p.loseSessions(s, "address reassigned to another server")
	s.addr, s.replaced = "", true
	clear(s.abandonedSetUps)
}

// removeGoneServers deletes removed servers without sessions, unsent releases, set-ups or checks in progress.
func (p *pool) removeGoneServers() {
	for id, s := range p.servers {
		busy := len(s.activeSessions) > 0 || len(s.heldReleases) > 0 || s.pendingReleases.HasWaiting() ||
			len(s.idleConns) < len(s.conns) || s.detector.CheckInProgress()
		if s.state == control.Gone && !busy {
			for len(s.conns) > 0 {
				p.retireConn(s.conns[0]) // flushes a release that may still be queued on it
			}
			delete(p.servers, id)
			if s.unlisted {
				p.unlistedCount--
			}
		}
	}
}
