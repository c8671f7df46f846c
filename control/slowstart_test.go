package control

import (
	"fmt"
	"testing"
	"time"
)

func TestColdPace(t *testing.T) {
	cold := Server{ID: "s0", State: Ready, Weight: 1, Started: 99 * time.Second}
	f := startFront(t, testSettings(), cold)
	n := 0
	for i := range 15 { // 1.5 s of asking ten times a second
		if f.sentTo(f.request(fmt.Sprint(i), 0)) != "" {
			n++
		}
		f.now += 100 * ms
	}
	// 20 places over 10 s, 0.4 to 0.55 warm, 2.5 times that for 1.5 s, a third of it: one.
	if n > 1 {
		t.Errorf("%d set-ups in 1.5 s, a front's share is one", n)
	}
	f.now += 10 * time.Second
	f.reportLinks(.1)
	for i := range 5 {
		if f.sentTo(f.request(fmt.Sprint("w", i), 0)) == "" {
			t.Error("a warm server is still held back")
		}
	}
}

func TestFailedServerComesBackCold(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.endAttempt("a", f.sentTo(f.request("a", 0)), ConnectFailed)
	f.now += 20 * time.Second
	f.startSession("b", 0)
	if f.sentTo(f.request("c", 0)) != "" {
		t.Error("two set-ups at once on a server that may be cold")
	}
}

// One lost answer does not make a server cold; a lost connection or several in a row do.
func TestLostAnswerIsNoRestart(t *testing.T) {
	for _, tt := range []struct {
		name  string
		lost  []Outcome
		paced bool
	}{{"one unanswered", []Outcome{TimedOut}, false}, {"reset", []Outcome{Reset}, true},
		{"three unanswered", []Outcome{TimedOut, TimedOut, TimedOut}, true}} {
		f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
		for i, o := range tt.lost {
			f.request(fmt.Sprint("a", i), 0)
			f.step(AttemptEnded{ID: fmt.Sprint("a", i), Server: "s0", Outcome: o, Final: true})
			f.now += 9 * time.Second
		}
		f.now += 9 * time.Second
		s := f.sentTo(f.request("b", 0))
		f.step(SessionStarted{ID: "b", Server: s})
		if paced := f.sentTo(f.request("c", 0)) == ""; s == "s0" && paced != tt.paced {
			t.Errorf("%s: paced %v after an answer", tt.name, paced)
		}
	}
}

// A hundred fronts that are told of a start at once do not all send at once.
func TestFrontsSpreadTheFirstSetUps(t *testing.T) {
	sent := 0
	for seed := range 100 {
		set := testSettings()
		set.Fronts = 100
		c, _ := New(set, uint64(seed))
		now := 100 * time.Second
		c.Step(now, []Event{ListUpdate{Whole: true, Servers: []Server{{ID: "s0", State: Ready, Weight: 1, Started: now - time.Second}}}})
		now += time.Second
		if _, ok := findAction[Send](c.Step(now, []Event{Request{ID: "a", CellSpan: 6, BestRung: 2, GiveUpAt: now + time.Second}})); ok {
			sent++
		}
	}
	// 20 places over 10 s, 0.4 of them at the start, 2.5 times that: 2 a second stand it.
	if sent > 6 {
		t.Errorf("%d of 100 fronts sent to a server in its second second", sent)
	}
}
