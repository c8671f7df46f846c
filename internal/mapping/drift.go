package mapping

import (
	"math"
	"slices"
	"time"
)

// DriftTracker follows the popularity of each title outside announced peaks and decides which titles should have
// copies in addition to the permanent ones. Times are Unix milliseconds.
type DriftTracker struct {
	HalfLife        time.Duration // a count of sessions has half its weight after this time
	averageSessions map[string]float64
	updatedAt       int64
	extraCopies     map[string][]string // boxes of the copies in effect, by title
}

// Limits on the copies of a DriftTracker.
const (
	maxCopiesPerPass = 2 // copies added per pass: popularity changes slowly, and copying uses the viewers' links
	// A copy is released only if its title would have no shortfall without it, even with its sessions divided by this.
	releaseMargin = 0.75
)

// NewDriftTracker returns a tracker that has no counts yet.
func NewDriftTracker(half time.Duration) *DriftTracker {
	return &DriftTracker{HalfLife: half, averageSessions: map[string]float64{}, extraCopies: map[string][]string{}}
}

// Update adds the current number of sessions of each title to the averages.
func (d *DriftTracker) Update(now int64, playing map[string]float64) {
	weight := 1.0
	if d.updatedAt > 0 && d.HalfLife > 0 {
		weight = 1 - math.Exp2(-float64(max(now-d.updatedAt, 0))/float64(d.HalfLife.Milliseconds()))
	}
	d.updatedAt = now
	for t := range d.averageSessions {
		if _, ok := playing[t]; !ok {
			if d.averageSessions[t] *= 1 - weight; d.averageSessions[t] < 0.01 {
				delete(d.averageSessions, t)
			}
		}
	}
	for t, n := range playing {
		d.averageSessions[t] += weight * (n - d.averageSessions[t])
	}
}

// AverageSessions returns the decaying average of a title's sessions.
func (d *DriftTracker) AverageSessions(title string) float64 { return d.averageSessions[title] }

// PlanCopies returns the copies that should exist in addition to the permanent ones. The holders of titles are those of
// their permanent copies. All links count as idle and as shared evenly: a title has a shortfall where its holders
// cannot give its viewers the rate that the others get.
func (d *DriftTracker) PlanCopies(boxes []Box, freeDisk map[string]float64, titles []TitleDemand,
	bounds Bounds) (out []Copy) {
	totalLink, totalSessions := 0.0, 0.0
	unloaded := slices.Clone(boxes)
	for i := range unloaded {
		totalLink += unloaded[i].LinkCapacity
		unloaded[i].LinkLoad = 0
	}
	for _, t := range titles {
		totalSessions += d.averageSessions[t.Title]
	}
	if totalSessions < 1 || totalLink <= 0 {
		clear(d.extraCopies)
		return nil
	}
	evenRate := bounds.MaxUtilization * totalLink / totalSessions
	demands := d.titleDemands(titles, evenRate, 1)
	d.releaseCopies(unloaded, freeDisk, d.titleDemands(titles, evenRate, 1/releaseMargin), bounds)
	for i := range demands {
		demands[i].Holders = union(titles[i].Holders, d.extraCopies[titles[i].Title])
	}
	bounds.MaxCopies = maxCopiesPerPass
	for _, c := range GreedyCopies(unloaded, freeDisk, demands, bounds) {
		d.extraCopies[c.Title] = union(d.extraCopies[c.Title], []string{c.Box})
	}
	for _, t := range titles {
		for _, box := range d.extraCopies[t.Title] {
			out = append(out, Copy{Title: t.Title, Box: box})
		}
	}
	return out
}

// titleDemands returns the demands of the titles for their average sessions, multiplied by factor, at the even rate.
func (d *DriftTracker) titleDemands(titles []TitleDemand, evenRate, factor float64) []TitleDemand {
	out := slices.Clone(titles)
	for i := range out {
		sessions := d.averageSessions[out[i].Title] * factor
		maxRate := out[i].Rate // of one session at the highest rung
		out[i].Sessions, out[i].Rate, out[i].Worth = sessions, sessions*min(evenRate/factor, maxRate), sessions*out[i].Worth
	}
	return out
}

// releaseCopies removes at most one copy per title, if the title would have no shortfall without it even if its
// sessions increased again.
func (d *DriftTracker) releaseCopies(boxes []Box, freeDisk map[string]float64, demands []TitleDemand, bounds Bounds) {
	state := newSpreadState(boxes, freeDisk, bounds.MaxUtilization)
	holders := make([][]int, len(demands))
	holderIndexes := func(i int, extra []string) (out []int) {
		for _, id := range union(demands[i].Holders, extra) {
			if k, ok := state.indexByID[id]; ok {
				out = append(out, k)
			}
		}
		return out
	}
	for i := range demands {
		holders[i] = holderIndexes(i, d.extraCopies[demands[i].Title])
	}
	for i := range demands {
		t := demands[i].Title
		d.extraCopies[t] = slices.DeleteFunc(d.extraCopies[t],
			func(id string) bool { _, ok := state.indexByID[id]; return !ok })
		if n := len(d.extraCopies[t]); n > 0 {
			previous := holders[i]
			holders[i] = holderIndexes(i, d.extraCopies[t][:n-1])
			if shortfalls, _ := state.distribute(demands, holders); shortfalls[i] <= 1e-6 {
				d.extraCopies[t] = d.extraCopies[t][:n-1]
			} else {
				holders[i] = previous
			}
		}
		if len(d.extraCopies[t]) == 0 {
			delete(d.extraCopies, t)
		}
	}
}

// union returns the sorted union of two lists.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
