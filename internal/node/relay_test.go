package node

import (
	"bufio"
	"io"
	"net"
	"sync"
	"testing"

	"rainpulley/internal/rtsp"
)

// relay is a proxy between viewers and a node that can end either side of a connection by itself.
type relay struct {
	net.Listener
	dialling sync.Mutex // one at a time, so that what is taken is what was dialled
	taken    chan *relayed
}

// relayed is one connection through a relay.
type relayed struct {
	client, node *net.TCPConn
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: l, taken: make(chan *relayed, 1)}
	var running sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); running.Wait() })
	running.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			x := &relayed{in.(*net.TCPConn), out.(*net.TCPConn)}
			t.Cleanup(func() { _ = x.client.Close(); _ = x.node.Close() })
			running.Go(func() { _, _ = io.Copy(x.node, x.client) })
			running.Go(func() {
				_, _ = io.Copy(x.client, x.node)
				_, _ = io.Copy(io.Discard, x.node) // the client's side has ended: what comes is lost
			})
			r.taken <- x
		}
	})
	return r
}

// dial opens a connection through the relay.
func (r *relay) dial(t *testing.T) (*dialogue, *relayed) {
	t.Helper()
	r.dialling.Lock()
	defer r.dialling.Unlock()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &dialogue{c, t, rtsp.NewReader(bufio.NewReaderSize(c, 4<<10))}, <-r.taken
}

// endings are the ways in which the node's side of a connection ends.
var endings = map[string]func(node *net.TCPConn){
	"close":     func(node *net.TCPConn) { _ = node.Close() },
	"reset":     func(node *net.TCPConn) { _ = node.SetLinger(0); _ = node.Close() },
	halfClose:   func(node *net.TCPConn) { _ = node.CloseWrite() },
	"no ending": func(*net.TCPConn) {}, // the node never hears of it
}
