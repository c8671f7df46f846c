// Package core is the heart of an edge, whatever protocol its viewers speak: one goroutine owns the
// decision module, takes what connections and servers report over bounded queues, and hands the module's
// actions to a Carrier. It decides nothing itself. It keeps what the runtime owes the module: each
// request has one answer, each attempt one end, never two attempts of one request out at once.
package core

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"rainpulley/control"
)

// Decider is the decision module: control.Controller, or a policy to compare it with.
type Decider interface {
	Step(now time.Duration, events []control.Event) []control.Action
}

// Kind of an answer.
type Kind int

// Kinds of answers.
const (
	Plays Kind = iota + 1
	Refused
	Failed
)

func (k Kind) String() string {
	switch k {
	case Plays:
		return "plays"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	}
	return "none"
}

// Answer is what a request comes to.
type Answer struct {
	Kind    Kind
	Server  string
	Rung    int
	Attempt int           // that plays
	After   time.Duration // with Refused: wait advised
	Setup   any           // with Plays: what the carrier brought back
}

// Listener hears of one request. Its methods are called on the owner's goroutine and must not wait.
type Listener interface {
	Answered(Answer)                 // once
	Rung(rung int)                   // while it plays
	Ended(o control.Outcome, m bool) // a session that played is over; m: it was moved
	Closed()                         // nothing of the request is out any more; the last call
}

// Attempt is one set-up that the carrier sends.
type Attempt struct {
	ID, Server    string
	Number, Rung  int
	Class, Tenant int
	Title, Viewer uint64
	Listener      Listener
}

// Result is how a set-up ended.
type Result struct {
	Outcome control.Outcome // Served: it plays
	Load    *control.Load
	Setup   any
}

// Carrier carries out actions. SetUp runs in a goroutine of its own and returns when the attempt is no
// longer out; when ctx ends, it must give the attempt up before it returns. The others must not wait.
type Carrier interface {
	SetUp(ctx context.Context, a Attempt) Result
	Release(id, server string, attempt int) // the server need not run it (any more)
	SetRung(a Attempt, rung int)
	Probe(server string)
	Subscribe()
	ReadList()
	Tell(to int, data string)
}

// Options of an owner.
type Options struct {
	Queue   int           // requests waiting for a decision
	Most    int           // attempts of one request; 0: not limited
	Budget  Budget        // of further attempts
	Slack   time.Duration // after its deadline a request is still answered in time
	Log     *slog.Logger
	Decider Decider
	Carrier Carrier
	Now     func() time.Duration // rises, also over restarts
}

// Budget of further attempts: in any Span, some and Share of the requests taken. The module keeps it. The owner
// adds what the module cannot know: that an earlier instance may have spent the free ones a moment ago.
type Budget struct {
	Span  time.Duration
	Share float64
}

// Stats counts what an owner did; read by metrics.
type Stats struct {
	Requests, TurnedAway, Plays, Refused, Failed atomic.Int64
	Attempts, Further, Moot, Overdue, NotesLost  atomic.Int64
	Open                                         atomic.Int64
}

// Owner owns the module.
type Owner struct {
	Options
	Stats    Stats
	requests chan input // refused when full
	events   chan input // waits when full: bounded by what is under way
	notes    chan input // dropped when full: the next one tells the same
	over     chan struct{}

	taking sync.RWMutex // held to hand in a request: none may slip in behind the last look at the queue
	ended  bool         // under taking: no request is taken any more

	open   map[string]*request
	born   time.Duration
	taken  int // requests, and attempts beyond their first, since born
	more   int
	timers timerHeap
	batch  []control.Event
	ctx    context.Context
}

// input is one thing told to the owner.
type input struct {
	event    control.Event
	request  *request
	id       string
	what     what
	attempt  int
	result   Result
	took     time.Duration
	server   string
	sessions []string
	look     func()
}

type what int

const (
	anEvent what = iota
	aRequest
	attemptEnded
	viewerLeft
	playedOut
	serverLost
	serverEnded
	adopted
	inspect
)

// request is one request from its arrival until nothing more can come of it.
type request struct {
	control.Request
	listener Listener
	answered bool
	gone     bool // the viewer left before the answer
	playing  bool
	server   string
	attempts int
	rung     int
	out      bool // an attempt is out
	cancel   context.CancelCauseFunc
	sent     time.Duration
	early    []input // of the server tried, that came ahead of the end of its set-up
}

// mostEarly bounds what is kept of a server that says much before its set-up's end is known.
const mostEarly = 8

