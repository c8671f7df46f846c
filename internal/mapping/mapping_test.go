package mapping

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rainpulley/internal/peaks"
)

// newTestFleet returns boxes in racks and zones, and titles with a demand by Zipf's law. Each disk has space for the
// given part of the titles.
func newTestFleet(boxes, titles int, zipf, diskShare float64) ([]Box, []Title) {
	var bs []Box
	var ts []Title
	sum := 0.0
	for i := range titles {
		sum += 1 / math.Pow(float64(i+1), zipf)
	}
	links := 0.0
	for i := range boxes {
		b := Box{ID: fmt.Sprintf("b%03d", i), Zone: i % 3, Rack: i / 4, Cell: i,
			LinkCapacity: float64(4000 + 2000*(i%3)), FreeStreams: 40, DiskCapacity: diskShare * float64(titles) * 100}
		links += b.LinkCapacity
		bs = append(bs, b)
	}
	for i := range titles {
		ts = append(ts, Title{Name: fmt.Sprintf("t%03d", i), Size: 100,
			Demand: 0.8 * links / math.Pow(float64(i+1), zipf) / sum})
	}
	return bs, ts
}

// Both placements fill the disks and never exceed them, and the heuristic has a smaller mean distance than the
// sequential placement, as in Table 1 of the paper.
func TestPlacementsOfDoublePTreePaper(t *testing.T) {
	for _, zipf := range []float64{0.7, 0.8, 1} {
		boxes, titles := newTestFleet(63, 100, zipf, 0.2)
		sequential, heuristic := Sequential(boxes, titles), Heuristic(boxes, titles)
		for name, m := range map[string]Placement{"sequential": sequential, "heuristic": heuristic} {
			used := map[string]float64{}
			for _, x := range titles {
				if len(m[x.Name]) == 0 {
					t.Errorf("%s: %s has no holder", name, x.Name)
				}
				for _, b := range m[x.Name] {
					used[b] += x.Size
				}
			}
			for _, b := range boxes {
				if used[b.ID] > b.DiskCapacity || used[b.ID] < b.DiskCapacity-100 {
					t.Errorf("%s: the disk of %s holds %v kB of %v kB", name, b.ID, used[b.ID], b.DiskCapacity)
				}
			}
		}
		far, near := MeanDistance(boxes, titles, sequential), MeanDistance(boxes, titles, heuristic)
		if near >= far {
			t.Errorf("Zipf %v: mean distance %.3f with the heuristic, %.3f with the sequential placement", zipf, near, far)
		}
		t.Logf("Zipf %v: mean distance %.3f with the sequential placement, %.3f with the heuristic", zipf, far, near)
	}
}

// newTitleDemands returns the demands of peakCount peaks with the given number of titles each, with span holders per
// title, in the types of both packages, and their fleet.
func newTitleDemands(boxes []Box, peakCount, titles int, span int,
	rate float64) ([]TitleDemand, []peaks.Demand, *peaks.Fleet) {
	f := &peaks.Fleet{Uplinks: make([]float64, len(boxes)/4+1), Cells: len(boxes), Edges: 300,
		Ladder:     []float64{260, 460, 810, 1440, 2540},
		RungWorths: []float64{0.17, 0.41, 0.61, 0.81, 1},
		Classes:    []peaks.Class{{RateFactor: 1.2, TopRung: 4, Worth: 2}, {RateFactor: 0.7, TopRung: 3, Worth: 1}}}
	for _, b := range boxes {
		f.Boxes = append(f.Boxes, peaks.Box{ID: b.ID, Rack: b.Rack, Cell: b.Cell, LinkCapacity: b.LinkCapacity,
			MaxStreams: 30, LinkLoad: b.LinkLoad, ActiveSessions: 5, RampShare: 1})
	}
	var titleDemands []TitleDemand
	var demands []peaks.Demand
	for p := range peakCount {
		for i := range titles {
			d := peaks.Demand{Peak: fmt.Sprint("p", p), Title: fmt.Sprintf("t%d-%d", p, i), Sessions: rate, Worth: 2}
			for k := range span {
				d.Holders = append(d.Holders, boxes[(p*29+i*5+k)%len(boxes)].ID)
			}
			slices.Sort(d.Holders)
			r := f.EvenShareRung(&d)
			titleDemands = append(titleDemands, TitleDemand{Peak: d.Peak, Title: d.Title, Size: 360_000,
				Rate: rate * f.Ladder[r] * 1.2, Sessions: rate, Worth: rate * 2 * f.RungWorths[r],
				DurationSeconds: 90, Zone: -1, Holders: d.Holders})
			demands = append(demands, d)
		}
	}
	return titleDemands, demands, f
}

