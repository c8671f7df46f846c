package control

// The server list, and what links and uplinks are told to give.

import "time"

// list follows the server list. A failed subscription is asked for again after a while.
func (c *Controller) list(u ListUpdate) {
	if u.Failed {
		if c.set.Subscribe {
			c.act(SetTimer{avoidFirst + time.Duration(c.rng.Int64N(int64(avoidFirst))), "subscribe"})
		}
		return
	}
	c.forgetGone()
	c.meanKnown = false
	for _, s := range c.merge(u) {
		c.mark(s)
		if s.Started > 0 && s.Started > s.coldFrom {
			s.coldFrom = s.Started
			c.pace(s)
		}
		s.rack = 0
		if c.set.Racks > 0 {
			s.rack = ((s.Cell % c.set.Racks) + c.set.Racks) % c.set.Racks
		}
	}
	c.sizeLinks()
}

// sizeLinks sets what links and uplinks are told to give. Where the weight tells no size,
// the kind's streams do. What was learned of a link stays.
func (c *Controller) sizeLinks() {
	unit, sum := 0.0, 0.0
	for _, s := range c.order {
		if s.State != Gone {
			sum += float64(c.streams(s))
		}
	}
	if sum > 0 {
		unit = c.set.LinksTotal / sum
	}
	c.racks = c.racks[:min(len(c.racks), max(c.set.Racks, 1))]
	for len(c.racks) < max(c.set.Racks, 1) {
		c.racks = append(c.racks, &rack{})
	}
	for _, r := range c.racks {
		r.servers = r.servers[:0]
	}
	part := c.set.RackUplink * float64(c.set.Racks) / c.set.LinksTotal
	links := make([]float64, len(c.racks))
	for _, s := range c.order {
		told := unit * float64(c.streams(s))
		if c.set.Weights == WeightSize && s.Weight > 0 && c.set.WeightLink > 0 {
			told = s.Weight * c.set.WeightLink
		}
		if s.capacity == 0 {
			s.capacity = told
		}
		if s.State != Gone || len(s.held) > 0 {
			c.racks[s.rack].servers = append(c.racks[s.rack].servers, s)
		}
		if s.State != Gone {
			links[s.rack] += told
		}
	}
	for i, r := range c.racks {
		prior := 0.0
		if c.set.Racks > 0 && c.set.LinksTotal > 0 {
			prior = part * links[i]
		}
		if r.prior > 0 && prior > 0 {
			r.capacity *= prior / r.prior
		} else {
			r.capacity = prior
		}
		r.prior = prior
	}
}
