package control

// Choice of the server and of the initial rung of a session.

import (
	"math"
	"slices"
	"time"
)

// placeSession sends a request to a server, or refuses or fails it. It prefers the least loaded holder with
// enough headroom, then a holder where own sessions can step down to free the rate, then a suspect server
// that may be tried again.
func (c *Controller) placeSession(sess *session) {
	noSeatLeft := sess.class.Seats > 0 && c.countSeats(sess) >= sess.class.Seats
	if c.now >= sess.GiveUpAt && sess.GiveUpAt > 0 || sess.attempts > 0 && !c.mayResend(sess) || noSeatLeft {
		c.refuseOrFail(sess)
		return
	}
	var best *server
	c.compareServers(func() { best = c.chooseServer(sess) })
	if best == nil {
		c.refuseOrFail(sess)
		return
	}
	c.sendAttempt(sess, best)
}

// chooseServer returns the server to send a request to, or nil if no server is suitable.
func (c *Controller) chooseServer(sess *session) *server {
	minRate := c.sessionRate(sess, sess.class.MinRung)
	var fitting, reclaimable, suspects []*server
	for _, s := range c.sortedServers {
		if !c.isEligible(sess, s) {
			continue
		}
		switch available := c.headroom(s, admissionLimit, sess); {
		case c.isSuspect(sess, s):
			suspects = append(suspects, s)
		case available >= minRate*c.addedRateFactor(sess, sess.class.MinRung, s.sessions):
			fitting = append(fitting, s)
		case available+c.reclaimableRate(s) >= minRate:
			reclaimable = append(reclaimable, s)
		}
	}
	for _, group := range [][]*server{
		c.preferSharedStream(sess, fitting), reclaimable, c.trialCandidates(sess, suspects),
	} {
		if s := c.leastLoaded(sess, group); s != nil {
			return s
		}
	}
	return nil
}

// isEligible checks the conditions that apply at any load: the server is listed as ready, has the title and
// a free stream, its slow start allows a set-up, and it belongs to the servers that recognise a repeat of
// the first attempt of a deduplicated set-up.
func (c *Controller) isEligible(sess *session, s *server) bool {
	if s.State != Ready || !c.hasTitle(sess, s) || !c.slowStartAllows(s) {
		return false
	}
	otherStreams := s.otherStreams
	if c.now-s.streamsUpdatedAt > streamReportMaxAge {
		otherStreams = 0
	}
	_, reserved := c.reservedForOthers(sess, s)
	if limit := c.slots(s); limit > 0 && otherStreams+len(s.sessions)+int(reserved) >= limit ||
		c.now < s.fullUntil {
		return false
	}
	if first := sess.mayHaveRunOn; first != nil && sess.class.Effect == Deduplicated {
		if c.now-sess.mayHaveRunAt >= sess.class.DedupWindow ||
			sess.class.Scope == ScopeZone && s.Zone != first.Zone ||
			sess.class.Scope == ScopeCell && s.Cell != first.Cell {
			return false
		}
	}
	return true
}

// isSuspect judges a server by symptoms, whatever their cause: failed or unanswered set-ups, lost sessions,
// or missing notes while other servers' notes arrive. At-most-once set-ups avoid such a server until it has
// served a session again, because an attempt with an unknown outcome can be neither resent nor refused.
func (c *Controller) isSuspect(sess *session, s *server) bool {
	if slices.Contains(sess.triedServers, s) || c.notesOverdue(s) {
		return true
	}
	return s.failures > 0 &&
		(sess.class.Effect != Idempotent || c.now < s.avoidUntil || s.pendingSetUps() > 0)
}

// notesOverdue reports whether a server's notes stopped while notes of other servers still arrive. If the
// notes of all servers stop, the delivery of notes is at fault and no server is suspect. Notes that arrive
// at set-up are not evidence that notes still arrive.
func (c *Controller) notesOverdue(s *server) bool {
	if c.cfg.LinkNoteInterval <= 0 || len(s.sessions) == 0 {
		return false
	}
	last := s.lastNoteAt
	for _, sess := range s.sessions {
		if sess.playing && sess.startedAt > last {
			last = sess.startedAt
		}
	}
	if last == 0 || s.pendingSetUps() == len(s.sessions) {
		return false
	}
	limit := time.Duration(maxMissedNotes*float64(c.cfg.LinkNoteInterval)) + c.cfg.NoteDelay
	return c.now-last > limit && c.now-c.lastLinkNoteAt < c.cfg.LinkNoteInterval
}

