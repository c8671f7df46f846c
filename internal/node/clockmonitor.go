package node

import (
	"context"
	"sync"
	"time"
)

const (
	// clockSampleInterval is the time between two samples of the clocks.
	clockSampleInterval = 100 * time.Millisecond
	// pauseThreshold is the delay of a sample that counts as a pause of the whole process.
	pauseThreshold = 150 * time.Millisecond
	// clockStepThreshold is the difference between the time passed on the wall clock and on the monotonic clock from
	// one sample to the next that counts as a step of the wall clock.
	clockStepThreshold = 250 * time.Millisecond
	// pauseCatchUpTime is how long after a pause data that arrived during the pause may still be read.
	pauseCatchUpTime = 500 * time.Millisecond
	// nearMissLogSamples is the number of clock samples between two checks for new near misses to log: one every 2 s.
	nearMissLogSamples = 20
)

// clockMonitor detects from periodic samples that the process was paused or that the wall clock was stepped. Silence
// of a peer during a pause is no evidence against the peer, and data read after a pause may have arrived at any time
// in it.
type clockMonitor struct {
	mu         sync.Mutex
	lastSample time.Time // time of the last sample
	pauseStart time.Time // earliest start of the last pause: the sample before it
	pauseEnd   time.Time
}

// sample records the present time. It returns how long the process paused beyond the interval, and by how much the
// wall clock was stepped; each is zero below its threshold.
func (m *clockMonitor) sample(now time.Time) (pause, step time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.lastSample
	m.lastSample = now
	if last.IsZero() {
		return 0, 0
	}
	pause, step = compareClocks(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	if pause > 0 {
		m.pauseStart, m.pauseEnd = last, now
	}
	return pause, step
}

// compareClocks compares the time passed on the monotonic clock with the interval and with the time passed on the wall
// clock.
func compareClocks(monotonic, wall time.Duration) (pause, step time.Duration) {
	if late := monotonic - clockSampleInterval; late >= pauseThreshold {
		pause = late
	}
	if gap := wall - monotonic; gap.Abs() >= clockStepThreshold {
		step = gap
	}
	return pause, step
}

// pausedSince reports whether the process paused at some time between from and now, and the earliest time at which
// that pause may have begun. It detects a pause without waiting for the next sample.
func (m *clockMonitor) pausedSince(from, now time.Time) (start time.Time, paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.lastSample.IsZero() && now.Sub(m.lastSample) >= clockSampleInterval+pauseThreshold:
		return m.lastSample, true
	case m.pauseEnd.After(from):
		return m.pauseStart, true
	}
	return time.Time{}, false
}

// earliestArrival returns the earliest time at which data may have arrived that a reader obtains now after waiting
// since from. After a pause, that is the beginning of the pause, but not before from.
func (m *clockMonitor) earliestArrival(from, now time.Time) time.Time {
	start, paused := m.pausedSince(from, now)
	if !paused || now.Sub(m.lastPauseEnd(now)) > pauseCatchUpTime {
		return now
	}
	if start.Before(from) {
		return from
	}
	return start
}

// lastPauseEnd returns when the last pause ended, or now if a pause is not sampled yet.
func (m *clockMonitor) lastPauseEnd(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastSample) >= clockSampleInterval+pauseThreshold {
		return now
	}
	return m.pauseEnd
}

// monitorClocks logs pauses of the process and steps of the wall clock. It also logs the near miss counters
// periodically when they have changed, since a node that is killed cannot log them at its end.
func (n *Node) monitorClocks(ctx context.Context) {
	loggedTotal, samples := n.nearMisses.total(), 0
	runEvery(ctx, clockSampleInterval, func() {
		n.activity.record(n.now())
		pause, step := n.clocks.sample(time.Now())
		if pause > 0 {
			n.nearMisses.pauses.Add(1)
			n.Log.Warn("process paused", "for", pause)
		}
		if step != 0 {
			n.nearMisses.clockSteps.Add(1)
			n.Log.Warn("wall clock stepped", "by", step)
		}
		if samples++; samples%nearMissLogSamples == 0 && n.nearMisses.total() != loggedTotal {
			loggedTotal = n.nearMisses.total()
			n.Log.Info("near misses so far", "near", &n.nearMisses, "use", n.resourceUse())
		}
	})
}
