package mapping

import (
	"math"
	"slices"
)

// TitleDemand is the expected demand for one title of an announced peak, and the title's holders.
type TitleDemand struct {
	Peak, Title     string
	Size            float64 // kB
	Rate            float64 // kB/s that all its viewers request together at the target rung
	Sessions        float64 // concurrent sessions
	Worth           float64 // total worth per second
	DurationSeconds float64 // duration of the peak in seconds, from its first viewer to its last
	Zone            int     // zone of most of its viewers; -1: all zones
	Holders         []string
}

// Copy is a copy to be made.
type Copy struct {
	Peak, Title, Box string
	Gain             float64 // worth that it is expected to earn during the peak
	Cost             float64 // worth that sessions playing during the transfer lose
}

// Bounds limits a choice of copies.
type Bounds struct {
	MaxUtilization    float64 // share of a link that plans use
	PricePerKB        float64 // worth that viewers lose per kB copied
	MaxCopiesPerTitle int     // at most, for one title
	MaxCopies         int     // at most, for all titles together; 0: no limit
	CopyRate          float64 // kB/s at which one copy can be made; decides which copies are complete in time
	SecondsUntilPeak  float64 // seconds until the peak starts
}

// spreadState is the capacity that each box has left during a choice of copies.
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

// GreedyCopies returns the greedy choice of copies, the baseline and the fallback of the linear program. It distributes
// each title's viewers over its holders so that they are evenly utilized. While titles have a shortfall, the one that
// loses the most worth gets a copy if that is expected to earn more than the copying costs. The copy goes to the box
// with the largest available capacity, in the viewers' zone and in racks with the fewest holders of the title first.
// freeDisk is the free disk space of the boxes in kB.
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
		if box < 0 || copiesMade[best] >= bounds.MaxCopiesPerTitle || len(holders[best]) == 0 ||
			!finishesInTime(demand, len(holders[best])-copiesMade[best], copiesMade[best]+1, bounds) {
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

// worthPerKB returns the worth that each kB earns.
func worthPerKB(demand *TitleDemand) float64 { return demand.Worth / max(demand.Rate, 1e-9) }

// finishesInTime reports whether the given number of copies can be complete before the peak starts. Each new copy is
// also a source for further ones.
func finishesInTime(demand *TitleDemand, sources, copies int, bounds Bounds) bool {
	if bounds.CopyRate <= 0 {
		return false
	}
	rounds := math.Ceil(math.Log2(float64(sources+copies) / float64(max(sources, 1))))
	return max(rounds, 1)*demand.Size/bounds.CopyRate <= bounds.SecondsUntilPeak
}

// Constants of distribute.
const (
	distributionRounds = 16   // rounds of evening out the utilization
	minShortfallShare  = 0.03 // share of a title's demand: less is ignored, as the rounds leave some imbalance
)

// distribute divides each title's demand among its holders so that the utilization of the boxes becomes similar. It
// starts with shares in proportion to the usable rates; each round moves viewers of every title from its more utilized
// holders to its less utilized ones. It returns the shortfall of each title and the spare rate of each box, in kB/s.
func (s *spreadState) distribute(demands []TitleDemand, holders [][]int) (shortfalls, spare []float64) {
	shares := make([][]float64, len(demands)) // shares of a title's rate, by holder
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

// usableRate returns the rate that a box can give a title's viewers within its free link rate and its free streams.
func (s *spreadState) usableRate(box int, demand *TitleDemand) float64 {
	return min(s.freeLink[box], s.freeStreams[box]*demand.Rate/max(demand.Sessions, 1))
}

// normalize scales shares to a sum of 1. If all are 0, they become equal.
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

// chooseBox returns the box for a title's next copy, or -1. Boxes in the viewers' zone come first, then those in the
// racks with the fewest holders of the title, then those with the largest spare rate. A box that could not serve at
// least one session is skipped.
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
		if spare[box] < min(sessionRate, shortfall) || s.freeStreams[box] < 1 || s.freeDisk[box] < demand.Size ||
			slices.Contains(holders, box) {
			continue
		}
		if best < 0 || better(box, best) {
			best = box
		}
	}
	return best
}
