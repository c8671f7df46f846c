package node

import "time"

const (
	// pauseThreshold is how late a periodic look has to be to count as a pause of the whole process.
	pauseThreshold = 150 * time.Millisecond
	// clockStepThreshold is how far the wall clock has to leave the monotonic one between two looks to count as stepped.
	clockStepThreshold = 250 * time.Millisecond
)

// clockWatch notices between periodic looks that the process stood still or that the wall clock was stepped. Both explain
// what no message explains: time-outs that hit many connections at once, and ages of servers that jump.
type clockWatch struct {
	interval time.Duration // between two looks
	last     time.Time
}

// look takes the present time and returns how long the process paused beyond its interval, and by how much the wall
// clock was stepped, each zero if not worth telling.
func (w *clockWatch) look(now time.Time) (pause, step time.Duration) {
	last := w.last
	w.last = now
	if last.IsZero() {
		return 0, 0
	}
	return w.judge(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// judge compares what passed on the monotonic clock with the interval, and with what passed on the wall clock.
func (w *clockWatch) judge(monotonic, wall time.Duration) (pause, step time.Duration) {
	if late := monotonic - w.interval; late >= pauseThreshold {
		pause = late
	}
	if gap := wall - monotonic; gap.Abs() >= clockStepThreshold {
		step = gap
	}
	return pause, step
}
