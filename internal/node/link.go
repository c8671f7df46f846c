package node

import (
	"context"
	"errors"
	"fmt"
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

// link is one connection to a server.
type serverConn struct {
	server   *server
	id       delivery.ConnectionID
	openedAt time.Duration
	conn     net.Conn
	out      writeQueue
	activeID string // of the set-up or the test on it
	// answerDue tells that a set-up is out on it, to its reader, which does not hold the pool's lock.
	setUpPending  atomic.Bool
	isProbe       bool // it is a test
	results       chan core.Result
	detached      bool           // out of use; under the pool's lock
	lastActivity  time.Duration  // of the last line that came or set-up that went: the server's idle time-out counts from there
	lastUsed      time.Duration  // of the last set-up's end; 0: none yet
	givenUpSetUps []givenUpSetUp // set-ups that were given up on it a short time ago
}

// givenUp is a set-up that was given up, which its server was told on the connection it went on.
type givenUpSetUp struct {
	id string
	at time.Duration
}

const (
	lingerTimeout      = 500 * time.Millisecond // a connection that is given up stays so long, to pass on what was written
	surplusIdleTimeout = 3 * time.Second        // a connection stays open so long after a set-up
	maxKeptIdle        = 1                      // connections that stay open longer than that to a server without sessions
	idleTimeoutShare   = 0.8                    // of the servers' idle time-out: by then this side has closed
	reconnectDelay     = 100 * time.Millisecond // so long after a connection's end its server has surely seen it
)

// drop closes a link at once; a set-up on it ends as reset.
func (p *pool) dropConn(l *serverConn) {
	if l.detached {
		return
	}
	p.detach(l)
	p.closeSocket(l)
	if l.activeID != "" {
		if !l.isProbe {
			l.server.abandonedSetUps[l.activeID] = true
		}
		l.deliverResult(core.Result{Outcome: control.Reset})
	}
}

// retire closes a link after what is still to be written: a release queued a moment ago would be lost with it. It
// counts until its descriptor is free.
func (p *pool) retireConn(l *serverConn) {
	if l.detached {
		return
	}
	p.detach(l)
	p.retired[l] = struct{}{}
	l.out.closeAfterFlush()
	time.AfterFunc(lingerTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeRetired(l)
	})
}

// closeRetired closes a retired link.
func (p *pool) closeRetired(l *serverConn) {
	if _, ok := p.retired[l]; ok {
		delete(p.retired, l)
		p.closeSocket(l)
	}
}

// closeSocket frees a link's descriptor. Releases that were sent on it a moment ago go on another one.
func (p *pool) closeSocket(l *serverConn) {
	p.connCount--
	l.out.abort()
	_ = l.conn.Close()
	if l.server.pendingReleases.ConnectionEnded(l.id, p.node.now()) > 0 {
		p.sendReleases(l.server)
	}
}

// detach takes a link out of use.
func (p *pool) detach(l *serverConn) {
	l.detached = true
	l.server.conns = removeConn(l.server.conns, l)
	l.server.idleConns = removeConn(l.server.idleConns, l)
	if len(l.server.conns) == 0 {
		l.server.unconnectedSince = p.node.now()
	}
}

