package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
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

func sec(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }

// world is a small fleet in one process.
type world struct {
	t     *testing.T
	site  *config.Site
	fleet *standin.Fleet
	log   *audit.Log
	state string
	edges []*running
	plan  *running

	planner   *planner.Planner
	skew      time.Duration      // of edges' clocks
	catalogue *standin.Catalogue // where there is one, the planner knows no boxes but its own
}

type running struct {
	stop context.CancelFunc
	over chan struct{}
}

func (r *running) end() { r.stop(); <-r.over }

var testPorts = sync.OnceValue(func() *standin.Ports { return &standin.Ports{} })

// newWorld makes a site of some boxes that all hold title "clip", and starts boxes and planner.
func newWorld(t *testing.T, boxes, edges int, change func(*config.Site)) *world {
	s := &config.Site{Zones: []string{"z"}, Cells: boxes, Racks: 1, Kinds: []config.Kind{{Name: "k", Streams: 20}}, Peers: true,
		Ladder: []config.Rung{{Rate: 300, Worth: 0.3}, {Rate: 800, Worth: 0.7}, {Rate: 2000, Worth: 1}},
		Links:  config.Links{PerWeight: 20000, Uplink: 60000},
		Classes: []config.Class{{Name: "play", Effect: "repeatable", Aim: sec(0.5), Deadline: sec(2), Worth: 1},
			{Name: "paid", Effect: "paid", Aim: sec(0.5), Deadline: sec(1), Worth: 2, Floor: 1}},
		Rules:    config.Rules{DrainGrace: sec(0.5), Ramp: sec(2), StartShare: 0.4, FallFactor: 3, FallSpan: sec(1), AnswerSlack: sec(0.04)},
		Attempts: config.Attempts{Most: 5, ConnectTimeout: sec(0.25), Cancel: true},
		Notes:    config.Notes{Delay: sec(0.1), LinkEvery: sec(0.5), SwitchCost: sec(0.5), Reports: "answers"},
		Planner:  config.Planner{CheckEvery: sec(0.05), CheckFor: sec(0.2), GoneAfter: 2},
		Playback: config.Playback{Ahead: sec(3), Behind: sec(6), Silence: sec(5)}, RetryAfter: sec(0.5),
		Limits: config.Limits{Connections: 200, Sessions: 200, Queue: 64},
		Titles: []config.Title{{Name: "clip", Home: 0, Span: boxes, Length: sec(20)}},
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
		s.Boxes = append(s.Boxes, config.Box{Addr: port(), Zone: "z", Kind: "k", Cell: i, Weight: 1})
	}
	for range edges {
		s.Edges = append(s.Edges, config.Edge{Zone: "z", Listen: port(), Peer: port()})
	}
	s.Planner.Listen = port()
	if change != nil {
		change(s)
	}
	w := &world{t: t, site: s, log: audit.NewLog(), state: t.TempDir()}
	w.fleet = standin.NewFleet(s, w.log, 1)
	w.fleet.Setup = 5 * time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	if err := w.fleet.Start(ctx); err != nil {
		t.Fatal(err)
	}
	w.edges = make([]*running, edges)
	w.startPlanner()
	t.Cleanup(func() {
		for _, e := range append(w.edges, w.plan) {
			if e != nil {
				e.end()
			}
		}
		stop()
		w.fleet.Wait()
		http.DefaultClient.CloseIdleConnections()
	})
	return w
}

func (w *world) run(f func(context.Context) error) *running {
	ctx, stop := context.WithCancel(context.Background())
	r := &running{stop: stop, over: make(chan struct{})}
	go func() {
		defer close(r.over)
		if err := f(ctx); err != nil {
			w.t.Error(err)
		}
	}()
	return r
}

// planSite is the site as the planner reads it.
func (w *world) planSite() *config.Site {
	if w.catalogue == nil {
		return w.site
	}
	s := *w.site
	s.Boxes = nil
	return &s
}

func (w *world) startPlanner() {
	w.planner = planner.New(planner.Options{Holds: "all", Site: w.planSite(), Log: plannerLog(), State: w.state, Announcements: w.state})
	w.plan = w.run(w.planner.Run)
}

// startEdge starts one; it is ready when it lists so many boxes.
func (w *world) startEdge(i, boxes int) {
	w.t.Helper()
	o := edge.Options{Site: w.site, Position: i, Planner: w.site.Planner.Listen, State: w.state, Seed: uint64(i + 1), Grace: 3 * time.Second,
		Log: slog.New(slog.DiscardHandler), Clock: time.Now().Add(w.skew)}
	if testing.Verbose() {
		o.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	e, err := edge.New(o)
	if err != nil {
		w.t.Fatal(err)
	}
	w.edges[i] = w.run(e.Run)
	w.until("edge has its view", func() bool {
		return strings.Contains(w.status(i), fmt.Sprintf(`"boxes":%d,`, boxes))
	})
}

func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("in vain: %s", what)
}

