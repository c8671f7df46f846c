package node

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"rainpulley/internal/delivery"
	"rainpulley/internal/rtsp"
	"rainpulley/internal/socketerror"
)

// viewer is one connection of a viewer, or of many: sessions share it.
type viewerConn struct {
	node       *Node
	id         delivery.ConnectionID
	conn       net.Conn
	in         deadlineReader
	out        writeQueue
	remoteHost string // address without port
	openedAt   time.Time

	earliestArrival time.Time // when the message in hand may have come at the earliest; of the reading goroutine

	mu                 sync.Mutex
	receivedMessage    bool                // a whole message came
	messageStarted     bool                // a message has begun and is not whole yet
	handlingMessage    bool                // a message is being handled
	lastUsed           time.Time           // of the last message
	openSetUps         map[string]*session // set-ups that wait for their answer
	sessionCount       int                 // sessions that began here and stand
	draining           bool                // no message is taken any more; the connection ends when the last open set-up is answered
	halfClosedByViewer bool                // the viewer has shut down its writing half
	closed             bool

	drained chan struct{} // closed when the connection drains and no set-up is open
	done    chan struct{} // closed when it is over
}

// newViewer returns a connection that nothing was read on yet.
func newViewerConn(n *Node, conn net.Conn, now time.Time) *viewerConn {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	c := &viewerConn{node: n, conn: conn, remoteHost: host, openedAt: now, lastUsed: now, openSetUps: map[string]*session{},
		drained: make(chan struct{}), done: make(chan struct{})}
	c.in.conn = conn
	c.out.conn, c.out.onError = conn, c.handleWriteError
	return c
}

const (
	firstMessageTimeout = 2500 * time.Millisecond // the first message has come by then: silence is told apart from slowness
	messageTimeout      = 2500 * time.Millisecond // any message that has begun
	discardTimeout      = 2 * time.Second         // what a refused peer still sends is read so long (RFC 9112, section 9.6)
	maxDiscardedBytes   = 96 << 20                // and at most so many bytes of it
	maxOpenSetUps       = maxQueuedRequests       // set-ups of one connection that wait for their answer
)

// read takes what a viewer says until the connection ends.
func (c *viewerConn) serve() {
	reason := c.readMessages()
	c.drain(reason)
	c.close(reason)
}

// readMessages takes messages and returns why there are no more.
func (c *viewerConn) readMessages() closeReason {
	reader := rtsp.NewReader(bufio.NewReaderSize(&c.in, 4<<10))
	c.in.setDeadline(c.openedAt.Add(firstMessageTimeout))
	for {
		waitStart := time.Now()
		if err := reader.WaitForMessage(); err != nil {
			return readErrorReason(err)
		}
		c.markMessageStarted()
		m, err := reader.Next()
		var rtspErr *rtsp.Error
		switch {
		case errors.As(err, &rtspErr):
			c.respondError(rtspErr.Status)
			return closedMalformedMessage
		case socketerror.Classify(err, socketerror.Transfer) == socketerror.DeadlineExceeded:
			c.respondError(408)
			return closedMessageTimeout
		case err != nil:
			return readErrorReason(err)
		}
		c.earliestArrival = c.node.clocks.earliestArrival(waitStart, time.Now())
		c.in.setDeadline(time.Time{})
		if c.markMessageReceived() {
			c.node.viewerConns.sendNoticesTo(c)
		}
		c.handleMessage(m)
		c.mu.Lock()
		c.handlingMessage = false
		c.mu.Unlock()
	}
}

// messageBegins bounds the time for a message whose first byte has come. The first one is bounded already.
func (c *viewerConn) markMessageStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageStarted = true
	if c.receivedMessage {
		c.in.setDeadline(time.Now().Add(messageTimeout))
	}
}

// messageRead notes that a message is whole and about to be handled. It tells whether it was the first one.
func (c *viewerConn) markMessageReceived() (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.receivedMessage
	c.messageStarted, c.receivedMessage, c.handlingMessage, c.lastUsed = false, true, true, time.Now()
	return first
}

