package planner

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rainpulley/internal/copies"
	"rainpulley/internal/mapping"
	"rainpulley/internal/peaks"
	"rainpulley/internal/view"
)

const (
	copyEvery    = 250 * time.Millisecond
	listEvery    = 5 * time.Second // a box's titles are read so often at the least: who plays what shifts
	driftEvery   = 10 * time.Second
	driftHalf    = 2 * time.Minute
	driftOver    = 10 * time.Minute // what a copy gains by drift is reckoned over this
	copyAnswer   = 2 * time.Second
	mostCommands = 64 // under way at once
	copyMargin   = 0.8
)

// copyBoard is the planner's side of copies; guarded by Planner.mu. manager is nil where nobody manages.
type copyBoard struct {
	manager *copies.Manager
	board   *mapping.Board
	drift   *mapping.Drift
	sizes   map[string]float64 // of titles, as boxes tell
	choice  mapping.Choice     // the last
	drifted int64
	extra   []mapping.Copy // by drift
	sent    int
	failed  int
}

func (p *Planner) newCopies() copyBoard {
	c := p.Site.Copies
	b := copyBoard{board: mapping.NewBoard(), drift: mapping.NewDrift(driftHalf), sizes: map[string]float64{}}
	if c.Managed {
		b.manager = copies.New(copies.Rules{Least: c.Least, AtOnce: c.AtOnce, Share: c.Share,
			Grace: c.Grace.D(), Patience: c.Patience.D(), Backoff: c.Backoff.D()})
	}
	return b
}

// titleList is a box's answer to GET /titles. Sizes in kB.
type titleList struct {
	Boot    string      `json:"boot"`
	Version uint64      `json:"titles_version"`
	Free    float64     `json:"free_kb"`
	Titles  []titleLine `json:"titles"`
}

type titleLine struct {
	Name    string  `json:"name"`
	Whole   bool    `json:"whole"`
	Copying bool    `json:"copying"`
	Done    float64 `json:"done_kb"`
	Size    float64 `json:"size_kb"`
	Playing int     `json:"playing"`
	Error   string  `json:"error"`
}

// readTitles asks a box what it holds, where that may have changed. One that has no such list (404) holds
// what its cells say; one that gives none at all when the planner starts counts as holding nothing, or it
// would keep the list of all others from being published.
func (p *Planner) readTitles(ctx context.Context, addr string, c Check, known *uint64, read *time.Time, misses *int) {
	if p.copy.manager == nil || !c.Answered || *known == c.Titles+1 && time.Since(*read) < listEvery {
		return
	}
	limited, cancel := context.WithTimeout(ctx, p.Site.Planner.CheckFor.D())
	defer cancel()
	r, err := p.client.Do(limited, addr, "GET", "/titles", nil, nil)
	var l titleList
	switch {
	case err == nil && r.Status == 404:
		l = p.byCells(addr)
	case err != nil || r.Status != 200 || json.Unmarshal(r.Body, &l) != nil:
		if *misses++; *misses < p.Site.Planner.GoneAfter || *known > 0 {
			return
		}
		p.Log.Warn("box does not tell its titles: it counts as having none", "server", addr, "error", err)
	}
	*known, *read, *misses = l.Version+1, time.Now(), 0
	p.mu.Lock()
	defer p.mu.Unlock()
	inv := copies.Inventory{Boot: l.Boot, Free: l.Free, Copies: map[string]copies.Copy{}}
	for _, t := range l.Titles {
		inv.Copies[t.Name] = copies.Copy{Whole: t.Whole, Copying: t.Copying, Done: t.Done, Size: t.Size, Playing: t.Playing, Error: t.Error}
		if t.Size > 0 && p.copy.sizes[t.Name] != t.Size {
			p.copy.sizes[t.Name] = t.Size
			p.tellTitle(t.Name)
		}
	}
	p.tellBoxes()
	p.copy.manager.Saw(addr, inv, time.Now().UnixMilli())
	p.holders()
}

func (p *Planner) byCells(addr string) (l titleList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.watch.titles {
		if slices.Contains(p.base(t), addr) {
			l.Titles = append(l.Titles, titleLine{Name: t.Name, Whole: true})
		}
	}
	return l
}

