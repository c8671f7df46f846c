package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/peaks"
	"rainpulley/internal/timeconv"
	"rainpulley/internal/view"
)

const (
	planInterval     = time.Second
	holdLease        = 3 * time.Second
	usageReportTTL   = 5 * time.Second // how long an edge's report stays valid
	solveBudget      = 500 * time.Millisecond
	maxBodyBytes     = 1 << 20
	arrivalCountLead = 2 * time.Minute // how long before the earliest start edges begin to count arrivals
)

// peakState is the planner's state of announced peaks; guarded by Planner.mu.
type peakState struct {
	announcements   *peaks.AnnouncementStore
	ledger          *peaks.Ledger
	followers       map[string]*peaks.Follower // by peak
	lastArrivals    map[string]float64         // last reported count, by edge instance, peak and title
	pendingArrivals map[string]float64         // arrivals since the last plan, by peak
	edgeInstances   map[string]string          // instance of the edge at each position, from its last report
	publishedHolds  *view.Holds
	plan            *peaks.Plan
	fileReadTimes   map[string]time.Time // modification time of each announcement file that needs no further reading
	fileErrors      map[string]string    // by file that is read again: why its announcements were not accepted yet
}

func newPeakState() peakState {
	return peakState{announcements: peaks.NewAnnouncementStore(), ledger: peaks.NewLedger(),
		followers:    map[string]*peaks.Follower{},
		lastArrivals: map[string]float64{}, pendingArrivals: map[string]float64{}, edgeInstances: map[string]string{},
		plan: &peaks.Plan{}, fileReadTimes: map[string]time.Time{},
		fileErrors: map[string]string{}}
}

func (p *Planner) registerPeakRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/peaks", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		response := map[string]any{"peaks": p.peakState.announcements.List(), "holds": p.peakState.ledger.RemainingHolds(),
			"accounts": p.peakState.ledger.Accounts(), "pending": p.pendingAnnouncements(p.knownNames()), "plan": map[string]any{"by": p.peakState.plan.By,
				"value": p.peakState.plan.Value, "took_ms": p.peakState.plan.Took.Seconds() * 1000}}
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	})
	mux.HandleFunc("PUT /v1/peaks/{id}", p.handlePutPeak)
	mux.HandleFunc("DELETE /v1/peaks/{id}", p.handleCancelPeak)
	mux.HandleFunc("POST /v1/used", p.handleUsage)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// handleUsage processes an edge's usage report. Arrivals are the difference between the counts of two reports, so
