package control

import (
	"fmt"
	"testing"
	"time"
)

func TestSlowStartRate(t *testing.T) {
	cold := Server{ID: "s0", State: Ready, Weight: 1, Started: 99 * time.Second}
	f := startFront(t, testSettings(), cold)
	sent := 0
	for i := range 15 { // ten requests a second for 1.5 s
		if f.sentTo(f.request(fmt.Sprint(i), 0)) != "" {
			sent++
		}
		f.now += 100 * ms
	}
	// 20 streams over 10 s, 0.4 to 0.55 of the capacity, 2.5 times that for 1.5 s, divided by three fronts: one.
	if sent > 1 {
		t.Errorf("%d set-ups in 1.5 s, the share of a front is one", sent)
	}
	f.now += 10 * time.Second
	f.reportLinks(.1)
	for i := range 5 {
		if f.sentTo(f.request(fmt.Sprint("w", i), 0)) == "" {
			t.Error("a warm server still gets no set-ups")
		}
	}
}

func TestRecoveredServerStartsSlowly(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.endAttempt("a", f.sentTo(f.request("a", 0)), ConnectFailed)
	f.now += 20 * time.Second
	f.startSession("b", 0)
	if f.sentTo(f.request("c", 0)) != "" {
		t.Error("two set-ups at once were sent to a server that may be cold")
	}
}

// TestLostAnswerIsNoRestart checks that a single unanswered set-up does not lead to a slow start, while a lost
// connection or several unanswered set-ups in a row do.
func TestLostAnswerIsNoRestart(t *testing.T) {
	for _, tt := range []struct {
		name     string
		outcomes []Outcome
		limited  bool
	}{{"one unanswered set-up", []Outcome{TimedOut}, false}, {"connection reset", []Outcome{Reset}, true},
		{"three unanswered set-ups", []Outcome{TimedOut, TimedOut, TimedOut}, true}} {
		f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
		for i, outcome := range tt.outcomes {
			f.request(fmt.Sprint("a", i), 0)
			f.step(AttemptEnded{ID: fmt.Sprint("a", i), Server: "s0", Outcome: outcome, Final: true})
			f.now += 9 * time.Second
		}
		f.now += 9 * time.Second
		s := f.sentTo(f.request("b", 0))
		f.step(SessionStarted{ID: "b", Server: s})
		if limited := f.sentTo(f.request("c", 0)) == ""; s == "s0" && limited != tt.limited {
			t.Errorf("%s: rate limited %v after an answer", tt.name, limited)
		}
	}
}

// TestFrontsSpreadFirstSetUps checks that a hundred fronts that are notified of a server's start at the same time do
// not all send a set-up at once.
func TestFrontsSpreadFirstSetUps(t *testing.T) {
	sent := 0
	for seed := range 100 {
		settings := testSettings()
		settings.Fronts = 100
		c, _ := New(settings, uint64(seed))
		now := 100 * time.Second
		c.Step(now, []Event{ListUpdate{Whole: true,
			Servers: []Server{{ID: "s0", State: Ready, Weight: 1, Started: now - time.Second}}}})
		now += time.Second
		if _, ok := findAction[Send](c.Step(now,
			[]Event{Request{ID: "a", CellSpan: 6, BestRung: 2, GiveUpAt: now + time.Second}})); ok {
			sent++
		}
	}
	// 20 streams over 10 s, 0.4 of them at the start, 2.5 times that: the server can take 2 set-ups a second.
	if sent > 6 {
		t.Errorf("%d of 100 fronts sent a set-up one second after they were notified of the start", sent)
	}
}
