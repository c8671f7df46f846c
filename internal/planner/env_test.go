package planner

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/config"
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
