package control

// Rungs of sessions that play: steps up and down.

import "math"

// remaining is how long a session is thought to play on.
func (c *Controller) remaining(x *session) float64 {
	left := guessLength
	if x.ExpectedLength > 0 {
		left = max(x.ExpectedLength-(c.now-x.startedAt), x.ExpectedLength/5)
	}
	if !x.playing {
		left = max(x.ExpectedLength, guessLength)
	}
	return left.Seconds()
}

// stepLoss is the worth lost for each kB/s freed by stepping a session down once.
func (c *Controller) stepLoss(x *session) (loss, freed float64) {
	freed = c.sessionRate(x, x.rung) - c.sessionRate(x, x.rung-1)
	worth := c.cfg.RungWorth[x.rung] - c.cfg.RungWorth[x.rung-1]
	loss = x.worth * (worth*c.remaining(x) + c.cfg.SwitchCost.Seconds())
	return loss / max(freed, 1e-9), freed
}

// stepGain is the worth earned for each kB/s taken by stepping a session up once.
func (c *Controller) stepGain(x *session) (gain, taken float64) {
	taken = c.sessionRate(x, x.rung+1) - c.sessionRate(x, x.rung)
	gain = (c.cfg.RungWorth[x.rung+1] - c.cfg.RungWorth[x.rung]) * c.remaining(x)
	if x.playing {
		if gain < switchGain*c.cfg.SwitchCost.Seconds() {
			return 0, taken
		}
		gain -= c.cfg.SwitchCost.Seconds()
	}
	return x.worth * gain / max(taken, 1e-9), taken
}

// cheapest is the playing session whose step down costs least for what it frees.
func (c *Controller) cheapest(held []*session, but *session) (best *session, loss, freed float64) {
	for _, x := range held {
		if x == but || !x.playing || x.rung <= x.class.MinRung {
			continue
		}
		if l, f := c.stepLoss(x); best == nil || l < loss {
			best, loss, freed = x, l, f
		}
	}
	return best, loss, freed
}

// stepDown frees a rate among own sessions; a part of a step is taken with that chance, so that
// fronts that correct at the same moment free together what is needed.
func (c *Controller) stepDown(held []*session, need float64, but *session) {
	for need > 0 {
		x, _, freed := c.cheapest(held, but)
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
func (c *Controller) swap(x *session, s *server, need float64) bool {
	gain, _ := c.stepGain(x)
	y, loss, freed := c.cheapest(s.sessions, x)
	if y == nil || freed < need || gain < swapGain*loss {
		return false
	}
	c.setRung(y, y.rung-1)
	return true
}

// informed tells a server of which other fronts report what they do: nothing is to be guessed then.
func (c *Controller) informed(s *server) bool {
	return s.lastPeerUpdateAt > 0 && c.now-s.lastPeerUpdateAt < max(c.cfg.LinkNoteInterval, stepEvery)
}

// regulate corrects rungs while sessions play. All fronts hear of a link at the same moment, so each
// corrects its own share of what is over or free, once for each report, and then believes that the
// others did likewise until the next one tells.
func (c *Controller) regulate() {
	view, rung := c.ownSessionStats()
	c.seesMostServers, c.meanOwnRate = view > ownView, rung
	for _, r := range c.racks {
		c.regulateUplink(r)
	}
	for _, s := range c.sortedServers {
		full := c.utilization(s)
		if full >= nearFull {
			s.lastFullAt = c.now
		}
		if !s.freshReport || len(s.sessions) == 0 || s.capacity <= 0 {
			continue
		}
		s.freshReport = false
		own := s.ownRate / s.capacity
		if full > overFull {
			c.stepDown(s.sessions, (full-fillTarget)*own/full*s.capacity, nil)
			if !c.informed(s) {
				s.othersUtilization *= fillTarget / full
			}
			c.meanValid = false
		} else if c.now-s.lastShortShareAt > stepEvery && full < riseTarget {
			mine := (riseTarget - full) * s.capacity * c.upPart() * own / max(full, 1e-9)
			taken := c.stepUp(s, min(mine, c.racks[s.rackIndex].stepUpAllowance))
			c.racks[s.rackIndex].stepUpAllowance -= taken
			if !c.informed(s) {
				s.othersUtilization += taken / s.capacity * max(full-own, 0) / max(own, 1e-9)
			}
			c.meanValid = false
		}
	}
}

// regulateUplink does the same for a rack's uplink: steps down at once, then waits until the notes can
// show it; steps up are left to the links, out of an allowance that is this front's share of the room.
func (c *Controller) regulateUplink(r *rack) {
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
	short := r.lastShortShare < overFull && c.now-r.lastShortShareAt < stepEvery
	if !r.utilizationReported && !short && asked > growFrom*r.capacity {
		r.capacity = min(r.capacity*uplinkGrowth, 2*r.configuredCapacity)
	}
	if c.now-r.lastStepDownAt < c.cfg.NoteDelay+settle {
		return
	}
	if r.freshReport && asked > overFull*r.capacity && !r.recovering {
		r.lastStepDownAt, r.stepUpAllowance = c.now, 0
		c.stepDown(held, (asked-fillTarget*r.capacity)*own/asked, nil)
		for _, s := range r.servers {
			s.othersUtilization *= fillTarget * r.capacity / asked
		}
		c.meanValid = false
	} else if c.now-r.allowanceSetAt >= max(c.cfg.LinkNoteInterval, stepEvery) {
		r.allowanceSetAt, r.stepUpAllowance = c.now, 0
		if !short {
			free := max(riseTarget*r.capacity-asked-c.rackHeld(nil, r), 0)
			r.stepUpAllowance = free * c.upPart() * own / max(asked, 1e-9)
		}
	}
	r.freshReport = false
}

// upPart is the part of its share of free room that a front takes for steps up. Guards against all fronts
// taking the same room at one report and stepping down at the next. Harm: room is used later.
func (c *Controller) upPart() float64 {
	if c.cfg.AllowPeerMessages {
		return upPart
	}
	return upAlone
}

// stepUp spends a rate on the own sessions that gain most by it, and returns what it spent. A step
// larger than what is left is taken with that chance.
func (c *Controller) stepUp(s *server, mine float64) (spent float64) {
	room := c.room(s, riseTarget, nil)
	for mine > 0 {
		var best *session
		var gain, taken float64
		for _, x := range s.sessions {
			if x.rung >= min(x.BestRung, x.class.MaxRung) || !x.playing {
				continue
			}
			if g, t := c.stepGain(x); g > gain && t <= room {
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
