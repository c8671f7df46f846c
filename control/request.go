package control

// A request's life: arrival, attempts and their ends, retries, refusal.

import "time"

// request takes a viewer's request and settles it at once: a set-up or a refusal.
func (c *Controller) handleRequest(e Request) {
	if e.Class < 0 || e.Class >= len(c.cfg.Classes) || c.sessions[e.ID] != nil {
		return
	}
	k := &c.cfg.Classes[e.Class]
	x := &session{Request: e, class: k, worth: k.Worth, rung: k.MinRung}
	c.sessions[e.ID] = x
	if e.Playing {
		x.attempts, x.playing, x.done, x.startedAt = 1, true, true, c.now
		if s := c.serversByID[e.Server]; s != nil {
			s.addSession(x)
			c.updateOwnRate(s)
			s.publishedRate, s.publishedStreams = s.ownRate, len(s.sessions)
		}
		return
	}
	if c.cfg.BudgetSpan > 0 {
		c.requestTimes = append(recent(c.requestTimes, c.now, c.cfg.BudgetSpan), c.now)
	}
	if e.Tenant >= 0 && e.Tenant < len(c.cfg.Tenants) && c.cfg.Tenants[e.Tenant].Quota > 0 {
		c.tenantRequests[e.Tenant] = append(recent(c.tenantRequests[e.Tenant], c.now, time.Second), c.now)
		if float64(len(c.tenantRequests[e.Tenant])*c.cfg.Fronts) > max(c.cfg.Tenants[e.Tenant].Quota, 1) {
			x.worth *= c.cfg.OverQuotaFactor
		}
	}
	if !c.queryCollectors(x) {
		c.placeSession(x)
	}
	if c.cfg.ReportMode == ReportsByProbe && c.cfg.AllowProbes {
		c.probeHolder(x)
	}
}

// patience is how long an attempt may go unanswered. One that may be sent again is given up early
// enough to be served elsewhere within its aim; others wait as long as the viewer does.
func (c *Controller) attemptTimeout(x *session) time.Duration {
	left := x.GiveUpAt - c.now
	last := c.cfg.MaxAttempts > 0 && x.attempts >= c.cfg.MaxAttempts
	if x.class.Effect == AtMostOnce || x.class.Aim <= 0 || last {
		return max(left, 0)
	}
	p := time.Duration(attemptTimeoutFraction * float64(x.class.Aim) * float64(max(x.attempts, 1)))
	if x.GiveUpAt > 0 {
		p = min(p, left)
	}
	return max(p, 0)
}

// mayResend keeps the rules on further attempts: cap, budget, and effects.
func (c *Controller) mayResend(x *session) bool {
	if c.cfg.MaxAttempts > 0 && x.attempts >= c.cfg.MaxAttempts {
		return false
	}
	if x.class.Effect == AtMostOnce && x.mayHaveRunOn != nil {
		return false
	}
	if c.cfg.BudgetSpan <= 0 {
		return true
	}
	c.retryTimes = recent(c.retryTimes, c.now, c.cfg.BudgetSpan)
	c.requestTimes = recent(c.requestTimes, c.now, c.cfg.BudgetSpan)
	return float64(len(c.retryTimes)+1) <= c.cfg.BudgetFree+c.cfg.BudgetShare*float64(len(c.requestTimes))
}

// end answers a request that gets no further attempt: a refusal where nothing can have run or a
// repeat does no harm, else a failure. The answer goes out at once, with advice when to return.
func (c *Controller) refuseOrFail(x *session) {
	if x.done {
		return
	}
	x.done = true
	delete(c.sessions, x.ID)
	k := x.class
	if x.mayHaveRunOn != nil && (k.Effect == AtMostOnce || k.Effect == Deduplicated && k.Scope != ScopeAll) {
		c.emit(Fail{x.ID})
		return
	}
	after := time.Duration(0)
	if c.cfg.AllowRetryAfter {
		after = min(retryAfterAdvice, c.cfg.MaxRetryAfter)
	}
	c.emit(Refuse{x.ID, after})
}

func (c *Controller) handleSessionStarted(e SessionStarted) {
	s := c.serversByID[e.Server]
	if s != nil {
		c.clearFailures(s)
	}
	if x := c.sessions[e.ID]; x != nil && x.assignedTo == s {
		x.playing, x.done, x.startedAt = true, true, c.now
	}
}

// answers clears a server that served; one that had broken counts as freshly started.
func (c *Controller) clearFailures(s *server) {
	if s.mayHaveRestarted {
		s.coldFrom = c.now
		c.beginSlowStart(s)
	}
	s.failures, s.failedSetUps, s.avoidUntil, s.mayHaveRestarted = 0, 0, 0, false
}

// failed marks a server and leaves it alone for a while, longer each time. A lost connection, or several
// set-ups unanswered in a row, look like a restart; one unanswered set-up may be a lost answer.
func (c *Controller) recordFailure(s *server, o Outcome) {
	s.failures++
	s.lastFailureAt = c.now
	if lost := o == Reset || o == ConnectFailed || s.failures >= restartFailureCount; lost && !s.mayHaveRestarted {
		s.mayHaveRestarted = true
		c.beginSlowStart(s)
	}
	wait := min(minAvoidTime<<min(s.failures-1, 10), maxAvoidTime)
	s.avoidUntil = c.now + wait/2 + time.Duration(c.rng.Int64N(int64(wait)))
}

// ended closes an attempt, and places the request anew if it is still owed an answer.
func (c *Controller) handleAttemptEnded(e AttemptEnded) {
	s, x := c.serversByID[e.Server], c.sessions[e.ID]
	if s != nil {
		c.applyLoadReport(s, e.Load, c.now)
	}
	if x == nil || s == nil || x.assignedTo != s {
		return
	}
	s.removeSession(x)
	c.updateOwnRate(s)
	switch e.Outcome {
	case Served:
		c.clearFailures(s)
	case Full:
		if c.cfg.RejectUtilization > 0 {
			c.applyLinkReport(s, max(c.cfg.RejectUtilization, c.utilization(s)), c.now, reportWeight)
		}
		s.fullUntil = c.now + fullServerWait
	case TimedOut, ConnectFailed, Reset, Failed:
		// An error is an answer, and may be the request's own fault: several in a row are the server's.
		if s.failedSetUps++; e.Outcome == Failed && s.failedSetUps < restartFailureCount {
			break
		}
		if !x.playing || e.Outcome == Reset {
			c.recordFailure(s, e.Outcome)
		}
	}
	if e.Final || x.done {
		x.done = true
		delete(c.sessions, x.ID)
		return
	}
	if e.Outcome != Full && e.Outcome != ConnectFailed && e.Outcome != NotSent && x.mayHaveRunOn == nil {
		x.mayHaveRunOn, x.mayHaveRunAt = s, x.sentAt
	}
	if e.Outcome == NotSent && s.State == Ready { // else its server takes no more, and another may
		c.refuseOrFail(x)
		return
	}
	c.placeSession(x)
}

// left forgets a request whose viewer went away; an attempt still out keeps its place until it ends.
func (c *Controller) handleViewerLeft(e ViewerLeft) {
	x := c.sessions[e.ID]
	if x == nil {
		return
	}
	if x.assignedTo == nil {
		delete(c.sessions, e.ID)
	} else if !x.playing && !x.done && c.cfg.AllowCancel {
		c.emit(Cancel{e.ID, x.attempts - 1})
	}
	x.done = true
}
