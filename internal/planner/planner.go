package planner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"rainpulley/internal/accept"
	"rainpulley/internal/config"
	"rainpulley/internal/descriptors"
	"rainpulley/internal/http1"
	"rainpulley/internal/registry"
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
