package node

import (
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/delivery"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/lifecycle"
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

	unlistedCount int  // servers that were added for sessions that were taken over
	closed        bool // no further connections are opened

	readers sync.WaitGroup
}

// server is a listed server, or a removed one that still has sessions.
type server struct {
	id, addr         string
	state            control.ServerState
	listed           bool          // a list has named the server
	unlisted         bool          // the server was added for a session that was taken over
	replaced         bool          // its address belongs to another server
	started          time.Duration // start time on this node's clock; 0: none was reported
	reportedStartMs  int64         // start time as last reported, on the clock of the coordinator; 0: none was
	conns            []*serverConn // open
	idleConns        []*serverConn // those of conns without a set-up, the most recently used last
	unconnectedSince time.Duration
	activeSessions   map[string]activeSession
	abandonedSetUps  map[string]bool // set-ups whose connection broke: they may still run, unused
	heldReleases     map[string]bool // abandoned or given-up set-ups whose request is still open: see holdRelease
	detector         liveness.Detector
	process          liveness.ProcessWatch
	lastNoteAt       time.Duration               // when the last note about an active session arrived
	pendingReleases  *delivery.Pending[struct{}] // for sessions that the server no longer needs to run
	earlyEnds        map[string]earlyEnd         // ends of sessions that this node does not know yet
	reconnectAt      time.Duration               // when a new connection is due, if set: see scheduleReconnect
}

// activeSession is a session that a server runs for this node.
type activeSession struct {
	// openedAt is when the connection of its set-up was opened, or when this node took the session over. It tells which
	// process of the server runs the session.
	openedAt time.Duration
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

func (p *pool) addServer(id string, now time.Duration) *server {
	s := &server{id: id, unconnectedSince: now, activeSessions: map[string]activeSession{},
		abandonedSetUps: map[string]bool{}, heldReleases: map[string]bool{}, detector: liveness.New(now),
		pendingReleases: delivery.New[struct{}](releaseLifetime, releaseDeliveryWindow), earlyEnds: map[string]earlyEnd{}}
	p.servers[id] = s
	return s
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

// maxUnlistedServers limits the servers that no list has named and at which sessions were taken over.
const maxUnlistedServers = 256

// mayAdopt reports whether a session at a server may be taken over.
func (p *pool) mayAdopt(serverID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[serverID] != nil || p.unlistedCount < maxUnlistedServers
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
		s.unlisted = true
		p.unlistedCount++
		p.node.Log.Debug("adopting session at an unlisted server", "session", id, "server", serverID)
	}
	if end, ended = s.earlyEnds[id]; ended {
		delete(s.earlyEnds, id)
		return end, true
	}
	s.activeSessions[id] = activeSession{openedAt: p.node.now()}
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
	_, wasActive := s.activeSessions[id]
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
		facts := lifecycle.ReleaseFacts{AwaitsAnswer: p.node.awaitsAnswer(id), RunsSession: s.runsSession(id),
			AddressOwned: !s.replaced}
		switch lifecycle.MayRelease(facts) {
		case lifecycle.RequestOpen:
			continue
		case lifecycle.Permitted:
			s.pendingReleases.Add(id, struct{}{}, p.node.now())
		}
		delete(s.heldReleases, id)
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
		if s.replaced {
			p.node.ledger.Violate(lifecycle.ReleasedForeign, m.Key, s.id)
			return
		}
		if !c.send(jsonlines.TypeClose, m.Key, nil, jsonlines.CauseCancelled, "") {
			return // the connection is closing: the rest is sent on the next one
		}
		s.pendingReleases.MarkSent(m.Key, c.id, p.node.now())
		p.node.Log.Debug("release sent to server", "session", m.Key, "server", s.id, "connection", uint64(c.id),
			"address", s.addr)
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
