package node

import (
	"testing"
	"time"
)

// TestClockWatch: a pause is told from the monotonic clock, a step from the difference of the two, and neither passes
// for the other.
func TestClockWatch(t *testing.T) {
	w := clockWatch{interval: 200 * time.Millisecond}
	for _, c := range []struct{ monotonic, wall, pause, step time.Duration }{
		{200 * time.Millisecond, 200 * time.Millisecond, 0, 0},
		{349 * time.Millisecond, 349 * time.Millisecond, 0, 0},
		{350 * time.Millisecond, 350 * time.Millisecond, 150 * time.Millisecond, 0},
		{3200 * time.Millisecond, 3200 * time.Millisecond, 3 * time.Second, 0},
		{200 * time.Millisecond, 3200 * time.Millisecond, 0, 3 * time.Second},
		{200 * time.Millisecond, 200*time.Millisecond - time.Hour, 0, -time.Hour},
		{time.Second, 0, 800 * time.Millisecond, -time.Second},
	} {
		if pause, step := w.judge(c.monotonic, c.wall); pause != c.pause || step != c.step {
			t.Errorf("monotonic %v, wall %v: pause %v, step %v", c.monotonic, c.wall, pause, step)
		}
	}
	var first clockWatch
	if pause, step := first.look(time.Now()); pause != 0 || step != 0 {
		t.Error("the first look has nothing to compare with")
	}
}
