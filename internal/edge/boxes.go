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
	"rainpulley/internal/descriptors"
	"rainpulley/internal/hls"
	"rainpulley/internal/http1"
	"rainpulley/internal/view"
)

// boxClient is the core.Executor of an edge: it sends the module's actions to boxes over HTTP, and reads the
// notes in their event streams.
type boxClient struct {
	edge         *Edge
	http         *http1.Client // calls
	streams      *http1.Client // event streams
	releaseQueue chan releaseRequest

	mu              sync.Mutex
	followers       map[string]*follower    // by server
	outcomes        map[string]view.Outcome // counts of set-ups, by server
	outcomesChanged bool                    // since the last call of takeOutcomes
}

// releaseRequest asks a box to end a session that was set up by the given attempt.
type releaseRequest struct {
	id, server string
	attempt    int
}

// setUpResult is what a successful set-up returned.
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
	b := &boxClient{edge: e, followers: map[string]*follower{}, outcomes: map[string]view.Outcome{},
		releaseQueue: make(chan releaseRequest, releaseQueueSize)}
	dialer := &descriptors.Dialer{Budget: e.descriptors, Timeout: e.Site.Attempts.ConnectTimeout.Std()}
	b.http = &http1.Client{Limits: http1.DefaultLimits(), Dial: dialer.Call}
	b.streams = &http1.Client{Limits: http1.DefaultLimits(), Dial: dialer.Stream}
	return b
}

// SetUp asks a box to start a session: POST /sessions/<id>. Its outcome separates failures that prove that the
// session never ran (no connection, or 503 with a Rainpulley-Reason field) from all others, after which it may
// run.
func (b *boxClient) SetUp(ctx context.Context, a core.Attempt) core.Result {
	r := b.sendSetUp(ctx, a)
	b.countOutcome(ctx, a.Server, r.Outcome)
	return r
}

// countOutcome counts the outcome of a set-up for the report to the planner, so that failing set-ups can
// overrule a health check that passes. A refusal for lack of capacity, a cancelled set-up and one that this machine
// could not send do not count.
func (b *boxClient) countOutcome(ctx context.Context, server string, outcome control.Outcome) {
	served := outcome == control.Served
	if outcome == control.Full || outcome == control.NotSent || !served && errors.Is(ctx.Err(), context.Canceled) {
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

// takeOutcomes returns all counts, or nil if none changed since the last call.
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

// sendSetUp sends the set-up and reads the manifest and the playlist of the session's rung.
func (b *boxClient) sendSetUp(ctx context.Context, a core.Attempt) core.Result {
	b.ensureFollowing(a.Server)
	title, viewer, maxRung := "", "", 0
	if p, ok := a.Listener.(*placementRequest); ok {
		title, viewer, maxRung = p.title, p.session.viewerKey, p.maxRung
	}
	query := url.Values{"title": {title}, "class": {b.edge.Site.Classes[a.Class].Name}, "rung": {strconv.Itoa(a.Rung)},
		"attempt": {strconv.Itoa(a.Number)}, "edge": {b.edge.instanceName()}, "viewer": {viewer},
		"best": {strconv.Itoa(maxRung)}}
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
		b.edge.Log.Warn("set-up returned no usable manifest or playlist", "session", a.ID, "server", a.Server, "error", err)
		return core.Result{Outcome: classifyErrorAfterStart(ctx, err), Load: load}
	}
	return core.Result{Outcome: control.Served, Load: load, Payload: out}
}

// classifySetUpError returns the outcome of a set-up that got no response.
func classifySetUpError(ctx context.Context, err error) control.Outcome {
	var e *http1.Error
	switch {
	case errors.Is(err, http1.ErrNotSent) && descriptors.IsLocal(err):
		return control.NotSent
	case errors.Is(err, http1.ErrNotSent):
		return control.ConnectFailed
	case ctx.Err() != nil:
		return control.Reset // core replaces it by the reason why the attempt was cancelled
	case errors.As(err, &e):
		return control.Failed
	}
	return control.Reset
}

// classifyErrorAfterStart returns the outcome of an error after the box confirmed that the session runs. It is
// never ConnectFailed or NotSent, which would say that the session did not start.
func classifyErrorAfterStart(ctx context.Context, err error) control.Outcome {
	outcome := classifySetUpError(ctx, err)
	if outcome == control.ConnectFailed || outcome == control.NotSent {
		return control.Reset
	}
	return outcome
}

// parseLoadReport returns the load that a box reports in its response, or nil if it reports none.
func parseLoadReport(resp *http1.Response) *control.LoadReport {
	l := cmsd.Parse(resp.Get("cmsd-dynamic"))
	if l == nil {
		return nil
	}
	return &control.LoadReport{Streams: l.Streams, Link: l.LinkUtilization, Uplink: l.UplinkUtilization}
}

// instanceName returns the name under which boxes know this instance of the edge.
func (e *Edge) instanceName() string { return strconv.Itoa(e.Position) + "." + e.instanceID }

// Release queues a message to a box that a session is over, so that the orchestrator does not wait. When the
// queue is full the message is dropped; the box then ends the session once the event stream of the edge is closed.
func (b *boxClient) Release(id, server string, attempt int) {
	select {
	case b.releaseQueue <- releaseRequest{id, server, attempt}:
	default:
		b.edge.Log.Warn("release queue is full; release dropped", "session", id, "server", server)
	}
}

// sendReleases sends queued releases until ctx ends. Several workers run it.
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
				b.edge.Log.Debug("release failed", "session", r.id, "server", r.server, "error", err)
			}
		}
	}
}

