package core

import (
	"context"
	"testing"
	"time"

	"rainpulley/control"
)

// The tests of this file have an id used again by a later request. What concerns the earlier one leaves that alone.

// failsFirst is a module that fails the first request at once and sends on those behind it.
func failFirstRequest() deciderFunc {
	later := false
	return func(now time.Duration, e control.Event) []control.Action {
		if r, ok := e.(control.Request); ok && !later {
			later = true
			return []control.Action{control.Fail{ID: r.ID}}
		}
		return sendToA(nil)(now, e)
	}
}

// TestLeaveOfEarlierRequest: the leave of a request comes late, when another one is open under its id.
func TestViewerLeftOfEarlierRequest(t *testing.T) {
	release := make(chan struct{})
	h := startHarness(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} }, failFirstRequest())
	earlier := h.submit(t, "x", time.Minute)
	earlier.waitClosed()
	later := h.submit(t, "x", time.Minute)
	h.ViewerLeft("x", earlier)
	for h.QueueLen() > 0 {
		time.Sleep(time.Millisecond)
	}
	h.loggedEvents() // by now the owner has seen what it took
	close(release)
	if a := later.waitAnswer(); a.Kind != Playing {
		t.Errorf("answer %+v", a)
	}
}

// TestBackstopOfEarlierRequest: the deadline of a request comes when another one is open under its id, which has more time.
func TestBackstopOfEarlierRequest(t *testing.T) {
	release := make(chan struct{})
	h := startHarness(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} }, failFirstRequest())
	earlier := h.submit(t, "x", 20*time.Millisecond)
	earlier.waitClosed()
	later := h.submit(t, "x", time.Minute)
	time.Sleep(100 * time.Millisecond)
	close(release)
	if a := later.waitAnswer(); a.Kind != Playing || h.Stats.Overdue.Load() != 0 {
		t.Errorf("answer %+v, %d overdue", a, h.Stats.Overdue.Load())
	}
}
