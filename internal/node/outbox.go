package node

import (
	"net"
	"sync"
	"syscall"
	"time"

	"rainpulley/internal/socketerror"
)

// outbox is the one writer of a connection. Whoever has something to say appends it and never waits; a
// goroutine writes while there is something to write. A peer that reads too slowly loses its connection.
type writeQueue struct {
	conn    net.Conn
	onError func() // once, when the connection cannot be written to any more

	mu      sync.Mutex
	pending []byte
	spare   []byte
	writing bool
	closing bool // after what is pending
	closed  bool
}

const (
	maxPendingBytes = 256 << 10
	writeTimeout    = 2 * time.Second
)

// put queues what add appends; false if the connection is over.
func (o *writeQueue) enqueue(appendMessage func([]byte) []byte) bool {
	return o.append(appendMessage, false)
}

// putNow does the same, and writes at once what the socket takes without waiting: a final answer must not wait for a
// goroutine's turn.
func (o *writeQueue) enqueueAndWrite(appendMessage func([]byte) []byte) bool {
	return o.append(appendMessage, true)
}

func (o *writeQueue) append(appendMessage func([]byte) []byte, immediately bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.closing {
		return false
	}
	o.pending = appendMessage(o.pending)
	if immediately && !o.writing {
		written := writeNonblocking(o.conn, o.pending)
		o.pending = append(o.pending[:0], o.pending[written:]...)
		if len(o.pending) == 0 {
			return true
		}
	}
	if len(o.pending) > maxPendingBytes {
		o.closed = true
		go o.onError()
		return false
	}
	o.startWriter()
	return true
}

// writeAvailable writes what a connection takes without waiting, and returns how many bytes that was. An error is left to
// the next write, which meets it again.
func writeNonblocking(conn net.Conn, b []byte) (written int) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Write(func(fd uintptr) bool {
		if n, err := syscall.Write(int(fd), b); err == nil && n > 0 {
			written = n
		}
		return true // done, whatever came of it
	})
	return written
}

// busy tells that something is still to be written.
func (o *writeQueue) isWriting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writing
}

func (o *writeQueue) startWriter() {
	if !o.writing {
		o.writing = true
		go o.writeLoop()
	}
}

// finish has the writing half closed after what is pending.
func (o *writeQueue) closeAfterFlush() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.closing && !o.closed {
		o.closing = true
		o.startWriter()
	}
}

func (o *writeQueue) writeLoop() {
	for {
		o.mu.Lock()
		if o.closed || len(o.pending) == 0 {
			o.writing = false
			if o.closing && !o.closed {
				if t, ok := o.conn.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			}
			o.mu.Unlock()
			return
		}
		b := o.pending
		o.pending, o.spare = o.spare[:0], nil
		o.mu.Unlock()
		err := writeAll(o.conn, b)
		o.mu.Lock()
		if cap(b) <= 32<<10 {
			o.spare = b[:0]
		}
		if err != nil && !o.closed {
			o.closed = true
			go o.onError()
		}
		o.mu.Unlock()
	}
}

// writeAll writes within a time that only counts while the peer does not read. Errors of this machine that pass by
// themselves cost the peer nothing: what is left is written when they are over.
func writeAll(conn net.Conn, b []byte) error {
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }() // an expired one would keep writeAvailable from writing
	for deadline := time.Now().Add(writeTimeout); ; time.Sleep(localRetryDelay) {
		_ = conn.SetWriteDeadline(deadline)
		n, err := conn.Write(b)
		b = b[n:]
		if len(b) == 0 {
			return nil
		}
		overdue := time.Since(deadline)
		switch v := socketerror.Classify(err, socketerror.Transfer); {
		case v.IsLocal() && overdue < 0:
		case v == socketerror.DeadlineExceeded && overdue > maxExpiryDelay: // the process stood still: the peer may have read on
			deadline = time.Now().Add(writeTimeout)
		default:
			return err
		}
	}
}

// stop ends the outbox without a word.
func (o *writeQueue) abort() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
}
