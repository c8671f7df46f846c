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
	copyInterval          = 250 * time.Millisecond
	titleListInterval     = 5 * time.Second // a box's titles are read so often at the least: who plays what shifts
	driftInterval         = 10 * time.Second
	driftHalfLife         = 2 * time.Minute
	driftHorizon          = 10 * time.Minute // what a copy gains by drift is reckoned over this
	copyCommandTimeout    = 2 * time.Second
	maxConcurrentCommands = 64 // under way at once
	copyTimeMargin        = 0.8
)

// copyBoard is the planner's side of copies; guarded by Planner.mu. manager is nil where nobody manages.
type copyState struct {
	manager        *copies.Manager
	decisions      *mapping.Board
	drift          *mapping.Drift
	titleSizes     map[string]float64 // of titles, as boxes tell
	lastChoice     mapping.Choice     // the last
	lastDriftAt    int64
	driftCopies    []mapping.Copy // by drift
	commandsSent   int
	commandsFailed int
}

func (p *Planner) newCopyState() copyState {
	settings := p.Site.Copies
	state := copyState{decisions: mapping.NewBoard(), drift: mapping.NewDrift(driftHalfLife), titleSizes: map[string]float64{}}
	if settings.Managed {
		state.manager = copies.New(copies.Rules{Least: settings.Least, AtOnce: settings.AtOnce, Share: settings.Share,
			Grace: settings.Grace.D(), Patience: settings.Patience.D(), Backoff: settings.Backoff.D()})
	}
	return state
}

// titleList is a box's answer to GET /titles. Sizes in kB.
type titleList struct {
	Boot    string       `json:"boot"`
	Version uint64       `json:"titles_version"`
	Free    float64      `json:"free_kb"`
	Titles  []titleEntry `json:"titles"`
}

