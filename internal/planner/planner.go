package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"rainpulley/internal/accept"
	"rainpulley/internal/cmsd"
	"rainpulley/internal/config"
	"rainpulley/internal/descriptors"
	"rainpulley/internal/http1"
	"rainpulley/internal/registry"
	"rainpulley/internal/timeconv"
	"rainpulley/internal/titles"
	"rainpulley/internal/view"
)

// Options configures a Planner.
type Options struct {
	Site          *config.Site
	Listener      net.Listener // nil: listens on the site's address
	Log           *slog.Logger
	Sources       []registry.Source // in order of preference; nil: the site's Consul, or the site file alone
	State         string            // folder for state that survives a restart; "": nothing is stored
	Announcements string            // watched folder of announcement files; "": none
	Copies        string            // "lp" (default), "greedy" or "none": how copies for peaks are chosen
	Holds         string            // "lp" (default: what pays), "all", "greedy" or "none": how holds are planned
}

// Planner is a running planner.
type Planner struct {
	Options
	client      *http1.Client
	descriptors *descriptors.Budget

	changeMu   sync.Mutex // serializes changes that are stored in the state folder; locked before mu
	stateError error      // why the state of an earlier process was not read; p does not run then
	stateLock  *os.File   // held from the start until Run returns

	mu          sync.Mutex
	monitor     *Monitor
	published   view.View
	updated     chan struct{} // closed and replaced at each change of the view or the holds
	peakState   peakState
	overrides   overrides
	catalogue   *titles.Catalogue
	copyState   copyState
	sourceState sourceState
	wg          sync.WaitGroup
	epoch       uint64 // boxes reject commands with a lower epoch than the highest they received

	healthChecks *healthChecks // nil before Run
	currentSite  *config.Site  // from the last reload
}

// New makes a planner. Its versions and its epoch start at the current time, so that those of a restarted planner
// are above those of the previous process.
func New(o Options) *Planner {
	p := &Planner{Options: o, monitor: NewMonitor(o.Site.Planner.GoneAfter, uint64(time.Now().UnixMilli())),
		updated: make(chan struct{}), descriptors: descriptors.NewBudget(descriptors.ProcessLimit(), math.MaxInt)}
	dialer := &descriptors.Dialer{Budget: p.descriptors, Timeout: o.Site.Planner.CheckFor.Std()}
	p.client = &http1.Client{Limits: http1.DefaultLimits(), Dial: dialer.Call}
	p.peakState, p.currentSite = newPeakState(), o.Site
	p.epoch, p.copyState = uint64(time.Now().UnixMilli()), p.newCopyState()
	if err := p.openSources(); err != nil {
		p.Log.Error("opening the sources failed; using the site file alone", "error", err)
	}
	p.restore()
	return p
}

// restore takes up what earlier processes accepted and what the site file says, before anything is published: first the
// words of operators and callers, then the last snapshot of the sources, then the site file.
func (p *Planner) restore() {
	if p.stateError = p.lockState(); p.stateError != nil {
		p.Log.Error("the state folder is not used", "error", p.stateError)
		p.State = ""
	}
	now := time.Now().UnixMilli()
	p.catalogue = titles.New(p.titleSources()...)
	p.loadOverrides()
	p.loadAnnouncements()
	p.restoreSnapshot()
	for _, b := range p.fleetBoxes(p.Site) {
		p.monitor.Add(p.siteBox(b))
	}
	p.updateTitleList(siteSource, siteTitles(p.Site), now)
	p.confirmRemovals(now)
}

