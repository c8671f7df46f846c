package core

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

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
func (c *carrier) Probe(server string)         { c.note("probe " + server) }
func (c *carrier) Subscribe()                  { c.note("subscribe") }
func (c *carrier) ReadList()                   { c.note("read") }
func (c *carrier) Tell(to int, data string)    { c.note(fmt.Sprint("tell ", to, " ", data)) }

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
		case control.Ended:
			r.told = append(r.told, fmt.Sprintf("ended %s#%d %s final=%v", e.Server, e.Attempt, Name(e.Outcome), e.Final))
		case control.Started:
			r.told = append(r.told, "started "+e.Server)
		case control.Left:
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
	if !r.Request(control.Request{ID: id, Due: r.Now() + due}, e) {
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
func one(next func(e control.Ended) []control.Action) scripted {
	return func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.SetRung{ID: e.ID, Rung: 2}, control.Send{ID: e.ID, Server: "a", Timeout: 50 * time.Millisecond}}
		case control.Ended:
			if !e.Final && next != nil {
				return next(e)
			}
		}
		return nil
	}
}

func TestPlaysAndEnds(t *testing.T) {
	r := start(t, 5, served, one(nil))
	for _, how := range []string{"viewer left", "played out", "server lost"} {
		e := r.ask(t, how, time.Second)
		if a := e.answer(); a.Kind != Plays || a.Server != "a" || a.Rung != 2 {
			t.Fatalf("answer %+v", a)
		}
		want := "ended cancelled false"
		switch how {
		case "viewer left":
			r.Leave(how)
		case "played out":
			r.PlayedOut(how)
			want = "ended served false"
		case "server lost":
			r.Lost("b", []string{how}) // another server's loss is not its own
			r.Lost("a", []string{how})
			want = "ended reset false"
		}
		e.close()
		if len(e.heard) != 1 || e.heard[0] != want {
			t.Errorf("%s: heard %v, want %s", how, e.heard, want)
		}
	}
	if n := len(r.c.released); n != 2 {
		t.Errorf("released %v: a lost server needs no release, the others do", r.c.released)
	}
	if n := r.Stats.Open.Load(); n != 0 {
		t.Errorf("%d requests still open", n)
	}
}

// An attempt that times out is closed before the next goes out, and the server is told to let it go.
func TestTimeOutThenElsewhere(t *testing.T) {
	setUp := func(ctx context.Context, a Attempt) Result {
		if a.Server == "a" {
			return hangs(ctx, a)
		}
		return Result{Outcome: control.Served}
	}
	r := start(t, 5, setUp, one(func(e control.Ended) []control.Action {
		return []control.Action{control.Send{ID: e.ID, Server: "b"}}
	}))
	e := r.ask(t, "x", time.Second)
	if a := e.answer(); a.Kind != Plays || a.Server != "b" || a.Attempt != 1 {
		t.Fatalf("answer %+v; %s", a, r.events())
	}
	if got := r.events(); got != "ended a#0 timed out final=false; started b" {
		t.Error(got)
	}
	if len(r.c.released) != 1 || r.c.released[0] != "x@a#0" {
		t.Errorf("released %v", r.c.released)
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
		case control.Ended:
			if e.Outcome == control.TimedOut {
				return []control.Action{control.Send{ID: e.ID, Server: "d"}, control.Fail{ID: e.ID}, control.Refuse{ID: e.ID},
					control.Send{ID: e.ID, Server: "e"}}
			}
		}
		return nil
	}
	r := start(t, 1, hangs, decide)
	e := r.ask(t, "x", time.Second)
	if a := e.answer(); a.Kind != Failed {
		t.Fatalf("answer %+v", a)
	}
	e.close()
	stepped := make(chan struct{})
	r.Inspect(func() { close(stepped) }) // the step that closed the request goes on to its last action
	<-stepped
	if n := r.Stats.Moot.Load(); n != 4 {
		t.Errorf("%d moot, want 4; %s", n, r.events())
	}
	if n := r.Stats.Attempts.Load(); n != 1 {
		t.Errorf("%d attempts went out", n)
	}
}

// A viewer that leaves while the set-up is out: the answer that crosses ends as cancelled, and is released.
func TestLeaveCrossesAnswer(t *testing.T) {
	release := make(chan struct{})
	r := start(t, 5, func(context.Context, Attempt) Result { <-release; return Result{Outcome: control.Served} }, one(nil))
	e := r.ask(t, "x", time.Second)
	for r.Stats.Attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.Leave("x")
	close(release)
	e.close()
	if len(e.answers) != 0 || r.events() != "left; ended a#0 cancelled final=true" {
		t.Errorf("answers %v; %s", e.answers, r.events())
	}
	if len(r.c.released) != 1 {
		t.Errorf("released %v", r.c.released)
	}
}

