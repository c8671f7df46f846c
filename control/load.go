package control

// The load estimate: what is believed of links and uplinks, from own sessions and reports.

import (
	"cmp"
	"math"
	"time"
)

// fullness blends the own sessions with the reports: the others' part as last reported,
// which fades to the fleet's mean with age, and the own part as it is now.
func (c *Controller) utilization(s *server) float64 {
	return c.estimateUtilization(s, c.meanUtilization())
}

// blend is a server's fullness, given the fleet's mean.
func (c *Controller) estimateUtilization(s *server, mean float64) float64 {
	if s.capacity <= 0 {
		return mean
	}
	own := s.ownRate / s.capacity
	if c.cfg.ReportMode == ReportsNone {
		return own + s.othersUtilization
	}
	if !s.hasReport {
		return own + mean*float64(c.cfg.Fronts-1)/float64(c.cfg.Fronts)
	}
	say := math.Exp2(-float64(c.now-s.othersUpdatedAt) / float64(reportHalfLife))
	return own + s.othersUtilization*say + max(0, mean-own)*(1-say)
}

// mean is the mean fullness of the servers heard from; before any was, the own sessions times the
// number of fronts, or a guess where a front knows of none. It is worked out anew after a change only.
func (c *Controller) meanUtilization() float64 {
	if !c.meanValid {
		c.meanValid, c.cachedMean = true, c.computeMeanUtilization()
	}
	return c.cachedMean
}

func (c *Controller) computeMeanUtilization() float64 {
	c.meanServerVisits += len(c.sortedServers)
	sum, n, own, all := 0.0, 0.0, 0.0, 0.0
	for _, s := range c.sortedServers {
		if s.State == Ready && s.capacity > 0 {
			own, all = own+s.ownRate, all+s.capacity
			if s.hasReport {
				sum, n = sum+s.othersUtilization+s.ownRate/s.capacity, n+1
			}
		}
	}
	switch {
	case n > 0:
		return sum / n
	case own > 0:
		return own * float64(c.cfg.Fronts) / all
	}
	return assumedUtilization
}

// alive is told by a note on a session that played before the last failure: the server did not restart,
// so what failed was an answer or the way to it. One doubt stays, which paid set-ups heed.
func (c *Controller) clearRestartSuspicion(s *server, x *session) {
	if s.failures > 0 && x != nil && x.assignedTo == s && x.playing && x.startedAt < s.lastFailureAt-c.cfg.NoteDelay {
		s.failures, s.mayHaveRestarted = 1, false
	}
}

func (c *Controller) handleProbeResult(e ProbeResult) {
	if s := c.serversByID[e.Server]; s != nil {
		s.probeInFlight = false
		c.applyLoadReport(s, e.Load, c.now)
	}
}

// load takes a load report.
func (c *Controller) applyLoadReport(s *server, l *LoadReport, when time.Duration) {
	if l == nil {
		return
	}
	if v := cmp.Or(l.Link, l.CappedLink); v != nil {
		c.applyLinkReport(s, *v, when, loadReportWeight)
		s.freshReport = s.freshReport || c.cfg.LinkNoteInterval == 0
	}
	streams := -1
	if l.Streams != nil {
		streams = int(*l.Streams + 0.5)
	}
	c.updateStreams(s, streams)
	if l.Link != nil && c.cfg.AllowPeerMessages {
		c.queueReport(s, *l.Link, streams, false)
	}
	if l.Uplink != nil {
		c.applyUplinkReport(c.racks[s.rackIndex], *l.Uplink, when, true, false)
	}
}

// believe takes a reported fullness of a link as it was at a time: what is beyond the own rate
// of that time is the others'. A report below the own part alone means a larger link.
func (c *Controller) applyLinkReport(s *server, full float64, when time.Duration, weight float64) {
	if !(full >= 0) || s.capacity <= 0 {
		return
	}
	full = min(full, maxReportedUtilization)
	own := sampleAt(s.ownRateHistory, when) / s.capacity
	if own > full && full > 0.1 {
		s.capacity *= 1 + linkLearningRate*(min(own/full, 1.5)-1)
		own = full
	}
	own -= (s.peerRateChange - sampleAt(s.peerRateHistory, when)) / s.capacity // what others told since belongs to them
	c.updateOthers(s, full-own, weight)
	if full >= nearlyFullThreshold {
		s.lastFullAt = c.now
	}
}

