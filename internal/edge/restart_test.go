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

// An edge that restarts without a planner serves from its saved view, although that lists a box that is gone. A saved
// view that is truncated or invalid is ignored.
func TestRestartWithSavedView(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	env.edgeTasks[0].stopAndWait()
	env.plannerTask.stopAndWait()
	env.plannerTask = nil
	env.fleet.Boxes[0].Crash()
	env.startEdge(0, 3)
	for i := range 6 {
		code, m := env.play(0, fmt.Sprint("key=k", i))
		if code != 200 {
			t.Fatalf("%d %s", code, m)
		}
	}
	env.startPlanner()
	env.waitFor("the planner's view to be applied", func() bool { return strings.Contains(env.status(0), `"boxes":2,`) })
	env.edgeTasks[0].stopAndWait()
	file := filepath.Join(env.stateDir, "view-0.json")
	for _, malformed := range []string{"", "{", `{"v":1,"whole":true,"boxes":[{"id":""}]}`, `{"v":1}`} {
		if err := os.WriteFile(file, []byte(malformed), 0o644); err != nil {
			t.Fatal(err)
		}
		env.startEdge(0, 2) // the file is ignored; the view comes from the planner
		env.edgeTasks[0].stopAndWait()
	}
	env.edgeTasks[0] = nil
	env.checkAudit()
}

// Edge and planner export counters of sessions, boxes and titles.
func TestMetrics(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	if code, _ := env.play(0, ""); code != 200 {
		t.Fatal(code)
	}
	for addr, wants := range map[string][]string{
		env.site.Edges[0].Listen: {"rainpulley_edge_plays_total 1\n", "rainpulley_edge_attempts_total 1\n", "rainpulley_edge_view_boxes 3\n"},
		env.site.Planner.Listen:  {"rainpulley_planner_boxes{state=\"ready\"} 3\n", "rainpulley_planner_titles 1\n"},
	} {
		code, body := env.get("http://" + addr + "/metrics")
		for _, want := range wants {
			if code != 200 || !strings.Contains(body, want) {
				t.Errorf("%d, no %q in\n%s", code, want, body)
			}
		}
	}
}

// Reloading the site file at the planner adds and removes boxes and titles at edges. Titles that operators set with
// the API remain.
func TestReload(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	next := *env.site
	next.Boxes = env.site.Boxes[:2]
	next.Titles = []config.Title{{Name: "clip", Home: 0, Span: 2, Length: seconds(20)}, {Name: "new", Home: 1, Span: 1, Length: seconds(9)}}
	if code, _ := env.callPlanner("PUT", "/v1/titles/told", `{"name":"told","home":0,"span":1}`); code != 204 {
		t.Fatal(code)
	}
	env.planner.Reload(&next)
	env.waitFor("the edge to have the new site", func() bool {
		return strings.Contains(env.status(0), `"boxes":2,"titles":3,`)
	})
	next2 := next
	next2.Titles, next2.Boxes = next.Titles[:1], env.site.Boxes
	env.planner.Reload(&next2)
	env.waitFor("the edge to have the second new site", func() bool {
		return strings.Contains(env.status(0), `"boxes":3,"titles":2,`)
	})
	if got := config.ChangedFields(env.site, &next2, "titles"); len(got) != 0 {
		t.Errorf("changed: %v", got)
	}
	if code, _ := env.play(0, ""); code != 200 {
		t.Error(code)
	}
	env.checkAudit()
}

// An edge that stops answers the requests that it accepted. Boxes then end its sessions.
func TestDrainOnStop(t *testing.T) {
	env := newTestEnv(t, 2, 1, nil)
	env.fleet.SetUpTime = 300 * time.Millisecond
	env.startEdge(0, 2)
	codes := make(chan int, 8)
	for i := range cap(codes) {
		go func() { code, _ := env.play(0, fmt.Sprint("class=paid&key=s", i)); codes <- code }()
	}
	env.waitFor("set-ups in progress", func() bool { return env.countEntries(audit.SetUpReceived, "paid") == cap(codes) })
	env.edgeTasks[0].stopAndWait()
	env.edgeTasks[0] = nil
	for range cap(codes) {
		if code := <-codes; code != 200 {
			t.Errorf("accepted request: %d, want 200", code)
		}
	}
	env.waitFor("boxes to end the sessions of the stopped edge", func() bool {
		return env.fleet.Boxes[0].SessionCount()+env.fleet.Boxes[1].SessionCount() == 0
	})
}

// A planner restart under load does not make requests fail. A box that starts to drain while the planner is down gets
// no set-ups once the planner is back.
func TestPlannerRestartUnderLoad(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
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
				if code, body := env.play(0, fmt.Sprint("key=l", i)); code != 200 && code != 503 {
					t.Errorf("%d %s", code, body)
				}
			}
		}
	}()
	time.Sleep(200 * time.Millisecond)
	env.plannerTask.stopAndWait()
	env.fleet.Boxes[0].Drain(true)
	time.Sleep(300 * time.Millisecond)
	env.startPlanner()
	time.Sleep(1500 * time.Millisecond)
	before := 0
	for _, e := range env.log.Entries() {
		if e.Event == audit.SetUpRan && e.Subject == env.fleet.Boxes[0].Addr {
			before++
		}
	}
	time.Sleep(300 * time.Millisecond)
	close(stop)
	work.Wait()
	after := 0
	for _, e := range env.log.Entries() {
		if e.Event == audit.SetUpReceived && e.Subject == env.fleet.Boxes[0].Addr && e.TimeMicros > env.log.Entries()[len(env.log.Entries())-1].TimeMicros-200000 {
			after++
		}
	}
	if after > 0 {
		t.Errorf("%d set-ups at a draining box after the planner is back (%d before)", after, before)
	}
	env.checkAudit()
}

