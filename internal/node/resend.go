package node

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"

	"rainpulley/internal/lifecycle"
)

// If the connection of a set-up ends before the answer, the viewer resends the set-up with the same session id on a new
// connection. The node may notice the two events in either order, may read the original and the resent set-up in either
// order, and may have written the answer in between. Both are one request: its current attempt continues, and its
// answer goes to the connection that the viewer opened last.

const (
	// defaultResendWindow is how long after the end of its connection a set-up may arrive again. The platform allows
	// 50 ms, and as much is added for transit. The request is not withdrawn before that.
	defaultResendWindow = 100 * time.Millisecond
	// defaultAnswerRetention is how long an answer is cached for a viewer that resends its set-up.
	defaultAnswerRetention = time.Second
	// cachedAnswersPerMB limits the number of cached answers for each megabyte of the node's memory.
	cachedAnswersPerMB = 16
)

// finalAnswer is the final RTSP response to a set-up.
type finalAnswer struct {
	status     int
	retryAfter string // advised delay before a retry, in milliseconds
	body       []byte
}

// claimAnswer sets the final answer of a request unless it is answered or withdrawn already, and reports in first
// whether it did. With a 200 the session counts as playing from then on.
func (s *session) claimAnswer(r finalAnswer) (conn *viewerConn, connLost, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || s.withdrawn {
		return s.conn, s.connLost, false
	}
	s.answered, s.answer, s.playing = true, &r, r.status == statusOK
	s.dropDescription()
	return s.conn, s.connLost, true
}

// claimAnswerOnTearDown withdraws a request that was torn down on another connection, and sets its final answer. It
// returns nil if the request is answered or withdrawn already.
func (s *session) claimAnswerOnTearDown() *finalAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || s.withdrawn {
		return nil
	}
	s.answered, s.withdrawn, s.answer = true, true, s.withdrawalAnswer()
	s.dropDescription()
	return s.answer
}

// markConnLost records that the request's connection was closed. It returns false if the request has moved to another
// connection or needs none.
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

// withdrawIfNotResent withdraws the request unless it was resent after closedConn was closed.
func (s *session) withdrawIfNotResent(closedConn *viewerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != closedConn || s.withdrawn || !s.connLost {
		return false
	}
	s.withdrawn = true
	s.dropDescription()
	return true
}

// withdrawalAnswer returns the answer to a set-up that was withdrawn, for a viewer that still awaits one. If an attempt
// was sent to a server, the set-up may have run there, so the answer must not imply that it did not. The caller holds
// s.mu.
func (s *session) withdrawalAnswer() *finalAnswer {
	if s.attemptSent {
		return &finalAnswer{status: statusGatewayTimeout}
	}
	return &finalAnswer{status: statusServiceUnavailable}
}

// resumedSetUp describes the state of a request when its set-up was received again.
type resumedSetUp struct {
	previousConn *viewerConn  // the connection that the request was on
	answer       *finalAnswer // the answer given already; nil: still pending
	playing      bool         // its session is playing
}

// moveTo moves a request to the connection on which the viewer resent it.
func (s *session) moveTo(conn *viewerConn, cseq string) resumedSetUp {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cseq = cseq
	if s.withdrawn || s.answered && s.answer == nil { // too late: withdrawn, or the answer is no longer cached
		return resumedSetUp{previousConn: s.conn, answer: s.withdrawalAnswer()}
	}
	r := resumedSetUp{previousConn: s.conn, answer: s.answer, playing: s.playing}
	s.conn, s.connLost, s.attemptsBlockedFrom = conn, false, 0
	return r
}

// identify sets the identity of a set-up, on whatever connection it is received.
func (s *session) identify() {
	digest := sha256.New()
	for _, part := range []string{s.uri, s.className, s.dedupeKey, s.description} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = io.WriteString(digest, part)
	}
	s.identity.ID = s.id
	digest.Sum(s.identity.Content[:0])
}