func removeConn(list []*serverConn, l *serverConn) []*serverConn {
	for i := range list {
		if list[i] == l {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// deliver ends the set-up on a link; a second answer finds none.
func (l *serverConn) deliverResult(r core.Result) bool {
	if l.activeID == "" {
		return false
	}
	l.activeID, l.isProbe = "", false
	l.setUpPending.Store(false)
	l.results <- r // has room for one
	return true
}

var (
	errNoSlot        = errors.New("node: no place left for a connection to a server")
	errLocal         = errors.New("node: no connection for reasons of this machine")
	errServerChanged = errors.New("node: the server is another by now")
)

// dial opens a link to a server within a time, on a place that was reserved for it, and tells the server's detector what
// came of it.
func (p *pool) dial(ctx context.Context, s *server, timeout time.Duration, purpose dialPurpose) (*serverConn, error) {
	p.mu.Lock()
	addr := s.addr
	if s.reconnectAt > 0 && p.node.now() >= s.reconnectAt {
		s.reconnectAt = 0
	}
	p.mu.Unlock()
	dialStart := time.Now()
	conn, err := p.node.Dial(ctx, addr, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		return nil, p.handleDialError(ctx, s, err, purpose, dialStart)
	}
	if s.addr != addr || p.servers[s.id] != s || p.closed { // told while it came up: nobody would close it
		p.connCount--
		_ = conn.Close()
		return nil, errServerChanged
	}
	p.reportToDetector(s, liveness.Connected, purpose)
	return p.addConn(s, conn), nil
}

// dialFailed gives the reserved place back. What is this machine's own trouble says nothing of the server, and neither does
// a time-out in which this process stood still.
func (p *pool) handleDialError(ctx context.Context, s *server, err error, purpose dialPurpose, dialStart time.Time) error {
	p.connCount--
	p.scheduleReconnect(s, 0)
	category := socketerror.Classify(err, socketerror.Connect)
	if category.IsLocal() {
		p.node.nearMisses.localErrors.Add(1)
		return fmt.Errorf("%w: %w", errLocal, err)
	}
	if category != socketerror.PeerRefused {
		if _, paused := p.node.clocks.pausedSince(dialStart, time.Now()); paused {
			return fmt.Errorf("%w: the process stood still: %w", errLocal, err)
		}
	}
	if ctx.Err() == nil {
		p.reportToDetector(s, toDialResult(category), purpose)
	}
	return err
}

func (p *pool) reportToDetector(s *server, result liveness.DialResult, purpose dialPurpose) {
	if purpose == dialForCheck {
		s.detector.RecordCheck(p.node.now(), result, len(s.conns))
		return
	}
	s.detector.RecordDial(p.node.now(), result, len(s.conns))
}

// addLink puts a connection that came up into use.
func (p *pool) addConn(s *server, conn net.Conn) *serverConn {
	p.lastConnID++
	now := p.node.now()
	l := &serverConn{server: s, id: p.lastConnID, openedAt: now, conn: conn, results: make(chan core.Result, 1), lastActivity: now}
	l.out.conn, l.out.onError = conn, func() { p.closeConn(l, false) }
	s.conns = append(s.conns, l)
	p.readers.Go(func() { p.readConn(l) })
	p.sendReleases(s)
	return l
}

func dialTCP(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return d.DialContext(ctx, "tcp", addr)
}

// dialResult is what a failed connection says of its server, where it is not this machine's own trouble.
func toDialResult(category socketerror.Category) liveness.DialResult {
	if category == socketerror.PeerRefused {
		return liveness.Refused
	}
	return liveness.NoResponse
}

// close ends a link that can be read or written no more. InOrder tells that neither side broke it: what was written has
// been read.
func (p *pool) closeConn(l *serverConn, orderly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !orderly {
		p.resendGiveUps(l)
	}
	p.dropConn(l)
	p.scheduleReconnect(l.server, reconnectDelay)
}

// noteGiveUp keeps in mind that a server was told on a link to give a set-up up.
func (p *pool) recordGiveUp(l *serverConn, id string) {
	now := p.node.now()
	l.givenUpSetUps = slices.DeleteFunc(l.givenUpSetUps, func(g givenUpSetUp) bool { return now-g.at > releaseDeliveryWindow })
	l.givenUpSetUps = append(l.givenUpSetUps, givenUpSetUp{id, now})
}

// gaveUpOn tells whether a set-up was given up on a link a short time ago.
func (l *serverConn) wasGivenUp(id string) bool {
	return slices.ContainsFunc(l.givenUpSetUps, func(g givenUpSetUp) bool { return g.id == id })
}

// repeatGiveUps has a server told again, on another connection, to give up what it may not have heard of on one that has
// broken: it may have answered, and the session would stand there for nobody.
func (p *pool) resendGiveUps(l *serverConn) {
	now := p.node.now()
	for _, g := range l.givenUpSetUps {
		if now-g.at <= releaseDeliveryWindow {
			p.holdRelease(l.server, g.id)
		}
	}
	l.givenUpSetUps = nil
}

// runs tells whether a session stands at a server or its set-up is out there.
func (s *server) runsSession(id string) bool {
	return s.activeSessions[id] || slices.ContainsFunc(s.conns, func(l *serverConn) bool { return l.activeID == id })
}

// renew has a connection to a server with sessions opened in a while, though others may be open. A release that the
// server had just written on a connection that ended is destroyed with it, and is said again only on the next one that is
// opened (seen: sessions whose release crossed the end of a connection stood for ever, one or two of 11,600 ends). One
// that is opened while the server may not yet have seen the end does not count: it may say the release on the old one
// after that (seen on a calm day, where a connection that had been idle for long was replaced at once).
func (p *pool) scheduleReconnect(s *server, delay time.Duration) {
	if len(s.activeSessions) > 0 {
		s.reconnectAt = p.node.now() + delay
	}
}

func (l *serverConn) send(kind, id string, attrs []string, cause int, text string) bool {
	return l.out.enqueue(func(b []byte) []byte { return jsonlines.Append(b, kind, id, attrs, cause, text) })
}

// take returns a link for a set-up: the idle one used last, or a new one. One that has been idle for nearly as long as
// servers keep idle connections is not used: a close that crosses the set-up leaves open whether it ran.
func (p *pool) acquire(ctx context.Context, s *server) (*serverConn, error) {
	p.mu.Lock()
	for now := p.node.now(); len(s.idleConns) > 0; {
		l := s.idleConns[len(s.idleConns)-1]
		s.idleConns = s.idleConns[:len(s.idleConns)-1]
		if !p.isStale(l, now) {
			p.mu.Unlock()
			return l, nil
		}
		p.retireConn(l)
	}
	reserved := p.reserveSlotForSetUp()
	p.mu.Unlock()
	if !reserved {
		p.node.nearMisses.placesMissing.Add(1)
		return nil, errNoSlot
	}
	return p.dial(ctx, s, p.node.Config.Platform.ConnectTimeout, dialForSetUp)
}

// stale tells a link that its server may close at any moment.
func (p *pool) isStale(l *serverConn, now time.Duration) bool {
	idle := p.node.Config.Platform.ConnIdle
	return idle > 0 && now-l.lastActivity > time.Duration(idleTimeoutShare*float64(idle))
}

// free puts a link back. It is not closed at once even where there are many: a server to which a connection
// closes just after its answer takes the set-up for given up, and cuts the session (seen when 300 viewers came
// back within a second, and a third of them lost what they had just got).
func (p *pool) putBack(l *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.detached {
		l.lastUsed = p.node.now()
		l.server.idleConns = append(l.server.idleConns, l)
	}
}

// closeSurplus closes what a server has too many of, the longest idle first, and what its server would close soon. While
// sessions stand there all stay: a release may be on its way on any.
func (p *pool) closeSurplus(s *server, now time.Duration) {
	for len(s.idleConns) > 0 && (p.isStale(s.idleConns[0], now) || len(s.activeSessions) == 0 && len(s.idleConns) > maxKeptIdle && now-s.idleConns[0].lastUsed > surplusIdleTimeout) {
		p.retireConn(s.idleConns[0])
	}
}

// closeEverything ends all connections, and returns when all that was read on them has been handled.
func (p *pool) shutDown() {
	p.mu.Lock()
	p.closed = true
	for _, s := range p.servers {
		p.closeServerConns(s)
	}
	for l := range p.retired {
		p.closeRetired(l)
	}
	p.mu.Unlock()
	p.readers.Wait()
}

// anyLink is a link for what is tied to none; one that was used lately first.
func (s *server) anyConn() *serverConn {
	if n := len(s.idleConns); n > 0 {
		return s.idleConns[n-1]
	}
	if n := len(s.conns); n > 0 {
		return s.conns[n-1]
	}
	return nil
}
