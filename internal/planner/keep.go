package planner

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"rainpulley/internal/view"
)

// told is what operators told through the API beyond the site file; it outlives a restart.
type told struct {
	Drains []string              `json:"drains"`
	Titles map[string]view.Title `json:"titles"` // a span of 0: removed
}

// keepFile writes a value beside the old file, syncs it and renames it, so that a crash leaves one of the two.
func keepFile(path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("planner: %w", err)
	}
	f, err := os.Create(path + ".new")
	if err != nil {
		return fmt.Errorf("planner: %w", err)
	}
	_, err = f.Write(b)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return fmt.Errorf("planner: %w", err)
	}
	return nil
}

// readKept reads such a file; false where there is none or it cannot be used, which is logged.
func (p *Planner) readKept(path string, into any) bool {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false
	}
	if err == nil {
		err = json.Unmarshal(b, into)
	}
	if err != nil {
		p.Log.Error("kept file not used", "file", path, "error", err)
	}
	return err == nil
}

func (p *Planner) toldPath() string { return filepath.Join(p.State, "told.json") }

// tell changes what operators told, on disk first. p.mu is held.
func (p *Planner) tell(change func(*told)) error {
	next := told{slices.Clone(p.told.Drains), map[string]view.Title{}}
	for k, v := range p.told.Titles {
		next.Titles[k] = v
	}
	change(&next)
	if p.State != "" {
		if err := keepFile(p.toldPath(), next); err != nil {
			return err
		}
	}
	p.told = next
	return nil
}

// loadTold takes up what an earlier planner was told. What names boxes or cells that the site no longer
// has is dropped.
func (p *Planner) loadTold() {
	var t told
	if p.State == "" || !p.readKept(p.toldPath(), &t) {
		return
	}
	for _, id := range t.Drains {
		if !p.watch.Drain(id, true) {
			p.Log.Warn("drain of before dropped: no such box", "server", id)
			continue
		}
		p.told.Drains = append(p.told.Drains, id)
	}
	p.told.Titles = map[string]view.Title{}
	for name, x := range t.Titles {
		if x.Name != name || x.HomeCell < 0 || x.HomeCell >= p.Site.Cells || x.CellSpan < 0 || x.CellSpan > p.Site.Cells {
			p.Log.Warn("title of before dropped: it does not fit the cells", "title", name)
			continue
		}
		p.watch.SetTitle(x)
		p.told.Titles[name] = x
	}
}
