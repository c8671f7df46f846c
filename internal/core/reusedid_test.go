package core

import (
	"context"
	"testing"
	"time"

	"rainpulley/control"
)

// In the tests of this file, a later request reuses the id of an earlier one. Late inputs for the earlier request must
// not affect the later one.

// failFirstRequest returns a module that fails the first request at once and sends the later ones to server a.
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

// TestViewerLeftOfEarlierRequest checks a report that the viewer of the earlier request left, which arrives when the
// later request is already open.
func TestViewerLeftOfEarlierRequest(t *testing.T) {
	release := make(chan struct{})
	h := startHarness(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} },
		failFirstRequest())
	earlier := h.submit(t, "x", time.Minute)
	earlier.waitClosed()
	later := h.submit(t, "x", time.Minute)
	h.ViewerLeft("x", earlier)
	for h.QueueLen() > 0 {
		time.Sleep(time.Millisecond)
	}
	h.loggedEvents() // after this the orchestrator has handled the report
	close(release)
	if a := later.waitAnswer(); a.Kind != Playing {
		t.Errorf("answer %+v", a)
	}
}

// TestBackstopOfEarlierRequest checks the backstop timer of the earlier request, which fires when the later request is
// open and its deadline is still far away.
func TestBackstopOfEarlierRequest(t *testing.T) {
	release := make(chan struct{})
	h := startHarness(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} },
		failFirstRequest())
	earlier := h.submit(t, "x", 20*time.Millisecond)
	earlier.waitClosed()
	later := h.submit(t, "x", time.Minute)
	time.Sleep(100 * time.Millisecond)
	close(release)
	if a := later.waitAnswer(); a.Kind != Playing || h.Stats.Overdue.Load() != 0 {
		t.Errorf("answer %+v, %d overdue", a, h.Stats.Overdue.Load())
	}
}
