package core

import (
	"context"
	"strconv"
	"testing"
	"time"

	"rainpulley/control"
)

func TestSessionStartAndEnd(t *testing.T) {
	h := startHarness(t, 5, setUpServes, sendToA(nil))
	for _, how := range []string{"viewer left", "played out", "server lost"} {
		e := h.submit(t, how, time.Second)
		if a := e.waitAnswer(); a.Kind != Playing || a.Server != "a" || a.Rung != 2 {
			t.Fatalf("answer %+v", a)
		}
		want := "ended cancelled false"
		switch how {
		case "viewer left":
			h.ViewerLeft(how, e)
		case "played out":
			h.SessionFinished(how)
			want = "ended served false"
		case "server lost":
			h.SessionsLost("b", []string{how}) // another server's loss is not its own
			h.SessionsLost("a", []string{how})
			want = "ended reset false"
		}
		e.waitClosed()
		if len(e.changes) != 1 || e.changes[0] != want {
			t.Errorf("%s: heard %v, want %s", how, e.changes, want)
		}
	}
	if n := len(h.executor.released); n != 2 {
		t.Errorf("released %v: a lost server needs no release, the others do", h.executor.released)
	}
	if n := h.Stats.Open.Load(); n != 0 {
		t.Errorf("%d requests still open", n)
	}
}

// An attempt that times out is closed before the next goes out, and the server is told to let it go.
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
	e := h.submit(t, "x", time.Second)
	if a := e.waitAnswer(); a.Kind != Playing || a.Server != "b" || a.Attempt != 1 {
		t.Fatalf("answer %+v; %s", a, h.loggedEvents())
	}
	if got := h.loggedEvents(); got != "ended a#0 timed out final=false; started b" {
		t.Error(got)
	}
	if len(h.executor.released) != 1 || h.executor.released[0] != "x@a#0" {
		t.Errorf("released %v", h.executor.released)
	}
}

// The module's mistakes do not reach servers: a second attempt beside one that is out, one too many, one
// after the answer, and unknown requests end as moot.
func TestInvalidAttemptsNotSent(t *testing.T) {
	decide := func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a", Timeout: 30 * time.Millisecond}, control.Send{ID: e.ID, Server: "b"},
				control.Send{ID: "nobody", Server: "c"}}
		case control.AttemptEnded:
			if e.Outcome == control.TimedOut {
				return []control.Action{control.Send{ID: e.ID, Server: "d"}, control.Fail{ID: e.ID}, control.Refuse{ID: e.ID},
					control.Send{ID: e.ID, Server: "e"}}
			}
		}
		return nil
	}
	h := startHarness(t, 1, setUpHangs, decide)
	e := h.submit(t, "x", time.Second)
	if a := e.waitAnswer(); a.Kind != Failed {
		t.Fatalf("answer %+v", a)
	}
	e.waitClosed()
	stepped := make(chan struct{})
	h.Inspect(func() { close(stepped) }) // the step that closed the request goes on to its last action
	<-stepped
	if n := h.Stats.NotSent.Load(); n != 4 {
		t.Errorf("%d moot, want 4; %s", n, h.loggedEvents())
	}
	if n := h.Stats.Attempts.Load(); n != 1 {
		t.Errorf("%d attempts went out", n)
	}
}

// A viewer that leaves while the set-up is out: the answer that crosses ends as cancelled, and is released.
func TestViewerLeftDuringSetUp(t *testing.T) {
	release := make(chan struct{})
	h := startHarness(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} }, sendToA(nil))
	e := h.submit(t, "x", time.Second)
	for h.Stats.Attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.ViewerLeft("x", e)
	close(release)
	e.waitClosed()
	if len(e.answers) != 0 || h.loggedEvents() != "left; ended a#0 cancelled final=true" {
		t.Errorf("answers %v; %s", e.answers, h.loggedEvents())
	}
	if len(h.executor.released) != 1 {
		t.Errorf("released %v", h.executor.released)
	}
}

func TestCancelAttempt(t *testing.T) {
	h := startHarness(t, 5, setUpHangs, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"}, control.SetTimer{Delay: 20 * time.Millisecond, Label: e.ID}}
		case control.TimerFired:
			return []control.Action{control.Cancel{ID: e.Label, Attempt: 1}, control.Cancel{ID: e.Label}}
		case control.AttemptEnded:
			return []control.Action{control.Refuse{ID: e.ID, RetryAfter: time.Second}}
		}
		return nil
	})
	e := h.submit(t, "x", 5*time.Second)
	if a := e.waitAnswer(); a.Kind != Refused || a.RetryAfter != time.Second {
		t.Errorf("answer %+v; %s", a, h.loggedEvents())
	}
	if got := h.loggedEvents(); got != "timer x; ended a#0 cancelled final=false" {
		t.Error(got)
	}
}

// A module that says nothing is covered by the backstop, within the slack.
func TestBackstopFailsUnansweredRequest(t *testing.T) {
	h := startHarness(t, 5, setUpServes, func(time.Duration, control.Event) []control.Action { return nil })
	start := time.Now()
	e := h.submit(t, "x", 30*time.Millisecond)
	if a := e.waitAnswer(); a.Kind != Failed {
		t.Errorf("answer %+v", a)
	}
	if took := time.Since(start); took < 30*time.Millisecond {
		t.Errorf("answered after %v, before the deadline", took)
	}
	e.waitClosed()
	if h.Stats.Overdue.Load() != 1 {
		t.Error("not counted as overdue")
	}
}

// TestLeaveFollowsRequest: a viewer that leaves at once is never overtaken by its own request.
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
		e := h.submit(t, strconv.Itoa(i), time.Minute)
		h.ViewerLeft(strconv.Itoa(i), e)
		e.waitClosed()
	}
}

// TestServerEnds: what a server says of a session ahead of its set-up's end is heard after it, and an end by the
// server is not released there again.
func TestSessionEndBeforeSetUpResult(t *testing.T) {
	var h *harness
	ready := make(chan struct{})
	h = startHarness(t, 5, func(context.Context, Attempt) Result {
		<-ready
		h.AddNote(control.Note{ID: "x", Server: "a", Kind: control.NoteRung, Value: 2})
		h.EndedByServer("x", "b", control.Reset, nil) // another server's word counts for nothing
		h.EndedByServer("x", "a", control.Served, nil)
		return Result{Outcome: control.Served}
	}, func(_ time.Duration, e control.Event) []control.Action {
		if e, ok := e.(control.Request); ok && !e.Playing {
			return []control.Action{control.Send{ID: e.ID, Server: "a"}}
		}
		return nil
	})
	e := h.submit(t, "x", 5*time.Second)
	close(ready)
	e.waitClosed()
	if got := h.loggedEvents(); got != "started a; ended a#0 served final=true" {
		t.Error(got)
	}
	for range 2 { // once more under the same id: it counts once
		h.Adopt(control.Request{ID: "y", Server: "a"}, -1, newRecordingListener(t))
	}
	if h.loggedEvents(); h.Stats.Open.Load() != 1 {
		t.Errorf("%d open", h.Stats.Open.Load())
	}
	h.executor.mu.Lock()
	defer h.executor.mu.Unlock()
	if len(h.executor.released) != 0 {
		t.Errorf("released %v", h.executor.released)
	}
}
