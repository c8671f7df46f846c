package control

// Bookkeeping of the server list: who is known, in order of ids, and by which short name.

import (
	"slices"
	"strings"
)

// byID orders servers by their ids.
func byID(a, b *server) int { return strings.Compare(a.ID, b.ID) }

// merge applies a list update and returns the servers that it tells something of, in order of their ids. Its cost grows with
// what is told: one server that changes does not have thousands of others put in order again.
func (c *Controller) merge(u ListUpdate) (told []*server) {
	if u.Whole {
		for _, s := range c.order {
			s.State = Gone
		}
	}
	var added []*server
	for _, line := range u.Servers {
		s := c.known[line.ID]
		if s == nil {
			s = &server{}
			c.known[line.ID] = s
			added = append(added, s)
		}
		s.Server = line
		told = append(told, s)
	}
	slices.SortFunc(told, byID)
	slices.SortFunc(added, byID)
	c.order = mergeOrdered(c.order, added)
	return slices.Compact(told) // one that is told twice is as told last
}

// mergeOrdered puts servers into others, both in order of their ids.
func mergeOrdered(order, added []*server) []*server {
	if len(added) == 0 {
		return order
	}
	merged := make([]*server, 0, len(order)+len(added))
	for len(order) > 0 && len(added) > 0 {
		next := &order
		if byID(added[0], order[0]) < 0 {
			next = &added
		}
		merged, *next = append(merged, (*next)[0]), (*next)[1:]
	}
	return append(append(merged, order...), added...)
}

// mark gives a server its short name; of two with the same one the later in order of ids has it.
func (c *Controller) mark(s *server) {
	name := markOf(s.ID)
	if holder := c.marks[name]; holder == nil || byID(holder, s) <= 0 {
		c.marks[name] = s
	}
}

// forgetGone drops servers that are gone for long and run nothing any more: where servers are replaced by new
// ones all day, they would grow without end.
func (c *Controller) forgetGone() {
	forgotten := false
	for _, s := range c.order {
		switch {
		case s.State != Gone:
			s.goneSeen = 0
		case s.goneSeen == 0:
			s.goneSeen = c.now
		case c.now-s.goneSeen > keepGone && len(s.held) == 0:
			delete(c.known, s.ID)
			forgotten = true
		}
	}
	if !forgotten {
		return
	}
	c.order = slices.DeleteFunc(c.order, func(s *server) bool { return c.known[s.ID] != s })
	clear(c.marks)
	for _, s := range c.order {
		c.mark(s)
	}
}
