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
	name  string // class/title/key
	key   string
	class int
	title view.Title
	best  int
	seen  atomic.Int64 // time of the viewer's last request, from the edge's clock

	mu       sync.Mutex
	state    admission.State
	since    time.Duration
	moved    bool
	tries    int
	try      *try
	window   hls.Window
	source   *source
	rung     int  // in force at the box, of which segments are published
	want     int  // rung that the module set last
	changing bool // a goroutine carries a change of rung to the box
	server   string
	origin   time.Duration // when the content's beginning played, or would have
	position time.Duration // where it stood when its server was lost
	started  bool
}

// try is one request to the module. It hears of it on the owner's goroutine.
type try struct {
	id       string
	title    string
	best     int
	s        *session
	e        *Edge
	answered chan struct{} // closed with answer set
	answer   core.Answer
	closed   chan struct{} // nothing of it is out
	waiting  int           // requests of the viewer that wait, under s.mu
}

// shards keep lookups of different sessions apart.
const shards = 64

type table struct {
	shard [shards]struct {
		mu   sync.RWMutex
		byID map[string]*session
	}
	size atomic.Int64
}

func newTable() *table {
	t := &table{}
	for i := range t.shard {
		t.shard[i].byID = map[string]*session{}
	}
	return t
}

// place is FNV-1a, which needs no state.
func place(name []byte) int {
	h := uint32(2166136261)
	for _, c := range name {
		h = (h ^ uint32(c)) * 16777619
	}
	return int(h % shards)
}

func (t *table) find(name []byte) *session {
	sh := &t.shard[place(name)]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.byID[string(name)]
}

// add returns the session of a name, made by fresh where there is none.
func (t *table) add(name []byte, fresh func(name string) *session) *session {
	sh := &t.shard[place(name)]
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

func (t *table) each(f func(*session) (keep bool)) {
	for i := range t.shard {
		sh := &t.shard[i]
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
func (y *try) Answered(a core.Answer) {
	s := y.s
	s.mu.Lock()
	y.answer = a
	s.since = y.e.now()
	leave := false
	if a.Kind == core.Playing {
		leave = !s.opens(y, a)
	} else if s.try == y {
		s.state = admission.Unsuccessful
	}
	close(y.answered)
	s.mu.Unlock()
	if leave {
		go y.e.owner.ViewerLeft(y.id, y) // not from the owner's goroutine, which would wait for itself
	}
}

// opens takes a set-up into the session. False if the viewer left meanwhile.
func (s *session) opens(y *try, a core.Answer) bool {
	if s.try != y || s.state == admission.Leaving {
		return false
	}
	setup, ok := a.Setup.(*setup)
	if !ok {
		return false
	}
	now := y.e.now()
	s.state, s.server, s.source = admission.Playing, a.Server, setup.source
	s.rung, s.want = setup.rung, a.Rung
	if !s.started {
		s.origin, s.started = now-s.position, true
	} else {
		s.origin = now - s.position
	}
	resume := setup.track.At(s.position.Seconds())
	s.window.Aim("http://"+a.Server, token(y.id), setup.track, resume)
	s.window.Begin(resume)
	s.seen.Store(int64(now))
	y.e.boxes.hold(a.Server, y.id)
	if s.want != s.rung {
		s.follow(y)
	}
	return true
}

func token(id string) string { return "s=" + id }

// Rung follows the module's choice while the session plays.
func (y *try) Rung(rung int) {
	s := y.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.try != y || s.state != admission.Playing {
		return
	}
	s.want = rung
	s.follow(y)
}

// follow starts the goroutine that brings box and playlist to the wanted rung, one for each session,
// so that changes reach the box in their order.
func (s *session) follow(y *try) {
	if !s.changing {
		s.changing = true
		go y.e.changeRung(y)
	}
}

// Ended is told of a session that played.
func (y *try) Ended(o control.Outcome, moved bool) {
	s := y.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.try != y {
		return
	}
	y.e.boxes.free(s.server, y.id)
	now := y.e.now()
	s.since, s.moved = now, moved
	s.position = now - s.origin
	if s.state = admission.Ended; moved || o == control.Reset {
		s.state = admission.Lost
	}
}

// Closed lets a viewer that left and came back begin anew.
func (y *try) Closed() {
	s := y.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.try == y && (s.state == admission.Leaving || s.state == admission.Pending) {
		s.state, s.since = admission.Unsuccessful, y.e.now()
	}
	close(y.closed)
}
