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
type viewer struct {
	n    *Node
	id   delivery.ConnectionID
	conn net.Conn
	in   timedReader
	out  outbox
	from string // address without port
	at   time.Time

	arrived time.Time // when the message in hand may have come at the earliest; of the reading goroutine

	mu       sync.Mutex
	spoke    bool                // a whole message came
	begun    bool                // a message has begun and is not whole yet
	busy     bool                // a message is being handled
	used     time.Time           // of the last message
	open     map[string]*session // set-ups that wait for their answer
	stands   int                 // sessions that began here and stand
	draining bool                // no message is taken any more; the connection ends when the last open set-up is answered
	halfOpen bool                // the viewer has shut down its writing half
	over     bool

	drained chan struct{} // closed when the connection drains and no set-up is open
	ended   chan struct{} // closed when it is over
}

// newViewer returns a connection that nothing was read on yet.
func newViewer(n *Node, conn net.Conn, now time.Time) *viewer {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	c := &viewer{n: n, conn: conn, from: host, at: now, used: now, open: map[string]*session{},
		drained: make(chan struct{}), ended: make(chan struct{})}
	c.in.conn = conn
	c.out.conn, c.out.fail = conn, c.writeFailed
	return c
}

const (
	firstMessageTimeout = 2500 * time.Millisecond // the first message has come by then: silence is told apart from slowness
	messageTimeout      = 2500 * time.Millisecond // any message that has begun
	discardTimeout      = 2 * time.Second         // what a refused peer still sends is read so long (RFC 9112, section 9.6)
	maxDiscarded        = 96 << 20                // and at most so many bytes of it
	maxWaiting          = maxQueued               // set-ups of one connection that wait for their answer
)

// read takes what a viewer says until the connection ends.
func (c *viewer) read() {
	why := c.readMessages()
	c.drain(why)
	c.close(why)
}

// readMessages takes messages and returns why there are no more.
func (c *viewer) readMessages() closeReason {
	d := rtsp.NewReader(bufio.NewReaderSize(&c.in, 4<<10))
	c.in.setDeadline(c.at.Add(firstMessageTimeout))
	for {
		waiting := time.Now()
		if err := d.WaitForMessage(); err != nil {
			return readEnd(err)
		}
		c.messageBegins()
		m, err := d.Next()
		var wrong *rtsp.Error
		switch {
		case errors.As(err, &wrong):
			c.refuse(wrong.Status)
			return closedUnreadable
		case socketerror.Classify(err, socketerror.Transfer) == socketerror.DeadlineExceeded:
			c.refuse(408)
			return closedStalled
		case err != nil:
			return readEnd(err)
		}
		c.arrived = c.n.clocks.arrival(waiting, time.Now())
		c.in.setDeadline(time.Time{})
		if c.messageRead() {
			c.n.viewers.firstMessage(c)
		}
		c.handle(m)
		c.mu.Lock()
		c.busy = false
		c.mu.Unlock()
	}
}

// messageBegins bounds the time for a message whose first byte has come. The first one is bounded already.
func (c *viewer) messageBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	if c.spoke {
		c.in.setDeadline(time.Now().Add(messageTimeout))
	}
}

// messageRead notes that a message is whole and about to be handled. It tells whether it was the first one.
func (c *viewer) messageRead() (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.spoke
	c.begun, c.spoke, c.busy, c.used = false, true, true, time.Now()
	return first
}

func (c *viewer) handle(m *rtsp.Message) {
	switch m.Method {
	case "": // an answer to a notice
		c.n.viewers.confirmNotice(c.from, m.Get("Session"))
	case "SETUP":
		c.setUp(m)
	case "TEARDOWN":
		c.tearDown(m)
	case "OPTIONS":
		c.reply(m, statusPlays)
	default:
		c.reply(m, 501)
	}
}

func (c *viewer) reply(m *rtsp.Message, status int) {
	c.out.put(func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", m.Get("CSeq"), "Session", m.Get("Session")}, nil)
	})
}