func (w *world) status(i int) string {
	_, body := w.get("http://" + w.site.Edges[i].Listen + "/status")
	return body
}

func (w *world) get(uri string) (int, string) {
	c := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(uri)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(b)
}

func (w *world) play(edge int, query string) (int, string) {
	return w.get("http://" + w.site.Edges[edge].Listen + "/play/clip/index.m3u8?" + query)
}

// media is the URL of the media playlist that a manifest names.
func (w *world) media(edge int, manifest string) string {
	w.t.Helper()
	for _, l := range strings.Split(manifest, "\n") {
		if strings.HasPrefix(l, "/s/") {
			return "http://" + w.site.Edges[edge].Listen + l
		}
	}
	w.t.Fatalf("no media playlist in %q", manifest)
	return ""
}

// box is the one that a playlist's segments are at.
func (w *world) box(playlist string) *standin.Box {
	w.t.Helper()
	var found *standin.Box
	for _, l := range strings.Split(playlist, "\n") {
		if !strings.HasPrefix(l, "http://") {
			continue
		}
		for _, b := range w.fleet.Boxes {
			if strings.HasPrefix(l, "http://"+b.Addr+"/") {
				if found != nil && found != b {
					w.t.Errorf("one playlist names two boxes:\n%s", playlist)
				}
				found = b
			}
		}
	}
	if found == nil {
		w.t.Fatalf("no segment in\n%s", playlist)
	}
	return found
}

// count is how many entries of the boxes' logs say something of a class.
func (w *world) count(what, class string) (n int) {
	for _, e := range w.log.Entries() {
		if e.What == what && (class == "" || e.Class == class) {
			n++
		}
	}
	return n
}

func (w *world) judge() {
	w.t.Helper()
	for _, b := range audit.Judge(w.site, w.log.Entries()).Breaches {
		w.t.Errorf("%+v", b)
	}
}

func TestWholePath(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	code, manifest := w.play(0, "class=play&best=1&key=k1")
	if code != 200 || strings.Count(manifest, "#EXT-X-STREAM-INF:") != 1 {
		t.Fatalf("%d %s", code, manifest)
	}
	uri := w.media(0, manifest)
	code, list := w.get(uri)
	if code != 200 || !strings.Contains(list, "#EXT-X-MEDIA-SEQUENCE:0\n") || strings.Contains(list, "ENDLIST") || !strings.Contains(list, "/r1/0.aac?s=") {
		t.Fatalf("%d %s", code, list)
	}
	w.box(list)
	for _, l := range strings.Split(list, "\n") {
		if strings.HasPrefix(l, "http://") {
			if code, body := w.get(l); code != 200 || !strings.HasPrefix(body, "ID3") {
				t.Errorf("segment %s: %d", l, code)
			}
		}
	}
	for _, c := range []struct {
		path string
		want int
	}{{"/play/none/index.m3u8", 404}, {"/play/clip/index.m3u8?class=x", 400}, {"/play/clip/index.m3u8?best=x", 400}, {"/play/clip/index.m3u8?key=a/b", 400},
		{"/play/clip/index.m3u8?class=paid&best=0", 400}, {"/x", 404}, {"/s/a", 404}, {"/s/play/clip/k9/9/0/media.m3u8", 400}, {"/s/play/clip/k1/1/0/r1.m3u8", 404},
		{"/s/play/none/k9/1/0/media.m3u8", 404}, {"/play/clip/index.m3u8?patience=0", 400}, {"/healthz", 200}} {
		if code, body := w.get("http://" + w.site.Edges[0].Listen + c.path); code != c.want {
			t.Errorf("%s: %d %s", c.path, code, body)
		}
	}
	w.judge()
}

// A viewer that asks again, on other connections and at once, joins the session it has.
func TestRetriesJoin(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.fleet.Setup = 100 * time.Millisecond
	w.startEdge(0, 3)
	var work sync.WaitGroup
	for range 20 {
		work.Add(1)
		go func() {
			defer work.Done()
			if code, body := w.play(0, "class=paid&key=same"); code != 200 {
				t.Errorf("%d %s", code, body)
			}
		}()
	}
	work.Wait()
	if code, body := w.get("http://" + w.site.Edges[0].Listen + "/play/clip/index.m3u8?CMCD=tb%3D3000%2Csid%3D%22cmcd-1%22"); code != 200 || !strings.Contains(body, "/cmcd-1/0/") {
		t.Errorf("CMCD: %d %s", code, body)
	}
	_, manifest := w.play(0, "class=paid&key=same")
	w.get(w.media(0, manifest))
	if n := w.count(audit.SetupArrived, "paid"); n != 1 {
		t.Errorf("%d set-ups for one viewer", n)
	}
	w.judge()
}

