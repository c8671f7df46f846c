// Package startage tells how old a server is although its start was told by another machine's clock. Wall clocks of two
// machines may differ by any amount, and be stepped; what holds is when this machine heard of a start, on its own
// monotonic clock. The package has no clock and no I/O.
//
// A start that is told cannot be later than the moment at which it was heard. So each start bounds how far the other
// clock is ahead of this one from below, and the highest bound is kept: a server is taken to be as young as the bound
// allows. That is careful, since a young server gets little work, and it is close to the truth once a start was heard of
// soon after it happened.
package starttime

import "time"

// Start is one server's start as the other clock tells it. At is a time of that clock; 0: none was told.
type Start struct {
	ID         string
	RemoteTime time.Duration
}

// Translator translates starts into this machine's time. The zero value is ready.
type Translator struct {
	minOffset    time.Duration // how far the other clock is ahead, at least
	offsetKnown  bool          // ahead is known
	lastContact  time.Duration // when the other machine was last heard of, with nothing left to tell
	contacted    bool          // contact is known
	translations map[string]translation
}

// translated is one start and what it was taken for when it was first heard of.
type translation struct{ remote, local time.Duration }

// Contact says that the other machine had told all that it had to tell at a time of this machine.
func (t *Translator) RecordContact(now time.Duration) { t.lastContact, t.contacted = now, true }

// Translate takes the starts that one message tells, heard now, and returns each in this machine's time, 0 where none is
// told. A start that was told before keeps its translation. One that is told after a contact was not known then, and is
// not taken for older than that contact, whatever the other clock says.
func (t *Translator) Translate(starts []Start, now time.Duration) []time.Duration {
	for _, s := range starts {
		if s.RemoteTime > 0 && (!t.offsetKnown || s.RemoteTime-now > t.minOffset) {
			t.minOffset, t.offsetKnown = s.RemoteTime-now, true
		}
	}
	local := make([]time.Duration, len(starts))
	for i, s := range starts {
		local[i] = t.translateOne(s, now)
	}
	return local
}

func (t *Translator) translateOne(s Start, now time.Duration) time.Duration {
	if s.RemoteTime <= 0 {
		return 0
	}
	before, known := t.translations[s.ID]
	if known && before.remote == s.RemoteTime {
		return before.local
	}
	local := min(s.RemoteTime-t.minOffset, now)
	if t.contacted {
		local = max(local, min(t.lastContact, now))
	}
	local = max(local, 1) // 0 says that no start was told
	if t.translations == nil {
		t.translations = map[string]translation{}
	}
	t.translations[s.ID] = translation{remote: s.RemoteTime, local: local}
	return local
}

// Forget drops servers that are no longer listed.
func (t *Translator) Prune(listed func(id string) bool) {
	for id := range t.translations {
		if !listed(id) {
			delete(t.translations, id)
		}
	}
}
