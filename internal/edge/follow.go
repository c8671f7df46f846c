package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"rainpulley/control"
	"rainpulley/internal/bound"
	"rainpulley/internal/view"
	"rainpulley/internal/viewstore"
)

const (
	plannerQuiet = 5 * time.Second // the planner sends a line each second at the least
	retryFirst   = 100 * time.Millisecond
	retryMost    = 3 * time.Second
)

// follow keeps the planner's view. Without a planner the last view stands; each try waits longer, by a
// random part, so that edges do not come back to a restarted planner together.
func (e *Edge) follow(ctx context.Context) {
	for range releasers {
		e.goes(func() { e.boxes.releaseAll(ctx) })
	}
	if e.Planner == "" {
		return
	}
	wait := retryFirst
	for ctx.Err() == nil {
		v := e.fleet.Load().view
		whole := true // the first line of a stream is the whole view
		_, err := e.boxes.client.Lines(ctx, e.Planner, "/v1/stream?edge="+strconv.Itoa(e.Position), plannerQuiet, func(raw []byte) error {
			l, err := view.Decode(raw)
			if err != nil {
				return err
			}
			next, changed, err := view.Apply(v, l)
			if err != nil {
				return err
			}
			wait = retryFirst
			if l.Holds != nil {
				defer e.hold(l.Holds) // after the boxes that it names
			}
			if changed {
				v = next
				e.take(v, l, whole, false)
				whole = false
			}
			return nil
		})
		if ctx.Err() != nil {
			return
		}
		e.Log.Warn("planner not heard, the last view stands", "planner", e.Planner, "version", v.Version, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, retryMost)
	}
}

// take makes a view the one in force and tells the module.
func (e *Edge) take(v view.View, l view.Line, whole, cached bool) {
	f := &fleet{view: v, titles: make(map[string]view.Title, len(v.Titles))}
	for _, t := range v.Titles {
		if t.Home < e.Site.Cells && t.Span <= e.Site.Cells {
			if t.Listed && t.Holders == nil {
				t.Holders = []string{} // nobody has it: nil would say that its cells do
			}
			f.titles[t.Name] = t
		}
	}
	e.fleet.Store(f)
	u := control.ListUpdate{Whole: whole || l.Whole, Cached: cached}
	for _, b := range l.Boxes {
		if s, ok := e.server(b, l.Now); ok {
			u.Servers = append(u.Servers, s)
		}
	}
	e.owner.AddEvent(u)
	e.Log.Info("view", "version", v.Version, "boxes", len(v.Boxes), "titles", len(v.Titles), "changed", len(l.Boxes), "cached", cached)
	if !cached {
		e.keepLast(v)
	}
}

// start is when a box started by this edge's clock. The planner's may be apart by seconds, and a cold box that
// passes for an older one would be pushed over; so its age is taken, from the line that first told of that
// start, and the result kept: a line that took longer is no other start.
func (e *Edge) start(b view.Box, now int64) time.Duration {
	if b.Started <= 0 || now <= 0 {
		return bound.Moment(b.Started)
	}
	e.starts.Lock()
	defer e.starts.Unlock()
	if s, ok := e.starts.of[b.ID]; ok && s.told == b.Started {
		return s.own
	}
	if e.starts.of == nil {
		e.starts.of = map[string]boxStart{}
	}
	own := max(e.now()-bound.Ms(now-b.Started), 1)
	e.starts.of[b.ID] = boxStart{b.Started, own}
	return own
}

func (e *Edge) server(b view.Box, now int64) (control.Server, bool) {
	s := control.Server{ID: b.ID, Zone: e.Site.Zone(b.Zone), Kind: e.Site.Kind(b.Kind), Cell: b.Cell, Weight: b.Weight,
		Started: e.start(b, now)}
	switch b.State {
	case view.Ready:
		s.State = control.Ready
	case view.Draining:
		s.State = control.Draining
	case view.Gone:
		s.State = control.Gone
	}
	if s.Zone < 0 || s.Kind < 0 || b.Cell >= e.Site.Cells {
		e.Log.Warn("listed box does not fit the site", "server", b.ID, "zone", b.Zone, "kind", b.Kind, "cell", b.Cell)
		return s, false
	}
	return s, true
}

// Subscribe is answered by the stream, which is always followed: the module gets the whole list.
func (b *boxes) Subscribe() { b.ReadList() }

