package core

import (
	"context"
	"errors"
	"time"

	"rainpulley/control"
)

// step tells the module a batch and carries out what it answers, in order.
func (o *Owner) step(events []control.Event) {
	for _, a := range o.Decider.Step(o.Now(), events) {
		switch a := a.(type) {
		case control.Send:
			o.send(a)
		case control.SetRung:
			o.setRung(a)
		case control.Refuse:
			if r := o.awaiting(a.ID, "refuse"); r != nil {
				o.answer(r, Answer{Kind: Refused, After: a.RetryAfter}, byModule)
			}
		case control.Fail:
			if r := o.awaiting(a.ID, "fail"); r != nil {
				o.answer(r, Answer{Kind: Failed}, byModule)
			}
		case control.Cancel:
			if r := o.open[a.ID]; r != nil && r.out && a.Attempt == r.attempts-1 {
				r.cancel(errCancelled)
			}
		case control.Move:
			o.move(a)
		case control.Probe:
			o.Carrier.Probe(a.Server)
		case control.SetTimer:
			o.timers.push(timer{at: o.Now() + a.Delay, label: a.Label})
		case control.Subscribe:
			o.Carrier.Subscribe()
		case control.ReadList:
			o.Carrier.ReadList()
		case control.SendToPeer:
			o.Carrier.Tell(a.Front, a.Data)
		}
	}
}

// awaiting is a request that still waits for its answer.
func (o *Owner) awaiting(id, action string) *request {
	r := o.open[id]
	if r == nil || r.answered || r.gone {
		o.Log.Debug("action for a request that is over", "session", id, "action", action)
		return nil
	}
	return r
}

// overBudget keeps the budget over a restart. An edge that was killed forgets what it sent on; were its next instance to
// spend the free part at once, both together would break the budget of one front. For the first span there is no
// free part. Harm: an edge that starts for the first time has fewer further attempts for as long.
func (o *Owner) overBudget() bool {
	b := o.Budget
	return b.Span > 0 && o.Now()-o.startedAt < b.Span && float64(o.more+1) > b.Share*float64(o.taken)
}

// send starts an attempt. One that may not go out ends as moot, which the module is told: of a request
// that is over, beyond the most attempts or the budget of an edge that has just started, or beside another
// attempt of the same request.
func (o *Owner) send(a control.Send) {
	r := o.open[a.ID]
	if r == nil || r.answered || r.gone || r.out || o.MaxAttempts > 0 && r.attempts >= o.MaxAttempts || r.attempts > 0 && o.overBudget() {
		o.Stats.Moot.Add(1)
		if r != nil && r.out {
			o.Log.Error("second attempt kept back", "session", a.ID, "server", a.Server)
		}
		n := 0
		if r != nil {
			n = r.attempts
		}
		o.Log.Info("attempt not sent", "session", a.ID, "server", a.Server, "attempts", n, "over", r == nil || r.answered || r.gone)
		o.tell(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: n, Outcome: control.NotSent, Final: r == nil || r.answered || r.gone})
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
	r.out, r.cancel, r.server, r.sent = true, cancel, a.Server, now
	r.attempts++
	o.Stats.Attempts.Add(1)
	if r.attempts > 1 {
		o.more++
		o.Stats.Further.Add(1)
	}
	if o.logsSessions() {
		o.Log.Info("attempt", "session", r.ID, "server", a.Server, "attempt", attempt.Number, "rung", attempt.Rung, "patience", patience)
	}
	go o.attempt(ctx, attempt, time.Now().Add(patience), now)
}

// attempt carries one attempt out. Its time counts from the decision, not from this goroutine's turn.
func (o *Owner) attempt(ctx context.Context, a Attempt, until time.Time, sent time.Duration) {
	limited, stop := context.WithDeadlineCause(ctx, until, errTimedOut)
	defer stop()
	res := o.Carrier.SetUp(limited, a)
	if res.Done != nil {
		defer res.Done()
	}
	if res.Outcome == control.Failed || res.Outcome == control.Reset {
		switch cause := context.Cause(limited); { // closing the connection looks like a reset
		case errors.Is(cause, errTimedOut):
			res.Outcome = control.TimedOut
		case errors.Is(cause, errCancelled):
			res.Outcome = control.Cancelled
		}
	}
	o.put(input{what: attemptEnded, id: a.ID, attempt: a.Number, server: a.Server, result: res, took: o.Now() - sent})
}

func (o *Owner) setRung(a control.SetRung) {
	r := o.open[a.ID]
	if r == nil {
		return
	}
	changed := r.rung != a.Rung
	r.rung = a.Rung
	if r.playing && changed {
		r.listener.Rung(a.Rung)
		o.Log.Debug("rung", "session", r.ID, "server", r.server, "rung", a.Rung)
		o.Carrier.SetRung(Attempt{ID: r.ID, Server: r.server, Number: r.attempts - 1, Rung: a.Rung, Class: r.Class,
			Tenant: r.Tenant, Title: r.Title, Viewer: r.Viewer, Listener: r.listener}, a.Rung)
	}
}

// move takes a playing session off its server; its viewer comes back to this front.
func (o *Owner) move(a control.Move) {
	r := o.open[a.ID]
	if r == nil || !r.playing {
		return
	}
	o.Carrier.Release(r.ID, r.server, r.attempts-1)
	o.Log.Info("session moved", "session", r.ID, "server", r.server)
	r.listener.Ended(control.Cancelled, true)
	o.forget(r)
	o.tell(control.AttemptEnded{ID: r.ID, Server: r.server, Attempt: r.attempts - 1, Outcome: control.Cancelled,
		Took: o.Now() - r.sent, Final: true})
}
