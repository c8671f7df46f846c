package control

import (
	"fmt"
	"testing"
	"time"
)

func TestUnansweredGoesElsewhere(t *testing.T) {
	f := start(t, settings())
	first := f.sent(f.ask("a", 0))
	f.now += 500 * ms
	second := f.sent(f.end("a", first, TimedOut))
	if second == "" || second == first {
		t.Errorf("resent to %q after %q", second, first)
	}
	for i := range 12 { // the suspect gets no pile of set-ups
		if s := f.sent(f.ask(fmt.Sprint("b", i), 0)); s == first {
			t.Errorf("set-up %d went to the suspect", i)
		}
	}
}

func TestTrialBringsServerBack(t *testing.T) {
	f := start(t, settings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.end("a", f.sent(f.ask("a", 0)), ConnectFailed)
	f.now += 20 * time.Second
	out := f.ask("b", 0)
	if f.sent(out) != "s0" {
		t.Fatal("no trial after the wait")
	}
	f.step(Started{ID: "b", Server: "s0"})
	f.now += 12 * time.Second
	if f.sent(f.ask("c", 1)) != "s0" {
		t.Error("a server that served again gets no paid set-up")
	}
}

func TestAllSuspectStillTried(t *testing.T) {
	f := start(t, settings(), Server{ID: "s0", State: Ready, Weight: 1}, Server{ID: "s1", Cell: 1, State: Ready, Weight: 1})
	out := f.ask("a", 0)
	for range 2 {
		out = f.end("a", f.sent(out), ConnectFailed)
	}
	f.now += 3 * time.Second
	if f.sent(f.ask("b", 0)) == "" {
		t.Error("every holder is suspect and nobody was tried")
	}
}

func TestPaidSetUpNotRepeated(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, Reset, Cancelled} {
		f := start(t, settings())
		out := f.end("a", f.sent(f.ask("a", 1)), o)
		_, refused := find[Refuse](out)
		if _, failed := find[Fail](out); f.sent(out) != "" || refused || !failed {
			t.Errorf("outcome %v: %v, want Fail alone", o, out)
		}
	}
	for _, o := range []Outcome{Full, ConnectFailed} {
		f := start(t, settings())
		if f.sent(f.end("a", f.sent(f.ask("a", 1)), o)) == "" {
			t.Errorf("outcome %v never ran and was not resent", o)
		}
	}
}

func TestDeduplicatedStaysInGroupAndWindow(t *testing.T) {
	f := start(t, settings())
	first := f.sent(f.ask("a", 2))
	second := f.sent(f.end("a", first, TimedOut))
	if second == "" || f.c.known[second].Zone != f.c.known[first].Zone {
		t.Errorf("resent from %s to %q, another zone", first, second)
	}
	f = start(t, settings())
	first = f.sent(f.ask("a", 2))
	f.now += 2 * time.Second
	out := f.end("a", first, TimedOut)
	if _, ok := find[Fail](out); !ok || f.sent(out) != "" {
		t.Errorf("past the window: %v, want Fail", out)
	}
}

func TestDrainKept(t *testing.T) {
	f := start(t, settings())
	f.link(0, .5, .5, .5, .5, .5)
	f.step(ListUpdate{Servers: []Server{{ID: "s0", State: Draining, Weight: 1}}})
	for i := range 9 {
		if f.sent(f.ask(fmt.Sprint(i), 0)) == "s0" {
			t.Fatal("sent to a draining server")
		}
	}
}

func TestAttemptCapAndBudget(t *testing.T) {
	set := settings()
	f := start(t, set)
	out, n := f.ask("a", 0), 0
	for s := f.sent(out); s != ""; s = f.sent(out) {
		n++
		out = f.end("a", s, ConnectFailed)
	}
	if n != set.MaxAttempts {
		t.Errorf("%d attempts, the cap is %d", n, set.MaxAttempts)
	}
	set.BudgetSpan, set.BudgetFree, set.BudgetShare = 10*time.Second, 1, 0.1
	f = start(t, set)
	extra := 0
	for i := range 10 {
		id := fmt.Sprint(i)
		f.now += 900 * ms
		out := f.ask(id, 0)
		for s := f.sent(out); s != ""; s = f.sent(out) {
			if out = f.end(id, s, Failed); f.sent(out) != "" {
				extra++
			}
		}
	}
	if extra != 2 {
		t.Errorf("%d further attempts, the budget is 1 + a tenth of 10", extra)
	}
}

