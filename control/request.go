package control

// Handling of requests: arrival, attempts and their outcomes, retries and refusals.

import "time"

// handleRequest takes a viewer's request and places or refuses it at once, or after the collectors' replies.
func (c *Controller) handleRequest(e Request) {
	if e.Class < 0 || e.Class >= len(c.cfg.Classes) || c.sessions[e.ID] != nil {
		return
	}
	class := &c.cfg.Classes[e.Class]
	sess := &session{Request: e, class: class, worth: class.Worth, rung: class.MinRung}
	c.sessions[e.ID] = sess
	if e.Playing {
		sess.attempts, sess.playing, sess.done, sess.startedAt = 1, true, true, c.now
		if s := c.serversByID[e.Server]; s != nil {
			s.addSession(sess)
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
			sess.worth *= c.cfg.OverQuotaFactor
		}
	}
	if !c.queryCollectors(sess) {
		c.placeSession(sess)
	}
	if c.cfg.ReportMode == ReportsByProbe && c.cfg.AllowProbes {
		c.probeHolder(sess)
	}
}

// attemptTimeout returns how long an attempt may remain unanswered. An attempt that may be resent is given
// up early enough to be served elsewhere within its aim; other attempts wait until the viewer gives up.
func (c *Controller) attemptTimeout(sess *session) time.Duration {
	remaining := sess.GiveUpAt - c.now
	lastAttempt := c.cfg.MaxAttempts > 0 && sess.attempts >= c.cfg.MaxAttempts
	if sess.class.Effect == AtMostOnce || sess.class.Aim <= 0 || lastAttempt {
		return max(remaining, 0)
	}
	timeout := time.Duration(attemptTimeoutFraction *
		float64(sess.class.Aim) * float64(max(sess.attempts, 1)))
	if sess.GiveUpAt > 0 {
		timeout = min(timeout, remaining)
	}
	return max(timeout, 0)
}

// mayResend reports whether a request may have a further attempt under the attempt limit, the retry budget
// and the effect of its class.
func (c *Controller) mayResend(sess *session) bool {
	if c.cfg.MaxAttempts > 0 && sess.attempts >= c.cfg.MaxAttempts {
		return false
	}
	if sess.class.Effect == AtMostOnce && sess.mayHaveRunOn != nil {
		return false
	}
	if c.cfg.BudgetSpan <= 0 {
		return true
	}
	c.retryTimes = recent(c.retryTimes, c.now, c.cfg.BudgetSpan)
	c.requestTimes = recent(c.requestTimes, c.now, c.cfg.BudgetSpan)
	return float64(len(c.retryTimes)+1) <= c.cfg.BudgetFree+c.cfg.BudgetShare*float64(len(c.requestTimes))
}

// refuseOrFail answers a request that gets no further attempt: with a refusal if no attempt can have run or
// a repeat is harmless, otherwise with a failure. The answer is sent at once, with advice on when to retry.
func (c *Controller) refuseOrFail(sess *session) {
	if sess.done {
		return
	}
	sess.done = true
	delete(c.sessions, sess.ID)
	class := sess.class
	if sess.mayHaveRunOn != nil &&
		(class.Effect == AtMostOnce || class.Effect == Deduplicated && class.Scope != ScopeAll) {
		c.emit(Fail{sess.ID})
		return
	}
	retryAfter := time.Duration(0)
	if c.cfg.AllowRetryAfter {
		retryAfter = min(retryAfterAdvice, c.cfg.MaxRetryAfter)
	}
	c.emit(Refuse{sess.ID, retryAfter})
}

func (c *Controller) handleSessionStarted(e SessionStarted) {
	s := c.serversByID[e.Server]
	if s != nil {
		c.clearFailures(s)
	}
	if sess := c.sessions[e.ID]; sess != nil && sess.assignedTo == s {
		sess.playing, sess.done, sess.startedAt = true, true, c.now
	}
}

// clearFailures resets the failure state of a server that served a session. A server that may have restarted
// counts as recently started from now on.
func (c *Controller) clearFailures(s *server) {
	if s.mayHaveRestarted {
		s.coldFrom = c.now
		c.beginSlowStart(s)
	}
	s.failures, s.failedSetUps, s.avoidUntil, s.mayHaveRestarted = 0, 0, 0, false
}

// recordFailure counts a failure of a server and keeps set-ups away from it for a time that grows with each
// failure. A lost connection, or several unanswered set-ups in a row, count as a restart; a single
// unanswered set-up does not, since the answer alone may have been lost.
func (c *Controller) recordFailure(s *server, outcome Outcome) {
	s.failures++
	s.lastFailureAt = c.now
	if likelyRestart := outcome == Reset || outcome == ConnectFailed ||
		s.failures >= restartFailureCount; likelyRestart && !s.mayHaveRestarted {
		s.mayHaveRestarted = true
		c.beginSlowStart(s)
	}
	wait := min(minAvoidTime<<min(s.failures-1, 10), maxAvoidTime)
	s.avoidUntil = c.now + wait/2 + time.Duration(c.rng.Int64N(int64(wait)))
}

// handleAttemptEnded closes an attempt, and places the request again if it is still to be answered.
func (c *Controller) handleAttemptEnded(e AttemptEnded) {
	s, sess := c.serversByID[e.Server], c.sessions[e.ID]
	if s != nil {
		c.applyLoadReport(s, e.Load, c.now)
	}
	if sess == nil || s == nil || sess.assignedTo != s {
		return
	}
	s.removeSession(sess)
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
		// An error answer may be caused by the request; only several in a row are attributed to the server.
		if s.failedSetUps++; e.Outcome == Failed && s.failedSetUps < restartFailureCount {
			break
		}
		if !sess.playing || e.Outcome == Reset {
			c.recordFailure(s, e.Outcome)
		}
	}
	if e.Final || sess.done {
		sess.done = true
		delete(c.sessions, sess.ID)
		return
	}
	if e.Outcome != Full && e.Outcome != ConnectFailed && e.Outcome != NotSent && sess.mayHaveRunOn == nil {
		sess.mayHaveRunOn, sess.mayHaveRunAt = s, sess.sentAt
	}
	// A set-up that was not sent because its server no longer takes new sessions may go to another server.
	if e.Outcome == NotSent && s.State == Ready {
		c.refuseOrFail(sess)
		return
	}
	c.placeSession(sess)
}

// handleViewerLeft drops a request whose viewer left. A pending attempt still counts at its server until it
// ends.
func (c *Controller) handleViewerLeft(e ViewerLeft) {
	sess := c.sessions[e.ID]
	if sess == nil {
		return
	}
	if sess.assignedTo == nil {
		delete(c.sessions, e.ID)
	} else if !sess.playing && !sess.done && c.cfg.AllowCancel {
		c.emit(Cancel{e.ID, sess.attempts - 1})
	}
	sess.done = true
}
