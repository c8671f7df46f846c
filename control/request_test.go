package control

import (
	"fmt"
	"testing"
	"time"
)

func TestUnansweredGoesElsewhere(t *testing.T) {
	f := startFront(t, testSettings())
	first := f.sentTo(f.request("a", 0))
	f.now += 500 * ms
	second := f.sentTo(f.endAttempt("a", first, TimedOut))
	if second == "" || second == first {
		t.Errorf("resent to %q after %q", second, first)
	}
	for i := range 12 { // the suspect gets no pile of set-ups
		if s := f.sentTo(f.request(fmt.Sprint("b", i), 0)); s == first {
			t.Errorf("set-up %d went to the suspect", i)
		}
	}
}

func TestTrialBringsServerBack(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.endAttempt("a", f.sentTo(f.request("a", 0)), ConnectFailed)
	f.now += 20 * time.Second
	out := f.request("b", 0)
	if f.sentTo(out) != "s0" {
		t.Fatal("no trial after the wait")
	}
	f.step(SessionStarted{ID: "b", Server: "s0"})
	f.now += 12 * time.Second
	if f.sentTo(f.request("c", 1)) != "s0" {
		t.Error("a server that served again gets no paid set-up")
	}
}

func TestAllSuspectStillTried(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1}, Server{ID: "s1", Cell: 1, State: Ready, Weight: 1})
	out := f.request("a", 0)
	for range 2 {
		out = f.endAttempt("a", f.sentTo(out), ConnectFailed)
	}
	f.now += 3 * time.Second
	if f.sentTo(f.request("b", 0)) == "" {
		t.Error("every holder is suspect and nobody was tried")
	}
}

func TestPaidSetUpNotRepeated(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, Reset, Cancelled} {
		f := startFront(t, testSettings())
		out := f.endAttempt("a", f.sentTo(f.request("a", 1)), o)
		_, refused := findAction[Refuse](out)
		if _, failed := findAction[Fail](out); f.sentTo(out) != "" || refused || !failed {
			t.Errorf("outcome %v: %v, want Fail alone", o, out)
		}
	}
	for _, o := range []Outcome{Full, ConnectFailed} {
		f := startFront(t, testSettings())
		if f.sentTo(f.endAttempt("a", f.sentTo(f.request("a", 1)), o)) == "" {
			t.Errorf("outcome %v never ran and was not resent", o)
		}
	}
}

func TestDeduplicatedStaysInGroupAndWindow(t *testing.T) {
	f := startFront(t, testSettings())
	first := f.sentTo(f.request("a", 2))
	second := f.sentTo(f.endAttempt("a", first, TimedOut))
	if second == "" || f.c.serversByID[second].Zone != f.c.serversByID[first].Zone {
		t.Errorf("resent from %s to %q, another zone", first, second)
	}
	f = startFront(t, testSettings())
	first = f.sentTo(f.request("a", 2))
	f.now += 2 * time.Second
	out := f.endAttempt("a", first, TimedOut)
	if _, ok := findAction[Fail](out); !ok || f.sentTo(out) != "" {
		t.Errorf("past the window: %v, want Fail", out)
	}
}

func TestDrainKept(t *testing.T) {
	f := startFront(t, testSettings())
	f.reportLinks(0, .5, .5, .5, .5, .5)
	f.step(ListUpdate{Servers: []Server{{ID: "s0", State: Draining, Weight: 1}}})
	for i := range 9 {
		if f.sentTo(f.request(fmt.Sprint(i), 0)) == "s0" {
			t.Fatal("sent to a draining server")
		}
	}
}

