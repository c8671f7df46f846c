package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/cmsd"
	"rainpulley/internal/core"
	"rainpulley/internal/hls"
	"rainpulley/internal/http1"
	"rainpulley/internal/view"
)

// boxes carries the module's actions to streaming servers over HTTP, and hears their notes.
type boxes struct {
	e       *Edge
	client  *http1.Client
	release chan released

	mu     sync.Mutex
	follow map[string]*follower    // by server
	ended  map[string]view.Outcome // counts, by server
	news   bool                    // of them since the last report
}

type released struct {
	id, server string
	attempt    int
}

// setup is what a set-up brought back.
type setup struct {
	source *source
	track  *hls.Track
	rung   int
}

const (
	releasers    = 8
	mostReleases = 8192
	releaseFor   = time.Second
)

func newBoxes(e *Edge) *boxes {
	limits := http1.DefaultLimits()
	return &boxes{e: e, follow: map[string]*follower{}, ended: map[string]view.Outcome{}, release: make(chan released, mostReleases),
		client: &http1.Client{Limits: limits, Connect: e.Site.Attempts.ConnectTimeout.D()}}
}

// SetUp asks a box to start a session: POST /sessions/<id>. What proves that it never ran is told apart
// from what may have run: no connection or 503 with a reason never ran; all else may have.
func (b *boxes) SetUp(ctx context.Context, a core.Attempt) core.Result {
	r := b.setUp(ctx, a)
	b.count(ctx, a.Server, r.Outcome)
	return r
}

// count keeps what set-ups came to, for the planner: sessions that fail speak against a check that passes.
func (b *boxes) count(ctx context.Context, server string, o control.Outcome) {
	served := o == control.Served
	if o == control.Full || !served && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.ended[server]
	if c.Box = server; served {
		c.Served++
	} else {
		c.Failed++
	}
	if len(b.ended) < mostCounted || c.Served+c.Failed > 1 {
		b.ended[server], b.news = c, true
	}
}

// outcomes are all counts; nil where nothing was added since the last call.
func (b *boxes) outcomes() (out []view.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.news {
		return nil
	}
	b.news = false
	for _, c := range b.ended {
		out = append(out, c)
	}
	return out
}

func (b *boxes) setUp(ctx context.Context, a core.Attempt) core.Result {
	b.listen(a.Server)
	title, viewer, best := "", "", 0
	if y, ok := a.Listener.(*try); ok {
		title, viewer, best = y.title, y.s.key, y.best
	}
	q := url.Values{"title": {title}, "class": {b.e.Site.Classes[a.Class].Name}, "rung": {strconv.Itoa(a.Rung)},
		"attempt": {strconv.Itoa(a.Number)}, "edge": {b.e.name()}, "viewer": {viewer}, "best": {strconv.Itoa(best)}}
	p, err := b.client.Do(ctx, a.Server, "POST", "/sessions/"+a.ID+"?"+q.Encode(), nil, nil)
	if err != nil {
		b.e.Log.Debug("set-up", "session", a.ID, "server", a.Server, "error", err)
		return core.Result{Outcome: setUpError(ctx, err)}
	}
	load := readLoad(p)
	switch {
	case p.Status == 503 && p.Get("rainpulley-reason") != nil:
		return core.Result{Outcome: control.Full, Load: load}
	case p.Status != 200 && p.Status != 201:
		return core.Result{Outcome: control.Failed, Load: load}
	}
	base := string(p.Get("content-location"))
	if !strings.HasPrefix(base, "/") {
		base = "/"
	}
	s, err := newSource(base, p.Body, len(b.e.set.Ladder))
	out := &setup{source: s, rung: a.Rung}
	if err == nil {
		out.track, err = b.e.sources.track(ctx, a.Server, s, a.Rung)
	}
	if err != nil {
		b.e.Log.Warn("set-up without a playlist that can be used", "session", a.ID, "server", a.Server, "error", err)
		return core.Result{Outcome: setUpRan(ctx, err), Load: load}
	}
	return core.Result{Outcome: control.Served, Load: load, Setup: out}
}

func setUpError(ctx context.Context, err error) control.Outcome {
	var e *http1.Error
	switch {
	case errors.Is(err, http1.ErrNeverSent):
		return control.ConnectFailed
	case ctx.Err() != nil:
		return control.Reset // core puts in why it was given up
	case errors.As(err, &e):
		return control.Failed
	}
	return control.Reset
}

// setUpRan is for what fails after the box has said that it runs.
func setUpRan(ctx context.Context, err error) control.Outcome {
	if o := setUpError(ctx, err); o != control.ConnectFailed {
		return o
	}
	return control.Reset
}

// readLoad takes a box's load from its answer.
func readLoad(p *http1.Response) *control.LoadReport {
	l := cmsd.Parse(p.Get("cmsd-dynamic"))
	if l == nil {
		return nil
	}
	return &control.LoadReport{Streams: l.Streams, Link: l.Link, Uplink: l.Uplink}
}

// name is this instance of the edge, as boxes know it.
func (e *Edge) name() string { return strconv.Itoa(e.Position) + "." + e.boot }

// Release tells a box that a session is over. It is queued: the owner does not wait. When the queue is
// full the box learns of it from the list of what the edge holds.
func (b *boxes) Release(id, server string, attempt int) {
	select {
	case b.release <- released{id, server, attempt}:
	default:
		b.e.Log.Warn("release not queued", "session", id, "server", server)
	}
}

func (b *boxes) releaseAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-b.release:
			limited, cancel := context.WithTimeout(ctx, releaseFor)
			_, err := b.client.Do(limited, r.server, "DELETE", "/sessions/"+r.id+"?attempt="+strconv.Itoa(r.attempt), nil, nil)
			cancel()
			if err != nil {
				b.e.Log.Debug("release", "session", r.id, "server", r.server, "error", err)
			}
		}
	}
}

