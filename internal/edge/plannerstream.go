package edge

import (
	"context"
	"strconv"
	"time"

	"rainpulley/internal/hedge"
	"rainpulley/internal/http1"
	"rainpulley/internal/timelimit"
	"rainpulley/internal/view"
)

const (
	plannerIdleTimeout = 5 * time.Second // the planner sends at least one line per second
	plannerOverdue     = 5 * time.Second // a request for the stream that takes longer is followed by another one
	minRetryDelay      = 100 * time.Millisecond
	maxRetryDelay      = 3 * time.Second

	// initialOpenLimit and maxOpenLimit bound the time for which a request for the stream is kept.
	initialOpenLimit = 10 * time.Second
	maxOpenLimit     = 2 * time.Minute
)

// plannerStream reads the lines that a planner streams, and opens the stream again whenever it ends.
type plannerStream struct {
	client     http1.Client
	addr       string
	target     string
	handleLine func(line []byte, first bool) error // first: the line is the first one of a stream
	onEnd      func(error)                         // called when a stream has ended or could not be opened
}

// run reads streams until ctx ends. Opening one has no time limit of its own: a planner that is slower than any fixed
// limit would never be heard.
func (s *plannerStream) run(ctx context.Context) {
	open := hedge.Call[*http1.LineStream]{Overdue: plannerOverdue, Discard: (*http1.LineStream).Close,
		Limit: timelimit.NewAdaptive(initialOpenLimit, maxOpenLimit),
		Run: func(ctx context.Context) (*http1.LineStream, error) {
			return s.client.OpenLines(ctx, s.addr, s.target, 0)
		}}
	retry := timelimit.NewBackoff(minRetryDelay, maxRetryDelay)
	for ctx.Err() == nil {
		stream, err := open.Do(ctx)
		if err == nil {
			first := true
			err = stream.Read(ctx, plannerIdleTimeout, func(line []byte) error {
				err := s.handleLine(line, first)
				if err == nil {
					first = false
					retry.Reset()
				}
				return err
			})
		}
		if ctx.Err() != nil {
			return
		}
		s.onEnd(err)
		select {
		case <-ctx.Done():
		case <-time.After(retry.Next()):
		}
	}
}

// followPlanner starts the release workers and then applies the views that the planner streams, until ctx ends.
// While the planner is unreachable the last view remains in effect.
func (e *Edge) followPlanner(ctx context.Context) {
	for range releaseWorkers {
		e.spawn(func() { e.boxes.sendReleases(ctx) })
	}
	if e.Planner == "" {
		return
	}
	var current view.View
	whole := true // no line of the stream has been applied yet: the first one is the whole view
	stream := &plannerStream{client: http1.Client{Limits: http1.DefaultLimits()}, addr: e.Planner,
		target: "/v1/stream?edge=" + strconv.Itoa(e.Position)}
	stream.handleLine = func(data []byte, first bool) error {
		if first {
			current, whole = e.fleet.Load().view, true
		}
		line, err := view.Decode(data)
		if err != nil {
			return err
		}
		next, changed, err := view.Apply(current, line)
		if err != nil {
			return err
		}
		if line.Holds != nil {
			defer e.applyHolds(line.Holds) // after the boxes that the holds name are applied
		}
		if changed {
			current = next
			e.applyView(current, line, whole, false)
			whole = false
		}
		return nil
	}
	stream.onEnd = func(err error) {
		e.Log.Warn("planner unreachable; the last view remains in effect", "planner", e.Planner,
			"version", e.fleet.Load().view.Version, "error", err)
	}
	stream.run(ctx)
}
