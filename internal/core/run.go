package core

import (
	"context"
	"time"

	"rainpulley/control"
)

// Run works until ctx ends. Attempts that are out then are given up.
func (o *Orchestrator) Run(ctx context.Context) {
	defer close(o.done)
	o.ctx, o.startedAt = ctx, o.Now()
	o.step(nil) // the module sets its first timers
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	var rested time.Time
	for {
		clock.Reset(o.untilNextTimer())
		placing := false
		select {
		case <-ctx.Done():
			o.finish()
			return
		case in := <-o.eventQueue:
			o.handle(in)
		case in := <-o.requestQueue:
			placing = in.kind == inputRequest
			o.handleRequest(in)
		case in := <-o.noteQueue:
			o.handle(in)
		case <-clock.C:
		}
		o.drainQueues(placing)
		o.fireTimers()
		for len(o.batch) > 0 {
			b := o.batch
			o.batch = nil
			o.step(b)
		}
		if len(o.requestQueue) > 0 && time.Since(rested) >= maxBusy {
			time.Sleep(ioPause)
			rested = time.Now()
		}
	}
}

const (
	// maxUnrested is how long the owner decides on one request after another before it rests. On one processor the runtime
	// looks at the network only when nothing else can run, or every 10 ms: without a rest, answers of servers would stay in
	// their sockets for as long as a rush of requests takes.
	maxBusy = time.Millisecond
	// ioTurn is how long it rests; the system's timers make up to a millisecond of it.
	ioPause = 50 * time.Microsecond
)

// maxBatch bounds how much is told in one step, so that timers keep their time.
const maxBatch = 256

// drain takes what else waits; ends before requests, so that a decision rests on the latest. No more than one request is
// taken for a step, which decides on it: a placement takes long, and the answer to another request, which may come
// meanwhile, must not wait for many of them. Placing tells that one was taken already.
func (o *Orchestrator) drainQueues(placing bool) {
	for range maxBatch {
		select {
		case in := <-o.eventQueue:
			o.handle(in)
			continue
		default:
		}
		requests := o.requestQueue
		if placing {
			requests = nil
		}
		select {
		case in := <-requests:
			placing = in.kind == inputRequest
			o.handleRequest(in)
		case in := <-o.noteQueue:
			o.handle(in)
		default:
			return
		}
	}
}

// takeRequest takes a request behind the events that were there before it: a select that finds both picks either, and
// a request that overtook the first list was refused for want of servers (seen right after the start).
func (o *Orchestrator) handleRequest(in input) {
	for range maxBatch {
		if in.kind != inputRequest { // a leave: what came behind it finds its viewer gone
			break
		}
		select {
		case e := <-o.eventQueue:
			o.handle(e)
			continue
		default:
		}
		break
	}
	o.handle(in)
}

func (o *Orchestrator) addToBatch(e control.Event) { o.batch = append(o.batch, e) }

func (o *Orchestrator) handle(in input) {
	switch in.kind {
	case inputEvent:
		if n, ok := in.event.(control.Note); ok && !o.acceptNote(n, in) {
			return
		}
		o.addToBatch(in.event)
	case inputRequest:
		o.acceptRequest(in.request)
	case inputAttemptEnded:
		o.handleAttemptEnded(in)
	case inputAdopted:
		o.adoptSession(in.request)
	case inputInspect:
		in.callback()
	case inputViewerLeft:
		o.handleViewerLeft(in.id, in.listener)
	case inputSessionFinished:
		o.releaseAndEnd(in.id, control.Served)
	case inputEndedByServer:
		o.handleEndedByServer(in)
	case inputSessionsLost:
		for _, id := range in.sessionIDs {
			o.handleEndedByServer(input{kind: inputEndedByServer, id: id, server: in.server, result: Result{Outcome: control.Reset}})
		}
	}
}

// FinishRequests answers every request that still waits as failed, gives up their attempts and has Request refuse all
// that come later. Sessions that play are looked after until Run's context ends. It returns when that is done.
func (o *Orchestrator) FinishRequests() {
	done := make(chan struct{})
	o.Inspect(func() {
		o.failRequests()
		close(done)
	})
	select {
	case <-done:
	case <-o.done:
	}
}

// finish ends the owner. What was told before is taken first: an answer or an end of a session among it is passed on.
func (o *Orchestrator) finish() {
	o.handleQueuedEvents()
	o.failRequests()
	o.handleQueuedEvents()
}

// takeEvents takes the events that are there by now.
func (o *Orchestrator) handleQueuedEvents() {
	for range len(o.eventQueue) {
		o.handle(<-o.eventQueue)
	}
}

// failRequests answers what waits, and takes no request any more.
func (o *Orchestrator) failRequests() {
	for _, r := range o.openRequests {
		if r.cancelAttempt != nil && !r.playing {
			r.cancelAttempt(errCancelled)
		}
		if !r.answered && !r.viewerLeft {
			o.answer(r, Answer{Kind: Failed}, byShutdown)
		}
	}
	o.requestMu.Lock()
	o.requestsClosed = true
	o.requestMu.Unlock()
	for {
		select {
		case in := <-o.requestQueue:
			o.handle(in)
		default:
			return
		}
	}
}