// A box drains while a manifest is half fetched: what plays goes on there, nothing new comes to it.
func TestDrainMidManifest(t *testing.T) {
	w := newWorld(t, 2, 1, nil)
	w.startEdge(0, 2)
	_, manifest := w.play(0, "key=k1")
	uri := w.media(0, manifest)
	_, list := w.get(uri)
	b := w.box(list)
	b.Drain(true)
	w.until("the edge is told", func() bool {
		_, body := w.get("http://" + w.site.Planner.Listen + "/v1/view")
		return strings.Contains(body, "draining")
	})
	if code, again := w.get(uri); code != 200 || w.box(again) != b {
		t.Errorf("%d: a drain broke what plays:\n%s", code, again)
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 8 {
		_, m := w.play(0, fmt.Sprint("key=n", i))
		if _, l := w.get(w.media(0, m)); w.box(l) == b {
			t.Errorf("new session at a draining box")
		}
	}
	w.judge()
}

// A box dies between the multivariant and the first media playlist: the reload is answered from another.
func TestBoxDiesBeforeMedia(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	_, manifest := w.play(0, "key=k1")
	var dead *standin.Box
	for _, b := range w.fleet.Boxes {
		if b.Sessions() > 0 {
			dead = b
		}
	}
	dead.Crash()
	uri := w.media(0, manifest)
	w.until("the reload names a living box", func() bool {
		code, list := w.get(uri)
		return code == 200 && w.box(list) != dead
	})
	if _, list := w.get(uri); !strings.Contains(list, "#EXT-X-DISCONTINUITY\n") && !strings.Contains(list, "#EXT-X-MEDIA-SEQUENCE:0\n") {
		t.Errorf("%s", list)
	}
	if n := w.count(audit.SetupArrived, ""); n != 2 {
		t.Errorf("%d set-ups", n)
	}
	w.judge()
}

// A reload at another edge, which never saw the session, is set up there and goes on where play stands.
func TestReloadAtAnotherEdge(t *testing.T) {
	w := newWorld(t, 3, 2, nil)
	w.startEdge(0, 3)
	w.startEdge(1, 3)
	_, manifest := w.play(0, "key=k1")
	time.Sleep(2200 * time.Millisecond)
	code, list := w.get(w.media(1, manifest))
	if code != 200 || !strings.Contains(list, "#EXT-X-MEDIA-SEQUENCE:2\n") || !strings.Contains(list, "/2.aac") {
		t.Errorf("%d %s", code, list)
	}
	w.judge()
}

// The answer of a set-up is lost, though the box runs it: a repeatable class is set up elsewhere after
// the attempt is out, a paid one has failed and is not sent again. The stray session is let go.
func TestAnswerLost(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	lose := func(b *standin.Box) { b.Set(func(f *standin.Faults) { f.AnswerLost = 1 }) }
	for _, b := range w.fleet.Boxes {
		lose(b)
	}
	code, _ := w.play(0, "class=paid&key=p1")
	if code != 502 {
		t.Errorf("paid: %d, want failed", code)
	}
	if n := w.count(audit.SetupRan, "paid"); n != 1 {
		t.Errorf("paid: %d set-ups ran", n)
	}
	keep := w.fleet.Boxes[1]
	keep.Set(func(f *standin.Faults) { f.AnswerLost = 0 })
	ok := false
	for i := range 4 {
		code, _ = w.play(0, fmt.Sprint("class=play&key=r", i))
		ok = ok || code == 200
	}
	if !ok {
		t.Error("repeatable: never played")
	}
	w.until("strays are let go", func() bool { return w.fleet.Boxes[0].Sessions()+w.fleet.Boxes[2].Sessions() == 0 })
	w.judge()
}

// Viewers give up at every moment around the answer; nothing is set up twice and nothing stays.
func TestGiveUpRaces(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.fleet.Setup = 20 * time.Millisecond
	w.startEdge(0, 3)
	var work sync.WaitGroup
	for i := range 60 {
		work.Add(1)
		go func() {
			defer work.Done()
			conn, err := net.Dial("tcp", w.site.Edges[0].Listen)
			if err != nil {
				t.Error(err)
				return
			}
			fmt.Fprintf(conn, "GET /play/clip/index.m3u8?class=paid&key=g%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
			time.Sleep(time.Duration(i) * time.Millisecond)
			conn.Close()
			if i%3 == 0 { // and come again at once
				if code, body := w.play(0, fmt.Sprintf("class=paid&key=g%d", i)); code != 200 && code != 503 {
					t.Errorf("%d %s", code, body)
				}
			}
		}()
	}
	work.Wait()
	w.judge()
}

// An edge that restarts without a planner serves from its last list, which names a box that is gone.
func TestRestartWithLastList(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	w.edges[0].end()
	w.plan.end()
	w.plan = nil
	w.fleet.Boxes[0].Crash()
	w.startEdge(0, 3)
	for i := range 6 {
		code, m := w.play(0, fmt.Sprint("key=k", i))
		if code != 200 {
			t.Fatalf("%d %s", code, m)
		}
	}
	w.startPlanner()
	w.until("the planner's view is in force", func() bool { return strings.Contains(w.status(0), `"boxes":2,`) })
	w.edges[0].end()
	file := filepath.Join(w.state, "view-0.json")
	for _, torn := range []string{"", "{", `{"v":1,"whole":true,"boxes":[{"id":""}]}`, `{"v":1}`} {
		if err := os.WriteFile(file, []byte(torn), 0o644); err != nil {
			t.Fatal(err)
		}
		w.startEdge(0, 2) // a torn file is not used; the planner's view comes
		w.edges[0].end()
	}
	w.edges[0] = nil
	w.judge()
}

// Playlists that cannot be used end in one clear answer.
func TestBrokenPlaylists(t *testing.T) {
	w := newWorld(t, 2, 1, nil)
	w.startEdge(0, 2)
	for i, text := range []string{"nonsense", "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXTINF:1,\nhttp://evil/x\n", "#EXTM3U\n#EXT-X-TARGETDURATION:1\n"} {
		for _, b := range w.fleet.Boxes {
			b.Set(func(f *standin.Faults) { f.Playlist = text })
		}
		if code, _ := w.play(0, fmt.Sprint("class=paid&key=b", i)); code != 502 && code != 503 {
			t.Errorf("%q: %d", text, code)
		}
	}
	w.judge()
}

// Seats of a title are filled by retries too; one is free again when a session ends.
func TestSeats(t *testing.T) {
	w := newWorld(t, 3, 1, func(s *config.Site) { s.Classes[0].Seats = 3 })
	w.startEdge(0, 3)
	played := 0
	for i := range 12 {
		if code, _ := w.play(0, fmt.Sprint("key=k", i%6)); code == 200 {
			played++
		} else if code != 503 {
			t.Errorf("%d", code)
		}
	}
	if played != 6 { // three viewers, twice each
		t.Errorf("%d answers with a session, want 6", played)
	}
	w.judge()
}

// Numbers in a viewer's URLs that no clock knows do no harm: too long a patience is the class's deadline,
// a start that is negative, to come or beyond every time is refused, whether the session plays or not.
func TestNumbersInURLs(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	for _, c := range []struct {
		query string
		want  int
	}{{"patience=9223372036854775807", 200}, {"patience=9223372036855", 200}, {"patience=99999999999999999999", 400}, {"patience=0", 400},
		{"patience=-1", 400}, {"best=99999999999999999999", 400}, {"best=9223372036854775807", 200}} {
		if code, body := w.play(0, "key=n1&"+c.query); code != c.want {
			t.Errorf("%s: %d %s, want %d", c.query, code, body, c.want)
		}
	}
	_, manifest := w.play(0, "key=n2")
	plays := w.media(0, manifest)
	head, file := plays[:strings.LastIndexByte(plays[:strings.LastIndexByte(plays, '/')], '/')+1], "/media.m3u8"
	for _, start := range []string{"-5", "-zz", "zzzzzzzz", "1y2p0ij32e8e7", "zzzzzzzzzzzzzzzz", "", "+5", "A"} {
		for _, uri := range []string{head + start + file, strings.Replace(head, "/n2/", "/n3/", 1) + start + file} {
			if code, body := w.get(uri); code != 400 {
				t.Errorf("%s: %d %s, want 400", uri, code, body)
			}
		}
	}
	if code, body := w.get(plays); code != 200 {
		t.Errorf("the session itself: %d %s", code, body)
	}
}

func TestMetrics(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	if code, _ := w.play(0, ""); code != 200 {
		t.Fatal(code)
	}
	for addr, wants := range map[string][]string{
		w.site.Edges[0].Listen: {"rainpulley_edge_plays_total 1\n", "rainpulley_edge_attempts_total 1\n", "rainpulley_edge_view_boxes 3\n"},
		w.site.Planner.Listen:  {"rainpulley_planner_boxes{state=\"ready\"} 3\n", "rainpulley_planner_titles 1\n"},
	} {
		code, body := w.get("http://" + addr + "/metrics")
		for _, want := range wants {
			if code != 200 || !strings.Contains(body, want) {
				t.Errorf("%d, no %q in\n%s", code, want, body)
			}
		}
	}
}

// A reloaded site brings boxes and titles to edges, and takes them away; what operators told stays.
func TestReload(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	next := *w.site
	next.Boxes = w.site.Boxes[:2]
	next.Titles = []config.Title{{Name: "clip", Home: 0, Span: 2, Length: sec(20)}, {Name: "new", Home: 1, Span: 1, Length: sec(9)}}
	if code, _ := w.call("PUT", "/v1/titles/told", `{"name":"told","home":0,"span":1}`); code != 204 {
		t.Fatal(code)
	}
	w.planner.Reload(&next)
	w.until("edge has the new site", func() bool { return strings.Contains(w.status(0), `"boxes":2,"titles":3,`) })
	next2 := next
	next2.Titles, next2.Boxes = next.Titles[:1], w.site.Boxes
	w.planner.Reload(&next2)
	w.until("edge has the newest", func() bool { return strings.Contains(w.status(0), `"boxes":3,"titles":2,`) })
	if got := config.Changed(w.site, &next2, "titles"); len(got) != 0 {
		t.Errorf("changed: %v", got)
	}
	if code, _ := w.play(0, ""); code != 200 {
		t.Error(code)
	}
	w.judge()
}

// Noise on the peers' port, from strangers and from a peer's own address, changes nothing.
func TestNoiseDatagrams(t *testing.T) {
	w := newWorld(t, 2, 2, nil)
	w.startEdge(0, 2)
	own, err := net.ListenPacket("udp", w.site.Edges[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	to, err := net.ResolveUDPAddr("udp", w.site.Edges[0].Peer)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "x", "rpl1 ", "rpl1 \x00\xff", "rpl1 " + strings.Repeat("z", 60000), "rpl1 q1;2;3"} {
		if _, err := own.WriteTo([]byte(text), to); err != nil {
			t.Error(err)
		}
	}
	if code, body := w.play(0, "key=k1"); code != 200 {
		t.Errorf("%d %s", code, body)
	}
}

// At the end an edge answers what it took, and refuses what comes later by closing.
func TestDrainOnStop(t *testing.T) {
	w := newWorld(t, 2, 1, nil)
	w.fleet.Setup = 300 * time.Millisecond
	w.startEdge(0, 2)
	codes := make(chan int, 8)
	for i := range cap(codes) {
		go func() { code, _ := w.play(0, fmt.Sprint("class=paid&key=s", i)); codes <- code }()
	}
	w.until("set-ups are out", func() bool { return w.count(audit.SetupArrived, "paid") == cap(codes) })
	w.edges[0].end()
	w.edges[0] = nil
	for range cap(codes) {
		if code := <-codes; code != 200 {
			t.Errorf("%d, want the answer of what was taken", code)
		}
	}
	w.until("boxes let the sessions of a gone edge go", func() bool { return w.fleet.Boxes[0].Sessions()+w.fleet.Boxes[1].Sessions() == 0 })
}

// More than the edge may take is refused at once, with advice.
func TestOverload(t *testing.T) {
	w := newWorld(t, 2, 1, func(s *config.Site) { s.Limits.Sessions = 3 })
	w.startEdge(0, 2)
	for i := range 5 {
		r, err := http.Get("http://" + w.site.Edges[0].Listen + fmt.Sprint("/play/clip/index.m3u8?key=k", i))
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if want := 200; i < 3 && r.StatusCode != want {
			t.Errorf("%d: %d", i, r.StatusCode)
		}
		if i >= 3 && (r.StatusCode != 503 || r.Header.Get("Retry-After") == "") {
			t.Errorf("%d: %d %v", i, r.StatusCode, r.Header)
		}
	}
}

// A planner that is killed and comes back changes nothing for sessions, and what drains meanwhile is
// learnt when it is back.
func TestPlannerRestartUnderLoad(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				if code, body := w.play(0, fmt.Sprint("key=l", i)); code != 200 && code != 503 {
					t.Errorf("%d %s", code, body)
				}
			}
		}
	}()
	time.Sleep(200 * time.Millisecond)
	w.plan.end()
	w.fleet.Boxes[0].Drain(true)
	time.Sleep(300 * time.Millisecond)
	w.startPlanner()
	time.Sleep(1500 * time.Millisecond)
	before := 0
	for _, e := range w.log.Entries() {
		if e.What == audit.SetupRan && e.Who == w.fleet.Boxes[0].Addr {
			before++
		}
	}
	time.Sleep(300 * time.Millisecond)
	close(stop)
	work.Wait()
	after := 0
	for _, e := range w.log.Entries() {
		if e.What == audit.SetupArrived && e.Who == w.fleet.Boxes[0].Addr && e.T > w.log.Entries()[len(w.log.Entries())-1].T-200000 {
			after++
		}
	}
	if after > 0 {
		t.Errorf("%d set-ups at a draining box after the planner is back (%d before)", after, before)
	}
	w.judge()
}

