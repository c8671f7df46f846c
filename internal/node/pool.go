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
	node     *Node
	maxConns int // connections to all servers

	mu         sync.Mutex
	servers    map[string]*server
	connCount  int                      // open, on their way up, and retired ones until their descriptor is free
	lastConnID delivery.ConnectionID    // the last connection's
	retired    map[*serverConn]struct{} // out of use, to be closed when what was written is on its way
	probeCount uint64                   // sent so far
	closed     bool                     // no connection is opened any more

	readers sync.WaitGroup
}

// server is one listed server, or one that has gone and still has sessions.
type server struct {
	id, addr         string
	state            control.ServerState
	started          time.Duration
	conns            []*serverConn // open
	idleConns        []*serverConn // of them, those without a set-up; the last was used last
	unconnectedSince time.Duration
	activeSessions   map[string]bool
	abandonedSetUps  map[string]bool // set-ups whose connection broke: they may run, and nobody wants them
	heldReleases     map[string]bool // of them, or given up, those whose request is still open: see holdRelease
	detector         liveness.Detector
	pendingReleases  *delivery.Pending[struct{}] // of sessions that the server need not run any more
	earlyEnds        map[string]earlyEnd         // of sessions that this node does not know yet
	reconnectAt      time.Duration               // a connection ended, maybe with a release on it: from then on another one tells it again
}

// earlyEnd is a server's word that a session is over, ahead of the session itself: after a restart it may come on a
// connection that was opened for another one, and it is said once.
type earlyEnd struct {
	outcome    control.Outcome
	load       *control.LoadReport
	receivedAt time.Duration
}

const (
	// releaseLifetime is how long a server is told that a session need not run. After that the session has most
	// likely ended by itself.
	releaseLifetime = 30 * time.Second
	// releaseDoubt is how long a release may be on its way: a connection that ends within it may have lost it.
	releaseDeliveryWindow = writeTimeout + time.Second

	maxEarlyEnds    = 4096 // of one server; each is kept for a short time only
	earlyEndTimeout = 5 * time.Second
)

func newPool(n *Node, connLimit int) *pool {
	return &pool{node: n, maxConns: connLimit, servers: map[string]*server{}, retired: map[*serverConn]struct{}{}}
}

// update takes a change of the list. Under a new address an id is another server; so is one that has started anew.
func (p *pool) applyList(entries []control.Server, addr map[string]string, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		for _, s := range p.servers {
			s.state = control.Gone
		}
	}
	now := p.node.now()
	for _, e := range entries {
		s := p.servers[e.ID]
		if s == nil {
			if e.State == control.Gone {
				continue
			}
			s = p.addServer(e.ID, now)
		}
		s.state = e.State
		if a := addr[e.ID]; a != "" && a != s.addr {
			if s.addr != "" {
				p.loseSessions(s, "new address")
			}
			s.addr = a
		}
		if e.Started > s.started && s.started > 0 {
			p.loseSessions(s, "started anew")
		}
		s.started = max(s.started, e.Started)
	}
	p.loseReplacedServers()
	p.removeGoneServers()
}

func (p *pool) addServer(id string, now time.Duration) *server {
	s := &server{id: id, unconnectedSince: now, activeSessions: map[string]bool{}, abandonedSetUps: map[string]bool{}, heldReleases: map[string]bool{}, detector: liveness.New(now),
		pendingReleases: delivery.New[struct{}](releaseLifetime, releaseDeliveryWindow), earlyEnds: map[string]earlyEnd{}}
	p.servers[id] = s
	return s
}

// loseReplaced ends the sessions of servers that have gone and whose address another listed server has got.
func (p *pool) loseReplacedServers() {
	gone := map[string][]*server{} // by address; few, where a list may be long
	for _, s := range p.servers {
		if s.state == control.Gone {
			gone[s.addr] = append(gone[s.addr], s)
		}
	}
	if len(gone) == 0 {
		return
	}
	for _, s := range p.servers {
		if s.state == control.Gone {
			continue
		}
		for _, replaced := range gone[s.addr] {
			p.loseSessions(replaced, "its address is another's")
		}
	}
}

// tidy forgets servers that have gone and run nothing any more.
func (p *pool) removeGoneServers() {
	for id, s := range p.servers {
		busy := len(s.activeSessions) > 0 || len(s.heldReleases) > 0 || s.pendingReleases.HasWaiting() || len(s.idleConns) < len(s.conns) || s.detector.CheckInProgress()
		if s.state == control.Gone && !busy {
			for len(s.conns) > 0 {
				p.retireConn(s.conns[0]) // a release may wait on it
			}
			delete(p.servers, id)
		}
	}
}

