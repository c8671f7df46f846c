package planner

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rainpulley/internal/config"
	"rainpulley/internal/reconcile"
	"rainpulley/internal/registry"
	"rainpulley/internal/view"
)

// acceptedWords are what operators and callers were told to be accepted.
type acceptedWords struct {
	peaks  map[string]string // by ID: version and whether it is cancelled
	drains map[string]bool
	titles map[string]int // span by name; 0: removed
}

// explorer takes a planner through random changes, snapshots, failing writes and kills.
type explorer struct {
	*restartEnv
	*rapid.T
	words acceptedWords
}

var (
	explorerPeaks  = []string{"p0", "p1", "p2"}
	explorerBoxes  = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	explorerTitles = []string{"t0", "t1", "t2", "t3"}
)

func (e *explorer) draw(list []string, what string) string {
	return rapid.SampledFrom(list).Draw(e.T, what)
}

// change sends a request, and returns whether it was accepted. Any other answer must be a refusal.
func (e *explorer) change(method, path, body string) bool {
	code, text := e.call(method, path, body)
	if code/100 != 2 && code/100 != 4 && code != 503 {
		e.Fatalf("%s %s: %d %s", method, path, code, text)
	}
	return code/100 == 2
}

// changeWord makes one change of an operator or a caller.
func (e *explorer) changeWord() {
	switch rapid.IntRange(0, 6).Draw(e.T, "word") {
	case 0:
		id, version := e.draw(explorerPeaks, "peak"), rapid.IntRange(1, 4).Draw(e.T, "version")
		body := fmt.Sprintf(`{"id":%q,"version":%d,"titles":[%q],"class":"play","start_ms":%d,"rate":%d,"length_ms":60000}`, id, version,
			e.draw(explorerTitles, "title"), explorerStarts[version%2], version)
		if code, _ := e.call("PUT", "/v1/peaks/"+id, body); code == 201 { // 204: not newer, which changes nothing
			e.words.peaks[id] = fmt.Sprint(version, " ", false)
		}
	case 1:
		id := e.draw(explorerPeaks, "peak")
		a, _ := e.planner.peakState.announcements.Get(id)
		if e.change("DELETE", "/v1/peaks/"+id, "") && !a.Cancelled {
			e.words.peaks[id] = fmt.Sprint(a.Version+1, " ", true)
		}
	case 2:
		if id := e.draw(explorerBoxes, "box"); e.change("POST", "/v1/boxes/"+id+"/drain", "") {
			e.words.drains[id] = true
		}
	case 3:
		if id := e.draw(explorerBoxes, "box"); e.change("DELETE", "/v1/boxes/"+id+"/drain", "") {
			delete(e.words.drains, id)
		}
	case 4:
		name, span := e.draw(explorerTitles, "title"), rapid.IntRange(1, 3).Draw(e.T, "span")
		if e.change("PUT", "/v1/titles/"+name, fmt.Sprintf(`{"name":%q,"home":0,"span":%d}`, name, span)) {
			e.words.titles[name] = span
		}
	case 6:
		id, version := e.draw(explorerPeaks, "peak"), rapid.IntRange(1, 4).Draw(e.T, "version")
		if code, _ := e.call("PUT", "/v1/peaks/"+id, fmt.Sprintf(`{"id":%q,"version":%d,"cancelled":true}`, id, version)); code == 201 {
			e.words.peaks[id] = fmt.Sprint(version, " ", true)
		}
	case 5:
		if name := e.draw(explorerTitles, "title"); e.change("DELETE", "/v1/titles/"+name, "") {
			e.words.titles[name] = 0
		}
	}
}

// explorerStarts are the starts of peaks: one that is planned for already and one that is not.
var explorerStarts = []int64{time.Now().Add(10 * time.Second).UnixMilli(), time.Now().Add(24 * time.Hour).UnixMilli()}

// deliverAny passes a snapshot with some of the boxes and titles, some entries of which cannot be read.
func (e *explorer) deliverAny() {
	snapshot := registry.Snapshot{Source: "catalogue", Version: uint64(time.Now().UnixNano()), Titles: []view.Title{},
		InvalidTitles: map[string]string{}}
	for i, id := range explorerBoxes {
		entry := reconcile.Entry{ID: id, Address: id, Drain: rapid.Bool().Draw(e.T, "drain")}
		switch rapid.IntRange(0, 4).Draw(e.T, "box entry") {
		case 0:
		case 1:
			snapshot.InvalidBoxes = append(snapshot.InvalidBoxes, entry)
		default:
			snapshot.Boxes = append(snapshot.Boxes, registry.Box{Entry: entry, Zone: "z", Kind: "k", Cell: i, Weight: 1})
		}
	}
	for _, name := range explorerTitles {
		switch rapid.IntRange(0, 3).Draw(e.T, "title entry") {
		case 0:
		case 1:
			snapshot.InvalidTitles[name] = "half written"
		default:
			snapshot.Titles = append(snapshot.Titles, view.Title{Name: name, CellSpan: 1, LengthMs: 60_000})
		}
	}
	e.planner.handleSnapshot(snapshot)
}

