package core

import (
	"context"
	"errors"
	"time"

	"rainpulley/control"
)

// step passes a batch of events to the module and carries out the returned actions in order.
func (o *Orchestrator) step(events []control.Event) {
	for _, a := range o.Decider.Step(o.Now(), events) {
		switch a := a.(type) {
		case control.Send:
			o.startAttempt(a)
		case control.SetRung:
			o.setRung(a)
		case control.Refuse:
			if r := o.unansweredRequest(a.ID, "refuse"); r != nil {
				o.answer(r, Answer{Kind: Refused, RetryAfter: a.RetryAfter}, byModule)
			}
		case control.Fail:
			if r := o.unansweredRequest(a.ID, "fail"); r != nil {
				o.answer(r, Answer{Kind: Failed}, byModule)
			}
		case control.Cancel:
			if r := o.openRequests[a.ID]; r != nil && r.inFlight && a.Attempt == r.attempts-1 {
				r.cancelAttempt(errCancelled)
			}
		case control.Move:
			o.moveSession(a)
		case control.Probe:
			o.Executor.Probe(a.Server)
		case control.SetTimer:
			o.timers.push(timer{at: o.Now() + a.Delay, label: a.Label})
		case control.Subscribe:
			o.Executor.Subscribe()
		case control.ReadList:
			o.Executor.ReadList()
		case control.SendToPeer:
			o.Executor.SendToPeer(a.Front, a.Data)
		}
	}
}

// unansweredRequest returns the request with this id if it still waits for its answer, and nil otherwise.
func (o *Orchestrator) unansweredRequest(id, action string) *request {
	r := o.openRequests[id]
	if r == nil || r.answered || r.viewerLeft {
		o.Log.Debug("ignoring action: the request is answered, withdrawn or unknown", "session", id, "action", action)
		return nil
	}
	return r
}

// overBudget reports whether a further attempt would exceed the budget right after a restart. A killed edge loses its
// count of further attempts; if its next instance used the free ones at once, both instances together would exceed the
// budget of one front. Therefore no free attempts are allowed during the first span. Trade-off: an edge that starts for
// the first time also has fewer further attempts during that span.
func (o *Orchestrator) overBudget() bool {
	b := o.Budget
	return b.Span > 0 && o.Now()-o.startedAt < b.Span && float64(o.furtherAttempts+1) > b.Share*float64(o.requestCount)
}

// startAttempt sends an attempt to a server. It reports the attempt to the module as not sent if the
// request is over or already has an attempt in flight, or if the attempt would exceed MaxAttempts or the budget of an
// edge that has just started.
func (o *Orchestrator) startAttempt(a control.Send) {
	r := o.openRequests[a.ID]
	if r == nil || r.answered || r.viewerLeft || r.inFlight ||
		o.MaxAttempts > 0 && r.attempts >= o.MaxAttempts || r.attempts > 0 && o.overBudget() {
		o.Stats.NotSent.Add(1)
		if r != nil && r.inFlight {
			o.Log.Error("second attempt suppressed: another attempt is in flight", "session", a.ID, "server", a.Server)
		}
		number := 0
		if r != nil {
			number = r.attempts
		}
		o.Log.Info("attempt not sent", "session", a.ID, "server", a.Server, "attempts", number,
			"over", r == nil || r.answered || r.viewerLeft)
		o.addToBatch(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: number, Outcome: control.NotSent,
			Final: r == nil || r.answered || r.viewerLeft})
		return
	}
	now := o.Now()
	timeout := r.GiveUpAt - now
	if a.Timeout > 0 {
		timeout = min(timeout, a.Timeout)
	}
	attempt := Attempt{ID: r.ID, Server: a.Server, Number: r.attempts, Rung: r.rung, Class: r.Class, Tenant: r.Tenant,
		Title: r.Title, Viewer: r.Viewer, Listener: r.listener}
	ctx, cancel := context.WithCancelCause(o.ctx)
	r.inFlight, r.cancelAttempt, r.server, r.sentAt = true, cancel, a.Server, now
	r.attempts++
	o.Stats.Attempts.Add(1)
	if r.attempts > 1 {
		o.furtherAttempts++
		o.Stats.FurtherAttempts.Add(1)
	}
	if o.infoEnabled() {
		o.Log.Info("attempt", "session", r.ID, "server", a.Server, "attempt", attempt.Number, "rung", attempt.Rung,
			"patience", timeout)
	}
	go o.runAttempt(ctx, attempt, time.Now().Add(timeout), now)
}

// runAttempt carries out one attempt. Its duration is measured from the decision (sentAt), not from the time at which
// this goroutine is scheduled.
func (o *Orchestrator) runAttempt(ctx context.Context, a Attempt, deadline time.Time, sentAt time.Duration) {
	attemptCtx, stop := context.WithDeadlineCause(ctx, deadline, errTimedOut)
	defer stop()
	res := o.Executor.SetUp(attemptCtx, a)
	if res.Cleanup != nil {
		defer res.Cleanup()
	}
	if res.Outcome == control.Failed || res.Outcome == control.Reset {
		switch cause := context.Cause(attemptCtx); { // an executor that closes its connection may report a reset
		case errors.Is(cause, errTimedOut):
			res.Outcome = control.TimedOut
		case errors.Is(cause, errCancelled):
			res.Outcome = control.Cancelled
		}
	}
	o.enqueue(input{kind: inputAttemptEnded, id: a.ID, attempt: a.Number, server: a.Server, result: res,
		took: o.Now() - sentAt})
}

// setRung sets the rung of a request. If its session plays, setRung passes a change on to the listener and the server.
func (o *Orchestrator) setRung(a control.SetRung) {
	r := o.openRequests[a.ID]
	if r == nil {
		return
	}
	changed := r.rung != a.Rung
	r.rung = a.Rung
	if r.playing && changed {
		r.listener.RungChanged(a.Rung)
		o.Log.Debug("rung", "session", r.ID, "server", r.server, "rung", a.Rung)
		o.Executor.SetRung(Attempt{ID: r.ID, Server: r.server, Number: r.attempts - 1, Rung: a.Rung, Class: r.Class,
			Tenant: r.Tenant, Title: r.Title, Viewer: r.Viewer, Listener: r.listener}, a.Rung)
	}
}

// moveSession ends a playing session on its server; its viewer then returns to this front with a new request.
func (o *Orchestrator) moveSession(a control.Move) {
	r := o.openRequests[a.ID]
	if r == nil || !r.playing {
		return
	}
	o.Executor.Release(r.ID, r.server, r.attempts-1)
	o.Log.Info("session moved", "session", r.ID, "server", r.server)
	r.listener.Ended(control.Cancelled, true)
	o.closeRequest(r)
	o.addToBatch(control.AttemptEnded{ID: r.ID, Server: r.server, Attempt: r.attempts - 1, Outcome: control.Cancelled,
		Took: o.Now() - r.sentAt, Final: true})
}
