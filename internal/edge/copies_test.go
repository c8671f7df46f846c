package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
	"rainpulley/internal/standin"
)

// newCopiesEnv starts six boxes, two of which hold each title initially, and a planner that manages copies.
func newCopiesEnv(t *testing.T, edges int, change func(*config.Site)) *testEnv {
	env := newTestEnv(t, 6, edges, func(s *config.Site) {
		s.Titles = []config.Title{{Name: "clip", Home: 0, Span: 2, Length: seconds(4)},
			{Name: "other", Home: 3, Span: 2, Length: seconds(4)}}
		s.Copies = config.Copies{Managed: true, Least: 2, AtOnce: 2, Share: 0.9, Most: 4, Grace: seconds(1), Patience: seconds(1), Backoff: seconds(0.3), Ahead: seconds(60)}
		if change != nil {
			change(s)
		}
	})
	for i := range edges {
		env.startEdge(i, 6)
	}
	return env
}

// announceOverload announces a peak that exceeds the capacity of two boxes.
func (env *testEnv) announceOverload(version int, in time.Duration) {
	env.t.Helper()
	if code, body := env.announcePeak("hour", version, in, 20*time.Second,
		`,"class":"play","rate":30,"session_ms":4000`); code != 201 {
		env.t.Fatal(code, body)
	}
}

// boxesWithTitle returns the indices of the boxes that have a complete copy of a title.
func (env *testEnv) boxesWithTitle(title string) (indices []int) {
	for i, b := range env.fleet.Boxes {
		if b.HasTitle(title) {
			indices = append(indices, i)
		}
	}
	return indices
}

// publishedHolders returns the number of holders of a title in the planner's view, or -1 if the view does not list
// them.
func (env *testEnv) publishedHolders(title string) int {
	_, body := env.get("http://" + env.site.Planner.Listen + "/v1/view")
	_, line, ok := strings.Cut(body, `{"name":"`+title+`"`)
	if line, _, _ = strings.Cut(line, "}"); !ok || !strings.Contains(line, `"listed":true`) {
		return -1
	}
	_, list, ok := strings.Cut(line, `"holders":[`)
	if !ok {
		return 0
	}
	list, _, _ = strings.Cut(list, "]")
	return strings.Count(list, ",") + 1
}

// Copies for an announced peak are made over the links of the boxes, published once complete, used by sessions, and
// removed when the peak is cancelled. The initial holders keep the title.
func TestCopiesForPeak(t *testing.T) {
	t.Parallel()
	env := newCopiesEnv(t, 1, nil)
	env.waitFor("holders to be published", func() bool { return env.publishedHolders("clip") == 2 })
	env.announceOverload(1, 8*time.Second)
	env.waitFor("a third holder, published", func() bool {
		return len(env.boxesWithTitle("clip")) > 2 && env.publishedHolders("clip") == len(env.boxesWithTitle("clip"))
	})
	env.waitFor("sessions at a copy", func() bool {
		for i := range 8 {
			env.play(0, fmt.Sprintf("key=c%d-%d", i, time.Now().UnixNano()))
		}
		n := 0
		for i, b := range env.fleet.Boxes {
			if i >= 2 {
				n += b.SessionCount()
			}
		}
		return n > 0
	})
	if code, _ := env.callPlanner("DELETE", "/v1/peaks/hour", ""); code != 201 {
		t.Fatal(code)
	}
	env.waitFor("copies to be removed", func() bool {
		return slices.Equal(env.boxesWithTitle("clip"), []int{0, 1}) && env.publishedHolders("clip") == 2
	})
	for _, e := range env.log.Entries() {
		if e.Event == audit.TitleDropped && (e.Subject == env.fleet.Boxes[0].Addr || e.Subject == env.fleet.Boxes[1].Addr) {
			t.Errorf("an initial holder dropped the title: %+v", e)
		}
	}
	env.checkAudit()
}