func TestUnknownIgnored(t *testing.T) {
	f := start(t, settings())
	out := f.step(Started{ID: "x", Server: "x"}, Ended{ID: "x", Server: "x"}, Note{ID: "x", Server: "x", Kind: 9},
		Left{ID: "x"}, Probed{Server: "x"}, TimerFired{"x"}, PeerMessage{Data: "x"}, Request{ID: "y", Class: 99})
	if len(out) > 0 {
		t.Errorf("acted on the unknown: %v", out)
	}
}

func TestPaidStaysOffSuspects(t *testing.T) {
	set := settings()
	set.Ramp = 0 // no pace: the judgement alone keeps set-ups away
	f := start(t, set)
	bad := f.sent(f.ask("a", 0))
	f.end("a", bad, TimedOut)
	for i := range 4 {
		if f.sent(f.ask(fmt.Sprint("b", i), 0)) == bad {
			t.Error("set-up sent to a suspect within its rest")
		}
	}
	f.now += 20 * time.Second
	for i := range 4 {
		if f.sent(f.ask(fmt.Sprint("c", i), 1)) == bad {
			t.Error("paid set-up sent to a server that has not served again")
		}
	}
}

// Where every holder lost one answer, paid set-ups still go out; where every holder broke, they don't.
func TestPaidWhenAllAreSuspect(t *testing.T) {
	for _, tt := range []struct {
		o    Outcome
		want bool
	}{{TimedOut, true}, {Reset, false}} {
		f := start(t, settings())
		for i := range 6 {
			f.step(Request{ID: fmt.Sprint("a", i), Home: i, Span: 1, Best: 2, Due: f.now + 4*time.Second})
			f.step(Ended{ID: fmt.Sprint("a", i), Server: fmt.Sprint("s", i), Outcome: tt.o, Final: true})
		}
		if got := f.sent(f.ask("p", 1)); (got != "") != tt.want {
			t.Errorf("after outcome %v everywhere a paid set-up went to %q", tt.o, got)
		}
	}
}

// An error may be the request's own fault: one does not make a server suspect, several in a row do.
func TestErrorsInARow(t *testing.T) {
	f := start(t, settings(), Server{ID: "s0", State: Ready, Weight: 1})
	for i := range brokenAfter + 1 {
		id := fmt.Sprint("x", i)
		if f.sent(f.ask(id, 0)) != "s0" {
			t.Fatalf("%s was not sent", id)
		}
		f.step(Ended{ID: id, Server: "s0", Outcome: Failed})
		if suspect := f.c.known["s0"].fails > 0; suspect != (i+1 >= brokenAfter) {
			t.Errorf("after %d errors: suspect %v", i+1, suspect)
		}
		f.now += time.Minute // past any rest
	}
	f.play("y", 0)
	if f.c.known["s0"].errors != 0 {
		t.Error("errors outlive a set-up that was served")
	}
}

// TestHeldBackForDrain: a set-up that was held back because its server drained meanwhile is placed anew; one that was
// held back for itself is refused.
func TestHeldBackForDrain(t *testing.T) {
	f := start(t, settings())
	s := f.sent(f.ask("a", 1))
	f.step(ListUpdate{Servers: []Server{{ID: s, Cell: int(s[1] - '0'), State: Draining, Weight: 1}}})
	out := f.end("a", s, Moot)
	if to := f.sent(out); to == "" || to == s {
		t.Errorf("held back for a drain: %v", out)
	}
	out = f.end("a", f.sent(out), Moot)
	if _, ok := find[Refuse](out); !ok {
		t.Errorf("held back for itself: %v", out)
	}
}
