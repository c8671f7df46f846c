package planner

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/copies"
	"rainpulley/internal/reconcile"
	"rainpulley/internal/registry"
	"rainpulley/internal/view"
)

// silentSource is a source that has not reported yet; a test passes its snapshots to the planner.
type silentSource struct{}

func (silentSource) Name() string { return "catalogue" }
func (silentSource) Watch(ctx context.Context, _ func(registry.Snapshot), _ func(error)) {
	<-ctx.Done()
}

// restartEnv is a planner without network that can be killed and started again with the same state folder.
type restartEnv struct {
	t       *testing.T
	options Options
	planner *Planner
}

func newRestartEnv(t *testing.T, sources bool) *restartEnv {
	env := &restartEnv{t: t, options: Options{State: t.TempDir(), Log: slog.New(slog.DiscardHandler), Site: &config.Site{
		Zones: []string{"z"}, Kinds: []config.Kind{{Name: "k", Streams: 9}}, Cells: 3, Racks: 1,
		Classes: []config.Class{{Name: "play", Worth: 1}}, Ladder: []config.Rung{{Rate: 300, Worth: 1}}}}}
	if sources {
		env.options.Sources = []registry.Source{silentSource{}}
	}
	env.start()
	return env
}

// start starts a planner; one that ran before counts as killed.
func (env *restartEnv) start() {
	if env.planner != nil {
		env.planner.unlockState()
	}
	env.planner = New(env.options)
}

// deliver passes a snapshot with three boxes and the given titles to the planner, as its source would.
func (env *restartEnv) deliver(titles ...string) { env.planner.handleSnapshot(env.snapshot(titles...)) }

func (env *restartEnv) snapshot(titles ...string) registry.Snapshot {
	snapshot := registry.Snapshot{Source: "catalogue", Version: uint64(time.Now().UnixNano()), Titles: []view.Title{}}
	for i := range 3 {
		id := fmt.Sprint("127.0.0.1:", 1+i)
		snapshot.Boxes = append(snapshot.Boxes, registry.Box{Entry: reconcile.Entry{ID: id, Address: id}, Zone: "z", Kind: "k",
			Cell: i, Weight: 1})
	}
	for _, name := range titles {
		snapshot.Titles = append(snapshot.Titles, view.Title{Name: name, CellSpan: 1, LengthMs: 60_000})
	}
	return snapshot
}

