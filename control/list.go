package control

// The server list, and what links and uplinks are told to give.

import "time"

// list follows the server list. A failed subscription is asked for again after a while.
func (c *Controller) handleListUpdate(u ListUpdate) {
	if u.Failed {
		if c.cfg.MustSubscribe {
			c.emit(SetTimer{minAvoidTime + time.Duration(c.rng.Int64N(int64(minAvoidTime))), "subscribe"})
		}
		return
	}
	c.removeGoneServers()
	c.meanValid = false
	for _, s := range c.mergeList(u) {
		c.registerShortID(s)
		if s.Started > 0 && s.Started > s.coldFrom {
			s.coldFrom = s.Started
			c.beginSlowStart(s)
		}
		s.rackIndex = 0
		if c.cfg.Racks > 0 {
			s.rackIndex = ((s.Cell % c.cfg.Racks) + c.cfg.Racks) % c.cfg.Racks
		}
	}
	c.updateCapacities()
}

// sizeLinks sets what links and uplinks are told to give. Where the weight tells no size,
// the kind's streams do. What was learned of a link stays.
func (c *Controller) updateCapacities() {
	unit, sum := 0.0, 0.0
	for _, s := range c.sortedServers {
		if s.State != Gone {
			sum += float64(c.slots(s))
		}
	}
	if sum > 0 {
		unit = c.cfg.TotalLinkRate / sum
	}
	c.racks = c.racks[:min(len(c.racks), max(c.cfg.Racks, 1))]
	for len(c.racks) < max(c.cfg.Racks, 1) {
		c.racks = append(c.racks, &rack{})
	}
	for _, r := range c.racks {
		r.servers = r.servers[:0]
	}
	part := c.cfg.RackUplinkRate * float64(c.cfg.Racks) / c.cfg.TotalLinkRate
	links := make([]float64, len(c.racks))
	for _, s := range c.sortedServers {
		told := unit * float64(c.slots(s))
		if c.cfg.WeightMode == WeightSize && s.Weight > 0 && c.cfg.LinkRatePerWeight > 0 {
			told = s.Weight * c.cfg.LinkRatePerWeight
		}
		if s.capacity == 0 {
			s.capacity = told
		}
		if s.State != Gone || len(s.sessions) > 0 {
			c.racks[s.rackIndex].servers = append(c.racks[s.rackIndex].servers, s)
		}
		if s.State != Gone {
			links[s.rackIndex] += told
		}
	}
	for i, r := range c.racks {
		prior := 0.0
		if c.cfg.Racks > 0 && c.cfg.TotalLinkRate > 0 {
			prior = part * links[i]
		}
		if r.configuredCapacity > 0 && prior > 0 {
			r.capacity *= prior / r.configuredCapacity
		} else {
			r.capacity = prior
		}
		r.configuredCapacity = prior
	}
}
