package planner

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"rainpulley/internal/titles"
	"rainpulley/internal/view"
)

// siteSource is the name of the site file among the sources of titles.
const siteSource = "site"

// titleSources returns the sources of titles in order of preference.
func (p *Planner) titleSources() (names []string) {
	for _, s := range p.sourceState.sources {
		names = append(names, s.Name())
	}
	return append(names, siteSource)
}

// updateTitleList replaces a source's list of titles and applies what it changes. p.mu is held, or p does not run yet.
func (p *Planner) updateTitleList(source string, list titles.List, now int64) {
	_, heldBefore := p.catalogue.Faults()
	p.catalogue.Update(source, list, now)
	if _, held := p.catalogue.Faults(); held > heldBefore {
		p.Log.Error("removal of titles held: a list lacks most of them at once; accept it with rainpulley titles",
			"source", source, "titles", held)
	}
	p.applyTitles()
}

// applyTitles passes the titles in force to the monitor, and those that changed to the copy manager. p.mu is held, or p
// does not run yet.
func (p *Planner) applyTitles() {
	inForce := p.catalogue.InForce()
	for name, entry := range inForce {
		t := entry.Title
		if old, known := p.monitor.titles[name]; known && old.HomeCell == t.HomeCell && old.CellSpan == t.CellSpan &&
			old.LengthMs == t.LengthMs {
			continue
		}
		p.monitor.SetTitle(t)
		p.updateManagerTitle(name)
	}
	for name := range p.monitor.titles {
		if _, stays := inForce[name]; !stays {
			p.monitor.SetTitle(view.Title{Name: name})
			p.updateManagerTitle(name)
		}
	}
}

// confirmRemovals passes operators' removals to the copy manager, also those that were told to an earlier process. p.mu
// is held, or p does not run yet.
func (p *Planner) confirmRemovals(now int64) {
	if p.copyState.manager == nil {
		return
	}
	for name, t := range p.overrides.Titles {
		if t.CellSpan == 0 {
			p.copyState.manager.RemoveTitle(name, now)
		}
	}
}

// TitleStatus is a title as `rainpulley titles` shows it.
type TitleStatus struct {
	Name    string `json:"name"`
	Source  string `json:"source"`
	Holders int    `json:"holders"`            // boxes with a complete copy; -1: the boxes of its cells
	Fault   string `json:"fault,omitempty"`    // why the source's current word does not count
	FaultMs int64  `json:"fault_ms,omitempty"` // for how long
}

// handleListTitles responds with each title in force, its source, and why an earlier word of the source is in force.
func (p *Planner) handleListTitles(w http.ResponseWriter, _ *http.Request) {
	list := []TitleStatus{}
	now := time.Now().UnixMilli()
	p.mu.Lock()
	for name, entry := range p.catalogue.InForce() {
		status := TitleStatus{Name: name, Source: entry.Source, Holders: -1, Fault: entry.Fault}
		if t := p.monitor.titles[name]; t.Listed {
			status.Holders = len(t.Holders)
		}
		if entry.Fault != "" {
			status.FaultMs = now - entry.Since
		}
		list = append(list, status)
	}
	p.mu.Unlock()
	slices.SortFunc(list, func(a, b TitleStatus) int { return strings.Compare(a.Name, b.Name) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"titles": list})
}

// handleAcceptRemovals carries out the removals that are held, and responds with the titles' names. The list of the
// source without them is stored first: a restarted planner would hold the removals again.
func (p *Planner) handleAcceptRemovals(w http.ResponseWriter, _ *http.Request) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	p.mu.Lock()
	names := p.catalogue.HeldRemovals()
	snapshot := p.sourceState.lastSnapshot
	if snapshot.Titles != nil {
		snapshot.Titles = p.catalogue.List(snapshot.Source, names...)
	}
	p.mu.Unlock()
	if len(names) > 0 {
		if err := p.writeSnapshot(snapshot); err != nil {
			writeChangeError(w, &storeError{err})
			return
		}
	}
	p.mu.Lock()
	p.catalogue.AcceptRemovals(names)
	p.applyTitles()
	p.updateHolders()
	p.publishView()
	p.mu.Unlock()
	p.Log.Info("removals of titles accepted", "titles", names)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"removed": names})
}
