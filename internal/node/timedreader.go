package node

import (
	"net"
	"sync"
	"time"

	"rainpulley/internal/socketerror"
)

// timedReader reads from a connection until a deadline that only counts while the process runs. Where the process stood
// still, bytes may have come in time and wait in the socket's buffer although the deadline has passed: they are read
// before the time-out is told. Errors of this machine that pass by themselves are not told either.
type deadlineReader struct {
	conn net.Conn

	mu       sync.Mutex
	deadline time.Time // zero: none
	inGrace  bool      // the deadline has passed, and what was there already is still read
}

const (
	// lateReadGrace is how long a reader reads on behind its deadline for what was there already.
	lateReadGrace = 50 * time.Millisecond
	// promptExpiry is how late a reader that ran all the time hears of its deadline at most.
	maxExpiryDelay = 50 * time.Millisecond
	// retryPause is the time between two tries of a call that this machine could not make.
	localRetryDelay = 5 * time.Millisecond
	// maxLocalTrouble is how long a call is tried again.
	maxLocalErrorTime = 3 * time.Second
)

// setDeadline bounds reads from now on; zero: no bound. It may be called while a read waits.
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
		n, err := r.conn.Read(b)
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

// readOn gives a read whose deadline has passed a short grace, and another one where the process was late to
// notice the end of it. It tells whether to read on.
func (r *deadlineReader) extendExpired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deadline.IsZero() || now.Before(r.deadline) { // the deadline was moved while the read failed
		return true
	}
	if r.inGrace && now.Sub(r.deadline) < maxExpiryDelay {
		return false
	}
	r.deadline, r.inGrace = now.Add(lateReadGrace), true
	_ = r.conn.SetReadDeadline(r.deadline)
	return true
}
