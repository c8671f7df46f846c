// Package descriptors divides a process's file descriptors between the connections that peers open to it and those that
// it opens itself, so that peers who hold all of theirs cannot keep it from serving those that it has accepted.
package descriptors

import (
	"context"
	"errors"
	"sync"
)

// reserved is the number of descriptors for listeners, files, standard streams and connections that are being refused.
const reserved = 48

// ErrNoneFree reports that no descriptor became free in time.
var ErrNoneFree = errors.New("descriptors: none became free in time")

// Budget divides a number of descriptors. Long-lived outgoing streams are subtracted first. Of the others half, and at
// most maxIncoming, are for incoming connections, and the rest for outgoing calls: each incoming connection makes one
// call at a time.
type Budget struct {
	limit, maxIncoming int

	mu                       sync.Mutex
	incoming, calls, streams int
	freed                    chan struct{} // closed and replaced when a descriptor becomes free
}

// NewBudget returns a Budget of limit descriptors.
func NewBudget(limit, maxIncoming int) *Budget {
	return &Budget{limit: limit, maxIncoming: maxIncoming, freed: make(chan struct{})}
}

// available returns the descriptors for incoming connections and outgoing calls. b.mu is held.
func (b *Budget) available() int { return max(b.limit-reserved-b.streams, 2) }

// incomingLimit returns how many incoming connections may be open. b.mu is held.
func (b *Budget) incomingLimit() int { return min(b.maxIncoming, b.available()/2) }

// Acquire takes a descriptor for an incoming connection. It returns false if none is free.
func (b *Budget) Acquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incoming >= b.incomingLimit() {
		return false
	}
	b.incoming++
	return true
}

// AcquireWait takes a descriptor for an incoming connection, and waits for one until ctx ends.
func (b *Budget) AcquireWait(ctx context.Context) error {
	return b.wait(ctx, func() bool {
		free := b.incoming < b.incomingLimit()
		if free {
			b.incoming++
		}
		return free
	})
}

// wait calls take with b.mu held until it returns true or ctx ends, and again whenever a descriptor became free.
func (b *Budget) wait(ctx context.Context, take func() bool) error {
	for {
		b.mu.Lock()
		taken, freed := take(), b.freed
		b.mu.Unlock()
		if taken {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNoneFree
		case <-freed:
		}
	}
}

// Release returns a descriptor that Acquire or AcquireWait took.
func (b *Budget) Release() { b.change(func() { b.incoming-- }) }

// AcquireCall takes a descriptor for an outgoing call, and waits for one until ctx ends.
func (b *Budget) AcquireCall(ctx context.Context) error {
	return b.wait(ctx, func() bool {
		free := b.calls < b.available()-b.incomingLimit()
		if free {
			b.calls++
		}
		return free
	})
}

// ReleaseCall returns a descriptor that AcquireCall took.
func (b *Budget) ReleaseCall() { b.change(func() { b.calls-- }) }

// OpenStream counts a long-lived outgoing connection.
func (b *Budget) OpenStream() { b.change(func() { b.streams++ }) }

// CloseStream counts the end of a long-lived outgoing connection.
func (b *Budget) CloseStream() { b.change(func() { b.streams-- }) }

// change applies a change and wakes those that wait for a descriptor.
func (b *Budget) change(apply func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	apply()
	close(b.freed)
	b.freed = make(chan struct{})
}