// The attempt budget is spent: set-ups that end in a reset are not sent again beyond it.
func TestBudgetSpent(t *testing.T) {
	w := newWorld(t, 3, 1, func(s *config.Site) {
		s.Rules.BudgetSpan, s.Rules.BudgetFree, s.Rules.BudgetShare = sec(1.5), 3, 0.1
	})
	w.startEdge(0, 3)
	time.Sleep(w.site.Rules.BudgetSpan.D() + 100*time.Millisecond) // an edge that has just started has no free part
	for _, b := range w.fleet.Boxes {
		b.Set(func(f *standin.Faults) { f.Reset = 2 })
	}
	for i := range 20 {
		if code, _ := w.play(0, fmt.Sprint("key=k", i)); code != 503 {
			t.Errorf("%d", code)
		}
	}
	if further := w.count(audit.SetupArrived, "") - 20; further > 5 {
		t.Errorf("%d further attempts", further)
	}
	w.judgeWithViewers(20)
}

// judgeWithViewers also gives the audit the requests, which these tests' viewers do not log.
func (w *world) judgeWithViewers(requests int) {
	w.t.Helper()
	entries := w.log.Entries()
	for i := range requests {
		q := audit.Entry{Side: "viewer", What: audit.Asked, Session: fmt.Sprint("q", i), Edge: "0", Value: 4}
		entries = append(entries, q)
		q.What = audit.Answered
		entries = append(entries, q)
	}
	v := audit.Judge(w.site, entries)
	for _, b := range v.Breaches {
		w.t.Errorf("%+v", b)
	}
	if w.site.Rules.BudgetSpan > 0 && v.Checks[audit.BudgetKept] == 0 {
		w.t.Error("no further attempt was checked")
	}
}

