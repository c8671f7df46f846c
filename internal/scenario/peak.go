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

// want is what a viewer wanted, for the bound.
type arrival struct {
	at          time.Duration
	viewer      *standin.Viewer
	forPeak     bool
	reportIndex int
}

// announce tells the planner of the day's peaks.
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
		a := peaks.Announcement{ID: fmt.Sprint("peak-", i), Version: 1, Class: p.Class, Rate: rate * r.Speed, SessionDuration: r.meanSessionMillis(p.Class),
			Start: now.Add(time.Duration(float64(p.Start.D()+p.AnnouncementOffset.D()) / r.Speed)).UnixMilli(), Uncertainty: int64(float64(p.Uncertainty.D().Milliseconds()) / r.Speed),
			Duration: int64(float64(p.Duration.D().Milliseconds()) / r.Speed)}
		for k := range p.TitleCount {
			a.Titles = append(a.Titles, r.Site.Titles[p.FirstTitle+k].Name)
		}
		b, err := json.Marshal(a)
		if err != nil {
			return err
		}
		q, err := http.NewRequest("PUT", "http://"+r.Site.Planner.Listen+"/v1/peaks/"+a.ID, bytes.NewReader(b))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			return fmt.Errorf("scenario: announce: %w", err)
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 2 {
			return fmt.Errorf("scenario: announce: %d %s", resp.StatusCode, text)
		}
	}
	return nil
}

// session is how long sessions of a class last, in milliseconds.
func (r *Run) meanSessionMillis(class string) int64 {
	mean, _ := r.Script.sessionLength(class)
	return int64(mean * 1000 / r.Speed)
}

// peak lets a peak's viewers come.
func (r *Run) runPeak(ctx context.Context, number int, p Peak, rnd *rand.Rand) {
	if !r.sleep(ctx, p.Start.D()) || p.ArrivalRate <= 0 {
		return
	}
	over := time.After(time.Duration(float64(p.Duration.D()) / r.Speed))
	for {
		select {
		case <-ctx.Done():
			return
		case <-over:
			return
		case <-time.After(time.Duration(rnd.ExpFloat64() / (p.ArrivalRate * r.Speed) * float64(time.Second))):
		}
		v := r.newViewer()
		v.Class = r.Site.Class(p.Class)
		r.mu.Lock()
		r.drawSessionLength(v)
		r.mu.Unlock()
		v.BestRung = len(r.Site.Ladder) - 1
		if t := r.Site.Classes[v.Class].Top; t != nil {
			v.BestRung = *t
		}
		v.GiveUpAfter = 0
		v.Title = r.Site.Titles[p.FirstTitle+rnd.IntN(p.TitleCount)].Name
		r.startViewer(ctx, v, true)
	}
}

// heldBox is the box that holds most of the first peak's titles.
func (r *Run) boxWithMostPeakTitles() int {
	if len(r.Script.Peaks) == 0 {
		return 0
	}
	p, most, best := r.Script.Peaks[0], -1, 0
	for i, b := range r.Site.Boxes {
		n := 0
		for k := range p.TitleCount {
			t := r.Site.Titles[p.FirstTitle+k]
			if ((b.Cell-t.Home)%r.Site.Cells+r.Site.Cells)%r.Site.Cells < t.Span {
				n++
			}
		}
		if n > most {
			most, best = n, i
		}
	}
	return best
}

// Bound is the share of the worth asked that no policy can beat, even one that knows who comes when: in
// each second, what all viewers of that second want, fitted into all links taken as one, by the steps that
// earn most for each kB/s. Holders, racks, streams, seats and the price of switches are left out, so that
// the true best lies below it.
func (r *Run) UpperBound() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity, asked, got := r.fleet.TotalLinkRate(), 0.0, 0.0
	const step = 0.25 // seconds
	last := 0.0
	for _, w := range r.arrivals {
		last = max(last, (w.at + w.viewer.SessionLength).Seconds())
	}
	type gain struct{ worth, kb float64 }
	for t := step / 2; t < last; t += step {
		var gains []gain
		for _, w := range r.arrivals {
			if t < w.at.Seconds() || t >= (w.at+w.viewer.SessionLength).Seconds() {
				continue
			}
			k := r.Site.Classes[w.viewer.Class]
			worth, kb := 0.0, 0.0
			for _, g := range worthHull(r, w.viewer.Class, k.Floor, w.viewer.BestRung) {
				gains = append(gains, gain{g[0] - worth, g[1] - kb})
				worth, kb = g[0], g[1]
			}
			asked += step * k.Worth * r.Site.Ladder[w.viewer.BestRung].Worth
		}
		slices.SortFunc(gains, func(a, b gain) int { return int(math.Copysign(1, b.worth*a.kb-a.worth*b.kb)) })
		room := capacity
		for _, g := range gains {
			part := min(room/g.kb, 1)
			got, room = got+step*part*g.worth, room-part*g.kb
			if room <= 0 {
				break
			}
		}
	}
	if asked == 0 {
		return 0
	}
	return round(got / asked)
}

