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

// Every other action reaches the carrier; a move ends the session and marks it.
func TestActionsReachExecutor(t *testing.T) {
	h := startHarness(t, 5, setUpServes, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"}, control.Probe{Server: "p"}, control.Subscribe{}, control.ReadList{},
				control.SendToPeer{Front: 3, Data: "d"}}
		case control.SessionStarted:
			return []control.Action{control.SetRung{ID: e.ID, Rung: 4}, control.SetRung{ID: e.ID, Rung: 4}, control.Move{ID: e.ID}}
		}
		return nil
	})
	e := h.submit(t, "x", time.Second)
	e.waitAnswer()
	e.waitClosed()
	if got := strings.Join(h.executor.calls, "; "); got != "probe p; subscribe; read; tell 3 d; rung x 4" {
		t.Error(got)
	}
	if got := strings.Join(e.changes, "; "); got != "rung 4; ended cancelled true" {
		t.Error(got)
	}
}

// Requests faster than the queue drains are turned away at once; what was taken is answered.
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
		e := newRecordingListener(t)
		if h.Submit(control.Request{ID: fmt.Sprint(i), GiveUpAt: h.Now() + 10*time.Second}, e) {
			accepted = append(accepted, e)
		} else {
			rejected++
		}
	}
	if rejected < 1000-64-maxBatch-1 || len(accepted) < 64 {
		t.Errorf("%d taken, %d turned away", len(accepted), rejected)
	}
	close(block)
	for _, e := range accepted {
		if a := e.waitAnswer(); a.Kind != Refused {
			t.Fatalf("answer %+v", a)
		}
	}
}

// When the owner ends, what it owes is answered.
func TestStopFailsWaitingRequests(t *testing.T) {
	h := &harness{executor: &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: setUpHangs}}
	h.Orchestrator = New(Options{QueueSize: 4, Log: slog.New(slog.DiscardHandler), Executor: h.executor, Now: func() time.Duration { return 0 },
		Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
			if q, ok := e.(control.Request); ok {
				return []control.Action{control.Send{ID: q.ID, Server: "a"}}
			}
			return nil
		})})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { h.Run(ctx); close(stopped) }()
	e := newRecordingListener(t)
	h.Submit(control.Request{ID: "x", GiveUpAt: time.Hour}, e)
	for h.Stats.Attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-stopped
	if a := e.waitAnswer(); a.Kind != Failed {
		t.Errorf("answer %+v", a)
	}
	h.ViewerLeft("x", e) // after the end: does not wait for ever
}

// Whatever a module orders and servers do, each request has one answer in time, each attempt one end, and
// no request two attempts out.
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
		act := func(id string) control.Action {
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
				out = append(out, act(id))
			}
			return out
		}
		c := &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: setUp}
		begin := time.Now()
		o := New(Options{QueueSize: 64, MaxAttempts: 4, AnswerSlack: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler), Executor: c,
			Decider: deciderFunc(decide), Now: func() time.Duration { return time.Since(begin) }})
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { o.Run(ctx); close(stopped) }()
		var listeners []*recordingListener
		for i := range n {
			e := newRecordingListener(t)
			listeners = append(listeners, e)
			o.Submit(control.Request{ID: fmt.Sprint(i), GiveUpAt: o.Now() + 20*time.Millisecond}, e)
			if draw(4) == 0 {
				left := draw(i + 1)
				o.ViewerLeft(fmt.Sprint(left), listeners[left])
			}
		}
		for i, e := range listeners {
			select {
			case <-e.answered:
			case <-e.closed: // its viewer left
			case <-time.After(5 * time.Second):
				rt.Fatalf("request %d has no answer", i)
			}
		}
		stop()
		<-stopped
	})
}

// An edge that was killed forgets its further attempts; its next instance has no free part of the budget until a
// span is over, so that both together keep it.
func TestBudgetAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		c := &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: func(context.Context, Attempt) Result { return Result{Outcome: control.Failed} }}
		o := New(Options{QueueSize: 64, MaxAttempts: 5, AnswerSlack: 40 * time.Millisecond, Log: slog.New(slog.DiscardHandler), Executor: c,
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
		ask := func(n int) {
			for range n {
				e := newRecordingListener(t)
				o.Submit(control.Request{ID: fmt.Sprint(o.Stats.Requests.Load()), GiveUpAt: o.Now() + time.Second}, e)
				<-e.closed
			}
		}
		ask(20)
		if got := o.Stats.FurtherAttempts.Load(); got != 4 {
			t.Errorf("%d further attempts of 20 requests right after the start, want 0.2 of them", got)
		}
		time.Sleep(10 * time.Second)
		ask(3)
		if got := o.Stats.FurtherAttempts.Load(); got != 7 {
			t.Errorf("%d further attempts, want the module's word to stand after the span", got)
		}
		stop()
		synctest.Wait()
	})
}
