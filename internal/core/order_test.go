package core

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"rainpulley/control"
)

// TestRequestBehindEvents: a request is decided on with every event that was there before it, however the owner's
// select picks. A request that overtook the first list was refused for want of servers.
func TestRequestHandledAfterQueuedEvents(t *testing.T) {
	for i := range 200 {
		handled := ""
		o := New(Options{QueueSize: 4, Log: slog.New(slog.DiscardHandler), Executor: &fakeExecutor{t: t, inFlight: map[string]int{}},
			Now: func() time.Duration { return 0 },
			Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
				switch e := e.(type) {
				case control.ListUpdate:
					handled += "list "
				case control.Request:
					handled += "request"
					return []control.Action{control.Refuse{ID: e.ID}}
				}
				return nil
			})})
		o.AddEvent(control.ListUpdate{Whole: true})
		o.AddEvent(control.ListUpdate{})
		e := newRecordingListener(t)
		o.Submit(control.Request{ID: strconv.Itoa(i), GiveUpAt: time.Hour}, e)
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { o.Run(ctx); close(stopped) }()
		e.waitAnswer()
		stop()
		<-stopped
		if handled != "list list request" {
			t.Fatalf("run %d: told %q", i, handled)
		}
	}
}

// TestRequestCrossesEnd: a request handed in while the owner ends is answered or not taken; none is taken and then
// forgotten behind the last look at the queue.
func TestRequestSubmittedDuringShutdown(t *testing.T) {
	for range 300 {
		o := New(Options{QueueSize: 4, Log: slog.New(slog.DiscardHandler), Executor: &fakeExecutor{t: t, inFlight: map[string]int{}},
			Now:     func() time.Duration { return 0 },
			Decider: deciderFunc(func(time.Duration, control.Event) []control.Action { return nil })})
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { o.Run(ctx); close(stopped) }()
		e, accepted := newRecordingListener(t), make(chan bool)
		go func() { accepted <- o.Submit(control.Request{ID: "x", GiveUpAt: time.Hour}, e) }()
		stop()
		if <-accepted {
			e.waitAnswer()
		}
		<-stopped
		if o.Submit(control.Request{ID: "y", GiveUpAt: time.Hour}, e) {
			t.Fatal("taken by an owner that has ended")
		}
	}
}

// TestLeaveNeverWaits: with the queue full, a reader that tells of a leave goes on, and the leave still comes behind
// its request.
func TestViewerLeftDoesNotBlock(t *testing.T) {
	handled := make(chan string, 16)
	o := New(Options{QueueSize: 1, Log: slog.New(slog.DiscardHandler), Executor: &fakeExecutor{t: t, inFlight: map[string]int{}},
		Now: func() time.Duration { return 0 },
		Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
			switch e := e.(type) {
			case control.Request:
				handled <- "request " + e.ID
			case control.ViewerLeft:
				handled <- "left " + e.ID
			}
			return nil
		})})
	e := newRecordingListener(t)
	o.Submit(control.Request{ID: "x", GiveUpAt: time.Hour}, e) // fills it: nobody owns the module yet
	o.ViewerLeft("x", e)                                       // would wait for ever
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { o.Run(ctx); close(stopped) }()
	for _, want := range []string{"request x", "left x"} {
		select {
		case got := <-handled:
			if got != want {
				t.Errorf("told %q, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("not told %q", want)
		}
	}
	stop()
	<-stopped
}

// TestLostCrossesStart: a server is found lost after its answer and ahead of the session's start in the queue; the
// session starts and ends at once, instead of standing for ever. The loss of another server changes nothing.
func TestSessionLostBeforeStart(t *testing.T) {
	var h *harness
	h = startHarness(t, 5, func(context.Context, Attempt) Result {
		h.SessionsLost("b", []string{"x"})
		h.SessionsLost("a", []string{"x"})
		return Result{Outcome: control.Served}
	}, func(_ time.Duration, e control.Event) []control.Action {
		if e, ok := e.(control.Request); ok {
			return []control.Action{control.Send{ID: e.ID, Server: "a"}}
		}
		return nil
	})
	e := h.submit(t, "x", 5*time.Second)
	e.waitClosed()
	if got := h.loggedEvents(); got != "started a; ended a#0 reset final=true" {
		t.Error(got)
	}
	e = h.submit(t, "y", 5*time.Second) // the other order: it plays when its server is lost
	e.waitAnswer()
	h.SessionsLost("a", []string{"y"})
	e.waitClosed()
}

// TestEndOfSessionCrossesEnd: a server's release waits as the owner is told to end; it is passed on.
func TestSessionEndQueuedAtShutdown(t *testing.T) {
	for range 50 { // a select that finds both picks either
		blocked, unblock := make(chan struct{}), make(chan struct{})
		o := New(Options{QueueSize: 4, Log: slog.New(slog.DiscardHandler), Executor: &fakeExecutor{t: t, inFlight: map[string]int{}},
			Now: func() time.Duration { return 0 },
			Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
				if _, ok := e.(control.ProbeResult); ok {
					close(blocked)
					<-unblock
				}
				return nil
			})})
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { o.Run(ctx); close(stopped) }()
		e := newRecordingListener(t)
		o.Adopt(control.Request{ID: "x", Server: "s"}, 0, e)
		o.AddEvent(control.ProbeResult{})
		<-blocked
		o.EndedByServer("x", "s", control.Served, nil)
		stop()
		close(unblock)
		<-stopped
		if len(e.changes) != 1 || e.changes[0] != "ended served false" {
			t.Fatalf("heard %q", e.changes)
		}
	}
}