// One component fails or drains while a copy is in progress: the copy is still made, and no request gets an unexpected
// answer.
func TestCopiesDespiteFailures(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(env *testEnv){
		"the source": func(env *testEnv) { env.fleet.Boxes[0].Crash() },
		"the target": func(env *testEnv) {
			for i, b := range env.fleet.Boxes[2:] {
				if !b.HasTitle("clip") {
					b.Crash()
					time.AfterFunc(500*time.Millisecond, func() { _ = env.fleet.Boxes[2+i].Restart() })
				}
			}
		},
		"the planner":           func(env *testEnv) { env.plannerTask.stopAndWait(); env.startPlanner() },
		"a drain of the source": func(env *testEnv) { env.fleet.Boxes[0].Drain(true) },
		"a full disk":           func(env *testEnv) { env.fleet.Boxes[3].SetFaults(func(f *standin.Faults) { f.FullDisk = true }) },
		"a hang of the source":  func(env *testEnv) { env.fleet.Boxes[1].SetFaults(func(f *standin.Faults) { f.Hang = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newCopiesEnv(t, 1, nil)
			env.waitFor("holders to be published", func() bool { return env.publishedHolders("clip") == 2 })
			env.announceOverload(1, 10*time.Second)
			env.waitFor("a copy in progress", func() bool {
				return slices.ContainsFunc(env.fleet.Boxes[2:], (*standin.Box).IsCopying)
			})
			fail(env)
			var work sync.WaitGroup
			for i := range 6 {
				work.Add(1)
				go func() {
					defer work.Done()
					if code, body := env.play(0, fmt.Sprint("key=d", i)); code != 200 && code != 503 && code != 502 {
						t.Errorf("%d %s", code, body)
					}
				}()
			}
			work.Wait()
			env.waitFor("another complete holder, published", func() bool {
				n := 0
				for i, b := range env.fleet.Boxes {
					if i >= 2 && b.HasTitle("clip") {
						n++
					}
				}
				return n > 0 && env.publishedHolders("clip") > 1
			})
			env.checkAudit()
		})
	}
}

// A title is dropped at a box while a set-up for it is in progress there. The box answers that the session never ran,
// and the set-up is sent to another holder: the viewer gets one session.
func TestTitleDroppedDuringSetUp(t *testing.T) {
	t.Parallel()
	env := newCopiesEnv(t, 1, nil)
	env.waitFor("holders to be published", func() bool { return env.publishedHolders("clip") == 2 })
	for _, b := range env.fleet.Boxes[:2] {
		b.SetFaults(func(f *standin.Faults) { f.ExtraSetUpTime = 300 * time.Millisecond })
	}
	answers := make(chan int, 1)
	go func() { code, _ := env.play(0, "key=x&class=paid"); answers <- code }()
	var target *standin.Box
	env.waitFor("a set-up in progress", func() bool {
		for _, e := range env.log.Entries() {
			if e.Event == audit.SetUpReceived {
				target = env.fleet.Boxes[slices.IndexFunc(env.fleet.Boxes, func(b *standin.Box) bool { return b.Addr == e.Subject })]
			}
		}
		return target != nil
	})
	req, _ := http.NewRequestWithContext(context.Background(), "DELETE",
		fmt.Sprintf("http://%s/titles/clip?epoch=%d", target.Addr, time.Now().UnixMilli()), nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if code := <-answers; code != 200 {
		t.Errorf("answered %d, want 200", code)
	}
	if n := env.countEntries(audit.SetUpRan, "paid"); n != 1 || target.SessionCount() != 0 {
		t.Errorf("%d set-ups ran, want 1; the box without the title has %d sessions, want 0", n, target.SessionCount())
	}
	env.checkAudit()
}

// Two planners run at once: boxes accept commands only from the one that started later, and the earlier one stops
// sending them. A clock difference of seconds between planner and edges has no effect, because leases are durations.
func TestTwoPlanners(t *testing.T) {
	t.Parallel()
	env := newCopiesEnv(t, 1, nil)
	env.waitFor("holders to be published", func() bool { return env.publishedHolders("clip") == 2 })
	later := time.Now().Add(5 * time.Second).UnixMilli() // epoch of the other planner, whose clock is ahead
	for _, b := range env.fleet.Boxes {
		req, _ := http.NewRequestWithContext(context.Background(), "PUT",
			fmt.Sprintf("http://%s/titles/none?epoch=%d&rate=1", b.Addr, later), nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	env.announceOverload(1, 8*time.Second)
	env.waitFor("the planner to detect that it is outdated", func() bool {
		_, body := env.get("http://" + env.site.Planner.Listen + "/metrics")
		return strings.Contains(body, "rainpulley_planner_copies_outdated 1\n")
	})
	if got := env.boxesWithTitle("clip"); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("holders %v", got)
	}
	if code, _ := env.play(0, "key=y"); code != 200 {
		t.Errorf("%d", code)
	}
	env.checkAudit()
}

// The catalogue changes under load: titles are removed, restored and moved, and some updates are malformed. Each
// request gets one of the expected answers, and a malformed update changes nothing.
func TestCatalogueChangesUnderLoad(t *testing.T) {
	t.Parallel()
	env := newCopiesEnv(t, 2, func(s *config.Site) {
		s.Limits.Sessions = 2000
		s.Links = config.Links{PerWeight: 400_000, Uplink: 3_000_000} // on smaller links viewers leave copies too little rate
	})
	env.waitFor("holders to be published", func() bool {
		return env.publishedHolders("clip") == 2 && env.publishedHolders("other") == 2
	})
	stop, codes := make(chan struct{}), map[int]int{}
	var mu sync.Mutex
	var work sync.WaitGroup
	for viewer := range 4 {
		work.Add(1)
		go func() {
			defer work.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				title := []string{"clip", "other"}[i%2]
				code, _ := env.get(fmt.Sprintf("http://%s/play/%s/index.m3u8?key=u%d-%d", env.site.Edges[viewer%2].Listen,
					title, viewer, i))
				mu.Lock()
				codes[code]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	seen := func(code int) int { mu.Lock(); defer mu.Unlock(); return codes[code] }
	for range 3 {
		notFound, plays := seen(404), seen(200)+seen(503)
		for _, malformed := range []string{`{"name":"clip","home":0,`, `{"name":"clip","home":0,"span":99}`,
			`{"name":"clip"}`, ``} {
			if code, _ := env.callPlanner("PUT", "/v1/titles/clip", malformed); code != 400 {
				t.Errorf("malformed update: %d, want 400", code)
			}
		}
		if code, _ := env.callPlanner("DELETE", "/v1/titles/other", ""); code != 204 {
			t.Error(code)
		}
		env.waitFor("the title to be removed, and viewers to get 404", func() bool {
			return env.publishedHolders("other") < 0 && seen(404) > notFound
		})
		if code, _ := env.callPlanner("PUT", "/v1/titles/other",
			`{"name":"other","home":3,"span":2,"length_ms":4000}`); code != 204 {
			t.Error(code)
		}
		env.waitFor("the title to be restored, and to play", func() bool {
			return env.publishedHolders("other") >= 2 && seen(200)+seen(503) > plays+20
		})
	}
	if code, _ := env.callPlanner("PUT", "/v1/titles/clip",
		`{"name":"clip","home":2,"span":2,"length_ms":4000}`); code != 204 {
		t.Error(code)
	}
	env.waitFor("new holders to be published", func() bool {
		return len(env.boxesWithTitle("clip")) == 4 && env.publishedHolders("clip") == 2
	})
	close(stop)
	work.Wait()
	env.waitFor("the title to be only at its new holders", func() bool {
		return slices.Equal(env.boxesWithTitle("clip"), []int{2, 3})
	})
	if codes[200] < 20 || codes[404] == 0 || codes[0] > 0 || codes[502] > 0 || codes[504] > 0 {
		t.Errorf("answers %v", codes)
	}
	env.checkAudit()
}

// A rendition is removed while sessions that want it are being set up: each of them gets one answer, and a session
// that started before keeps playing.
func TestRenditionRemovedDuringSetUp(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	for _, b := range env.fleet.Boxes {
		b.SetFaults(func(f *standin.Faults) { f.ExtraSetUpTime = 150 * time.Millisecond })
	}
	_, manifest := env.play(0, "key=before")
	codes := make(chan int, 24)
	for i := range cap(codes) {
		go func() {
			code, _ := env.play(0, fmt.Sprintf("key=r%d&best=%d&class=%s", i, 1+i%2, []string{"play", "paid"}[i%2]))
			codes <- code
		}()
	}
	env.waitFor("set-ups in progress", func() bool { return env.countEntries(audit.SetUpReceived, "") > 6 })
	shortened := "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=2400000\nr0/media.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=6400000\nr1/media.m3u8\n"
	for _, b := range env.fleet.Boxes {
		b.SetFaults(func(f *standin.Faults) { f.Manifest = shortened })
	}
	got := map[int]int{}
	for range cap(codes) {
		got[<-codes]++
	}
	if got[200]+got[502]+got[503] != cap(codes) {
		t.Errorf("answers %v", got)
	}
	if code, _ := env.get(env.mediaURL(0, manifest)); code != 200 {
		t.Errorf("a session that started before: %d", code)
	}
	env.checkAudit()
}
