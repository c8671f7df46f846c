package node

import (
	"net"
	"sync"
	"testing"
	"time"
)

// TestCompareClocks checks that a pause is detected from the monotonic clock and a step from the difference between
// the clocks, and that neither is mistaken for the other.
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

// TestEarliestArrival checks that data read after a pause counts as received when the pause began, whether or not the
// pause was sampled before, and that data read long after a pause counts as received now.
func TestEarliestArrival(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var m clockMonitor
	if got := m.earliestArrival(at(0), at(5)); !got.Equal(at(5)) {
		t.Error("earliest arrival before the first sample is not the present time")
	}
	m.sample(at(0))
	m.sample(at(100))
	for _, c := range []struct {
		name            string
		from, now, want int
	}{
		{"no pause", 90, 150, 150},
		{"pause not sampled yet", 90, 2100, 100},
		{"pause not sampled yet, wait began after the last sample", 120, 2100, 120},
	} {
		if got := m.earliestArrival(at(c.from), at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, want %d ms", c.name, got.Sub(start), c.want)
		}
	}
	m.sample(at(2100))
	for _, c := range []struct {
		name            string
		from, now, want int
	}{
		{"pause sampled", 90, 2110, 100},
		{"wait began after the pause", 2105, 2110, 2110},
		{"read long after the pause", 90, 2100 + int(pauseCatchUpTime.Milliseconds()) + 1, 2601},
	} {
		m.lastSample = at(c.now) // as if sampling continued
		if got := m.earliestArrival(at(c.from), at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, want %d ms", c.name, got.Sub(start), c.want)
		}
	}
}

// acceptHook is a listener that calls a function before the first accept.
type acceptHook struct {
	net.Listener
	beforeFirst func()
}

func (l *acceptHook) Accept() (net.Conn, error) {
	l.beforeFirst()
	return l.Listener.Accept()
}

// Guards against: a node that is paused before its clocks were sampled once does not notice the pause.
func TestClocksAreSampledBeforeFirstAccept(t *testing.T) {
	const starts = 100
	for range starts {
		checked := make(chan bool, 1)
		startModifiedNode(t, func(n *Node) {
			n.Listener = &acceptHook{n.Listener, sync.OnceFunc(func() {
				n.clocks.mu.Lock()
				defer n.clocks.mu.Unlock()
				checked <- !n.clocks.lastSample.IsZero()
			})}
		}, newBox(t, "s-1", nil))
		if !<-checked {
			t.Fatal("connections are accepted before the first sample")
		}
	}
}
