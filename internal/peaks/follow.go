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
func (f *Follower) RecordArrivals(now int64, n float64, a *Announcement) {
	f.arrivals = slices.DeleteFunc(f.arrivals, func(c arrivalCount) bool { return c.at <= now-arrivalWindow.Milliseconds() })
	if !(n > 0) {
		return
	}
	f.arrivals = append(f.arrivals, arrivalCount{now, n})
	f.totalArrivals += n
	part := earlyStartShare
	if now >= a.Start-a.Uncertainty {
		part = dueStartShare
	}
	if f.startedAt == 0 && f.recentArrivals() >= max(minStartArrivals, part*a.Rate*arrivalWindow.Seconds()) && now >= a.Start-a.Uncertainty-60_000 {
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
func (f *Follower) Forecast(now int64, a *Announcement, plays time.Duration) Forecast {
	if a.Cancelled {
		return Forecast{}
	}
	if f.startedAt == 0 {
		if now < a.Start-a.Uncertainty-min(plays/leadDivisor, maxLead).Milliseconds() {
			return Forecast{}
		}
		part := 1.0
		if over := now - a.Start - max(a.Uncertainty, 1000) - lateGrace.Milliseconds(); over > 0 {
			part = math.Exp2(-float64(over) / float64(lateHalfLife.Milliseconds()))
		}
		if part < minForecastShare {
			return Forecast{}
		}
		return Forecast{a.Rate * part, milliseconds(a.Duration)}
	}
	left := f.startedAt + a.Duration - now
	ran := min(float64(now-f.startedAt)/1000, arrivalWindow.Seconds())
	rate := a.Rate
	if ran >= 1 {
		rate = min(max(f.recentArrivals()/ran, minRateFactor*a.Rate), maxRateFactor*a.Rate)
		known := ran / arrivalWindow.Seconds() // the longer it was watched, the more it is believed
		rate = known*rate + (1-known)*a.Rate
	}
	if left <= 0 {
		return Forecast{}
	}
	return Forecast{rate, milliseconds(left)}
}
