package control

// Updates of the server list, and the configured capacities of links and uplinks.

import "time"

// handleListUpdate applies an update of the server list. After a failed subscription, it subscribes again
// after a random delay.
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

// updateCapacities sets the capacities of links and uplinks from the settings. Where the weight does not
// give the size of a link, the stream slots of the server's kind do. The learned capacity of a known link
// is kept.
func (c *Controller) updateCapacities() {
	ratePerSlot, slotTotal := 0.0, 0.0
	for _, s := range c.sortedServers {
		if s.State != Gone {
			slotTotal += float64(c.slots(s))
		}
	}
	if slotTotal > 0 {
		ratePerSlot = c.cfg.TotalLinkRate / slotTotal
	}
	c.racks = c.racks[:min(len(c.racks), max(c.cfg.Racks, 1))]
	for len(c.racks) < max(c.cfg.Racks, 1) {
		c.racks = append(c.racks, &rack{})
	}
	for _, r := range c.racks {
		r.servers = r.servers[:0]
	}
	uplinkRatio := c.cfg.RackUplinkRate * float64(c.cfg.Racks) / c.cfg.TotalLinkRate
	rackLinks := make([]float64, len(c.racks))
	for _, s := range c.sortedServers {
		linkCapacity := ratePerSlot * float64(c.slots(s))
		if c.cfg.WeightMode == WeightSize && s.Weight > 0 && c.cfg.LinkRatePerWeight > 0 {
			linkCapacity = s.Weight * c.cfg.LinkRatePerWeight
		}
		if s.capacity == 0 {
			s.capacity = linkCapacity
		}
		if s.State != Gone || len(s.sessions) > 0 {
			c.racks[s.rackIndex].servers = append(c.racks[s.rackIndex].servers, s)
		}
		if s.State != Gone {
			rackLinks[s.rackIndex] += linkCapacity
		}
	}
	for i, r := range c.racks {
		configured := 0.0
		if c.cfg.Racks > 0 && c.cfg.TotalLinkRate > 0 {
			configured = uplinkRatio * rackLinks[i]
		}
		if r.configuredCapacity > 0 && configured > 0 {
			r.capacity *= configured / r.configuredCapacity
		} else {
			r.capacity = configured
		}
		r.configuredCapacity = configured
	}
}
