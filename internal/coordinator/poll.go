package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"rainpulley/internal/timelimit"
)

// pollSession polls the coordinator at one address. Its methods run on one goroutine; each poll has one of its own.
type pollSession struct {
	follower   *Follower
	addr       string
	switches   int // of the address, when the session began
	results    chan pollResult
	open       []*poll // await their responses, the oldest first
	goroutines sync.WaitGroup
	nextPoll   *time.Timer // when the next poll is sent
	retryDelay time.Duration
	limit      *timelimit.Adaptive // for the oldest poll
}

// poll is one request to the coordinator.
type poll struct {
	startedAt time.Time
	fromStart bool // all events were requested, after a gap
	cancel    context.CancelFunc
}

// pollResult is the response to a poll, or the error that prevented it.
type pollResult struct {
	poll    *poll
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
			s.makeRoom()
			s.start(ctx)
		case r := <-s.results:
			s.handle(r)
		}
	}
}

// makeRoom cancels a poll if the oldest has exceeded its limit or the polls are too many.
func (s *pollSession) makeRoom() {
	switch {
	case len(s.open) > 0 && time.Since(s.open[0].startedAt) >= s.limit.Current():
		s.follower.Log.Warn("coordinator has not answered a poll", "address", s.addr, "after", s.limit.Current())
		s.limit.RecordExceeded()
		s.cancel(0)
	case len(s.open) >= maxOpenPolls:
		s.cancel(1)
	}
}

// cancel cancels one of the open polls, whose result is then ignored.
func (s *pollSession) cancel(i int) {
	s.open[i].cancel()
	s.open = slices.Delete(s.open, i, i+1)
}

// start sends a poll. The next one follows when this one is overdue, unless its response comes first.
func (s *pollSession) start(ctx context.Context) {
	pollCtx, cancel := context.WithCancel(ctx)
	from, fromStart := s.follower.nextRequest()
	p := &poll{startedAt: time.Now(), fromStart: fromStart, cancel: cancel}
	s.open = append(s.open, p)
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
	i := slices.Index(s.open, r.poll)
	if i < 0 {
		return // cancelled
	}
	s.open = slices.Delete(s.open, i, i+1)
	took := time.Since(r.poll.startedAt)
	progress := false
	if r.err == nil {
		progress, r.err = s.follower.applyResponse(r.updates, r.poll.fromStart, s.switches)
	}
	if r.err != nil {
		s.follower.Log.Debug("polling the coordinator failed", "took", took, "error", r.err)
	} else {
		for ; i > 0; i-- {
			s.cancel(0)
		}
		s.limit.RecordAnswer(took)
		if took >= pollWait+pollGrace {
			s.follower.Log.Debug("coordinator answered late", "took", took, "polls open", len(s.open))
		}
	}
	if i < len(s.open) {
		return // a newer poll is open
	}
	if r.err == nil && (progress || took >= pollWait/2) {
		s.retryDelay = minRetryDelay
		s.nextPoll.Reset(0)
		return
	}
	s.nextPoll.Reset(jittered(s.retryDelay))
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
}
