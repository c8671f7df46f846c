package control

// Rungs of sessions that play: steps up and down.

import "math"

// remaining is how long a session is thought to play on.
func (c *Controller) remainingSeconds(x *session) float64 {
	left := assumedLength
	if x.ExpectedLength > 0 {
		left = max(x.ExpectedLength-(c.now-x.startedAt), x.ExpectedLength/5)
	}
	if !x.playing {
		left = max(x.ExpectedLength, assumedLength)
	}
	return left.Seconds()
}

// stepLoss is the worth lost for each kB/s freed by stepping a session down once.
func (c *Controller) stepDownLoss(x *session) (loss, freed float64) {
	freed = c.sessionRate(x, x.rung) - c.sessionRate(x, x.rung-1)
	worth := c.cfg.RungWorth[x.rung] - c.cfg.RungWorth[x.rung-1]
	loss = x.worth * (worth*c.remainingSeconds(x) + c.cfg.SwitchCost.Seconds())
	return loss / max(freed, 1e-9), freed
}

// stepGain is the worth earned for each kB/s taken by stepping a session up once.
func (c *Controller) stepUpGain(x *session) (gain, taken float64) {
	taken = c.sessionRate(x, x.rung+1) - c.sessionRate(x, x.rung)
	gain = (c.cfg.RungWorth[x.rung+1] - c.cfg.RungWorth[x.rung]) * c.remainingSeconds(x)
	if x.playing {
		if gain < switchGainFactor*c.cfg.SwitchCost.Seconds() {
			return 0, taken
		}
		gain -= c.cfg.SwitchCost.Seconds()
	}
	return x.worth * gain / max(taken, 1e-9), taken
}

// cheapest is the playing session whose step down costs least for what it frees.
func (c *Controller) cheapestStepDown(held []*session, but *session) (best *session, loss, freed float64) {
	for _, x := range held {
		if x == but || !x.playing || x.rung <= x.class.MinRung {
			continue
		}
		if l, f := c.stepDownLoss(x); best == nil || l < loss {
			best, loss, freed = x, l, f
		}
	}
	return best, loss, freed
}

// stepDown frees a rate among own sessions; a part of a step is taken with that chance, so that
// fronts that correct at the same moment free together what is needed.
func (c *Controller) stepDown(held []*session, need float64, but *session) {
	for need > 0 {
		x, _, freed := c.cheapestStepDown(held, but)
		if x == nil || but == nil && freed > need && c.rng.Float64()*freed > need {
			return
		}
		need -= freed
		c.setRung(x, x.rung-1)
	}
}

func (c *Controller) setRung(x *session, rung int) {
	x.rung = rung
	c.emit(SetRung{x.ID, rung})
	c.updateOwnRate(x.assignedTo)
}

// swap makes room for a newcomer's next rung where a step down elsewhere on the link costs clearly less.
func (c *Controller) swapSteps(x *session, s *server, need float64) bool {
	gain, _ := c.stepUpGain(x)
	y, loss, freed := c.cheapestStepDown(s.sessions, x)
	if y == nil || freed < need || gain < swapGainFactor*loss {
		return false
	}
	c.setRung(y, y.rung-1)
	return true
}

// informed tells a server of which other fronts report what they do: nothing is to be guessed then.
func (c *Controller) hasPeerUpdates(s *server) bool {
	return s.lastPeerUpdateAt > 0 && c.now-s.lastPeerUpdateAt < max(c.cfg.LinkNoteInterval, stepInterval)
}

