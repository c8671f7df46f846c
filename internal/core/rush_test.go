package core

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"rainpulley/control"
)

// BenchmarkRush is a rush of 200 requests at once, each refused by a module that takes no time.
func BenchmarkRush(b *testing.B) {
	const rush = 200
	o := New(Options{QueueSize: rush, Log: slog.New(slog.DiscardHandler), Executor: &fakeExecutor{t: b, inFlight: map[string]int{}}, Now: func() time.Duration { return 0 },
		Decider: deciderFunc(func(_ time.Duration, e control.Event) []control.Action {
			if r, ok := e.(control.Request); ok {
				return []control.Action{control.Refuse{ID: r.ID}}
			}
			return nil
		})})
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { o.Run(ctx); close(over) }()
	defer func() { stop(); <-over }()
	for round := range b.N {
		var last *recordingListener
		for i := range rush {
			last = newRecordingListener(b)
			o.Submit(control.Request{ID: fmt.Sprint(round, "-", i), GiveUpAt: time.Hour}, last)
		}
		last.waitAnswer()
	}
}
