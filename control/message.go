package control

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"
)

// Messages between fronts are short texts: a letter for the kind and version, then base-64 digits for the sender's
// stamp and the fields of that kind. This file encodes, decodes and applies them. queryCollectors decides which fronts
// to query and how long to wait for them; the functions of load.go weigh the reported utilizations.

// messageKind is the first letter of a message. A later version of the format must use other letters.
type messageKind byte

const (
	messageUpdate messageKind = 'n' // the sender's own sessions at a server changed, or it received a load report
	messageQuery  messageKind = 'q' // asks for the load of a title's holders
	messageReply  messageKind = 'a' // load of these holders as last reported to the collector
)

// message is a decoded message of any kind.
type message struct {
	kind               messageKind
	stamp              int
	homeCell, cellSpan int            // query: the title's cells
	reports            []serverReport // update: exactly one; reply: any number
}

// serverReport is the part of a message that reports on one server.
type serverReport struct {
	shortID      int
	utilization  float64 // of the link; negative if unknown
	streams      int     // streams that the server runs; negative if unknown
	delayed      bool    // update: utilization comes from a note, and is as old as Settings.NoteDelay
	rateChange   int     // update: change of the sender's own rate, in units of rateUnit
	streamChange int     // update: change of the number of the sender's own sessions
}

const (
	base64Digits    = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"
	stampModulus    = 1 << 18 // stamps and short IDs have three digits
	utilizationUnit = 1.0 / 32
)

// shortIDOf returns a short ID of a server, a hash that is the same at every front.
func shortIDOf(id string) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	sum := hash.Sum32()
	return int((sum ^ sum>>18) % stampModulus)
}

// appendBase64 appends v as n base-64 digits, clipped to the range that they can hold.
func appendBase64(b []byte, v, n int) []byte {
	v = min(max(v, 0), 1<<(6*n)-1)
	for i := n - 1; i >= 0; i-- {
		b = append(b, base64Digits[v>>(6*i)&63])
	}
	return b
}

// encodeMessage returns the text form of a message.
func encodeMessage(m message) string {
	b := appendBase64([]byte{byte(m.kind)}, m.stamp, 3)
	if m.kind == messageQuery {
		return string(appendBase64(appendBase64(b, m.homeCell, 2), m.cellSpan, 1))
	}
	for _, report := range m.reports {
		b = appendBase64(b, report.shortID, 3)
		utilization, delayed := 63, 0
		if report.utilization >= 0 {
			utilization = min(int(report.utilization/utilizationUnit+0.5), 62)
		}
		if report.delayed {
			delayed = 1
		}
		b = appendBase64(appendBase64(b, utilization, 1), report.streams+1, 1)
		if m.kind == messageUpdate {
			b = appendBase64(appendBase64(b, report.rateChange*2+delayed+2048, 2), report.streamChange+32, 1)
		}
	}
	return string(b)
}

// decodeMessage parses a message; ok is false if it is malformed or of another version.
func decodeMessage(text string) (m message, ok bool) {
	if len(text) < 4 || len(text) > 256 {
		return m, false
	}
	var digits [256]int
	for i := 1; i < len(text); i++ {
		digits[i] = strings.IndexByte(base64Digits, text[i])
		if digits[i] < 0 {
			return m, false
		}
	}
	m.kind, m.stamp = messageKind(text[0]), digits[1]<<12|digits[2]<<6|digits[3]
	payload, reportLen := len(text)-4, 5
	switch m.kind {
	case messageQuery:
		m.homeCell, m.cellSpan = digits[4]<<6|digits[5], digits[6]
		return m, payload == 3
	case messageUpdate:
		if reportLen = 8; payload != reportLen {
			return m, false
		}
	case messageReply:
		if payload%reportLen != 0 {
			return m, false
		}
	default:
		return m, false
	}
	for i := 4; i < len(text); i += reportLen {
		report := serverReport{shortID: digits[i]<<12 | digits[i+1]<<6 | digits[i+2],
			utilization: float64(digits[i+3]) * utilizationUnit, streams: digits[i+4] - 1}
		if digits[i+3] == 63 {
			report.utilization = -1
		}
		if m.kind == messageUpdate {
			change := digits[i+5]<<6 | digits[i+6]
			report.delayed, report.rateChange, report.streamChange = change&1 == 1, change>>1-1024, digits[i+7]-32
		}
		m.reports = append(m.reports, report)
	}
	return m, true
}

// placeAnswered places the requests for which no reply is pending any more.
func (c *Controller) placeAnswered() {
	var ready []*session
	c.awaitingReplies = slices.DeleteFunc(c.awaitingReplies, func(sess *session) bool {
		if len(sess.pendingCollectors) == 0 && !sess.done {
			ready = append(ready, sess)
		}
		return len(sess.pendingCollectors) == 0 || sess.done
	})
	for _, sess := range ready {
		c.placeSession(sess)
	}
}