// Run serves the API and runs health checks, planning and copies until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	defer p.unlockState()
	if p.stateError != nil {
		return p.stateError
	}
	if p.Listener == nil {
		var err error
		if p.Listener, err = net.Listen("tcp", p.Site.Planner.Listen); err != nil {
			return fmt.Errorf("planner: %w", err)
		}
	}
	wg := &p.wg
	p.mu.Lock()
	p.healthChecks = &healthChecks{ctx: ctx, wg: wg, cancelByBox: map[string]context.CancelFunc{}}
	for i, b := range p.fleetBoxes(p.Site) {
		p.startHealthChecks(b.Addr, i)
	}
	p.mu.Unlock()
	wg.Add(1)
	go func() { defer wg.Done(); p.runPlanning(ctx) }()
	wg.Add(1)
	go func() { defer wg.Done(); p.runCopies(ctx) }()
	wg.Add(1)
	go func() { defer wg.Done(); p.watchSources(ctx) }()
	mux := http.NewServeMux()
	p.registerPeakRoutes(mux)
	mux.Handle("GET /metrics", p.metrics())
	mux.HandleFunc("GET /v1/stream", p.handleStream)
	mux.HandleFunc("GET /v1/view", p.handleView)
	mux.HandleFunc("GET /v1/boxes", p.handleListBoxes)
	mux.HandleFunc("POST /v1/boxes/{id}/drain", func(w http.ResponseWriter, r *http.Request) {
		p.handleDrain(w, r, true)
	})
	mux.HandleFunc("DELETE /v1/boxes/{id}/drain", func(w http.ResponseWriter, r *http.Request) {
		p.handleDrain(w, r, false)
	})
	mux.HandleFunc("GET /v1/titles", p.handleListTitles)
	mux.HandleFunc("POST /v1/titles/accept-removals", p.handleAcceptRemovals)
	mux.HandleFunc("PUT /v1/titles/{name}", p.handleSetTitle)
	mux.HandleFunc("DELETE /v1/titles/{name}", p.handleSetTitle)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 16 << 10, BaseContext: func(net.Listener) context.Context { return ctx }}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	p.Log.Info("planner is serving", "address", p.Listener.Addr().String(), "boxes", len(p.Site.Boxes),
		"titles", len(p.Site.Titles))
	err := server.Serve(&accept.Limited{Listener: accept.NewListener(ctx, p.Listener, p.Log), Budget: p.descriptors})
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// publishView publishes the monitor's view if it changed. The first view waits until sources have reported, every
// box has been checked and the holders of all titles are known. p.mu is held.
func (p *Planner) publishView() {
	if p.published.Version == 0 && p.sourceState.reconciler != nil && p.sourceState.statuses == nil {
		return // no source has reported yet: the view would be an empty fleet
	}
	if p.published.Version == 0 && (!p.monitor.AllChecked() ||
		p.copyState.manager != nil && !p.copyState.manager.AllReported()) {
		return
	}
	next, viewChanged := p.monitor.View()
	if !viewChanged && p.published.Version > 0 {
		return
	}
	p.published = next
	close(p.updated)
	p.updated = make(chan struct{})
}

// healthResponse is the body of a box's answer to GET /health.
type healthResponse struct {
	State         string `json:"state"`
	Boot          string `json:"boot"`
	StartedMs     int64  `json:"started_ms"`
	TitlesVersion uint64 `json:"titles_version"`
}

