package node

import (
	"bufio"
	"context"
	"log/slog"
	"runtime"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/socketerror"
	"rainpulley/internal/wire"
)

// read takes what a server says on one connection until it ends.
func (p *pool) read(l *link) {
	r := bufio.NewReaderSize(&timedReader{conn: l.conn}, jsonlines.MaxLineBytes)
	for {
		m, err := p.next(l, r)
		if err != nil {
			p.n.Log.Debug("connection to server over", "server", l.s.id, "error", err)
			verdict := socketerror.Classify(err, socketerror.Transfer)
			p.close(l, verdict == socketerror.ClosedLocally || verdict == socketerror.PeerClosed)
			return
		}
		if p.handle(l, m) {
			runtime.Gosched() // the answer goes on its way first, the next read of this socket can wait
		}
	}
}

// next waits for a message and reads it. Where no set-up is out on the connection, whoever reads an answer on another one
// goes first: a viewer may leave while its answer waits for notes.
func (p *pool) next(l *link, r *bufio.Reader) (*jsonlines.Message, error) {
	if _, err := r.Peek(1); err != nil { // a reset is told once only
		return nil, err
	}
	if !l.answerDue.Load() {
		p.n.giveWay()
	}
	return jsonlines.Read(r)
}

// causes of a close ahead of the answer; an unknown one is a reset.
var causes = map[int]control.Outcome{jsonlines.CauseFull: control.Full, jsonlines.CauseError: control.Failed,
	jsonlines.CauseNotSent: control.NotSent, jsonlines.CauseReset: control.Reset}

// ends are causes of a close after it.
var ends = map[int]control.Outcome{jsonlines.CauseEnd: control.Served, jsonlines.CauseCancelled: control.Cancelled}

// handle takes one message of a server. It tells whether that ended the set-up on the link.
func (p *pool) handle(l *link, m *jsonlines.Message) (answered bool) {
	load := wire.ConvertLoad(m.NumberMap("load"))
	p.mu.Lock()
	l.heard = p.n.now()
	l.s.detector.RecordHeartbeat(l.heard)
	mine := l.sid != "" && l.sid == m.ID
	switch {
	case m.Type == jsonlines.TypeReady && mine && !l.probe:
		r := core.Result{Outcome: control.Served}
		if m.Text == nil || *m.Text == "" {
			r = core.Result{Outcome: control.Failed, Load: load} // it ran, and there is nothing to pass on
		} else {
			r.Setup = *m.Text
			l.s.standing[m.ID] = true
		}
		answered = l.deliver(r)
		p.mu.Unlock()
	case m.Type == jsonlines.TypeProbed && mine && l.probe:
		r := core.Result{Outcome: control.Failed, Load: load}
		if m.Cause() == jsonlines.CauseProbePassed {
			r.Outcome = control.Served
		}
		l.deliver(r)
		p.mu.Unlock()
	case m.Type == jsonlines.TypeClose && mine:
		o, ok := causes[m.Cause()]
		if !ok {
			o = control.Reset
		}
		answered = l.deliver(core.Result{Outcome: o, Load: load})
		p.mu.Unlock()
	case m.Type == jsonlines.TypeClose && l.gaveUpOn(m.ID): // of that attempt; a later one may stand
		p.mu.Unlock()
	case m.Type == jsonlines.TypeClose:
		p.mu.Unlock()
		p.sessionEnded(l, m, load)
	case m.Type == jsonlines.TypeEvent:
		stands := l.s.standing[m.ID]
		p.mu.Unlock()
		if kind, v, ok := note(m); ok && stands {
			if p.n.Log.Enabled(context.Background(), slog.LevelDebug) {
				p.n.Log.Debug("note", "session", m.ID, "server", l.s.id, "note", m.Attr("note"), "value", v)
			}
			p.n.owner.AddNote(control.Note{ID: m.ID, Server: l.s.id, Kind: kind, Value: v})
		}
	default:
		p.mu.Unlock()
	}
	return answered
}

// sessionEnded takes a server's release of a session that stands, or that this node does not know yet.
func (p *pool) sessionEnded(l *link, m *jsonlines.Message, load *control.LoadReport) {
	outcome, ok := ends[m.Cause()]
	if !ok {
		outcome = control.Reset
	}
	p.mu.Lock()
	stood := l.s.standing[m.ID]
	delete(l.s.standing, m.ID)
	if !stood {
		p.keepEarlyEnd(l.s, m.ID, earlyEnd{outcome, load, p.n.now()})
	}
	p.mu.Unlock()
	p.n.Log.Debug("released by server", "session", m.ID, "server", l.s.id, "cause", m.Cause(), "stood", stood)
	if stood {
		p.n.owner.EndedByServer(m.ID, l.s.id, outcome, load)
	}
}

// keepEarlyEnd keeps the end of a session that may be named later.
func (p *pool) keepEarlyEnd(s *server, id string, end earlyEnd) {
	if len(s.earlyEnds) >= maxEarlyEnds {
		p.n.near.endsDropped.Add(1)
		p.n.Log.Warn("end of an unknown session not kept: too many", "session", id, "server", s.id)
		return
	}
	s.earlyEnds[id] = end
}

// note reads a note on a session that stands.
func note(m *jsonlines.Message) (control.NoteKind, float64, bool) {
	kinds := map[string]control.NoteKind{"delivered": control.NoteShare, "rung": control.NoteRung,
		"link": control.NoteLink, "uplink": control.NoteUplink}
	k, ok := kinds[m.Attr("note")]
	v, is := m.Number("value")
	return k, v, ok && is
}
