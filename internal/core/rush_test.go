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
	o := New(Options{Queue: rush, Log: slog.New(slog.DiscardHandler), Carrier: &carrier{t: b, out: map[string]int{}}, Now: func() time.Duration { return 0 },
		Decider: scripted(func(_ time.Duration, e control.Event) []control.Action {
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
		var last *ear
		for i := range rush {
			last = newEar(b)
			o.Request(control.Request{ID: fmt.Sprint(round, "-", i), GiveUpAt: time.Hour}, last)
		}
		last.answer()
	}
}
