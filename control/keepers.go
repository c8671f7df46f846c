package control

// What is asked of others ahead of a choice: keepers of reports, and servers by probes.

import "slices"

// keeper is the front that collects what fronts tell of the servers of a cell. Cells in a row share
// one, so that a question or two cover a title's holders.
func (c *Controller) collectorOf(cell int) int {
	return ((cell/cellsPerCollector)%c.cfg.Fronts + c.cfg.Fronts) % c.cfg.Fronts
}

// ask puts a question to the keepers of a title's holders; the choice waits for them a moment. Where
// questions go unanswered, or the viewer is about to give up, it does not wait: answers serve later requests.
func (c *Controller) queryCollectors(x *session) bool {
	if !c.cfg.AllowPeerMessages || c.seesMostServers {
		return false
	}
	for _, s := range c.sortedServers {
		k := c.collectorOf(s.Cell)
		known := len(s.sessions) > 0 && c.now-s.othersUpdatedAt < c.cfg.LinkNoteInterval+c.cfg.NoteDelay
		if !known && k != c.cfg.Position && s.State == Ready && c.hasTitle(x, s) &&
			len(x.pendingCollectors) < maxQueriesPerRequest && !slices.Contains(x.pendingCollectors, k) {
			x.pendingCollectors = append(x.pendingCollectors, k)
			home, span := x.HomeCell, x.CellSpan
			if x.Holders != nil { // not in a row: all in this keeper's row is asked
				home, span = s.Cell/cellsPerCollector*cellsPerCollector, cellsPerCollector
			}
			c.sendMessage(k, message{kind: messageQuery, homeCell: home, cellSpan: span})
		}
	}
	if len(x.pendingCollectors) == 0 {
		return false
	}
	if c.unansweredQueries >= maxUnansweredQueries || x.GiveUpAt > 0 && x.GiveUpAt-c.now < 2*collectorReplyTimeout {
		x.pendingCollectors = nil
		return false
	}
	c.awaitingReplies = append(c.awaitingReplies, x)
	c.emit(SetTimer{collectorReplyTimeout, "look " + x.ID})
	return true
}

// probe asks the holder that was heard of longest ago for its load: one probe a request, so that the
// price of probes stays in step with the traffic.
func (c *Controller) probeHolder(x *session) {
	var oldest *server
	for _, s := range c.sortedServers {
		if s.State != Ready || s.probeInFlight || !c.hasTitle(x, s) {
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