func (p *pool) closeServerConns(s *server) {
	for len(s.conns) > 0 {
		p.dropConn(s.conns[0])
	}
}

// lose ends all sessions of a server that no longer runs them.
func (p *pool) loseSessions(s *server, reason string) {
	p.closeServerConns(s)
	s.pendingReleases = delivery.New[struct{}](releaseLifetime, releaseDeliveryWindow) // nothing runs there that could be released
	s.reconnectAt = 0
	clear(s.heldReleases)
	if len(s.activeSessions) == 0 {
		return
	}
	ids := make([]string, 0, len(s.activeSessions))
	for id := range s.activeSessions {
		ids = append(ids, id)
	}
	clear(s.activeSessions)
	p.node.Log.Info("sessions lost", "server", s.id, "sessions", len(ids), "why", reason)
	go p.node.orchestrator.SessionsLost(s.id, ids) // not under the lock: the owner's goroutine takes it too
}

// belief is how many sessions run at a server, set-ups too.
type sessionCounts struct{ controller, sockets int }

// believed compares for each server what the module believes with what was opened on the sockets.
func (p *pool) countSessions(controllerCount func(string) int) map[string]sessionCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]sessionCounts, len(p.servers))
	for id, s := range p.servers {
		out[id] = sessionCounts{controllerCount(id), len(s.activeSessions) + len(s.conns) - len(s.idleConns)}
	}
	return out
}

// adopt counts a session that a server runs already, and tells how it ended if the server has said so. A server that no
// list names is checked like one that was removed: nobody else would ever end its sessions.
func (p *pool) adopt(id, serverID string) (end earlyEnd, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverID]
	if s == nil {
		s = p.addServer(serverID, p.node.now()) // gone, without an address
		p.node.Log.Debug("session at an unknown server", "session", id, "server", serverID)
	}
	if end, ended = s.earlyEnds[id]; ended {
		delete(s.earlyEnds, id)
		return end, true
	}
	s.activeSessions[id] = true
	return earlyEnd{}, false
}

// Release tells a server that it need not run a session any more, on any connection: on the next one, if none is
// open.
func (p *pool) Release(id, serverID string, _ int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverID]
	if s == nil {
		return
	}
	wasActive := s.activeSessions[id]
	if !wasActive && !s.abandonedSetUps[id] {
		return // the set-up was given up or refused: nothing of it runs
	}
	delete(s.activeSessions, id)
	delete(s.abandonedSetUps, id)
	if !wasActive {
		p.holdRelease(s, id)
		return
	}
	s.pendingReleases.Add(id, struct{}{}, p.node.now())
	p.sendReleases(s)
}

// holdRelease has a server told to give an attempt up once the request is over. All attempts of a request have one id, and
// a later one may go to the same server: a release that comes behind it, on another connection, would end its session.
func (p *pool) holdRelease(s *server, id string) {
	s.heldReleases[id] = true
	p.queueHeldReleases(s)
}

// releaseHeld says the releases that are held no longer: their requests are over, and nothing of them runs at the server.
func (p *pool) queueHeldReleases(s *server) {
	for id := range s.heldReleases {
		if p.node.awaitsAnswer(id) {
			continue
		}
		delete(s.heldReleases, id)
		if !s.runsSession(id) {
			s.pendingReleases.Add(id, struct{}{}, p.node.now())
		}
	}
	p.sendReleases(s)
}

// sendReleases hands what waits for a server to one of its connections. Without one, watch has one opened.
func (p *pool) sendReleases(s *server) {
	if !s.pendingReleases.HasWaiting() {
		return
	}
	l := s.anyConn()
	if l == nil {
		return
	}
	for _, m := range s.pendingReleases.Waiting() {
		if !l.send(jsonlines.TypeClose, m.Key, nil, jsonlines.CauseCancelled, "") {
			return // the connection is ending: what waits goes on the next one
		}
		s.pendingReleases.MarkSent(m.Key, l.id, p.node.now())
	}
}

// SetRung tells a server the rung of a session that plays.
func (p *pool) SetRung(a core.Attempt, rung int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[a.Server]; s != nil {
		if l := s.anyConn(); l != nil {
			l.send(jsonlines.TypeLevel, a.ID, []string{"rung", formatRung(rung)}, -1, "")
		}
	}
}

// Subscribe, ReadList and Tell have no place on this platform: lists are pushed to every front node, and nothing tells
// the addresses of others (New has the module know that it has no peers).
func (p *pool) Subscribe()       {}
func (p *pool) ReadList()        {}
func (p *pool) Tell(int, string) {}
