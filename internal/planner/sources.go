package planner

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/reconcile"
	"rainpulley/internal/registry"
	"rainpulley/internal/view"
	"rainpulley/internal/viewstore"
)

const (
	reconcileInterval = 250 * time.Millisecond
	diskSource        = "disk" // the source that stands in until others speak
)

// sourceBoard is the planner's side of registries; guarded by Planner.mu. believer is nil where the site file
// alone tells the fleet.
type sourceState struct {
	reconciler     *reconcile.Reconciler
	sources        []registry.Source
	boxes          map[string]registry.Box // as the source that is believed describes them
	boxesBySource  map[string]map[string]registry.Box
	statuses       []reconcile.Status
	titleNames     map[string]bool // that sources told
	lastFaults     string
	lastOutcomes   map[string]view.Outcome // last counts of an edge instance and box
	store          *viewstore.Store
	writtenVersion uint64
}

// openSources makes the believer for the sources in their order of preference, the last view on disk behind them.
func (p *Planner) openSources() error {
	state := &p.sourceState
	state.sources = p.Sources
	if len(state.sources) == 0 && p.Site.Consul.Address != "" {
		consul, err := registry.NewConsul(p.Site)
		if err != nil {
			return err
		}
		state.sources = append(state.sources, consul)
	}
	if len(state.sources) == 0 {
		return nil
	}
	rules := reconcile.DefaultRules()
	rules.SourceTimeout = max(rules.SourceTimeout, p.Site.Consul.Wait.D()*5/4+5*time.Second) // between answers of a blocking query nothing is heard
	var names []string
	for _, s := range state.sources {
		names = append(names, s.Name())
	}
	state.reconciler = reconcile.New(rules, append(names, diskSource)...)
	state.boxes, state.boxesBySource, state.titleNames, state.lastOutcomes = map[string]registry.Box{}, map[string]map[string]registry.Box{}, map[string]bool{}, map[string]view.Outcome{}
	if p.State != "" {
		state.store = viewstore.Open(filepath.Join(p.State, "sources.view"))
		p.restoreSnapshot()
	}
	return nil
}

// readLast takes the last word that was kept, with its age. p is not running yet.
func (p *Planner) restoreSnapshot() {
	saved, err := p.sourceState.store.Read()
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		p.Log.Error("last word of sources not used", "error", err)
	}
	var snapshot registry.Snapshot
	if saved == nil || json.Unmarshal(saved.Body, &snapshot) != nil {
		return
	}
	p.Log.Info("started from the last word of sources", "file", saved.Path, "age", time.Since(saved.WrittenAt).Round(time.Second), "boxes", len(snapshot.Boxes))
	snapshot.Source = diskSource
	p.applySnapshot(snapshot, saved.WrittenAt.UnixMilli())
}

// watchSources follows all sources until ctx ends.
func (p *Planner) watchSources(ctx context.Context) {
	if p.sourceState.reconciler == nil {
		return
	}
	for _, s := range p.sourceState.sources {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			s.Watch(ctx, func(x registry.Snapshot) { p.handleSnapshot(x) }, func(err error) {
				p.Log.Warn("source not heard, its last word ages", "source", s.Name(), "error", err)
			})
		}()
	}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		p.mu.Lock()
		p.reconcileSources(time.Now().UnixMilli())
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heard takes a word, believes at once (a drain must not wait for the next look) and keeps it on disk.
func (p *Planner) handleSnapshot(snapshot registry.Snapshot) {
	now := time.Now().UnixMilli()
	p.mu.Lock()
	p.applySnapshot(snapshot, now-snapshot.Age.Milliseconds())
	p.reconcileSources(now)
	save := p.sourceState.store != nil && p.sourceState.writtenVersion != snapshot.Version && len(snapshot.Boxes) > 0
	p.sourceState.writtenVersion = snapshot.Version
	p.mu.Unlock()
	if !save {
		return
	}
	body, err := json.Marshal(snapshot)
	if err == nil {
		err = p.sourceState.store.Write(body, time.Now())
	}
	if err != nil {
		p.Log.Error("word of sources not kept", "error", err)
	}
}

// take hands a word to the believer. p.mu is held, or p is not running yet.
func (p *Planner) applySnapshot(snapshot registry.Snapshot, at int64) {
	state := &p.sourceState
	entries := make([]reconcile.Entry, 0, len(snapshot.Boxes))
	byID := make(map[string]registry.Box, len(snapshot.Boxes))
	for _, box := range snapshot.Boxes {
		if p.Site.Zone(box.Zone) < 0 || p.Site.Kind(box.Kind) < 0 || box.Cell < 0 || box.Cell >= p.Site.Cells || !(box.Weight > 0) {
			continue // of another site: from disk, where it was never checked
		}
		entries = append(entries, box.Entry)
		byID[box.ID] = box
	}
	state.boxesBySource[snapshot.Source] = byID
	if err := state.reconciler.UpdateSource(snapshot.Source, entries, at); err != nil {
		p.Log.Error("word not taken", "error", err)
		return
	}
	if faults := strings.Join(snapshot.Faults, "; "); faults != state.lastFaults {
		state.lastFaults = faults
		p.Log.Warn("entries kept out", "source", snapshot.Source, "count", len(snapshot.Faults), "faults", faults)
	}
	if snapshot.Titles != nil {
		p.applySourceTitles(snapshot.Titles)
	}
}

