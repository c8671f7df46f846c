package mapping

import (
	"math"
	"slices"
)

// Hour is what one title of an announced hour will ask, and where it lies.
type TitleDemand struct {
	Peak, Title     string
	Size            float64 // kB
	Rate            float64 // kB/s that all its viewers ask together, at the rung that is aimed for
	Sessions        float64 // sessions at once
	Worth           float64 // earned a second, in all
	DurationSeconds float64 // seconds that the hour lasts, from its first viewer to its last
	Zone            int     // of most of its viewers; -1: of all
	Holders         []string
}

// Copy is a copy that should be made.
type Copy struct {
	Peak, Title, Box string
	Gain             float64 // worth that it is thought to earn over the hour
	Cost             float64 // worth that copying it takes from those who play meanwhile
}

// Bounds of a spread.
type Bounds struct {
	MaxUtilization    float64 // part of a link that plans fill
	PricePerKB        float64 // worth of a kB that viewers would have had
	MaxCopiesPerTitle int     // at most, of one title
	MaxCopies         int     // at most, of all titles; 0: no limit
	CopyRate          float64 // kB/s at which one copy can be made: says what can be whole in time
	SecondsUntilPeak  float64 // seconds until the hour
}

// state of a spread: what each box has left.
type spreadState struct {
	boxes       []Box
	indexByID   map[string]int
	freeLink    []float64
	freeStreams []float64
	freeDisk    []float64
}

func newSpreadState(boxes []Box, freeDisk map[string]float64, maxUtilization float64) *spreadState {
	s := &spreadState{boxes: boxes, indexByID: map[string]int{}}
	for i, b := range boxes {
		s.indexByID[b.ID] = i
		s.freeLink = append(s.freeLink, max(maxUtilization*b.LinkCapacity-b.LinkLoad, 0))
		s.freeStreams = append(s.freeStreams, max(b.FreeStreams, 0))
		s.freeDisk = append(s.freeDisk, freeDisk[b.ID])
	}
	return s
}

// Spread is the greedy choice of copies, to beat and to fall back on. Each title's viewers are poured over
// its holders to an even level. While titles lack room, the one that lacks most worth gets a copy at the
// box with most room left, racks and zones with fewest holders of it first, if that is thought to earn
// more than copying costs. Disk is what boxes have free, in kB.
func GreedyCopies(boxes []Box, freeDisk map[string]float64, demands []TitleDemand, bounds Bounds) []Copy {
	state := newSpreadState(boxes, freeDisk, bounds.MaxUtilization)
	holders := make([][]int, len(demands))
	for i := range demands {
		for _, id := range demands[i].Holders {
			if box, ok := state.indexByID[id]; ok {
				holders[i] = append(holders[i], box)
			}
		}
	}
	var out []Copy
	copiesMade := make([]int, len(demands))
	settled := make([]bool, len(demands))
	for {
		shortfalls, spare := state.distribute(demands, holders)
		best, bestWorth := -1, 0.0
		for i := range demands {
			if worth := shortfalls[i] * worthPerKB(&demands[i]); !settled[i] && shortfalls[i] > 1e-6 && worth > bestWorth {
				best, bestWorth = i, worth
			}
		}
		if best < 0 || bounds.MaxCopies > 0 && len(out) >= bounds.MaxCopies {
			return out
		}
		demand := &demands[best]
		box := state.chooseBox(demand, holders[best], shortfalls[best], spare)
		cost := bounds.PricePerKB * demand.Size
		if box < 0 || copiesMade[best] >= bounds.MaxCopiesPerTitle || len(holders[best]) == 0 || !finishesInTime(demand, len(holders[best])-copiesMade[best], copiesMade[best]+1, bounds) {
			settled[best] = true
			continue
		}
		gain := min(shortfalls[best], spare[box]) * worthPerKB(demand) * demand.DurationSeconds
		if gain <= cost {
			settled[best] = true
			continue
		}
		state.freeDisk[box] -= demand.Size
		holders[best] = append(holders[best], box)
		copiesMade[best]++
		out = append(out, Copy{demand.Peak, demand.Title, state.boxes[box].ID, gain, cost})
	}
}

// perKB is the worth that each kB earns.
func worthPerKB(demand *TitleDemand) float64 { return demand.Worth / max(demand.Rate, 1e-9) }

