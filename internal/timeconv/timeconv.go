// Package timeconv converts durations and times received from other processes, files or users to time.Duration without
// overflow.
package timeconv

import "time"

// MaxDuration is the longest duration accepted from outside the process: 366 days.
const MaxDuration = 366 * 24 * time.Hour

// MaxUnixMilli is the latest time accepted from outside the process, in Unix milliseconds: the start of the year 2200.
const MaxUnixMilli = int64(7258118400000)

// Milliseconds converts a number of milliseconds and clamps it to MaxDuration in both directions. Beyond about 292
// years the multiplication would overflow, and a long duration would become negative.
func Milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, -MaxDuration.Milliseconds()), MaxDuration.Milliseconds())) * time.Millisecond
}

// Seconds converts a number of seconds with the same limits. NaN yields 0.
func Seconds(s float64) time.Duration {
	if s != s {
		return 0
	}
	return time.Duration(min(max(s, -MaxDuration.Seconds()), MaxDuration.Seconds()) * float64(time.Second))
}

// UnixMilli converts a time in Unix milliseconds to the duration since the epoch. A negative time, or one after
// MaxUnixMilli, yields 0, which means "not known".
func UnixMilli(ms int64) time.Duration {
	if ms < 0 || ms > MaxUnixMilli {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
