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
	titleListInterval     = 5 * time.Second // longest time between reads of a box's titles: session counts change
	driftInterval         = 10 * time.Second
	driftHalfLife         = 2 * time.Minute
	driftHorizon          = 10 * time.Minute // the gain of a drift copy is estimated over this time
	copyCommandTimeout    = 2 * time.Second
	maxConcurrentCommands = 64
	copyTimeMargin        = 0.8 // share of the available time that copies are planned to take
)

// copyState is the planner's state of title copies; guarded by Planner.mu. manager is nil where the site does not
// have copies managed.
type copyState struct {
	manager        *copies.Manager
	decisions      *mapping.Decisions
	drift          *mapping.DriftTracker
	titleSizes     map[string]float64 // kB, as boxes report them
	layout         uint64             // Monitor.layout for which the manager knows the permanent boxes of all titles
	lastChoice     mapping.Choice
	lastDriftAt    int64
	driftCopies    []mapping.Copy // wanted because of drifting popularity, without an announced peak
	commandsSent   int
	commandsFailed int
}

func (p *Planner) newCopyState() copyState {
	settings := p.Site.Copies
	state := copyState{decisions: mapping.NewDecisions(), drift: mapping.NewDriftTracker(driftHalfLife),
		titleSizes: map[string]float64{}}
	if settings.Managed {
		state.manager = copies.New(copies.Config{MinCopies: settings.Least, MaxConcurrent: settings.AtOnce,
			LinkShare: settings.Share, DropGrace: settings.Grace.Std(), RemovalGrace: settings.RemovalGrace.Std(),
			ProgressTimeout: settings.Patience.Std(),
			Backoff:         settings.Backoff.Std()})
	}
	return state
}

// titleList is the body of a box's answer to GET /titles. Sizes are in kB.
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

// refreshTitles reads a box's list of titles if it may have changed. A box without such a list (404) is assumed to
// have the titles of its cell. A box that returns no valid list when the planner starts counts as having no titles;
// otherwise it would prevent the titles of all other boxes from being published.
func (p *Planner) refreshTitles(ctx context.Context, addr string, check HealthCheck,
	knownVersion *uint64, lastRead *time.Time, misses *int) {
	if p.copyState.manager == nil || !check.Answered ||
		*knownVersion == check.TitlesVersion+1 && time.Since(*lastRead) < titleListInterval {
		return
	}
	requestCtx, cancel := context.WithTimeout(ctx, p.Site.Planner.CheckFor.Std())
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
		p.Log.Warn("reading the titles of a box failed; treating it as having none", "server", addr, "error", err)
	}
	*knownVersion, *lastRead, *misses = list.Version+1, time.Now(), 0
	p.mu.Lock()
	defer p.mu.Unlock()
	inventory := copies.Inventory{BootID: list.Boot, FreeDisk: list.Free, Copies: map[string]copies.Copy{}}
	for _, t := range list.Titles {
		inventory.Copies[t.Name] = copies.Copy{Complete: t.Whole, InProgress: t.Copying, Copied: t.Done, Size: t.Size,
			Sessions: t.Playing, Error: t.Error}
		if t.Size > 0 && p.copyState.titleSizes[t.Name] != t.Size {
			p.copyState.titleSizes[t.Name] = t.Size
			p.updateManagerTitle(t.Name)
		}
	}
	p.updateManagerBoxes()
	p.copyState.manager.HandleInventory(addr, inventory, time.Now().UnixMilli())
	p.updateHolders()
}

// titlesFromCells returns the titles whose cells include the box's cell.
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

