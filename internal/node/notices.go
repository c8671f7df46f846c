package node

import (
	"strconv"
	"time"

	"rainpulley/internal/delivery"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/rtsp"
)

const (
	// noticeDue is how long after its server's release a session has to be released towards its viewer.
	maxNoticeDelay = time.Second
	// noticeLifetime is how long after its end a session has to be released towards its viewer.
	noticeLifetime = 8 * time.Second
	// noticeDoubt is how long a notice may be on its way: a connection that ends within it may have lost the notice.
	noticeDeliveryWindow = writeTimeout + time.Second
	// noticeExpiryInterval is the time between two looks for notices that are too old.
	noticeExpiryInterval = time.Second
)

// notice tells a viewer that its session is over.
type notice struct {
	origin  *viewerConn // the connection that the session began on
	id      string
	uri     string
	endedAt time.Duration // when the session was over
	moved   bool          // the viewer is asked to come again
	cause   int           // of the release, unless moved
}

func (m *notice) appendTo(buf []byte) []byte {
	if m.moved {
		return rtsp.AppendRequest(buf, "REDIRECT", m.uri, []string{"CSeq", "4", "Session", m.id}, nil)
	}
	return rtsp.AppendRequest(buf, "TEARDOWN", m.uri, []string{"CSeq", "2", "Session", m.id,
		"Reason", "cause=" + strconv.Itoa(m.cause)}, nil)
}

// releaseCause is the cause that a viewer is told.
func releaseCause(served bool) int {
	if served {
		return jsonlines.CauseEnd
	}
	return jsonlines.CauseReset
}

// notify tells a viewer that its session is over. A session is tied to no connection: a notice whose connection ends
// before the viewer confirmed it is sent again on another one from the same address, or on the next one that comes.
func (v *viewerConns) notify(m *notice) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return
	}
	address := m.origin.remoteHost
	pending := v.pendingNotices[address]
	if pending == nil {
		pending = delivery.New[*notice](noticeLifetime, noticeDeliveryWindow)
		v.pendingNotices[address] = pending
	}
	m.endedAt = v.node.now()
	pending.Add(m.id, m, m.endedAt)
	v.sendNotices(address)
}

// sendNotices hands what waits for the viewers of an address to their connections. The caller holds the lock.
func (v *viewerConns) sendNotices(address string) {
	pending := v.pendingNotices[address]
	if pending == nil || !pending.HasWaiting() {
		return
	}
	for _, queued := range pending.Waiting() {
		m := queued.Value
		conn := m.origin
		if !conn.out.enqueue(m.appendTo) {
			conn = v.bestConnFrom(address)
			if conn == nil || !conn.out.enqueue(m.appendTo) {
				v.node.Log.Debug("no connection for a notice, it waits", "session", m.id, "from", address)
				continue
			}
		}
		now := v.node.now()
		pending.MarkSent(queued.Key, conn.id, now)
		if now-m.endedAt > maxNoticeDelay {
			v.node.nearMisses.noticesLate.Add(1)
		}
	}
}

// firstMessage sends a viewer that has come back what it was not told meanwhile.
func (v *viewerConns) sendNoticesTo(c *viewerConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sendNotices(c.remoteHost)
}

// connectionFrom is the connection from an address on which a notice is most likely read; nil if there is none. One that
// has not sent a whole message yet may belong to anybody.
func (v *viewerConns) bestConnFrom(address string) (best *viewerConn) {
	rank, now := rankSilent, time.Now()
	for c := range v.conns {
		if c.remoteHost != address {
			continue
		}
		if r, _ := c.rankForEviction(now); r > rank && r != rankNew {
			best, rank = c, r
		}
	}
	return best
}

// confirmNotice forgets a notice that its viewer has answered.
func (v *viewerConns) confirmNotice(address, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if pending := v.pendingNotices[address]; pending != nil {
		pending.Confirm(id)
		v.dropEmptyNotices(address)
	}
}

// resendNotices sends again what may have been lost with a connection. The caller holds the lock.
func (v *viewerConns) resendNotices(ended *viewerConn) {
	pending := v.pendingNotices[ended.remoteHost]
	if pending == nil || v.closed {
		return
	}
	if resent := pending.ConnectionEnded(ended.id, v.node.now()); resent > 0 {
		v.node.nearMisses.noticesResent.Add(int64(resent))
		v.node.Log.Debug("notices lost with their connection", "from", ended.remoteHost, "notices", resent)
		v.sendNotices(ended.remoteHost)
	}
	v.dropEmptyNotices(ended.remoteHost)
}

func (v *viewerConns) dropEmptyNotices(address string) {
	if v.pendingNotices[address].Len() == 0 {
		delete(v.pendingNotices, address)
	}
}

// expireNotices forgets notices that are too old to be of use.
func (v *viewerConns) expireNotices() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for address, pending := range v.pendingNotices {
		for _, id := range pending.Expire(v.node.now()) {
			v.node.nearMisses.noticesExpired.Add(1)
			v.node.Log.Warn("viewer not told of its session's end: it opened no connection", "session", id, "from", address)
		}
		v.dropEmptyNotices(address)
	}
}