type titleEntry struct {
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
func (p *Planner) refreshTitles(ctx context.Context, addr string, check HealthCheck, knownVersion *uint64, lastRead *time.Time, misses *int) {
	if p.copyState.manager == nil || !check.Answered || *knownVersion == check.TitlesVersion+1 && time.Since(*lastRead) < titleListInterval {
		return
	}
	requestCtx, cancel := context.WithTimeout(ctx, p.Site.Planner.CheckFor.D())
	defer cancel()
	r, err := p.client.Do(requestCtx, addr, "GET", "/titles", nil, nil)
	var list titleList
	switch {
	case err == nil && r.Status == 404:
		list = p.titlesFromCells(addr)
	case err != nil || r.Status != 200 || json.Unmarshal(r.Body, &list) != nil:
		if *misses++; *misses < p.Site.Planner.GoneAfter || *knownVersion > 0 {
			return
		}
		p.Log.Warn("box does not tell its titles: it counts as having none", "server", addr, "error", err)
	}
	*knownVersion, *lastRead, *misses = list.Version+1, time.Now(), 0
	p.mu.Lock()
	defer p.mu.Unlock()
	inventory := copies.Inventory{Boot: list.Boot, Free: list.Free, Copies: map[string]copies.Copy{}}
	for _, t := range list.Titles {
		inventory.Copies[t.Name] = copies.Copy{Whole: t.Whole, Copying: t.Copying, Done: t.Done, Size: t.Size, Playing: t.Playing, Error: t.Error}
		if t.Size > 0 && p.copyState.titleSizes[t.Name] != t.Size {
			p.copyState.titleSizes[t.Name] = t.Size
			p.updateManagerTitle(t.Name)
		}
	}
	p.updateManagerBoxes()
	p.copyState.manager.Saw(addr, inventory, time.Now().UnixMilli())
	p.updateHolders()
}

func (p *Planner) titlesFromCells(addr string) (list titleList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.monitor.titles {
		if slices.Contains(p.baseBoxes(t), addr) {
			list.Titles = append(list.Titles, titleEntry{Name: t.Name, Whole: true})
		}
	}
	return list
}

// base are the boxes where a title lies at rest. p.mu is held.
func (p *Planner) baseBoxes(t view.Title) (ids []string) {
	for id, state := range p.monitor.boxes {
		if n := p.Site.Cells; t.CellSpan > 0 && ((state.box.Cell-t.HomeCell)%n+n)%n < t.CellSpan {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// tellTitle brings a title's size and place at rest to the manager. p.mu is held.
func (p *Planner) updateManagerTitle(name string) {
	manager := p.copyState.manager
	if manager == nil {
		return
	}
	t, ok := p.monitor.titles[name]
	if !ok {
		manager.RemoveTitle(name)
		return
	}
	manager.SetTitle(copies.Title{Name: name, Size: p.copyState.titleSizes[name], Base: p.baseBoxes(t)})
}

// tellBoxes brings the watch's boxes to the manager. p.mu is held.
func (p *Planner) updateManagerBoxes() {
	if p.copyState.manager == nil {
		return
	}
	var boxes []copies.Box
	for id, b := range p.monitor.boxes {
		if b.effectiveState() != view.StateGone {
			link := b.box.Weight * float64(p.Site.Links.PerWeight)
			boxes = append(boxes, copies.Box{ID: id, Ready: b.effectiveState() == view.StateReady, Link: link, Busy: b.linkUtilization * link})
		}
	}
	p.copyState.manager.SetBoxes(boxes)
}

// holders brings who holds what into the view. p.mu is held.
func (p *Planner) updateHolders() {
	manager := p.copyState.manager
	if manager == nil || !manager.Known() {
		return
	}
	for name, t := range p.monitor.titles {
		if holders := manager.Holders(name); !t.Listed || !slices.Equal(t.Holders, holders) {
			t.Listed, t.Holders = true, holders
			p.monitor.titles[name] = t
		}
	}
	p.publishView()
}

// copying has copies made and dropped until ctx ends.
func (p *Planner) runCopies(ctx context.Context) {
	if p.copyState.manager == nil {
		return
	}
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentCommands)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		viewPublished := p.published.Version > 0
		p.mu.Unlock()
		if !viewPublished { // before all boxes are known, and hours decided, a planner that restarts would give back what
			continue // its forerunner had made for them
		}
		p.chooseCopies()
		p.mu.Lock()
		now := time.Now().UnixMilli()
		p.updateManagerBoxes()
		p.updateWantedCopies(now)
		commands := p.copyState.manager.Step(now)
		p.copyState.commandsSent += len(commands)
		p.updateHolders() // what is told no more is known before anything is dropped
		p.mu.Unlock()
		for _, c := range commands {
			wg.Add(1)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots; wg.Done() }()
				p.sendCopyCommand(ctx, c)
			}()
		}
	}
}

// command tells a box to fetch or drop, and takes its answer.
func (p *Planner) sendCopyCommand(ctx context.Context, c copies.Command) {
	requestCtx, cancel := context.WithTimeout(ctx, copyCommandTimeout)
	defer cancel()
	query, method := url.Values{"epoch": {strconv.FormatUint(p.epoch, 10)}}, "DELETE"
	if c.Kind == copies.Fetch {
		method = "PUT"
		query.Set("from", c.From)
		query.Set("rate", strconv.FormatFloat(c.Rate, 'f', 3, 64))
		query.Set("size", strconv.FormatFloat(c.Size, 'f', 0, 64))
	}
	r, err := p.client.Do(requestCtx, c.Box, method, "/titles/"+c.Title+"?"+query.Encode(), nil, nil)
	answer := copies.Failed
	switch {
	case err != nil:
	case r.Status/100 == 2:
		answer = copies.Taken
	case r.Status == 507:
		answer = copies.NoSpace
	case r.Status == 409 && string(r.Get("rainpulley-reason")) == "epoch":
		answer = copies.Outdated
	case r.Status == 409:
		answer = copies.InUse
	}
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	p.copyState.manager.Answered(c, answer, time.Now().UnixMilli())
	if answer != copies.Taken {
		p.copyState.commandsFailed++
	}
	p.mu.Unlock()
	p.Log.Info("copy", "title", c.Title, "server", c.Box, "do", method, "from", c.From, "rate", c.Rate, "taken", answer == copies.Taken, "error", err)
}

