package hedge

import (
	"context"
	"slices"
	"time"

	"rainpulley/internal/timelimit"
)

// OpenCalls are the calls to one peer that await their results, the oldest first. The oldest is kept the longest, for a
// slow peer; the others are replaced by new ones, for a peer that has forgotten the oldest.
type OpenCalls struct {
	Most  int                 // open at the same time; 2 at least
	Limit *timelimit.Adaptive // the time for which the oldest is kept

	calls []*OpenCall
}

// OpenCall is one call that awaits its result.
type OpenCall struct {
	startedAt time.Time
	cancel    context.CancelFunc
}

// Add adds a call that starts now; cancel cancels it.
func (o *OpenCalls) Add(cancel context.CancelFunc) *OpenCall {
	c := &OpenCall{startedAt: time.Now(), cancel: cancel}
	o.calls = append(o.calls, c)
	return c
}

// Len returns the number of open calls.
func (o *OpenCalls) Len() int { return len(o.calls) }

// MakeRoom makes room for one more call. It cancels the oldest if that has exceeded its limit, which it reports, and
// otherwise the second-oldest if the calls are too many.
func (o *OpenCalls) MakeRoom() (exceeded bool) {
	switch {
	case len(o.calls) > 0 && time.Since(o.calls[0].startedAt) >= o.Limit.Current():
		o.Limit.RecordExceeded()
		o.cancel(0)
		return true
	case len(o.calls) >= o.Most:
		o.cancel(1)
	}
	return false
}

// Remove removes a call that has a result. It reports how long the call took and whether a newer one is open; open is
// false if the call was cancelled, in which case the result must not be used.
func (o *OpenCalls) Remove(c *OpenCall) (took time.Duration, newerOpen, open bool) {
	i := slices.Index(o.calls, c)
	if i < 0 {
		return 0, false, false
	}
	o.calls = slices.Delete(o.calls, i, i+1)
	return time.Since(c.startedAt), i < len(o.calls), true
}

// CancelOlder cancels the calls that are older than one which has succeeded, and which has been removed.
func (o *OpenCalls) CancelOlder(than *OpenCall) {
	for len(o.calls) > 0 && o.calls[0].startedAt.Before(than.startedAt) {
		o.cancel(0)
	}
}

// CancelAll cancels all open calls.
func (o *OpenCalls) CancelAll() {
	for len(o.calls) > 0 {
		o.cancel(0)
	}
}

func (o *OpenCalls) cancel(i int) {
	o.calls[i].cancel()
	o.calls = slices.Delete(o.calls, i, i+1)
}
