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
	placement, nextTitle := Placement{}, 0
	for _, b := range boxes {
		freeDisk, taken := b.DiskCapacity, 0
		for range titles {
			t := titles[nextTitle]
			if t.Size > freeDisk || taken == len(titles) {
				break
			}
			placement.add(t.Name, b.ID)
			freeDisk, nextTitle, taken = freeDisk-t.Size, (nextTitle+1)%len(titles), taken+1
		}
	}
	return placement
}

// Heuristic is the paper's: box by box, those titles are taken that are farthest from the box, given what
// earlier boxes hold; of those equally far, the most wanted. Kept beyond the paper: a title whose viewers
// ask more than its holders' links give stays as far as one that nobody holds, so that the most wanted
// titles get copies by what is asked of them (the paper leaves that to caches beside its mirrors).
func Heuristic(boxes []Box, titles []Title) Placement {
	placement := Placement{}
	share := demandShare(boxes, titles)
	supplied := make([]float64, len(titles)) // of what a title's viewers ask, what its holders give
	nearest := make([][]int, len(boxes))
	for i := range nearest {
		nearest[i] = make([]int, len(titles))
		for j := range titles {
			nearest[i][j] = distanceNoHolder
		}
	}
	order := make([]int, len(titles))
	for i := range boxes {
		b := &boxes[i]
		for j := range order {
			order[j] = j
		}
		effectiveDistance := func(j int) int {
			if supplied[j] < titles[j].Demand {
				return distanceNoHolder
			}
			return nearest[i][j]
		}
		shortfall := func(j int) float64 { return titles[j].Demand - supplied[j] }
		slices.SortStableFunc(order, func(x, y int) int {
			return cmp.Or(cmp.Compare(effectiveDistance(y), effectiveDistance(x)), cmp.Compare(shortfall(y), shortfall(x)), cmp.Compare(titles[y].Demand, titles[x].Demand),
				strings.Compare(titles[x].Name, titles[y].Name))
		})
		freeDisk, linkRate := b.DiskCapacity, b.LinkCapacity*share
		var taken []int
		for _, j := range order {
			if titles[j].Size <= freeDisk {
				freeDisk -= titles[j].Size
				taken = append(taken, j)
				placement.add(titles[j].Name, b.ID)
			}
		}
		distributeLink(taken, titles, supplied, linkRate)
		for k := range boxes {
			d := Distance(&boxes[k], b)
			for _, j := range taken {
				nearest[k][j] = min(nearest[k][j], d)
			}
		}
	}
	return placement
}

// linkShare is the part of the links that all viewers together will use: a box is thought to give each of
// its titles a part of that.
func demandShare(boxes []Box, titles []Title) float64 {
	links, demand := 0.0, 0.0
	for _, b := range boxes {
		links += b.LinkCapacity
	}
	for _, t := range titles {
		demand += t.Demand
	}
	if links <= 0 {
		return 0
	}
	return demand / links
}

// give shares a box's link among the titles that it took, as much as each still lacks, evenly.
func distributeLink(taken []int, titles []Title, supplied []float64, link float64) {
	for remaining := len(taken); remaining > 0 && link > 0; {
		share, filled := link/float64(remaining), 0
		for _, j := range taken {
			if shortfall := titles[j].Demand - supplied[j]; shortfall > 0 && shortfall <= share {
				supplied[j], link, filled = titles[j].Demand, link-shortfall, filled+1
			}
		}
		if filled > 0 {
			remaining -= filled
			continue
		}
		for _, j := range taken {
			if supplied[j] < titles[j].Demand {
				supplied[j] += share
			}
		}
		return
	}
}

func (m Placement) add(title, box string) {
	i, found := slices.BinarySearch(m[title], box)
	if !found {
		m[title] = slices.Insert(m[title], i, box)
	}
}

// Has tells whether a box holds a title.
func (m Placement) Has(title, box string) bool {
	_, ok := slices.BinarySearch(m[title], box)
	return ok
}

// MeanDistance is the paper's measure: from every box to every title, weighed by what is wanted.
func MeanDistance(boxes []Box, titles []Title, placement Placement) float64 {
	sum, weight := 0.0, 0.0
	for _, t := range titles {
		for i := range boxes {
			nearest := distanceNoHolder
			for k := range boxes {
				if placement.Has(t.Name, boxes[k].ID) {
					nearest = min(nearest, Distance(&boxes[i], &boxes[k]))
				}
			}
			sum, weight = sum+t.Demand*float64(nearest), weight+t.Demand
		}
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
