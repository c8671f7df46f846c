package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// Helpers for tests of races between two events on real sockets. The order is forced: a gate blocks one event until
// the test has observed the other, so that tests can play both orders.

// gate blocks the goroutines that pass it until it is opened.
type gate struct {
	reached chan string
	open    chan struct{}
}

func newGate() *gate { return &gate{reached: make(chan string, 100), open: make(chan struct{})} }

// pass reports that the gate was reached and blocks until it is open.
func (g *gate) pass(what string) {
	g.reached <- what
	<-g.open
}

// wait waits until a goroutine has reached the gate.
func (g *gate) wait(t *testing.T) {
	t.Helper()
	select {
	case <-g.reached:
	case <-time.After(testTimeout):
		t.Fatal("the gate was not reached")
	}
}

// gatedDial returns a dial function that blocks at a gate before each dial.
func gatedDial(g *gate) func(context.Context, string, time.Duration) (net.Conn, error) {
	return func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		g.pass(addr)
		return dialTCP(ctx, addr, within)
	}
}

// blockOrchestrator blocks the orchestrator's goroutine until unblock is called. Until then only the reader of a
// viewer's connection handles the viewer's messages.
func (r *testNode) blockOrchestrator() (unblock func()) {
	blocked, release := make(chan struct{}), make(chan struct{})
	r.orchestrator.Inspect(func() { close(blocked); <-release })
	<-blocked
	unblock = sync.OnceFunc(func() { close(release) })
	r.t.Cleanup(unblock) // otherwise a test that fails before would never end
	return unblock
}
