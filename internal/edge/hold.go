package edge

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/admission"
	"rainpulley/internal/bound"
	"rainpulley/internal/view"
)

// holds is what this edge was told to keep for announced peaks, and what it counts for the planner.
type holds struct {
	mu      sync.Mutex
	told    int           // that the module knows of
	expires time.Duration // by this edge's own clock
	count   []view.Count
	arrived map[string]float64 // first requests, by class and title
	seq     uint64
}

// mostCounted bounds the titles whose requests are counted.
const mostCounted = 10000

// arrive counts a viewer's first request.
func (h *holds) arrive(class, title string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arrived == nil {
		h.arrived = map[string]float64{}
	}
	if k := class + "/" + title; len(h.arrived) < mostCounted || h.arrived[k] > 0 {
		h.arrived[k]++
	}
}

// hold takes what the planner told.
func (e *Edge) hold(t *view.Holds) {
	out := control.HoldsUpdate{}
	for _, p := range t.Parts {
		if class := e.Site.Class(p.Class); class >= 0 {
			out.Holds = append(out.Holds, control.Hold{Server: p.Box, Class: class, Title: hash(p.Title), Rate: p.Rate, Streams: p.Streams})
		} else {
			e.Log.Warn("hold of a class that the site does not have", "class", p.Class, "title", p.Title)
		}
	}
	h := &e.holds
	h.mu.Lock()
	tell := h.told+len(out.Holds) > 0
	h.told, h.expires, h.count = len(out.Holds), e.now()+bound.Ms(t.Lease), t.Count
	h.mu.Unlock()
	if tell {
		e.owner.AddEvent(out)
	}
}

// lapse lets holds go that were not told again in time: a planner that is gone keeps nobody out.
func (e *Edge) lapse() {
	h := &e.holds
	h.mu.Lock()
	over := h.told > 0 && e.now() > h.expires
	if over {
		h.told = 0
	}
	h.mu.Unlock()
	if over {
		e.Log.Warn("holds lapsed: the planner did not renew them")
		e.owner.AddEvent(control.HoldsUpdate{})
	}
}

// inForce is how many holds the module knows of.
func (h *holds) inForce() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.told
}

const reportEvery = time.Second

// reportUse tells the planner what is used of peaks' room, while it asks for it.
func (e *Edge) reportUse(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		u := e.use()
		if u == nil {
			continue
		}
		body, err := json.Marshal(u)
		if err != nil {
			e.Log.Error("use not reported", "error", err)
			continue
		}
		limited, cancel := context.WithTimeout(ctx, reportEvery)
		p, err := e.boxes.client.Do(limited, e.Planner, "POST", "/v1/used", []string{"Content-Type", "application/json"}, body)
		cancel()
		if err != nil || p.Status != 204 {
			e.Log.Debug("use not reported", "error", err)
		}
	}
}

// use sums up the sessions of counted titles; nil where nothing is asked for.
func (e *Edge) use() *view.Used {
	h := &e.holds
	h.mu.Lock()
	count := h.count
	h.seq++
	u := &view.Used{Edge: strconv.Itoa(e.Position) + "." + e.boot, Seq: h.seq}
	for _, c := range count {
		u.Arrived = append(u.Arrived, view.Arrived{Peak: c.Peak, Title: c.Title, N: h.arrived[c.Class+"/"+c.Title]})
	}
	h.mu.Unlock()
	u.Outcomes = e.boxes.outcomes()
	if len(count) == 0 && len(u.Outcomes) == 0 {
		return nil
	}
	peak := map[string]string{} // by class and title
	for _, c := range count {
		peak[c.Class+"/"+c.Title] = c.Peak
	}
	sums := map[[3]string]*view.Use{}
	e.table.each(func(s *session) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		p, ok := peak[e.Site.Classes[s.class].Name+"/"+s.title.Name]
		if !ok || s.state != admission.Playing {
			return true
		}
		k := [3]string{p, s.title.Name, s.server}
		if sums[k] == nil {
			sums[k] = &view.Use{Peak: p, Title: s.title.Name, Box: s.server}
		}
		sums[k].Streams++
		sums[k].Rate += e.set.Ladder[s.rung] * e.set.Classes[s.class].RateFactor
		return true
	})
	for _, x := range sums {
		u.Uses = append(u.Uses, *x)
	}
	return u
}
