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
	defaultAnswerMemory = time.Second
	// maxRememberedAnswers bounds the answers that are kept.
	maxRememberedAnswers = 4096
)

// reply is a final answer to a set-up.
type reply struct {
	status int
	after  string // advice when to come back
	body   []byte
}

// claim gives a request its final answer, where it has none yet. From then on its session stands, if it plays.
func (s *session) claim(r reply) (on *viewer, orphaned, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.said || s.left {
		return s.conn, s.orphaned, false
	}
	s.said, s.reply, s.stands = true, &r, r.status == statusPlays
	return s.conn, s.orphaned, true
}

// answerElsewhere gives a request that its viewer ends on another connection its final answer, where it has none yet.
func (s *session) answerElsewhere(r reply) bool {
	_, _, first := s.claim(r)
	return first
}

// orphan marks that its connection ended under it. False if it has moved to another one, or needs none.
func (s *session) orphan(ended *viewer, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != ended || s.left || s.adopted {
		return false
	}
	s.orphaned = true
	if s.held == 0 || now < s.held {
		s.held = now
	}
	return true
}

// abandon withdraws a request that was not sent again since its connection ended.
func (s *session) abandon(ended *viewer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != ended || s.left || !s.orphaned {
		return false
	}
	s.left = true
	return true
}

// withdrawalReply answers a set-up that comes again when it is too late. What was sent to a server may have run there, and
// then nobody may be told that it did not.
func (s *session) withdrawalReply() *reply {
	if s.sent {
		return &reply{status: statusFailed}
	}
	return &reply{status: statusUnavailable}
}

// resumption is what a set-up that came again found.
type resumption struct {
	from   *viewer // the connection that it was on
	reply  *reply  // that it was given already; nil: it still waits
	stands bool    // its session stands
}

// resume moves a request to the connection on which its viewer sent it again.
func (s *session) resume(on *viewer, cseq string) resumption {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cseq = cseq
	if s.left || s.said && s.reply == nil { // too late: it was withdrawn, or its answer is not kept any more
		return resumption{from: s.conn, reply: s.withdrawalReply()}
	}
	r := resumption{from: s.conn, reply: s.reply, stands: s.stands}
	s.conn, s.orphaned, s.held = on, false, 0
	return r
}

// sameRequest tells whether a set-up under the same id asks for the same.
func (s *session) sameRequest(other *session) bool {
	return s.uri == other.uri && s.className == other.className && s.text == other.text && s.dedupe == other.dedupe
}

// takeResent takes a set-up under an id that is known from another connection. It tells whether it was that set-up, sent
// again.
func (c *viewer) takeResent(again, s *session) bool {
	if s.adopted || s.connection() == c || !s.sameRequest(again) {
		return false
	}
	if last := s.connection(); last.id > c.id && last.phase() == phaseOpen {
		c.n.Log.Info("set-up read behind its copy", "session", s.id, "connection", uint64(c.id), "copy on", uint64(last.id))
		return true // the viewer waits on the connection that it opened last
	}
	c.mu.Lock()
	c.open[s.id] = s
	c.mu.Unlock()
	found := s.resume(c, again.cseq)
	found.from.answered(s)
	c.n.near.resumed.Add(1)
	c.n.Log.Info("set-up sent again", "session", s.id, "connection", uint64(c.id), "first", uint64(found.from.id),
		"first is", found.from.phase().String(), "after", c.n.now()-s.began, "answered", found.reply != nil, "stands", found.stands)
	if found.reply != nil {
		if found.stands {
			found.from.stand(-1)
			c.stand(1)
		}
		told := c.out.putNow(s.appendReply(*found.reply))
		c.answered(s)
		if !told {
			c.n.awaitResend(c, []*session{s})
		}
		return true
	}
	if c.phase() == phaseOver { // it ended meanwhile, and may not have seen the request
		c.n.awaitResend(c, []*session{s})
	}
	return true
}

// awaitResend keeps requests whose connection ended for as long as their viewers may send them again, and then withdraws
// them. What is out for them goes on; no further attempt begins meanwhile, since their viewers may have gone.
func (n *Node) awaitResend(ended *viewer, open []*session) {
	now := n.now()
	orphans := make([]*session, 0, len(open))
	for _, s := range open {
		if s.orphan(ended, now) {
			orphans = append(orphans, s)
		}
	}
	if len(orphans) == 0 {
		return
	}
	time.AfterFunc(n.resendWindow, func() {
		for _, s := range orphans {
			if s.abandon(ended) {
				n.remember(s)
				n.owner.ViewerLeft(s.id, s)
			}
		}
	})
}

// remembered is a request whose answer is kept.
type remembered struct {
	s  *session
	at time.Duration
}

// answers are the requests that were answered a short time ago, the oldest first.
type answers struct {
	keptFor time.Duration
	byID    map[string]*session
	order   []remembered
}

// add keeps a request, and lets go of those that are too old or too many.
func (a *answers) add(s *session, now time.Duration) {
	a.byID[s.id] = s
	a.order = append(a.order, remembered{s, now})
	a.expire(now)
}

// expire lets go of what is too old or too many.
func (a *answers) expire(now time.Duration) {
	for len(a.order) > 0 && (len(a.order) > maxRememberedAnswers || now-a.order[0].at > a.keptFor) {
		s := a.order[0].s
		a.order[0] = remembered{}
		a.order = a.order[1:]
		if a.byID[s.id] == s {
			delete(a.byID, s.id)
		}
		s.forgetReply()
	}
}

// find is the request that was answered under an id a short time ago.
func (a *answers) find(id string, now time.Duration) *session {
	a.expire(now)
	return a.byID[id]
}

// remember keeps the answer to a request for a short time.
func (n *Node) remember(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recent.add(s, n.now())
}

// answeredLately is the request that was answered under an id a short time ago; nil if there is none.
func (n *Node) answeredLately(id string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recent.find(id, n.now())
}

// takeResentAnswered takes a set-up under the id of a request that was answered a short time ago. It tells whether it was
// that one, sent again. Where nothing of that one went to a server it may be begun anew, unless its viewer has asked again
// since this copy was sent.
func (c *viewer) takeResentAnswered(s *session) bool {
	answered := c.n.answeredLately(s.id)
	return answered != nil && (answered.wasSent() || answered.connection().id > c.id) && c.takeResent(s, answered)
}

// expireAnswers lets go of answers that no viewer asks for any more.
func (n *Node) expireAnswers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recent.expire(n.now())
}

// wasSent tells whether an attempt of it went to a server.
func (s *session) wasSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *session) forgetReply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = nil
}
