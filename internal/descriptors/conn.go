package descriptors

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"rainpulley/internal/socketerror"
)

// ProcessLimit returns how many file descriptors this process may open.
func ProcessLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// countedConn is a connection whose descriptor is returned when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// NewConn returns a connection that calls release once, when it is closed.
func NewConn(conn net.Conn, release func()) net.Conn {
	return &countedConn{Conn: conn, release: sync.OnceFunc(release)}
}

// Close closes the connection. It may be called several times.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// IsLocal reports whether opening a connection failed because of this machine. Such an error says nothing about the peer.
func IsLocal(err error) bool {
	return errors.Is(err, ErrNoneFree) || socketerror.Classify(err, socketerror.Connect).IsLocal()
}

// Dialer opens outgoing TCP connections within a budget.
type Dialer struct {
	Budget  *Budget
	Timeout time.Duration // for opening a connection
}

// Call opens a connection for one call, once a descriptor for it is free.
func (d *Dialer) Call(ctx context.Context, addr string) (net.Conn, error) {
	if err := d.Budget.AcquireCall(ctx); err != nil {
		return nil, err
	}
	return d.dial(ctx, addr, d.Budget.ReleaseCall)
}

// Stream opens a long-lived connection.
func (d *Dialer) Stream(ctx context.Context, addr string) (net.Conn, error) {
	d.Budget.OpenStream()
	return d.dial(ctx, addr, d.Budget.CloseStream)
}

// dial opens a connection and calls release when it is closed or cannot be opened.
func (d *Dialer) dial(ctx context.Context, addr string, release func()) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		release()
		return nil, err
	}
	return NewConn(conn, release), nil
}
