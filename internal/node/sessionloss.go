package node

import (
	"time"

	"rainpulley/internal/delivery"
	"rainpulley/internal/liveness"
)

// loseSessions ends all sessions of a server that no longer runs them, and closes all connections to it.
func (p *pool) loseSessions(s *server, reason string) {
	s.process.RecordAllLost(p.node.now())
	p.closeServerConns(s, liveness.AllConnections)
	s.pendingReleases = delivery.New[struct{}](releaseLifetime, releaseDeliveryWindow) // no session is left to release
	s.reconnectAt = 0
	clear(s.heldReleases)
	p.loseSessionsBefore(s, liveness.AllConnections, reason)
}

// loseSessionsBefore ends the sessions of a server whose connections were opened before a time: they were run by a
// process that has ended. It returns the ids of the sessions.
func (p *pool) loseSessionsBefore(s *server, before time.Duration, reason string) (ids []string) {
	for id, active := range s.activeSessions {
		if active.openedAt < before {
			ids = append(ids, id)
			delete(s.activeSessions, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	p.node.Log.Info("sessions lost", "server", s.id, "sessions", len(ids), "kept", len(s.activeSessions),
		"why", reason)
	go p.node.orchestrator.SessionsLost(s.id, ids) // outside the lock, which the orchestrator's goroutine takes too
	return ids
}

// closeServerConns closes the connections to a server that were opened before a time.
func (p *pool) closeServerConns(s *server, before time.Duration) {
	for i := 0; i < len(s.conns); {
		if c := s.conns[i]; c.openedAt < before {
			p.dropConn(c) // removes it from s.conns
			continue
		}
		i++
	}
}

// loseSuspectedSessions ends the sessions of a process that has probably been replaced by another one, or that has been
// according to the server list. While no server with sessions sends notes, their absence says nothing: reports may be
// delayed or missing everywhere. A session may run after all, so the server is told to end it, and no connection is
// closed: another set-up may wait for its answer there.
func (p *pool) loseSuspectedSessions(s *server, now time.Duration) {
	if before := s.process.LostByRestart(now); before > 0 && s.hasSessionBefore(before) {
		p.releaseAll(s, p.loseSessionsBefore(s, before, "server restarted"), now)
	}
	period := p.node.Config.Set.LinkNoteInterval
	if len(s.conns) == 0 {
		return
	}
	before, ended := s.process.SuspicionConfirmed(now, period, s.connectedSince())
	if !ended || p.notesMissingElsewhere(s, now, now-before) {
		return
	}
	s.process.RecordSuspectsLost()
	p.releaseAll(s, p.loseSessionsBefore(s, before, "connections ended, then no notes: probably another process"), now)
}

// releaseAll notifies a server that it need not run sessions any longer.
func (p *pool) releaseAll(s *server, ids []string, now time.Duration) {
	for _, id := range ids {
		s.pendingReleases.Add(id, struct{}{}, now)
	}
	p.sendReleases(s)
}

// connectedSince returns when the oldest open connection was opened.
func (s *server) connectedSince() time.Duration {
	since := liveness.AllConnections
	for _, c := range s.conns {
		since = min(since, c.openedAt)
	}
	return since
}

// notesMissingElsewhere reports whether the other servers that have sessions for longer than a time have sent no note
// within it, or whether there is none and the server never sent one.
func (p *pool) notesMissingElsewhere(suspect *server, now, within time.Duration) bool {
	missing := suspect.lastNoteAt == 0
	for _, s := range p.servers {
		if s == suspect || !s.hasSessionBefore(now-within) {
			continue
		}
		if now-s.lastNoteAt <= within {
			return false
		}
		missing = true
	}
	return missing
}

// hasSessionBefore reports whether a session is active whose connection was opened before a time.
func (s *server) hasSessionBefore(before time.Duration) bool {
	for _, active := range s.activeSessions {
		if active.openedAt < before {
			return true
		}
	}
	return false
}
