package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"rainpulley/internal/http1"
)

// simulatedPlanner streams a line each second in simulated time, over pipes.
type simulatedPlanner struct {
	connectDelay time.Duration // each connection comes up this much late
	answerDelay  time.Duration // the first line of each stream comes this much late
	ignoredUntil time.Time     // requests before that are never answered
}

func (p *simulatedPlanner) dial(ctx context.Context, _ string) (net.Conn, error) {
	select {
	case <-time.After(p.connectDelay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	go p.serve(server)
	return client, nil
}

func (p *simulatedPlanner) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { _, _ = conn.Read(make([]byte, 1)); close(closed) }()
	if time.Now().Before(p.ignoredUntil) {
		<-closed
		return
	}
	select {
	case <-time.After(p.answerDelay):
	case <-closed:
		return
	}
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	for n := 1; ; n++ {
		if _, err := fmt.Fprintf(conn, "line %d\n", n); err != nil {
			return
		}
		select {
		case <-time.After(time.Second):
		case <-closed:
			return
		}
	}
}

// TestSlowPlanner guards against a planner that is never heard because it takes longer than a fixed limit (250 ms to
// connect, 5 s for the first line): its edges knew of no drain for as long as it was slow.
func TestSlowPlanner(t *testing.T) {
	for _, c := range []struct{ connect, answer, ignored time.Duration }{
		{}, {connect: time.Second}, {connect: 20 * time.Second}, {answer: 4 * time.Second}, {answer: 7 * time.Second},
		{answer: 30 * time.Second}, {ignored: 3 * time.Second}, {ignored: 10 * time.Minute},
		{answer: 7 * time.Second, ignored: time.Minute},
	} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			planner := &simulatedPlanner{connectDelay: c.connect, answerDelay: c.answer,
				ignoredUntil: started.Add(c.ignored)}
			done := errors.New("enough lines")
			var firstAt time.Time
			lines, firsts := 0, 0
			ctx, stop := context.WithCancel(t.Context())
			stream := &plannerStream{client: http1.Client{Limits: http1.DefaultLimits(), Dial: planner.dial}, addr: "planner",
				target: "/v1/stream", onEnd: func(error) {}}
			stream.handleLine = func(_ []byte, first bool) error {
				if first {
					firsts++
				}
				if lines++; lines == 1 {
					firstAt = time.Now()
				}
				if lines == 20 {
					stop()
					return done
				}
				return nil
			}
			stream.run(ctx)
			bound := c.ignored + 3*(c.connect+c.answer) + plannerOverdue
			if took := firstAt.Sub(started); lines != 20 || firsts != 1 || took > bound {
				t.Errorf("%+v: first of %d lines in %d streams after %v, want %v at most", c, lines, firsts, took, bound)
			}
		})
	}
}
