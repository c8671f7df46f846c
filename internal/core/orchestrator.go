// Package core runs the decision module of an edge, independently of the protocol that its viewers use. One goroutine
// owns the module, receives the reports of connections and servers over bounded queues, and passes the module's actions
// to an Executor. The package makes no placement decisions itself. It enforces the guarantees that the module relies
// on: each request gets exactly one answer, each attempt ends exactly once, and a request never has two attempts in
// flight at the same time.
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

// Decider is the decision module: control.Controller, or another policy that it is compared with.
type Decider interface {
	Step(now time.Duration, events []control.Event) []control.Action
}

// AnswerKind is the kind of an answer to a request.
type AnswerKind int

// The kinds of answers.
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

// Answer is the result of a request.
type Answer struct {
	Kind       AnswerKind
	Server     string
	Rung       int
	Attempt    int           // with Playing: number of the attempt that succeeded
	RetryAfter time.Duration // with Refused: how long the viewer should wait before it retries
	Payload    any           // with Playing: Result.Payload of the successful attempt
}

// Listener receives the progress of one request. Its methods are called on the orchestrator's goroutine and must not
// block.
type Listener interface {
	Answered(Answer)                           // at most once; not if the viewer leaves first or the session was adopted
	RungChanged(rung int)                      // the rung of a playing session changed
	Ended(outcome control.Outcome, moved bool) // a playing session ended; moved: by a Move action
	Closed()                                   // the request is over and has no attempt in flight; the last call
}

// Attempt is one set-up that the executor sends to a server.
type Attempt struct {
	ID, Server    string
	Number, Rung  int
	Class, Tenant int
	Title, Viewer uint64
	Listener      Listener
}

// Result is the result of a set-up.
type Result struct {
	Outcome control.Outcome // control.Served: the session plays
	Load    *control.LoadReport
	Payload any    // passed on in the Answer; its type is agreed between executor and listener
	Cleanup func() // if set, called after the result was queued: work that must not delay the answer
}

// Executor carries out the module's actions. SetUp is called in a goroutine of its own and returns when the attempt is
// no longer in flight; when ctx ends, it must abandon the attempt before it returns. The other methods must not block.
type Executor interface {
	SetUp(ctx context.Context, a Attempt) Result
	Release(id, server string, attempt int) // the server does not have to run the session any longer
	SetRung(a Attempt, rung int)
	Probe(server string)
	Subscribe()
	ReadList()
	SendToPeer(to int, data string)
}

// Options configures an Orchestrator.
type Options struct {
	QueueSize   int           // maximum number of requests of one source that wait for a decision; twice as many in all
	MaxAttempts int           // maximum attempts for one request; 0: unlimited
	Budget      Budget        // limits the attempts after a request's first
	AnswerSlack time.Duration // how long after its deadline an answer to a request still counts as in time
	Log         *slog.Logger
	Decider     Decider
	Executor    Executor
	Now         func() time.Duration // never goes back, not even across restarts
}

// Budget limits further attempts, which are those after a request's first: in any Span, a fixed number of free ones
// and Share of the accepted requests. The module enforces it. The orchestrator covers what the module cannot detect: an
// earlier instance of this process may have used the free attempts shortly before the restart.
type Budget struct {
	Span  time.Duration
	Share float64
}

// Stats holds the counters of an Orchestrator, which the metrics read.
type Stats struct {
	Requests, QueueFull, Started, Refused, Failed             atomic.Int64
	Attempts, FurtherAttempts, NotSent, Overdue, NotesDropped atomic.Int64
	Open                                                      atomic.Int64
}

// Orchestrator runs the decision module on one goroutine; see Run.
type Orchestrator struct {
	Options
	Stats      Stats
	requests   *requestQueue // when full, requests are rejected
	eventQueue chan input    // when full, senders block; the sessions and attempts in progress bound its length
	noteQueue  chan input    // when full, notes are dropped: the next note reports the current value again
	done       chan struct{}

	requestMu      sync.RWMutex // read-locked to queue a request, so that none is queued after the final drain
	requestsClosed bool         // guarded by requestMu: no more requests are accepted

	openRequests    map[string]*request
	startedAt       time.Duration
	requestCount    int // requests accepted since startedAt
	furtherAttempts int // attempts after a request's first, since startedAt
	timers          timerHeap
	lastExpiry      time.Duration // when requests were last searched for expired ones
	batch           []control.Event
	ctx             context.Context
}

