package control

// Bookkeeping of the server list: who is known, in order of ids, and by which short name.

import (
	"slices"
	"strings"
)

// byID orders servers by their ids.
func compareByID(a, b *server) int { return strings.Compare(a.ID, b.ID) }

// merge applies a list update and returns the servers that it tells something of, in order of their ids. Its cost grows with
// what is told: one server that changes does not have thousands of others put in order again.
func (c *Controller) mergeList(u ListUpdate) (told []*server) {
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
		told = append(told, s)
	}
	slices.SortFunc(told, compareByID)
	slices.SortFunc(added, compareByID)
	c.sortedServers = mergeSorted(c.sortedServers, added)
	return slices.Compact(told) // one that is told twice is as told last
}

// mergeOrdered puts servers into others, both in order of their ids.
func mergeSorted(order, added []*server) []*server {
	if len(added) == 0 {
		return order
	}
	merged := make([]*server, 0, len(order)+len(added))
	for len(order) > 0 && len(added) > 0 {
		next := &order
		if compareByID(added[0], order[0]) < 0 {
			next = &added
		}
		merged, *next = append(merged, (*next)[0]), (*next)[1:]
	}
	return append(append(merged, order...), added...)
}

// mark gives a server its short name; of two with the same one the later in order of ids has it.
func (c *Controller) registerShortID(s *server) {
	name := shortIDOf(s.ID)
	if holder := c.serversByShortID[name]; holder == nil || compareByID(holder, s) <= 0 {
		c.serversByShortID[name] = s
	}
}

// forgetGone drops servers that are gone for long and run nothing any more: where servers are replaced by new
// ones all day, they would grow without end.
func (c *Controller) removeGoneServers() {
	forgotten := false
	for _, s := range c.sortedServers {
		switch {
		case s.State != Gone:
			s.goneSince = 0
		case s.goneSince == 0:
			s.goneSince = c.now
		case c.now-s.goneSince > goneServerRetention && len(s.sessions) == 0:
			delete(c.serversByID, s.ID)
			forgotten = true
		}
	}
	if !forgotten {
		return
	}
	c.sortedServers = slices.DeleteFunc(c.sortedServers, func(s *server) bool { return c.serversByID[s.ID] != s })
	clear(c.serversByShortID)
	for _, s := range c.sortedServers {
		c.registerShortID(s)
	}
}
