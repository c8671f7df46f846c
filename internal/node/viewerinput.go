package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rainpulley/internal/peerstate"
)

// What a viewer has sent is known to the kernel before it is known to this program: its reader may not have run yet, or
// handles what came before. A viewer that has left must not be served from then on, so an attempt waits until all that
// its viewer had sent is handled.

const (
	// maxInputWait is how long an attempt waits for its viewer's input to be handled.
	maxInputWait = 100 * time.Millisecond
	// maxInputBacklog is how many bytes that are not handled yet an attempt waits for at most.
	maxInputBacklog = 256 << 10
	// inputPollInterval is the time between two checks whether it is.
	inputPollInterval = 500 * time.Microsecond
	// lateSendDelay is the time from a request's arrival to its first attempt from which on this process counts as
	// short of processor time: then a withdrawal on another connection may be unread, too.
	lateSendDelay = 50 * time.Millisecond
	// allInputInterval is the time between two checks of all connections.
	allInputInterval = 10 * time.Millisecond
)

// viewerInput is what has arrived on a viewer's connection, compared with what is handled.
type viewerInput struct {
	pending bool  // something that has arrived is not handled yet
	closed  bool  // the viewer's close has arrived
	target  int64 // number of received bytes with which all that has arrived so far is read
	// miscounted means that the kernel counts more bytes than this program can have left unread.
	miscounted bool
}

// input returns what has arrived on the connection.
func (c *viewerConn) input() (in viewerInput) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return viewerInput{}
	}
	state, known := peerstate.Query(c.conn)
	received := c.in.received.Load() // before waiting: the reader sets them in the other order
	waiting := c.in.waiting.Load()
	in.target = received + int64(state.Unread)
	if known && state.Received > in.target && !c.node.kernelCounts.unreliable() {
		in.target, in.miscounted = state.Received, waiting && state.Unread == 0
	}
	if in.closed = known && state.Closed; in.closed {
		in.pending = !c.halfClosedByViewer
		return in
	}
	c.lastSeenOpen = time.Now()
	in.pending = !c.draining && (in.target > received || !waiting)
	return in
}

// kernelCounts tells whether the kernel's counts of received bytes can be compared with this program's. A count that is
// higher only for a moment means that a read has returned whose goroutine has not run yet.
type kernelCounts struct{ miscounts atomic.Int32 }

const (
	// maxMiscounts is how many connections may have been miscounted before the counts are no longer used.
	maxMiscounts = 3
	// miscountDelay is how long a count is higher before it counts as a miscount.
	miscountDelay = 5 * time.Millisecond
)

func (k *kernelCounts) unreliable() bool { return k.miscounts.Load() >= maxMiscounts }

// handledThrough reports whether all input up to a number of received bytes is handled.
func (c *viewerConn) handledThrough(target int64) bool { return c.handled.Load() >= target }

// hasUnnoticedEnd reports whether the viewer has closed its connection and its reader has not noticed.
func (c *viewerConn) hasUnnoticedEnd() bool {
	if phase := c.phase(); phase == phaseClosed || phase == phaseHalfClosed {
		return false
	}
	return c.peerClosed()
}

// awaitInput waits until all that has arrived on the connection is handled, but not beyond end. It reports whether it had
// to wait.
func (c *viewerConn) awaitInput(ctx context.Context, end time.Time) (waited bool) {
	in := c.input()
	target := in.target
	for start := time.Now(); in.pending && time.Now().Before(end); in = c.input() {
		if target-c.handled.Load() > maxInputBacklog {
			return true
		}
		waited = true
		select {
		case <-ctx.Done():
			return true
		case <-time.After(inputPollInterval):
		}
		if in.miscounted && time.Since(start) >= miscountDelay {
			c.node.kernelCounts.miscounts.Add(1)
			return true
		}
		if !in.closed && c.handledThrough(target) {
			return true
		}
	}
	return waited
}

// peerClosed reports whether the viewer's close has arrived.
func (c *viewerConn) peerClosed() bool {
	state, known := peerstate.Query(c.conn)
	return known && state.Closed
}

// earliestEnd returns the earliest time at which the viewer may have closed a connection whose end its reader has noticed
// now after waiting since a time. The close arrived behind the last data, and not before the connection was last seen
// open.
func (c *viewerConn) earliestEnd(waitStart time.Time) time.Time {
	now := time.Now()
	end := c.node.clocks.earliestArrival(waitStart, now)
	if state, known := peerstate.Query(c.conn); known && state.SinceData >= 0 {
		if lastData := now.Add(-state.SinceData); lastData.Before(end) {
			end = lastData
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSeenOpen.After(end) {
		return c.lastSeenOpen
	}
	return end
}

// awaitViewerInput waits until all that a request's viewer has sent is handled. If this process ran late, the request
// may have been withdrawn on any connection. It reports whether it had to wait.
func (p *pool) awaitViewerInput(ctx context.Context, s *session, attempt int) (waited bool) {
	end := time.Now().Add(maxInputWait)
	waited = s.currentConn().awaitInput(ctx, end)
	if !p.node.ranLate(s, attempt) {
		return waited
	}
	check := &p.node.allInputCheck
	check.mu.Lock() // attempts that begin during a check wait for its end
	defer check.mu.Unlock()
	if start := time.Now(); start.Sub(check.begun) >= allInputInterval {
		check.begun = start
		for _, c := range p.node.viewerConns.all() {
			waited = c.awaitInput(ctx, end) || waited
		}
	}
	return waited
}

// ranLate reports whether this process was short of processor time since a request arrived.
func (n *Node) ranLate(s *session, attempt int) bool {
	if attempt == 0 && n.now()-s.receivedAt > lateSendDelay {
		return true
	}
	return n.activity.gapWithin(n.now())
}

// activity records when this process was last seen to run, and when it was last seen to run again after a gap in which it
// may have been stopped.
type activity struct {
	lastSeen atomic.Int64 // nanoseconds, as in Node.now
	gapEnd   atomic.Int64
}

const (
	// maxActivityGap exceeds the time between two samples of the clocks, which are taken also if nothing happens. A
	// shorter stop delays a withdrawal by less than the platform allows.
	maxActivityGap = clockSampleInterval + 20*time.Millisecond
	// gapCatchUpTime is how long after a gap input may be unread that arrived in it.
	gapCatchUpTime = 200 * time.Millisecond
)

// record records that the process runs.
func (a *activity) record(now time.Duration) {
	if last := a.lastSeen.Swap(int64(now)); last != 0 && now-time.Duration(last) >= maxActivityGap {
		a.gapEnd.Store(int64(now))
	}
}

// gapWithin reports whether there was a gap a short time ago.
func (a *activity) gapWithin(now time.Duration) bool {
	a.record(now)
	end := time.Duration(a.gapEnd.Load())
	return end != 0 && now-end < gapCatchUpTime
}

// inputCheck is the last check of the input of all viewers' connections.
type inputCheck struct {
	mu    sync.Mutex // held while the check lasts
	begun time.Time
}

// all returns the open viewer connections.
func (v *viewerConns) all() []*viewerConn {
	v.mu.Lock()
	defer v.mu.Unlock()
	conns := make([]*viewerConn, 0, len(v.conns))
	for c := range v.conns {
		conns = append(conns, c)
	}
	return conns
}
