package core

import (
	"context"
	"time"

	"rainpulley/control"
)

// request is one request from its arrival until nothing more can come of it.
type request struct {
	control.Request
	listener      Listener
	answered      bool
	viewerLeft    bool // the viewer left before the answer
	playing       bool
	server        string
	attempts      int
	rung          int
	inFlight      bool          // an attempt is out
	acceptedAt    time.Duration // when the owner took it
	cancelAttempt context.CancelCauseFunc
	sentAt        time.Duration

	// Of the server tried, what came ahead of the end of its set-up.
	earlyNotes []input
	earlyEnd   *input // of the session: kept whatever notes come, or it would stand for ever
}

// maxEarlyNotes bounds the notes that are kept of a server that says much before its set-up's end is known. The next
// note tells the same as one that is dropped.
const maxEarlyNotes = 8

// adopt counts a session once: one that is open already stays as it is.
func (o *Orchestrator) adoptSession(r *request) {
	if o.openRequests[r.ID] != nil {
		r.listener.Closed()
		return
	}
	o.openRequests[r.ID] = r
	o.Stats.Open.Add(1)
	o.Log.Debug("session taken over", "session", r.ID, "server", r.server, "rung", r.rung)
	o.addToBatch(r.Request)
	if r.rung >= 0 {
		o.addToBatch(control.Note{ID: r.ID, Server: r.server, Kind: control.NoteRung, Value: float64(r.rung)})
	}
}

// noteDue keeps a note that came ahead of its session's start, and takes the rung that the server has in force.
func (o *Orchestrator) acceptNote(n control.Note, in input) bool {
	r := o.openRequests[n.ID]
	if r == nil || r.server != n.Server {
		return true
	}
	if r.inFlight {
		if len(r.earlyNotes) < maxEarlyNotes {
			r.earlyNotes = append(r.earlyNotes, in)
		} else {
			o.Stats.NotesDropped.Add(1)
		}
		return false
	}
	if n.Kind == control.NoteRung && n.Value >= 0 && n.Value < 1<<16 {
		r.rung = int(n.Value)
	}
	return true
}

// serverEnded closes a session that its server ended; it is not released there any more.
func (o *Orchestrator) handleEndedByServer(in input) {
	r := o.openRequests[in.id]
	switch {
	case r == nil || r.server != in.server:
	case r.inFlight:
		if r.earlyEnd == nil {
			r.earlyEnd = &in
		}
	case r.playing:
		o.endSession(r, in.result.Outcome, in.result.Load)
	}
}

func (o *Orchestrator) acceptRequest(r *request) {
	if o.requestsClosed { // handed in before FinishRequests, and taken from the queue just ahead of it
		r.listener.Answered(Answer{Kind: Failed})
		r.listener.Closed()
		return
	}
	if o.openRequests[r.ID] != nil {
		o.Log.Error("request id seen before", "session", r.ID)
		r.listener.Answered(Answer{Kind: Failed})
		r.listener.Closed()
		return
	}
	o.requestCount++
	r.acceptedAt = o.Now()
	o.openRequests[r.ID] = r
	o.Stats.Open.Add(1)
	o.timers.push(timer{at: r.GiveUpAt + o.AnswerSlack/2, backstop: r})
	o.addToBatch(r.Request)
}

// attemptEnded is told by the goroutine of a set-up.
func (o *Orchestrator) handleAttemptEnded(in input) {
	r := o.openRequests[in.id]
	if r == nil {
		return
	}
	r.inFlight = false
	r.cancelAttempt(nil)
	earlyNotes, earlyEnd := r.earlyNotes, r.earlyEnd
	r.earlyNotes, r.earlyEnd = nil, nil
	e := control.AttemptEnded{ID: r.ID, Server: in.server, Attempt: in.attempt, Outcome: in.result.Outcome, Took: in.took,
		Load: in.result.Load, Final: r.answered || r.viewerLeft}
	if e.Outcome == control.Served && !e.Final {
		r.playing = true
		o.addToBatch(control.SessionStarted{ID: r.ID, Server: in.server, Attempt: in.attempt, Took: in.took})
		o.addSetUpNotes(r, in)
		o.answer(r, Answer{Kind: Playing, Server: in.server, Rung: r.rung, Attempt: in.attempt, Setup: in.result.Setup}, byServer)
		for _, note := range earlyNotes {
			o.handle(note)
		}
		if earlyEnd != nil {
			o.handle(*earlyEnd)
		}
		return
	}
	if e.Outcome == control.Served { // nobody waits for it any more
		e.Outcome = control.Cancelled
	}
	if mayStillRun(e.Outcome) {
		o.Executor.Release(r.ID, in.server, in.attempt)
	}
	o.Log.Info("attempt ended", "session", r.ID, "server", in.server, "attempt", in.attempt, "outcome", OutcomeName(e.Outcome),
		"took", in.took, "final", e.Final)
	if e.Final {
		o.closeRequest(r)
	}
	o.addToBatch(e)
}

