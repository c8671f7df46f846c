package mapping

import (
	"cmp"
	"slices"
	"time"

	"rainpulley/internal/peaks"
)

// Choice is the set of copies to make and its expected worth per second, next to that of the other choices.
type Choice struct {
	Copies                                []Copy
	Method                                string  // "lp", "greedy" or "none"
	NoCopiesValue, GreedyValue, BestValue float64 // worth per second, net of the cost of copying
	Elapsed                               time.Duration
}

// roundingThreshold is the smallest fraction of a copy in the relaxed solution for which the copy is made.
const roundingThreshold = 0.25

// ChooseCopies makes the choice of copies a part of the linear program that plans the peak. The program is relaxed: it
// may take any fraction of a copy at that fraction of its cost. Copies of which it takes at least a quarter are made,
// the others are not. The peak is planned again with these copies, with the greedy choice, and with no copies; the best
// of the three is returned, so that a choice is never worth less than no copies by the same calculation. The candidates
// of the program are the greedy copies and up to as many others. The method may be "greedy" or "none", for comparisons.
// now is read between the steps: after the budget is spent, the best choice so far is returned.
func ChooseCopies(fleet *peaks.Fleet, demands []peaks.Demand, titleDemands []TitleDemand, boxes []Box,
	freeDisk map[string]float64, bounds Bounds, method string, now func() time.Time,
	budget time.Duration) (out Choice) {
	start := now()
	out.Method = "none"
	overBudget := func() bool { return now().Sub(start) > budget }
	defer func() { out.Elapsed = now().Sub(start) }()
	var ok bool
	if out.NoCopiesValue, ok = netValue(fleet, demands, titleDemands, nil); !ok ||
		len(titleDemands) == 0 || method == "none" || overBudget() {
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
		if len(candidates) < 2*len(greedy) &&
			!slices.ContainsFunc(greedy, func(g Copy) bool { return g.Title == c.Title && g.Box == c.Box }) {
			candidates = append(candidates, c)
		}
	}
	if copies, ok := solveRelaxed(fleet, demands, titleDemands, candidates); ok {
		consider("lp", copies)
	}
	return out
}

// solveRelaxed solves the relaxed program with the candidates as offered copies and rounds its solution.
func solveRelaxed(fleet *peaks.Fleet, demands []peaks.Demand, titleDemands []TitleDemand,
	candidates []Copy) ([]Copy, bool) {
	offered := slices.Clone(demands)
	candidateByOffer := map[[2]int]Copy{}
	for i := range offered {
		offered[i].Offers = nil
		for _, c := range candidates {
			if c.Title == offered[i].Title && c.Peak == offered[i].Peak {
				candidateByOffer[[2]int{i, len(offered[i].Offers)}] = c
				offered[i].Offers = append(offered[i].Offers,
					peaks.CopyOffer{Box: c.Box, Cost: c.Cost / peakSeconds(titleDemands, c.Title)})
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

// peakSeconds returns the duration of a title's demand, at least one second, and 1 if there is none.
func peakSeconds(titleDemands []TitleDemand, title string) float64 {
	for i := range titleDemands {
		if titleDemands[i].Title == title {
			return max(titleDemands[i].DurationSeconds, 1)
		}
	}
	return 1
}

// netValue returns what the peak earns per second with the given copies, less the cost of making them. The result is
// false if the linear program could not be solved.
func netValue(fleet *peaks.Fleet, demands []peaks.Demand, titleDemands []TitleDemand,
	copies []Copy) (float64, bool) {
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
