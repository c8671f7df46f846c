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
const lateShare = 10

// session is one set-up of a viewer, and what it becomes. It hears of it on the owner's goroutine.
type session struct {
	n              *Node
	id             string
	uri            string
	cseq           string
	className, key string
	dedupe         string // the viewer's key of repeats, if it gave one
	text           string // the viewer's description
	adopted        bool
	timer          time.Duration // how long the viewer waits
	due            time.Duration
	began          time.Duration // when it was read

	mu       sync.Mutex
	conn     *viewer       // that the set-up came on, the last time
	orphaned bool          // that connection is over, and the viewer may still send the set-up again on another one
	left     bool          // the viewer ended it
	held     time.Duration // the viewer may have gone: from then on no attempt begins, but an answer is owed; 0: not held
	sent     bool          // an attempt went to a server
	said     bool          // the one final answer was given
	reply    *reply        // that answer, for as long as it is kept
	stands   bool          // it was answered that it plays, and has not ended
}

// Statuses of final answers (RFC 2326, section 7.1.1), as the platform reads them.
const (
	statusPlays       = 200
	statusBadRequest  = 400
	statusRefused     = 453 // trying again is harmless
	statusUnknown     = 454
	statusUnavailable = 503 // trying again is harmless
	statusFailed      = 504
)

// replyTo is an answer in the viewer's protocol.
func replyTo(a core.Answer) reply {
	switch a.Kind {
	case core.Playing:
		text, _ := a.Setup.(string)
		return reply{status: statusPlays, body: []byte(text)}
	case core.Refused:
		r := reply{status: statusRefused}
		if a.RetryAfter > 0 {
			r.after = strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)
		}
		return r
	}
	return reply{status: statusFailed}
}

// Answered passes on the one answer. A viewer whose connection is over may ask for it on another one.
func (s *session) Answered(a core.Answer) {
	r := replyTo(a)
	c, orphaned, first := s.claim(r)
	defer c.answered(s) // until the answer is in the outbox the connection waits for it, and is not closed for another
	s.noteLateness(a)
	if !first {
		s.n.Log.Info("answer not sent: the viewer has left", "session", s.id, "answer", a.Kind.String())
		if a.Kind == core.Playing {
			s.n.owner.ViewerLeft(s.id, s)
		}
		return
	}
	s.n.remember(s)
	if a.Kind == core.Playing {
		c.stand(1)
	}
	if orphaned {
		s.n.Log.Info("answer kept: its connection is over", "session", s.id, "answer", a.Kind.String(), "connection", uint64(c.id))
		return
	}
	if !c.out.putNow(s.appendReply(r)) {
		s.n.near.answersUnsent.Add(1)
		s.n.Log.Warn("answer not sent: its connection is over", "session", s.id, "answer", a.Kind.String(), "connection", uint64(c.id))
		s.n.awaitResend(c, []*session{s})
	}
}

// noteLateness counts an answer that comes in the last part of its time, and tells of one that comes behind it.
func (s *session) noteLateness(a core.Answer) {
	switch late := s.n.now() - s.due; {
	case late > 0:
		s.n.near.lateAnswers.Add(1)
		s.n.Log.Warn("answer after its time", "session", s.id, "late", late, "answer", a.Kind.String(), "viewer left", s.withdrawn())
	case late > -s.timer/lateShare:
		s.n.near.lateAnswers.Add(1)
	}
}

// Rung concerns the server only.
func (s *session) Rung(int) {}

// Ended releases a viewer whose session is over, unless it ended it itself. One that asks for its answer only now is told
// that it failed.
func (s *session) Ended(o control.Outcome, moved bool) {
	s.mu.Lock()
	c, left, orphaned, stood := s.conn, s.left, s.orphaned, s.stands
	s.stands = false
	if s.reply != nil {
		s.reply = &reply{status: statusFailed}
	}
	s.mu.Unlock()
	if stood {
		c.stand(-1)
	}
	if left || orphaned || o == control.Cancelled && !moved {
		return
	}
	s.n.viewers.notify(&notice{origin: c, id: s.id, uri: s.uri, moved: moved, cause: releaseCause(o == control.Served)})
}

// Closed forgets it.
func (s *session) Closed() { s.n.forget(s) }

// leave marks that the viewer wants it no more.
func (s *session) leave() {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
}

// holdFrom has no attempt begin any more from a time on: its viewer may have gone.
func (s *session) holdFrom(at time.Duration) {
	s.mu.Lock()
	s.held = at
	s.mu.Unlock()
}

// withdrawn tells whether the viewer ended it.
func (s *session) withdrawn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// connection is the one that it belongs to.
func (s *session) connection() *viewer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// answered tells whether its final answer was given.
func (s *session) answered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.said
}

// waits tells whether its answer is still owed.
func (s *session) waits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.left && !s.said && !s.adopted
}

// mayBegin tells whether an attempt may begin for it.
func (s *session) mayBegin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayBeginLocked()
}

func (s *session) mayBeginLocked() bool {
	return !s.left && (s.held == 0 || s.n.now() < s.held)
}

// beginAttempt tells whether an attempt may begin for it, and notes that it does.
func (s *session) beginAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = s.sent || s.mayBeginLocked()
	return s.mayBeginLocked()
}

// appendReply appends an answer to its set-up.
func (s *session) appendReply(r reply) func([]byte) []byte {
	s.mu.Lock()
	cseq := s.cseq
	s.mu.Unlock()
	return func(b []byte) []byte {
		return rtsp.AppendResponse(b, r.status, []string{"CSeq", cseq, "Session", s.id, "X-Pause", r.after}, r.body)
	}
}

// attrs appends the fields of its set-up at a server.
func (s *session) attrs(to []string, left time.Duration, rung int) []string {
	to = append(to, "class", s.className, "key", s.key, "left", strconv.FormatInt(left.Milliseconds(), 10), "rung", rungAttr(rung))
	if s.dedupe != "" {
		to = append(to, "idem", s.dedupe)
	}
	return to
}
