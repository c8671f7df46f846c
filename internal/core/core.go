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
type AnswerKind int

// Kinds of answers.
const (
	Playing AnswerKind = iota + 1
	Refused
	Failed
)

func (k AnswerKind) String() string {
	switch k {
	case Playing:
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
	Kind       AnswerKind
	Server     string
	Rung       int
	Attempt    int           // that plays
	RetryAfter time.Duration // with Refused: wait advised
	Setup      any           // with Plays: what the carrier brought back
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
	Cleanup func() // if set, called once the owner has been told: what need not be ahead of the answer
}

// Carrier carries out actions. SetUp runs in a goroutine of its own and returns when the attempt is no
// longer out; when ctx ends, it must give the attempt up before it returns. The others must not wait.
type Executor interface {
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
	QueueSize   int           // requests waiting for a decision
	MaxAttempts int           // attempts of one request; 0: not limited
	Budget      Budget        // of further attempts
	AnswerSlack time.Duration // after its deadline a request is still answered in time
	Log         *slog.Logger
	Decider     Decider
	Executor    Executor
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
	Requests, QueueFull, Started, Refused, Failed             atomic.Int64
	Attempts, FurtherAttempts, NotSent, Overdue, NotesDropped atomic.Int64
	Open                                                      atomic.Int64
}

// Owner owns the module.
type Orchestrator struct {
	Options
	Stats        Stats
	requestQueue chan input // refused when full
	eventQueue   chan input // waits when full: bounded by what is under way
	noteQueue    chan input // dropped when full: the next one tells the same
	done         chan struct{}

	requestMu      sync.RWMutex // held to hand in a request: none may slip in behind the last look at the queue
	requestsClosed bool         // under taking: no request is taken any more

	openRequests    map[string]*request
	startedAt       time.Duration
	requestCount    int // requests, and attempts beyond their first, since startedAt
	furtherAttempts int
	timers          timerHeap
	batch           []control.Event
	ctx             context.Context
}

// input is one thing told to the owner.
type input struct {
	event      control.Event
	request    *request
	listener   Listener
	id         string
	kind       inputKind
	attempt    int
	result     Result
	took       time.Duration
	server     string
	sessionIDs []string
	callback   func()
}

type inputKind int

const (
	inputEvent inputKind = iota
	inputRequest
	inputAttemptEnded
	inputViewerLeft
	inputSessionFinished
	inputSessionsLost
	inputEndedByServer
	inputAdopted
	inputInspect
)

var (
	errCancelled = errors.New("called off")
	errTimedOut  = errors.New("no answer in time")
)

// New returns an owner; Run must be called.
func New(o Options) *Orchestrator {
	return &Orchestrator{Options: o, requestQueue: make(chan input, o.QueueSize), eventQueue: make(chan input, 4096),
		noteQueue: make(chan input, 1024), done: make(chan struct{}), openRequests: map[string]*request{}}
}

// Queued is the number of requests that wait for the decision.
func (o *Orchestrator) QueueLen() int { return len(o.requestQueue) }

// Request hands in a request; false if the queue is full or the owner has ended, and then nothing is owed.
func (o *Orchestrator) Submit(r control.Request, l Listener) bool {
	o.requestMu.RLock()
	defer o.requestMu.RUnlock()
	if o.requestsClosed {
		return false
	}
	select {
	case o.requestQueue <- input{kind: inputRequest, request: &request{Request: r, listener: l}}:
		o.Stats.Requests.Add(1)
		return true
	default:
		o.Stats.QueueFull.Add(1)
		return false
	}
}

// Adopt hands over a session that plays already, as an edge finds them after a restart. Nothing is owed
// for it; its attempt counts as the first.
func (o *Orchestrator) Adopt(r control.Request, rung int, l Listener) {
	r.Playing = true
	o.enqueue(input{kind: inputAdopted, request: &request{Request: r, listener: l, answered: true, playing: true, server: r.Server,
		attempts: 1, rung: rung, sentAt: o.Now()}})
}

// Leave says that the viewer of a request went away, whether it waits or plays. An id may be used again by a later
// request: only the one that the listener follows is meant. It goes behind the request itself: one that overtook it would
// find nothing, and the session would play for nobody. It does not wait: a connection's reader that did would not see that
// its other viewers leave.
func (o *Orchestrator) ViewerLeft(id string, l Listener) {
	in := input{kind: inputViewerLeft, id: id, listener: l}
	select {
	case o.requestQueue <- in:
	default:
		go o.queueViewerLeft(in)
	}
}

func (o *Orchestrator) queueViewerLeft(in input) {
	select {
	case o.requestQueue <- in:
	case <-o.done:
	}
}

// PlayedOut says that a session came to its end.
func (o *Orchestrator) SessionFinished(id string) {
	o.enqueue(input{kind: inputSessionFinished, id: id})
}

// Lost says that a server no longer runs these sessions. Like ServerEnded it may be called as soon as a set-up's answer
// is there: a session whose loss came ahead of its start would stand for ever.
func (o *Orchestrator) SessionsLost(server string, ids []string) {
	o.enqueue(input{kind: inputSessionsLost, server: server, sessionIDs: ids})
}

// ServerEnded says that a server ended a session that it runs. It may be called as soon as the set-up's answer
// is there: what comes ahead of it in the queue is kept until the session plays.
func (o *Orchestrator) EndedByServer(id, server string, how control.Outcome, l *control.LoadReport) {
	o.enqueue(input{kind: inputEndedByServer, id: id, server: server, result: Result{Outcome: how, Load: l}})
}

// Event tells the module a list, a probe's result or a message.
func (o *Orchestrator) AddEvent(e control.Event) { o.enqueue(input{event: e}) }

// Note tells a note; one too many is dropped.
func (o *Orchestrator) AddNote(n control.Note) {
	select {
	case o.noteQueue <- input{event: n}:
	default:
		o.Stats.NotesDropped.Add(1)
	}
}

// Inspect has look called on the owner's goroutine, between two steps of the module. It must not wait.
func (o *Orchestrator) Inspect(look func()) { o.enqueue(input{kind: inputInspect, callback: look}) }

func (o *Orchestrator) enqueue(in input) {
	select {
	case o.eventQueue <- in:
	case <-o.done:
	}
}

// logsSessions tells whether the course of sessions is logged: its figures are not gathered for nothing.
func (o *Orchestrator) infoEnabled() bool { return o.Log.Enabled(context.Background(), slog.LevelInfo) }

// Name is an outcome's word in logs.
func OutcomeName(x control.Outcome) string {
	names := [...]string{"served", "failed", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(x) < len(names) {
		return names[x]
	}
	return "unknown"
}