// input is one item of the orchestrator's queues.
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
	viewerLeft bool // with inputRequest: the viewer left while the request waited
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
	errCancelled = errors.New("attempt cancelled")
	errTimedOut  = errors.New("attempt timed out")
)

// New returns an orchestrator; nothing is processed until Run is called.
func New(o Options) *Orchestrator {
	return &Orchestrator{Options: o, requests: newRequestQueue(o.QueueSize), eventQueue: make(chan input, 4096),
		noteQueue: make(chan input, 1024), done: make(chan struct{}), openRequests: map[string]*request{}}
}

// QueueLen returns the length of the request queue.
func (o *Orchestrator) QueueLen() int { return o.requests.len() }

// Submit queues a request of its viewer for a decision; see SubmitFrom.
func (o *Orchestrator) Submit(r control.Request, l Listener) bool {
	return o.SubmitFrom(r.Viewer, r, l)
}

// SubmitFrom queues a request of a source, such as a connection, for a decision. Sources take turns. It returns false,
// and never calls l, if the queue has no room for another request of the source or requests are no longer accepted.
func (o *Orchestrator) SubmitFrom(source uint64, r control.Request, l Listener) bool {
	o.requestMu.RLock()
	defer o.requestMu.RUnlock()
	if o.requestsClosed {
		return false
	}
	if !o.requests.push(source, &request{Request: r, listener: l}) {
		o.Stats.QueueFull.Add(1)
		return false
	}
	o.Stats.Requests.Add(1)
	return true
}

// Adopt adds a session that already plays, such as one that an edge finds on a server after a restart. Its listener
// receives no answer; the attempt that started the session counts as the first.
func (o *Orchestrator) Adopt(r control.Request, rung int, l Listener) {
	r.Playing = true
	o.enqueue(input{kind: inputAdopted, request: &request{Request: r, listener: l, answered: true, playing: true,
		server: r.Server, attempts: 1, rung: rung, sentAt: o.Now()}})
}

// ViewerLeft reports that the viewer of a request left, whether the request still waits or its session plays. A later
// request may reuse the id, so only the request of this listener is affected. The report never overtakes its own request:
// it would find none, and the session would play without a viewer. The method does not block: a blocked reader of a
// connection would not notice that other viewers on the connection leave.
func (o *Orchestrator) ViewerLeft(id string, l Listener) { o.requests.pushLeave(id, l) }

// SessionFinished reports that a session played to its end.
func (o *Orchestrator) SessionFinished(id string) {
	o.enqueue(input{kind: inputSessionFinished, id: id})
}

// SessionsLost reports that a server no longer runs these sessions. Like EndedByServer, it may be called as soon as the
// answer to a set-up has arrived: a loss that is queued before the session's start is kept until then. Otherwise the
// session would stay open for ever.
func (o *Orchestrator) SessionsLost(server string, ids []string) {
	o.enqueue(input{kind: inputSessionsLost, server: server, sessionIDs: ids})
}

// EndedByServer reports that a server ended a session that it runs. It may be called as soon as the answer to the
// set-up has arrived: an end that is queued before the set-up's result is kept until the session plays.
func (o *Orchestrator) EndedByServer(id, server string, outcome control.Outcome, load *control.LoadReport) {
	o.enqueue(input{kind: inputEndedByServer, id: id, server: server, result: Result{Outcome: outcome, Load: load}})
}

// AddEvent queues an event for the module, such as a server list, the result of a probe or a message of another front.
func (o *Orchestrator) AddEvent(e control.Event) { o.enqueue(input{event: e}) }

// AddNote queues a note for the module. It drops the note if the queue is full.
func (o *Orchestrator) AddNote(n control.Note) {
	select {
	case o.noteQueue <- input{event: n}:
	default:
		o.Stats.NotesDropped.Add(1)
	}
}

// Inspect has callback called on the orchestrator's goroutine, between two steps of the module. The callback must not
// block.
func (o *Orchestrator) Inspect(callback func()) {
	o.enqueue(input{kind: inputInspect, callback: callback})
}

func (o *Orchestrator) enqueue(in input) {
	select {
	case o.eventQueue <- in:
	case <-o.done:
	}
}

// infoEnabled reports whether the log is at info level, at which the progress of sessions is logged. Callers skip
// gathering the attributes otherwise.
func (o *Orchestrator) infoEnabled() bool { return o.Log.Enabled(context.Background(), slog.LevelInfo) }

// OutcomeName returns the name of an outcome in logs.
func OutcomeName(x control.Outcome) string {
	names := [...]string{"served", "failed", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(x) < len(names) {
		return names[x]
	}
	return "unknown"
}
