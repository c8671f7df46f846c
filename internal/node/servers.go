package node

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/liveness"
	"rainpulley/internal/wire"
)

// pool carries the module's actions to servers over JSON lines. A connection carries one set-up at a time, so
// that what spoils it ends no other; it goes back when the answer is there. One connection to each listed
// server is kept up, for what concerns standing sessions, which are tied to none.
type pool struct {
	n    *Node
	most int // connections to all servers

	mu    sync.Mutex
	byID  map[string]*server
	links int
}

// server is one listed server, or one that has gone and still has sessions.
type server struct {
	id, addr string
	state    control.State
	started  time.Duration
	links    []*link // open
	idle     []*link // of them, those without a set-up; the last was used last
	standing map[string]bool
	stray    map[string]bool // set-ups whose connection broke: they may run, and nobody wants them
	judge    liveness.Judge
	dialling bool     // to keep one connection up, or to see whether one comes up
	owed     []string // releases that wait for a connection
}

// link is one connection to a server.
type link struct {
	s     *server
	conn  net.Conn
	out   outbox
	sid   string // of the set-up on it
	reply chan core.Result
	gone  bool          // closed; under the pool's lock
	used  time.Duration // of the last set-up's end
}

const (
	mostIdle  = 3                      // connections kept to one server
	mostOwed  = 64                     // releases to one server that wait for a connection
	lingerFor = 500 * time.Millisecond // a connection that is given up stays so long, to pass on what was written
	restFor   = 3 * time.Second        // a connection stays open so long after a set-up
	watchEach = 200 * time.Millisecond
)

func newPool(n *Node, most int) *pool { return &pool{n: n, most: most, byID: map[string]*server{}} }

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
			s = &server{id: e.ID, standing: map[string]bool{}, stray: map[string]bool{}, judge: liveness.New(now)}
			p.byID[e.ID] = s
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
	for _, s := range p.byID {
		if s.state == control.Gone && p.taken(s) {
			p.lose(s, "its address is another's")
		}
	}
	p.tidy()
}

// taken tells whether another listed server has the address of one that has gone.
func (p *pool) taken(s *server) bool {
	for _, o := range p.byID {
		if o != s && o.state != control.Gone && o.addr == s.addr {
			return true
		}
	}
	return false
}

