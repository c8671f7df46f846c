package core

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rainpulley/control"
)

// TestActionsReachExecutor checks that the remaining actions are passed to the executor, and that a Move ends the
// session and marks it as moved.
func TestActionsReachExecutor(t *testing.T) {
	h := startHarness(t, 5, setUpServes, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"}, control.Probe{Server: "p"}, control.Subscribe{},
				control.ReadList{}, control.SendToPeer{Front: 3, Data: "d"}}
		case control.SessionStarted:
			return []control.Action{control.SetRung{ID: e.ID, Rung: 4}, control.SetRung{ID: e.ID, Rung: 4},
				control.Move{ID: e.ID}}
		}
		return nil
	})
	l := h.submit(t, "x", time.Second)
	l.waitAnswer()
	l.waitClosed()
	if got := strings.Join(h.executor.calls, "; "); got != "probe p; subscribe; read; send to peer 3 d; rung x 4" {
		t.Error(got)
	}
	if got := strings.Join(l.changes, "; "); got != "rung 4; ended cancelled true" {
		t.Error(got)
	}
}

// TestFullQueueRejectsRequests checks that requests are rejected at once while the queue is full, and that every
// accepted request is answered.
func TestFullQueueRejectsRequests(t *testing.T) {
	block := make(chan struct{})
	h := startHarness(t, 5, setUpServes, func(_ time.Duration, e control.Event) []control.Action {
		if q, ok := e.(control.Request); ok {
			<-block
			return []control.Action{control.Refuse{ID: q.ID}}
		}
		return nil
	})
	var accepted []*recordingListener
	rejected := 0
	for i := range 1000 {
		l := newRecordingListener(t)
		if h.Submit(control.Request{ID: fmt.Sprint(i), GiveUpAt: h.Now() + 10*time.Second}, l) {
			accepted = append(accepted, l)
		} else {
			rejected++
		}
	}
	if rejected < 1000-64-maxBatch-1 || len(accepted) < 64 {
		t.Errorf("%d requests accepted, %d rejected", len(accepted), rejected)
	}
	close(block)
	for _, l := range accepted {
		if a := l.waitAnswer(); a.Kind != Refused {
			t.Fatalf("answer %+v", a)
		}
	}
}

// TestStopFailsWaitingRequests checks that the waiting requests are failed when the orchestrator stops.
func TestStopFailsWaitingRequests(t *testing.T) {
	h := &harness{executor: &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: setUpHangs}}
	h.Orchestrator = New(Options{QueueSize: 4, Log: slog.New(slog.DiscardHandler), Executor: h.executor,
		Now: func() time.Duration { return 0 },
		Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
			if q, ok := e.(control.Request); ok {
				return []control.Action{control.Send{ID: q.ID, Server: "a"}}
			}
			return nil
		})})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { h.Run(ctx); close(stopped) }()
	l := newRecordingListener(t)
	h.Submit(control.Request{ID: "x", GiveUpAt: time.Hour}, l)
	for h.Stats.Attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-stopped
	if a := l.waitAnswer(); a.Kind != Failed {
		t.Errorf("answer %+v", a)
	}
	h.ViewerLeft("x", l) // does not block after the orchestrator has stopped
}

