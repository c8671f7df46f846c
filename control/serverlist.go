package control

// Bookkeeping of the server list: the known servers, sorted by ID, and the assignment of short IDs.

import (
	"slices"
	"strings"
)

// compareByID orders servers by ID.
func compareByID(a, b *server) int { return strings.Compare(a.ID, b.ID) }

// mergeList applies a list update and returns the servers that it mentions, sorted by ID. Its sorting cost grows with
// the size of the update: a change of one server does not sort thousands of others again.
func (c *Controller) mergeList(u ListUpdate) (updated []*server) {
	if u.Whole {
		for _, s := range c.sortedServers {
			s.State = Gone
		}
	}
	var added []*server
	for _, line := range u.Servers {
		s := c.serversByID[line.ID]
		if s == nil {
			s = &server{}
			c.serversByID[line.ID] = s
			added = append(added, s)
		}
		s.Server = line
		updated = append(updated, s)
	}
	slices.SortFunc(updated, compareByID)
	slices.SortFunc(added, compareByID)
	c.sortedServers = mergeSorted(c.sortedServers, added)
	return slices.Compact(updated) // a server that is mentioned twice has the values of its last line
}

// mergeSorted merges two lists of servers that are both sorted by ID.
func mergeSorted(sorted, added []*server) []*server {
	if len(added) == 0 {
		return sorted
	}
	merged := make([]*server, 0, len(sorted)+len(added))
	for len(sorted) > 0 && len(added) > 0 {
		next := &sorted
		if compareByID(added[0], sorted[0]) < 0 {
			next = &added
		}
		merged, *next = append(merged, (*next)[0]), (*next)[1:]
	}
	return append(append(merged, sorted...), added...)
}

// registerShortID registers a server under its short ID. If two servers have the same short ID, it belongs to the one
// with the higher ID.
func (c *Controller) registerShortID(s *server) {
	id := shortIDOf(s.ID)
	if owner := c.serversByShortID[id]; owner == nil || compareByID(owner, s) <= 0 {
		c.serversByShortID[id] = s
	}
}

// removeGoneServers removes the servers that have been gone for long and run no own sessions any more. Without it the
// lists would grow without bound where servers are replaced by new ones all day.
func (c *Controller) removeGoneServers() {
	removed := false
	for _, s := range c.sortedServers {
		switch {
		case s.State != Gone:
			s.goneSince = 0
		case s.goneSince == 0:
			s.goneSince = c.now
		case c.now-s.goneSince > goneServerRetention && len(s.sessions) == 0:
			delete(c.serversByID, s.ID)
			removed = true
		}
	}
	if !removed {
		return
	}
	c.sortedServers = slices.DeleteFunc(c.sortedServers, func(s *server) bool { return c.serversByID[s.ID] != s })
	clear(c.serversByShortID)
	for _, s := range c.sortedServers {
		c.registerShortID(s)
	}
}
