package node

import (
	"net"
	"sync"
	"time"
)

// outbox is the one writer of a connection. Whoever has something to say appends it and never waits; a
// goroutine writes while there is something to write. A peer that reads too slowly loses its connection.
type outbox struct {
	conn net.Conn
	fail func() // once, when the connection cannot be written to any more

	mu      sync.Mutex
	pending []byte
	spare   []byte
	writing bool
	closing bool // after what is pending
	dead    bool
}

const (
	maxPending   = 256 << 10
	writeTimeout = 2 * time.Second
)

// put queues what add appends; false if the connection is over.
func (o *outbox) put(add func([]byte) []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dead || o.closing {
		return false
	}
	o.pending = add(o.pending)
	if len(o.pending) > maxPending {
		o.dead = true
		go o.fail()
		return false
	}
	o.start()
	return true
}

// busy tells that something is still to be written.
func (o *outbox) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writing
}

func (o *outbox) start() {
	if !o.writing {
		o.writing = true
		go o.write()
	}
}

// finish has the writing half closed after what is pending.
func (o *outbox) finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.closing && !o.dead {
		o.closing = true
		o.start()
	}
}

func (o *outbox) write() {
	for {
		o.mu.Lock()
		if o.dead || len(o.pending) == 0 {
			o.writing = false
			if o.closing && !o.dead {
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
		_ = o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := o.conn.Write(b)
		o.mu.Lock()
		if cap(b) <= 32<<10 {
			o.spare = b[:0]
		}
		if err != nil && !o.dead {
			o.dead = true
			go o.fail()
		}
		o.mu.Unlock()
	}
}

// stop ends the outbox without a word.
func (o *outbox) stop() {
	o.mu.Lock()
	o.dead = true
	o.mu.Unlock()
}
