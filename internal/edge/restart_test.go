package edge_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
)

// An edge that restarts without a planner serves from its last list, which names a box that is gone.
func TestRestartWithLastList(t *testing.T) {
	w := newTestEnv(t, 3, 1, nil)
	w.startEdge(0, 3)
	w.edgeTasks[0].stopAndWait()
	w.plannerTask.stopAndWait()
	w.plannerTask = nil
	w.fleet.Boxes[0].Crash()
	w.startEdge(0, 3)
	for i := range 6 {
		code, m := w.play(0, fmt.Sprint("key=k", i))
		if code != 200 {
			t.Fatalf("%d %s", code, m)
		}
	}
	w.startPlanner()
	w.waitFor("the planner's view is in force", func() bool { return strings.Contains(w.status(0), `"boxes":2,`) })
	w.edgeTasks[0].stopAndWait()
	file := filepath.Join(w.stateDir, "view-0.json")
	for _, torn := range []string{"", "{", `{"v":1,"whole":true,"boxes":[{"id":""}]}`, `{"v":1}`} {
		if err := os.WriteFile(file, []byte(torn), 0o644); err != nil {
			t.Fatal(err)
		}
		w.startEdge(0, 2) // a torn file is not used; the planner's view comes
		w.edgeTasks[0].stopAndWait()
	}
	w.edgeTasks[0] = nil
	w.checkAudit()
}

func TestMetrics(t *testing.T) {
	w := newTestEnv(t, 3, 1, nil)
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
	w := newTestEnv(t, 3, 1, nil)
	w.startEdge(0, 3)
	next := *w.site
	next.Boxes = w.site.Boxes[:2]
	next.Titles = []config.Title{{Name: "clip", Home: 0, Span: 2, Length: seconds(20)}, {Name: "new", Home: 1, Span: 1, Length: seconds(9)}}
	if code, _ := w.callPlanner("PUT", "/v1/titles/told", `{"name":"told","home":0,"span":1}`); code != 204 {
		t.Fatal(code)
	}
	w.planner.Reload(&next)
	w.waitFor("edge has the new site", func() bool { return strings.Contains(w.status(0), `"boxes":2,"titles":3,`) })
	next2 := next
	next2.Titles, next2.Boxes = next.Titles[:1], w.site.Boxes
	w.planner.Reload(&next2)
	w.waitFor("edge has the newest", func() bool { return strings.Contains(w.status(0), `"boxes":3,"titles":2,`) })
	if got := config.Changed(w.site, &next2, "titles"); len(got) != 0 {
		t.Errorf("changed: %v", got)
	}
	if code, _ := w.play(0, ""); code != 200 {
		t.Error(code)
	}
	w.checkAudit()
}

// At the end an edge answers what it took, and refuses what comes later by closing.
func TestDrainOnStop(t *testing.T) {
	w := newTestEnv(t, 2, 1, nil)
	w.fleet.Setup = 300 * time.Millisecond
	w.startEdge(0, 2)
	codes := make(chan int, 8)
	for i := range cap(codes) {
		go func() { code, _ := w.play(0, fmt.Sprint("class=paid&key=s", i)); codes <- code }()
	}
	w.waitFor("set-ups are out", func() bool { return w.countEntries(audit.SetupArrived, "paid") == cap(codes) })
	w.edgeTasks[0].stopAndWait()
	w.edgeTasks[0] = nil
	for range cap(codes) {
		if code := <-codes; code != 200 {
			t.Errorf("%d, want the answer of what was taken", code)
		}
	}
	w.waitFor("boxes let the sessions of a gone edge go", func() bool { return w.fleet.Boxes[0].Sessions()+w.fleet.Boxes[1].Sessions() == 0 })
}

// A planner that is killed and comes back changes nothing for sessions, and what drains meanwhile is
// learnt when it is back.
func TestPlannerRestartUnderLoad(t *testing.T) {
	w := newTestEnv(t, 3, 1, nil)
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
	w.plannerTask.stopAndWait()
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
	w.checkAudit()
}

// An edge that is killed and comes back takes over what still plays at boxes: the viewer's reload goes on
// in the same numbers, and nothing is set up again.
func TestRestartTakesOver(t *testing.T) {
	w := newTestEnv(t, 3, 1, nil)
	w.startEdge(0, 3)
	_, manifest := w.play(0, "class=paid&key=k1")
	uri := w.mediaURL(0, manifest)
	time.Sleep(1200 * time.Millisecond)
	_, before := w.get(uri)
	w.edgeTasks[0].stopAndWait()
	w.startEdge(0, 3)
	code, after := w.get(uri)
	if code != 200 || w.boxOf(after) != w.boxOf(before) {
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
	if n := w.countEntries(audit.SetupArrived, "paid"); n != 1 || same == 0 {
		t.Errorf("%d set-ups, %d segments alike", n, same)
	}
	w.checkAudit()
}

// A planner that is killed comes back with the drains and titles that it was told.
func TestPlannerKeepsWhatItWasTold(t *testing.T) {
	w := newTestEnv(t, 3, 1, func(s *config.Site) {
		s.Titles = append(s.Titles, config.Title{Name: "extra", Span: 1, Length: seconds(20)})
	})
	w.startEdge(0, 3)
	box := w.fleet.Boxes[1].Addr
	for _, c := range []struct {
		method, path, body string
		want               int
	}{{"POST", "/v1/boxes/" + box + "/drain", "", 204}, {"POST", "/v1/boxes/127.0.0.1:1/drain", "", 404},
		{"PUT", "/v1/titles/extra", `{"name":"extra","home":1,"span":2}`, 204}, {"PUT", "/v1/titles/extra", `{"name":"extra","home":9,"span":2}`, 400},
		{"PUT", "/v1/titles/extra", `{"name":"extra"`, 400}, {"DELETE", "/v1/titles/clip", "", 204}} {
		if code, text := w.callPlanner(c.method, c.path, c.body); code != c.want {
			t.Errorf("%s %s: %d %s", c.method, c.path, code, text)
		}
	}
	told := func() bool {
		_, text := w.callPlanner("GET", "/v1/view", "")
		return strings.Contains(text, `"state":"draining"`) && strings.Contains(text, `"name":"extra","home":1,"span":2`) && !strings.Contains(text, `"clip"`)
	}
	w.waitFor("the view says so", told)
	w.plannerTask.stopAndWait()
	w.startPlanner()
	w.waitFor("its successor's view says so", told)
	w.waitFor("the edge plays the new title only", func() bool {
		fresh, _ := w.get("http://" + w.site.Edges[0].Listen + "/play/extra/index.m3u8")
		old, _ := w.play(0, "key=k1")
		return fresh == 200 && old == 404
	})
	w.plannerTask.stopAndWait()
	if err := os.WriteFile(filepath.Join(w.stateDir, "told.json"), []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	w.startPlanner() // a torn file is not used: the site file stands
	w.waitFor("the site's titles are back", func() bool { code, _ := w.play(0, "key=k2"); return code == 200 })
}
