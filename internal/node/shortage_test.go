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
	b := newBox(t, "s-1", answerReady)
	available := make(chan struct{})
	n := startModifiedNode(t, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			select {
			case <-available:
				return dialTCP(ctx, addr, within)
			default:
				return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
			}
		}
	}, b)
	v := n.dial().send(setUpRequest(idA, "free", ";at:s-1"))
	n.wantSessionCount(1)
	n.dial().send(setUpRequest(idB, "paid", "")).wantAnswer(idB, 453)
	close(available)
	n.dial().send(setUpRequest(idC, "paid", "")).wantAnswer(idC, 200) // the server is not considered faulty
	v.wantNoMessage()
	n.wantSessionCount(2)
}

// TestAcceptWithoutDescriptor checks that the least valuable connection is evicted when accept finds no free
// descriptor, and that a connection that awaits an answer stays.
func TestAcceptWithoutDescriptor(t *testing.T) {
	b := newBox(t, "s-1", nil)
	acceptErrors := make(chan error, 8)
	n := startModifiedNode(t, func(n *Node) { n.Listener = &failingListener{n.Listener, acceptErrors} }, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
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
	last := n.dial().send(setUpRequest(idB, "free", ""))
	if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read on the silent connection: %v, want EOF", err)
	}
	answerReady(m)
	v.wantAnswer(idA, 200)
	answerReady(b.next(t, "open"))
	last.wantAnswer(idB, 200)
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
