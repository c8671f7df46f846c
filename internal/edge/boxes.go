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
type boxClient struct {
	edge         *Edge
	http         *http1.Client
	releaseQueue chan releaseRequest

	mu              sync.Mutex
	followers       map[string]*follower    // by server
	outcomes        map[string]view.Outcome // counts, by server
	outcomesChanged bool                    // of them since the last report
}

type releaseRequest struct {
	id, server string
	attempt    int
}

// setup is what a set-up brought back.
type setUpResult struct {
	manifest *manifest
	track    *hls.Track
	rung     int
}

const (
	releaseWorkers   = 8
	releaseQueueSize = 8192
	releaseTimeout   = time.Second
)

func newBoxClient(e *Edge) *boxClient {
	limits := http1.DefaultLimits()
	return &boxClient{edge: e, followers: map[string]*follower{}, outcomes: map[string]view.Outcome{}, releaseQueue: make(chan releaseRequest, releaseQueueSize),
		http: &http1.Client{Limits: limits, ConnectTimeout: e.Site.Attempts.ConnectTimeout.D()}}
}

// SetUp asks a box to start a session: POST /sessions/<id>. What proves that it never ran is told apart
// from what may have run: no connection or 503 with a reason never ran; all else may have.
func (b *boxClient) SetUp(ctx context.Context, a core.Attempt) core.Result {
	r := b.sendSetUp(ctx, a)
	b.countOutcome(ctx, a.Server, r.Outcome)
	return r
}

// count keeps what set-ups came to, for the planner: sessions that fail speak against a check that passes.
func (b *boxClient) countOutcome(ctx context.Context, server string, outcome control.Outcome) {
	served := outcome == control.Served
	if outcome == control.Full || !served && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.outcomes[server]
	if counts.Box = server; served {
		counts.Served++
	} else {
		counts.Failed++
	}
	if len(b.outcomes) < maxCounted || counts.Served+counts.Failed > 1 {
		b.outcomes[server], b.outcomesChanged = counts, true
	}
}

// outcomes are all counts; nil where nothing was added since the last call.
func (b *boxClient) takeOutcomes() (out []view.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.outcomesChanged {
		return nil
	}
	b.outcomesChanged = false
	for _, counts := range b.outcomes {
		out = append(out, counts)
	}
	return out
}

func (b *boxClient) sendSetUp(ctx context.Context, a core.Attempt) core.Result {
	b.ensureFollowing(a.Server)
	title, viewer, maxRung := "", "", 0
	if p, ok := a.Listener.(*placementRequest); ok {
		title, viewer, maxRung = p.title, p.session.viewerKey, p.maxRung
	}
	query := url.Values{"title": {title}, "class": {b.edge.Site.Classes[a.Class].Name}, "rung": {strconv.Itoa(a.Rung)},
		"attempt": {strconv.Itoa(a.Number)}, "edge": {b.edge.instanceName()}, "viewer": {viewer}, "best": {strconv.Itoa(maxRung)}}
	resp, err := b.http.Do(ctx, a.Server, "POST", "/sessions/"+a.ID+"?"+query.Encode(), nil, nil)
	if err != nil {
		b.edge.Log.Debug("set-up", "session", a.ID, "server", a.Server, "error", err)
		return core.Result{Outcome: classifySetUpError(ctx, err)}
	}
	load := parseLoadReport(resp)
	switch {
	case resp.Status == 503 && resp.Get("rainpulley-reason") != nil:
		return core.Result{Outcome: control.Full, Load: load}
	case resp.Status != 200 && resp.Status != 201:
		return core.Result{Outcome: control.Failed, Load: load}
	}
	path := string(resp.Get("content-location"))
	if !strings.HasPrefix(path, "/") {
		path = "/"
	}
	m, err := parseManifest(path, resp.Body, len(b.edge.settings.Ladder))
	out := &setUpResult{manifest: m, rung: a.Rung}
	if err == nil {
		out.track, err = b.edge.playlists.rungTrack(ctx, a.Server, m, a.Rung)
	}
	if err != nil {
		b.edge.Log.Warn("set-up without a playlist that can be used", "session", a.ID, "server", a.Server, "error", err)
		return core.Result{Outcome: classifyErrorAfterStart(ctx, err), Load: load}
	}
	return core.Result{Outcome: control.Served, Load: load, Setup: out}
}

