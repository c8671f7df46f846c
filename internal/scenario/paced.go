package scenario

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rainpulley/internal/peaks"
)

// The paced oracle simulates the day's arrivals under the design's own policy: the least utilized holder for a new
// session, and step-ups limited in rate ("paced"). It uses the true capacities of links and uplinks and their exact
// current load, without faults, delays or set-up times. The result is what a front can reach that has complete
// information about the present and none about the future. It pays for each change of rung and moves no session
// between boxes. A session that is refused retries, as viewers do.

const (
	pacedMaxUtilization = 0.98 // of the link capacity, close to 1 because the capacity is known exactly
	pacedStartShare     = 0.4  // share of the headroom that each step of a new session above the lowest rung may take
	pacedStepUpShare    = 0.4  // share of a box's headroom that step-ups may take per round, as in the design
	pacedTick           = 250 * time.Millisecond
	pacedRetryDelay     = 500 * time.Millisecond
	pacedMaxTries       = 5
	pacedMinGain        = 2.5 // least ratio of a step-up's gain to its switch cost
)

// pacedBox is a box of the simulation. Rates are in kB/s.
type pacedBox struct {
	id                              string
	rack                            int
	linkRate, streamSlots, usedRate float64
	sessions                        []*pacedSession
}

// pacedSession is a session of the simulation, waiting or playing.
type pacedSession struct {
	arrival
	class, rung      int
	tries            int
	nextTryAt, endAt time.Duration
	box              *pacedBox
}

// pacedSimulation is the state of one simulated day. delivered and asked are sums of worth.
type pacedSimulation struct {
	run             *Run
	boxes           []*pacedBox
	uplinkRates     []float64
	usedUplinkRates []float64 // by rack
	delivered       float64
	asked           float64
	holders         map[string][]*pacedBox
	seatsTaken      map[[2]string]int // by title and class
	leadTime        time.Duration     // time before a peak at which sessions start to step down for it; 0: never
}

// PacedShare returns the share of the worth asked that the paced oracle delivers. With spread, the titles of peaks are
// stored on every box, which is the upper limit of what copies can reach.
func (r *Run) PacedShare(spread bool) float64 { return r.simulatePaced(spread, 0) }

// PacedShareWithLead is PacedShare where playing sessions step down within leadTime before a peak, so that half of each
// holder's link is free when the peak begins.
func (r *Run) PacedShareWithLead(spread bool, leadTime time.Duration) float64 {
	return r.simulatePaced(spread, leadTime)
}

