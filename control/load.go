package control

// The load estimate of links and uplinks, from the own sessions and reports.

import (
	"cmp"
	"math"
	"time"
)

// utilization estimates the utilization of a server's link: the current rate of the own sessions plus the
// other fronts' part as last reported. As the report ages, the mean of the fleet replaces the latter.
func (c *Controller) utilization(s *server) float64 {
	return c.estimateUtilization(s, c.meanUtilization())
}

// estimateUtilization is utilization for a given mean of the fleet.
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
	weight := math.Exp2(-float64(c.now-s.othersUpdatedAt) / float64(reportHalfLife))
	return own + s.othersUtilization*weight + max(0, mean-own)*(1-weight)
}

// meanUtilization returns the mean utilization of the servers for which there is a report. Without any
// report it is extrapolated from the own sessions by the number of fronts, or assumed if there are none.
// The value is cached until one of its inputs changes.
func (c *Controller) meanUtilization() float64 {
	if !c.meanValid {
		c.meanValid, c.cachedMean = true, c.computeMeanUtilization()
	}
	return c.cachedMean
}

func (c *Controller) computeMeanUtilization() float64 {
	c.meanServerVisits += len(c.sortedServers)
	sum, reported, ownTotal, capacityTotal := 0.0, 0.0, 0.0, 0.0
	for _, s := range c.sortedServers {
		if s.State == Ready && s.capacity > 0 {
			ownTotal, capacityTotal = ownTotal+s.ownRate, capacityTotal+s.capacity
			if s.hasReport {
				sum, reported = sum+s.othersUtilization+s.ownRate/s.capacity, reported+1
			}
		}
	}
	switch {
	case reported > 0:
		return sum / reported
	case ownTotal > 0:
		return ownTotal * float64(c.cfg.Fronts) / capacityTotal
	}
	return assumedUtilization
}

// clearRestartSuspicion handles a note about a session that played before the last failure. Since the
// session survived, the server did not restart: an answer or the connection was lost. One failure remains
// counted, so that at-most-once set-ups still avoid the server.
func (c *Controller) clearRestartSuspicion(s *server, sess *session) {
	if s.failures > 0 && sess != nil && sess.assignedTo == s && sess.playing &&
		sess.startedAt < s.lastFailureAt-c.cfg.NoteDelay {
		s.failures, s.mayHaveRestarted = 1, false
	}
}

func (c *Controller) handleProbeResult(e ProbeResult) {
	if s := c.serversByID[e.Server]; s != nil {
		s.probeInFlight = false
		c.applyLoadReport(s, e.Load, c.now)
	}
}

// applyLoadReport updates the estimate from a load report as of the time when.
func (c *Controller) applyLoadReport(s *server, report *LoadReport, when time.Duration) {
	if report == nil {
		return
	}
	if link := cmp.Or(report.Link, report.CappedLink); link != nil {
		c.applyLinkReport(s, *link, when, loadReportWeight)
		s.freshReport = s.freshReport || c.cfg.LinkNoteInterval == 0
	}
	streams := -1
	if report.Streams != nil {
		streams = int(*report.Streams + 0.5)
	}
	c.updateStreams(s, streams)
	if report.Link != nil && c.cfg.AllowPeerMessages {
		c.queueReport(s, *report.Link, streams, false)
	}
	if report.Uplink != nil {
		c.applyUplinkReport(c.racks[s.rackIndex], *report.Uplink, when, true, false)
	}
}

// applyLinkReport updates the estimate of a link from its reported utilization at the time when. The part
// beyond the own rate at that time is attributed to the other fronts. A report below the own part alone
// means that the link is larger than estimated.
func (c *Controller) applyLinkReport(s *server, reported float64, when time.Duration, weight float64) {
	if !(reported >= 0) || s.capacity <= 0 {
		return
	}
	reported = min(reported, maxReportedUtilization)
	own := sampleAt(s.ownRateHistory, when) / s.capacity
	if own > reported && reported > 0.1 {
		s.capacity *= 1 + linkLearningRate*(min(own/reported, 1.5)-1)
		own = reported
	}
	// Rate changes that other fronts reported since then add to the others' part.
	own -= (s.peerRateChange - sampleAt(s.peerRateHistory, when)) / s.capacity
	c.updateOthers(s, reported-own, weight)
	if reported >= nearlyFullThreshold {
		s.lastFullAt = c.now
	}
}