func classifySetUpError(ctx context.Context, err error) control.Outcome {
	var e *http1.Error
	switch {
	case errors.Is(err, http1.ErrNotSent):
		return control.ConnectFailed
	case ctx.Err() != nil:
		return control.Reset // core puts in why it was given up
	case errors.As(err, &e):
		return control.Failed
	}
	return control.Reset
}

// setUpRan is for what fails after the box has said that it runs.
func classifyErrorAfterStart(ctx context.Context, err error) control.Outcome {
	if outcome := classifySetUpError(ctx, err); outcome != control.ConnectFailed {
		return outcome
	}
	return control.Reset
}

// readLoad takes a box's load from its answer.
func parseLoadReport(resp *http1.Response) *control.LoadReport {
	l := cmsd.Parse(resp.Get("cmsd-dynamic"))
	if l == nil {
		return nil
	}
	return &control.LoadReport{Streams: l.Streams, Link: l.LinkUtilization, Uplink: l.UplinkUtilization}
}

// name is this instance of the edge, as boxes know it.
func (e *Edge) instanceName() string { return strconv.Itoa(e.Position) + "." + e.instanceID }

// Release tells a box that a session is over. It is queued: the owner does not wait. When the queue is
// full the box learns of it from the list of what the edge holds.
func (b *boxClient) Release(id, server string, attempt int) {
	select {
	case b.releaseQueue <- releaseRequest{id, server, attempt}:
	default:
		b.edge.Log.Warn("release not queued", "session", id, "server", server)
	}
}

func (b *boxClient) sendReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-b.releaseQueue:
			requestCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
			_, err := b.http.Do(requestCtx, r.server, "DELETE", "/sessions/"+r.id+"?attempt="+strconv.Itoa(r.attempt), nil, nil)
			cancel()
			if err != nil {
				b.edge.Log.Debug("release", "session", r.id, "server", r.server, "error", err)
			}
		}
	}
}

// SetRung needs nothing here: the listener's goroutine brings box and playlist to the rung, in order.
func (b *boxClient) SetRung(core.Attempt, int) {}

func (b *boxClient) putRung(ctx context.Context, server, id string, rung int) error {
	resp, err := b.http.Do(ctx, server, "PUT", "/sessions/"+id+"?rung="+strconv.Itoa(rung), nil, nil)
	if err != nil {
		return err
	}
	if resp.Status/100 != 2 {
		return fmt.Errorf("box answered %d", resp.Status)
	}
	return nil
}

// Probe asks a box for its health.
func (b *boxClient) Probe(server string) {
	b.edge.spawn(func() {
		ctx, cancel := context.WithTimeout(b.edge.ctx, b.edge.Site.Planner.CheckFor.D())
		defer cancel()
		resp, err := b.http.Do(ctx, server, "GET", "/health", nil, nil)
		out := control.ProbeResult{Server: server}
		if err == nil {
			out.OK, out.Load = resp.Status == 200, parseLoadReport(resp)
		}
		b.edge.orchestrator.AddEvent(out)
	})
}

// follower hears one box's event stream: notes on sessions there, and by its silence that it is lost.
type follower struct {
	sessions map[string]time.Duration // sessions there, since when
}

const (
	streamReadTimeout = 5 * time.Second // boxes send a line each second at the least
	streamRetryDelay  = 100 * time.Millisecond
	maxStreamFailures = 4
	streamIdleTimeout = 20 * time.Second // kept so long without sessions
	maxNoteLineBytes  = 4096
)

// listen makes sure that a box's events are heard.
func (b *boxClient) ensureFollowing(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.followers[server] == nil && b.edge.ctx.Err() == nil {
		f := &follower{sessions: map[string]time.Duration{}}
		b.followers[server] = f
		b.edge.spawn(func() { b.followEvents(server, f) })
	}
}

