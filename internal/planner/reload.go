package planner

import (
	"context"
	"sync"

	"rainpulley/internal/config"
	"rainpulley/internal/view"
)

// checks are the goroutines that ask boxes; guarded by Planner.mu.
type checks struct {
	ctx  context.Context
	work *sync.WaitGroup
	stop map[string]context.CancelFunc // by box
}

func (p *Planner) siteBox(b config.Box) view.Box {
	return view.Box{ID: b.Addr, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, Rack: b.Cell % p.Site.Racks, Weight: b.Weight}
}

func siteTitle(t config.Title) view.Title {
	return view.Title{Name: t.Name, HomeCell: t.Home, CellSpan: t.Span, LengthMs: t.Length.D().Milliseconds()}
}

// checkFrom begins to ask a box. p.mu is held.
func (p *Planner) checkFrom(addr string, number int) {
	ctx, stop := context.WithCancel(p.checks.ctx)
	p.checks.stop[addr] = stop
	p.checks.work.Add(1)
	go func() { defer p.checks.work.Done(); p.check(ctx, addr, number) }()
}

// Reload takes a site's boxes and titles as they are now. What operators told through the API stays over
// the file; all else of the site is settled when the planner starts, and a change of it is named.
func (p *Planner) Reload(s *config.Site) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checks == nil || p.checks.ctx.Err() != nil {
		return
	}
	old := map[string]config.Box{}
	for _, b := range p.site.Boxes {
		old[b.Addr] = b
	}
	for i, b := range s.Boxes {
		was, known := old[b.Addr]
		delete(old, b.Addr)
		if known && was == b {
			continue
		}
		p.watch.Update(p.siteBox(b))
		if !known {
			p.checkFrom(b.Addr, i)
		}
	}
	for addr := range old {
		p.checks.stop[addr]()
		delete(p.checks.stop, addr)
		p.watch.Remove(addr)
	}
	p.reloadTitles(s.Titles)
	fixed := config.Changed(p.Site, s, "boxes", "titles", "playback")
	p.site = s
	p.publish()
	p.Log.Info("site reloaded", "boxes", len(s.Boxes), "titles", len(s.Titles), "needs_restart", fixed)
}

// reloadTitles changes those that the file changed, not those that operators told otherwise.
func (p *Planner) reloadTitles(titles []config.Title) {
	old := map[string]config.Title{}
	for _, t := range p.site.Titles {
		old[t.Name] = t
	}
	set := func(t view.Title) {
		if _, told := p.told.Titles[t.Name]; !told {
			p.watch.SetTitle(t)
			p.tellTitle(t.Name)
		}
	}
	for _, t := range titles {
		if was, known := old[t.Name]; !known || was != t {
			set(siteTitle(t))
		}
		delete(old, t.Name)
	}
	for name := range old {
		set(view.Title{Name: name})
	}
}
