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
		mu   sync.RWMutex
		byID map[string]*session
	}
	size atomic.Int64
}

func newSessionTable() *sessionTable {
	t := &sessionTable{}
	for i := range t.shards {
		t.shards[i].byID = map[string]*session{}
	}
	return t
}

// place is FNV-1a, which needs no state.
func shardIndex(name []byte) int {
	h := uint32(2166136261)
	for _, c := range name {
		h = (h ^ uint32(c)) * 16777619
	}
	return int(h % shardCount)
}

func (t *sessionTable) find(name []byte) *session {
	sh := &t.shards[shardIndex(name)]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.byID[string(name)]
}

// add returns the session of a name, made by fresh where there is none.
func (t *sessionTable) getOrAdd(name []byte, fresh func(name string) *session) *session {
	sh := &t.shards[shardIndex(name)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.byID[string(name)]; s != nil {
		return s
	}
	s := fresh(string(name))
	sh.byID[s.name] = s
	t.size.Add(1)
	return s
}

func (t *sessionTable) forEach(f func(*session) (keep bool)) {
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for name, s := range sh.byID {
			if !f(s) {
				delete(sh.byID, name)
				t.size.Add(-1)
			}
		}
		sh.mu.Unlock()
	}
}

// Answered opens the session to its viewer, or ends it.
func (y *placementRequest) Answered(a core.Answer) {
	s := y.session
	s.mu.Lock()
	y.answer = a
	s.stateSince = y.edge.now()
	leave := false
	if a.Kind == core.Playing {
		leave = !s.startPlaying(y, a)
	} else if s.request == y {
		s.state = admission.Unsuccessful
	}
	close(y.answered)
	s.mu.Unlock()
	if leave {
		go y.edge.orchestrator.ViewerLeft(y.id, y) // not from the owner's goroutine, which would wait for itself
	}
}

// opens takes a set-up into the session. False if the viewer left meanwhile.
func (s *session) startPlaying(y *placementRequest, a core.Answer) bool {
	if s.request != y || s.state == admission.Leaving {
		return false
	}
	setup, ok := a.Setup.(*setUpResult)
	if !ok {
		return false
	}
	now := y.edge.now()
	s.state, s.server, s.manifest = admission.Playing, a.Server, setup.manifest
	s.publishedRung, s.wantedRung = setup.rung, a.Rung
	if !s.hasPlayed {
		s.contentStart, s.hasPlayed = now-s.resumePosition, true
	} else {
		s.contentStart = now - s.resumePosition
	}
	resume := setup.track.SegmentAt(s.resumePosition.Seconds())
	s.window.SetSource("http://"+a.Server, sessionQuery(y.id), setup.track, resume)
	s.window.StartAt(resume)
	s.lastSeenAt.Store(int64(now))
	y.edge.boxes.addSession(a.Server, y.id)
	if s.wantedRung != s.publishedRung {
		s.startRungChange(y)
	}
	return true
}

func sessionQuery(id string) string { return "s=" + id }

// Rung follows the module's choice while the session plays.
func (y *placementRequest) Rung(rung int) {
	s := y.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request != y || s.state != admission.Playing {
		return
	}
	s.wantedRung = rung
	s.startRungChange(y)
}

// follow starts the goroutine that brings box and playlist to the wanted rung, one for each session,
// so that changes reach the box in their order.
func (s *session) startRungChange(y *placementRequest) {
	if !s.rungChangeRunning {
		s.rungChangeRunning = true
		go y.edge.applyRung(y)
	}
}

// Ended is told of a session that played.
func (y *placementRequest) Ended(o control.Outcome, moved bool) {
	s := y.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request != y {
		return
	}
	y.edge.boxes.removeSession(s.server, y.id)
	now := y.edge.now()
	s.stateSince, s.moved = now, moved
	s.resumePosition = now - s.contentStart
	if s.state = admission.Ended; moved || o == control.Reset {
		s.state = admission.Lost
	}
}

// Closed lets a viewer that left and came back begin anew.
func (y *placementRequest) Closed() {
	s := y.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request == y && (s.state == admission.Leaving || s.state == admission.Pending) {
		s.state, s.stateSince = admission.Unsuccessful, y.edge.now()
	}
	close(y.closed)
}
