// Package delivery tracks messages that must reach a peer although the connections to it come and go. A message that
// was written on a connection which ended before the peer confirmed it may be lost, and is sent again on the next
// one. The package has no clock and no I/O: the caller tells what happened and when.
package delivery

import (
	"cmp"
	"slices"
	"time"
)

// ConnectionID names one connection; an ID is never used twice.
type ConnectionID uint64

// Message is one message that is owed to the peer.
type Message[T any] struct {
	Key   string
	Value T
}

// Pending holds the messages to one peer that have not surely arrived. A message is waiting until it is sent on a
// connection, and waiting again if that connection ends soon after. It is forgotten once the peer has confirmed it, or
// when its lifetime is over. The zero value is not usable; see New.
type Pending[T any] struct {
	lifetime time.Duration
	doubt    time.Duration
	entries  map[string]*entry[T]
	added    uint64
}

// entry is one message and where it is.
type entry[T any] struct {
	value  T
	order  uint64 // of the message among all that were added
	at     time.Duration
	sentOn ConnectionID // noConnection while it waits
	sentAt time.Duration
}

const noConnection ConnectionID = 0

// New returns an empty set. A message is kept for lifetime after it was added. A message whose connection ended more
// than doubt after it was sent counts as delivered.
func New[T any](lifetime, doubt time.Duration) *Pending[T] {
	return &Pending[T]{lifetime: lifetime, doubt: doubt, entries: map[string]*entry[T]{}}
}

// Len is the number of messages that are held, sent or not.
func (p *Pending[T]) Len() int { return len(p.entries) }

// Add holds a message as waiting. A message under a key that is held already is ignored.
func (p *Pending[T]) Add(key string, value T, now time.Duration) {
	if p.entries[key] != nil {
		return
	}
	p.added++
	p.entries[key] = &entry[T]{value: value, order: p.added, at: now}
}

// Waiting lists the messages that have to be sent, in the order in which they were added.
func (p *Pending[T]) Waiting() []Message[T] {
	var waiting []Message[T]
	for key, e := range p.entries {
		if e.sentOn == noConnection {
			waiting = append(waiting, Message[T]{Key: key, Value: e.value})
		}
	}
	slices.SortFunc(waiting, func(a, b Message[T]) int {
		return cmp.Compare(p.entries[a.Key].order, p.entries[b.Key].order)
	})
	return waiting
}

// HasWaiting tells whether a message has to be sent.
func (p *Pending[T]) HasWaiting() bool {
	for _, e := range p.entries {
		if e.sentOn == noConnection {
			return true
		}
	}
	return false
}

// Sent says that a message was handed to a connection.
func (p *Pending[T]) Sent(key string, on ConnectionID, now time.Duration) {
	if e := p.entries[key]; e != nil {
		e.sentOn, e.sentAt = on, now
	}
}

// Confirmed says that the peer has the message.
func (p *Pending[T]) Confirmed(key string) { delete(p.entries, key) }

// ConnectionEnded says that a connection is over. What was sent on it a short time ago waits again; what was sent
// earlier has arrived and is forgotten. It returns how many messages wait again.
func (p *Pending[T]) ConnectionEnded(ended ConnectionID, now time.Duration) (again int) {
	for key, e := range p.entries {
		switch {
		case e.sentOn != ended:
		case now-e.sentAt > p.doubt:
			delete(p.entries, key)
		default:
			e.sentOn = noConnection
			again++
		}
	}
	return again
}

// Expire forgets messages whose lifetime is over, and lists the keys of those that were never sent, in the order in
// which they were added.
func (p *Pending[T]) Expire(now time.Duration) (undelivered []string) {
	for _, m := range p.Waiting() {
		if now-p.entries[m.Key].at > p.lifetime {
			undelivered = append(undelivered, m.Key)
		}
	}
	for key, e := range p.entries {
		if now-e.at > p.lifetime {
			delete(p.entries, key)
		}
	}
	return undelivered
}
