package core

import (
	"context"
	"strconv"
	"testing"
	"time"

	"rainpulley/control"
)

// TestSessionStartAndEnd checks a session that starts and then ends because its viewer leaves, because it has played
// out or because its server is lost.
func TestSessionStartAndEnd(t *testing.T) {
	h := startHarness(t, 5, setUpServes, sendToA(nil))
	for _, how := range []string{"viewer left", "played out", "server lost"} {
		l := h.submit(t, how, time.Second)
		if a := l.waitAnswer(); a.Kind != Playing || a.Server != "a" || a.Rung != 2 {
			t.Fatalf("answer %+v", a)
		}
		want := "ended cancelled false"
		switch how {
		case "viewer left":
			h.ViewerLeft(how, l)
		case "played out":
			h.SessionFinished(how)
			want = "ended served false"
		case "server lost":
			h.SessionsLost("b", []string{how}) // another server: no effect
			h.SessionsLost("a", []string{how})
			want = "ended reset false"
		}
		l.waitClosed()
		if len(l.changes) != 1 || l.changes[0] != want {
			t.Errorf("%s: the listener received %v, want only %s", how, l.changes, want)
		}
	}
	if n := len(h.executor.released); n != 2 {
		t.Errorf("released %v, want 2 releases: all sessions but that of the lost server", h.executor.released)
	}
	if n := h.Stats.Open.Load(); n != 0 {
		t.Errorf("%d requests still open", n)
	}
}

// TestTimeoutThenAnotherServer checks that an attempt that times out ends before the next one is sent, and that it is
// released on its server.
func TestTimeoutThenAnotherServer(t *testing.T) {
	setUp := func(ctx context.Context, a Attempt) Result {
		if a.Server == "a" {
			return setUpHangs(ctx, a)
		}
		return Result{Outcome: control.Served}
	}
	h := startHarness(t, 5, setUp, sendToA(func(e control.AttemptEnded) []control.Action {
		return []control.Action{control.Send{ID: e.ID, Server: "b"}}
	}))
	l := h.submit(t, "x", time.Second)
	if a := l.waitAnswer(); a.Kind != Playing || a.Server != "b" || a.Attempt != 1 {
		t.Fatalf("answer %+v; %s", a, h.loggedEvents())
	}
	if got := h.loggedEvents(); got != "ended a#0 timed out final=false; started b" {
		t.Error(got)
	}
	if len(h.executor.released) != 1 || h.executor.released[0] != "x@a#0" {
		t.Errorf("released %v", h.executor.released)
	}
}

// TestInvalidAttemptsNotSent checks that invalid attempts of the module are not sent to servers: a second attempt while
// one is in flight, one more than MaxAttempts, one after the answer, and one of an unknown request.
func TestInvalidAttemptsNotSent(t *testing.T) {
	decide := func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a", Timeout: 30 * time.Millisecond},
				control.Send{ID: e.ID, Server: "b"}, control.Send{ID: "nobody", Server: "c"}}
		case control.AttemptEnded:
			if e.Outcome == control.TimedOut {
				return []control.Action{control.Send{ID: e.ID, Server: "d"}, control.Fail{ID: e.ID}, control.Refuse{ID: e.ID},
					control.Send{ID: e.ID, Server: "e"}}
			}
		}
		return nil
	}
	h := startHarness(t, 1, setUpHangs, decide)
	l := h.submit(t, "x", time.Second)
	if a := l.waitAnswer(); a.Kind != Failed {
		t.Fatalf("answer %+v", a)
	}
	l.waitClosed()
	stepped := make(chan struct{})
	h.Inspect(func() { close(stepped) }) // runs after the step that closed the request, and so after its last action
	<-stepped
	if n := h.Stats.NotSent.Load(); n != 4 {
		t.Errorf("%d attempts not sent, want 4; events: %s", n, h.loggedEvents())
	}
	if n := h.Stats.Attempts.Load(); n != 1 {
		t.Errorf("%d attempts sent, want 1", n)
	}
}

// TestViewerLeftDuringSetUp checks a viewer that leaves while a set-up is in flight: the server's answer ends the
// attempt as cancelled, and the session is released.
func TestViewerLeftDuringSetUp(t *testing.T) {
	release := make(chan struct{})
	h := startHarness(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} },
		sendToA(nil))
	l := h.submit(t, "x", time.Second)
	for h.Stats.Attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.ViewerLeft("x", l)
	h.waitLogged(t, "left") // the server's answer is queued after the leave was handled
	close(release)
	l.waitClosed()
	if len(l.answers) != 0 || h.loggedEvents() != "left; ended a#0 cancelled final=true" {
		t.Errorf("answers %v, want none; events: %s", l.answers, h.loggedEvents())
	}
	if len(h.executor.released) != 1 {
		t.Errorf("released %v", h.executor.released)
	}
}

