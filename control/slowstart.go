package control

// Rate limit of set-ups at servers that started recently.

import "time"

// slowStartAllows divides the set-up rate that a recently started server can take among all fronts: each of
// n fronts sends one for every n set-ups that the fleet may send. Before its first set-up it waits a random
// part of that interval, so that the fronts do not all send when they are notified of the start. The rate is
// integrated over the wait because it rises meanwhile: with the rate at the end of the wait, hundreds of
// fronts together sent up to 1.6 times the intended rate. The limit also applies to a server that may have
// restarted before the server list shows it. If no set-up succeeds there, this limit ends one ramp time
// after the last failure. Trade-off: a server that only hung gets new sessions slowly.
func (c *Controller) slowStartAllows(s *server) bool {
	restarted := s.mayHaveRestarted && c.now-s.lastFailureAt < c.cfg.Ramp
	if c.cfg.Ramp <= 0 || !restarted && (s.coldFrom == 0 || c.now-s.coldFrom >= c.cfg.Ramp) {
		return true
	}
	capacityShare := func(at time.Duration) float64 {
		if restarted {
			return c.cfg.StartShare
		}
		return c.cfg.StartShare + (1-c.cfg.StartShare)*max(0, float64(at-s.coldFrom))/float64(c.cfg.Ramp)
	}
	from := max(s.rateLimitedSince, s.lastSetUpAt)
	perSecond := float64(max(c.slots(s), 1)) / c.cfg.Ramp.Seconds() *
		slowStartMargin * max(c.cfg.BurstFactor, 1)
	fleetSetUps := perSecond * (capacityShare(from) + capacityShare(c.now)) / 2 * (c.now - from).Seconds()
	return fleetSetUps >= s.waitFactor*float64(c.cfg.Fronts)
}

// beginSlowStart starts the rate limit of a server. If this front sent a set-up there within the last ramp
// time, it waits for a full interval: a front that saw the server fail and drew a new random wait would send
// too early.
func (c *Controller) beginSlowStart(s *server) {
	s.rateLimitedSince, s.waitFactor = c.now, 1
	if s.lastSetUpAt == 0 || c.now-s.lastSetUpAt > c.cfg.Ramp {
		s.waitFactor = c.rng.Float64()
	}
}
