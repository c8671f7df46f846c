package node

import (
	"time"
)

// A viewer whose set-up crosses the end of its connection sends it again, under its id, on a new one. The node may see
// the two events in either order, may read the copies in either order, and may have written the answer between them. Both
// copies are one request: its attempt goes on, and its answer goes to the connection that the viewer opened last.

const (
	// defaultResendWindow is how long behind the end of its connection a set-up may come again: 50 ms by the platform's
	// terms, and as much for the ways of both. Until it is over the request is not withdrawn.
	defaultResendWindow = 100 * time.Millisecond
	// defaultAnswerMemory is how long an answer is kept for a viewer that asks again.
	defaultAnswerRetention = time.Second
	// maxRememberedAnswers bounds the answers that are kept.
	maxCachedAnswers = 4096
)

// reply is a final answer to a set-up.
type finalAnswer struct {
	status     int
	retryAfter string // advice when to come back
	body       []byte
}

// claim gives a request its final answer, where it has none yet. From then on its session stands, if it plays.
func (s *session) claimAnswer(r finalAnswer) (conn *viewerConn, connLost, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || s.withdrawn {
		return s.conn, s.connLost, false
	}
	s.answered, s.answer, s.playing = true, &r, r.status == statusOK
	return s.conn, s.connLost, true
}

// answerElsewhere gives a request that its viewer ends on another connection its final answer, where it has none yet.
func (s *session) claimAnswerOnTearDown(r finalAnswer) bool {
	_, _, first := s.claimAnswer(r)
	return first
}

// orphan marks that its connection ended under it. False if it has moved to another one, or needs none.
func (s *session) markConnLost(closedConn *viewerConn, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != closedConn || s.withdrawn || s.adopted {
		return false
	}
	s.connLost = true
	if s.attemptsBlockedFrom == 0 || now < s.attemptsBlockedFrom {
		s.attemptsBlockedFrom = now
	}
	return true
}

// abandon withdraws a request that was not sent again since its connection ended.
func (s *session) withdrawIfNotResent(closedConn *viewerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != closedConn || s.withdrawn || !s.connLost {
		return false
	}
	s.withdrawn = true
	return true
}

// withdrawalReply answers a set-up that comes again when it is too late. What was sent to a server may have run there, and
// then nobody may be told that it did not.
func (s *session) withdrawalAnswer() *finalAnswer {
	if s.attemptSent {
		return &finalAnswer{status: statusGatewayTimeout}
	}
	return &finalAnswer{status: statusServiceUnavailable}
}

// resumption is what a set-up that came again found.
type resumedSetUp struct {
	previousConn *viewerConn  // the connection that it was on
	answer       *finalAnswer // that it was given already; nil: it still waits
	playing      bool         // its session stands
}

// resume moves a request to the connection on which its viewer sent it again.
func (s *session) moveTo(conn *viewerConn, cseq string) resumedSetUp {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cseq = cseq
	if s.withdrawn || s.answered && s.answer == nil { // too late: it was withdrawn, or its answer is not kept any more
		return resumedSetUp{previousConn: s.conn, answer: s.withdrawalAnswer()}
	}
	r := resumedSetUp{previousConn: s.conn, answer: s.answer, playing: s.playing}
	s.conn, s.connLost, s.attemptsBlockedFrom = conn, false, 0
	return r
}

// sameRequest tells whether a set-up under the same id asks for the same.
func (s *session) isSameRequest(other *session) bool {
	return s.uri == other.uri && s.className == other.className && s.description == other.description && s.dedupeKey == other.dedupeKey
}

