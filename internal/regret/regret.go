// Package regret splits what a day did not deliver by cause. It takes each viewer's account of its
// session and gives every second of worth that was asked and not delivered to one cause, so that the parts
// add up to the whole.
package regret

// Cause of a loss.
type Cause string

// Causes.
const (
	RefusedCapacityElsewhere Cause = "refused, room elsewhere"    // boxes without the title had room
	RefusedDespiteHolder     Cause = "refused, a holder had room" // a holder had room in truth: the front did not know, or kept off it
	RefusedForStreams        Cause = "refused for streams"
	RefusedForSeats          Cause = "refused for seats"
	RefusedNoCapacity        Cause = "refused, no room anywhere"
	LateStart                Cause = "late"   // from a request to its session, without a refusal
	Interrupted              Cause = "broken" // between a session's loss and the next, and set-ups that failed
	NotYetRaised             Cause = "climb not yet made"
	SteppedDown              Cause = "stepped down" // below what it had before and would have again
	LowShare                 Cause = "lower than its share, no room near"
	Stalls                   Cause = "stalls"
	RungChanges              Cause = "switches"
	Remainder                Cause = "rest" // the end of a session that its viewer gave up, and what rounding leaves
)

// Causes are all of them, in their order.
func Causes() []Cause {
	return []Cause{RefusedCapacityElsewhere, RefusedDespiteHolder, RefusedForStreams, RefusedForSeats, RefusedNoCapacity, LateStart, Interrupted, NotYetRaised, SteppedDown, LowShare, Stalls, RungChanges, Remainder}
}

// Played is a stretch of a session at one rung.
type PlayedSpan struct {
	Rung    int
	Seconds float64
}

// Account is one viewer's session.
type SessionAccount struct {
	BestRung       int
	WorthPerSecond []float64 // a second, by rung
	WorthAsked     float64   // worth
	WorthDelivered float64
	WaitedSeconds  map[Cause]float64 // seconds without a session, by why
	PlayedSpans    []PlayedSpan
	StalledSeconds float64 // seconds
	RungChangeCost float64 // worth paid for changes of rung
}

// Parts are losses by cause, in worth.
type LossByCause map[Cause]float64

// Sum is all of them together.
func (l LossByCause) Total() (sum float64) {
	for _, c := range Causes() {
		sum += l[c]
	}
	return sum
}

// Split gives an account's loss to its causes. The rungs: what lies below the highest rung that it had
// earlier is "stepped down" if it had that rung, or a higher one, again later, and else its share; what
// lies below a rung that it reached later is climb; what it never reached is its share.
func SplitLoss(account SessionAccount) LossByCause {
	losses := LossByCause{}
	bestWorth := account.WorthPerSecond[account.BestRung]
	for cause, seconds := range account.WaitedSeconds {
		losses[cause] += seconds * bestWorth
	}
	losses[Stalls] += account.StalledSeconds * bestWorth
	losses[RungChanges] += account.RungChangeCost
	highestLater := make([]int, len(account.PlayedSpans)+1) // the highest rung from here on
	highestLater[len(account.PlayedSpans)] = -1
	for i := len(account.PlayedSpans) - 1; i >= 0; i-- {
		highestLater[i] = max(highestLater[i+1], account.PlayedSpans[i].Rung)
	}
	highestEarlier := -1
	for i, span := range account.PlayedSpans {
		rung := min(span.Rung, account.BestRung)
		reached := min(max(highestLater[i], rung), account.BestRung)
		regained := min(reached, max(highestEarlier, rung)) // had it before, and has it again
		losses[SteppedDown] += span.Seconds * (account.WorthPerSecond[regained] - account.WorthPerSecond[rung])
		losses[NotYetRaised] += span.Seconds * (account.WorthPerSecond[reached] - account.WorthPerSecond[regained])
		losses[LowShare] += span.Seconds * (bestWorth - account.WorthPerSecond[reached])
		highestEarlier = max(highestEarlier, span.Rung)
	}
	losses[Remainder] += account.WorthAsked - account.WorthDelivered - losses.Total()
	return losses
}

// Add adds up.
func (l LossByCause) Add(other LossByCause) {
	for c, w := range other {
		l[c] += w
	}
}

// Towards is the distance to what a better plan would have delivered, split by cause: all losses shrink
// alike, so that their sum is that distance. What even the better plan loses has no cause of ours.
func (l LossByCause) ScaleToGap(asked, delivered, betterDelivered float64) LossByCause {
	scaled := LossByCause{}
	lost, gap := asked-delivered, betterDelivered-delivered
	if lost <= 0 {
		return scaled
	}
	for c, w := range l {
		scaled[c] = w * gap / lost
	}
	return scaled
}
