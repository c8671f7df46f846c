package planner

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/view"
)

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
