package control

// A request's life: arrival, attempts and their ends, retries, refusal.

import "time"

// request takes a viewer's request and settles it at once: a set-up or a refusal.
func (c *Controller) request(e Request) {
	if e.Class < 0 || e.Class >= len(c.set.Classes) || c.sessions[e.ID] != nil {
		return
	}
	k := &c.set.Classes[e.Class]
	x := &session{Request: e, class: k, worth: k.Worth, rung: k.Floor}
	c.sessions[e.ID] = x
	if e.Playing {
		x.attempts, x.playing, x.done, x.startAt = 1, true, true, c.now
		if s := c.known[e.Server]; s != nil {
			s.add(x)
			c.changed(s)
			s.toldRate, s.toldStreams = s.asked, len(s.held)
		}
		return
	}
	if c.set.BudgetSpan > 0 {
		c.taken = append(within(c.taken, c.now, c.set.BudgetSpan), c.now)
	}
	if e.Tenant >= 0 && e.Tenant < len(c.set.Tenants) && c.set.Tenants[e.Tenant].Quota > 0 {
		c.tenants[e.Tenant] = append(within(c.tenants[e.Tenant], c.now, time.Second), c.now)
		if float64(len(c.tenants[e.Tenant])*c.set.Fronts) > max(c.set.Tenants[e.Tenant].Quota, 1) {
			x.worth *= c.set.Over
		}
	}
	if !c.ask(x) {
		c.place(x)
	}
	if c.set.Reports == ReportsByProbe && c.set.Probes {
		c.probe(x)
	}
}

// patience is how long an attempt may go unanswered. One that may be sent again is given up early
// enough to be served elsewhere within its aim; others wait as long as the viewer does.
func (c *Controller) patience(x *session) time.Duration {
	left := x.Due - c.now
	last := c.set.MaxAttempts > 0 && x.attempts >= c.set.MaxAttempts
	if x.class.Effect == AtMostOnce || x.class.Aim <= 0 || last {
		return max(left, 0)
	}
	p := time.Duration(patiencePart * float64(x.class.Aim) * float64(max(x.attempts, 1)))
	if x.Due > 0 {
		p = min(p, left)
	}
	return max(p, 0)
}

// mayResend keeps the rules on further attempts: cap, budget, and effects.
func (c *Controller) mayResend(x *session) bool {
	if c.set.MaxAttempts > 0 && x.attempts >= c.set.MaxAttempts {
		return false
	}
	if x.class.Effect == AtMostOnce && x.mayRan != nil {
		return false
	}
	if c.set.BudgetSpan <= 0 {
		return true
	}
	c.further = within(c.further, c.now, c.set.BudgetSpan)
	c.taken = within(c.taken, c.now, c.set.BudgetSpan)
	return float64(len(c.further)+1) <= c.set.BudgetFree+c.set.BudgetShare*float64(len(c.taken))
}

// end answers a request that gets no further attempt: a refusal where nothing can have run or a
// repeat does no harm, else a failure. The answer goes out at once, with advice when to return.
func (c *Controller) end(x *session) {
	if x.done {
		return
	}
	x.done = true
	delete(c.sessions, x.ID)
	k := x.class
	if x.mayRan != nil && (k.Effect == AtMostOnce || k.Effect == Deduplicated && k.Scope != ScopeAll) {
		c.act(Fail{x.ID})
		return
	}
	after := time.Duration(0)
	if c.set.RetryAfter {
		after = min(returnAdvice, c.set.MaxRetryAfter)
	}
	c.act(Refuse{x.ID, after})
}

func (c *Controller) started(e Started) {
	s := c.known[e.Server]
	if s != nil {
		c.answers(s)
	}
	if x := c.sessions[e.ID]; x != nil && x.on == s {
		x.playing, x.done, x.startAt = true, true, c.now
	}
}

// answers clears a server that served; one that had broken counts as freshly started.
func (c *Controller) answers(s *server) {
	if s.broke {
		s.coldFrom = c.now
		c.pace(s)
	}
	s.fails, s.errors, s.avoidTill, s.broke = 0, 0, 0, false
}

// failed marks a server and leaves it alone for a while, longer each time. A lost connection, or several
// set-ups unanswered in a row, look like a restart; one unanswered set-up may be a lost answer.
func (c *Controller) failed(s *server, o Outcome) {
	s.fails++
	s.failedAt = c.now
	if lost := o == Reset || o == ConnectFailed || s.fails >= brokenAfter; lost && !s.broke {
		s.broke = true
		c.pace(s)
	}
	wait := min(avoidFirst<<min(s.fails-1, 10), avoidMost)
	s.avoidTill = c.now + wait/2 + time.Duration(c.rng.Int64N(int64(wait)))
}

// ended closes an attempt, and places the request anew if it is still owed an answer.
func (c *Controller) ended(e Ended) {
	s, x := c.known[e.Server], c.sessions[e.ID]
	if s != nil {
		c.load(s, e.Load, c.now)
	}
	if x == nil || s == nil || x.on != s {
		return
	}
	s.drop(x)
	c.changed(s)
	switch e.Outcome {
	case Served:
		c.answers(s)
	case Full:
		if c.set.FullFrom > 0 {
			c.believe(s, max(c.set.FullFrom, c.fullness(s)), c.now, reportWeight)
		}
		s.fullTill = c.now + fullWait
	case TimedOut, ConnectFailed, Reset, Failed:
		// An error is an answer, and may be the request's own fault: several in a row are the server's.
		if s.errors++; e.Outcome == Failed && s.errors < brokenAfter {
			break
		}
		if !x.playing || e.Outcome == Reset {
			c.failed(s, e.Outcome)
		}
	}
	if e.Final || x.done {
		x.done = true
		delete(c.sessions, x.ID)
		return
	}
	if e.Outcome != Full && e.Outcome != ConnectFailed && e.Outcome != Moot && x.mayRan == nil {
		x.mayRan, x.mayRanAt = s, x.sentAt
	}
	if e.Outcome == Moot && s.State == Ready { // else its server takes no more, and another may
		c.end(x)
		return
	}
	c.place(x)
}

// left forgets a request whose viewer went away; an attempt still out keeps its place until it ends.
func (c *Controller) left(e Left) {
	x := c.sessions[e.ID]
	if x == nil {
		return
	}
	if x.on == nil {
		delete(c.sessions, e.ID)
	} else if !x.playing && !x.done && c.set.Cancel {
		c.act(Cancel{e.ID, x.attempts - 1})
	}
	x.done = true
}
