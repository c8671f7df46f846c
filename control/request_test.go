package control

import (
	"fmt"
	"testing"
	"time"
)

func TestUnansweredSetUpIsResentElsewhere(t *testing.T) {
	f := startFront(t, testSettings())
	first := f.sentTo(f.request("a", 0))
	f.now += 500 * ms
	second := f.sentTo(f.endAttempt("a", first, TimedOut))
	if second == "" || second == first {
		t.Errorf("resent to %q after %q", second, first)
	}
	for i := range 12 { // the suspect server gets no further set-ups
		if s := f.sentTo(f.request(fmt.Sprint("b", i), 0)); s == first {
			t.Errorf("set-up %d was sent to the suspect server", i)
		}
	}
}

func TestSuccessfulTrialClearsSuspicion(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.endAttempt("a", f.sentTo(f.request("a", 0)), ConnectFailed)
	f.now += 20 * time.Second
	out := f.request("b", 0)
	if f.sentTo(out) != "s0" {
		t.Fatal("the server was not tried again after its avoid time")
	}
	f.step(SessionStarted{ID: "b", Server: "s0"})
	f.now += 12 * time.Second
	if f.sentTo(f.request("c", 1)) != "s0" {
		t.Error("a server that served again gets no at-most-once set-up")
	}
}

func TestSuspectsAreTriedWhenAllAreSuspect(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1},
		Server{ID: "s1", Cell: 1, State: Ready, Weight: 1})
	out := f.request("a", 0)
	for range 2 {
		out = f.endAttempt("a", f.sentTo(out), ConnectFailed)
	}
	f.now += 3 * time.Second
	if f.sentTo(f.request("b", 0)) == "" {
		t.Error("no server was tried although all holders are suspect")
	}
}

func TestAtMostOnceSetUpIsNotRepeated(t *testing.T) {
	for _, outcome := range []Outcome{Failed, TimedOut, Reset, Cancelled} {
		f := startFront(t, testSettings())
		out := f.endAttempt("a", f.sentTo(f.request("a", 1)), outcome)
		_, refused := findAction[Refuse](out)
		if _, failed := findAction[Fail](out); f.sentTo(out) != "" || refused || !failed {
			t.Errorf("outcome %v: %v, want Fail alone", outcome, out)
		}
	}
	for _, outcome := range []Outcome{Full, ConnectFailed} {
		f := startFront(t, testSettings())
		if f.sentTo(f.endAttempt("a", f.sentTo(f.request("a", 1)), outcome)) == "" {
			t.Errorf("a set-up with outcome %v, which never ran, was not resent", outcome)
		}
	}
}

func TestDeduplicatedSetUpStaysInScopeAndWindow(t *testing.T) {
	f := startFront(t, testSettings())
	first := f.sentTo(f.request("a", 2))
	second := f.sentTo(f.endAttempt("a", first, TimedOut))
	if second == "" || f.c.serversByID[second].Zone != f.c.serversByID[first].Zone {
		t.Errorf("resent from %s to %q in another zone", first, second)
	}
	f = startFront(t, testSettings())
	first = f.sentTo(f.request("a", 2))
	f.now += 2 * time.Second
	out := f.endAttempt("a", first, TimedOut)
	if _, ok := findAction[Fail](out); !ok || f.sentTo(out) != "" {
		t.Errorf("after the deduplication window: %v, want Fail", out)
	}
}

func TestDrainingServerGetsNoSetUps(t *testing.T) {
	f := startFront(t, testSettings())
	f.reportLinks(0, .5, .5, .5, .5, .5)
	f.step(ListUpdate{Servers: []Server{{ID: "s0", State: Draining, Weight: 1}}})
	for i := range 9 {
		if f.sentTo(f.request(fmt.Sprint(i), 0)) == "s0" {
			t.Fatal("sent to a draining server")
		}
	}
}

