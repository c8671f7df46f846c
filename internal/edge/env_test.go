package edge_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
	"rainpulley/internal/edge"
	"rainpulley/internal/planner"
	"rainpulley/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func seconds(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }

// world is a small fleet in one process.
type testEnv struct {
	t           *testing.T
	site        *config.Site
	fleet       *standin.Fleet
	log         *audit.Log
	stateDir    string
	edgeTasks   []*task
	plannerTask *task

	planner         *planner.Planner
	edgeClockOffset time.Duration      // of edges' clocks
	catalogue       *standin.Catalogue // where there is one, the planner knows no boxes but its own
}

type task struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (r *task) stopAndWait() { r.cancel(); <-r.done }

var testPorts = sync.OnceValue(func() *standin.Ports { return &standin.Ports{} })

// newWorld makes a site of some boxes that all hold title "clip", and starts boxes and planner.
func newTestEnv(t *testing.T, boxes, edges int, change func(*config.Site)) *testEnv {
	site := &config.Site{Zones: []string{"z"}, Cells: boxes, Racks: 1, Kinds: []config.Kind{{Name: "k", Streams: 20}}, Peers: true,
		Ladder: []config.Rung{{Rate: 300, Worth: 0.3}, {Rate: 800, Worth: 0.7}, {Rate: 2000, Worth: 1}},
		Links:  config.Links{PerWeight: 20000, Uplink: 60000},
		Classes: []config.Class{{Name: "play", Effect: "repeatable", Aim: seconds(0.5), Deadline: seconds(2), Worth: 1},
			{Name: "paid", Effect: "paid", Aim: seconds(0.5), Deadline: seconds(1), Worth: 2, Floor: 1}},
		Rules:    config.Rules{DrainGrace: seconds(0.5), Ramp: seconds(2), StartShare: 0.4, FallFactor: 3, FallSpan: seconds(1), AnswerSlack: seconds(0.04)},
		Attempts: config.Attempts{Most: 5, ConnectTimeout: seconds(0.25), Cancel: true},
		Notes:    config.Notes{Delay: seconds(0.1), LinkEvery: seconds(0.5), SwitchCost: seconds(0.5), Reports: "answers"},
		Planner:  config.Planner{CheckEvery: seconds(0.05), CheckFor: seconds(0.2), GoneAfter: 2},
		Playback: config.Playback{Ahead: seconds(3), Behind: seconds(6), Silence: seconds(5)}, RetryAfter: seconds(0.5),
		Limits: config.Limits{Connections: 200, Sessions: 200, Queue: 64},
		Titles: []config.Title{{Name: "clip", Home: 0, Span: boxes, Length: seconds(20)}},
	}
	ports := testPorts() // worlds may run beside each other
	port := func() string {
		addr, err := ports.Take()
		if err != nil {
			t.Fatal(err)
		}
		return addr
	}
	for i := range boxes {
		site.Boxes = append(site.Boxes, config.Box{Addr: port(), Zone: "z", Kind: "k", Cell: i, Weight: 1})
	}
	for range edges {
		site.Edges = append(site.Edges, config.Edge{Zone: "z", Listen: port(), Peer: port()})
	}
	site.Planner.Listen = port()
	if change != nil {
		change(site)
	}
	env := &testEnv{t: t, site: site, log: audit.NewLog(), stateDir: t.TempDir()}
	env.fleet = standin.NewFleet(site, env.log, 1)
	env.fleet.Setup = 5 * time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	if err := env.fleet.Start(ctx); err != nil {
		t.Fatal(err)
	}
	env.edgeTasks = make([]*task, edges)
	env.startPlanner()
	t.Cleanup(func() {
		for _, e := range append(env.edgeTasks, env.plannerTask) {
			if e != nil {
				e.stopAndWait()
			}
		}
		stop()
		env.fleet.Wait()
		http.DefaultClient.CloseIdleConnections()
	})
	return env
}

func (env *testEnv) run(f func(context.Context) error) *task {
	ctx, stop := context.WithCancel(context.Background())
	r := &task{cancel: stop, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		if err := f(ctx); err != nil {
			env.t.Error(err)
		}
	}()
	return r
}

// planSite is the site as the planner reads it.
func (env *testEnv) plannerSite() *config.Site {
	if env.catalogue == nil {
		return env.site
	}
	s := *env.site
	s.Boxes = nil
	return &s
}

func (env *testEnv) startPlanner() {
	env.planner = planner.New(planner.Options{Holds: "all", Site: env.plannerSite(), Log: plannerLog(), State: env.stateDir, Announcements: env.stateDir})
	env.plannerTask = env.run(env.planner.Run)
}

