package core

import (
	"sync"
	"time"

	"rainpulley/internal/fairqueue"
)

// requestQueue holds the requests that wait for a decision, and the reports of viewers that left. Requests of several
// sources take turns. The report on a request that still waits marks it, so that it costs no decision; there is one
// report for each listener at most, so that no source can make the queue grow by repeating itself.
type requestQueue struct {
	ready chan struct{} // holds one token while there may be something to take

	mu         sync.Mutex
	waiting    *fairqueue.Queue[*queuedRequest]
	byListener map[Listener]*queuedRequest
	leaves     []input // reports that a viewer left, oldest first
	leaving    map[Listener]struct{}
}

// queuedRequest is a request that waits for a decision.
type queuedRequest struct {
	request    *request
	viewerLeft bool
}

// newRequestQueue returns a queue in which each source may hold size requests, and all together twice as many.
func newRequestQueue(size int) *requestQueue {
	return &requestQueue{ready: make(chan struct{}, 1), waiting: fairqueue.New[*queuedRequest](2 * size),
		byListener: map[Listener]*queuedRequest{}, leaving: map[Listener]struct{}{}}
}

// signal makes ready receivable.
func (q *requestQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// push adds a request of a source. It returns false if there is no room.
func (q *requestQueue) push(source uint64, r *request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	queued := &queuedRequest{request: r}
	if !q.waiting.Push(source, queued) {
		return false
	}
	q.byListener[r.listener] = queued
	q.signal()
	return true
}

// pushLeave adds the report that the viewer of a request left.
func (q *requestQueue) pushLeave(id string, l Listener) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if queued := q.byListener[l]; queued != nil {
		queued.viewerLeft = true
		return
	}
	if _, reported := q.leaving[l]; reported {
		return
	}
	q.leaving[l] = struct{}{}
	q.leaves = append(q.leaves, input{kind: inputViewerLeft, id: id, listener: l})
	q.signal()
}

// takeLeave removes the oldest report that a viewer left.
func (q *requestQueue) takeLeave() (in input, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.leaves) == 0 {
		return input{}, false
	}
	in = q.leaves[0]
	q.leaves[0] = input{}
	q.leaves = q.leaves[1:]
	delete(q.leaving, in.listener)
	return in, true
}

// take removes the oldest report that a viewer left or, if there is none, the next request.
func (q *requestQueue) take() (in input, ok bool) {
	if in, ok = q.takeLeave(); ok {
		return in, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	queued, ok := q.waiting.Pop()
	if !ok {
		return input{}, false
	}
	return q.remove(queued), true
}

// remove returns the input of a request that was taken out of the queue. The caller holds q.mu.
func (q *requestQueue) remove(queued *queuedRequest) input {
	delete(q.byListener, queued.request.listener)
	return input{kind: inputRequest, request: queued.request, viewerLeft: queued.viewerLeft}
}

// takeExpired removes the requests whose time has run out.
func (q *requestQueue) takeExpired(now time.Duration) (expired []input) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, queued := range q.waiting.PopAll(func(r *queuedRequest) bool { return r.viewerLeft || r.request.GiveUpAt <= now }) {
		expired = append(expired, q.remove(queued))
	}
	return expired
}

// len returns the number of requests and reports.
func (q *requestQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len() + len(q.leaves)
}
