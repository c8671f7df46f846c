package planner

import (
	"log/slog"
	"testing"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/peaks"
)

// The copies for a peak exist from the lead time before it until its sessions end, whether its viewers arrive early,
// late or on time, but not for a peak that is cancelled or whose viewers never arrive.
func TestNeedsCopies(t *testing.T) {
	sec := func(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }
	p := New(Options{Log: slog.New(slog.DiscardHandler), Site: &config.Site{Cells: 1, Racks: 1, Copies: config.Copies{Managed: true, Least: 1, AtOnce: 1, Share: 1,
		Grace: sec(1), Patience: sec(1), Backoff: sec(1), Ahead: sec(600)}}})
	const start = 10_000_000
	for name, c := range map[string]struct {
		at     int64 // seconds from the announced start
		begun  int64 // seconds from the announced start until its viewers arrived; -1000: they did not arrive
		cancel bool
		want   bool
	}{
		"before the lead time":           {-700, -1000, false, false},
		"within the lead time":           {-500, -1000, false, true},
		"began on time":                  {20, 0, false, true},
		"began early":                    {-20, -40, false, true},
		"late, still expected":           {25, -1000, false, true},
		"began late":                     {100, 80, false, true},
		"never began":                    {110, -1000, false, false},
		"last sessions play":             {150, 0, false, true},
		"over":                           {300, 0, false, false},
		"cancelled within the lead time": {-500, -1000, true, false},
		"cancelled while it runs":        {20, 0, true, false},
	} {
		a := peaks.Announcement{ID: "p", Version: 1, Titles: []string{"t"}, Start: start, Duration: 120_000, SessionDuration: 60_000, Rate: 10, Cancelled: c.cancel}
		f := &peaks.Follower{}
		if c.begun > -1000 {
			f.RecordArrivals(start+1000*c.begun, 100, &a)
		}
		p.peakState.followers["p"] = f
		if got := p.needsCopies(&a, start+1000*c.at); got != c.want {
			t.Errorf("%s: needsCopies returns %v, want %v", name, got, c.want)
		}
	}
}
