package peaks

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Box describes a box for a plan. Rates are in kB/s.
type Box struct {
	ID             string
	Rack           int
	Cell           int
	Zone           int
	LinkCapacity   float64 // rate that the link can carry
	MaxStreams     float64 // maximum number of concurrent streams
	LinkLoad       float64 // rate that sessions outside peaks request
	ActiveSessions float64 // number of those sessions
	RampShare      float64 // share of its capacity that a box may use while it ramps up after a start; 1: all
}

// Class describes a class of sessions for a plan.
type Class struct {
	RateFactor         float64 // ratio of its rates to those of the ladder
	FloorRung, TopRung int
	Worth              float64
	Seats              int // for one title at one edge; 0: no limit
}

// Fleet is the input of a plan. Boxes are those that may get new work.
type Fleet struct {
	Boxes           []Box
	Uplinks         []float64 // by rack; 0: no limit
	Cells           int
	Edges           int
	Ladder          []float64
	RungWorths      []float64
	Classes         []Class
	CrossZoneCost   float64 // share of a session's worth that is lost when it crosses zones
	NoCompetingLoad bool    // no other sessions need the capacity, so it has no price
}

// Demand is the expected demand for one title of a peak.
type Demand struct {
	Peak, Title        string
	Class              int
	HomeCell, CellSpan int
	Sessions           float64 // concurrent sessions
	Worth              float64
	Holders            []string // sorted IDs of the boxes that have the title; nil: the boxes of its cells
	HasZone            bool     // most of its viewers are in Zone
	Zone               int
	Offers             []CopyOffer // copies that the linear program may choose
}

// CopyOffer is a copy of a demand's title that may be made on a box, at a cost in worth per second.
type CopyOffer struct {
	Box  string
	Cost float64
}

// SelectedOffer is the fraction of an offered copy that the linear program takes.
type SelectedOffer struct {
	Demand, Offer int
	Part          float64
}

// holdsTitle reports whether a box has a demand's title.
func (f *Fleet) holdsTitle(d *Demand, b *Box) bool {
	if d.Holders == nil {
		return b.holdsCells(d.HomeCell, d.CellSpan, f.Cells)
	}
	_, ok := slices.BinarySearch(d.Holders, b.ID)
	return ok
}

// sessionWorth returns the worth of a second of a demand's session on a box at a rung of worth 1. It is lower where
// viewers cross zones.
func (f *Fleet) sessionWorth(d *Demand, b *Box) float64 {
	if d.HasZone && d.Zone != b.Zone {
		return d.Worth * (1 - f.CrossZoneCost)
	}
	return d.Worth
}

// offerIndex returns the index of a box among a demand's offers, or -1 if the box has the title or no offer.
func (f *Fleet) offerIndex(d *Demand, b *Box) int {
	if len(d.Offers) == 0 || f.holdsTitle(d, b) {
		return -1
	}
	return slices.IndexFunc(d.Offers, func(o CopyOffer) bool { return o.Box == b.ID })
}

// Hold is capacity on a box that is reserved for one title of a peak. Rate is in kB/s.
type Hold struct {
	Peak, Title, Box string
	Class            int
	Rate, Streams    float64
}

func (h Hold) key() Key { return Key{h.Peak, h.Title, h.Box} }

// Plan is a set of holds and its expected worth per second.
type Plan struct {
	Holds []Hold
	Value float64
	By    string // "lp" or "greedy"
	Took  time.Duration
	Buys  []SelectedOffer
	Net   float64 // objective of the linear program: Value minus the price of the capacity and the cost of copies
}

// Parameters of plans.
const (
	MaxUtilization      = 0.88 // share of links and uplinks that plans use, the same as the module uses
	maxStepDownShare    = 0.5  // maximum share of a box's link load that may step down for a hold
	copyImpactShare     = 0.1  // share of a copy's rate that viewers lose, because copies yield to them with a delay
	stepDownPriceFactor = 1.2  // cost of a kB/s taken from sessions relative to its worth: rung switches cost too
)

// freeCapacity returns the link rate that a plan may use without any session stepping down, and the free streams.
func (b *Box) freeCapacity() (link, streams float64) {
	return max(MaxUtilization*b.LinkCapacity*b.RampShare-b.LinkLoad, 0), max(b.MaxStreams*b.RampShare-b.ActiveSessions, 0)
}

// holdsCells reports whether a box's cell is one of the cellSpan cells from homeCell on.
func (b *Box) holdsCells(homeCell, cellSpan, cells int) bool {
	return cells <= 0 || ((b.Cell-homeCell)%cells+cells)%cells < cellSpan
}

// sessionsWithinSeats returns the sessions of a demand, limited by the seats of its class.
func (f *Fleet) sessionsWithinSeats(d *Demand) float64 {
	n := max(d.Sessions, 0)
	if seats := f.Classes[d.Class].Seats; seats > 0 {
		n = min(n, float64(seats*max(f.Edges, 1)))
	}
	return n
}