func (c *viewerConn) handleMessage(m *rtsp.Message) {
	switch m.Method {
	case "": // an answer to a notice
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

// setUp hands a set-up to the owner. One under an id that is open is refused without touching that one; the
// refusal names no session, so that it cannot pass for the open one's answer.
func (c *viewerConn) handleSetUp(m *rtsp.Message) {
	r, s, problem := c.node.parseSetUp(m, c.earliestArrival)
	if s == nil {
		c.node.Log.Info("set-up refused", "session", m.Get("Session"), "status", statusBadRequest, "why", problem, "connection", uint64(c.id))
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
	if c.handleResentAnswered(s) {
		return
	}
	if existing := c.node.register(s); existing != nil {
		if !c.handleResent(s, existing) {
			c.refuseDuplicate(s, existing)
		}
		return
	}
	c.mu.Lock()
	tooMany := len(c.openSetUps) >= maxOpenSetUps || c.closed
	if !tooMany {
		c.openSetUps[s.id] = s
	}
	c.mu.Unlock()
	if shuttingDown := c.node.viewerConns.shuttingDown.Load(); tooMany || shuttingDown || !c.node.orchestrator.Submit(r, s) {
		c.node.Log.Info("set-up refused", "session", s.id, "status", statusServiceUnavailable, "waiting", c.openSetUpCount(), "leaving", shuttingDown, "connection", uint64(c.id))
		c.node.unregister(s)
		c.respond(m, statusServiceUnavailable)
		c.removeSetUp(s)
	}
}

// refuseRepeat answers a set-up under an id that is open, but asks for something else or comes on the same connection.
// The refusal names no session, so that it cannot pass for the open one's answer, unless that one's viewer has left.
func (c *viewerConn) refuseDuplicate(s, existing *session) {
	status, id := statusBadRequest, ""
	if existing.isWithdrawn() {
		status, id = statusServiceUnavailable, s.id
	}
	c.logDuplicate(s, existing, status)
	c.out.enqueue(func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", s.cseq, "Session", id}, nil)
	})
}

// logRepeat tells what became of a set-up under an id that is open, and how the open one stands.
func (c *viewerConn) logDuplicate(s, existing *session, status int) {
	existingConn := existing.currentConn()
	if existingConn != c {
		c.node.nearMisses.repeatsElsewhere.Add(1)
	}
	if !c.node.Log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	c.node.Log.Info("set-up refused", "session", s.id, "status", status, "why", "id is open", "connection", uint64(c.id),
		"same description", s.description == existing.description, "open since", c.node.now()-existing.receivedAt, "open on", uint64(existingConn.id),
		"that connection", existingConn.phase().String(), "viewer left", existing.isWithdrawn(), "answered", existing.isAnswered())
}

// waiting is the number of set-ups that wait for their answer.
func (c *viewerConn) openSetUpCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openSetUps)
}

// answered takes a set-up off the connection, which ends with the last one if it drains.
func (c *viewerConn) removeSetUp(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openSetUps, s.id)
	c.finishIfDrained()
}

// stand counts sessions that began here and stand.
func (c *viewerConn) addSessions(n int) {
	c.mu.Lock()
	c.sessionCount += n
	c.mu.Unlock()
}

// tearDown ends a session, or a set-up that waits, on whatever connection it began. A set-up that waits on another
// connection is answered there: whoever waits on that one may not know who ended it.
func (c *viewerConn) handleTearDown(m *rtsp.Message) {
	s := c.node.findSession(m.Get("Session"))
	if s == nil {
		c.respond(m, statusSessionNotFound)
		return
	}
	wasWaiting := s.awaitsAnswer()
	conn := s.currentConn()
	if conn != c && wasWaiting {
		if r := (finalAnswer{status: statusServiceUnavailable}); s.claimAnswerOnTearDown(r) {
			conn.out.enqueue(s.appendAnswer(r))
		}
	}
	s.withdraw()
	conn.removeSetUp(s)
	c.logTearDown(s, conn, wasWaiting)
	c.node.orchestrator.ViewerLeft(s.id, s)
	c.respond(m, statusOK)
}

// logTearDown tells who ended a session or a request that waited.
func (c *viewerConn) logTearDown(s *session, conn *viewerConn, wasWaiting bool) {
	level := slog.LevelDebug
	if wasWaiting {
		level = slog.LevelInfo
	}
	c.node.Log.Log(context.Background(), level, "viewer ends", "session", s.id, "connection", uint64(c.id), "began on", uint64(conn.id), "waited", wasWaiting)
}
