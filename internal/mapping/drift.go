package mapping

import (
	"math"
	"slices"
	"time"
)

// Drift follows what is wanted of each title without any announcement, and says which titles should have
// copies beyond those at rest. Times are Unix milliseconds.
type DriftTracker struct {
	HalfLife        time.Duration // a count of viewers has half its say after this
	averageSessions map[string]float64
	updatedAt       int64
	extraCopies     map[string][]string // copies that stand, by title
}

// Of a drift.
const (
	maxCopiesPerPass = 2    // copies added in one pass: popularity is slow, and copies use the viewers' links
	releaseMargin    = 0.75 // a copy is given back once its title would not lack it with its viewers over this
)

// NewDrift knows nothing.
func NewDriftTracker(half time.Duration) *DriftTracker {
	return &DriftTracker{HalfLife: half, averageSessions: map[string]float64{}, extraCopies: map[string][]string{}}
}

// Saw takes how many sessions of each title play.
func (d *DriftTracker) Update(now int64, playing map[string]float64) {
	say := 1.0
	if d.updatedAt > 0 && d.HalfLife > 0 {
		say = 1 - math.Exp2(-float64(max(now-d.updatedAt, 0))/float64(d.HalfLife.Milliseconds()))
	}
	d.updatedAt = now
	for t := range d.averageSessions {
		if _, ok := playing[t]; !ok {
			if d.averageSessions[t] *= 1 - say; d.averageSessions[t] < 0.01 {
				delete(d.averageSessions, t)
			}
		}
	}
	for t, n := range playing {
		d.averageSessions[t] += say * (n - d.averageSessions[t])
	}
}

// Wanted is how many sessions of a title are thought to play.
func (d *DriftTracker) AverageSessions(title string) float64 { return d.averageSessions[title] }

// Copies says which copies should lie beyond those at rest. Titles' holders are given as at rest. All links
// are thought of as empty and shared out evenly: a title lacks where its holders cannot give its viewers
// what the others get.
func (d *DriftTracker) PlanCopies(boxes []Box, disk map[string]float64, titles []TitleDemand, b Bounds) (out []Copy) {
	links, viewers := 0.0, 0.0
	empty := slices.Clone(boxes)
	for i := range empty {
		links += empty[i].LinkCapacity
		empty[i].LinkLoad = 0
	}
	for _, t := range titles {
		viewers += d.averageSessions[t.Title]
	}
	if viewers < 1 || links <= 0 {
		clear(d.extraCopies)
		return nil
	}
	even := b.MaxUtilization * links / viewers
	hours := d.titleDemands(titles, even, 1)
	d.releaseCopies(empty, disk, d.titleDemands(titles, even, 1/releaseMargin), b)
	for i := range hours {
		hours[i].Holders = union(titles[i].Holders, d.extraCopies[titles[i].Title])
	}
	b.MaxCopies = maxCopiesPerPass
	for _, c := range GreedyCopies(empty, disk, hours, b) {
		d.extraCopies[c.Title] = union(d.extraCopies[c.Title], []string{c.Box})
	}
	for _, t := range titles {
		for _, box := range d.extraCopies[t.Title] {
			out = append(out, Copy{Title: t.Title, Box: box})
		}
	}
	return out
}

func (d *DriftTracker) titleDemands(titles []TitleDemand, even, times float64) []TitleDemand {
	out := slices.Clone(titles)
	for i := range out {
		n := d.averageSessions[out[i].Title] * times
		top := out[i].Rate // of one session, at the best
		out[i].Sessions, out[i].Rate, out[i].Worth = n, n*min(even/times, top), n*out[i].Worth
	}
	return out
}

// giveBack takes copies away one by one, where their title would not lack them if its viewers grew again.
func (d *DriftTracker) releaseCopies(boxes []Box, disk map[string]float64, hours []TitleDemand, b Bounds) {
	s := newSpreadState(boxes, disk, b.MaxUtilization)
	holders := make([][]int, len(hours))
	places := func(i int, made []string) (out []int) {
		for _, id := range union(hours[i].Holders, made) {
			if k, ok := s.indexByID[id]; ok {
				out = append(out, k)
			}
		}
		return out
	}
	for i := range hours {
		holders[i] = places(i, d.extraCopies[hours[i].Title])
	}
	for i := range hours {
		t := hours[i].Title
		d.extraCopies[t] = slices.DeleteFunc(d.extraCopies[t], func(id string) bool { _, ok := s.indexByID[id]; return !ok })
		if n := len(d.extraCopies[t]); n > 0 {
			old := holders[i]
			holders[i] = places(i, d.extraCopies[t][:n-1])
			if lacks, _ := s.distribute(hours, holders); lacks[i] <= 1e-6 {
				d.extraCopies[t] = d.extraCopies[t][:n-1]
			} else {
				holders[i] = old
			}
		}
		if len(d.extraCopies[t]) == 0 {
			delete(d.extraCopies, t)
		}
	}
}

func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
