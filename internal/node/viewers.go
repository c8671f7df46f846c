package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rainpulley/internal/delivery"
	"rainpulley/internal/rtsp"
)

// viewers are the connections that viewers opened.
type viewers struct {
	n    *Node
	most int

	mu      sync.Mutex
	all     map[*viewer]struct{}
	opened  delivery.ConnectionID                 // the last connection's
	notices map[string]*delivery.Pending[*notice] // that viewers may not have been told, by their address
	over    bool

	leaving atomic.Bool // no further set-up is taken: its answer is a refusal at once
}

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
	firstFor   = 2500 * time.Millisecond // the first message has come by then: silence is told apart from slowness
	messageFor = 2500 * time.Millisecond // any message that has begun
	drainFor   = 2 * time.Second         // what a refused peer still sends is read so long (RFC 9112, section 9.6)
	drainMost  = 96 << 20                // and at most so many bytes of it
	maxOpen    = maxQueued               // set-ups of one connection that wait for their answer

	acceptPause = 5 * time.Millisecond  // after a connection that could not be taken
	lastCall    = 20 * time.Millisecond // connections that are up already when the node stops listening are taken
	hearOut     = 60 * time.Millisecond // viewers' last words are read so long: unread bytes at a close destroy answers
)

func newViewers(n *Node, most int) *viewers {
	return &viewers{n: n, most: most, all: map[*viewer]struct{}{}, notices: map[string]*delivery.Pending[*notice]{}}
}

// serve takes connections until the listener closes, or until none has come for a while when the node leaves: a
// connection that is up already has been taken by this machine, and what it asks is owed an answer.
func (v *viewers) serve(l net.Listener) {
	quiet := false
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && quiet:
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // from now on each look takes its time, on a busy core too
			quiet = true
			_ = setDeadline(l, lastCall)
			continue
		case err != nil: // the peer has gone already, or no descriptor is left: then one is freed, or waited for
			v.n.Log.Debug("accept", "error", err)
			if noDescriptor(err) {
				v.evict(time.Now())
			}
			time.Sleep(acceptPause)
			continue
		}
		v.take(conn)
		if v.leaving.Load() {
			_ = setDeadline(l, lastCall)
		}
	}
}

// stopListening has serve end. A listener that knows no deadlines closes at once.
func (v *viewers) stopListening(l net.Listener) {
	if setDeadline(l, 0) != nil {
		_ = l.Close()
	}
}

func setDeadline(l net.Listener, in time.Duration) error {
	t, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return t.SetDeadline(time.Now().Add(in))
}

// take begins to serve a connection. Over the budget the one least missed is closed for it: who has said
// nothing for a while, then who waits for nothing, the oldest first. Harm: who connects and speaks late is closed
// in a crowd. A connection that has just come up is spared as long as there is another: its request is on the way,
// and would fail with it (seen on days when viewers hold their connections for good).
func (v *viewers) take(conn net.Conn) {
	now := time.Now()
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	c := &viewer{n: v.n, conn: conn, from: host, at: now, used: now, open: map[string]*session{}}
	c.out.conn, c.out.fail = conn, c.close
	v.mu.Lock()
	if v.over {
		v.mu.Unlock()
		_ = conn.Close()
		return
	}
	full := len(v.all) >= v.most
	v.mu.Unlock()
	if full {
		if !v.evict(now) {
			_ = conn.Close()
			return
		}
	}
	v.mu.Lock()
	v.opened++
	c.id = v.opened
	v.all[c] = struct{}{}
	v.mu.Unlock()
	v.n.start(c.read)
}

// evict closes the connection whose end harms least; false where all wait for answers.
func (v *viewers) evict(now time.Time) bool {
	least := v.evictionCandidate(now)
	if least == nil {
		return false
	}
	v.n.near.viewersClosed.Add(1)
	least.close()
	return true
}

// evictionCandidate is the connection whose end harms least; nil where all wait for answers.
func (v *viewers) evictionCandidate(now time.Time) (least *viewer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	worst, longest := waitingConnection, now
	for o := range v.all {
		if r, since := o.evictionRank(now); r < worst || r == worst && r != waitingConnection && since.Before(longest) {
			least, worst, longest = o, r, since
		}
	}
	return least
}

// evictionRank orders connections by the harm that their end would do.
type evictionRank int

const (
	silentConnection evictionRank = iota // has said nothing for longer than a request needs to follow its connection
	unusedConnection
	youngConnection
	sessionConnection // with sessions that stand: they are tied to no connection, their end is told on another
	waitingConnection // for an answer, or an answer or a notice is still to be written
)

const speaksWithin = 100 * time.Millisecond

// evictionRank ranks a connection, and tells when it was last used.
func (c *viewer) evictionRank(now time.Time) (evictionRank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.spoke && now.Sub(c.at) < speaksWithin:
		return youngConnection, c.used
	case !c.spoke:
		return silentConnection, c.used
	case c.busy || len(c.open) > 0 || c.out.busy():
		return waitingConnection, c.used
	case c.stands > 0:
		return sessionConnection, c.used
	}
	return unusedConnection, c.used
}

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
	_ = c.conn.SetReadDeadline(time.Now().Add(drainFor))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, drainMost))
}

// read hears a viewer until the connection ends.
func (c *viewer) read() {
	defer c.close()
	d := rtsp.NewReader(bufio.NewReaderSize(c.conn, 4<<10))
	_ = c.conn.SetReadDeadline(c.at.Add(firstFor))
	for {
		if err := d.Wait(); err != nil {
			return
		}
		if c.spoke {
			_ = c.conn.SetReadDeadline(time.Now().Add(messageFor))
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

// firstMessage sends a viewer that has come back what it was not told meanwhile.
func (v *viewers) firstMessage(c *viewer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sendNotices(c.from)
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
	full := len(c.open) >= maxOpen || c.over
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

// closeAll ends all connections and takes no further one. Writing halves go first, and what viewers still send is read
// for a moment: closing with unread bytes resets the connection, and an answer just written could be lost with it.
func (v *viewers) closeAll() {
	v.mu.Lock()
	v.over = true
	all := make([]*viewer, 0, len(v.all))
	for c := range v.all {
		all = append(all, c)
	}
	v.mu.Unlock()
	for _, c := range all {
		c.out.finish()
	}
	within(flushFor, func() bool { return !slices.ContainsFunc(all, func(c *viewer) bool { return c.out.busy() }) })
	within(hearOut, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.all) == 0
	})
	for _, c := range all {
		c.close()
	}
}

// within waits until something holds, for a time at most.
func within(most time.Duration, holds func() bool) {
	for deadline := time.Now().Add(most); time.Now().Before(deadline) && !holds(); {
		time.Sleep(time.Millisecond)
	}
}
