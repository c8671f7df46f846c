package core

import (
	"context"
	"time"

	"rainpulley/control"
)

// Run processes the queues and timers until ctx ends. It then fails the waiting requests and abandons the attempts in
// flight.
func (o *Orchestrator) Run(ctx context.Context) {
	defer close(o.done)
	o.ctx, o.startedAt = ctx, o.Now()
	o.step(nil) // the module sets its first timers
	wakeUp := time.NewTimer(time.Hour)
	defer wakeUp.Stop()
	var lastPause time.Time
	for {
		wakeUp.Reset(o.untilNextTimer())
		hasRequest := false
		select {
		case <-ctx.Done():
			o.finish()
			return
		case in := <-o.eventQueue:
			o.handle(in)
		case <-o.requests.ready:
			hasRequest = o.handleNextRequest()
		case in := <-o.noteQueue:
			o.handle(in)
		case <-wakeUp.C:
		}
		o.drainQueues(hasRequest)
		o.failExpired()
		o.fireTimers()
		for len(o.batch) > 0 {
			b := o.batch
			o.batch = nil
			o.step(b)
		}
		if o.requests.len() == 0 {
			continue
		}
		o.requests.signal()
		if time.Since(lastPause) >= maxBusy {
			time.Sleep(ioPause)
			lastPause = time.Now()
		}
	}
}

const (
	// maxBusy is how long the orchestrator decides on queued requests before it pauses. On one processor the Go runtime
	// polls the network only when no goroutine can run, or every 10 ms: without a pause, answers of servers would stay
	// in their sockets until a burst of requests is processed.
	maxBusy = time.Millisecond
	// ioPause is the length of the pause. The resolution of the system's timers can extend it to a millisecond.
	ioPause = 50 * time.Microsecond
)

// maxBatch bounds the inputs that are handled in one step, so that timers are not delayed.
const maxBatch = 256

// drainQueues handles the other queued inputs. Events come before requests, so that a decision uses the latest state.
// One step handles at most one request: a placement takes long, and the answer to another request, which may arrive in
// the meantime, must not wait for many placements. hasRequest reports whether the step already has its request.
func (o *Orchestrator) drainQueues(hasRequest bool) {
	for range maxBatch {
		select {
		case in := <-o.eventQueue:
			o.handle(in)
			continue
		default:
		}
		if in, ok := o.requests.takeLeave(); ok {
			o.handle(in)
			continue
		}
		if !hasRequest && o.handleNextRequest() {
			hasRequest = true
			continue
		}
		select {
		case in := <-o.noteQueue:
			o.handle(in)
		default:
			return
		}
	}
}

// handleNextRequest handles what is next in the queue of requests. It reports whether that was a request.
func (o *Orchestrator) handleNextRequest() bool {
	in, ok := o.requests.take()
	if ok {
		o.handleRequest(in)
	}
	return ok && in.kind == inputRequest
}

// expiryInterval is the time between two searches for requests whose time ran out in the queue.
const expiryInterval = 5 * time.Millisecond

// failExpired answers the requests whose time ran out in the queue. They cost no decision, which others wait for.
func (o *Orchestrator) failExpired() {
	now := o.Now()
	if now-o.lastExpiry < expiryInterval {
		return
	}
	o.lastExpiry = now
	for _, in := range o.requests.takeExpired(now) {
		if in.viewerLeft {
			o.handle(in)
			continue
		}
		o.Log.Info("request failed: its time ran out before its decision", "session", in.request.ID)
		o.Stats.Overdue.Add(1)
		in.request.listener.Answered(Answer{Kind: Failed})
		in.request.listener.Closed()
	}
}

// handleRequest handles a request after the events that were queued before it. A select with both queues ready picks
// either one: right after the start, a request that overtook the first server list was refused because no server was
// known.
func (o *Orchestrator) handleRequest(in input) {
	for range maxBatch {
		if in.kind != inputRequest { // the viewer left: events that are handled later find the request withdrawn
			break
		}
		select {
		case event := <-o.eventQueue:
			o.handle(event)
			continue
		default:
		}
		break
	}
	o.handle(in)
}

// addToBatch adds an event to the batch that the next step passes to the module.
func (o *Orchestrator) addToBatch(e control.Event) { o.batch = append(o.batch, e) }

// handle processes one queued input.
func (o *Orchestrator) handle(in input) {
	switch in.kind {
	case inputEvent:
		if n, ok := in.event.(control.Note); ok && !o.acceptNote(n, in) {
			return
		}
		o.addToBatch(in.event)
	case inputRequest:
		if in.viewerLeft {
			o.Log.Info("request withdrawn before its decision", "session", in.request.ID)
			in.request.listener.Closed()
			return
		}
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
			o.handleEndedByServer(input{kind: inputEndedByServer, id: id, server: in.server,
				result: Result{Outcome: control.Reset}})
		}
	}
}

// FinishRequests fails every request that still waits, abandons its attempt and makes Submit reject all later requests.
// It returns when that is done. Playing sessions are still managed until the context of Run ends.
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

// finish handles the events that are still queued when Run stops, then fails the waiting requests. Answers and ends of
// sessions among the queued events thereby still reach their listeners.
func (o *Orchestrator) finish() {
	o.handleQueuedEvents()
	o.failRequests()
	o.handleQueuedEvents()
}

// handleQueuedEvents handles the events that are queued at the time of the call.
func (o *Orchestrator) handleQueuedEvents() {
	for range len(o.eventQueue) {
		o.handle(<-o.eventQueue)
	}
}

// failRequests fails the waiting requests and those still in the queue, and stops accepting requests.
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
	for in, ok := o.requests.take(); ok; in, ok = o.requests.take() {
		o.handle(in)
	}
}
