package control

// Rungs of playing sessions: steps up and down.

import "math"

// remainingSeconds estimates how long a session will still play.
func (c *Controller) remainingSeconds(sess *session) float64 {
	remaining := assumedLength
	if sess.ExpectedLength > 0 {
		remaining = max(sess.ExpectedLength-(c.now-sess.startedAt), sess.ExpectedLength/5)
	}
	if !sess.playing {
		remaining = max(sess.ExpectedLength, assumedLength)
	}
	return remaining.Seconds()
}

// stepDownLoss returns the worth lost per kB/s freed when a session steps down one rung, and the rate freed.
func (c *Controller) stepDownLoss(sess *session) (loss, freed float64) {
	freed = c.sessionRate(sess, sess.rung) - c.sessionRate(sess, sess.rung-1)
	worth := c.cfg.RungWorth[sess.rung] - c.cfg.RungWorth[sess.rung-1]
	loss = sess.worth * (worth*c.remainingSeconds(sess) + c.cfg.SwitchCost.Seconds())
	return loss / max(freed, 1e-9), freed
}

// stepUpGain returns the worth gained per kB/s taken when a session steps up one rung, and the rate taken.
func (c *Controller) stepUpGain(sess *session) (gain, taken float64) {
	taken = c.sessionRate(sess, sess.rung+1) - c.sessionRate(sess, sess.rung)
	gain = (c.cfg.RungWorth[sess.rung+1] - c.cfg.RungWorth[sess.rung]) * c.remainingSeconds(sess)
	if sess.playing {
		if gain < switchGainFactor*c.cfg.SwitchCost.Seconds() {
			return 0, taken
		}
		gain -= c.cfg.SwitchCost.Seconds()
	}
	return sess.worth * gain / max(taken, 1e-9), taken
}

// cheapestStepDown returns the playing session that loses the least worth per kB/s freed by a step down.
func (c *Controller) cheapestStepDown(sessions []*session, except *session) (
	best *session, loss, freed float64,
) {
	for _, sess := range sessions {
		if sess == except || !sess.playing || sess.rung <= sess.class.MinRung {
			continue
		}
		if l, f := c.stepDownLoss(sess); best == nil || l < loss {
			best, loss, freed = sess, l, f
		}
	}
	return best, loss, freed
}

// stepDown frees a rate by stepping down own sessions. If the last step frees more than is still needed, it
// is taken with a probability equal to the part needed, so that fronts that correct at the same time free
// the needed rate together.
func (c *Controller) stepDown(sessions []*session, needed float64, except *session) {
	for needed > 0 {
		sess, _, freed := c.cheapestStepDown(sessions, except)
		if sess == nil || except == nil && freed > needed && c.rng.Float64()*freed > needed {
			return
		}
		needed -= freed
		c.setRung(sess, sess.rung-1)
	}
}

func (c *Controller) setRung(sess *session, rung int) {
	sess.rung = rung
	c.emit(SetRung{sess.ID, rung})
	c.updateOwnRate(sess.assignedTo)
}

// swapSteps frees the rate for a new session's next rung by stepping down another session on the link, if
// that loses clearly less worth than the step up gains.
func (c *Controller) swapSteps(sess *session, s *server, needed float64) bool {
	gain, _ := c.stepUpGain(sess)
	other, loss, freed := c.cheapestStepDown(s.sessions, sess)
	if other == nil || freed < needed || gain < swapGainFactor*loss {
		return false
	}
	c.setRung(other, other.rung-1)
	return true
}

// hasPeerUpdates reports whether other fronts report their changes at a server, so that their changes need
// not be estimated.
func (c *Controller) hasPeerUpdates(s *server) bool {
	return s.lastPeerUpdateAt > 0 && c.now-s.lastPeerUpdateAt < max(c.cfg.LinkNoteInterval, stepInterval)
}

