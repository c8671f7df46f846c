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
type link struct {
	s      *server
	id     delivery.ConnectionID
	opened time.Duration
	conn   net.Conn
	out    outbox
	sid    string // of the set-up or the test on it
	// answerDue tells that a set-up is out on it, to its reader, which does not hold the pool's lock.
	answerDue atomic.Bool
	probe     bool // it is a test
	reply     chan core.Result
	gone      bool          // out of use; under the pool's lock
	heard     time.Duration // of the last line that came or set-up that went: the server's idle time-out counts from there
	used      time.Duration // of the last set-up's end; 0: none yet
	gaveUp    []givenUp     // set-ups that were given up on it a short time ago
}

// givenUp is a set-up that was given up, which its server was told on the connection it went on.
type givenUp struct {
	id string
	at time.Duration
}

const (
	lingerTimeout  = 500 * time.Millisecond // a connection that is given up stays so long, to pass on what was written
	surplusTimeout = 3 * time.Second        // a connection stays open so long after a set-up
	keptIdle       = 1                      // connections that stay open longer than that to a server without sessions
	idleShare      = 0.8                    // of the servers' idle time-out: by then this side has closed
	renewDelay     = 100 * time.Millisecond // so long after a connection's end its server has surely seen it
)

// drop closes a link at once; a set-up on it ends as reset.
func (p *pool) drop(l *link) {
	if l.gone {
		return
	}
	p.detach(l)
	p.closeSocket(l)
	if l.sid != "" {
		if !l.probe {
			l.s.abandoned[l.sid] = true
		}
		l.deliver(core.Result{Outcome: control.Reset})
	}
}

// retire closes a link after what is still to be written: a release queued a moment ago would be lost with it. It
// counts until its descriptor is free.
func (p *pool) retire(l *link) {
	if l.gone {
		return
	}
	p.detach(l)
	p.retired[l] = struct{}{}
	l.out.finish()
	time.AfterFunc(lingerTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeRetired(l)
	})
}

// closeRetired closes a retired link.
func (p *pool) closeRetired(l *link) {
	if _, ok := p.retired[l]; ok {
		delete(p.retired, l)
		p.closeSocket(l)
	}
}

// closeSocket frees a link's descriptor. Releases that were sent on it a moment ago go on another one.
func (p *pool) closeSocket(l *link) {
	p.links--
	l.out.stop()
	_ = l.conn.Close()
	if l.s.releases.ConnectionEnded(l.id, p.n.now()) > 0 {
		p.sendReleases(l.s)
	}
}

// detach takes a link out of use.
func (p *pool) detach(l *link) {
	l.gone = true
	l.s.links = without(l.s.links, l)
	l.s.idle = without(l.s.idle, l)
	if len(l.s.links) == 0 {
		l.s.unconnectedSince = p.n.now()
	}
}

