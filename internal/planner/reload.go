package planner

import (
	"context"
	"sync"

	"rainpulley/internal/config"
	"rainpulley/internal/view"
)

// healthChecks are the goroutines that check boxes; guarded by Planner.mu.
type healthChecks struct {
	ctx         context.Context
	wg          *sync.WaitGroup
	cancelByBox map[string]context.CancelFunc
}

func (p *Planner) siteBox(b config.Box) view.Box {
	return view.Box{ID: b.Addr, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, Rack: b.Cell % p.Site.Racks, Weight: b.Weight}
}

func siteTitle(t config.Title) view.Title {
	return view.Title{Name: t.Name, HomeCell: t.Home, CellSpan: t.Span, LengthMs: t.Length.Std().Milliseconds()}
}

// fleetBoxes returns the boxes of a site file that are part of the fleet: none where sources describe the fleet. A site
// file lists them there for the programs that read no source, and such a box may have left the catalogue long ago.
func (p *Planner) fleetBoxes(site *config.Site) []config.Box {
	if p.sourceState.reconciler != nil {
		return nil
	}
	return site.Boxes
}

// startHealthChecks starts the goroutine that checks a box. p.mu is held.
func (p *Planner) startHealthChecks(addr string, number int) {
	ctx, cancel := context.WithCancel(p.healthChecks.ctx)
	p.healthChecks.cancelByBox[addr] = cancel
	p.healthChecks.wg.Add(1)
	go func() { defer p.healthChecks.wg.Done(); p.runHealthChecks(ctx, addr, number) }()
}

// stopHealthChecks ends the checks of a box, if there are any. p.mu is held.
func (p *Planner) stopHealthChecks(addr string) {
	if p.healthChecks == nil || p.healthChecks.cancelByBox[addr] == nil {
		return
	}
	p.healthChecks.cancelByBox[addr]()
	delete(p.healthChecks.cancelByBox, addr)
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
	p.applySiteTitles(site.Titles)
	needsRestart := config.ChangedFields(p.Site, site, "boxes", "titles", "playback")
	p.currentSite = site
	p.publishView()
	p.Log.Info("site reloaded", "boxes", len(site.Boxes), "titles", len(site.Titles), "needs_restart", needsRestart)
}

// applySiteTitles applies the titles that the site file changed, except those that operators overrode. p.mu is held.
func (p *Planner) applySiteTitles(titles []config.Title) {
	old := map[string]config.Title{}
	for _, t := range p.currentSite.Titles {
		old[t.Name] = t
	}
	set := func(t view.Title) {
		if _, overridden := p.overrides.Titles[t.Name]; !overridden {
			p.monitor.SetTitle(t)
			p.updateManagerTitle(t.Name)
		}
	}
	for _, t := range titles {
		if previous, known := old[t.Name]; !known || previous != t {
			set(siteTitle(t))
		}
		delete(old, t.Name)
	}
	for name := range old {
		set(view.Title{Name: name})
	}
}
