// Package edge is the HLS front: it answers viewers, follows the planner's view of the fleet, exchanges
// messages with boxes and other edges, and writes the manifests of each session. The decision module behind
// core.Orchestrator decides what happens to a session; package admission decides whether a repeated request
// joins an existing session.
package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	mrand "math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rainpulley/control"
	"rainpulley/internal/admission"
	"rainpulley/internal/config"
	"rainpulley/internal/core"
	"rainpulley/internal/descriptors"
	"rainpulley/internal/http1"
	"rainpulley/internal/timeconv"
	"rainpulley/internal/view"
)

// Options configures an Edge.
type Options struct {
	Site          *config.Site
	Position      int
	Planner       string       // host:port of the planner; "": no planner
	Listener      net.Listener // for viewers; nil: listen at the address in Site
	PeerConn      net.PacketConn
	StateDir      string // directory of the saved view; "": the view is not saved
	Seed          uint64
	StartTime     time.Time     // wall-clock time at start; zero: the system clock
	ShutdownGrace time.Duration // time for requests in progress to finish after the context of Run ends
	Descriptors   int           // file descriptors that the process may open; 0: as the system allows
	Log           *slog.Logger
	NewDecider    func(control.Settings, uint64) (core.Decider, error) // nil: control.New
}

// Edge is one instance of the HLS front; Run serves until its context ends.
type Edge struct {
	Options
	settings         control.Settings
	orchestrator     *core.Orchestrator
	boxes            *boxClient
	descriptors      *descriptors.Budget
	sessions         *sessionTable
	playlists        *playlistCache
	fleet            atomic.Pointer[fleet]
	startedAt        time.Time
	wallClockAtStart time.Duration
	instanceID       string
	requestCount     atomic.Uint64
	goroutines       sync.WaitGroup
	ctx              context.Context
	peerAddrs        []net.Addr
	holds            holdState
	boxStarts        struct { // start times of boxes, by the clock of this edge
		sync.Mutex
		byBox map[string]boxStart
	}
	metricsRegistry *prometheus.Registry

	playback atomic.Pointer[config.Playback] // replaced by Reload

	adoption        *adoption
	plannerViewSeen bool // used by the goroutine that applies views
}

// boxStart is the start time of a box as the planner reported it, and the same time by the clock of this edge.
type boxStart struct {
	reported int64
	local    time.Duration
}

// fleet is a view with its titles indexed by name.
type fleet struct {
	view   view.View
	titles map[string]view.Title
}

// New returns an edge that is not running yet.
func New(o Options) (*Edge, error) {
	if o.Position < 0 || o.Position >= len(o.Site.Edges) {
		return nil, fmt.Errorf("edge: position %d is out of range: the site has %d edges", o.Position, len(o.Site.Edges))
	}
	e := &Edge{Options: o, settings: o.Site.Settings(o.Position), sessions: newSessionTable(), startedAt: time.Now(),
		adoption: newAdoption()}
	e.wallClockAtStart = time.Duration(e.startedAt.UnixNano())
	if !o.StartTime.IsZero() {
		e.wallClockAtStart = time.Duration(o.StartTime.UnixNano())
	}
	var instance [4]byte
	if _, err := rand.Read(instance[:]); err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	e.instanceID = hex.EncodeToString(instance[:])
	newDecider := o.NewDecider
	if newDecider == nil {
		newDecider = func(s control.Settings, seed uint64) (core.Decider, error) { return control.New(s, seed) }
	}
	decider, err := newDecider(e.settings, o.Seed)
	if err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	if o.Descriptors == 0 {
		e.Options.Descriptors = descriptors.ProcessLimit()
	}
	e.descriptors = descriptors.NewBudget(e.Options.Descriptors, o.Site.Limits.Connections)
	e.boxes = newBoxClient(e)
	e.playlists = &playlistCache{edge: e, byPath: map[string]cachedPlaylist{}}
	e.orchestrator = core.New(core.Options{QueueSize: o.Site.Limits.Queue, MaxAttempts: o.Site.Attempts.Most,
		AnswerSlack: o.Site.Rules.AnswerSlack.Std(),
		Budget:      core.Budget{Span: e.settings.BudgetSpan, Share: e.settings.BudgetShare},
		Log:         o.Log, Decider: decider, Executor: e.boxes, Now: e.now})
	e.fleet.Store(&fleet{titles: map[string]view.Title{}})
	e.metricsRegistry = e.newMetrics()
	e.playback.Store(&o.Site.Playback)
	return e, nil
}

