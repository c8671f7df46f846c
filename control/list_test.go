package control

import (
	"fmt"
	"testing"
	"time"
)

// TestSubscribes checks that the controller subscribes at its first step, and again when the timer that it sets after a
// failure expires.
func TestSubscribes(t *testing.T) {
	settings := testSettings()
	settings.MustSubscribe = true
	c, _ := New(settings, 1)
	if _, ok := findAction[Subscribe](c.Step(time.Second, []Event{ListUpdate{Whole: true, Cached: true}})); !ok {
		t.Fatal("the first step does not subscribe to the server list")
	}
	if timer, ok := findAction[SetTimer](c.Step(2*time.Second, []Event{ListUpdate{Failed: true}})); !ok ||
		timer.Label != "subscribe" {
		t.Fatal("no timer is set to retry a failed subscription")
	}
	if _, ok := findAction[Subscribe](c.Step(4*time.Second, []Event{TimerFired{"subscribe"}})); !ok {
		t.Error("the timer does not renew the subscription")
	}
}

// TestInvalidSettings checks that New rejects invalid settings, that minimal settings are valid, and that a request is
// refused while the server list is empty.
func TestInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"empty ladder":  func(s *Settings) { s.Ladder = nil },
		"falling rates": func(s *Settings) { s.Ladder = []float64{3, 2, 1} },
		"no worth":      func(s *Settings) { s.RungWorth = nil },
		"negative time": func(s *Settings) { s.Ramp = -1 },
		"no rung":       func(s *Settings) { s.Classes[0].MinRung = 3 },
		"negative aim":  func(s *Settings) { s.Classes[0].Aim = -1 },
	} {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
	minimal := Settings{Ladder: []float64{1}, RungWorth: []float64{1}, Classes: []Class{{}}}
	f := startFront(t, minimal, []Server{}...)
	f.step(ListUpdate{Whole: true})
	if _, ok := findAction[Refuse](f.request("a", 0)); !ok {
		t.Error("the request is not refused although the server list is empty")
	}
}

// TestRemovesServersLongGone checks that servers that are gone are removed after a while, except those that still run
// sessions. Otherwise the lists would grow without bound where servers are replaced by new ones all day.
func TestRemovesServersLongGone(t *testing.T) {
	f := startFront(t, testSettings())
	inUse := f.startSession("x", 0)
	for i := range 300 {
		f.now += 2 * time.Second
		gone := Server{ID: fmt.Sprint("n", i-1), State: Gone}
		if i == 0 {
			gone.ID = inUse
		}
		f.step(ListUpdate{Servers: []Server{gone, {ID: fmt.Sprint("n", i), Cell: i % 6, State: Ready, Weight: 1}}})
	}
	if n := len(f.c.serversByID); n > 60 || len(f.c.serversByShortID) > n || len(f.c.sortedServers) != n ||
		f.c.serversByID[inUse] == nil {
		t.Errorf("%d servers by ID, %d by short ID, %d sorted", n, len(f.c.serversByShortID), len(f.c.sortedServers))
	}
}
