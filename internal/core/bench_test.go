package core

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"rainpulley/control"
)

// BenchmarkRequestBurst measures a burst of 200 requests, each of which the module refuses without any work.
func BenchmarkRequestBurst(b *testing.B) {
	const burst = 200
	o := New(Options{QueueSize: burst, Log: slog.New(slog.DiscardHandler),
		Executor: &fakeExecutor{t: b, inFlight: map[string]int{}}, Now: func() time.Duration { return 0 },
		Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
			if r, ok := e.(control.Request); ok {
				return []control.Action{control.Refuse{ID: r.ID}}
			}
			return nil
		})})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { o.Run(ctx); close(stopped) }()
	defer func() { stop(); <-stopped }()
	for round := range b.N {
		var last *recordingListener
		for i := range burst {
			last = newRecordingListener(b)
			o.Submit(control.Request{ID: fmt.Sprint(round, "-", i), GiveUpAt: time.Hour}, last)
		}
		last.waitAnswer()
	}
}