func bounds() Bounds {
	return Bounds{MaxUtilization: 0.88, PricePerKB: 1e-4, MaxCopiesPerTitle: 32, CopyRate: 2500, SecondsUntilPeak: 600}
}

func disks(boxes []Box) map[string]float64 {
	out := map[string]float64{}
	for _, b := range boxes {
		out[b.ID] = 1e6
	}
	return out
}

// A peak whose holders lack capacity gets copies and is worth more with them. There are no copies if the holders have
// enough capacity, the peak starts too soon, copies cost more than they earn, disks are full, or the budget is spent.
func TestChooseCopies(t *testing.T) {
	boxes, _ := newTestFleet(48, 1, 1, 1)
	for i := range boxes {
		boxes[i].LinkLoad = boxes[i].LinkCapacity / 2
	}
	titleDemands, demands, f := newTitleDemands(boxes, 1, 3, 4, 40)
	full := ChooseCopies(f, demands, titleDemands, boxes, disks(boxes), bounds(), "lp", time.Now, time.Minute)
	if len(full.Copies) == 0 || full.BestValue <= full.NoCopiesValue || full.BestValue < full.GreedyValue {
		t.Errorf("choice %+v", full)
	}
	again := ChooseCopies(f, demands, titleDemands, boxes, disks(boxes), bounds(), "lp", time.Now, time.Minute)
	if !slices.Equal(again.Copies, full.Copies) {
		t.Error("the same input led to a different choice")
	}
	soon, expensive, lowDemands := bounds(), bounds(), titleDemands
	soon.SecondsUntilPeak, expensive.PricePerKB = 10, 1
	lowDemands = slices.Clone(titleDemands)
	for i := range lowDemands {
		lowDemands[i].Rate, lowDemands[i].Sessions, lowDemands[i].Worth = 100, 1, 1
	}
	noDisk := map[string]float64{}
	for name, c := range map[string]Choice{
		"too soon": ChooseCopies(f, demands, titleDemands, boxes, disks(boxes), soon, "lp", time.Now, time.Minute),
		"too expensive": ChooseCopies(f, demands, titleDemands, boxes, disks(boxes), expensive, "lp", time.Now,
			time.Minute),
		"enough capacity": ChooseCopies(f, demands, lowDemands, boxes, disks(boxes), bounds(), "lp", time.Now, time.Minute),
		"disks full":      ChooseCopies(f, demands, titleDemands, boxes, noDisk, bounds(), "lp", time.Now, time.Minute),
		"no time left": ChooseCopies(f, demands, titleDemands, boxes, disks(boxes), bounds(), "lp",
			steppingClock(time.Hour), time.Second),
		"method none": ChooseCopies(f, demands, titleDemands, boxes, disks(boxes), bounds(), "none", time.Now,
			time.Minute),
	} {
		if len(c.Copies) != 0 || c.Method != "none" {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// steppingClock returns a clock that advances by step at each reading.
func steppingClock(step time.Duration) func() time.Time {
	now := time.Unix(0, 0)
	return func() time.Time { now = now.Add(step); return now }
}

// Copies go to boxes that do not hold the title, stay within the disk space and the maximum number of copies per title,
// and earn more than they cost, also when several peaks compete for the same boxes.
func TestGreedyCopiesLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes, _ := newTestFleet(rapid.IntRange(6, 30).Draw(t, "boxes"), 1, 1, 1)
		free := map[string]float64{}
		for i := range boxes {
			boxes[i].LinkLoad = rapid.Float64Range(0, 9000).Draw(t, "busy")
			boxes[i].FreeStreams = float64(rapid.IntRange(0, 30).Draw(t, "streams"))
			free[boxes[i].ID] = float64(rapid.IntRange(0, 3).Draw(t, "disk")) * 360_000
		}
		titleDemands, _, _ := newTitleDemands(boxes, rapid.IntRange(1, 3).Draw(t, "peaks"),
			rapid.IntRange(1, 3).Draw(t, "titles"), 3, float64(rapid.IntRange(1, 80).Draw(t, "rate")))
		b := bounds()
		b.MaxCopiesPerTitle = rapid.IntRange(0, 6).Draw(t, "most")
		used, made := map[string]float64{}, map[string]int{}
		for _, c := range GreedyCopies(boxes, free, titleDemands, b) {
			i := slices.IndexFunc(titleDemands, func(h TitleDemand) bool { return h.Title == c.Title })
			if slices.Contains(titleDemands[i].Holders, c.Box) || c.Gain <= c.Cost {
				t.Fatalf("%+v", c)
			}
			titleDemands[i].Holders = append(titleDemands[i].Holders, c.Box)
			used[c.Box] += titleDemands[i].Size
			if made[c.Title]++; made[c.Title] > b.MaxCopiesPerTitle || used[c.Box] > free[c.Box] {
				t.Fatalf("%d copies of %s, %v kB on %s", made[c.Title], c.Title, used[c.Box], c.Box)
			}
		}
	})
}

