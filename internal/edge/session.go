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

// session is the session of one viewer for one title and class at this edge. It outlives its requests to the module.
type session struct {
	name       string // class/title/key
	viewerKey  string
	class      int
	title      view.Title
	maxRung    int
	lastSeenAt atomic.Int64 // time of the viewer's last request, by the clock of the edge

	mu                sync.Mutex
	state             admission.State
	stateSince        time.Duration
	moved             bool
	requestCount      int
	request           *placementRequest
	window            hls.Window
	manifest          *manifest
	publishedRung     int  // rung in effect at the box, whose segments are published
	wantedRung        int  // rung that the module chose last
	rungChangeRunning bool // a goroutine is running applyRung
	server            string
	contentStart      time.Duration // time at which position 0 of the content played or would have played
	resumePosition    time.Duration // position to start from: where playback ended, or where a reload from another edge is
	hasPlayed         bool
}

// placementRequest is one request to the module for a session, and the core.Listener for its events, which arrive on
// the goroutine of the orchestrator.
type placementRequest struct {
	id       string
	title    string
	maxRung  int
	session  *session
	edge     *Edge
	answered chan struct{} // closed once answer is set
	answer   core.Answer
	closed   chan struct{} // closed once no attempt of the request is in progress
	waiters  int           // HTTP requests that wait for the answer; guarded by session.mu
}

// shardCount is the number of independently locked parts of a sessionTable.
const shardCount = 64

// sessionTable holds sessions by name, in shards that reduce lock contention.
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

// shardIndex returns the shard of a name by its FNV-1a hash, computed inline to avoid an allocation.
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

// getOrAdd returns the session with the given name, and adds the one that create returns if there is none.
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

// forEach calls f for each session, under the lock of its shard, and deletes the session if f returns false.
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

// Answered starts playback of the session or marks it as unsuccessful, and wakes the waiting HTTP requests.
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
		go p.edge.orchestrator.ViewerLeft(p.id, p) // on the goroutine of the orchestrator this call would deadlock
	}
}

// startPlaying applies the result of a set-up to the session. It returns false if the viewer left in the meantime.
func (s *session) startPlaying(p *placementRequest, a core.Answer) bool {
	if s.request != p || s.state == admission.Leaving {
		return false
	}
	result, ok := a.Payload.(*setUpResult)
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

// sessionQuery returns the query string that identifies a session in segment URLs.
func sessionQuery(id string) string { return "s=" + id }

// Rung starts a change to the rung that the module chose, if the session is playing.
func (p *placementRequest) RungChanged(rung int) {
	s := p.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request != p || s.state != admission.Playing {
		return
	}
	s.wantedRung = rung
	s.startRungChange(p)
}

// startRungChange starts the goroutine that sets the wanted rung at the box and in the playlist. There is at most one
// per session, so that changes reach the box in order.
func (s *session) startRungChange(p *placementRequest) {
	if !s.rungChangeRunning {
		s.rungChangeRunning = true
		go p.edge.applyRung(p)
	}
}

// Ended marks a session that played as lost or ended and records the position to resume from.
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

// Closed marks a session that never played as unsuccessful once no attempt is in progress, so that a viewer who left
// and came back can start a new request.
func (p *placementRequest) Closed() {
	s := p.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request == p && (s.state == admission.Leaving || s.state == admission.Pending) {
		s.state, s.stateSince = admission.Unsuccessful, p.edge.now()
	}
	close(p.closed)
}
