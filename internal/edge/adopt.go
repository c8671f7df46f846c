package edge

import (
	"context"
	"strings"
	"time"

	"rainpulley/control"
	"rainpulley/internal/admission"
	"rainpulley/internal/bound"
	"rainpulley/internal/hls"
	"rainpulley/internal/view"
)

// heldLine is a session that a box runs for this edge, as it lists it when the edge's stream opens.
type heldLine struct {
	ID     string `json:"id"`
	Title  string `json:"title"`
	Class  string `json:"class"`
	Viewer string `json:"viewer"`
	Rung   int    `json:"rung"`
	Best   int    `json:"best"`
	Since  int64  `json:"since_ms"` // how long it has run
}

// adoptFor is how long, after a restart with a last view, reloads of unknown sessions wait for boxes to
// tell what they run: set up anew beside its old stream, a session would be held twice.
const adoptFor = 700 * time.Millisecond

// reclaim asks all boxes of the last view for what an earlier instance of this edge left playing.
func (e *Edge) reclaim(v view.View) {
	e.reclaiming = make(chan struct{})
	for _, b := range v.Boxes {
		e.boxes.listen(b.ID)
	}
	e.goes(func() {
		select {
		case <-e.ctx.Done():
		case <-time.After(adoptFor):
		}
		close(e.reclaiming)
	})
}

// adopt takes over a session of an earlier instance, unless its viewer was quicker and has a new one.
func (e *Edge) adopt(server string, h heldLine) {
	class := e.Site.Class(h.Class)
	title, ok := e.fleet.Load().titles[h.Title]
	own := strings.HasPrefix(h.ID, e.idPrefix()) && !strings.HasPrefix(h.ID, e.idPrefix()+e.boot)
	if !own || class < 0 || !ok || !plain(h.Viewer) || h.Rung < 0 || h.Rung >= len(e.set.Ladder) || h.Since < 0 {
		e.Log.Warn("held session not taken over", "session", h.ID, "server", server, "title", h.Title, "class", h.Class)
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
	defer cancel()
	src, track, err := e.readSource(ctx, server, h)
	if err != nil {
		e.Log.Warn("held session let go: its manifest could not be read", "session", h.ID, "server", server, "error", err)
		e.boxes.Release(h.ID, server, 0)
		return
	}
	k := &e.set.Classes[class]
	best := min(max(h.Best, k.MinRung), k.MaxRung)
	s := e.table.add([]byte(h.Class+"/"+h.Title+"/"+h.Viewer), func(name string) *session {
		return &session{name: name, key: h.Viewer, class: class, title: title, best: best}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != admission.None {
		e.Log.Info("held session let go: its viewer has a new one", "session", h.ID, "server", server)
		e.boxes.Release(h.ID, server, 0)
		return
	}
	y := &try{id: h.ID, s: s, e: e, answered: make(chan struct{}), closed: make(chan struct{})}
	close(y.answered)
	now := e.now()
	s.try, s.tries, s.state, s.since, s.started = y, 1, admission.Playing, now, true
	s.origin = now - bound.Ms(h.Since)
	s.server, s.source, s.rung, s.want = server, src, h.Rung, h.Rung
	s.window.Aim("http://"+server, token(y.id), track, 0)
	s.window.Begin(track.At((now - s.origin).Seconds()))
	s.seen.Store(int64(now))
	e.boxes.hold(server, y.id)
	left := max(bound.Ms(title.Length)-bound.Ms(h.Since), 0)
	r := control.Request{ID: y.id, Class: class, Viewer: hash(s.key), Title: hash(title.Name), HomeCell: title.Home, CellSpan: title.Span,
		BestRung: best, GiveUpAt: now, ExpectedLength: left, Server: server}
	if title.Listed {
		r.Holders = title.Holders
	}
	go e.owner.Adopt(r, h.Rung, y) // the owner may wait for this session's lock
}

func (e *Edge) readSource(ctx context.Context, server string, h heldLine) (*source, *hls.Track, error) {
	base := "/t/" + h.Title + "/index.m3u8"
	p, err := e.boxes.client.Do(ctx, server, "GET", base, nil, nil)
	if err != nil {
		return nil, nil, err
	}
	src, err := newSource(base, p.Body, len(e.set.Ladder))
	if err != nil {
		return nil, nil, err
	}
	t, err := e.sources.track(ctx, server, src, h.Rung)
	return src, t, err
}
