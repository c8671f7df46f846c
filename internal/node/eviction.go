package node

import (
	"time"

	"rainpulley/internal/peerstate"
)

// maxEvictionTries is how many connections are tried for one eviction, each of which may have received a request.
const maxEvictionTries = 16

// evict closes the connection whose loss does the least harm. It returns false if every connection awaits an answer or
// those that were tried have received something that is not read yet.
func (v *viewerConns) evict(now time.Time) bool {
	tried := map[*viewerConn]bool{}
	for range maxEvictionTries {
		candidate := v.evictionCandidate(now, tried)
		if candidate == nil {
			return false
		}
		if candidate.closeIfIdle(closedForCapacity) {
			v.node.nearMisses.viewersClosed.Add(1)
			return true
		}
		tried[candidate] = true
	}
	return false
}

// evictionCandidate returns the connection whose loss does the least harm, except for those that were tried. It returns
// nil if every connection awaits an answer.
func (v *viewerConns) evictionCandidate(now time.Time, tried map[*viewerConn]bool) (candidate *viewerConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	lowestRank, oldestUse := rankAwaitingAnswer, now
	for c := range v.conns {
		if tried[c] {
			continue
		}
		if rank, lastUsed := c.rankForEviction(now); rank < lowestRank ||
			rank == lowestRank && rank != rankAwaitingAnswer && lastUsed.Before(oldestUse) {
			candidate, lowestRank, oldestUse = c, rank, lastUsed
		}
	}
	return candidate
}

// hasUnreadInput reports whether bytes have arrived on the connection that are not read yet. This happens if the process
// was paused or is short of processor time: the reader is ready to run, but has not run yet. A connection that is not
// read any more has none that matter. The caller holds c.mu.
func (c *viewerConn) hasUnreadInput() bool {
	if c.draining {
		return false
	}
	state, known := peerstate.Query(c.conn)
	return known && state.Unread > 0
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
