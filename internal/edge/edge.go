// Package edge is the HLS front: it answers viewers, follows the fleet's view, speaks with boxes and
// other edges, and writes each session's manifests. What happens to a session is decided by the module
// behind core.Owner; what a viewer's repeat joins by package join.
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
	"rainpulley/internal/bound"
	"rainpulley/internal/config"
	"rainpulley/internal/core"
	"rainpulley/internal/http1"
	"rainpulley/internal/view"
)

// Options of an edge.
type Options struct {
	Site     *config.Site
	Position int
	Planner  string       // host:port of the planner; "" follows none
	Listener net.Listener // viewers; nil: as the site says
	Peer     net.PacketConn
	State    string // folder for the last view; "" keeps none
	Seed     uint64
	Clock    time.Time     // the wall clock as it starts; zero: the machine's
	Grace    time.Duration // after ctx ended, requests under way may take so long
	Log      *slog.Logger
	Decider  func(control.Settings, uint64) (core.Decider, error) // nil: the module
}

// Edge is one running edge.
type Edge struct {
	Options
	set     control.Settings
	owner   *core.Orchestrator
	boxes   *boxes
	table   *table
	sources *sources
	fleet   atomic.Pointer[fleet]
	base    time.Time
	wall    time.Duration
	boot    string
	count   atomic.Uint64
	work    sync.WaitGroup
	ctx     context.Context
	peers   []net.Addr
	holds   holds
	starts  struct { // of boxes, by this edge's clock
		sync.Mutex
		of map[string]boxStart
	}
	metrics *prometheus.Registry

	playback atomic.Pointer[config.Playback] // changes by Reload

	reclaiming chan struct{} // closed when a restarted edge no longer waits for boxes; nil: it began empty
}

// boxStart is a start as the planner told it, and by the edge's own clock.
type boxStart struct {
	told int64
	own  time.Duration
}

// fleet is a view made ready for lookups.
type fleet struct {
	view   view.View
	titles map[string]view.Title
}

// New makes an edge.
func New(o Options) (*Edge, error) {
	if o.Position < 0 || o.Position >= len(o.Site.Edges) {
		return nil, fmt.Errorf("edge: position %d, the site has %d edges", o.Position, len(o.Site.Edges))
	}
	e := &Edge{Options: o, set: o.Site.Settings(o.Position), table: newTable(), base: time.Now()}
	e.wall = time.Duration(e.base.UnixNano())
	if !o.Clock.IsZero() {
		e.wall = time.Duration(o.Clock.UnixNano())
	}
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	e.boot = hex.EncodeToString(b[:])
	make := o.Decider
	if make == nil {
		make = func(s control.Settings, seed uint64) (core.Decider, error) { return control.New(s, seed) }
	}
	d, err := make(e.set, o.Seed)
	if err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	e.boxes = newBoxes(e)
	e.sources = &sources{e: e, byPath: map[string]sourceEntry{}}
	e.owner = core.New(core.Options{QueueSize: o.Site.Limits.Queue, MaxAttempts: o.Site.Attempts.Most, AnswerSlack: o.Site.Rules.AnswerSlack.D(),
		Budget: core.Budget{Span: e.set.BudgetSpan, Share: e.set.BudgetShare},
		Log:    o.Log, Decider: d, Executor: e.boxes, Now: e.now})
	e.fleet.Store(&fleet{titles: map[string]view.Title{}})
	e.metrics = e.newMetrics()
	e.playback.Store(&o.Site.Playback)
	return e, nil
}

// Reload takes what may change while the edge runs: playback. All else is settled when it starts, or comes
// from the planner; a change of that is named.
func (e *Edge) Reload(s *config.Site) {
	e.playback.Store(&s.Playback)
	fixed := config.Changed(e.Site, s, "playback", "boxes", "titles", "planner")
	e.Log.Info("site reloaded", "playback", s.Playback, "needs_restart", fixed)
}

// now is Unix time that never steps back while the edge runs.
func (e *Edge) now() time.Duration { return e.wall + time.Since(e.base) }

// Stats are the owner's counts.
func (e *Edge) Stats() *core.Stats { return &e.owner.Stats }

// Run serves until ctx ends. Requests taken by then are answered.
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
	inner, stop := context.WithCancel(context.Background()) // outlives ctx by the grace
	defer stop()
	e.ctx = inner
	e.loadLast()
	ownerOver := make(chan struct{})
	go func() { e.owner.Run(inner); close(ownerOver) }()
	e.goes(func() { e.sweep(inner) })
	e.goes(func() { e.follow(inner) })
	if e.Planner != "" {
		e.goes(func() { e.reportUse(inner) })
	}
	if e.Peer != nil {
		e.goes(func() { e.hearPeers(inner) })
	}
	e.Log.Info("edge serves", "address", e.Listener.Addr().String(), "position", e.Position, "instance", e.boot)
	s := &http1.Server{Handle: e.handle, Limits: http1.DefaultLimits(), Conns: e.Site.Limits.Connections, Log: e.Log}
	err := s.Serve(ctx, e.Listener, e.Grace)
	e.Log.Info("edge stops", "open", e.owner.Stats.Open.Load())
	stop()
	<-ownerOver
	if e.Peer != nil {
		_ = e.Peer.Close()
	}
	e.work.Wait()
	return err
}

