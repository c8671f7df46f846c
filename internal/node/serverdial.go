package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"rainpulley/internal/core"
	"rainpulley/internal/liveness"
	"rainpulley/internal/socketerror"
)

var (
	errNoSlot        = errors.New("node: limit of connections to servers reached")
	errLocal         = errors.New("node: local error while connecting to a server")
	errServerChanged = errors.New("node: server was removed or replaced while connecting")
)

// dial opens a connection to a server in a slot that the caller has reserved, and reports the result to the server's
// failure detector.
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
	if s.addr != addr || p.servers[s.id] != s || p.closed { // changed while connecting: nothing else would close conn
		p.connCount--
		_ = conn.Close()
		return nil, errServerChanged
	}
	p.reportToDetector(s, liveness.Connected, purpose)
	return p.addConn(s, conn), nil
}

// handleDialError returns the reserved slot and classifies the error. Neither a local error nor a time-out during
// which this process was paused is evidence against the server, so they are not reported to its detector.
func (p *pool) handleDialError(ctx context.Context, s *server, err error, purpose dialPurpose,
	dialStart time.Time) error {
	p.connCount--
	p.scheduleReconnect(s, 0)
	category := socketerror.Classify(err, socketerror.Connect)
	if category.IsLocal() {
		p.node.nearMisses.localErrors.Add(1)
		return fmt.Errorf("%w: %w", errLocal, err)
	}
	if category != socketerror.PeerRefused {
		if _, paused := p.node.clocks.pausedSince(dialStart, time.Now()); paused {
			return fmt.Errorf("%w: process was paused while connecting: %w", errLocal, err)
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

// addConn puts a newly established connection into use.
func (p *pool) addConn(s *server, conn net.Conn) *serverConn {
	p.lastConnID++
	now := p.node.now()
	c := &serverConn{server: s, id: p.lastConnID, openedAt: now, conn: conn,
		results: make(chan core.Result, 1), lastActivity: now}
	c.out.conn, c.out.onError = conn, func(cause socketerror.Category) { p.closeConn(c, cause) }
	s.conns = append(s.conns, c)
	p.node.Log.Debug("connected to server", "server", s.id, "address", s.addr, "connection", uint64(c.id),
		"state", int(s.state), "sessions", len(s.activeSessions))
	p.readers.Go(func() { p.readConn(c) })
	p.sendReleases(s)
	return c
}

func dialTCP(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return d.DialContext(ctx, "tcp", addr)
}

// toDialResult converts the category of a dial error that is not local to the result that the failure detector takes.
func toDialResult(category socketerror.Category) liveness.DialResult {
	if category == socketerror.PeerRefused {
		return liveness.Refused
	}
	return liveness.NoResponse
}
