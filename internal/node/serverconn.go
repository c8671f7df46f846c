package node

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/delivery"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/liveness"
	"rainpulley/internal/socketerror"
)

// serverConn is one connection to a server. It carries at most one set-up or probe at a time.
type serverConn struct {
	server   *server
	id       delivery.ConnectionID
	openedAt time.Duration
	conn     net.Conn
	out      writeQueue
	activeID string // id of the set-up or probe in progress on the connection
	// setUpPending reports whether a set-up on the connection awaits its answer. It is atomic because the
	// connection's reader checks it without the pool's lock.
	setUpPending  atomic.Bool
	isProbe       bool // activeID names a probe
	results       chan core.Result
	detached      bool           // removed from use; guarded by the pool's lock
	lastActivity  time.Duration  // time of the last line received or set-up sent: the server's idle time-out starts there
	lastUsed      time.Duration  // time when the last set-up ended; 0 before the first one
	givenUpSetUps []givenUpSetUp // set-ups recently given up on this connection
}

// givenUpSetUp is a set-up that was given up; its server was notified on the connection that carried the set-up.
type givenUpSetUp struct {
	id string
	at time.Duration
}

const (
	lingerTimeout      = 500 * time.Millisecond // a retired connection stays open this long to flush queued messages
	surplusIdleTimeout = 3 * time.Second        // a surplus connection stays open this long after its last set-up
	maxKeptIdle        = 1                      // idle connections kept beyond that time to a server without sessions
	idleTimeoutShare   = 0.8                    // this side closes after this share of the servers' idle time-out
	reconnectDelay     = 100 * time.Millisecond // a server has certainly detected the end of a connection after this time
)

// dropConn closes a connection at once; a set-up in progress on it ends as Reset.
func (p *pool) dropConn(c *serverConn) {
	if c.detached {
		return
	}
	p.detach(c)
	p.closeSocket(c)
	if c.activeID != "" {
		if !c.isProbe {
			c.server.abandonedSetUps[c.activeID] = true
		}
		c.deliverResult(core.Result{Outcome: control.Reset})
	}
}

// retireConn takes a connection out of use and closes it once its queue is flushed, so that a release queued just
// before is not lost. The connection counts towards the limit until its descriptor is free.
func (p *pool) retireConn(c *serverConn) {
	if c.detached {
		return
	}
	p.detach(c)
	p.retired[c] = struct{}{}
	c.out.closeAfterFlush()
	time.AfterFunc(lingerTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeRetired(c)
	})
}

// closeRetired closes a retired connection, unless it is closed already.
func (p *pool) closeRetired(c *serverConn) {
	if _, ok := p.retired[c]; ok {
		delete(p.retired, c)
		p.closeSocket(c)
	}
}

// closeSocket frees a connection's descriptor. Releases sent on it a short time ago are sent again on another one.
func (p *pool) closeSocket(c *serverConn) {
	p.connCount--
	c.out.abort()
	_ = c.conn.Close()
	if c.server.pendingReleases.ConnectionEnded(c.id, p.node.now()) > 0 {
		p.sendReleases(c.server)
	}
}

// detach takes a connection out of use.
func (p *pool) detach(c *serverConn) {
	c.detached = true
	c.server.conns = removeConn(c.server.conns, c)
	c.server.idleConns = removeConn(c.server.idleConns, c)
	if len(c.server.conns) == 0 {
		c.server.unconnectedSince = p.node.now()
	}
}

