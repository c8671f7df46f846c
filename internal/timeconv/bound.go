// Package bound takes numbers from outside into the program's units without overflow.
package timeconv

import "time"

// Longest is the longest time that any word from outside may name: 366 days.
const MaxDuration = 366 * 24 * time.Hour

// Latest is the last moment, in Unix milliseconds, that any word from outside may name: the year 2200.
const MaxUnixMilli = int64(7258118400000)

// Ms is a count of milliseconds from outside. It stays within Longest in both directions: past some 292
// years the product would wrap, and a long time become one in the past.
func Milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, -MaxDuration.Milliseconds()), MaxDuration.Milliseconds())) * time.Millisecond
}

// Seconds is a number of seconds from outside, within the same limits. Not a number is 0.
func Seconds(s float64) time.Duration {
	if s != s {
		return 0
	}
	return time.Duration(min(max(s, -MaxDuration.Seconds()), MaxDuration.Seconds()) * float64(time.Second))
}

// Moment is a time in Unix milliseconds from outside; one that cannot be is 0, which says "not known".
func UnixMilli(ms int64) time.Duration {
	if ms < 0 || ms > MaxUnixMilli {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
