package descriptors

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Peers that hold all incoming connections leave as many descriptors for calls, whose waiters are woken by the first one
// that is freed, and streams take from both sides.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(reserved+20, 100)
		acquireAll := func() (n int) {
			for b.Acquire() {
				n++
			}
			return n
		}
		if n := acquireAll(); n != 10 {
			t.Errorf("%d incoming connections, want half of 20", n)
		}
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for i := range 10 {
			if err := b.AcquireCall(short); err != nil {
				t.Fatalf("call %d: %v", i, err)
			}
		}
		if err := b.AcquireCall(short); !errors.Is(err, ErrNoneFree) {
			t.Errorf("an eleventh call: %v", err)
		}
		woken := make(chan error)
		go func() { woken <- b.AcquireCall(t.Context()) }()
		synctest.Wait()
		b.ReleaseCall()
		if err := <-woken; err != nil {
			t.Error(err)
		}
		for range 4 {
			b.OpenStream()
		}
		for range 10 {
			b.Release()
		}
		if n := acquireAll(); n != 8 {
			t.Errorf("%d incoming connections beside four streams, want 8", n)
		}
	})
	if b := NewBudget(10, 5); !b.Acquire() || b.AcquireCall(context.Background()) != nil {
		t.Error("a process with very few descriptors serves nobody")
	}
}
