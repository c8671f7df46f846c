package timelimit

import (
	"math/rand/v2"
	"time"
)

// Backoff is the delay before a failed call is repeated. It doubles with each failure in a row, and half of it is random,
// so that clients do not return to a restarted peer at the same time.
type Backoff struct {
	initial, highest, current time.Duration
}

// NewBackoff returns a delay that starts at initial and never exceeds highest, apart from the random part.
func NewBackoff(initial, highest time.Duration) *Backoff {
	return &Backoff{initial: initial, highest: highest, current: initial}
}

// Next returns the delay after a failure: from half to one and a half times the current one.
func (b *Backoff) Next() time.Duration {
	delay := b.current/2 + rand.N(b.current)
	b.current = min(2*b.current, b.highest)
	return delay
}

// Reset returns to the initial delay, after a success.
func (b *Backoff) Reset() { b.current = b.initial }
