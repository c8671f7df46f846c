package scenario

import (
	"math/rand/v2"
	"testing"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/standin"
)

// newUnplayedRun returns a run with 180 generated arrivals, 60 of them for a peak, and no running processes: the input
// of the oracles.
func newUnplayedRun(t *testing.T, load float64) *Run {
	t.Helper()
	script, err := Parse("x", `{ boxes: 12, rate: 1, length: '120s', peaks: [{ titles: 1, class: 'round-play', at: '60s', length: '30s', rate: 2 }] }`)
	if err != nil {
		t.Fatal(err)
	}
	script.OfferedLoad = load
	site, err := makeSite(script, 1, &standin.PortAllocator{})
	if err != nil {
		t.Fatal(err)
	}
	r := &Run{Options: Options{Script: script, Seed: 1, Speed: 1}, Site: site, rnd: rand.New(rand.NewPCG(1, 1)),
		fleet: standin.NewFleet(site, audit.NewLog(), 1)}
	for i := range 180 {
		at := time.Duration(i) * time.Second
		viewer := r.newViewer()
		if i >= 120 { // viewers of the peak
			at = time.Duration(60+(i-120)/2) * time.Second
			viewer.Title, viewer.Class, viewer.BestRung = site.Titles[0].Name, 0, 4
		}
		r.arrivals = append(r.arrivals, arrival{arrivedAt: at, viewer: viewer, forPeak: i >= 120})
	}
	return r
}

// Within small tolerances, the paced oracle is at most the optimal oracle, which is at most the upper bound, and
// storing the peak's titles on every box lowers neither oracle. With ample links, the paced oracle loses only the time
// of its step-ups (share of at least 0.9); its share falls as the load rises. Repeated runs give the same share.
func TestOracleOrder(t *testing.T) {
	pacedByLoad := map[float64]float64{}
	for _, load := range []float64{0.05, 0.8, 3} {
		r := newUnplayedRun(t, load)
		paced, pacedSpread, bound := r.PacedShare(false), r.PacedShare(true), r.UpperBound()
		oracle, failed := r.OracleShare(false)
		oracleSpread, _ := r.OracleShare(true)
		if failed > 0 || paced > oracle+0.02 || oracle > bound+0.02 ||
			pacedSpread < paced-0.02 || oracleSpread < oracle-0.005 {
			t.Errorf("load %v: paced %v, with spread titles %v; oracle %v (%d samples failed), with spread titles %v; bound %v",
				load, paced, pacedSpread, oracle, failed, oracleSpread, bound)
		}
		pacedByLoad[load] = paced
		if r.PacedShare(false) != paced {
			t.Error("PacedShare returned a different share for the same arrivals")
		}
	}
	if pacedByLoad[0.05] < 0.9 || pacedByLoad[3] > pacedByLoad[0.8] || pacedByLoad[0.8] > pacedByLoad[0.05] {
		t.Errorf("paced share by load: %v; want at least 0.9 at load 0.05 and no rise with the load", pacedByLoad)
	}
}