// sessionRate returns the rate in kB/s of a demand's session at a rung.
func (f *Fleet) sessionRate(d *Demand, rung int) float64 {
	return f.Ladder[rung] * f.Classes[d.Class].RateFactor
}

// stepDownPrice returns the price of a kB/s that playing sessions give up: the worth per kB/s of the cheapest step
// between two rungs, times stepDownPriceFactor.
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

// SessionsWithinSeats returns the sessions of a demand, limited by the seats of its class.
func (f *Fleet) SessionsWithinSeats(d *Demand) float64 { return f.sessionsWithinSeats(d) }

// CopyPricePerKB returns the worth that viewers lose per kB copied. Copies are transferred at a lower priority and use
// capacity that viewers leave, on two links. The remaining cost is modelled as a share that grows with the utilization
// of the links.
func (f *Fleet) CopyPricePerKB() float64 {
	totalLoad, totalLink := 0.0, 0.0
	for _, b := range f.Boxes {
		totalLoad, totalLink = totalLoad+b.LinkLoad, totalLink+MaxUtilization*b.LinkCapacity
	}
	return 2 * copyImpactShare * f.stepDownPrice() * min(totalLoad/max(totalLink, 1e-9), 1)
}

// EvenShareRung returns the rung of a demand's sessions if they and all playing sessions shared all links evenly.
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

// allocation is a number of sessions of a demand on a box at a rung, a variable of both kinds of plan.
type allocation struct {
	demand, box, rung int
	sessions          float64
}

// buildPlan combines allocations into a plan.
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

// remainingCapacity is the capacity that a greedy plan has not allocated yet: by box for links and streams, by rack for
// uplinks.
type remainingCapacity struct {
	links, streams, racks []float64
}

// SolveGreedy returns the baseline plan. Demands are placed in order of their worth, each on its holders with the most
// free capacity first, all at their lowest rung. Then they are raised rung by rung while capacity is left. No playing
// session steps down.
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

// placeAtFloor places the sessions of a demand one by one, each on the holder with the most free link capacity.
func (f *Fleet) placeAtFloor(demand *Demand, index int, remaining *remainingCapacity) (out []allocation) {
	allocationOfBox := map[int]int{}
	floor := f.Classes[demand.Class].FloorRung
	sessionRate := f.sessionRate(demand, floor)
	for unplaced := f.sessionsWithinSeats(demand); unplaced > 0; unplaced-- {
		amount, best := min(unplaced, 1), -1
		for b := range f.Boxes {
			box := &f.Boxes[b]
			if f.holdsTitle(demand, box) && remaining.links[b] >= amount*sessionRate &&
				remaining.streams[b] >= amount && remaining.racks[box.Rack] >= amount*sessionRate &&
				(best < 0 || f.prefersBox(demand, box, &f.Boxes[best], remaining.links[b] > remaining.links[best])) {
				best = b
			}
		}
		if best < 0 {
			break
		}
		remaining.links[best], remaining.streams[best], remaining.racks[f.Boxes[best].Rack] =
			remaining.links[best]-amount*sessionRate, remaining.streams[best]-amount,
			remaining.racks[f.Boxes[best].Rack]-amount*sessionRate
		i, ok := allocationOfBox[best]
		if !ok {
			i = len(out)
			allocationOfBox[best], out = i, append(out, allocation{index, best, floor, 0})
		}
		out[i].sessions += amount
	}
	return out
}

// prefersBox reports whether a demand prefers box a to box b: boxes of its zone first, otherwise by the given result.
func (f *Fleet) prefersBox(d *Demand, a, b *Box, otherwise bool) bool {
	if aInZone, bInZone := a.Zone == d.Zone, b.Zone == d.Zone; d.HasZone && f.CrossZoneCost > 0 && aInZone != bInZone {
		return aInZone
	}
	return otherwise
}

// raiseRungs raises all of a demand's sessions on a box together, as long as there is capacity for all of them.
func (f *Fleet) raiseRungs(demand *Demand, index int, allocations []allocation, remaining *remainingCapacity) {
	for i := range allocations {
		placed := &allocations[i]
		for placed.demand == index && placed.rung < f.Classes[demand.Class].TopRung {
			extraRate := placed.sessions * (f.sessionRate(demand, placed.rung+1) - f.sessionRate(demand, placed.rung))
			if rack := f.Boxes[placed.box].Rack; extraRate > remaining.links[placed.box] ||
				extraRate > remaining.racks[rack] {
				break
			} else {
				remaining.links[placed.box], remaining.racks[rack] = remaining.links[placed.box]-extraRate,
					remaining.racks[rack]-extraRate
			}
			placed.rung++
		}
	}
}
