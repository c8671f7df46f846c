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
type admission int

const (
	admitted       admission = iota
	connectionOver           // the connection is over, and nothing was written on it
	notWanted                // its viewer has left, its time is up or its server takes no more: it is not sent any more
)

// SetUp asks a server to start a session. A connection that was closed while it rested is no attempt: another one is
// taken, since nothing was written.
func (p *pool) SetUp(ctx context.Context, a core.Attempt) core.Result {
	v, ok := a.Listener.(*session)
	p.mu.Lock()
	s := p.byID[a.Server]
	p.mu.Unlock()
	if !ok || s == nil {
		return core.Result{Outcome: control.NotSent}
	}
	for {
		l, err := p.takePatiently(ctx, s)
		if err != nil {
			p.n.Log.Info("no connection", "session", a.ID, "server", a.Server, "error", err)
			return core.Result{Outcome: notConnected(ctx, err)}
		}
		rested := l.used > 0
		if p.n.beforeAdmission != nil {
			p.n.beforeAdmission(a.ID)
		}
		switch p.admit(ctx, l, a.ID, v) {
		case notWanted:
			p.n.Log.Info("attempt not sent", "session", a.ID, "server", a.Server, "attempt", a.Number, "wanted", v.mayBegin(), "left", p.n.patience(ctx))
			p.free(l)
			return core.Result{Outcome: control.NotSent}
		case connectionOver:
			if rested {
				continue
			}
			return core.Result{Outcome: control.ConnectFailed} // its process ended just behind the accept
		}
		var attrs [10]string
		l.say(jsonlines.TypeOpen, a.ID, v.attrs(attrs[:0], p.n.patience(ctx), a.Rung), -1, v.text)
		select {
		case r := <-l.reply:
			r.Cleanup = func() { p.free(l) }
			return r
		case <-ctx.Done():
			return p.giveUp(ctx, l, a)
		}
	}
}

// takePatiently takes a link, and tries again for as long as a connection may take to come up where this machine cannot
// make one for a moment.
func (p *pool) takePatiently(ctx context.Context, s *server) (*link, error) {
	for until := time.Now().Add(p.n.Config.Platform.ConnectTimeout); ; {
		l, err := p.take(ctx, s)
		if err == nil || !errors.Is(err, errLocal) || time.Now().After(until) {
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
func (p *pool) admit(ctx context.Context, l *link, id string, v *session) admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case ctx.Err() != nil || p.n.patience(ctx) <= 0 || l.s.state != control.Ready || !v.mayBegin():
		return notWanted
	case l.gone:
		return connectionOver
	case !v.beginAttempt():
		return notWanted
	}
	l.sid, l.heard = id, p.n.now()
	l.answerDue.Store(true)
	l.s.releases.Confirm(id) // of an earlier attempt: said again, it would end this one
	return admitted
}

// notConnected tells what a connection that did not come up says of its server. Nothing, where the viewer withdrew
// meanwhile or this node has no descriptor left: hundreds of withdrawn set-ups must not make a healthy server suspect.
func notConnected(ctx context.Context, err error) control.Outcome {
	if errors.Is(err, errNoRoom) || errors.Is(err, errLocal) || errors.Is(err, errMoved) || errors.Is(ctx.Err(), context.Canceled) {
		return control.NotSent
	}
	return control.ConnectFailed
}

// giveUp takes a set-up back. A server that kept silent until the time was up gets no further set-up on that
// connection: late answers would come between.
func (p *pool) giveUp(ctx context.Context, l *link, a core.Attempt) core.Result {
	p.mu.Lock()
	var r core.Result
	select {
	case r = <-l.reply: // the answer crossed
		p.mu.Unlock()
		p.free(l)
		return r
	default:
	}
	l.sid = ""
	l.answerDue.Store(false)
	late := errors.Is(ctx.Err(), context.DeadlineExceeded) && !l.gone
	l.say(jsonlines.TypeClose, a.ID, nil, jsonlines.CauseEnd, "")
	p.noteGiveUp(l, a.ID)
	if late {
		l.s.detector.RecordSetupTimeout()
		p.retire(l)
	}
	p.mu.Unlock()
	if !late {
		p.free(l)
	}
	return core.Result{Outcome: control.Reset} // core puts in why it was given up
}

// rungAttr is a rung as fields are written.
func rungAttr(rung int) string { return strconv.Itoa(rung) }
