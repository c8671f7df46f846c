package accept

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rainpulley/internal/descriptors"
)

// scriptedListener returns errors and then connections.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
}

// Guards against a server that ends because accept fails for a reason that passes. The wait after such an error ends when
// a descriptor is freed; the listener's own end, and that of the context, are passed on.
func TestAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		script := &scriptedListener{}
		l := NewListener(ctx, script, slog.New(slog.DiscardHandler))
		accept := func(errs ...error) (time.Duration, error) {
			script.errs = errs
			start := time.Now()
			_, err := l.Accept()
			return time.Since(start), err
		}
		passing := []error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ECONNABORTED),
			acceptError(syscall.ENOBUFS), acceptError(syscall.EPERM), errors.New("not an errno")}
		if took, err := accept(passing...); err != nil || took != 6*retryDelay {
			t.Errorf("%v after %v, want a connection after %v", err, took, 6*retryDelay)
		}
		l.NotifyFreed()
		l.NotifyFreed()
		if took, err := accept(acceptError(syscall.EMFILE)); err != nil || took != 0 {
			t.Errorf("%v after %v, want a connection at once", err, took)
		}
		for _, end := range []error{net.ErrClosed, acceptError(syscall.EBADF)} {
			if _, err := accept(end); !errors.Is(err, end) {
				t.Errorf("%v, want %v", err, end)
			}
		}
		cancel()
		if _, err := accept(slices.Repeat(passing, 2)...); err == nil {
			t.Error("a connection after the end of the context")
		}
	})
}

// A connection above the limit waits until another one is closed; closing one twice frees one descriptor.
func TestLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limited{Listener: NewListener(t.Context(), &scriptedListener{}, slog.New(slog.DiscardHandler)),
			Budget: descriptors.NewBudget(1000, 2)}
		accepted := make(chan net.Conn)
		go func() {
			for range 3 {
				conn, err := l.Accept()
				if err != nil {
					t.Error(err)
				}
				accepted <- conn
			}
		}()
		first, second := <-accepted, <-accepted
		synctest.Wait()
		select {
		case <-accepted:
			t.Error("a third connection was accepted")
		default:
		}
		_ = first.Close()
		_ = first.Close()
		third := <-accepted
		if l.Budget.Acquire() {
			t.Error("closing a connection twice freed two descriptors")
		}
		_, _ = second.Close(), third.Close()
	})
}
