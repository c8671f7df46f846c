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
	lifetime   time.Duration
	lossWindow time.Duration
	waiting    map[string]*entry[T]
	sent       map[string]*entry[T]
	lastOrder  uint64
}

// entry is one message and where it is.
type entry[T any] struct {
	value   T
	order   uint64 // of the message among all that were added
	addedAt time.Duration
	sentOn  ConnectionID // the last one
	sentAt  time.Duration
}

// New returns an empty set. A message is kept for lifetime after it was added. A message whose connection ended more
// than doubt after it was sent counts as delivered.
func New[T any](lifetime, doubt time.Duration) *Pending[T] {
	return &Pending[T]{lifetime: lifetime, lossWindow: doubt, waiting: map[string]*entry[T]{}, sent: map[string]*entry[T]{}}
}

// Len is the number of messages that are held, sent or not.
func (p *Pending[T]) Len() int { return len(p.waiting) + len(p.sent) }

// HasWaiting tells whether a message has to be sent.
func (p *Pending[T]) HasWaiting() bool { return len(p.waiting) > 0 }

// Add holds a message as waiting. A message under a key that is held already is ignored.
func (p *Pending[T]) Add(key string, value T, now time.Duration) {
	if p.waiting[key] != nil || p.sent[key] != nil {
		return
	}
	p.lastOrder++
	p.waiting[key] = &entry[T]{value: value, order: p.lastOrder, addedAt: now}
}

// Waiting lists the messages that have to be sent, in the order in which they were added.
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

// Sent says that a waiting message was handed to a connection.
func (p *Pending[T]) MarkSent(key string, on ConnectionID, now time.Duration) {
	e := p.waiting[key]
	if e == nil {
		return
	}
	e.sentOn, e.sentAt = on, now
	delete(p.waiting, key)
	p.sent[key] = e
}

// Confirmed says that the peer has the message.
func (p *Pending[T]) Confirm(key string) {
	delete(p.waiting, key)
	delete(p.sent, key)
}

// ConnectionEnded says that a connection is over. What was sent on it a short time ago waits again; what was sent
// earlier has arrived and is forgotten. It returns how many messages wait again.
func (p *Pending[T]) ConnectionEnded(ended ConnectionID, now time.Duration) (again int) {
	for key, e := range p.sent {
		if e.sentOn != ended {
			continue
		}
		delete(p.sent, key)
		if now-e.sentAt <= p.lossWindow {
			p.waiting[key] = e
			again++
		}
	}
	return again
}

// Expire forgets messages whose lifetime is over, and lists the keys of those that were still waiting, in the order in
// which they were added.
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
