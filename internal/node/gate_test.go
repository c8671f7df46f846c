package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// Two events that cross, on real sockets. Each crossing is forced: a gate holds one side until the other has been
// seen, and both orders are played.

// gate holds whoever passes until it is opened.
type gate struct {
	reached chan string
	open    chan struct{}
}

func newGate() *gate { return &gate{reached: make(chan string, 100), open: make(chan struct{})} }

func (g *gate) pass(what string) {
	g.reached <- what
	<-g.open
}

func (g *gate) wait(t *testing.T) {
	t.Helper()
	select {
	case <-g.reached:
	case <-time.After(testTimeout):
		t.Fatal("the gate was not reached")
	}
}

// gatedDial holds dials at a gate before they begin.
func gatedDial(g *gate) func(context.Context, string, time.Duration) (net.Conn, error) {
	return func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
		g.pass(addr)
		return dialTCP(ctx, addr, within)
	}
}

// holdOwner keeps the module's goroutine busy until let go: what a viewer does meanwhile is known to its reader only.
func (r *testNode) blockOrchestrator() (unblock func()) {
	blocked, release := make(chan struct{}), make(chan struct{})
	r.orchestrator.Inspect(func() { close(blocked); <-release })
	<-blocked
	unblock = sync.OnceFunc(func() { close(release) })
	r.t.Cleanup(unblock) // a test that failed meanwhile ends
	return unblock
}
