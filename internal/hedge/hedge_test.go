package hedge

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rainpulley/internal/timelimit"
)

const overdue = 5 * time.Second

// newCall returns a call whose runs take what take returns for their number; 0 means that a run never returns by itself.
func newCall(take func(run int) time.Duration, fail error) (call Call[int], discarded *[]int) {
	var runs atomic.Int64
	discarded = new([]int)
	return Call[int]{Overdue: overdue, Limit: timelimit.NewAdaptive(2*overdue, 20*overdue),
		Discard: func(run int) { *discarded = append(*discarded, run) },
		Run: func(ctx context.Context) (int, error) {
			number := int(runs.Add(1))
			var done <-chan time.Time
			if d := take(number); d > 0 {
				done = time.After(d)
			}
			select {
			case <-done:
				return number, fail
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		}}, discarded
}

// TestSlowPeer checks that a peer which answers each run, however late, is heard in at most three times that time: runs
// are cancelled until the limit, which doubles, is long enough.
func TestSlowPeer(t *testing.T) {
	for take := time.Second; take < time.Minute; take += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			call, _ := newCall(func(int) time.Duration { return take }, nil)
			started := time.Now()
			if _, err := call.Do(t.Context()); err != nil || time.Since(started) > 3*take {
				t.Errorf("runs of %v: done after %v, %v", take, time.Since(started), err)
			}
		})
	}
}

// TestForgottenRuns checks that a peer which has forgotten the first runs is heard soon after it works again.
func TestForgottenRuns(t *testing.T) {
	for forgotten := range 30 {
		synctest.Test(t, func(t *testing.T) {
			call, discarded := newCall(func(run int) time.Duration {
				if run <= forgotten {
					return 0
				}
				return time.Second
			}, nil)
			started := time.Now()
			value, err := call.Do(t.Context())
			if want := time.Duration(forgotten)*overdue + time.Second; err != nil || value != forgotten+1 ||
				time.Since(started) > want {
				t.Errorf("%d forgotten: run %d done after %v, want %v: %v", forgotten, value, time.Since(started), want, err)
			}
			if len(*discarded) > 0 {
				t.Errorf("discarded %v", *discarded)
			}
		})
	}
}

// TestErrors checks that a run that fails ends the call if no other is open, and that an end of the context does.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := errors.New("refused")
		call, _ := newCall(func(int) time.Duration { return time.Second }, failed)
		if _, err := call.Do(t.Context()); !errors.Is(err, failed) {
			t.Errorf("error %v, want %v", err, failed)
		}
		call, _ = newCall(func(int) time.Duration { return 0 }, nil)
		ctx, stop := context.WithTimeout(t.Context(), 7*time.Second)
		defer stop()
		if _, err := call.Do(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want %v", err, context.DeadlineExceeded)
		}
	})
}

// TestCancelledRunSucceeds checks that the result of a run which is cancelled just as it succeeds is not used: what it
// has opened ends with its context.
func TestCancelledRunSucceeds(t *testing.T) {
	for range 100 { // which comes first, the run's end or its cancellation, is chance
		synctest.Test(t, func(t *testing.T) {
			call, _ := newCall(func(int) time.Duration { return 4 * overdue }, nil)
			const cancelled = -1
			run := call.Run
			call.Run = func(ctx context.Context) (int, error) {
				number, err := run(ctx)
				if ctx.Err() != nil {
					return cancelled, nil // it has succeeded as well
				}
				return number, err
			}
			if number, err := call.Do(t.Context()); number == cancelled || err != nil {
				t.Errorf("result of run %d, %v", number, err)
			}
		})
	}
}

// TestUnneededResult checks that the result of a run that succeeds at the same time as another is discarded.
func TestUnneededResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call, discarded := newCall(func(run int) time.Duration { return 2*overdue - time.Duration(run)*overdue + time.Second }, nil)
		call.Run = func(run func(context.Context) (int, error)) func(context.Context) (int, error) {
			return func(ctx context.Context) (int, error) { return run(context.WithoutCancel(ctx)) }
		}(call.Run)
		value, err := call.Do(t.Context())
		if err != nil || len(*discarded) != 1 || value+(*discarded)[0] != 3 {
			t.Errorf("run %d, discarded %v, %v", value, *discarded, err)
		}
	})
}

// TestOpenCalls checks which calls are cancelled for new ones, and that a success cancels the older ones alone.
func TestOpenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cancelled []int
		open := OpenCalls{Most: 3, Limit: timelimit.NewAdaptive(25*time.Second, time.Minute)}
		var calls []*OpenCall
		add := func() {
			number := len(calls)
			calls = append(calls, open.Add(func() { cancelled = append(cancelled, number) }))
			time.Sleep(overdue)
		}
		wantCancelled := func(want ...int) {
			t.Helper()
			if !slices.Equal(cancelled, want) {
				t.Errorf("cancelled %v, want %v", cancelled, want)
			}
		}
		for range 5 { // the second-oldest makes room, from the fourth on
			open.MakeRoom()
			add()
		}
		wantCancelled(1, 2)
		if !open.MakeRoom() { // 25 s after the first call
			t.Error("the oldest has not exceeded its limit")
		}
		wantCancelled(1, 2, 0)
		add()
		if _, _, ok := open.Remove(calls[1]); ok {
			t.Error("a cancelled call is open")
		}
		if took, newerOpen, ok := open.Remove(calls[4]); !ok || !newerOpen || took != 2*overdue {
			t.Errorf("call 4: open %v, newer open %v, took %v", ok, newerOpen, took)
		}
		open.CancelOlder(calls[4])
		wantCancelled(1, 2, 0, 3)
		if _, newerOpen, ok := open.Remove(calls[5]); !ok || newerOpen || open.Len() != 0 {
			t.Errorf("call 5: open %v, newer open %v, %d left", ok, newerOpen, open.Len())
		}
	})
}
