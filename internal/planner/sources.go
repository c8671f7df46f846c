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
	"rainpulley/internal/titles"
	"rainpulley/internal/view"
	"rainpulley/internal/viewstore"
)

const (
	reconcileInterval = 250 * time.Millisecond
	diskSource        = "disk" // name of the source for the last stored snapshot
)

// sourceState is the planner's state of registry sources; guarded by Planner.mu. reconciler is nil where only the
// site file describes the fleet.
type sourceState struct {
	reconciler    *reconcile.Reconciler
	sources       []registry.Source
	boxes         map[string]registry.Box // as the source in effect describes them
	boxesBySource map[string]map[string]registry.Box
	statuses      []reconcile.Status
	heard         bool              // a source has delivered a snapshot to this process
	lastSnapshot  registry.Snapshot // last one delivered, with the titles that it amounts to
	restoredFrom  string            // the source of the snapshot on disk; "": there was none
	lastFaults    string
	lastOutcomes  map[string]view.Outcome // last reported counts, by edge instance and box
	store         *viewstore.Store
	storedVersion uint64 // of the snapshot on disk; guarded by Planner.changeMu
}

// openSources makes the reconciler for the sources in their order of preference, followed by the snapshot on disk.
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
	// A blocking query may deliver nothing for the whole of its wait.
	rules.SourceTimeout = max(rules.SourceTimeout, p.Site.Consul.Wait.Std()*5/4+5*time.Second)
	var names []string
	for _, s := range state.sources {
		names = append(names, s.Name())
	}
	state.reconciler = reconcile.New(rules, append(names, diskSource)...)
	state.boxes, state.boxesBySource, state.lastOutcomes = map[string]registry.Box{},
		map[string]map[string]registry.Box{}, map[string]view.Outcome{}
	if p.State != "" {
		state.store = viewstore.Open(filepath.Join(p.State, snapshotFile))
	}
	return nil
}

// restoreSnapshot applies the snapshot that was last stored on disk, with its age. It is called before p runs.
func (p *Planner) restoreSnapshot() {
	if p.sourceState.store == nil {
		return
	}
	saved, err := p.sourceState.store.Read()
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		p.Log.Error("reading the stored snapshot of sources failed", "error", err)
	}
	var snapshot registry.Snapshot
	if saved == nil || json.Unmarshal(saved.Body, &snapshot) != nil {
		return
	}
	p.Log.Info("started from the stored snapshot of sources", "file", saved.Path,
		"age", time.Since(saved.WrittenAt).Round(time.Second), "boxes", len(snapshot.Boxes))
	p.sourceState.restoredFrom = snapshot.Source
	p.applyTitleList(snapshot, saved.WrittenAt.UnixMilli())
	snapshot.Source = diskSource
	p.applyBoxList(snapshot, saved.WrittenAt.UnixMilli())
}

// sourcesHeard reports whether the planner knows the fleet from this process's own reading of the sources, and not only
// from the site file and the snapshot on disk. p.mu is held.
func (p *Planner) sourcesHeard() bool { return p.sourceState.reconciler == nil || p.sourceState.heard }

