package peaks

import (
	"cmp"
	"slices"
	"strings"
)

// Key names a hold.
type Key struct{ Peak, Title, Box string }

// Use is what sessions of a peak's title take on a box, at one edge. Rate in kB/s.
type Usage struct {
	Key
	Rate    float64 `json:"rate"`
	Streams float64 `json:"streams"`
}

// Size of a box: what its link gives in kB/s, its streams, and what it says all sessions take of both.
type BoxCapacity struct{ Rate, Streams, Busy, Playing float64 }

// others is what sessions outside any peak take: what the box says less what edges say of peaks. The two
// words come at different moments, and must not count a session twice.
func (s BoxCapacity) otherUsage(usage Usage) (rate, streams float64) {
	return max(s.Busy-usage.Rate, 0), max(s.Playing-usage.Streams, 0)
}

// Account is where a box's room stands: Held + Used + Free = Size. Free is below 0 where more is used
// than there is; then nothing is held.
type Account struct{ Size, Held, Used, Free float64 }

// Ledger proves what is held. What edges use they report whole, so that a report that comes twice, or
// late, gives nothing back twice; one that comes no more expires.
type Ledger struct {
	capacities       map[string]BoxCapacity
	plannedHolds     map[Key]Hold
	reports          map[string]*report
	expectedSessions map[string]float64 // sessions still to come, by peak and title; none: not limited
}

type report struct {
	seq        uint64
	receivedAt int64
	usage      map[Key]Usage
}

// NewLedger is empty.
func NewLedger() *Ledger {
	return &Ledger{capacities: map[string]BoxCapacity{}, plannedHolds: map[Key]Hold{}, reports: map[string]*report{}, expectedSessions: map[string]float64{}}
}

// Resize tells the boxes that may get new work. What is held on others falls away.
func (l *Ledger) SetCapacities(capacities map[string]BoxCapacity) { l.capacities = capacities }

// SetPlan replaces the plan.
func (l *Ledger) SetPlan(holds []Hold) {
	l.plannedHolds = make(map[Key]Hold, len(holds))
	for _, h := range holds {
		if h.Rate >= 0 && h.Streams >= 0 {
			l.plannedHolds[Key{h.Peak, h.Title, h.Box}] = h
		}
	}
}

// Coming bounds what is held by the sessions that are still expected: by peak and title.
func (l *Ledger) SetExpectedSessions(expected map[string]float64) { l.expectedSessions = expected }

// PeakTitle is the key of Coming.
func PeakTitleKey(peak, title string) string { return peak + "\x00" + title }

// Report takes what an edge uses. One that is not newer than the last of that edge changes nothing.
func (l *Ledger) RecordReport(edge string, seq uint64, now int64, usage []Usage) bool {
	if r := l.reports[edge]; r != nil && seq <= r.seq {
		return false
	}
	r := &report{seq: seq, receivedAt: now, usage: make(map[Key]Usage, len(usage))}
	for _, u := range usage {
		if u.Rate >= 0 && u.Streams >= 0 {
			r.usage[u.Key] = u
		}
	}
	l.reports[edge] = r
	return true
}

// Drop forgets an edge: another instance stands in its place.
func (l *Ledger) RemoveEdge(edge string) { delete(l.reports, edge) }

// Expire drops reports older than a time.
func (l *Ledger) ExpireReports(before int64) {
	for e, r := range l.reports {
		if r.receivedAt < before {
			delete(l.reports, e)
		}
	}
}

// used sums up what is used under each key.
func (l *Ledger) usageByKey() map[Key]Usage {
	out := map[Key]Usage{}
	for _, r := range l.reports {
		for k, u := range r.usage {
			sum := out[k]
			sum.Rate, sum.Streams = sum.Rate+u.Rate, sum.Streams+u.Streams
			out[k] = sum
		}
	}
	return out
}

// PeakUse is what sessions of peaks take on each box.
func (l *Ledger) UsageByBox() map[string]Usage { return sumByBox(l.usageByKey()) }

func sumByBox(usage map[Key]Usage) map[string]Usage {
	out := map[string]Usage{}
	for k, u := range usage {
		sum := out[k.Box]
		sum.Rate, sum.Streams = sum.Rate+u.Rate, sum.Streams+u.Streams
		out[k.Box] = sum
	}
	return out
}

// Held is what of the plan is not used yet, within what each box has left and what is still expected.
func (l *Ledger) RemainingHolds() []Hold {
	used := l.usageByKey()
	var out []Hold
	for k, h := range l.plannedHolds {
		h.Rate, h.Streams = max(h.Rate-used[k].Rate, 0), max(h.Streams-used[k].Streams, 0)
		if h.Streams > 0 {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Hold) int {
		return cmp.Or(strings.Compare(a.Peak, b.Peak), strings.Compare(a.Title, b.Title), strings.Compare(a.Box, b.Box))
	})
	streams := map[string]float64{}
	for _, h := range out {
		streams[PeakTitleKey(h.Peak, h.Title)] += h.Streams
	}
	for i := range out {
		k := PeakTitleKey(out[i].Peak, out[i].Title)
		if expected, ok := l.expectedSessions[k]; ok && streams[k] > expected {
			out[i].scale(max(expected, 0) / streams[k])
		}
	}
	l.limitToCapacity(out, used)
	return slices.DeleteFunc(out, func(h Hold) bool { return h.Streams < 1e-6 })
}

func (h *Hold) scale(factor float64) { h.Rate, h.Streams = h.Rate*factor, h.Streams*factor }

// fit cuts holds down to what their boxes have left.
func (l *Ledger) limitToCapacity(holds []Hold, used map[Key]Usage) {
	freeRate, freeStreams := map[string]float64{}, map[string]float64{}
	usageByBox := sumByBox(used)
	for box, s := range l.capacities {
		otherRate, otherStreams := s.otherUsage(usageByBox[box])
		freeRate[box], freeStreams[box] = s.Rate-otherRate-usageByBox[box].Rate, s.Streams-otherStreams-usageByBox[box].Streams
	}
	heldRate, heldStreams := map[string]float64{}, map[string]float64{}
	for _, h := range holds {
		heldRate[h.Box], heldStreams[h.Box] = heldRate[h.Box]+h.Rate, heldStreams[h.Box]+h.Streams
	}
	for i := range holds {
		box := holds[i].Box
		factor := 1.0
		if heldRate[box] > 0 {
			factor = min(factor, max(freeRate[box], 0)/heldRate[box])
		}
		if heldStreams[box] > 0 {
			factor = min(factor, max(freeStreams[box], 0)/heldStreams[box])
		}
		holds[i].scale(factor)
	}
}

// Accounts are all boxes' accounts, of their links.
func (l *Ledger) Accounts() map[string]Account {
	out := map[string]Account{}
	usageByBox := l.UsageByBox()
	for b, s := range l.capacities {
		others, _ := s.otherUsage(usageByBox[b])
		out[b] = Account{Size: s.Rate, Used: others + usageByBox[b].Rate}
	}
	for _, h := range l.RemainingHolds() {
		a := out[h.Box]
		a.Held += h.Rate
		out[h.Box] = a
	}
	for b, a := range out {
		a.Free = a.Size - a.Held - a.Used
		out[b] = a
	}
	return out
}
