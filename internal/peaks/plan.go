package peaks

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Box is what the plan knows of a box. Rates in kB/s.
type Box struct {
	ID             string
	Rack           int
	Cell           int
	Zone           int
	LinkCapacity   float64 // what it gives
	MaxStreams     float64 // at most
	LinkLoad       float64 // asked of the link by sessions that belong to no peak
	ActiveSessions float64 // such sessions
	RampShare      float64 // share of its capacity that a freshly started one has; 1: all
}

// Class is what the plan knows of a class.
type Class struct {
	RateFactor         float64 // its rates over those of the ladder
	FloorRung, TopRung int
	Worth              float64
	Seats              int // of one title at one edge; 0: no limit
}

// Fleet is what holds are planned on. Boxes are those that may get new work.
type Fleet struct {
	Boxes           []Box
	Uplinks         []float64 // by rack; 0: no limit
	Cells           int
	Edges           int
	Ladder          []float64
	RungWorths      []float64
	Classes         []Class
	CrossZoneCost   float64 // part of a session's worth that crossing zones costs
	NoCompetingLoad bool    // nobody else wants the room: it has no price
}

// Demand is what one title of a peak is expected to need.
type Demand struct {
	Peak, Title        string
	Class              int
	HomeCell, CellSpan int
	Sessions           float64 // sessions at once
	Worth              float64
	Holders            []string // boxes that have it, in order; nil: those of its cells
	HasZone            bool     // most of its viewers are in Zone
	Zone               int
	Offers             []CopyOffer // copies that the linear program may choose
}

// Offer is a copy of a demand's title that may be made at a box, at a cost in worth a second.
type CopyOffer struct {
	Box  string
	Cost float64
}

// Buy is the part of an offered copy that the linear program takes.
type SelectedOffer struct {
	Demand, Offer int
	Part          float64
}

// has tells whether a box has a demand's title.
func (f *Fleet) holdsTitle(d *Demand, b *Box) bool {
	if d.Holders == nil {
		return b.holdsCells(d.HomeCell, d.CellSpan, f.Cells)
	}
	_, ok := slices.BinarySearch(d.Holders, b.ID)
	return ok
}

// worth of a second of a demand's session at a box and rung of worth 1: less where its viewers cross zones.
func (f *Fleet) sessionWorth(d *Demand, b *Box) float64 {
	if d.HasZone && d.Zone != b.Zone {
		return d.Worth * (1 - f.CrossZoneCost)
	}
	return d.Worth
}

// offer is the place of a box among a demand's offers; -1 where it has the title, or none is offered there.
func (f *Fleet) offerIndex(d *Demand, b *Box) int {
	if len(d.Offers) == 0 || f.holdsTitle(d, b) {
		return -1
	}
	return slices.IndexFunc(d.Offers, func(o CopyOffer) bool { return o.Box == b.ID })
}

// Hold is room on a box for one title of a peak. Rate in kB/s.
type Hold struct {
	Peak, Title, Box string
	Class            int
	Rate, Streams    float64
}

// Plan is a set of holds with what it is thought to be worth, in worth a second.
type Plan struct {
	Holds []Hold
	Value float64
	By    string // "lp" or "greedy"
	Took  time.Duration
	Buys  []SelectedOffer
	Net   float64 // Value less what the room would earn others and what copies cost, of the linear program
}

const (
	MaxUtilization      = 0.88 // part of links and uplinks that plans fill, as the module fills them
	maxStepDownShare    = 0.5  // of what plays on a box may be asked to step down for a hold, at the most
	copyImpactShare     = 0.1  // of a copy's rate is felt by viewers all the same: yielding takes a moment
	stepDownPriceFactor = 1.2  // a kB/s taken from those playing costs so many times what it earned: switches cost too
)

// room is what a plan may use of a box's link without anyone stepping down, and of its streams.
func (b *Box) freeCapacity() (kb, streams float64) {
	return max(MaxUtilization*b.LinkCapacity*b.RampShare-b.LinkLoad, 0), max(b.MaxStreams*b.RampShare-b.ActiveSessions, 0)
}

// holds tells whether a box has a title.
func (b *Box) holdsCells(home, span, cells int) bool {
	return cells <= 0 || ((b.Cell-home)%cells+cells)%cells < span
}

// count is the demand within its seats.
func (f *Fleet) sessionsWithinSeats(d *Demand) float64 {
	n := max(d.Sessions, 0)
	if s := f.Classes[d.Class].Seats; s > 0 {
		n = min(n, float64(s*max(f.Edges, 1)))
	}
	return n
}

func (f *Fleet) sessionRate(d *Demand, rung int) float64 {
	return f.Ladder[rung] * f.Classes[d.Class].RateFactor
}

// stepPrice is the worth that a kB/s earns where those playing would give it up: the cheapest step.
func (f *Fleet) stepDownPrice() float64 {
	if f.NoCompetingLoad {
		return 0
	}
	least := math.Inf(1)
	for _, c := range f.Classes {
		for r := c.FloorRung + 1; r <= c.TopRung; r++ {
			least = min(least, c.Worth*(f.RungWorths[r]-f.RungWorths[r-1])/((f.Ladder[r]-f.Ladder[r-1])*c.RateFactor))
		}
	}
	return stepDownPriceFactor * least
}

// Wanted is a demand's count within its seats.
func (f *Fleet) SessionsWithinSeats(d *Demand) float64 { return f.sessionsWithinSeats(d) }