var (
	errCancelled = errors.New("called off")
	errTimedOut  = errors.New("no answer in time")
)

// New returns an owner; Run must be called.
func New(o Options) *Owner {
	return &Owner{Options: o, requests: make(chan input, o.Queue), events: make(chan input, 4096),
		notes: make(chan input, 1024), over: make(chan struct{}), open: map[string]*request{}}
}

// Queued is the number of requests that wait for the decision.
func (o *Owner) Queued() int { return len(o.requests) }

// Request hands in a request; false if the queue is full or the owner has ended, and then nothing is owed.
func (o *Owner) Request(r control.Request, l Listener) bool {
	o.taking.RLock()
	defer o.taking.RUnlock()
	if o.ended {
		return false
	}
	select {
	case o.requests <- input{what: aRequest, request: &request{Request: r, listener: l}}:
		o.Stats.Requests.Add(1)
		return true
	default:
		o.Stats.TurnedAway.Add(1)
		return false
	}
}

// Adopt hands over a session that plays already, as an edge finds them after a restart. Nothing is owed
// for it; its attempt counts as the first.
func (o *Owner) Adopt(r control.Request, rung int, l Listener) {
	r.Playing = true
	o.put(input{what: adopted, request: &request{Request: r, listener: l, answered: true, playing: true, server: r.Server,
		attempts: 1, rung: rung, sent: o.Now()}})
}

// Leave says that the viewer of a request went away, whether it waits or plays. It goes behind the request
// itself: one that overtook it would find nothing, and the session would play for nobody. It does not wait: a
// connection's reader that did would not see that its other viewers leave.
func (o *Owner) Leave(id string) {
	in := input{what: viewerLeft, id: id}
	select {
	case o.requests <- in:
	default:
		go o.leaveLater(in)
	}
}

func (o *Owner) leaveLater(in input) {
	select {
	case o.requests <- in:
	case <-o.over:
	}
}

// PlayedOut says that a session came to its end.
func (o *Owner) PlayedOut(id string) { o.put(input{what: playedOut, id: id}) }

// Lost says that a server no longer runs these sessions. Like ServerEnded it may be called as soon as a set-up's answer
// is there: a session whose loss came ahead of its start would stand for ever.
func (o *Owner) Lost(server string, ids []string) {
	o.put(input{what: serverLost, server: server, sessions: ids})
}

// ServerEnded says that a server ended a session that it runs. It may be called as soon as the set-up's answer
// is there: what comes ahead of it in the queue is kept until the session plays.
func (o *Owner) ServerEnded(id, server string, how control.Outcome, l *control.Load) {
	o.put(input{what: serverEnded, id: id, server: server, result: Result{Outcome: how, Load: l}})
}

// Event tells the module a list, a probe's result or a message.
func (o *Owner) Event(e control.Event) { o.put(input{event: e}) }

// Note tells a note; one too many is dropped.
func (o *Owner) Note(n control.Note) {
	select {
	case o.notes <- input{event: n}:
	default:
		o.Stats.NotesLost.Add(1)
	}
}

// Inspect has look called on the owner's goroutine, between two steps of the module. It must not wait.
func (o *Owner) Inspect(look func()) { o.put(input{what: inspect, look: look}) }

func (o *Owner) put(in input) {
	select {
	case o.events <- in:
	case <-o.over:
	}
}

// Run works until ctx ends. Attempts that are out then are given up.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.over)
	o.ctx, o.born = ctx, o.Now()
	o.step(nil) // the module sets its first timers
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	for {
		clock.Reset(o.untilNext())
		select {
		case <-ctx.Done():
			o.finish()
			return
		case in := <-o.events:
			o.take(in)
		case in := <-o.requests:
			o.takeRequest(in)
		case in := <-o.notes:
			o.take(in)
		case <-clock.C:
		}
		o.drain()
		o.fire()
		for len(o.batch) > 0 {
			b := o.batch
			o.batch = nil
			o.step(b)
		}
	}
}

// mostInBatch bounds how much is told in one step, so that timers keep their time.
const mostInBatch = 256

// drain takes what else waits; ends before requests, so that a decision rests on the latest.
func (o *Owner) drain() {
	for range mostInBatch {
		select {
		case in := <-o.events:
			o.take(in)
			continue
		default:
		}
		select {
		case in := <-o.requests:
			o.takeRequest(in)
		case in := <-o.notes:
			o.take(in)
		default:
			return
		}
	}
}

