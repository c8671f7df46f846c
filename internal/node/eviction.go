package node

import (
	"time"
)

// evict closes the connection whose end harms least; false where all wait for answers, or the one that was chosen has
// begun to.
func (v *viewers) evict(now time.Time) bool {
	least := v.evictionCandidate(now)
	if least == nil || !least.closeIdle(closedForRoom) {
		return false
	}
	v.n.near.viewersClosed.Add(1)
	return true
}

// evictionCandidate is the connection whose end harms least; nil where all wait for answers.
func (v *viewers) evictionCandidate(now time.Time) (least *viewer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	worst, longest := waitingConnection, now
	for o := range v.all {
		if r, since := o.evictionRank(now); r < worst || r == worst && r != waitingConnection && since.Before(longest) {
			least, worst, longest = o, r, since
		}
	}
	return least
}

// evictionRank orders connections by the harm that their end would do.
type evictionRank int

const (
	silentConnection evictionRank = iota // has said nothing for longer than a request needs to follow its connection
	unusedConnection
	youngConnection
	begunConnection   // a message has begun
	sessionConnection // with sessions that stand: they are tied to no connection, their end is told on another
	waitingConnection // for an answer, or an answer or a notice is still to be written
)

const youngTime = 100 * time.Millisecond

// evictionRank ranks a connection, and tells when it was last used.
func (c *viewer) evictionRank(now time.Time) (evictionRank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.begun && len(c.open) == 0:
		return begunConnection, c.used
	case !c.spoke && now.Sub(c.at) < youngTime:
		return youngConnection, c.used
	case !c.spoke:
		return silentConnection, c.used
	case c.busy || len(c.open) > 0 || c.out.busy():
		return waitingConnection, c.used
	case c.stands > 0:
		return sessionConnection, c.used
	}
	return unusedConnection, c.used
}
