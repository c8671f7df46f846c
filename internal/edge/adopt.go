package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/admission"
	"rainpulley/internal/hls"
	"rainpulley/internal/http1"
	"rainpulley/internal/timeconv"
	"rainpulley/internal/view"
)

// heldSession is a session that a box runs for an earlier instance of this edge. The box lists it when the edge
// opens its event stream.
type heldSession struct {
	ID     string `json:"id"`
	Title  string `json:"title"`
	Class  string `json:"class"`
	Viewer string `json:"viewer"`
	Rung   int    `json:"rung"`
	Best   int    `json:"best"`
	Since  int64  `json:"since_ms"` // time since the session started
}

// reclaimWait is how long, after a restart with a saved view, reloads of unknown sessions wait until boxes have
// listed what they run. A session that is set up again while its old stream runs would occupy capacity twice.
const reclaimWait = 700 * time.Millisecond

const (
	// boxReleaseTime is how long a box keeps the sessions of an edge whose event stream is gone. A box that has not reported
	// within that time and adoptionMargin has released them.
	boxReleaseTime = 2 * time.Second
	adoptionMargin = 500 * time.Millisecond

	// seatsWait is how long a set-up waits for the seats to be known, before its viewer is asked to come again. It is short,
	// since a request counts for the attempt budget when it is submitted.
	seatsWait = 100 * time.Millisecond
)

// expireAdoption stops waiting for boxes once those that have not reported have released what they ran.
func (e *Edge) expireAdoption() {
	select {
	case <-e.ctx.Done():
	case <-time.After(boxReleaseTime + adoptionMargin):
		e.adoption.expire()
	}
}

// boxesToReclaim returns the boxes whose event streams list the sessions that an earlier instance of this edge left
// playing: those of the saved view, and those of the planner's first view if a class has seats.
func (e *Edge) boxesToReclaim(v view.View, cached bool) (ids []string) {
	first := !cached && !e.plannerViewSeen
	e.plannerViewSeen = e.plannerViewSeen || !cached
	if !cached && (!first || !e.hasSeats()) {
		return nil
	}
	for _, b := range v.Boxes {
		if e.adoption.expect(b.ID) {
			ids = append(ids, b.ID)
		}
	}
	if len(ids) > 0 {
		e.spawn(e.expireAdoption)
	}
	return ids
}

// hasSeats reports whether a class has seats.
func (e *Edge) hasSeats() bool {
	return slices.ContainsFunc(e.settings.Classes, func(c control.Class) bool { return c.Seats > 0 })
}

// seatsKnown reports whether it is known which seats of a class the sessions of an earlier instance take.
func (e *Edge) seatsKnown(class int) bool {
	return e.settings.Classes[class].Seats == 0 || e.adoption.pendingCount() == 0
}

// awaitSeats waits for seatsWait until it is known which seats are taken. It returns false if that is not known by then or
// by the deadline, or if the viewer disconnects before.
func (e *Edge) awaitSeats(x *http1.Exchange, deadline time.Duration) bool {
	disconnected, stop := x.WatchDisconnect()
	defer stop()
	select {
	case <-e.adoption.complete():
		return true
	case <-disconnected:
	case <-time.After(min(seatsWait, deadline-e.now())):
	}
	return false
}

// adoptSessions takes over the sessions that a box listed, and then records that the box has reported.
func (e *Edge) adoptSessions(server string, held []heldSession) {
	var work sync.WaitGroup
	for _, h := range held {
		work.Go(func() { e.adoptSession(server, h) })
	}
	work.Wait()
	e.orchestrator.Inspect(func() { e.adoption.reported(server) }) // behind the adopted sessions in the module's queue
}

