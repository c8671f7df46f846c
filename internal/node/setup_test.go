package node

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"rainpulley/control"
	"rainpulley/internal/rtsp"
)

// TestTenantAndDedupe checks that a viewer's tenant reaches the controller and its deduplication key reaches the
// server, and that an unknown tenant is refused.
func TestTenantAndDedupe(t *testing.T) {
	b := newBox(t, "s-1", answerReady)
	n := startModifiedNode(t, func(n *Node) { n.Config.Set.Tenants = []control.Tenant{{Name: "one"}, {Name: "two"}} }, b)
	with := func(id, more string) string {
		return strings.Replace(setUpRequest(id, "free", ""), "X-Cos", more+"X-Cos", 1)
	}
	v := n.dial().send(with(idA, "X-Operator: two\r\nX-Dedupe: key-1\r\n"))
	v.wantAnswer(idA, 200)
	if m := b.next(t, "open"); m.Attr("idem") != "key-1" {
		t.Errorf("%+v", m.Message)
	}
	v.send(with(idB, "X-Operator: three\r\n")).wantAnswer(idB, 400)
	m, err := rtsp.NewReader(bufio.NewReader(strings.NewReader(with(idC, "X-Operator: two\r\n")))).Next()
	if err != nil {
		t.Fatal(err)
	}
	if r, _, problem := n.parseSetUp(m, time.Now()); r.Tenant != 1 || problem != "" {
		t.Errorf("tenant %d, %s", r.Tenant, problem)
	}
	v.send(setUpRequest(idC, "free", "")).wantAnswer(idC, 200)
	if m := b.next(t, "open"); m.Attr("idem") != "" {
		t.Errorf("%+v", m.Message)
	}
}
