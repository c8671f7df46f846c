package node

import (
	"context"
	"errors"
	"strconv"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/lifecycle"
	"rainpulley/internal/peerstate"
)

// SetUp asks a server to start a session. If the idle connection chosen for it turns out to be closed, nothing was
// written and no attempt was made: SetUp takes another connection.
func (p *pool) SetUp(ctx context.Context, a core.Attempt) core.Result {
	viewerSession, ok := a.Listener.(*session)
	p.mu.Lock()
	s := p.servers[a.Server]
	p.mu.Unlock()
	if !ok || s == nil {
		return core.Result{Outcome: control.NotSent}
	}
	for {
		c, err := p.acquireWithRetry(ctx, s)
		if err != nil {
			p.node.Log.Info("no connection to server", "session", a.ID, "server", a.Server, "error", err)
			return core.Result{Outcome: connectOutcome(ctx, err)}
		}
		reused := c.lastUsed > 0
		if p.node.beforeAdmission != nil {
			p.node.beforeAdmission(a.ID)
		}
		switch refusal := p.sendWhenInputHandled(ctx, c, a, viewerSession); refusal {
		case lifecycle.Permitted:
		case lifecycle.ConnectionUnusable, lifecycle.IDGivenUpHere:
			if reused {
				continue
			}
			return core.Result{Outcome: control.ConnectFailed} // the server's process ended just after accepting the connection
		default:
			p.node.Log.Info("attempt not sent", "session", a.ID, "server", a.Server, "attempt", a.Number,
				"why", refusal.String(), "left", p.node.timeLeft(ctx))
			p.putBack(c)
			return core.Result{Outcome: control.NotSent}
		}
		p.logViewerState(a, viewerSession)
		select {
		case r := <-c.results:
			r.Cleanup = func() { p.putBack(c) }
			p.node.ledger.AttemptEnded(viewerSession.identity, neverRan(r.Outcome))
			return r
		case <-ctx.Done():
			r := p.giveUp(ctx, c, a)
			p.node.ledger.AttemptEnded(viewerSession.identity, neverRan(r.Outcome))
			return r
		}
	}
}

// logViewerState logs and counts an attempt that begins although its viewer's close has arrived, read or not.
func (p *pool) logViewerState(a core.Attempt, viewerSession *session) {
	conn := viewerSession.currentConn()
	state, known := peerstate.Query(conn.conn)
	if !known || !state.Closed {
		return
	}
	p.node.nearMisses.sentAfterClose.Add(1)
	p.node.Log.Info("attempt begins behind its viewer's close", "session", a.ID, "server", a.Server, "attempt", a.Number,
		"connection", uint64(conn.id), "phase", conn.phase().String(), "unread", state.Unread,
		"data", state.SinceData)
}

// acquireWithRetry acquires a connection. While local errors prevent it, it tries again for up to the time allowed for
// connecting.
func (p *pool) acquireWithRetry(ctx context.Context, s *server) (*serverConn, error) {
	for deadline := time.Now().Add(p.node.Config.Platform.ConnectTimeout); ; {
		c, err := p.acquire(ctx, s)
		if err == nil || !errors.Is(err, errLocal) || time.Now().After(deadline) {
			return c, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(localRetryInterval):
		}
	}
}

// localRetryInterval is the time between two attempts to connect that fail with local errors.
const localRetryInterval = 20 * time.Millisecond

// sendWhenInputHandled writes a set-up to a server if it may be sent once what its viewer had sent is handled.
func (p *pool) sendWhenInputHandled(ctx context.Context, c *serverConn, a core.Attempt, s *session) lifecycle.Refusal {
	for end := time.Now().Add(maxInputWait); ; {
		if p.awaitViewerInput(ctx, s, a.Number) {
			p.node.nearMisses.sendsDelayed.Add(1)
		}
		refusal := p.sendSetUp(ctx, c, a, s)
		if refusal != lifecycle.ViewerInputPending || time.Now().After(end) {
			return refusal
		}
	}
}

// sendSetUp writes a set-up to a server if it may be sent now. Its viewer may have withdrawn while it waited for the
// connection. This is read from the session itself, since the orchestrator may not have handled the withdrawal yet:
// hundreds of requests may be queued before it. The decision and the write are one step, so that neither a withdrawal
// nor a drain can come between them.
func (p *pool) sendSetUp(ctx context.Context, c *serverConn, a core.Attempt, s *session) lifecycle.Refusal {
	unnoticedEnd := s.currentConn().hasUnnoticedEnd()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	facts := s.sendFacts()
	facts.ViewerInputPending = unnoticedEnd
	facts.TimeLeft = p.node.timeLeft(ctx)
	if ctx.Err() != nil {
		facts.TimeLeft = 0
	}
	facts.ServerReady = c.server.state == control.Ready
	facts.ConnectionUsable = !c.detached
	facts.IDGivenUpHere = c.wasGivenUp(a.ID)
	refusal := lifecycle.MaySend(facts)
	switch refusal {
	case lifecycle.Permitted:
	case lifecycle.IDGivenUpHere: // a late answer to that set-up would be taken for the answer to this one
		p.retireConn(c)
		return refusal
	default:
		return refusal
	}
	s.attemptSent = true
	c.activeID, c.lastActivity = a.ID, p.node.now()
	c.setUpPending.Store(true)
	c.server.pendingReleases.Confirm(a.ID) // drops a release of an earlier attempt: sent again, it would end this one
	var attrs [10]string
	c.sendNow(jsonlines.TypeOpen, a.ID, s.appendSetUpAttrs(attrs[:0], facts.TimeLeft, a.Rung), -1, s.description)
	p.node.ledger.Sent(s.identity, facts)
	return refusal
}

// neverRan reports whether an outcome proves that the server has not run the set-up.
func neverRan(outcome control.Outcome) bool {
	return outcome == control.Full || outcome == control.NotSent || outcome == control.ConnectFailed
}

// connectOutcome returns the outcome of an attempt whose connection could not be established. It is NotSent if the
// viewer withdrew, the server was removed or replaced, or this node had no slot or a local error, such as no free
// descriptor: hundreds of withdrawn set-ups must not make a healthy server look faulty.
func connectOutcome(ctx context.Context, err error) control.Outcome {
	if errors.Is(err, errNoSlot) || errors.Is(err, errLocal) || errors.Is(err, errServerChanged) ||
		errors.Is(ctx.Err(), context.Canceled) {
		return control.NotSent
	}
	return control.ConnectFailed
}

// giveUp cancels a set-up at its server. If the server did not answer in time, the connection is retired, since a late
// answer would arrive among the messages of the next set-up.
func (p *pool) giveUp(ctx context.Context, c *serverConn, a core.Attempt) core.Result {
	p.mu.Lock()
	var r core.Result
	select {
	case r = <-c.results: // the answer arrived just before
		p.mu.Unlock()
		p.putBack(c)
		return r
	default:
	}
	c.activeID = ""
	c.setUpPending.Store(false)
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded) && !c.detached
	c.send(jsonlines.TypeClose, a.ID, nil, jsonlines.CauseEnd, "")
	p.recordGiveUp(c, a.ID)
	if timedOut {
		c.server.detector.RecordSetUpTimeout()
		p.retireConn(c)
	}
	p.mu.Unlock()
	if !timedOut {
		p.putBack(c)
	}
	return core.Result{Outcome: control.Reset} // core replaces the outcome with the reason for giving up
}

// formatRung formats a rung as an attribute value.
func formatRung(rung int) string { return strconv.Itoa(rung) }
