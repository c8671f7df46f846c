package node

import (
	"net"
	"sync"
	"testing"

	"rainpulley/internal/jsonlines"
)

// TestGiveUpLostWithItsConnection: a set-up is given up for time, and its connection is reset before the server has read
// that. The session may stand there: the server is told again on another connection.
func TestGiveUpLostWithItsConnection(t *testing.T) {
	var first sync.Once
	tried := make(chan *box, 2)
	reset := make(chan struct{})
	answer := func(b **box) func(said) {
		return func(m said) {
			silent := false
			first.Do(func() { silent = true })
			if !silent {
				ready(m)
				return
			}
			tried <- *b
			<-reset // it reads nothing more of this connection
			_ = m.on.Conn.(*net.TCPConn).SetLinger(0)
			_ = m.on.Close()
		}
	}
	var a, b *box
	a, b = newBox(t, "s-1", answer(&a)), newBox(t, "s-2", answer(&b))
	n := startNode(t, a, b)
	v := n.dial().say(setUp(idA, "free", ""))
	silent := <-tried
	v.want(idA, 200) // of the other
	close(reset)
	if m := silent.next(t, jsonlines.Close); m.ID != idA {
		t.Errorf("%+v", m.Message)
	}
}
