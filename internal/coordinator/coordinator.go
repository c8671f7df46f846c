// Package coordinator follows the numbered events of the platform's coordinator by long polling: GET
// /v2/stream?follow=N&wait_ms=MS, where N is the number of the last event applied. The package contains no decision
// logic.
package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"rainpulley/internal/http1"
)

// Entry is one server in an update.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"` // Unix milliseconds; 0 if not reported
}

// Endpoints is either a full server list or the entries that changed since the event before.
type Endpoints struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Update is one event. Unknown keys are ignored.
type Update struct {
	Endpoints *Endpoints `json:"endpoints"`
}

// Updates is a sequence of events that ends with the event number Index.
type Updates struct {
	Index   int64    `json:"index"`
	Updates []Update `json:"updates"`
}

const (
	pollWait      = time.Second            // short, so that an unresponsive coordinator is polled again soon
	pollGrace     = 400 * time.Millisecond // a poll that takes longer than pollWait+pollGrace is cancelled
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second

	// maxResponseBytes limits the size of a response. A list of 1,024 servers takes about 200 kB; the history from the
	// first event, which is requested after a gap, contains every change of each server.
	maxResponseBytes = 8 << 20
)

// Merge combines updates into one: the last entry of each server, in the order in which the servers first appear. A
// full list discards all entries before it; full then reports that servers without an entry are gone. Because a history
// is merged before it is applied, a drained server does not become available again while its older updates are applied.
func Merge(updates []Update) (entries []Entry, full bool) {
	indexByID := map[string]int{}
	for _, u := range updates {
		if u.Endpoints == nil {
			continue
		}
		if u.Endpoints.Full {
			entries, full = nil, true
			clear(indexByID)
		}
		for _, e := range u.Endpoints.Servers {
			if i, ok := indexByID[e.ID]; ok {
				entries[i] = e
				continue
			}
			indexByID[e.ID] = len(entries)
			entries = append(entries, e)
		}
	}
	return entries, full
}

// Follower follows a coordinator whose address may change.
type Follower struct {
	Apply      func([]Update) error // called with new events, in order, each once; after an error they are read again
	OnResponse func()               // if set, called after each response without an error, also an empty one
	Log        *slog.Logger
	client     http1.Client

	mu           sync.Mutex // held while Apply runs: no event of an old address is applied after SwitchAddress
	addr         string
	lastIndex    int64              // number of the last event applied
	missedEvents bool               // a response left out events: the next poll requests all of them
	cancelPoll   context.CancelFunc // cancels the poll in progress
}

// New returns a follower that continues after the event number lastIndex. connectTimeout limits how long connecting to
// the coordinator may take.
func New(addr string, lastIndex int64, connectTimeout time.Duration, log *slog.Logger,
	apply func([]Update) error) *Follower {
	limits := http1.DefaultLimits()
	limits.MaxBodyBytes = maxResponseBytes
	limits.HeadTimeout, limits.BodyTimeout, limits.IdleTimeout = pollWait+pollGrace, pollWait+pollGrace, pollWait+pollGrace
	return &Follower{Apply: apply, Log: log, addr: addr, lastIndex: lastIndex,
		client: http1.Client{Limits: limits, ConnectTimeout: connectTimeout}}
}

// SwitchAddress follows the coordinator at another address from now on and keeps the event numbers. known are events
// that were delivered together with the address; those of them that are new are applied immediately.
func (f *Follower) SwitchAddress(addr string, known Updates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.switchAddressLocked(addr, known)
}

// switchAddressLocked is SwitchAddress for a caller that holds f.mu.
func (f *Follower) switchAddressLocked(addr string, known Updates) {
	if f.addr = addr; f.cancelPoll != nil {
		f.cancelPoll()
	}
	if err := f.applyNew(known); err != nil {
		f.Log.Warn("events received with a new coordinator address not applied", "held", f.lastIndex, "error", err)
	}
}

// Run follows the coordinator until ctx ends. A response that cannot be read has no effect and is requested again.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		started := time.Now()
		progress, switched, err := f.poll(ctx)
		switch {
		case err == nil && (progress || time.Since(started) >= pollWait/2):
			delay = minRetryDelay
			continue
		case ctx.Err() != nil:
			return
		case switched:
			continue
		}
		f.Log.Debug("polling the coordinator failed", "error", err)
		if !errors.Is(err, errPollTimeout) { // the time-out of the poll was delay enough
			select {
			case <-ctx.Done():
			case <-time.After(delay/2 + rand.N(delay)):
			}
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

var (
	errPollTimeout       = errors.New("coordinator: poll timed out")
	errIncompleteHistory = errors.New("coordinator: the requested history is incomplete")
)

// poll polls once. progress reports that new events were applied or a history was requested; switched reports that the
// address changed during the poll.
func (f *Follower) poll(ctx context.Context) (progress, switched bool, err error) {
	f.mu.Lock()
	addr, from, fromStart := f.addr, f.lastIndex, f.missedEvents
	if fromStart {
		from = 0
	}
	pollCtx, cancel := context.WithTimeoutCause(ctx, pollWait+pollGrace, errPollTimeout)
	f.cancelPoll = cancel
	f.mu.Unlock()
	defer cancel()
	response, err := f.client.Do(pollCtx, addr, "GET", "/v2/stream?follow="+strconv.FormatInt(from, 10)+"&wait_ms="+
		strconv.FormatInt(pollWait.Milliseconds(), 10), nil, nil)
	var updates Updates
	switch {
	case err != nil:
	case response.Status != 200:
		err = fmt.Errorf("coordinator: response status %d", response.Status)
	default:
		if err = json.Unmarshal(response.Body, &updates); err != nil {
			err = fmt.Errorf("coordinator: decoding the response: %w", err)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr != addr { // the response is from the old address
		return false, true, err
	}
	if err != nil {
		return false, false, err
	}
	previous := f.lastIndex
	if fromStart {
		err = f.applyHistory(updates)
	} else {
		err = f.applyNew(updates)
	}
	if err == nil && f.OnResponse != nil {
		f.OnResponse()
	}
	return fromStart || f.lastIndex > previous, false, err
}

// applyNew applies the events of a response that are new. A response with an older index is ignored: event numbers only
// increase, and an older list would undo drains. If the response leaves out events, the present ones are applied, since
// they may contain a drain, and all events from the first are then requested once.
func (f *Follower) applyNew(u Updates) error {
	newCount := u.Index - f.lastIndex
	if newCount <= 0 {
		return nil
	}
	events := u.Updates[max(int64(len(u.Updates))-newCount, 0):]
	if err := f.Apply(events); err != nil {
		return err
	}
	f.lastIndex, f.missedEvents = u.Index, int64(len(events)) < newCount &&
		!slices.ContainsFunc(events, Update.isFullList)
	return nil
}

// applyHistory applies all events from the first, after a gap. A history without a full list is incomplete and is
// rejected, and so is one that ends before the last event applied.
func (f *Follower) applyHistory(u Updates) error {
	f.missedEvents = false
	if u.Index < f.lastIndex || !slices.ContainsFunc(u.Updates, Update.isFullList) {
		return errIncompleteHistory
	}
	if err := f.Apply(u.Updates); err != nil {
		return err
	}
	f.lastIndex = u.Index
	return nil
}

// isFullList reports whether the update is a full server list.
func (u Update) isFullList() bool { return u.Endpoints != nil && u.Endpoints.Full }
