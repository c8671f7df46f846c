package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"time"

	"rainpulley/internal/peaks"
	"rainpulley/internal/standin"
)

// arrival records when a viewer arrived and what it requested. The oracles and the upper bound replay the arrivals.
type arrival struct {
	arrivedAt   time.Duration
	viewer      *standin.Viewer
	forPeak     bool
	reportIndex int
}

// announcePeaks announces the script's peaks to the planner.
func (r *Run) announcePeaks() error {
	now := time.Now()
	for i, p := range r.Script.Peaks {
		if p.Unannounced {
			continue
		}
		rate := p.AnnouncedRate
		if rate <= 0 {
			rate = p.ArrivalRate
		}
		announcement := peaks.Announcement{ID: fmt.Sprint("peak-", i), Version: 1, Class: p.Class, Rate: rate * r.Speed,
			SessionDuration: r.meanSessionMillis(p.Class),
			Start:           now.Add(time.Duration(float64(p.Start.Std()+p.AnnouncementOffset.Std()) / r.Speed)).UnixMilli(),
			Uncertainty:     int64(float64(p.Uncertainty.Std().Milliseconds()) / r.Speed),
			Duration:        int64(float64(p.Duration.Std().Milliseconds()) / r.Speed)}
		for offset := range p.TitleCount {
			announcement.Titles = append(announcement.Titles, r.Site.Titles[p.FirstTitle+offset].Name)
		}
		body, err := json.Marshal(announcement)
		if err != nil {
			return err
		}
		request, err := http.NewRequest("PUT", "http://"+r.Site.Planner.Listen+"/v1/peaks/"+announcement.ID,
			bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return fmt.Errorf("scenario: announcing a peak: %w", err)
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode/100 != 2 {
			return fmt.Errorf("scenario: announcing a peak: status %d: %s", response.StatusCode, text)
		}
	}
	return nil
}

// meanSessionMillis returns the mean session length of a class, in milliseconds of real time.
func (r *Run) meanSessionMillis(class string) int64 {
	mean, _ := r.Script.sessionLength(class)
	return int64(mean * 1000 / r.Speed)
}

// runPeak starts the additional viewers of a peak, as a Poisson process, from its start to its end.
func (r *Run) runPeak(ctx context.Context, index int, p Peak, rnd *rand.Rand) {
	if !r.sleep(ctx, p.Start.Std()) || p.ArrivalRate <= 0 {
		return
	}
	ended := time.After(time.Duration(float64(p.Duration.Std()) / r.Speed))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(time.Duration(rnd.ExpFloat64() / (p.ArrivalRate * r.Speed) * float64(time.Second))):
		}
		viewer := r.newViewer()
		viewer.Class = r.Site.ClassIndex(p.Class)
		r.mu.Lock()
		r.drawSessionLength(viewer)
		r.mu.Unlock()
		viewer.BestRung = len(r.Site.Ladder) - 1
		if top := r.Site.Classes[viewer.Class].Top; top != nil {
			viewer.BestRung = *top
		}
		viewer.GiveUpAfter = 0
		viewer.Title = r.Site.Titles[p.FirstTitle+rnd.IntN(p.TitleCount)].Name
		r.startViewer(ctx, viewer, true)
	}
}

// boxWithMostPeakTitles returns the index of the box whose cell stores the most titles of the first peak, or 0 if the
// script has no peaks.
func (r *Run) boxWithMostPeakTitles() int {
	if len(r.Script.Peaks) == 0 {
		return 0
	}
	peak, mostTitles, bestBox := r.Script.Peaks[0], -1, 0
	for i, b := range r.Site.Boxes {
		titles := 0
		for offset := range peak.TitleCount {
			title := r.Site.Titles[peak.FirstTitle+offset]
			if ((b.Cell-title.Home)%r.Site.Cells+r.Site.Cells)%r.Site.Cells < title.Span {
				titles++
			}
		}
		if titles > mostTitles {
			mostTitles, bestBox = titles, i
		}
	}
	return bestBox
}

// UpperBound returns an upper bound of the share of the worth asked that any policy can deliver, even one that knows
// all arrivals in advance. Every 0.25 s, the capacity of all links together is given to the steps of the current
// viewers in the order of worth per kB/s. Holders, racks, streams, seats and switch costs are ignored, so the true
// optimum is at most this share.
func (r *Run) UpperBound() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity, asked, delivered := r.fleet.TotalLinkRate(), 0.0, 0.0
	const step = 0.25 // seconds
	lastEnd := 0.0
	for _, a := range r.arrivals {
		lastEnd = max(lastEnd, (a.arrivedAt + a.viewer.SessionLength).Seconds())
	}
	type gain struct{ worth, rate float64 }
	for t := step / 2; t < lastEnd; t += step {
		var gains []gain
		for _, a := range r.arrivals {
			if t < a.arrivedAt.Seconds() || t >= (a.arrivedAt+a.viewer.SessionLength).Seconds() {
				continue
			}
			class := r.Site.Classes[a.viewer.Class]
			worth, rate := 0.0, 0.0
			for _, g := range worthHull(r, a.viewer.Class, class.Floor, a.viewer.BestRung) {
				gains = append(gains, gain{g[0] - worth, g[1] - rate})
				worth, rate = g[0], g[1]
			}
			asked += step * class.Worth * r.Site.Ladder[a.viewer.BestRung].Worth
		}
		slices.SortFunc(gains, func(a, b gain) int { return int(math.Copysign(1, b.worth*a.rate-a.worth*b.rate)) })
		headroom := capacity
		for _, g := range gains {
			share := min(headroom/g.rate, 1)
			delivered, headroom = delivered+step*share*g.worth, headroom-share*g.rate
			if headroom <= 0 {
				break
			}
		}
	}
	if asked == 0 {
		return 0
	}
	return round(delivered / asked)
}

