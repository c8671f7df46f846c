package control

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"
)

// Messages between fronts are short texts of base-64 digits: a kind that also tells the version, the
// sender's stamp, then fields. Whom to ask and how long to wait is decided in keepers.go, what a report weighs in
// load.go; here they are written, read and kept.

// messageKind is the first letter of a message. A later version takes other letters.
type messageKind byte

const (
	messageUpdate messageKind = 'n' // a change of the sender's own sessions at a server
	messageQuery  messageKind = 'q' // what is known of a title's holders
	messageReply  messageKind = 'a' // what the keeper knows of them
)

// message is one of the three kinds.
type message struct {
	kind               messageKind
	stamp              int
	homeCell, cellSpan int            // question: the title's cells
	reports            []serverReport // news: one entry
}

// about is what a message says of one server.
type serverReport struct {
	shortID      int
	utilization  float64 // fullness of the link, under 0 if not known
	streams      int     // streams that it runs, under 0 if not known
	delayed      bool    // news: full is from a note, as late as notes are
	rateChange   int     // news: change of the rate asked, in units
	streamChange int     // news: change of the streams held
}

const (
	base64Digits    = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"
	stampModulus    = 1 << 18 // stamps and marks take three digits
	utilizationUnit = 1.0 / 32
)

// markOf is a short name of a server, the same at every front.
func shortIDOf(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	v := h.Sum32()
	return int((v ^ v>>18) % stampModulus)
}

// put appends a number in n digits, clipped to what they hold.
func appendBase64(b []byte, v, n int) []byte {
	v = min(max(v, 0), 1<<(6*n)-1)
	for i := n - 1; i >= 0; i-- {
		b = append(b, base64Digits[v>>(6*i)&63])
	}
	return b
}

// encode writes a message.
func encodeMessage(m message) string {
	b := appendBase64([]byte{byte(m.kind)}, m.stamp, 3)
	if m.kind == messageQuery {
		return string(appendBase64(appendBase64(b, m.homeCell, 2), m.cellSpan, 1))
	}
	for _, a := range m.reports {
		b = appendBase64(b, a.shortID, 3)
		full, late := 63, 0
		if a.utilization >= 0 {
			full = min(int(a.utilization/utilizationUnit+0.5), 62)
		}
		if a.delayed {
			late = 1
		}
		b = appendBase64(appendBase64(b, full, 1), a.streams+1, 1)
		if m.kind == messageUpdate {
			b = appendBase64(appendBase64(b, a.rateChange*2+late+2048, 2), a.streamChange+32, 1)
		}
	}
	return string(b)
}

// decode reads a message; false if it is none of this version's.
func decodeMessage(text string) (m message, ok bool) {
	if len(text) < 4 || len(text) > 256 {
		return m, false
	}
	var v [256]int
	for i := 1; i < len(text); i++ {
		v[i] = strings.IndexByte(base64Digits, text[i])
		if v[i] < 0 {
			return m, false
		}
	}
	m.kind, m.stamp = messageKind(text[0]), v[1]<<12|v[2]<<6|v[3]
	rest, each := len(text)-4, 5
	switch m.kind {
	case messageQuery:
		m.homeCell, m.cellSpan = v[4]<<6|v[5], v[6]
		return m, rest == 3
	case messageUpdate:
		if each = 8; rest != each {
			return m, false
		}
	case messageReply:
		if rest%each != 0 {
			return m, false
		}
	default:
		return m, false
	}
	for i := 4; i < len(text); i += each {
		a := serverReport{shortID: v[i]<<12 | v[i+1]<<6 | v[i+2], utilization: float64(v[i+3]) * utilizationUnit, streams: v[i+4] - 1}
		if v[i+3] == 63 {
			a.utilization = -1
		}
		if m.kind == messageUpdate {
			change := v[i+5]<<6 | v[i+6]
			a.delayed, a.rateChange, a.streamChange = change&1 == 1, change>>1-1024, v[i+7]-32
		}
		m.reports = append(m.reports, a)
	}
	return m, true
}

// answered places the requests that wait for no keeper any more.
func (c *Controller) placeAnswered() {
	var ready []*session
	c.awaitingReplies = slices.DeleteFunc(c.awaitingReplies, func(x *session) bool {
		if len(x.pendingCollectors) == 0 && !x.done {
			ready = append(ready, x)
		}
		return len(x.pendingCollectors) == 0 || x.done
	})
	for _, x := range ready {
		c.placeSession(x)
	}
}

