package node

import (
	"strconv"
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/rtsp"
)

// lateShare is the last part of a request's time in which an answer counts as late: a tenth.
const lateDivisor = 10

// session is one set-up of a viewer, and what it becomes. It hears of it on the owner's goroutine.
type session struct {
	node                *Node
	id                  string
	uri                 string
	cseq                string
	className, titleKey string
	dedupeKey           string // the viewer's key of repeats, if it gave one
	description         string // the viewer's description
	adopted             bool
	timeout             time.Duration // how long the viewer waits
	deadline            time.Duration
	receivedAt          time.Duration // when it was read

	mu                  sync.Mutex
	conn                *viewerConn   // that the set-up came on, the last time
	connLost            bool          // that connection is over, and the viewer may still send the set-up again on another one
	withdrawn           bool          // the viewer ended it
	attemptsBlockedFrom time.Duration // the viewer may have gone: from then on no attempt begins, but an answer is owed; 0: not held
	attemptSent         bool          // an attempt went to a server
	answered            bool          // the one final answer was given
	answer              *finalAnswer  // that answer, for as long as it is kept
	playing             bool          // it was answered that it plays, and has not ended
}

// Statuses of final answers (RFC 2326, section 7.1.1), as the platform reads them.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotEnoughBandwidth = 453 // trying again is harmless
	statusSessionNotFound    = 454
	statusServiceUnavailable = 503 // trying again is harmless
	statusGatewayTimeout     = 504
)

// replyTo is an answer in the viewer's protocol.
func toFinalAnswer(a core.Answer) finalAnswer {
	switch a.Kind {
	case core.Playing:
		text, _ := a.Setup.(string)
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

// Answered passes on the one answer. A viewer whose connection is over may ask for it on another one.
func (s *session) Answered(a core.Answer) {
	r := toFinalAnswer(a)
	c, connLost, first := s.claimAnswer(r)
	defer c.removeSetUp(s) // until the answer is in the outbox the connection waits for it, and is not closed for another
	s.recordLateness(a)
	if !first {
		s.node.Log.Info("answer not sent: the viewer has left", "session", s.id, "answer", a.Kind.String())
		if a.Kind == core.Playing {
			s.node.orchestrator.ViewerLeft(s.id, s)
		}
		return
	}
	s.node.cacheAnswer(s)
	if a.Kind == core.Playing {
		c.addSessions(1)
	}
	if connLost {
		s.node.Log.Info("answer kept: its connection is over", "session", s.id, "answer", a.Kind.String(), "connection", uint64(c.id))
		return
	}
	if !c.out.enqueueAndWrite(s.appendAnswer(r)) {
		s.node.nearMisses.answersUnsent.Add(1)
		s.node.Log.Warn("answer not sent: its connection is over", "session", s.id, "answer", a.Kind.String(), "connection", uint64(c.id))
		s.node.awaitResend(c, []*session{s})
	}
}

// noteLateness counts an answer that comes in the last part of its time, and tells of one that comes behind it.
func (s *session) recordLateness(a core.Answer) {
	switch late := s.node.now() - s.deadline; {
	case late > 0:
		s.node.nearMisses.lateAnswers.Add(1)
		s.node.Log.Warn("answer after its time", "session", s.id, "late", late, "answer", a.Kind.String(), "viewer left", s.isWithdrawn())
	case late > -s.timeout/lateDivisor:
		s.node.nearMisses.lateAnswers.Add(1)
	}
}

// Rung concerns the server only.
func (s *session) Rung(int) {}

// Ended releases a viewer whose session is over, unless it ended it itself. One that asks for its answer only now is told
// that it failed.
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
	s.node.viewerConns.notify(&notice{origin: c, id: s.id, uri: s.uri, moved: moved, cause: releaseCause(o == control.Served)})
}

// Closed forgets it.
func (s *session) Closed() { s.node.unregister(s) }

// leave marks that the viewer wants it no more.
func (s *session) withdraw() {
	s.mu.Lock()
	s.withdrawn = true
	s.mu.Unlock()
}

// holdFrom has no attempt begin any more from a time on: its viewer may have gone.
func (s *session) blockAttemptsFrom(from time.Duration) {
	s.mu.Lock()
	s.attemptsBlockedFrom = from
	s.mu.Unlock()
}

// withdrawn tells whether the viewer ended it.
func (s *session) isWithdrawn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withdrawn
}

// connection is the one that it belongs to.
func (s *session) currentConn() *viewerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// answered tells whether its final answer was given.
func (s *session) isAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// waits tells whether its answer is still owed.
func (s *session) awaitsAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.withdrawn && !s.answered && !s.adopted
}

// mayBegin tells whether an attempt may begin for it.
func (s *session) mayBeginAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayBeginAttemptLocked()
}

func (s *session) mayBeginAttemptLocked() bool {
	return !s.withdrawn && (s.attemptsBlockedFrom == 0 || s.node.now() < s.attemptsBlockedFrom)
}

// beginAttempt tells whether an attempt may begin for it, and notes that it does.
func (s *session) beginAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptSent = s.attemptSent || s.mayBeginAttemptLocked()
	return s.mayBeginAttemptLocked()
}

// appendReply appends an answer to its set-up.
func (s *session) appendAnswer(r finalAnswer) func([]byte) []byte {
	s.mu.Lock()
	cseq := s.cseq
	s.mu.Unlock()
	return func(b []byte) []byte {
		return rtsp.AppendResponse(b, r.status, []string{"CSeq", cseq, "Session", s.id, "X-Pause", r.retryAfter}, r.body)
	}
}

// attrs appends the fields of its set-up at a server.
func (s *session) appendSetUpAttrs(attrs []string, timeLeft time.Duration, rung int) []string {
	attrs = append(attrs, "class", s.className, "key", s.titleKey, "left", strconv.FormatInt(timeLeft.Milliseconds(), 10), "rung", formatRung(rung))
	if s.dedupeKey != "" {
		attrs = append(attrs, "idem", s.dedupeKey)
	}
	return attrs
}
