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

// copyWorld is six boxes of which two hold the clip at rest, with copies looked after.
func newCopiesEnv(t *testing.T, edges int, change func(*config.Site)) *testEnv {
	w := newTestEnv(t, 6, edges, func(s *config.Site) {
		s.Titles = []config.Title{{Name: "clip", Home: 0, Span: 2, Length: seconds(4)}, {Name: "other", Home: 3, Span: 2, Length: seconds(4)}}
		s.Copies = config.Copies{Managed: true, Least: 2, AtOnce: 2, Share: 0.9, Most: 4, Grace: seconds(1), Patience: seconds(1), Backoff: seconds(0.3), Ahead: seconds(60)}
		if change != nil {
			change(s)
		}
	})
	for i := range edges {
		w.startEdge(i, 6)
	}
	return w
}

// crowd announces an hour that two boxes cannot carry.
func (w *testEnv) announceOverload(version int, in time.Duration) {
	w.t.Helper()
	if code, body := w.announcePeak("hour", version, in, 20*time.Second, `,"class":"play","rate":30,"session_ms":4000`); code != 201 {
		w.t.Fatal(code, body)
	}
}

// holders are the boxes that have a title whole, by their own word.
func (w *testEnv) boxesWithTitle(title string) (out []int) {
	for i, b := range w.fleet.Boxes {
		if b.Holds(title) {
			out = append(out, i)
		}
	}
	return out
}

