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
	messageNews     messageKind = 'n' // a change of the sender's own sessions at a server
	messageQuestion messageKind = 'q' // what is known of a title's holders
	messageAnswer   messageKind = 'a' // what the keeper knows of them
)

// message is one of the three kinds.
type message struct {
	kind       messageKind
	stamp      int
	home, span int     // question: the title's cells
	about      []about // news: one entry
}

// about is what a message says of one server.
type about struct {
	mark    int
	full    float64 // fullness of the link, under 0 if not known
	streams int     // streams that it runs, under 0 if not known
	late    bool    // news: full is from a note, as late as notes are
	rate    int     // news: change of the rate asked, in units
	places  int     // news: change of the streams held
}

const (
	digits    = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"
	stampSpan = 1 << 18 // stamps and marks take three digits
	fullUnit  = 1.0 / 32
)

// markOf is a short name of a server, the same at every front.
func markOf(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	v := h.Sum32()
	return int((v ^ v>>18) % stampSpan)
}

// put appends a number in n digits, clipped to what they hold.
func put(b []byte, v, n int) []byte {
	v = min(max(v, 0), 1<<(6*n)-1)
	for i := n - 1; i >= 0; i-- {
		b = append(b, digits[v>>(6*i)&63])
	}
	return b
}

// encode writes a message.
func encode(m message) string {
	b := put([]byte{byte(m.kind)}, m.stamp, 3)
	if m.kind == messageQuestion {
		return string(put(put(b, m.home, 2), m.span, 1))
	}
	for _, a := range m.about {
		b = put(b, a.mark, 3)
		full, late := 63, 0
		if a.full >= 0 {
			full = min(int(a.full/fullUnit+0.5), 62)
		}
		if a.late {
			late = 1
		}
		b = put(put(b, full, 1), a.streams+1, 1)
		if m.kind == messageNews {
			b = put(put(b, a.rate*2+late+2048, 2), a.places+32, 1)
		}
	}
	return string(b)
}

// decode reads a message; false if it is none of this version's.
func decode(text string) (m message, ok bool) {
	if len(text) < 4 || len(text) > 256 {
		return m, false
	}
	var v [256]int
	for i := 1; i < len(text); i++ {
		v[i] = strings.IndexByte(digits, text[i])
		if v[i] < 0 {
			return m, false
		}
	}
	m.kind, m.stamp = messageKind(text[0]), v[1]<<12|v[2]<<6|v[3]
	rest, each := len(text)-4, 5
	switch m.kind {
	case messageQuestion:
		m.home, m.span = v[4]<<6|v[5], v[6]
		return m, rest == 3
	case messageNews:
		if each = 8; rest != each {
			return m, false
		}
	case messageAnswer:
		if rest%each != 0 {
			return m, false
		}
	default:
		return m, false
	}
	for i := 4; i < len(text); i += each {
		a := about{mark: v[i]<<12 | v[i+1]<<6 | v[i+2], full: float64(v[i+3]) * fullUnit, streams: v[i+4] - 1}
		if v[i+3] == 63 {
			a.full = -1
		}
		if m.kind == messageNews {
			change := v[i+5]<<6 | v[i+6]
			a.late, a.rate, a.places = change&1 == 1, change>>1-1024, v[i+7]-32
		}
		m.about = append(m.about, a)
	}
	return m, true
}

// answered places the requests that wait for no keeper any more.
func (c *Controller) answered() {
	var ready []*session
	c.waiting = slices.DeleteFunc(c.waiting, func(x *session) bool {
		if len(x.asking) == 0 && !x.done {
			ready = append(ready, x)
		}
		return len(x.asking) == 0 || x.done
	})
	for _, x := range ready {
		c.place(x)
	}
}

