package peaks

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Key identifies a hold.
type Key struct{ Peak, Title, Box string }

// compare orders keys by peak, title and box.
func (k Key) compare(other Key) int {
	return cmp.Or(strings.Compare(k.Peak, other.Peak), strings.Compare(k.Title, other.Title),
		strings.Compare(k.Box, other.Box))
}

// Usage is what the sessions of a peak's title use on a box, as one edge reports it. Rate is in kB/s.
type Usage struct {
	Key
	Rate    float64 `json:"rate"`
	Streams float64 `json:"streams"`
}

// BoxCapacity is the capacity of a box in kB/s and streams, and the part of both that all sessions use, as the box
// reports it.
type BoxCapacity struct{ Rate, Streams, Busy, Playing float64 }

// otherUsage returns what sessions outside peaks use: the usage that the box reports minus the usage for peaks that
// edges report. The reports arrive at different times; the subtraction keeps a session from being counted twice.
func (s BoxCapacity) otherUsage(usage Usage) (rate, streams float64) {
	return max(s.Busy-usage.Rate, 0), max(s.Playing-usage.Streams, 0)
}

// Account is the division of a box's capacity: Held + Used + Free = Size. Free is negative if the usage exceeds the
// capacity; then nothing is held.
type Account struct{ Size, Held, Used, Free float64 }

// Ledger accounts for the held capacity. Edges report their complete usage, so that a repeated or late report releases
// nothing twice. The report of an edge that stops reporting expires.
type Ledger struct {
	capacities       map[string]BoxCapacity
	plannedHolds     map[Key]Hold
	reports          map[string]*report
	expectedSessions map[string]float64 // sessions still expected, by PeakTitleKey; no entry: no limit
}

type report struct {
	seq        uint64
	receivedAt int64
	usage      map[Key]Usage
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{capacities: map[string]BoxCapacity{}, plannedHolds: map[Key]Hold{}, reports: map[string]*report{},
		expectedSessions: map[string]float64{}}
}

// SetCapacities replaces the boxes that may get new work. Holds on other boxes are released.
func (l *Ledger) SetCapacities(capacities map[string]BoxCapacity) { l.capacities = capacities }

// SetPlan replaces the planned holds. Holds with a negative rate or number of streams are ignored.
func (l *Ledger) SetPlan(holds []Hold) {
	l.plannedHolds = make(map[Key]Hold, len(holds))
	for _, h := range holds {
		if h.Rate >= 0 && h.Streams >= 0 {
			l.plannedHolds[h.key()] = h
		}
	}
}

// SetExpectedSessions limits the holds to the sessions that are still expected, by PeakTitleKey.
func (l *Ledger) SetExpectedSessions(expected map[string]float64) { l.expectedSessions = expected }

// PeakTitleKey returns the key of a peak's title for SetExpectedSessions.
func PeakTitleKey(peak, title string) string { return peak + "\x00" + title }

// RecordReport replaces the usage that an edge reported. It ignores a report that is not newer than the edge's last
// one, and then returns false.
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

// RemoveEdge removes an edge's report, because another instance has replaced the edge.
func (l *Ledger) RemoveEdge(edge string) { delete(l.reports, edge) }

// ExpireReports removes the reports that were received before the given time.
func (l *Ledger) ExpireReports(before int64) {
	for e, r := range l.reports {
		if r.receivedAt < before {
			delete(l.reports, e)
		}
	}
}

// usageByKey returns the usage of all edges, summed by key. The edges are added in the order of their names, since the
// last digit of a sum depends on the order.
func (l *Ledger) usageByKey() map[Key]Usage {
	out := map[Key]Usage{}
	for _, edge := range slices.Sorted(maps.Keys(l.reports)) {
		for k, u := range l.reports[edge].usage {
			sum := out[k]
			sum.Rate, sum.Streams = sum.Rate+u.Rate, sum.Streams+u.Streams
			out[k] = sum
		}
	}
	return out
}

// UsageByBox returns what the sessions of peaks use on each box.
func (l *Ledger) UsageByBox() map[string]Usage { return sumByBox(l.usageByKey()) }

// sumByBox sums usage by box, in the order of the keys.
func sumByBox(usage map[Key]Usage) map[string]Usage {
	out := map[string]Usage{}
	for _, k := range slices.SortedFunc(maps.Keys(usage), Key.compare) {
		sum, u := out[k.Box], usage[k]
		sum.Rate, sum.Streams = sum.Rate+u.Rate, sum.Streams+u.Streams
		out[k.Box] = sum
	}
	return out
}

// RemainingHolds returns the planned holds minus their usage, limited to the free capacity of each box and to the
// sessions that are still expected.
func (l *Ledger) RemainingHolds() []Hold {
	used := l.usageByKey()
	var out []Hold
	for k, h := range l.plannedHolds {
		h.Rate, h.Streams = max(h.Rate-used[k].Rate, 0), max(h.Streams-used[k].Streams, 0)
		if h.Streams > 0 {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Hold) int { return a.key().compare(b.key()) })
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

// scale multiplies the hold's rate and streams by a factor.
func (h *Hold) scale(factor float64) { h.Rate, h.Streams = h.Rate*factor, h.Streams*factor }

// limitToCapacity scales the holds of each box down to its free capacity.
func (l *Ledger) limitToCapacity(holds []Hold, used map[Key]Usage) {
	freeRate, freeStreams := map[string]float64{}, map[string]float64{}
	usageByBox := sumByBox(used)
	for box, s := range l.capacities {
		otherRate, otherStreams := s.otherUsage(usageByBox[box])
		freeRate[box], freeStreams[box] = s.Rate-otherRate-usageByBox[box].Rate,
			s.Streams-otherStreams-usageByBox[box].Streams
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

// Accounts returns the accounts of all boxes, for the rates of their links.
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
