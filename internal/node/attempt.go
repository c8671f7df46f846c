package node

import (
	"context"
	"errors"
	"strconv"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/jsonlines"
)

// admission is what was found ahead of a set-up's first byte.
type admissionResult int

const (
	admitted         admissionResult = iota
	connectionClosed                 // the connection is over, and nothing was written on it
	notWanted                        // its viewer has left, its time is up or its server takes no more: it is not sent any more
)

// SetUp asks a server to start a session. A connection that was closed while it rested is no attempt: another one is
// taken, since nothing was written.
func (p *pool) SetUp(ctx context.Context, a core.Attempt) core.Result {
	viewerSession, ok := a.Listener.(*session)
	p.mu.Lock()
	s := p.servers[a.Server]
	p.mu.Unlock()
	if !ok || s == nil {
		return core.Result{Outcome: control.NotSent}
	}
	for {
		l, err := p.acquireWithRetry(ctx, s)
		if err != nil {
			p.node.Log.Info("no connection", "session", a.ID, "server", a.Server, "error", err)
			return core.Result{Outcome: connectOutcome(ctx, err)}
		}
		reused := l.lastUsed > 0
		if p.node.beforeAdmission != nil {
			p.node.beforeAdmission(a.ID)
		}
		switch p.admit(ctx, l, a.ID, viewerSession) {
		case notWanted:
			p.node.Log.Info("attempt not sent", "session", a.ID, "server", a.Server, "attempt", a.Number, "wanted", viewerSession.mayBeginAttempt(), "left", p.node.timeLeft(ctx))
			p.putBack(l)
			return core.Result{Outcome: control.NotSent}
		case connectionClosed:
			if reused {
				continue
			}
			return core.Result{Outcome: control.ConnectFailed} // its process ended just behind the accept
		}
		var attrs [10]string
		l.send(jsonlines.TypeOpen, a.ID, viewerSession.appendSetUpAttrs(attrs[:0], p.node.timeLeft(ctx), a.Rung), -1, viewerSession.description)
		select {
		case r := <-l.results:
			r.Cleanup = func() { p.putBack(l) }
			return r
		case <-ctx.Done():
			return p.giveUp(ctx, l, a)
		}
	}
}

// takePatiently takes a link, and tries again for as long as a connection may take to come up where this machine cannot
// make one for a moment.
func (p *pool) acquireWithRetry(ctx context.Context, s *server) (*serverConn, error) {
	for deadline := time.Now().Add(p.node.Config.Platform.ConnectTimeout); ; {
		l, err := p.acquire(ctx, s)
		if err == nil || !errors.Is(err, errLocal) || time.Now().After(deadline) {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(localRetryInterval):
		}
	}
}

// localRetryInterval is the time between two tries to connect where this machine cannot.
const localRetryInterval = 20 * time.Millisecond

// admit puts a set-up on a link if it may still go. What waited for its connection may be wanted no more: the
// viewer's own mark is looked at, since its leave may still be queued for the owner behind hundreds of requests.
func (p *pool) admit(ctx context.Context, l *serverConn, id string, viewerSession *session) admissionResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case ctx.Err() != nil || p.node.timeLeft(ctx) <= 0 || l.server.state != control.Ready || !viewerSession.mayBeginAttempt():
		return notWanted
	case l.detached:
		return connectionClosed
	case !viewerSession.beginAttempt():
		return notWanted
	}
	l.activeID, l.lastActivity = id, p.node.now()
	l.setUpPending.Store(true)
	l.server.pendingReleases.Confirm(id) // of an earlier attempt: said again, it would end this one
	return admitted
}

// notConnected tells what a connection that did not come up says of its server. Nothing, where the viewer withdrew
// meanwhile or this node has no descriptor left: hundreds of withdrawn set-ups must not make a healthy server suspect.
func connectOutcome(ctx context.Context, err error) control.Outcome {
	if errors.Is(err, errNoSlot) || errors.Is(err, errLocal) || errors.Is(err, errServerChanged) || errors.Is(ctx.Err(), context.Canceled) {
		return control.NotSent
	}
	return control.ConnectFailed
}

// giveUp takes a set-up back. A server that kept silent until the time was up gets no further set-up on that
// connection: late answers would come between.
func (p *pool) giveUp(ctx context.Context, l *serverConn, a core.Attempt) core.Result {
	p.mu.Lock()
	var r core.Result
	select {
	case r = <-l.results: // the answer crossed
		p.mu.Unlock()
		p.putBack(l)
		return r
	default:
	}
	l.activeID = ""
	l.setUpPending.Store(false)
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded) && !l.detached
	l.send(jsonlines.TypeClose, a.ID, nil, jsonlines.CauseEnd, "")
	p.recordGiveUp(l, a.ID)
	if timedOut {
		l.server.detector.RecordSetupTimeout()
		p.retireConn(l)
	}
	p.mu.Unlock()
	if !timedOut {
		p.putBack(l)
	}
	return core.Result{Outcome: control.Reset} // core puts in why it was given up
}

// rungAttr is a rung as fields are written.
func formatRung(rung int) string { return strconv.Itoa(rung) }