// that a lost or repeated report counts no arrival twice.
func (p *Planner) handleUsage(w http.ResponseWriter, r *http.Request) {
	var report view.UsageReport
	if err := readJSON(w, r, &report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	usage := make([]peaks.Usage, 0, len(report.Usage))
	for _, x := range report.Usage {
		usage = append(usage, peaks.Usage{Key: peaks.Key{Peak: x.Peak, Title: x.Title, Box: x.Box}, Rate: x.Rate,
			Streams: x.Streams})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := &p.peakState
	position, _, _ := strings.Cut(report.Edge, ".")
	if old := state.edgeInstances[position]; old != report.Edge { // restarted: it reports the sessions it took over
		state.ledger.RemoveEdge(old)
		state.edgeInstances[position] = report.Edge
	}
	if state.ledger.RecordReport(report.Edge, report.Seq, time.Now().UnixMilli(), usage) {
		for _, x := range report.Arrivals {
			k := report.Edge + "\x00" + peaks.PeakTitleKey(x.Peak, x.Title)
			if last, seen := state.lastArrivals[k]; seen && x.Count > last {
				state.pendingArrivals[x.Peak] += x.Count - last
			}
			state.lastArrivals[k] = x.Count
		}
	}
	p.recordOutcomes(report.Edge, report.Outcomes, time.Now().UnixMilli())
	w.WriteHeader(http.StatusNoContent)
}

// runPlanning plans the holds for peaks at each planInterval until ctx ends.
func (p *Planner) runPlanning(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	solver := peaks.NewSolver(solveBudget)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.readAnnouncementFiles()
		p.mu.Lock()
		fleet, demands, expectedSessions := p.forecast(time.Now().UnixMilli())
		p.mu.Unlock()
		plan := &peaks.Plan{}
		if len(demands) > 0 {
			plan = p.planHolds(solver, fleet, demands)
		}
		p.mu.Lock()
		p.peakState.plan = plan
		p.peakState.ledger.SetPlan(plan.Holds)
		p.peakState.ledger.SetExpectedSessions(expectedSessions)
		p.publishHolds()
		p.mu.Unlock()
	}
}

// planHolds plans holds in the way that Options.Holds selects.
func (p *Planner) planHolds(solver *peaks.Solver, fleet *peaks.Fleet, demands []peaks.Demand) *peaks.Plan {
	switch p.Holds {
	case "none":
		return &peaks.Plan{}
	case "greedy":
		return peaks.SolveGreedy(fleet, demands)
	}
	plan, err := solver.Plan(fleet, demands)
	if err != nil {
		p.Log.Warn("linear program failed; using the greedy plan", "error", err)
	}
	if p.Holds == "all" {
		return plan
	}
	return peaks.KeepProfitableHolds(fleet, demands, plan)
}

// forecast returns the fleet, the demand expected from each peak, and the sessions still expected by peak and title.
// p.mu is held.
func (p *Planner) forecast(now int64) (*peaks.Fleet, []peaks.Demand, map[string]float64) {
	state := &p.peakState
	for _, a := range state.announcements.RemoveExpired(now) {
		delete(state.followers, a.ID)
		p.Log.Info("announcement forgotten: it has been over for a day", "id", a.ID, "version", a.Version,
			"cancelled", a.Cancelled)
	}
	state.ledger.ExpireReports(now - usageReportTTL.Milliseconds())
	var demands []peaks.Demand
	expectedSessions := map[string]float64{}
	for _, a := range state.announcements.List() {
		follower := state.followers[a.ID]
		if follower == nil {
			follower = &peaks.Follower{}
			state.followers[a.ID] = follower
		}
		follower.RecordArrivals(now, state.pendingArrivals[a.ID], &a)
		expected := follower.Forecast(now, &a, p.sessionLength(&a))
		if expected.Rate <= 0 {
			continue
		}
		rate := expected.Rate / float64(len(a.Titles))
		for _, name := range a.Titles {
			d, arrivalSeconds := p.peakDemand(&a, name, rate, expected.Remaining)
			if d.Sessions > 0 {
				demands = append(demands, d)
				expectedSessions[peaks.PeakTitleKey(a.ID, name)] = rate * arrivalSeconds
			}
		}
	}
	clear(state.pendingArrivals)
	return p.planFleet(), demands, expectedSessions
}

// sessionLength returns how long sessions of a peak play. Without an announced length it is the length of the peak's
// first title, or else one minute. p.mu is held.
func (p *Planner) sessionLength(a *peaks.Announcement) time.Duration {
	lengthMs := a.SessionDuration
	if lengthMs <= 0 && len(a.Titles) > 0 {
		lengthMs = p.monitor.titles[a.Titles[0]].LengthMs
	}
	if lengthMs <= 0 {
		return time.Minute
	}
	return timeconv.Milliseconds(lengthMs)
}

// peakDemand returns the concurrent demand for one title of a peak, at the given rate of new sessions a second, and
// for how many more seconds viewers arrive. p.mu is held.
func (p *Planner) peakDemand(a *peaks.Announcement, name string, rate float64,
	arrivalsFor time.Duration) (peaks.Demand, float64) {
	t, ok := p.monitor.titles[name]
	if !ok {
		return peaks.Demand{}, 0
	}
	class := p.Site.ClassIndex(a.Class)
	if class < 0 { // accepted under another site file
		return peaks.Demand{}, 0
	}
	sessionSeconds := p.sessionLength(a).Seconds()
	worth := a.Worth
	if worth <= 0 {
		worth = p.Site.Classes[class].Worth
	}
	zone := p.Site.ZoneIndex(a.Zone)
	return peaks.Demand{Peak: a.ID, Title: name, Class: class, HomeCell: t.HomeCell, CellSpan: t.CellSpan, Worth: worth,
		Holders: titleHolders(t), HasZone: zone >= 0, Zone: zone,
		Sessions: rate * min(sessionSeconds, float64(a.Duration)/1000)}, arrivalsFor.Seconds()
}

// titleHolders returns a copy of a title's list of holders; nil where its cells define the holders.
func titleHolders(t view.Title) []string {
	if !t.Listed {
		return nil
	}
	return append([]string{}, t.Holders...)
}

// planFleet returns the fleet of ready boxes for planning, with the loads that the monitor last received. The load
// of a box from sessions outside peaks is its reported load minus the load that edges report for peaks. p.mu is held.
func (p *Planner) planFleet() *peaks.Fleet {
	site := p.Site
	fleet := &peaks.Fleet{Uplinks: make([]float64, site.Racks), Cells: site.Cells, Edges: len(site.Edges),
		CrossZoneCost: site.Prices.Zone}
	for i := range fleet.Uplinks {
		fleet.Uplinks[i] = float64(site.Links.Uplink)
	}
	for _, r := range site.Ladder {
		fleet.Ladder, fleet.RungWorths = append(fleet.Ladder, float64(r.Rate)), append(fleet.RungWorths, r.Worth)
	}
	for _, k := range site.Classes {
		c := peaks.Class{RateFactor: k.RateFactor, FloorRung: k.Floor, TopRung: len(site.Ladder) - 1,
			Worth: k.Worth, Seats: k.Seats}
		if c.RateFactor <= 0 {
			c.RateFactor = 1
		}
		if k.Top != nil {
			c.TopRung = *k.Top
		}
		fleet.Classes = append(fleet.Classes, c)
	}
	peakUse := p.peakState.ledger.UsageByBox()
	capacities := map[string]peaks.BoxCapacity{}
	now := time.Now()
	for _, b := range p.published.Boxes {
		if b.State != view.StateReady {
			continue
		}
		state := p.monitor.boxes[b.ID]
		if state == nil {
			continue
		}
		box := peaks.Box{ID: b.ID, Rack: b.Rack, Cell: b.Cell, Zone: site.ZoneIndex(b.Zone),
			LinkCapacity: b.Weight * float64(site.Links.PerWeight), RampShare: rampShare(site, b.StartedMs, now)}
		if k := site.KindIndex(b.Kind); k >= 0 {
			box.MaxStreams = float64(site.Kinds[k].Streams)
		}
		used := peakUse[b.ID]
		box.LinkLoad, box.ActiveSessions = max(state.linkUtilization*box.LinkCapacity-used.Rate, 0),
			max(state.streams-used.Streams, 0)
		fleet.Boxes = append(fleet.Boxes, box)
		capacities[b.ID] = peaks.BoxCapacity{Rate: box.LinkCapacity, Streams: box.MaxStreams,
			Busy: state.linkUtilization * box.LinkCapacity, Playing: state.streams}
	}
	p.peakState.ledger.SetCapacities(capacities)
	return fleet
}

// rampShare returns the share of its capacity that a box has reached in its slow start. It is 1 after the ramp, and
// where the start is not known.
func rampShare(site *config.Site, startedMs int64, now time.Time) float64 {
	ramp := site.Rules.Ramp.Std()
	age := now.Sub(time.UnixMilli(startedMs))
	if startedMs == 0 || ramp <= 0 || age >= ramp {
		return 1
	}
	return site.Rules.StartShare + (1-site.Rules.StartShare)*max(age.Seconds(), 0)/ramp.Seconds()
}

// publishHolds sends the current holds, and the titles whose arrivals edges should count, to all streams. p.mu is
// held.
func (p *Planner) publishHolds() {
	state := &p.peakState
	holds := &view.Holds{LeaseMs: holdLease.Milliseconds()}
	for _, x := range state.ledger.RemainingHolds() {
		holds.Entries = append(holds.Entries, view.Hold{Title: x.Title, Class: p.Site.Classes[x.Class].Name, Box: x.Box,
			Rate: x.Rate, Streams: x.Streams})
	}
	now := time.Now().UnixMilli()
	for _, a := range state.announcements.List() {
		if a.Cancelled || p.Site.ClassIndex(a.Class) < 0 || now < a.Start-a.Uncertainty-arrivalCountLead.Milliseconds() ||
			now > a.Start+a.Uncertainty+2*a.Duration+arrivalCountLead.Milliseconds() {
			continue
		}
		for _, t := range a.Titles {
			holds.CountedTitles = append(holds.CountedTitles, view.CountedTitle{Peak: a.ID, Title: t, Class: a.Class})
		}
	}
	if len(holds.Entries)+len(holds.CountedTitles) == 0 &&
		(state.publishedHolds == nil || len(state.publishedHolds.Entries)+len(state.publishedHolds.CountedTitles) == 0) {
		return
	}
	state.publishedHolds = holds
	close(p.updated)
	p.updated = make(chan struct{})
}
