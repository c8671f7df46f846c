package planner

import (
	"maps"
	"slices"

	"rainpulley/internal/view"
)

// overrides are the drains and titles that operators set through the API in addition to the site file. They are
// stored and survive a restart.
type overrides struct {
	Drains []string              `json:"drains"`
	Titles map[string]view.Title `json:"titles"` // a span of 0 marks a removed title
}

// clone returns a copy that can be changed.
func (o overrides) clone() overrides {
	next := overrides{slices.Clone(o.Drains), map[string]view.Title{}}
	maps.Copy(next.Titles, o.Titles)
	return next
}

// changeOverrides applies a change to a copy of the overrides, stores it on disk, and then replaces the overrides and
// calls apply with p.mu held. The disk is written to without p.mu, so that a slow one does not delay the view. check is
// called first, with p.mu held; its error is returned.
func (p *Planner) changeOverrides(check func() error, change func(*overrides), apply func()) error {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	p.mu.Lock()
	err := check()
	next := p.overrides.clone()
	p.mu.Unlock()
	if err != nil {
		return err
	}
	change(&next)
	if err := p.storeState(overridesFile, next); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.overrides = next
	apply()
	return nil
}

// titleFits reports whether a title that an operator set fits the site's cells; a span of 0 marks a removed title.
func (p *Planner) titleFits(t view.Title) bool {
	return t.HomeCell >= 0 && t.HomeCell < p.Site.Cells && t.CellSpan >= 0 && t.CellSpan <= p.Site.Cells
}

// loadOverrides restores the overrides that an earlier process stored. All of them are kept, also those that do not
// apply at the moment: the box of a drain may come from a source that is not read yet, and a title that does not fit the
// site's cells fits again once the site file is corrected.
func (p *Planner) loadOverrides() {
	var saved overrides
	if !p.loadState(overridesFile, &saved) {
		return
	}
	p.overrides = saved.clone()
	for _, id := range saved.Drains {
		if !p.monitor.SetDrain(id, true) {
			p.Log.Info("a stored drain applies once its box is known", "server", id)
		}
	}
	for name, title := range saved.Titles {
		if title.Name != name || !p.titleFits(title) {
			p.Log.Warn("a stored title does not apply: it does not fit the site's cells", "title", name)
			continue
		}
		p.catalogue.SetOverride(title)
	}
}
