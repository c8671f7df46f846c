// Package accept accepts connections despite errors that pass.
package accept

import (
	"context"
	"log/slog"
	"net"
	"time"

	"rainpulley/internal/descriptors"
	"rainpulley/internal/socketerror"
)

const (
	retryDelay  = 20 * time.Millisecond // pause after an error, unless a descriptor is freed before
	logInterval = time.Second
)

// Listener is a listener whose Accept returns an error only if the listener is of no use any more or the context ends.
// Other errors are logged and waited out: the peer has left already, or this machine lacks a resource for a moment.
type Listener struct {
	net.Listener
	ctx        context.Context
	log        *slog.Logger
	freed      chan struct{} // has an entry after a descriptor was freed
	lastLogged time.Time
}

// NewListener returns a Listener that waits until ctx ends at most.
func NewListener(ctx context.Context, l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, ctx: ctx, log: log, freed: make(chan struct{}, 1)}
}

// NotifyFreed wakes an Accept that waits after an error.
func (l *Listener) NotifyFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || l.ctx.Err() != nil || socketerror.EndsListener(err) {
			return conn, err
		}
		if now := time.Now(); now.Sub(l.lastLogged) >= logInterval {
			l.lastLogged = now
			l.log.Warn("connection not accepted; trying again", "error", err,
				"verdict", socketerror.Classify(err, socketerror.Accept).String())
		}
		select {
		case <-l.ctx.Done():
		case <-l.freed:
		case <-time.After(retryDelay):
		}
	}
}

// Limited is a Listener that accepts a connection only once the budget has a descriptor for it. Further ones wait in the
// backlog.
type Limited struct {
	*Listener
	Budget *descriptors.Budget
}

// Accept waits for a descriptor and then for the next connection.
func (l *Limited) Accept() (net.Conn, error) {
	if err := l.Budget.AcquireWait(l.ctx); err != nil {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.Budget.Release()
		return nil, err
	}
	return descriptors.NewConn(conn, func() { l.Budget.Release(); l.NotifyFreed() }), nil
}
