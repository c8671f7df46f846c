package core

import (
	"context"
	"time"

	"rainpulley/control"
)

// request is the state of one request, from its arrival until its session has ended or it is over without one.
type request struct {
	control.Request
	listener      Listener
	answered      bool
	viewerLeft    bool // before the answer
	playing       bool
	server        string
	attempts      int
	rung          int
	inFlight      bool // an attempt is in flight
	acceptedAt    time.Duration
	hasBackstop   bool // a backstop timer was set
	over          bool // the request was removed
	cancelAttempt context.CancelCauseFunc
	sentAt        time.Duration // of the last attempt

	// Inputs from the server of the attempt in flight that arrived before the result of its set-up.
	earlyNotes []input
	earlyEnd   *input // end of the session; never dropped, because the session would then stay open for ever
}

// maxEarlyNotes bounds the notes that are kept for one session before the result of its set-up. Notes beyond it are
// dropped: the next note reports the current value again.
const maxEarlyNotes = 8

// adoptSession adds a session that already plays. It ignores a session whose id is already open.
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

// acceptNote reports whether a note is passed to the module now. A note that arrives before its session's start is kept
// and handled after it. The rung that the server reports becomes the rung of the session.
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

// handleEndedByServer closes a session that its server ended, without releasing it on that server.
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

// acceptRequest opens a request, sets its backstop timer and passes it to the module.
func (o *Orchestrator) acceptRequest(r *request) {
	if o.requestsClosed { // submitted before requests were closed, and still in the queue then
		r.listener.Answered(Answer{Kind: Failed})
		r.listener.Closed()
		return
	}
	if o.openRequests[r.ID] != nil {
		o.Log.Error("request failed: its id is already in use", "session", r.ID)
		r.listener.Answered(Answer{Kind: Failed})
		r.listener.Closed()
		return
	}
	o.requestCount++
	r.acceptedAt = o.Now()
	o.openRequests[r.ID] = r
	o.Stats.Open.Add(1)
	r.hasBackstop = true
	o.timers.push(timer{at: r.GiveUpAt + o.AnswerSlack/2, backstop: r})
	o.addToBatch(r.Request)
}

// handleAttemptEnded handles the result of a set-up, which runAttempt has queued.
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
		o.answer(r, Answer{Kind: Playing, Server: in.server, Rung: r.rung, Attempt: in.attempt, Payload: in.result.Payload},
			byServer)
		for _, note := range earlyNotes {
			o.handle(note)
		}
		if earlyEnd != nil {
			o.handle(*earlyEnd)
		}
		return
	}
	if e.Outcome == control.Served { // the request is already answered or its viewer has left
		e.Outcome = control.Cancelled
	}
	if mayStillRun(e.Outcome) {
		o.Executor.Release(r.ID, in.server, in.attempt)
	}
	o.Log.Info("attempt ended", "session", r.ID, "server", in.server, "attempt", in.attempt,
		"outcome", OutcomeName(e.Outcome), "took", in.took, "final", e.Final)
	if e.Final {
		o.closeRequest(r)
	}
	o.addToBatch(e)
}

// addSetUpNotes passes the load in a set-up's answer to the module, in the form of notes.
func (o *Orchestrator) addSetUpNotes(r *request, in input) {
	if load := in.result.Load; load != nil && load.Link != nil {
		o.addToBatch(control.Note{ID: r.ID, Server: in.server, Kind: control.NoteLink, Value: *load.Link})
		if load.Uplink != nil {
			o.addToBatch(control.Note{ID: r.ID, Server: in.server, Kind: control.NoteUplink, Value: *load.Uplink})
		}
	}
}

// mayStillRun reports whether the server may still run the set-up after this outcome.
func mayStillRun(outcome control.Outcome) bool {
	return outcome != control.Full && outcome != control.ConnectFailed && outcome != control.NotSent
}

// handleViewerLeft ends a playing session whose viewer left, or withdraws a request that still waits.
func (o *Orchestrator) handleViewerLeft(id string, l Listener) {
	r := o.openRequests[id]
	switch {
	case r == nil || r.listener != l:
	case r.playing:
		o.releaseAndEnd(id, control.Cancelled)
	case !r.viewerLeft:
		r.viewerLeft = true
		o.Log.Info("request withdrawn", "session", r.ID, "server", r.server, "attempts", r.attempts, "out", r.inFlight,
			"after", o.Now()-r.acceptedAt)
		if !r.inFlight {
			o.closeRequest(r)
		}
		o.addToBatch(control.ViewerLeft{ID: id})
	}
}

// releaseAndEnd ends a playing session and releases it on its server, except after control.Reset: then the server no
// longer runs it.
func (o *Orchestrator) releaseAndEnd(id string, outcome control.Outcome) {
	r := o.openRequests[id]
	if r == nil || !r.playing {
		return
	}
	if outcome != control.Reset {
		o.Executor.Release(id, r.server, r.attempts-1)
	}
	o.endSession(r, outcome, nil)
}

// endSession notifies the listener and the module that a session no longer plays.
func (o *Orchestrator) endSession(r *request, outcome control.Outcome, load *control.LoadReport) {
	if o.infoEnabled() {
		o.Log.Info("session ended", "session", r.ID, "server", r.server, "outcome", OutcomeName(outcome))
	}
	r.listener.Ended(outcome, false)
	o.closeRequest(r)
	o.addToBatch(control.AttemptEnded{ID: r.ID, Server: r.server, Attempt: r.attempts - 1, Outcome: outcome,
		Took: o.Now() - r.sentAt, Final: true, Load: load})
}

// closeRequest removes a request that is over, and notifies its listener.
func (o *Orchestrator) closeRequest(r *request) {
	delete(o.openRequests, r.ID)
	o.Stats.Open.Add(-1)
	r.over = true
	if r.hasBackstop {
		o.timers.addObsolete()
	}
	r.listener.Closed()
}

// answerSource is the origin of an answer, as logs name it.
type answerSource string

const (
	byServer   answerSource = "server"   // a set-up succeeded there
	byModule   answerSource = "module"   // the module refused or failed the request
	byBackstop answerSource = "backstop" // the module gave no answer in time
	byShutdown answerSource = "end"      // the orchestrator stops or no longer accepts requests
)

// answer gives a request its only answer. It logs and drops a second one.
func (o *Orchestrator) answer(r *request, a Answer, by answerSource) {
	if r.answered {
		o.Log.Error("second answer suppressed: the request is already answered",
			"session", r.ID, "answer", a.Kind.String(), "by", by)
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
