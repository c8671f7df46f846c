// Package hedge repeats a call while earlier runs of it are still open. A peer that is slow answers the first run late; a
// peer that has forgotten it, for example because its machine was replaced, answers only a new one. The two cannot be
// told apart while a run waits, and a fixed time limit serves only one of them.
package hedge

import (
	"context"
	"slices"
	"time"

	"rainpulley/internal/timelimit"
)

// maxOpenRuns bounds the runs of one call that are open at the same time. The oldest is kept the longest, for a slow
// peer; the others are replaced by new ones, for a peer that has forgotten the oldest.
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
	run   int
	value T
	err   error
}

// run is a run without a result.
type run struct {
	number    int
	startedAt time.Time
	cancel    context.CancelFunc
}

// runs holds the open runs of a call, the oldest first. Its methods run on the goroutine of Do.
type runs[T any] struct {
	call    Call[T]
	open    []run
	results chan result[T]
	started int
	pending int // runs without a result, also cancelled ones
}

// Do runs the call until a run succeeds and returns its result. It returns an error once no run is open. All runs have
// ended when it returns.
func (c Call[T]) Do(ctx context.Context) (value T, err error) {
	r := &runs[T]{call: c, results: make(chan result[T])}
	defer r.cancelAll()
	overdue := time.NewTicker(c.Overdue)
	defer overdue.Stop()
	r.start(ctx)
	for {
		select {
		case <-overdue.C:
			r.makeRoom()
			r.start(ctx)
		case next := <-r.results:
			r.pending--
			startedAt, open := r.remove(next.run)
			switch {
			case !open: // cancelled, perhaps just as it succeeded
				r.discard(next)
			case next.err == nil:
				c.Limit.RecordAnswer(time.Since(startedAt))
				return next.value, nil
			case len(r.open) == 0:
				return value, next.err
			}
		}
	}
}

// start starts a run.
func (r *runs[T]) start(ctx context.Context) {
	runCtx, cancel := context.WithCancel(ctx)
	r.started++
	r.pending++
	number := r.started
	r.open = append(r.open, run{number: number, startedAt: time.Now(), cancel: cancel})
	go func() {
		defer cancel()
		value, err := r.call.Run(runCtx)
		r.results <- result[T]{run: number, value: value, err: err}
	}()
}

// makeRoom cancels the oldest run if it has exceeded its limit, and otherwise the second-oldest if the runs are too many.
func (r *runs[T]) makeRoom() {
	switch {
	case len(r.open) > 0 && time.Since(r.open[0].startedAt) >= r.call.Limit.Current():
		r.call.Limit.RecordExceeded()
		r.cancel(0)
	case len(r.open) >= maxOpenRuns:
		r.cancel(1)
	}
}

// cancel cancels one of the open runs, whose result is then not needed.
func (r *runs[T]) cancel(i int) {
	r.open[i].cancel()
	r.open = slices.Delete(r.open, i, i+1)
}

// remove removes a run that has a result, and reports whether it was still open.
func (r *runs[T]) remove(number int) (startedAt time.Time, open bool) {
	i := slices.IndexFunc(r.open, func(o run) bool { return o.number == number })
	if i < 0 {
		return time.Now(), false
	}
	startedAt = r.open[i].startedAt
	r.open = slices.Delete(r.open, i, i+1)
	return startedAt, true
}

// cancelAll cancels the open runs, waits until all have ended and discards their results.
func (r *runs[T]) cancelAll() {
	for _, o := range r.open {
		o.cancel()
	}
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