// TestRandomModule checks the guarantees of the package with random actions of the module and random results of
// set-ups: each request gets one answer in time, each attempt ends once, and no request has two attempts in flight.
func TestRandomModule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		n := rapid.IntRange(1, 20).Draw(rt, "requests")
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(seed, 1))
		draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return random.IntN(n) }
		setUp := func(ctx context.Context, _ Attempt) Result {
			select {
			case <-ctx.Done():
				return Result{Outcome: control.Reset}
			case <-time.After(time.Duration(draw(8)) * time.Millisecond):
				return Result{Outcome: control.Outcome(draw(8))}
			}
		}
		servers := []string{"a", "b", "c"}
		randomAction := func(id string) control.Action {
			switch draw(8) {
			case 0:
				return control.Refuse{ID: id}
			case 1:
				return control.Fail{ID: id}
			case 2:
				return control.Cancel{ID: id, Attempt: draw(3)}
			case 3:
				return control.Move{ID: id}
			case 4:
				return control.SetRung{ID: id, Rung: draw(4)}
			}
			return control.Send{ID: id, Server: servers[draw(3)], Timeout: time.Duration(draw(6)) * time.Millisecond}
		}
		ends := map[string]int{}
		decide := func(_ time.Duration, e control.Event) (out []control.Action) {
			id := ""
			switch e := e.(type) {
			case control.Request:
				id = e.ID
			case control.AttemptEnded:
				if id = e.ID; e.Outcome != control.NotSent {
					if ends[fmt.Sprint(e.ID, e.Attempt)]++; ends[fmt.Sprint(e.ID, e.Attempt)] > 1 {
						rt.Errorf("attempt %d of %s ended twice", e.Attempt, e.ID)
					}
				} else {
					return nil
				}
			case control.SessionStarted:
				id = e.ID
			}
			for range draw(3) {
				out = append(out, randomAction(id))
			}
			return out
		}
		executor := &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: setUp}
		begin := time.Now()
		o := New(Options{QueueSize: 64, MaxAttempts: 4, AnswerSlack: 10 * time.Millisecond,
			Log: slog.New(slog.DiscardHandler), Executor: executor,
			Decider: deciderFunc(decide), Now: func() time.Duration { return time.Since(begin) }})
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { o.Run(ctx); close(stopped) }()
		var listeners []*recordingListener
		for i := range n {
			l := newRecordingListener(t)
			listeners = append(listeners, l)
			o.Submit(control.Request{ID: fmt.Sprint(i), GiveUpAt: o.Now() + 20*time.Millisecond}, l)
			if draw(4) == 0 {
				left := draw(i + 1)
				o.ViewerLeft(fmt.Sprint(left), listeners[left])
			}
		}
		for i, l := range listeners {
			select {
			case <-l.answered:
			case <-l.closed: // its viewer left
			case <-time.After(5 * time.Second):
				rt.Fatalf("request %d was not answered within 5 s", i)
			}
		}
		stop()
		<-stopped
	})
}

// TestBudgetAfterRestart checks that an edge has no free further attempts during the first span after its start. A
// killed edge loses its count of further attempts, so only then do both instances together stay within the budget.
func TestBudgetAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		executor := &fakeExecutor{t: t, inFlight: map[string]int{},
			setUp: func(context.Context, Attempt) Result { return Result{Outcome: control.Failed} }}
		o := New(Options{QueueSize: 64, MaxAttempts: 5, AnswerSlack: 40 * time.Millisecond,
			Log: slog.New(slog.DiscardHandler), Executor: executor,
			Budget: Budget{Span: 10 * time.Second, Share: 0.2}, Now: func() time.Duration { return time.Since(begin) },
			Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
				switch e := e.(type) {
				case control.Request:
					return []control.Action{control.Send{ID: e.ID, Server: "a"}}
				case control.AttemptEnded:
					if e.Final {
						return nil
					}
					if e.Outcome == control.NotSent || e.Attempt > 0 {
						return []control.Action{control.Refuse{ID: e.ID}}
					}
					return []control.Action{control.Send{ID: e.ID, Server: "b"}}
				}
				return nil
			})})
		ctx, stop := context.WithCancel(context.Background())
		go o.Run(ctx)
		submitAndWait := func(n int) {
			for range n {
				l := newRecordingListener(t)
				o.Submit(control.Request{ID: fmt.Sprint(o.Stats.Requests.Load()), GiveUpAt: o.Now() + time.Second}, l)
				<-l.closed
			}
		}
		submitAndWait(20)
		if got := o.Stats.FurtherAttempts.Load(); got != 4 {
			t.Errorf("%d further attempts for 20 requests right after the start, want 4: a share of 0.2", got)
		}
		time.Sleep(10 * time.Second)
		submitAndWait(3)
		if got := o.Stats.FurtherAttempts.Load(); got != 7 {
			t.Errorf("%d further attempts, want 7: after the first span only the module limits them", got)
		}
		stop()
		synctest.Wait()
	})
}