// TestViewerLeftAsAnswerIsQueued checks the other order: the server's answer is handled first, and the leave that was
// queued before it then ends the session, which is released.
func TestViewerLeftAsAnswerIsQueued(t *testing.T) {
	release, unblock := make(chan struct{}), make(chan struct{})
	h := startHarness(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} },
		sendToA(nil))
	l := h.submit(t, "x", time.Second)
	for h.Stats.Attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.Inspect(func() { <-unblock })
	for len(h.eventQueue) > 0 { // until the orchestrator is blocked
		time.Sleep(time.Millisecond)
	}
	h.ViewerLeft("x", l)
	close(release)
	for len(h.eventQueue) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(unblock)
	l.waitClosed()
	if got := h.loggedEvents(); len(l.answers) != 1 || l.answers[0].Kind != Playing ||
		got != "started a; ended a#0 cancelled final=true" {
		t.Errorf("answers %v; events: %s", l.answers, got)
	}
	if len(h.executor.released) != 1 {
		t.Errorf("released %v", h.executor.released)
	}
}

// TestCancelAttempt checks that a Cancel ends only the attempt that it names.
func TestCancelAttempt(t *testing.T) {
	h := startHarness(t, 5, setUpHangs, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"},
				control.SetTimer{Delay: 20 * time.Millisecond, Label: e.ID}}
		case control.TimerFired:
			return []control.Action{control.Cancel{ID: e.Label, Attempt: 1}, control.Cancel{ID: e.Label}}
		case control.AttemptEnded:
			return []control.Action{control.Refuse{ID: e.ID, RetryAfter: time.Second}}
		}
		return nil
	})
	l := h.submit(t, "x", 5*time.Second)
	if a := l.waitAnswer(); a.Kind != Refused || a.RetryAfter != time.Second {
		t.Errorf("answer %+v; %s", a, h.loggedEvents())
	}
	if got := h.loggedEvents(); got != "timer x; ended a#0 cancelled final=false" {
		t.Error(got)
	}
}

// TestBackstopFailsUnansweredRequest checks that the backstop timer fails a request that the module does not answer,
// and not before its deadline.
func TestBackstopFailsUnansweredRequest(t *testing.T) {
	h := startHarness(t, 5, setUpServes, func(time.Duration, control.Event) []control.Action { return nil })
	start := time.Now()
	l := h.submit(t, "x", 30*time.Millisecond)
	if a := l.waitAnswer(); a.Kind != Failed {
		t.Errorf("answer %+v", a)
	}
	if took := time.Since(start); took < 30*time.Millisecond {
		t.Errorf("answered after %v, before the deadline", took)
	}
	l.waitClosed()
	if h.Stats.Overdue.Load() != 1 {
		t.Error("the answer was not counted as overdue")
	}
}

// TestViewerLeftHandledAfterRequest checks that the report of a viewer that leaves right after its request is always
// handled after that request.
func TestViewerLeftHandledAfterRequest(t *testing.T) {
	h := startHarness(t, 5, setUpHangs, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"}}
		case control.ViewerLeft:
			return []control.Action{control.Cancel{ID: e.ID}}
		}
		return nil
	})
	for i := range 200 {
		l := h.submit(t, strconv.Itoa(i), time.Minute)
		h.ViewerLeft(strconv.Itoa(i), l)
		l.waitClosed()
	}
}

// TestSessionEndBeforeSetUpResult checks that notes and an end of a session that a server reports before the result of
// the set-up are handled after it, and that a session that its server ended is not released there.
func TestSessionEndBeforeSetUpResult(t *testing.T) {
	var h *harness
	ready := make(chan struct{})
	h = startHarness(t, 5, func(context.Context, Attempt) Result {
		<-ready
		h.AddNote(control.Note{ID: "x", Server: "a", Kind: control.NoteRung, Value: 2})
		h.EndedByServer("x", "b", control.Reset, nil) // another server: no effect
		h.EndedByServer("x", "a", control.Served, nil)
		return Result{Outcome: control.Served}
	}, func(_ time.Duration, e control.Event) []control.Action {
		if e, ok := e.(control.Request); ok && !e.Playing {
			return []control.Action{control.Send{ID: e.ID, Server: "a"}}
		}
		return nil
	})
	l := h.submit(t, "x", 5*time.Second)
	close(ready)
	l.waitClosed()
	if got := h.loggedEvents(); got != "started a; ended a#0 served final=true" {
		t.Error(got)
	}
	for range 2 { // the second session with the same id is ignored
		h.Adopt(control.Request{ID: "y", Server: "a"}, -1, newRecordingListener(t))
	}
	if h.loggedEvents(); h.Stats.Open.Load() != 1 {
		t.Errorf("%d open requests, want 1", h.Stats.Open.Load())
	}
	h.executor.mu.Lock()
	defer h.executor.mu.Unlock()
	if len(h.executor.released) != 0 {
		t.Errorf("released %v", h.executor.released)
	}
}
