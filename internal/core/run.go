package core

import (
	"context"
	"time"

	"rainpulley/control"
)

// Run works until ctx ends. Attempts that are out then are given up.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.over)
	o.ctx, o.startedAt = ctx, o.Now()
	o.step(nil) // the module sets its first timers
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	var rested time.Time
	for {
		clock.Reset(o.untilNext())
		placing := false
		select {
		case <-ctx.Done():
			o.finish()
			return
		case in := <-o.events:
			o.take(in)
		case in := <-o.requests:
			placing = in.what == aRequest
			o.takeRequest(in)
		case in := <-o.notes:
			o.take(in)
		case <-clock.C:
		}
		o.drain(placing)
		o.fire()
		for len(o.batch) > 0 {
			b := o.batch
			o.batch = nil
			o.step(b)
		}
		if len(o.requests) > 0 && time.Since(rested) >= maxUnrested {
			time.Sleep(ioTurn)
			rested = time.Now()
		}
	}
}

const (
	// maxUnrested is how long the owner decides on one request after another before it rests. On one processor the runtime
	// looks at the network only when nothing else can run, or every 10 ms: without a rest, answers of servers would stay in
	// their sockets for as long as a rush of requests takes.
	maxUnrested = time.Millisecond
	// ioTurn is how long it rests; the system's timers make up to a millisecond of it.
	ioTurn = 50 * time.Microsecond
)

// maxBatch bounds how much is told in one step, so that timers keep their time.
const maxBatch = 256

// drain takes what else waits; ends before requests, so that a decision rests on the latest. No more than one request is
// taken for a step, which decides on it: a placement takes long, and the answer to another request, which may come
// meanwhile, must not wait for many of them. Placing tells that one was taken already.
func (o *Owner) drain(placing bool) {
	for range maxBatch {
		select {
		case in := <-o.events:
			o.take(in)
			continue
		default:
		}
		requests := o.requests
		if placing {
			requests = nil
		}
		select {
		case in := <-requests:
			placing = in.what == aRequest
			o.takeRequest(in)
		case in := <-o.notes:
			o.take(in)
		default:
			return
		}
	}
}

// takeRequest takes a request behind the events that were there before it: a select that finds both picks either, and
// a request that overtook the first list was refused for want of servers (seen right after the start).
func (o *Owner) takeRequest(in input) {
	for range maxBatch {
		if in.what != aRequest { // a leave: what came behind it finds its viewer gone
			break
		}
		select {
		case e := <-o.events:
			o.take(e)
			continue
		default:
		}
		break
	}
	o.take(in)
}

func (o *Owner) tell(e control.Event) { o.batch = append(o.batch, e) }

func (o *Owner) take(in input) {
	switch in.what {
	case anEvent:
		if n, ok := in.event.(control.Note); ok && !o.noteDue(n, in) {
			return
		}
		o.tell(in.event)
	case aRequest:
		o.begin(in.request)
	case attemptEnded:
		o.attemptEnded(in)
	case adopted:
		o.adopt(in.request)
	case inspect:
		in.look()
	case viewerLeft:
		o.left(in.id, in.listener)
	case playedOut:
		o.end(in.id, control.Served)
	case serverEnded:
		o.serverEnded(in)
	case serverLost:
		for _, id := range in.sessions {
			o.serverEnded(input{what: serverEnded, id: id, server: in.server, result: Result{Outcome: control.Reset}})
		}
	}
}

// FinishRequests answers every request that still waits as failed, gives up their attempts and has Request refuse all
// that come later. Sessions that play are looked after until Run's context ends. It returns when that is done.
func (o *Owner) FinishRequests() {
	done := make(chan struct{})
	o.Inspect(func() {
		o.failRequests()
		close(done)
	})
	select {
	case <-done:
	case <-o.over:
	}
}

// finish ends the owner. What was told before is taken first: an answer or an end of a session among it is passed on.
func (o *Owner) finish() {
	o.takeEvents()
	o.failRequests()
	o.takeEvents()
}

// takeEvents takes the events that are there by now.
func (o *Owner) takeEvents() {
	for range len(o.events) {
		o.take(<-o.events)
	}
}

// failRequests answers what waits, and takes no request any more.
func (o *Owner) failRequests() {
	for _, r := range o.open {
		if r.cancel != nil && !r.playing {
			r.cancel(errCancelled)
		}
		if !r.answered && !r.gone {
			o.answer(r, Answer{Kind: Failed}, byEnd)
		}
	}
	o.taking.Lock()
	o.ended = true
	o.taking.Unlock()
	for {
		select {
		case in := <-o.requests:
			o.take(in)
		default:
			return
		}
	}
}
