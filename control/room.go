package control

// Room on links and uplinks, and what of it is held for announced sessions.

import "math"

// hold takes the room kept for announced sessions.
func (c *Controller) handleHoldsUpdate(e HoldsUpdate) {
	c.hasHolds, c.holdsUpdatedAt = len(e.Holds) > 0, c.now
	for _, s := range c.sortedServers {
		s.holds = nil
	}
	for _, h := range e.Holds {
		if s := c.serversByID[h.Server]; s != nil && h.Rate >= 0 && h.Streams >= 0 {
			s.holds = append(s.holds, h)
		}
	}
}

// heldBack is the room on a server that is held for others than x; for anyone, where x is nil. What own
// sessions of its title took since the hold was told is used, and other fronts are thought to have taken
// as much. Harm: a hold for viewers who never come keeps out others, until it is told no more.
func (c *Controller) reservedForOthers(x *session, s *server) (kb, streams float64) {
	for _, h := range s.holds {
		if x != nil && x.Class == h.Class && x.Title == h.Title {
			continue
		}
		rate, n := h.Rate, h.Streams
		for _, y := range s.sessions {
			if y.Class == h.Class && y.Title == h.Title && y.sentAt >= c.holdsUpdatedAt {
				rate, n = rate-float64(c.cfg.Fronts)*c.sessionRate(y, y.rung), n-float64(c.cfg.Fronts)
			}
		}
		kb, streams = kb+max(rate, 0), streams+max(n, 0)
	}
	return kb, streams
}

// planned is the rate that a hold keeps on a server for each session like x; 0 where none does.
func (c *Controller) holdRatePerSession(x *session, s *server) float64 {
	for _, h := range s.holds {
		if x.Class == h.Class && x.Title == h.Title && h.Streams > 0 {
			return h.Rate / h.Streams
		}
	}
	return 0
}

// rackHeld is the same for a rack's uplink.
func (c *Controller) rackReservedForOthers(x *session, r *rack) (sum float64) {
	if !c.hasHolds {
		return 0
	}
	for _, s := range r.servers {
		kb, _ := c.reservedForOthers(x, s)
		sum += kb
	}
	return sum
}

// seems is how full a link is in x's eyes: what is held for others is taken.
func (c *Controller) effectiveUtilization(x *session, s *server) float64 {
	full := c.utilization(s)
	if kb, _ := c.reservedForOthers(x, s); kb > 0 && s.capacity > 0 {
		full += kb / s.capacity
	}
	return full
}

// room is what a server's link and its rack's uplink still give x up to a fullness, in kB/s.
func (c *Controller) headroom(s *server, upTo float64, x *session) float64 {
	link, uplink := c.linkAndUplinkHeadroom(s, upTo, x)
	return min(link, uplink)
}

func (c *Controller) linkAndUplinkHeadroom(s *server, upTo float64, x *session) (link, uplink float64) {
	link, uplink = math.Inf(1), math.Inf(1)
	if s.capacity > 0 {
		kb, _ := c.reservedForOthers(x, s)
		link = (upTo-c.utilization(s))*s.capacity - kb
	}
	if r := c.racks[s.rackIndex]; r.capacity > 0 {
		uplink = upTo*r.capacity - c.uplinkRate(r) - c.rackReservedForOthers(x, r)
	}
	return link, uplink
}
