package node

import (
	"strconv"
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/lifecycle"
	"rainpulley/internal/membudget"
	"rainpulley/internal/rtsp"
)

// lateDivisor defines when an answer counts as late: in the last tenth of the request's time or after it.
const lateDivisor = 10

// maxAnswerHeadBytes is the size of an answer's head above which its exact size is computed: a line of the viewer's,
// echoed, and the lines of this node.
const maxAnswerHeadBytes = 5 << 10

// session is a viewer's set-up request and the session that results from it. It implements core.Listener; the
// orchestrator calls those methods on its own goroutine.
type session struct {
	node                *Node
	id                  string
	identity            lifecycle.Identity
	uri                 string
	cseq                string
	className, titleKey string
	dedupeKey           string // the viewer's deduplication key, if any
	description         string // the viewer's session description, until the final answer
	adopted             bool
	atMostOnce          bool          // the set-up must not run twice
	timeout             time.Duration // how long the viewer waits for the answer
	deadline            time.Duration
	receivedAt          time.Duration // when the request was read

	mu                  sync.Mutex
	conn                *viewerConn   // the connection on which the set-up was last received
	connLost            bool          // conn was closed; the viewer may resend the set-up on another connection
	withdrawn           bool          // the viewer ended the request or session
	attemptsBlockedFrom time.Duration // the viewer may have gone: no attempt starts from then on; 0: not blocked
	attemptSent         bool          // an attempt was sent to a server
	answered            bool          // the final answer was decided
	answer              *finalAnswer  // the final answer, while it is cached
	playing             bool          // the answer was 200 and the session has not ended
	memory              *membudget.Account
}

// Statuses of answers (RFC 2326, section 7.1.1), with their meaning on this platform.
const (
	statusContinue           = 100 // provisional
	statusOK                 = 200
	statusBadRequest         = 400
	statusRequestTimeout     = 408
	statusNotEnoughBandwidth = 453 // refused; safe to retry
	statusSessionNotFound    = 454
	statusServiceUnavailable = 503 // safe to retry
	statusGatewayTimeout     = 504
)

// toFinalAnswer translates an answer into RTSP.
func toFinalAnswer(a core.Answer) finalAnswer {
	switch a.Kind {
	case core.Playing:
		text, _ := a.Payload.(string)
		return finalAnswer{status: statusOK, body: []byte(text)}
	case core.Refused:
		r := finalAnswer{status: statusNotEnoughBandwidth}
		if a.RetryAfter > 0 {
			r.retryAfter = strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)
		}
		return r
	}
	return finalAnswer{status: statusGatewayTimeout}
}

// Answered sends the final answer. If the connection is closed, the answer is cached, since the viewer may resend the
// set-up on another one. A session whose answer would be too large for its viewer to read has failed, and is ended.
func (s *session) Answered(a core.Answer) {
	r := toFinalAnswer(a)
	oversized := s.isOversized(r)
	if oversized {
		s.node.Log.Warn("answer too large for a message", "session", s.id, "description", len(r.body))
		r = finalAnswer{status: statusGatewayTimeout}
	}
	c, connLost, first := s.claimAnswer(r)
	defer c.removeSetUp(s) // only once the answer is queued: until then the connection is not evicted
	s.recordLateness(a)
	if !first {
		s.node.Log.Info("answer not sent: the viewer has left", "session", s.id, "answer", a.Kind.String())
	}
	if a.Kind == core.Playing && (!first || oversized) {
		s.node.orchestrator.ViewerLeft(s.id, s)
	}
	if first {
		s.sendAnswer(r, c, connLost)
	}
}

// isOversized reports whether an answer would exceed the size of a message.
func (s *session) isOversized(r finalAnswer) bool {
	return len(r.body)+maxAnswerHeadBytes > rtsp.MaxMessageBytes && len(s.appendAnswer(r)(nil)) > rtsp.MaxMessageBytes
}

// sendAnswer queues the final answer on the connection on which the set-up was last received.
func (s *session) sendAnswer(r finalAnswer, c *viewerConn, connLost bool) {
	s.node.ledger.Answered(s.identity)
	s.node.cacheAnswer(s)
	if r.status == statusOK {
		c.addSessions(1)
	}
	if connLost {
		s.node.Log.Info("answer cached: its connection is closed", "session", s.id, "status", r.status,
			"connection", uint64(c.id))
		return
	}
	if !c.out.enqueueAndWrite(s.appendAnswer(r)) {
		s.node.nearMisses.answersUnsent.Add(1)
		s.node.Log.Warn("answer not sent: its connection is closed", "session", s.id, "status", r.status,
			"connection", uint64(c.id))
		s.node.awaitResend(c, []*session{s})
	}
}