// A box comes back cold while all edges are full of work for it: it is not pushed over.
func TestColdBoxUnderAllEdges(t *testing.T) {
	for name, skew := range map[string]time.Duration{"one clock": 0, "edges' clocks ahead": 30 * time.Second, "edges' clocks behind": -30 * time.Second} {
		t.Run(name, func(t *testing.T) { coldBox(t, skew) })
	}
}

func coldBox(t *testing.T, skew time.Duration) {
	w := newWorld(t, 2, 3, func(s *config.Site) { s.Rules.Ramp = sec(4) })
	w.skew = skew
	for i := range 3 {
		w.startEdge(i, 2)
	}
	w.fleet.Boxes[0].Crash()
	w.until("all know that it is gone", func() bool {
		return strings.Contains(w.status(0)+w.status(1)+w.status(2), `"boxes":1,`)
	})
	if err := w.fleet.Boxes[0].Return(); err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	for i := range 120 {
		work.Add(1)
		go func() {
			defer work.Done()
			time.Sleep(time.Duration(i*20) * time.Millisecond)
			w.play(i%3, fmt.Sprint("key=c", i))
		}()
	}
	work.Wait()
	cold := 0
	for _, e := range w.log.Entries() {
		if e.What == audit.SetupArrived && e.Who == w.fleet.Boxes[0].Addr {
			cold++
		}
	}
	if cold == 0 {
		t.Error("the cold box got no work at all")
	}
	w.judge()
}

