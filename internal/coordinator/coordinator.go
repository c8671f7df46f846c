// Package coordinator follows the numbered updates of the platform's coordinator by long poll: GET
// /v2/stream?follow=N&wait_ms=MS, N being the last event held. It decides nothing.
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

// Entry is one server of an update.
type Entry struct {
	ID            string  `json:"id"`
	Addr          string  `json:"addr"`
	Zone          string  `json:"zone"`
	Kind          string  `json:"kind"`
	Cell          int     `json:"cell"`
	State         string  `json:"state"`
	Weight        float64 `json:"weight"`
	StartedMillis int64   `json:"started_ms"` // Unix milliseconds; 0: not told
}

// Endpoints is a whole list, or what changed of it.
type Endpoints struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Update is one event; keys that are not known are skipped.
type Update struct {
	Endpoints *Endpoints `json:"endpoints"`
}

// Updates are events up to number Index.
type Updates struct {
	Index   int64    `json:"index"`
	Updates []Update `json:"updates"`
}

const (
	pollWait      = time.Second            // asked for; short, so that a coordinator gone silent is asked again soon
	pollGrace     = 400 * time.Millisecond // beyond it a poll is given up
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second

	// maxAnswer bounds an answer in bytes. A list of 1,024 servers has about 200 kB; a history from the first event on, as
	// it is asked for after a gap, has every change of each of them.
	maxResponseBytes = 8 << 20
)

// Merge folds updates into one: for each server its last entry, in order of first mention; a whole list drops what came
// before it. Whole tells that what is not named has gone. Folded, a list read anew from its beginning does not bring a
// drained server back between one update and the next.
func Merge(updates []Update) (entries []Entry, whole bool) {
	at := map[string]int{}
	for _, u := range updates {
		if u.Endpoints == nil {
			continue
		}
		if u.Endpoints.Full {
			entries, whole = nil, true
			clear(at)
		}
		for _, e := range u.Endpoints.Servers {
			if i, ok := at[e.ID]; ok {
				entries[i] = e
				continue
			}
			at[e.ID] = len(entries)
			entries = append(entries, e)
		}
	}
	return entries, whole
}

// Follower follows a coordinator whose address may change.
type Follower struct {
	Apply      func([]Update) error // in their order, each once; an error leaves them to be read again
	OnResponse func()               // if set, called behind each answer that was taken, an empty one too
	Log        *slog.Logger
	client     http1.Client

	mu           sync.Mutex // held while updates are taken: none of an address comes after a move away from it
	addr         string
	lastIndex    int64              // number of the last event taken
	missedEvents bool               // events were left out: all are asked for
	cancelPoll   context.CancelFunc // of the poll under way
}

// New returns a follower that holds the events up to a number. Connect bounds how long a connection may take to come up.
func New(addr string, lastIndex int64, connectTimeout time.Duration, log *slog.Logger, apply func([]Update) error) *Follower {
	limits := http1.DefaultLimits()
	limits.Body = maxResponseBytes
	limits.HeadFor, limits.BodyFor, limits.IdleFor = pollWait+pollGrace, pollWait+pollGrace, pollWait+pollGrace
	return &Follower{Apply: apply, Log: log, addr: addr, lastIndex: lastIndex, client: http1.Client{Limits: limits, Connect: connectTimeout}}
}

// Move follows another address from now on, with the numbering as it stands. Known are events that whoever told the
// address told with it; what is new in them is taken at once.
func (f *Follower) SwitchAddress(addr string, known Updates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.switchAddressLocked(addr, known)
}

func (f *Follower) switchAddressLocked(addr string, known Updates) {
	if f.addr = addr; f.cancelPoll != nil {
		f.cancelPoll()
	}
	if err := f.applyNew(known); err != nil {
		f.Log.Warn("events told with a new address not taken", "held", f.lastIndex, "error", err)
	}
}

// Run follows until ctx ends. What cannot be read changes nothing and is asked for anew.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryDelay
	for ctx.Err() == nil {
		asked := time.Now()
		fresh, moved, err := f.poll(ctx)
		switch {
		case err == nil && (fresh || time.Since(asked) >= pollWait/2):
			pause = minRetryDelay
			continue
		case ctx.Err() != nil:
			return
		case moved:
			continue
		}
		f.Log.Debug("coordinator not heard", "error", err)
		if !errors.Is(err, errPollTimeout) { // a silent one has been waited for already
			select {
			case <-ctx.Done():
			case <-time.After(pause/2 + rand.N(pause)):
			}
			pause = min(2*pause, maxRetryDelay)
		}
	}
}

var (
	errPollTimeout       = errors.New("coordinator: silent")
	errIncompleteHistory = errors.New("coordinator: events left out")
)

// poll asks once; fresh tells that something new was taken, moved that the address changed meanwhile.
func (f *Follower) poll(ctx context.Context) (fresh, moved bool, err error) {
	f.mu.Lock()
	addr, from, all := f.addr, f.lastIndex, f.missedEvents
	if all {
		from = 0
	}
	inner, cancel := context.WithTimeoutCause(ctx, pollWait+pollGrace, errPollTimeout)
	f.cancelPoll = cancel
	f.mu.Unlock()
	defer cancel()
	p, err := f.client.Do(inner, addr, "GET", "/v2/stream?follow="+strconv.FormatInt(from, 10)+"&wait_ms="+
		strconv.FormatInt(pollWait.Milliseconds(), 10), nil, nil)
	var u Updates
	switch {
	case err != nil:
	case p.Status != 200:
		err = fmt.Errorf("coordinator: answered %d", p.Status)
	default:
		if err = json.Unmarshal(p.Body, &u); err != nil {
			err = fmt.Errorf("coordinator: %w", err)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr != addr { // an answer of the old address that crossed the move
		return false, true, err
	}
	if err != nil {
		return false, false, err
	}
	before := f.lastIndex
	if all {
		err = f.applyHistory(u)
	} else {
		err = f.applyNew(u)
	}
	if err == nil && f.OnResponse != nil {
		f.OnResponse()
	}
	return all || f.lastIndex > before, false, err
}

// take hands on what is new in an answer. An index that goes back is no news: numbers only rise, and an older list
// would undo drains. Where events were left out, what is there is taken, since a drain may be in it, and then all
// events are asked for once, from the first.
func (f *Follower) applyNew(u Updates) error {
	fresh := u.Index - f.lastIndex
	if fresh <= 0 {
		return nil
	}
	news := u.Updates[max(int64(len(u.Updates))-fresh, 0):]
	if err := f.Apply(news); err != nil {
		return err
	}
	f.lastIndex, f.missedEvents = u.Index, int64(len(news)) < fresh && !slices.ContainsFunc(news, Update.isFullList)
	return nil
}

// takeAll hands on all events from the first, after a gap. One that cannot tell them all tells no more than is held.
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

func (u Update) isFullList() bool { return u.Endpoints != nil && u.Endpoints.Full }
