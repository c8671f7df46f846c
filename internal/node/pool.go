package node

import (
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/delivery"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/liveness"
)

// pool carries the module's actions to servers over JSON lines. A connection carries one set-up at a time, so
// that what spoils it ends no other; it goes back when the answer is there. One connection to each server with
// sessions is kept up, for what concerns them: they are tied to none. To other servers a connection is opened when a
// set-up needs it: hundreds of front nodes that all keep one to every server would use up what servers accept. Where
// more servers have sessions than connections may be open, they take turns (see reserve.go).
type pool struct {
	n        *Node
	maxLinks int // connections to all servers

	mu      sync.Mutex
	byID    map[string]*server
	links   int                   // open, on their way up, and retired ones until their descriptor is free
	opened  delivery.ConnectionID // the last connection's
	retired map[*link]struct{}    // out of use, to be closed when what was written is on its way
	probes  uint64                // sent so far
	over    bool                  // no connection is opened any more

	readers sync.WaitGroup
}

// server is one listed server, or one that has gone and still has sessions.
type server struct {
	id, addr         string
	state            control.ServerState
	started          time.Duration
	links            []*link // open
	idle             []*link // of them, those without a set-up; the last was used last
	unconnectedSince time.Duration
	standing         map[string]bool
	abandoned        map[string]bool // set-ups whose connection broke: they may run, and nobody wants them
	held             map[string]bool // of them, or given up, those whose request is still open: see holdRelease
	detector         liveness.Detector
	releases         *delivery.Pending[struct{}] // of sessions that the server need not run any more
	earlyEnds        map[string]earlyEnd         // of sessions that this node does not know yet
	renewAt          time.Duration               // a connection ended, maybe with a release on it: from then on another one tells it again
}

// earlyEnd is a server's word that a session is over, ahead of the session itself: after a restart it may come on a
// connection that was opened for another one, and it is said once.
type earlyEnd struct {
	outcome control.Outcome
	load    *control.LoadReport
	at      time.Duration
}

const (
	// releaseLifetime is how long a server is told that a session need not run. After that the session has most
	// likely ended by itself.
	releaseLifetime = 30 * time.Second
	// releaseDoubt is how long a release may be on its way: a connection that ends within it may have lost it.
	releaseDoubt = writeTimeout + time.Second

	maxEarlyEnds    = 4096 // of one server; each is kept for a short time only
	earlyEndTimeout = 5 * time.Second
)

func newPool(n *Node, maxLinks int) *pool {
	return &pool{n: n, maxLinks: maxLinks, byID: map[string]*server{}, retired: map[*link]struct{}{}}
}

// update takes a change of the list. Under a new address an id is another server; so is one that has started anew.
func (p *pool) update(entries []control.Server, addr map[string]string, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		for _, s := range p.byID {
			s.state = control.Gone
		}
	}
	now := p.n.now()
	for _, e := range entries {
		s := p.byID[e.ID]
		if s == nil {
			if e.State == control.Gone {
				continue
			}
			s = p.add(e.ID, now)
		}
		s.state = e.State
		if a := addr[e.ID]; a != "" && a != s.addr {
			if s.addr != "" {
				p.lose(s, "new address")
			}
			s.addr = a
		}
		if e.Started > s.started && s.started > 0 {
			p.lose(s, "started anew")
		}
		s.started = max(s.started, e.Started)
	}
	p.loseReplaced()
	p.tidy()
}

func (p *pool) add(id string, now time.Duration) *server {
	s := &server{id: id, unconnectedSince: now, standing: map[string]bool{}, abandoned: map[string]bool{}, held: map[string]bool{}, detector: liveness.New(now),
		releases: delivery.New[struct{}](releaseLifetime, releaseDoubt), earlyEnds: map[string]earlyEnd{}}
	p.byID[id] = s
	return s
}

// loseReplaced ends the sessions of servers that have gone and whose address another listed server has got.
func (p *pool) loseReplaced() {
	gone := map[string][]*server{} // by address; few, where a list may be long
	for _, s := range p.byID {
		if s.state == control.Gone {
			gone[s.addr] = append(gone[s.addr], s)
		}
	}
	if len(gone) == 0 {
		return
	}
	for _, s := range p.byID {
		if s.state == control.Gone {
			continue
		}
		for _, replaced := range gone[s.addr] {
			p.lose(replaced, "its address is another's")
		}
	}
}

