package peaks

import (
	"math"
	"slices"
	"time"
)

// What is believed of a peak that is announced for an hour, until it is seen to come.
const (
	leadDivisor      = 3 // held for this part of a session's length before the earliest start: others make room as they end
	maxLead          = 20 * time.Second
	minStartArrivals = 3.0              // arrivals in the window that tell a peak has begun, at the least
	earlyStartShare  = 0.3              // and this part of what is announced for the window: its titles are wanted
	dueStartShare    = 0.15             // at other times too; from the earliest start on, less will do
	arrivalWindow    = 5 * time.Second  // arrivals are counted over this
	lateGrace        = 20 * time.Second // after the latest start, it is given up by halves
	lateHalfLife     = 10 * time.Second
	minRateFactor    = 0.1 // of the announced rate is believed at the least while a peak runs
	maxRateFactor    = 2.0 // and so many times it at the most
	minForecastShare = 0.05
)

// Follower knows how a peak really goes. All times are Unix milliseconds.
type Follower struct {
	startedAt     int64 // 0: not seen to come yet
	arrivals      []arrivalCount
	totalArrivals float64
}

type arrivalCount struct {
	at int64
	n  float64
}

// Saw takes arrivals of the peak since the last call.
func (f *Follower) RecordArrivals(now int64, count float64, announcement *Announcement) {
	f.arrivals = slices.DeleteFunc(f.arrivals, func(c arrivalCount) bool { return c.at <= now-arrivalWindow.Milliseconds() })
	if !(count > 0) {
		return
	}
	f.arrivals = append(f.arrivals, arrivalCount{now, count})
	f.totalArrivals += count
	share := earlyStartShare
	if now >= announcement.Start-announcement.Uncertainty {
		share = dueStartShare
	}
	if f.startedAt == 0 && f.recentArrivals() >= max(minStartArrivals, share*announcement.Rate*arrivalWindow.Seconds()) && now >= announcement.Start-announcement.Uncertainty-60_000 {
		f.startedAt = now
	}
}

func (f *Follower) recentArrivals() (n float64) {
	for _, c := range f.arrivals {
		n += c.n
	}
	return n
}

// Begun tells a peak that was seen to come.
func (f *Follower) Started() bool { return f.startedAt > 0 }

// Expect is what is still believed of a peak at a moment.
type Forecast struct {
	Rate      float64       // new sessions a second
	Remaining time.Duration // for so long
}

// Expect weighs the announcement against what was seen: a peak that is late is waited for, and given up
// by halves; one that runs (its sessions play for so long each) is believed at the rate that is seen, within bounds, for as long as announced.
func (f *Follower) Forecast(now int64, announcement *Announcement, sessionLength time.Duration) Forecast {
	if announcement.Cancelled {
		return Forecast{}
	}
	if f.startedAt == 0 {
		if now < announcement.Start-announcement.Uncertainty-min(sessionLength/leadDivisor, maxLead).Milliseconds() {
			return Forecast{}
		}
		factor := 1.0
		if overdue := now - announcement.Start - max(announcement.Uncertainty, 1000) - lateGrace.Milliseconds(); overdue > 0 {
			factor = math.Exp2(-float64(overdue) / float64(lateHalfLife.Milliseconds()))
		}
		if factor < minForecastShare {
			return Forecast{}
		}
		return Forecast{announcement.Rate * factor, milliseconds(announcement.Duration)}
	}
	remaining := f.startedAt + announcement.Duration - now
	observedSeconds := min(float64(now-f.startedAt)/1000, arrivalWindow.Seconds())
	rate := announcement.Rate
	if observedSeconds >= 1 {
		rate = min(max(f.recentArrivals()/observedSeconds, minRateFactor*announcement.Rate), maxRateFactor*announcement.Rate)
		weight := observedSeconds / arrivalWindow.Seconds() // the longer it was watched, the more it is believed
		rate = weight*rate + (1-weight)*announcement.Rate
	}
	if remaining <= 0 {
		return Forecast{}
	}
	return Forecast{rate, milliseconds(remaining)}
}