// A title whose popularity rises gets copies, a few per pass, and they are released when its popularity is gone.
func TestDriftTracker(t *testing.T) {
	boxes, _ := newTestFleet(24, 1, 1, 1)
	var titles []TitleDemand
	for i := range 12 {
		h := TitleDemand{Title: fmt.Sprintf("t%02d", i), Size: 360_000, Rate: 2540, Worth: 1, DurationSeconds: 600, Zone: -1}
		for k := range 3 {
			h.Holders = append(h.Holders, boxes[(2*i+k)%24].ID)
		}
		slices.Sort(h.Holders)
		titles = append(titles, h)
	}
	d := NewDriftTracker(time.Minute)
	now := int64(1_000_000)
	run := func(hot float64, passes int) (n int) {
		for range passes {
			now += 10_000
			playing := map[string]float64{}
			for _, x := range titles {
				playing[x.Title] = 10
			}
			playing["t03"] = hot
			d.Update(now, playing)
			was := n
			n = len(d.PlanCopies(boxes, disks(boxes), titles, bounds()))
			if n > was+maxCopiesPerPass && was > 0 {
				t.Errorf("%d copies after %d in one pass", n, was)
			}
		}
		return n
	}
	if n := run(10, 10); n != 0 {
		t.Errorf("%d copies although all titles are equally popular", n)
	}
	if n := run(120, 30); n == 0 {
		t.Error("no copy of the most popular title")
	}
	if n := run(10, 60); n != 0 {
		t.Errorf("%d copies not released", n)
	}
}

// A decision remains in effect until the announcement changes, a target stops accepting work, more boxes accept work or more of
// the peak's titles are known.
// Copies on boxes that still accept work are kept.
func TestDecisions(t *testing.T) {
	b, all := NewDecisions(), func(string) bool { return true }
	if !b.NeedsDecision("p", Conditions{Version: 1, ReadyBoxes: 4, KnownTitles: 1}, all) {
		t.Error("a new peak needs no decision")
	}
	b.Record("p", Conditions{Version: 1, ReadyBoxes: 4, KnownTitles: 1}, all, []Copy{{Peak: "p", Title: "t", Box: "b1"}, {Peak: "p", Title: "t", Box: "b2"},
		{Peak: "q", Title: "t", Box: "b3"}})
	if b.NeedsDecision("p", Conditions{Version: 1, ReadyBoxes: 4, KnownTitles: 1}, all) || !b.NeedsDecision("p", Conditions{Version: 2, ReadyBoxes: 4, KnownTitles: 1}, all) || len(b.Copies()) != 2 {
		t.Errorf("copies %v", b.Copies())
	}
	drained := func(id string) bool { return id != "b1" }
	if !b.NeedsDecision("p", Conditions{Version: 1, ReadyBoxes: 3, KnownTitles: 1}, drained) {
		t.Error("no new decision although a target drains")
	}
	b.Record("p", Conditions{Version: 1, ReadyBoxes: 3, KnownTitles: 1}, drained, []Copy{{Peak: "p", Title: "t", Box: "b4"}})
	if got := b.Copies(); len(got) != 2 || got[0].Box != "b2" || got[1].Box != "b4" ||
		b.NeedsDecision("p", Conditions{Version: 1, ReadyBoxes: 3, KnownTitles: 1}, drained) {
		t.Errorf("copies %v", got)
	}
	if !b.NeedsDecision("p", Conditions{Version: 1, ReadyBoxes: 4, KnownTitles: 1}, drained) {
		t.Error("no new decision although more boxes accept work")
	}
	if !b.NeedsDecision("p", Conditions{Version: 1, ReadyBoxes: 3, KnownTitles: 2}, drained) {
		t.Error("no new decision although another title of the peak has become known")
	}
	b.Retain(func(string) bool { return false })
	if len(b.Copies()) != 0 {
		t.Error("copies of a peak that is over were kept")
	}
}