// adjustRungs corrects the rungs of playing sessions. All fronts receive the report on a link at the same
// time, so each corrects its own share of the excess or headroom once per report, and assumes until the next
// report that the others did the same.
func (c *Controller) adjustRungs() {
	coverage, meanRate := c.ownSessionStats()
	c.coversMostServers, c.meanOwnRate = coverage > coverageThreshold, meanRate
	for _, r := range c.racks {
		c.adjustUplinkRungs(r)
	}
	for _, s := range c.sortedServers {
		utilization := c.utilization(s)
		if utilization >= nearlyFullThreshold {
			s.lastFullAt = c.now
		}
		if !s.freshReport || len(s.sessions) == 0 || s.capacity <= 0 {
			continue
		}
		s.freshReport = false
		own := s.ownRate / s.capacity
		if utilization > overloadThreshold {
			c.stepDown(s.sessions, (utilization-stepDownTarget)*own/utilization*s.capacity, nil)
			if !c.hasPeerUpdates(s) {
				s.othersUtilization *= stepDownTarget / utilization
			}
			c.meanValid = false
		} else if c.now-s.lastShortShareAt > stepInterval && utilization < stepUpTarget {
			ownShare := (stepUpTarget - utilization) * s.capacity * c.stepUpShare() *
				own / max(utilization, 1e-9)
			taken := c.stepUp(s, min(ownShare, c.racks[s.rackIndex].stepUpAllowance))
			c.racks[s.rackIndex].stepUpAllowance -= taken
			if !c.hasPeerUpdates(s) {
				s.othersUtilization += taken / s.capacity * max(utilization-own, 0) / max(own, 1e-9)
			}
			c.meanValid = false
		}
	}
}

// adjustUplinkRungs corrects rungs for a rack's uplink. It steps sessions down at once, then waits until
// notes can show the effect. Steps up happen per link, within an allowance that is this front's share of the
// uplink's headroom.
func (c *Controller) adjustUplinkRungs(r *rack) {
	if r.capacity <= 0 {
		r.stepUpAllowance = math.Inf(1)
		return
	}
	requested, own := c.uplinkRate(r), 0.0
	var sessions []*session
	for _, s := range r.servers {
		sessions = append(sessions, s.sessions...)
		own += s.ownRate
	}
	recentlyShort := r.lastShortShare < overloadThreshold && c.now-r.lastShortShareAt < stepInterval
	if !r.utilizationReported && !recentlyShort && requested > uplinkGrowthThreshold*r.capacity {
		r.capacity = min(r.capacity*uplinkGrowthPerTick, 2*r.configuredCapacity)
	}
	if c.now-r.lastStepDownAt < c.cfg.NoteDelay+settleTime {
		return
	}
	if r.freshReport && requested > overloadThreshold*r.capacity && !r.recovering {
		r.lastStepDownAt, r.stepUpAllowance = c.now, 0
		c.stepDown(sessions, (requested-stepDownTarget*r.capacity)*own/requested, nil)
		for _, s := range r.servers {
			s.othersUtilization *= stepDownTarget * r.capacity / requested
		}
		c.meanValid = false
	} else if c.now-r.allowanceSetAt >= max(c.cfg.LinkNoteInterval, stepInterval) {
		r.allowanceSetAt, r.stepUpAllowance = c.now, 0
		if !recentlyShort {
			free := max(stepUpTarget*r.capacity-requested-c.rackReservedForOthers(nil, r), 0)
			r.stepUpAllowance = free * c.stepUpShare() * own / max(requested, 1e-9)
		}
	}
	r.freshReport = false
}

// stepUpShare returns the part of its share of the headroom that a front uses for steps up. It prevents all
// fronts from using the same headroom after one report and stepping down after the next. Trade-off: headroom
// is used later.
func (c *Controller) stepUpShare() float64 {
	if c.cfg.AllowPeerMessages {
		return peerStepUpShare
	}
	return noPeerStepUpShare
}

// stepUp spends a rate on the own sessions that gain the most by a step up, and returns the rate spent. A
// step larger than the rest of the budget is taken with a probability equal to the part that the rest
// covers.
func (c *Controller) stepUp(s *server, budget float64) (spent float64) {
	available := c.headroom(s, stepUpTarget, nil)
	for budget > 0 {
		var best *session
		var gain, taken float64
		for _, sess := range s.sessions {
			if sess.rung >= min(sess.BestRung, sess.class.MaxRung) || !sess.playing {
				continue
			}
			if g, t := c.stepUpGain(sess); g > gain && t <= available {
				best, gain, taken = sess, g, t
			}
		}
		if best == nil || taken > budget && c.rng.Float64()*taken > budget {
			break
		}
		budget, available, spent = budget-taken, available-taken, spent+taken
		c.setRung(best, best.rung+1)
	}
	return spent
}
