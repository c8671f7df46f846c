package control

// Every decision of the module is in this file; the interface is in api.go and
// plain bookkeeping in state.go. The order is that of a request's life: arrival,
// choice of server, start, reports, rung changes while it plays, failure, end.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values. Fullness is the rate asked of a link or uplink over what it gives.
const (
	fillTarget   = 0.90                   // steps down aim here: true rates swing around the ladder's
	riseTarget   = 0.88                   // steps up and newcomers fill to this: crowds come unannounced
	overFull     = 1.02                   // calls for steps down: past it the share delivered is short
	nearFull     = 0.90                   // a link this full lately is blamed for a short share
	admitLimit   = 1.0                    // fullness up to which a lowest rung is still let in
	tieWidth     = 0.10                   // fullness: links this close count as equal: reports are that noisy
	toldTie      = 0.30                   // the same where uplinks are reported: their figure is as good then
	zoneWeight   = 2.5                    // fullness that crossing zones must gain, by its price
	fairTarget   = 0.98                   // newcomers fill a link to this, up to the rung that others have
	fairShare    = 0.4                    // and may take this part of the room
	fairPart     = 0.8                    // of the mean
	startShare   = 0.15                   // part of the room left that one newcomer may take
	swapGain     = 1.5                    // a step up must earn so many times what its step down loses
	switchGain   = 2.5                    // a step up must earn so many times the price of a switch
	reportWeight = 0.8                    // weight of a new note against what was believed
	keeperWeight = 0.9                    // weight of a keeper's answer: it heard of all fronts
	ownView      = 0.5                    // own sessions at more of the servers than this: own notes do
	keepCells    = 8                      // cells in a row whose servers one front keeps
	mostKeepers  = 3                      // asked for one request: titles held by many need no more
	answerWait   = 100 * time.Millisecond // longest wait for keepers: a small part of any aim
	giveUpAsking = 3                      // unanswered questions in a row, then no request waits
	tellers      = 1.5                    // fronts that pass a note on to the keeper
	streamsKept  = 10 * time.Second       // a keeper counts streams on from a report so long
	answerWeight = 0.3                    // the same for a report in an answer: noisy, its age unknown
	oldReport    = 12 * time.Second       // a report this old has half its say, the fleet's mean the rest
	uplinkWeight = 0.3                    // weight of new evidence on what an uplink gives
	growFrom     = 0.80                   // fullness from which an uplink without complaint is thought larger
	uplinkGrowth = 1.005                  // per beat, regrowth of an uplink that no note contradicts
	linkWeight   = 0.2                    // weight of new evidence on what a link gives
	beat         = 250 * time.Millisecond // pace of corrections: finer than the notes, coarse against CPU
	stepEvery    = 2 * time.Second        // no step up so long after a short share, nor between allowances
	upPart       = 0.4                    // part of its share of the room a front takes at one report
	upAlone      = 0.2                    // the same where fronts cannot tell each other what they took
	unheard      = 0.6                    // fullness assumed of a fleet of which nothing is known yet
	fullWait     = time.Second            // rest for a server that has no stream free
	settle       = 2 * time.Second        // beyond the notes' delay, wait after a correction of an uplink
	patiencePart = 0.45                   // of the aim: unanswered this long, a set-up is tried elsewhere
	streamsFor   = time.Second            // a report of the streams holds so long; then a set-up may ask anew
	avoidFirst   = time.Second            // rest for a failing server, doubled at each failure
	brokenAfter  = 3                      // set-ups unanswered in a row: as if restarted
	avoidMost    = 8 * time.Second        // and at most this, so that a mended one is soon found
	silentNotes  = 4.0                    // note periods missed by one server alone: suspect
	deadShare    = 0.2                    // a delivered share under this is a standstill, not a full link
	coldMargin   = 0.6                    // part of what a cold server stands that the fronts use
	guessLength  = 10 * time.Second       // time left of a session whose length nobody told
	keepHistory  = 12 * time.Second       // own rates are remembered for late notes
	keepGone     = time.Minute            // a server that is gone and comes back is known for so long
	returnAdvice = time.Second            // wait advised to a viewer who was turned away
	noMoreThan   = 3.0                    // fullness reports are clipped here
)

// list follows the server list. A failed subscription is asked for again after a while.
func (c *Controller) list(u ListUpdate) {
	if u.Failed {
		if c.set.Subscribe {
			c.act(SetTimer{avoidFirst + time.Duration(c.rng.Int64N(int64(avoidFirst))), "subscribe"})
		}
		return
	}
	c.forgetGone()
	c.order, c.meanKnown = merge(c.known, u), false
	for _, s := range c.order {
		c.marks[markOf(s.ID)] = s
		if s.Started > 0 && s.Started > s.coldFrom {
			s.coldFrom = s.Started
			c.pace(s)
		}
		s.rack = 0
		if c.set.Racks > 0 {
			s.rack = ((s.Cell % c.set.Racks) + c.set.Racks) % c.set.Racks
		}
	}
	c.sizeLinks()
}

