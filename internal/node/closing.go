package node

import (
	"context"
	"io"
	"log/slog"
	"time"

	"rainpulley/internal/rtsp"
	"rainpulley/internal/socketerror"
)

// How a viewer's connection ends. What was taken on it stays owed: a connection that is read no more drains first, which
// means that its set-ups that wait are answered on it, and then its writing half closes. Only a viewer that is known to
// have gone, or the end of the node, ends a connection with set-ups that wait.

// closeReason is why a viewer's connection ended, as logs and counters name it.
type closeReason string

const (
	closedByViewer   closeReason = "closed by the viewer"
	resetByViewer    closeReason = "reset by the viewer"
	brokenByNetwork  closeReason = "network error"
	closedUnreadable closeReason = "message that cannot be read"
	closedStalled    closeReason = "message that stalled"
	closedSilent     closeReason = "no message in time"
	closedForRoom    closeReason = "closed to make room"
	closedUnwritable closeReason = "answers cannot be written"
	closedAtNodeEnd  closeReason = "node ends"
)

// byThisNode tells whether this side ended the connection: requests that were open on it then are lost.
func (r closeReason) byThisNode() bool {
	return r != closedByViewer && r != resetByViewer && r != brokenByNetwork
}

// readEnd is why a connection ended whose reading failed.
func readEnd(err error) closeReason {
	switch socketerror.Classify(err, socketerror.Transfer) {
	case socketerror.PeerClosed:
		return closedByViewer
	case socketerror.PeerReset:
		return resetByViewer
	case socketerror.DeadlineExceeded:
		return closedSilent
	}
	return brokenByNetwork
}

// phase is how far a viewer's connection is on its way to its end.
type phase int

const (
	phaseOpen       phase = iota
	phaseHalfClosed       // the viewer has shut down its writing half
	phaseDraining         // nothing more is read, what was taken is answered
	phaseOver
)

func (p phase) String() string {
	return [...]string{"open", "half closed", "draining", "over"}[p]
}

// phase is where a connection stands.
func (c *viewer) phase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.over:
		return phaseOver
	case c.halfOpen:
		return phaseHalfClosed
	case c.draining:
		return phaseDraining
	}
	return phaseOpen
}

const (
	// firstProbe is the time between the first two tries to find out whether a viewer that shut down its writing half still
	// reads: longer than its reset takes. Later tries are further apart.
	firstProbe   = 20 * time.Millisecond
	probeGrowth  = 4
	maxProbeWait = 320 * time.Millisecond
	// mayBeginFor is how long attempts may still begin for a viewer that shut down its writing half and may have gone. The
	// platform allows 0.1 s.
	mayBeginFor = 80 * time.Millisecond
	// maxFlush is how long what is left to write may take once nothing is read any more.
	maxFlush = writeTimeout
)

// refuse answers what cannot be read on. Nothing behind it is taken.
func (c *viewer) refuse(status int) {
	c.n.Log.Info("message refused", "status", status, "connection", uint64(c.id), "from", c.from, "waiting", c.waiting())
	c.out.put(func(b []byte) []byte { return rtsp.AppendResponse(b, status, nil, nil) })
}

// drain has the set-ups that wait answered before the connection ends, where reading ended for a reason that leaves the
// viewer there. What the viewer still sends is read for a bounded time: closing with unread bytes would reset the
// connection and could destroy an answer on its way (RFC 9112, section 9.6).
func (c *viewer) drain(why closeReason) {
	switch why {
	case closedUnreadable, closedStalled:
		c.beginDrain()
		discarded, err := io.Copy(io.Discard, io.LimitReader(&c.in, maxDiscarded))
		switch {
		case c.waiting() == 0:
		case err != nil:
			return // reset
		case discarded < maxDiscarded:
			c.halfClosed()
		}
	case closedByViewer:
		c.halfClosed()
	default:
		return
	}
	c.awaitAnswers()
}

