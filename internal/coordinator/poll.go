package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"rainpulley/internal/hedge"
	"rainpulley/internal/timelimit"
)

// pollSession polls the coordinator at one address. Its methods run on one goroutine; each poll has one of its own.
type pollSession struct {
	follower   *Follower
	addr       string
	switches   int // of the address, when the session began
	results    chan pollResult
	open       hedge.OpenCalls
	limit      *timelimit.Adaptive // for the oldest poll
	retry      *timelimit.Backoff
	nextPoll   *time.Timer // when the next poll is sent
	goroutines sync.WaitGroup
}

// poll is one request to the coordinator.
type poll struct {
	call      *hedge.OpenCall
	fromStart bool // all events were requested, after a gap
}

// pollResult is the response to a poll, or the error that prevented it.
type pollResult struct {
	poll    poll
	updates Updates
	err     error
}

// run polls until ctx ends, and then waits for the polls to end.
func (s *pollSession) run(ctx context.Context) {
	defer s.goroutines.Wait()
	s.nextPoll = time.NewTimer(0)
	defer s.nextPoll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.nextPoll.C:
			if limit := s.limit.Current(); s.open.MakeRoom() {
				s.follower.Log.Warn("coordinator has not answered a poll", "address", s.addr, "after", limit)
			}
			s.start(ctx)
		case r := <-s.results:
			s.handle(r)
		}
	}
}

// start sends a poll. The next one follows when this one is overdue, unless its response comes first.
func (s *pollSession) start(ctx context.Context) {
	pollCtx, cancel := context.WithCancel(ctx)
	from, fromStart := s.follower.nextRequest()
	p := poll{call: s.open.Add(cancel), fromStart: fromStart}
	s.nextPoll.Reset(pollWait + pollGrace)
	s.goroutines.Go(func() {
		updates, err := s.follower.request(pollCtx, s.addr, from)
		cancel()
		select {
		case s.results <- pollResult{poll: p, updates: updates, err: err}:
		case <-ctx.Done():
		}
	})
}

// request sends one poll for the events after a number and reads the response.
func (f *Follower) request(ctx context.Context, addr string, from int64) (updates Updates, err error) {
	response, err := f.client.Do(ctx, addr, "GET", "/v2/stream?follow="+strconv.FormatInt(from, 10)+"&wait_ms="+
		strconv.FormatInt(pollWait.Milliseconds(), 10), nil, nil)
	if err != nil {
		return updates, err
	}
	if response.Status != 200 {
		return updates, fmt.Errorf("coordinator: response status %d", response.Status)
	}
	if err = json.Unmarshal(response.Body, &updates); err != nil {
		return updates, fmt.Errorf("coordinator: decoding the response: %w", err)
	}
	return updates, nil
}

// handle applies the result of a poll and schedules the next one, unless a newer poll is open. A response makes the
// older polls superfluous.
func (s *pollSession) handle(r pollResult) {
	took, newerOpen, open := s.open.Remove(r.poll.call)
	if !open {
		return
	}
	progress := false
	if r.err == nil {
		progress, r.err = s.follower.applyResponse(r.updates, r.poll.fromStart, s.switches)
	}
	if r.err != nil {
		s.follower.Log.Debug("polling the coordinator failed", "took", took, "error", r.err)
	} else {
		s.open.CancelOlder(r.poll.call)
		s.limit.RecordAnswer(took)
		if took >= pollWait+pollGrace {
			s.follower.Log.Debug("coordinator answered late", "took", took, "polls open", s.open.Len())
		}
	}
	switch {
	case newerOpen:
	case r.err == nil && (progress || took >= pollWait/2):
		s.retry.Reset()
		s.nextPoll.Reset(0)
	default:
		s.nextPoll.Reset(s.retry.Next())
	}
}