// adoptSession takes over a session of an earlier instance of this edge. The session is released instead if its
// viewer has a new one already or if its manifest cannot be read. One that does not fit the site is ignored; that its
// title is not known at the moment is no reason, since it takes a seat and room all the same.
func (e *Edge) adoptSession(server string, held heldSession) {
	class := e.Site.ClassIndex(held.Class)
	title, known := e.fleet.Load().titles[held.Title]
	if !known {
		title = view.Title{Name: held.Title, Listed: true, Holders: []string{server}}
	}
	fromEarlierInstance := strings.HasPrefix(held.ID, e.requestIDPrefix()) &&
		!strings.HasPrefix(held.ID, e.requestIDPrefix()+e.instanceID)
	if !fromEarlierInstance || class < 0 || !isURLSafe(held.Title) || !isURLSafe(held.Viewer) || held.Rung < 0 ||
		held.Rung >= len(e.settings.Ladder) || held.Since < 0 {
		e.Log.Warn("session of an earlier instance not adopted", "session", held.ID, "server", server,
			"title", held.Title, "class", held.Class)
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
	defer cancel()
	m, track, err := e.readManifest(ctx, server, held)
	if err != nil {
		e.Log.Warn("session of an earlier instance released: its manifest could not be read",
			"session", held.ID, "server", server, "error", err)
		e.boxes.Release(held.ID, server, 0)
		return
	}
	limits := &e.settings.Classes[class]
	maxRung := min(max(held.Best, limits.MinRung), limits.MaxRung)
	s := e.sessions.getOrAdd([]byte(held.Class+"/"+held.Title+"/"+held.Viewer), func(name string) *session {
		return &session{name: name, viewerKey: held.Viewer, class: class, title: title, maxRung: maxRung}
	})
	p, adopted := e.resumeSession(s, server, held, m, track)
	if !adopted {
		e.Log.Info("session of an earlier instance released: its viewer has a new one", "session", held.ID, "server", server)
		e.boxes.Release(held.ID, server, 0)
		return
	}
	remaining := max(timeconv.Milliseconds(title.LengthMs)-timeconv.Milliseconds(held.Since), 0)
	r := control.Request{ID: p.id, Class: class, Viewer: hash(s.viewerKey), Title: hash(title.Name),
		HomeCell: title.HomeCell, CellSpan: title.CellSpan, BestRung: maxRung, GiveUpAt: e.now(), ExpectedLength: remaining,
		Server: server}
	if title.Listed {
		r.Holders = title.Holders
	}
	e.orchestrator.Adopt(r, held.Rung, p)
}

// resumeSession makes a session play that a box runs. It returns false if the session has a request of its own already.
func (e *Edge) resumeSession(s *session, server string, held heldSession, m *manifest, track *hls.Track) (
	*placementRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != admission.None {
		return nil, false
	}
	p := &placementRequest{id: held.ID, session: s, edge: e, answered: make(chan struct{}), closed: make(chan struct{})}
	close(p.answered)
	now := e.now()
	s.request, s.requestCount, s.state, s.stateSince, s.hasPlayed = p, 1, admission.Playing, now, true
	s.contentStart = now - timeconv.Milliseconds(held.Since)
	s.server, s.manifest, s.publishedRung, s.wantedRung = server, m, held.Rung, held.Rung
	s.window.SetSource("http://"+server, sessionQuery(p.id), track, 0)
	s.window.StartAt(track.SegmentAt((now - s.contentStart).Seconds()))
	s.lastSeenAt.Store(int64(now))
	e.boxes.addSession(server, p.id)
	return p, true
}

// readManifest reads the manifest of a held session, and the playlist of its rung, from the box.
func (e *Edge) readManifest(ctx context.Context, server string, held heldSession) (*manifest, *hls.Track, error) {
	path := "/t/" + held.Title + "/index.m3u8"
	resp, err := e.boxes.http.Do(ctx, server, "GET", path, nil, nil)
	if err != nil {
		return nil, nil, err
	}
	m, err := parseManifest(path, resp.Body, len(e.settings.Ladder))
	if err != nil {
		return nil, nil, err
	}
	t, err := e.playlists.rungTrack(ctx, server, m, held.Rung)
	return m, t, err
}
