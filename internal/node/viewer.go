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
func (c *viewer) close() {
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
	for _, s := range gone {
		c.n.Log.Debug("viewer gone with its connection", "session", s.id, "from", c.conn.RemoteAddr())
		c.n.owner.Leave(s.id)
	}
}

// refuse answers what cannot be read on, and closes: the writing half at once, the rest after what the peer still
// sends has been read for a bounded time. Closing with unread bytes would reset the connection and could destroy
// the answer on its way.
func (c *viewer) refuse(status int, cseq, id string) {
	c.out.put(func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", cseq, "Session", id}, nil)
	})
	c.out.finish()
	_ = c.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, maxDiscarded))
}

// read takes what a viewer says until the connection ends.
func (c *viewer) read() {
	defer c.close()
	d := rtsp.NewReader(bufio.NewReaderSize(c.conn, 4<<10))
	_ = c.conn.SetReadDeadline(c.at.Add(firstMessageTimeout))
	for {
		if err := d.Wait(); err != nil {
			return
		}
		if c.spoke {
			_ = c.conn.SetReadDeadline(time.Now().Add(messageTimeout))
		}
		m, err := d.Next()
		var wrong *rtsp.Error
		switch {
		case errors.As(err, &wrong):
			c.refuse(wrong.Status, "", "")
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.refuse(408, "", "")
			return
		case err != nil:
			return
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
		c.n.Log.Debug("set-up refused", "wrong", wrong)
		c.reply(m, 400)
		return
	}
	s.conn = c
	if c.n.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.n.Log.Debug("request", "session", s.id, "timer", s.timer, "from", c.conn.RemoteAddr().String(), "adopted", s.adopted)
	}
	if s.adopted {
		c.n.adopt(r, s)
		return
	}
	if !c.n.begin(s) {
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
	if full || c.n.viewers.leaving.Load() || !c.n.owner.Request(r, s) {
		c.n.forget(s)
		c.reply(m, 503)
		c.answered(s)
	}
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
	c.n.Log.Debug("viewer ends", "session", s.id)
	c.n.owner.Leave(s.id)
	c.reply(m, 200)
}