// regulate corrects rungs while sessions play. All fronts hear of a link at the same moment, so each
// corrects its own share of what is over or free, once for each report, and then believes that the
// others did likewise until the next one tells.
func (c *Controller) adjustRungs() {
	view, rung := c.ownSessionStats()
	c.seesMostServers, c.meanOwnRate = view > fleetViewThreshold, rung
	for _, r := range c.racks {
		c.adjustUplinkRungs(r)
	}
	for _, s := range c.sortedServers {
		full := c.utilization(s)
		if full >= nearlyFullThreshold {
			s.lastFullAt = c.now
		}
		if !s.freshReport || len(s.sessions) == 0 || s.capacity <= 0 {
			continue
		}
		s.freshReport = false
		own := s.ownRate / s.capacity
		if full > overloadThreshold {
			c.stepDown(s.sessions, (full-stepDownTarget)*own/full*s.capacity, nil)
			if !c.hasPeerUpdates(s) {
				s.othersUtilization *= stepDownTarget / full
			}
			c.meanValid = false
		} else if c.now-s.lastShortShareAt > stepInterval && full < stepUpTarget {
			mine := (stepUpTarget - full) * s.capacity * c.stepUpShare() * own / max(full, 1e-9)
			taken := c.stepUp(s, min(mine, c.racks[s.rackIndex].stepUpAllowance))
			c.racks[s.rackIndex].stepUpAllowance -= taken
			if !c.hasPeerUpdates(s) {
				s.othersUtilization += taken / s.capacity * max(full-own, 0) / max(own, 1e-9)
			}
			c.meanValid = false
		}
	}
}

// regulateUplink does the same for a rack's uplink: steps down at once, then waits until the notes can
// show it; steps up are left to the links, out of an allowance that is this front's share of the room.
func (c *Controller) adjustUplinkRungs(r *rack) {
	if r.capacity <= 0 {
		r.stepUpAllowance = math.Inf(1)
		return
	}
	asked, own := c.uplinkRate(r), 0.0
	var held []*session
	for _, s := range r.servers {
		held = append(held, s.sessions...)
		own += s.ownRate
	}
	short := r.lastShortShare < overloadThreshold && c.now-r.lastShortShareAt < stepInterval
	if !r.utilizationReported && !short && asked > uplinkGrowthThreshold*r.capacity {
		r.capacity = min(r.capacity*uplinkGrowthPerTick, 2*r.configuredCapacity)
	}
	if c.now-r.lastStepDownAt < c.cfg.NoteDelay+settleTime {
		return
	}
	if r.freshReport && asked > overloadThreshold*r.capacity && !r.recovering {
		r.lastStepDownAt, r.stepUpAllowance = c.now, 0
		c.stepDown(held, (asked-stepDownTarget*r.capacity)*own/asked, nil)
		for _, s := range r.servers {
			s.othersUtilization *= stepDownTarget * r.capacity / asked
		}
		c.meanValid = false
	} else if c.now-r.allowanceSetAt >= max(c.cfg.LinkNoteInterval, stepInterval) {
		r.allowanceSetAt, r.stepUpAllowance = c.now, 0
		if !short {
			free := max(stepUpTarget*r.capacity-asked-c.rackReservedForOthers(nil, r), 0)
			r.stepUpAllowance = free * c.stepUpShare() * own / max(asked, 1e-9)
		}
	}
	r.freshReport = false
}

// upPart is the part of its share of free room that a front takes for steps up. Guards against all fronts
// taking the same room at one report and stepping down at the next. Harm: room is used later.
func (c *Controller) stepUpShare() float64 {
	if c.cfg.AllowPeerMessages {
		return peerStepUpShare
	}
	return noPeerStepUpShare
}

// stepUp spends a rate on the own sessions that gain most by it, and returns what it spent. A step
// larger than what is left is taken with that chance.
func (c *Controller) stepUp(s *server, mine float64) (spent float64) {
	room := c.headroom(s, stepUpTarget, nil)
	for mine > 0 {
		var best *session
		var gain, taken float64
		for _, x := range s.sessions {
			if x.rung >= min(x.BestRung, x.class.MaxRung) || !x.playing {
				continue
			}
			if g, t := c.stepUpGain(x); g > gain && t <= room {
				best, gain, taken = x, g, t
			}
		}
		if best == nil || taken > mine && c.rng.Float64()*taken > mine {
			break
		}
		mine, room, spent = mine-taken, room-taken, spent+taken
		c.setRung(best, best.rung+1)
	}
	return spent
}