// recordLateness counts an answer in the last tenth of its time or after its deadline, and logs the latter.
func (s *session) recordLateness(a core.Answer) {
	switch late := s.node.now() - s.deadline; {
	case late > 0:
		s.node.nearMisses.lateAnswers.Add(1)
		s.node.Log.Warn("answer after its deadline", "session", s.id, "late", late, "answer", a.Kind.String(),
			"viewer left", s.isWithdrawn())
	case late > -s.timeout/lateDivisor:
		s.node.nearMisses.lateAnswers.Add(1)
	}
}

// Rung implements core.Listener. The viewer is not notified of bit-rate changes.
func (s *session) RungChanged(int) {}

// Ended notifies the viewer that its session has ended, unless the viewer ended it itself. If the viewer resends the
// set-up later, it gets a failure.
func (s *session) Ended(o control.Outcome, moved bool) {
	s.mu.Lock()
	c, withdrawn, connLost, wasPlaying := s.conn, s.withdrawn, s.connLost, s.playing
	s.playing = false
	if s.answer != nil {
		s.answer = &finalAnswer{status: statusGatewayTimeout}
	}
	s.mu.Unlock()
	if wasPlaying {
		c.addSessions(-1)
	}
	if withdrawn || connLost || o == control.Cancelled && !moved {
		return
	}
	s.node.viewerConns.notify(&notice{origin: c, id: s.id, uri: s.uri, moved: moved,
		cause: releaseCause(o == control.Served)})
}

// Closed removes the session from the node.
func (s *session) Closed() { s.node.unregister(s) }

// withdraw records that the viewer has ended the request or session.
func (s *session) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn = true
	s.dropDescription()
}

// reserveDescription reserves memory for the description, which is held until no attempt begins any more. It returns
// false if the connection's set-ups take too much.
func (s *session) reserveDescription(c *viewerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || s.withdrawn {
		return true
	}
	if !c.setUpMemory.Add(len(s.description)) {
		return false
	}
	s.memory = &c.setUpMemory
	return true
}

// dropDescription drops the description: no attempt begins any more. The caller holds s.mu.
func (s *session) dropDescription() {
	if s.memory != nil {
		s.memory.Add(-len(s.description))
		s.memory = nil
	}
	s.description = ""
}

// blockAttemptsFrom prevents attempts from a point in time on, because the viewer has closed the write side of a
// connection and may have gone. An answer must still be given. It has no effect if the viewer has resent the set-up on
// another connection.
func (s *session) blockAttemptsFrom(from time.Duration, closed *viewerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == closed {
		s.attemptsBlockedFrom = from
	}
}

// isWithdrawn reports whether the viewer has ended the request or session.
func (s *session) isWithdrawn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withdrawn
}

// currentConn returns the connection on which the set-up was last received.
func (s *session) currentConn() *viewerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// isAnswered reports whether the final answer was decided.
func (s *session) isAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// awaitsAnswer reports whether the request is still to be answered.
func (s *session) awaitsAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.withdrawn && !s.answered && !s.adopted
}

// sendFacts returns what decides, on the viewer's side, whether a set-up may be sent now. The caller holds s.mu.
func (s *session) sendFacts() lifecycle.SendFacts {
	return lifecycle.SendFacts{Answered: s.answered, ViewerWithdrew: s.withdrawn, BlockedFrom: s.attemptsBlockedFrom, Now: s.node.now()}
}

// sendProvisional queues a provisional response, unless the final answer was decided: none may follow that one.
func (s *session) sendProvisional(out *writeQueue) {
	s.mu.Lock()
	defer s.mu.Unlock() // held until the response is queued: an answer that is decided now is queued after it
	if !s.answered {
		out.enqueue(s.appendResponse(finalAnswer{status: statusContinue}))
	}
}

// appendAnswer returns a function that appends the RTSP response to the set-up.
func (s *session) appendAnswer(r finalAnswer) func([]byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendResponse(r)
}

// appendResponse is appendAnswer for a caller that holds s.mu.
func (s *session) appendResponse(r finalAnswer) func([]byte) []byte {
	cseq := s.cseq
	return func(b []byte) []byte {
		return rtsp.AppendResponse(b, r.status, []string{"CSeq", cseq, "Session", s.id, "X-Pause", r.retryAfter}, r.body)
	}
}

// appendSetUpAttrs appends the attributes of the set-up message to a server.
func (s *session) appendSetUpAttrs(attrs []string, timeLeft time.Duration, rung int) []string {
	attrs = append(attrs, "class", s.className, "key", s.titleKey, "left", strconv.FormatInt(timeLeft.Milliseconds(), 10),
		"rung", formatRung(rung))
	if s.dedupeKey != "" {
		attrs = append(attrs, "idem", s.dedupeKey)
	}
	return attrs
}
