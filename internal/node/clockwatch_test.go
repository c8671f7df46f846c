package node

import (
	"testing"
	"time"
)

// TestClockWatch: a pause is told from the monotonic clock, a step from the difference of the two, and neither passes
// for the other.
func TestCompareClocks(t *testing.T) {
	const interval = clockSampleInterval
	for _, c := range []struct{ monotonic, wall, pause, step time.Duration }{
		{interval, interval, 0, 0},
		{interval + pauseThreshold - 1, interval + pauseThreshold - 1, 0, 0},
		{interval + pauseThreshold, interval + pauseThreshold, pauseThreshold, 0},
		{interval + 3*time.Second, interval + 3*time.Second, 3 * time.Second, 0},
		{interval, interval + 3*time.Second, 0, 3 * time.Second},
		{interval, interval - time.Hour, 0, -time.Hour},
		{interval + time.Second, interval, time.Second, -time.Second},
	} {
		if pause, step := compareClocks(c.monotonic, c.wall); pause != c.pause || step != c.step {
			t.Errorf("monotonic %v, wall %v: pause %v, step %v", c.monotonic, c.wall, pause, step)
		}
	}
}

// TestArrival: what is read behind a pause may have come when the pause began, whether or not the pause was noticed
// before; what is read later has come now.
func TestEarliestArrival(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var w clockMonitor
	if got := w.earliestArrival(at(0), at(5)); !got.Equal(at(5)) {
		t.Error("ahead of the first sample nothing is known of pauses")
	}
	w.sample(at(0))
	w.sample(at(100))
	for _, c := range []struct {
		name            string
		from, now, want int
	}{
		{"no pause", 90, 150, 150},
		{"not noticed yet", 90, 2100, 100},
		{"not noticed yet, reader came later than the last sample", 120, 2100, 120},
	} {
		if got := w.earliestArrival(at(c.from), at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, want %d ms", c.name, got.Sub(start), c.want)
		}
	}
	w.sample(at(2100))
	for _, c := range []struct {
		name            string
		from, now, want int
	}{
		{"noticed", 90, 2110, 100},
		{"began to wait behind it", 2105, 2110, 2110},
		{"read long after it", 90, 2100 + int(pauseCatchUpTime.Milliseconds()) + 1, 2601},
	} {
		w.lastSample = at(c.now) // sampling goes on
		if got := w.earliestArrival(at(c.from), at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, want %d ms", c.name, got.Sub(start), c.want)
		}
	}
}