// tidy forgets servers that have gone and run nothing any more.
func (p *pool) tidy() {
	for id, s := range p.byID {
		busy := len(s.standing) > 0 || len(s.held) > 0 || s.releases.HasWaiting() || len(s.idle) < len(s.links) || s.detector.CheckInProgress()
		if s.state == control.Gone && !busy {
			for len(s.links) > 0 {
				p.retire(s.links[0]) // a release may wait on it
			}
			delete(p.byID, id)
		}
	}
}

func (p *pool) closeAll(s *server) {
	for len(s.links) > 0 {
		p.drop(s.links[0])
	}
}

// lose ends all sessions of a server that no longer runs them.
func (p *pool) lose(s *server, why string) {
	p.closeAll(s)
	s.releases = delivery.New[struct{}](releaseLifetime, releaseDoubt) // nothing runs there that could be released
	s.renewAt = 0
	clear(s.held)
	if len(s.standing) == 0 {
		return
	}
	ids := make([]string, 0, len(s.standing))
	for id := range s.standing {
		ids = append(ids, id)
	}
	clear(s.standing)
	p.n.Log.Info("sessions lost", "server", s.id, "sessions", len(ids), "why", why)
	go p.n.owner.SessionsLost(s.id, ids) // not under the lock: the owner's goroutine takes it too
}

// belief is how many sessions run at a server, set-ups too.
type belief struct{ module, sockets int }

// believed compares for each server what the module believes with what was opened on the sockets.
func (p *pool) believed(own func(string) int) map[string]belief {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]belief, len(p.byID))
	for id, s := range p.byID {
		out[id] = belief{own(id), len(s.standing) + len(s.links) - len(s.idle)}
	}
	return out
}

// adopt counts a session that a server runs already, and tells how it ended if the server has said so. A server that no
// list names is checked like one that was removed: nobody else would ever end its sessions.
func (p *pool) adopt(id, srv string) (end earlyEnd, over bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[srv]
	if s == nil {
		s = p.add(srv, p.n.now()) // gone, without an address
		p.n.Log.Debug("session at an unknown server", "session", id, "server", srv)
	}
	if end, over = s.earlyEnds[id]; over {
		delete(s.earlyEnds, id)
		return end, true
	}
	s.standing[id] = true
	return earlyEnd{}, false
}

// Release tells a server that it need not run a session any more, on any connection: on the next one, if none is
// open.
func (p *pool) Release(id, srv string, _ int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[srv]
	if s == nil {
		return
	}
	stood := s.standing[id]
	if !stood && !s.abandoned[id] {
		return // the set-up was given up or refused: nothing of it runs
	}
	delete(s.standing, id)
	delete(s.abandoned, id)
	if !stood {
		p.holdRelease(s, id)
		return
	}
	s.releases.Add(id, struct{}{}, p.n.now())
	p.sendReleases(s)
}

// holdRelease has a server told to give an attempt up once the request is over. All attempts of a request have one id, and
// a later one may go to the same server: a release that comes behind it, on another connection, would end its session.
func (p *pool) holdRelease(s *server, id string) {
	s.held[id] = true
	p.releaseHeld(s)
}

// releaseHeld says the releases that are held no longer: their requests are over, and nothing of them runs at the server.
func (p *pool) releaseHeld(s *server) {
	for id := range s.held {
		if p.n.waits(id) {
			continue
		}
		delete(s.held, id)
		if !s.runs(id) {
			s.releases.Add(id, struct{}{}, p.n.now())
		}
	}
	p.sendReleases(s)
}

// sendReleases hands what waits for a server to one of its connections. Without one, watch has one opened.
func (p *pool) sendReleases(s *server) {
	if !s.releases.HasWaiting() {
		return
	}
	l := s.anyLink()
	if l == nil {
		return
	}
	for _, m := range s.releases.Waiting() {
		if !l.say(jsonlines.TypeClose, m.Key, nil, jsonlines.CauseCancelled, "") {
			return // the connection is ending: what waits goes on the next one
		}
		s.releases.MarkSent(m.Key, l.id, p.n.now())
	}
}

// SetRung tells a server the rung of a session that plays.
func (p *pool) SetRung(a core.Attempt, rung int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byID[a.Server]; s != nil {
		if l := s.anyLink(); l != nil {
			l.say(jsonlines.TypeLevel, a.ID, []string{"rung", rungAttr(rung)}, -1, "")
		}
	}
}

// Subscribe, ReadList and Tell have no place on this platform: lists are pushed to every front node, and nothing tells
// the addresses of others (New has the module know that it has no peers).
func (p *pool) Subscribe()       {}
func (p *pool) ReadList()        {}
func (p *pool) Tell(int, string) {}
