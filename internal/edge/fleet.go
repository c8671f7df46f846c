package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// applyView makes v the current view and sends the boxes of line to the module. whole marks the boxes as the
// complete list; cached means that v was read from disk.
func (e *Edge) applyView(v view.View, line view.Update, whole, cached bool) {
	f := &fleet{view: v, titles: make(map[string]view.Title, len(v.Titles))}
	for _, t := range v.Titles {
		if t.HomeCell < e.Site.Cells && t.CellSpan <= e.Site.Cells {
			if t.Listed && t.Holders == nil {
				t.Holders = []string{} // no holder: nil would mean that all boxes of its cells hold the title
			}
			f.titles[t.Name] = t
		}
	}
	e.fleet.Store(f)
	boxes := e.boxesToReclaim(v, cached) // before the module may place sessions on them
	update := control.ListUpdate{Whole: whole || line.Full, Cached: cached}
	for _, b := range line.Boxes {
		if s, ok := e.toServer(b, line.NowMs); ok {
			update.Servers = append(update.Servers, s)
		}
	}
	e.orchestrator.AddEvent(update)
	for _, id := range boxes {
		e.boxes.ensureFollowing(id)
	}
	e.Log.Info("view applied", "version", v.Version, "boxes", len(v.Boxes), "titles", len(v.Titles),
		"changed", len(line.Boxes), "cached", cached)
	if !cached {
		e.saveView(v)
	}
}

// boxStartTime returns when a box started, by the clock of this edge. The clock of the planner may differ by
// seconds, and a cold box that is taken for an older one would be overloaded. The start is therefore computed from
// the age of the box in the first line that reports the start, and then kept: a later line that was delayed
// longer must not change it.
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

// toServer converts a box of the view to a server of the module. It returns false if the zone, kind or cell of the box
// is not in the site file.
func (e *Edge) toServer(b view.Box, now int64) (control.Server, bool) {
	s := control.Server{ID: b.ID, Zone: e.Site.ZoneIndex(b.Zone), Kind: e.Site.KindIndex(b.Kind), Cell: b.Cell,
		Weight: b.Weight, Started: e.boxStartTime(b, now)}
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

// Subscribe reads the whole list once. Updates arrive without a subscription, because the stream of the planner is
// always followed.
func (b *boxClient) Subscribe() { b.ReadList() }

// ReadList reads the whole list of boxes from the planner once, in the background, and sends it to the module.
func (b *boxClient) ReadList() {
	b.edge.spawn(func() {
		ctx, cancel := context.WithTimeout(b.edge.ctx, 2*time.Second)
		defer cancel()
		line, err := b.readView(ctx)
		if err != nil {
			b.edge.Log.Warn("could not read the server list", "error", err)
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

// readView reads the whole view from the planner.
func (b *boxClient) readView(ctx context.Context) (view.Update, error) {
	if b.edge.Planner == "" {
		return view.Update{}, errors.New("no planner configured")
	}
	resp, err := b.http.Do(ctx, b.edge.Planner, "GET", "/v1/view", nil, nil)
	if err != nil {
		return view.Update{}, err
	}
	if resp.Status != 200 {
		return view.Update{}, fmt.Errorf("planner answered with status %d", resp.Status)
	}
	return view.Decode(resp.Body)
}

// viewPath returns the file of the saved view.
func (e *Edge) viewPath() string {
	return filepath.Join(e.StateDir, "view-"+strconv.Itoa(e.Position)+".json")
}

// saveView writes a view to disk for the next start.
func (e *Edge) saveView(v view.View) {
	if e.StateDir == "" {
		return
	}
	b, err := json.Marshal(view.Update{Version: v.Version, Full: true, Boxes: v.Boxes, Titles: v.Titles})
	if err == nil {
		err = viewstore.Open(e.viewPath()).Write(b, time.Now())
	}
	if err != nil {
		e.Log.Error("could not save the view", "file", e.viewPath(), "error", err)
	}
}

// loadSavedView applies the saved view. If its file is truncated or of another format, the previous one is used;
// without a usable file the edge starts with an empty view.
func (e *Edge) loadSavedView() {
	if e.StateDir == "" {
		return
	}
	saved, err := viewstore.Open(e.viewPath()).Read()
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		e.Log.Error("saved view not used", "file", e.viewPath(), "error", err)
	}
	if saved == nil {
		return
	}
	line, err := view.Decode(saved.Body)
	if err == nil && !line.Full {
		err = errors.New("the saved view is not complete")
	}
	if err != nil {
		e.Log.Error("saved view not used", "file", saved.Path, "error", err)
		return
	}
	e.Log.Info("started from the saved view", "file", saved.Path, "version", line.Version,
		"age", time.Since(saved.WrittenAt).Round(time.Millisecond))
	v := view.View{Version: line.Version, Boxes: line.Boxes, Titles: line.Titles}
	e.applyView(v, line, true, true)
}

// openPeers resolves the addresses of all edges and opens the UDP port for their messages, if the site allows
// peer messages.
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
		return fmt.Errorf("edge: listen for peer messages: %w", err)
	}
	return nil
}

// Datagrams between edges are a prefix with the version of the format, followed by the message of the module. The
// sender is identified by its source address.
const (
	peerPrefix     = "rpl1 "
	maxPeerMessage = 1400
)

// Tell sends a message of the module to another edge by UDP, so it may be lost.
func (b *boxClient) SendToPeer(to int, data string) {
	e := b.edge
	if e.PeerConn == nil || to < 0 || to >= len(e.peerAddrs) || len(data) > maxPeerMessage {
		return
	}
	if _, err := e.PeerConn.WriteTo([]byte(peerPrefix+data), e.peerAddrs[to]); err != nil {
		e.Log.Debug("message not sent", "to", to, "error", err)
	}
}

// receivePeerMessages receives messages from the edges listed in the site file and drops all other datagrams.
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
