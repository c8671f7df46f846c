package control

// Headroom of links and uplinks, and the part of it that is reserved for announced sessions.

import "math"

// handleHoldsUpdate replaces the capacity reserved for announced sessions.
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

// reservedForOthers returns the rate and streams that holds on a server reserve for sessions of another
// class or title than sess; a nil sess counts all holds. Own sessions of a hold's class and title that
// started since the last update use up the hold, and all other fronts are assumed to have used as much.
// Trade-off: a hold for viewers who never arrive keeps out others until an update withdraws it.
func (c *Controller) reservedForOthers(sess *session, s *server) (reservedRate, reservedStreams float64) {
	for _, h := range s.holds {
		if sess != nil && sess.Class == h.Class && sess.Title == h.Title {
			continue
		}
		rate, streams := h.Rate, h.Streams
		for _, own := range s.sessions {
			if own.Class == h.Class && own.Title == h.Title && own.sentAt >= c.holdsUpdatedAt {
				rate, streams = rate-float64(c.cfg.Fronts)*c.sessionRate(own, own.rung),
					streams-float64(c.cfg.Fronts)
			}
		}
		reservedRate, reservedStreams = reservedRate+max(rate, 0), reservedStreams+max(streams, 0)
	}
	return reservedRate, reservedStreams
}

// holdRatePerSession returns the rate that a hold on a server reserves for each session of sess's class and
// title, or 0 without such a hold.
func (c *Controller) holdRatePerSession(sess *session, s *server) float64 {
	for _, h := range s.holds {
		if sess.Class == h.Class && sess.Title == h.Title && h.Streams > 0 {
			return h.Rate / h.Streams
		}
	}
	return 0
}

// rackReservedForOthers returns the rate that holds on all servers of a rack reserve for sessions of another
// class or title than sess.
func (c *Controller) rackReservedForOthers(sess *session, r *rack) (sum float64) {
	if !c.hasHolds {
		return 0
	}
	for _, s := range r.servers {
		rate, _ := c.reservedForOthers(sess, s)
		sum += rate
	}
	return sum
}

// effectiveUtilization returns the utilization of a link, counting the rate reserved for other sessions as
// used.
func (c *Controller) effectiveUtilization(sess *session, s *server) float64 {
	utilization := c.utilization(s)
	if reserved, _ := c.reservedForOthers(sess, s); reserved > 0 && s.capacity > 0 {
		utilization += reserved / s.capacity
	}
	return utilization
}

// headroom returns the rate in kB/s that sess can use of a server's link and its rack's uplink up to the
// target utilization.
func (c *Controller) headroom(s *server, target float64, sess *session) float64 {
	link, uplink := c.linkAndUplinkHeadroom(s, target, sess)
	return min(link, uplink)
}

// linkAndUplinkHeadroom returns the headroom of the link and of the uplink separately.
func (c *Controller) linkAndUplinkHeadroom(s *server, target float64, sess *session) (link, uplink float64) {
	link, uplink = math.Inf(1), math.Inf(1)
	if s.capacity > 0 {
		reserved, _ := c.reservedForOthers(sess, s)
		link = (target-c.utilization(s))*s.capacity - reserved
	}
	if r := c.racks[s.rackIndex]; r.capacity > 0 {
		uplink = target*r.capacity - c.uplinkRate(r) - c.rackReservedForOthers(sess, r)
	}
	return link, uplink
}
