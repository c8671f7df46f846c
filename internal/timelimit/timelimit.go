// Package timelimit provides time limits and retry delays for repeated calls to a peer. The limits adapt to a slow peer:
// with a fixed limit below the peer's response time, every call fails although the peer answers each of them. The package
// has no clock and does no I/O.
package timelimit

import "time"

// Adaptive is a time limit for repeated calls to one peer. It doubles whenever a call exceeds it, and shrinks again once
// calls need only a small part of it.
type Adaptive struct {
	initial, highest, current time.Duration
}

// shrinkShare is the part of the limit that a call may need at most for the limit to shrink.
const shrinkShare = 4

// NewAdaptive returns a limit that starts at initial, which is also the lowest, and never exceeds highest.
func NewAdaptive(initial, highest time.Duration) *Adaptive {
	return &Adaptive{initial: initial, highest: highest, current: initial}
}

// Current returns the limit for the next call.
func (a *Adaptive) Current() time.Duration { return a.current }

// RecordExceeded records that a call exceeded the limit.
func (a *Adaptive) RecordExceeded() { a.current = min(2*a.current, a.highest) }

// RecordAnswer records that a call was answered after a time.
func (a *Adaptive) RecordAnswer(took time.Duration) {
	if took <= a.current/shrinkShare {
		a.current = max(a.current/2, a.initial)
	}
}
