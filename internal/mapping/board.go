package mapping

import (
	"cmp"
	"slices"
)

// Board keeps which copies were decided for which announced hour. A decision stands until the announcement
// changes or a box of it takes no new work any more: decided anew each second on shifting loads, copies
// would be begun and given up again and again.
type Decisions struct {
	byPeak map[string]*decision
}

type decision struct {
	version    uint64
	copies     []Copy
	readyBoxes int // that took work then
}

// NewBoard is empty.
func NewDecisions() *Decisions { return &Decisions{byPeak: map[string]*decision{}} }

// Keep forgets the hours that are no more: over, cancelled, or given up. Their copies are given back.
func (b *Decisions) Retain(active func(peak string) bool) {
	for id := range b.byPeak {
		if !active(id) {
			delete(b.byPeak, id)
		}
	}
}

// Open tells that an hour is to be decided, or decided anew: also when more boxes take work than when it was,
// as a choice made while boxes were down may have found none.
func (b *Decisions) NeedsDecision(peak string, version uint64, readyBoxes int, ready func(box string) bool) bool {
	d := b.byPeak[peak]
	return d == nil || d.version != version || readyBoxes > d.readyBoxes || slices.ContainsFunc(d.copies, func(c Copy) bool { return !ready(c.Box) })
}

// Decide takes a choice. Copies of before at boxes that still take work stay beside those chosen now: the
// choice was made with them as holders.
func (b *Decisions) Record(peak string, version uint64, readyBoxes int, ready func(box string) bool, chosen []Copy) {
	d := &decision{version: version, readyBoxes: readyBoxes}
	if old := b.byPeak[peak]; old != nil && old.version == version {
		for _, c := range old.copies {
			if ready(c.Box) {
				d.copies = append(d.copies, c)
			}
		}
	}
	for _, c := range chosen {
		if c.Peak == peak && !slices.ContainsFunc(d.copies, func(o Copy) bool { return o.Title == c.Title && o.Box == c.Box }) {
			d.copies = append(d.copies, c)
		}
	}
	b.byPeak[peak] = d
}

// Copies are all that were decided, in order.
func (b *Decisions) Copies() (out []Copy) {
	for _, d := range b.byPeak {
		out = append(out, d.copies...)
	}
	slices.SortFunc(out, func(x, y Copy) int {
		return cmp.Or(cmp.Compare(x.Peak, y.Peak), cmp.Compare(x.Title, y.Title), cmp.Compare(x.Box, y.Box))
	})
	return out
}
