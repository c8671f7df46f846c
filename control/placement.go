package control

// The choice of a server, and the rung that a session starts at.

import (
	"math"
	"slices"
	"time"
)

// place sends a request to a server, or ends it. The least loaded holder with room decides;
// exceptions, each only where the one before found nobody: a holder where own sessions step
// down to make room, then the best of the suspects whose trial is due.
func (c *Controller) placeSession(x *session) {
	unseated := x.class.Seats > 0 && c.countSeats(x) >= x.class.Seats
	if c.now >= x.GiveUpAt && x.GiveUpAt > 0 || x.attempts > 0 && !c.mayResend(x) || unseated {
		c.refuseOrFail(x)
		return
	}
	var best *server
	c.compareServers(func() { best = c.chooseServer(x) })
	if best == nil {
		c.refuseOrFail(x)
		return
	}
	c.sendAttempt(x, best)
}

// choose is the server that a request goes to; nil where none will do.
func (c *Controller) chooseServer(x *session) *server {
	lowest := c.sessionRate(x, x.class.MinRung)
	var roomy, crowded, suspect []*server
	for _, s := range c.sortedServers {
		if !c.isEligible(x, s) {
			continue
		}
		switch room := c.headroom(s, admissionLimit, x); {
		case c.isSuspect(x, s):
			suspect = append(suspect, s)
		case room >= lowest*c.addedRateFactor(x, x.class.MinRung, s.sessions):
			roomy = append(roomy, s)
		case room+c.reclaimableRate(s) >= lowest:
			crowded = append(crowded, s)
		}
	}
	for _, group := range [][]*server{c.preferSharedStream(x, roomy), crowded, c.trialCandidates(x, suspect)} {
		if s := c.leastLoaded(x, group); s != nil {
			return s
		}
	}
	return nil
}

// allowed keeps the rules that no load can bend: listed and ready, holder of the title, a free
// stream, the pace of a cold server, and the group that a deduplicated set-up is bound to.
func (c *Controller) isEligible(x *session, s *server) bool {
	if s.State != Ready || !c.hasTitle(x, s) || !c.slowStartAllows(s) {
		return false
	}
	others := s.otherStreams
	if c.now-s.streamsUpdatedAt > streamReportMaxAge {
		others = 0
	}
	_, held := c.reservedForOthers(x, s)
	if n := c.slots(s); n > 0 && others+len(s.sessions)+int(held) >= n || c.now < s.fullUntil {
		return false
	}
	if m := x.mayHaveRunOn; m != nil && x.class.Effect == Deduplicated {
		if c.now-x.mayHaveRunAt >= x.class.DedupWindow || x.class.Scope == ScopeZone && s.Zone != m.Zone ||
			x.class.Scope == ScopeCell && s.Cell != m.Cell {
			return false
		}
	}
	return true
}

// suspect judges by symptoms, whatever the cause: set-ups that failed or went unanswered, sessions
// that broke, or silence while others are heard. Paid set-ups stay off such a server until it has
// served again, since a doubtful end can be neither resent nor refused.
func (c *Controller) isSuspect(x *session, s *server) bool {
	if slices.Contains(x.triedServers, s) || c.notesOverdue(s) {
		return true
	}
	return s.failures > 0 && (x.class.Effect != Idempotent || c.now < s.avoidUntil || s.pendingSetUps() > 0)
}

// silent tells a server whose notes stopped while other servers' went on. When all stop, the notes
// are at fault and nobody is suspected; notes at set-up don't count as going on.
func (c *Controller) notesOverdue(s *server) bool {
	if c.cfg.LinkNoteInterval <= 0 || len(s.sessions) == 0 {
		return false
	}
	since := s.lastNoteAt
	for _, x := range s.sessions {
		if x.playing && x.startedAt > since {
			since = x.startedAt
		}
	}
	if since == 0 || s.pendingSetUps() == len(s.sessions) {
		return false
	}
	limit := time.Duration(maxMissedNotes*float64(c.cfg.LinkNoteInterval)) + c.cfg.NoteDelay
	return c.now-since > limit && c.now-c.lastLinkNoteAt < c.cfg.LinkNoteInterval
}