// setUp hands a set-up to the owner. One under an id that is open is refused without touching that one; the
// refusal names no session, so that it cannot pass for the open one's answer.
func (c *viewer) setUp(m *rtsp.Message) {
	r, s, wrong := c.n.readSetUp(m, c.arrived)
	if s == nil {
		c.n.Log.Info("set-up refused", "session", m.Get("Session"), "status", statusBadRequest, "why", wrong, "connection", uint64(c.id))
		c.reply(m, statusBadRequest)
		return
	}
	s.conn = c
	level := slog.LevelInfo
	if s.adopted {
		level = slog.LevelDebug
	}
	if c.n.Log.Enabled(context.Background(), level) {
		c.n.Log.Log(context.Background(), level, "request", "session", s.id, "class", s.className, "timer", s.timer,
			"connection", uint64(c.id), "from", c.conn.RemoteAddr().String(), "repeat", r.Repeat, "adopted", s.adopted)
	}
	if s.adopted {
		c.n.adopt(r, s)
		return
	}
	if c.takeResentAnswered(s) {
		return
	}
	if open := c.n.begin(s); open != nil {
		if !c.takeResent(s, open) {
			c.refuseRepeat(s, open)
		}
		return
	}
	c.mu.Lock()
	full := len(c.open) >= maxWaiting || c.over
	if !full {
		c.open[s.id] = s
	}
	c.mu.Unlock()
	if leaving := c.n.viewers.leaving.Load(); full || leaving || !c.n.owner.Submit(r, s) {
		c.n.Log.Info("set-up refused", "session", s.id, "status", statusUnavailable, "waiting", c.waiting(), "leaving", leaving, "connection", uint64(c.id))
		c.n.forget(s)
		c.reply(m, statusUnavailable)
		c.answered(s)
	}
}

// refuseRepeat answers a set-up under an id that is open, but asks for something else or comes on the same connection.
// The refusal names no session, so that it cannot pass for the open one's answer, unless that one's viewer has left.
func (c *viewer) refuseRepeat(s, open *session) {
	status, id := statusBadRequest, ""
	if open.withdrawn() {
		status, id = statusUnavailable, s.id
	}
	c.logRepeat(s, open, status)
	c.out.put(func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", s.cseq, "Session", id}, nil)
	})
}

// logRepeat tells what became of a set-up under an id that is open, and how the open one stands.
func (c *viewer) logRepeat(s, open *session, status int) {
	first := open.connection()
	if first != c {
		c.n.near.repeatsElsewhere.Add(1)
	}
	if !c.n.Log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	c.n.Log.Info("set-up refused", "session", s.id, "status", status, "why", "id is open", "connection", uint64(c.id),
		"same description", s.text == open.text, "open since", c.n.now()-open.began, "open on", uint64(first.id),
		"that connection", first.phase().String(), "viewer left", open.withdrawn(), "answered", open.answered())
}

// waiting is the number of set-ups that wait for their answer.
func (c *viewer) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// answered takes a set-up off the connection, which ends with the last one if it drains.
func (c *viewer) answered(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, s.id)
	c.endIfDrained()
}

// stand counts sessions that began here and stand.
func (c *viewer) stand(n int) {
	c.mu.Lock()
	c.stands += n
	c.mu.Unlock()
}

// tearDown ends a session, or a set-up that waits, on whatever connection it began. A set-up that waits on another
// connection is answered there: whoever waits on that one may not know who ended it.
func (c *viewer) tearDown(m *rtsp.Message) {
	s := c.n.find(m.Get("Session"))
	if s == nil {
		c.reply(m, statusUnknown)
		return
	}
	waited := s.waits()
	on := s.connection()
	if on != c && waited {
		if r := (reply{status: statusUnavailable}); s.answerElsewhere(r) {
			on.out.put(s.appendReply(r))
		}
	}
	s.leave()
	on.answered(s)
	c.logTearDown(s, on, waited)
	c.n.owner.ViewerLeft(s.id, s)
	c.reply(m, statusPlays)
}

// logTearDown tells who ended a session or a request that waited.
func (c *viewer) logTearDown(s *session, on *viewer, waited bool) {
	level := slog.LevelDebug
	if waited {
		level = slog.LevelInfo
	}
	c.n.Log.Log(context.Background(), level, "viewer ends", "session", s.id, "connection", uint64(c.id), "began on", uint64(on.id), "waited", waited)
}
