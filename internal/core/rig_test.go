package core

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rainpulley/control"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scripted answers events by a function.
type deciderFunc func(now time.Duration, e control.Event) []control.Action

func (s deciderFunc) Step(now time.Duration, events []control.Event) (out []control.Action) {
	for _, e := range events {
		out = append(out, s(now, e)...)
	}
	return out
}

// carrier ends set-ups as told, and watches that no request has two attempts out.
type fakeExecutor struct {
	t        testing.TB
	mu       sync.Mutex
	inFlight map[string]int
	setUp    func(ctx context.Context, a Attempt) Result
	released []string
	calls    []string
}

func (c *fakeExecutor) SetUp(ctx context.Context, a Attempt) Result {
	c.mu.Lock()
	if c.inFlight[a.ID]++; c.inFlight[a.ID] > 1 {
		c.t.Errorf("%s has %d attempts out", a.ID, c.inFlight[a.ID])
	}
	c.mu.Unlock()
	r := c.setUp(ctx, a)
	c.mu.Lock()
	c.inFlight[a.ID]--
	c.mu.Unlock()
	return r
}

func (c *fakeExecutor) record(s string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, s)
}

func (c *fakeExecutor) Release(id, server string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = append(c.released, fmt.Sprintf("%s@%s#%d", id, server, n))
}

func (c *fakeExecutor) SetRung(a Attempt, rung int) { c.record(fmt.Sprint("rung ", a.ID, " ", rung)) }

func (c *fakeExecutor) Probe(server string) { c.record("probe " + server) }

func (c *fakeExecutor) Subscribe() { c.record("subscribe") }

func (c *fakeExecutor) ReadList() { c.record("read") }

func (c *fakeExecutor) Tell(to int, data string) { c.record(fmt.Sprint("tell ", to, " ", data)) }

// ear is a listener that keeps what it heard.
type recordingListener struct {
	t        testing.TB
	mu       sync.Mutex
	answers  []Answer
	changes  []string
	answered chan struct{} // closed at the answer
	closed   chan struct{}
}

func newRecordingListener(t testing.TB) *recordingListener {
	return &recordingListener{t: t, answered: make(chan struct{}), closed: make(chan struct{})}
}

func (e *recordingListener) Answered(a Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answers = append(e.answers, a); len(e.answers) > 1 {
		e.t.Error("second answer")
		return
	}
	close(e.answered)
}

func (e *recordingListener) Rung(rung int) {
	e.mu.Lock()
	e.changes = append(e.changes, fmt.Sprint("rung ", rung))
	e.mu.Unlock()
}

func (e *recordingListener) Ended(outcome control.Outcome, moved bool) {
	e.mu.Lock()
	e.changes = append(e.changes, fmt.Sprint("ended ", OutcomeName(outcome), " ", moved))
	e.mu.Unlock()
}

func (e *recordingListener) Closed() { close(e.closed) }

func (e *recordingListener) waitAnswer() Answer {
	e.t.Helper()
	select {
	case <-e.answered:
	case <-time.After(5 * time.Second):
		e.t.Fatal("no answer")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers[0]
}

func (e *recordingListener) waitClosed() {
	e.t.Helper()
	select {
	case <-e.closed:
	case <-time.After(5 * time.Second):
		e.t.Fatal("request not closed")
	}
}

type harness struct {
	*Orchestrator
	executor *fakeExecutor
	mu       sync.Mutex
	eventLog []string

	markersSent, markersSeen atomic.Int64
}

// events are what the module was told. An event of the test's own goes through the owner first: a listener
// hears that a request is closed before the module is told its end, and what was told then is not all yet.
func (h *harness) loggedEvents() string {
	mark := control.PeerMessage{Data: strconv.FormatInt(h.markersSent.Add(1), 10)}
	h.AddEvent(mark)
	for deadline := time.Now().Add(10 * time.Second); h.markersSeen.Load() < h.markersSent.Load() && time.Now().Before(deadline); {
		time.Sleep(100 * time.Microsecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.eventLog, "; ")
}

// start runs an owner whose module is a script.
func startHarness(t *testing.T, maxAttempts int, setUp func(context.Context, Attempt) Result, decide deciderFunc) *harness {
	h := &harness{executor: &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: setUp}}
	begin := time.Now()
	logEvents := func(now time.Duration, e control.Event) []control.Action {
		h.mu.Lock()
		switch e := e.(type) {
		case control.AttemptEnded:
			h.eventLog = append(h.eventLog, fmt.Sprintf("ended %s#%d %s final=%v", e.Server, e.Attempt, OutcomeName(e.Outcome), e.Final))
		case control.SessionStarted:
			h.eventLog = append(h.eventLog, "started "+e.Server)
		case control.ViewerLeft:
			h.eventLog = append(h.eventLog, "left")
		case control.TimerFired:
			h.eventLog = append(h.eventLog, "timer "+e.Label)
		case control.PeerMessage:
			defer h.markersSeen.Add(1)
		}
		h.mu.Unlock()
		return decide(now, e)
	}
	h.Orchestrator = New(Options{QueueSize: 64, MaxAttempts: maxAttempts, AnswerSlack: 40 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Decider: deciderFunc(logEvents), Executor: h.executor, Now: func() time.Duration { return time.Since(begin) }})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { h.Run(ctx); close(stopped) }()
	t.Cleanup(func() { stop(); <-stopped })
	return h
}

func (h *harness) submit(t *testing.T, id string, due time.Duration) *recordingListener {
	e := newRecordingListener(t)
	if !h.Submit(control.Request{ID: id, GiveUpAt: h.Now() + due}, e) {
		t.Fatal("not taken")
	}
	return e
}

func setUpServes(context.Context, Attempt) Result { return Result{Outcome: control.Served} }

func setUpHangs(ctx context.Context, _ Attempt) Result {
	<-ctx.Done()
	return Result{Outcome: control.Reset}
}

// one sends each request to a, then by next to where it says.
func sendToA(next func(e control.AttemptEnded) []control.Action) deciderFunc {
	return func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.SetRung{ID: e.ID, Rung: 2}, control.Send{ID: e.ID, Server: "a", Timeout: 50 * time.Millisecond}}
		case control.AttemptEnded:
			if !e.Final && next != nil {
				return next(e)
			}
		}
		return nil
	}
}
