package node

import (
	"net"
	"sync"
	"syscall"
	"time"

	"rainpulley/internal/socketerror"
)

// writeQueue serializes the writes of a connection. Callers append messages without blocking; a goroutine writes while
// there is something to write. A peer that reads too slowly loses its connection.
type writeQueue struct {
	conn    net.Conn
	onError func() // called once, when the connection can no longer be written to

	mu      sync.Mutex
	pending []byte
	spare   []byte
	writing bool
	closing bool // the write side is closed once the pending bytes are written
	closed  bool
}

const (
	maxPendingBytes = 256 << 10
	writeTimeout    = 2 * time.Second
)

// enqueue queues the bytes that appendMessage appends. It returns false if the queue is closed.
func (o *writeQueue) enqueue(appendMessage func([]byte) []byte) bool {
	return o.append(appendMessage, false)
}

// enqueueAndWrite is like enqueue, but writes at once what the socket accepts without blocking: a final answer must not
// wait until a goroutine is scheduled.
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

// writeNonblocking writes what the socket accepts without blocking and returns the number of bytes. It ignores errors,
// because the next write fails with them again.
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
		return true // do not wait for the socket, whatever the result
	})
	return written
}

// isWriting reports whether there are pending writes.
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

// closeAfterFlush closes the write side of the connection once the pending bytes are written.
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

// writeAll writes b with a timeout that covers only the time in which the peer does not read. After a transient error
// of this machine it retries the rest of b.
func writeAll(conn net.Conn, b []byte) error {
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }() // an expired one would make writeNonblocking fail
	for deadline := time.Now().Add(writeTimeout); ; time.Sleep(localRetryDelay) {
		_ = conn.SetWriteDeadline(deadline)
		n, err := conn.Write(b)
		b = b[n:]
		if len(b) == 0 {
			return nil
		}
		overdue := time.Since(deadline)
		switch category := socketerror.Classify(err, socketerror.Transfer); {
		case category.IsLocal() && overdue < 0:
		case category == socketerror.DeadlineExceeded && overdue > maxExpiryDelay: // the process was paused: the peer may still read
			deadline = time.Now().Add(writeTimeout)
		default:
			return err
		}
	}
}

// abort closes the queue and discards what is pending.
func (o *writeQueue) abort() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
}
