package regret

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The parts of any account add up to what it lost, and those towards a better plan to the distance.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		num := func(most float64, what string) float64 { return rapid.Float64Range(0, most).Draw(t, what) }
		worth, w := make([]float64, 5), 0.0
		for i := range worth {
			w += 0.05 + num(0.5, "step")
			worth[i] = w
		}
		a := SessionAccount{BestRung: rapid.IntRange(0, 4).Draw(t, "best"), WorthPerSecond: worth, WorthAsked: num(100, "asked"), WorthDelivered: num(100, "delivered"),
			WaitedSeconds: map[Cause]float64{}, StalledSeconds: num(5, "stalled"), RungChangeCost: num(2, "switches")}
		for range rapid.IntRange(0, 8).Draw(t, "stretches") {
			a.PlayedSpans = append(a.PlayedSpans, PlayedSpan{rapid.IntRange(0, 4).Draw(t, "rung"), num(20, "seconds")})
		}
		for range rapid.IntRange(0, 4).Draw(t, "waits") {
			a.WaitedSeconds[rapid.SampledFrom(Causes()).Draw(t, "why")] += num(9, "waited")
		}
		p := SplitLoss(a)
		if math.Abs(p.Total()-(a.WorthAsked-a.WorthDelivered)) > 1e-6 {
			t.Fatalf("parts %v add up to %v, lost %v", p, p.Total(), a.WorthAsked-a.WorthDelivered)
		}
		for _, c := range []Cause{NotYetRaised, SteppedDown, LowShare} {
			if p[c] < -1e-9 {
				t.Fatalf("%s is %v", c, p[c])
			}
		}
		if a.WorthAsked > a.WorthDelivered+1e-3 { // below, the quotient is noise
			better := a.WorthDelivered + num(50, "better")
			if d := p.ScaleToGap(a.WorthAsked, a.WorthDelivered, better).Total(); math.Abs(d-(better-a.WorthDelivered)) > 1e-6*max(1, better) {
				t.Fatalf("towards %v: %v", better-a.WorthDelivered, d)
			}
		}
	})
}

func TestSplitByRung(t *testing.T) {
	worth := []float64{0.2, 0.5, 1}
	p := SplitLoss(SessionAccount{BestRung: 2, WorthPerSecond: worth, WorthAsked: 40, WorthDelivered: 20, PlayedSpans: []PlayedSpan{{0, 10}, {1, 10}, {0, 10}, {1, 10}}})
	for c, want := range map[Cause]float64{NotYetRaised: 3, SteppedDown: 3, LowShare: 20, Remainder: -6} {
		if math.Abs(p[c]-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c, p[c], want)
		}
	}
}