// startEdge starts one; it is ready when it lists so many boxes.
func (env *testEnv) startEdge(i, boxes int) {
	env.t.Helper()
	o := edge.Options{Site: env.site, Position: i, Planner: env.site.Planner.Listen, StateDir: env.stateDir, Seed: uint64(i + 1), ShutdownGrace: 3 * time.Second,
		Log: slog.New(slog.DiscardHandler), StartTime: time.Now().Add(env.edgeClockOffset)}
	if testing.Verbose() {
		o.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	e, err := edge.New(o)
	if err != nil {
		env.t.Fatal(err)
	}
	env.edgeTasks[i] = env.run(e.Run)
	env.waitFor("edge has its view", func() bool {
		return strings.Contains(env.status(i), fmt.Sprintf(`"boxes":%d,`, boxes))
	})
}

func (env *testEnv) waitFor(what string, condition func() bool) {
	env.t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	env.t.Fatalf("in vain: %s", what)
}

func (env *testEnv) status(i int) string {
	_, body := env.get("http://" + env.site.Edges[i].Listen + "/status")
	return body
}

func (env *testEnv) get(uri string) (int, string) {
	c := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(uri)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func (env *testEnv) play(edge int, query string) (int, string) {
	return env.get("http://" + env.site.Edges[edge].Listen + "/play/clip/index.m3u8?" + query)
}

// media is the URL of the media playlist that a manifest names.
func (env *testEnv) mediaURL(edge int, manifest string) string {
	env.t.Helper()
	for _, l := range strings.Split(manifest, "\n") {
		if strings.HasPrefix(l, "/s/") {
			return "http://" + env.site.Edges[edge].Listen + l
		}
	}
	env.t.Fatalf("no media playlist in %q", manifest)
	return ""
}

// box is the one that a playlist's segments are at.
func (env *testEnv) boxOf(playlist string) *standin.Box {
	env.t.Helper()
	var found *standin.Box
	for _, l := range strings.Split(playlist, "\n") {
		if !strings.HasPrefix(l, "http://") {
			continue
		}
		for _, b := range env.fleet.Boxes {
			if strings.HasPrefix(l, "http://"+b.Addr+"/") {
				if found != nil && found != b {
					env.t.Errorf("one playlist names two boxes:\n%s", playlist)
				}
				found = b
			}
		}
	}
	if found == nil {
		env.t.Fatalf("no segment in\n%s", playlist)
	}
	return found
}

// count is how many entries of the boxes' logs say something of a class.
func (env *testEnv) countEntries(event, class string) (n int) {
	for _, e := range env.log.Entries() {
		if e.What == event && (class == "" || e.Class == class) {
			n++
		}
	}
	return n
}

func (env *testEnv) checkAudit() {
	env.t.Helper()
	for _, b := range audit.Judge(env.site, env.log.Entries()).Breaches {
		env.t.Errorf("%+v", b)
	}
}

// judgeWithViewers also gives the audit the requests, which these tests' viewers do not log.
func (env *testEnv) checkAuditWithRequests(requests int) {
	env.t.Helper()
	entries := env.log.Entries()
	for i := range requests {
		entry := audit.Entry{Side: "viewer", What: audit.Asked, Session: fmt.Sprint("q", i), Edge: "0", Value: 4}
		entries = append(entries, entry)
		entry.What = audit.Answered
		entries = append(entries, entry)
	}
	verdict := audit.Judge(env.site, entries)
	for _, b := range verdict.Breaches {
		env.t.Errorf("%+v", b)
	}
	if env.site.Rules.BudgetSpan > 0 && verdict.Checks[audit.BudgetKept] == 0 {
		env.t.Error("no further attempt was checked")
	}
}

// say sends the planner an announcement of title "clip", and returns its answer.
func (env *testEnv) announcePeak(id string, version int, in, length time.Duration, extraFields string) (int, string) {
	body := fmt.Sprintf(`{"id":%q,"version":%d,"titles":["clip"],"class":"play","start_ms":%d,"rate":4,"length_ms":%d%s}`, id, version,
		time.Now().Add(in).UnixMilli(), length.Milliseconds(), extraFields)
	return env.callPlanner("PUT", "/v1/peaks/"+id, body)
}

func (env *testEnv) callPlanner(method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+env.site.Planner.Listen+path, strings.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func (env *testEnv) activeHolds(i int) (n int) {
	_, rest, _ := strings.Cut(env.status(i), `"holds":`)
	_, _ = fmt.Sscan(rest, &n)
	return n
}

// plannerLog shows the planner's log with -v.
func plannerLog() *slog.Logger {
	if testing.Verbose() {
		return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("program", "planner")
	}
	return slog.New(slog.DiscardHandler)
}
