package node

import (
	"context"
	"sync"
	"time"
)

const (
	// clockInterval is the time between two samples of the clocks.
	clockSampleInterval = 100 * time.Millisecond
	// pauseThreshold is how late a sample has to be to count as a pause of the whole process.
	pauseThreshold = 150 * time.Millisecond
	// clockStepThreshold is how far the wall clock has to leave the monotonic one between two samples to count as stepped.
	clockStepThreshold = 250 * time.Millisecond
	// catchUp is how long after a pause what came during it may still be read.
	pauseCatchUpTime = 500 * time.Millisecond
	// nearMissSamples is after how many samples of the clocks new near misses are logged: every 2 s.
	nearMissLogSamples = 20
)

// clockWatch notices between periodic samples that the process stood still or that the wall clock was stepped. A span of
// time in which the process stood still proves nothing about peers, and what is read behind it may have come at any
// moment of it.
type clockMonitor struct {
	mu         sync.Mutex
	lastSample time.Time // of the last sample
	pauseStart time.Time // of the last pause: the sample before it
	pauseEnd   time.Time
}

// sample takes the present time and returns how long the process paused beyond the interval, and by how much the wall clock
// was stepped, each zero if not worth telling.
func (w *clockMonitor) sample(now time.Time) (pause, step time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.lastSample
	w.lastSample = now
	if last.IsZero() {
		return 0, 0
	}
	pause, step = compareClocks(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	if pause > 0 {
		w.pauseStart, w.pauseEnd = last, now
	}
	return pause, step
}

// judgeClocks compares what passed on the monotonic clock with the interval, and with what passed on the wall clock.
func compareClocks(monotonic, wall time.Duration) (pause, step time.Duration) {
	if late := monotonic - clockSampleInterval; late >= pauseThreshold {
		pause = late
	}
	if gap := wall - monotonic; gap.Abs() >= clockStepThreshold {
		step = gap
	}
	return pause, step
}

// pausedSince tells whether the process paused at some moment between from and now, and when that pause began at the
// earliest. It does not wait for the next sample.
func (w *clockMonitor) pausedSince(from, now time.Time) (start time.Time, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.lastSample.IsZero() && now.Sub(w.lastSample) >= clockSampleInterval+pauseThreshold:
		return w.lastSample, true
	case w.pauseEnd.After(from):
		return w.pauseStart, true
	}
	return time.Time{}, false
}

// arrival is the earliest moment at which something may have come that is read now by a reader that has waited for it
// since from. Behind a pause that is the pause's beginning.
func (w *clockMonitor) earliestArrival(from, now time.Time) time.Time {
	start, paused := w.pausedSince(from, now)
	if !paused || now.Sub(w.lastPauseEnd(now)) > pauseCatchUpTime {
		return now
	}
	if start.Before(from) {
		return from
	}
	return start
}

// lastPauseEnd is when the last pause ended; now, where it has not been noticed yet.
func (w *clockMonitor) lastPauseEnd(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.lastSample) >= clockSampleInterval+pauseThreshold {
		return now
	}
	return w.pauseEnd
}

// watchClocks logs pauses of the process and steps of the wall clock, and now and then what came close to a loss: a node
// that is killed writes no last line.
func (n *Node) monitorClocks(ctx context.Context) {
	loggedTotal, samples := n.nearMisses.total(), 0
	runEvery(ctx, clockSampleInterval, func() {
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
			n.Log.Info("near misses so far", "near", &n.nearMisses)
		}
	})
}