// call sends a request to the planner's handlers.
func (env *restartEnv) call(method, path, body string) (int, string) {
	mux := http.NewServeMux()
	env.planner.registerPeakRoutes(mux)
	mux.HandleFunc("POST /v1/boxes/{id}/drain", func(w http.ResponseWriter, r *http.Request) { env.planner.handleDrain(w, r, true) })
	mux.HandleFunc("DELETE /v1/boxes/{id}/drain", func(w http.ResponseWriter, r *http.Request) { env.planner.handleDrain(w, r, false) })
	mux.HandleFunc("DELETE /v1/titles/{name}", env.planner.handleSetTitle)
	mux.HandleFunc("GET /v1/titles", env.planner.handleListTitles)
	mux.HandleFunc("POST /v1/titles/accept-removals", env.planner.handleAcceptRemovals)
	mux.HandleFunc("PUT /v1/titles/{name}", env.planner.handleSetTitle)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

// peakBody returns an announcement of a peak with one title that begins in a time and lasts a minute.
func peakBody(id, title string, in time.Duration) string {
	return fmt.Sprintf(`{"id":%q,"version":1,"titles":[%q],"class":"play","start_ms":%d,"rate":2,"length_ms":60000}`, id, title,
		time.Now().Add(in).UnixMilli())
}

func (env *restartEnv) want(method, path, body string, want int) {
	env.t.Helper()
	if code, text := env.call(method, path, body); code != want {
		env.t.Errorf("%s %s: %d %s, want %d", method, path, code, text, want)
	}
}

// wantPeak checks whether the planner lists a peak.
func (env *restartEnv) wantPeak(when, id string, want bool) {
	env.t.Helper()
	if _, text := env.call("GET", "/v1/peaks", ""); strings.Contains(text, fmt.Sprintf(`{"id":%q,`, id)) != want {
		env.t.Errorf("%s: peak %s listed: %v, want %v\n%s", when, id, !want, want, text)
	}
}

// runHealthChecks lets the planner start health checks, as Run does, until the test ends. Nothing answers them.
func (env *restartEnv) runHealthChecks() {
	ctx, cancel := context.WithCancel(env.t.Context())
	p := env.planner
	p.healthChecks = &healthChecks{ctx: ctx, wg: &p.wg, cancelByBox: map[string]context.CancelFunc{}}
	env.t.Cleanup(func() { cancel(); p.wg.Wait() })
}

// forget lets a catalogue deliver a list without a box for longer than such a box is remembered.
func (env *restartEnv) forget(id string) {
	snapshot := env.snapshot()
	snapshot.Boxes = slices.DeleteFunc(snapshot.Boxes, func(b registry.Box) bool { return b.ID == id })
	env.planner.mu.Lock()
	defer env.planner.mu.Unlock()
	for at := time.Now(); time.Until(at) < time.Minute; at = at.Add(time.Second) {
		env.planner.applyBoxList(snapshot, at.UnixMilli())
		env.planner.reconcileSources(at.UnixMilli())
	}
}

// siteBoxes returns the site's description of the boxes that snapshot lists.
func (env *restartEnv) siteBoxes() (list []config.Box) {
	for _, b := range env.snapshot().Boxes {
		list = append(list, config.Box{Addr: b.ID, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, Weight: b.Weight})
	}
	return list
}

// blockWrites makes writes to the state folder fail until the returned function is called.
func (env *restartEnv) blockWrites(name string) (unblock func()) {
	obstacle := filepath.Join(env.options.State, name+".new")
	if err := os.Mkdir(obstacle, 0o755); err != nil {
		env.t.Fatal(err)
	}
	return func() { _ = os.Remove(obstacle) }
}

// Guards against announcements that a restarted planner drops because their title is not known yet, their class or zone
// is not in the site file for a while, or their viewers have arrived meanwhile.
func TestAnnouncementsOutliveRestart(t *testing.T) {
	env := newRestartEnv(t, true)
	env.deliver("clip", "other-1", "other-2")
	env.want("PUT", "/v1/peaks/soon", peakBody("soon", "clip", time.Hour), 201)
	env.want("PUT", "/v1/peaks/ending", peakBody("ending", "clip", -59_800*time.Millisecond), 201)
	env.want("PUT", "/v1/peaks/cancelled", peakBody("cancelled", "clip", time.Hour), 201)
	env.want("DELETE", "/v1/peaks/cancelled", "", 201)
	time.Sleep(250 * time.Millisecond) // the viewers of the second peak have arrived; its sessions play
	env.start()
	check := func(when string) {
		t.Helper()
		for _, id := range []string{"soon", "ending", "cancelled"} {
			env.wantPeak(when, id, true)
		}
		env.planner.mu.Lock()
		env.planner.forecast(time.Now().UnixMilli())
		env.planner.publishHolds()
		env.planner.mu.Unlock()
	}
	check("before the sources have reported")
	env.want("PUT", "/v1/peaks/other", peakBody("other", "unseen", time.Hour), 503) // may be known a moment later
	env.deliver("other-1", "other-2")
	check("while the catalogue lacks the title")
	env.want("PUT", "/v1/peaks/other", peakBody("other", "clip", time.Hour), 400)
	classes := env.options.Site.Classes
	changed := *env.options.Site
	changed.Classes = []config.Class{{Name: "other", Worth: 1}}
	env.options.Site = &changed
	env.start()
	env.deliver("clip", "other-1", "other-2")
	check("while the site file lacks the class")
	env.want("PUT", "/v1/peaks/other", strings.Replace(peakBody("other", "clip", time.Hour), "play", "other", 1), 201)
	changed.Classes = classes
	env.start()
	env.deliver("clip", "other-1", "other-2")
	check("once all names are known again")
	env.planner.mu.Lock()
	soon, _ := env.planner.peakState.announcements.Get("soon")
	d, _ := env.planner.peakDemand(&soon, "clip", 2, time.Minute)
	env.planner.mu.Unlock()
	if d.Sessions <= 0 {
		t.Errorf("the restored peak is not planned for: %+v", d)
	}
}

// Guards against a change that is in force, or acknowledged when it is repeated, although it was never stored.
func TestChangeThatIsNotStored(t *testing.T) {
	env := newRestartEnv(t, true)
	env.deliver("clip")
	body := peakBody("friday", "clip", time.Hour)
	unblock := env.blockWrites("peaks.json")
	env.want("PUT", "/v1/peaks/friday", body, 503)
	env.wantPeak("after a failed write", "friday", false)
	env.want("PUT", "/v1/peaks/friday", body, 503)
	unblock()
	env.want("PUT", "/v1/peaks/friday", body, 201)
	unblock = env.blockWrites("peaks.json")
	env.want("DELETE", "/v1/peaks/friday", "", 503)
	env.want("DELETE", "/v1/peaks/friday", "", 503)
	unblock()
	env.start()
	env.deliver("clip")
	env.wantPeak("after the restart", "friday", true)
	unblock = env.blockWrites("told.json")
	env.want("POST", "/v1/boxes/127.0.0.1:1/drain", "", 503)
	if env.planner.monitor.operatorDrains["127.0.0.1:1"] {
		t.Error("a drain that was answered 503 is in force")
	}
	unblock()
	env.want("POST", "/v1/boxes/127.0.0.1:1/drain", "", 204)
}

// Guards against an accepted announcement whose repetition is refused: the sender may have missed the response.
func TestAnnouncementRepeated(t *testing.T) {
	env := newRestartEnv(t, true)
	env.deliver("clip", "other-1", "other-2")
	body := peakBody("friday", "clip", -59_800*time.Millisecond)
	env.want("PUT", "/v1/peaks/friday", body, 201)
	env.deliver("other-1", "other-2")
	env.want("PUT", "/v1/peaks/friday", body, 204) // the title is not known at the moment
	time.Sleep(250 * time.Millisecond)
	env.want("PUT", "/v1/peaks/friday", body, 204) // the peak is past
}

// Guards against files of announcements that are rejected for good because a planner that has just started does not know
// their titles, or because one of their peaks is past.
func TestAnnouncementFilesAfterRestart(t *testing.T) {
	env := newRestartEnv(t, true)
	env.options.Announcements = t.TempDir()
	env.start()
	peaks := "{ peaks: [" + peakBody("past", "clip", -time.Hour) + "," + peakBody("friday", "clip", time.Hour) + "] }"
	if err := os.WriteFile(filepath.Join(env.options.Announcements, "week.jsonnet"), []byte(peaks), 0o644); err != nil {
		t.Fatal(err)
	}
	env.planner.readAnnouncementFiles()
	env.wantPeak("before the sources have reported", "friday", false)
	env.deliver("clip")
	unblock := env.blockWrites("peaks.json")
	env.planner.readAnnouncementFiles()
	env.wantPeak("while nothing can be stored", "friday", false)
	unblock()
	env.planner.readAnnouncementFiles()
	env.wantPeak("once the title is known", "friday", true)
}

// Guards against drains, titles and announcements that are forgotten because a file is damaged, and against titles that
// are dropped from the disk because they do not fit the site for a while.
func TestDamagedStateAndNarrowSite(t *testing.T) {
	env := newRestartEnv(t, false)
	env.planner.monitor.Add(view.Box{ID: "127.0.0.1:1"})
	env.want("POST", "/v1/boxes/127.0.0.1:1/drain", "", 204)
	env.want("PUT", "/v1/titles/wide", `{"name":"wide","home":2,"span":3}`, 204)
	site := *env.options.Site
	site.Cells = 1
	env.options.Site = &site
	env.start()
	env.want("PUT", "/v1/titles/narrow", `{"name":"narrow","home":0,"span":1}`, 204)
	site.Cells = 3
	env.start()
	if _, known := env.planner.monitor.titles["wide"]; !known {
		t.Error("a title that did not fit the site for a while is lost")
	}
	env.want("PUT", "/v1/peaks/a", peakBody("a", "wide", time.Hour), 201)
	env.want("PUT", "/v1/peaks/b", peakBody("b", "wide", time.Hour), 201)
	for _, name := range []string{"told.json", "peaks.json"} {
		if err := os.WriteFile(filepath.Join(env.options.State, name), []byte(`[{"id":`), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 { // the second start reads what is left after the first one
		env.start()
		env.wantPeak("from the previous file", "a", true)
		if _, known := env.planner.monitor.titles["wide"]; !known || !env.planner.monitor.operatorDrains["127.0.0.1:1"] {
			t.Error("a title or a drain is lost although the previous file has it")
		}
	}
	if _, err := os.Stat(filepath.Join(env.options.State, "told.json.damaged")); err != nil {
		t.Errorf("the damaged file was not set aside: %v", err)
	}
}

// Guards against a planner that runs without what it accepted because its state could not be read.
func TestUnreadableState(t *testing.T) {
	env := newRestartEnv(t, false)
	if err := os.Mkdir(filepath.Join(env.options.State, "peaks.json"), 0o755); err != nil {
		t.Fatal(err)
	}
	env.start()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	env.options.Site.Planner.Listen = "127.0.0.1:0"
	if err := env.planner.Run(ctx); err == nil {
		t.Error("the planner runs although its state cannot be read")
	}
}

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

// Guards against two planners with one state folder, of which the later one has read what the earlier one still changes.
func TestStateFolderInUse(t *testing.T) {
	env := newRestartEnv(t, false)
	env.want("PUT", "/v1/titles/clip", `{"name":"clip","home":0,"span":1}`, 204)
	stopping := env.planner
	started := make(chan *Planner)
	go func() { started <- New(env.options) }()
	time.Sleep(50 * time.Millisecond)
	env.want("PUT", "/v1/titles/late", `{"name":"late","home":0,"span":1}`, 204)
	stopping.unlockState()
	env.planner = <-started
	if titles := env.planner.monitor.titles; len(titles) != 2 || env.planner.stateError != nil {
		t.Errorf("the later planner has %v, %v", titles, env.planner.stateError)
	}
}
