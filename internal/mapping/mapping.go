// Package mapping decides which boxes should hold which titles: at rest by the heuristic of the Double
// P-Tree paper (section 3.1), ahead of an announced hour by what its viewers will ask. It does no I/O,
// reads no clock, and gives the same map for the same input.
package mapping

import (
	"cmp"
	"slices"
	"strings"
)

// Box is what a map knows of a box. Rates in kB/s, sizes in kB.
type Box struct {
	ID           string
	Zone         int
	Rack         int
	Cell         int
	LinkCapacity float64 // what it gives
	LinkLoad     float64 // what is asked of it
	FreeStreams  float64 // left
	DiskCapacity float64 // for titles, in all
}

// Title is what a map knows of a title.
type Title struct {
	Name   string
	Size   float64 // kB
	Demand float64 // kB/s that its viewers are expected to ask
}

// Map is who holds what: boxes' ids, in order, by title.
type Placement map[string][]string

// Distances between two boxes, in the paper's sense: the links that a session crosses. Its proxies' trees
// are zones and racks here.
const (
	distanceSameBox   = 1 // the box itself
	distanceSameRack  = 2
	distanceSameZone  = 3
	distanceOtherZone = 4
	distanceNoHolder  = 6 // held by nobody yet: farther than any
)

// Distance from viewers at one box to a title at another.
func Distance(a, b *Box) int {
	switch {
	case a.ID == b.ID:
		return distanceSameBox
	case a.Rack == b.Rack:
		return distanceSameRack
	case a.Zone == b.Zone:
		return distanceSameZone
	}
	return distanceOtherZone
}

// Sequential is the paper's map to compare with: each box takes the next titles in their order, around
// and around, until its disk is full.
func Sequential(boxes []Box, titles []Title) Placement {
	m, next := Placement{}, 0
	for _, b := range boxes {
		disk, taken := b.DiskCapacity, 0
		for range titles {
			t := titles[next]
			if t.Size > disk || taken == len(titles) {
				break
			}
			m.add(t.Name, b.ID)
			disk, next, taken = disk-t.Size, (next+1)%len(titles), taken+1
		}
	}
	return m
}

// Heuristic is the paper's: box by box, those titles are taken that are farthest from the box, given what
// earlier boxes hold; of those equally far, the most wanted. Kept beyond the paper: a title whose viewers
// ask more than its holders' links give stays as far as one that nobody holds, so that the most wanted
// titles get copies by what is asked of them (the paper leaves that to caches beside its mirrors).
func Heuristic(boxes []Box, titles []Title) Placement {
	m := Placement{}
	share := demandShare(boxes, titles)
	given := make([]float64, len(titles)) // of what a title's viewers ask, what its holders give
	near := make([][]int, len(boxes))
	for i := range near {
		near[i] = make([]int, len(titles))
		for j := range titles {
			near[i][j] = distanceNoHolder
		}
	}
	order := make([]int, len(titles))
	for i := range boxes {
		b := &boxes[i]
		for j := range order {
			order[j] = j
		}
		far := func(j int) int {
			if given[j] < titles[j].Demand {
				return distanceNoHolder
			}
			return near[i][j]
		}
		lacks := func(j int) float64 { return titles[j].Demand - given[j] }
		slices.SortStableFunc(order, func(x, y int) int {
			return cmp.Or(cmp.Compare(far(y), far(x)), cmp.Compare(lacks(y), lacks(x)), cmp.Compare(titles[y].Demand, titles[x].Demand),
				strings.Compare(titles[x].Name, titles[y].Name))
		})
		disk, links := b.DiskCapacity, b.LinkCapacity*share
		var took []int
		for _, j := range order {
			if titles[j].Size <= disk {
				disk -= titles[j].Size
				took = append(took, j)
				m.add(titles[j].Name, b.ID)
			}
		}
		distributeLink(took, titles, given, links)
		for k := range boxes {
			d := Distance(&boxes[k], b)
			for _, j := range took {
				near[k][j] = min(near[k][j], d)
			}
		}
	}
	return m
}

// linkShare is the part of the links that all viewers together will use: a box is thought to give each of
// its titles a part of that.
func demandShare(boxes []Box, titles []Title) float64 {
	links, want := 0.0, 0.0
	for _, b := range boxes {
		links += b.LinkCapacity
	}
	for _, t := range titles {
		want += t.Demand
	}
	if links <= 0 {
		return 0
	}
	return want / links
}

// give shares a box's link among the titles that it took, as much as each still lacks, evenly.
func distributeLink(took []int, titles []Title, given []float64, link float64) {
	for left := len(took); left > 0 && link > 0; {
		part, filled := link/float64(left), 0
		for _, j := range took {
			if lack := titles[j].Demand - given[j]; lack > 0 && lack <= part {
				given[j], link, filled = titles[j].Demand, link-lack, filled+1
			}
		}
		if filled > 0 {
			left -= filled
			continue
		}
		for _, j := range took {
			if given[j] < titles[j].Demand {
				given[j] += part
			}
		}
		return
	}
}

func (m Placement) add(title, box string) {
	i, has := slices.BinarySearch(m[title], box)
	if !has {
		m[title] = slices.Insert(m[title], i, box)
	}
}

// Has tells whether a box holds a title.
func (m Placement) Has(title, box string) bool {
	_, ok := slices.BinarySearch(m[title], box)
	return ok
}

// MeanDistance is the paper's measure: from every box to every title, weighed by what is wanted.
func MeanDistance(boxes []Box, titles []Title, m Placement) float64 {
	sum, weight := 0.0, 0.0
	for _, t := range titles {
		for i := range boxes {
			best := distanceNoHolder
			for k := range boxes {
				if m.Has(t.Name, boxes[k].ID) {
					best = min(best, Distance(&boxes[i], &boxes[k]))
				}
			}
			sum, weight = sum+t.Demand*float64(best), weight+t.Demand
		}
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
