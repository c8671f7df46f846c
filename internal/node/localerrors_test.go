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
	"rainpulley/internal/socketerror"
)

// These tests cover system calls that fail transiently for local reasons: no accepted connection or request is lost,
// and no server is considered failed.

// transientErrors are local errors that may resolve by themselves.
var transientErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE,
	syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN}

func dialError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// TestLocalDialErrors covers dials that fail locally for two seconds. A playing session continues although its
// server's connection ends during that time, and a set-up that arrives shortly before the failures stop is served.
func TestLocalDialErrors(t *testing.T) {
	for _, errno := range transientErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			var failing atomic.Bool
			var failures atomic.Int64
			b := newBox(t, "s-1", nil)
			n := startModifiedNode(t, func(n *Node) {
				n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
					if failing.Load() {
						failures.Add(1)
						return nil, dialError(errno)
					}
					return dialTCP(ctx, addr, within)
				}
			}, b)
			v := n.dial().send(setUpRequest(idA, "paid", ""))
			m := b.next(t, "open")
			answerReady(m)
			v.wantAnswer(idA, 200)
			failing.Store(true)
			_ = m.conn.Close()
			time.Sleep(2 * time.Second)
			if failures.Load() < 3 {
				t.Fatalf("only %d dials failed, want at least 3", failures.Load())
			}
			v.send(setUpRequest(idB, "paid", ""))
			time.Sleep(50 * time.Millisecond)
			failing.Store(false)
			answerReady(b.next(t, "open"))
			v.wantAnswer(idB, 200)
			v.wantNoMessage()
			n.wantSessionCount(2)
		})
	}
}

// TestDialTimeoutDuringPauseKeepsSessions checks that dials that time out while the process is paused do not end a
// server's sessions.
func TestDialTimeoutDuringPauseKeepsSessions(t *testing.T) {
	var paused atomic.Bool
	var dials atomic.Int64
	b := newBox(t, "s-1", nil)
	n := startModifiedNode(t, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			if !paused.Load() {
				return dialTCP(ctx, addr, within)
			}
			dials.Add(1)
			n.clocks.mu.Lock()
			n.clocks.pauseStart, n.clocks.pauseEnd = time.Now(), time.Now()
			n.clocks.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
	}, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	m := b.next(t, "open")
	answerReady(m)
	v.wantAnswer(idA, 200)
	paused.Store(true)
	_ = m.conn.Close()
	eventually(t, "several dials", func() bool { return dials.Load() >= 4 })
	paused.Store(false)
	v.wantNoMessage()
	n.wantSessionCount(1)
}

// TestPauseShortensTimeLeft checks that the time left that a server receives with a set-up is reduced by the time for
// which the request waited while the process was paused.
func TestPauseShortensTimeLeft(t *testing.T) {
	t.Parallel()
	const pause, timer, slack = time.Second, 3 * time.Second, 150 * time.Millisecond
	b := newBox(t, "s-1", answerReady)
	p := startProcess(t, b)
	v := p.dial()
	v.send(optionsRequest).wantAnswer("", 200)
	p.pause(func() { v.send(setUpRequest(idA, "paid", "")) }, pause)
	v.wantAnswer(idA, 200)
	left, err := strconv.Atoi(b.next(t, "open").Attr("left"))
	if limit := timer - pause + slack; err != nil || time.Duration(left)*time.Millisecond > limit {
		t.Errorf("the server received %d ms of time left, want at most %v", left, limit)
	}
}

// TestAcceptErrorClosesNoConnection checks that no connection is closed when accept fails with an error that closing
// connections would not resolve.
func TestAcceptErrorClosesNoConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
		syscall.EPROTO, syscall.EPERM} {
		acceptErrors := make(chan error, 8)
		n := startModifiedNode(t, func(n *Node) { n.Listener = &failingListener{n.Listener, acceptErrors} },
			newBox(t, "s-1", answerReady))
		silent := n.dial()
		eventually(t, "the silent connection accepted", func() bool {
			n.viewerConns.mu.Lock()
			defer n.viewerConns.mu.Unlock()
			return len(n.viewerConns.conns) == 1
		})
		time.Sleep(newConnectionGrace) // from now on the silent connection may be evicted
		for range 3 {
			acceptErrors <- &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
		}
		n.dial().send(setUpRequest(idB, "free", "")).wantAnswer(idB, 200)
		n.dial().send(optionsRequest).wantAnswer("", 200)
		if len(acceptErrors) > 0 {
			t.Fatal("not all accept errors were returned")
		}
		silent.send(setUpRequest(idA, "free", "")).wantAnswer(idA, 200)
	}
}

// failingConn is a connection whose calls return the listed errors first. Reads then return one byte at a time, and a
// write that fails has written one byte.
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
		n, _ := c.out.Write(b[:1]) // short write with an error
		return n, err
	}
	return c.out.Write(b)
}

func (c *failingConn) SetReadDeadline(time.Time) error  { return nil }
func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestTransientErrorsWithinMessages checks that transient errors and short reads and writes neither change a message
// nor close the connection, and that permanent errors are reported.
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
	failed := make(chan socketerror.Category, 1)
	out := &writeQueue{conn: writer, onError: func(c socketerror.Category) { failed <- c }}
	out.enqueue(func(b []byte) []byte { return append(b, message...) })
	eventually(t, "all output written", func() bool { return !out.isWriting() })
	if !bytes.Equal(writer.out.Bytes(), message) {
		t.Errorf("written %q", writer.out.Bytes())
	}
	broken := &failingConn{errnos: []syscall.Errno{syscall.EPIPE}}
	out = &writeQueue{conn: broken, onError: func(c socketerror.Category) { failed <- c }}
	out.enqueue(func(b []byte) []byte { return append(b, message...) })
	if category := <-failed; category != socketerror.PeerReset {
		t.Errorf("write after the peer closed the connection: category %v, want %v", category, socketerror.PeerReset)
	}
	if _, err := (&deadlineReader{conn: &failingConn{errnos: []syscall.Errno{syscall.ECONNRESET}}}).Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after a reset: error %v, want ECONNRESET", err)
	}
}