// TestFinishRequests: what waits is answered, what comes later is refused, and a session that plays still ends.
func TestFinishRequests(t *testing.T) {
	o := New(Options{QueueSize: 4, Log: slog.New(slog.DiscardHandler), Executor: &fakeExecutor{t: t, inFlight: map[string]int{}},
		Now:     func() time.Duration { return 0 },
		Decider: deciderFunc(func(time.Duration, control.Event) []control.Action { return nil })})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { o.Run(ctx); close(stopped) }()
	playing, waiting := newRecordingListener(t), newRecordingListener(t)
	o.Adopt(control.Request{ID: "x", Server: "s"}, 0, playing)
	if !o.Submit(control.Request{ID: "y", GiveUpAt: time.Hour}, waiting) {
		t.Fatal("not taken")
	}
	o.FinishRequests()
	if a := waiting.waitAnswer(); a.Kind != Failed {
		t.Errorf("answered %v", a.Kind)
	}
	if o.Submit(control.Request{ID: "z", GiveUpAt: time.Hour}, newRecordingListener(t)) {
		t.Error("a request is taken that nobody will answer")
	}
	o.EndedByServer("x", "s", control.Served, nil)
	<-playing.closed
	stop()
	<-stopped
	o.FinishRequests() // of an owner that has ended
}

// TestEndBehindManyNotes: a server says many notes of a session and then its end, all ahead of the end of its set-up. Notes
// may be dropped, the end is not: the session would stand for ever.
func TestSessionEndKeptAfterManyEarlyNotes(t *testing.T) {
	sent, answered := make(chan struct{}), make(chan struct{})
	c := &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: func(context.Context, Attempt) Result {
		close(sent)
		<-answered
		return Result{Outcome: control.Served, Setup: "it plays"}
	}}
	o := New(Options{QueueSize: 4, Log: slog.New(slog.DiscardHandler), Executor: c, Now: func() time.Duration { return 0 },
		Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
			if r, ok := e.(control.Request); ok {
				return []control.Action{control.Send{ID: r.ID, Server: "s"}}
			}
			return nil
		})})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { o.Run(ctx); close(stopped) }()
	defer func() { stop(); <-stopped }()
	e, queued := newRecordingListener(t), make(chan struct{})
	o.Submit(control.Request{ID: "x", GiveUpAt: time.Hour}, e)
	<-sent
	for i := range 10 * maxEarlyNotes {
		o.AddEvent(control.Note{ID: "x", Server: "s", Kind: control.NoteLink, Value: float64(i)})
	}
	o.EndedByServer("x", "s", control.Served, nil)
	o.Inspect(func() { close(queued) })
	<-queued
	close(answered)
	e.waitAnswer()
	select {
	case <-e.closed:
	case <-time.After(5 * time.Second):
		t.Error("the session stands on")
	}
}

// TestAnswerAheadOfPlacements: a server's answer comes while the first of many requests is decided on. It is passed on
// behind that one decision: a viewer whose answer waits for others' placements may leave without it.
func TestAnswerNotDelayedByQueuedRequests(t *testing.T) {
	const burst = 50
	sent, ready := make(chan struct{}), make(chan struct{})
	deciding, continueDeciding := make(chan struct{}), make(chan struct{})
	c := &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: func(context.Context, Attempt) Result {
		close(sent)
		<-ready
		return Result{Outcome: control.Served, Setup: "it plays"}
	}}
	decided := 0 // on the owner's goroutine
	o := New(Options{QueueSize: burst, Log: slog.New(slog.DiscardHandler), Executor: c, Now: func() time.Duration { return 0 },
		Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
			r, ok := e.(control.Request)
			switch {
			case !ok:
				return nil
			case r.ID == "x":
				return []control.Action{control.Send{ID: r.ID, Server: "s"}}
			}
			if decided++; decided == 1 {
				close(deciding)
				<-continueDeciding
			}
			return []control.Action{control.Refuse{ID: r.ID}}
		})})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { o.Run(ctx); close(stopped) }()
	defer func() { stop(); <-stopped }()
	e := &countingListener{recordingListener: newRecordingListener(t), count: &decided}
	o.Submit(control.Request{ID: "x", GiveUpAt: time.Hour}, e)
	<-sent
	blocked, unblock := make(chan struct{}), make(chan struct{})
	o.Inspect(func() { close(blocked); <-unblock })
	<-blocked
	for i := range burst {
		o.Submit(control.Request{ID: strconv.Itoa(i), GiveUpAt: time.Hour}, newRecordingListener(t))
	}
	close(unblock)
	<-deciding
	close(ready)
	for len(o.eventQueue) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(continueDeciding)
	e.waitAnswer()
	if e.countAtAnswer != 1 {
		t.Errorf("the answer was passed on behind %d of %d decisions, want 1", e.countAtAnswer, burst)
	}
}

// countingEar notes what a counter stood at when its request was answered.
type countingListener struct {
	*recordingListener
	count         *int
	countAtAnswer int
}

func (e *countingListener) Answered(a Answer) {
	e.countAtAnswer = *e.count
	e.recordingListener.Answered(a)
}
