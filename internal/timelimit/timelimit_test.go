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