// Oracle is the share that a plan reaches which knows who comes when, and moves every viewer for nothing
// to where a linear program wants it: on the true holders, links, uplinks and streams, sampled
// sixty times a day, or as many as are solved in forty seconds. With spread, the titles of peaks lie on every box. Samples that the solver's arithmetic fails on are left out; the second result counts them.
func (r *Run) OracleShare(spread bool) (share float64, failed int) {
	r.mu.Lock()
	wants := slices.Clone(r.arrivals)
	r.mu.Unlock()
	last := 0.0
	for _, w := range wants {
		last = max(last, (w.at + w.viewer.SessionLength).Seconds())
	}
	var mu sync.Mutex
	var work sync.WaitGroup
	asked, got := 0.0, 0.0
	slots := make(chan struct{}, runtime.NumCPU())
	begin := time.Now()
	for i := range oracleSamples { // in an order that covers the day at any end: large fleets take seconds for each
		t := last * math.Mod(0.5+float64(i)*0.6180339887, 1)
		work.Add(1)
		slots <- struct{}{}
		go func() {
			defer work.Done()
			defer func() { <-slots }()
			if time.Since(begin) > oracleTimeLimit {
				return
			}
			f, demands, all := r.demandAt(wants, t, spread)
			p, err := peaks.SolveLP(f, demands)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			asked, got = asked+all, got+p.Value
		}()
	}
	work.Wait()
	if asked == 0 {
		return 0, failed
	}
	return round(got / asked), failed
}

const (
	oracleSamples   = 60
	oracleTimeLimit = 40 * time.Second
)

// wanted is what is wanted at a moment, as a plan sees it, and what it is worth in full.
func (r *Run) demandAt(wants []arrival, t float64, spread bool) (*peaks.Fleet, []peaks.Demand, float64) {
	f := r.fleet.ActualFleet()
	for _, g := range r.Site.Ladder {
		f.Ladder, f.RungWorths = append(f.Ladder, float64(g.Rate)), append(f.RungWorths, g.Worth)
	}
	type group struct {
		title       string
		class, best int
	}
	n, asked := map[group]float64{}, 0.0
	for _, w := range wants {
		if t >= w.at.Seconds() && t < (w.at+w.viewer.SessionLength).Seconds() {
			n[group{w.viewer.Title, w.viewer.Class, w.viewer.BestRung}]++
			asked += r.Site.Classes[w.viewer.Class].Worth * r.Site.Ladder[w.viewer.BestRung].Worth
		}
	}
	var demands []peaks.Demand
	for _, title := range r.Site.Titles {
		for class, k := range r.Site.Classes {
			for best := range r.Site.Ladder {
				if c := n[group{title.Name, class, best}]; c > 0 {
					f.Classes = append(f.Classes, peaks.Class{RateFactor: k.RateFactor, FloorRung: k.Floor, TopRung: best, Worth: k.Worth})
					d := peaks.Demand{Peak: "all", Title: fmt.Sprint(title.Name, class, best), Class: len(f.Classes) - 1,
						HomeCell: title.Home, CellSpan: title.Span, Sessions: c, Worth: k.Worth}
					if spread && r.isPeakTitle(title.Name) {
						d.CellSpan = f.Cells
					}
					demands = append(demands, d)
				}
			}
		}
	}
	return f, demands, asked
}

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

// hull is the upper hull of worth over kB/s from nothing to the best rung: what mixing rungs could earn.
func worthHull(r *Run, class, floor, best int) (out [][2]float64) {
	k := r.Site.Classes[class]
	for i := floor; i <= best; i++ {
		p := [2]float64{k.Worth * r.Site.Ladder[i].Worth, float64(r.Site.Ladder[i].Rate) * k.RateFactor}
		for len(out) > 0 {
			from := [2]float64{}
			if len(out) > 1 {
				from = out[len(out)-2]
			}
			mid := out[len(out)-1]
			if (mid[0]-from[0])*(p[1]-from[1]) > (p[0]-from[0])*(mid[1]-from[1]) {
				break
			}
			out = out[:len(out)-1]
		}
		out = append(out, p)
	}
	return out
}

// PeakShare is the share of worth delivered of asked by viewers of peaks, and by the others.
func (r *Run) PeakAndOtherShares() (in, outside float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var asked, got [2]float64
	for _, w := range r.arrivals {
		i := 0
		if w.forPeak {
			i = 1
		}
		asked[i] += r.reports[w.reportIndex].WorthAsked
		got[i] += r.reports[w.reportIndex].WorthDelivered
	}
	return round(got[1] / max(asked[1], 1e-9)), round(got[0] / max(asked[0], 1e-9))
}