func without(list []*link, l *link) []*link {
	for i := range list {
		if list[i] == l {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// deliver ends the set-up on a link; a second answer finds none.
func (l *link) deliver(r core.Result) bool {
	if l.sid == "" {
		return false
	}
	l.sid, l.probe = "", false
	l.answerDue.Store(false)
	l.reply <- r // has room for one
	return true
}

var (
	errNoRoom = errors.New("node: no place left for a connection to a server")
	errLocal  = errors.New("node: no connection for reasons of this machine")
	errMoved  = errors.New("node: the server is another by now")
)

// dial opens a link to a server within a time, on a place that was reserved for it, and tells the server's detector what
// came of it.
func (p *pool) dial(ctx context.Context, s *server, within time.Duration, why purpose) (*link, error) {
	p.mu.Lock()
	addr := s.addr
	if s.renewAt > 0 && p.n.now() >= s.renewAt {
		s.renewAt = 0
	}
	p.mu.Unlock()
	began := time.Now()
	conn, err := p.n.Dial(ctx, addr, within)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		return nil, p.dialFailed(ctx, s, err, why, began)
	}
	if s.addr != addr || p.byID[s.id] != s || p.over { // told while it came up: nobody would close it
		p.links--
		_ = conn.Close()
		return nil, errMoved
	}
	p.tellDetector(s, liveness.Connected, why)
	return p.addLink(s, conn), nil
}

// dialFailed gives the reserved place back. What is this machine's own trouble says nothing of the server, and neither does
// a time-out in which this process stood still.
func (p *pool) dialFailed(ctx context.Context, s *server, err error, why purpose, began time.Time) error {
	p.links--
	p.renew(s, 0)
	verdict := socketerror.Classify(err, socketerror.Connect)
	if verdict.IsLocal() {
		p.n.near.localErrors.Add(1)
		return fmt.Errorf("%w: %w", errLocal, err)
	}
	if verdict != socketerror.PeerRefused {
		if _, paused := p.n.clocks.pausedSince(began, time.Now()); paused {
			return fmt.Errorf("%w: the process stood still: %w", errLocal, err)
		}
	}
	if ctx.Err() == nil {
		p.tellDetector(s, dialResult(verdict), why)
	}
	return err
}

func (p *pool) tellDetector(s *server, result liveness.DialResult, why purpose) {
	if why == forCheck {
		s.detector.RecordCheck(p.n.now(), result, len(s.links))
		return
	}
	s.detector.RecordDial(p.n.now(), result, len(s.links))
}

// addLink puts a connection that came up into use.
func (p *pool) addLink(s *server, conn net.Conn) *link {
	p.opened++
	now := p.n.now()
	l := &link{s: s, id: p.opened, opened: now, conn: conn, reply: make(chan core.Result, 1), heard: now}
	l.out.conn, l.out.fail = conn, func() { p.close(l, false) }
	s.links = append(s.links, l)
	p.readers.Go(func() { p.read(l) })
	p.sendReleases(s)
	return l
}

func dialTCP(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	return d.DialContext(ctx, "tcp", addr)
}

// dialResult is what a failed connection says of its server, where it is not this machine's own trouble.
func dialResult(verdict socketerror.Category) liveness.DialResult {
	if verdict == socketerror.PeerRefused {
		return liveness.Refused
	}
	return liveness.NoResponse
}

// close ends a link that can be read or written no more. InOrder tells that neither side broke it: what was written has
// been read.
func (p *pool) close(l *link, inOrder bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !inOrder {
		p.repeatGiveUps(l)
	}
	p.drop(l)
	p.renew(l.s, renewDelay)
}

// noteGiveUp keeps in mind that a server was told on a link to give a set-up up.
func (p *pool) noteGiveUp(l *link, id string) {
	now := p.n.now()
	l.gaveUp = slices.DeleteFunc(l.gaveUp, func(g givenUp) bool { return now-g.at > releaseDoubt })
	l.gaveUp = append(l.gaveUp, givenUp{id, now})
}

// gaveUpOn tells whether a set-up was given up on a link a short time ago.
func (l *link) gaveUpOn(id string) bool {
	return slices.ContainsFunc(l.gaveUp, func(g givenUp) bool { return g.id == id })
}

// repeatGiveUps has a server told again, on another connection, to give up what it may not have heard of on one that has
// broken: it may have answered, and the session would stand there for nobody.
func (p *pool) repeatGiveUps(l *link) {
	now := p.n.now()
	for _, g := range l.gaveUp {
		if now-g.at <= releaseDoubt {
			p.holdRelease(l.s, g.id)
		}
	}
	l.gaveUp = nil
}

// runs tells whether a session stands at a server or its set-up is out there.
func (s *server) runs(id string) bool {
	return s.standing[id] || slices.ContainsFunc(s.links, func(l *link) bool { return l.sid == id })
}

// renew has a connection to a server with sessions opened in a while, though others may be open. A release that the
// server had just written on a connection that ended is destroyed with it, and is said again only on the next one that is
// opened (seen: sessions whose release crossed the end of a connection stood for ever, one or two of 11,600 ends). One
// that is opened while the server may not yet have seen the end does not count: it may say the release on the old one
// after that (seen on a calm day, where a connection that had been idle for long was replaced at once).
func (p *pool) renew(s *server, in time.Duration) {
	if len(s.standing) > 0 {
		s.renewAt = p.n.now() + in
	}
}

func (l *link) say(kind, id string, attrs []string, cause int, text string) bool {
	return l.out.put(func(b []byte) []byte { return jsonlines.Append(b, kind, id, attrs, cause, text) })
}

// take returns a link for a set-up: the idle one used last, or a new one. One that has been idle for nearly as long as
// servers keep idle connections is not used: a close that crosses the set-up leaves open whether it ran.
func (p *pool) take(ctx context.Context, s *server) (*link, error) {
	p.mu.Lock()
	for now := p.n.now(); len(s.idle) > 0; {
		l := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if !p.stale(l, now) {
			p.mu.Unlock()
			return l, nil
		}
		p.retire(l)
	}
	reserved := p.reserveForSetUp()
	p.mu.Unlock()
	if !reserved {
		p.n.near.placesMissing.Add(1)
		return nil, errNoRoom
	}
	return p.dial(ctx, s, p.n.Config.Platform.ConnectTimeout, forSetUp)
}

// stale tells a link that its server may close at any moment.
func (p *pool) stale(l *link, now time.Duration) bool {
	idle := p.n.Config.Platform.ConnIdle
	return idle > 0 && now-l.heard > time.Duration(idleShare*float64(idle))
}

// free puts a link back. It is not closed at once even where there are many: a server to which a connection
// closes just after its answer takes the set-up for given up, and cuts the session (seen when 300 viewers came
// back within a second, and a third of them lost what they had just got).
func (p *pool) free(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.gone {
		l.used = p.n.now()
		l.s.idle = append(l.s.idle, l)
	}
}

// closeSurplus closes what a server has too many of, the longest idle first, and what its server would close soon. While
// sessions stand there all stay: a release may be on its way on any.
func (p *pool) closeSurplus(s *server, now time.Duration) {
	for len(s.idle) > 0 && (p.stale(s.idle[0], now) || len(s.standing) == 0 && len(s.idle) > keptIdle && now-s.idle[0].used > surplusTimeout) {
		p.retire(s.idle[0])
	}
}

// closeEverything ends all connections, and returns when all that was read on them has been handled.
func (p *pool) closeEverything() {
	p.mu.Lock()
	p.over = true
	for _, s := range p.byID {
		p.closeAll(s)
	}
	for l := range p.retired {
		p.closeRetired(l)
	}
	p.mu.Unlock()
	p.readers.Wait()
}

// anyLink is a link for what is tied to none; one that was used lately first.
func (s *server) anyLink() *link {
	if n := len(s.idle); n > 0 {
		return s.idle[n-1]
	}
	if n := len(s.links); n > 0 {
		return s.links[n-1]
	}
	return nil
}