func (b *boxClient) addSession(server, id string) {
	b.ensureFollowing(server)
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.followers[server]; f != nil {
		f.sessions[id] = b.edge.now()
	}
}

func (b *boxClient) removeSession(server, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.followers[server]; f != nil {
		delete(f.sessions, id)
	}
}

// boxLine is one line of a box's event stream.
type boxEvent struct {
	Boot     string           `json:"boot"` // in the first line, with all sessions of this edge there
	Sessions []string         `json:"sessions"`
	Held     []heldSession    `json:"held"` // what an earlier instance of this edge left
	Session  string           `json:"s"`
	Kind     control.NoteKind `json:"k"`
	Value    float64          `json:"x"`
	End      bool             `json:"end"`
}

// hear follows a box until it is lost or idle. A stream that breaks is opened again a few times; what the
// box then no longer lists is lost, and all is if it does not come back.
func (b *boxClient) followEvents(server string, f *follower) {
	failures := 0
	for b.edge.ctx.Err() == nil {
		opened := b.edge.now()
		ctx, cancel := context.WithCancel(b.edge.ctx)
		b.edge.spawn(func() { b.cancelWhenIdle(ctx, cancel, f) })
		ok, err := b.http.StreamLines(ctx, server, "/events?edge="+b.edge.instanceName(), streamReadTimeout, func(line []byte) error {
			failures = 0
			return b.handleEvent(server, f, opened, line)
		})
		idle := ctx.Err() != nil && b.edge.ctx.Err() == nil
		cancel()
		if idle && b.removeIfUnused(server, f) {
			return
		}
		if !ok {
			failures++
		}
		if failures >= maxStreamFailures {
			b.edge.Log.Info("box lost", "server", server, "error", err)
			b.reportLost(server, f, func(string, time.Duration) bool { return true })
			if b.removeIfUnused(server, f) {
				return
			}
			failures = 0
		}
		select {
		case <-b.edge.ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

// endWhenIdle ends a stream after so long without sessions in a row.
func (b *boxClient) cancelWhenIdle(ctx context.Context, cancel context.CancelFunc, f *follower) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for idle := time.Duration(0); idle < streamIdleTimeout; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		b.mu.Lock()
		idle += time.Second
		if len(f.sessions) > 0 {
			idle = 0
		}
		b.mu.Unlock()
	}
	cancel()
}

// forget ends the following of a box without sessions.
func (b *boxClient) removeIfUnused(server string, f *follower) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(f.sessions) > 0 {
		return false
	}
	delete(b.followers, server)
	return true
}

func (b *boxClient) reportLost(server string, f *follower, isLost func(id string, addedAt time.Duration) bool) {
	b.mu.Lock()
	var ids []string
	for id, addedAt := range f.sessions {
		if isLost(id, addedAt) {
			ids = append(ids, id)
			delete(f.sessions, id)
		}
	}
	b.mu.Unlock()
	if len(ids) > 0 {
		b.edge.orchestrator.SessionsLost(server, ids)
	}
}

func (b *boxClient) handleEvent(server string, f *follower, opened time.Duration, raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	var event boxEvent
	if err := json.Unmarshal(raw, &event); err != nil {
		b.edge.Log.Warn("event line of a box makes no sense", "server", server, "error", err)
		return nil
	}
	switch {
	case event.Boot != "":
		running := map[string]bool{}
		for _, id := range event.Sessions {
			running[id] = true
		}
		b.reportLost(server, f, func(id string, addedAt time.Duration) bool {
			return addedAt < opened && !running[id]
		})
		for _, held := range event.Held {
			b.edge.spawn(func() { b.edge.adoptSession(server, held) })
		}
	case event.End:
		b.reportLost(server, f, func(id string, _ time.Duration) bool { return id == event.Session })
	case event.Kind >= control.NoteShare && event.Kind <= control.NoteUplink && event.Value >= 0:
		b.edge.orchestrator.AddNote(control.Note{ID: event.Session, Server: server, Kind: event.Kind, Value: event.Value})
	}
	return nil
}