// told are the holders that the planner tells edges.
func (w *testEnv) publishedHolders(title string) int {
	_, body := w.get("http://" + w.site.Planner.Listen + "/v1/view")
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

// Copies for an hour are made over the boxes' links, told once whole, used, and given back when it is cancelled.
func TestCopiesForAnHour(t *testing.T) {
	t.Parallel()
	w := newCopiesEnv(t, 1, nil)
	w.waitFor("holders are told", func() bool { return w.publishedHolders("clip") == 2 })
	w.announceOverload(1, 8*time.Second)
	w.waitFor("a third holder", func() bool {
		return len(w.boxesWithTitle("clip")) > 2 && w.publishedHolders("clip") == len(w.boxesWithTitle("clip"))
	})
	w.waitFor("sessions at a copy", func() bool {
		for i := range 8 {
			w.play(0, fmt.Sprintf("key=c%d-%d", i, time.Now().UnixNano()))
		}
		n := 0
		for i, b := range w.fleet.Boxes {
			if i >= 2 {
				n += b.Sessions()
			}
		}
		return n > 0
	})
	if code, _ := w.callPlanner("DELETE", "/v1/peaks/hour", ""); code != 201 {
		t.Fatal(code)
	}
	w.waitFor("copies are given back", func() bool {
		return slices.Equal(w.boxesWithTitle("clip"), []int{0, 1}) && w.publishedHolders("clip") == 2
	})
	for _, e := range w.log.Entries() {
		if e.What == audit.TitleDropped && (e.Who == w.fleet.Boxes[0].Addr || e.Who == w.fleet.Boxes[1].Addr) {
			t.Errorf("dropped at rest: %+v", e)
		}
	}
	w.checkAudit()
}

// Whatever dies while a copy is made, it is made in the end, and no session suffers.
func TestCopiesThroughDeaths(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]func(w *testEnv){
		"the source": func(w *testEnv) { w.fleet.Boxes[0].Crash() },
		"the target": func(w *testEnv) {
			for i, b := range w.fleet.Boxes[2:] {
				if !b.Holds("clip") {
					b.Crash()
					time.AfterFunc(500*time.Millisecond, func() { _ = w.fleet.Boxes[2+i].Return() })
				}
			}
		},
		"the planner":           func(w *testEnv) { w.plannerTask.stopAndWait(); w.startPlanner() },
		"a drain of the source": func(w *testEnv) { w.fleet.Boxes[0].Drain(true) },
		"a full disk":           func(w *testEnv) { w.fleet.Boxes[3].Set(func(f *standin.Faults) { f.FullDisk = true }) },
		"a hang of the source":  func(w *testEnv) { w.fleet.Boxes[1].Set(func(f *standin.Faults) { f.Hang = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCopiesEnv(t, 1, nil)
			w.waitFor("holders are told", func() bool { return w.publishedHolders("clip") == 2 })
			w.announceOverload(1, 10*time.Second)
			w.waitFor("a copy is under way", func() bool {
				return slices.ContainsFunc(w.fleet.Boxes[2:], (*standin.Box).Copying)
			})
			c(w)
			var work sync.WaitGroup
			for i := range 6 {
				work.Add(1)
				go func() {
					defer work.Done()
					if code, body := w.play(0, fmt.Sprint("key=d", i)); code != 200 && code != 503 && code != 502 {
						t.Errorf("%d %s", code, body)
					}
				}()
			}
			work.Wait()
			w.waitFor("another whole holder, told", func() bool {
				n := 0
				for i, b := range w.fleet.Boxes {
					if i >= 2 && b.Holds("clip") {
						n++
					}
				}
				return n > 0 && w.publishedHolders("clip") > 1
			})
			w.checkAudit()
		})
	}
}

// A set-up that is out in the moment its title is dropped there never ran, by the box's word, and goes to
// another holder: one outcome.
func TestDropMeetsSetUp(t *testing.T) {
	t.Parallel()
	w := newCopiesEnv(t, 1, nil)
	w.waitFor("holders are told", func() bool { return w.publishedHolders("clip") == 2 })
	for _, b := range w.fleet.Boxes[:2] {
		b.Set(func(f *standin.Faults) { f.SetUp = 300 * time.Millisecond })
	}
	answers := make(chan int, 1)
	go func() { code, _ := w.play(0, "key=x&class=paid"); answers <- code }()
	var at *standin.Box
	w.waitFor("a set-up is out", func() bool {
		for _, e := range w.log.Entries() {
			if e.What == audit.SetupArrived {
				at = w.fleet.Boxes[slices.IndexFunc(w.fleet.Boxes, func(b *standin.Box) bool { return b.Addr == e.Who })]
			}
		}
		return at != nil
	})
	q, _ := http.NewRequestWithContext(context.Background(), "DELETE", fmt.Sprintf("http://%s/titles/clip?epoch=%d", at.Addr, time.Now().UnixMilli()), nil)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	_ = p.Body.Close()
	if code := <-answers; code != 200 {
		t.Errorf("answered %d", code)
	}
	if n := w.countEntries(audit.SetupRan, "paid"); n != 1 || at.Sessions() != 0 {
		t.Errorf("ran %d times, %d at the box without it", n, at.Sessions())
	}
	w.checkAudit()
}

// Two planners: boxes obey the later one, and the earlier commands no more. Clocks some seconds apart between
// planner and edges change nothing: leases are lengths.
func TestTwoPlanners(t *testing.T) {
	t.Parallel()
	w := newCopiesEnv(t, 1, nil)
	w.waitFor("holders are told", func() bool { return w.publishedHolders("clip") == 2 })
	later := time.Now().Add(5 * time.Second).UnixMilli() // the other's clock is ahead
	for _, b := range w.fleet.Boxes {
		q, _ := http.NewRequestWithContext(context.Background(), "PUT", fmt.Sprintf("http://%s/titles/none?epoch=%d&rate=1", b.Addr, later), nil)
		p, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = p.Body.Close()
	}
	w.announceOverload(1, 8*time.Second)
	w.waitFor("the planner sees that it is outdated", func() bool {
		_, body := w.get("http://" + w.site.Planner.Listen + "/metrics")
		return strings.Contains(body, "rainpulley_planner_copies_outdated 1\n")
	})
	if got := w.boxesWithTitle("clip"); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("holders %v", got)
	}
	if code, _ := w.play(0, "key=y"); code != 200 {
		t.Errorf("%d", code)
	}
	w.checkAudit()
}

