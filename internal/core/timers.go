package core

import (
	"time"

	"rainpulley/control"
)

// timer is one that the module set, or the backstop of a request's answer.
type timer struct {
	at       time.Duration
	order    uint64
	label    string
	backstop *request // whose answer is due; nil: a timer of the module
}

// timerHeap keeps timers by time, those of one time in the order in which they were set.
type timerHeap struct {
	entries   []timer
	lastOrder uint64
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
		up := (i - 1) / 2
		if !h.less(i, up) {
			break
		}
		h.entries[i], h.entries[up] = h.entries[up], h.entries[i]
		i = up
	}
}

func (h *timerHeap) pop() timer {
	t, last := h.entries[0], len(h.entries)-1
	h.entries[0] = h.entries[last]
	h.entries = h.entries[:last]
	for i := 0; ; {
		low := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h.less(c, low) {
				low = c
			}
		}
		if low == i {
			return t
		}
		h.entries[i], h.entries[low] = h.entries[low], h.entries[i]
		i = low
	}
}

func (o *Orchestrator) untilNextTimer() time.Duration {
	if len(o.timers.entries) == 0 {
		return time.Hour
	}
	return max(o.timers.entries[0].at-o.Now(), 0)
}

// fire tells timers that are due. The backstop answers a request of which the module said nothing in
// time: a viewer that waits for ever is worse than one that is told of a failure.
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
