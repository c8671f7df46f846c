package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestListInOrder: after any course of whole lists and changes, with servers that are gone for long forgotten, the servers
// are those known, in order of their ids, each as it was told last, and each short name belongs to one of its servers.
func TestListInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		last := map[string]Server{}
		now := time.Second
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			u := ListUpdate{Whole: rapid.Bool().Draw(t, "whole")}
			if u.Whole {
				for id, s := range last {
					s.State = Gone
					last[id] = s
				}
			}
			for range rapid.IntRange(0, 8).Draw(t, "entries") {
				s := Server{ID: fmt.Sprint("s", rapid.IntRange(0, 15).Draw(t, "id")), State: ServerState(rapid.IntRange(0, 2).Draw(t, "state")), Weight: 1,
					Cell: rapid.IntRange(0, 3).Draw(t, "cell")}
				u.Servers = append(u.Servers, s)
				last[s.ID] = s
			}
			c.Step(now, []Event{u})
			if !slices.IsSortedFunc(c.sortedServers, compareByID) || len(c.sortedServers) != len(c.serversByID) {
				t.Fatalf("%d in order of %d known", len(c.sortedServers), len(c.serversByID))
			}
			for _, s := range c.sortedServers {
				if c.serversByID[s.ID] != s || s.Server != last[s.ID] {
					t.Fatalf("%+v, told last %+v", s.Server, last[s.ID])
				}
				if holder := c.serversByShortID[shortIDOf(s.ID)]; holder == nil || c.serversByID[holder.ID] != holder {
					t.Fatalf("short name of %s belongs to nobody known", s.ID)
				}
			}
			for id, s := range last {
				if c.serversByID[id] == nil && s.State != Gone {
					t.Fatalf("%s is not known", id)
				}
			}
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
		}
	})
}
