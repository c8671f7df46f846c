package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"rainpulley/internal/hedge"
	"rainpulley/internal/http1"
	"rainpulley/internal/timelimit"
)

const (
	pollWait      = time.Second            // short, so that an unresponsive coordinator is polled again soon
	pollGrace     = 400 * time.Millisecond // a poll without a response after pollWait+pollGrace is followed by another one
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second

	maxOpenPolls = 4 // that await a response
	// initialPollLimit and maxPollLimit bound the time for which the oldest poll is kept.
	initialPollLimit = 10 * time.Second
	maxPollLimit     = 2 * time.Minute

	// maxResponseBytes limits the size of a response. A list of 1,024 servers takes about 200 kB; the history from the
	// first event, which is requested after a gap, contains every change of each server.
	maxResponseBytes = 8 << 20
)

// Follower follows a coordinator whose address may change.
//
// A coordinator may be slow, so that each response takes long but arrives, or it may have stopped, so that a poll is
// never answered and only a new one is. The two cannot be told apart while a poll waits. The follower therefore sends a
// new poll when one is overdue, without giving up the old one: whichever is answered first counts. Each response is
// applied from the last event applied on, so that events which two responses contain are applied once.
type Follower struct {
	Apply      func([]Update) error // called with new events, in order, each once; after an error they are read again
	OnResponse func()               // if set, called after each response without an error, also an empty one
	Log        *slog.Logger
	client     http1.Client

	mu           sync.Mutex // held while Apply runs: no event of an old address is applied after SwitchAddress
	addr         string
	switches     int                // number of calls of SwitchAddress
	lastIndex    int64              // number of the last event applied
	missedEvents bool               // a response left out events: the next poll requests all of them
	cancelPolls  context.CancelFunc // cancels the polls of the present address; nil if there are none
}

// New returns a follower that continues after the event number lastIndex.
func New(addr string, lastIndex int64, log *slog.Logger, apply func([]Update) error) *Follower {
	limits := http1.DefaultLimits()
	limits.MaxBodyBytes = maxResponseBytes
	limits.IdleTimeout = 2 * maxPollLimit // each poll has its own, shorter limit
	return &Follower{Apply: apply, Log: log, addr: addr, lastIndex: lastIndex, client: http1.Client{Limits: limits}}
}

// SwitchAddress follows the coordinator at another address from now on and keeps the event numbers. known are events
// that were delivered together with the address; those of them that are new are applied immediately. If the address is
// the same as before, the open polls go on: a slow coordinator could otherwise not answer between quick reloads.
func (f *Follower) SwitchAddress(addr string, known Updates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.switchAddressLocked(addr, known)
}

// switchAddressLocked is SwitchAddress for a caller that holds f.mu.
func (f *Follower) switchAddressLocked(addr string, known Updates) {
	if f.addr != addr {
		f.addr = addr
		f.switches++
		if f.cancelPolls != nil {
			f.cancelPolls()
		}
	}
	if err := f.applyNew(known); err != nil {
		f.Log.Warn("events received with a new coordinator address not applied", "held", f.lastIndex, "error", err)
	}
}

// Run follows the coordinator until ctx ends. A response that cannot be read has no effect and is requested again.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		addressCtx, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.cancelPolls = cancel
		session := &pollSession{follower: f, addr: f.addr, switches: f.switches, results: make(chan pollResult),
			limit: timelimit.NewAdaptive(initialPollLimit, maxPollLimit),
			retry: timelimit.NewBackoff(minRetryDelay, maxRetryDelay)}
		session.open = hedge.OpenCalls{Most: maxOpenPolls, Limit: session.limit}
		f.mu.Unlock()
		session.run(addressCtx)
		cancel()
	}
}

var (
	errIncompleteHistory = errors.New("coordinator: the requested history is incomplete")
	errAddressSwitched   = errors.New("coordinator: the response is from an earlier address")
)

// nextRequest returns the event number from which the next poll requests events; fromStart is set after a gap.
func (f *Follower) nextRequest() (from int64, fromStart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.missedEvents {
		return 0, true
	}
	return f.lastIndex, false
}

// applyResponse applies the response to a poll that was sent after a number of address switches. progress reports that
// new events were applied or a history was requested.
func (f *Follower) applyResponse(u Updates, fromStart bool, switches int) (progress bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.switches != switches {
		return false, errAddressSwitched
	}
	previous := f.lastIndex
	if fromStart {
		err = f.applyHistory(u)
	} else {
		err = f.applyNew(u)
	}
	if err != nil {
		return false, err
	}
	if f.OnResponse != nil {
		f.OnResponse()
	}
	return fromStart || f.lastIndex > previous, nil
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
