package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rainpulley/internal/rtsp"
)

// System calls fail for a moment, for reasons of this machine: nothing that was accepted is lost by it, and no server
// passes for dead.

// momentary are errors of this machine that pass by themselves.
var transientErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN}

func dialError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// TestLocalDialErrors: no connection can be made for two seconds. A session that plays stays, though its server's
// connection ends in that time; a set-up that came shortly before the end of it is served.
func TestLocalDialErrors(t *testing.T) {
	for _, errno := range transientErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			var failing atomic.Bool
			var failures atomic.Int64
			b := newBox(t, "s-1", nil)
			n := startGated(t, func(n *Node) {
				n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
					if failing.Load() {
						failures.Add(1)
						return nil, dialError(errno)
					}
					return dialTCP(ctx, addr, within)
				}
			}, b)
			v := n.dial().say(setUp(idA, "paid", ""))
			m := b.next(t, "open")
			ready(m)
			v.want(idA, 200)
			failing.Store(true)
			_ = m.on.Close()
			time.Sleep(2 * time.Second)
			if failures.Load() < 3 {
				t.Fatalf("only %d tries failed", failures.Load())
			}
			v.say(setUp(idB, "paid", ""))
			time.Sleep(50 * time.Millisecond)
			failing.Store(false)
			ready(b.next(t, "open"))
			v.want(idB, 200)
			v.silent()
			n.agree(2)
		})
	}
}

// TestPauseProvesNothingOfServers: tries to connect whose time ran out while the process stood still do not end the
// sessions of a server.
func TestDialTimeoutDuringPauseKeepsSessions(t *testing.T) {
	var paused atomic.Bool
	var tries atomic.Int64
	b := newBox(t, "s-1", nil)
	n := startGated(t, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			if !paused.Load() {
				return dialTCP(ctx, addr, within)
			}
			tries.Add(1)
			n.clocks.mu.Lock()
			n.clocks.pauseStart, n.clocks.pauseEnd = time.Now(), time.Now()
			n.clocks.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
	}, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	m := b.next(t, "open")
	ready(m)
	v.want(idA, 200)
	paused.Store(true)
	_ = m.on.Close()
	eventually(t, "several tries", func() bool { return tries.Load() >= 4 })
	paused.Store(false)
	v.silent()
	n.agree(1)
}

// TestPauseCountsAgainstClients: a request that came while the process stood still has less time left than it says, and
// its server is told no more than that.
func TestPauseShortensTimeLeft(t *testing.T) {
	t.Parallel()
	const pause, timer, slack = time.Second, 3 * time.Second, 150 * time.Millisecond
	b := newBox(t, "s-1", ready)
	p := startProcess(t, b)
	v := p.dial()
	v.say(optionsRequest).want("", 200)
	p.pause(func() { v.say(setUp(idA, "paid", "")) }, pause)
	v.want(idA, 200)
	left, err := strconv.Atoi(b.next(t, "open").Attr("left"))
	if limit := timer - pause + slack; err != nil || time.Duration(left)*time.Millisecond > limit {
		t.Errorf("the server was told %d ms, the client has %v at most", left, limit)
	}
}

// TestAcceptTroubleClosesNobody: accept fails for reasons that no closed connection helps; nobody is closed for it.
func TestAcceptErrorClosesNoConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM} {
		acceptErrors := make(chan error, 8)
		n := startGated(t, func(n *Node) { n.Listener = &failingListener{n.Listener, acceptErrors} }, newBox(t, "s-1", ready))
		silent := n.dial()
		eventually(t, "taken", func() bool {
			n.viewerConns.mu.Lock()
			defer n.viewerConns.mu.Unlock()
			return len(n.viewerConns.conns) == 1
		})
		time.Sleep(newConnectionGrace) // it may be closed for room from now on
		for range 3 {
			acceptErrors <- &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
		}
		n.dial().say(setUp(idB, "free", "")).want(idB, 200)
		n.dial().say(optionsRequest).want("", 200)
		if len(acceptErrors) > 0 {
			t.Fatal("the failures were not met")
		}
		silent.say(setUp(idA, "free", "")).want(idA, 200)
	}
}

// troubledConn fails each call a few times, and then reads and writes one byte at a time.
type failingConn struct {
	net.Conn
	mu      sync.Mutex
	errnos  []syscall.Errno
	in, out bytes.Buffer
}

func (c *failingConn) nextError() error {
	if len(c.errnos) == 0 {
		return nil
	}
	number := c.errnos[0]
	c.errnos = c.errnos[1:]
	return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", number)}
}

func (c *failingConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.nextError(); err != nil {
		return 0, err
	}
	return c.in.Read(b[:1])
}

func (c *failingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.nextError(); err != nil {
		n, _ := c.out.Write(b[:1]) // a short write, and then the error
		return n, err
	}
	return c.out.Write(b)
}

func (c *failingConn) SetReadDeadline(time.Time) error  { return nil }
func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestTroubleWithinMessages: reads and writes that fail for a moment, and short ones, change no byte of a message, and
// cost no connection. What is broken for good is told.
func TestTransientErrorsWithinMessages(t *testing.T) {
	transient := []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN}
	message := rtsp.AppendResponse(nil, 200, []string{"CSeq", "1", "Session", idA}, []byte("a description"))
	reader := &failingConn{errnos: transient}
	reader.in.Write(message)
	got, err := io.ReadAll(&deadlineReader{conn: reader})
	if err != nil || !bytes.Equal(got, message) {
		t.Errorf("read %q, %v", got, err)
	}
	writer := &failingConn{errnos: transient}
	failed := make(chan struct{})
	out := &writeQueue{conn: writer, onError: func() { close(failed) }}
	out.enqueue(func(b []byte) []byte { return append(b, message...) })
	eventually(t, "all written", func() bool { return !out.isWriting() })
	if !bytes.Equal(writer.out.Bytes(), message) {
		t.Errorf("written %q", writer.out.Bytes())
	}
	broken := &failingConn{errnos: []syscall.Errno{syscall.EPIPE}}
	out = &writeQueue{conn: broken, onError: func() { close(failed) }}
	out.enqueue(func(b []byte) []byte { return append(b, message...) })
	<-failed
	if _, err := (&deadlineReader{conn: &failingConn{errnos: []syscall.Errno{syscall.ECONNRESET}}}).Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a reset reads as %v", err)
	}
}
