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
	"rainpulley/internal/socketerror"
)

// viewers are the connections that viewers opened.
type viewerConns struct {
	node               *Node
	maxConnections     int // beyond it the connection least missed is closed for each new one
	reserveConnections int // so many more may be open where all wait for their answers

	mu             sync.Mutex
	conns          map[*viewerConn]struct{}
	lastConnID     delivery.ConnectionID                 // the last connection's
	pendingNotices map[string]*delivery.Pending[*notice] // that viewers may not have been told, by their address
	closed         bool

	shuttingDown atomic.Bool // no further set-up is taken: its answer is a refusal at once
}

const (
	reserveDivisor     = 8                     // of the budget of connections: an eighth
	acceptRetryDelay   = 5 * time.Millisecond  // after a connection that could not be taken
	backlogIdleTimeout = 20 * time.Millisecond // connections that are up already when the node stops listening are taken
	finalReadTimeout   = 60 * time.Millisecond // viewers' last words are read so long: unread bytes at a close destroy answers
)

func newViewerConns(n *Node, maxConnections int) *viewerConns {
	return &viewerConns{node: n, maxConnections: maxConnections, reserveConnections: maxConnections / reserveDivisor, conns: map[*viewerConn]struct{}{}, pendingNotices: map[string]*delivery.Pending[*notice]{}}
}

// serve takes connections until the listener closes, or until none has come for a while when the node leaves: a
// connection that is up already has been taken by this machine, and what it asks is owed an answer.
func (v *viewerConns) serve(l net.Listener) {
	drainingBacklog := false
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && drainingBacklog:
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // from now on each accept takes its time, on a busy core too
			drainingBacklog = true
			_ = setAcceptDeadline(l, backlogIdleTimeout)
			continue
		case err != nil: // the peer has gone already, or no descriptor is left: then one is freed, or waited for
			v.node.nearMisses.localErrors.Add(1)
			verdict := socketerror.Classify(err, socketerror.Accept)
			v.node.Log.Info("connection not accepted", "error", err, "verdict", verdict.String())
			if verdict == socketerror.LocalDescriptorLimit { // only this one is helped by closing a connection of this process
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

// stopListening has serve end. A listener that knows no deadlines closes at once.
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

// take begins to serve a connection. Over the budget the one least missed is closed for it: who has said
// nothing for a while, then who waits for nothing, the oldest first. Harm: who connects and speaks late is closed
// in a crowd. A connection that has just come up is spared as long as there is another: its request is on the way,
// and would fail with it (seen on days when viewers hold their connections for good).
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
	v.node.startGoroutine(c.serve)
}

// makeRoom returns when one more connection may be open. Where all others wait for their answers it may be one beyond the
// budget, and beyond the reserve it waits for an answer: requests whose connections are not taken yet wait in the backlog
// meanwhile, which loses none of them. At the end of the node it does not wait: all are answered then.
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

// closeAll ends all connections and takes no further one. Writing halves go first, and what viewers still send is read
// for a moment: closing with unread bytes resets the connection, and an answer just written could be lost with it.
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
	pollUntil(flushTimeout, func() bool { return !slices.ContainsFunc(conns, func(c *viewerConn) bool { return c.out.isWriting() }) })
	pollUntil(finalReadTimeout, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.conns) == 0
	})
	for _, c := range conns {
		c.close(closedAtShutdown)
	}
}

// within waits until something holds, for a time at most.
func pollUntil(timeout time.Duration, condition func() bool) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && !condition(); {
		time.Sleep(time.Millisecond)
	}
}