// simulatePaced runs the paced oracle over the recorded arrivals and returns the share of the worth asked that it
// delivers.
func (r *Run) simulatePaced(spread bool, leadTime time.Duration) float64 {
	r.mu.Lock()
	arrivals := slices.Clone(r.arrivals)
	r.mu.Unlock()
	fleet := r.fleet.ActualFleet()
	sim := &pacedSimulation{run: r, usedUplinkRates: make([]float64, len(fleet.Uplinks)),
		holders: map[string][]*pacedBox{}, seatsTaken: map[[2]string]int{}, leadTime: leadTime}
	for _, uplink := range fleet.Uplinks { // ActualFleet divides by the utilization limit of plans
		sim.uplinkRates = append(sim.uplinkRates, uplink*peaks.MaxUtilization)
	}
	for i := range fleet.Boxes {
		b := &pacedBox{id: fleet.Boxes[i].ID, rack: fleet.Boxes[i].Rack,
			linkRate: fleet.Boxes[i].LinkCapacity * peaks.MaxUtilization, streamSlots: fleet.Boxes[i].MaxStreams}
		sim.boxes = append(sim.boxes, b)
		for _, title := range r.Site.Titles {
			if cells := fleet.Cells; spread && r.isPeakTitle(title.Name) ||
				((fleet.Boxes[i].Cell-title.Home)%cells+cells)%cells < title.Span {
				sim.holders[title.Name] = append(sim.holders[title.Name], b)
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	var waiting []*pacedSession
	lastEnd := time.Duration(0)
	for _, a := range arrivals {
		waiting = append(waiting, &pacedSession{arrival: a, class: a.viewer.Class, nextTryAt: a.arrivedAt,
			endAt: a.arrivedAt + a.viewer.SessionLength})
		lastEnd = max(lastEnd, a.arrivedAt+a.viewer.SessionLength)
		sim.asked += a.viewer.SessionLength.Seconds() * sim.worth(a.viewer.Class, a.viewer.BestRung)
	}
	roundInterval := max(r.Site.Notes.LinkEvery.Std(), pacedTick)
	for now, nextRound := time.Duration(0), time.Duration(0); now <= lastEnd; now += pacedTick {
		sim.removeEnded(now)
		waiting = sim.admitArrivals(waiting, now)
		if now >= nextRound {
			nextRound = now + roundInterval
			if !sim.freeBeforePeaks(now) {
				sim.stepUp(now)
			}
		}
		for _, b := range sim.boxes {
			for _, session := range b.sessions {
				sim.delivered += min(pacedTick, max(session.endAt-now, 0)).Seconds() * sim.worth(session.class, session.rung)
			}
		}
	}
	if sim.asked == 0 {
		return 0
	}
	return round(sim.delivered / sim.asked)
}

// worth returns the worth per second of a session of a class at a rung.
func (p *pacedSimulation) worth(class, rung int) float64 {
	return p.run.Site.Classes[class].Worth * p.run.Site.Ladder[rung].Worth
}

// rate returns the rate in kB/s of a session of a class at a rung.
func (p *pacedSimulation) rate(class, rung int) float64 {
	return p.run.Site.Classes[class].RateFactor * float64(p.run.Site.Ladder[rung].Rate)
}

// headroom returns the available rate of a box, limited by its link and its rack's uplink.
func (p *pacedSimulation) headroom(b *pacedBox) float64 {
	return min(pacedMaxUtilization*b.linkRate-b.usedRate,
		pacedMaxUtilization*p.uplinkRates[b.rack]-p.usedUplinkRates[b.rack])
}

// addRate changes the used rate of a box and of its rack's uplink.
func (p *pacedSimulation) addRate(b *pacedBox, delta float64) {
	b.usedRate, p.usedUplinkRates[b.rack] = b.usedRate+delta, p.usedUplinkRates[b.rack]+delta
}

// addSeats changes the number of seats taken for the session's title and class.
func (p *pacedSimulation) addSeats(session *pacedSession, n int) {
	p.seatsTaken[[2]string{session.viewer.Title, p.run.Site.Classes[session.class].Name}] += n
}

// removeEnded removes the sessions that have ended and frees their rates and seats.
func (p *pacedSimulation) removeEnded(now time.Duration) {
	for _, b := range p.boxes {
		b.sessions = slices.DeleteFunc(b.sessions, func(session *pacedSession) bool {
			if session.endAt > now {
				return false
			}
			p.addRate(b, -p.rate(session.class, session.rung))
			p.addSeats(session, -1)
			return true
		})
	}
}

// admitArrivals tries to admit the sessions whose next try is due and returns those that still wait. A refused session
// retries after pacedRetryDelay, up to pacedMaxTries tries in all and not after its end.
func (p *pacedSimulation) admitArrivals(waiting []*pacedSession, now time.Duration) []*pacedSession {
	return slices.DeleteFunc(waiting, func(session *pacedSession) bool {
		if session.nextTryAt > now {
			return false
		}
		if p.admit(session) {
			return true
		}
		session.tries++
		session.nextTryAt = now + pacedRetryDelay
		return session.tries >= pacedMaxTries || session.nextTryAt >= session.endAt
	})
}

// admit places a session on the least utilized holder of its title and reports whether one was found. If no holder has
// headroom for the lowest rung, playing sessions step down.
func (p *pacedSimulation) admit(session *pacedSession) bool {
	class := p.run.Site.Classes[session.class]
	if class.Seats > 0 && p.seatsTaken[[2]string{session.viewer.Title, class.Name}] >= class.Seats*len(p.run.Site.Edges) {
		return false
	}
	floorRate := p.rate(session.class, class.Floor)
	var target *pacedBox
	for _, b := range p.holders[session.viewer.Title] {
		if float64(len(b.sessions)) < b.streamSlots && p.headroom(b) >= floorRate &&
			(target == nil || b.usedRate/b.linkRate < target.usedRate/target.linkRate) {
			target = b
		}
	}
	if target == nil { // a holder where playing sessions can step down
		for _, b := range p.holders[session.viewer.Title] {
			if float64(len(b.sessions)) < b.streamSlots && p.headroom(b)+p.reclaimableRate(b) >= floorRate &&
				(target == nil || b.usedRate/b.linkRate < target.usedRate/target.linkRate) {
				target = b
			}
		}
		if target == nil {
			return false
		}
		p.stepDown(target, floorRate-p.headroom(target))
	}
	session.box, session.rung = target, class.Floor
	p.addRate(target, floorRate)
	for session.rung < session.viewer.BestRung {
		step := p.rate(session.class, session.rung+1) - p.rate(session.class, session.rung)
		if step > pacedStartShare*p.headroom(target) {
			break
		}
		p.addRate(target, step)
		session.rung++
	}
	target.sessions = append(target.sessions, session)
	p.addSeats(session, 1)
	return true
}

// reclaimableRate returns the rate that is freed if all sessions on a box step down to their lowest rung.
func (p *pacedSimulation) reclaimableRate(b *pacedBox) (rate float64) {
	for _, session := range b.sessions {
		rate += p.rate(session.class, session.rung) - p.rate(session.class, p.run.Site.Classes[session.class].Floor)
	}
	return rate
}

// stepDown frees at least the needed rate on a box, if possible, by stepping sessions down. Each step is the one that
// loses the least worth per rate freed.
func (p *pacedSimulation) stepDown(b *pacedBox, needed float64) {
	for needed > 0 {
		var cheapest *pacedSession
		lowestLoss := math.Inf(1)
		for _, session := range b.sessions {
			if session.rung <= p.run.Site.Classes[session.class].Floor {
				continue
			}
			if loss := (p.worth(session.class, session.rung) - p.worth(session.class, session.rung-1)) /
				(p.rate(session.class, session.rung) - p.rate(session.class, session.rung-1)); loss < lowestLoss {
				cheapest, lowestLoss = session, loss
			}
		}
		if cheapest == nil {
			return
		}
		freed := p.rate(cheapest.class, cheapest.rung) - p.rate(cheapest.class, cheapest.rung-1)
		p.addRate(b, -freed)
		needed -= freed
		cheapest.rung--
		p.delivered -= p.run.Site.Notes.SwitchCost.Std().Seconds() * p.worth(cheapest.class, cheapest.rung)
	}
}

// freeBeforePeaks frees capacity on the holders of a peak that begins within leadTime. It returns false if there is no
// such peak.
func (p *pacedSimulation) freeBeforePeaks(now time.Duration) bool {
	for _, peak := range p.run.Script.Peaks {
		start := time.Duration(float64(peak.Start.Std()) / p.run.Speed)
		if p.leadTime <= 0 || now < start-p.leadTime || now >= start {
			continue
		}
		for i := range peak.TitleCount {
			for _, b := range p.holders[p.run.Site.Titles[peak.FirstTitle+i].Name] {
				p.stepDown(b, b.linkRate/2-p.headroom(b))
			}
		}
		return true
	}
	return false
}

// stepUp steps sessions up, at most one rung per session and round, in the order of gain per rate. The rate taken on a
// box in a round is limited to pacedStepUpShare of its headroom.
func (p *pacedSimulation) stepUp(now time.Duration) {
	for _, b := range p.boxes {
		allowed := pacedStepUpShare * p.headroom(b)
		type step struct {
			session    *pacedSession
			gain, rate float64
		}
		var steps []step
		for _, session := range b.sessions {
			if session.rung >= session.viewer.BestRung {
				continue
			}
			rate := p.rate(session.class, session.rung+1) - p.rate(session.class, session.rung)
			cost := p.run.Site.Notes.SwitchCost.Std().Seconds() * p.worth(session.class, session.rung+1)
			gain := (session.endAt - now).Seconds() *
				(p.worth(session.class, session.rung+1) - p.worth(session.class, session.rung))
			if gain > pacedMinGain*cost {
				steps = append(steps, step{session, gain / rate, rate})
			}
		}
		slices.SortStableFunc(steps, func(a, c step) int { return cmp.Compare(c.gain, a.gain) })
		for _, s := range steps {
			if s.rate > allowed {
				continue
			}
			allowed -= s.rate
			p.addRate(b, s.rate)
			s.session.rung++
			p.delivered -= p.run.Site.Notes.SwitchCost.Std().Seconds() * p.worth(s.session.class, s.session.rung)
		}
	}
}
