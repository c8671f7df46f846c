package node

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestNoDescriptor: a dial for which this side has no descriptor says nothing of the server, and a session there stays.
func TestDialWithoutDescriptor(t *testing.T) {
	b := newBox(t, "s-1", ready)
	full := make(chan struct{})
	n := startGated(t, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			select {
			case <-full:
				return dialTCP(ctx, addr, within)
			default:
				return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
			}
		}
	}, b)
	v := n.dial().say(setUp(idA, "free", ";at:s-1"))
	n.agree(1)
	n.dial().say(setUp(idB, "paid", "")).want(idB, 453)
	close(full)
	n.dial().say(setUp(idC, "paid", "")).want(idC, 200) // nothing speaks against the server
	v.silent()
	n.agree(2)
}

// TestAcceptWithoutDescriptor: when accept finds no descriptor free, the connection that is least missed makes room;
// who waits for an answer stays.
func TestAcceptWithoutDescriptor(t *testing.T) {
	b := newBox(t, "s-1", nil)
	acceptErrors := make(chan error, 8)
	n := startGated(t, func(n *Node) { n.Listener = &failingListener{n.Listener, acceptErrors} }, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	m := b.next(t, "open")
	silent := n.dial()
	eventually(t, "taken", func() bool {
		n.viewerConns.mu.Lock()
		defer n.viewerConns.mu.Unlock()
		return len(n.viewerConns.conns) == 2
	})
	for range 3 {
		acceptErrors <- &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	n.dial() // what accept waits in is over; the next ones fail
	eventually(t, "all failures met", func() bool { return len(acceptErrors) == 0 })
	last := n.dial().say(setUp(idB, "free", ""))
	if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the silent one: %v", err)
	}
	ready(m)
	v.want(idA, 200)
	ready(b.next(t, "open"))
	last.want(idB, 200)
}

// shortListener fails to accept as told.
type failingListener struct {
	net.Listener
	errors chan error
}

func (s *failingListener) Accept() (net.Conn, error) {
	select {
	case fail := <-s.errors:
		return nil, fail
	default:
		return s.Listener.Accept()
	}
}