// tellWants tells the manager which copies are wanted beyond those at rest. p.mu is held.
func (p *Planner) updateWantedCopies(now int64) {
	state := &p.copyState
	state.decisions.Keep(func(id string) bool {
		a, ok := p.peakState.book.Get(id)
		return ok && p.needsCopies(&a, now)
	})
	if now-state.lastDriftAt >= driftInterval.Milliseconds() {
		state.lastDriftAt = now
		if p.Copies != "none" {
			state.driftCopies = p.planDriftCopies(now)
		}
	}
	var keys []copies.Key
	for _, c := range slices.Concat(state.decisions.Copies(), state.driftCopies) {
		keys = append(keys, copies.Key{Title: c.Title, Box: c.Box})
	}
	state.manager.Want(keys)
}

// copiesFor tells that copies for an hour should lie now: from ahead of it until its last viewers are through,
// unless it is cancelled or given up. p.mu is held.
func (p *Planner) needsCopies(a *peaks.Announcement, now int64) bool {
	if a.Cancelled || now < a.Start-a.Uncertain-p.Site.Copies.Ahead.D().Milliseconds() ||
		now > a.Start+a.Uncertain+a.Length+p.sessionLength(a).Milliseconds() {
		return false
	}
	follower := p.peakState.followers[a.ID]
	return now < a.Start || follower == nil || follower.Begun() || follower.Expect(now, a, p.sessionLength(a)).Rate > 0
}

// driftCopies follows popularity by what boxes say plays. p.mu is held.
func (p *Planner) planDriftCopies(now int64) []mapping.Copy {
	playing := p.copyState.manager.Playing()
	p.copyState.drift.Saw(now, playing)
	fleet := p.planFleet()
	boxes, disk := p.mappingBoxes(fleet)
	topRate, meanWorth := fleet.Ladder[len(fleet.Ladder)-1], 0.0
	for _, c := range fleet.Classes {
		meanWorth += c.Worth / float64(len(fleet.Classes))
	}
	var titles []mapping.Hour
	for name := range p.monitor.titles {
		titles = append(titles, mapping.Hour{Title: name, Size: p.copyState.titleSizes[name], Rate: topRate, Worth: meanWorth, Plays: driftHorizon.Seconds(),
			Zone: -1, Holders: p.baseBoxes(p.monitor.titles[name])})
	}
	slices.SortFunc(titles, func(a, b mapping.Hour) int { return strings.Compare(a.Title, b.Title) })
	return p.copyState.drift.Copies(boxes, disk, titles, p.copyBounds(fleet, driftHorizon.Seconds()))
}

func (p *Planner) mappingBoxes(fleet *peaks.Fleet) (boxes []mapping.Box, disk map[string]float64) {
	disk = map[string]float64{}
	for _, b := range fleet.Boxes {
		state := p.monitor.boxes[b.ID]
		boxes = append(boxes, mapping.Box{ID: b.ID, Zone: p.Site.Zone(state.box.Zone), Rack: b.Rack, Cell: b.Cell, Link: b.Link, Busy: b.Busy,
			Streams: max(b.Streams-b.Playing, 0)})
		disk[b.ID] = p.copyState.manager.Free(b.ID)
	}
	return boxes, disk
}

