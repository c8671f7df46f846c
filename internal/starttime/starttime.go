// Package starttime translates server start times, reported on another machine's clock, into this machine's time. The
// wall clocks of two machines may differ by any amount and may be stepped; what is reliable is the time at which this
// machine received a start time, on its own monotonic clock. The package has no clock and does no I/O.
//
// A server cannot have started after its start time was received. Each start time therefore gives a lower bound on the
// offset of the other clock from this one, and the highest bound is kept: a server is assumed to have started as late
// as the bound allows. This is the conservative choice, since a recently started server gets few sessions, and it is
// close to the true time once a start time has been received soon after the start.
package starttime

import "time"

// Start is the start time of one server. RemoteTime is on the other machine's clock; 0 means that none was reported.
type Start struct {
	ID         string
	RemoteTime time.Duration
}

// Translator translates start times into this machine's time. The zero value is ready to use.
type Translator struct {
	minOffset    time.Duration // lower bound of the other clock's offset: its time minus this machine's
	offsetKnown  bool          // minOffset is set
	lastContact  time.Duration // when the other machine had last reported all that it had to report
	contacted    bool          // lastContact is set
	translations map[string]translation
}

// translation is a start time on the other clock and the local time it was translated to when first received.
type translation struct{ remote, local time.Duration }

// RecordContact records that by now, in this machine's time, the other machine has reported all that it had to report.
func (t *Translator) RecordContact(now time.Duration) { t.lastContact, t.contacted = now, true }

// Translate returns the start times of one message, received now, in this machine's time, with 0 for a server without a
// reported start. A start time that was reported before keeps its translation. A new one was not known at the last
// contact, so its translation is never earlier than that contact, whatever the other clock shows.
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
	previous, known := t.translations[s.ID]
	if known && previous.remote == s.RemoteTime {
		return previous.local
	}
	local := min(s.RemoteTime-t.minOffset, now)
	if t.contacted {
		local = max(local, min(t.lastContact, now))
	}
	local = max(local, 1) // 0 means that no start was reported
	if t.translations == nil {
		t.translations = map[string]translation{}
	}
	t.translations[s.ID] = translation{remote: s.RemoteTime, local: local}
	return local
}

// Prune removes the translations of servers that are no longer listed.
func (t *Translator) Prune(listed func(id string) bool) {
	for id := range t.translations {
		if !listed(id) {
			delete(t.translations, id)
		}
	}
}
