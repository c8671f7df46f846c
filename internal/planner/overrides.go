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

// overrides are the drains and titles that operators set through the API in addition to the site file. They are
// stored and survive a restart.
type overrides struct {
	Drains []string              `json:"drains"`
	Titles map[string]view.Title `json:"titles"` // a span of 0 marks a removed title
}

// writeStateFile writes a value as JSON to a new file, syncs it and renames it to path, so that a crash leaves
// either the old or the new file.
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

// readStateFile reads a file that writeStateFile wrote. It returns false if the file is missing or unusable, and
// logs the latter.
func (p *Planner) readStateFile(path string, into any) bool {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false
	}
	if err == nil {
		err = json.Unmarshal(b, into)
	}
	if err != nil {
		p.Log.Error("state file is unusable; ignoring it", "file", path, "error", err)
	}
	return err == nil
}

func (p *Planner) overridesPath() string { return filepath.Join(p.State, "told.json") }

// changeOverrides applies a change to a copy of the overrides and stores it on disk before it takes effect. p.mu is
// held.
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

// loadOverrides restores the overrides that an earlier process stored. Titles in cells that the site no longer has are
// dropped. A drain of a box that is not known is kept: the box may come from a source that is not read yet.
func (p *Planner) loadOverrides() {
	var saved overrides
	if p.State == "" || !p.readStateFile(p.overridesPath(), &saved) {
		return
	}
	for _, id := range saved.Drains {
		if !p.monitor.SetDrain(id, true) {
			p.Log.Info("a stored drain applies once its box is known", "server", id)
		}
		p.overrides.Drains = append(p.overrides.Drains, id)
	}
	p.overrides.Titles = map[string]view.Title{}
	for name, title := range saved.Titles {
		if title.Name != name || title.HomeCell < 0 || title.HomeCell >= p.Site.Cells ||
			title.CellSpan < 0 || title.CellSpan > p.Site.Cells {
			p.Log.Warn("dropped a stored title: it does not fit the site's cells", "title", name)
			continue
		}
		p.monitor.SetTitle(title)
		p.overrides.Titles[name] = title
	}
}
