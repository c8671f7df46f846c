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

// deciderFunc is a Decider that calls the function for each event.
type deciderFunc func(now time.Duration, e control.Event) []control.Action

func (f deciderFunc) Step(now time.Duration, events []control.Event) (out []control.Action) {
	for _, e := range events {
		out = append(out, f(now, e)...)
	}
	return out
}

// fakeExecutor is an Executor whose set-ups end as setUp returns. It records the other calls, and reports an error if a
// request has two attempts in flight.
type fakeExecutor struct {
	t        testing.TB
	mu       sync.Mutex
	inFlight map[string]int
	setUp    func(ctx context.Context, a Attempt) Result
	released []string
	calls    []string
}

func (f *fakeExecutor) SetUp(ctx context.Context, a Attempt) Result {
	f.mu.Lock()
	if f.inFlight[a.ID]++; f.inFlight[a.ID] > 1 {
		f.t.Errorf("request %s has %d attempts in flight, want at most 1", a.ID, f.inFlight[a.ID])
	}
	f.mu.Unlock()
	result := f.setUp(ctx, a)
	f.mu.Lock()
	f.inFlight[a.ID]--
	f.mu.Unlock()
	return result
}

func (f *fakeExecutor) record(call string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
}

func (f *fakeExecutor) Release(id, server string, attempt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, fmt.Sprintf("%s@%s#%d", id, server, attempt))
}

func (f *fakeExecutor) SetRung(a Attempt, rung int) { f.record(fmt.Sprint("rung ", a.ID, " ", rung)) }

func (f *fakeExecutor) Probe(server string) { f.record("probe " + server) }

func (f *fakeExecutor) Subscribe() { f.record("subscribe") }

func (f *fakeExecutor) ReadList() { f.record("read") }

func (f *fakeExecutor) SendToPeer(to int, data string) {
	f.record(fmt.Sprint("send to peer ", to, " ", data))
}

// recordingListener is a Listener that records its calls.
type recordingListener struct {
	t        testing.TB
	mu       sync.Mutex
	answers  []Answer
	changes  []string      // calls of RungChanged and Ended
	answered chan struct{} // closed by Answered
	closed   chan struct{} // closed by Closed
}

func newRecordingListener(t testing.TB) *recordingListener {
	return &recordingListener{t: t, answered: make(chan struct{}), closed: make(chan struct{})}
}

func (l *recordingListener) Answered(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answers = append(l.answers, a); len(l.answers) > 1 {
		l.t.Error("the listener received a second answer")
		return
	}
	close(l.answered)
}

func (l *recordingListener) RungChanged(rung int) {
	l.mu.Lock()
	l.changes = append(l.changes, fmt.Sprint("rung ", rung))
	l.mu.Unlock()
}

func (l *recordingListener) Ended(outcome control.Outcome, moved bool) {
	l.mu.Lock()
	l.changes = append(l.changes, fmt.Sprint("ended ", OutcomeName(outcome), " ", moved))
	l.mu.Unlock()
}

func (l *recordingListener) Closed() { close(l.closed) }

// waitAnswer waits for the answer and returns it.
func (l *recordingListener) waitAnswer() Answer {
	l.t.Helper()
	select {
	case <-l.answered:
	case <-time.After(5 * time.Second):
		l.t.Fatal("the request was not answered within 5 s")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers[0]
}

func (l *recordingListener) waitClosed() {
	l.t.Helper()
	select {
	case <-l.closed:
	case <-time.After(5 * time.Second):
		l.t.Fatal("the request was not closed within 5 s")
	}
}

// harness runs an orchestrator with a fakeExecutor and a decision function, and logs the events that the module gets.
type harness struct {
	*Orchestrator
	executor *fakeExecutor
	mu       sync.Mutex
	eventLog []string

	markersSent, markersSeen atomic.Int64
}

// loggedEvents returns the events that the module got. It first passes a marker event through the orchestrator, because
// a listener is notified that its request is closed before the module gets the corresponding event.
func (h *harness) loggedEvents() string {
	marker := control.PeerMessage{Data: strconv.FormatInt(h.markersSent.Add(1), 10)}
	h.AddEvent(marker)
	for deadline := time.Now().Add(10 * time.Second); h.markersSeen.Load() < h.markersSent.Load() &&
		time.Now().Before(deadline); {
		time.Sleep(100 * time.Microsecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.eventLog, "; ")
}

// waitLogged waits until the module got the given events and no others.
func (h *harness) waitLogged(t *testing.T, want string) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); h.loggedEvents() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("events %q after 5 s, want %q", h.loggedEvents(), want)
		}
	}
}

// startHarness runs an orchestrator whose module is decide. The orchestrator is stopped when the test ends.
func startHarness(t *testing.T, maxAttempts int, setUp func(context.Context, Attempt) Result,
	decide deciderFunc) *harness {
	h := &harness{executor: &fakeExecutor{t: t, inFlight: map[string]int{}, setUp: setUp}}
	begin := time.Now()
	logEvents := func(now time.Duration, e control.Event) []control.Action {
		h.mu.Lock()
		switch e := e.(type) {
		case control.AttemptEnded:
			h.eventLog = append(h.eventLog,
				fmt.Sprintf("ended %s#%d %s final=%v", e.Server, e.Attempt, OutcomeName(e.Outcome), e.Final))
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
	h.Orchestrator = New(Options{QueueSize: 64, MaxAttempts: maxAttempts, AnswerSlack: 40 * time.Millisecond,
		Log: slog.New(slog.DiscardHandler), Decider: deciderFunc(logEvents), Executor: h.executor,
		Now: func() time.Duration { return time.Since(begin) }})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { h.Run(ctx); close(stopped) }()
	t.Cleanup(func() { stop(); <-stopped })
	return h
}

// submit submits a request whose deadline is due from now.
func (h *harness) submit(t *testing.T, id string, due time.Duration) *recordingListener {
	l := newRecordingListener(t)
	if !h.Submit(control.Request{ID: id, GiveUpAt: h.Now() + due}, l) {
		t.Fatal("the request was not accepted")
	}
	return l
}

func setUpServes(context.Context, Attempt) Result { return Result{Outcome: control.Served} }

// setUpHangs waits until the attempt is cancelled or times out.
func setUpHangs(ctx context.Context, _ Attempt) Result {
	<-ctx.Done()
	return Result{Outcome: control.Reset}
}

// sendToA returns a module that sends each request to server a. It returns next's actions when an attempt has ended.
func sendToA(next func(e control.AttemptEnded) []control.Action) deciderFunc {
	return func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.SetRung{ID: e.ID, Rung: 2},
				control.Send{ID: e.ID, Server: "a", Timeout: 50 * time.Millisecond}}
		case control.AttemptEnded:
			if !e.Final && next != nil {
				return next(e)
			}
		}
		return nil
	}
}
