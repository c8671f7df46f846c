package control

// What is asked of others ahead of a choice: keepers of reports, and servers by probes.

import "slices"

// keeper is the front that collects what fronts tell of the servers of a cell. Cells in a row share
// one, so that a question or two cover a title's holders.
func (c *Controller) keeper(cell int) int {
	return ((cell/keepCells)%c.set.Fronts + c.set.Fronts) % c.set.Fronts
}

// ask puts a question to the keepers of a title's holders; the choice waits for them a moment. Where
// questions go unanswered, or the viewer is about to give up, it does not wait: answers serve later requests.
func (c *Controller) ask(x *session) bool {
	if !c.set.Peers || c.seesFleet {
		return false
	}
	for _, s := range c.order {
		k := c.keeper(s.Cell)
		known := len(s.held) > 0 && c.now-s.othersAt < c.set.LinkNoteEvery+c.set.NoteDelay
		if !known && k != c.set.Position && s.State == Ready && c.has(x, s) &&
			len(x.asking) < mostKeepers && !slices.Contains(x.asking, k) {
			x.asking = append(x.asking, k)
			home, span := x.Home, x.Span
			if x.Holders != nil { // not in a row: all in this keeper's row is asked
				home, span = s.Cell/keepCells*keepCells, keepCells
			}
			c.say(k, message{kind: messageQuestion, home: home, span: span})
		}
	}
	if len(x.asking) == 0 {
		return false
	}
	if c.unanswered >= giveUpAsking || x.Due > 0 && x.Due-c.now < 2*answerWait {
		x.asking = nil
		return false
	}
	c.waiting = append(c.waiting, x)
	c.act(SetTimer{answerWait, "look " + x.ID})
	return true
}

// probe asks the holder that was heard of longest ago for its load: one probe a request, so that the
// price of probes stays in step with the traffic.
func (c *Controller) probe(x *session) {
	var oldest *server
	for _, s := range c.order {
		if s.State != Ready || s.probing || !c.has(x, s) {
			continue
		}
		if oldest == nil || s.othersAt < oldest.othersAt {
			oldest = s
		}
	}
	if oldest != nil {
		oldest.probing = true
		c.act(Probe{oldest.ID})
	}
}