// Reload applies the settings that may change while the edge runs, which are those of playback. All others
// are fixed at start or come from the planner. The log lists changed settings that need a restart.
func (e *Edge) Reload(s *config.Site) {
	e.playback.Store(&s.Playback)
	needsRestart := config.ChangedFields(e.Site, s, "playback", "boxes", "titles", "planner")
	e.Log.Info("site reloaded", "playback", s.Playback, "needs_restart", needsRestart)
}

// now returns a Unix time that is monotonic while the edge runs.
func (e *Edge) now() time.Duration { return e.wallClockAtStart + time.Since(e.startedAt) }

// Stats returns the counters of the orchestrator.
func (e *Edge) Stats() *core.Stats { return &e.orchestrator.Stats }

// Run serves until ctx ends. Requests accepted before that are still answered, within ShutdownGrace.
func (e *Edge) Run(ctx context.Context) error {
	if e.Listener == nil {
		var err error
		if e.Listener, err = net.Listen("tcp", e.Site.Edges[e.Position].Listen); err != nil {
			return fmt.Errorf("edge: %w", err)
		}
	}
	if err := e.openPeers(); err != nil {
		_ = e.Listener.Close()
		return err
	}
	runCtx, stop := context.WithCancel(context.Background()) // ends up to ShutdownGrace after ctx
	defer stop()
	e.ctx = runCtx
	e.loadSavedView()
	orchestratorDone := make(chan struct{})
	go func() { e.orchestrator.Run(runCtx); close(orchestratorDone) }()
	e.spawn(func() { e.sweepSessions(runCtx) })
	e.spawn(func() { e.followPlanner(runCtx) })
	if e.Planner != "" {
		e.spawn(func() { e.reportUsage(runCtx) })
	}
	if e.PeerConn != nil {
		e.spawn(func() { e.receivePeerMessages(runCtx) })
	}
	e.Log.Info("edge is serving", "address", e.Listener.Addr().String(), "position", e.Position, "instance", e.instanceID)
	s := &http1.Server{Handler: e.handle, Limits: http1.DefaultLimits(), Slots: e.descriptors,
		RetryAfter: e.Site.RetryAfter.Std(), Log: e.Log}
	err := s.Serve(ctx, e.Listener, e.ShutdownGrace)
	e.Log.Info("edge is stopping", "open", e.orchestrator.Stats.Open.Load())
	stop()
	<-orchestratorDone
	if e.PeerConn != nil {
		_ = e.PeerConn.Close()
	}
	e.goroutines.Wait()
	return err
}

// spawn runs f in a goroutine that Run waits for before it returns.
func (e *Edge) spawn(f func()) {
	e.goroutines.Add(1)
	go func() { defer e.goroutines.Done(); f() }()
}

// nextRequestID returns a request ID that is unique across edges and across restarts of one edge.
func (e *Edge) nextRequestID() string {
	return e.requestIDPrefix() + e.instanceID + "-" + strconv.FormatUint(e.requestCount.Add(1), 36)
}

func (e *Edge) requestIDPrefix() string { return "e" + strconv.Itoa(e.Position) + "-" }

