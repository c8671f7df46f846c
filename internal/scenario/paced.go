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
	pacedFill  = 0.98 // of true links, which are known exactly
	pacedStart = 0.4  // of the room that one newcomer may take beyond its lowest rung
	pacedUp    = 0.4  // of the room that steps up take in each round, as the design paces them
	pacedTick  = 250 * time.Millisecond
	pacedAgain = 500 * time.Millisecond
	pacedTries = 5
	pacedGain  = 2.5 // a step must earn so many times what it costs
)

type pacedBox struct {
	id                  string
	rack                int
	link, streams, used float64
	held                []*pacedSession
}

type pacedSession struct {
	want
	class, rung int
	tries       int
	begin, end  time.Duration
	on          *pacedBox
}

type paced struct {
	r       *Run
	boxes   []*pacedBox
	uplinks []float64
	racks   []float64 // used
	got     float64
	asked   float64
	holders map[string][]*pacedBox
	seated  map[[2]string]int
	ahead   time.Duration // room is made so long before peaks
}

// Paced is the share of worth asked that the paced oracle delivers. With spread, the titles of peaks lie on
// every box: what copies could reach at the most.
func (r *Run) Paced(spread bool) float64 { return r.paced(spread, 0) }

// PacedAhead is the same where those playing step down ahead of peaks, so that half of each holder's link is free
// when they begin.
func (r *Run) PacedAhead(spread bool, ahead time.Duration) float64 { return r.paced(spread, ahead) }

func (r *Run) paced(spread bool, ahead time.Duration) float64 {
	r.mu.Lock()
	wants := slices.Clone(r.wants)
	r.mu.Unlock()
	f := r.fleet.ActualFleet()
	p := &paced{r: r, racks: make([]float64, len(f.Uplinks)), holders: map[string][]*pacedBox{}, seated: map[[2]string]int{}, ahead: ahead}
	for _, u := range f.Uplinks { // True divides by what plans fill to
		p.uplinks = append(p.uplinks, u*peaks.MaxUtilization)
	}
	for i := range f.Boxes {
		b := &pacedBox{id: f.Boxes[i].ID, rack: f.Boxes[i].Rack, link: f.Boxes[i].LinkCapacity * peaks.MaxUtilization, streams: f.Boxes[i].MaxStreams}
		p.boxes = append(p.boxes, b)
		for _, t := range r.Site.Titles {
			if n := f.Cells; spread && r.inPeak(t.Name) || ((f.Boxes[i].Cell-t.Home)%n+n)%n < t.Span {
				p.holders[t.Name] = append(p.holders[t.Name], b)
			}
		}
	}
	slices.SortStableFunc(wants, func(a, b want) int { return cmp.Compare(a.at, b.at) })
	var waiting []*pacedSession
	last := time.Duration(0)
	for _, w := range wants {
		waiting = append(waiting, &pacedSession{want: w, class: w.v.Class, begin: w.at, end: w.at + w.v.SessionLength})
		last = max(last, w.at+w.v.SessionLength)
		p.asked += w.v.SessionLength.Seconds() * p.worth(w.v.Class, w.v.BestRung)
	}
	every := max(r.Site.Notes.LinkEvery.D(), pacedTick)
	for now, round := time.Duration(0), time.Duration(0); now <= last; now += pacedTick {
		p.leave(now)
		waiting = p.arrive(waiting, now)
		if now >= round {
			round = now + every
			if !p.free(now) {
				p.climb(now)
			}
		}
		for _, b := range p.boxes {
			for _, x := range b.held {
				p.got += min(pacedTick, max(x.end-now, 0)).Seconds() * p.worth(x.class, x.rung)
			}
		}
	}
	if p.asked == 0 {
		return 0
	}
	return round(p.got / p.asked)
}

func (p *paced) worth(class, rung int) float64 {
	return p.r.Site.Classes[class].Worth * p.r.Site.Ladder[rung].Worth
}

func (p *paced) rate(class, rung int) float64 {
	return p.r.Site.Classes[class].RateFactor * float64(p.r.Site.Ladder[rung].Rate)
}

func (p *paced) room(b *pacedBox) float64 {
	return min(pacedFill*b.link-b.used, pacedFill*p.uplinks[b.rack]-p.racks[b.rack])
}

func (p *paced) use(b *pacedBox, kb float64) { b.used, p.racks[b.rack] = b.used+kb, p.racks[b.rack]+kb }

func (p *paced) seat(x *pacedSession, n int) {
	p.seated[[2]string{x.v.Title, p.r.Site.Classes[x.class].Name}] += n
}

