package planner

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/copies"
	"rainpulley/internal/reconcile"
	"rainpulley/internal/view"
)

// Guards against a snapshot of the sources that is never stored because one write failed.
func TestSnapshotStoredAfterFailedWrite(t *testing.T) {
	env := newRestartEnv(t, true)
	snapshot := env.snapshot("clip")
	unblock := env.blockWrites("sources.view")
	env.planner.handleSnapshot(snapshot)
	unblock()
	env.planner.handleSnapshot(snapshot)
	env.start()
	if _, known := env.planner.monitor.titles["clip"]; !known {
		t.Error("the restarted planner does not know the title")
	}
}

// Guards against a drain in the stored snapshot that is never withdrawn after a restart, although its source has
// withdrawn it.
func TestDrainOfStoredSnapshotIsWithdrawn(t *testing.T) {
	env := newRestartEnv(t, true)
	snapshot := env.snapshot("clip")
	snapshot.Boxes[0].Drain = true
	env.planner.handleSnapshot(snapshot)
	state := func() view.State { return env.planner.monitor.boxes[snapshot.Boxes[0].ID].reportedState }
	env.start()
	env.planner.reconcileSources(time.Now().UnixMilli())
	if got := state(); got != view.StateDraining {
		t.Errorf("%s before the source has reported, want draining", got)
	}
	env.planner.handleSnapshot(snapshot)
	if got := state(); got != view.StateDraining {
		t.Errorf("%s while the source reports the drain, want draining", got)
	}
	env.start()
	env.deliver("clip")
	if got := state(); got != view.StateReady {
		t.Errorf("%s after the source has withdrawn the drain, want ready", got)
	}
}

// Guards against a planner that panics when a box is taken out of the site file that has left the catalogue before.
func TestReloadWithoutBoxThatLeftCatalogue(t *testing.T) {
	env := newRestartEnv(t, true)
	site := *env.options.Site
	site.Boxes = env.siteBoxes()
	site.Planner = config.Planner{CheckEvery: config.Duration(time.Minute), CheckFor: config.Duration(time.Second), GoneAfter: 2}
	env.options.Site = &site
	env.start()
	env.runHealthChecks()
	env.deliver()
	env.forget("127.0.0.1:1")
	reloaded := site
	reloaded.Boxes = site.Boxes[1:]
	env.planner.Reload(&reloaded)
	env.planner.mu.Lock()
	defer env.planner.mu.Unlock()
	if env.planner.monitor.boxes["127.0.0.1:1"] != nil || env.planner.monitor.boxes["127.0.0.1:2"] == nil {
		t.Error("the planner has a box that left, or lacks one that stayed")
	}
}

// Guards against a restarted planner that publishes a box of the site file that has left the catalogue, and against a
// reload that takes a box of the catalogue away.
func TestBoxThatLeftCatalogueStaysAway(t *testing.T) {
	env := newRestartEnv(t, true)
	site := *env.options.Site
	site.Boxes = env.siteBoxes()
	site.Planner = config.Planner{CheckEvery: config.Duration(time.Minute), CheckFor: config.Duration(time.Second), GoneAfter: 2}
	env.options.Site = &site
	env.start()
	env.deliver()
	env.forget("127.0.0.1:1")
	env.start()
	env.runHealthChecks()
	snapshot := env.snapshot()
	snapshot.Boxes = snapshot.Boxes[1:]
	env.planner.handleSnapshot(snapshot)
	check := func(when string) {
		t.Helper()
		env.planner.mu.Lock()
		defer env.planner.mu.Unlock()
		for _, b := range site.Boxes {
			env.planner.monitor.RecordCheck(b.Addr, HealthCheck{Answered: true, BootID: "one", Started: time.UnixMilli(1)})
		}
		v, _ := env.planner.monitor.View()
		if len(v.Boxes) != 2 || v.Boxes[0].ID != "127.0.0.1:2" {
			t.Errorf("%s: boxes %+v, want the two that the catalogue lists", when, v.Boxes)
		}
	}
	check("after the restart")
	reloaded := site
	reloaded.Boxes = site.Boxes[:1]
	env.planner.Reload(&reloaded)
	check("after a reload without the boxes")
	env.planner.Reload(&site)
	check("after a reload with all boxes")
}

