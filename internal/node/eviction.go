package node

import (
	"time"
)

// evict closes the connection whose end harms least; false where all wait for answers, or the one that was chosen has
// begun to.
func (v *viewerConns) evict(now time.Time) bool {
	candidate := v.evictionCandidate(now)
	if candidate == nil || !candidate.closeIfIdle(closedForCapacity) {
		return false
	}
	v.node.nearMisses.viewersClosed.Add(1)
	return true
}

// evictionCandidate is the connection whose end harms least; nil where all wait for answers.
func (v *viewerConns) evictionCandidate(now time.Time) (candidate *viewerConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	lowestRank, oldestUse := rankAwaitingAnswer, now
	for c := range v.conns {
		if rank, lastUsed := c.rankForEviction(now); rank < lowestRank || rank == lowestRank && rank != rankAwaitingAnswer && lastUsed.Before(oldestUse) {
			candidate, lowestRank, oldestUse = c, rank, lastUsed
		}
	}
	return candidate
}

// evictionRank orders connections by the harm that their end would do.
type evictionRank int

const (
	rankSilent evictionRank = iota // has said nothing for longer than a request needs to follow its connection
	rankUnused
	rankNew
	rankMidMessage     // a message has begun
	rankWithSessions   // with sessions that stand: they are tied to no connection, their end is told on another
	rankAwaitingAnswer // for an answer, or an answer or a notice is still to be written
)

const newConnectionGrace = 100 * time.Millisecond

// evictionRank ranks a connection, and tells when it was last used.
func (c *viewerConn) rankForEviction(now time.Time) (evictionRank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.messageStarted && len(c.openSetUps) == 0:
		return rankMidMessage, c.lastUsed
	case !c.receivedMessage && now.Sub(c.openedAt) < newConnectionGrace:
		return rankNew, c.lastUsed
	case !c.receivedMessage:
		return rankSilent, c.lastUsed
	case c.handlingMessage || len(c.openSetUps) > 0 || c.out.isWriting():
		return rankAwaitingAnswer, c.lastUsed
	case c.sessionCount > 0:
		return rankWithSessions, c.lastUsed
	}
	return rankUnused, c.lastUsed
}