// noteSetUp passes on what the set-up's answer reported, as notes at set-up do.
func (o *Orchestrator) addSetUpNotes(r *request, in input) {
	if l := in.result.Load; l != nil && l.Link != nil {
		o.addToBatch(control.Note{ID: r.ID, Server: in.server, Kind: control.NoteLink, Value: *l.Link})
		if l.Uplink != nil {
			o.addToBatch(control.Note{ID: r.ID, Server: in.server, Kind: control.NoteUplink, Value: *l.Uplink})
		}
	}
}

// mayStillRun tells outcomes after which the server may still run the set-up.
func mayStillRun(x control.Outcome) bool {
	return x != control.Full && x != control.ConnectFailed && x != control.NotSent
}

func (o *Orchestrator) handleViewerLeft(id string, l Listener) {
	r := o.openRequests[id]
	switch {
	case r == nil || r.listener != l:
	case r.playing:
		o.releaseAndEnd(id, control.Cancelled)
	case !r.viewerLeft:
		r.viewerLeft = true
		o.Log.Info("request withdrawn", "session", r.ID, "server", r.server, "attempts", r.attempts, "out", r.inFlight, "after", o.Now()-r.acceptedAt)
		if !r.inFlight {
			o.closeRequest(r)
		}
		o.addToBatch(control.ViewerLeft{ID: id})
	}
}

// end closes a session that plays.
func (o *Orchestrator) releaseAndEnd(id string, how control.Outcome) {
	r := o.openRequests[id]
	if r == nil || !r.playing {
		return
	}
	if how != control.Reset {
		o.Executor.Release(id, r.server, r.attempts-1)
	}
	o.endSession(r, how, nil)
}

// endSession tells viewer and module that a session no longer plays.
func (o *Orchestrator) endSession(r *request, how control.Outcome, l *control.LoadReport) {
	if o.infoEnabled() {
		o.Log.Info("session ended", "session", r.ID, "server", r.server, "outcome", OutcomeName(how))
	}
	r.listener.Ended(how, false)
	o.closeRequest(r)
	o.addToBatch(control.AttemptEnded{ID: r.ID, Server: r.server, Attempt: r.attempts - 1, Outcome: how, Took: o.Now() - r.sentAt, Final: true,
		Load: l})
}

func (o *Orchestrator) closeRequest(r *request) {
	delete(o.openRequests, r.ID)
	o.Stats.Open.Add(-1)
	r.listener.Closed()
}

// answerSource is who ended a request with its answer, as logs name it.
type answerSource string

const (
	byServer   answerSource = "server"   // the set-up stands there
	byModule   answerSource = "module"   // refused or failed by decision
	byBackstop answerSource = "backstop" // the module said nothing in time
	byShutdown answerSource = "end"      // the owner ends
)

// answer gives a request its one answer.
func (o *Orchestrator) answer(r *request, a Answer, by answerSource) {
	if r.answered {
		o.Log.Error("second answer kept back", "session", r.ID, "answer", a.Kind.String(), "by", by)
		return
	}
	r.answered = true
	switch a.Kind {
	case Playing:
		o.Stats.Started.Add(1)
	case Refused:
		o.Stats.Refused.Add(1)
	case Failed:
		o.Stats.Failed.Add(1)
	}
	r.listener.Answered(a)
	if o.infoEnabled() {
		now := o.Now()
		o.Log.Info("answer", "session", r.ID, "answer", a.Kind.String(), "by", by, "server", a.Server, "rung", a.Rung,
			"attempts", r.attempts, "out", r.inFlight, "took", now-r.acceptedAt, "left", r.GiveUpAt-now)
	}
	if a.Kind != Playing && !r.inFlight {
		o.closeRequest(r)
	}
}