// A flood of bad connections costs no descriptor and no session of another.
func TestBadConnectionsLeaveNothing(t *testing.T) {
	w := newWorld(t, 2, 1, nil)
	w.startEdge(0, 2)
	_, manifest := w.play(0, "key=good")
	uri := w.media(0, manifest)
	open := func() int {
		l, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("no /proc here")
		}
		return len(l)
	}
	before := open()
	for i, text := range []string{"", "x", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", "GET /" + strings.Repeat("a", 20000), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"GET /s/play/clip/good/0/media.m3u8 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /play/clip/index.m3u8?key=" + strings.Repeat("k", 65) + " HTTP/1.1\r\nHost: a\r\n\r\n"} {
		for range 20 {
			c, err := net.Dial("tcp", w.site.Edges[0].Listen)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, text)
			if i%2 == 0 {
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				_, _ = io.Copy(io.Discard, c)
			}
			_ = c.Close()
		}
	}
	if code, list := w.get(uri); code != 200 {
		t.Errorf("%d %s", code, list)
	}
	w.until("descriptors are closed", func() bool { return open() <= before+4 })
}

// An edge that is killed and comes back takes over what still plays at boxes: the viewer's reload goes on
// in the same numbers, and nothing is set up again.
func TestRestartTakesOver(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	_, manifest := w.play(0, "class=paid&key=k1")
	uri := w.media(0, manifest)
	time.Sleep(1200 * time.Millisecond)
	_, before := w.get(uri)
	w.edges[0].end()
	w.startEdge(0, 3)
	code, after := w.get(uri)
	if code != 200 || w.box(after) != w.box(before) {
		t.Errorf("%d\n%s\nbefore\n%s", code, after, before)
	}
	numbered := func(list string) map[string]string { // by sequence number
		out, n := map[string]string{}, 0
		for _, l := range strings.Split(list, "\n") {
			if v, ok := strings.CutPrefix(l, "#EXT-X-MEDIA-SEQUENCE:"); ok {
				fmt.Sscan(v, &n)
			} else if strings.HasPrefix(l, "http") {
				out[fmt.Sprint(n)] = l
				n++
			}
		}
		return out
	}
	old, same := numbered(before), 0
	for n, uri := range numbered(after) {
		if old[n] == uri {
			same++
		} else if old[n] != "" {
			t.Errorf("segment %s was %s, is %s", n, old[n], uri)
		}
	}
	if n := w.count(audit.SetupArrived, "paid"); n != 1 || same == 0 {
		t.Errorf("%d set-ups, %d segments alike", n, same)
	}
	w.judge()
}

