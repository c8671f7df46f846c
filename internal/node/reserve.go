package node

import "time"

// The number of connections to servers is limited, and more servers than that may have sessions. A server reports the
// end of a session only on a connection, so the viewers of a server that never gets one would not be notified. A server
// that has been without a connection for long therefore takes the slot of another server, which gets a slot again in
// the same way. The design allows 8 s from a session's end to its release towards the viewer if the server could not
// report the end.
const (
	// maxUnconnectedTime is how long a server with sessions may be without a connection before it takes another's slot.
	maxUnconnectedTime = 3 * time.Second
	// minConnectionTime is how long a connection is kept before another server may take its slot: a server sends its
	// pending messages within the first round trips.
	minConnectionTime = 150 * time.Millisecond
)

// dialPurpose is the purpose of a new connection.
type dialPurpose int

const (
	dialForSetUp dialPurpose = iota
	dialForCheck
)

// reserveFreeSlot reserves a connection slot if one is free.
func (p *pool) reserveFreeSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.connCount >= p.maxConns {
		return false
	}
	p.connCount++
	return true
}

// reserveSlotForSetUp reserves a slot for a set-up's connection. If none is free, the least needed idle one is closed.
func (p *pool) reserveSlotForSetUp() bool {
	return p.reserveSlot(func(*serverConn) bool { return true })
}

// reserveSlotForCheck reserves a slot for the connection that a server with sessions needs. The only connection of
// another such server is closed only if this server has waited for long and that connection was open long enough.
func (p *pool) reserveSlotForCheck(s *server, now time.Duration) bool {
	overdue := s.unconnectedFor(now) >= maxUnconnectedTime
	return p.reserveSlot(func(c *serverConn) bool {
		return c.server != s && evictionCost(c) < costOnlyConn || overdue && now-c.openedAt >= minConnectionTime
	})
}

// unconnectedFor returns how long the server has been without a connection, or without the new connection on which it
// is to repeat what may have been lost with an earlier one.
func (s *server) unconnectedFor(now time.Duration) time.Duration {
	switch {
	case len(s.conns) == 0:
		return now - s.unconnectedSince
	case s.reconnectAt > 0:
		return now - s.reconnectAt
	}
	return 0
}

// reserveSlot reserves a connection slot, closing an evictable idle connection if none is free. The caller holds the
// lock.
func (p *pool) reserveSlot(evictable func(*serverConn) bool) bool {
	if p.closed {
		return false
	}
	if p.connCount >= p.maxConns {
		c := p.cheapestIdle(evictable)
		if c == nil {
			return false
		}
		p.dropConn(c)
	}
	p.connCount++
	return true
}

// Costs of closing an idle connection, in ascending order.
const (
	costNoSessions   = iota // the server has nothing to report
	costSeveralConns        // the server has other connections
	costOnlyConn            // the server has sessions and no other connection
)

func evictionCost(c *serverConn) int {
	switch {
	case len(c.server.activeSessions) == 0 && !c.server.pendingReleases.HasWaiting():
		return costNoSessions
	case len(c.server.conns) > 1:
		return costSeveralConns
	}
	return costOnlyConn
}

// cheapestIdle returns the idle connection that is cheapest to close. Among equals this is the oldest, whose server has
// had the most time to send its pending messages.
func (p *pool) cheapestIdle(evictable func(*serverConn) bool) (cheapest *serverConn) {
	for _, s := range p.servers {
		for _, c := range s.idleConns {
			if !evictable(c) {
				continue
			}
			if cheapest == nil || cheaperToClose(c, cheapest) {
				cheapest = c
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
