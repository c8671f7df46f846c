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

func newSpreadState(boxes []Box, disk map[string]float64, fill float64) *spreadState {
	s := &spreadState{boxes: boxes, indexByID: map[string]int{}}
	for i, b := range boxes {
		s.indexByID[b.ID] = i
		s.freeLink = append(s.freeLink, max(fill*b.LinkCapacity-b.LinkLoad, 0))
		s.freeStreams = append(s.freeStreams, max(b.FreeStreams, 0))
		s.freeDisk = append(s.freeDisk, disk[b.ID])
	}
	return s
}

// Spread is the greedy choice of copies, to beat and to fall back on. Each title's viewers are poured over
// its holders to an even level. While titles lack room, the one that lacks most worth gets a copy at the
// box with most room left, racks and zones with fewest holders of it first, if that is thought to earn
// more than copying costs. Disk is what boxes have free, in kB.
func GreedyCopies(boxes []Box, disk map[string]float64, hours []TitleDemand, b Bounds) []Copy {
	s := newSpreadState(boxes, disk, b.MaxUtilization)
	holders := make([][]int, len(hours))
	for i := range hours {
		for _, id := range hours[i].Holders {
			if k, ok := s.indexByID[id]; ok {
				holders[i] = append(holders[i], k)
			}
		}
	}
	var out []Copy
	made := make([]int, len(hours))
	closed := make([]bool, len(hours))
	for {
		lacks, rest := s.distribute(hours, holders)
		best, most := -1, 0.0
		for i := range hours {
			if worth := lacks[i] * worthPerKB(&hours[i]); !closed[i] && lacks[i] > 1e-6 && worth > most {
				best, most = i, worth
			}
		}
		if best < 0 || b.MaxCopies > 0 && len(out) >= b.MaxCopies {
			return out
		}
		h := &hours[best]
		k := s.chooseBox(h, holders[best], lacks[best], rest)
		cost := b.PricePerKB * h.Size
		if k < 0 || made[best] >= b.MaxCopiesPerTitle || len(holders[best]) == 0 || !finishesInTime(h, len(holders[best])-made[best], made[best]+1, b) {
			closed[best] = true
			continue
		}
		gain := min(lacks[best], rest[k]) * worthPerKB(h) * h.DurationSeconds
		if gain <= cost {
			closed[best] = true
			continue
		}
		s.freeDisk[k] -= h.Size
		holders[best] = append(holders[best], k)
		made[best]++
		out = append(out, Copy{h.Peak, h.Title, s.boxes[k].ID, gain, cost})
	}
}

// perKB is the worth that each kB earns.
func worthPerKB(h *TitleDemand) float64 { return h.Worth / max(h.Rate, 1e-9) }

// inTime tells whether so many copies can be whole by the hour, each new one being a source of more.
func finishesInTime(h *TitleDemand, sources, copies int, b Bounds) bool {
	if b.CopyRate <= 0 {
		return false
	}
	rounds := math.Ceil(math.Log2(float64(sources+copies) / float64(max(sources, 1))))
	return max(rounds, 1)*h.Size/b.CopyRate <= b.SecondsUntilPeak
}

// Of pouring.
const (
	distributionRounds = 16   // rounds of evening out
	minShortfallShare  = 0.03 // of what a title's viewers ask: less is no lack, as rounds leave some unevenness
)

// pour shares what each hour asks out over its holders so that boxes come to like levels: from shares by room,
// each round moves every title's viewers from its fuller holders to its emptier ones. It returns what each
// title lacks and what each box has left, in kB/s.
func (s *spreadState) distribute(hours []TitleDemand, holders [][]int) (lacks, rest []float64) {
	part := make([][]float64, len(hours)) // of an hour's rate, by holder
	for i, ks := range holders {
		part[i] = make([]float64, len(ks))
		for n, k := range ks {
			part[i][n] = s.usableRate(k, &hours[i])
		}
		normalize(part[i])
	}
	load := make([]float64, len(s.boxes))
	level := func(k int, h *TitleDemand) float64 { return load[k] / max(s.usableRate(k, h), 1e-6) }
	for round := range distributionRounds {
		clear(load)
		for i, ks := range holders {
			for n, k := range ks {
				load[k] += part[i][n] * hours[i].Rate
			}
		}
		if round == distributionRounds-1 {
			break
		}
		for i, ks := range holders {
			for n, k := range ks {
				part[i][n] /= max(level(k, &hours[i]), 1e-3)
			}
			normalize(part[i])
		}
	}
	lacks, rest = make([]float64, len(hours)), make([]float64, len(s.boxes))
	for i, ks := range holders {
		h := &hours[i]
		if len(ks) == 0 {
			lacks[i] = h.Rate
		}
		for n, k := range ks {
			if over := level(k, h); over > 1 {
				lacks[i] += part[i][n] * h.Rate * (1 - 1/over)
			}
		}
		if lacks[i] < minShortfallShare*h.Rate {
			lacks[i] = 0
		}
	}
	for k := range rest {
		rest[k] = max(s.freeLink[k]-load[k], 0)
	}
	return lacks, rest
}

// can is what a box may give an hour's viewers, by its link and its streams.
func (s *spreadState) usableRate(k int, h *TitleDemand) float64 {
	return min(s.freeLink[k], s.freeStreams[k]*h.Rate/max(h.Sessions, 1))
}

// even scales parts to a sum of 1; where all are nothing, they become alike.
func normalize(parts []float64) {
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	for n := range parts {
		if sum > 0 {
			parts[n] /= sum
		} else {
			parts[n] = 1 / float64(len(parts))
		}
	}
}

// target is the box for a title's next copy: in the rack with fewest holders of it, that with most room. A box
// whose room would hardly serve one session is none.
func (s *spreadState) chooseBox(h *TitleDemand, holders []int, lack float64, rest []float64) int {
	racks := map[int]int{}
	for _, k := range holders {
		racks[s.boxes[k].Rack]++
	}
	one := h.Rate / max(h.Sessions, 1)
	best := -1
	better := func(a, c int) bool {
		x, y := &s.boxes[a], &s.boxes[c]
		if inA, inC := x.Zone == h.Zone, y.Zone == h.Zone; h.Zone >= 0 && inA != inC {
			return inA
		}
		if racks[x.Rack] != racks[y.Rack] {
			return racks[x.Rack] < racks[y.Rack]
		}
		return rest[a] > rest[c]
	}
	for k := range s.boxes {
		if rest[k] < min(one, lack) || s.freeStreams[k] < 1 || s.freeDisk[k] < h.Size || slices.Contains(holders, k) {
			continue
		}
		if best < 0 || better(k, best) {
			best = k
		}
	}
	return best
}