// OracleShare returns the share of the worth asked that an optimal placement delivers. It knows all arrivals and can
// move viewers at no cost: at each sampled moment, a linear program places the current viewers on the true holders,
// links, uplinks and streams. There are sixty samples per day, or as many as are started within forty seconds. With
// spread, the titles of peaks are stored on every box. Samples on which the solver fails numerically are left out;
// the second result counts them.
func (r *Run) OracleShare(spread bool) (share float64, failed int) {
	r.mu.Lock()
	arrivals := slices.Clone(r.arrivals)
	r.mu.Unlock()
	lastEnd := 0.0
	for _, a := range arrivals {
		lastEnd = max(lastEnd, (a.arrivedAt + a.viewer.SessionLength).Seconds())
	}
	var mu sync.Mutex
	var workers sync.WaitGroup
	asked, delivered := 0.0, 0.0
	semaphore := make(chan struct{}, runtime.NumCPU())
	startedAt := time.Now()
	// In golden-ratio order, the samples cover the day evenly wherever the time limit ends them: on large fleets, a sample
	// takes seconds.
	for i := range oracleSamples {
		t := lastEnd * math.Mod(0.5+float64(i)*0.6180339887, 1)
		workers.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer workers.Done()
			defer func() { <-semaphore }()
			if time.Since(startedAt) > oracleTimeLimit {
				return
			}
			fleet, demands, fullWorth := r.demandAt(arrivals, t, spread)
			plan, err := peaks.SolveLP(fleet, demands)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			asked, delivered = asked+fullWorth, delivered+plan.Value
		}()
	}
	workers.Wait()
	if asked == 0 {
		return 0, failed
	}
	return round(delivered / asked), failed
}

const (
	oracleSamples   = 60
	oracleTimeLimit = 40 * time.Second
)

// demandAt returns the fleet and the demand of the viewers present at t seconds, as input of the planner's linear
// program, and the worth per second of serving all of them at their best rungs.
func (r *Run) demandAt(arrivals []arrival, t float64, spread bool) (*peaks.Fleet, []peaks.Demand, float64) {
	fleet := r.fleet.ActualFleet()
	for _, rung := range r.Site.Ladder {
		fleet.Ladder, fleet.RungWorths = append(fleet.Ladder, float64(rung.Rate)), append(fleet.RungWorths, rung.Worth)
	}
	type group struct {
		title       string
		class, best int
	}
	counts, asked := map[group]float64{}, 0.0
	for _, a := range arrivals {
		if t >= a.arrivedAt.Seconds() && t < (a.arrivedAt+a.viewer.SessionLength).Seconds() {
			counts[group{a.viewer.Title, a.viewer.Class, a.viewer.BestRung}]++
			asked += r.Site.Classes[a.viewer.Class].Worth * r.Site.Ladder[a.viewer.BestRung].Worth
		}
	}
	var demands []peaks.Demand
	for _, title := range r.Site.Titles {
		for class, classConfig := range r.Site.Classes {
			for best := range r.Site.Ladder {
				if count := counts[group{title.Name, class, best}]; count > 0 {
					fleet.Classes = append(fleet.Classes, peaks.Class{RateFactor: classConfig.RateFactor, FloorRung: classConfig.Floor,
						TopRung: best, Worth: classConfig.Worth})
					demand := peaks.Demand{Peak: "all", Title: fmt.Sprint(title.Name, class, best), Class: len(fleet.Classes) - 1,
						HomeCell: title.Home, CellSpan: title.Span, Sessions: count, Worth: classConfig.Worth}
					if spread && r.isPeakTitle(title.Name) {
						demand.CellSpan = fleet.Cells
					}
					demands = append(demands, demand)
				}
			}
		}
	}
	return fleet, demands, asked
}

// isPeakTitle reports whether any peak requests the title.
func (r *Run) isPeakTitle(title string) bool {
	for _, p := range r.Script.Peaks {
		for i := range p.TitleCount {
			if r.Site.Titles[p.FirstTitle+i].Name == title {
				return true
			}
		}
	}
	return false
}

// worthHull returns the points {worth, kB/s} of the upper convex hull of a class's rungs from floor to best, starting
// at zero: the worth that a mix of rungs can reach at each rate.
func worthHull(run *Run, class, floor, best int) (out [][2]float64) {
	classConfig := run.Site.Classes[class]
	for rung := floor; rung <= best; rung++ {
		point := [2]float64{classConfig.Worth * run.Site.Ladder[rung].Worth,
			float64(run.Site.Ladder[rung].Rate) * classConfig.RateFactor}
		for len(out) > 0 {
			previous := [2]float64{}
			if len(out) > 1 {
				previous = out[len(out)-2]
			}
			last := out[len(out)-1]
			if (last[0]-previous[0])*(point[1]-previous[1]) > (point[0]-previous[0])*(last[1]-previous[1]) {
				break
			}
			out = out[:len(out)-1]
		}
		out = append(out, point)
	}
	return out
}

// PeakAndOtherShares returns the share of the worth asked that was delivered to the viewers of peaks, and the same for
// all other viewers.
func (r *Run) PeakAndOtherShares() (atPeak, others float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var asked, delivered [2]float64
	for _, a := range r.arrivals {
		group := 0
		if a.forPeak {
			group = 1
		}
		asked[group] += r.reports[a.reportIndex].WorthAsked
		delivered[group] += r.reports[a.reportIndex].WorthDelivered
	}
	return round(delivered[1] / max(asked[1], 1e-9)), round(delivered[0] / max(asked[0], 1e-9))
}
