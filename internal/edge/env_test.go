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
	"sync/atomic"
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

// seconds returns s seconds as a setting of the site file.
func seconds(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }

// testEnv is a small fleet in one process: stand-in boxes, a planner and edges.
type testEnv struct {
	t           *testing.T
	site        *config.Site
	fleet       *standin.Fleet
	log         *audit.Log
	requests    atomic.Int64 // that play has sent
	requestLog  *audit.Log   // of those requests and their answers, begun with log, for checkAuditWithRequests alone
	stateDir    string
	edgeTasks   []*task
	plannerTask *task

	planner         *planner.Planner
	edgeDescriptors int                // file descriptors that an edge may open; 0: as the system allows
	edgeClockOffset time.Duration      // added to the clocks of edges
	catalogue       *standin.Catalogue // if set, the planner knows only the boxes in this catalogue
}

// task is a planner or an edge that runs in a goroutine.
type task struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (r *task) stopAndWait() { r.cancel(); <-r.done }

var testPorts = sync.OnceValue(func() *standin.PortAllocator { return &standin.PortAllocator{} })

// newTestEnv creates a site whose boxes all hold title "clip", and starts the boxes and the planner.
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
	ports := testPorts() // shared: tests run in parallel in one process
	port := func() string {
		addr, err := ports.Allocate()
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
	env := &testEnv{t: t, site: site, log: audit.NewLog(), requestLog: audit.NewLog(), stateDir: t.TempDir()}
	env.fleet = standin.NewFleet(site, env.log, 1)
	env.fleet.SetUpTime = 5 * time.Millisecond
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

// plannerSite returns the site configuration of the planner.
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

// startEdge starts edge i and waits until its view lists the given number of boxes.
func (env *testEnv) startEdge(i, boxes int) {
	env.t.Helper()
	env.startEdgeTask(i)
	env.waitFor("the edge to have its view", func() bool {
		return strings.Contains(env.status(i), fmt.Sprintf(`"boxes":%d,`, boxes))
	})
}

// startEdgeTask starts edge i.
func (env *testEnv) startEdgeTask(i int) {
	env.t.Helper()
	o := edge.Options{Site: env.site, Position: i, Planner: env.site.Planner.Listen, StateDir: env.stateDir, Seed: uint64(i + 1), ShutdownGrace: 3 * time.Second,
		Descriptors: env.edgeDescriptors, Log: slog.New(slog.DiscardHandler), StartTime: time.Now().Add(env.edgeClockOffset)}
	if testing.Verbose() {
		o.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	e, err := edge.New(o)
	if err != nil {
		env.t.Fatal(err)
	}
	env.edgeTasks[i] = env.run(e.Run)
}

func (env *testEnv) waitFor(what string, condition func() bool) {
	env.t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	env.t.Fatalf("timed out waiting for: %s", what)
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
	entry := audit.Entry{Observer: "viewer", Event: audit.RequestSent, Session: fmt.Sprint("q", env.requests.Add(1)), Edge: fmt.Sprint(edge), Value: 4}
	env.requestLog.Add(entry)
	code, body := env.get("http://" + env.site.Edges[edge].Listen + "/play/clip/index.m3u8?" + query)
	entry.Event = audit.AnswerReceived
	if code == 0 {
		entry.Event = audit.Unanswered
	}
	env.requestLog.Add(entry)
	return code, body
}

// mediaURL returns the URL of the media playlist in a manifest.
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

// boxOf returns the box that serves the segments of a playlist, and fails the test if there are several.
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
					env.t.Errorf("the segments of one playlist are at two boxes:\n%s", playlist)
				}
				found = b
			}
		}
	}
	if found == nil {
		env.t.Fatalf("no segment at a box in\n%s", playlist)
	}
	return found
}

// countEntries returns the number of audit entries with an event, for one class or, if class is "", for all.
func (env *testEnv) countEntries(event, class string) (n int) {
	for _, e := range env.log.Entries() {
		if e.Event == event && (class == "" || e.Class == class) {
			n++
		}
	}
	return n
}

// checkAudit fails the test for each rule that the logged events break.
func (env *testEnv) checkAudit() {
	env.t.Helper()
	for _, b := range audit.Judge(env.site, env.log.Entries()).Breaches {
		env.t.Errorf("%+v", b)
	}
}

// checkAuditWithRequests also gives the audit the requests that play sent, which must be as many as stated, at the
// times at which they were sent.
func (env *testEnv) checkAuditWithRequests(requests int) {
	env.t.Helper()
	viewerEntries := env.requestLog.Entries()
	sent := 0
	for _, e := range viewerEntries {
		if e.Event == audit.RequestSent {
			sent++
		}
	}
	if sent != requests {
		env.t.Errorf("%d requests were sent, want %d", sent, requests)
	}
	verdict := audit.Judge(env.site, append(viewerEntries, env.log.Entries()...))
	for _, b := range verdict.Breaches {
		env.t.Errorf("%+v", b)
	}
	if env.site.Rules.BudgetSpan > 0 && verdict.Checks[audit.AttemptBudgetRespected] == 0 {
		env.t.Error("the audit checked no further attempt")
	}
}

// announcePeak announces a peak of title "clip" to the planner, and returns the status and body of the response.
func (env *testEnv) announcePeak(id string, version int, in, length time.Duration, extraFields string) (int, string) {
	body := fmt.Sprintf(`{"id":%q,"version":%d,"titles":["clip"],"class":"play","start_ms":%d,"rate":4,"length_ms":%d%s}`, id, version,
		time.Now().Add(in).UnixMilli(), length.Milliseconds(), extraFields)
	return env.callPlanner("PUT", "/v1/peaks/"+id, body)
}

// callPlanner sends an HTTP request to the planner and returns the status and body of the response.
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

// activeHolds returns the number of holds that edge i reports.
func (env *testEnv) activeHolds(i int) (n int) {
	_, rest, _ := strings.Cut(env.status(i), `"holds":`)
	_, _ = fmt.Sscan(rest, &n)
	return n
}

// plannerLog returns a logger that writes to stderr with -v and discards everything otherwise.
func plannerLog() *slog.Logger {
	if testing.Verbose() {
		return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("program", "planner")
	}
	return slog.New(slog.DiscardHandler)
}
