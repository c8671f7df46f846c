package planner

import (
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/titles"
	"rainpulley/internal/view"
)

func (p *Planner) siteBox(b config.Box) view.Box {
	return view.Box{ID: b.Addr, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, Rack: b.Cell % p.Site.Racks, Weight: b.Weight}
}

// siteTitles returns the titles of a site file.
func siteTitles(site *config.Site) (list titles.List) {
	for _, t := range site.Titles {
		list.Titles = append(list.Titles, view.Title{Name: t.Name, HomeCell: t.Home, CellSpan: t.Span,
			LengthMs: t.Length.Std().Milliseconds()})
	}
	return list
}

// fleetBoxes returns the boxes of a site file that are part of the fleet: none where sources describe the fleet. A site
// file lists them there for the programs that read no source, and such a box may have left the catalogue long ago.
func (p *Planner) fleetBoxes(site *config.Site) []config.Box {
	if p.sourceState.reconciler != nil {
		return nil
	}
	return site.Boxes
}

// Reload applies the boxes and titles of a changed site file; where sources describe the fleet, its boxes do not count.
// Overrides that operators set through the API take precedence over the file. All other settings are fixed when the planner starts; changes of them are logged as
// needing a restart.
func (p *Planner) Reload(site *config.Site) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healthChecks == nil || p.healthChecks.ctx.Err() != nil {
		return
	}
	old := map[string]config.Box{}
	for _, b := range p.fleetBoxes(p.currentSite) {
		old[b.Addr] = b
	}
	for i, b := range p.fleetBoxes(site) {
		previous, known := old[b.Addr]
		delete(old, b.Addr)
		if known && previous == b {
			continue
		}
		p.monitor.Update(p.siteBox(b))
		if !known {
			p.startHealthChecks(b.Addr, i)
		}
	}
	for addr := range old {
		p.stopHealthChecks(addr)
		p.monitor.Remove(addr)
	}
	p.updateTitleList(siteSource, siteTitles(site), time.Now().UnixMilli())
	needsRestart := config.ChangedFields(p.Site, site, "boxes", "titles", "playback")
	p.currentSite = site
	p.publishView()
	p.Log.Info("site reloaded", "boxes", len(site.Boxes), "titles", len(site.Titles), "needs_restart", needsRestart)
}
