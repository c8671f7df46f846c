package node

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rainpulley/internal/socketerror"
)

// deadlineReader reads from a connection with a deadline that tolerates pauses of the whole process. During a pause,
// bytes may have arrived in time and wait in the socket buffer although the deadline has passed; they are read before
// the timeout is reported. Transient errors of this machine are not reported either.
type deadlineReader struct {
	conn net.Conn

	// arrivedBy is a time by which all that was read may have arrived: that of the last read or, if the read before it left
	// something unread, that of the first one that did. It is used by the reading goroutine only.
	arrivedBy time.Time
	behind    bool // the last read may have left something unread

	received atomic.Int64 // bytes read so far
	waiting  atomic.Bool  // a read is in progress that has returned nothing yet

	mu       sync.Mutex
	deadline time.Time // zero: no deadline
	inGrace  bool      // the deadline has passed; only bytes that are already buffered are still read
}

const (
	// lateReadGrace is how long a read after the deadline may take to return bytes that are already buffered.
	lateReadGrace = 50 * time.Millisecond
	// maxExpiryDelay is how late, at most, a process that was not paused notices an expired deadline.
	maxExpiryDelay = 50 * time.Millisecond
	// localRetryDelay is the delay before retrying a call that failed with a transient error of this machine.
	localRetryDelay = 5 * time.Millisecond
	// maxLocalErrorTime is how long such a call is retried.
	maxLocalErrorTime = 3 * time.Second
)

// setDeadline sets the read deadline; zero means none. It may be called while a read is blocked.
func (r *deadlineReader) setDeadline(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline, r.inGrace = at, false
	_ = r.conn.SetReadDeadline(at)
}

// Read implements io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	var localErrorSince time.Time
	for {
		r.waiting.Store(true)
		start := time.Now()
		n, err := r.conn.Read(b)
		r.waiting.Store(false)
		r.received.Add(int64(n)) // after waiting is cleared: see viewerConn.input
		r.recordRead(start, time.Now(), n == len(b))
		if n > 0 || err == nil {
			return n, nil
		}
		switch socketerror.Classify(err, socketerror.Transfer) {
		case socketerror.DeadlineExceeded:
			if !r.extendExpired(time.Now()) {
				return 0, err
			}
		case socketerror.LocalTemporary, socketerror.LocalDescriptorLimit:
			if localErrorSince.IsZero() {
				localErrorSince = time.Now()
			}
			if time.Since(localErrorSince) > maxLocalErrorTime {
				return 0, err
			}
			time.Sleep(localRetryDelay)
		default:
			return 0, err
		}
	}
}

// recordRead records a read, and whether it filled its buffer, so that there may be more to read. A read that had to wait
// shows that there was not.
func (r *deadlineReader) recordRead(start, end time.Time, filled bool) {
	if !r.behind || end.Sub(start) >= idleRead {
		r.arrivedBy = end
	}
	r.behind = filled
}

// extendExpired grants a short grace period to a read whose deadline has passed, and another one if the process was
// late to notice the end of the first. It reports whether to continue reading.
func (r *deadlineReader) extendExpired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deadline.IsZero() || now.Before(r.deadline) { // the deadline was changed while the read failed
		return true
	}
	if r.inGrace && now.Sub(r.deadline) < maxExpiryDelay {
		return false
	}
	r.deadline, r.inGrace = now.Add(lateReadGrace), true
	_ = r.conn.SetReadDeadline(r.deadline)
	return true
}