func (p *paced) leave(now time.Duration) {
	for _, b := range p.boxes {
		b.held = slices.DeleteFunc(b.held, func(x *pacedSession) bool {
			if x.end > now {
				return false
			}
			p.use(b, -p.rate(x.class, x.rung))
			p.seat(x, -1)
			return true
		})
	}
}

// arrive places those whose time has come; those that find no room wait for another try.
func (p *paced) arrive(waiting []*pacedSession, now time.Duration) []*pacedSession {
	return slices.DeleteFunc(waiting, func(x *pacedSession) bool {
		if x.begin > now {
			return false
		}
		if p.place(x) {
			return true
		}
		x.tries++
		x.begin = now + pacedAgain
		return x.tries >= pacedTries || x.begin >= x.end
	})
}

func (p *paced) place(x *pacedSession) bool {
	k := p.r.Site.Classes[x.class]
	if k.Seats > 0 && p.seated[[2]string{x.v.Title, k.Name}] >= k.Seats*len(p.r.Site.Edges) {
		return false
	}
	low := p.rate(x.class, k.Floor)
	var best *pacedBox
	for _, b := range p.holders[x.v.Title] {
		if float64(len(b.held)) < b.streams && p.room(b) >= low && (best == nil || b.used/b.link < best.used/best.link) {
			best = b
		}
	}
	if best == nil { // where others can step down for it
		for _, b := range p.holders[x.v.Title] {
			if float64(len(b.held)) < b.streams && p.room(b)+p.spare(b) >= low && (best == nil || b.used/b.link < best.used/best.link) {
				best = b
			}
		}
		if best == nil {
			return false
		}
		p.stepDown(best, low-p.room(best))
	}
	x.on, x.rung = best, k.Floor
	p.use(best, low)
	for x.rung < x.v.BestRung {
		step := p.rate(x.class, x.rung+1) - p.rate(x.class, x.rung)
		if step > pacedStart*p.room(best) {
			break
		}
		p.use(best, step)
		x.rung++
	}
	best.held = append(best.held, x)
	p.seat(x, 1)
	return true
}

func (p *paced) spare(b *pacedBox) (kb float64) {
	for _, x := range b.held {
		kb += p.rate(x.class, x.rung) - p.rate(x.class, p.r.Site.Classes[x.class].Floor)
	}
	return kb
}

// stepDown frees a rate where it costs least for what it frees.
func (p *paced) stepDown(b *pacedBox, need float64) {
	for need > 0 {
		var least *pacedSession
		loss := math.Inf(1)
		for _, x := range b.held {
			if x.rung <= p.r.Site.Classes[x.class].Floor {
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
		p.use(b, -freed)
		need -= freed
		least.rung--
		p.got -= p.r.Site.Notes.SwitchCost.D().Seconds() * p.worth(least.class, least.rung)
	}
}

// free makes room ahead of peaks; false where none is near.
func (p *paced) free(now time.Duration) bool {
	for _, k := range p.r.Script.Peaks {
		start := time.Duration(float64(k.At.D()) / p.r.Speed)
		if p.ahead <= 0 || now < start-p.ahead || now >= start {
			continue
		}
		for i := range k.Titles {
			for _, b := range p.holders[p.r.Site.Titles[k.First+i].Name] {
				p.stepDown(b, b.link/2-p.room(b))
			}
		}
		return true
	}
	return false
}

// climb takes steps up, one a session and round, those that gain most for what they take.
func (p *paced) climb(now time.Duration) {
	for _, b := range p.boxes {
		allowed := pacedUp * p.room(b)
		type step struct {
			x        *pacedSession
			gain, kb float64
		}
		var steps []step
		for _, x := range b.held {
			if x.rung >= x.v.BestRung {
				continue
			}
			kb := p.rate(x.class, x.rung+1) - p.rate(x.class, x.rung)
			cost := p.r.Site.Notes.SwitchCost.D().Seconds() * p.worth(x.class, x.rung+1)
			gain := (x.end - now).Seconds() * (p.worth(x.class, x.rung+1) - p.worth(x.class, x.rung))
			if gain > pacedGain*cost {
				steps = append(steps, step{x, gain / kb, kb})
			}
		}
		slices.SortStableFunc(steps, func(a, c step) int { return cmp.Compare(c.gain, a.gain) })
		for _, s := range steps {
			if s.kb > allowed {
				continue
			}
			allowed -= s.kb
			p.use(b, s.kb)
			s.x.rung++
			p.got -= p.r.Site.Notes.SwitchCost.D().Seconds() * p.worth(s.x.class, s.x.rung)
		}
	}
}
