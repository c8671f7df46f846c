package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"rainpulley/internal/delivery"
	"rainpulley/internal/rtsp"
)

// viewer is one connection of a viewer, or of many: sessions share it.
type viewer struct {
	n    *Node
	id   delivery.ConnectionID
	conn net.Conn
	out  outbox
	from string // address without port
	at   time.Time

	mu     sync.Mutex
	spoke  bool                // a whole message came
	busy   bool                // a message is being handled
	used   time.Time           // of the last message
	open   map[string]*session // set-ups that wait for their answer
	stands int                 // sessions that began here and stand
	over   bool
}

const (
	firstMessageTimeout = 2500 * time.Millisecond // the first message has come by then: silence is told apart from slowness
	messageTimeout      = 2500 * time.Millisecond // any message that has begun
	discardTimeout      = 2 * time.Second         // what a refused peer still sends is read so long (RFC 9112, section 9.6)
	maxDiscarded        = 96 << 20                // and at most so many bytes of it
	maxWaiting          = maxQueued               // set-ups of one connection that wait for their answer
)

// close ends a connection at once; the viewers of set-ups on it have gone.
func (c *viewer) close(why closeReason) {
	c.mu.Lock()
	if c.over {
		c.mu.Unlock()
		return
	}
	c.over = true
	gone := make([]*session, 0, len(c.open))
	for _, s := range c.open {
		gone = append(gone, s)
	}
	clear(c.open)
	c.mu.Unlock()
	for _, s := range gone {
		s.leave() // first of all: an attempt may be about to begin
	}
	c.out.stop()
	_ = c.conn.Close()
	v := c.n.viewers
	v.mu.Lock()
	delete(v.all, c)
	v.resendNotices(c)
	v.mu.Unlock()
	c.logClose(why, gone)
	for _, s := range gone {
		c.n.owner.Leave(s.id)
	}
}

// logClose tells why a connection ended, and which requests got no answer by it. Where this side ended it, they are
// lost.
func (c *viewer) logClose(why closeReason, unanswered []*session) {
	level := slog.LevelDebug
	switch {
	case len(unanswered) > 0 && why.byThisNode():
		level = slog.LevelWarn
		c.n.near.closedUnanswered.Add(int64(len(unanswered)))
	case len(unanswered) > 0 || why == closedForRoom:
		level = slog.LevelInfo
	}
	if !c.n.Log.Enabled(context.Background(), level) {
		return
	}
	ids := make([]string, 0, len(unanswered))
	for _, s := range unanswered {
		ids = append(ids, s.id)
	}
	c.n.Log.Log(context.Background(), level, "viewer connection over", "why", string(why), "connection", uint64(c.id), "from", c.from,
		"age", time.Since(c.at), "unanswered", ids)
}

// refuse answers what cannot be read on, and closes: the writing half at once, the rest after what the peer still
// sends has been read for a bounded time. Closing with unread bytes would reset the connection and could destroy
// the answer on its way.
func (c *viewer) refuse(status int, cseq, id string) {
	c.n.Log.Info("message refused", "status", status, "connection", uint64(c.id), "from", c.from, "waiting", c.waiting())
	c.out.put(func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", cseq, "Session", id}, nil)
	})
	c.out.finish()
	_ = c.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, maxDiscarded))
}

// read takes what a viewer says until the connection ends.
func (c *viewer) read() { c.close(c.readMessages()) }

// readMessages takes messages and returns why there are no more.
func (c *viewer) readMessages() closeReason {
	d := rtsp.NewReader(bufio.NewReaderSize(c.conn, 4<<10))
	_ = c.conn.SetReadDeadline(c.at.Add(firstMessageTimeout))
	for {
		if err := d.Wait(); err != nil {
			return readEnd(err)
		}
		if c.spoke {
			_ = c.conn.SetReadDeadline(time.Now().Add(messageTimeout))
		}
		m, err := d.Next()
		var wrong *rtsp.Error
		switch {
		case errors.As(err, &wrong):
			c.refuse(wrong.Status, "", "")
			return closedUnreadable
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.refuse(408, "", "")
			return closedStalled
		case err != nil:
			return readEnd(err)
		}
		_ = c.conn.SetReadDeadline(time.Time{})
		c.mu.Lock()
		first := !c.spoke
		c.spoke, c.busy, c.used = true, true, time.Now()
		c.mu.Unlock()
		if first {
			c.n.viewers.firstMessage(c)
		}
		c.handle(m)
		c.mu.Lock()
		c.busy = false
		c.mu.Unlock()
	}
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
		c.reply(m, 200)
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
	r, s, wrong := c.n.readSetUp(m)
	if s == nil {
		c.n.Log.Info("set-up refused", "session", m.Get("Session"), "status", 400, "why", wrong, "connection", uint64(c.id))
		c.reply(m, 400)
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
	if !c.n.begin(s) {
		c.n.Log.Info("set-up refused", "session", s.id, "status", 400, "why", "id is open", "connection", uint64(c.id))
		c.out.put(func(b []byte) []byte {
			return rtsp.AppendResponse(b, 400, []string{"CSeq", s.cseq}, nil)
		})
		return
	}
	c.mu.Lock()
	full := len(c.open) >= maxWaiting || c.over
	if !full {
		c.open[s.id] = s
	}
	c.mu.Unlock()
	if leaving := c.n.viewers.leaving.Load(); full || leaving || !c.n.owner.Request(r, s) {
		c.n.Log.Info("set-up refused", "session", s.id, "status", 503, "waiting", c.waiting(), "leaving", leaving, "connection", uint64(c.id))
		c.n.forget(s)
		c.reply(m, 503)
		c.answered(s)
	}
}

// waiting is the number of set-ups that wait for their answer.
func (c *viewer) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// answered takes a set-up off the connection.
func (c *viewer) answered(s *session) {
	c.mu.Lock()
	delete(c.open, s.id)
	c.mu.Unlock()
}

// stand counts sessions that began here and stand.
func (c *viewer) stand(n int) {
	c.mu.Lock()
	c.stands += n
	c.mu.Unlock()
}

// tearDown ends a session, or a set-up that waits, on whatever connection it began.
func (c *viewer) tearDown(m *rtsp.Message) {
	s := c.n.find(m.Get("Session"))
	if s == nil {
		c.reply(m, 454)
		return
	}
	s.leave()
	s.mu.Lock()
	on := s.conn
	s.mu.Unlock()
	on.answered(s)
	c.n.Log.Debug("viewer ends", "session", s.id, "connection", uint64(c.id))
	c.n.owner.Leave(s.id)
	c.reply(m, 200)
}
