package scenario

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rainpulley/internal/peaks"
)

// The paced oracle plays the day's arrivals by the design's own ways, least loaded holder and slow steps, but on
// true links, uplinks and loads that it knows at once, without faults, delays or set-up times. What it
// reaches is what a front could reach that knew everything about now and nothing about later: it pays for
// each change of rung, and moves nobody. Sessions that find no room come again, as viewers do.

const (
	pacedMaxUtilization = 0.98 // of true links, which are known exactly
	pacedStartShare     = 0.4  // of the room that one newcomer may take beyond its lowest rung
	pacedStepUpShare    = 0.4  // of the room that steps up take in each round, as the design paces them
	pacedTick           = 250 * time.Millisecond
	pacedRetryDelay     = 500 * time.Millisecond
	pacedMaxTries       = 5
	pacedMinGain        = 2.5 // a step must earn so many times what it costs
)

type pacedBox struct {
	id                              string
	rack                            int
	linkRate, streamSlots, usedRate float64
	sessions                        []*pacedSession
}

type pacedSession struct {
	arrival
	class, rung      int
	tries            int
	nextTryAt, endAt time.Duration
	box              *pacedBox
}

type pacedSimulation struct {
	run             *Run
	boxes           []*pacedBox
	uplinkRates     []float64
	usedUplinkRates []float64 // used
	delivered       float64
	asked           float64
	holders         map[string][]*pacedBox
	seatsTaken      map[[2]string]int
	leadTime        time.Duration // room is made so long before peaks
}

// Paced is the share of worth asked that the paced oracle delivers. With spread, the titles of peaks lie on
// every box: what copies could reach at the most.
func (r *Run) PacedShare(spread bool) float64 { return r.simulatePaced(spread, 0) }

// PacedAhead is the same where those playing step down ahead of peaks, so that half of each holder's link is free
// when they begin.
func (r *Run) PacedShareWithLead(spread bool, leadTime time.Duration) float64 {
	return r.simulatePaced(spread, leadTime)
}

