package core

import (
	"context"
	"errors"
	"time"

	"rainpulley/control"
)

// step tells the module a batch and carries out what it answers, in order.
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
			o.Executor.Tell(a.Front, a.Data)
		}
	}
}

// awaiting is a request that still waits for its answer.
func (o *Orchestrator) unansweredRequest(id, action string) *request {
	r := o.openRequests[id]
	if r == nil || r.answered || r.viewerLeft {
		o.Log.Debug("action for a request that is over", "session", id, "action", action)
		return nil
	}
	return r
}

// overBudget keeps the budget over a restart. An edge that was killed forgets what it sent on; were its next instance to
// spend the free part at once, both together would break the budget of one front. For the first span there is no
// free part. Harm: an edge that starts for the first time has fewer further attempts for as long.
func (o *Orchestrator) overBudget() bool {
	b := o.Budget
	return b.Span > 0 && o.Now()-o.startedAt < b.Span && float64(o.furtherAttempts+1) > b.Share*float64(o.requestCount)
}

// send starts an attempt. One that may not go out ends as moot, which the module is told: of a request
// that is over, beyond the most attempts or the budget of an edge that has just started, or beside another
// attempt of the same request.
func (o *Orchestrator) startAttempt(a control.Send) {
	r := o.openRequests[a.ID]
	if r == nil || r.answered || r.viewerLeft || r.inFlight || o.MaxAttempts > 0 && r.attempts >= o.MaxAttempts || r.attempts > 0 && o.overBudget() {
		o.Stats.NotSent.Add(1)
		if r != nil && r.inFlight {
			o.Log.Error("second attempt kept back", "session", a.ID, "server", a.Server)
		}
		n := 0
		if r != nil {
			n = r.attempts
		}
		o.Log.Info("attempt not sent", "session", a.ID, "server", a.Server, "attempts", n, "over", r == nil || r.answered || r.viewerLeft)
		o.addToBatch(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: n, Outcome: control.NotSent, Final: r == nil || r.answered || r.viewerLeft})
		return
	}
	now := o.Now()
	patience := r.GiveUpAt - now
	if a.Timeout > 0 {
		patience = min(patience, a.Timeout)
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
		o.Log.Info("attempt", "session", r.ID, "server", a.Server, "attempt", attempt.Number, "rung", attempt.Rung, "patience", patience)
	}
	go o.runAttempt(ctx, attempt, time.Now().Add(patience), now)
}

// attempt carries one attempt out. Its time counts from the decision, not from this goroutine's turn.
func (o *Orchestrator) runAttempt(ctx context.Context, a Attempt, until time.Time, sent time.Duration) {
	limited, stop := context.WithDeadlineCause(ctx, until, errTimedOut)
	defer stop()
	res := o.Executor.SetUp(limited, a)
	if res.Cleanup != nil {
		defer res.Cleanup()
	}
	if res.Outcome == control.Failed || res.Outcome == control.Reset {
		switch cause := context.Cause(limited); { // closing the connection looks like a reset
		case errors.Is(cause, errTimedOut):
			res.Outcome = control.TimedOut
		case errors.Is(cause, errCancelled):
			res.Outcome = control.Cancelled
		}
	}
	o.enqueue(input{kind: inputAttemptEnded, id: a.ID, attempt: a.Number, server: a.Server, result: res, took: o.Now() - sent})
}

func (o *Orchestrator) setRung(a control.SetRung) {
	r := o.openRequests[a.ID]
	if r == nil {
		return
	}
	changed := r.rung != a.Rung
	r.rung = a.Rung
	if r.playing && changed {
		r.listener.Rung(a.Rung)
		o.Log.Debug("rung", "session", r.ID, "server", r.server, "rung", a.Rung)
		o.Executor.SetRung(Attempt{ID: r.ID, Server: r.server, Number: r.attempts - 1, Rung: a.Rung, Class: r.Class,
			Tenant: r.Tenant, Title: r.Title, Viewer: r.Viewer, Listener: r.listener}, a.Rung)
	}
}

// move takes a playing session off its server; its viewer comes back to this front.
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
