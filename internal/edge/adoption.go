package edge

import "sync"

// adoption tracks, after a start, which boxes have not yet reported the sessions that they run for an earlier instance of
// this edge. Until all have, the edge does not know how many seats are taken.
type adoption struct {
	mu      sync.Mutex
	pending map[string]bool // boxes that have not reported
	known   map[string]bool // all boxes that were asked
	done    chan struct{}   // closed while none is pending
}

func newAdoption() *adoption {
	a := &adoption{pending: map[string]bool{}, known: map[string]bool{}, done: make(chan struct{})}
	close(a.done)
	return a
}

// expect adds a box, and returns false if it was added before.
func (a *adoption) expect(box string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known[box] {
		return false
	}
	if len(a.pending) == 0 {
		a.done = make(chan struct{})
	}
	a.known[box], a.pending[box] = true, true
	return true
}

// reported records that all sessions of a box are adopted or released, or that the box is lost with its sessions.
func (a *adoption) reported(box string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.pending[box] {
		return
	}
	delete(a.pending, box)
	if len(a.pending) == 0 {
		close(a.done)
	}
}

// expire stops waiting for all boxes that have not reported.
func (a *adoption) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) > 0 {
		clear(a.pending)
		close(a.done)
	}
}

// complete returns a channel that is closed once no box is pending.
func (a *adoption) complete() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// pendingCount returns the number of boxes that have not reported.
func (a *adoption) pendingCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending)
}