// An edge that restarts adopts the sessions that boxes still run for it: the viewer's reload continues with the same
// segment numbers, and no session is set up again.
func TestRestartAdoptsSessions(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	_, manifest := env.play(0, "class=paid&key=k1")
	uri := env.mediaURL(0, manifest)
	time.Sleep(1200 * time.Millisecond)
	_, before := env.get(uri)
	env.edgeTasks[0].stopAndWait()
	env.startEdge(0, 3)
	code, after := env.get(uri)
	if code != 200 || env.boxOf(after) != env.boxOf(before) {
		t.Errorf("%d\n%s\nbefore\n%s", code, after, before)
	}
	segmentsByNumber := func(list string) map[string]string { // by sequence number
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
	segmentsBefore, same := segmentsByNumber(before), 0
	for n, uri := range segmentsByNumber(after) {
		if segmentsBefore[n] == uri {
			same++
		} else if segmentsBefore[n] != "" {
			t.Errorf("segment %s was %s and is %s after the restart", n, segmentsBefore[n], uri)
		}
	}
	if n := env.countEntries(audit.SetUpReceived, "paid"); n != 1 || same == 0 {
		t.Errorf("%d set-ups, want 1; %d segments in common, want some", n, same)
	}
	env.checkAudit()
}

// A planner that restarts keeps the drains and titles that operators set. If the file with them is truncated, it uses
// the titles of the site file.
func TestPlannerRestartKeepsState(t *testing.T) {
	env := newTestEnv(t, 3, 1, func(s *config.Site) {
		s.Titles = append(s.Titles, config.Title{Name: "extra", Span: 1, Length: seconds(20)})
	})
	env.startEdge(0, 3)
	box := env.fleet.Boxes[1].Addr
	for _, c := range []struct {
		method, path, body string
		want               int
	}{{"POST", "/v1/boxes/" + box + "/drain", "", 204}, {"POST", "/v1/boxes/127.0.0.1:1/drain", "", 404},
		{"PUT", "/v1/titles/extra", `{"name":"extra","home":1,"span":2}`, 204}, {"PUT", "/v1/titles/extra", `{"name":"extra","home":9,"span":2}`, 400},
		{"PUT", "/v1/titles/extra", `{"name":"extra"`, 400}, {"DELETE", "/v1/titles/clip", "", 204}} {
		if code, text := env.callPlanner(c.method, c.path, c.body); code != c.want {
			t.Errorf("%s %s: %d %s", c.method, c.path, code, text)
		}
	}
	viewIsCurrent := func() bool {
		_, text := env.callPlanner("GET", "/v1/view", "")
		return strings.Contains(text, `"state":"draining"`) && strings.Contains(text, `"name":"extra","home":1,"span":2`) && !strings.Contains(text, `"clip"`)
	}
	env.waitFor("the view to contain the changes", viewIsCurrent)
	env.plannerTask.stopAndWait()
	env.startPlanner()
	env.waitFor("the view of the restarted planner to contain the changes", viewIsCurrent)
	env.waitFor("the edge to play only the changed title", func() bool {
		extraCode, _ := env.get("http://" + env.site.Edges[0].Listen + "/play/extra/index.m3u8")
		clipCode, _ := env.play(0, "key=k1")
		return extraCode == 200 && clipCode == 404
	})
	env.plannerTask.stopAndWait()
	if err := os.WriteFile(filepath.Join(env.stateDir, "told.json"), []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	env.startPlanner() // the truncated file is ignored; the site file applies
	env.waitFor("the titles of the site file", func() bool { code, _ := env.play(0, "key=k2"); return code == 200 })
}

// Guards against an edge that is killed and started again and gives seats away that sessions of its earlier instance
// still take: viewers knock from the first moment on, while the boxes have not all listed their sessions.
func TestSeatsThroughRestart(t *testing.T) {
	for _, savedView := range []bool{true, false} {
		t.Run(fmt.Sprint("saved view: ", savedView), func(t *testing.T) {
			env := newTestEnv(t, 3, 1, func(s *config.Site) { s.Classes[0].Seats = 3 })
			env.startEdge(0, 3)
			for i := range 3 {
				if code, body := env.play(0, fmt.Sprint("key=first", i)); code != 200 {
					t.Fatal(code, body)
				}
			}
			env.edgeTasks[0].stopAndWait()
			if !savedView {
				if err := os.RemoveAll(env.stateDir); err != nil {
					t.Fatal(err)
				}
			}
			stop := make(chan struct{})
			var work sync.WaitGroup
			for viewer := range 8 {
				work.Go(func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(time.Millisecond):
							env.play(0, fmt.Sprint("key=later", viewer))
						}
					}
				})
			}
			env.startEdge(0, 3)
			for range 100 {
				time.Sleep(5 * time.Millisecond)
				if n := env.fleet.Boxes[0].SessionCount() + env.fleet.Boxes[1].SessionCount() + env.fleet.Boxes[2].SessionCount(); n > 3 {
					t.Errorf("%d sessions of a title with 3 seats", n)
				}
			}
			close(stop)
			work.Wait()
			env.checkAudit()
		})
	}
}