// baseBoxes returns the boxes in a title's cells, which have it permanently. p.mu is held.
func (p *Planner) baseBoxes(t view.Title) (ids []string) {
	for id, state := range p.monitor.boxes {
		if n := p.Site.Cells; t.CellSpan > 0 && ((state.box.Cell-t.HomeCell)%n+n)%n < t.CellSpan {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// updateManagerTitle passes a title's size and permanent boxes to the copy manager. p.mu is held.
func (p *Planner) updateManagerTitle(name string) {
	manager := p.copyState.manager
	if manager == nil {
		return
	}
	t, ok := p.monitor.titles[name]
	if !ok {
		manager.RemoveTitle(name, time.Now().UnixMilli())
		return
	}
	manager.SetTitle(copies.Title{Name: name, Size: p.copyState.titleSizes[name], PermanentBoxes: p.baseBoxes(t)})
}

// updateManagerBoxes passes the monitored boxes to the copy manager, and the permanent boxes of all titles if boxes came,
// left or moved. p.mu is held.
func (p *Planner) updateManagerBoxes() {
	if p.copyState.manager == nil {
		return
	}
	if p.copyState.layout != p.monitor.layout {
		p.copyState.layout = p.monitor.layout
		for name := range p.monitor.titles {
			p.updateManagerTitle(name)
		}
	}
	var boxes []copies.Box
	for id, b := range p.monitor.boxes {
		if b.effectiveState() != view.StateGone {
			link := b.box.Weight * float64(p.Site.Links.PerWeight)
			boxes = append(boxes, copies.Box{ID: id, Ready: b.effectiveState() == view.StateReady, LinkCapacity: link,
				LinkLoad: b.linkUtilization * link})
		}
	}
	p.copyState.manager.SetBoxes(boxes)
}

// updateHolders sets the holders of each title in the view from the copy manager. p.mu is held.
func (p *Planner) updateHolders() {
	manager := p.copyState.manager
	if manager == nil || !manager.AllReported() {
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

// runCopies decides about copies and sends the commands for them to boxes until ctx ends.
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
		// A restarted planner that does not know all boxes yet would drop the copies that the previous process had
		// made for peaks.
		if !viewPublished {
			continue
		}
		p.chooseCopies()
		p.mu.Lock()
		now := time.Now().UnixMilli()
		p.updateManagerBoxes()
		p.updateWantedCopies(now)
		commands := p.copyState.manager.NextCommands(now)
		p.copyState.commandsSent += len(commands)
		p.updateHolders() // publishes the removal of a holder before its copy is dropped
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

// sendCopyCommand sends a fetch or drop command to a box and records its answer.
func (p *Planner) sendCopyCommand(ctx context.Context, c copies.Command) {
	requestCtx, cancel := context.WithTimeout(ctx, copyCommandTimeout)
	defer cancel()
	query, method := url.Values{"epoch": {strconv.FormatUint(p.epoch, 10)}}, "DELETE"
	if c.Kind == copies.Fetch {
		method = "PUT"
		query.Set("from", c.Source)
		query.Set("rate", strconv.FormatFloat(c.Rate, 'f', 3, 64))
		query.Set("size", strconv.FormatFloat(c.Size, 'f', 0, 64))
	}
	r, err := p.client.Do(requestCtx, c.Box, method, "/titles/"+c.Title+"?"+query.Encode(), nil, nil)
	answer := copies.Failed
	switch {
	case err != nil:
	case r.Status/100 == 2:
		answer = copies.Accepted
	case r.Status == 507:
		answer = copies.NoSpace
	case r.Status == 409 && string(r.Get("rainpulley-reason")) == "epoch":
		answer = copies.Superseded
	case r.Status == 409:
		answer = copies.InUse
	}
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	p.copyState.manager.HandleAnswer(c, answer, time.Now().UnixMilli())
	if answer != copies.Accepted {
		p.copyState.commandsFailed++
	}
	p.mu.Unlock()
	p.Log.Info("copy command sent", "title", c.Title, "server", c.Box, "do", method, "from", c.Source, "rate", c.Rate,
		"taken", answer == copies.Accepted, "error", err)
}

// updateWantedCopies passes to the copy manager which copies are wanted beyond the permanent ones. p.mu is held.
func (p *Planner) updateWantedCopies(now int64) {
	state := &p.copyState
	state.decisions.Retain(func(id string) bool {
		a, ok := p.peakState.announcements.Get(id)
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
	state.manager.SetExtraCopies(keys)
}

// needsCopies reports whether the copies for a peak should exist now: from the site's lead time before its earliest
// start until its last sessions end, unless it is cancelled or no longer expected. p.mu is held.
func (p *Planner) needsCopies(a *peaks.Announcement, now int64) bool {
	if a.Cancelled || now < a.Start-a.Uncertainty-p.Site.Copies.Ahead.Std().Milliseconds() ||
		now > a.Start+a.Uncertainty+a.Duration+p.sessionLength(a).Milliseconds() {
		return false
	}
	follower := p.peakState.followers[a.ID]
	return now < a.Start || follower == nil || follower.Started() || follower.Forecast(now, a, p.sessionLength(a)).Rate > 0
}

// planDriftCopies chooses copies by the popularity of titles, as the session counts of boxes show it. p.mu is held.
func (p *Planner) planDriftCopies(now int64) []mapping.Copy {
	playing := p.copyState.manager.SessionsByTitle()
	p.copyState.drift.Update(now, playing)
	fleet := p.planFleet()
	boxes, disk := p.mappingBoxes(fleet)
	topRate, meanWorth := fleet.Ladder[len(fleet.Ladder)-1], 0.0
	for _, c := range fleet.Classes {
		meanWorth += c.Worth / float64(len(fleet.Classes))
	}
	var titles []mapping.TitleDemand
	for name := range p.monitor.titles {
		titles = append(titles, mapping.TitleDemand{Title: name, Size: p.copyState.titleSizes[name], Rate: topRate,
			Worth: meanWorth, DurationSeconds: driftHorizon.Seconds(), Zone: -1, Holders: p.baseBoxes(p.monitor.titles[name])})
	}
	slices.SortFunc(titles, func(a, b mapping.TitleDemand) int { return strings.Compare(a.Title, b.Title) })
	return p.copyState.drift.PlanCopies(boxes, disk, titles, p.copyBounds(fleet, driftHorizon.Seconds()))
}

// mappingBoxes returns the boxes of the fleet for the choice of copies, with their free disk in kB. p.mu is held.
func (p *Planner) mappingBoxes(fleet *peaks.Fleet) (boxes []mapping.Box, disk map[string]float64) {
	disk = map[string]float64{}
	for _, b := range fleet.Boxes {
		state := p.monitor.boxes[b.ID]
		boxes = append(boxes, mapping.Box{ID: b.ID, Zone: p.Site.ZoneIndex(state.box.Zone), Rack: b.Rack, Cell: b.Cell,
			LinkCapacity: b.LinkCapacity, LinkLoad: b.LinkLoad, FreeStreams: max(b.MaxStreams-b.ActiveSessions, 0)})
		disk[b.ID] = p.copyState.manager.FreeDisk(b.ID)
	}
	return boxes, disk
}

// copyBounds returns the limits for the choice of copies. Copies have lower priority than viewers: each is made at
// the rate that its share of the links and the capacity left by viewers allow, and costs viewers only CopyPrice.
func (p *Planner) copyBounds(fleet *peaks.Fleet, within float64) mapping.Bounds {
	settings := p.Site.Copies
	ratePerCopy := 0.0
	for _, b := range fleet.Boxes {
		ratePerCopy += max(min(settings.Share*b.LinkCapacity, b.LinkCapacity-b.LinkLoad), 0) /
			float64(len(fleet.Boxes)*max(settings.AtOnce, 1))
	}
	return mapping.Bounds{MaxUtilization: peaks.MaxUtilization, PricePerKB: fleet.CopyPricePerKB(),
		MaxCopiesPerTitle: settings.Most, CopyRate: ratePerCopy, SecondsUntilPeak: copyTimeMargin * within}
}

// chooseCopies chooses copies for the peaks without a valid decision. It solves the linear program without holding
// p.mu.
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
	var undecided []peaks.Announcement
	conditions := map[string]mapping.Conditions{}
	for _, a := range p.peakState.announcements.List() {
		at := mapping.Conditions{Version: a.Version, ReadyBoxes: readyCount, KnownTitles: p.countKnownTitles(&a)}
		if p.needsCopies(&a, now) && p.copyState.decisions.NeedsDecision(a.ID, at, ready) && p.copyState.manager.AllReported() {
			undecided = append(undecided, a)
			conditions[a.ID] = at
		}
	}
	if len(undecided) == 0 {
		p.mu.Unlock()
		return
	}
	fleet := p.planFleet()
	boxes, disk := p.mappingBoxes(fleet)
	var demands []peaks.Demand
	var titleDemands []mapping.TitleDemand
	earliestStart := undecided[0].Start
	for _, a := range undecided {
		earliestStart = min(earliestStart, a.Start)
		for _, name := range a.Titles {
			if d, titleDemand, ok := p.copyDemand(&a, name, fleet, ready); ok {
				demands, titleDemands = append(demands, d), append(titleDemands, titleDemand)
			}
		}
	}
	bounds := p.copyBounds(fleet, float64(max(earliestStart-now, 0))/1000)
	p.mu.Unlock()
	choice := mapping.ChooseCopies(fleet, demands, titleDemands, boxes, disk, bounds, p.Copies, time.Now, solveBudget)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range undecided {
		p.copyState.decisions.Record(a.ID, conditions[a.ID], ready, choice.Copies)
	}
	p.copyState.lastChoice = choice
	p.Log.Info("copies chosen", "hours", len(undecided), "copies", len(choice.Copies), "by", choice.Method,
		"worth_without", choice.NoCopiesValue, "worth_greedy", choice.GreedyValue, "worth", choice.BestValue,
		"took", choice.Elapsed, "within_s", bounds.SecondsUntilPeak, "each_kb_s", bounds.CopyRate)
}

// countKnownTitles returns how many titles of a peak are known. p.mu is held.
func (p *Planner) countKnownTitles(a *peaks.Announcement) (n int) {
	for _, name := range a.Titles {
		if _, known := p.monitor.titles[name]; known {
			n++
		}
	}
	return n
}

// copyDemand returns the expected demand for one title of a peak. The boxes of copies that are already decided count
// as holders. The result is false where no demand is expected. p.mu is held.
func (p *Planner) copyDemand(a *peaks.Announcement, name string, fleet *peaks.Fleet,
	ready func(string) bool) (peaks.Demand, mapping.TitleDemand, bool) {
	d, _ := p.peakDemand(a, name, a.Rate/float64(len(a.Titles)), time.Duration(a.Duration)*time.Millisecond)
	if d.Sessions <= 0 {
		return d, mapping.TitleDemand{}, false
	}
	for _, c := range p.copyState.decisions.Copies() {
		if c.Title == name && ready(c.Box) {
			d.Holders = append(d.Holders, c.Box)
		}
	}
	slices.Sort(d.Holders)
	d.Holders = slices.Compact(d.Holders)
	d.Sessions = fleet.SessionsWithinSeats(&d)
	rung := fleet.EvenShareRung(&d)
	class := fleet.Classes[d.Class]
	return d, mapping.TitleDemand{Peak: a.ID, Title: name, Size: p.copyState.titleSizes[name],
		Rate: d.Sessions * fleet.Ladder[rung] * class.RateFactor, Sessions: d.Sessions,
		Worth:           d.Sessions * d.Worth * fleet.RungWorths[rung],
		DurationSeconds: float64(a.Duration)/1000 + p.sessionLength(a).Seconds(),
		Zone:            p.Site.ZoneIndex(a.Zone), Holders: d.Holders}, true
}
