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

// readConn handles the messages of a server on one connection until the connection ends.
func (p *pool) readConn(c *serverConn) {
	r := bufio.NewReaderSize(&deadlineReader{conn: c.conn}, jsonlines.MaxLineBytes)
	for {
		m, err := p.nextMessage(c, r)
		if err != nil {
			p.node.Log.Debug("connection to server closed", "server", c.server.id, "error", err)
			p.closeConn(c, socketerror.Classify(err, socketerror.Transfer))
			return
		}
		if p.handleMessage(c, m) {
			runtime.Gosched() // let the answer be passed on before the next read
		}
	}
}

// nextMessage waits for a message and reads it. If no set-up is pending on the connection, goroutines that read an
// answer on another connection run first: a viewer may leave while its answer is queued after notes.
func (p *pool) nextMessage(c *serverConn, r *bufio.Reader) (*jsonlines.Message, error) {
	if _, err := r.Peek(1); err != nil { // a reset is reported only once
		return nil, err
	}
	if !c.setUpPending.Load() {
		p.node.yieldProcessor()
	}
	return jsonlines.Read(r)
}

// closeOutcomes maps the cause of a close before the answer to an outcome. An unknown cause counts as a reset.
var closeOutcomes = map[int]control.Outcome{jsonlines.CauseFull: control.Full, jsonlines.CauseError: control.Failed,
	jsonlines.CauseNotSent: control.NotSent, jsonlines.CauseReset: control.Reset}

// endOutcomes maps the cause of a close after the answer to an outcome. An unknown cause counts as a reset.
var endOutcomes = map[int]control.Outcome{jsonlines.CauseEnd: control.Served,
	jsonlines.CauseCancelled: control.Cancelled}

// handleMessage handles one message of a server. It reports whether the message ended the set-up on the connection.
func (p *pool) handleMessage(c *serverConn, m *jsonlines.Message) (answered bool) {
	load := wire.ConvertLoad(m.NumberMap("load"))
	p.mu.Lock()
	c.lastActivity = p.node.now()
	c.server.detector.RecordHeartbeat(c.lastActivity)
	active, isActive := c.server.activeSessions[m.ID]
	c.recordProcessAlive(active, isActive)
	matches := c.activeID != "" && c.activeID == m.ID
	switch {
	case m.Type == jsonlines.TypeReady && matches && !c.isProbe:
		r := core.Result{Outcome: control.Served}
		if m.Text == nil || *m.Text == "" {
			r = core.Result{Outcome: control.Failed, Load: load} // it ran, but returned no description
		} else {
			r.Payload = *m.Text
			c.server.activeSessions[m.ID] = activeSession{openedAt: c.openedAt}
		}
		answered = c.deliverResult(r)
		p.mu.Unlock()
	case m.Type == jsonlines.TypeProbed && matches && c.isProbe:
		r := core.Result{Outcome: control.Failed, Load: load}
		if m.Cause() == jsonlines.CauseProbePassed {
			r.Outcome = control.Served
		}
		c.deliverResult(r)
		p.mu.Unlock()
	case m.Type == jsonlines.TypeClose && matches:
		outcome, ok := closeOutcomes[m.Cause()]
		if !ok {
			outcome = control.Reset
		}
		answered = c.deliverResult(core.Result{Outcome: outcome, Load: load})
		p.mu.Unlock()
	case m.Type == jsonlines.TypeClose && c.wasGivenUp(m.ID): // ends that attempt only; a later one may be active
		p.mu.Unlock()
	case m.Type == jsonlines.TypeClose:
		p.mu.Unlock()
		p.handleSessionEnd(c, m, load)
	case m.Type == jsonlines.TypeEvent:
		if isActive {
			c.server.lastNoteAt = c.lastActivity
		}
		p.mu.Unlock()
		if kind, v, ok := parseNote(m); ok && isActive {
			if p.node.Log.Enabled(context.Background(), slog.LevelDebug) {
				p.node.Log.Debug("note", "session", m.ID, "server", c.server.id, "note", m.Attr("note"), "value", v)
			}
			p.node.orchestrator.AddNote(control.Note{ID: m.ID, Server: c.server.id, Kind: kind, Value: v})
		}
	default:
		p.mu.Unlock()
	}
	return answered
}

// recordProcessAlive records that the process at the other end of a connection runs, and the process of the active
// session, if any, that a message on it concerns.
func (c *serverConn) recordProcessAlive(active activeSession, isActive bool) {
	if c.detached {
		return
	}
	c.server.process.RecordMessage(c.openedAt)
	if isActive {
		c.server.process.RecordSessionMessage(active.openedAt)
	}
}

// handleSessionEnd handles a server's release of a session that is active or not known to this node yet.
func (p *pool) handleSessionEnd(c *serverConn, m *jsonlines.Message, load *control.LoadReport) {
	outcome, ok := endOutcomes[m.Cause()]
	if !ok {
		outcome = control.Reset
	}
	p.mu.Lock()
	_, wasActive := c.server.activeSessions[m.ID]
	delete(c.server.activeSessions, m.ID)
	if !wasActive {
		p.storeEarlyEnd(c.server, m.ID, earlyEnd{outcome, load, p.node.now()})
	}
	p.mu.Unlock()
	p.node.Log.Debug("released by server", "session", m.ID, "server", c.server.id, "cause", m.Cause(), "stood", wasActive)
	if wasActive {
		p.node.orchestrator.EndedByServer(m.ID, c.server.id, outcome, load)
	}
}

// storeEarlyEnd stores the end of a session that a viewer may name later.
func (p *pool) storeEarlyEnd(s *server, id string, end earlyEnd) {
	if len(s.earlyEnds) >= maxEarlyEnds {
		p.node.nearMisses.endsDropped.Add(1)
		p.node.Log.Warn("too many early session ends: one was dropped", "session", id, "server", s.id)
		return
	}
	s.earlyEnds[id] = end
}

// parseNote parses a note on an active session.
func parseNote(m *jsonlines.Message) (control.NoteKind, float64, bool) {
	kinds := map[string]control.NoteKind{"delivered": control.NoteShare, "rung": control.NoteRung,
		"link": control.NoteLink, "uplink": control.NoteUplink}
	kind, ok := kinds[m.Attr("note")]
	v, numeric := m.Number("value")
	return kind, v, ok && numeric
}
