package control

import (
	"fmt"
	"testing"
	"time"
)

func TestSubscribes(t *testing.T) {
	set := testSettings()
	set.MustSubscribe = true
	c, _ := New(set, 1)
	if _, ok := findAction[Subscribe](c.Step(time.Second, []Event{ListUpdate{Whole: true, Cached: true}})); !ok {
		t.Fatal("no subscription at start")
	}
	if timer, ok := findAction[SetTimer](c.Step(2*time.Second, []Event{ListUpdate{Failed: true}})); !ok || timer.Label != "subscribe" {
		t.Fatal("a failed subscription is not asked for again")
	}
	if _, ok := findAction[Subscribe](c.Step(4*time.Second, []Event{TimerFired{"subscribe"}})); !ok {
		t.Error("the timer does not subscribe")
	}
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"empty ladder":  func(s *Settings) { s.Ladder = nil },
		"falling rates": func(s *Settings) { s.Ladder = []float64{3, 2, 1} },
		"no worth":      func(s *Settings) { s.RungWorth = nil },
		"negative time": func(s *Settings) { s.Ramp = -1 },
		"no rung":       func(s *Settings) { s.Classes[0].MinRung = 3 },
		"negative aim":  func(s *Settings) { s.Classes[0].Aim = -1 },
	} {
		set := testSettings()
		spoil(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	bare := Settings{Ladder: []float64{1}, RungWorth: []float64{1}, Classes: []Class{{}}}
	f := startFront(t, bare, []Server{}...)
	f.step(ListUpdate{Whole: true})
	if _, ok := findAction[Refuse](f.request("a", 0)); !ok {
		t.Error("an empty list does not refuse")
	}
}

// Servers that are replaced by new ones all day leave nothing behind, but for those that run something still.
func TestForgetsServersLongGone(t *testing.T) {
	f := startFront(t, testSettings())
	kept := f.startSession("x", 0)
	for i := range 300 {
		f.now += 2 * time.Second
		gone := Server{ID: fmt.Sprint("n", i-1), State: Gone}
		if i == 0 {
			gone.ID = kept
		}
		f.step(ListUpdate{Servers: []Server{gone, {ID: fmt.Sprint("n", i), Cell: i % 6, State: Ready, Weight: 1}}})
	}
	if n := len(f.c.serversByID); n > 60 || len(f.c.serversByShortID) > n || len(f.c.sortedServers) != n || f.c.serversByID[kept] == nil {
		t.Errorf("%d servers known, %d marks, %d in order", n, len(f.c.serversByShortID), len(f.c.sortedServers))
	}
}
