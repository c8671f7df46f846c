package peaks

import (
	"fmt"
	"slices"
	"testing"
)

// newSmallFleet returns half-loaded boxes in one rack and two zones.
func newSmallFleet(boxes int) *Fleet {
	f := &Fleet{Uplinks: make([]float64, 1), Cells: boxes, Edges: 3, Ladder: []float64{260, 810, 2540},
		RungWorths: []float64{0.2, 0.6, 1},
		Classes:    []Class{{RateFactor: 1, TopRung: 2, Worth: 2}, {RateFactor: 1, TopRung: 2, Worth: 1}}}
	for i := range boxes {
		f.Boxes = append(f.Boxes, Box{ID: fmt.Sprint("b", i), Cell: i, Zone: i % 2, LinkCapacity: 10000, MaxStreams: 20,
			LinkLoad: 4000, ActiveSessions: 10, RampShare: 1})
	}
	return f
}

// Link capacity is never held, as it can be freed immediately. Streams are held if the peak needs all that are free and
// earns more than the sessions that it displaces.
func TestKeepProfitableHolds(t *testing.T) {
	for name, c := range map[string]struct {
		count, worth float64
		holds        bool
	}{"too few streams": {100, 2, true}, "enough streams": {10, 2, false}, "other sessions earn more": {100, 1, false}} {
		f := newSmallFleet(4)
		d := []Demand{{Peak: "p", Title: "t", CellSpan: 4, Sessions: c.count, Worth: c.worth}}
		p, err := SolveLP(f, d)
		if err != nil {
			t.Fatal(err)
		}
		got := KeepProfitableHolds(f, d, p)
		if (len(got.Holds) > 0) != c.holds || slices.ContainsFunc(got.Holds,
			func(h Hold) bool { return h.Rate != 0 || h.Streams <= 0 }) {
			t.Errorf("%s: kept holds %+v of %+v", name, got.Holds, p.Holds)
		}
	}
}

// Both solvers place a peak whose viewers are in one zone on the boxes of that zone as far as their capacity allows.
func TestPlansPreferViewerZone(t *testing.T) {
	f := newSmallFleet(4)
	f.CrossZoneCost = 0.1
	for _, count := range []float64{3, 60} {
		d := []Demand{{Peak: "p", Title: "t", CellSpan: 4, Sessions: count, Worth: 2, HasZone: true, Zone: 1}}
		p, err := SolveLP(f, d)
		if err != nil {
			t.Fatal(err)
		}
		for by, plan := range map[string]*Plan{"lp": p, "greedy": SolveGreedy(f, d)} {
			in, out := 0.0, 0.0
			for _, h := range plan.Holds {
				if h.Box == "b1" || h.Box == "b3" {
					in += h.Streams
				} else {
					out += h.Streams
				}
			}
			if count == 3 && out > 0.01 || count == 60 && (out < 1 || in < out-0.01) {
				t.Errorf("%s, %v sessions: %v in the zone, %v outside", by, count, in, out)
			}
		}
	}
}

// The linear program takes an offered copy if it earns more than it costs, and otherwise not.
func TestCopyOffers(t *testing.T) {
	f := newSmallFleet(4)
	for cost, want := range map[float64]bool{0.01: true, 1000: false} {
		d := []Demand{{Peak: "p", Title: "t", Sessions: 40, Worth: 2, Holders: []string{"b0"},
			Offers: []CopyOffer{{"b1", cost}, {"b2", cost}}}}
		p, err := SolveLP(f, d)
		if err != nil {
			t.Fatal(err)
		}
		used := slices.ContainsFunc(p.Holds, func(h Hold) bool { return h.Box != "b0" && h.Streams > 0.01 })
		if used != want || (len(p.Buys) > 0) != want || p.Net > p.Value {
			t.Errorf("cost %v: selected offers %v, holds %+v, net %v of %v", cost, p.Buys, p.Holds, p.Net, p.Value)
		}
	}
}