func TestAttemptCapAndBudget(t *testing.T) {
	set := testSettings()
	f := startFront(t, set)
	out, n := f.request("a", 0), 0
	for s := f.sentTo(out); s != ""; s = f.sentTo(out) {
		n++
		out = f.endAttempt("a", s, ConnectFailed)
	}
	if n != set.MaxAttempts {
		t.Errorf("%d attempts, the cap is %d", n, set.MaxAttempts)
	}
	set.BudgetSpan, set.BudgetFree, set.BudgetShare = 10*time.Second, 1, 0.1
	f = startFront(t, set)
	extra := 0
	for i := range 10 {
		id := fmt.Sprint(i)
		f.now += 900 * ms
		out := f.request(id, 0)
		for s := f.sentTo(out); s != ""; s = f.sentTo(out) {
			if out = f.endAttempt(id, s, Failed); f.sentTo(out) != "" {
				extra++
			}
		}
	}
	if extra != 2 {
		t.Errorf("%d further attempts, the budget is 1 + a tenth of 10", extra)
	}
}

func TestUnknownIgnored(t *testing.T) {
	f := startFront(t, testSettings())
	out := f.step(SessionStarted{ID: "x", Server: "x"}, AttemptEnded{ID: "x", Server: "x"}, Note{ID: "x", Server: "x", Kind: 9},
		ViewerLeft{ID: "x"}, ProbeResult{Server: "x"}, TimerFired{"x"}, PeerMessage{Data: "x"}, Request{ID: "y", Class: 99})
	if len(out) > 0 {
		t.Errorf("acted on the unknown: %v", out)
	}
}

func TestPaidStaysOffSuspects(t *testing.T) {
	set := testSettings()
	set.Ramp = 0 // no pace: the judgement alone keeps set-ups away
	f := startFront(t, set)
	bad := f.sentTo(f.request("a", 0))
	f.endAttempt("a", bad, TimedOut)
	for i := range 4 {
		if f.sentTo(f.request(fmt.Sprint("b", i), 0)) == bad {
			t.Error("set-up sent to a suspect within its rest")
		}
	}
	f.now += 20 * time.Second
	for i := range 4 {
		if f.sentTo(f.request(fmt.Sprint("c", i), 1)) == bad {
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
		f := startFront(t, testSettings())
		for i := range 6 {
			f.step(Request{ID: fmt.Sprint("a", i), HomeCell: i, CellSpan: 1, BestRung: 2, GiveUpAt: f.now + 4*time.Second})
			f.step(AttemptEnded{ID: fmt.Sprint("a", i), Server: fmt.Sprint("s", i), Outcome: tt.o, Final: true})
		}
		if got := f.sentTo(f.request("p", 1)); (got != "") != tt.want {
			t.Errorf("after outcome %v everywhere a paid set-up went to %q", tt.o, got)
		}
	}
}

// An error may be the request's own fault: one does not make a server suspect, several in a row do.
func TestErrorsInARow(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	for i := range restartFailureCount + 1 {
		id := fmt.Sprint("x", i)
		if f.sentTo(f.request(id, 0)) != "s0" {
			t.Fatalf("%s was not sent", id)
		}
		f.step(AttemptEnded{ID: id, Server: "s0", Outcome: Failed})
		if suspect := f.c.serversByID["s0"].failures > 0; suspect != (i+1 >= restartFailureCount) {
			t.Errorf("after %d errors: suspect %v", i+1, suspect)
		}
		f.now += time.Minute // past any rest
	}
	f.startSession("y", 0)
	if f.c.serversByID["s0"].failedSetUps != 0 {
		t.Error("errors outlive a set-up that was served")
	}
}

// TestHeldBackForDrain: a set-up that was held back because its server drained meanwhile is placed anew; one that was
// held back for itself is refused.
func TestHeldBackForDrain(t *testing.T) {
	f := startFront(t, testSettings())
	s := f.sentTo(f.request("a", 1))
	f.step(ListUpdate{Servers: []Server{{ID: s, Cell: int(s[1] - '0'), State: Draining, Weight: 1}}})
	out := f.endAttempt("a", s, NotSent)
	if to := f.sentTo(out); to == "" || to == s {
		t.Errorf("held back for a drain: %v", out)
	}
	out = f.endAttempt("a", f.sentTo(out), NotSent)
	if _, ok := findAction[Refuse](out); !ok {
		t.Errorf("held back for itself: %v", out)
	}
}
