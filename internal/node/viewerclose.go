package node

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"time"

	"rainpulley/internal/lifecycle"
	"rainpulley/internal/socketerror"
)

// A viewer connection that is not read any more drains first: the set-ups received on it are still answered there, and
// then its write side is closed. It is closed with set-ups unanswered only if the viewer is known to have gone, the
// connection failed, or the node shuts down.

// closeReason is the reason why a viewer connection was closed, as logged.
type closeReason string

const (
	closedByViewer         closeReason = "closed by the viewer"
	closedByReset          closeReason = "reset by the viewer"
	closedByNetworkError   closeReason = "network error"
	closedMalformedMessage closeReason = "malformed message"
	closedMessageTimeout   closeReason = "message timed out"
	closedNoFirstMessage   closeReason = "no message in time"
	closedForCapacity      closeReason = "closed to make room"
	closedWriteFailed      closeReason = "write failed"
	closedAtShutdown       closeReason = "node shutdown"
)

// byThisNode reports whether this node closed the connection. Requests still open on it are lost then.
func (r closeReason) byThisNode() bool {
	return r != closedByViewer && r != closedByReset && r != closedByNetworkError
}

// isFailure reports whether a connection with this reason ended by an error rather than by either side's intent.
func (r closeReason) isFailure() bool { return r == closedByNetworkError || r == closedWriteFailed }

// readErrorReason returns the close reason for a read error.
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

// connPhase is the phase of a viewer connection's life.
type connPhase int

const (
	phaseOpen       connPhase = iota
	phaseHalfClosed           // the viewer has closed its write side
	phaseDraining             // no more messages are handled; open set-ups are answered
	phaseClosed
)

func (p connPhase) String() string {
	return [...]string{"open", "half closed", "draining", "over"}[p]
}

// phase returns the connection's current phase.
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
	// firstProbeInterval is the time between the first two probes of whether a viewer that closed its write side still
	// reads. It exceeds the time until the viewer's reset arrives. Later intervals are longer.
	firstProbeInterval = 20 * time.Millisecond
	probeBackoffFactor = 4
	maxProbeInterval   = 320 * time.Millisecond
	// halfCloseAttemptWindow is how long attempts may still start for a viewer that closed its write side and may have
	// gone. The platform allows 0.1 s.
	halfCloseAttemptWindow = 80 * time.Millisecond
	// maxFlushTime is how long pending writes may take once nothing is read any more.
	maxFlushTime = writeTimeout
)

// openSetUpIDs returns the session ids of the set-ups that are still to be answered. The caller holds c.mu.
func (c *viewerConn) openSetUpIDs() []string {
	return slices.Sorted(maps.Keys(c.openSetUps))
}