// ReadList reads the whole list once.
func (b *boxes) ReadList() {
	b.e.goes(func() {
		ctx, cancel := context.WithTimeout(b.e.ctx, 2*time.Second)
		defer cancel()
		l, err := b.readView(ctx)
		if err != nil {
			b.e.Log.Warn("list not read", "error", err)
			b.e.owner.AddEvent(control.ListUpdate{Failed: true})
			return
		}
		u := control.ListUpdate{Whole: true}
		for _, x := range l.Boxes {
			if s, ok := b.e.server(x, l.Now); ok {
				u.Servers = append(u.Servers, s)
			}
		}
		b.e.owner.AddEvent(u)
	})
}

func (b *boxes) readView(ctx context.Context) (view.Line, error) {
	if b.e.Planner == "" {
		return view.Line{}, errors.New("no planner")
	}
	p, err := b.client.Do(ctx, b.e.Planner, "GET", "/v1/view", nil, nil)
	if err != nil {
		return view.Line{}, err
	}
	if p.Status != 200 {
		return view.Line{}, fmt.Errorf("planner answered %d", p.Status)
	}
	return view.Decode(p.Body)
}

func (e *Edge) lastPath() string {
	return filepath.Join(e.State, "view-"+strconv.Itoa(e.Position)+".json")
}

// keepLast makes a view the last one on disk.
func (e *Edge) keepLast(v view.View) {
	if e.State == "" {
		return
	}
	b, err := json.Marshal(view.Line{Version: v.Version, Whole: true, Boxes: v.Boxes, Titles: v.Titles})
	if err == nil {
		err = viewstore.Open(e.lastPath()).Write(b, time.Now())
	}
	if err != nil {
		e.Log.Error("last view not kept", "file", e.lastPath(), "error", err)
	}
}

// loadLast starts from the last view. One that is torn or foreign is passed over for the one before; where
// none is whole, the edge starts empty.
func (e *Edge) loadLast() {
	if e.State == "" {
		return
	}
	last, err := viewstore.Open(e.lastPath()).Read()
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		e.Log.Error("last view not used", "file", e.lastPath(), "error", err)
	}
	if last == nil {
		return
	}
	l, err := view.Decode(last.Body)
	if err == nil && !l.Whole {
		err = errors.New("not a whole view")
	}
	if err != nil {
		e.Log.Error("last view not used", "file", last.Path, "error", err)
		return
	}
	e.Log.Info("started from the last view", "file", last.Path, "version", l.Version, "age", time.Since(last.WrittenAt).Round(time.Millisecond))
	v := view.View{Version: l.Version, Boxes: l.Boxes, Titles: l.Titles}
	e.take(v, l, true, true)
	e.reclaim(v)
}

// openPeers opens the port for other edges' messages.
func (e *Edge) openPeers() error {
	if !e.set.AllowPeerMessages {
		return nil
	}
	for _, o := range e.Site.Edges {
		a, err := net.ResolveUDPAddr("udp", o.Peer)
		if err != nil {
			return fmt.Errorf("edge: peer %q: %w", o.Peer, err)
		}
		e.peers = append(e.peers, a)
	}
	if e.Peer != nil {
		return nil
	}
	var err error
	if e.Peer, err = net.ListenPacket("udp", e.Site.Edges[e.Position].Peer); err != nil {
		return fmt.Errorf("edge: peers: %w", err)
	}
	return nil
}

// Datagrams of edges: a mark with the version, then the module's text. The sender is known by its address.
const (
	peerMark = "rpl1 "
	peerMost = 1400
)

// Tell sends a message to another edge; it may be lost.
func (b *boxes) Tell(to int, data string) {
	e := b.e
	if e.Peer == nil || to < 0 || to >= len(e.peers) || len(data) > peerMost {
		return
	}
	if _, err := e.Peer.WriteTo([]byte(peerMark+data), e.peers[to]); err != nil {
		e.Log.Debug("message not sent", "to", to, "error", err)
	}
}

// hearPeers takes messages of the edges that the site names; noise is dropped.
func (e *Edge) hearPeers(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.Peer.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buf := make([]byte, peerMost+len(peerMark)+1)
	for ctx.Err() == nil {
		n, from, err := e.Peer.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			continue
		}
		text := string(buf[:n])
		who := -1
		for i, a := range e.peers {
			if i != e.Position && a.String() == from.String() {
				who = i
			}
		}
		if who < 0 || n == len(buf) || len(text) < len(peerMark) || text[:len(peerMark)] != peerMark {
			e.Log.Debug("datagram dropped", "from", from.String(), "bytes", n)
			continue
		}
		e.owner.AddEvent(control.PeerMessage{From: who, Data: text[len(peerMark):]})
	}
}