// inTime tells whether so many copies can be whole by the hour, each new one being a source of more.
func finishesInTime(demand *TitleDemand, sources, copies int, bounds Bounds) bool {
	if bounds.CopyRate <= 0 {
		return false
	}
	rounds := math.Ceil(math.Log2(float64(sources+copies) / float64(max(sources, 1))))
	return max(rounds, 1)*demand.Size/bounds.CopyRate <= bounds.SecondsUntilPeak
}

// Of pouring.
const (
	distributionRounds = 16   // rounds of evening out
	minShortfallShare  = 0.03 // of what a title's viewers ask: less is no lack, as rounds leave some unevenness
)

// pour shares what each hour asks out over its holders so that boxes come to like levels: from shares by room,
// each round moves every title's viewers from its fuller holders to its emptier ones. It returns what each
// title lacks and what each box has left, in kB/s.
func (s *spreadState) distribute(demands []TitleDemand, holders [][]int) (shortfalls, spare []float64) {
	shares := make([][]float64, len(demands)) // of an hour's rate, by holder
	for i, boxes := range holders {
		shares[i] = make([]float64, len(boxes))
		for n, box := range boxes {
			shares[i][n] = s.usableRate(box, &demands[i])
		}
		normalize(shares[i])
	}
	load := make([]float64, len(s.boxes))
	utilization := func(box int, demand *TitleDemand) float64 { return load[box] / max(s.usableRate(box, demand), 1e-6) }
	for round := range distributionRounds {
		clear(load)
		for i, boxes := range holders {
			for n, box := range boxes {
				load[box] += shares[i][n] * demands[i].Rate
			}
		}
		if round == distributionRounds-1 {
			break
		}
		for i, boxes := range holders {
			for n, box := range boxes {
				shares[i][n] /= max(utilization(box, &demands[i]), 1e-3)
			}
			normalize(shares[i])
		}
	}
	shortfalls, spare = make([]float64, len(demands)), make([]float64, len(s.boxes))
	for i, boxes := range holders {
		demand := &demands[i]
		if len(boxes) == 0 {
			shortfalls[i] = demand.Rate
		}
		for n, box := range boxes {
			if ratio := utilization(box, demand); ratio > 1 {
				shortfalls[i] += shares[i][n] * demand.Rate * (1 - 1/ratio)
			}
		}
		if shortfalls[i] < minShortfallShare*demand.Rate {
			shortfalls[i] = 0
		}
	}
	for box := range spare {
		spare[box] = max(s.freeLink[box]-load[box], 0)
	}
	return shortfalls, spare
}

// can is what a box may give an hour's viewers, by its link and its streams.
func (s *spreadState) usableRate(box int, demand *TitleDemand) float64 {
	return min(s.freeLink[box], s.freeStreams[box]*demand.Rate/max(demand.Sessions, 1))
}

// even scales parts to a sum of 1; where all are nothing, they become alike.
func normalize(shares []float64) {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	for n := range shares {
		if sum > 0 {
			shares[n] /= sum
		} else {
			shares[n] = 1 / float64(len(shares))
		}
	}
}

// target is the box for a title's next copy: in the rack with fewest holders of it, that with most room. A box
// whose room would hardly serve one session is none.
func (s *spreadState) chooseBox(demand *TitleDemand, holders []int, shortfall float64, spare []float64) int {
	holdersByRack := map[int]int{}
	for _, box := range holders {
		holdersByRack[s.boxes[box].Rack]++
	}
	sessionRate := demand.Rate / max(demand.Sessions, 1)
	best := -1
	better := func(a, c int) bool {
		x, y := &s.boxes[a], &s.boxes[c]
		if inA, inC := x.Zone == demand.Zone, y.Zone == demand.Zone; demand.Zone >= 0 && inA != inC {
			return inA
		}
		if holdersByRack[x.Rack] != holdersByRack[y.Rack] {
			return holdersByRack[x.Rack] < holdersByRack[y.Rack]
		}
		return spare[a] > spare[c]
	}
	for box := range s.boxes {
		if spare[box] < min(sessionRate, shortfall) || s.freeStreams[box] < 1 || s.freeDisk[box] < demand.Size || slices.Contains(holders, box) {
			continue
		}
		if best < 0 || better(box, best) {
			best = box
		}
	}
	return best
}
