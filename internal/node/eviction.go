package node

import (
	"time"
)

// evict closes the connection whose loss does the least harm. It returns false if every connection awaits an answer or
// the chosen one received a request in the meantime.
func (v *viewerConns) evict(now time.Time) bool {
	candidate := v.evictionCandidate(now)
	if candidate == nil || !candidate.closeIfIdle(closedForCapacity) {
		return false
	}
	v.node.nearMisses.viewersClosed.Add(1)
	return true
}

// evictionCandidate returns the connection whose loss does the least harm, or nil if every connection awaits an answer.
func (v *viewerConns) evictionCandidate(now time.Time) (candidate *viewerConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	lowestRank, oldestUse := rankAwaitingAnswer, now
	for c := range v.conns {
		if rank, lastUsed := c.rankForEviction(now); rank < lowestRank ||
			rank == lowestRank && rank != rankAwaitingAnswer && lastUsed.Before(oldestUse) {
			candidate, lowestRank, oldestUse = c, rank, lastUsed
		}
	}
	return candidate
}

// evictionRank orders connections by the harm that closing them does, least first.
type evictionRank int

const (
	rankSilent evictionRank = iota // no message for longer than a request needs to follow its connection
	rankUnused
	rankNew
	rankMidMessage     // a message was received in part
	rankWithSessions   // has active sessions; notices of their end can be sent on another connection
	rankAwaitingAnswer // a request is pending, or an answer or notice is still to be written
)

const newConnectionGrace = 100 * time.Millisecond

// rankForEviction returns the connection's rank and when it was last used.
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
