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

	mu   sync.Mutex
	conn *viewer       // that the set-up came on
	left bool          // the viewer ended it
	held time.Duration // the viewer may have gone: from then on no attempt begins, but an answer is owed; 0: not held
	said bool          // the one final answer was given
}

// Answered passes on the one answer. A viewer that cannot be told has left.
func (s *session) Answered(a core.Answer) {
	status, after, body := 504, "", []byte(nil)
	switch a.Kind {
	case core.Plays:
		text, _ := a.Setup.(string)
		status, body = 200, []byte(text)
	case core.Refused:
		status = 453
		if a.After > 0 {
			after = strconv.FormatInt(a.After.Milliseconds(), 10)
		}
	}
	s.mu.Lock()
	c, left := s.conn, s.left
	s.mu.Unlock()
	defer c.answered(s) // until the answer is in the outbox the connection waits for it, and is not closed for another
	switch late := s.n.now() - s.due; {
	case late > 0:
		s.n.near.lateAnswers.Add(1)
		s.n.Log.Warn("answer after its time", "session", s.id, "late", late, "answer", a.Kind.String(), "viewer left", left)
	case late > -s.timer/lateShare:
		s.n.near.lateAnswers.Add(1)
	}
	if left || !s.claimAnswer() {
		s.n.Log.Info("answer not sent: the viewer has left", "session", s.id, "answer", a.Kind.String())
		if a.Kind == core.Plays {
			s.n.owner.Leave(s.id)
		}
		return
	}
	if a.Kind == core.Plays {
		c.stand(1)
	}
	told := c.out.putNow(s.appendAnswer(status, after, body))
	if !told {
		s.n.near.answersUnsent.Add(1)
		s.n.Log.Warn("answer not sent: its connection is over", "session", s.id, "answer", a.Kind.String(), "connection", uint64(c.id))
	}
	if !told && a.Kind == core.Plays {
		s.n.owner.Leave(s.id)
	}
}

// Rung concerns the server only.
func (s *session) Rung(int) {}

// Ended releases a viewer whose session is over, unless it ended it itself.
func (s *session) Ended(o control.Outcome, moved bool) {
	s.mu.Lock()
	c, left := s.conn, s.left
	s.mu.Unlock()
	c.stand(-1)
	if left || o == control.Cancelled && !moved {
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
	return !s.left && (s.held == 0 || s.n.now() < s.held)
}

// claimAnswer is true for the first caller: it gives the final answer.
func (s *session) claimAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.said
	s.said = true
	return first
}

// appendAnswer appends an answer to its set-up.
func (s *session) appendAnswer(status int, after string, body []byte) func([]byte) []byte {
	return func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", s.cseq, "Session", s.id, "X-Pause", after}, body)
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
