package edge_test

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Holds reach the edge, move away from a draining box, end at once when the peak is cancelled, and expire when the
// planner stops. A restarted planner knows the announced peaks and versions.
func TestHolds(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	if code, text := env.announcePeak("p", 1, 2*time.Second, 20*time.Second, ""); code != 201 {
		t.Fatalf("%d %s", code, text)
	}
	if code, _ := env.callPlanner("PUT", "/v1/peaks/other", `{"id":"p"}`); code != 400 {
		t.Errorf("id differs from the path: %d", code)
	}
	for extraFields, field := range map[string]string{`,"rate":-1`: "rate", `,"titles":["none"]`: "titles[0]", `,"class":"x"`: "class", `,"colour":1`: "colour", `,"length_ms":0`: "length_ms"} {
		if code, text := env.announcePeak("q", 1, time.Second, time.Second, extraFields); code != 400 ||
			!strings.Contains(text, field) {
			t.Errorf("%s: %d %s", extraFields, code, text)
		}
	}
	env.waitFor("the edge to have holds on all boxes", func() bool { return env.activeHolds(0) == 3 })
	drainedBox := env.fleet.Boxes[0]
	drainedBox.Drain(true)
	env.waitFor("no hold on the draining box", func() bool {
		_, text := env.callPlanner("GET", "/v1/peaks", "")
		_, text, _ = strings.Cut(text, `"holds":[`)
		held, _, _ := strings.Cut(text, "]")
		return env.activeHolds(0) == 2 && !strings.Contains(held, drainedBox.Addr)
	})
	env.plannerTask.stopAndWait()
	env.waitFor("holds to expire", func() bool { return env.activeHolds(0) == 0 })
	if code, body := env.play(0, "key=k1"); code != 200 {
		t.Errorf("without a planner: %d %s", code, body)
	}
	env.startPlanner()
	env.waitFor("holds from the restarted planner", func() bool { return env.activeHolds(0) == 2 })
	if code, _ := env.callPlanner("DELETE", "/v1/peaks/p", ""); code != 201 {
		t.Errorf("cancel: %d, want 201", code)
	}
	env.waitFor("holds to end after the cancel", func() bool { return env.activeHolds(0) == 0 })
	if code, _ := env.announcePeak("p", 1, time.Second, 20*time.Second, ""); code != 204 {
		t.Errorf("an old version after the cancel: %d, want 204", code)
	}
	if code, _ := env.callPlanner("DELETE", "/v1/peaks/none", ""); code != 404 {
		t.Errorf("cancel of an unknown peak: %d, want 404", code)
	}
	env.checkAudit()
}

// An announcement file that is truncated or has an error changes nothing; once corrected, all of it takes effect.
func TestAnnouncementFiles(t *testing.T) {
	env := newTestEnv(t, 2, 1, nil)
	env.startEdge(0, 2)
	file := filepath.Join(env.stateDir, "peaks.jsonnet")
	peak := func(id, title string) string {
		return fmt.Sprintf("{ id: '%s', version: 1, titles: ['%s'], class: 'play', start_ms: %d, rate: 2, length_ms: 20000 }", id, title,
			time.Now().Add(time.Second).UnixMilli())
	}
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1300 * time.Millisecond)
	}
	known := func() string { _, text := env.callPlanner("GET", "/v1/peaks", ""); return text }
	for _, text := range []string{"", "{ peaks: [" + peak("a", "clip"), "{ peaks: [" + peak("a", "clip") + "," + peak("b", "none") + "] }", "{ peeks: [] }"} {
		write(text)
		if !strings.Contains(known(), `"peaks":[]`) {
			t.Errorf("%q: %s", text, known())
		}
	}
	write("{ peaks: [" + peak("a", "clip") + "," + peak("b", "clip") + "] }")
	if got := known(); !strings.Contains(got, `"id":"a"`) || !strings.Contains(got, `"id":"b"`) {
		t.Error(got)
	}
	env.waitFor("the edge to have holds", func() bool { return env.activeHolds(0) > 0 })
}

// An edge that restarts during a peak receives its holds again, and its usage is not counted twice.
func TestEdgeRestartDuringPeak(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	env.announcePeak("p", 1, time.Second, 30*time.Second, "")
	env.waitFor("the edge to have holds", func() bool { return env.activeHolds(0) > 0 })
	for i := range 4 {
		_, m := env.play(0, fmt.Sprint("class=play&key=k", i))
		env.get(env.mediaURL(0, m))
	}
	env.edgeTasks[0].stopAndWait()
	env.startEdge(0, 3)
	env.waitFor("the edge to have holds again", func() bool { return env.activeHolds(0) > 0 })
	env.waitFor("usage to be counted once", func() bool {
		_, text := env.callPlanner("GET", "/v1/peaks", "")
		var listed struct {
			Accounts map[string]struct{ Size, Held, Used, Free float64 }
		}
		if err := json.Unmarshal([]byte(text), &listed); err != nil {
			t.Fatal(err)
		}
		used := 0.0
		for _, a := range listed.Accounts {
			used += a.Used
			if math.Abs(a.Held+a.Used+a.Free-a.Size) > 1e-6 {
				t.Errorf("%+v", a)
			}
		}
		real := 0
		for _, listed := range env.fleet.Boxes {
			real += listed.SessionCount()
		}
		if used > 1.2*4*2000 { // the capacity of a link differs from the configured one by up to 15%
			t.Errorf("%.0f kB/s counted for %d sessions of 2,000 kB/s", used, real)
		}
		return real == 4 && used >= 4*2000
	})
	env.checkAudit()
}