// A catalogue changed under load: titles removed and put back, moved, and updates that arrive half written. Each
// session has one clear outcome, and a broken update changes nothing.
func TestCatalogueChangesUnderLoad(t *testing.T) {
	t.Parallel()
	w := newCopiesEnv(t, 2, func(s *config.Site) {
		s.Limits.Sessions = 2000
		s.Links = config.Links{PerWeight: 400_000, Uplink: 3_000_000} // copies crawl where viewers fill the links
	})
	w.waitFor("holders are told", func() bool { return w.publishedHolders("clip") == 2 && w.publishedHolders("other") == 2 })
	stop, codes := make(chan struct{}), map[int]int{}
	var mu sync.Mutex
	var work sync.WaitGroup
	for v := range 4 {
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
				code, _ := w.get(fmt.Sprintf("http://%s/play/%s/index.m3u8?key=u%d-%d", w.site.Edges[v%2].Listen, title, v, i))
				mu.Lock()
				codes[code]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	seen := func(code int) int { mu.Lock(); defer mu.Unlock(); return codes[code] }
	for range 3 {
		gone, plays := seen(404), seen(200)+seen(503)
		for _, half := range []string{`{"name":"clip","home":0,`, `{"name":"clip","home":0,"span":99}`, `{"name":"clip"}`, ``} {
			if code, _ := w.callPlanner("PUT", "/v1/titles/clip", half); code != 400 {
				t.Errorf("half an update: %d", code)
			}
		}
		if code, _ := w.callPlanner("DELETE", "/v1/titles/other", ""); code != 204 {
			t.Error(code)
		}
		w.waitFor("it is gone, and viewers were told so", func() bool { return w.publishedHolders("other") < 0 && seen(404) > gone })
		if code, _ := w.callPlanner("PUT", "/v1/titles/other", `{"name":"other","home":3,"span":2,"length_ms":4000}`); code != 204 {
			t.Error(code)
		}
		w.waitFor("it is back, and plays", func() bool { return w.publishedHolders("other") >= 2 && seen(200)+seen(503) > plays+20 })
	}
	if code, _ := w.callPlanner("PUT", "/v1/titles/clip", `{"name":"clip","home":2,"span":2,"length_ms":4000}`); code != 204 {
		t.Error(code)
	}
	w.waitFor("new holders are told", func() bool { return len(w.boxesWithTitle("clip")) == 4 && w.publishedHolders("clip") == 2 })
	close(stop)
	work.Wait()
	w.waitFor("it moved", func() bool { return slices.Equal(w.boxesWithTitle("clip"), []int{2, 3}) })
	if codes[200] < 20 || codes[404] == 0 || codes[0] > 0 || codes[502] > 0 || codes[504] > 0 {
		t.Errorf("answers %v", codes)
	}
	w.checkAudit()
}

// A rendition removed while its sessions are being set up: those that ask for it come to one outcome each, and
// the others play on.
func TestRenditionRemovedMidSetUp(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, 3, 1, nil)
	w.startEdge(0, 3)
	for _, b := range w.fleet.Boxes {
		b.Set(func(f *standin.Faults) { f.SetUp = 150 * time.Millisecond })
	}
	_, manifest := w.play(0, "key=before")
	codes := make(chan int, 24)
	for i := range cap(codes) {
		go func() {
			code, _ := w.play(0, fmt.Sprintf("key=r%d&best=%d&class=%s", i, 1+i%2, []string{"play", "paid"}[i%2]))
			codes <- code
		}()
	}
	w.waitFor("set-ups are out", func() bool { return w.countEntries(audit.SetupArrived, "") > 6 })
	less := "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=2400000\nr0/media.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=6400000\nr1/media.m3u8\n"
	for _, b := range w.fleet.Boxes {
		b.Set(func(f *standin.Faults) { f.Manifest = less })
	}
	got := map[int]int{}
	for range cap(codes) {
		got[<-codes]++
	}
	if got[200]+got[502]+got[503] != cap(codes) {
		t.Errorf("answers %v", got)
	}
	if code, _ := w.get(w.mediaURL(0, manifest)); code != 200 {
		t.Errorf("a session of before: %d", code)
	}
	w.checkAudit()
}