// takeRequest takes a request behind the events that were there before it: a select that finds both picks either, and
// a request that overtook the first list was refused for want of servers (seen right after the start).
func (o *Owner) takeRequest(in input) {
	for range mostInBatch {
		if in.what != aRequest { // a leave: what came behind it finds its viewer gone
			break
		}
		select {
		case e := <-o.events:
			o.take(e)
			continue
		default:
		}
		break
	}
	o.take(in)
}

func (o *Owner) tell(e control.Event) { o.batch = append(o.batch, e) }

func (o *Owner) take(in input) {
	switch in.what {
	case anEvent:
		if n, ok := in.event.(control.Note); ok && !o.noteDue(n, in) {
			return
		}
		o.tell(in.event)
	case aRequest:
		o.begin(in.request)
	case attemptEnded:
		o.attemptEnded(in)
	case adopted:
		o.adopt(in.request)
	case inspect:
		in.look()
	case viewerLeft:
		o.left(in.id)
	case playedOut:
		o.end(in.id, control.Served)
	case serverEnded:
		o.serverEnded(in)
	case serverLost:
		for _, id := range in.sessions {
			o.serverEnded(input{what: serverEnded, id: id, server: in.server, result: Result{Outcome: control.Reset}})
		}
	}
}

// adopt counts a session once: one that is open already stays as it is.
func (o *Owner) adopt(r *request) {
	if o.open[r.ID] != nil {
		r.listener.Closed()
		return
	}
	o.open[r.ID] = r
	o.Stats.Open.Add(1)
	o.Log.Info("session taken over", "session", r.ID, "server", r.server, "rung", r.rung)
	o.tell(r.Request)
	if r.rung >= 0 {
		o.tell(control.Note{ID: r.ID, Server: r.server, Kind: control.NoteRung, Value: float64(r.rung)})
	}
}

// noteDue keeps a note that came ahead of its session's start, and takes the rung that the server has in force.
func (o *Owner) noteDue(n control.Note, in input) bool {
	r := o.open[n.ID]
	if r == nil || r.server != n.Server {
		return true
	}
	if r.out {
		r.keep(in)
		return false
	}
	if n.Kind == control.NoteRung && n.Value >= 0 && n.Value < 1<<16 {
		r.rung = int(n.Value)
	}
	return true
}

func (r *request) keep(in input) {
	if len(r.early) < mostEarly {
		r.early = append(r.early, in)
	}
}

// serverEnded closes a session that its server ended; it is not released there any more.
func (o *Owner) serverEnded(in input) {
	r := o.open[in.id]
	switch {
	case r == nil || r.server != in.server:
	case r.out:
		r.keep(in)
	case r.playing:
		o.endSession(r, in.result.Outcome, in.result.Load)
	}
}

func (o *Owner) begin(r *request) {
	if o.ended { // handed in before FinishRequests, and taken from the queue just ahead of it
		r.listener.Answered(Answer{Kind: Failed})
		r.listener.Closed()
		return
	}
	if o.open[r.ID] != nil {
		o.Log.Error("request id seen before", "session", r.ID)
		r.listener.Answered(Answer{Kind: Failed})
		r.listener.Closed()
		return
	}
	o.taken++
	o.open[r.ID] = r
	o.Stats.Open.Add(1)
	o.timers.push(timer{at: r.Due + o.Slack/2, label: r.ID, backstop: true})
	o.tell(r.Request)
}

// attemptEnded is told by the goroutine of a set-up.
func (o *Owner) attemptEnded(in input) {
	r := o.open[in.id]
	if r == nil {
		return
	}
	r.out = false
	r.cancel(nil)
	early := r.early
	r.early = nil
	e := control.Ended{ID: r.ID, Server: in.server, Attempt: in.attempt, Outcome: in.result.Outcome, Took: in.took,
		Load: in.result.Load, Final: r.answered || r.gone}
	if e.Outcome == control.Served && !e.Final {
		r.playing = true
		o.tell(control.Started{ID: r.ID, Server: in.server, Attempt: in.attempt, Took: in.took})
		o.noteSetUp(r, in)
		o.answer(r, Answer{Kind: Plays, Server: in.server, Rung: r.rung, Attempt: in.attempt, Setup: in.result.Setup})
		for _, in := range early {
			o.take(in)
		}
		return
	}
	if e.Outcome == control.Served { // nobody waits for it any more
		e.Outcome = control.Cancelled
	}
	if mayRun(e.Outcome) {
		o.Carrier.Release(r.ID, in.server, in.attempt)
	}
	o.Log.Info("attempt ended", "session", r.ID, "server", in.server, "attempt", in.attempt, "outcome", Name(e.Outcome),
		"took", in.took, "final", e.Final)
	if e.Final {
		o.forget(r)
	}
	o.tell(e)
}

