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
func (r *Run) PacedShareWithLead(spread bool, ahead time.Duration) float64 {
	return r.simulatePaced(spread, ahead)
}

func (r *Run) simulatePaced(spread bool, ahead time.Duration) float64 {
	r.mu.Lock()
	wants := slices.Clone(r.arrivals)
	r.mu.Unlock()
	f := r.fleet.ActualFleet()
	p := &pacedSimulation{run: r, usedUplinkRates: make([]float64, len(f.Uplinks)), holders: map[string][]*pacedBox{}, seatsTaken: map[[2]string]int{}, leadTime: ahead}
	for _, u := range f.Uplinks { // True divides by what plans fill to
		p.uplinkRates = append(p.uplinkRates, u*peaks.MaxUtilization)
	}
	for i := range f.Boxes {
		b := &pacedBox{id: f.Boxes[i].ID, rack: f.Boxes[i].Rack, linkRate: f.Boxes[i].LinkCapacity * peaks.MaxUtilization, streamSlots: f.Boxes[i].MaxStreams}
		p.boxes = append(p.boxes, b)
		for _, t := range r.Site.Titles {
			if n := f.Cells; spread && r.isPeakTitle(t.Name) || ((f.Boxes[i].Cell-t.Home)%n+n)%n < t.Span {
				p.holders[t.Name] = append(p.holders[t.Name], b)
			}
		}
	}
	slices.SortStableFunc(wants, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	var waiting []*pacedSession
	last := time.Duration(0)
	for _, w := range wants {
		waiting = append(waiting, &pacedSession{arrival: w, class: w.viewer.Class, nextTryAt: w.at, endAt: w.at + w.viewer.SessionLength})
		last = max(last, w.at+w.viewer.SessionLength)
		p.asked += w.viewer.SessionLength.Seconds() * p.worth(w.viewer.Class, w.viewer.BestRung)
	}
	every := max(r.Site.Notes.LinkEvery.D(), pacedTick)
	for now, round := time.Duration(0), time.Duration(0); now <= last; now += pacedTick {
		p.removeEnded(now)
		waiting = p.admitArrivals(waiting, now)
		if now >= round {
			round = now + every
			if !p.freeBeforePeaks(now) {
				p.stepUp(now)
			}
		}
		for _, b := range p.boxes {
			for _, x := range b.sessions {
				p.delivered += min(pacedTick, max(x.endAt-now, 0)).Seconds() * p.worth(x.class, x.rung)
			}
		}
	}
	if p.asked == 0 {
		return 0
	}
	return round(p.delivered / p.asked)
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

func (p *pacedSimulation) addRate(b *pacedBox, kb float64) {
	b.usedRate, p.usedUplinkRates[b.rack] = b.usedRate+kb, p.usedUplinkRates[b.rack]+kb
}

func (p *pacedSimulation) addSeats(x *pacedSession, n int) {
	p.seatsTaken[[2]string{x.viewer.Title, p.run.Site.Classes[x.class].Name}] += n
}

func (p *pacedSimulation) removeEnded(now time.Duration) {
	for _, b := range p.boxes {
		b.sessions = slices.DeleteFunc(b.sessions, func(x *pacedSession) bool {
			if x.endAt > now {
				return false
			}
			p.addRate(b, -p.rate(x.class, x.rung))
			p.addSeats(x, -1)
			return true
		})
	}
}

// arrive places those whose time has come; those that find no room wait for another try.
func (p *pacedSimulation) admitArrivals(waiting []*pacedSession, now time.Duration) []*pacedSession {
	return slices.DeleteFunc(waiting, func(x *pacedSession) bool {
		if x.nextTryAt > now {
			return false
		}
		if p.admit(x) {
			return true
		}
		x.tries++
		x.nextTryAt = now + pacedRetryDelay
		return x.tries >= pacedMaxTries || x.nextTryAt >= x.endAt
	})
}

func (p *pacedSimulation) admit(x *pacedSession) bool {
	k := p.run.Site.Classes[x.class]
	if k.Seats > 0 && p.seatsTaken[[2]string{x.viewer.Title, k.Name}] >= k.Seats*len(p.run.Site.Edges) {
		return false
	}
	low := p.rate(x.class, k.Floor)
	var best *pacedBox
	for _, b := range p.holders[x.viewer.Title] {
		if float64(len(b.sessions)) < b.streamSlots && p.headroom(b) >= low && (best == nil || b.usedRate/b.linkRate < best.usedRate/best.linkRate) {
			best = b
		}
	}
	if best == nil { // where others can step down for it
		for _, b := range p.holders[x.viewer.Title] {
			if float64(len(b.sessions)) < b.streamSlots && p.headroom(b)+p.reclaimableRate(b) >= low && (best == nil || b.usedRate/b.linkRate < best.usedRate/best.linkRate) {
				best = b
			}
		}
		if best == nil {
			return false
		}
		p.stepDown(best, low-p.headroom(best))
	}
	x.box, x.rung = best, k.Floor
	p.addRate(best, low)
	for x.rung < x.viewer.BestRung {
		step := p.rate(x.class, x.rung+1) - p.rate(x.class, x.rung)
		if step > pacedStartShare*p.headroom(best) {
			break
		}
		p.addRate(best, step)
		x.rung++
	}
	best.sessions = append(best.sessions, x)
	p.addSeats(x, 1)
	return true
}

func (p *pacedSimulation) reclaimableRate(b *pacedBox) (kb float64) {
	for _, x := range b.sessions {
		kb += p.rate(x.class, x.rung) - p.rate(x.class, p.run.Site.Classes[x.class].Floor)
	}
	return kb
}

// stepDown frees a rate where it costs least for what it frees.
func (p *pacedSimulation) stepDown(b *pacedBox, need float64) {
	for need > 0 {
		var least *pacedSession
		loss := math.Inf(1)
		for _, x := range b.sessions {
			if x.rung <= p.run.Site.Classes[x.class].Floor {
				continue
			}
			if l := (p.worth(x.class, x.rung) - p.worth(x.class, x.rung-1)) / (p.rate(x.class, x.rung) - p.rate(x.class, x.rung-1)); l < loss {
				least, loss = x, l
			}
		}
		if least == nil {
			return
		}
		freed := p.rate(least.class, least.rung) - p.rate(least.class, least.rung-1)
		p.addRate(b, -freed)
		need -= freed
		least.rung--
		p.delivered -= p.run.Site.Notes.SwitchCost.D().Seconds() * p.worth(least.class, least.rung)
	}
}

// free makes room ahead of peaks; false where none is near.
func (p *pacedSimulation) freeBeforePeaks(now time.Duration) bool {
	for _, k := range p.run.Script.Peaks {
		start := time.Duration(float64(k.Start.D()) / p.run.Speed)
		if p.leadTime <= 0 || now < start-p.leadTime || now >= start {
			continue
		}
		for i := range k.TitleCount {
			for _, b := range p.holders[p.run.Site.Titles[k.FirstTitle+i].Name] {
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
		for _, x := range b.sessions {
			if x.rung >= x.viewer.BestRung {
				continue
			}
			kb := p.rate(x.class, x.rung+1) - p.rate(x.class, x.rung)
			cost := p.run.Site.Notes.SwitchCost.D().Seconds() * p.worth(x.class, x.rung+1)
			gain := (x.endAt - now).Seconds() * (p.worth(x.class, x.rung+1) - p.worth(x.class, x.rung))
			if gain > pacedMinGain*cost {
				steps = append(steps, step{x, gain / kb, kb})
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
			p.delivered -= p.run.Site.Notes.SwitchCost.D().Seconds() * p.worth(s.x.class, s.x.rung)
		}
	}
}
