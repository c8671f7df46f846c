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

// TestDialWithoutDescriptor checks that a dial that fails for lack of a local descriptor does not count against the
// server, and that a session there continues.
func TestDialWithoutDescriptor(t *testing.T) {
	b := newBox(t, "s-1", ready)
	available := make(chan struct{})
	n := startGated(t, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			select {
			case <-available:
				return dialTCP(ctx, addr, within)
			default:
				return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
			}
		}
	}, b)
	v := n.dial().say(setUp(idA, "free", ";at:s-1"))
	n.agree(1)
	n.dial().say(setUp(idB, "paid", "")).want(idB, 453)
	close(available)
	n.dial().say(setUp(idC, "paid", "")).want(idC, 200) // the server is not considered faulty
	v.silent()
	n.agree(2)
}

// TestAcceptWithoutDescriptor checks that the least valuable connection is evicted when accept finds no free
// descriptor, and that a connection that awaits an answer stays.
func TestAcceptWithoutDescriptor(t *testing.T) {
	b := newBox(t, "s-1", nil)
	acceptErrors := make(chan error, 8)
	n := startGated(t, func(n *Node) { n.Listener = &failingListener{n.Listener, acceptErrors} }, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	m := b.next(t, "open")
	silent := n.dial()
	eventually(t, "both connections accepted", func() bool {
		n.viewerConns.mu.Lock()
		defer n.viewerConns.mu.Unlock()
		return len(n.viewerConns.conns) == 2
	})
	for range 3 {
		acceptErrors <- &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	n.dial() // completes the blocked accept call; the next calls fail
	eventually(t, "all accept errors returned", func() bool { return len(acceptErrors) == 0 })
	last := n.dial().say(setUp(idB, "free", ""))
	if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read on the silent connection: %v, want EOF", err)
	}
	ready(m)
	v.want(idA, 200)
	ready(b.next(t, "open"))
	last.want(idB, 200)
}

// failingListener returns queued errors from Accept before it accepts connections.
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
