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
	closedByViewer         closeReason = "closed by the viewer"
	closedByReset          closeReason = "reset by the viewer"
	closedByNetworkError   closeReason = "network error"
	closedMalformedMessage closeReason = "message that cannot be read"
	closedMessageTimeout   closeReason = "message that stalled"
	closedNoFirstMessage   closeReason = "no message in time"
	closedForCapacity      closeReason = "closed to make room"
	closedWriteFailed      closeReason = "answers cannot be written"
	closedAtShutdown       closeReason = "node ends"
)

// byThisNode tells whether this side ended the connection: requests that were open on it then are lost.
func (r closeReason) byThisNode() bool {
	return r != closedByViewer && r != closedByReset && r != closedByNetworkError
}

// readEnd is why a connection ended whose reading failed.
func readErrorReason(err error) closeReason {
	switch socketerror.Classify(err, socketerror.Transfer) {
	case socketerror.PeerClosed:
		return closedByViewer
	case socketerror.PeerReset:
		return closedByReset
	case socketerror.DeadlineExceeded:
		return closedNoFirstMessage
	}
	return closedByNetworkError
}

// phase is how far a viewer's connection is on its way to its end.
type connPhase int

const (
	phaseOpen       connPhase = iota
	phaseHalfClosed           // the viewer has shut down its writing half
	phaseDraining             // nothing more is read, what was taken is answered
	phaseClosed
)

func (p connPhase) String() string {
	return [...]string{"open", "half closed", "draining", "over"}[p]
}

// phase is where a connection stands.
func (c *viewerConn) phase() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return phaseClosed
	case c.halfClosedByViewer:
		return phaseHalfClosed
	case c.draining:
		return phaseDraining
	}
	return phaseOpen
}

const (
	// firstProbe is the time between the first two tries to find out whether a viewer that shut down its writing half still
	// reads: longer than its reset takes. Later tries are further apart.
	firstProbeInterval = 20 * time.Millisecond
	probeBackoffFactor = 4
	maxProbeInterval   = 320 * time.Millisecond
	// mayBeginFor is how long attempts may still begin for a viewer that shut down its writing half and may have gone. The
	// platform allows 0.1 s.
	halfCloseAttemptWindow = 80 * time.Millisecond
	// maxFlush is how long what is left to write may take once nothing is read any more.
	maxFlushTime = writeTimeout
)

// refuse answers what cannot be read on. Nothing behind it is taken.
func (c *viewerConn) respondError(status int) {
	c.node.Log.Info("message refused", "status", status, "connection", uint64(c.id), "from", c.remoteHost, "waiting", c.openSetUpCount())
	c.out.enqueue(func(b []byte) []byte { return rtsp.AppendResponse(b, status, nil, nil) })
}

// drain has the set-ups that wait answered before the connection ends, where reading ended for a reason that leaves the
// viewer there. What the viewer still sends is read for a bounded time: closing with unread bytes would reset the
// connection and could destroy an answer on its way (RFC 9112, section 9.6).
func (c *viewerConn) drain(reason closeReason) {
	switch reason {
	case closedMalformedMessage, closedMessageTimeout:
		c.beginDrain()
		discarded, err := io.Copy(io.Discard, io.LimitReader(&c.in, maxDiscardedBytes))
		switch {
		case c.openSetUpCount() == 0:
		case err != nil:
			return // reset
		case discarded < maxDiscardedBytes:
			c.handleHalfClose()
		}
	case closedByViewer:
		c.handleHalfClose()
	default:
		return
	}
	c.awaitDrained()
}

// beginDrain takes no further message.
func (c *viewerConn) beginDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.in.setDeadline(time.Time{})
	c.finishIfDrained()
}

// halfClosed notes that the viewer has shut down its writing half. Whether it still reads is not known yet: what is out
// for its set-ups goes on, and no attempt begins after a short while.
func (c *viewerConn) handleHalfClose() {
	c.mu.Lock()
	c.halfClosedByViewer = true
	until := c.node.now() + halfCloseAttemptWindow
	waitingIDs := make([]string, 0, len(c.openSetUps))
	for _, s := range c.openSetUps {
		s.blockAttemptsFrom(until)
		waitingIDs = append(waitingIDs, s.id)
	}
	c.mu.Unlock()
	if len(waitingIDs) > 0 {
		c.node.nearMisses.halfClosed.Add(1)
		c.node.Log.Info("viewer shut down its writing half", "connection", uint64(c.id), "from", c.remoteHost, "age", time.Since(c.openedAt), "waiting", waitingIDs)
	}
	c.beginDrain()
}