// CopyPrice is the worth of a kB that copying takes from viewers. Copies are lower effort and get what viewers
// leave, on two links; what they still cost is taken as a part that grows with how full links are.
func (f *Fleet) CopyPricePerKB() float64 {
	busy, links := 0.0, 0.0
	for _, b := range f.Boxes {
		busy, links = busy+b.LinkLoad, links+MaxUtilization*b.LinkCapacity
	}
	return 2 * copyImpactShare * f.stepDownPrice() * min(busy/max(links, 1e-9), 1)
}

// EvenRung is the rung that an hour's sessions would have if they and all that plays shared all links evenly.
func (f *Fleet) EvenShareRung(d *Demand) int {
	links, playing := 0.0, d.Sessions
	for _, b := range f.Boxes {
		links, playing = links+MaxUtilization*b.LinkCapacity, playing+b.ActiveSessions
	}
	k := f.Classes[d.Class]
	rung := k.FloorRung
	for rung < k.TopRung && f.sessionRate(d, rung+1) <= links/max(playing, 1) {
		rung++
	}
	return rung
}

// piece is a variable of both plans: sessions of a demand at a box and rung.
type allocation struct {
	demand, box, rung int
	sessions          float64
}

// collect makes a plan of pieces.
func (f *Fleet) buildPlan(demands []Demand, pieces []allocation, by string) *Plan {
	type key struct{ demand, box int }
	sums := map[key]*Hold{}
	p := &Plan{By: by}
	for _, x := range pieces {
		if x.sessions < 1e-6 {
			continue
		}
		d := &demands[x.demand]
		k := key{x.demand, x.box}
		if sums[k] == nil {
			sums[k] = &Hold{Peak: d.Peak, Title: d.Title, Box: f.Boxes[x.box].ID, Class: d.Class}
		}
		sums[k].Rate += x.sessions * f.sessionRate(d, x.rung)
		sums[k].Streams += x.sessions
		p.Value += x.sessions * f.sessionWorth(d, &f.Boxes[x.box]) * f.RungWorths[x.rung]
	}
	for _, h := range sums {
		p.Holds = append(p.Holds, *h)
	}
	slices.SortFunc(p.Holds, func(a, b Hold) int {
		return cmp.Or(strings.Compare(a.Peak, b.Peak), strings.Compare(a.Title, b.Title), strings.Compare(a.Box, b.Box))
	})
	return p
}

// left is what a greedy plan has still to give.
type remainingCapacity struct {
	links, streams, racks []float64
}

// Greedy is the plan to beat: demands by their worth, each shared out over its holders, those with most
// room first, all at their lowest rung, and then raised rung by rung while room is left. Nobody steps down.
func SolveGreedy(f *Fleet, demands []Demand) *Plan {
	l := remainingCapacity{racks: make([]float64, len(f.Uplinks))}
	for r, u := range f.Uplinks {
		if l.racks[r] = MaxUtilization * u; u <= 0 {
			l.racks[r] = math.Inf(1)
		}
	}
	for i := range f.Boxes {
		kb, n := f.Boxes[i].freeCapacity()
		l.links, l.streams = append(l.links, kb), append(l.streams, n)
		l.racks[f.Boxes[i].Rack] -= f.Boxes[i].LinkLoad
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[b].Worth, demands[a].Worth) })
	var pieces []allocation
	for _, d := range order {
		pieces = append(pieces, f.placeAtFloor(&demands[d], d, &l)...)
	}
	for _, d := range order {
		f.raiseRungs(&demands[d], d, pieces, &l)
	}
	return f.buildPlan(demands, pieces, "greedy")
}

// lowest places one session after the other at the holder with most room.
func (f *Fleet) placeAtFloor(dm *Demand, d int, l *remainingCapacity) (out []allocation) {
	at := map[int]int{}
	low := f.Classes[dm.Class].FloorRung
	kb := f.sessionRate(dm, low)
	for n := f.sessionsWithinSeats(dm); n > 0; n-- {
		one, best := min(n, 1), -1
		for b := range f.Boxes {
			x := &f.Boxes[b]
			if f.holdsTitle(dm, x) && l.links[b] >= one*kb && l.streams[b] >= one && l.racks[x.Rack] >= one*kb &&
				(best < 0 || f.prefersBox(dm, x, &f.Boxes[best], l.links[b] > l.links[best])) {
				best = b
			}
		}
		if best < 0 {
			break
		}
		l.links[best], l.streams[best], l.racks[f.Boxes[best].Rack] = l.links[best]-one*kb, l.streams[best]-one, l.racks[f.Boxes[best].Rack]-one*kb
		i, ok := at[best]
		if !ok {
			i = len(out)
			at[best], out = i, append(out, allocation{d, best, low, 0})
		}
		out[i].sessions += one
	}
	return out
}

// nearer tells whether box a is before b for a demand: those of its zone first, then by what else tells them apart.
func (f *Fleet) prefersBox(d *Demand, a, b *Box, other bool) bool {
	if in, was := a.Zone == d.Zone, b.Zone == d.Zone; d.HasZone && f.CrossZoneCost > 0 && in != was {
		return in
	}
	return other
}

// raise moves all of a demand's sessions at a box up while there is room for all of them.
func (f *Fleet) raiseRungs(dm *Demand, d int, pieces []allocation, l *remainingCapacity) {
	for i := range pieces {
		p := &pieces[i]
		for p.demand == d && p.rung < f.Classes[dm.Class].TopRung {
			need := p.sessions * (f.sessionRate(dm, p.rung+1) - f.sessionRate(dm, p.rung))
			if r := f.Boxes[p.box].Rack; need > l.links[p.box] || need > l.racks[r] {
				break
			} else {
				l.links[p.box], l.racks[r] = l.links[p.box]-need, l.racks[r]-need
			}
			p.rung++
		}
	}
}
