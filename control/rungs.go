package control

// Rungs of sessions that play: steps up and down.

import "math"

// remaining is how long a session is thought to play on.
func (c *Controller) remaining(x *session) float64 {
	left := guessLength
	if x.Length > 0 {
		left = max(x.Length-(c.now-x.startAt), x.Length/5)
	}
	if !x.playing {
		left = max(x.Length, guessLength)
	}
	return left.Seconds()
}

// stepLoss is the worth lost for each kB/s freed by stepping a session down once.
func (c *Controller) stepLoss(x *session) (loss, freed float64) {
	freed = c.rate(x, x.rung) - c.rate(x, x.rung-1)
	worth := c.set.RungWorth[x.rung] - c.set.RungWorth[x.rung-1]
	loss = x.worth * (worth*c.remaining(x) + c.set.SwitchCost.Seconds())
	return loss / max(freed, 1e-9), freed
}

// stepGain is the worth earned for each kB/s taken by stepping a session up once.
func (c *Controller) stepGain(x *session) (gain, taken float64) {
	taken = c.rate(x, x.rung+1) - c.rate(x, x.rung)
	gain = (c.set.RungWorth[x.rung+1] - c.set.RungWorth[x.rung]) * c.remaining(x)
	if x.playing {
		if gain < switchGain*c.set.SwitchCost.Seconds() {
			return 0, taken
		}
		gain -= c.set.SwitchCost.Seconds()
	}
	return x.worth * gain / max(taken, 1e-9), taken
}

// cheapest is the playing session whose step down costs least for what it frees.
func (c *Controller) cheapest(held []*session, but *session) (best *session, loss, freed float64) {
	for _, x := range held {
		if x == but || !x.playing || x.rung <= x.class.Floor {
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
	c.act(SetRung{x.ID, rung})
	c.changed(x.on)
}

// swap makes room for a newcomer's next rung where a step down elsewhere on the link costs clearly less.
func (c *Controller) swap(x *session, s *server, need float64) bool {
	gain, _ := c.stepGain(x)
	y, loss, freed := c.cheapest(s.held, x)
	if y == nil || freed < need || gain < swapGain*loss {
		return false
	}
	c.setRung(y, y.rung-1)
	return true
}

// informed tells a server of which other fronts report what they do: nothing is to be guessed then.
func (c *Controller) informed(s *server) bool {
	return s.newsAt > 0 && c.now-s.newsAt < max(c.set.LinkNoteEvery, stepEvery)
}

// regulate corrects rungs while sessions play. All fronts hear of a link at the same moment, so each
// corrects its own share of what is over or free, once for each report, and then believes that the
// others did likewise until the next one tells.
func (c *Controller) regulate() {
	view, rung := c.ownSessions()
	c.seesFleet, c.fair = view > ownView, rung
	for _, r := range c.racks {
		c.regulateUplink(r)
	}
	for _, s := range c.order {
		full := c.fullness(s)
		if full >= nearFull {
			s.fullAt = c.now
		}
		if !s.fresh || len(s.held) == 0 || s.capacity <= 0 {
			continue
		}
		s.fresh = false
		own := s.asked / s.capacity
		if full > overFull {
			c.stepDown(s.held, (full-fillTarget)*own/full*s.capacity, nil)
			if !c.informed(s) {
				s.others *= fillTarget / full
			}
			c.meanKnown = false
		} else if c.now-s.shortAt > stepEvery && full < riseTarget {
			mine := (riseTarget - full) * s.capacity * c.upPart() * own / max(full, 1e-9)
			taken := c.stepUp(s, min(mine, c.racks[s.rack].allowance))
			c.racks[s.rack].allowance -= taken
			if !c.informed(s) {
				s.others += taken / s.capacity * max(full-own, 0) / max(own, 1e-9)
			}
			c.meanKnown = false
		}
	}
}

// regulateUplink does the same for a rack's uplink: steps down at once, then waits until the notes can
// show it; steps up are left to the links, out of an allowance that is this front's share of the room.
func (c *Controller) regulateUplink(r *rack) {
	if r.capacity <= 0 {
		r.allowance = math.Inf(1)
		return
	}
	asked, own := c.uplink(r), 0.0
	var held []*session
	for _, s := range r.servers {
		held = append(held, s.held...)
		own += s.asked
	}
	short := r.short < overFull && c.now-r.shortAt < stepEvery
	if !r.told && !short && asked > growFrom*r.capacity {
		r.capacity = min(r.capacity*uplinkGrowth, 2*r.prior)
	}
	if c.now-r.stepped < c.set.NoteDelay+settle {
		return
	}
	if r.fresh && asked > overFull*r.capacity && !r.mending {
		r.stepped, r.allowance = c.now, 0
		c.stepDown(held, (asked-fillTarget*r.capacity)*own/asked, nil)
		for _, s := range r.servers {
			s.others *= fillTarget * r.capacity / asked
		}
		c.meanKnown = false
	} else if c.now-r.allowed >= max(c.set.LinkNoteEvery, stepEvery) {
		r.allowed, r.allowance = c.now, 0
		if !short {
			free := max(riseTarget*r.capacity-asked-c.rackHeld(nil, r), 0)
			r.allowance = free * c.upPart() * own / max(asked, 1e-9)
		}
	}
	r.fresh = false
}

// upPart is the part of its share of free room that a front takes for steps up. Guards against all fronts
// taking the same room at one report and stepping down at the next. Harm: room is used later.
func (c *Controller) upPart() float64 {
	if c.set.Peers {
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
		for _, x := range s.held {
			if x.rung >= min(x.Best, x.class.Top) || !x.playing {
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