// sizeLinks sets what links and uplinks are told to give. Where the weight tells no size,
// the kind's streams do. What was learned of a link stays.
func (c *Controller) sizeLinks() {
	unit, sum := 0.0, 0.0
	for _, s := range c.order {
		if s.State != Gone {
			sum += float64(c.streams(s))
		}
	}
	if sum > 0 {
		unit = c.set.LinksTotal / sum
	}
	c.racks = c.racks[:min(len(c.racks), max(c.set.Racks, 1))]
	for len(c.racks) < max(c.set.Racks, 1) {
		c.racks = append(c.racks, &rack{})
	}
	for _, r := range c.racks {
		r.servers = r.servers[:0]
	}
	part := c.set.RackUplink * float64(c.set.Racks) / c.set.LinksTotal
	links := make([]float64, len(c.racks))
	for _, s := range c.order {
		told := unit * float64(c.streams(s))
		if c.set.Weights == WeightSize && s.Weight > 0 && c.set.WeightLink > 0 {
			told = s.Weight * c.set.WeightLink
		}
		if s.capacity == 0 {
			s.capacity = told
		}
		if s.State != Gone || len(s.held) > 0 {
			c.racks[s.rack].servers = append(c.racks[s.rack].servers, s)
		}
		if s.State != Gone {
			links[s.rack] += told
		}
	}
	for i, r := range c.racks {
		prior := 0.0
		if c.set.Racks > 0 && c.set.LinksTotal > 0 {
			prior = part * links[i]
		}
		if r.prior > 0 && prior > 0 {
			r.capacity *= prior / r.prior
		} else {
			r.capacity = prior
		}
		r.prior = prior
	}
}

// fullness blends the own sessions with the reports: the others' part as last reported,
// which fades to the fleet's mean with age, and the own part as it is now.
func (c *Controller) fullness(s *server) float64 { return c.blend(s, c.mean()) }

// blend is a server's fullness, given the fleet's mean.
func (c *Controller) blend(s *server, mean float64) float64 {
	if s.capacity <= 0 {
		return mean
	}
	own := s.asked / s.capacity
	if c.set.Reports == ReportsNone {
		return own + s.others
	}
	if !s.heard {
		return own + mean*float64(c.set.Fronts-1)/float64(c.set.Fronts)
	}
	say := math.Exp2(-float64(c.now-s.othersAt) / float64(oldReport))
	return own + s.others*say + max(0, mean-own)*(1-say)
}

// mean is the mean fullness of the servers heard from; before any was, the own sessions times the
// number of fronts, or a guess where a front knows of none. It is worked out anew after a change only.
func (c *Controller) mean() float64 {
	if !c.meanKnown {
		c.meanKnown, c.meanIs = true, c.workOutMean()
	}
	return c.meanIs
}

func (c *Controller) workOutMean() float64 {
	c.evaluations += len(c.order)
	sum, n, own, all := 0.0, 0.0, 0.0, 0.0
	for _, s := range c.order {
		if s.State == Ready && s.capacity > 0 {
			own, all = own+s.asked, all+s.capacity
			if s.heard {
				sum, n = sum+s.others+s.asked/s.capacity, n+1
			}
		}
	}
	switch {
	case n > 0:
		return sum / n
	case own > 0:
		return own * float64(c.set.Fronts) / all
	}
	return unheard
}

// hold takes the room kept for announced sessions.
func (c *Controller) hold(e Holds) {
	c.holding, c.holdsAt = len(e.Parts) > 0, c.now
	for _, s := range c.order {
		s.kept = nil
	}
	for _, h := range e.Parts {
		if s := c.known[h.Server]; s != nil && h.Rate >= 0 && h.Streams >= 0 {
			s.kept = append(s.kept, h)
		}
	}
}

// heldBack is the room on a server that is held for others than x; for anyone, where x is nil. What own
// sessions of its title took since the hold was told is used, and other fronts are thought to have taken
// as much. Harm: a hold for viewers who never come keeps out others, until it is told no more.
func (c *Controller) heldBack(x *session, s *server) (kb, streams float64) {
	for _, h := range s.kept {
		if x != nil && x.Class == h.Class && x.Title == h.Title {
			continue
		}
		rate, n := h.Rate, h.Streams
		for _, y := range s.held {
			if y.Class == h.Class && y.Title == h.Title && y.sentAt >= c.holdsAt {
				rate, n = rate-float64(c.set.Fronts)*c.rate(y, y.rung), n-float64(c.set.Fronts)
			}
		}
		kb, streams = kb+max(rate, 0), streams+max(n, 0)
	}
	return kb, streams
}

