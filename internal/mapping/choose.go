package mapping

import (
	"cmp"
	"slices"
	"time"

	"rainpulley/internal/peaks"
)

// Choice is which copies to make, and what that is thought to be worth a second beside other choices.
type Choice struct {
	Copies                                []Copy
	Method                                string  // "lp", "greedy" or "none"
	NoCopiesValue, GreedyValue, BestValue float64 // worth a second, copying paid for
	Elapsed                               time.Duration
}

// Least part of a copy that the relaxed program must take for it to be made.
const roundingThreshold = 0.25

// Choose takes copies as a part of the linear program that plans the hour, relaxed: any part of a copy may be
// taken at that part of its cost. What is taken by a quarter at least is made, the rest left out, and the hour is
// planned anew with it; so is the greedy choice, and none. The best of the three stands, so that a
// choice is never worth less than no copies by the same reckoning. The program's candidates are the greedy
// copies and as many again. way may be "greedy" or "none", for comparisons. now is read between steps: past the budget, the best so far stands.
func ChooseCopies(f *peaks.Fleet, demands []peaks.Demand, hours []TitleDemand, boxes []Box, disk map[string]float64, b Bounds, way string, now func() time.Time, budget time.Duration) (out Choice) {
	begin := now()
	out.Method = "none"
	spent := func() bool { return now().Sub(begin) > budget }
	defer func() { out.Elapsed = now().Sub(begin) }()
	var ok bool
	if out.NoCopiesValue, ok = netValue(f, demands, hours, nil); !ok || len(hours) == 0 || way == "none" || spent() {
		return out
	}
	out.BestValue = out.NoCopiesValue
	greedy := GreedyCopies(boxes, disk, hours, b)
	take := func(by string, copies []Copy) float64 {
		v, ok := netValue(f, demands, hours, copies)
		if ok && v > out.BestValue {
			out.BestValue, out.Method, out.Copies = v, by, copies
		}
		return v
	}
	out.GreedyValue = take("greedy", greedy)
	if spent() || len(greedy) == 0 || way == "greedy" {
		return out
	}
	wide := b
	wide.PricePerKB = 0
	more := GreedyCopies(boxes, disk, hours, wide)
	candidates := slices.Clone(greedy)
	for _, c := range more {
		if len(candidates) < 2*len(greedy) && !slices.ContainsFunc(greedy, func(g Copy) bool { return g.Title == c.Title && g.Box == c.Box }) {
			candidates = append(candidates, c)
		}
	}
	if copies, ok := solveRelaxed(f, demands, hours, candidates); ok {
		take("lp", copies)
	}
	return out
}

// relaxed solves the program with copies offered, and rounds.
func solveRelaxed(f *peaks.Fleet, demands []peaks.Demand, hours []TitleDemand, candidates []Copy) ([]Copy, bool) {
	offered := slices.Clone(demands)
	at := map[[2]int]Copy{}
	for i := range offered {
		offered[i].Offers = nil
		for _, c := range candidates {
			if c.Title == offered[i].Title && c.Peak == offered[i].Peak {
				at[[2]int{i, len(offered[i].Offers)}] = c
				offered[i].Offers = append(offered[i].Offers, peaks.CopyOffer{Box: c.Box, Cost: c.Cost / peakSeconds(hours, c.Title)})
			}
		}
	}
	p, err := peaks.SolveLP(f, offered)
	if err != nil {
		return nil, false
	}
	slices.SortStableFunc(p.Buys, func(a, c peaks.SelectedOffer) int { return cmp.Compare(c.Part, a.Part) })
	var out []Copy
	for _, y := range p.Buys {
		if y.Part >= roundingThreshold {
			out = append(out, at[[2]int{y.Demand, y.Offer}])
		}
	}
	return out, true
}

func peakSeconds(hours []TitleDemand, title string) float64 {
	for i := range hours {
		if hours[i].Title == title {
			return max(hours[i].DurationSeconds, 1)
		}
	}
	return 1
}

// worth is what the hour earns a second with copies made, less what making them costs.
func netValue(f *peaks.Fleet, demands []peaks.Demand, hours []TitleDemand, copies []Copy) (float64, bool) {
	with := slices.Clone(demands)
	cost := 0.0
	for _, c := range copies {
		cost += c.Cost / peakSeconds(hours, c.Title)
	}
	for i := range with {
		with[i].Offers = nil
		held := slices.Clone(with[i].Holders)
		for _, c := range copies {
			if c.Title == with[i].Title && !slices.Contains(held, c.Box) {
				held = append(held, c.Box)
			}
		}
		if with[i].Holders != nil {
			slices.Sort(held)
			with[i].Holders = held
		}
	}
	p, err := peaks.SolveLP(f, with)
	if err != nil {
		return 0, false
	}
	return p.Net - cost, true
}
