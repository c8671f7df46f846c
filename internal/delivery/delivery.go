// Package delivery tracks messages that must reach a peer even if connections to it end. A message that was sent on a
// connection which ended before the peer confirmed the message may be lost, so it is sent again on the next connection.
// The package has no clock and does no I/O: the caller reports what happened and when.
package delivery

import (
	"cmp"
	"slices"
	"time"
)

// ConnectionID identifies one connection; an ID is never reused.
type ConnectionID uint64

// Message is one message to the peer.
type Message[T any] struct {
	Key   string
	Value T
}

// Pending holds the messages to one peer whose delivery is not certain. A message waits until it is sent on a
// connection, and waits again if that connection ends soon after. It is removed once the peer has confirmed it or its
// lifetime has expired. The zero value is not usable; see New.
type Pending[T any] struct {
	lifetime   time.Duration
	lossWindow time.Duration
	waiting    map[string]*entry[T]
	sent       map[string]*entry[T]
	lastOrder  uint64
}

// entry is one message and the state of its delivery.
type entry[T any] struct {
	value   T
	order   uint64 // position among all messages in the order in which they were added
	addedAt time.Duration
	sentOn  ConnectionID // connection on which the message was last sent
	sentAt  time.Duration
}

// New returns an empty Pending. A message is kept for at most lifetime after it was added. A message whose connection
// ended more than lossWindow after the message was sent counts as delivered.
func New[T any](lifetime, lossWindow time.Duration) *Pending[T] {
	return &Pending[T]{lifetime: lifetime, lossWindow: lossWindow,
		waiting: map[string]*entry[T]{}, sent: map[string]*entry[T]{}}
}

// Len returns the number of messages that are held, sent or not.
func (p *Pending[T]) Len() int { return len(p.waiting) + len(p.sent) }

// HasWaiting reports whether a message has to be sent.
func (p *Pending[T]) HasWaiting() bool { return len(p.waiting) > 0 }

// Add adds a waiting message. It ignores a message whose key is already held.
func (p *Pending[T]) Add(key string, value T, now time.Duration) {
	if p.waiting[key] != nil || p.sent[key] != nil {
		return
	}
	p.lastOrder++
	p.waiting[key] = &entry[T]{value: value, order: p.lastOrder, addedAt: now}
}

// Waiting returns the messages that have to be sent, in the order in which they were added.
func (p *Pending[T]) Waiting() []Message[T] {
	messages := make([]Message[T], 0, len(p.waiting))
	for key, e := range p.waiting {
		messages = append(messages, Message[T]{Key: key, Value: e.value})
	}
	slices.SortFunc(messages, func(a, b Message[T]) int {
		return cmp.Compare(p.waiting[a.Key].order, p.waiting[b.Key].order)
	})
	return messages
}

// MarkSent records that a waiting message was passed to a connection for sending.
func (p *Pending[T]) MarkSent(key string, on ConnectionID, now time.Duration) {
	e := p.waiting[key]
	if e == nil {
		return
	}
	e.sentOn, e.sentAt = on, now
	delete(p.waiting, key)
	p.sent[key] = e
}

// Confirm removes a message that the peer has received.
func (p *Pending[T]) Confirm(key string) {
	delete(p.waiting, key)
	delete(p.sent, key)
}

// ConnectionEnded records that a connection has ended. Messages that were sent on it within the loss window wait again;
// those that were sent earlier count as delivered and are removed. It returns how many messages wait again.
func (p *Pending[T]) ConnectionEnded(ended ConnectionID, now time.Duration) (requeued int) {
	for key, e := range p.sent {
		if e.sentOn != ended {
			continue
		}
		delete(p.sent, key)
		if now-e.sentAt <= p.lossWindow {
			p.waiting[key] = e
			requeued++
		}
	}
	return requeued
}

// Expire removes the messages whose lifetime has expired and returns the keys of those that were still waiting, in the
// order in which they were added.
func (p *Pending[T]) Expire(now time.Duration) (undelivered []string) {
	for _, m := range p.Waiting() {
		if now-p.waiting[m.Key].addedAt > p.lifetime {
			undelivered = append(undelivered, m.Key)
			delete(p.waiting, m.Key)
		}
	}
	for key, e := range p.sent {
		if now-e.addedAt > p.lifetime {
			delete(p.sent, key)
		}
	}
	return undelivered
}