// handleResent handles a set-up whose session id belongs to the request s. It returns false if it is not that request
// resent on another connection.
func (c *viewerConn) handleResent(resent, s *session) bool {
	if s.adopted || s.currentConn() == c || s.identity != resent.identity {
		return false
	}
	if lastConn := s.currentConn(); lastConn.id > c.id && lastConn.phase() == phaseOpen {
		c.node.Log.Info("original set-up read after its resend", "session", s.id, "connection", uint64(c.id),
			"copy on", uint64(lastConn.id))
		return true // the viewer awaits the answer on the connection that it opened last
	}
	c.mu.Lock()
	c.openSetUps[s.id] = s
	c.mu.Unlock()
	resumed := s.moveTo(c, resent.cseq)
	resumed.previousConn.removeSetUp(s)
	c.node.nearMisses.resumed.Add(1)
	c.node.Log.Info("set-up resent", "session", s.id, "connection", uint64(c.id),
		"first", uint64(resumed.previousConn.id), "first is", resumed.previousConn.phase().String(),
		"after", c.node.now()-s.receivedAt, "answered", resumed.answer != nil, "stands", resumed.playing)
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
	if c.phase() == phaseClosed { // closed in the meantime, perhaps before the set-up was added to openSetUps
		c.node.awaitResend(c, []*session{s})
	}
	return true
}

// awaitResend keeps requests whose connection was closed for as long as their viewers may resend them, and then
// withdraws them. Their current attempts continue; no further attempt starts meanwhile, since the viewers may have
// gone.
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

// cachedAnswer is an answered request whose answer is cached.
type cachedAnswer struct {
	session *session
	at      time.Duration
	bytes   int
}

// answerCache holds the recently answered requests, oldest first.
type answerCache struct {
	retention  time.Duration
	limit      int // number of answers
	byIdentity map[lifecycle.Identity]*session
	order      []cachedAnswer
	bytes      int // of their bodies
}

// maxCachedBytes limits the bodies of cached answers.
const maxCachedBytes = 2 << 20

// add adds a request and removes those that are too old or too many.
func (a *answerCache) add(s *session, now time.Duration) {
	a.byIdentity[s.identity] = s
	size := s.answerSize()
	a.order, a.bytes = append(a.order, cachedAnswer{s, now, size}), a.bytes+size
	a.expire(now)
}

// expire removes requests that are too old or too many.
func (a *answerCache) expire(now time.Duration) {
	for len(a.order) > 0 && (len(a.order) > a.limit || a.bytes > maxCachedBytes || now-a.order[0].at > a.retention) {
		s := a.order[0].session
		a.bytes -= a.order[0].bytes
		a.order[0] = cachedAnswer{}
		a.order = a.order[1:]
		if a.byIdentity[s.identity] == s {
			delete(a.byIdentity, s.identity)
		}
		s.dropAnswer()
	}
}

// find returns the recently answered request with an identity, or nil.
func (a *answerCache) find(identity lifecycle.Identity, now time.Duration) *session {
	a.expire(now)
	return a.byIdentity[identity]
}

// cacheAnswer caches the answer to a request.
func (n *Node) cacheAnswer(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recentAnswers.add(s, n.now())
}

// register records a set-up that was received on a connection. If the set-up is not new, or its session id is open, it
// returns the request that has it instead: a recently answered one that was resent, or else the open one. Both are looked
// up in one step, because a request is cached before it is closed. It refuses a set-up that must not run twice if an
// earlier one under its id may have run.
func (n *Node) register(s *session, c *viewerConn) (existing *session, refusal lifecycle.Refusal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	answered := n.recentAnswers.find(s.identity, n.now())
	if answered != nil && !s.adopted && answered.isResentOn(c) {
		return answered, lifecycle.Permitted
	}
	if existing = n.sessions[s.id]; existing != nil {
		return existing, lifecycle.Permitted
	}
	if !s.adopted {
		if refusal = n.ledger.Open(s.identity, s.atMostOnce, n.now()); refusal != lifecycle.Permitted {
			return nil, refusal
		}
	}
	n.sessions[s.id] = s
	return nil, lifecycle.Permitted
}

// isResentOn reports whether an answered request that is received again on a connection was resent. A request of which
// no attempt was sent to a server may start anew, unless its viewer resent it on a newer connection than this one.
func (s *session) isResentOn(c *viewerConn) bool {
	conn := s.currentConn()
	return conn != c && (s.wasAttemptSent() || conn.id > c.id)
}

// expireAnswers removes cached answers that are too old.
func (n *Node) expireAnswers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recentAnswers.expire(n.now())
}

// wasAttemptSent reports whether an attempt was sent to a server.
func (s *session) wasAttemptSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attemptSent
}

// answerSize returns the size of the body of the cached answer.
func (s *session) answerSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer == nil {
		return 0
	}
	return len(s.answer.body)
}

func (s *session) dropAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = nil
}
