// Package startage tells how old a server is although its start was told by another machine's clock. Wall clocks of two
// machines may differ by any amount, and be stepped; what holds is when this machine heard of a start, on its own
// monotonic clock. The package has no clock and no I/O.
//
// A start that is told cannot be later than the moment at which it was heard. So each start bounds how far the other
// clock is ahead of this one from below, and the highest bound is kept: a server is taken to be as young as the bound
// allows. That is careful, since a young server gets little work, and it is close to the truth once a start was heard of
// soon after it happened.
package startage

import "time"

// Start is one server's start as the other clock tells it. At is a time of that clock; 0: none was told.
type Start struct {
	ID string
	At time.Duration
}

// Translator translates starts into this machine's time. The zero value is ready.
type Translator struct {
	ahead   time.Duration // how far the other clock is ahead, at least
	bounded bool          // ahead is known
	contact time.Duration // when the other machine was last heard of, with nothing left to tell
	reached bool          // contact is known
	starts  map[string]translated
}

// translated is one start and what it was taken for when it was first heard of.
type translated struct{ told, local time.Duration }

// Contact says that the other machine had told all that it had to tell at a time of this machine.
func (t *Translator) Contact(now time.Duration) { t.contact, t.reached = now, true }

// Translate takes the starts that one message tells, heard now, and returns each in this machine's time, 0 where none is
// told. A start that was told before keeps its translation. One that is told after a contact was not known then, and is
// not taken for older than that contact, whatever the other clock says.
func (t *Translator) Translate(starts []Start, now time.Duration) []time.Duration {
	for _, s := range starts {
		if s.At > 0 && (!t.bounded || s.At-now > t.ahead) {
			t.ahead, t.bounded = s.At-now, true
		}
	}
	local := make([]time.Duration, len(starts))
	for i, s := range starts {
		local[i] = t.translate(s, now)
	}
	return local
}

func (t *Translator) translate(s Start, now time.Duration) time.Duration {
	if s.At <= 0 {
		return 0
	}
	before, known := t.starts[s.ID]
	if known && before.told == s.At {
		return before.local
	}
	local := min(s.At-t.ahead, now)
	if t.reached {
		local = max(local, min(t.contact, now))
	}
	local = max(local, 1) // 0 says that no start was told
	if t.starts == nil {
		t.starts = map[string]translated{}
	}
	t.starts[s.ID] = translated{told: s.At, local: local}
	return local
}

// Forget drops servers that are no longer listed.
func (t *Translator) Forget(listed func(id string) bool) {
	for id := range t.starts {
		if !listed(id) {
			delete(t.starts, id)
		}
	}
}
