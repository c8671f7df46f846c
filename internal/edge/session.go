package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"rainpulley/control"
	"rainpulley/internal/admission"
	"rainpulley/internal/core"
	"rainpulley/internal/hls"
	"rainpulley/internal/view"
)

// session is a viewer's session of one title and class at this edge, over all its tries.
type session struct {
	name       string // class/title/key
	viewerKey  string
	class      int
	title      view.Title
	maxRung    int
	lastSeenAt atomic.Int64 // time of the viewer's last request, from the edge's clock

	mu                sync.Mutex
	state             admission.State
	stateSince        time.Duration
	moved             bool
	requestCount      int
	request           *placementRequest
	window            hls.Window
	manifest          *manifest
	publishedRung     int  // in force at the box, of which segments are published
	wantedRung        int  // rung that the module set last
	rungChangeRunning bool // a goroutine carries a change of rung to the box
	server            string
	contentStart      time.Duration // when the content's beginning played, or would have
	resumePosition    time.Duration // where it stood when its server was lost
	hasPlayed         bool
}

// try is one request to the module. It hears of it on the owner's goroutine.
type placementRequest struct {
	id       string
	title    string
	maxRung  int
	session  *session
	edge     *Edge
	answered chan struct{} // closed with answer set
	answer   core.Answer
	closed   chan struct{} // nothing of it is out
	waiters  int           // requests of the viewer that wait, under s.mu
}

// shards keep lookups of different sessions apart.
const shardCount = 64

type sessionTable struct {
	shards [shardCount]struct {
		mu     sync.RWMutex
		byName map[string]*session
	}
	size atomic.Int64
}

func newSessionTable() *sessionTable {
	t := &sessionTable{}
	for i := range t.shards {
		t.shards[i].byName = map[string]*session{}
	}
	return t
}

// place is FNV-1a, which needs no state.
func shardIndex(name []byte) int {
	sum := uint32(2166136261)
	for _, c := range name {
		sum = (sum ^ uint32(c)) * 16777619
	}
	return int(sum % shardCount)
}

func (t *sessionTable) find(name []byte) *session {
	shard := &t.shards[shardIndex(name)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.byName[string(name)]
}

// add returns the session of a name, made by fresh where there is none.
func (t *sessionTable) getOrAdd(name []byte, create func(name string) *session) *session {
	shard := &t.shards[shardIndex(name)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if s := shard.byName[string(name)]; s != nil {
		return s
	}
	s := create(string(name))
	shard.byName[s.name] = s
	t.size.Add(1)
	return s
}

func (t *sessionTable) forEach(f func(*session) (keep bool)) {
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for name, s := range shard.byName {
			if !f(s) {
				delete(shard.byName, name)
				t.size.Add(-1)
			}
		}
		shard.mu.Unlock()
	}
}

// Answered opens the session to its viewer, or ends it.
func (p *placementRequest) Answered(a core.Answer) {
	s := p.session
	s.mu.Lock()
	p.answer = a
	s.stateSince = p.edge.now()
	abandoned := false
	if a.Kind == core.Playing {
		abandoned = !s.startPlaying(p, a)
	} else if s.request == p {
		s.state = admission.Unsuccessful
	}
	close(p.answered)
	s.mu.Unlock()
	if abandoned {
		go p.edge.orchestrator.ViewerLeft(p.id, p) // not from the owner's goroutine, which would wait for itself
	}
}

// opens takes a set-up into the session. False if the viewer left meanwhile.
func (s *session) startPlaying(p *placementRequest, a core.Answer) bool {
	if s.request != p || s.state == admission.Leaving {
		return false
	}
	result, ok := a.Setup.(*setUpResult)
	if !ok {
		return false
	}
	now := p.edge.now()
	s.state, s.server, s.manifest = admission.Playing, a.Server, result.manifest
	s.publishedRung, s.wantedRung = result.rung, a.Rung
	if !s.hasPlayed {
		s.contentStart, s.hasPlayed = now-s.resumePosition, true
	} else {
		s.contentStart = now - s.resumePosition
	}
	resume := result.track.SegmentAt(s.resumePosition.Seconds())
	s.window.SetSource("http://"+a.Server, sessionQuery(p.id), result.track, resume)
	s.window.StartAt(resume)
	s.lastSeenAt.Store(int64(now))
	p.edge.boxes.addSession(a.Server, p.id)
	if s.wantedRung != s.publishedRung {
		s.startRungChange(p)
	}
	return true
}

func sessionQuery(id string) string { return "s=" + id }

// Rung follows the module's choice while the session plays.
func (p *placementRequest) Rung(rung int) {
	s := p.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request != p || s.state != admission.Playing {
		return
	}
	s.wantedRung = rung
	s.startRungChange(p)
}

// follow starts the goroutine that brings box and playlist to the wanted rung, one for each session,
// so that changes reach the box in their order.
func (s *session) startRungChange(p *placementRequest) {
	if !s.rungChangeRunning {
		s.rungChangeRunning = true
		go p.edge.applyRung(p)
	}
}

// Ended is told of a session that played.
func (p *placementRequest) Ended(outcome control.Outcome, moved bool) {
	s := p.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request != p {
		return
	}
	p.edge.boxes.removeSession(s.server, p.id)
	now := p.edge.now()
	s.stateSince, s.moved = now, moved
	s.resumePosition = now - s.contentStart
	if s.state = admission.Ended; moved || outcome == control.Reset {
		s.state = admission.Lost
	}
}

// Closed lets a viewer that left and came back begin anew.
func (p *placementRequest) Closed() {
	s := p.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request == p && (s.state == admission.Leaving || s.state == admission.Pending) {
		s.state, s.stateSince = admission.Unsuccessful, p.edge.now()
	}
	close(p.closed)
}
