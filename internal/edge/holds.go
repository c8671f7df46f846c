package edge

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/admission"
	"rainpulley/internal/timeconv"
	"rainpulley/internal/view"
)

// holdState contains the holds that the planner assigned to this edge for announced peaks, and the arrivals that the
// edge counts for the planner.
type holdState struct {
	mu        sync.Mutex
	active    int           // number of holds that the module has
	expiresAt time.Duration // by the clock of this edge
	counted   []view.CountedTitle
	arrivals  map[string]float64 // first requests of viewers, by class and title
	reportSeq uint64
}

// maxCounted limits the pairs of class and title whose requests are counted, and the boxes whose set-up outcomes
// are counted.
const maxCounted = 10000

// countArrival counts the first request of a viewer.
func (h *holdState) countArrival(class, title string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arrivals == nil {
		h.arrivals = map[string]float64{}
	}
	if k := class + "/" + title; len(h.arrivals) < maxCounted || h.arrivals[k] > 0 {
		h.arrivals[k]++
	}
}

// applyHolds replaces the holds by those that the planner sent.
func (e *Edge) applyHolds(update *view.Holds) {
	next := control.HoldsUpdate{}
	for _, p := range update.Entries {
		if class := e.Site.ClassIndex(p.Class); class >= 0 {
			next.Holds = append(next.Holds, control.Hold{Server: p.Box, Class: class, Title: hash(p.Title),
				Rate: p.Rate, Streams: p.Streams})
		} else {
			e.Log.Warn("hold ignored: its class is not in the site file", "class", p.Class, "title", p.Title)
		}
	}
	h := &e.holds
	h.mu.Lock()
	changed := h.active+len(next.Holds) > 0
	h.active, h.expiresAt, h.counted = len(next.Holds), e.now()+timeconv.Milliseconds(update.LeaseMs), update.CountedTitles
	h.mu.Unlock()
	if changed {
		e.orchestrator.AddEvent(next)
	}
}

// expireHolds removes all holds whose lease the planner did not renew, so that an unreachable planner does not keep
// viewers out.
func (e *Edge) expireHolds() {
	h := &e.holds
	h.mu.Lock()
	expired := h.active > 0 && e.now() > h.expiresAt
	if expired {
		h.active = 0
	}
	h.mu.Unlock()
	if expired {
		e.Log.Warn("holds lapsed: the planner did not renew them")
		e.orchestrator.AddEvent(control.HoldsUpdate{})
	}
}

// activeCount returns the number of holds that the module has.
func (h *holdState) activeCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

const reportInterval = time.Second

// reportUsage reports to the planner every reportInterval how much of the capacity held for peaks is used, as long
// as the planner asks for counts or set-up outcomes changed.
func (e *Edge) reportUsage(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		report := e.usage()
		if report == nil {
			continue
		}
		body, err := json.Marshal(report)
		if err != nil {
			e.Log.Error("could not encode the usage report", "error", err)
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, reportInterval)
		resp, err := e.boxes.http.Do(requestCtx, e.Planner, "POST", "/v1/used",
			[]string{"Content-Type", "application/json"}, body)
		cancel()
		if err != nil || resp.Status != 204 {
			e.Log.Debug("usage report not accepted", "error", err)
		}
	}
}

// usage returns the streams and rates of the playing sessions of counted titles, or nil if the planner asked for no
// counts and no set-up outcome changed.
func (e *Edge) usage() *view.UsageReport {
	h := &e.holds
	h.mu.Lock()
	counted := h.counted
	h.reportSeq++
	report := &view.UsageReport{Edge: strconv.Itoa(e.Position) + "." + e.instanceID, Seq: h.reportSeq}
	for _, c := range counted {
		report.Arrivals = append(report.Arrivals, view.TitleArrivals{Peak: c.Peak, Title: c.Title,
			Count: h.arrivals[c.Class+"/"+c.Title]})
	}
	h.mu.Unlock()
	report.Outcomes = e.boxes.takeOutcomes()
	if len(counted) == 0 && len(report.Outcomes) == 0 {
		return nil
	}
	peakByKey := map[string]string{} // by class and title
	for _, c := range counted {
		peakByKey[c.Class+"/"+c.Title] = c.Peak
	}
	sums := map[[3]string]*view.TitleUsage{}
	e.sessions.forEach(func(s *session) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		p, ok := peakByKey[e.Site.Classes[s.class].Name+"/"+s.title.Name]
		if !ok || s.state != admission.Playing {
			return true
		}
		k := [3]string{p, s.title.Name, s.server}
		if sums[k] == nil {
			sums[k] = &view.TitleUsage{Peak: p, Title: s.title.Name, Box: s.server}
		}
		sums[k].Streams++
		sums[k].Rate += e.settings.Ladder[s.publishedRung] * e.settings.Classes[s.class].RateFactor
		return true
	})
	for _, x := range sums {
		report.Usage = append(report.Usage, *x)
	}
	return report
}