// SetRung does nothing: placementRequest.Rung starts the goroutine that sets the rung at the box and in the
// playlist, in order.
func (b *boxClient) SetRung(core.Attempt, int) {}

func (b *boxClient) putRung(ctx context.Context, server, id string, rung int) error {
	resp, err := b.http.Do(ctx, server, "PUT", "/sessions/"+id+"?rung="+strconv.Itoa(rung), nil, nil)
	if err != nil {
		return err
	}
	if resp.Status/100 != 2 {
		return fmt.Errorf("box answered with status %d", resp.Status)
	}
	return nil
}

// Probe checks the health of a box in the background and reports the result to the orchestrator.
func (b *boxClient) Probe(server string) {
	b.edge.spawn(func() {
		ctx, cancel := context.WithTimeout(b.edge.ctx, b.edge.Site.Planner.CheckFor.Std())
		defer cancel()
		resp, err := b.http.Do(ctx, server, "GET", "/health", nil, nil)
		out := control.ProbeResult{Server: server}
		if err == nil {
			out.OK, out.Load = resp.Status == 200, parseLoadReport(resp)
		}
		b.edge.orchestrator.AddEvent(out)
	})
}

// follower reads the event stream of one box, which carries notes about sessions there. A box whose stream
// cannot be read counts as lost.
type follower struct {
	sessions map[string]time.Duration // sessions at the box by ID, with the time when each was added
}

const (
	streamReadTimeout = 5 * time.Second // boxes send at least one line per second
	streamRetryDelay  = 100 * time.Millisecond
	maxStreamFailures = 4
	streamIdleTimeout = 20 * time.Second // a stream without sessions is closed after this time
)

// ensureFollowing starts to follow the event stream of a box unless it is followed already.
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

// boxEvent is one line of the event stream of a box.
type boxEvent struct {
	Boot     string           `json:"boot"` // only in the first line, with Sessions: all of this edge at the box
	Sessions []string         `json:"sessions"`
	Held     []heldSession    `json:"held"` // sessions left by an earlier instance of this edge
	Session  string           `json:"s"`
	Kind     control.NoteKind `json:"k"`
	Value    float64          `json:"x"`
	End      bool             `json:"end"`
}

// followEvents reads the event stream of a box until the box is lost or the stream is idle. A broken stream is
// reopened; sessions that the box no longer lists are then lost. After maxStreamFailures failures in a row all
// sessions at the box are lost.
func (b *boxClient) followEvents(server string, f *follower) {
	failures := 0
	for b.edge.ctx.Err() == nil {
		opened := b.edge.now()
		ctx, cancel := context.WithCancel(b.edge.ctx)
		b.edge.spawn(func() { b.cancelWhenIdle(ctx, cancel, f) })
		ok, err := b.streams.StreamLines(ctx, server, "/events?edge="+b.edge.instanceName(), streamReadTimeout,
			func(line []byte) error {
				failures = 0
				return b.handleEvent(server, f, opened, line)
			})
		idle := ctx.Err() != nil && b.edge.ctx.Err() == nil
		cancel()
		if idle && b.removeIfUnused(server, f) {
			return
		}
		if !ok && !descriptors.IsLocal(err) {
			failures++
		}
		if failures >= maxStreamFailures {
			b.edge.Log.Info("box lost: its event stream cannot be read", "server", server, "error", err)
			b.reportLost(server, f, func(string, time.Duration) bool { return true })
			b.edge.adoption.reported(server)
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

// cancelWhenIdle cancels a stream once the edge has had no sessions at the box for streamIdleTimeout.
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

// removeIfUnused removes the follower of a box that has no sessions, and reports whether it did.
func (b *boxClient) removeIfUnused(server string, f *follower) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(f.sessions) > 0 {
		return false
	}
	delete(b.followers, server)
	return true
}

// reportLost removes the sessions at a box for which isLost returns true, and reports them to the orchestrator.
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

// handleEvent handles one line of the event stream that was opened at the given time.
func (b *boxClient) handleEvent(server string, f *follower, opened time.Duration, raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	var event boxEvent
	if err := json.Unmarshal(raw, &event); err != nil {
		b.edge.Log.Warn("malformed line in the event stream of a box", "server", server, "error", err)
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
		b.edge.spawn(func() { b.edge.adoptSessions(server, event.Held) })
	case event.End:
		b.reportLost(server, f, func(id string, _ time.Duration) bool { return id == event.Session })
	case event.Kind >= control.NoteShare && event.Kind <= control.NoteUplink && event.Value >= 0:
		b.edge.orchestrator.AddNote(control.Note{ID: event.Session, Server: server, Kind: event.Kind, Value: event.Value})
	}
	return nil
}