// A manifest with an audio group: the session's manifest names the edge for both, each at the session's box;
// tags that the edge does not know stay.
func TestRenditions(t *testing.T) {
	w := newWorld(t, 2, 1, nil)
	w.startEdge(0, 2)
	for _, b := range w.fleet.Boxes {
		b.Set(func(f *standin.Faults) {
			f.Manifest = "#EXTM3U\n#EXT-X-NEW-TAG:A=1\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"en\",URI=\"r0/media.m3u8\"\n" +
				"#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"b\",NAME=\"other\",URI=\"r1/media.m3u8\"\n" +
				"#EXT-X-STREAM-INF:BANDWIDTH=9,AUDIO=\"a\"\nr2/media.m3u8\n"
		})
	}
	code, manifest := w.play(0, "key=k1")
	if code != 200 || !strings.Contains(manifest, "#EXT-X-NEW-TAG:A=1\n") || strings.Contains(manifest, "GROUP-ID=\"b\"") {
		t.Fatalf("%d %s", code, manifest)
	}
	uri := w.media(0, manifest)
	_, main := w.get(uri)
	code, audio := w.get(strings.Replace(uri, "media.m3u8", "r1.m3u8", 1))
	if code != 200 || w.box(audio) != w.box(main) || !strings.Contains(audio, "/r0/0.aac") || !strings.Contains(main, "/r2/0.aac") {
		t.Errorf("%d\n%s\n%s", code, audio, main)
	}
	if code, _ := w.get(strings.Replace(uri, "media.m3u8", "r3.m3u8", 1)); code != 404 {
		t.Errorf("no such rendition: %d", code)
	}
}

// say sends the planner an announcement of title "clip", and returns its answer.
func (w *world) say(id string, version int, in, length time.Duration, more string) (int, string) {
	body := fmt.Sprintf(`{"id":%q,"version":%d,"titles":["clip"],"class":"play","start_ms":%d,"rate":4,"length_ms":%d%s}`, id, version,
		time.Now().Add(in).UnixMilli(), length.Milliseconds(), more)
	return w.call("PUT", "/v1/peaks/"+id, body)
}

func (w *world) call(method, path, body string) (int, string) {
	q, err := http.NewRequest(method, "http://"+w.site.Planner.Listen+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(b)
}

func (w *world) holds(i int) (n int) {
	_, rest, _ := strings.Cut(w.status(i), `"holds":`)
	_, _ = fmt.Sscan(rest, &n)
	return n
}

// Holds reach the edge, move off a box that drains, are given back at once on cancel, and lapse when the
// planner dies; its successor knows what was announced.
func TestHolds(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	if code, text := w.say("p", 1, 2*time.Second, 20*time.Second, ""); code != 201 {
		t.Fatalf("%d %s", code, text)
	}
	if code, _ := w.call("PUT", "/v1/peaks/other", `{"id":"p"}`); code != 400 {
		t.Errorf("id of another path: %d", code)
	}
	for more, field := range map[string]string{`,"rate":-1`: "rate", `,"titles":["none"]`: "titles[0]", `,"class":"x"`: "class", `,"colour":1`: "colour", `,"length_ms":0`: "length_ms"} {
		if code, text := w.say("q", 1, time.Second, time.Second, more); code != 400 || !strings.Contains(text, field) {
			t.Errorf("%s: %d %s", more, code, text)
		}
	}
	w.until("the edge holds room on all boxes", func() bool { return w.holds(0) == 3 })
	drained := w.fleet.Boxes[0]
	drained.Drain(true)
	w.until("the drained box holds none", func() bool {
		_, text := w.call("GET", "/v1/peaks", "")
		_, text, _ = strings.Cut(text, `"holds":[`)
		held, _, _ := strings.Cut(text, "]")
		return w.holds(0) == 2 && !strings.Contains(held, drained.Addr)
	})
	w.plan.end()
	w.until("holds lapse", func() bool { return w.holds(0) == 0 })
	if code, body := w.play(0, "key=k1"); code != 200 {
		t.Errorf("without a planner: %d %s", code, body)
	}
	w.startPlanner()
	w.until("the successor holds again", func() bool { return w.holds(0) == 2 })
	if code, _ := w.call("DELETE", "/v1/peaks/p", ""); code != 201 {
		t.Errorf("cancel: %d", code)
	}
	w.until("given back", func() bool { return w.holds(0) == 0 })
	if code, _ := w.say("p", 1, time.Second, 20*time.Second, ""); code != 204 {
		t.Errorf("an old version after the cancel: %d", code)
	}
	if code, _ := w.call("DELETE", "/v1/peaks/none", ""); code != 404 {
		t.Errorf("cancel of none: %d", code)
	}
	w.judge()
}

// Announcement files: half written ones and those with a fault change nothing; mended, they are taken whole.
func TestAnnouncementFiles(t *testing.T) {
	w := newWorld(t, 2, 1, nil)
	w.startEdge(0, 2)
	file := filepath.Join(w.state, "peaks.jsonnet")
	one := func(id, title string) string {
		return fmt.Sprintf("{ id: '%s', version: 1, titles: ['%s'], class: 'play', start_ms: %d, rate: 2, length_ms: 20000 }", id, title,
			time.Now().Add(time.Second).UnixMilli())
	}
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1300 * time.Millisecond)
	}
	known := func() string { _, text := w.call("GET", "/v1/peaks", ""); return text }
	for _, text := range []string{"", "{ peaks: [" + one("a", "clip"), "{ peaks: [" + one("a", "clip") + "," + one("b", "none") + "] }", "{ peeks: [] }"} {
		write(text)
		if !strings.Contains(known(), `"peaks":[]`) {
			t.Errorf("%q: %s", text, known())
		}
	}
	write("{ peaks: [" + one("a", "clip") + "," + one("b", "clip") + "] }")
	if got := known(); !strings.Contains(got, `"id":"a"`) || !strings.Contains(got, `"id":"b"`) {
		t.Error(got)
	}
	w.until("the edge holds room", func() bool { return w.holds(0) > 0 })
}