func TestAttemptLimitAndRetryBudget(t *testing.T) {
	settings := testSettings()
	f := startFront(t, settings)
	out, attempts := f.request("a", 0), 0
	for s := f.sentTo(out); s != ""; s = f.sentTo(out) {
		attempts++
		out = f.endAttempt("a", s, ConnectFailed)
	}
	if attempts != settings.MaxAttempts {
		t.Errorf("%d attempts, the limit is %d", attempts, settings.MaxAttempts)
	}
	settings.BudgetSpan, settings.BudgetFree, settings.BudgetShare = 10*time.Second, 1, 0.1
	f = startFront(t, settings)
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
		t.Errorf("%d further attempts, the budget allows 1 + a tenth of 10 requests", extra)
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	f := startFront(t, testSettings())
	out := f.step(SessionStarted{ID: "x", Server: "x"}, AttemptEnded{ID: "x", Server: "x"},
		Note{ID: "x", Server: "x", Kind: 9},
		ViewerLeft{ID: "x"}, ProbeResult{Server: "x"}, TimerFired{"x"}, PeerMessage{Data: "x"}, Request{ID: "y", Class: 99})
	if len(out) > 0 {
		t.Errorf("unknown events led to actions %v", out)
	}
}

func TestAtMostOnceAvoidsSuspects(t *testing.T) {
	settings := testSettings()
	settings.Ramp = 0 // without slow start, only the suspicion keeps set-ups away
	f := startFront(t, settings)
	failing := f.sentTo(f.request("a", 0))
	f.endAttempt("a", failing, TimedOut)
	for i := range 4 {
		if f.sentTo(f.request(fmt.Sprint("b", i), 0)) == failing {
			t.Error("a set-up was sent to a suspect server within its avoid time")
		}
	}
	f.now += 20 * time.Second
	for i := range 4 {
		if f.sentTo(f.request(fmt.Sprint("c", i), 1)) == failing {
			t.Error("an at-most-once set-up was sent to a server that has not served again")
		}
	}
}

// TestAtMostOnceWhenAllAreSuspect checks that at-most-once set-ups are still sent if one answer of every holder is
// missing, but not if every holder may have restarted.
func TestAtMostOnceWhenAllAreSuspect(t *testing.T) {
	for _, tt := range []struct {
		outcome  Outcome
		wantSent bool
	}{{TimedOut, true}, {Reset, false}} {
		f := startFront(t, testSettings())
		for i := range 6 {
			f.step(Request{ID: fmt.Sprint("a", i), HomeCell: i, CellSpan: 1, BestRung: 2, GiveUpAt: f.now + 4*time.Second})
			f.step(AttemptEnded{ID: fmt.Sprint("a", i), Server: fmt.Sprint("s", i), Outcome: tt.outcome, Final: true})
		}
		if got := f.sentTo(f.request("p", 1)); (got != "") != tt.wantSent {
			t.Errorf("after outcome %v at all holders an at-most-once set-up was sent to %q", tt.outcome, got)
		}
	}
}

// TestConsecutiveErrorsMakeServerSuspect checks that a single error does not make a server suspect, since the request
// may have caused it, while several in a row do.
func TestConsecutiveErrorsMakeServerSuspect(t *testing.T) {
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
		f.now += time.Minute // after any avoid time
	}
	f.startSession("y", 0)
	if f.c.serversByID["s0"].failedSetUps != 0 {
		t.Error("a served set-up does not reset the error count")
	}
}

// TestUnsentSetUpOnDrainingServer checks that a set-up that was not sent because its server started to drain is placed
// again, and that one that was not sent although its server is ready is refused.
func TestUnsentSetUpOnDrainingServer(t *testing.T) {
	f := startFront(t, testSettings())
	s := f.sentTo(f.request("a", 1))
	f.step(ListUpdate{Servers: []Server{{ID: s, Cell: int(s[1] - '0'), State: Draining, Weight: 1}}})
	out := f.endAttempt("a", s, NotSent)
	if to := f.sentTo(out); to == "" || to == s {
		t.Errorf("not sent because of a drain: %v", out)
	}
	out = f.endAttempt("a", f.sentTo(out), NotSent)
	if _, ok := findAction[Refuse](out); !ok {
		t.Errorf("not sent for another reason: %v", out)
	}
}