func TestCancel(t *testing.T) {
	r := start(t, 5, hangs, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"}, control.SetTimer{In: 20 * time.Millisecond, Label: e.ID}}
		case control.TimerFired:
			return []control.Action{control.Cancel{ID: e.Label, Attempt: 1}, control.Cancel{ID: e.Label}}
		case control.Ended:
			return []control.Action{control.Refuse{ID: e.ID, After: time.Second}}
		}
		return nil
	})
	e := r.ask(t, "x", 5*time.Second)
	if a := e.answer(); a.Kind != Refused || a.After != time.Second {
		t.Errorf("answer %+v; %s", a, r.events())
	}
	if got := r.events(); got != "timer x; ended a#0 cancelled final=false" {
		t.Error(got)
	}
}

// A module that says nothing is covered by the backstop, within the slack.
func TestSilentModule(t *testing.T) {
	r := start(t, 5, served, func(time.Duration, control.Event) []control.Action { return nil })
	begin := time.Now()
	e := r.ask(t, "x", 30*time.Millisecond)
	if a := e.answer(); a.Kind != Failed {
		t.Errorf("answer %+v", a)
	}
	if took := time.Since(begin); took < 30*time.Millisecond {
		t.Errorf("answered after %v, before the deadline", took)
	}
	e.close()
	if r.Stats.Overdue.Load() != 1 {
		t.Error("not counted as overdue")
	}
}

// Every other action reaches the carrier; a move ends the session and marks it.
func TestOtherActions(t *testing.T) {
	r := start(t, 5, served, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"}, control.Probe{Server: "p"}, control.Subscribe{}, control.ReadList{},
				control.Tell{To: 3, Data: "d"}}
		case control.Started:
			return []control.Action{control.SetRung{ID: e.ID, Rung: 4}, control.SetRung{ID: e.ID, Rung: 4}, control.Move{ID: e.ID}}
		}
		return nil
	})
	e := r.ask(t, "x", time.Second)
	e.answer()
	e.close()
	if got := strings.Join(r.c.other, "; "); got != "probe p; subscribe; read; tell 3 d; rung x 4" {
		t.Error(got)
	}
	if got := strings.Join(e.heard, "; "); got != "rung 4; ended cancelled true" {
		t.Error(got)
	}
}

// Requests faster than the queue drains are turned away at once; what was taken is answered.
func TestOverload(t *testing.T) {
	block := make(chan struct{})
	r := start(t, 5, served, func(_ time.Duration, e control.Event) []control.Action {
		if q, ok := e.(control.Request); ok {
			<-block
			return []control.Action{control.Refuse{ID: q.ID}}
		}
		return nil
	})
	var taken []*ear
	away := 0
	for i := range 1000 {
		e := newEar(t)
		if r.Request(control.Request{ID: fmt.Sprint(i), Due: r.Now() + 10*time.Second}, e) {
			taken = append(taken, e)
		} else {
			away++
		}
	}
	if away < 1000-64-maxBatch-1 || len(taken) < 64 {
		t.Errorf("%d taken, %d turned away", len(taken), away)
	}
	close(block)
	for _, e := range taken {
		if a := e.answer(); a.Kind != Refused {
			t.Fatalf("answer %+v", a)
		}
	}
}

// When the owner ends, what it owes is answered.
func TestStopAnswers(t *testing.T) {
	r := &rig{c: &carrier{t: t, out: map[string]int{}, setUp: hangs}}
	r.Owner = New(Options{Queue: 4, Log: slog.New(slog.DiscardHandler), Carrier: r.c, Now: func() time.Duration { return 0 },
		Decider: scripted(func(_ time.Duration, e control.Event) []control.Action {
			if q, ok := e.(control.Request); ok {
				return []control.Action{control.Send{ID: q.ID, Server: "a"}}
			}
			return nil
		})})
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { r.Run(ctx); close(over) }()
	e := newEar(t)
	r.Request(control.Request{ID: "x", Due: time.Hour}, e)
	for r.Stats.Attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-over
	if a := e.answer(); a.Kind != Failed {
		t.Errorf("answer %+v", a)
	}
	r.Leave("x") // after the end: does not wait for ever
}