// endIfDrained closes the writing half of a connection that drains and has no set-up open. The caller holds c.mu.
func (c *viewerConn) finishIfDrained() {
	if !c.draining || len(c.openSetUps) > 0 || isClosed(c.drained) {
		return
	}
	close(c.drained)
	c.out.closeAfterFlush()
	c.in.setDeadline(time.Now().Add(discardTimeout))
}

// awaitAnswers returns when the connection has drained and what was to be written is written, or when it is over. A viewer
// that closed both halves answers anything with a reset, and only then is known to have gone: progress, which means
// nothing to a viewer that reads, finds out.
func (c *viewerConn) awaitDrained() {
	interval := firstProbeInterval
	for ; ; interval = min(interval*probeBackoffFactor, maxProbeInterval) {
		c.mu.Lock()
		probe := c.halfClosedByViewer && !isClosed(c.drained)
		for _, s := range c.openSetUps {
			if probe {
				c.out.enqueue(s.appendAnswer(finalAnswer{status: 100}))
			}
		}
		c.mu.Unlock()
		select {
		case <-c.drained:
			pollUntil(maxFlushTime, func() bool { return !c.out.isWriting() })
			return
		case <-c.done:
			return
		case <-time.After(interval):
		}
	}
}

// writeFailed ends a connection that cannot be written to. A viewer that had shut down its writing half has gone.
func (c *viewerConn) handleWriteError() {
	c.mu.Lock()
	reason := closedWriteFailed
	if c.halfClosedByViewer {
		reason = closedByViewer
	}
	c.mu.Unlock()
	c.close(reason)
}

// close ends a connection at once. The viewers of set-ups on it may send them again on another one.
func (c *viewerConn) close(reason closeReason) {
	c.closeUnless(reason, func() bool { return c.closed })
}

// closeIdle ends a connection at once if nothing waits on it. What came on it since it was chosen keeps it open.
func (c *viewerConn) closeIfIdle(reason closeReason) bool {
	return c.closeUnless(reason, func() bool { return c.closed || c.handlingMessage || len(c.openSetUps) > 0 })
}

// closeUnless ends a connection unless something holds, which is asked under its lock.
func (c *viewerConn) closeUnless(reason closeReason, condition func() bool) (closed bool) {
	c.mu.Lock()
	if condition() {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	unanswered := make([]*session, 0, len(c.openSetUps))
	for _, s := range c.openSetUps {
		unanswered = append(unanswered, s)
	}
	clear(c.openSetUps)
	c.mu.Unlock()
	c.node.awaitResend(c, unanswered) // first of all: an attempt may be about to begin
	close(c.done)
	c.out.abort()
	_ = c.conn.Close()
	v := c.node.viewerConns
	v.mu.Lock()
	delete(v.conns, c)
	v.resendNotices(c)
	v.mu.Unlock()
	c.logClose(reason, unanswered)
	return true
}

// logClose tells why a connection ended, and which requests got no answer by it. Where this side ended it, they are
// lost.
func (c *viewerConn) logClose(reason closeReason, unanswered []*session) {
	level := slog.LevelDebug
	switch {
	case len(unanswered) > 0 && reason.byThisNode():
		level = slog.LevelWarn
		c.node.nearMisses.closedUnanswered.Add(int64(len(unanswered)))
	case len(unanswered) > 0 || reason == closedForCapacity:
		level = slog.LevelInfo
	}
	if !reason.byThisNode() {
		c.node.nearMisses.leftUnanswered.Add(int64(len(unanswered)))
	}
	if !c.node.Log.Enabled(context.Background(), level) {
		return
	}
	ids := make([]string, 0, len(unanswered))
	for _, s := range unanswered {
		ids = append(ids, s.id)
	}
	c.node.Log.Log(context.Background(), level, "viewer connection over", "why", string(reason), "connection", uint64(c.id), "from", c.remoteHost,
		"age", time.Since(c.openedAt), "unanswered", ids)
}

// refuseConnection closes a connection that was accepted and will not be served.
func (c *viewerConn) refuseConnection(reason closeReason) {
	c.node.nearMisses.viewersRefused.Add(1)
	c.node.Log.Warn("viewer connection not served", "why", string(reason), "from", c.conn.RemoteAddr().String())
	_ = c.conn.Close()
}