// handlePeerMessage processes a message of another front. It ignores a message that is malformed, of another version,
// out of order, repeated or from an unknown front.
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
		for _, report := range m.reports {
			if s := c.serversByShortID[report.shortID]; s != nil && s.capacity > 0 {
				c.updateOthers(s, max(report.utilization-s.ownRate/s.capacity, 0), collectorWeight)
				c.updateStreams(s, report.streams)
			}
		}
		for _, sess := range c.awaitingReplies {
			if i := slices.Index(sess.pendingCollectors, e.From); i >= 0 {
				sess.pendingCollectors = slices.Delete(sess.pendingCollectors, i, i+1)
			}
		}
		c.placeAnswered()
	case messageUpdate:
		for _, report := range m.reports {
			if s := c.serversByShortID[report.shortID]; s != nil && s.capacity > 0 {
				c.applyPeerUpdate(s, report)
			}
		}
	}
}

// collectedReports returns a collector's reply to a query: the load of the holders for which it has recent reports.
func (c *Controller) collectedReports(m message) (reports []serverReport) {
	for _, s := range c.sortedServers {
		if s.State != Ready || c.collectorOf(s.Cell) != c.cfg.Position ||
			!s.inCellRange(m.homeCell, m.cellSpan, c.cfg.Cells) ||
			!s.hasReport || c.now-s.othersUpdatedAt > reportHalfLife || len(reports) >= 2*cellsPerCollector {
			continue
		}
		report := serverReport{shortID: shortIDOf(s.ID), utilization: c.utilization(s), streams: -1}
		if c.now-s.streamsUpdatedAt < collectorStreamsMaxAge && s.streamsUpdatedAt > 0 {
			report.streams = s.otherStreams + len(s.sessions)
		}
		reports = append(reports, report)
	}
	return reports
}

// applyPeerUpdate records, at the collector, another front's changes at a server and the load report that it received.
func (c *Controller) applyPeerUpdate(s *server, report serverReport) {
	change := float64(report.rateChange) * c.rateUnit()
	s.peerRateChange, s.lastPeerUpdateAt = s.peerRateChange+change, c.now
	s.peerRateHistory = appendSample(s.peerRateHistory, c.now, s.peerRateChange, historyRetention)
	s.othersUtilization = max(s.othersUtilization+change/s.capacity, 0)
	c.meanValid = false
	if c.now-s.streamsUpdatedAt < collectorStreamsMaxAge {
		s.otherStreams, s.streamsUpdatedAt = max(s.otherStreams+report.streamChange, 0), c.now
	}
	c.updateStreams(s, report.streams)
	if report.utilization >= 0 {
		when := c.now
		if report.delayed {
			when -= c.cfg.NoteDelay
		}
		c.applyLinkReport(s, report.utilization, when, reportWeight)
	}
}

// updateStreams records a reported count of all streams at a server; a negative count is unknown and ignored.
func (c *Controller) updateStreams(s *server, streams int) {
	if streams >= 0 {
		s.streamsUpdatedAt, s.otherStreams = c.now, max(streams-len(s.sessions), 0)
	}
}

// rateUnit is the unit of rate changes in messages, in kB/s.
func (c *Controller) rateUnit() float64 { return c.cfg.Ladder[0] / 8 }

// sendUpdates sends the collectors what changed at their servers in this step.
func (c *Controller) sendUpdates() {
	for _, s := range c.changedServers {
		s.changed = false
		collector := c.collectorOf(s.Cell)
		if !c.cfg.AllowPeerMessages || c.coversMostServers || collector == c.cfg.Position || s.State != Ready {
			s.pendingReport = nil
			continue
		}
		report := serverReport{utilization: -1, streams: -1}
		if s.pendingReport != nil {
			report, s.pendingReport = *s.pendingReport, nil
		}
		report.shortID = shortIDOf(s.ID)
		report.rateChange = int(math.Round((s.ownRate - s.publishedRate) / c.rateUnit()))
		report.streamChange = len(s.sessions) - s.publishedStreams
		if report.rateChange == 0 && report.streamChange == 0 && report.utilization < 0 {
			continue
		}
		s.publishedRate, s.publishedStreams = s.publishedRate+float64(report.rateChange)*c.rateUnit(), len(s.sessions)
		c.sendMessage(collector, message{kind: messageUpdate, reports: []serverReport{report}})
	}
	c.changedServers = c.changedServers[:0]
}

// queueReport has a report of a link's utilization sent to the collector at the end of the step.
func (c *Controller) queueReport(s *server, utilization float64, streams int, delayed bool) {
	s.pendingReport = &serverReport{utilization: utilization, streams: streams, delayed: delayed}
	c.markChanged(s)
}

// sendMessage sends a message with the next stamp to another front.
func (c *Controller) sendMessage(to int, m message) {
	m.stamp = c.nextStamp()
	c.emit(SendToPeer{to, encodeMessage(m)})
}