// trials are the suspects worth a try when nobody else is left; those that x has not met come first.
// A paid set-up only tries those of which one answer is missing, which may be all that is wrong.
func (c *Controller) trialCandidates(x *session, suspects []*server) []*server {
	if x.class.Effect == AtMostOnce {
		worse := func(s *server) bool { return s.mayHaveRestarted || c.notesOverdue(s) || s.pendingSetUps() > 0 }
		return slices.DeleteFunc(suspects, worse)
	}
	met := func(s *server) bool { return slices.Contains(x.triedServers, s) }
	if untried := slices.DeleteFunc(slices.Clone(suspects), met); len(untried) > 0 {
		return untried
	}
	return suspects
}

// shared keeps viewers of one live title together where streams can be shared.
func (c *Controller) preferSharedStream(x *session, group []*server) []*server {
	var with []*server
	for _, s := range group {
		if c.findSharedStream(x, s) != nil {
			with = append(with, s)
		}
	}
	if len(with) > 0 {
		return with
	}
	return group
}

// leastLoaded is the design's choice: the least loaded link; of links as good as equal the one in
// the less loaded rack, with a little for the own zone; then the seed decides.
func (c *Controller) leastLoaded(x *session, group []*server) *server {
	least, width := math.Inf(1), tieWidth
	for _, s := range group {
		least = min(least, c.effectiveUtilization(x, s))
		if c.racks[s.rackIndex].utilizationReported {
			width = reportedUplinkTieWidth
		}
	}
	var best *server
	bestCost := math.Inf(1)
	for _, s := range group {
		if c.effectiveUtilization(x, s) > least+width {
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

// send starts an attempt at the rung that fits. Up to about the mean rung of the own sessions, a sign of
// what the fleet affords, a newcomer may fill the link more: else it starts low and pays for switches.
// Harm: where a crowd comes, links run short until the next note.
func (c *Controller) sendAttempt(x *session, s *server) {
	if x.attempts > 0 && c.cfg.BudgetSpan > 0 {
		c.retryTimes = append(c.retryTimes, c.now) // mayResend dropped the old ones
	}
	x.rung = x.class.MinRung
	s.addSession(x)
	c.updateOwnRate(s)
	if need := -c.headroom(s, admissionLimit, x); need > 0 {
		c.stepDown(s.sessions, need, x)
	}
	top := min(x.BestRung, x.class.MaxRung)
	if y := c.findSharedStream(x, s); y != nil && y.rung <= top {
		x.rung, top = y.rung, y.rung
		c.updateOwnRate(s)
	}
	for x.rung < top {
		step := c.sessionRate(x, x.rung+1) - c.sessionRate(x, x.rung)
		upTo, part := stepUpTarget, newSessionShare
		if c.cfg.Ladder[x.rung+1] <= meanRungFraction*c.meanOwnRate {
			upTo, part = meanRungTarget, meanRungShare
		}
		link, _ := c.linkAndUplinkHeadroom(s, upTo, x)
		_, uplink := c.linkAndUplinkHeadroom(s, stepUpTarget, x) // shared by many servers: more newcomers at once
		room := min(link*part, uplink*max(part/4, 1/float64(c.cfg.Fronts)))
		if kept := c.holdRatePerSession(x, s) - c.sessionRate(x, x.rung); kept > 0 && c.rng.Float64()*step < kept {
			room = min(link, uplink) // the room was kept for it: others do not take it meanwhile
		}
		if step > room && !c.swapSteps(x, s, step-max(room, 0)) {
			break
		}
		x.rung++
		c.updateOwnRate(s)
	}
	x.attempts++
	x.triedServers = append(x.triedServers, s)
	x.sentAt, s.lastSetUpAt, s.waitFactor = c.now, c.now, 1
	c.emit(SetRung{x.ID, x.rung})
	c.emit(Send{x.ID, s.ID, c.attemptTimeout(x)})
}
