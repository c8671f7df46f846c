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
func (b *Box) freeCapacity() (link, streams float64) {
	return max(MaxUtilization*b.LinkCapacity*b.RampShare-b.LinkLoad, 0), max(b.MaxStreams*b.RampShare-b.ActiveSessions, 0)
}

// holds tells whether a box has a title.
func (b *Box) holdsCells(homeCell, cellSpan, cells int) bool {
	return cells <= 0 || ((b.Cell-homeCell)%cells+cells)%cells < cellSpan
}

// count is the demand within its seats.
func (f *Fleet) sessionsWithinSeats(d *Demand) float64 {
	n := max(d.Sessions, 0)
	if seats := f.Classes[d.Class].Seats; seats > 0 {
		n = min(n, float64(seats*max(f.Edges, 1)))
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
	lowest := math.Inf(1)
	for _, class := range f.Classes {
		for r := class.FloorRung + 1; r <= class.TopRung; r++ {
			lowest = min(lowest, class.Worth*(f.RungWorths[r]-f.RungWorths[r-1])/((f.Ladder[r]-f.Ladder[r-1])*class.RateFactor))
		}
	}
	return stepDownPriceFactor * lowest
}

// Wanted is a demand's count within its seats.
func (f *Fleet) SessionsWithinSeats(d *Demand) float64 { return f.sessionsWithinSeats(d) }

// CopyPrice is the worth of a kB that copying takes from viewers. Copies are lower effort and get what viewers
// leave, on two links; what they still cost is taken as a part that grows with how full links are.
func (f *Fleet) CopyPricePerKB() float64 {
	totalLoad, totalLink := 0.0, 0.0
	for _, b := range f.Boxes {
		totalLoad, totalLink = totalLoad+b.LinkLoad, totalLink+MaxUtilization*b.LinkCapacity
	}
	return 2 * copyImpactShare * f.stepDownPrice() * min(totalLoad/max(totalLink, 1e-9), 1)
}

// EvenRung is the rung that an hour's sessions would have if they and all that plays shared all links evenly.
func (f *Fleet) EvenShareRung(d *Demand) int {
	totalLink, sessions := 0.0, d.Sessions
	for _, b := range f.Boxes {
		totalLink, sessions = totalLink+MaxUtilization*b.LinkCapacity, sessions+b.ActiveSessions
	}
	class := f.Classes[d.Class]
	rung := class.FloorRung
	for rung < class.TopRung && f.sessionRate(d, rung+1) <= totalLink/max(sessions, 1) {
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
func (f *Fleet) buildPlan(demands []Demand, allocations []allocation, method string) *Plan {
	type key struct{ demand, box int }
	holds := map[key]*Hold{}
	plan := &Plan{By: method}
	for _, x := range allocations {
		if x.sessions < 1e-6 {
			continue
		}
		d := &demands[x.demand]
		k := key{x.demand, x.box}
		if holds[k] == nil {
			holds[k] = &Hold{Peak: d.Peak, Title: d.Title, Box: f.Boxes[x.box].ID, Class: d.Class}
		}
		holds[k].Rate += x.sessions * f.sessionRate(d, x.rung)
		holds[k].Streams += x.sessions
		plan.Value += x.sessions * f.sessionWorth(d, &f.Boxes[x.box]) * f.RungWorths[x.rung]
	}
	for _, h := range holds {
		plan.Holds = append(plan.Holds, *h)
	}
	slices.SortFunc(plan.Holds, func(a, b Hold) int {
		return cmp.Or(strings.Compare(a.Peak, b.Peak), strings.Compare(a.Title, b.Title), strings.Compare(a.Box, b.Box))
	})
	return plan
}

// left is what a greedy plan has still to give.
type remainingCapacity struct {
	links, streams, racks []float64
}

// Greedy is the plan to beat: demands by their worth, each shared out over its holders, those with most
// room first, all at their lowest rung, and then raised rung by rung while room is left. Nobody steps down.
func SolveGreedy(fleet *Fleet, demands []Demand) *Plan {
	remaining := remainingCapacity{racks: make([]float64, len(fleet.Uplinks))}
	for r, u := range fleet.Uplinks {
		if remaining.racks[r] = MaxUtilization * u; u <= 0 {
			remaining.racks[r] = math.Inf(1)
		}
	}
	for i := range fleet.Boxes {
		freeLink, freeStreams := fleet.Boxes[i].freeCapacity()
		remaining.links, remaining.streams = append(remaining.links, freeLink), append(remaining.streams, freeStreams)
		remaining.racks[fleet.Boxes[i].Rack] -= fleet.Boxes[i].LinkLoad
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[b].Worth, demands[a].Worth) })
	var allocations []allocation
	for _, d := range order {
		allocations = append(allocations, fleet.placeAtFloor(&demands[d], d, &remaining)...)
	}
	for _, d := range order {
		fleet.raiseRungs(&demands[d], d, allocations, &remaining)
	}
	return fleet.buildPlan(demands, allocations, "greedy")
}

// lowest places one session after the other at the holder with most room.
func (f *Fleet) placeAtFloor(demand *Demand, index int, remaining *remainingCapacity) (out []allocation) {
	allocationOfBox := map[int]int{}
	floor := f.Classes[demand.Class].FloorRung
	sessionRate := f.sessionRate(demand, floor)
	for unplaced := f.sessionsWithinSeats(demand); unplaced > 0; unplaced-- {
		amount, best := min(unplaced, 1), -1
		for b := range f.Boxes {
			box := &f.Boxes[b]
			if f.holdsTitle(demand, box) && remaining.links[b] >= amount*sessionRate && remaining.streams[b] >= amount && remaining.racks[box.Rack] >= amount*sessionRate &&
				(best < 0 || f.prefersBox(demand, box, &f.Boxes[best], remaining.links[b] > remaining.links[best])) {
				best = b
			}
		}
		if best < 0 {
			break
		}
		remaining.links[best], remaining.streams[best], remaining.racks[f.Boxes[best].Rack] = remaining.links[best]-amount*sessionRate, remaining.streams[best]-amount, remaining.racks[f.Boxes[best].Rack]-amount*sessionRate
		i, ok := allocationOfBox[best]
		if !ok {
			i = len(out)
			allocationOfBox[best], out = i, append(out, allocation{index, best, floor, 0})
		}
		out[i].sessions += amount
	}
	return out
}

// nearer tells whether box a is before b for a demand: those of its zone first, then by what else tells them apart.
func (f *Fleet) prefersBox(d *Demand, a, b *Box, otherwise bool) bool {
	if aInZone, bInZone := a.Zone == d.Zone, b.Zone == d.Zone; d.HasZone && f.CrossZoneCost > 0 && aInZone != bInZone {
		return aInZone
	}
	return otherwise
}

// raise moves all of a demand's sessions at a box up while there is room for all of them.
func (f *Fleet) raiseRungs(demand *Demand, index int, allocations []allocation, remaining *remainingCapacity) {
	for i := range allocations {
		placed := &allocations[i]
		for placed.demand == index && placed.rung < f.Classes[demand.Class].TopRung {
			extraRate := placed.sessions * (f.sessionRate(demand, placed.rung+1) - f.sessionRate(demand, placed.rung))
			if rack := f.Boxes[placed.box].Rack; extraRate > remaining.links[placed.box] || extraRate > remaining.racks[rack] {
				break
			} else {
				remaining.links[placed.box], remaining.racks[rack] = remaining.links[placed.box]-extraRate, remaining.racks[rack]-extraRate
			}
			placed.rung++
		}
	}
}
