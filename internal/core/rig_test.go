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
type scripted func(now time.Duration, e control.Event) []control.Action

func (s scripted) Step(now time.Duration, events []control.Event) (out []control.Action) {
	for _, e := range events {
		out = append(out, s(now, e)...)
	}
	return out
}

// carrier ends set-ups as told, and watches that no request has two attempts out.
type carrier struct {
	t        testing.TB
	mu       sync.Mutex
	out      map[string]int
	setUp    func(ctx context.Context, a Attempt) Result
	released []string
	other    []string
}

func (c *carrier) SetUp(ctx context.Context, a Attempt) Result {
	c.mu.Lock()
	if c.out[a.ID]++; c.out[a.ID] > 1 {
		c.t.Errorf("%s has %d attempts out", a.ID, c.out[a.ID])
	}
	c.mu.Unlock()
	r := c.setUp(ctx, a)
	c.mu.Lock()
	c.out[a.ID]--
	c.mu.Unlock()
	return r
}

func (c *carrier) note(s string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.other = append(c.other, s)
}

func (c *carrier) Release(id, server string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = append(c.released, fmt.Sprintf("%s@%s#%d", id, server, n))
}

func (c *carrier) SetRung(a Attempt, rung int) { c.note(fmt.Sprint("rung ", a.ID, " ", rung)) }

func (c *carrier) Probe(server string) { c.note("probe " + server) }

func (c *carrier) Subscribe() { c.note("subscribe") }

func (c *carrier) ReadList() { c.note("read") }

func (c *carrier) Tell(to int, data string) { c.note(fmt.Sprint("tell ", to, " ", data)) }

// ear is a listener that keeps what it heard.
type ear struct {
	t       testing.TB
	mu      sync.Mutex
	answers []Answer
	heard   []string
	done    chan struct{} // closed at the answer
	closed  chan struct{}
}

func newEar(t testing.TB) *ear {
	return &ear{t: t, done: make(chan struct{}), closed: make(chan struct{})}
}

func (e *ear) Answered(a Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answers = append(e.answers, a); len(e.answers) > 1 {
		e.t.Error("second answer")
		return
	}
	close(e.done)
}

func (e *ear) Rung(r int) {
	e.mu.Lock()
	e.heard = append(e.heard, fmt.Sprint("rung ", r))
	e.mu.Unlock()
}

func (e *ear) Ended(o control.Outcome, moved bool) {
	e.mu.Lock()
	e.heard = append(e.heard, fmt.Sprint("ended ", Name(o), " ", moved))
	e.mu.Unlock()
}

func (e *ear) Closed() { close(e.closed) }

func (e *ear) answer() Answer {
	e.t.Helper()
	select {
	case <-e.done:
	case <-time.After(5 * time.Second):
		e.t.Fatal("no answer")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers[0]
}

func (e *ear) close() {
	e.t.Helper()
	select {
	case <-e.closed:
	case <-time.After(5 * time.Second):
		e.t.Fatal("request not closed")
	}
}

type rig struct {
	*Owner
	c    *carrier
	mu   sync.Mutex
	told []string

	marks, marked atomic.Int64
}

// events are what the module was told. An event of the test's own goes through the owner first: a listener
// hears that a request is closed before the module is told its end, and what was told then is not all yet.
func (r *rig) events() string {
	mark := control.PeerMessage{Data: strconv.FormatInt(r.marks.Add(1), 10)}
	r.Event(mark)
	for deadline := time.Now().Add(10 * time.Second); r.marked.Load() < r.marks.Load() && time.Now().Before(deadline); {
		time.Sleep(100 * time.Microsecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.told, "; ")
}

// start runs an owner whose module is a script.
func start(t *testing.T, most int, setUp func(context.Context, Attempt) Result, decide scripted) *rig {
	r := &rig{c: &carrier{t: t, out: map[string]int{}, setUp: setUp}}
	begin := time.Now()
	told := func(now time.Duration, e control.Event) []control.Action {
		r.mu.Lock()
		switch e := e.(type) {
		case control.AttemptEnded:
			r.told = append(r.told, fmt.Sprintf("ended %s#%d %s final=%v", e.Server, e.Attempt, Name(e.Outcome), e.Final))
		case control.SessionStarted:
			r.told = append(r.told, "started "+e.Server)
		case control.ViewerLeft:
			r.told = append(r.told, "left")
		case control.TimerFired:
			r.told = append(r.told, "timer "+e.Label)
		case control.PeerMessage:
			defer r.marked.Add(1)
		}
		r.mu.Unlock()
		return decide(now, e)
	}
	r.Owner = New(Options{Queue: 64, MaxAttempts: most, Slack: 40 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Decider: scripted(told), Carrier: r.c, Now: func() time.Duration { return time.Since(begin) }})
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { r.Run(ctx); close(over) }()
	t.Cleanup(func() { stop(); <-over })
	return r
}

func (r *rig) ask(t *testing.T, id string, due time.Duration) *ear {
	e := newEar(t)
	if !r.Request(control.Request{ID: id, GiveUpAt: r.Now() + due}, e) {
		t.Fatal("not taken")
	}
	return e
}

func served(context.Context, Attempt) Result { return Result{Outcome: control.Served} }

func hangs(ctx context.Context, _ Attempt) Result {
	<-ctx.Done()
	return Result{Outcome: control.Reset}
}

// one sends each request to a, then by next to where it says.
func one(next func(e control.AttemptEnded) []control.Action) scripted {
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