// peer takes a message of another front. What is malformed, of another version, old, repeated or from
// nobody known changes nothing.
func (c *Controller) peer(e PeerMessage) {
	m, ok := decode(e.Data)
	if !ok || !c.set.Peers || e.From < 0 || e.From >= c.set.Fronts || e.From == c.set.Position ||
		!c.newer(e.From, m.stamp) {
		return
	}
	switch m.kind {
	case messageQuestion:
		c.say(e.From, message{kind: messageAnswer, about: c.knowledge(m)})
	case messageAnswer:
		c.unanswered = 0
		for _, a := range m.about {
			if s := c.marks[a.mark]; s != nil && s.capacity > 0 {
				c.hear(s, max(a.full-s.asked/s.capacity, 0), keeperWeight)
				c.runs(s, a.streams)
			}
		}
		for _, x := range c.waiting {
			if i := slices.Index(x.asking, e.From); i >= 0 {
				x.asking = slices.Delete(x.asking, i, i+1)
			}
		}
		c.answered()
	case messageNews:
		for _, a := range m.about {
			if s := c.marks[a.mark]; s != nil && s.capacity > 0 {
				c.news(s, a)
			}
		}
	}
}

// knowledge is what a keeper answers: the holders that it heard of lately.
func (c *Controller) knowledge(m message) (known []about) {
	for _, s := range c.order {
		if s.State != Ready || c.keeper(s.Cell) != c.set.Position || !s.holds(m.home, m.span, c.set.Cells) ||
			!s.heard || c.now-s.othersAt > oldReport || len(known) >= 2*keepCells {
			continue
		}
		a := about{mark: markOf(s.ID), full: c.fullness(s), streams: -1}
		if c.now-s.streamsAt < streamsKept && s.streamsAt > 0 {
			a.streams = s.otherStreams + len(s.held)
		}
		known = append(known, a)
	}
	return known
}

// news takes at the keeper what another front did at a server, and what it heard of its load.
func (c *Controller) news(s *server, a about) {
	kb := float64(a.rate) * c.rateUnit()
	s.peerRate, s.newsAt = s.peerRate+kb, c.now
	s.peerHistory = record(s.peerHistory, c.now, s.peerRate, keepHistory)
	s.others = max(s.others+kb/s.capacity, 0)
	c.meanKnown = false
	if c.now-s.streamsAt < streamsKept {
		s.otherStreams, s.streamsAt = max(s.otherStreams+a.places, 0), c.now
	}
	c.runs(s, a.streams)
	if a.full >= 0 {
		when := c.now
		if a.late {
			when -= c.set.NoteDelay
		}
		c.believe(s, a.full, when, reportWeight)
	}
}

// runs takes a count of all the streams at a server; under 0 none was told.
func (c *Controller) runs(s *server, streams int) {
	if streams >= 0 {
		s.streamsAt, s.otherStreams = c.now, max(streams-len(s.held), 0)
	}
}

func (c *Controller) rateUnit() float64 { return c.set.Ladder[0] / 8 }

// tell sends the keepers what changed in this step.
func (c *Controller) tell() {
	for _, s := range c.touched {
		s.touched = false
		k := c.keeper(s.Cell)
		if !c.set.Peers || c.seesFleet || k == c.set.Position || s.State != Ready {
			s.newFull = nil
			continue
		}
		a := about{full: -1, streams: -1}
		if s.newFull != nil {
			a, s.newFull = *s.newFull, nil
		}
		a.mark = markOf(s.ID)
		a.rate = int(math.Round((s.asked - s.toldRate) / c.rateUnit()))
		a.places = len(s.held) - s.toldStreams
		if a.rate == 0 && a.places == 0 && a.full < 0 {
			continue
		}
		s.toldRate, s.toldStreams = s.toldRate+float64(a.rate)*c.rateUnit(), len(s.held)
		c.say(k, message{kind: messageNews, about: []about{a}})
	}
	c.touched = c.touched[:0]
}

// shareReport has the keeper told of a link report at the end of the step.
func (c *Controller) shareReport(s *server, full float64, streams int, late bool) {
	s.newFull = &about{full: full, streams: streams, late: late}
	c.touch(s)
}

// say sends a message with the next stamp.
func (c *Controller) say(to int, m message) {
	m.stamp = c.nextStamp()
	c.act(Tell{to, encode(m)})
}