// submit queues the next request of a session for the decision module. The caller holds s.mu. It returns
// false if the queue is full.
func (e *Edge) submit(s *session, d admission.Decision, timeLeft time.Duration) (*placementRequest, bool) {
	p := &placementRequest{id: e.nextRequestID(), title: s.title.Name, maxRung: s.maxRung, session: s, edge: e,
		answered: make(chan struct{}), closed: make(chan struct{})}
	now := e.now()
	length := timeconv.Milliseconds(s.title.LengthMs)
	if length > 0 && s.resumePosition > 0 {
		length = max(length-s.resumePosition, 0)
	}
	r := control.Request{ID: p.id, Class: s.class, Viewer: hash(s.viewerKey), Title: hash(s.title.Name),
		HomeCell: s.title.HomeCell, CellSpan: s.title.CellSpan, BestRung: s.maxRung, GiveUpAt: now + timeLeft,
		ExpectedLength: length, Repeat: d.Repeat, Returned: d.Returned, Moved: d.Moved}
	if s.title.Listed {
		r.Holders = s.title.Holders
	}
	s.request, s.state, s.stateSince = p, admission.Pending, now
	s.requestCount++
	e.Log.Info("request", "session", p.id, "viewer", s.viewerKey, "title", s.title.Name,
		"class", e.Site.Classes[s.class].Name, "best", s.maxRung, "try", s.requestCount, "returned", d.Returned)
	if !d.Returned {
		e.holds.countArrival(e.Site.Classes[s.class].Name, s.title.Name)
	}
	if !e.orchestrator.Submit(r, p) {
		s.state = admission.Unsuccessful
		return nil, false
	}
	return p, true
}

// hash returns the 64-bit FNV-1a hash of text, shifted to 53 bits: the module requires keys below 2^53.
func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h >> 11
}

// sweepInterval is how often sessions are checked for viewers that left and for content that ended.
const sweepInterval = 250 * time.Millisecond

// endedSessionTTL is how long an ended session is kept, so that a late reload gets an answer that says what
// happened to the session.
const endedSessionTTL = time.Minute

// sweepSessions ends sessions whose viewer or content is gone, deletes ended ones after endedSessionTTL and
// expires holds, until ctx ends.
func (e *Edge) sweepSessions(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		e.expireHolds()
		var abandoned []*placementRequest
		var finished []string
		now := e.now()
		e.sessions.forEach(func(s *session) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case s.state == admission.Playing && s.window.Ended():
				if now-s.contentStart >= s.manifest.duration(s.publishedRung) {
					finished = append(finished, s.request.id)
				}
			case s.state == admission.Playing:
				if now-time.Duration(s.lastSeenAt.Load()) > e.playback.Load().Silence.Std() {
					abandoned = append(abandoned, s.request)
				}
			case s.state == admission.Lost || s.state == admission.Ended || s.state == admission.Unsuccessful:
				return now-s.stateSince < endedSessionTTL
			}
			return true
		})
		for _, p := range abandoned {
			e.orchestrator.ViewerLeft(p.id, p)
		}
		for _, id := range finished {
			e.orchestrator.SessionFinished(id)
		}
	}
}

// applyRung sets the wanted rung at the box and then publishes segments of that rung. It repeats until the
// latest wanted rung is in effect, so that changes reach the box in order.
func (e *Edge) applyRung(p *placementRequest) {
	s := p.session
	for {
		s.mu.Lock()
		wanted, src := s.wantedRung, s.manifest
		if s.request != p || s.state != admission.Playing || wanted == s.publishedRung {
			s.rungChangeRunning = false
			s.mu.Unlock()
			return
		}
		server := s.server
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
		track, err := e.playlists.rungTrack(ctx, server, src, wanted)
		if err == nil {
			err = e.boxes.putRung(ctx, server, p.id, wanted)
		}
		cancel()
		s.mu.Lock()
		if err != nil {
			e.Log.Warn("rung not changed", "session", p.id, "server", server, "rung", wanted, "error", err)
			if s.wantedRung == wanted { // report the rung that remains in effect to the module
				s.wantedRung = s.publishedRung
				go e.orchestrator.AddEvent(control.Note{ID: p.id, Server: server, Kind: control.NoteRung,
					Value: float64(s.publishedRung)})
			}
		} else if s.request == p && s.state == admission.Playing && s.server == server {
			s.publishedRung = wanted
			s.window.SetSource("http://"+server, sessionQuery(p.id), track, 0)
		}
		s.mu.Unlock()
	}
}

// checkCapacity reports whether a new request must be refused because the queue or the session table is full,
// and the advised retry delay. It is called before the request is accepted.
func (e *Edge) checkCapacity() (bool, time.Duration) {
	return admission.CheckCapacity(admission.Usage{Queued: e.orchestrator.QueueLen(), QueueLimit: e.Site.Limits.Queue,
		Sessions: int(e.sessions.size.Load()), SessionLimit: e.Site.Limits.Sessions}, mrand.Float64())
}

var errUnknownTitle = errors.New("no such title")