// updateOthers updates the other fronts' part of a link's utilization by a report of the given weight. A
// first report, or one after an old report, replaces the estimate.
func (c *Controller) updateOthers(s *server, others, weight float64) {
	if !s.hasReport || c.now-s.othersUpdatedAt > reportHalfLife {
		weight = 1
	}
	s.othersUtilization = max(s.othersUtilization+weight*(others-s.othersUtilization), 0)
	s.hasReport, s.othersUpdatedAt, c.meanValid = true, c.now, false
}

// applyUplinkReport updates the estimated capacity of a rack's uplink from its reported utilization at the
// time when. measured is false if the utilization is inferred from a short share; note is true if it comes
// from a note.
func (c *Controller) applyUplinkReport(r *rack, reported float64, when time.Duration, measured, note bool) {
	if !(reported > 0.05) || r.configuredCapacity <= 0 {
		return
	}
	ownThen, ownNow := 0.0, 0.0
	for _, s := range r.servers {
		ownThen += sampleAt(s.ownRateHistory, when)
		ownNow += s.ownRate
	}
	observed := max(c.uplinkRate(r)+ownThen-ownNow, 0) / reported
	observed = min(max(observed, r.configuredCapacity/6), r.configuredCapacity*2)
	r.capacity += uplinkLearningRate * (observed - r.capacity)
	r.utilizationReported, r.freshReport = r.utilizationReported || measured,
		r.freshReport || note || c.cfg.LinkNoteInterval == 0
}

// handleNote processes a note about a playing session. A note about a session that started within NoteDelay
// came with the set-up and is current; others are as old as NoteDelay.
func (c *Controller) handleNote(e Note) {
	s, sess := c.serversByID[e.Server], c.sessions[e.ID]
	if s == nil {
		return
	}
	delayed := c.now - c.cfg.NoteDelay
	when, atSetUp := delayed, sess != nil && sess.startedAt > delayed
	if atSetUp {
		when = c.now
	}
	s.lastNoteAt = c.now
	switch e.Kind {
	case NoteRung:
		if sess != nil && sess.assignedTo == s && e.Value >= 0 && int(e.Value) < len(c.cfg.Ladder) {
			sess.rung = int(e.Value)
			c.updateOwnRate(s)
		}
	case NoteLink:
		c.clearRestartSuspicion(s, sess)
		ownPart := s.ownRate / max(s.capacity, 1) / max(e.Value, 0.1)
		if c.cfg.AllowPeerMessages && (atSetUp || c.rng.Float64() < reportersPerNote*ownPart) {
			c.queueReport(s, e.Value, -1, !atSetUp)
		}
		c.applyLinkReport(s, e.Value, when, reportWeight)
		if !atSetUp {
			s.freshReport, c.lastLinkNoteAt = true, c.now
		}
	case NoteUplink:
		c.applyUplinkReport(c.racks[s.rackIndex], e.Value, when, true, true)
	case NoteShare:
		c.handleShortShare(s, e.Value, delayed)
	}
}

// handleShortShare processes the part of a session's rate that was delivered at the time when. A short
// share is attributed to the server's link if that was nearly full lately. Else it is attributed to the
// uplink, unless the uplink's utilization is reported or its capacity is unknown.
func (c *Controller) handleShortShare(s *server, share float64, when time.Duration) {
	if !(share >= 0) {
		return
	}
	s.lastShortShareAt = c.now
	implied := 1 / max(share, stalledShare) // utilization that explains the share
	r, link := c.racks[s.rackIndex], c.utilization(s)
	wasFull := link >= nearlyFullThreshold ||
		s.lastFullAt > 0 && c.now-s.lastFullAt < c.cfg.NoteDelay+settleTime
	if wasFull || r.capacity <= 0 || r.utilizationReported {
		if link >= nearlyFullThreshold && share < overloadThreshold && link < implied {
			c.applyLinkReport(s, implied, when, reportWeight)
			s.freshReport = true
		}
		return
	}
	r.recovering = share >= r.lastShortShare+0.02 && c.now-r.lastShortShareAt < stepInterval
	r.lastShortShare, r.lastShortShareAt = share, c.now
	if share < overloadThreshold && !r.recovering {
		c.applyUplinkReport(r, implied, when, false, true)
	}
}