func removeConn(list []*serverConn, c *serverConn) []*serverConn {
	for i := range list {
		if list[i] == c {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// deliverResult ends the set-up or probe on a connection. It returns false if there is none, as for a duplicate
// answer.
func (c *serverConn) deliverResult(r core.Result) bool {
	if c.activeID == "" {
		return false
	}
	c.activeID, c.isProbe = "", false
	c.setUpPending.Store(false)
	c.results <- r // never blocks: the channel buffers one result
	return true
}

// closeConn closes a connection that can no longer be read or written, because of an error of the given category.
func (p *pool) closeConn(c *serverConn, cause socketerror.Category) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// After an orderly close by either side, the server has read everything that was written on the connection.
	if cause != socketerror.ClosedLocally && cause != socketerror.PeerClosed {
		p.resendGiveUps(c)
	}
	if !c.detached && (cause == socketerror.PeerClosed || cause == socketerror.PeerReset) {
		c.server.process.RecordConnEnd(c.openedAt, p.node.now())
	}
	p.dropConn(c)
	p.scheduleReconnect(c.server, reconnectDelay)
}

// recordGiveUp records that a server was notified on a connection to give up a set-up.
func (p *pool) recordGiveUp(c *serverConn, id string) {
	now := p.node.now()
	c.givenUpSetUps = slices.DeleteFunc(c.givenUpSetUps,
		func(g givenUpSetUp) bool { return now-g.at > releaseDeliveryWindow })
	c.givenUpSetUps = append(c.givenUpSetUps, givenUpSetUp{id, now})
}

// wasGivenUp reports whether a set-up was recently given up on a connection.
func (c *serverConn) wasGivenUp(id string) bool {
	return slices.ContainsFunc(c.givenUpSetUps, func(g givenUpSetUp) bool { return g.id == id })
}

// resendGiveUps notifies a server again, on another connection, of the set-ups that were given up on a broken one. The
// first message may be lost; if the server answered the set-up, the session would otherwise keep running unused.
func (p *pool) resendGiveUps(c *serverConn) {
	now := p.node.now()
	for _, g := range c.givenUpSetUps {
		if now-g.at <= releaseDeliveryWindow {
			p.holdRelease(c.server, g.id)
		}
	}
	c.givenUpSetUps = nil
}

// runsSession reports whether a session is active at a server or its set-up is in progress there.
func (s *server) runsSession(id string) bool {
	_, active := s.activeSessions[id]
	return active || slices.ContainsFunc(s.conns, func(c *serverConn) bool { return c.activeID == id })
}

// scheduleReconnect schedules a new connection to a server with sessions after a delay, even if others are open. A
// release that the server had just written on a connection is lost when the connection ends, and the server sends it
// again only on the next connection opened. Without a new one, sessions whose release was lost stayed open for ever:
// observed for one or two of 11,600 session ends. A connection opened before the server detects the end of the old one
// does not suffice, since the server may still write the release on the old one: observed at low load, where a
// connection that had long been idle was replaced at once.
func (p *pool) scheduleReconnect(s *server, delay time.Duration) {
	if len(s.activeSessions) > 0 {
		s.reconnectAt = p.node.now() + delay
	}
}

func (c *serverConn) send(kind, id string, attrs []string, cause int, text string) bool {
	return c.out.enqueue(func(b []byte) []byte { return jsonlines.Append(b, kind, id, attrs, cause, text) })
}

// sendNow is like send, but writes at once what the socket accepts: a pause of the process must not come between the
// decision to send and the write.
func (c *serverConn) sendNow(kind, id string, attrs []string, cause int, text string) bool {
	return c.out.enqueueAndWrite(func(b []byte) []byte { return jsonlines.Append(b, kind, id, attrs, cause, text) })
}

// acquire returns a connection for a set-up: the most recently used idle one, or a new one. A connection that has been
// idle for nearly the server's idle time-out is not reused: if the server closed it while the set-up was on its way,
// it would be unknown whether the set-up ran.
func (p *pool) acquire(ctx context.Context, s *server) (*serverConn, error) {
	p.mu.Lock()
	for now := p.node.now(); len(s.idleConns) > 0; {
		c := s.idleConns[len(s.idleConns)-1]
		s.idleConns = s.idleConns[:len(s.idleConns)-1]
		if !p.isStale(c, now) {
			p.mu.Unlock()
			return c, nil
		}
		p.retireConn(c)
	}
	reserved := p.reserveSlotForSetUp()
	p.mu.Unlock()
	if !reserved {
		p.node.nearMisses.placesMissing.Add(1)
		return nil, errNoSlot
	}
	return p.dial(ctx, s, p.node.Config.Platform.ConnectTimeout, dialForSetUp)
}

// isStale reports whether a connection has been idle for so long that its server may close it at any moment.
func (p *pool) isStale(c *serverConn, now time.Duration) bool {
	idle := p.node.Config.Platform.ConnIdle
	return idle > 0 && now-c.lastActivity > time.Duration(idleTimeoutShare*float64(idle))
}

// putBack returns a connection to the idle list. Surplus connections are not closed at once: a server treats a
// connection that closes just after its answer as a given-up set-up, and ends the session. Observed when 300 viewers
// reconnected within a second: a third of them lost the session they had just obtained.
func (p *pool) putBack(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.detached {
		c.lastUsed = p.node.now()
		c.server.idleConns = append(c.server.idleConns, c)
	}
}

// closeSurplus retires a server's surplus idle connections, the longest idle first, and those that the server would
// close soon. While the server has active sessions, surplus connections stay open: a release may be in transit on any
// of them.
func (p *pool) closeSurplus(s *server, now time.Duration) {
	for len(s.idleConns) > 0 && (p.isStale(s.idleConns[0], now) ||
		len(s.activeSessions) == 0 && len(s.idleConns) > maxKeptIdle && now-s.idleConns[0].lastUsed > surplusIdleTimeout) {
		p.retireConn(s.idleConns[0])
	}
}

// shutDown closes all connections and waits until everything read from them has been handled.
func (p *pool) shutDown() {
	p.mu.Lock()
	p.closed = true
	for _, s := range p.servers {
		p.closeServerConns(s, liveness.AllConnections)
	}
	for c := range p.retired {
		p.closeRetired(c)
	}
	p.mu.Unlock()
	p.readers.Wait()
}

// anyConn returns a connection for messages that may use any, preferring the idle one used last; nil if none is open.
func (s *server) anyConn() *serverConn {
	if n := len(s.idleConns); n > 0 {
		return s.idleConns[n-1]
	}
	if n := len(s.conns); n > 0 {
		return s.conns[n-1]
	}
	return nil
}