// planned is the rate that a hold keeps on a server for each session like x; 0 where none does.
func (c *Controller) planned(x *session, s *server) float64 {
	for _, h := range s.kept {
		if x.Class == h.Class && x.Title == h.Title && h.Streams > 0 {
			return h.Rate / h.Streams
		}
	}
	return 0
}

// rackHeld is the same for a rack's uplink.
func (c *Controller) rackHeld(x *session, r *rack) (sum float64) {
	if !c.holding {
		return 0
	}
	for _, s := range r.servers {
		kb, _ := c.heldBack(x, s)
		sum += kb
	}
	return sum
}

// seems is how full a link is in x's eyes: what is held for others is taken.
func (c *Controller) seems(x *session, s *server) float64 {
	full := c.fullness(s)
	if kb, _ := c.heldBack(x, s); kb > 0 && s.capacity > 0 {
		full += kb / s.capacity
	}
	return full
}

// room is what a server's link and its rack's uplink still give x up to a fullness, in kB/s.
func (c *Controller) room(s *server, upTo float64, x *session) float64 {
	link, uplink := c.rooms(s, upTo, x)
	return min(link, uplink)
}

func (c *Controller) rooms(s *server, upTo float64, x *session) (link, uplink float64) {
	link, uplink = math.Inf(1), math.Inf(1)
	if s.capacity > 0 {
		kb, _ := c.heldBack(x, s)
		link = (upTo-c.fullness(s))*s.capacity - kb
	}
	if r := c.racks[s.rack]; r.capacity > 0 {
		uplink = upTo*r.capacity - c.uplink(r) - c.rackHeld(x, r)
	}
	return link, uplink
}

// request takes a viewer's request and settles it at once: a set-up or a refusal.
func (c *Controller) request(e Request) {
	if e.Class < 0 || e.Class >= len(c.set.Classes) || c.sessions[e.ID] != nil {
		return
	}
	k := &c.set.Classes[e.Class]
	x := &session{Request: e, class: k, worth: k.Worth, rung: k.Floor}
	c.sessions[e.ID] = x
	if e.Playing {
		x.attempts, x.playing, x.done, x.startAt = 1, true, true, c.now
		if s := c.known[e.Server]; s != nil {
			s.add(x)
			c.changed(s)
			s.toldRate, s.toldStreams = s.asked, len(s.held)
		}
		return
	}
	if c.set.BudgetSpan > 0 {
		c.taken = append(within(c.taken, c.now, c.set.BudgetSpan), c.now)
	}
	if e.Tenant >= 0 && e.Tenant < len(c.set.Tenants) && c.set.Tenants[e.Tenant].Quota > 0 {
		c.tenants[e.Tenant] = append(within(c.tenants[e.Tenant], c.now, time.Second), c.now)
		if float64(len(c.tenants[e.Tenant])*c.set.Fronts) > max(c.set.Tenants[e.Tenant].Quota, 1) {
			x.worth *= c.set.Over
		}
	}
	if !c.ask(x) {
		c.place(x)
	}
	if c.set.Reports == ReportsByProbe && c.set.Probes {
		c.probe(x)
	}
}

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

// place sends a request to a server, or ends it. The least loaded holder with room decides;
// exceptions, each only where the one before found nobody: a holder where own sessions step
// down to make room, then the best of the suspects whose trial is due.
func (c *Controller) place(x *session) {
	unseated := x.class.Seats > 0 && c.seated(x) >= x.class.Seats
	if c.now >= x.Due && x.Due > 0 || x.attempts > 0 && !c.mayResend(x) || unseated {
		c.end(x)
		return
	}
	var best *server
	c.compare(func() { best = c.choose(x) })
	if best == nil {
		c.end(x)
		return
	}
	c.send(x, best)
}

// choose is the server that a request goes to; nil where none will do.
func (c *Controller) choose(x *session) *server {
	lowest := c.rate(x, x.class.Floor)
	var roomy, crowded, suspect []*server
	for _, s := range c.order {
		if !c.allowed(x, s) {
			continue
		}
		switch room := c.room(s, admitLimit, x); {
		case c.suspect(x, s):
			suspect = append(suspect, s)
		case room >= lowest*c.added(x, x.class.Floor, s.held):
			roomy = append(roomy, s)
		case room+c.spare(s) >= lowest:
			crowded = append(crowded, s)
		}
	}
	for _, group := range [][]*server{c.shared(x, roomy), crowded, c.trials(x, suspect)} {
		if s := c.leastLoaded(x, group); s != nil {
			return s
		}
	}
	return nil
}

