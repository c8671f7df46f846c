package peaks

import (
	"math"
	"slices"
	"time"
)

// Parameters of the forecast for a peak, before and after its start is observed.
const (
	// Holds begin this fraction (1/leadDivisor) of a session's length before the earliest start, at most maxLead:
	// sessions that end in the meantime free capacity.
	leadDivisor = 3
	maxLead     = 20 * time.Second
	// A peak counts as started when the window has at least minStartArrivals arrivals and at least this share of the
	// announced ones. Its titles are requested outside the peak too, so the share is higher before the earliest start.
	minStartArrivals = 3.0
	earlyStartShare  = 0.3
	dueStartShare    = 0.15
	arrivalWindow    = 5 * time.Second // arrivals are counted over this time
	// The expected rate of a late peak decays once lateGrace has passed since the latest start.
	lateGrace    = 20 * time.Second
	lateHalfLife = 10 * time.Second
	// Bounds of the expected rate of a running peak, relative to the announced rate.
	minRateFactor    = 0.1
	maxRateFactor    = 2.0
	minForecastShare = 0.05 // a late peak whose rate decayed below this share is no longer expected
)

// Follower compares the arrivals of a peak with its announcement. All times are Unix milliseconds.
type Follower struct {
	startedAt int64 // 0: the start was not observed yet
	arrivals  []arrivalCount
}

type arrivalCount struct {
	at int64
	n  float64
}

// RecordArrivals records the arrivals of the peak since the last call.
func (f *Follower) RecordArrivals(now int64, count float64, announcement *Announcement) {
	f.arrivals = slices.DeleteFunc(f.arrivals,
		func(c arrivalCount) bool { return c.at <= now-arrivalWindow.Milliseconds() })
	if !(count > 0) {
		return
	}
	f.arrivals = append(f.arrivals, arrivalCount{now, count})
	share := earlyStartShare
	if now >= announcement.Start-announcement.Uncertainty {
		share = dueStartShare
	}
	if f.startedAt == 0 &&
		f.recentArrivals() >= max(minStartArrivals, share*announcement.Rate*arrivalWindow.Seconds()) &&
		now >= announcement.Start-announcement.Uncertainty-60_000 {
		f.startedAt = now
	}
}

// recentArrivals returns the number of arrivals in the window.
func (f *Follower) recentArrivals() (n float64) {
	for _, c := range f.arrivals {
		n += c.n
	}
	return n
}

// Started reports whether the start of the peak was observed.
func (f *Follower) Started() bool { return f.startedAt > 0 }

// Forecast is what is still expected of a peak at a given time.
type Forecast struct {
	Rate      float64       // new sessions per second
	Remaining time.Duration // how long new sessions keep arriving
}

// Forecast weighs the announcement against the observed arrivals. A late peak is expected in full during a grace
// period, then its expected rate decays exponentially. A running peak is expected at its observed rate, within bounds,
// for the announced duration. sessionLength is how long each of its sessions plays.
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
		// The weight of the observed rate grows with the time of observation.
		weight := observedSeconds / arrivalWindow.Seconds()
		rate = weight*rate + (1-weight)*announcement.Rate
	}
	if remaining <= 0 {
		return Forecast{}
	}
	return Forecast{rate, milliseconds(remaining)}
}