// takeResent takes a set-up under an id that is known from another connection. It tells whether it was that set-up, sent
// again.
func (c *viewerConn) handleResent(resent, s *session) bool {
	if s.adopted || s.currentConn() == c || !s.isSameRequest(resent) {
		return false
	}
	if lastConn := s.currentConn(); lastConn.id > c.id && lastConn.phase() == phaseOpen {
		c.node.Log.Info("set-up read behind its copy", "session", s.id, "connection", uint64(c.id), "copy on", uint64(lastConn.id))
		return true // the viewer waits on the connection that it opened last
	}
	c.mu.Lock()
	c.openSetUps[s.id] = s
	c.mu.Unlock()
	resumed := s.moveTo(c, resent.cseq)
	resumed.previousConn.removeSetUp(s)
	c.node.nearMisses.resumed.Add(1)
	c.node.Log.Info("set-up sent again", "session", s.id, "connection", uint64(c.id), "first", uint64(resumed.previousConn.id),
		"first is", resumed.previousConn.phase().String(), "after", c.node.now()-s.receivedAt, "answered", resumed.answer != nil, "stands", resumed.playing)
	if resumed.answer != nil {
		if resumed.playing {
			resumed.previousConn.addSessions(-1)
			c.addSessions(1)
		}
		enqueued := c.out.enqueueAndWrite(s.appendAnswer(*resumed.answer))
		c.removeSetUp(s)
		if !enqueued {
			c.node.awaitResend(c, []*session{s})
		}
		return true
	}
	if c.phase() == phaseClosed { // it ended meanwhile, and may not have seen the request
		c.node.awaitResend(c, []*session{s})
	}
	return true
}

// awaitResend keeps requests whose connection ended for as long as their viewers may send them again, and then withdraws
// them. What is out for them goes on; no further attempt begins meanwhile, since their viewers may have gone.
func (n *Node) awaitResend(closedConn *viewerConn, openSetUps []*session) {
	now := n.now()
	waiting := make([]*session, 0, len(openSetUps))
	for _, s := range openSetUps {
		if s.markConnLost(closedConn, now) {
			waiting = append(waiting, s)
		}
	}
	if len(waiting) == 0 {
		return
	}
	time.AfterFunc(n.resendWindow, func() {
		for _, s := range waiting {
			if s.withdrawIfNotResent(closedConn) {
				n.cacheAnswer(s)
				n.orchestrator.ViewerLeft(s.id, s)
			}
		}
	})
}

// remembered is a request whose answer is kept.
type cachedAnswer struct {
	session *session
	at      time.Duration
}

// answers are the requests that were answered a short time ago, the oldest first.
type answerCache struct {
	retention time.Duration
	byID      map[string]*session
	order     []cachedAnswer
}

// add keeps a request, and lets go of those that are too old or too many.
func (a *answerCache) add(s *session, now time.Duration) {
	a.byID[s.id] = s
	a.order = append(a.order, cachedAnswer{s, now})
	a.expire(now)
}

// expire lets go of what is too old or too many.
func (a *answerCache) expire(now time.Duration) {
	for len(a.order) > 0 && (len(a.order) > maxCachedAnswers || now-a.order[0].at > a.retention) {
		s := a.order[0].session
		a.order[0] = cachedAnswer{}
		a.order = a.order[1:]
		if a.byID[s.id] == s {
			delete(a.byID, s.id)
		}
		s.dropAnswer()
	}
}

// find is the request that was answered under an id a short time ago.
func (a *answerCache) find(id string, now time.Duration) *session {
	a.expire(now)
	return a.byID[id]
}

// remember keeps the answer to a request for a short time.
func (n *Node) cacheAnswer(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recentAnswers.add(s, n.now())
}

// answeredLately is the request that was answered under an id a short time ago; nil if there is none.
func (n *Node) recentlyAnswered(id string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recentAnswers.find(id, n.now())
}

// takeResentAnswered takes a set-up under the id of a request that was answered a short time ago. It tells whether it was
// that one, sent again. Where nothing of that one went to a server it may be begun anew, unless its viewer has asked again
// since this copy was sent.
func (c *viewerConn) handleResentAnswered(s *session) bool {
	answered := c.node.recentlyAnswered(s.id)
	return answered != nil && (answered.wasAttemptSent() || answered.currentConn().id > c.id) && c.handleResent(s, answered)
}

// expireAnswers lets go of answers that no viewer asks for any more.
func (n *Node) expireAnswers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recentAnswers.expire(n.now())
}

// wasSent tells whether an attempt of it went to a server.
func (s *session) wasAttemptSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attemptSent
}

func (s *session) dropAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = nil
}
