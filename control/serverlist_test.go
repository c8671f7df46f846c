package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestServerListIsConsistent checks the server list after any sequence of complete lists and changes, with removal of
// servers that have been gone for long: the servers are sorted by ID, each has the values of its last line, and each
// short ID belongs to a known server.
func TestServerListIsConsistent(t *testing.T) {
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
				s := Server{ID: fmt.Sprint("s", rapid.IntRange(0, 15).Draw(t, "id")),
					State: ServerState(rapid.IntRange(0, 2).Draw(t, "state")), Weight: 1,
					Cell: rapid.IntRange(0, 3).Draw(t, "cell")}
				u.Servers = append(u.Servers, s)
				last[s.ID] = s
			}
			c.Step(now, []Event{u})
			if !slices.IsSortedFunc(c.sortedServers, compareByID) || len(c.sortedServers) != len(c.serversByID) {
				t.Fatalf("%d servers sorted, %d known, or not sorted by ID", len(c.sortedServers), len(c.serversByID))
			}
			for _, s := range c.sortedServers {
				if c.serversByID[s.ID] != s || s.Server != last[s.ID] {
					t.Fatalf("%+v, last line %+v", s.Server, last[s.ID])
				}
				if owner := c.serversByShortID[shortIDOf(s.ID)]; owner == nil || c.serversByID[owner.ID] != owner {
					t.Fatalf("the short ID of %s belongs to no known server", s.ID)
				}
			}
			for id, s := range last {
				if c.serversByID[id] == nil && s.State != Gone {
					t.Fatalf("%s is missing in the server list", id)
				}
			}
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
		}
	})
}
