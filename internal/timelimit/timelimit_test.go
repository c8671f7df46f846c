package timelimit

import (
	"testing"
	"time"
)

// TestAdaptive checks that a peer of any constant response time up to the highest limit is heard after some calls, and
// from then on each time, and that the limit returns to its initial value once the peer is quick again.
func TestAdaptive(t *testing.T) {
	const initial, highest = 5 * time.Second, time.Minute
	for response := 500 * time.Millisecond; response <= highest; response += 500 * time.Millisecond {
		limit := NewAdaptive(initial, highest)
		exceeded := 0
		for range 50 {
			if response > limit.Current() {
				limit.RecordExceeded()
				exceeded++
				continue
			}
			limit.RecordAnswer(response)
		}
		if exceeded > 4 {
			t.Errorf("%d of 50 calls of %v exceeded the limit", exceeded, response)
		}
		for range 10 {
			limit.RecordAnswer(time.Millisecond)
		}
		if limit.Current() != initial {
			t.Errorf("limit %v after quick answers, want %v", limit.Current(), initial)
		}
	}
}

// TestBackoff checks the range of each delay after failures in a row, and after a success.
func TestBackoff(t *testing.T) {
	const initial, highest = 100 * time.Millisecond, time.Second
	for range 200 {
		backoff := NewBackoff(initial, highest)
		check := func(want time.Duration) {
			if got := backoff.Next(); got < want/2 || got >= want+want/2 {
				t.Errorf("delay %v, want %v to %v", got, want/2, want+want/2)
			}
		}
		for _, want := range []time.Duration{initial, 2 * initial, 4 * initial, 8 * initial, highest, highest} {
			check(want)
		}
		backoff.Reset()
		check(initial)
	}
}
