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
type overrides struct {
	Drains []string              `json:"drains"`
	Titles map[string]view.Title `json:"titles"` // a span of 0: removed
}

// keepFile writes a value beside the old file, syncs it and renames it, so that a crash leaves one of the two.
func writeStateFile(path string, v any) error {
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
func (p *Planner) readStateFile(path string, into any) bool {
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

func (p *Planner) overridesPath() string { return filepath.Join(p.State, "told.json") }

// tell changes what operators told, on disk first. p.mu is held.
func (p *Planner) changeOverrides(change func(*overrides)) error {
	next := overrides{slices.Clone(p.overrides.Drains), map[string]view.Title{}}
	for k, v := range p.overrides.Titles {
		next.Titles[k] = v
	}
	change(&next)
	if p.State != "" {
		if err := writeStateFile(p.overridesPath(), next); err != nil {
			return err
		}
	}
	p.overrides = next
	return nil
}

// loadTold takes up what an earlier planner was told. What names boxes or cells that the site no longer
// has is dropped.
func (p *Planner) loadOverrides() {
	var saved overrides
	if p.State == "" || !p.readStateFile(p.overridesPath(), &saved) {
		return
	}
	for _, id := range saved.Drains {
		if !p.monitor.SetDrain(id, true) {
			p.Log.Warn("drain of before dropped: no such box", "server", id)
			continue
		}
		p.overrides.Drains = append(p.overrides.Drains, id)
	}
	p.overrides.Titles = map[string]view.Title{}
	for name, title := range saved.Titles {
		if title.Name != name || title.HomeCell < 0 || title.HomeCell >= p.Site.Cells || title.CellSpan < 0 || title.CellSpan > p.Site.Cells {
			p.Log.Warn("title of before dropped: it does not fit the cells", "title", name)
			continue
		}
		p.monitor.SetTitle(title)
		p.overrides.Titles[name] = title
	}
}
