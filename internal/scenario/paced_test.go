package scenario

import (
	"math/rand/v2"
	"testing"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/standin"
)

// wanted is a day of which nothing is played: what the oracles see of it.
func wanted(t *testing.T, load float64) *Run {
	t.Helper()
	s, err := Parse("x", `{ boxes: 12, rate: 1, length: '120s', peaks: [{ titles: 1, class: 'round-play', at: '60s', length: '30s', rate: 2 }] }`)
	if err != nil {
		t.Fatal(err)
	}
	s.Load = load
	site, err := makeSite(s, 1, &standin.PortAllocator{})
	if err != nil {
		t.Fatal(err)
	}
	r := &Run{Options: Options{Script: s, Seed: 1, Speed: 1}, Site: site, rnd: rand.New(rand.NewPCG(1, 1)), fleet: standin.NewFleet(site, audit.NewLog(), 1)}
	for i := range 180 {
		at := time.Duration(i) * time.Second
		v := r.viewer()
		if i >= 120 { // the peak's
			at = time.Duration(60+(i-120)/2) * time.Second
			v.Title, v.Class, v.BestRung = site.Titles[0].Name, 0, 4
		}
		r.wants = append(r.wants, want{at: at, v: v, peak: i >= 120})
	}
	return r
}

// The oracles stand in their order: what is reached at the design's pace lies below what is planned anew at every
// moment, that below all links as one; the peak's titles on every box raise both. Where links are ample, all is
// reached but the climb; where they are scarce, little.
func TestOracles(t *testing.T) {
	got := map[float64]float64{}
	for _, load := range []float64{0.05, 0.8, 3} {
		r := wanted(t, load)
		rest, spread, bound := r.Paced(false), r.Paced(true), r.Bound()
		oracle, failed := r.Oracle(false)
		wide, _ := r.Oracle(true)
		if failed > 0 || rest > oracle+0.02 || oracle > bound+0.02 || spread < rest-0.02 || wide < oracle-0.005 {
			t.Errorf("load %v: paced %v, spread %v, oracle %v (%d failed), spread %v, bound %v", load, rest, spread, oracle, failed, wide, bound)
		}
		got[load] = rest
		if r.Paced(false) != rest {
			t.Error("another figure for the same day")
		}
	}
	if got[0.05] < 0.9 || got[3] > got[0.8] || got[0.8] > got[0.05] {
		t.Errorf("paced by load: %v", got)
	}
}