// peer takes a message of another front. What is malformed, of another version, old, repeated or from
// nobody known changes nothing.
func (c *Controller) handlePeerMessage(e PeerMessage) {
	m, ok := decodeMessage(e.Data)
	if !ok || !c.cfg.AllowPeerMessages || e.From < 0 || e.From >= c.cfg.Fronts || e.From == c.cfg.Position ||
		!c.acceptStamp(e.From, m.stamp) {
		return
	}
	switch m.kind {
	case messageQuery:
		c.sendMessage(e.From, message{kind: messageReply, reports: c.collectedReports(m)})
	case messageReply:
		c.unansweredQueries = 0
		for _, a := range m.reports {
			if s := c.serversByShortID[a.shortID]; s != nil && s.capacity > 0 {
				c.updateOthers(s, max(a.utilization-s.ownRate/s.capacity, 0), collectorWeight)
				c.updateStreams(s, a.streams)
			}
		}
		for _, x := range c.awaitingReplies {
			if i := slices.Index(x.pendingCollectors, e.From); i >= 0 {
				x.pendingCollectors = slices.Delete(x.pendingCollectors, i, i+1)
			}
		}
		c.placeAnswered()
	case messageUpdate:
		for _, a := range m.reports {
			if s := c.serversByShortID[a.shortID]; s != nil && s.capacity > 0 {
				c.applyPeerUpdate(s, a)
			}
		}
	}
}

// knowledge is what a keeper answers: the holders that it heard of lately.
func (c *Controller) collectedReports(m message) (known []serverReport) {
	for _, s := range c.sortedServers {
		if s.State != Ready || c.collectorOf(s.Cell) != c.cfg.Position || !s.inCellRange(m.homeCell, m.cellSpan, c.cfg.Cells) ||
			!s.hasReport || c.now-s.othersUpdatedAt > reportHalfLife || len(known) >= 2*cellsPerCollector {
			continue
		}
		a := serverReport{shortID: shortIDOf(s.ID), utilization: c.utilization(s), streams: -1}
		if c.now-s.streamsUpdatedAt < collectorStreamsMaxAge && s.streamsUpdatedAt > 0 {
			a.streams = s.otherStreams + len(s.sessions)
		}
		known = append(known, a)
	}
	return known
}

// news takes at the keeper what another front did at a server, and what it heard of its load.
func (c *Controller) applyPeerUpdate(s *server, a serverReport) {
	kb := float64(a.rateChange) * c.rateUnit()
	s.peerRateChange, s.lastPeerUpdateAt = s.peerRateChange+kb, c.now
	s.peerRateHistory = appendSample(s.peerRateHistory, c.now, s.peerRateChange, historyRetention)
	s.othersUtilization = max(s.othersUtilization+kb/s.capacity, 0)
	c.meanValid = false
	if c.now-s.streamsUpdatedAt < collectorStreamsMaxAge {
		s.otherStreams, s.streamsUpdatedAt = max(s.otherStreams+a.streamChange, 0), c.now
	}
	c.updateStreams(s, a.streams)
	if a.utilization >= 0 {
		when := c.now
		if a.delayed {
			when -= c.cfg.NoteDelay
		}
		c.applyLinkReport(s, a.utilization, when, reportWeight)
	}
}

// runs takes a count of all the streams at a server; under 0 none was told.
func (c *Controller) updateStreams(s *server, streams int) {
	if streams >= 0 {
		s.streamsUpdatedAt, s.otherStreams = c.now, max(streams-len(s.sessions), 0)
	}
}

func (c *Controller) rateUnit() float64 { return c.cfg.Ladder[0] / 8 }

// tell sends the keepers what changed in this step.
func (c *Controller) sendUpdates() {
	for _, s := range c.changedServers {
		s.changed = false
		k := c.collectorOf(s.Cell)
		if !c.cfg.AllowPeerMessages || c.seesMostServers || k == c.cfg.Position || s.State != Ready {
			s.pendingReport = nil
			continue
		}
		a := serverReport{utilization: -1, streams: -1}
		if s.pendingReport != nil {
			a, s.pendingReport = *s.pendingReport, nil
		}
		a.shortID = shortIDOf(s.ID)
		a.rateChange = int(math.Round((s.ownRate - s.publishedRate) / c.rateUnit()))
		a.streamChange = len(s.sessions) - s.publishedStreams
		if a.rateChange == 0 && a.streamChange == 0 && a.utilization < 0 {
			continue
		}
		s.publishedRate, s.publishedStreams = s.publishedRate+float64(a.rateChange)*c.rateUnit(), len(s.sessions)
		c.sendMessage(k, message{kind: messageUpdate, reports: []serverReport{a}})
	}
	c.changedServers = c.changedServers[:0]
}

// shareReport has the keeper told of a link report at the end of the step.
func (c *Controller) queueReport(s *server, full float64, streams int, late bool) {
	s.pendingReport = &serverReport{utilization: full, streams: streams, delayed: late}
	c.markChanged(s)
}

// say sends a message with the next stamp.
func (c *Controller) sendMessage(to int, m message) {
	m.stamp = c.nextStamp()
	c.emit(SendToPeer{to, encodeMessage(m)})
}
