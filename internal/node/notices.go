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
	noticeDue = time.Second
	// noticeLifetime is how long after its end a session has to be released towards its viewer.
	noticeLifetime = 8 * time.Second
	// noticeDoubt is how long a notice may be on its way: a connection that ends within it may have lost the notice.
	noticeDoubt = writeTimeout + time.Second
	// noticeExpiryInterval is the time between two looks for notices that are too old.
	noticeExpiryInterval = time.Second
)

// notice tells a viewer that its session is over.
type notice struct {
	origin *viewer // the connection that the session began on
	id     string
	uri    string
	ended  time.Duration // when the session was over
	moved  bool          // the viewer is asked to come again
	cause  int           // of the release, unless moved
}

func (m *notice) appendTo(b []byte) []byte {
	if m.moved {
		return rtsp.AppendRequest(b, "REDIRECT", m.uri, []string{"CSeq", "4", "Session", m.id}, nil)
	}
	return rtsp.AppendRequest(b, "TEARDOWN", m.uri, []string{"CSeq", "2", "Session", m.id,
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
func (v *viewers) notify(m *notice) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.over {
		return
	}
	address := m.origin.from
	pending := v.notices[address]
	if pending == nil {
		pending = delivery.New[*notice](noticeLifetime, noticeDoubt)
		v.notices[address] = pending
	}
	m.ended = v.n.now()
	pending.Add(m.id, m, m.ended)
	v.sendNotices(address)
}

// sendNotices hands what waits for the viewers of an address to their connections. The caller holds the lock.
func (v *viewers) sendNotices(address string) {
	pending := v.notices[address]
	if pending == nil || !pending.HasWaiting() {
		return
	}
	for _, message := range pending.Waiting() {
		m := message.Value
		on := m.origin
		if !on.out.put(m.appendTo) {
			on = v.connectionFrom(address)
			if on == nil || !on.out.put(m.appendTo) {
				v.n.Log.Debug("no connection for a notice, it waits", "session", m.id, "from", address)
				continue
			}
		}
		now := v.n.now()
		pending.MarkSent(message.Key, on.id, now)
		if now-m.ended > noticeDue {
			v.n.near.noticesLate.Add(1)
		}
	}
}

// firstMessage sends a viewer that has come back what it was not told meanwhile.
func (v *viewers) firstMessage(c *viewer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sendNotices(c.from)
}

// connectionFrom is the connection from an address on which a notice is most likely read; nil if there is none. One that
// has not sent a whole message yet may belong to anybody.
func (v *viewers) connectionFrom(address string) (best *viewer) {
	rank, now := silentConnection, time.Now()
	for c := range v.all {
		if c.from != address {
			continue
		}
		if r, _ := c.evictionRank(now); r > rank && r != youngConnection {
			best, rank = c, r
		}
	}
	return best
}

// confirmNotice forgets a notice that its viewer has answered.
func (v *viewers) confirmNotice(address, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if pending := v.notices[address]; pending != nil {
		pending.Confirm(id)
		v.dropEmptyNotices(address)
	}
}

// resendNotices sends again what may have been lost with a connection. The caller holds the lock.
func (v *viewers) resendNotices(ended *viewer) {
	pending := v.notices[ended.from]
	if pending == nil || v.over {
		return
	}
	if again := pending.ConnectionEnded(ended.id, v.n.now()); again > 0 {
		v.n.near.noticesResent.Add(int64(again))
		v.n.Log.Debug("notices lost with their connection", "from", ended.from, "notices", again)
		v.sendNotices(ended.from)
	}
	v.dropEmptyNotices(ended.from)
}

func (v *viewers) dropEmptyNotices(address string) {
	if v.notices[address].Len() == 0 {
		delete(v.notices, address)
	}
}

// expireNotices forgets notices that are too old to be of use.
func (v *viewers) expireNotices() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for address, pending := range v.notices {
		for _, id := range pending.Expire(v.n.now()) {
			v.n.near.noticesExpired.Add(1)
			v.n.Log.Warn("viewer not told of its session's end: it opened no connection", "session", id, "from", address)
		}
		v.dropEmptyNotices(address)
	}
}