// tidy forgets servers that have gone and run nothing any more.
func (p *pool) tidy() {
	for id, s := range p.byID {
		if s.state == control.Gone && len(s.standing) == 0 && len(s.idle) == len(s.links) {
			p.closeAll(s)
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
	s.owed = nil
	if len(s.standing) == 0 {
		return
	}
	ids := make([]string, 0, len(s.standing))
	for id := range s.standing {
		ids = append(ids, id)
	}
	clear(s.standing)
	p.n.Log.Info("sessions lost", "server", s.id, "sessions", len(ids), "why", why)
	go p.n.owner.Lost(s.id, ids) // not under the lock: the owner's goroutine takes it too
}

// drop closes a link; a set-up on it ends as reset.
func (p *pool) drop(l *link) {
	if l.gone {
		return
	}
	p.detach(l)
	l.out.stop()
	_ = l.conn.Close()
	if l.sid != "" {
		l.s.stray[l.sid] = true
		l.deliver(core.Result{Outcome: control.Reset})
	}
}

// detach takes a link out of use.
func (p *pool) detach(l *link) {
	l.gone = true
	p.links--
	l.s.links = without(l.s.links, l)
	l.s.idle = without(l.s.idle, l)
}

func without(list []*link, l *link) []*link {
	for i := range list {
		if list[i] == l {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// deliver ends the set-up on a link; a second answer finds none.
func (l *link) deliver(r core.Result) bool {
	if l.sid == "" {
		return false
	}
	l.sid = ""
	l.reply <- r // has room for one
	return true
}

// room makes room for one more connection, at the cost of an idle one of a server that has several.
func (p *pool) room() bool {
	if p.links < p.most {
		return true
	}
	var from *server
	for _, s := range p.byID {
		if len(s.idle) > 0 && len(s.links) > 1 && (from == nil || s.idle[0].used < from.idle[0].used) {
			from = s
		}
	}
	if from == nil {
		return false
	}
	p.drop(from.idle[0])
	return true
}

var errNoRoom = errors.New("node: no descriptor left for a connection to a server")

// dial opens a link to a server and tells its judge what came of it.
func (p *pool) dial(ctx context.Context, s *server) (*link, error) {
	p.mu.Lock()
	ok, addr := p.room(), s.addr
	if ok {
		p.links++
	}
	p.mu.Unlock()
	if !ok {
		return nil, errNoRoom
	}
	d := net.Dialer{Timeout: p.n.Config.Platform.ConnectTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.links--
		if ctx.Err() == nil {
			how := liveness.Silent
			if errors.Is(err, syscall.ECONNREFUSED) {
				how = liveness.Refused
			}
			s.judge.Dialled(p.n.now(), how, len(s.links))
		}
		return nil, err
	}
	s.judge.Dialled(p.n.now(), liveness.Up, len(s.links))
	l := &link{s: s, conn: conn, reply: make(chan core.Result, 1)}
	if s.addr != addr {
		p.links--
		_ = conn.Close()
		return nil, errors.New("node: the server's address changed")
	}
	l.out.conn, l.out.fail = conn, func() { p.close(l) }
	s.links = append(s.links, l)
	go p.read(l)
	for _, id := range s.owed {
		l.say(jsonlines.Close, id, nil, jsonlines.CauseCancelled, "")
	}
	s.owed = nil
	return l, nil
}

func (p *pool) close(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(l)
}

func (l *link) say(kind, id string, attrs []string, cause int, text string) bool {
	return l.out.put(func(b []byte) []byte { return jsonlines.Append(b, kind, id, attrs, cause, text) })
}

// take returns a link for a set-up: an idle one, or a new one.
func (p *pool) take(ctx context.Context, s *server) (*link, error) {
	p.mu.Lock()
	if n := len(s.idle); n > 0 {
		l := s.idle[n-1]
		s.idle = s.idle[:n-1]
		p.mu.Unlock()
		return l, nil
	}
	p.mu.Unlock()
	return p.dial(ctx, s)
}

// free puts a link back. It is not closed at once even where there are many: a server to which a connection
// closes just after its answer takes the set-up for given up, and cuts the session (seen when 300 viewers came
// back within a second, and a third of them lost what they had just got).
func (p *pool) free(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.gone {
		l.used = p.n.now()
		l.s.idle = append(l.s.idle, l)
	}
}

// thin closes what a server has too many of, the longest idle first.
func (p *pool) thin(s *server, now time.Duration) {
	for len(s.idle) > mostIdle && now-s.idle[0].used > restFor {
		p.drop(s.idle[0])
	}
}

// closeEverything ends all connections.
func (p *pool) closeEverything() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byID {
		p.closeAll(s)
	}
}

// SetUp asks a server to start a session. What waited for its connection is looked at again before its first byte.
func (p *pool) SetUp(ctx context.Context, a core.Attempt) core.Result {
	v, ok := a.Listener.(*session)
	p.mu.Lock()
	s := p.byID[a.Server]
	p.mu.Unlock()
	if !ok || s == nil {
		return core.Result{Outcome: control.Moot}
	}
	l, err := p.take(ctx, s)
	if err != nil {
		p.n.Log.Debug("no connection", "session", a.ID, "server", a.Server, "error", err)
		return core.Result{Outcome: notConnected(ctx, err)}
	}
	left := p.n.patience(ctx)
	p.mu.Lock()
	moot := left <= 0 || ctx.Err() != nil || s.state != control.Ready
	if l.gone && !moot { // reset while it was idle: nothing was written
		p.mu.Unlock()
		return core.Result{Outcome: control.ConnectFailed}
	}
	if !moot {
		l.sid = a.ID
	}
	p.mu.Unlock()
	if moot {
		p.free(l)
		return core.Result{Outcome: control.Moot}
	}
	l.say(jsonlines.Open, a.ID, []string{"class", v.className, "key", v.key,
		"left", strconv.FormatInt(left.Milliseconds(), 10), "rung", strconv.Itoa(a.Rung)}, -1, v.text)
	select {
	case r := <-l.reply:
		p.free(l)
		return r
	case <-ctx.Done():
		return p.giveUp(ctx, l, a)
	}
}

// notConnected tells what a connection that did not come up says of its server. Nothing, where the viewer withdrew
// meanwhile or this node has no descriptor left: hundreds of withdrawn set-ups must not make a healthy server suspect.
func notConnected(ctx context.Context, err error) control.Outcome {
	if errors.Is(err, errNoRoom) || errors.Is(ctx.Err(), context.Canceled) {
		return control.Moot
	}
	return control.ConnectFailed
}

// giveUp takes a set-up back. A server that kept silent until the time was up gets no further set-up on that
// connection: late answers would come between.
func (p *pool) giveUp(ctx context.Context, l *link, a core.Attempt) core.Result {
	p.mu.Lock()
	var r core.Result
	select {
	case r = <-l.reply: // the answer crossed
		p.mu.Unlock()
		p.free(l)
		return r
	default:
	}
	l.sid = ""
	late := errors.Is(ctx.Err(), context.DeadlineExceeded) && !l.gone
	if late {
		p.detach(l)
		l.s.judge.Unanswered()
	}
	p.mu.Unlock()
	l.say(jsonlines.Close, a.ID, nil, jsonlines.CauseEnd, "")
	if late {
		l.out.finish()
		time.AfterFunc(lingerFor, func() { _ = l.conn.Close() })
	} else {
		p.free(l)
	}
	return core.Result{Outcome: control.Reset} // core puts in why it was given up
}

// read hears a server on one connection until it ends.
func (p *pool) read(l *link) {
	r := bufio.NewReaderSize(l.conn, jsonlines.Most)
	for {
		m, err := jsonlines.Read(r)
		if err != nil {
			p.n.Log.Debug("connection to server over", "server", l.s.id, "error", err)
			p.close(l)
			return
		}
		p.hear(l, m)
	}
}

// causes of a close ahead of the answer; an unknown one is a reset.
var causes = map[int]control.Outcome{jsonlines.CauseFull: control.Full, jsonlines.CauseError: control.Failed,
	jsonlines.CauseMoot: control.Moot, jsonlines.CauseReset: control.Reset}

// ends are causes of a close after it.
var ends = map[int]control.Outcome{jsonlines.CauseEnd: control.Served, jsonlines.CauseCancelled: control.Cancelled}

func (p *pool) hear(l *link, m *jsonlines.Message) {
	load := wire.Load(m.Figures("load"))
	p.mu.Lock()
	l.s.judge.Heard(p.n.now())
	mine := l.sid != "" && l.sid == m.ID
	switch {
	case m.Type == jsonlines.Ready && mine:
		r := core.Result{Outcome: control.Served}
		if m.Text == nil || *m.Text == "" {
			r = core.Result{Outcome: control.Failed, Load: load} // it ran, and there is nothing to pass on
		} else {
			r.Setup = *m.Text
			l.s.standing[m.ID] = true
		}
		l.deliver(r)
		p.mu.Unlock()
	case m.Type == jsonlines.Close && mine:
		o, ok := causes[m.Cause()]
		if !ok {
			o = control.Reset
		}
		l.deliver(core.Result{Outcome: o, Load: load})
		p.mu.Unlock()
	case m.Type == jsonlines.Close:
		o, ok := ends[m.Cause()]
		if !ok {
			o = control.Reset
		}
		stood := l.s.standing[m.ID]
		delete(l.s.standing, m.ID)
		p.mu.Unlock()
		p.n.Log.Debug("released by server", "session", m.ID, "server", l.s.id, "cause", m.Cause(), "stood", stood)
		if stood {
			p.n.owner.ServerEnded(m.ID, l.s.id, o, load)
		}
	case m.Type == jsonlines.Event:
		stands := l.s.standing[m.ID]
		p.mu.Unlock()
		if kind, v, ok := note(m); ok && stands {
			if p.n.Log.Enabled(context.Background(), slog.LevelDebug) {
				p.n.Log.Debug("note", "session", m.ID, "server", l.s.id, "note", m.Attr("note"), "value", v)
			}
			p.n.owner.Note(control.Note{ID: m.ID, Server: l.s.id, Kind: kind, Value: v})
		}
	default:
		p.mu.Unlock()
	}
}

// note reads a note on a session that stands.
func note(m *jsonlines.Message) (control.NoteKind, float64, bool) {
	kinds := map[string]control.NoteKind{"delivered": control.NoteShare, "rung": control.NoteRung,
		"link": control.NoteLink, "uplink": control.NoteUplink}
	k, ok := kinds[m.Attr("note")]
	v, is := m.Number("value")
	return k, v, ok && is
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

// adopt counts a session that a server runs already; false if the server is not known.
func (p *pool) adopt(id, srv string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[srv]
	if s == nil {
		return false
	}
	s.standing[id] = true
	return true
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
	if !s.standing[id] && !s.stray[id] {
		return // the set-up was given up or refused: nothing of it runs
	}
	delete(s.standing, id)
	delete(s.stray, id)
	if l := s.any(); l != nil {
		l.say(jsonlines.Close, id, nil, jsonlines.CauseCancelled, "")
	} else if len(s.owed) < mostOwed {
		s.owed = append(s.owed, id)
	}
}

// any is a link for what is tied to none; one that was used lately first.
func (s *server) any() *link {
	if n := len(s.idle); n > 0 {
		return s.idle[n-1]
	}
	if n := len(s.links); n > 0 {
		return s.links[n-1]
	}
	return nil
}

// SetRung tells a server the rung of a session that plays.
func (p *pool) SetRung(a core.Attempt, rung int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byID[a.Server]; s != nil {
		if l := s.any(); l != nil {
			l.say(jsonlines.Level, a.ID, []string{"rung", strconv.Itoa(rung)}, -1, "")
		}
	}
}

// Probe, Subscribe, ReadList and Tell have no place on this platform: lists are pushed to every front node, and
// the settings forbid probes and messages between them.
func (p *pool) Probe(string)     {}
func (p *pool) Subscribe()       {}
func (p *pool) ReadList()        {}
func (p *pool) Tell(int, string) {}

// keepUp holds one connection to each listed server and asks the judges, until ctx ends.
func (p *pool) keepUp(ctx context.Context) {
	tick := time.NewTicker(watchEach)
	defer tick.Stop()
	for {
		p.watch(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p *pool) watch(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.n.now()
	for _, s := range p.byID {
		p.thin(s, now)
		if len(s.standing) == 0 {
			if s.state == control.Gone || len(s.links) > 0 {
				continue
			}
		}
		switch s.judge.Next(now, p.n.Config.Set.LinkNoteEvery, len(s.links), s.state != control.Gone) {
		case liveness.Check:
			p.n.goes(func() { p.check(ctx, s) })
		case liveness.Lost:
			p.lose(s, "no connection comes up")
		}
	}
	p.tidy()
}

// check tries to connect; a connection that comes up is kept.
func (p *pool) check(ctx context.Context, s *server) {
	l, err := p.dial(ctx, s)
	if err != nil {
		p.n.Log.Debug("no connection", "server", s.id, "error", err)
		p.mu.Lock()
		if errors.Is(err, errNoRoom) || ctx.Err() != nil {
			s.judge.Dialled(p.n.now(), liveness.Up, len(s.links)) // it says nothing of the server
		}
		p.mu.Unlock()
		return
	}
	p.free(l)
}

// connectAll tries once to connect to every server, so that what concerns standing sessions is heard from the start.
func (p *pool) connectAll(ctx context.Context) {
	var all sync.WaitGroup
	p.mu.Lock()
	for _, s := range p.byID {
		if s.state != control.Gone {
			all.Go(func() { p.check(ctx, s) })
		}
	}
	p.mu.Unlock()
	all.Wait()
}
