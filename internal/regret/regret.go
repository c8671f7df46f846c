// Package regret attributes the worth that a run did not deliver to causes. For each viewer's session, it assigns
// all worth that was asked and not delivered to causes, such that the losses by cause add up to the total loss.
package regret

// Cause is a cause of lost worth.
type Cause string

// The causes. The values appear in results.
const (
	// RefusedCapacityElsewhere: only boxes without the title had capacity.
	RefusedCapacityElsewhere Cause = "refused, room elsewhere"
	// RefusedDespiteHolder: a holder had capacity that the edge did not know of or did not use.
	RefusedDespiteHolder Cause = "refused, a holder had room"
	// RefusedForStreams: no holder had a free stream slot.
	RefusedForStreams Cause = "refused for streams"
	// RefusedForSeats: all seats of the title and class at the edge were taken.
	RefusedForSeats Cause = "refused for seats"
	// RefusedNoCapacity: no box had capacity.
	RefusedNoCapacity Cause = "refused, no room anywhere"
	// LateStart: time from a request to its session, without a refusal.
	LateStart Cause = "late"
	// Interrupted: time between two sessions, and time of failed set-ups.
	Interrupted Cause = "broken"
	// NotYetRaised: played below a rung that was reached only later.
	NotYetRaised Cause = "climb not yet made"
	// SteppedDown: played below a rung that was reached both before and again later.
	SteppedDown Cause = "stepped down"
	// LowShare: played below the best rung, which was not reached again.
	LowShare Cause = "lower than its share, no room near"
	// Stalls: time in which playback stalled.
	Stalls Cause = "stalls"
	// RungChanges: cost of rung changes.
	RungChanges Cause = "switches"
	// Remainder: the end of sessions that viewers gave up, and rounding errors.
	Remainder Cause = "rest"
)

// Causes returns all causes in a fixed order.
func Causes() []Cause {
	return []Cause{RefusedCapacityElsewhere, RefusedDespiteHolder, RefusedForStreams, RefusedForSeats, RefusedNoCapacity,
		LateStart, Interrupted, NotYetRaised, SteppedDown, LowShare, Stalls, RungChanges, Remainder}
}

// PlayedSpan is a time span of a session played at one rung.
type PlayedSpan struct {
	Rung    int
	Seconds float64
}

// SessionAccount is what one viewer's session asked for and what it got.
type SessionAccount struct {
	BestRung       int       // highest rung that the viewer can play
	WorthPerSecond []float64 // worth of one second of playback, by rung
	WorthAsked     float64   // worth of the whole session at the best rung
	WorthDelivered float64
	WaitedSeconds  map[Cause]float64 // time without a session, by cause
	PlayedSpans    []PlayedSpan
	StalledSeconds float64
	RungChangeCost float64 // worth subtracted for rung changes
}

// LossByCause is the lost worth by cause.
type LossByCause map[Cause]float64

// Total returns the sum of all losses.
func (l LossByCause) Total() (sum float64) {
	for _, c := range Causes() {
		sum += l[c]
	}
	return sum
}

// SplitLoss attributes the loss of a session to causes. Playing at a rung below the best one is split at two rungs:
// the loss up to the highest rung that was reached both earlier and again later (or is played now) is SteppedDown,
// the loss from there to the highest rung reached later is NotYetRaised, and the loss from there to the best rung,
// which is never reached again, is LowShare.
func SplitLoss(account SessionAccount) LossByCause {
	losses := LossByCause{}
	bestWorth := account.WorthPerSecond[account.BestRung]
	for cause, seconds := range account.WaitedSeconds {
		losses[cause] += seconds * bestWorth
	}
	losses[Stalls] += account.StalledSeconds * bestWorth
	losses[RungChanges] += account.RungChangeCost
	highestLater := make([]int, len(account.PlayedSpans)+1) // highest rung from each span on; -1 after the last
	highestLater[len(account.PlayedSpans)] = -1
	for i := len(account.PlayedSpans) - 1; i >= 0; i-- {
		highestLater[i] = max(highestLater[i+1], account.PlayedSpans[i].Rung)
	}
	highestEarlier := -1
	for i, span := range account.PlayedSpans {
		rung := min(span.Rung, account.BestRung)
		reached := min(max(highestLater[i], rung), account.BestRung)
		regained := min(reached, max(highestEarlier, rung)) // reached before, and again later
		losses[SteppedDown] += span.Seconds * (account.WorthPerSecond[regained] - account.WorthPerSecond[rung])
		losses[NotYetRaised] += span.Seconds * (account.WorthPerSecond[reached] - account.WorthPerSecond[regained])
		losses[LowShare] += span.Seconds * (bestWorth - account.WorthPerSecond[reached])
		highestEarlier = max(highestEarlier, span.Rung)
	}
	losses[Remainder] += account.WorthAsked - account.WorthDelivered - losses.Total()
	return losses
}

// Add adds the losses of other to l.
func (l LossByCause) Add(other LossByCause) {
	for c, w := range other {
		l[c] += w
	}
}

// ScaleToGap returns the losses scaled by one factor such that they add up to the gap to what a better plan would
// have delivered. The factor leaves out the losses that even the better plan has.
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