// killDuringWrite makes a change and leaves its file as a kill at a step of the write would: the new file half written,
// whole, or the old file renamed already. The change is not answered, so that either word may be in force afterwards.
func (e *explorer) killDuringWrite() {
	name := e.draw([]string{overridesFile, announcementsFile}, "file")
	path := filepath.Join(e.options.State, name)
	before, err := os.ReadFile(path)
	if err != nil {
		return
	}
	files := map[string][]byte{}
	switch rapid.IntRange(0, 2).Draw(e.T, "step") {
	case 0:
		files = map[string][]byte{".new": before[:len(before)/2], "": before}
	case 1:
		files = map[string][]byte{".new": before, "": before}
	case 2:
		files = map[string][]byte{".new": before[:len(before)/2], ".old": before}
		_ = os.Remove(path)
	}
	for suffix, content := range files {
		if err := os.WriteFile(path+suffix, content, 0o644); err != nil {
			e.Fatal(err)
		}
	}
	e.start()
}

// narrowSite restarts the planner with another number of cells or without the class of the peaks.
func (e *explorer) narrowSite() {
	site := *e.options.Site
	site.Cells = rapid.IntRange(1, 3).Draw(e.T, "cells")
	site.Classes = []config.Class{{Name: e.draw([]string{"play", "other"}, "class"), Worth: 1}}
	e.options.Site = &site
	e.start()
}

// check compares what is in force with what was accepted.
func (e *explorer) check(after string) {
	p := e.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forecast(time.Now().UnixMilli())
	p.publishHolds()
	peaks := map[string]string{}
	for _, a := range p.peakState.announcements.List() {
		peaks[a.ID] = fmt.Sprint(a.Version, " ", a.Cancelled)
	}
	if !maps.Equal(peaks, e.words.peaks) {
		e.Fatalf("%s: peaks %v, accepted %v", after, peaks, e.words.peaks)
	}
	if !maps.Equal(p.monitor.operatorDrains, e.words.drains) {
		e.Fatalf("%s: drains %v, accepted %v", after, p.monitor.operatorDrains, e.words.drains)
	}
	for id := range e.words.drains {
		p.monitor.RecordCheck(id, HealthCheck{Answered: true, BootID: "one", Started: time.UnixMilli(1)})
		if b := p.monitor.boxes[id]; b != nil && b.effectiveState() == view.StateReady {
			e.Fatalf("%s: %s is ready though an operator drains it", after, id)
		}
	}
	for name, span := range e.words.titles {
		if span > e.options.Site.Cells { // does not apply at the moment: the catalogue's word does
			continue
		}
		if t, known := p.monitor.titles[name]; known != (span > 0) || known && t.CellSpan != span {
			e.Fatalf("%s: title %s is known: %v with span %d, accepted span %d", after, name, known, t.CellSpan, span)
		}
	}
}

// Whatever happens, a word that was accepted is in force until it is withdrawn: through kills at any moment, also during a
// write, failing writes, sites that are narrower for a while, and catalogues that lack what the word names.
func TestAcceptedWordsStay(t *testing.T) {
	folder := t.TempDir()
	number := 0
	rapid.Check(t, func(rt *rapid.T) {
		number++
		env := newRestartEnv(t, true)
		env.options.State = filepath.Join(folder, fmt.Sprint(number))
		if err := os.Mkdir(env.options.State, 0o755); err != nil {
			rt.Fatal(err)
		}
		env.options.Log = slog.New(slog.DiscardHandler)
		env.start()
		e := &explorer{restartEnv: env, T: rt, words: acceptedWords{peaks: map[string]string{}, drains: map[string]bool{}, titles: map[string]int{}}}
		steps := map[string]func(){"word": e.changeWord, "snapshot": e.deliverAny, "kill": e.start, "kill during a write": e.killDuringWrite,
			"another site": e.narrowSite, "failing write": func() {
				name := e.draw([]string{overridesFile, announcementsFile, snapshotFile}, "file")
				_ = os.Remove(filepath.Join(e.options.State, name+".new")) // what a kill during a write left
				unblock := e.blockWrites(name)
				e.changeWord()
				e.deliverAny()
				unblock()
			}}
		names := slices.Sorted(maps.Keys(steps))
		names = append(names, "word", "word", "snapshot")
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			name := e.draw(names, "step")
			steps[name]()
			e.check(name)
		}
		env.planner.unlockState()
	})
}
