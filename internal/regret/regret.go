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
func (p LossByCause) Total() (sum float64) {
	for _, c := range Causes() {
		sum += p[c]
	}
	return sum
}

// Split gives an account's loss to its causes. The rungs: what lies below the highest rung that it had
// earlier is "stepped down" if it had that rung, or a higher one, again later, and else its share; what
// lies below a rung that it reached later is climb; what it never reached is its share.
func SplitLoss(a SessionAccount) LossByCause {
	p := LossByCause{}
	top := a.WorthPerSecond[a.BestRung]
	for c, s := range a.WaitedSeconds {
		p[c] += s * top
	}
	p[Stalls] += a.StalledSeconds * top
	p[RungChanges] += a.RungChangeCost
	later := make([]int, len(a.PlayedSpans)+1) // the highest rung from here on
	later[len(a.PlayedSpans)] = -1
	for i := len(a.PlayedSpans) - 1; i >= 0; i-- {
		later[i] = max(later[i+1], a.PlayedSpans[i].Rung)
	}
	earlier := -1
	for i, x := range a.PlayedSpans {
		rung := min(x.Rung, a.BestRung)
		reached := min(max(later[i], rung), a.BestRung)
		back := min(reached, max(earlier, rung)) // had it before, and has it again
		p[SteppedDown] += x.Seconds * (a.WorthPerSecond[back] - a.WorthPerSecond[rung])
		p[NotYetRaised] += x.Seconds * (a.WorthPerSecond[reached] - a.WorthPerSecond[back])
		p[LowShare] += x.Seconds * (top - a.WorthPerSecond[reached])
		earlier = max(earlier, x.Rung)
	}
	p[Remainder] += a.WorthAsked - a.WorthDelivered - p.Total()
	return p
}

// Add adds up.
func (p LossByCause) Add(q LossByCause) {
	for c, w := range q {
		p[c] += w
	}
}

// Towards is the distance to what a better plan would have delivered, split by cause: all losses shrink
// alike, so that their sum is that distance. What even the better plan loses has no cause of ours.
func (p LossByCause) ScaleToGap(asked, delivered, better float64) LossByCause {
	out := LossByCause{}
	lost, distance := asked-delivered, better-delivered
	if lost <= 0 {
		return out
	}
	for c, w := range p {
		out[c] = w * distance / lost
	}
	return out
}
