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
	list []timer
	set  uint64
}

func (h *timerHeap) less(i, j int) bool {
	a, b := &h.list[i], &h.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (h *timerHeap) push(t timer) {
	h.set++
	t.order = h.set
	h.list = append(h.list, t)
	for i := len(h.list) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(i, up) {
			break
		}
		h.list[i], h.list[up] = h.list[up], h.list[i]
		i = up
	}
}

func (h *timerHeap) pop() timer {
	t, last := h.list[0], len(h.list)-1
	h.list[0] = h.list[last]
	h.list = h.list[:last]
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
		h.list[i], h.list[low] = h.list[low], h.list[i]
		i = low
	}
}

func (o *Owner) untilNext() time.Duration {
	if len(o.timers.list) == 0 {
		return time.Hour
	}
	return max(o.timers.list[0].at-o.Now(), 0)
}

// fire tells timers that are due. The backstop answers a request of which the module said nothing in
// time: a viewer that waits for ever is worse than one that is told of a failure.
func (o *Owner) fire() {
	now := o.Now()
	for len(o.timers.list) > 0 && o.timers.list[0].at <= now {
		t := o.timers.pop()
		if t.backstop == nil {
			o.tell(control.TimerFired{Label: t.label})
			continue
		}
		if r := t.backstop; o.open[r.ID] == r && !r.answered && !r.gone {
			o.Stats.Overdue.Add(1)
			o.Log.Error("answer overdue", "session", r.ID)
			o.answer(r, Answer{Kind: Failed}, byBackstop)
			if r.out {
				r.cancel(errCancelled)
			}
			o.tell(control.ViewerLeft{ID: r.ID})
		}
	}
}
