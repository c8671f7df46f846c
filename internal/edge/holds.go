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

// holds is what this edge was told to keep for announced peaks, and what it counts for the planner.
type holdState struct {
	mu        sync.Mutex
	active    int           // that the module knows of
	expiresAt time.Duration // by this edge's own clock
	counted   []view.CountedTitle
	arrivals  map[string]float64 // first requests, by class and title
	reportSeq uint64
}

// mostCounted bounds the titles whose requests are counted.
const maxCounted = 10000

// arrive counts a viewer's first request.
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

// hold takes what the planner told.
func (e *Edge) applyHolds(update *view.Holds) {
	next := control.HoldsUpdate{}
	for _, p := range update.Entries {
		if class := e.Site.Class(p.Class); class >= 0 {
			next.Holds = append(next.Holds, control.Hold{Server: p.Box, Class: class, Title: hash(p.Title), Rate: p.Rate, Streams: p.Streams})
		} else {
			e.Log.Warn("hold of a class that the site does not have", "class", p.Class, "title", p.Title)
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

// lapse lets holds go that were not told again in time: a planner that is gone keeps nobody out.
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

// inForce is how many holds the module knows of.
func (h *holdState) activeCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

const reportInterval = time.Second

// reportUse tells the planner what is used of peaks' room, while it asks for it.
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
			e.Log.Error("use not reported", "error", err)
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, reportInterval)
		resp, err := e.boxes.http.Do(requestCtx, e.Planner, "POST", "/v1/used", []string{"Content-Type", "application/json"}, body)
		cancel()
		if err != nil || resp.Status != 204 {
			e.Log.Debug("use not reported", "error", err)
		}
	}
}

// use sums up the sessions of counted titles; nil where nothing is asked for.
func (e *Edge) usage() *view.UsageReport {
	h := &e.holds
	h.mu.Lock()
	counted := h.counted
	h.reportSeq++
	report := &view.UsageReport{Edge: strconv.Itoa(e.Position) + "." + e.instanceID, Seq: h.reportSeq}
	for _, c := range counted {
		report.Arrivals = append(report.Arrivals, view.TitleArrivals{Peak: c.Peak, Title: c.Title, Count: h.arrivals[c.Class+"/"+c.Title]})
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
