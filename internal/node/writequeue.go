package node

import (
	"net"
	"sync"
	"syscall"
	"time"

	"rainpulley/internal/membudget"
	"rainpulley/internal/socketerror"
)

// writeQueue serializes the writes of a connection. Callers append messages without blocking; a goroutine writes while
// there is something to write. A peer that reads too slowly loses its connection.
type writeQueue struct {
	conn    net.Conn
	onError func(socketerror.Category) // called once, when the connection can no longer be written to

	mu      sync.Mutex
	pending []byte
	spare   []byte
	writing bool
	closing bool // the write side is closed once the pending bytes are written
	closed  bool
	memory  membudget.Account // of what is pending or being written
	inWrite int               // bytes that are being written
}

const (
	maxPendingBytes = 256 << 10
	congestedBytes  = 32 << 10
	writeTimeout    = 2 * time.Second
	maxKeptBuffer   = 4 << 10 // of an idle connection
)

// enqueue queues the bytes that appendMessage appends. It returns false if the queue is closed.
func (q *writeQueue) enqueue(appendMessage func([]byte) []byte) bool {
	return q.append(appendMessage, false)
}

// enqueueAndWrite is like enqueue, but writes at once what the socket accepts without blocking: a final answer must not
// wait until a goroutine is scheduled.
func (q *writeQueue) enqueueAndWrite(appendMessage func([]byte) []byte) bool {
	return q.append(appendMessage, true)
}

func (q *writeQueue) append(appendMessage func([]byte) []byte, immediately bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.closing {
		return false
	}
	q.pending = appendMessage(q.pending)
	if immediately && !q.writing {
		written := writeNonblocking(q.conn, q.pending)
		q.pending = append(q.pending[:0], q.pending[written:]...)
		if len(q.pending) == 0 {
			q.pending = keepSmall(q.pending)
			return true
		}
	}
	if len(q.pending) > maxPendingBytes || !q.memory.Set(len(q.pending)+q.inWrite) {
		q.closed = true
		go q.onError(socketerror.DeadlineExceeded) // the peer reads too slowly
		return false
	}
	q.startWriter()
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

// isCongested reports whether so much is pending that the peer should send nothing more for now.
func (q *writeQueue) isCongested() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.closed && len(q.pending)+q.inWrite > congestedBytes
}

// isWriting reports whether there are pending writes.
func (q *writeQueue) isWriting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.writing
}

func (q *writeQueue) startWriter() {
	if !q.writing {
		q.writing = true
		go q.writeLoop()
	}
}

// closeAfterFlush closes the write side of the connection once the pending bytes are written.
func (q *writeQueue) closeAfterFlush() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closing && !q.closed {
		q.closing = true
		q.startWriter()
	}
}

func (q *writeQueue) writeLoop() {
	for {
		q.mu.Lock()
		if q.closed || len(q.pending) == 0 {
			q.writing = false
			if q.closing && !q.closed {
				if t, ok := q.conn.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			}
			q.mu.Unlock()
			return
		}
		b := q.pending
		q.pending, q.spare, q.inWrite = q.spare[:0], nil, len(b)
		q.mu.Unlock()
		err := writeAll(q.conn, b)
		q.mu.Lock()
		q.spare, q.inWrite = keepSmall(b), 0
		if !q.closed {
			q.memory.Set(len(q.pending))
		}
		if err != nil && !q.closed {
			q.closed = true
			go q.onError(socketerror.Classify(err, socketerror.Transfer))
		}
		q.mu.Unlock()
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
		case category == socketerror.DeadlineExceeded && overdue > maxExpiryDelay:
			// The process was paused: the peer may still read.
			deadline = time.Now().Add(writeTimeout)
		default:
			return err
		}
	}
}

// abort closes the queue and discards what is pending.
func (q *writeQueue) abort() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed, q.pending, q.spare = true, nil, nil
	q.memory.Set(0)
}

// keepSmall returns an empty buffer with the memory of b, or nil if that is much.
func keepSmall(b []byte) []byte {
	if cap(b) > maxKeptBuffer {
		return nil
	}
	return b[:0]
}
