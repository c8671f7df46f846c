package core

import (
	"cmp"
	"slices"
	"time"

	"rainpulley/control"
)

// timer is a timer of the module, or the backstop timer of a request.
type timer struct {
	at       time.Duration
	order    uint64
	label    string
	backstop *request // the request whose answer is due; nil for a timer of the module
}

// timerHeap is a heap of timers by time; timers of the same time fire in the order in which they were set.
type timerHeap struct {
	entries   []timer
	lastOrder uint64
	obsolete  int // backstop timers of requests that are over
}

// isObsolete reports whether the timer is the backstop of a request that is over.
func (t *timer) isObsolete() bool { return t.backstop != nil && t.backstop.over }

// minObsolete is how many obsolete timers are kept before they are removed.
const minObsolete = 256

// addObsolete records that a request with a backstop timer is over. Obsolete timers are removed once they are the
// majority: a viewer may wait for minutes, and a timer holds its request.
func (h *timerHeap) addObsolete() {
	if h.obsolete++; h.obsolete < minObsolete || h.obsolete <= len(h.entries)/2 {
		return
	}
	h.entries = slices.DeleteFunc(h.entries, func(t timer) bool { return t.isObsolete() })
	slices.SortFunc(h.entries, func(a, b timer) int { // sorted entries are a heap
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	h.obsolete = 0
}

func (h *timerHeap) less(i, j int) bool {
	a, b := &h.entries[i], &h.entries[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (h *timerHeap) push(t timer) {
	h.lastOrder++
	t.order = h.lastOrder
	h.entries = append(h.entries, t)
	for i := len(h.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			break
		}
		h.entries[i], h.entries[parent] = h.entries[parent], h.entries[i]
		i = parent
	}
}

func (h *timerHeap) pop() timer {
	t, last := h.entries[0], len(h.entries)-1
	h.entries[0], h.entries[last] = h.entries[last], timer{}
	h.entries = h.entries[:last]
	if t.isObsolete() {
		h.obsolete--
	}
	for i := 0; ; {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if h.less(child, first) {
				first = child
			}
		}
		if first == i {
			return t
		}
		h.entries[i], h.entries[first] = h.entries[first], h.entries[i]
		i = first
	}
}

// untilNextTimer returns the time until the next timer is due, and an hour if there is none.
func (o *Orchestrator) untilNextTimer() time.Duration {
	if len(o.timers.entries) == 0 {
		return time.Hour
	}
	return max(o.timers.entries[0].at-o.Now(), 0)
}

// fireTimers handles the timers that are due. Those of the module become events. A backstop timer fails a request that
// the module has not answered in time, because a reported failure is better for the viewer than an endless wait.
func (o *Orchestrator) fireTimers() {
	now := o.Now()
	for len(o.timers.entries) > 0 && o.timers.entries[0].at <= now {
		t := o.timers.pop()
		if t.backstop == nil {
			o.addToBatch(control.TimerFired{Label: t.label})
			continue
		}
		if r := t.backstop; o.openRequests[r.ID] == r && !r.answered && !r.viewerLeft {
			o.Stats.Overdue.Add(1)
			o.Log.Error("answer overdue", "session", r.ID)
			o.answer(r, Answer{Kind: Failed}, byBackstop)
			if r.inFlight {
				r.cancelAttempt(errCancelled)
			}
			o.addToBatch(control.ViewerLeft{ID: r.ID})
		}
	}
}
