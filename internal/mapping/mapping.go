// Package mapping decides which boxes should hold which titles: permanently by the heuristic of the Double P-Tree paper
// (section 3.1), and before an announced peak by the expected demand of its viewers. It does no I/O, reads no clock,
// and returns the same placement for the same input.
package mapping

import (
	"cmp"
	"slices"
	"strings"
)

// Box describes a box for a placement. Rates are in kB/s, sizes in kB.
type Box struct {
	ID           string
	Zone         int
	Rack         int
	Cell         int
	LinkCapacity float64 // rate that the link can carry
	LinkLoad     float64 // rate that sessions request
	FreeStreams  float64 // further streams that the box can serve
	DiskCapacity float64 // disk space for titles in total
}

// Title describes a title for a placement.
type Title struct {
	Name   string
	Size   float64 // kB
	Demand float64 // kB/s that its viewers are expected to request
}

// Placement lists the holders of each title: sorted box IDs, by title.
type Placement map[string][]string

// Distances between two boxes as the paper defines them: the number of links that a session crosses. The paper's trees
// of proxies correspond to zones and racks here.
const (
	distanceSameBox   = 1 // the same box
	distanceSameRack  = 2
	distanceSameZone  = 3
	distanceOtherZone = 4
	distanceNoHolder  = 6 // no box holds the title yet: larger than any distance
)

// Distance returns the distance from viewers at one box to a title at another.
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

// Sequential is the paper's baseline placement: each box takes the next titles in order, starting over after the last,
// until its disk is full.
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

// Heuristic is the paper's placement: each box in turn takes the titles that are farthest from it, given the holders so
// far; among titles at the same distance, those with the highest demand. One rule goes beyond the paper: a title whose
// viewers request more than its holders' links can give keeps the distance of a title without holders, so that the
// most popular titles get copies in proportion to their demand (the paper leaves that to caches next to its mirrors).
func Heuristic(boxes []Box, titles []Title) Placement {
	placement := Placement{}
	share := demandShare(boxes, titles)
	supplied := make([]float64, len(titles)) // part of each title's demand that its holders supply
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
			return cmp.Or(cmp.Compare(effectiveDistance(y), effectiveDistance(x)), cmp.Compare(shortfall(y), shortfall(x)),
				cmp.Compare(titles[y].Demand, titles[x].Demand),
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

// demandShare returns the total demand as a share of all links. Each box is assumed to give its titles that share of
// its link.
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

// distributeLink divides a box's link evenly among the titles that it took, up to the shortfall of each.
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

// add makes a box a holder of a title.
func (p Placement) add(title, box string) {
	i, found := slices.BinarySearch(p[title], box)
	if !found {
		p[title] = slices.Insert(p[title], i, box)
	}
}

// Has reports whether a box holds a title.
func (p Placement) Has(title, box string) bool {
	_, ok := slices.BinarySearch(p[title], box)
	return ok
}

// MeanDistance is the paper's measure: the mean distance from every box to every title, weighted by demand.
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