// With the same storage, the heuristic serves at least as much as placement by home cell and cell span. Measured is the
// rate that the fleet can give when viewers request 0.95 of all links, as a maximum flow (a linear program).
func TestHeuristicServesMoreThanCells(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	for _, zipf := range []float64{0.8, 0.9, 1} {
		boxes, titles := newTestFleet(48, 120, zipf, 0)
		for i := range titles {
			titles[i].Demand *= 0.95 / 0.8
		}
		cells, stored := Placement{}, map[string]float64{}
		rnd := rand.New(rand.NewPCG(1, 1))
		for _, x := range titles {
			// The span is derived from the usual demand, as for the titles in use.
			home, span := rnd.IntN(48), max(3, int(math.Round(1.4*x.Demand/6000)))
			for k := range min(span, 48) {
				cells.add(x.Name, boxes[(home+k)%48].ID)
				stored[boxes[(home+k)%48].ID] += x.Size
			}
		}
		sum := 0.0
		for i := range boxes {
			boxes[i].DiskCapacity = stored[boxes[i].ID]
			sum += boxes[i].DiskCapacity
		}
		heuristic := Heuristic(boxes, titles)
		a, b := servedShare(t, boxes, titles, cells), servedShare(t, boxes, titles, heuristic)
		t.Logf("Zipf %v: share of the demand served %.3f by cell and span, %.3f by the heuristic (%+.1f%%), storage %.0f",
			zipf, a, b, 100*(b/a-1), sum)
		if b < a {
			t.Errorf("Zipf %v: the heuristic serves less", zipf)
		}
	}
}

// servedShare returns the share of the demand that the holders of a placement can serve.
func servedShare(t *testing.T, boxes []Box, titles []Title, m Placement) float64 {
	f := &peaks.Fleet{NoCompetingLoad: true, Cells: len(boxes), Uplinks: make([]float64, len(boxes)),
		Ladder: []float64{1}, RungWorths: []float64{1}, Classes: []peaks.Class{{RateFactor: 1, Worth: 1}}}
	for _, b := range boxes {
		f.Boxes = append(f.Boxes, peaks.Box{ID: b.ID, Rack: b.Rack, LinkCapacity: b.LinkCapacity / peaks.MaxUtilization,
			MaxStreams: 1e9, RampShare: 1})
	}
	var demands []peaks.Demand
	requested := 0.0
	for _, x := range titles {
		demands = append(demands, peaks.Demand{Peak: "all", Title: x.Name, Sessions: x.Demand, Worth: 1,
			Holders: append([]string{}, m[x.Name]...)})
		requested += x.Demand
	}
	p, err := peaks.SolveLP(f, demands)
	if err != nil {
		t.Fatal(err)
	}
	return p.Value / requested
}

func BenchmarkChooseCopies(b *testing.B) {
	boxes, _ := newTestFleet(280, 1, 1, 1)
	for i := range boxes {
		boxes[i].LinkLoad = boxes[i].LinkCapacity / 2
	}
	titleDemands, demands, f := newTitleDemands(boxes, 20, 3, 4, 30)
	for _, method := range []string{"greedy", "lp"} {
		b.Run(method, func(b *testing.B) {
			var c Choice
			for b.Loop() {
				c = ChooseCopies(f, demands, titleDemands, boxes, disks(boxes), bounds(), method, time.Now, time.Minute)
			}
			b.ReportMetric(float64(len(c.Copies)), "copies")
			b.ReportMetric(c.BestValue, "worth/s")
			b.ReportMetric(c.NoCopiesValue, "worth/s-none")
		})
	}
}
