package core

import (
	"context"
	"strconv"
	"testing"
	"time"

	"rainpulley/control"
)

func TestPlaysAndEnds(t *testing.T) {
	r := startHarness(t, 5, setUpServes, sendToA(nil))
	for _, how := range []string{"viewer left", "played out", "server lost"} {
		e := r.submit(t, how, time.Second)
		if a := e.waitAnswer(); a.Kind != Playing || a.Server != "a" || a.Rung != 2 {
			t.Fatalf("answer %+v", a)
		}
		want := "ended cancelled false"
		switch how {
		case "viewer left":
			r.ViewerLeft(how, e)
		case "played out":
			r.SessionFinished(how)
			want = "ended served false"
		case "server lost":
			r.SessionsLost("b", []string{how}) // another server's loss is not its own
			r.SessionsLost("a", []string{how})
			want = "ended reset false"
		}
		e.waitClosed()
		if len(e.changes) != 1 || e.changes[0] != want {
			t.Errorf("%s: heard %v, want %s", how, e.changes, want)
		}
	}
	if n := len(r.executor.released); n != 2 {
		t.Errorf("released %v: a lost server needs no release, the others do", r.executor.released)
	}
	if n := r.Stats.Open.Load(); n != 0 {
		t.Errorf("%d requests still open", n)
	}
}

// An attempt that times out is closed before the next goes out, and the server is told to let it go.
func TestTimeOutThenElsewhere(t *testing.T) {
	setUp := func(ctx context.Context, a Attempt) Result {
		if a.Server == "a" {
			return setUpHangs(ctx, a)
		}
		return Result{Outcome: control.Served}
	}
	r := startHarness(t, 5, setUp, sendToA(func(e control.AttemptEnded) []control.Action {
		return []control.Action{control.Send{ID: e.ID, Server: "b"}}
	}))
	e := r.submit(t, "x", time.Second)
	if a := e.waitAnswer(); a.Kind != Playing || a.Server != "b" || a.Attempt != 1 {
		t.Fatalf("answer %+v; %s", a, r.loggedEvents())
	}
	if got := r.loggedEvents(); got != "ended a#0 timed out final=false; started b" {
		t.Error(got)
	}
	if len(r.executor.released) != 1 || r.executor.released[0] != "x@a#0" {
		t.Errorf("released %v", r.executor.released)
	}
}

// The module's mistakes do not reach servers: a second attempt beside one that is out, one too many, one
// after the answer, and unknown requests end as moot.
func TestMoot(t *testing.T) {
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
	r := startHarness(t, 1, setUpHangs, decide)
	e := r.submit(t, "x", time.Second)
	if a := e.waitAnswer(); a.Kind != Failed {
		t.Fatalf("answer %+v", a)
	}
	e.waitClosed()
	stepped := make(chan struct{})
	r.Inspect(func() { close(stepped) }) // the step that closed the request goes on to its last action
	<-stepped
	if n := r.Stats.NotSent.Load(); n != 4 {
		t.Errorf("%d moot, want 4; %s", n, r.loggedEvents())
	}
	if n := r.Stats.Attempts.Load(); n != 1 {
		t.Errorf("%d attempts went out", n)
	}
}

// A viewer that leaves while the set-up is out: the answer that crosses ends as cancelled, and is released.
func TestLeaveCrossesAnswer(t *testing.T) {
	release := make(chan struct{})
	r := startHarness(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} }, sendToA(nil))
	e := r.submit(t, "x", time.Second)
	for r.Stats.Attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.ViewerLeft("x", e)
	close(release)
	e.waitClosed()
	if len(e.answers) != 0 || r.loggedEvents() != "left; ended a#0 cancelled final=true" {
		t.Errorf("answers %v; %s", e.answers, r.loggedEvents())
	}
	if len(r.executor.released) != 1 {
		t.Errorf("released %v", r.executor.released)
	}
}

func TestCancel(t *testing.T) {
	r := startHarness(t, 5, setUpHangs, func(_ time.Duration, e control.Event) []control.Action {
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
	e := r.submit(t, "x", 5*time.Second)
	if a := e.waitAnswer(); a.Kind != Refused || a.RetryAfter != time.Second {
		t.Errorf("answer %+v; %s", a, r.loggedEvents())
	}
	if got := r.loggedEvents(); got != "timer x; ended a#0 cancelled final=false" {
		t.Error(got)
	}
}

// A module that says nothing is covered by the backstop, within the slack.
func TestSilentModule(t *testing.T) {
	r := startHarness(t, 5, setUpServes, func(time.Duration, control.Event) []control.Action { return nil })
	begin := time.Now()
	e := r.submit(t, "x", 30*time.Millisecond)
	if a := e.waitAnswer(); a.Kind != Failed {
		t.Errorf("answer %+v", a)
	}
	if took := time.Since(begin); took < 30*time.Millisecond {
		t.Errorf("answered after %v, before the deadline", took)
	}
	e.waitClosed()
	if r.Stats.Overdue.Load() != 1 {
		t.Error("not counted as overdue")
	}
}

// TestLeaveFollowsRequest: a viewer that leaves at once is never overtaken by its own request.
func TestLeaveFollowsRequest(t *testing.T) {
	r := startHarness(t, 5, setUpHangs, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"}}
		case control.ViewerLeft:
			return []control.Action{control.Cancel{ID: e.ID}}
		}
		return nil
	})
	for i := range 200 {
		e := r.submit(t, strconv.Itoa(i), time.Minute)
		r.ViewerLeft(strconv.Itoa(i), e)
		e.waitClosed()
	}
}

// TestServerEnds: what a server says of a session ahead of its set-up's end is heard after it, and an end by the
// server is not released there again.
func TestServerEnds(t *testing.T) {
	var r *harness
	ready := make(chan struct{})
	r = startHarness(t, 5, func(context.Context, Attempt) Result {
		<-ready
		r.AddNote(control.Note{ID: "x", Server: "a", Kind: control.NoteRung, Value: 2})
		r.EndedByServer("x", "b", control.Reset, nil) // another server's word counts for nothing
		r.EndedByServer("x", "a", control.Served, nil)
		return Result{Outcome: control.Served}
	}, func(_ time.Duration, e control.Event) []control.Action {
		if e, ok := e.(control.Request); ok && !e.Playing {
			return []control.Action{control.Send{ID: e.ID, Server: "a"}}
		}
		return nil
	})
	e := r.submit(t, "x", 5*time.Second)
	close(ready)
	e.waitClosed()
	if got := r.loggedEvents(); got != "started a; ended a#0 served final=true" {
		t.Error(got)
	}
	for range 2 { // once more under the same id: it counts once
		r.Adopt(control.Request{ID: "y", Server: "a"}, -1, newRecordingListener(t))
	}
	if r.loggedEvents(); r.Stats.Open.Load() != 1 {
		t.Errorf("%d open", r.Stats.Open.Load())
	}
	r.executor.mu.Lock()
	defer r.executor.mu.Unlock()
	if len(r.executor.released) != 0 {
		t.Errorf("released %v", r.executor.released)
	}
}