// SetRung needs nothing here: the listener's goroutine brings box and playlist to the rung, in order.
func (b *boxes) SetRung(core.Attempt, int) {}

func (b *boxes) putRung(ctx context.Context, server, id string, rung int) error {
	p, err := b.client.Do(ctx, server, "PUT", "/sessions/"+id+"?rung="+strconv.Itoa(rung), nil, nil)
	if err != nil {
		return err
	}
	if p.Status/100 != 2 {
		return fmt.Errorf("box answered %d", p.Status)
	}
	return nil
}

// Probe asks a box for its health.
func (b *boxes) Probe(server string) {
	b.e.goes(func() {
		ctx, cancel := context.WithTimeout(b.e.ctx, b.e.Site.Planner.CheckFor.D())
		defer cancel()
		p, err := b.client.Do(ctx, server, "GET", "/health", nil, nil)
		out := control.ProbeResult{Server: server}
		if err == nil {
			out.OK, out.Load = p.Status == 200, readLoad(p)
		}
		b.e.owner.AddEvent(out)
	})
}

// follower hears one box's event stream: notes on sessions there, and by its silence that it is lost.
type follower struct {
	held map[string]time.Duration // sessions there, since when
}

const (
	streamQuiet  = 5 * time.Second // boxes send a line each second at the least
	streamRetry  = 100 * time.Millisecond
	streamTries  = 4
	streamIdle   = 20 * time.Second // kept so long without sessions
	mostNoteLine = 4096
)

// listen makes sure that a box's events are heard.
func (b *boxes) listen(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.follow[server] == nil && b.e.ctx.Err() == nil {
		f := &follower{held: map[string]time.Duration{}}
		b.follow[server] = f
		b.e.goes(func() { b.hear(server, f) })
	}
}

func (b *boxes) hold(server, id string) {
	b.listen(server)
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.follow[server]; f != nil {
		f.held[id] = b.e.now()
	}
}

func (b *boxes) free(server, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.follow[server]; f != nil {
		delete(f.held, id)
	}
}

// boxLine is one line of a box's event stream.
type boxLine struct {
	Boot     string           `json:"boot"` // in the first line, with all sessions of this edge there
	Sessions []string         `json:"sessions"`
	Held     []heldLine       `json:"held"` // what an earlier instance of this edge left
	Session  string           `json:"s"`
	Kind     control.NoteKind `json:"k"`
	Value    float64          `json:"x"`
	End      bool             `json:"end"`
}

// hear follows a box until it is lost or idle. A stream that breaks is opened again a few times; what the
// box then no longer lists is lost, and all is if it does not come back.
func (b *boxes) hear(server string, f *follower) {
	failures := 0
	for b.e.ctx.Err() == nil {
		opened := b.e.now()
		ctx, cancel := context.WithCancel(b.e.ctx)
		b.e.goes(func() { b.endWhenIdle(ctx, cancel, f) })
		ok, err := b.client.Lines(ctx, server, "/events?edge="+b.e.name(), streamQuiet, func(line []byte) error {
			failures = 0
			return b.line(server, f, opened, line)
		})
		idleOver := ctx.Err() != nil && b.e.ctx.Err() == nil
		cancel()
		if idleOver && b.forget(server, f) {
			return
		}
		if !ok {
			failures++
		}
		if failures >= streamTries {
			b.e.Log.Info("box lost", "server", server, "error", err)
			b.lost(server, f, func(string, time.Duration) bool { return true })
			if b.forget(server, f) {
				return
			}
			failures = 0
		}
		select {
		case <-b.e.ctx.Done():
		case <-time.After(streamRetry):
		}
	}
}

// endWhenIdle ends a stream after so long without sessions in a row.
func (b *boxes) endWhenIdle(ctx context.Context, end context.CancelFunc, f *follower) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for idle := time.Duration(0); idle < streamIdle; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		b.mu.Lock()
		idle += time.Second
		if len(f.held) > 0 {
			idle = 0
		}
		b.mu.Unlock()
	}
	end()
}

// forget ends the following of a box without sessions.
func (b *boxes) forget(server string, f *follower) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(f.held) > 0 {
		return false
	}
	delete(b.follow, server)
	return true
}

func (b *boxes) lost(server string, f *follower, gone func(id string, since time.Duration) bool) {
	b.mu.Lock()
	var ids []string
	for id, since := range f.held {
		if gone(id, since) {
			ids = append(ids, id)
			delete(f.held, id)
		}
	}
	b.mu.Unlock()
	if len(ids) > 0 {
		b.e.owner.SessionsLost(server, ids)
	}
}

func (b *boxes) line(server string, f *follower, opened time.Duration, raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	var l boxLine
	if err := json.Unmarshal(raw, &l); err != nil {
		b.e.Log.Warn("event line of a box makes no sense", "server", server, "error", err)
		return nil
	}
	switch {
	case l.Boot != "":
		there := map[string]bool{}
		for _, id := range l.Sessions {
			there[id] = true
		}
		b.lost(server, f, func(id string, since time.Duration) bool {
			return since < opened && !there[id]
		})
		for _, h := range l.Held {
			b.e.goes(func() { b.e.adopt(server, h) })
		}
	case l.End:
		b.lost(server, f, func(id string, _ time.Duration) bool { return id == l.Session })
	case l.Kind >= control.NoteShare && l.Kind <= control.NoteUplink && l.Value >= 0:
		b.e.owner.AddNote(control.Note{ID: l.Session, Server: server, Kind: l.Kind, Value: l.Value})
	}
	return nil
}