// takeTitles makes a source's titles those of the view, but for what operators told.
func (p *Planner) applySourceTitles(titles []view.Title) {
	set := func(t view.Title) {
		if _, overridden := p.overrides.Titles[t.Name]; !overridden {
			p.monitor.SetTitle(t)
			p.updateManagerTitle(t.Name)
		}
	}
	listed := map[string]bool{}
	for _, t := range titles {
		listed[t.Name] = true
		if old := p.monitor.titles[t.Name]; old.HomeCell != t.HomeCell || old.CellSpan != t.CellSpan || old.LengthMs != t.LengthMs {
			set(t)
		}
	}
	for name := range p.sourceState.titleNames {
		if !listed[name] {
			set(view.Title{Name: name})
		}
	}
	p.sourceState.titleNames = listed
}

// believe brings what is believed into the watch: which boxes there are, and which of them get no new work. p.mu
// is held.
func (p *Planner) reconcileSources(now int64) {
	state := &p.sourceState
	state.statuses = state.reconciler.Evaluate(now)
	present := map[string]bool{}
	for _, status := range state.statuses {
		box, known := state.boxesBySource[status.Source][status.ID]
		if !known {
			if box, known = state.boxes[status.ID]; !known { // named long ago by a source that names it no more
				continue
			}
		}
		present[status.ID] = true
		described := p.siteBox(config.Box{Addr: box.ID, Zone: box.Zone, Kind: box.Kind, Cell: box.Cell, Weight: box.Weight})
		if old, ok := state.boxes[status.ID]; !ok || old.Zone != box.Zone || old.Kind != box.Kind || old.Cell != box.Cell || old.Weight != box.Weight {
			p.monitor.Update(described)
		}
		state.boxes[status.ID] = box
		p.monitor.SetReported(status.ID, view.State(status.State), status.Started)
		if p.healthChecks != nil && p.healthChecks.cancelByBox[status.ID] == nil && p.healthChecks.ctx.Err() == nil {
			p.startHealthChecks(status.ID, len(present)%64)
		}
	}
	for id := range state.boxes {
		if !present[id] {
			delete(state.boxes, id)
			if p.healthChecks != nil && p.healthChecks.cancelByBox[id] != nil {
				p.healthChecks.cancelByBox[id]()
				delete(p.healthChecks.cancelByBox, id)
			}
			p.monitor.Remove(id)
		}
	}
	p.updateManagerBoxes()
	p.publishView()
}

// evidence takes what set-ups went through at edges. Counts rise from an edge's start, so that a report that is lost
// or comes twice counts nothing twice. p.mu is held.
func (p *Planner) recordOutcomes(edge string, list []view.Outcome, now int64) {
	state := &p.sourceState
	if state.reconciler == nil {
		return
	}
	for _, o := range list {
		key := edge + "\x00" + o.Box
		last := state.lastOutcomes[key]
		state.lastOutcomes[key] = o
		for range min(max(o.Failed-last.Failed, 0), 100) {
			state.reconciler.RecordFailure(o.Box, now)
		}
		if o.Served > last.Served {
			state.reconciler.RecordServed(o.Box, now)
		}
	}
}

// BoxLine is a box as `rainpulley boxes` shows it.
type BoxStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Source string `json:"source"`
	AgeMs  int64  `json:"age_ms"`
	Reason string `json:"reason"`
}

// listBoxes tells each box's state in the view, whose word it is, how old, and why.
func (p *Planner) handleListBoxes(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	states := map[string]view.State{}
	for _, x := range p.published.Boxes {
		states[x.ID] = x.State
	}
	var list []BoxStatus
	for id, x := range p.monitor.boxes {
		status := BoxStatus{ID: id, State: string(view.StateGone), Source: "site", Reason: "answers its checks"}
		if s, ok := states[id]; ok {
			status.State = string(s)
		}
		if i := slices.IndexFunc(p.sourceState.statuses, func(reconciled reconcile.Status) bool { return reconciled.ID == id }); i >= 0 {
			reconciled := p.sourceState.statuses[i]
			status.Source, status.AgeMs, status.Reason = reconciled.Source, reconciled.Age.Milliseconds(), reconciled.Reason
		}
		switch {
		case x.operatorDrain:
			status.Reason = "drain told by an operator"
		case x.missedChecks > 0 || !x.answered:
			status.Reason = status.Reason + "; " + strconv.Itoa(x.missedChecks) + " of the planner's checks missed"
		case x.box.State == view.StateDraining:
			status.Reason = "says that it drains"
		}
		list = append(list, status)
	}
	p.mu.Unlock()
	slices.SortFunc(list, func(a, b BoxStatus) int { return strings.Compare(a.ID, b.ID) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"boxes": list})
}
