package node

import "time"

// The pool may hold a limited number of connections, and more servers than that may have sessions. A server says the end
// of a session only on a connection: one that never gets any would leave its viewers untold. So a server that has been
// without a connection for long takes the place of another one, whose turn comes again in the same way. The design
// allows 8 s from a session's end to its release towards the viewer where the server could not send one.
const (
	// maxUnconnected is how long a server with sessions may be without a connection before it takes another's.
	maxUnconnectedTime = 3 * time.Second
	// minConnected is how long a connection stays before another server may take its place: what the server has to say
	// comes with the first round trips.
	minConnectionTime = 150 * time.Millisecond
)

// purpose is what a connection is opened for.
type dialPurpose int

const (
	dialForSetUp dialPurpose = iota
	dialForCheck
)

// reserveFree takes a place for one more connection if one is free.
func (p *pool) reserveFreeSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.connCount >= p.maxConns {
		return false
	}
	p.connCount++
	return true
}

// reserveForSetUp takes a place for a set-up's connection. Where all are in use the idle one goes that is needed least.
func (p *pool) reserveSlotForSetUp() bool {
	return p.reserveSlot(func(*serverConn) bool { return true })
}

// reserveForCheck takes a place for a connection that a server with sessions needs. The only connection of another
// such server goes only if this one has waited for long, and that one has had its turn.
func (p *pool) reserveSlotForCheck(s *server, now time.Duration) bool {
	overdue := s.unconnectedFor(now) >= maxUnconnectedTime
	return p.reserveSlot(func(l *serverConn) bool {
		return l.server != s && evictionCost(l) < costOnlyConn || overdue && now-l.openedAt >= minConnectionTime
	})
}

// needsLinkFor is how long a server has been without a connection, or without the one that tells again what may have
// been lost with another.
func (s *server) unconnectedFor(now time.Duration) time.Duration {
	switch {
	case len(s.conns) == 0:
		return now - s.unconnectedSince
	case s.reconnectAt > 0:
		return now - s.reconnectAt
	}
	return 0
}

// reserve takes a place for one more connection, if need be that of an idle one that may go. The caller holds the lock.
func (p *pool) reserveSlot(evictable func(*serverConn) bool) bool {
	if p.closed {
		return false
	}
	if p.connCount >= p.maxConns {
		l := p.cheapestIdle(evictable)
		if l == nil {
			return false
		}
		p.dropConn(l)
	}
	p.connCount++
	return true
}

// Costs of closing an idle connection.
const (
	costNoSessions   = iota // its server has nothing to say
	costSeveralConns        // its server has others
	costOnlyConn            // its server has sessions and no other connection
)

func evictionCost(l *serverConn) int {
	switch {
	case len(l.server.activeSessions) == 0 && !l.server.pendingReleases.HasWaiting():
		return costNoSessions
	case len(l.server.conns) > 1:
		return costSeveralConns
	}
	return costOnlyConn
}

// cheapestIdle is the idle connection that costs least to close; among equals the one that was opened first, whose
// server has had the most time to say what it had to.
func (p *pool) cheapestIdle(evictable func(*serverConn) bool) (cheapest *serverConn) {
	for _, s := range p.servers {
		for _, l := range s.idleConns {
			if !evictable(l) {
				continue
			}
			if cheapest == nil || cheaperToClose(l, cheapest) {
				cheapest = l
			}
		}
	}
	return cheapest
}

func cheaperToClose(a, b *serverConn) bool {
	if costA, costB := evictionCost(a), evictionCost(b); costA != costB {
		return costA < costB
	}
	return a.openedAt < b.openedAt
}