// base are the boxes where a title lies at rest. p.mu is held.
func (p *Planner) base(t view.Title) (out []string) {
	for id, b := range p.watch.boxes {
		if n := p.Site.Cells; t.CellSpan > 0 && ((b.box.Cell-t.HomeCell)%n+n)%n < t.CellSpan {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// tellTitle brings a title's size and place at rest to the manager. p.mu is held.
func (p *Planner) tellTitle(name string) {
	m := p.copy.manager
	if m == nil {
		return
	}
	t, ok := p.watch.titles[name]
	if !ok {
		m.RemoveTitle(name)
		return
	}
	m.SetTitle(copies.Title{Name: name, Size: p.copy.sizes[name], Base: p.base(t)})
}

// tellBoxes brings the watch's boxes to the manager. p.mu is held.
func (p *Planner) tellBoxes() {
	if p.copy.manager == nil {
		return
	}
	var list []copies.Box
	for id, b := range p.watch.boxes {
		if b.state() != view.StateGone {
			link := b.box.Weight * float64(p.Site.Links.PerWeight)
			list = append(list, copies.Box{ID: id, Ready: b.state() == view.StateReady, Link: link, Busy: b.link * link})
		}
	}
	p.copy.manager.SetBoxes(list)
}

// holders brings who holds what into the view. p.mu is held.
func (p *Planner) holders() {
	m := p.copy.manager
	if m == nil || !m.Known() {
		return
	}
	for name, t := range p.watch.titles {
		if next := m.Holders(name); !t.Listed || !slices.Equal(t.Holders, next) {
			t.Listed, t.Holders = true, next
			p.watch.titles[name] = t
		}
	}
	p.publish()
}

// copying has copies made and dropped until ctx ends.
func (p *Planner) copying(ctx context.Context) {
	if p.copy.manager == nil {
		return
	}
	t := time.NewTicker(copyEvery)
	defer t.Stop()
	slots := make(chan struct{}, mostCommands)
	var work sync.WaitGroup
	defer work.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		settled := p.now.Version > 0
		p.mu.Unlock()
		if !settled { // before all boxes are known, and hours decided, a planner that restarts would give back what
			continue // its forerunner had made for them
		}
		p.chooseCopies()
		p.mu.Lock()
		now := time.Now().UnixMilli()
		p.tellBoxes()
		p.tellWants(now)
		list := p.copy.manager.Step(now)
		p.copy.sent += len(list)
		p.holders() // what is told no more is known before anything is dropped
		p.mu.Unlock()
		for _, c := range list {
			work.Add(1)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots; work.Done() }()
				p.command(ctx, c)
			}()
		}
	}
}

// command tells a box to fetch or drop, and takes its answer.
func (p *Planner) command(ctx context.Context, c copies.Command) {
	limited, cancel := context.WithTimeout(ctx, copyAnswer)
	defer cancel()
	q, method := url.Values{"epoch": {strconv.FormatUint(p.epoch, 10)}}, "DELETE"
	if c.Kind == copies.Fetch {
		method = "PUT"
		q.Set("from", c.From)
		q.Set("rate", strconv.FormatFloat(c.Rate, 'f', 3, 64))
		q.Set("size", strconv.FormatFloat(c.Size, 'f', 0, 64))
	}
	r, err := p.client.Do(limited, c.Box, method, "/titles/"+c.Title+"?"+q.Encode(), nil, nil)
	a := copies.Failed
	switch {
	case err != nil:
	case r.Status/100 == 2:
		a = copies.Taken
	case r.Status == 507:
		a = copies.NoSpace
	case r.Status == 409 && string(r.Get("rainpulley-reason")) == "epoch":
		a = copies.Outdated
	case r.Status == 409:
		a = copies.InUse
	}
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	p.copy.manager.Answered(c, a, time.Now().UnixMilli())
	if a != copies.Taken {
		p.copy.failed++
	}
	p.mu.Unlock()
	p.Log.Info("copy", "title", c.Title, "server", c.Box, "do", method, "from", c.From, "rate", c.Rate, "taken", a == copies.Taken, "error", err)
}

// tellWants tells the manager which copies are wanted beyond those at rest. p.mu is held.
func (p *Planner) tellWants(now int64) {
	b := &p.copy
	b.board.Keep(func(id string) bool {
		a, ok := p.board.book.Get(id)
		return ok && p.copiesFor(&a, now)
	})
	if now-b.drifted >= driftEvery.Milliseconds() {
		b.drifted = now
		if p.Copies != "none" {
			b.extra = p.driftCopies(now)
		}
	}
	var keys []copies.Key
	for _, c := range slices.Concat(b.board.Copies(), b.extra) {
		keys = append(keys, copies.Key{Title: c.Title, Box: c.Box})
	}
	b.manager.Want(keys)
}

// copiesFor tells that copies for an hour should lie now: from ahead of it until its last viewers are through,
// unless it is cancelled or given up. p.mu is held.
func (p *Planner) copiesFor(a *peaks.Announcement, now int64) bool {
	if a.Cancelled || now < a.Start-a.Uncertain-p.Site.Copies.Ahead.D().Milliseconds() ||
		now > a.Start+a.Uncertain+a.Length+p.plays(a).Milliseconds() {
		return false
	}
	f := p.board.followers[a.ID]
	return now < a.Start || f == nil || f.Begun() || f.Expect(now, a, p.plays(a)).Rate > 0
}

