package planner

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"rainpulley/internal/timeconv"
	"rainpulley/internal/view"
)

const (
	heartbeatInterval  = time.Second
	streamWriteTimeout = 5 * time.Second // the connection to an edge is closed after a write takes this long
)

// handleStream sends the whole view, then each change, with heartbeats in between.
func (p *Planner) handleStream(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	var sent view.View
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for first := true; ; {
		p.mu.Lock()
		v, updated, holds := p.published, p.updated, p.peakState.publishedHolds
		p.mu.Unlock()
		if v.Version == 0 { // no view published yet
			select {
			case <-r.Context().Done():
				return
			case <-updated:
			}
			continue
		}
		line := view.Update{Version: v.Version}
		switch {
		case first:
			line = view.Update{Version: v.Version, Full: true, Boxes: v.Boxes, Titles: v.Titles,
				NowMs: time.Now().UnixMilli()}
		case v.Version != sent.Version:
			line = view.Diff(sent, v)
			line.NowMs = time.Now().UnixMilli()
		}
		line.Holds = holds
		sent, first = v, false
		_ = controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		if encoder.Encode(line) != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-updated:
		case <-ticker.C:
		}
	}
}

func (p *Planner) handleView(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	v := p.published
	p.mu.Unlock()
	if v.Version == 0 {
		http.Error(w, "the fleet is not checked yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(view.Update{Version: v.Version, Full: true, Boxes: v.Boxes, Titles: v.Titles,
		NowMs: time.Now().UnixMilli()})
}

// errUnknownBox reports that no source and no site file has a box.
var errUnknownBox = errors.New("no such box")

// handleDrain starts or ends an operator's drain of a box.
func (p *Planner) handleDrain(w http.ResponseWriter, r *http.Request, on bool) {
	id := r.PathValue("id")
	check := func() error {
		switch {
		case p.monitor.boxes[id] != nil || p.monitor.operatorDrains[id]: // the drain of a box that has left may be ended
			return nil
		case !p.sourcesHeard():
			return &notReadyError{errUnknownBox}
		}
		return errUnknownBox
	}
	err := p.changeOverrides(check, func(next *overrides) {
		next.Drains = slices.DeleteFunc(next.Drains, func(d string) bool { return d == id })
		if on {
			next.Drains = append(next.Drains, id)
		}
	}, func() {
		p.monitor.SetDrain(id, on)
		p.publishView()
	})
	if err != nil {
		writeChangeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleSetTitle sets a title (PUT) or removes it (DELETE) as an operator's override.
func (p *Planner) handleSetTitle(w http.ResponseWriter, r *http.Request) {
	t := view.Title{Name: r.PathValue("name")}
	if r.Method == http.MethodPut {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&t); err != nil || t.Name != r.PathValue("name") || !p.titleFits(t) ||
			t.CellSpan < 1 || t.LengthMs < 0 || t.LengthMs > timeconv.MaxDuration.Milliseconds() {
			http.Error(w, "want {\"name\",\"home\",\"span\",\"length_ms\"} that fit the cells", http.StatusBadRequest)
			return
		}
	}
	err := p.changeOverrides(func() error { return nil }, func(next *overrides) { next.Titles[t.Name] = t }, func() {
		p.catalogue.SetOverride(t)
		p.applyTitles()
		p.confirmRemovals(time.Now().UnixMilli())
		p.updateHolders()
		p.publishView()
	})
	if err != nil {
		writeChangeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