// allowed keeps the rules that no load can bend: listed and ready, holder of the title, a free
// stream, the pace of a cold server, and the group that a deduplicated set-up is bound to.
func (c *Controller) allowed(x *session, s *server) bool {
	if s.State != Ready || !c.has(x, s) || !c.paceAllows(s) {
		return false
	}
	others := s.otherStreams
	if c.now-s.streamsAt > streamsFor {
		others = 0
	}
	_, held := c.heldBack(x, s)
	if n := c.streams(s); n > 0 && others+len(s.held)+int(held) >= n || c.now < s.fullTill {
		return false
	}
	if m := x.mayRan; m != nil && x.class.Effect == Deduplicated {
		if c.now-x.mayRanAt >= x.class.Window || x.class.Scope == ScopeZone && s.Zone != m.Zone ||
			x.class.Scope == ScopeCell && s.Cell != m.Cell {
			return false
		}
	}
	return true
}

// paceAllows splits the pace that a freshly started server stands over all fronts: each has one set-up for
// so many of the fleet's as there are fronts, and waits a random part of them before its first, so that the
// fronts do not come together when they are told. The pace is summed up over the wait: taken as it is at the
// end, it let hundreds of fronts send up to 1.6 times what was meant, since it rises meanwhile.
// It acts too on a server that broke and may be back, cold, before the list says so; without an answer
// that ends a ramp after the last failure. Harm: a server that merely hung gets work back slowly.
func (c *Controller) paceAllows(s *server) bool {
	broke := s.broke && c.now-s.failedAt < c.set.Ramp
	if c.set.Ramp <= 0 || !broke && (s.coldFrom == 0 || c.now-s.coldFrom >= c.set.Ramp) {
		return true
	}
	share := func(at time.Duration) float64 {
		if broke {
			return c.set.StartShare
		}
		return c.set.StartShare + (1-c.set.StartShare)*max(0, float64(at-s.coldFrom))/float64(c.set.Ramp)
	}
	from := max(s.pacedFrom, s.lastSend)
	perSecond := float64(max(c.streams(s), 1)) / c.set.Ramp.Seconds() * coldMargin * max(c.set.FallFactor, 1)
	fleets := perSecond * (share(from) + share(c.now)) / 2 * (c.now - from).Seconds()
	return fleets >= s.gapPart*float64(c.set.Fronts)
}

// pace starts the pacing of a server. What was sent there within a ramp counts: a front that saw it fail and
// took a new part at once would have come sooner than its turn.
func (c *Controller) pace(s *server) {
	s.pacedFrom, s.gapPart = c.now, 1
	if s.lastSend == 0 || c.now-s.lastSend > c.set.Ramp {
		s.gapPart = c.rng.Float64()
	}
}

// suspect judges by symptoms, whatever the cause: set-ups that failed or went unanswered, sessions
// that broke, or silence while others are heard. Paid set-ups stay off such a server until it has
// served again, since a doubtful end can be neither resent nor refused.
func (c *Controller) suspect(x *session, s *server) bool {
	if slices.Contains(x.tried, s) || c.silent(s) {
		return true
	}
	return s.fails > 0 && (x.class.Effect != Idempotent || c.now < s.avoidTill || s.settingUp() > 0)
}

// silent tells a server whose notes stopped while other servers' went on. When all stop, the notes
// are at fault and nobody is suspected; notes at set-up don't count as going on.
func (c *Controller) silent(s *server) bool {
	if c.set.LinkNoteEvery <= 0 || len(s.held) == 0 {
		return false
	}
	since := s.noteAt
	for _, x := range s.held {
		if x.playing && x.startAt > since {
			since = x.startAt
		}
	}
	if since == 0 || s.settingUp() == len(s.held) {
		return false
	}
	limit := time.Duration(silentNotes*float64(c.set.LinkNoteEvery)) + c.set.NoteDelay
	return c.now-since > limit && c.now-c.noted < c.set.LinkNoteEvery
}

// trials are the suspects worth a try when nobody else is left; those that x has not met come first.
// A paid set-up only tries those of which one answer is missing, which may be all that is wrong.
func (c *Controller) trials(x *session, suspects []*server) []*server {
	if x.class.Effect == AtMostOnce {
		worse := func(s *server) bool { return s.broke || c.silent(s) || s.settingUp() > 0 }
		return slices.DeleteFunc(suspects, worse)
	}
	met := func(s *server) bool { return slices.Contains(x.tried, s) }
	if untried := slices.DeleteFunc(slices.Clone(suspects), met); len(untried) > 0 {
		return untried
	}
	return suspects
}

// shared keeps viewers of one live title together where streams can be shared.
func (c *Controller) shared(x *session, group []*server) []*server {
	var with []*server
	for _, s := range group {
		if c.stream(x, s) != nil {
			with = append(with, s)
		}
	}
	if len(with) > 0 {
		return with
	}
	return group
}

