package node

import "time"

// The pool may hold a limited number of connections, and more servers than that may have sessions. A server says the end
// of a session only on a connection: one that never gets any would leave its viewers untold. So a server that has been
// without a connection for long takes the place of another one, whose turn comes again in the same way. The design
// allows 8 s from a session's end to its release towards the viewer where the server could not send one.
const (
	// maxUnconnected is how long a server with sessions may be without a connection before it takes another's.
	maxUnconnected = 3 * time.Second
	// minConnected is how long a connection stays before another server may take its place: what the server has to say
	// comes with the first round trips.
	minConnected = 150 * time.Millisecond
)

// purpose is what a connection is opened for.
type purpose int

const (
	forSetUp purpose = iota
	forCheck
)

// reserveFree takes a place for one more connection if one is free.
func (p *pool) reserveFree() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over || p.links >= p.maxLinks {
		return false
	}
	p.links++
	return true
}

// reserveForSetUp takes a place for a set-up's connection. Where all are in use the idle one goes that is needed least.
func (p *pool) reserveForSetUp() bool {
	return p.reserve(func(*link) bool { return true })
}

// reserveForCheck takes a place for a connection that a server with sessions needs. The only connection of another
// such server goes only if this one has waited for long, and that one has had its turn.
func (p *pool) reserveForCheck(s *server, now time.Duration) bool {
	long := s.needsLinkFor(now) >= maxUnconnected
	return p.reserve(func(l *link) bool {
		return l.s != s && evictionCost(l) < onlyLinkNeeded || long && now-l.opened >= minConnected
	})
}

// needsLinkFor is how long a server has been without a connection, or without the one that tells again what may have
// been lost with another.
func (s *server) needsLinkFor(now time.Duration) time.Duration {
	switch {
	case len(s.links) == 0:
		return now - s.unconnectedSince
	case s.renewAt > 0:
		return now - s.renewAt
	}
	return 0
}

// reserve takes a place for one more connection, if need be that of an idle one that may go. The caller holds the lock.
func (p *pool) reserve(mayGo func(*link) bool) bool {
	if p.over {
		return false
	}
	if p.links >= p.maxLinks {
		l := p.cheapestIdle(mayGo)
		if l == nil {
			return false
		}
		p.drop(l)
	}
	p.links++
	return true
}

// Costs of closing an idle connection.
const (
	noSessions     = iota // its server has nothing to say
	severalLinks          // its server has others
	onlyLinkNeeded        // its server has sessions and no other connection
)

func evictionCost(l *link) int {
	switch {
	case len(l.s.standing) == 0 && !l.s.releases.HasWaiting():
		return noSessions
	case len(l.s.links) > 1:
		return severalLinks
	}
	return onlyLinkNeeded
}

// cheapestIdle is the idle connection that costs least to close; among equals the one that was opened first, whose
// server has had the most time to say what it had to.
func (p *pool) cheapestIdle(mayGo func(*link) bool) (cheapest *link) {
	for _, s := range p.byID {
		for _, l := range s.idle {
			if !mayGo(l) {
				continue
			}
			if cheapest == nil || cheaper(l, cheapest) {
				cheapest = l
			}
		}
	}
	return cheapest
}

func cheaper(a, b *link) bool {
	if costA, costB := evictionCost(a), evictionCost(b); costA != costB {
		return costA < costB
	}
	return a.opened < b.opened
}
