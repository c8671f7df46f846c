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
func ChooseCopies(fleet *peaks.Fleet, demands []peaks.Demand, titleDemands []TitleDemand, boxes []Box, freeDisk map[string]float64, bounds Bounds, method string, now func() time.Time, budget time.Duration) (out Choice) {
	start := now()
	out.Method = "none"
	overBudget := func() bool { return now().Sub(start) > budget }
	defer func() { out.Elapsed = now().Sub(start) }()
	var ok bool
	if out.NoCopiesValue, ok = netValue(fleet, demands, titleDemands, nil); !ok || len(titleDemands) == 0 || method == "none" || overBudget() {
		return out
	}
	out.BestValue = out.NoCopiesValue
	greedy := GreedyCopies(boxes, freeDisk, titleDemands, bounds)
	consider := func(name string, copies []Copy) float64 {
		value, ok := netValue(fleet, demands, titleDemands, copies)
		if ok && value > out.BestValue {
			out.BestValue, out.Method, out.Copies = value, name, copies
		}
		return value
	}
	out.GreedyValue = consider("greedy", greedy)
	if overBudget() || len(greedy) == 0 || method == "greedy" {
		return out
	}
	unpriced := bounds
	unpriced.PricePerKB = 0
	extra := GreedyCopies(boxes, freeDisk, titleDemands, unpriced)
	candidates := slices.Clone(greedy)
	for _, c := range extra {
		if len(candidates) < 2*len(greedy) && !slices.ContainsFunc(greedy, func(g Copy) bool { return g.Title == c.Title && g.Box == c.Box }) {
			candidates = append(candidates, c)
		}
	}
	if copies, ok := solveRelaxed(fleet, demands, titleDemands, candidates); ok {
		consider("lp", copies)
	}
	return out
}

// relaxed solves the program with copies offered, and rounds.
func solveRelaxed(fleet *peaks.Fleet, demands []peaks.Demand, titleDemands []TitleDemand, candidates []Copy) ([]Copy, bool) {
	offered := slices.Clone(demands)
	candidateByOffer := map[[2]int]Copy{}
	for i := range offered {
		offered[i].Offers = nil
		for _, c := range candidates {
			if c.Title == offered[i].Title && c.Peak == offered[i].Peak {
				candidateByOffer[[2]int{i, len(offered[i].Offers)}] = c
				offered[i].Offers = append(offered[i].Offers, peaks.CopyOffer{Box: c.Box, Cost: c.Cost / peakSeconds(titleDemands, c.Title)})
			}
		}
	}
	plan, err := peaks.SolveLP(fleet, offered)
	if err != nil {
		return nil, false
	}
	slices.SortStableFunc(plan.Buys, func(a, c peaks.SelectedOffer) int { return cmp.Compare(c.Part, a.Part) })
	var out []Copy
	for _, selected := range plan.Buys {
		if selected.Part >= roundingThreshold {
			out = append(out, candidateByOffer[[2]int{selected.Demand, selected.Offer}])
		}
	}
	return out, true
}

func peakSeconds(titleDemands []TitleDemand, title string) float64 {
	for i := range titleDemands {
		if titleDemands[i].Title == title {
			return max(titleDemands[i].DurationSeconds, 1)
		}
	}
	return 1
}

// worth is what the hour earns a second with copies made, less what making them costs.
func netValue(fleet *peaks.Fleet, demands []peaks.Demand, titleDemands []TitleDemand, copies []Copy) (float64, bool) {
	withCopies := slices.Clone(demands)
	cost := 0.0
	for _, c := range copies {
		cost += c.Cost / peakSeconds(titleDemands, c.Title)
	}
	for i := range withCopies {
		withCopies[i].Offers = nil
		holders := slices.Clone(withCopies[i].Holders)
		for _, c := range copies {
			if c.Title == withCopies[i].Title && !slices.Contains(holders, c.Box) {
				holders = append(holders, c.Box)
			}
		}
		if withCopies[i].Holders != nil {
			slices.Sort(holders)
			withCopies[i].Holders = holders
		}
	}
	plan, err := peaks.SolveLP(fleet, withCopies)
	if err != nil {
		return 0, false
	}
	return plan.Net - cost, true
}
