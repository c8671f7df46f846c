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
	"rainpulley/internal/timeconv"
	"rainpulley/internal/view"
	"rainpulley/internal/viewstore"
)

const (
	plannerReadTimeout = 5 * time.Second // the planner sends a line each second at the least
	minRetryDelay      = 100 * time.Millisecond
	maxRetryDelay      = 3 * time.Second
)

// follow keeps the planner's view. Without a planner the last view stands; each try waits longer, by a
// random part, so that edges do not come back to a restarted planner together.
func (e *Edge) followPlanner(ctx context.Context) {
	for range releaseWorkers {
		e.spawn(func() { e.boxes.sendReleases(ctx) })
	}
	if e.Planner == "" {
		return
	}
	wait := minRetryDelay
	for ctx.Err() == nil {
		current := e.fleet.Load().view
		whole := true // the first line of a stream is the whole view
		_, err := e.boxes.http.StreamLines(ctx, e.Planner, "/v1/stream?edge="+strconv.Itoa(e.Position), plannerReadTimeout, func(data []byte) error {
			line, err := view.Decode(data)
			if err != nil {
				return err
			}
			next, changed, err := view.Apply(current, line)
			if err != nil {
				return err
			}
			wait = minRetryDelay
			if line.Holds != nil {
				defer e.applyHolds(line.Holds) // after the boxes that it names
			}
			if changed {
				current = next
				e.applyView(current, line, whole, false)
				whole = false
			}
			return nil
		})
		if ctx.Err() != nil {
			return
		}
		e.Log.Warn("planner not heard, the last view stands", "planner", e.Planner, "version", current.Version, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

// take makes a view the one in force and tells the module.
func (e *Edge) applyView(v view.View, line view.Update, whole, cached bool) {
	f := &fleet{view: v, titles: make(map[string]view.Title, len(v.Titles))}
	for _, t := range v.Titles {
		if t.HomeCell < e.Site.Cells && t.CellSpan <= e.Site.Cells {
			if t.Listed && t.Holders == nil {
				t.Holders = []string{} // nobody has it: nil would say that its cells do
			}
			f.titles[t.Name] = t
		}
	}
	e.fleet.Store(f)
	update := control.ListUpdate{Whole: whole || line.Full, Cached: cached}
	for _, b := range line.Boxes {
		if s, ok := e.toServer(b, line.NowMs); ok {
			update.Servers = append(update.Servers, s)
		}
	}
	e.orchestrator.AddEvent(update)
	e.Log.Info("view", "version", v.Version, "boxes", len(v.Boxes), "titles", len(v.Titles), "changed", len(line.Boxes), "cached", cached)
	if !cached {
		e.saveView(v)
	}
}

// start is when a box started by this edge's clock. The planner's may be apart by seconds, and a cold box that
// passes for an older one would be pushed over; so its age is taken, from the line that first told of that
// start, and the result kept: a line that took longer is no other start.
func (e *Edge) boxStartTime(b view.Box, now int64) time.Duration {
	if b.StartedMs <= 0 || now <= 0 {
		return timeconv.UnixMilli(b.StartedMs)
	}
	e.boxStarts.Lock()
	defer e.boxStarts.Unlock()
	if s, ok := e.boxStarts.byBox[b.ID]; ok && s.reported == b.StartedMs {
		return s.local
	}
	if e.boxStarts.byBox == nil {
		e.boxStarts.byBox = map[string]boxStart{}
	}
	local := max(e.now()-timeconv.Milliseconds(now-b.StartedMs), 1)
	e.boxStarts.byBox[b.ID] = boxStart{b.StartedMs, local}
	return local
}

func (e *Edge) toServer(b view.Box, now int64) (control.Server, bool) {
	s := control.Server{ID: b.ID, Zone: e.Site.Zone(b.Zone), Kind: e.Site.Kind(b.Kind), Cell: b.Cell, Weight: b.Weight,
		Started: e.boxStartTime(b, now)}
	switch b.State {
	case view.StateReady:
		s.State = control.Ready
	case view.StateDraining:
		s.State = control.Draining
	case view.StateGone:
		s.State = control.Gone
	}
	if s.Zone < 0 || s.Kind < 0 || b.Cell >= e.Site.Cells {
		e.Log.Warn("listed box does not fit the site", "server", b.ID, "zone", b.Zone, "kind", b.Kind, "cell", b.Cell)
		return s, false
	}
	return s, true
}

// Subscribe is answered by the stream, which is always followed: the module gets the whole list.
func (b *boxClient) Subscribe() { b.ReadList() }

// ReadList reads the whole list once.
func (b *boxClient) ReadList() {
	b.edge.spawn(func() {
		ctx, cancel := context.WithTimeout(b.edge.ctx, 2*time.Second)
		defer cancel()
		line, err := b.readView(ctx)
		if err != nil {
			b.edge.Log.Warn("list not read", "error", err)
			b.edge.orchestrator.AddEvent(control.ListUpdate{Failed: true})
			return
		}
		update := control.ListUpdate{Whole: true}
		for _, x := range line.Boxes {
			if s, ok := b.edge.toServer(x, line.NowMs); ok {
				update.Servers = append(update.Servers, s)
			}
		}
		b.edge.orchestrator.AddEvent(update)
	})
}

func (b *boxClient) readView(ctx context.Context) (view.Update, error) {
	if b.edge.Planner == "" {
		return view.Update{}, errors.New("no planner")
	}
	resp, err := b.http.Do(ctx, b.edge.Planner, "GET", "/v1/view", nil, nil)
	if err != nil {
		return view.Update{}, err
	}
	if resp.Status != 200 {
		return view.Update{}, fmt.Errorf("planner answered %d", resp.Status)
	}
	return view.Decode(resp.Body)
}

func (e *Edge) viewPath() string {
	return filepath.Join(e.StateDir, "view-"+strconv.Itoa(e.Position)+".json")
}

// keepLast makes a view the last one on disk.
func (e *Edge) saveView(v view.View) {
	if e.StateDir == "" {
		return
	}
	b, err := json.Marshal(view.Update{Version: v.Version, Full: true, Boxes: v.Boxes, Titles: v.Titles})
	if err == nil {
		err = viewstore.Open(e.viewPath()).Write(b, time.Now())
	}
	if err != nil {
		e.Log.Error("last view not kept", "file", e.viewPath(), "error", err)
	}
}

// loadLast starts from the last view. One that is torn or foreign is passed over for the one before; where
// none is whole, the edge starts empty.
func (e *Edge) loadSavedView() {
	if e.StateDir == "" {
		return
	}
	saved, err := viewstore.Open(e.viewPath()).Read()
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		e.Log.Error("last view not used", "file", e.viewPath(), "error", err)
	}
	if saved == nil {
		return
	}
	line, err := view.Decode(saved.Body)
	if err == nil && !line.Full {
		err = errors.New("not a whole view")
	}
	if err != nil {
		e.Log.Error("last view not used", "file", saved.Path, "error", err)
		return
	}
	e.Log.Info("started from the last view", "file", saved.Path, "version", line.Version, "age", time.Since(saved.WrittenAt).Round(time.Millisecond))
	v := view.View{Version: line.Version, Boxes: line.Boxes, Titles: line.Titles}
	e.applyView(v, line, true, true)
	e.reclaimSessions(v)
}

// openPeers opens the port for other edges' messages.
func (e *Edge) openPeers() error {
	if !e.settings.AllowPeerMessages {
		return nil
	}
	for _, o := range e.Site.Edges {
		a, err := net.ResolveUDPAddr("udp", o.Peer)
		if err != nil {
			return fmt.Errorf("edge: peer %q: %w", o.Peer, err)
		}
		e.peerAddrs = append(e.peerAddrs, a)
	}
	if e.PeerConn != nil {
		return nil
	}
	var err error
	if e.PeerConn, err = net.ListenPacket("udp", e.Site.Edges[e.Position].Peer); err != nil {
		return fmt.Errorf("edge: peers: %w", err)
	}
	return nil
}

// Datagrams of edges: a mark with the version, then the module's text. The sender is known by its address.
const (
	peerPrefix     = "rpl1 "
	maxPeerMessage = 1400
)

// Tell sends a message to another edge; it may be lost.
func (b *boxClient) Tell(to int, data string) {
	e := b.edge
	if e.PeerConn == nil || to < 0 || to >= len(e.peerAddrs) || len(data) > maxPeerMessage {
		return
	}
	if _, err := e.PeerConn.WriteTo([]byte(peerPrefix+data), e.peerAddrs[to]); err != nil {
		e.Log.Debug("message not sent", "to", to, "error", err)
	}
}

// hearPeers takes messages of the edges that the site names; noise is dropped.
func (e *Edge) receivePeerMessages(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.PeerConn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buf := make([]byte, maxPeerMessage+len(peerPrefix)+1)
	for ctx.Err() == nil {
		n, from, err := e.PeerConn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			continue
		}
		text := string(buf[:n])
		sender := -1
		for i, a := range e.peerAddrs {
			if i != e.Position && a.String() == from.String() {
				sender = i
			}
		}
		if sender < 0 || n == len(buf) || len(text) < len(peerPrefix) || text[:len(peerPrefix)] != peerPrefix {
			e.Log.Debug("datagram dropped", "from", from.String(), "bytes", n)
			continue
		}
		e.orchestrator.AddEvent(control.PeerMessage{From: sender, Data: text[len(peerPrefix):]})
	}
}
