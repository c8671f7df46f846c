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
	"strconv"
	"sync"
	"time"

	"rainpulley/internal/http1"
)

// Entry is one server of an update.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix milliseconds; 0: not told
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
	wait       = time.Second            // asked for; short, so that a coordinator gone silent is asked again soon
	patience   = 400 * time.Millisecond // beyond it a poll is given up
	retryFirst = 50 * time.Millisecond
	retryMost  = time.Second
)

// Follower follows a coordinator whose address may change.
type Follower struct {
	Take   func([]Update) error // in their order, each once; an error leaves them to be read again
	Log    *slog.Logger
	client http1.Client

	mu     sync.Mutex
	addr   string
	redial context.CancelFunc // of the poll under way
}

// New returns a follower. Connect bounds how long a connection may take to come up.
func New(addr string, connect time.Duration, log *slog.Logger, take func([]Update) error) *Follower {
	l := http1.DefaultLimits()
	l.HeadFor, l.BodyFor, l.IdleFor = wait+patience, wait+patience, wait+patience
	return &Follower{Take: take, Log: log, addr: addr, client: http1.Client{Limits: l, Connect: connect}}
}

// Move follows another address from now on, with the numbering as it stands.
func (f *Follower) Move(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr = addr; f.redial != nil {
		f.redial()
	}
}

// Run follows from event number held on until ctx ends. What cannot be read changes nothing and is asked for anew.
func (f *Follower) Run(ctx context.Context, held int64) {
	pause := retryFirst
	for ctx.Err() == nil {
		asked, before := time.Now(), held
		next, moved, err := f.poll(ctx, held)
		held = next
		switch {
		case err == nil && (held > before || time.Since(asked) >= wait/2):
			pause = retryFirst
			continue
		case ctx.Err() != nil:
			return
		case moved:
			continue
		}
		f.Log.Debug("coordinator not heard", "held", held, "error", err)
		if !errors.Is(err, errSilent) { // a silent one has been waited for already
			select {
			case <-ctx.Done():
			case <-time.After(pause/2 + rand.N(pause)):
			}
			pause = min(2*pause, retryMost)
		}
	}
}

var errSilent = errors.New("coordinator: silent")

// poll asks once; moved tells that the address changed meanwhile.
func (f *Follower) poll(ctx context.Context, held int64) (next int64, moved bool, err error) {
	f.mu.Lock()
	addr := f.addr
	inner, cancel := context.WithTimeoutCause(ctx, wait+patience, errSilent)
	f.redial = cancel
	f.mu.Unlock()
	defer cancel()
	p, err := f.client.Do(inner, addr, "GET", "/v2/stream?follow="+strconv.FormatInt(held, 10)+"&wait_ms="+
		strconv.FormatInt(wait.Milliseconds(), 10), nil, nil)
	f.mu.Lock()
	moved = f.addr != addr
	f.mu.Unlock()
	if err != nil {
		return held, moved, err
	}
	if p.Status != 200 {
		return held, moved, fmt.Errorf("coordinator: answered %d", p.Status)
	}
	next, err = f.take(p.Body, held)
	return next, moved, err
}

// take reads an answer and hands on what is new in it.
func (f *Follower) take(body []byte, held int64) (int64, error) {
	var u Updates
	if err := json.Unmarshal(body, &u); err != nil {
		return held, fmt.Errorf("coordinator: %w", err)
	}
	fresh := u.Index - held
	if fresh <= 0 || len(u.Updates) == 0 {
		return held, nil
	}
	if err := f.Take(u.Updates[max(int64(len(u.Updates))-fresh, 0):]); err != nil {
		return held, err
	}
	return u.Index, nil
}
