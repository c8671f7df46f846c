package node

import (
	"strconv"
	"time"

	"rainpulley/internal/delivery"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/rtsp"
)

const (
	// maxNoticeDelay is the time after a server's release of a session within which the viewer has to be notified;
	// later notices count as late.
	maxNoticeDelay = time.Second
	// noticeLifetime is how long after a session's end its notice may still be delivered. The design allows 8 s.
	noticeLifetime = 8 * time.Second
	// noticeDeliveryWindow is how long a notice may be in transit: a connection that ends within it may have lost it.
	noticeDeliveryWindow = writeTimeout + time.Second
	// maxPendingNotices limits the notices that wait for the viewers of one address or await their confirmation.
	maxPendingNotices = 4096
	// noticeExpiryInterval is the time between two checks for expired notices.
	noticeExpiryInterval = time.Second
)

// notice is the message that informs a viewer of its session's end.
type notice struct {
	origin  *viewerConn // the connection that the session began on
	id      string
	uri     string
	endedAt time.Duration // when the session ended
	moved   bool          // the viewer is redirected, to set the session up again
	cause   int           // cause code of the release, unless moved is set
}

func (m *notice) appendTo(buf []byte) []byte {
	if m.moved {
		return rtsp.AppendRequest(buf, "REDIRECT", m.uri, []string{"CSeq", "4", "Session", m.id}, nil)
	}
	return rtsp.AppendRequest(buf, "TEARDOWN", m.uri, []string{"CSeq", "2", "Session", m.id,
		"Reason", "cause=" + strconv.Itoa(m.cause)}, nil)
}

// releaseCause returns the cause code sent to a viewer.
func releaseCause(served bool) int {
	if served {
		return jsonlines.CauseEnd
	}
	return jsonlines.CauseReset
}

// notify informs a viewer that its session is over. A session is not bound to a connection: a notice whose connection
// ends before the viewer confirms it is sent again on another one from the same address, or on the next one opened
// from there.
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
	if pending.Len() >= maxPendingNotices {
		v.node.nearMisses.noticesExpired.Add(1)
		v.node.Log.Warn("too many notices wait for an address: one was dropped", "session", m.id, "from", address)
		return
	}
	m.endedAt = v.node.now()
	pending.Add(m.id, m, m.endedAt)
	v.sendNotice(pending, m) // only this one: those that wait longer are sent on the next connection
}

// sendNotices queues the notices that wait for the viewers of an address on their connections. The caller holds v.mu.
func (v *viewerConns) sendNotices(address string) {
	pending := v.pendingNotices[address]
	if pending == nil || !pending.HasWaiting() {
		return
	}
	for _, queued := range pending.Waiting() {
		if !v.sendNotice(pending, queued.Value) {
			return // no connection takes it; nor does any take the others
		}
	}
}

// sendNotice queues a notice on the connection that its session began on or, if that has ended, on another one from the
// same address. It reports whether there was one. The caller holds v.mu.
func (v *viewerConns) sendNotice(pending *delivery.Pending[*notice], m *notice) bool {
	conn, address := m.origin, m.origin.remoteHost
	if !conn.out.enqueue(m.appendTo) {
		conn = v.bestConnFrom(address)
		if conn == nil || !conn.out.enqueue(m.appendTo) {
			v.node.Log.Debug("no connection from the viewer's address; notice stays queued", "session", m.id, "from", address)
			return false
		}
	}
	now := v.node.now()
	pending.MarkSent(m.id, conn.id, now)
	if now-m.endedAt > maxNoticeDelay {
		v.node.nearMisses.noticesLate.Add(1)
	}
	return true
}

// sendNoticesTo sends the viewer of a new connection the notices that waited for a connection from its address.
func (v *viewerConns) sendNoticesTo(c *viewerConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sendNotices(c.remoteHost)
}

// bestConnFrom returns the connection from an address whose viewer is most likely to read a notice; nil if there is
// none. Connections that have not sent a complete message yet are skipped: their client is unknown.
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

// confirmNotice removes a notice that its viewer has confirmed.
func (v *viewerConns) confirmNotice(address, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if pending := v.pendingNotices[address]; pending != nil {
		pending.Confirm(id)
		v.dropEmptyNotices(address)
	}
}

// resendNotices sends the notices again that may have been lost with a connection. The caller holds v.mu.
func (v *viewerConns) resendNotices(ended *viewerConn) {
	pending := v.pendingNotices[ended.remoteHost]
	if pending == nil || v.closed {
		return
	}
	if resent := pending.ConnectionEnded(ended.id, v.node.now()); resent > 0 {
		v.node.nearMisses.noticesResent.Add(int64(resent))
		v.node.Log.Debug("resending notices that may be lost with their connection",
			"from", ended.remoteHost, "notices", resent)
		v.sendNotices(ended.remoteHost)
	}
	v.dropEmptyNotices(ended.remoteHost)
}

func (v *viewerConns) dropEmptyNotices(address string) {
	if v.pendingNotices[address].Len() == 0 {
		delete(v.pendingNotices, address)
	}
}

// expireNotices removes notices that have exceeded their lifetime.
func (v *viewerConns) expireNotices() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for address, pending := range v.pendingNotices {
		for _, id := range pending.Expire(v.node.now()) {
			v.node.nearMisses.noticesExpired.Add(1)
			v.node.Log.Warn("viewer not notified of its session's end: it opened no connection in time",
				"session", id, "from", address)
		}
		v.dropEmptyNotices(address)
	}
}
