package control

// The load estimate: what is believed of links and uplinks, from own sessions and reports.

import (
	"cmp"
	"math"
	"time"
)

// fullness blends the own sessions with the reports: the others' part as last reported,
// which fades to the fleet's mean with age, and the own part as it is now.
func (c *Controller) fullness(s *server) float64 { return c.blend(s, c.mean()) }

// blend is a server's fullness, given the fleet's mean.
func (c *Controller) blend(s *server, mean float64) float64 {
	if s.capacity <= 0 {
		return mean
	}
	own := s.asked / s.capacity
	if c.set.Reports == ReportsNone {
		return own + s.others
	}
	if !s.heard {
		return own + mean*float64(c.set.Fronts-1)/float64(c.set.Fronts)
	}
	say := math.Exp2(-float64(c.now-s.othersAt) / float64(oldReport))
	return own + s.others*say + max(0, mean-own)*(1-say)
}

// mean is the mean fullness of the servers heard from; before any was, the own sessions times the
// number of fronts, or a guess where a front knows of none. It is worked out anew after a change only.
func (c *Controller) mean() float64 {
	if !c.meanKnown {
		c.meanKnown, c.meanIs = true, c.workOutMean()
	}
	return c.meanIs
}

func (c *Controller) workOutMean() float64 {
	c.evaluations += len(c.order)
	sum, n, own, all := 0.0, 0.0, 0.0, 0.0
	for _, s := range c.order {
		if s.State == Ready && s.capacity > 0 {
			own, all = own+s.asked, all+s.capacity
			if s.heard {
				sum, n = sum+s.others+s.asked/s.capacity, n+1
			}
		}
	}
	switch {
	case n > 0:
		return sum / n
	case own > 0:
		return own * float64(c.set.Fronts) / all
	}
	return unheard
}

// alive is told by a note on a session that played before the last failure: the server did not restart,
// so what failed was an answer or the way to it. One doubt stays, which paid set-ups heed.
func (c *Controller) alive(s *server, x *session) {
	if s.fails > 0 && x != nil && x.on == s && x.playing && x.startAt < s.failedAt-c.set.NoteDelay {
		s.fails, s.broke = 1, false
	}
}

func (c *Controller) probed(e Probed) {
	if s := c.known[e.Server]; s != nil {
		s.probing = false
		c.load(s, e.Load, c.now)
	}
}

// load takes a load report.
func (c *Controller) load(s *server, l *Load, when time.Duration) {
	if l == nil {
		return
	}
	if v := cmp.Or(l.Link, l.Busy); v != nil {
		c.believe(s, *v, when, answerWeight)
		s.fresh = s.fresh || c.set.LinkNoteEvery == 0
	}
	streams := -1
	if l.Streams != nil {
		streams = int(*l.Streams + 0.5)
	}
	c.runs(s, streams)
	if l.Link != nil && c.set.Peers {
		c.shareReport(s, *l.Link, streams, false)
	}
	if l.Uplink != nil {
		c.believeUplink(c.racks[s.rack], *l.Uplink, when, true, false)
	}
}

// believe takes a reported fullness of a link as it was at a time: what is beyond the own rate
// of that time is the others'. A report below the own part alone means a larger link.
func (c *Controller) believe(s *server, full float64, when time.Duration, weight float64) {
	if !(full >= 0) || s.capacity <= 0 {
		return
	}
	full = min(full, noMoreThan)
	own := at(s.history, when) / s.capacity
	if own > full && full > 0.1 {
		s.capacity *= 1 + linkWeight*(min(own/full, 1.5)-1)
		own = full
	}
	own -= (s.peerRate - at(s.peerHistory, when)) / s.capacity // what others told since belongs to them
	c.hear(s, full-own, weight)
	if full >= nearFull {
		s.fullAt = c.now
	}
}

// hear takes what the others' part of a link's fullness is said to be.
func (c *Controller) hear(s *server, others, weight float64) {
	if !s.heard || c.now-s.othersAt > oldReport {
		weight = 1
	}
	s.others = max(s.others+weight*(others-s.others), 0)
	s.heard, s.othersAt, c.meanKnown = true, c.now, false
}

// believeUplink learns what a rack's uplink gives from its fullness at a time.
func (c *Controller) believeUplink(r *rack, full float64, when time.Duration, told, note bool) {
	if !(full > 0.05) || r.prior <= 0 {
		return
	}
	ownThen, ownNow := 0.0, 0.0
	for _, s := range r.servers {
		ownThen += at(s.history, when)
		ownNow += s.asked
	}
	seen := max(c.uplink(r)+ownThen-ownNow, 0) / full
	seen = min(max(seen, r.prior/6), r.prior*2)
	r.capacity += uplinkWeight * (seen - r.capacity)
	r.told, r.fresh = r.told || told, r.fresh || note || c.set.LinkNoteEvery == 0
}

// note takes a note on a playing session. A short share is the link's doing if the link is
// thought full, else the uplink's.
func (c *Controller) note(e Note) {
	s, x := c.known[e.Server], c.sessions[e.ID]
	if s == nil {
		return
	}
	late := c.now - c.set.NoteDelay
	then, atSetUp := late, x != nil && x.startAt > late
	if atSetUp {
		then = c.now
	}
	s.noteAt = c.now
	switch e.Kind {
	case NoteRung:
		if x != nil && x.on == s && e.Value >= 0 && int(e.Value) < len(c.set.Ladder) {
			x.rung = int(e.Value)
			c.changed(s)
		}
	case NoteLink:
		c.alive(s, x)
		part := s.asked / max(s.capacity, 1) / max(e.Value, 0.1)
		if c.set.Peers && (atSetUp || c.rng.Float64() < tellers*part) {
			c.shareReport(s, e.Value, -1, !atSetUp)
		}
		c.believe(s, e.Value, then, reportWeight)
		if !atSetUp {
			s.fresh, c.noted = true, c.now
		}
	case NoteUplink:
		c.believeUplink(c.racks[s.rack], e.Value, then, true, true)
	case NoteShare:
		c.shortShare(s, e.Value, late)
	}
}

func (c *Controller) shortShare(s *server, share float64, then time.Duration) {
	if !(share >= 0) {
		return
	}
	s.shortAt = c.now
	full := 1 / max(share, deadShare)
	r, link := c.racks[s.rack], c.fullness(s)
	wasFull := link >= nearFull || s.fullAt > 0 && c.now-s.fullAt < c.set.NoteDelay+settle
	if wasFull || r.capacity <= 0 || r.told {
		if link >= nearFull && share < overFull && link < full {
			c.believe(s, full, then, reportWeight)
			s.fresh = true
		}
		return
	}
	r.mending = share >= r.short+0.02 && c.now-r.shortAt < stepEvery
	r.short, r.shortAt = share, c.now
	if share < overFull && !r.mending {
		c.believeUplink(r, full, then, false, true)
	}
}
