package timeconv

import (
	"math"
	"testing"
	"time"
)

// TestConversionLimits checks conversion, clamping and the handling of values that are out of range.
func TestConversionLimits(t *testing.T) {
	for _, c := range []struct{ got, want time.Duration }{
		{Milliseconds(1500), 1500 * time.Millisecond},
		{Milliseconds(math.MaxInt64), MaxDuration},
		{Milliseconds(math.MinInt64), -MaxDuration}, {Milliseconds(-5), -5 * time.Millisecond},
		{Seconds(0.25), 250 * time.Millisecond}, {Seconds(math.Inf(1)), MaxDuration},
		{Seconds(-1e300), -MaxDuration}, {Seconds(math.NaN()), 0},
		{UnixMilli(1000), time.Second}, {UnixMilli(-1), 0},
		{UnixMilli(MaxUnixMilli), time.Duration(MaxUnixMilli) * time.Millisecond}, {UnixMilli(MaxUnixMilli + 1), 0},
		{UnixMilli(math.MaxInt64), 0},
	} {
		if c.got != c.want {
			t.Errorf("got %v, want %v", c.got, c.want)
		}
	}
}