// leastLoaded is the design's choice: the least loaded link; of links as good as equal the one in
// the less loaded rack, with a little for the own zone; then the seed decides.
func (c *Controller) leastLoaded(x *session, group []*server) *server {
	least, width := math.Inf(1), tieWidth
	for _, s := range group {
		least = min(least, c.seems(x, s))
		if c.racks[s.rack].told {
			width = toldTie
		}
	}
	var best *server
	bestCost := math.Inf(1)
	for _, s := range group {
		if c.seems(x, s) > least+width {
			continue
		}
		cost := c.rng.Float64() * width / 2
		if r := c.racks[s.rack]; r.capacity > 0 {
			cost += c.uplink(r) / r.capacity
		}
		if s.Zone != c.set.Zone && c.set.ZonePrice > 0 {
			cost += zoneWeight * c.set.ZonePrice
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// send starts an attempt at the rung that fits. Up to about the mean rung of the own sessions, a sign of
// what the fleet affords, a newcomer may fill the link more: else it starts low and pays for switches.
// Harm: where a crowd comes, links run short until the next note.
func (c *Controller) send(x *session, s *server) {
	if x.attempts > 0 && c.set.BudgetSpan > 0 {
		c.further = append(c.further, c.now) // mayResend dropped the old ones
	}
	x.rung = x.class.Floor
	s.add(x)
	c.changed(s)
	if need := -c.room(s, admitLimit, x); need > 0 {
		c.stepDown(s.held, need, x)
	}
	top := min(x.Best, x.class.Top)
	if y := c.stream(x, s); y != nil && y.rung <= top {
		x.rung, top = y.rung, y.rung
		c.changed(s)
	}
	for x.rung < top {
		step := c.rate(x, x.rung+1) - c.rate(x, x.rung)
		upTo, part := riseTarget, startShare
		if c.set.Ladder[x.rung+1] <= fairPart*c.fair {
			upTo, part = fairTarget, fairShare
		}
		link, _ := c.rooms(s, upTo, x)
		_, uplink := c.rooms(s, riseTarget, x) // shared by many servers: more newcomers at once
		room := min(link*part, uplink*max(part/4, 1/float64(c.set.Fronts)))
		if kept := c.planned(x, s) - c.rate(x, x.rung); kept > 0 && c.rng.Float64()*step < kept {
			room = min(link, uplink) // the room was kept for it: others do not take it meanwhile
		}
		if step > room && !c.swap(x, s, step-max(room, 0)) {
			break
		}
		x.rung++
		c.changed(s)
	}
	x.attempts++
	x.tried = append(x.tried, s)
	x.sentAt, s.lastSend, s.gapPart = c.now, c.now, 1
	c.act(SetRung{x.ID, x.rung})
	c.act(Send{x.ID, s.ID, c.patience(x)})
}

// patience is how long an attempt may go unanswered. One that may be sent again is given up early
// enough to be served elsewhere within its aim; others wait as long as the viewer does.
func (c *Controller) patience(x *session) time.Duration {
	left := x.Due - c.now
	last := c.set.MaxAttempts > 0 && x.attempts >= c.set.MaxAttempts
	if x.class.Effect == AtMostOnce || x.class.Aim <= 0 || last {
		return max(left, 0)
	}
	p := time.Duration(patiencePart * float64(x.class.Aim) * float64(max(x.attempts, 1)))
	if x.Due > 0 {
		p = min(p, left)
	}
	return max(p, 0)
}

// mayResend keeps the rules on further attempts: cap, budget, and effects.
func (c *Controller) mayResend(x *session) bool {
	if c.set.MaxAttempts > 0 && x.attempts >= c.set.MaxAttempts {
		return false
	}
	if x.class.Effect == AtMostOnce && x.mayRan != nil {
		return false
	}
	if c.set.BudgetSpan <= 0 {
		return true
	}
	c.further = within(c.further, c.now, c.set.BudgetSpan)
	c.taken = within(c.taken, c.now, c.set.BudgetSpan)
	return float64(len(c.further)+1) <= c.set.BudgetFree+c.set.BudgetShare*float64(len(c.taken))
}

// end answers a request that gets no further attempt: a refusal where nothing can have run or a
// repeat does no harm, else a failure. The answer goes out at once, with advice when to return.
func (c *Controller) end(x *session) {
	if x.done {
		return
	}
	x.done = true
	delete(c.sessions, x.ID)
	k := x.class
	if x.mayRan != nil && (k.Effect == AtMostOnce || k.Effect == Deduplicated && k.Scope != ScopeAll) {
		c.act(Fail{x.ID})
		return
	}
	after := time.Duration(0)
	if c.set.RetryAfter {
		after = min(returnAdvice, c.set.MaxRetryAfter)
	}
	c.act(Refuse{x.ID, after})
}

func (c *Controller) started(e Started) {
	s := c.known[e.Server]
	if s != nil {
		c.answers(s)
	}
	if x := c.sessions[e.ID]; x != nil && x.on == s {
		x.playing, x.done, x.startAt = true, true, c.now
	}
}

// answers clears a server that served; one that had broken counts as freshly started.
func (c *Controller) answers(s *server) {
	if s.broke {
		s.coldFrom = c.now
		c.pace(s)
	}
	s.fails, s.errors, s.avoidTill, s.broke = 0, 0, 0, false
}

// alive is told by a note on a session that played before the last failure: the server did not restart,
// so what failed was an answer or the way to it. One doubt stays, which paid set-ups heed.
func (c *Controller) alive(s *server, x *session) {
	if s.fails > 0 && x != nil && x.on == s && x.playing && x.startAt < s.failedAt-c.set.NoteDelay {
		s.fails, s.broke = 1, false
	}
}

// failed marks a server and leaves it alone for a while, longer each time. A lost connection, or several
// set-ups unanswered in a row, look like a restart; one unanswered set-up may be a lost answer.
func (c *Controller) failed(s *server, o Outcome) {
	s.fails++
	s.failedAt = c.now
	if lost := o == Reset || o == ConnectFailed || s.fails >= brokenAfter; lost && !s.broke {
		s.broke = true
		c.pace(s)
	}
	wait := min(avoidFirst<<min(s.fails-1, 10), avoidMost)
	s.avoidTill = c.now + wait/2 + time.Duration(c.rng.Int64N(int64(wait)))
}

// ended closes an attempt, and places the request anew if it is still owed an answer.
func (c *Controller) ended(e Ended) {
	s, x := c.known[e.Server], c.sessions[e.ID]
	if s != nil {
		c.load(s, e.Load, c.now)
	}
	if x == nil || s == nil || x.on != s {
		return
	}
	s.drop(x)
	c.changed(s)
	switch e.Outcome {
	case Served:
		c.answers(s)
	case Full:
		if c.set.FullFrom > 0 {
			c.believe(s, max(c.set.FullFrom, c.fullness(s)), c.now, reportWeight)
		}
		s.fullTill = c.now + fullWait
	case TimedOut, ConnectFailed, Reset, Failed:
		// An error is an answer, and may be the request's own fault: several in a row are the server's.
		if s.errors++; e.Outcome == Failed && s.errors < brokenAfter {
			break
		}
		if !x.playing || e.Outcome == Reset {
			c.failed(s, e.Outcome)
		}
	}
	if e.Final || x.done {
		x.done = true
		delete(c.sessions, x.ID)
		return
	}
	if e.Outcome != Full && e.Outcome != ConnectFailed && e.Outcome != Moot && x.mayRan == nil {
		x.mayRan, x.mayRanAt = s, x.sentAt
	}
	if e.Outcome == Moot && s.State == Ready { // else its server takes no more, and another may
		c.end(x)
		return
	}
	c.place(x)
}

// left forgets a request whose viewer went away; an attempt still out keeps its place until it ends.
func (c *Controller) left(e Left) {
	x := c.sessions[e.ID]
	if x == nil {
		return
	}
	if x.on == nil {
		delete(c.sessions, e.ID)
	} else if !x.playing && !x.done && c.set.Cancel {
		c.act(Cancel{e.ID, x.attempts - 1})
	}
	x.done = true
}

func (c *Controller) probed(e Probed) {
	if s := c.known[e.Server]; s != nil {
		s.probing = false
		c.load(s, e.Load, c.now)
	}
}

// load takes a load report.
func (c *Controller) load(s *server, l *Load, when time.Duration) {
	if l == nil {
		return
	}
	if v := cmp.Or(l.Link, l.Busy); v != nil {
		c.believe(s, *v, when, answerWeight)
		s.fresh = s.fresh || c.set.LinkNoteEvery == 0
	}
	streams := -1
	if l.Streams != nil {
		streams = int(*l.Streams + 0.5)
	}
	c.runs(s, streams)
	if l.Link != nil && c.set.Peers {
		c.shareReport(s, *l.Link, streams, false)
	}
	if l.Uplink != nil {
		c.believeUplink(c.racks[s.rack], *l.Uplink, when, true, false)
	}
}

// believe takes a reported fullness of a link as it was at a time: what is beyond the own rate
// of that time is the others'. A report below the own part alone means a larger link.
func (c *Controller) believe(s *server, full float64, when time.Duration, weight float64) {
	if !(full >= 0) || s.capacity <= 0 {
		return
	}
	full = min(full, noMoreThan)
	own := at(s.history, when) / s.capacity
	if own > full && full > 0.1 {
		s.capacity *= 1 + linkWeight*(min(own/full, 1.5)-1)
		own = full
	}
	own -= (s.peerRate - at(s.peerHistory, when)) / s.capacity // what others told since belongs to them
	c.hear(s, full-own, weight)
	if full >= nearFull {
		s.fullAt = c.now
	}
}

// hear takes what the others' part of a link's fullness is said to be.
func (c *Controller) hear(s *server, others, weight float64) {
	if !s.heard || c.now-s.othersAt > oldReport {
		weight = 1
	}
	s.others = max(s.others+weight*(others-s.others), 0)
	s.heard, s.othersAt, c.meanKnown = true, c.now, false
}

// believeUplink learns what a rack's uplink gives from its fullness at a time.
func (c *Controller) believeUplink(r *rack, full float64, when time.Duration, told, note bool) {
	if !(full > 0.05) || r.prior <= 0 {
		return
	}
	ownThen, ownNow := 0.0, 0.0
	for _, s := range r.servers {
		ownThen += at(s.history, when)
		ownNow += s.asked
	}
	seen := max(c.uplink(r)+ownThen-ownNow, 0) / full
	seen = min(max(seen, r.prior/6), r.prior*2)
	r.capacity += uplinkWeight * (seen - r.capacity)
	r.told, r.fresh = r.told || told, r.fresh || note || c.set.LinkNoteEvery == 0
}

// note takes a note on a playing session. A short share is the link's doing if the link is
// thought full, else the uplink's.
func (c *Controller) note(e Note) {
	s, x := c.known[e.Server], c.sessions[e.ID]
	if s == nil {
		return
	}
	late := c.now - c.set.NoteDelay
	then, atSetUp := late, x != nil && x.startAt > late
	if atSetUp {
		then = c.now
	}
	s.noteAt = c.now
	switch e.Kind {
	case NoteRung:
		if x != nil && x.on == s && e.Value >= 0 && int(e.Value) < len(c.set.Ladder) {
			x.rung = int(e.Value)
			c.changed(s)
		}
	case NoteLink:
		c.alive(s, x)
		part := s.asked / max(s.capacity, 1) / max(e.Value, 0.1)
		if c.set.Peers && (atSetUp || c.rng.Float64() < tellers*part) {
			c.shareReport(s, e.Value, -1, !atSetUp)
		}
		c.believe(s, e.Value, then, reportWeight)
		if !atSetUp {
			s.fresh, c.noted = true, c.now
		}
	case NoteUplink:
		c.believeUplink(c.racks[s.rack], e.Value, then, true, true)
	case NoteShare:
		c.shortShare(s, e.Value, late)
	}
}

func (c *Controller) shortShare(s *server, share float64, then time.Duration) {
	if !(share >= 0) {
		return
	}
	s.shortAt = c.now
	full := 1 / max(share, deadShare)
	r, link := c.racks[s.rack], c.fullness(s)
	wasFull := link >= nearFull || s.fullAt > 0 && c.now-s.fullAt < c.set.NoteDelay+settle
	if wasFull || r.capacity <= 0 || r.told {
		if link >= nearFull && share < overFull && link < full {
			c.believe(s, full, then, reportWeight)
			s.fresh = true
		}
		return
	}
	r.mending = share >= r.short+0.02 && c.now-r.shortAt < stepEvery
	r.short, r.shortAt = share, c.now
	if share < overFull && !r.mending {
		c.believeUplink(r, full, then, false, true)
	}
}

// remaining is how long a session is thought to play on.
func (c *Controller) remaining(x *session) float64 {
	left := guessLength
	if x.Length > 0 {
		left = max(x.Length-(c.now-x.startAt), x.Length/5)
	}
	if !x.playing {
		left = max(x.Length, guessLength)
	}
	return left.Seconds()
}

// stepLoss is the worth lost for each kB/s freed by stepping a session down once.
func (c *Controller) stepLoss(x *session) (loss, freed float64) {
	freed = c.rate(x, x.rung) - c.rate(x, x.rung-1)
	worth := c.set.RungWorth[x.rung] - c.set.RungWorth[x.rung-1]
	loss = x.worth * (worth*c.remaining(x) + c.set.SwitchCost.Seconds())
	return loss / max(freed, 1e-9), freed
}

// stepGain is the worth earned for each kB/s taken by stepping a session up once.
func (c *Controller) stepGain(x *session) (gain, taken float64) {
	taken = c.rate(x, x.rung+1) - c.rate(x, x.rung)
	gain = (c.set.RungWorth[x.rung+1] - c.set.RungWorth[x.rung]) * c.remaining(x)
	if x.playing {
		if gain < switchGain*c.set.SwitchCost.Seconds() {
			return 0, taken
		}
		gain -= c.set.SwitchCost.Seconds()
	}
	return x.worth * gain / max(taken, 1e-9), taken
}

// cheapest is the playing session whose step down costs least for what it frees.
func (c *Controller) cheapest(held []*session, but *session) (best *session, loss, freed float64) {
	for _, x := range held {
		if x == but || !x.playing || x.rung <= x.class.Floor {
			continue
		}
		if l, f := c.stepLoss(x); best == nil || l < loss {
			best, loss, freed = x, l, f
		}
	}
	return best, loss, freed
}

// stepDown frees a rate among own sessions; a part of a step is taken with that chance, so that
// fronts that correct at the same moment free together what is needed.
func (c *Controller) stepDown(held []*session, need float64, but *session) {
	for need > 0 {
		x, _, freed := c.cheapest(held, but)
		if x == nil || but == nil && freed > need && c.rng.Float64()*freed > need {
			return
		}
		need -= freed
		c.setRung(x, x.rung-1)
	}
}

func (c *Controller) setRung(x *session, rung int) {
	x.rung = rung
	c.act(SetRung{x.ID, rung})
	c.changed(x.on)
}

// swap makes room for a newcomer's next rung where a step down elsewhere on the link costs clearly less.
func (c *Controller) swap(x *session, s *server, need float64) bool {
	gain, _ := c.stepGain(x)
	y, loss, freed := c.cheapest(s.held, x)
	if y == nil || freed < need || gain < swapGain*loss {
		return false
	}
	c.setRung(y, y.rung-1)
	return true
}

// informed tells a server of which other fronts report what they do: nothing is to be guessed then.
func (c *Controller) informed(s *server) bool {
	return s.newsAt > 0 && c.now-s.newsAt < max(c.set.LinkNoteEvery, stepEvery)
}

// regulate corrects rungs while sessions play. All fronts hear of a link at the same moment, so each
// corrects its own share of what is over or free, once for each report, and then believes that the
// others did likewise until the next one tells.
func (c *Controller) regulate() {
	view, rung := c.ownSessions()
	c.seesFleet, c.fair = view > ownView, rung
	for _, r := range c.racks {
		c.regulateUplink(r)
	}
	for _, s := range c.order {
		full := c.fullness(s)
		if full >= nearFull {
			s.fullAt = c.now
		}
		if !s.fresh || len(s.held) == 0 || s.capacity <= 0 {
			continue
		}
		s.fresh = false
		own := s.asked / s.capacity
		if full > overFull {
			c.stepDown(s.held, (full-fillTarget)*own/full*s.capacity, nil)
			if !c.informed(s) {
				s.others *= fillTarget / full
			}
			c.meanKnown = false
		} else if c.now-s.shortAt > stepEvery && full < riseTarget {
			mine := (riseTarget - full) * s.capacity * c.upPart() * own / max(full, 1e-9)
			taken := c.stepUp(s, min(mine, c.racks[s.rack].allowance))
			c.racks[s.rack].allowance -= taken
			if !c.informed(s) {
				s.others += taken / s.capacity * max(full-own, 0) / max(own, 1e-9)
			}
			c.meanKnown = false
		}
	}
}

// regulateUplink does the same for a rack's uplink: steps down at once, then waits until the notes can
// show it; steps up are left to the links, out of an allowance that is this front's share of the room.
func (c *Controller) regulateUplink(r *rack) {
	if r.capacity <= 0 {
		r.allowance = math.Inf(1)
		return
	}
	asked, own := c.uplink(r), 0.0
	var held []*session
	for _, s := range r.servers {
		held = append(held, s.held...)
		own += s.asked
	}
	short := r.short < overFull && c.now-r.shortAt < stepEvery
	if !r.told && !short && asked > growFrom*r.capacity {
		r.capacity = min(r.capacity*uplinkGrowth, 2*r.prior)
	}
	if c.now-r.stepped < c.set.NoteDelay+settle {
		return
	}
	if r.fresh && asked > overFull*r.capacity && !r.mending {
		r.stepped, r.allowance = c.now, 0
		c.stepDown(held, (asked-fillTarget*r.capacity)*own/asked, nil)
		for _, s := range r.servers {
			s.others *= fillTarget * r.capacity / asked
		}
		c.meanKnown = false
	} else if c.now-r.allowed >= max(c.set.LinkNoteEvery, stepEvery) {
		r.allowed, r.allowance = c.now, 0
		if !short {
			free := max(riseTarget*r.capacity-asked-c.rackHeld(nil, r), 0)
			r.allowance = free * c.upPart() * own / max(asked, 1e-9)
		}
	}
	r.fresh = false
}

// upPart is the part of its share of free room that a front takes for steps up. Guards against all fronts
// taking the same room at one report and stepping down at the next. Harm: room is used later.
func (c *Controller) upPart() float64 {
	if c.set.Peers {
		return upPart
	}
	return upAlone
}

// stepUp spends a rate on the own sessions that gain most by it, and returns what it spent. A step
// larger than what is left is taken with that chance.
func (c *Controller) stepUp(s *server, mine float64) (spent float64) {
	room := c.room(s, riseTarget, nil)
	for mine > 0 {
		var best *session
		var gain, taken float64
		for _, x := range s.held {
			if x.rung >= min(x.Best, x.class.Top) || !x.playing {
				continue
			}
			if g, t := c.stepGain(x); g > gain && t <= room {
				best, gain, taken = x, g, t
			}
		}
		if best == nil || taken > mine && c.rng.Float64()*taken > mine {
			break
		}
		mine, room, spent = mine-taken, room-taken, spent+taken
		c.setRung(best, best.rung+1)
	}
	return spent
}