// An edge that is killed in mid-peak comes back to the holds, and its use is not counted twice.
func TestEdgeRestartsMidPeak(t *testing.T) {
	w := newWorld(t, 3, 1, nil)
	w.startEdge(0, 3)
	w.say("p", 1, time.Second, 30*time.Second, "")
	w.until("the edge holds room", func() bool { return w.holds(0) > 0 })
	for i := range 4 {
		_, m := w.play(0, fmt.Sprint("class=play&key=k", i))
		w.get(w.media(0, m))
	}
	w.edges[0].end()
	w.startEdge(0, 3)
	w.until("the edge holds room again", func() bool { return w.holds(0) > 0 })
	w.until("use is counted once", func() bool {
		_, text := w.call("GET", "/v1/peaks", "")
		var b struct {
			Accounts map[string]struct{ Size, Held, Used, Free float64 }
		}
		if err := json.Unmarshal([]byte(text), &b); err != nil {
			t.Fatal(err)
		}
		used := 0.0
		for _, a := range b.Accounts {
			used += a.Used
			if math.Abs(a.Held+a.Used+a.Free-a.Size) > 1e-6 {
				t.Errorf("%+v", a)
			}
		}
		real := 0
		for _, b := range w.fleet.Boxes {
			real += b.Sessions()
		}
		if used > 1.2*4*2000 { // links are up to 15% other than told
			t.Errorf("%.0f kB/s used by %d sessions of 2,000", used, real)
		}
		return real == 4 && used >= 4*2000
	})
	w.judge()
}

// A planner that is killed comes back with the drains and titles that it was told.
func TestPlannerKeepsWhatItWasTold(t *testing.T) {
	w := newWorld(t, 3, 1, func(s *config.Site) {
		s.Titles = append(s.Titles, config.Title{Name: "extra", Span: 1, Length: sec(20)})
	})
	w.startEdge(0, 3)
	box := w.fleet.Boxes[1].Addr
	for _, c := range []struct {
		method, path, body string
		want               int
	}{{"POST", "/v1/boxes/" + box + "/drain", "", 204}, {"POST", "/v1/boxes/127.0.0.1:1/drain", "", 404},
		{"PUT", "/v1/titles/extra", `{"name":"extra","home":1,"span":2}`, 204}, {"PUT", "/v1/titles/extra", `{"name":"extra","home":9,"span":2}`, 400},
		{"PUT", "/v1/titles/extra", `{"name":"extra"`, 400}, {"DELETE", "/v1/titles/clip", "", 204}} {
		if code, text := w.call(c.method, c.path, c.body); code != c.want {
			t.Errorf("%s %s: %d %s", c.method, c.path, code, text)
		}
	}
	told := func() bool {
		_, text := w.call("GET", "/v1/view", "")
		return strings.Contains(text, `"state":"draining"`) && strings.Contains(text, `"name":"extra","home":1,"span":2`) && !strings.Contains(text, `"clip"`)
	}
	w.until("the view says so", told)
	w.plan.end()
	w.startPlanner()
	w.until("its successor's view says so", told)
	w.until("the edge plays the new title only", func() bool {
		fresh, _ := w.get("http://" + w.site.Edges[0].Listen + "/play/extra/index.m3u8")
		old, _ := w.play(0, "key=k1")
		return fresh == 200 && old == 404
	})
	w.plan.end()
	if err := os.WriteFile(filepath.Join(w.state, "told.json"), []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	w.startPlanner() // a torn file is not used: the site file stands
	w.until("the site's titles are back", func() bool { code, _ := w.play(0, "key=k2"); return code == 200 })
}

// plannerLog shows the planner's log with -v.
func plannerLog() *slog.Logger {
	if testing.Verbose() {
		return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("program", "planner")
	}
	return slog.New(slog.DiscardHandler)
}