// driftCopies follows popularity by what boxes say plays. p.mu is held.
func (p *Planner) driftCopies(now int64) []mapping.Copy {
	playing := p.copy.manager.Playing()
	p.copy.drift.Saw(now, playing)
	f := p.planFleet()
	boxes, disk := p.mapBoxes(f)
	top, worth := f.Ladder[len(f.Ladder)-1], 0.0
	for _, c := range f.Classes {
		worth += c.Worth / float64(len(f.Classes))
	}
	var titles []mapping.Hour
	for name := range p.watch.titles {
		titles = append(titles, mapping.Hour{Title: name, Size: p.copy.sizes[name], Rate: top, Worth: worth, Plays: driftOver.Seconds(),
			Zone: -1, Holders: p.base(p.watch.titles[name])})
	}
	slices.SortFunc(titles, func(a, b mapping.Hour) int { return strings.Compare(a.Title, b.Title) })
	return p.copy.drift.Copies(boxes, disk, titles, p.copyBounds(f, driftOver.Seconds()))
}

func (p *Planner) mapBoxes(f *peaks.Fleet) (boxes []mapping.Box, disk map[string]float64) {
	disk = map[string]float64{}
	for _, b := range f.Boxes {
		w := p.watch.boxes[b.ID]
		boxes = append(boxes, mapping.Box{ID: b.ID, Zone: p.Site.Zone(w.box.Zone), Rack: b.Rack, Cell: b.Cell, Link: b.Link, Busy: b.Busy,
			Streams: max(b.Streams-b.Playing, 0)})
		disk[b.ID] = p.copy.manager.Free(b.ID)
	}
	return boxes, disk
}

// copyBounds reckons with copies as lower effort: one goes as fast as its share of the links and what viewers
// leave of them allow, and takes nothing from them but what CopyPrice says.
func (p *Planner) copyBounds(f *peaks.Fleet, within float64) mapping.Bounds {
	c := p.Site.Copies
	each := 0.0
	for _, b := range f.Boxes {
		each += max(min(c.Share*b.Link, b.Link-b.Busy), 0) / float64(len(f.Boxes)*max(c.AtOnce, 1))
	}
	return mapping.Bounds{Fill: peaks.Fill, Price: f.CopyPrice(), Copies: c.Most, Each: each, Within: copyMargin * within}
}

// chooseCopies decides for the hours that are open. The program is solved without the lock.
func (p *Planner) chooseCopies() {
	p.mu.Lock()
	now := time.Now().UnixMilli()
	p.tellBoxes()
	count := 0
	for _, b := range p.watch.boxes {
		if b.state() == view.StateReady {
			count++
		}
	}
	ready := func(id string) bool { return p.watch.boxes[id] != nil && p.watch.boxes[id].state() == view.StateReady }
	var open []peaks.Announcement
	for _, a := range p.board.book.List() {
		if p.copiesFor(&a, now) && p.copy.board.Open(a.ID, a.Version, count, ready) && p.copy.manager.Known() {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		p.mu.Unlock()
		return
	}
	f := p.planFleet()
	boxes, disk := p.mapBoxes(f)
	var demands []peaks.Demand
	var hours []mapping.Hour
	soonest := open[0].Start
	for _, a := range open {
		soonest = min(soonest, a.Start)
		for _, name := range a.Titles {
			if d, h, ok := p.hour(&a, name, f, ready); ok {
				demands, hours = append(demands, d), append(hours, h)
			}
		}
	}
	bounds := p.copyBounds(f, float64(max(soonest-now, 0))/1000)
	p.mu.Unlock()
	choice := mapping.Choose(f, demands, hours, boxes, disk, bounds, p.Copies, time.Now, solveBudget)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range open {
		p.copy.board.Decide(a.ID, a.Version, count, ready, choice.Copies)
	}
	p.copy.choice = choice
	p.Log.Info("copies chosen", "hours", len(open), "copies", len(choice.Copies), "by", choice.By, "worth_without", choice.None,
		"worth_greedy", choice.Greedy, "worth", choice.Best, "took", choice.Took, "within_s", bounds.Within, "each_kb_s", bounds.Each)
}

// hour is what a title of an hour will ask, with the copies that are decided already as holders. p.mu is held.
func (p *Planner) hour(a *peaks.Announcement, name string, f *peaks.Fleet, ready func(string) bool) (peaks.Demand, mapping.Hour, bool) {
	d, _ := p.demand(a, name, a.Rate/float64(len(a.Titles)), time.Duration(a.Length)*time.Millisecond)
	if d.Count <= 0 {
		return d, mapping.Hour{}, false
	}
	for _, c := range p.copy.board.Copies() {
		if c.Title == name && ready(c.Box) {
			d.Holders = append(d.Holders, c.Box)
		}
	}
	slices.Sort(d.Holders)
	d.Holders = slices.Compact(d.Holders)
	d.Count = f.Wanted(&d)
	rung := f.EvenRung(&d)
	k := f.Classes[d.Class]
	return d, mapping.Hour{Peak: a.ID, Title: name, Size: p.copy.sizes[name], Rate: d.Count * f.Ladder[rung] * k.Factor, Streams: d.Count,
		Worth: d.Count * d.Worth * f.Worths[rung], Plays: float64(a.Length)/1000 + p.plays(a).Seconds(), Zone: p.Site.Zone(a.Zone),
		Holders: d.Holders}, true
}
