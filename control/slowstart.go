package control

// The pace of set-ups at servers that started a short time ago.

import "time"

// paceAllows splits the pace that a freshly started server stands over all fronts: each has one set-up for
// so many of the fleet's as there are fronts, and waits a random part of them before its first, so that the
// fronts do not come together when they are told. The pace is summed up over the wait: taken as it is at the
// end, it let hundreds of fronts send up to 1.6 times what was meant, since it rises meanwhile.
// It acts too on a server that broke and may be back, cold, before the list says so; without an answer
// that ends a ramp after the last failure. Harm: a server that merely hung gets work back slowly.
func (c *Controller) slowStartAllows(s *server) bool {
	broke := s.mayHaveRestarted && c.now-s.lastFailureAt < c.cfg.Ramp
	if c.cfg.Ramp <= 0 || !broke && (s.coldFrom == 0 || c.now-s.coldFrom >= c.cfg.Ramp) {
		return true
	}
	share := func(at time.Duration) float64 {
		if broke {
			return c.cfg.StartShare
		}
		return c.cfg.StartShare + (1-c.cfg.StartShare)*max(0, float64(at-s.coldFrom))/float64(c.cfg.Ramp)
	}
	from := max(s.rateLimitedSince, s.lastSetUpAt)
	perSecond := float64(max(c.slots(s), 1)) / c.cfg.Ramp.Seconds() * slowStartMargin * max(c.cfg.BurstFactor, 1)
	fleets := perSecond * (share(from) + share(c.now)) / 2 * (c.now - from).Seconds()
	return fleets >= s.waitFactor*float64(c.cfg.Fronts)
}

// pace starts the pacing of a server. What was sent there within a ramp counts: a front that saw it fail and
// took a new part at once would have come sooner than its turn.
func (c *Controller) beginSlowStart(s *server) {
	s.rateLimitedSince, s.waitFactor = c.now, 1
	if s.lastSetUpAt == 0 || c.now-s.lastSetUpAt > c.cfg.Ramp {
		s.waitFactor = c.rng.Float64()
	}
}
