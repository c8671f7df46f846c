package node

import (
	"fmt"
	"strings"
	"testing"

	"rainpulley/internal/jsonlines"
	"rainpulley/internal/rtsp"
)

// Guards against: a description that fits into the server's message, but not into the viewer's, made an answer that the
// viewer cannot read.
func TestOversizedAnswerFails(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial()
	for size, status := range map[int]int{rtsp.MaxMessageBytes - 100: statusOK, rtsp.MaxMessageBytes - 70: statusGatewayTimeout} {
		id := fmt.Sprintf("%016x", size)
		v.send(setUpRequest(id, "paid", ""))
		m := b.next(t, jsonlines.TypeOpen)
		m.conn.send(`{"msg":"ready","sid":%q,"attrs":{},"text":%q}`, id, strings.Repeat("a", size))
		a := v.wantAnswer(id, status)
		if status == statusOK && len(a.Body) != size {
			t.Errorf("description of %d bytes, want %d", len(a.Body), size)
		}
		if status != statusOK {
			if end := b.next(t, jsonlines.TypeClose); end.ID != id {
				t.Errorf("%s ended, want %s", end.ID, id)
			}
		}
	}
	n.wantSessionCount(1)
}

// Guards against: a set-up whose description is too long for a line to a server, once escaped, ended the connection of
// each server that it was sent to.
func TestOversizedSetUpIsRefused(t *testing.T) {
	b := newBox(t, "s-1", answerReady)
	n := startNode(t, b)
	v := n.dial()
	withDescription := func(id, text string) string {
		head, _, _ := strings.Cut(setUpRequest(id, "paid", ""), "Content-Length: ")
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	}
	v.send(withDescription(idA, strings.Repeat("\x01", 5000))).wantAnswer(idA, statusBadRequest)
	v.send(withDescription(idB, strings.Repeat("a", 15000))).wantAnswer(idB, statusOK)
	n.wantNoSetUp(b, idA)
}
