package control

// Queries before a placement: to the collectors of reports, and to servers by probes.

import "slices"

// collectorOf returns the position of the front that collects the reports on a cell's servers. Consecutive
// cells share a collector, so that one or two queries cover the holders of a title.
func (c *Controller) collectorOf(cell int) int {
	return ((cell/cellsPerCollector)%c.cfg.Fronts + c.cfg.Fronts) % c.cfg.Fronts
}

// queryCollectors queries the collectors of a title's holders and reports whether the placement waits for
// their replies. It does not wait if recent queries remained unanswered or the viewer is about to give up;
// the replies then help later requests.
func (c *Controller) queryCollectors(sess *session) bool {
	if !c.cfg.AllowPeerMessages || c.coversMostServers {
		return false
	}
	for _, s := range c.sortedServers {
		collector := c.collectorOf(s.Cell)
		current := len(s.sessions) > 0 && c.now-s.othersUpdatedAt < c.cfg.LinkNoteInterval+c.cfg.NoteDelay
		if !current && collector != c.cfg.Position && s.State == Ready && c.hasTitle(sess, s) &&
			len(sess.pendingCollectors) < maxQueriesPerRequest &&
			!slices.Contains(sess.pendingCollectors, collector) {
			sess.pendingCollectors = append(sess.pendingCollectors, collector)
			home, span := sess.HomeCell, sess.CellSpan
			if sess.Holders != nil { // the cells are not consecutive: query all cells of this collector
				home, span = s.Cell/cellsPerCollector*cellsPerCollector, cellsPerCollector
			}
			c.sendMessage(collector, message{kind: messageQuery, homeCell: home, cellSpan: span})
		}
	}
	if len(sess.pendingCollectors) == 0 {
		return false
	}
	if c.unansweredQueries >= maxUnansweredQueries ||
		sess.GiveUpAt > 0 && sess.GiveUpAt-c.now < 2*collectorReplyTimeout {
		sess.pendingCollectors = nil
		return false
	}
	c.awaitingReplies = append(c.awaitingReplies, sess)
	c.emit(SetTimer{collectorReplyTimeout, "look " + sess.ID})
	return true
}

// probeHolder probes the holder whose load report is the oldest. One probe per request keeps the cost of
// probes proportional to the traffic.
func (c *Controller) probeHolder(sess *session) {
	var oldest *server
	for _, s := range c.sortedServers {
		if s.State != Ready || s.probeInFlight || !c.hasTitle(sess, s) {
			continue
		}
		if oldest == nil || s.othersUpdatedAt < oldest.othersUpdatedAt {
			oldest = s
		}
	}
	if oldest != nil {
		oldest.probeInFlight = true
		c.emit(Probe{oldest.ID})
	}
}
