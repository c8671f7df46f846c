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

// pool carries out the controller's actions at servers, over connections that carry JSON lines. A connection carries
// one set-up at a time, so that a broken connection fails no other set-up; it returns to the pool with the answer. One
// connection to each server with sessions is kept open for messages about them, since sessions are not bound to a
// connection. Connections to other servers are opened when a set-up needs them: if hundreds of front nodes each kept
// one to every server, they would exhaust what servers accept. If more servers have sessions than connections may be
// open, the servers share the connections in turn (see reserve.go).
type pool struct {
	node     *Node
	maxConns int // limit for all servers together

	mu         sync.Mutex
	servers    map[string]*server
	connCount  int                      // open and connecting, and retired ones until their descriptor is free
	lastConnID delivery.ConnectionID    // id of the connection opened last
	retired    map[*serverConn]struct{} // out of use, closed once their queue is flushed
	probeCount uint64                   // probes sent so far
	closed     bool                     // no further connections are opened

	readers sync.WaitGroup
}

// server is a listed server, or a removed one that still has sessions.
type server struct {
	id, addr         string
	state            control.ServerState
	started          time.Duration
	conns            []*serverConn // open
	idleConns        []*serverConn // those of conns without a set-up, the most recently used last
	unconnectedSince time.Duration
	activeSessions   map[string]bool
	abandonedSetUps  map[string]bool // set-ups whose connection broke: they may still run, unused
	heldReleases     map[string]bool // abandoned or given-up set-ups whose request is still open: see holdRelease
	detector         liveness.Detector
	pendingReleases  *delivery.Pending[struct{}] // for sessions that the server no longer needs to run
	earlyEnds        map[string]earlyEnd         // ends of sessions that this node does not know yet
	reconnectAt      time.Duration               // when a new connection is due, if set: see scheduleReconnect
}

// earlyEnd is a server's report that a session has ended, received before this node knows the session. After a restart
// it may arrive on a connection that was opened for another session, and servers send it only once.
type earlyEnd struct {
	outcome    control.Outcome
	load       *control.LoadReport
	receivedAt time.Duration
}

const (
	// releaseLifetime is how long delivery of a release to a server is attempted. After that the session has most
	// likely ended by itself.
	releaseLifetime = 30 * time.Second
	// releaseDeliveryWindow is how long a release may be in transit: a connection that ends within it may have lost
	// it.
	releaseDeliveryWindow = writeTimeout + time.Second

	maxEarlyEnds    = 4096 // per server; each is kept for earlyEndTimeout
	earlyEndTimeout = 5 * time.Second
)

func newPool(n *Node, connLimit int) *pool {
	return &pool{node: n, maxConns: connLimit, servers: map[string]*server{}, retired: map[*serverConn]struct{}{}}
}

// applyList applies a change of the server list, or a whole list. A server with a new address or a later start time is
// a different instance: the sessions of the previous one are lost.
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
				p.loseSessions(s, "server address changed")
			}
			s.addr = a
		}
		if e.Started > s.started && s.started > 0 {
			p.loseSessions(s, "server restarted")
		}
		s.started = max(s.started, e.Started)
	}
	p.loseReplacedServers()
	p.removeGoneServers()
}

func (p *pool) addServer(id string, now time.Duration) *server {
	s := &server{id: id, unconnectedSince: now, activeSessions: map[string]bool{},
		abandonedSetUps: map[string]bool{}, heldReleases: map[string]bool{}, detector: liveness.New(now),
		pendingReleases: delivery.New[struct{}](releaseLifetime, releaseDeliveryWindow), earlyEnds: map[string]earlyEnd{}}
	p.servers[id] = s
	return s
}

// loseReplacedServers ends the sessions of removed servers whose address now belongs to another listed server.
func (p *pool) loseReplacedServers() {
	gone := map[string][]*server{} // by address; few servers, while the list may be long
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
			p.loseSessions(replaced, "address reassigned to another server")
		}
	}
}