// noteSetUp passes on what the set-up's answer reported, as notes at set-up do.
func (o *Owner) noteSetUp(r *request, in input) {
	if l := in.result.Load; l != nil && l.Link != nil {
		o.tell(control.Note{ID: r.ID, Server: in.server, Kind: control.NoteLink, Value: *l.Link})
		if l.Uplink != nil {
			o.tell(control.Note{ID: r.ID, Server: in.server, Kind: control.NoteUplink, Value: *l.Uplink})
		}
	}
}

// mayRun tells outcomes after which the server may still run the set-up.
func mayRun(x control.Outcome) bool {
	return x != control.Full && x != control.ConnectFailed && x != control.Moot
}

func (o *Owner) left(id string) {
	r := o.open[id]
	switch {
	case r == nil:
	case r.playing:
		o.end(id, control.Cancelled)
	case !r.gone:
		r.gone = true
		if !r.out {
			o.forget(r)
		}
		o.tell(control.Left{ID: id})
	}
}

// end closes a session that plays.
func (o *Owner) end(id string, how control.Outcome) {
	r := o.open[id]
	if r == nil || !r.playing {
		return
	}
	if how != control.Reset {
		o.Carrier.Release(id, r.server, r.attempts-1)
	}
	o.endSession(r, how, nil)
}

// endSession tells viewer and module that a session no longer plays.
func (o *Owner) endSession(r *request, how control.Outcome, l *control.Load) {
	if o.loud() {
		o.Log.Info("session ended", "session", r.ID, "server", r.server, "outcome", Name(how))
	}
	r.listener.Ended(how, false)
	o.forget(r)
	o.tell(control.Ended{ID: r.ID, Server: r.server, Attempt: r.attempts - 1, Outcome: how, Took: o.Now() - r.sent, Final: true,
		Load: l})
}

func (o *Owner) forget(r *request) {
	delete(o.open, r.ID)
	o.Stats.Open.Add(-1)
	r.listener.Closed()
}

// answer gives a request its one answer.
func (o *Owner) answer(r *request, a Answer) {
	if r.answered {
		o.Log.Error("second answer kept back", "session", r.ID, "answer", a.Kind.String())
		return
	}
	r.answered = true
	switch a.Kind {
	case Plays:
		o.Stats.Plays.Add(1)
	case Refused:
		o.Stats.Refused.Add(1)
	case Failed:
		o.Stats.Failed.Add(1)
	}
	if o.loud() {
		o.Log.Info("answer", "session", r.ID, "answer", a.Kind.String(), "server", a.Server, "rung", a.Rung, "attempts", r.attempts)
	}
	r.listener.Answered(a)
	if a.Kind != Plays && !r.out {
		o.forget(r)
	}
}

// FinishRequests answers every request that still waits as failed, gives up their attempts and has Request refuse all
// that come later. Sessions that play are looked after until Run's context ends. It returns when that is done.
func (o *Owner) FinishRequests() {
	done := make(chan struct{})
	o.Inspect(func() {
		o.failRequests()
		close(done)
	})
	select {
	case <-done:
	case <-o.over:
	}
}

// finish ends the owner. What was told before is taken first: an answer or an end of a session among it is passed on.
func (o *Owner) finish() {
	o.takeEvents()
	o.failRequests()
	o.takeEvents()
}

// takeEvents takes the events that are there by now.
func (o *Owner) takeEvents() {
	for range len(o.events) {
		o.take(<-o.events)
	}
}

// failRequests answers what waits, and takes no request any more.
func (o *Owner) failRequests() {
	for _, r := range o.open {
		if r.cancel != nil && !r.playing {
			r.cancel(errCancelled)
		}
		if !r.answered && !r.gone {
			o.answer(r, Answer{Kind: Failed})
		}
	}
	o.taking.Lock()
	o.ended = true
	o.taking.Unlock()
	for {
		select {
		case in := <-o.requests:
			o.take(in)
		default:
			return
		}
	}
}

// loud tells whether the course of sessions is logged: its figures are not gathered for nothing.
func (o *Owner) loud() bool { return o.Log.Enabled(context.Background(), slog.LevelInfo) }

// Name is an outcome's word in logs.
func Name(x control.Outcome) string {
	names := [...]string{"served", "failed", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(x) < len(names) {
		return names[x]
	}
	return "unknown"
}
