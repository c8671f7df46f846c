package http1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"time"
)

const (
	maxRefusals          = 16                     // connections that are refused at once; further ones wait to be accepted
	refusalReadTimeout   = 250 * time.Millisecond // for the head of a request that is refused
	refusalWriteTimeout  = 250 * time.Millisecond
	refusalLingerTimeout = 100 * time.Millisecond // for the peer to close: a close with unread bytes would destroy the response
)

// startRefusal refuses a connection in a goroutine of its own. It waits while too many others are being refused: further
// connections then stay in the listener's backlog.
func (s *Server) startRefusal(ctx context.Context, c net.Conn) {
	select {
	case s.refusals <- struct{}{}:
	case <-ctx.Done():
		_ = c.Close()
		return
	}
	s.wg.Add(1)
	go func() {
		s.refuse(c)
		<-s.refusals
		s.listener.NotifyFreed()
		s.wg.Done()
	}()
}

// refuse responds with status 503 to the first request of a connection that cannot be served, and closes it.
func (s *Server) refuse(c net.Conn) {
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(refusalReadTimeout))
	head := make([]byte, 0, s.Limits.MaxLineBytes)
	for len(head) < cap(head) && !bytes.Contains(head, []byte("\r\n\r\n")) {
		n, err := c.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if err != nil {
			break
		}
	}
	advice := fmt.Sprintf("Retry-After: %d\r\nRainpulley-Retry-After-Ms: %d\r\n",
		int(math.Ceil(s.RetryAfter.Seconds())), s.RetryAfter.Milliseconds())
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if _, err := c.Write(appendResponse(nil, 503, []byte(advice), []byte("no connection is free\n"), true, false)); err != nil {
		return
	}
	if half, ok := c.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(refusalLingerTimeout))
		_, _ = io.Copy(io.Discard, c)
	}
}