func (e *Edge) goes(f func()) {
	e.work.Add(1)
	go func() { defer e.work.Done(); f() }()
}

// nextID names a request; no two edges or instances of one make the same.
func (e *Edge) nextID() string {
	return e.idPrefix() + e.boot + "-" + strconv.FormatUint(e.count.Add(1), 36)
}

func (e *Edge) idPrefix() string { return "e" + strconv.Itoa(e.Position) + "-" }

// ask hands a session's next try to the module. s.mu is held.
func (e *Edge) ask(s *session, d admission.Decision, patience time.Duration) (*try, bool) {
	y := &try{id: e.nextID(), title: s.title.Name, best: s.best, s: s, e: e, answered: make(chan struct{}), closed: make(chan struct{})}
	now := e.now()
	length := bound.Ms(s.title.Length)
	if length > 0 && s.position > 0 {
		length = max(length-s.position, 0)
	}
	r := control.Request{ID: y.id, Class: s.class, Viewer: hash(s.key), Title: hash(s.title.Name), HomeCell: s.title.Home,
		CellSpan: s.title.Span, BestRung: s.best, GiveUpAt: now + patience, ExpectedLength: length,
		Repeat: d.Repeat, Returned: d.Returned, Moved: d.Moved}
	if s.title.Listed {
		r.Holders = s.title.Holders
	}
	s.try, s.state, s.since = y, admission.Pending, now
	s.tries++
	e.Log.Info("request", "session", y.id, "viewer", s.key, "title", s.title.Name, "class", e.Site.Classes[s.class].Name,
		"best", s.best, "try", s.tries, "returned", d.Returned)
	if !d.Returned {
		e.holds.arrive(e.Site.Classes[s.class].Name, s.title.Name)
	}
	if !e.owner.Submit(r, y) {
		s.state = admission.Unsuccessful
		return nil, false
	}
	return y, true
}

// hash keeps below 2^53, as the module's keys are.
func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h >> 11
}

// sweepEvery is how often sessions are looked at for viewers that left and content that ended.
const sweepEvery = 250 * time.Millisecond

// forgetAfter is how long an ended session is remembered, so that a late reload is told what happened.
const forgetAfter = time.Minute

func (e *Edge) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		e.lapse()
		var left []*try
		var out []string
		now := e.now()
		e.table.each(func(s *session) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case s.state == admission.Playing && s.window.Ended():
				if now-s.origin >= s.source.length(s.rung) {
					out = append(out, s.try.id)
				}
			case s.state == admission.Playing:
				if now-time.Duration(s.seen.Load()) > e.playback.Load().Silence.D() {
					left = append(left, s.try)
				}
			case s.state == admission.Lost || s.state == admission.Ended || s.state == admission.Unsuccessful:
				return now-s.since < forgetAfter
			}
			return true
		})
		for _, y := range left {
			e.owner.ViewerLeft(y.id, y)
		}
		for _, id := range out {
			e.owner.SessionFinished(id)
		}
	}
}

// changeRung carries changes of rung to the box, the latest last, and then publishes from the new rung.
func (e *Edge) changeRung(y *try) {
	s := y.s
	for {
		s.mu.Lock()
		want, src := s.want, s.source
		if s.try != y || s.state != admission.Playing || want == s.rung {
			s.changing = false
			s.mu.Unlock()
			return
		}
		server := s.server
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
		track, err := e.sources.track(ctx, server, src, want)
		if err == nil {
			err = e.boxes.putRung(ctx, server, y.id, want)
		}
		cancel()
		s.mu.Lock()
		if err != nil {
			e.Log.Warn("rung not changed", "session", y.id, "server", server, "rung", want, "error", err)
			if s.want == want { // the module is told what is in force
				s.want = s.rung
				go e.owner.AddEvent(control.Note{ID: y.id, Server: server, Kind: control.NoteRung, Value: float64(s.rung)})
			}
		} else if s.try == y && s.state == admission.Playing && s.server == server {
			s.rung = want
			s.window.Aim("http://"+server, token(y.id), track, 0)
		}
		s.mu.Unlock()
	}
}

// turnAway is decided before a request is taken.
func (e *Edge) turnAway() (bool, time.Duration) {
	return admission.CheckCapacity(admission.Usage{Queued: e.owner.QueueLen(), QueueLimit: e.Site.Limits.Queue,
		Sessions: int(e.table.size.Load()), SessionLimit: e.Site.Limits.Sessions}, mrand.Float64())
}

var errUnknownTitle = errors.New("no such title")
