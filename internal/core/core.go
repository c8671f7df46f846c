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
	Load    *control.LoadReport
	Setup   any
	Done    func() // if set, called once the owner has been told: what need not be ahead of the answer
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
	Queue       int           // requests waiting for a decision
	MaxAttempts int           // attempts of one request; 0: not limited
	Budget      Budget        // of further attempts
	Slack       time.Duration // after its deadline a request is still answered in time
	Log         *slog.Logger
	Decider     Decider
	Carrier     Carrier
	Now         func() time.Duration // rises, also over restarts
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

	open      map[string]*request
	startedAt time.Duration
	taken     int // requests, and attempts beyond their first, since startedAt
	more      int
	timers    timerHeap
	batch     []control.Event
	ctx       context.Context
}

// input is one thing told to the owner.
type input struct {
	event    control.Event
	request  *request
	listener Listener
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

// Leave says that the viewer of a request went away, whether it waits or plays. An id may be used again by a later
// request: only the one that the listener follows is meant. It goes behind the request itself: one that overtook it would
// find nothing, and the session would play for nobody. It does not wait: a connection's reader that did would not see that
// its other viewers leave.
func (o *Owner) Leave(id string, l Listener) {
	in := input{what: viewerLeft, id: id, listener: l}
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
func (o *Owner) ServerEnded(id, server string, how control.Outcome, l *control.LoadReport) {
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

// logsSessions tells whether the course of sessions is logged: its figures are not gathered for nothing.
func (o *Owner) logsSessions() bool { return o.Log.Enabled(context.Background(), slog.LevelInfo) }

// Name is an outcome's word in logs.
func Name(x control.Outcome) string {
	names := [...]string{"served", "failed", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(x) < len(names) {
		return names[x]
	}
	return "unknown"
}
