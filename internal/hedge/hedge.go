// Package hedge repeats a call while earlier runs of it are still open. A peer that is slow answers the first run late; a
// peer that has forgotten it, for example because its machine was replaced, answers only a new one. The two cannot be
// told apart while a run waits, and a fixed time limit serves only one of them.
package hedge

import (
	"context"
	"time"

	"rainpulley/internal/timelimit"
)

// maxOpenRuns bounds the runs of one call that are open at the same time.
const maxOpenRuns = 3

// Call is a call that may be run several times. It must return soon once its context ends.
type Call[T any] struct {
	Run     func(ctx context.Context) (T, error)
	Discard func(T)             // if set, called with the result of a run that was not needed
	Overdue time.Duration       // a run that takes longer is followed by another one
	Limit   *timelimit.Adaptive // the time for which the oldest run is kept
}

// result is the result of one run.
type result[T any] struct {
	run   *OpenCall
	value T
	err   error
}

// runs holds the runs of a call. Its methods run on the goroutine of Do.
type runs[T any] struct {
	call    Call[T]
	open    OpenCalls
	results chan result[T]
	pending int // runs without a result, also cancelled ones
}

// Do runs the call until a run succeeds and returns its result. It returns an error once no run is open. All runs have
// ended when it returns.
func (c Call[T]) Do(ctx context.Context) (value T, err error) {
	r := &runs[T]{call: c, open: OpenCalls{Most: maxOpenRuns, Limit: c.Limit}, results: make(chan result[T])}
	defer r.cancelAll()
	overdue := time.NewTicker(c.Overdue)
	defer overdue.Stop()
	r.start(ctx)
	for {
		select {
		case <-overdue.C:
			r.open.MakeRoom()
			r.start(ctx)
		case next := <-r.results:
			r.pending--
			took, _, open := r.open.Remove(next.run)
			switch {
			case !open: // cancelled, perhaps just as it succeeded
				r.discard(next)
			case next.err == nil:
				c.Limit.RecordAnswer(took)
				return next.value, nil
			case r.open.Len() == 0:
				return value, next.err
			}
		}
	}
}

// start starts a run.
func (r *runs[T]) start(ctx context.Context) {
	runCtx, cancel := context.WithCancel(ctx)
	started := r.open.Add(cancel)
	r.pending++
	go func() {
		defer cancel()
		value, err := r.call.Run(runCtx)
		r.results <- result[T]{run: started, value: value, err: err}
	}()
}

// cancelAll cancels the open runs, waits until all have ended and discards their results.
func (r *runs[T]) cancelAll() {
	r.open.CancelAll()
	for ; r.pending > 0; r.pending-- {
		r.discard(<-r.results)
	}
}

// discard discards the result of a run that is not needed.
func (r *runs[T]) discard(unneeded result[T]) {
	if unneeded.err == nil && r.call.Discard != nil {
		r.call.Discard(unneeded.value)
	}
}