// Guards against a title that leaves, with its copies, because its entry in the catalogue cannot be read for a while,
// because the catalogue's list is empty, or because the site file no longer names it while the catalogue does.
func TestTitlesStayWithoutPositiveWord(t *testing.T) {
	env := newRestartEnv(t, true)
	site := *env.options.Site
	site.Titles = []config.Title{{Name: "a", Span: 1}}
	site.Copies = config.Copies{Managed: true, Least: 1, AtOnce: 1, Share: 1}
	env.options.Site = &site
	env.start()
	env.runHealthChecks()
	complete := copies.Inventory{Copies: map[string]copies.Copy{"a": {Complete: true}, "b": {Complete: true}, "c": {Complete: true}}}
	check := func(when string, want ...string) {
		t.Helper()
		p := env.planner
		p.mu.Lock()
		defer p.mu.Unlock()
		p.copyState.manager.SetBoxes([]copies.Box{{ID: "127.0.0.1:1", Ready: true}})
		p.copyState.manager.HandleInventory("127.0.0.1:1", complete, 0)
		dropped := ""
		for at := time.Now(); time.Until(at) < time.Hour; at = at.Add(time.Minute) {
			for _, c := range p.copyState.manager.NextCommands(at.UnixMilli()) {
				dropped += c.Title + " "
			}
		}
		known := slices.Sorted(maps.Keys(p.monitor.titles))
		if !slices.Equal(known, want) || len(want) == 3 && dropped != "" {
			t.Errorf("%s: titles %v, want %v; dropped %q", when, known, want, dropped)
		}
	}
	env.deliver("a", "b", "c")
	check("the whole list", "a", "b", "c")
	snapshot := env.snapshot("a", "c")
	snapshot.InvalidTitles = map[string]string{"b": "half written"}
	env.planner.handleSnapshot(snapshot)
	check("an entry that cannot be read", "a", "b", "c")
	if _, text := env.call("GET", "/v1/titles", ""); !strings.Contains(text, `"fault":"half written"`) {
		t.Errorf("the fault is not shown: %s", text)
	}
	env.start()
	env.runHealthChecks()
	env.planner.handleSnapshot(snapshot)
	check("after a restart with such an entry", "a", "b", "c")
	env.deliver()
	check("an empty list", "a", "b", "c")
	env.start()
	env.runHealthChecks()
	env.deliver()
	check("an empty list after a restart", "a", "b", "c")
	env.deliver("a", "b", "c")
	reloaded := site
	reloaded.Titles = nil
	env.planner.Reload(&reloaded)
	check("the site file without a title of the catalogue", "a", "b", "c")
	env.deliver()
	unblock := env.blockWrites("sources.view")
	env.want("POST", "/v1/titles/accept-removals", "", 503)
	check("the removal could not be stored", "a", "b", "c")
	unblock()
	env.want("POST", "/v1/titles/accept-removals", "", 200)
	check("the removal is accepted")
	env.options.Site = &reloaded
	env.start()
	env.deliver()
	check("after a restart")
}

// Guards against a title whose permanent boxes are not known because they came, or moved, after the title: its copies
// there would be dropped as unwanted, and missing ones never made.
func TestPermanentBoxesThatComeAfterTitle(t *testing.T) {
	env := newRestartEnv(t, true)
	env.options.Site.Copies = config.Copies{Managed: true, Least: 1, AtOnce: 1, Share: 1}
	env.start()
	env.runHealthChecks()
	fetchTarget := func() (target string) {
		p := env.planner
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, b := range env.siteBoxes() {
			p.monitor.RecordCheck(b.Addr, HealthCheck{Answered: true, BootID: "one", Started: time.UnixMilli(1)})
		}
		p.updateManagerBoxes()
		for _, b := range env.siteBoxes() {
			inventory := copies.Inventory{FreeDisk: 1000, Copies: map[string]copies.Copy{}}
			if b.Addr == "127.0.0.1:1" {
				inventory.Copies["clip"] = copies.Copy{Complete: true}
			}
			p.copyState.manager.HandleInventory(b.Addr, inventory, 0)
		}
		for _, c := range p.copyState.manager.NextCommands(0) {
			target += c.Box
		}
		return target
	}
	snapshot := env.snapshot("clip")
	snapshot.Titles[0].CellSpan = 2
	env.planner.handleSnapshot(snapshot)
	if got := fetchTarget(); got != "127.0.0.1:2" {
		t.Errorf("copied to %q, want the title's second box", got)
	}
	snapshot.Boxes[1].Cell, snapshot.Boxes[2].Cell = 2, 1
	env.planner.handleSnapshot(snapshot)
	if got := fetchTarget(); got != "127.0.0.1:3" {
		t.Errorf("copied to %q, want the box that moved to the title's second cell", got)
	}
}

// Guards against a box that drains, and is gone soon after, because its entry in the catalogue cannot be read for a while.
// What else the entry says, as a drain, counts.
func TestBoxWithInvalidEntryKeepsDescription(t *testing.T) {
	env := newRestartEnv(t, true)
	env.deliver("clip")
	snapshot := env.snapshot("clip")
	snapshot.InvalidBoxes = []reconcile.Entry{snapshot.Boxes[0].Entry, {ID: "127.0.0.1:9", Address: "127.0.0.1:9"}}
	snapshot.Boxes = snapshot.Boxes[1:]
	check := func(when string, want view.State) {
		t.Helper()
		env.planner.handleSnapshot(snapshot)
		box := env.planner.monitor.boxes["127.0.0.1:1"]
		if box == nil || box.reportedState != want || box.box.Weight != 1 || len(env.planner.monitor.boxes) != 3 {
			t.Errorf("%s: %+v, want it %s among three boxes", when, box, want)
		}
	}
	check("an entry without a valid description", view.StateReady)
	env.start()
	check("after a restart", view.StateReady)
	snapshot.InvalidBoxes[0].Drain = true
	check("a drain in such an entry", view.StateDraining)
}