// removeGoneServers deletes removed servers without sessions, unsent releases, set-ups or checks in progress.
func (p *pool) removeGoneServers() {
	for id, s := range p.servers {
		busy := len(s.activeSessions) > 0 || len(s.heldReleases) > 0 || s.pendingReleases.HasWaiting() ||
			len(s.idleConns) < len(s.conns) || s.detector.CheckInProgress()
		if s.state == control.Gone && !busy {
			for len(s.conns) > 0 {
				p.retireConn(s.conns[0]) // flushes a release that may still be queued on it
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

// loseSessions ends all sessions of a server that no longer runs them.
func (p *pool) loseSessions(s *server, reason string) {
	p.closeServerConns(s)
	s.pendingReleases = delivery.New[struct{}](releaseLifetime, releaseDeliveryWindow) // no session is left to release
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
	go p.node.orchestrator.SessionsLost(s.id, ids) // outside the lock, which the orchestrator's goroutine takes too
}

// sessionCounts is the number of sessions and set-ups at a server, as counted by the controller and on the sockets.
type sessionCounts struct{ controller, sockets int }

// countSessions returns for each server the controller's count and the count of what was opened on the sockets.
func (p *pool) countSessions(controllerCount func(string) int) map[string]sessionCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]sessionCounts, len(p.servers))
	for id, s := range p.servers {
		out[id] = sessionCounts{controllerCount(id), len(s.activeSessions) + len(s.conns) - len(s.idleConns)}
	}
	return out
}

// adopt records a session that a server runs already. If the server has reported the session's end, adopt returns that
// end and true instead. A server that no list names is checked like a removed one: otherwise its sessions would never
// end.
func (p *pool) adopt(id, serverID string) (end earlyEnd, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverID]
	if s == nil {
		s = p.addServer(serverID, p.node.now()) // its state is Gone, and it has no address
		p.node.Log.Debug("adopting session at an unlisted server", "session", id, "server", serverID)
	}
	if end, ended = s.earlyEnds[id]; ended {
		delete(s.earlyEnds, id)
		return end, true
	}
	s.activeSessions[id] = true
	return earlyEnd{}, false
}

// Release notifies a server, on any connection, that it need not run a session any longer. If no connection is open,
// the release is sent on the next one.
func (p *pool) Release(id, serverID string, _ int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverID]
	if s == nil {
		return
	}
	wasActive := s.activeSessions[id]
	if !wasActive && !s.abandonedSetUps[id] {
		return // the set-up was given up or refused: the server runs nothing for it
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

// holdRelease delays the release of an attempt until its request is over. All attempts of a request share one id, and
// a later one may go to the same server: a release that arrives after it, on another connection, would end its
// session.
func (p *pool) holdRelease(s *server, id string) {
	s.heldReleases[id] = true
	p.queueHeldReleases(s)
}

// queueHeldReleases queues the held releases whose requests are over, unless the server runs a session under the same
// id.
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

// sendReleases writes the releases that wait for a server to one of its connections. If there is none, checkServers
// opens one.
func (p *pool) sendReleases(s *server) {
	if !s.pendingReleases.HasWaiting() {
		return
	}
	c := s.anyConn()
	if c == nil {
		return
	}
	for _, m := range s.pendingReleases.Waiting() {
		if !c.send(jsonlines.TypeClose, m.Key, nil, jsonlines.CauseCancelled, "") {
			return // the connection is closing: the rest is sent on the next one
		}
		s.pendingReleases.MarkSent(m.Key, c.id, p.node.now())
	}
}

// SetRung sends a server the rung of a playing session.
func (p *pool) SetRung(a core.Attempt, rung int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[a.Server]; s != nil {
		if c := s.anyConn(); c != nil {
			c.send(jsonlines.TypeLevel, a.ID, []string{"rung", formatRung(rung)}, -1, "")
		}
	}
}

// Subscribe, ReadList and Tell do nothing on this platform: the coordinator pushes the list to every front node, and
// the addresses of other front nodes are not available (New therefore disables messages to peers).
func (p *pool) Subscribe()             {}
func (p *pool) ReadList()              {}
func (p *pool) SendToPeer(int, string) {}