// drain answers the open set-ups before the connection is closed, if the viewer may still be there. Its further input
// is read and discarded for a limited time: closing with unread bytes would reset the connection and could destroy an
// answer in transit (RFC 9112, section 9.6).
func (c *viewerConn) drain(reason closeReason) {
	switch reason {
	case closedMalformedMessage, closedMessageTimeout:
		c.beginDrain()
		discarded, err := io.Copy(io.Discard, io.LimitReader(&c.in, maxDiscardedBytes))
		switch {
		case c.openSetUpCount() == 0:
		case err != nil:
			return // the viewer reset the connection
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

// beginDrain stops the handling of further messages.
func (c *viewerConn) beginDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.in.setDeadline(time.Time{})
	c.finishIfDrained()
}

// handleHalfClose records that the viewer has closed its write side. It may still read, so the current attempts for its
// set-ups continue, but no attempt starts after a short while.
func (c *viewerConn) handleHalfClose() {
	until := c.node.unixTime(c.earliestEnd(c.waitStart)) + halfCloseAttemptWindow
	c.mu.Lock()
	c.halfClosedByViewer = true
	waitingIDs := c.openSetUpIDs()
	for _, s := range c.openSetUps {
		s.blockAttemptsFrom(until, c)
	}
	c.mu.Unlock()
	if len(waitingIDs) > 0 {
		c.node.nearMisses.halfClosed.Add(1)
		c.node.Log.Info("viewer closed its write side", "connection", uint64(c.id), "from", c.remoteHost,
			"age", time.Since(c.openedAt), "waiting", waitingIDs)
	}
	c.beginDrain()
}

// finishIfDrained closes the write side of a draining connection that has no open set-up. The caller holds c.mu.
func (c *viewerConn) finishIfDrained() {
	if !c.draining || len(c.openSetUps) > 0 || isClosed(c.drained) {
		return
	}
	close(c.drained)
	c.out.closeAfterFlush()
	c.in.setDeadline(time.Now().Add(discardTimeout))
}

// awaitDrained returns when the connection has drained and its pending writes are done, or when it is closed. Whether a
// half-closed viewer still reads is probed with provisional responses (status 100): a viewer that reads ignores them,
// and one that closed both directions resets the connection, which is the only proof that it has gone.
func (c *viewerConn) awaitDrained() {
	interval := firstProbeInterval
	for ; ; interval = min(interval*probeBackoffFactor, maxProbeInterval) {
		c.probeHalfClosed()
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

// probeHalfClosed sends a half-closed viewer a provisional response for each set-up whose answer is not decided. A set-up
// stays open until its answer is queued, so the final answer may be on its way.
func (c *viewerConn) probeHalfClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.halfClosedByViewer || isClosed(c.drained) {
		return
	}
	for _, s := range c.openSetUps {
		s.sendProvisional(&c.out)
	}
}

// handleWriteError closes a connection after a write error. A viewer that had closed its write side has gone.
func (c *viewerConn) handleWriteError(category socketerror.Category) {
	c.mu.Lock()
	reason := closedWriteFailed
	switch {
	case c.halfClosedByViewer:
		reason = closedByViewer
	case category == socketerror.PeerReset, category == socketerror.PeerClosed:
		reason = closedByReset
	}
	c.mu.Unlock()
	if reason == closedWriteFailed {
		c.node.Log.Info("write to viewer failed", "connection", uint64(c.id), "category", category.String())
	}
	c.close(reason)
}

// close closes the connection at once. The viewers of its open set-ups may resend them on another connection.
func (c *viewerConn) close(reason closeReason) {
	c.closeUnless(reason, func() bool { return c.closed })
}

// closeIfIdle closes the connection unless a request is pending on it, even one that arrived after the connection was
// chosen for eviction, or one that is not read yet.
func (c *viewerConn) closeIfIdle(reason closeReason) bool {
	return c.closeUnless(reason, func() bool {
		return c.closed || lifecycle.MayClose(lifecycle.CloseFacts{HandlingMessage: c.handlingMessage,
			OpenSetUps: len(c.openSetUps), InputUnread: c.hasUnreadInput()}) != lifecycle.Permitted
	})
}

// closeUnless closes the connection unless the condition, evaluated with c.mu held, is true.
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
	c.node.awaitResend(c, unanswered) // before anything else: an attempt may be about to start
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

// logClose logs why a connection was closed and which requests on it are unanswered. If this node closed it, those
// requests are lost.
func (c *viewerConn) logClose(reason closeReason, unanswered []*session) {
	level := slog.LevelDebug
	switch {
	case len(unanswered) > 0 && reason.byThisNode():
		level = slog.LevelWarn
		c.node.nearMisses.closedUnanswered.Add(int64(len(unanswered)))
		for _, s := range unanswered {
			c.node.ledger.Violate(lifecycle.ClosedUnanswered, s.id, string(reason))
		}
	case len(unanswered) > 0 || reason == closedForCapacity || reason.isFailure():
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
	c.mu.Lock()
	lastUsed, sessionCount := c.lastUsed, c.sessionCount
	c.mu.Unlock()
	c.node.Log.Log(context.Background(), level, "viewer connection closed", "why", string(reason),
		"connection", uint64(c.id), "from", c.conn.RemoteAddr().String(), "age", time.Since(c.openedAt),
		"last message", time.Since(lastUsed), "unanswered", ids, "sessions", sessionCount)
}

// refuseConnection closes an accepted connection without serving it.
func (c *viewerConn) refuseConnection(reason closeReason) {
	c.node.nearMisses.viewersRefused.Add(1)
	c.node.Log.Warn("viewer connection not served", "why", string(reason), "from", c.conn.RemoteAddr().String())
	_ = c.conn.Close()
}