// runHealthChecks checks one box at each interval until ctx ends. The number spreads the checks of the boxes over
// the interval.
func (p *Planner) runHealthChecks(ctx context.Context, addr string, number int) {
	interval := p.Site.Planner.CheckEvery.Std()
	var knownVersion uint64 // version of the list of titles that was read last, plus 1; 0: none was read
	var lastRead time.Time
	misses := 0
	timer := time.NewTimer(interval * time.Duration(number) / time.Duration(max(len(p.Site.Boxes), 64)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(interval)
		check, known := p.checkHealth(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if !known {
			continue
		}
		p.mu.Lock()
		p.monitor.RecordCheck(addr, check)
		p.updateManagerBoxes()
		before := p.published.Version
		p.publishView()
		after := p.published.Version
		p.mu.Unlock()
		if after != before {
			p.Log.Info("view published", "version", after, "cause", addr, "answered", check.Answered,
				"draining", check.Draining, "boot", check.BootID)
		}
		// Titles are read after the state is published, so that a drain takes effect without delay.
		p.refreshTitles(ctx, addr, check, &knownVersion, &lastRead, &misses)
	}
}

// checkHealth sends one health check to a box. A failed request or an invalid answer counts as not answered. known is
// false if the check could not be sent for a reason of this machine, which says nothing about the box.
func (p *Planner) checkHealth(ctx context.Context, addr string) (check HealthCheck, known bool) {
	requestCtx, cancel := context.WithTimeout(ctx, p.Site.Planner.CheckFor.Std())
	defer cancel()
	r, err := p.client.Do(requestCtx, addr, "GET", "/health", nil, nil)
	if descriptors.IsLocal(err) {
		p.Log.Warn("health check not sent", "server", addr, "error", err)
		return HealthCheck{}, false
	}
	var health healthResponse
	if err != nil || r.Status != 200 || json.Unmarshal(r.Body, &health) != nil {
		return HealthCheck{}, true
	}
	check = HealthCheck{Answered: true, Draining: health.State == "draining", BootID: health.Boot,
		TitlesVersion: health.TitlesVersion, AnsweredAt: time.Now()}
	if load := cmsd.Parse(r.Get("cmsd-dynamic")); load != nil {
		if load.LinkUtilization != nil {
			check.LinkUtilization = *load.LinkUtilization
		}
		if load.Streams != nil {
			check.Streams = *load.Streams
		}
	}
	if health.StartedMs > 0 && health.StartedMs <= timeconv.MaxUnixMilli {
		check.Started = time.UnixMilli(health.StartedMs)
	}
	return check, true
}

const (
	heartbeatInterval  = time.Second
	streamWriteTimeout = 5 * time.Second // the connection to an edge is closed after a write takes this long
)

// streamView sends the whole view, then each change, with heartbeats in between.
func (p *Planner) handleStream(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	var sent view.View
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for first := true; ; {
		p.mu.Lock()
		v, updated, holds := p.published, p.updated, p.peakState.publishedHolds
		p.mu.Unlock()
		if v.Version == 0 { // no view published yet
			select {
			case <-r.Context().Done():
				return
			case <-updated:
			}
			continue
		}
		line := view.Update{Version: v.Version}
		switch {
		case first:
			line = view.Update{Version: v.Version, Full: true, Boxes: v.Boxes, Titles: v.Titles,
				NowMs: time.Now().UnixMilli()}
		case v.Version != sent.Version:
			line = view.Diff(sent, v)
			line.NowMs = time.Now().UnixMilli()
		}
		line.Holds = holds
		sent, first = v, false
		_ = controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		if encoder.Encode(line) != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-updated:
		case <-ticker.C:
		}
	}
}

func (p *Planner) handleView(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	v := p.published
	p.mu.Unlock()
	if v.Version == 0 {
		http.Error(w, "the fleet is not checked yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(view.Update{Version: v.Version, Full: true, Boxes: v.Boxes, Titles: v.Titles,
		NowMs: time.Now().UnixMilli()})
}

// errUnknownBox reports that no source and no site file has a box.
var errUnknownBox = errors.New("no such box")

// handleDrain starts or ends an operator's drain of a box.
func (p *Planner) handleDrain(w http.ResponseWriter, r *http.Request, on bool) {
	id := r.PathValue("id")
	check := func() error {
		switch {
		case p.monitor.boxes[id] != nil || p.monitor.operatorDrains[id]: // the drain of a box that has left may be ended
			return nil
		case !p.sourcesHeard():
			return &notReadyError{errUnknownBox}
		}
		return errUnknownBox
	}
	err := p.changeOverrides(check, func(next *overrides) {
		next.Drains = slices.DeleteFunc(next.Drains, func(d string) bool { return d == id })
		if on {
			next.Drains = append(next.Drains, id)
		}
	}, func() {
		p.monitor.SetDrain(id, on)
		p.publishView()
	})
	if err != nil {
		writeChangeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleSetTitle sets a title (PUT) or removes it (DELETE) as an operator's override.
func (p *Planner) handleSetTitle(w http.ResponseWriter, r *http.Request) {
	t := view.Title{Name: r.PathValue("name")}
	if r.Method == http.MethodPut {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&t); err != nil || t.Name != r.PathValue("name") || !p.titleFits(t) ||
			t.CellSpan < 1 || t.LengthMs < 0 || t.LengthMs > timeconv.MaxDuration.Milliseconds() {
			http.Error(w, "want {\"name\",\"home\",\"span\",\"length_ms\"} that fit the cells", http.StatusBadRequest)
			return
		}
	}
	err := p.changeOverrides(func() error { return nil }, func(next *overrides) { next.Titles[t.Name] = t }, func() {
		p.catalogue.SetOverride(t)
		p.applyTitles()
		p.confirmRemovals(time.Now().UnixMilli())
		p.updateHolders()
		p.publishView()
	})
	if err != nil {
		writeChangeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