// trialCandidates returns the suspect servers to try when no other server is left, preferably those that the
// request has not tried yet. An at-most-once set-up only tries servers whose sole symptom is one missing
// answer, since the answer alone may have been lost.
func (c *Controller) trialCandidates(sess *session, suspects []*server) []*server {
	if sess.class.Effect == AtMostOnce {
		excluded := func(s *server) bool {
			return s.mayHaveRestarted || c.notesOverdue(s) || s.pendingSetUps() > 0
		}
		return slices.DeleteFunc(suspects, excluded)
	}
	tried := func(s *server) bool { return slices.Contains(sess.triedServers, s) }
	if untried := slices.DeleteFunc(slices.Clone(suspects), tried); len(untried) > 0 {
		return untried
	}
	return suspects
}

// preferSharedStream returns the servers where the session can share a live stream of its title, or the
// whole group if there is none.
func (c *Controller) preferSharedStream(sess *session, group []*server) []*server {
	var sharing []*server
	for _, s := range group {
		if c.findSharedStream(sess, s) != nil {
			sharing = append(sharing, s)
		}
	}
	if len(sharing) > 0 {
		return sharing
	}
	return group
}

// leastLoaded returns a server with a lightly utilized link. Of the links within the tie width of the lowest
// utilization it takes the one with the lowest sum of the utilization of its rack's uplink, a small cost for
// another zone and a random part of up to half the tie width.
func (c *Controller) leastLoaded(sess *session, group []*server) *server {
	least, width := math.Inf(1), tieWidth
	for _, s := range group {
		least = min(least, c.effectiveUtilization(sess, s))
		if c.racks[s.rackIndex].utilizationReported {
			width = reportedUplinkTieWidth
		}
	}
	var best *server
	bestCost := math.Inf(1)
	for _, s := range group {
		if c.effectiveUtilization(sess, s) > least+width {
			continue
		}
		cost := c.rng.Float64() * width / 2
		if r := c.racks[s.rackIndex]; r.capacity > 0 {
			cost += c.uplinkRate(r) / r.capacity
		}
		if s.Zone != c.cfg.Zone && c.cfg.ZonePrice > 0 {
			cost += zonePriceWeight * c.cfg.ZonePrice
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// sendAttempt starts an attempt at the highest rung that fits. Up to about the mean rung of the own
// sessions, which indicates what the fleet can afford, a new session may use more of the link: otherwise it
// would start low and pay for rung changes. Trade-off: when many viewers arrive at once, links are short
// until the next note.
func (c *Controller) sendAttempt(sess *session, s *server) {
	if sess.attempts > 0 && c.cfg.BudgetSpan > 0 {
		c.retryTimes = append(c.retryTimes, c.now) // mayResend removed the expired entries
	}
	sess.rung = sess.class.MinRung
	s.addSession(sess)
	c.updateOwnRate(s)
	if needed := -c.headroom(s, admissionLimit, sess); needed > 0 {
		c.stepDown(s.sessions, needed, sess)
	}
	maxRung := min(sess.BestRung, sess.class.MaxRung)
	if shared := c.findSharedStream(sess, s); shared != nil && shared.rung <= maxRung {
		sess.rung, maxRung = shared.rung, shared.rung
		c.updateOwnRate(s)
	}
	for sess.rung < maxRung {
		stepRate := c.sessionRate(sess, sess.rung+1) - c.sessionRate(sess, sess.rung)
		target, share := stepUpTarget, newSessionShare
		if c.cfg.Ladder[sess.rung+1] <= meanRungFraction*c.meanOwnRate {
			target, share = meanRungTarget, meanRungShare
		}
		link, _ := c.linkAndUplinkHeadroom(s, target, sess)
		// Many servers share an uplink, so more new sessions start on it at the same time.
		_, uplink := c.linkAndUplinkHeadroom(s, stepUpTarget, sess)
		available := min(link*share, uplink*max(share/4, 1/float64(c.cfg.Fronts)))
		if reserved := c.holdRatePerSession(sess, s) - c.sessionRate(sess, sess.rung); reserved > 0 &&
			c.rng.Float64()*stepRate < reserved {
			available = min(link, uplink) // a hold reserves this capacity, so other sessions do not take it
		}
		if stepRate > available && !c.swapSteps(sess, s, stepRate-max(available, 0)) {
			break
		}
		sess.rung++
		c.updateOwnRate(s)
	}
	sess.attempts++
	sess.triedServers = append(sess.triedServers, s)
	sess.sentAt, s.lastSetUpAt, s.waitFactor = c.now, c.now, 1
	c.emit(SetRung{sess.ID, sess.rung})
	c.emit(Send{sess.ID, s.ID, c.attemptTimeout(sess)})
}
