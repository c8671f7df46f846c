package node

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rainpulley/internal/delivery"
	"rainpulley/internal/peerstate"
	"rainpulley/internal/socketerror"
)

// viewerConns manages the open viewer connections.
type viewerConns struct {
	node               *Node
	maxConnections     int // above it, an idle connection is evicted for each new one
	reserveConnections int // further connections allowed while every open one awaits an answer

	mu             sync.Mutex
	conns          map[*viewerConn]struct{}
	lastConnID     delivery.ConnectionID                 // id of the newest connection
	pendingNotices map[string]*delivery.Pending[*notice] // notices not confirmed yet, by viewer address
	closed         bool

	// acceptedAllBefore is when no connection last waited to be accepted; used by the accepting goroutine only.
	acceptedAllBefore time.Time

	shuttingDown atomic.Bool // new set-ups are refused at once
}

const (
	reserveDivisor     = 8                     // the reserve is an eighth of maxConnections
	acceptRetryDelay   = 5 * time.Millisecond  // after a failed accept, and between checks for capacity
	backlogIdleTimeout = 20 * time.Millisecond // accept timeout while the backlog is emptied at shutdown
	finalReadTimeout   = 60 * time.Millisecond // last reads before close: a close with unread bytes destroys answers
)

func newViewerConns(n *Node, maxConnections int) *viewerConns {
	return &viewerConns{node: n, maxConnections: maxConnections, reserveConnections: maxConnections / reserveDivisor,
		conns: map[*viewerConn]struct{}{}, pendingNotices: map[string]*delivery.Pending[*notice]{}}
}

// serve accepts connections until the listener is closed. At shutdown it first empties the backlog, until no connection
// was accepted for a while: the kernel has already established those connections, so their requests must be answered.
func (v *viewerConns) serve(l net.Listener) {
	drainingBacklog := false
	for {
		waitStart := time.Now()
		conn, err := l.Accept()
		if now := time.Now(); now.Sub(waitStart) >= idleRead {
			v.acceptedAllBefore = now
		}
		switch {
		case socketerror.EndsListener(err):
			if !errors.Is(err, net.ErrClosed) {
				v.node.Log.Error("the listener is of no use any more", "error", err)
			}
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && drainingBacklog:
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // each later accept gets a full timeout, even on a busy core
			drainingBacklog = true
			_ = setAcceptDeadline(l, backlogIdleTimeout)
			continue
		case err != nil: // the peer has already gone, or no descriptor is available: evict a connection or wait
			v.node.nearMisses.localErrors.Add(1)
			category := socketerror.Classify(err, socketerror.Accept)
			v.node.Log.Info("connection not accepted", "error", err, "verdict", category.String())
			if category == socketerror.LocalDescriptorLimit { // the only error that closing a connection here can remedy
				v.evict(time.Now())
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		v.serveConn(conn)
		if v.shuttingDown.Load() {
			_ = setAcceptDeadline(l, backlogIdleTimeout)
		}
	}
}

// stopListening makes serve return once the backlog is empty. A listener without deadlines is closed at once.
func (v *viewerConns) stopListening(l net.Listener) {
	if setAcceptDeadline(l, 0) != nil {
		_ = l.Close()
	}
}

func setAcceptDeadline(l net.Listener, timeout time.Duration) error {
	t, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return t.SetDeadline(time.Now().Add(timeout))
}

// serveConn starts to serve a connection. Above the limit another one is evicted: first those that have sent nothing
// for a while, then those without a pending request, the longest unused first. Trade-off: above the limit, connections
// whose viewers send their first message late are closed. A new connection is spared while there is another candidate:
// its first request is in transit and would be lost (observed on days when viewers kept their connections open
// permanently).
func (v *viewerConns) serveConn(conn net.Conn) {
	now := time.Now()
	c := newViewerConn(v.node, conn, now)
	v.mu.Lock()
	if v.closed {
		v.mu.Unlock()
		c.refuseConnection(closedAtShutdown)
		return
	}
	v.mu.Unlock()
	v.awaitCapacity()
	v.mu.Lock()
	v.lastConnID++
	c.id = v.lastConnID
	v.conns[c] = struct{}{}
	v.mu.Unlock()
	if state, known := peerstate.Query(conn); known && state.Unread > 0 {
		c.arrivedSince = v.acceptedAllBefore
	}
	v.node.startGoroutine(c.serve)
}

// awaitCapacity returns when one more connection may be opened. If all others await answers, the limit may be exceeded
// by the reserve; beyond that it waits until a request is answered. Requests on connections that are not accepted yet
// stay in the backlog meanwhile, and none is lost. The wait ends at shutdown, because all requests are answered then.
func (v *viewerConns) awaitCapacity() {
	hasCapacity := func() bool {
		v.mu.Lock()
		connCount := len(v.conns)
		v.mu.Unlock()
		return connCount < v.maxConnections || v.evict(time.Now()) || connCount < v.maxConnections+v.reserveConnections
	}
	for !hasCapacity() {
		v.node.nearMisses.viewersDelayed.Add(1)
		time.Sleep(acceptRetryDelay)
	}
}

// closeAll closes all connections and refuses new ones. It closes the write sides first and keeps reading for a moment:
// closing a socket with unread bytes resets the connection, which could destroy an answer that was just written.
func (v *viewerConns) closeAll() {
	v.mu.Lock()
	v.closed = true
	conns := make([]*viewerConn, 0, len(v.conns))
	for c := range v.conns {
		conns = append(conns, c)
	}
	v.mu.Unlock()
	for _, c := range conns {
		c.out.closeAfterFlush()
	}
	pollUntil(flushTimeout, func() bool {
		return !slices.ContainsFunc(conns, func(c *viewerConn) bool { return c.out.isWriting() })
	})
	pollUntil(finalReadTimeout, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.conns) == 0
	})
	for _, c := range conns {
		c.close(closedAtShutdown)
	}
}

// pollUntil polls condition until it holds or the timeout has passed.
func pollUntil(timeout time.Duration, condition func() bool) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && !condition(); {
		time.Sleep(time.Millisecond)
	}
}
