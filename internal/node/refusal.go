package node

import (
	"context"
	"log/slog"
	"time"

	"rainpulley/internal/lifecycle"
	"rainpulley/internal/rtsp"
)

// Refusals of messages and set-ups that never reach the orchestrator. Several viewers may share a connection, so that a
// response which names no session cannot be attributed to any of their requests. A refusal therefore names the set-up
// that it refuses, unless a request of the same connection has the same session id: the viewer would take the refusal
// for that request's answer.

// respondError answers a message that cannot be parsed or was not completed in time. Nothing after it is handled. The
// response names the set-up that the message is, if that much of it was received.
func (c *viewerConn) respondError(status int, reader *rtsp.Reader, cause error) {
	cseq, id := reader.SetUpHeaders()
	if !c.mayNameInError(id) {
		id = ""
	}
	c.node.nearMisses.messagesRefused.Add(1)
	c.logMessageRefused(status, id, cause)
	c.out.enqueue(func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", cseq, "Session", id}, nil)
	})
}

// mayNameInError reports whether an error response on this connection may carry a session id. It must not if the viewer
// could take it for another answer to a set-up that it sent on this connection before.
func (c *viewerConn) mayNameInError(id string) bool {
	existing := c.node.findSession(id)
	return isSessionID(id) && (existing == nil || existing.currentConn() != c)
}

// logMessageRefused logs why a message was refused, and what else is open on its connection.
func (c *viewerConn) logMessageRefused(status int, id string, cause error) {
	c.mu.Lock()
	waitingIDs, sessionCount, hadMessages := c.openSetUpIDs(), c.sessionCount, c.receivedMessage
	c.mu.Unlock()
	c.node.Log.Info("message refused", "status", status, "why", cause, "session", id, "connection", uint64(c.id),
		"from", c.conn.RemoteAddr().String(), "age", time.Since(c.openedAt), "messages before", hadMessages,
		"waiting", waitingIDs, "sessions", sessionCount)
}

// refuseDuplicate refuses a set-up under an open session id that differs from the open request or came on the same
// connection. The open request need not be the viewer's own: two connections have no order, so the impostor's may have
// been read first. The refusal therefore carries the session id, except on the connection on which the open request
// awaits its answer: there the viewer would take it for that answer.
func (c *viewerConn) refuseDuplicate(s, existing *session) {
	status, id := statusBadRequest, s.id
	switch {
	case existing.isWithdrawn():
		status = statusServiceUnavailable
	case existing.currentConn() == c:
		id = ""
	}
	c.logDuplicate(s, existing, status)
	c.out.enqueue(func(b []byte) []byte {
		return rtsp.AppendResponse(b, status, []string{"CSeq", s.cseq, "Session", id}, nil)
	})
}

// logDuplicate logs that a set-up under an open session id was refused, with the state of the open request.
func (c *viewerConn) logDuplicate(s, existing *session, status int) {
	existingConn := existing.currentConn()
	if existingConn != c {
		c.node.nearMisses.repeatsElsewhere.Add(1)
	}
	if !c.node.Log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	c.node.Log.Info("set-up refused", "session", s.id, "status", status, "why", "id is open", "connection", uint64(c.id),
		"from", c.conn.RemoteAddr().String(), "open set-ups", c.openSetUpCount(),
		"same content", s.identity == existing.identity, "class", s.className, "open class", existing.className,
		"open since", c.node.now()-existing.receivedAt, "open on", uint64(existingConn.id),
		"open from", existingConn.conn.RemoteAddr().String(), "attempt sent", existing.wasAttemptSent(),
		"that connection", existingConn.phase().String(), "viewer left", existing.isWithdrawn(),
		"answered", existing.isAnswered())
}

// refuseToStart answers a set-up that may not be started under its id. If one under the id may have run, the answer must
// not imply that it did not.
func (c *viewerConn) refuseToStart(m *rtsp.Message, refusal lifecycle.Refusal) {
	status := statusServiceUnavailable
	if refusal == lifecycle.MayHaveRun {
		status = statusGatewayTimeout
	}
	c.node.Log.Info("set-up refused", "session", m.Get("Session"), "status", status, "why", refusal.String(),
		"connection", uint64(c.id))
	c.respond(m, status)
}

// refuse answers a registered set-up that is not submitted. Its viewer may have resent it on another connection since:
// the answer is sent where the viewer awaits it.
func (s *session) refuse() {
	refusal := finalAnswer{status: statusServiceUnavailable}
	conn, _, first := s.claimAnswer(refusal)
	if first {
		s.node.ledger.Answered(s.identity)
		conn.out.enqueue(s.appendAnswer(refusal))
	}
	s.node.unregister(s)
	conn.removeSetUp(s)
}