// hear takes what the others' part of a link's fullness is said to be.
func (c *Controller) updateOthers(s *server, others, weight float64) {
	if !s.hasReport || c.now-s.othersUpdatedAt > reportHalfLife {
		weight = 1
	}
	s.othersUtilization = max(s.othersUtilization+weight*(others-s.othersUtilization), 0)
	s.hasReport, s.othersUpdatedAt, c.meanValid = true, c.now, false
}

// believeUplink learns what a rack's uplink gives from its fullness at a time.
func (c *Controller) applyUplinkReport(r *rack, full float64, when time.Duration, told, note bool) {
	if !(full > 0.05) || r.configuredCapacity <= 0 {
		return
	}
	ownThen, ownNow := 0.0, 0.0
	for _, s := range r.servers {
		ownThen += sampleAt(s.ownRateHistory, when)
		ownNow += s.ownRate
	}
	seen := max(c.uplinkRate(r)+ownThen-ownNow, 0) / full
	seen = min(max(seen, r.configuredCapacity/6), r.configuredCapacity*2)
	r.capacity += uplinkLearningRate * (seen - r.capacity)
	r.utilizationReported, r.freshReport = r.utilizationReported || told, r.freshReport || note || c.cfg.LinkNoteInterval == 0
}

// note takes a note on a playing session. A short share is the link's doing if the link is
// thought full, else the uplink's.
func (c *Controller) handleNote(e Note) {
	s, x := c.serversByID[e.Server], c.sessions[e.ID]
	if s == nil {
		return
	}
	late := c.now - c.cfg.NoteDelay
	then, atSetUp := late, x != nil && x.startedAt > late
	if atSetUp {
		then = c.now
	}
	s.lastNoteAt = c.now
	switch e.Kind {
	case NoteRung:
		if x != nil && x.assignedTo == s && e.Value >= 0 && int(e.Value) < len(c.cfg.Ladder) {
			x.rung = int(e.Value)
			c.updateOwnRate(s)
		}
	case NoteLink:
		c.clearRestartSuspicion(s, x)
		part := s.ownRate / max(s.capacity, 1) / max(e.Value, 0.1)
		if c.cfg.AllowPeerMessages && (atSetUp || c.rng.Float64() < reportersPerNote*part) {
			c.queueReport(s, e.Value, -1, !atSetUp)
		}
		c.applyLinkReport(s, e.Value, then, reportWeight)
		if !atSetUp {
			s.freshReport, c.lastLinkNoteAt = true, c.now
		}
	case NoteUplink:
		c.applyUplinkReport(c.racks[s.rackIndex], e.Value, then, true, true)
	case NoteShare:
		c.handleShortShare(s, e.Value, late)
	}
}

func (c *Controller) handleShortShare(s *server, share float64, then time.Duration) {
	if !(share >= 0) {
		return
	}
	s.lastShortShareAt = c.now
	full := 1 / max(share, stalledShare)
	r, link := c.racks[s.rackIndex], c.utilization(s)
	wasFull := link >= nearlyFullThreshold || s.lastFullAt > 0 && c.now-s.lastFullAt < c.cfg.NoteDelay+settleTime
	if wasFull || r.capacity <= 0 || r.utilizationReported {
		if link >= nearlyFullThreshold && share < overloadThreshold && link < full {
			c.applyLinkReport(s, full, then, reportWeight)
			s.freshReport = true
		}
		return
	}
	r.recovering = share >= r.lastShortShare+0.02 && c.now-r.lastShortShareAt < stepInterval
	r.lastShortShare, r.lastShortShareAt = share, c.now
	if share < overloadThreshold && !r.recovering {
		c.applyUplinkReport(r, full, then, false, true)
	}
}