// watchSources watches all sources, and reconciles them at each interval, until ctx ends.
func (p *Planner) watchSources(ctx context.Context) {
	if p.sourceState.reconciler == nil {
		return
	}
	for _, s := range p.sourceState.sources {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			s.Watch(ctx, func(x registry.Snapshot) { p.handleSnapshot(x) }, func(err error) {
				p.Log.Warn("reading a source failed; its last snapshot ages", "source", s.Name(), "error", err)
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

// handleSnapshot applies a snapshot, reconciles at once so that a drain does not wait for the next interval, and
// stores the snapshot on disk.
func (p *Planner) handleSnapshot(snapshot registry.Snapshot) {
	now := time.Now().UnixMilli()
	p.mu.Lock()
	p.sourceState.heard = true
	if snapshot.Source == p.sourceState.restoredFrom { // the snapshot on disk is an earlier list of this source
		p.sourceState.reconciler.WithdrawDrains(diskSource)
	}
	snapshot.Boxes = p.applyBoxList(snapshot, now-snapshot.Age.Milliseconds())
	snapshot.Titles = p.applyTitleList(snapshot, now)
	p.sourceState.lastSnapshot = snapshot
	p.reconcileSources(now)
	p.mu.Unlock()
	if err := p.storeSnapshot(snapshot); err != nil {
		p.Log.Error("storing the snapshot of sources failed; the next one is stored", "error", err)
	}
}

// storeSnapshot stores a snapshot on disk if its version is not stored yet and it has boxes.
func (p *Planner) storeSnapshot(snapshot registry.Snapshot) error {
	state := &p.sourceState
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	if state.storedVersion == snapshot.Version {
		return nil
	}
	err := p.writeSnapshot(snapshot)
	if err == nil {
		state.storedVersion = snapshot.Version
	}
	return err
}

// writeSnapshot writes a snapshot to disk. p.changeMu is held.
func (p *Planner) writeSnapshot(snapshot registry.Snapshot) error {
	if p.sourceState.store == nil || len(snapshot.Boxes) == 0 {
		return nil
	}
	body, err := json.Marshal(snapshot)
	if err != nil {
		return err
	}
	return p.sourceState.store.Write(body, time.Now())
}

// applyBoxList passes a snapshot received at a time to the reconciler, and returns the boxes that it amounts to: one
// whose entry cannot be read keeps its last description. p.mu is held, or p does not run yet.
func (p *Planner) applyBoxList(snapshot registry.Snapshot, at int64) []registry.Box {
	state := &p.sourceState
	boxes := slices.Clone(snapshot.Boxes)
	for _, entry := range snapshot.InvalidBoxes {
		if box, known := p.lastDescription(snapshot.Source, entry.ID); known {
			box.Entry = entry
			boxes = append(boxes, box)
		}
	}
	entries := make([]reconcile.Entry, 0, len(boxes))
	byID := make(map[string]registry.Box, len(boxes))
	for _, box := range boxes {
		if p.Site.ZoneIndex(box.Zone) < 0 || p.Site.KindIndex(box.Kind) < 0 || box.Cell < 0 ||
			box.Cell >= p.Site.Cells || !(box.Weight > 0) {
			continue // does not fit the site: a snapshot from disk is not validated when it is read
		}
		entries = append(entries, box.Entry)
		byID[box.ID] = box
	}
	state.boxesBySource[snapshot.Source] = byID
	if err := state.reconciler.UpdateSource(snapshot.Source, entries, at); err != nil {
		p.Log.Error("snapshot rejected", "error", err)
		return boxes
	}
	if faults := strings.Join(snapshot.Faults, "; "); faults != state.lastFaults {
		state.lastFaults = faults
		p.Log.Warn("left out invalid entries of a source", "source", snapshot.Source, "count", len(snapshot.Faults),
			"faults", faults)
	}
	return boxes
}

// lastDescription returns the last valid description of a box: that of the source, else the one in effect, else the one
// on disk.
func (p *Planner) lastDescription(source, id string) (registry.Box, bool) {
	state := &p.sourceState
	for _, boxes := range []map[string]registry.Box{state.boxesBySource[source], state.boxes, state.boxesBySource[diskSource]} {
		if box, known := boxes[id]; known {
			return box, true
		}
	}
	return registry.Box{}, false
}

// applyTitleList passes the titles of a snapshot to the catalogue, and returns the titles in force by it: an entry that
// cannot be read, and most entries missing at once, remove nothing. p.mu is held, or p does not run yet.
func (p *Planner) applyTitleList(snapshot registry.Snapshot, at int64) []view.Title {
	if snapshot.Titles == nil {
		return nil
	}
	p.updateTitleList(snapshot.Source, titles.List{Titles: snapshot.Titles, Invalid: snapshot.InvalidTitles}, at)
	return p.catalogue.List(snapshot.Source)
}

// reconcileSources applies the reconciled statuses to the monitor: which boxes exist, and which of them get no new
// sessions. It starts and stops health checks accordingly. p.mu is held.
func (p *Planner) reconcileSources(now int64) {
	state := &p.sourceState
	state.statuses = state.reconciler.Evaluate(now)
	present := map[string]bool{}
	for _, status := range state.statuses {
		box, known := state.boxesBySource[status.Source][status.ID]
		if !known {
			if box, known = state.boxes[status.ID]; !known { // no remaining description of the box
				continue
			}
		}
		present[status.ID] = true
		described := p.siteBox(config.Box{Addr: box.ID, Zone: box.Zone, Kind: box.Kind, Cell: box.Cell, Weight: box.Weight})
		if old, ok := state.boxes[status.ID]; !ok || old.Zone != box.Zone || old.Kind != box.Kind ||
			old.Cell != box.Cell || old.Weight != box.Weight {
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
			p.stopHealthChecks(id)
			p.monitor.Remove(id)
		}
	}
	p.updateManagerBoxes()
	p.publishView()
}

// recordOutcomes passes the outcomes of set-ups at an edge to the reconciler. Edges report totals since their start,
// so that a lost or repeated report counts no outcome twice. p.mu is held.
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

// BoxStatus is a box as `rainpulley boxes` shows it.
type BoxStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Source string `json:"source"`
	AgeMs  int64  `json:"age_ms"`
	Reason string `json:"reason"`
}

// handleListBoxes responds with each box's state in the view, the source it comes from, its age and the reason.
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
		if i := slices.IndexFunc(p.sourceState.statuses, func(reconciled reconcile.Status) bool {
			return reconciled.ID == id
		}); i >= 0 {
			reconciled := p.sourceState.statuses[i]
			status.Source, status.AgeMs, status.Reason = reconciled.Source, reconciled.Age.Milliseconds(), reconciled.Reason
		}
		switch {
		case p.monitor.operatorDrains[id]:
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
