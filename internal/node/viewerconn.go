package node

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rainpulley/internal/delivery"
	"rainpulley/internal/lifecycle"
	"rainpulley/internal/membudget"
	"rainpulley/internal/rtsp"
	"rainpulley/internal/socketerror"
)

// viewerConn is one RTSP connection from viewers. Several viewers may share it, and sessions are not bound to it.
type viewerConn struct {
	node       *Node
	id         delivery.ConnectionID
	conn       net.Conn
	in         deadlineReader
	out        writeQueue
	remoteHost string // remote address without the port
	openedAt   time.Time
	// arrivedSince is the earliest time at which the first message may have arrived, if it came before the connection was
	// accepted.
	arrivedSince time.Time

	earliestArrival time.Time    // earliest possible arrival of the current message; used by the reading goroutine only
	waitStart       time.Time    // when the reading goroutine began to wait for input; used by it only
	handled         atomic.Int64 // received bytes whose messages are handled

	mu                 sync.Mutex
	receivedMessage    bool                // at least one complete message was received
	messageStarted     bool                // a message was received in part
	handlingMessage    bool                // a message is being handled
	lastUsed           time.Time           // when the last message was received
	openSetUps         map[string]*session // set-ups still to be answered, by session id
	sessionCount       int                 // active sessions that were set up on this connection
	draining           bool                // no more messages are handled; closes once no set-up is open
	halfClosedByViewer bool                // the viewer has closed its write side
	lastSeenOpen       time.Time           // when the kernel was last seen to know of no close by the viewer
	closed             bool

	inputMemory membudget.Account // of the message that is being read
	setUpMemory membudget.Account // of descriptions of open set-ups

	drained chan struct{} // closed when the connection is draining and no set-up is open
	done    chan struct{} // closed when the connection is closed
}

// newViewerConn returns a connection from which nothing has been read yet.
func newViewerConn(n *Node, conn net.Conn, now time.Time) *viewerConn {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	c := &viewerConn{node: n, conn: conn, remoteHost: host, openedAt: now, lastUsed: now,
		openSetUps: map[string]*session{}, drained: make(chan struct{}), done: make(chan struct{})}
	c.in.conn = conn
	c.out.conn, c.out.onError = conn, c.handleWriteError
	c.out.memory = n.viewerMemory.Account(freeOutputBytes)
	c.inputMemory = n.viewerMemory.Account(freeInputBytes)
	c.setUpMemory = n.viewerMemory.Account(0)
	return c
}

const (
	firstMessageTimeout = 2500 * time.Millisecond // connect to first whole message; separates silent from slow peers
	messageTimeout      = 2500 * time.Millisecond // from the first byte to the end of a later message
	discardTimeout      = 2 * time.Second         // for discarding input of a refused peer (RFC 9112, section 9.6)
	maxDiscardedBytes   = 96 << 20                // of that input
	maxOpenSetUps       = maxQueuedRequests       // set-ups of one connection that are still to be answered

	// viewerMemoryShare is the part of the memory limit, one in so many, that messages from and to viewers may take.
	viewerMemoryShare      = 16
	congestionPollInterval = time.Millisecond

	freeInputBytes  = 4 << 10 // of one connection, not counted
	freeOutputBytes = 4 << 10
)

// serve handles messages until the connection ends.
func (c *viewerConn) serve() {
	reason := c.readMessages()
	c.drain(reason)
	c.close(reason)
}

// readMessages reads and handles messages. It returns why it stopped.
func (c *viewerConn) readMessages() closeReason {
	reader := rtsp.NewReader(bufio.NewReaderSize(&c.in, 4<<10))
	reader.Reserve = c.inputMemory.Set
	defer c.inputMemory.Set(0)
	c.in.setDeadline(c.openedAt.Add(firstMessageTimeout))
	var messages burst
	for {
		c.handled.Store(c.in.received.Load() - int64(reader.Buffered()))
		c.waitStart = time.Now()
		if err := reader.WaitForMessage(); err != nil {
			return c.readErrorReason(err)
		}
		waited := time.Since(c.waitStart)
		c.node.activity.record(c.node.now())
		c.markMessageStarted()
		m, err := reader.Next()
		var rtspErr *rtsp.Error
		switch {
		case errors.As(err, &rtspErr):
			c.respondError(rtspErr.Status, reader, err)
			return closedMalformedMessage
		case socketerror.Classify(err, socketerror.Transfer) == socketerror.DeadlineExceeded:
			c.respondError(statusRequestTimeout, reader, err)
			return closedMessageTimeout
		case err != nil:
			return c.readErrorReason(err)
		}
		c.earliestArrival = earlier(c.node.clocks.earliestArrival(c.waitStart, time.Now()), c.in.arrivedBy)
		c.in.setDeadline(time.Time{})
		if c.markMessageReceived() {
			c.earliestArrival = earlier(c.earliestArrival, c.arrivedSince)
			c.node.viewerConns.sendNoticesTo(c)
		}
		c.handleMessage(m)
		c.mu.Lock()
		c.handlingMessage = false
		c.mu.Unlock()
		messages.record(waited, &c.node.burstLimiter)
		c.awaitUncongested()
	}
}

// awaitUncongested returns once the responses on the connection are written, except for a few. A client that sends more than
// it reads is not read meanwhile; if it reads nothing, the write fails and the connection ends.
func (c *viewerConn) awaitUncongested() {
	for c.out.isCongested() && !isClosed(c.done) {
		time.Sleep(congestionPollInterval)
	}
}

// earlier returns the earlier of two times, or the first if the second is not known.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// readErrorReason returns the close reason for a read error, and logs an error that is no ordinary end.
func (c *viewerConn) readErrorReason(err error) closeReason {
	reason := readErrorReason(err)
	if reason == closedByNetworkError {
		c.node.Log.Info("read from viewer failed", "connection", uint64(c.id), "error", err)
	}
	return reason
}