// copyBounds reckons with copies as lower effort: one goes as fast as its share of the links and what viewers
// leave of them allow, and takes nothing from them but what CopyPrice says.
func (p *Planner) copyBounds(fleet *peaks.Fleet, within float64) mapping.Bounds {
	settings := p.Site.Copies
	ratePerCopy := 0.0
	for _, b := range fleet.Boxes {
		ratePerCopy += max(min(settings.Share*b.Link, b.Link-b.Busy), 0) / float64(len(fleet.Boxes)*max(settings.AtOnce, 1))
	}
	return mapping.Bounds{Fill: peaks.Fill, Price: fleet.CopyPrice(), Copies: settings.Most, Each: ratePerCopy, Within: copyTimeMargin * within}
}

// chooseCopies decides for the hours that are open. The program is solved without the lock.
func (p *Planner) chooseCopies() {
	p.mu.Lock()
	now := time.Now().UnixMilli()
	p.updateManagerBoxes()
	readyCount := 0
	for _, b := range p.monitor.boxes {
		if b.effectiveState() == view.StateReady {
			readyCount++
		}
	}
	ready := func(id string) bool {
		return p.monitor.boxes[id] != nil && p.monitor.boxes[id].effectiveState() == view.StateReady
	}
	var open []peaks.Announcement
	for _, a := range p.peakState.book.List() {
		if p.needsCopies(&a, now) && p.copyState.decisions.Open(a.ID, a.Version, readyCount, ready) && p.copyState.manager.Known() {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		p.mu.Unlock()
		return
	}
	fleet := p.planFleet()
	boxes, disk := p.mappingBoxes(fleet)
	var demands []peaks.Demand
	var hours []mapping.Hour
	earliestStart := open[0].Start
	for _, a := range open {
		earliestStart = min(earliestStart, a.Start)
		for _, name := range a.Titles {
			if d, h, ok := p.copyDemand(&a, name, fleet, ready); ok {
				demands, hours = append(demands, d), append(hours, h)
			}
		}
	}
	bounds := p.copyBounds(fleet, float64(max(earliestStart-now, 0))/1000)
	p.mu.Unlock()
	choice := mapping.Choose(fleet, demands, hours, boxes, disk, bounds, p.Copies, time.Now, solveBudget)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range open {
		p.copyState.decisions.Decide(a.ID, a.Version, readyCount, ready, choice.Copies)
	}
	p.copyState.lastChoice = choice
	p.Log.Info("copies chosen", "hours", len(open), "copies", len(choice.Copies), "by", choice.By, "worth_without", choice.None,
		"worth_greedy", choice.Greedy, "worth", choice.Best, "took", choice.Took, "within_s", bounds.Within, "each_kb_s", bounds.Each)
}

// hour is what a title of an hour will ask, with the copies that are decided already as holders. p.mu is held.
func (p *Planner) copyDemand(a *peaks.Announcement, name string, fleet *peaks.Fleet, ready func(string) bool) (peaks.Demand, mapping.Hour, bool) {
	d, _ := p.peakDemand(a, name, a.Rate/float64(len(a.Titles)), time.Duration(a.Length)*time.Millisecond)
	if d.Count <= 0 {
		return d, mapping.Hour{}, false
	}
	for _, c := range p.copyState.decisions.Copies() {
		if c.Title == name && ready(c.Box) {
			d.Holders = append(d.Holders, c.Box)
		}
	}
	slices.Sort(d.Holders)
	d.Holders = slices.Compact(d.Holders)
	d.Count = fleet.Wanted(&d)
	rung := fleet.EvenRung(&d)
	class := fleet.Classes[d.Class]
	return d, mapping.Hour{Peak: a.ID, Title: name, Size: p.copyState.titleSizes[name], Rate: d.Count * fleet.Ladder[rung] * class.Factor, Streams: d.Count,
		Worth: d.Count * d.Worth * fleet.Worths[rung], Plays: float64(a.Length)/1000 + p.sessionLength(a).Seconds(), Zone: p.Site.Zone(a.Zone),
		Holders: d.Holders}, true
}
