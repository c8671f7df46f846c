package node

import (
	"context"
	"sync"
	"time"
)

const (
	// clockInterval is the time between two samples of the clocks.
	clockInterval = 100 * time.Millisecond
	// pauseThreshold is how late a sample has to be to count as a pause of the whole process.
	pauseThreshold = 150 * time.Millisecond
	// clockStepThreshold is how far the wall clock has to leave the monotonic one between two samples to count as stepped.
	clockStepThreshold = 250 * time.Millisecond
	// catchUp is how long after a pause what came during it may still be read.
	catchUp = 500 * time.Millisecond
	// nearMissSamples is after how many samples of the clocks new near misses are logged: every 2 s.
	nearMissSamples = 20
)

// clockWatch notices between periodic samples that the process stood still or that the wall clock was stepped. A span of
// time in which the process stood still proves nothing about peers, and what is read behind it may have come at any
// moment of it.
type clockWatch struct {
	mu         sync.Mutex
	last       time.Time // of the last sample
	pauseStart time.Time // of the last pause: the sample before it
	pauseEnd   time.Time
}

// sample takes the present time and returns how long the process paused beyond the interval, and by how much the wall clock
// was stepped, each zero if not worth telling.
func (w *clockWatch) sample(now time.Time) (pause, step time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.last
	w.last = now
	if last.IsZero() {
		return 0, 0
	}
	pause, step = judgeClocks(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	if pause > 0 {
		w.pauseStart, w.pauseEnd = last, now
	}
	return pause, step
}

// judgeClocks compares what passed on the monotonic clock with the interval, and with what passed on the wall clock.
func judgeClocks(monotonic, wall time.Duration) (pause, step time.Duration) {
	if late := monotonic - clockInterval; late >= pauseThreshold {
		pause = late
	}
	if gap := wall - monotonic; gap.Abs() >= clockStepThreshold {
		step = gap
	}
	return pause, step
}

// pausedSince tells whether the process paused at some moment between from and now, and when that pause began at the
// earliest. It does not wait for the next sample.
func (w *clockWatch) pausedSince(from, now time.Time) (start time.Time, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.last.IsZero() && now.Sub(w.last) >= clockInterval+pauseThreshold:
		return w.last, true
	case w.pauseEnd.After(from):
		return w.pauseStart, true
	}
	return time.Time{}, false
}

// arrival is the earliest moment at which something may have come that is read now by a reader that has waited for it
// since from. Behind a pause that is the pause's beginning.
func (w *clockWatch) arrival(from, now time.Time) time.Time {
	start, paused := w.pausedSince(from, now)
	if !paused || now.Sub(w.lastPauseEnd(now)) > catchUp {
		return now
	}
	if start.Before(from) {
		return from
	}
	return start
}

// lastPauseEnd is when the last pause ended; now, where it has not been noticed yet.
func (w *clockWatch) lastPauseEnd(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.last) >= clockInterval+pauseThreshold {
		return now
	}
	return w.pauseEnd
}

// watchClocks logs pauses of the process and steps of the wall clock, and now and then what came close to a loss: a node
// that is killed writes no last line.
func (n *Node) watchClocks(ctx context.Context) {
	logged, samples := n.near.sum(), 0
	every(ctx, clockInterval, func() {
		pause, step := n.clocks.sample(time.Now())
		if pause > 0 {
			n.near.pauses.Add(1)
			n.Log.Warn("process paused", "for", pause)
		}
		if step != 0 {
			n.near.clockSteps.Add(1)
			n.Log.Warn("wall clock stepped", "by", step)
		}
		if samples++; samples%nearMissSamples == 0 && n.near.sum() != logged {
			logged = n.near.sum()
			n.Log.Info("near misses so far", "near", &n.near)
		}
	})
}
