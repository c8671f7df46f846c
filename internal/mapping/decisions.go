package mapping

import (
	"cmp"
	"slices"
)

// Decisions records which copies were decided for each announced peak. A decision remains in effect until the
// announcement changes or one of its boxes stops accepting new work. If it were made again each second on changing
// loads, copies would be started and abandoned repeatedly.
type Decisions struct {
	byPeak map[string]*decision
}

type decision struct {
	Conditions
	copies []Copy
}

// Conditions are those under which copies are decided.
type Conditions struct {
	Version     uint64 // of the announcement
	ReadyBoxes  int    // boxes that accept work
	KnownTitles int    // titles of the announcement that are known
}

// NewDecisions returns an empty Decisions.
func NewDecisions() *Decisions { return &Decisions{byPeak: map[string]*decision{}} }

// Retain removes the decisions of peaks that are no longer active: over, cancelled or abandoned. Their copies are
// released.
func (b *Decisions) Retain(active func(peak string) bool) {
	for id := range b.byPeak {
		if !active(id) {
			delete(b.byPeak, id)
		}
	}
}

// NeedsDecision reports whether the copies of a peak must be decided, or decided again. They are decided again also if
// more boxes accept work, or more of the peak's titles are known, than at the last decision, because a choice made
// without them may have found no copy.
func (b *Decisions) NeedsDecision(peak string, now Conditions, ready func(box string) bool) bool {
	d := b.byPeak[peak]
	return d == nil || d.Version != now.Version || now.ReadyBoxes > d.ReadyBoxes || now.KnownTitles > d.KnownTitles ||
		slices.ContainsFunc(d.copies, func(c Copy) bool { return !ready(c.Box) })
}

// Record stores a choice for a peak, made under the given conditions. Copies of the previous decision on boxes that
// still accept work are kept in addition, because the choice was made with them as holders.
func (b *Decisions) Record(peak string, at Conditions, ready func(box string) bool, chosen []Copy) {
	d := &decision{Conditions: at}
	if old := b.byPeak[peak]; old != nil && old.Version == at.Version {
		for _, c := range old.copies {
			if ready(c.Box) {
				d.copies = append(d.copies, c)
			}
		}
	}
	for _, c := range chosen {
		if c.Peak == peak &&
			!slices.ContainsFunc(d.copies, func(o Copy) bool { return o.Title == c.Title && o.Box == c.Box }) {
			d.copies = append(d.copies, c)
		}
	}
	b.byPeak[peak] = d
}

// Copies returns all decided copies, sorted by peak, title and box.
func (b *Decisions) Copies() (out []Copy) {
	for _, d := range b.byPeak {
		out = append(out, d.copies...)
	}
	slices.SortFunc(out, func(x, y Copy) int {
		return cmp.Or(cmp.Compare(x.Peak, y.Peak), cmp.Compare(x.Title, y.Title), cmp.Compare(x.Box, y.Box))
	})
	return out
}