func (r *Run) simulatePaced(spread bool, leadTime time.Duration) float64 {
	r.mu.Lock()
	arrivals := slices.Clone(r.arrivals)
	r.mu.Unlock()
	fleet := r.fleet.ActualFleet()
	sim := &pacedSimulation{run: r, usedUplinkRates: make([]float64, len(fleet.Uplinks)), holders: map[string][]*pacedBox{}, seatsTaken: map[[2]string]int{}, leadTime: leadTime}
	for _, uplink := range fleet.Uplinks { // True divides by what plans fill to
		sim.uplinkRates = append(sim.uplinkRates, uplink*peaks.MaxUtilization)
	}
	for i := range fleet.Boxes {
		b := &pacedBox{id: fleet.Boxes[i].ID, rack: fleet.Boxes[i].Rack, linkRate: fleet.Boxes[i].LinkCapacity * peaks.MaxUtilization, streamSlots: fleet.Boxes[i].MaxStreams}
		sim.boxes = append(sim.boxes, b)
		for _, title := range r.Site.Titles {
			if cells := fleet.Cells; spread && r.isPeakTitle(title.Name) || ((fleet.Boxes[i].Cell-title.Home)%cells+cells)%cells < title.Span {
				sim.holders[title.Name] = append(sim.holders[title.Name], b)
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	var waiting []*pacedSession
	lastEnd := time.Duration(0)
	for _, a := range arrivals {
		waiting = append(waiting, &pacedSession{arrival: a, class: a.viewer.Class, nextTryAt: a.arrivedAt, endAt: a.arrivedAt + a.viewer.SessionLength})
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

func (p *pacedSimulation) worth(class, rung int) float64 {
	return p.run.Site.Classes[class].Worth * p.run.Site.Ladder[rung].Worth
}

func (p *pacedSimulation) rate(class, rung int) float64 {
	return p.run.Site.Classes[class].RateFactor * float64(p.run.Site.Ladder[rung].Rate)
}

func (p *pacedSimulation) headroom(b *pacedBox) float64 {
	return min(pacedMaxUtilization*b.linkRate-b.usedRate, pacedMaxUtilization*p.uplinkRates[b.rack]-p.usedUplinkRates[b.rack])
}

func (p *pacedSimulation) addRate(b *pacedBox, delta float64) {
	b.usedRate, p.usedUplinkRates[b.rack] = b.usedRate+delta, p.usedUplinkRates[b.rack]+delta
}

func (p *pacedSimulation) addSeats(session *pacedSession, n int) {
	p.seatsTaken[[2]string{session.viewer.Title, p.run.Site.Classes[session.class].Name}] += n
}

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

// arrive places those whose time has come; those that find no room wait for another try.
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

func (p *pacedSimulation) admit(session *pacedSession) bool {
	class := p.run.Site.Classes[session.class]
	if class.Seats > 0 && p.seatsTaken[[2]string{session.viewer.Title, class.Name}] >= class.Seats*len(p.run.Site.Edges) {
		return false
	}
	floorRate := p.rate(session.class, class.Floor)
	var target *pacedBox
	for _, b := range p.holders[session.viewer.Title] {
		if float64(len(b.sessions)) < b.streamSlots && p.headroom(b) >= floorRate && (target == nil || b.usedRate/b.linkRate < target.usedRate/target.linkRate) {
			target = b
		}
	}
	if target == nil { // where others can step down for it
		for _, b := range p.holders[session.viewer.Title] {
			if float64(len(b.sessions)) < b.streamSlots && p.headroom(b)+p.reclaimableRate(b) >= floorRate && (target == nil || b.usedRate/b.linkRate < target.usedRate/target.linkRate) {
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

func (p *pacedSimulation) reclaimableRate(b *pacedBox) (rate float64) {
	for _, session := range b.sessions {
		rate += p.rate(session.class, session.rung) - p.rate(session.class, p.run.Site.Classes[session.class].Floor)
	}
	return rate
}

// stepDown frees a rate where it costs least for what it frees.
func (p *pacedSimulation) stepDown(b *pacedBox, needed float64) {
	for needed > 0 {
		var cheapest *pacedSession
		lowestLoss := math.Inf(1)
		for _, session := range b.sessions {
			if session.rung <= p.run.Site.Classes[session.class].Floor {
				continue
			}
			if loss := (p.worth(session.class, session.rung) - p.worth(session.class, session.rung-1)) / (p.rate(session.class, session.rung) - p.rate(session.class, session.rung-1)); loss < lowestLoss {
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

// free makes room ahead of peaks; false where none is near.
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

// climb takes steps up, one a session and round, those that gain most for what they take.
func (p *pacedSimulation) stepUp(now time.Duration) {
	for _, b := range p.boxes {
		allowed := pacedStepUpShare * p.headroom(b)
		type step struct {
			x        *pacedSession
			gain, kb float64
		}
		var steps []step
		for _, session := range b.sessions {
			if session.rung >= session.viewer.BestRung {
				continue
			}
			rate := p.rate(session.class, session.rung+1) - p.rate(session.class, session.rung)
			cost := p.run.Site.Notes.SwitchCost.Std().Seconds() * p.worth(session.class, session.rung+1)
			gain := (session.endAt - now).Seconds() * (p.worth(session.class, session.rung+1) - p.worth(session.class, session.rung))
			if gain > pacedMinGain*cost {
				steps = append(steps, step{session, gain / rate, rate})
			}
		}
		slices.SortStableFunc(steps, func(a, c step) int { return cmp.Compare(c.gain, a.gain) })
		for _, s := range steps {
			if s.kb > allowed {
				continue
			}
			allowed -= s.kb
			p.addRate(b, s.kb)
			s.x.rung++
			p.delivered -= p.run.Site.Notes.SwitchCost.Std().Seconds() * p.worth(s.x.class, s.x.rung)
		}
	}
}