// beginDrain takes no further message.
func (c *viewer) beginDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.in.setDeadline(time.Time{})
	c.endIfDrained()
}

// halfClosed notes that the viewer has shut down its writing half. Whether it still reads is not known yet: what is out
// for its set-ups goes on, and no attempt begins after a short while.
func (c *viewer) halfClosed() {
	c.mu.Lock()
	c.halfOpen = true
	until := c.n.now() + mayBeginFor
	waiting := make([]string, 0, len(c.open))
	for _, s := range c.open {
		s.holdFrom(until)
		waiting = append(waiting, s.id)
	}
	c.mu.Unlock()
	if len(waiting) > 0 {
		c.n.near.halfClosed.Add(1)
		c.n.Log.Info("viewer shut down its writing half", "connection", uint64(c.id), "from", c.from, "age", time.Since(c.at), "waiting", waiting)
	}
	c.beginDrain()
}

// endIfDrained closes the writing half of a connection that drains and has no set-up open. The caller holds c.mu.
func (c *viewer) endIfDrained() {
	if !c.draining || len(c.open) > 0 || isClosed(c.drained) {
		return
	}
	close(c.drained)
	c.out.finish()
	c.in.setDeadline(time.Now().Add(discardTimeout))
}

// awaitAnswers returns when the connection has drained and what was to be written is written, or when it is over. A viewer
// that closed both halves answers anything with a reset, and only then is known to have gone: progress, which means
// nothing to a viewer that reads, finds out.
func (c *viewer) awaitAnswers() {
	wait := firstProbe
	for ; ; wait = min(wait*probeGrowth, maxProbeWait) {
		c.mu.Lock()
		probe := c.halfOpen && !isClosed(c.drained)
		for _, s := range c.open {
			if probe {
				c.out.put(s.appendReply(reply{status: 100}))
			}
		}
		c.mu.Unlock()
		select {
		case <-c.drained:
			within(maxFlush, func() bool { return !c.out.busy() })
			return
		case <-c.ended:
			return
		case <-time.After(wait):
		}
	}
}

// writeFailed ends a connection that cannot be written to. A viewer that had shut down its writing half has gone.
func (c *viewer) writeFailed() {
	c.mu.Lock()
	why := closedUnwritable
	if c.halfOpen {
		why = closedByViewer
	}
	c.mu.Unlock()
	c.close(why)
}

// close ends a connection at once. The viewers of set-ups on it may send them again on another one.
func (c *viewer) close(why closeReason) { c.closeUnless(why, func() bool { return c.over }) }

// closeIdle ends a connection at once if nothing waits on it. What came on it since it was chosen keeps it open.
func (c *viewer) closeIdle(why closeReason) bool {
	return c.closeUnless(why, func() bool { return c.over || c.busy || len(c.open) > 0 })
}

// closeUnless ends a connection unless something holds, which is asked under its lock.
func (c *viewer) closeUnless(why closeReason, holds func() bool) (closed bool) {
	c.mu.Lock()
	if holds() {
		c.mu.Unlock()
		return false
	}
	c.over = true
	gone := make([]*session, 0, len(c.open))
	for _, s := range c.open {
		gone = append(gone, s)
	}
	clear(c.open)
	c.mu.Unlock()
	c.n.awaitResend(c, gone) // first of all: an attempt may be about to begin
	close(c.ended)
	c.out.stop()
	_ = c.conn.Close()
	v := c.n.viewers
	v.mu.Lock()
	delete(v.all, c)
	v.resendNotices(c)
	v.mu.Unlock()
	c.logClose(why, gone)
	return true
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
	if !why.byThisNode() {
		c.n.near.leftUnanswered.Add(int64(len(unanswered)))
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

// refuseConnection closes a connection that was accepted and will not be served.
func (c *viewer) refuseConnection(why closeReason) {
	c.n.near.viewersRefused.Add(1)
	c.n.Log.Warn("viewer connection not served", "why", string(why), "from", c.conn.RemoteAddr().String())
	_ = c.conn.Close()
}
