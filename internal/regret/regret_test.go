package regret

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The losses of any session add up to its total loss, and the scaled losses to the gap to a better plan.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawUpTo := func(most float64, what string) float64 { return rapid.Float64Range(0, most).Draw(t, what) }
		worth, total := make([]float64, 5), 0.0
		for i := range worth {
			total += 0.05 + drawUpTo(0.5, "step")
			worth[i] = total
		}
		account := SessionAccount{BestRung: rapid.IntRange(0, 4).Draw(t, "best"), WorthPerSecond: worth,
			WorthAsked: drawUpTo(100, "asked"), WorthDelivered: drawUpTo(100, "delivered"),
			WaitedSeconds: map[Cause]float64{}, StalledSeconds: drawUpTo(5, "stalled"), RungChangeCost: drawUpTo(2, "switches")}
		for range rapid.IntRange(0, 8).Draw(t, "stretches") {
			account.PlayedSpans = append(account.PlayedSpans,
				PlayedSpan{rapid.IntRange(0, 4).Draw(t, "rung"), drawUpTo(20, "seconds")})
		}
		for range rapid.IntRange(0, 4).Draw(t, "waits") {
			account.WaitedSeconds[rapid.SampledFrom(Causes()).Draw(t, "why")] += drawUpTo(9, "waited")
		}
		losses := SplitLoss(account)
		if math.Abs(losses.Total()-(account.WorthAsked-account.WorthDelivered)) > 1e-6 {
			t.Fatalf("losses %v add up to %v, want %v", losses, losses.Total(), account.WorthAsked-account.WorthDelivered)
		}
		for _, c := range []Cause{NotYetRaised, SteppedDown, LowShare} {
			if losses[c] < -1e-9 {
				t.Fatalf("loss %q is negative: %v", c, losses[c])
			}
		}
		// For smaller losses the quotient is dominated by rounding errors.
		if account.WorthAsked > account.WorthDelivered+1e-3 {
			better := account.WorthDelivered + drawUpTo(50, "better")
			if d := losses.ScaleToGap(account.WorthAsked, account.WorthDelivered,
				better).Total(); math.Abs(d-(better-account.WorthDelivered)) > 1e-6*max(1, better) {
				t.Fatalf("losses scaled to a gap of %v differ from it in sum: %v", better-account.WorthDelivered, d)
			}
		}
	})
}

// Playing rungs 0, 1, 0, 1 of 0 to 2 loses worth to a rung not yet raised, a step down and a low share.
func TestSplitByRung(t *testing.T) {
	worth := []float64{0.2, 0.5, 1}
	losses := SplitLoss(SessionAccount{BestRung: 2, WorthPerSecond: worth, WorthAsked: 40,
		WorthDelivered: 20, PlayedSpans: []PlayedSpan{{0, 10}, {1, 10}, {0, 10}, {1, 10}}})
	for c, want := range map[Cause]float64{NotYetRaised: 3, SteppedDown: 3, LowShare: 20, Remainder: -6} {
		if math.Abs(losses[c]-want) > 1e-9 {
			t.Errorf("loss %q is %v, want %v", c, losses[c], want)
		}
	}
}