// markMessageStarted sets the read deadline of a message whose first byte was received. The first message of a
// connection already has one.
func (c *viewerConn) markMessageStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageStarted = true
	if c.receivedMessage {
		c.in.setDeadline(time.Now().Add(messageTimeout))
	}
}

// markMessageReceived records that a complete message was received and reports whether it was the first one.
func (c *viewerConn) markMessageReceived() (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.receivedMessage
	c.messageStarted, c.receivedMessage, c.handlingMessage, c.lastUsed = false, true, true, time.Now()
	return first
}

func (c *viewerConn) handleMessage(m *rtsp.Message) {
	switch m.Method {
	case "": // the response to a notice
		c.node.viewerConns.confirmNotice(c.remoteHost, m.Get("Session"))
	case "SETUP":
		c.handleSetUp(m)
	case "TEARDOWN":
		c.handleTearDown(m)
	case "OPTIONS":
		c.respond(m, statusOK)
	default:
		c.respond(m, 501)
	}
}

func (c *viewerConn) respond(m *rtsp.Message, status int) {
	c.out.enqueue(func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", m.Get("CSeq"), "Session", m.Get("Session")}, nil)
	})
}

// handleSetUp submits a set-up request. A duplicate of an open session id is refused without affecting the open
// request.
func (c *viewerConn) handleSetUp(m *rtsp.Message) {
	r, s, problem := c.node.parseSetUp(m, c.earliestArrival)
	if s == nil {
		c.node.Log.Info("set-up refused", "session", m.Get("Session"), "status", statusBadRequest, "why", problem,
			"connection", uint64(c.id))
		c.respond(m, statusBadRequest)
		return
	}
	s.conn = c
	level := slog.LevelInfo
	if s.adopted {
		level = slog.LevelDebug
	}
	if c.node.Log.Enabled(context.Background(), level) {
		c.node.Log.Log(context.Background(), level, "request", "session", s.id, "class", s.className, "timer", s.timeout,
			"connection", uint64(c.id), "from", c.conn.RemoteAddr().String(), "repeat", r.Repeat, "adopted", s.adopted)
	}
	if s.adopted {
		c.node.adopt(r, s)
		return
	}
	existing, refusal := c.node.register(s, c)
	switch {
	case refusal != lifecycle.Permitted:
		c.refuseToStart(m, refusal)
		return
	case existing != nil:
		if !c.handleResent(s, existing) {
			c.refuseDuplicate(s, existing)
		}
		return
	}
	tooMany := !c.addSetUp(s)
	if !c.node.hasRoom() || !s.reserveDescription(c) {
		c.node.nearMisses.memoryRefused.Add(1)
		tooMany = true
	}
	if shuttingDown := c.node.viewerConns.shuttingDown.Load(); tooMany || shuttingDown ||
		!c.node.orchestrator.SubmitFrom(uint64(c.id), r, s) {
		c.node.Log.Info("set-up refused", "session", s.id, "status", statusServiceUnavailable,
			"waiting", c.openSetUpCount(), "leaving", shuttingDown, "connection", uint64(c.id))
		s.refuse()
	}
}

// addSetUp adds a registered set-up to those that are still to be answered on the connection, unless its viewer has
// resent it on another connection since. It returns false if the connection can take no more.
func (c *viewerConn) addSetUp(s *session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.currentConn() != c {
		return true
	}
	if len(c.openSetUps) >= maxOpenSetUps || c.closed {
		return false
	}
	c.openSetUps[s.id] = s
	return true
}

// openSetUpCount returns the number of set-ups that are still to be answered.
func (c *viewerConn) openSetUpCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openSetUps)
}

// removeSetUp removes a set-up from the connection. If the connection is draining, it ends with its last set-up.
func (c *viewerConn) removeSetUp(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openSetUps, s.id)
	c.finishIfDrained()
}

// addSessions adds n to the number of active sessions that were set up on this connection.
func (c *viewerConn) addSessions(n int) {
	c.mu.Lock()
	c.sessionCount += n
	c.mu.Unlock()
}

// handleTearDown ends a session or a pending set-up, whichever connection it was requested on. A set-up pending on
// another connection is answered there, since the viewer that waits on it may not be the one that sent the TEARDOWN.
func (c *viewerConn) handleTearDown(m *rtsp.Message) {
	s := c.node.findSession(m.Get("Session"))
	if s == nil {
		if id := m.Get("Session"); isSessionID(id) {
			c.node.ledger.Withdrawn(id, c.node.now())
		}
		c.respond(m, statusSessionNotFound)
		return
	}
	wasWaiting := s.awaitsAnswer()
	conn := s.currentConn()
	if conn != c && wasWaiting {
		if answer := s.claimAnswerOnTearDown(); answer != nil {
			c.node.ledger.Answered(s.identity)
			conn.out.enqueue(s.appendAnswer(*answer))
		}
	}
	s.withdraw()
	conn.removeSetUp(s)
	c.logTearDown(s, conn, wasWaiting)
	c.node.orchestrator.ViewerLeft(s.id, s)
	c.respond(m, statusOK)
}

// logTearDown logs which connection ended a session or a pending set-up.
func (c *viewerConn) logTearDown(s *session, conn *viewerConn, wasWaiting bool) {
	level := slog.LevelDebug
	if wasWaiting {
		level = slog.LevelInfo
	}
	c.node.Log.Log(context.Background(), level, "session torn down by viewer", "session", s.id,
		"connection", uint64(c.id), "began on", uint64(conn.id), "waited", wasWaiting)
}
