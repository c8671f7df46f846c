package control

// Room on links and uplinks, and what of it is held for announced sessions.

import "math"

// hold takes the room kept for announced sessions.
func (c *Controller) hold(e Holds) {
	c.holding, c.holdsAt = len(e.Parts) > 0, c.now
	for _, s := range c.order {
		s.kept = nil
	}
	for _, h := range e.Parts {
		if s := c.known[h.Server]; s != nil && h.Rate >= 0 && h.Streams >= 0 {
			s.kept = append(s.kept, h)
		}
	}
}

// heldBack is the room on a server that is held for others than x; for anyone, where x is nil. What own
// sessions of its title took since the hold was told is used, and other fronts are thought to have taken
// as much. Harm: a hold for viewers who never come keeps out others, until it is told no more.
func (c *Controller) heldBack(x *session, s *server) (kb, streams float64) {
	for _, h := range s.kept {
		if x != nil && x.Class == h.Class && x.Title == h.Title {
			continue
		}
		rate, n := h.Rate, h.Streams
		for _, y := range s.held {
			if y.Class == h.Class && y.Title == h.Title && y.sentAt >= c.holdsAt {
				rate, n = rate-float64(c.set.Fronts)*c.rate(y, y.rung), n-float64(c.set.Fronts)
			}
		}
		kb, streams = kb+max(rate, 0), streams+max(n, 0)
	}
	return kb, streams
}

// planned is the rate that a hold keeps on a server for each session like x; 0 where none does.
func (c *Controller) planned(x *session, s *server) float64 {
	for _, h := range s.kept {
		if x.Class == h.Class && x.Title == h.Title && h.Streams > 0 {
			return h.Rate / h.Streams
		}
	}
	return 0
}

// rackHeld is the same for a rack's uplink.
func (c *Controller) rackHeld(x *session, r *rack) (sum float64) {
	if !c.holding {
		return 0
	}
	for _, s := range r.servers {
		kb, _ := c.heldBack(x, s)
		sum += kb
	}
	return sum
}

// seems is how full a link is in x's eyes: what is held for others is taken.
func (c *Controller) seems(x *session, s *server) float64 {
	full := c.fullness(s)
	if kb, _ := c.heldBack(x, s); kb > 0 && s.capacity > 0 {
		full += kb / s.capacity
	}
	return full
}

// room is what a server's link and its rack's uplink still give x up to a fullness, in kB/s.
func (c *Controller) room(s *server, upTo float64, x *session) float64 {
	link, uplink := c.rooms(s, upTo, x)
	return min(link, uplink)
}

func (c *Controller) rooms(s *server, upTo float64, x *session) (link, uplink float64) {
	link, uplink = math.Inf(1), math.Inf(1)
	if s.capacity > 0 {
		kb, _ := c.heldBack(x, s)
		link = (upTo-c.fullness(s))*s.capacity - kb
	}
	if r := c.racks[s.rack]; r.capacity > 0 {
		uplink = upTo*r.capacity - c.uplink(r) - c.rackHeld(x, r)
	}
	return link, uplink
}