// Whatever a module orders and servers do, each request has one answer in time, each attempt one end, and
// no request two attempts out.
func TestAnyModule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		n := rapid.IntRange(1, 20).Draw(rt, "requests")
		var mu sync.Mutex
		rnd := rand.New(rand.NewPCG(seed, 1))
		draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return rnd.IntN(n) }
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
			case control.Ended:
				if id = e.ID; e.Outcome != control.Moot {
					if ends[fmt.Sprint(e.ID, e.Attempt)]++; ends[fmt.Sprint(e.ID, e.Attempt)] > 1 {
						rt.Errorf("attempt %d of %s ended twice", e.Attempt, e.ID)
					}
				} else {
					return nil
				}
			case control.Started:
				id = e.ID
			}
			for range draw(3) {
				out = append(out, act(id))
			}
			return out
		}
		c := &carrier{t: t, out: map[string]int{}, setUp: setUp}
		begin := time.Now()
		o := New(Options{Queue: 64, MaxAttempts: 4, Slack: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler), Carrier: c,
			Decider: scripted(decide), Now: func() time.Duration { return time.Since(begin) }})
		ctx, stop := context.WithCancel(context.Background())
		over := make(chan struct{})
		go func() { o.Run(ctx); close(over) }()
		var ears []*ear
		for i := range n {
			e := newEar(t)
			ears = append(ears, e)
			o.Request(control.Request{ID: fmt.Sprint(i), Due: o.Now() + 20*time.Millisecond}, e)
			if draw(4) == 0 {
				o.Leave(fmt.Sprint(draw(i + 1)))
			}
		}
		for i, e := range ears {
			select {
			case <-e.done:
			case <-e.closed: // its viewer left
			case <-time.After(5 * time.Second):
				rt.Fatalf("request %d has no answer", i)
			}
		}
		stop()
		<-over
	})
}

// An edge that was killed forgets its further attempts; its next instance has no free part of the budget until a
// span is over, so that both together keep it.
func TestBudgetOverRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		c := &carrier{t: t, out: map[string]int{}, setUp: func(context.Context, Attempt) Result { return Result{Outcome: control.Failed} }}
		o := New(Options{Queue: 64, MaxAttempts: 5, Slack: 40 * time.Millisecond, Log: slog.New(slog.DiscardHandler), Carrier: c,
			Budget: Budget{Span: 10 * time.Second, Share: 0.2}, Now: func() time.Duration { return time.Since(begin) },
			Decider: scripted(func(_ time.Duration, e control.Event) []control.Action {
				switch e := e.(type) {
				case control.Request:
					return []control.Action{control.Send{ID: e.ID, Server: "a"}}
				case control.Ended:
					if e.Final {
						return nil
					}
					if e.Outcome == control.Moot || e.Attempt > 0 {
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
				e := newEar(t)
				o.Request(control.Request{ID: fmt.Sprint(o.Stats.Requests.Load()), Due: o.Now() + time.Second}, e)
				<-e.closed
			}
		}
		ask(20)
		if got := o.Stats.Further.Load(); got != 4 {
			t.Errorf("%d further attempts of 20 requests right after the start, want 0.2 of them", got)
		}
		time.Sleep(10 * time.Second)
		ask(3)
		if got := o.Stats.Further.Load(); got != 7 {
			t.Errorf("%d further attempts, want the module's word to stand after the span", got)
		}
		stop()
		synctest.Wait()
	})
}

// TestLeaveFollowsRequest: a viewer that leaves at once is never overtaken by its own request.
func TestLeaveFollowsRequest(t *testing.T) {
	r := start(t, 5, hangs, func(_ time.Duration, e control.Event) []control.Action {
		switch e := e.(type) {
		case control.Request:
			return []control.Action{control.Send{ID: e.ID, Server: "a"}}
		case control.Left:
			return []control.Action{control.Cancel{ID: e.ID}}
		}
		return nil
	})
	for i := range 200 {
		e := r.ask(t, strconv.Itoa(i), time.Minute)
		r.Leave(strconv.Itoa(i))
		e.close()
	}
}

// TestServerEnds: what a server says of a session ahead of its set-up's end is heard after it, and an end by the
// server is not released there again.
func TestServerEnds(t *testing.T) {
	var r *rig
	ready := make(chan struct{})
	r = start(t, 5, func(context.Context, Attempt) Result {
		<-ready
		r.Note(control.Note{ID: "x", Server: "a", Kind: control.NoteRung, Value: 2})
		r.ServerEnded("x", "b", control.Reset, nil) // another server's word counts for nothing
		r.ServerEnded("x", "a", control.Served, nil)
		return Result{Outcome: control.Served}
	}, func(_ time.Duration, e control.Event) []control.Action {
		if e, ok := e.(control.Request); ok && !e.Playing {
			return []control.Action{control.Send{ID: e.ID, Server: "a"}}
		}
		return nil
	})
	e := r.ask(t, "x", 5*time.Second)
	close(ready)
	e.close()
	if got := r.events(); got != "started a; ended a#0 served final=true" {
		t.Error(got)
	}
	for range 2 { // once more under the same id: it counts once
		r.Adopt(control.Request{ID: "y", Server: "a"}, -1, newEar(t))
	}
	if r.events(); r.Stats.Open.Load() != 1 {
		t.Errorf("%d open", r.Stats.Open.Load())
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	if len(r.c.released) != 0 {
		t.Errorf("released %v", r.c.released)
	}
}
