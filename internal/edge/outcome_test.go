package edge

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"rainpulley/control"
	"rainpulley/internal/descriptors"
	"rainpulley/internal/http1"
)

// Guards against errors of this machine that count against a healthy box: a set-up that could not be sent for lack of a
// descriptor never left the front, and says nothing about the box.
func TestOutcomeOfLocalErrors(t *testing.T) {
	dialError := func(errno syscall.Errno) error {
		return fmt.Errorf("%w: %w", http1.ErrNotSent, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
	}
	for _, c := range []struct {
		err               error
		setUp, afterStart control.Outcome
	}{
		{dialError(syscall.EMFILE), control.NotSent, control.Reset},
		{dialError(syscall.ENETUNREACH), control.NotSent, control.Reset},
		{fmt.Errorf("%w: %w", http1.ErrNotSent, descriptors.ErrNoneFree), control.NotSent, control.Reset},
		{dialError(syscall.ECONNREFUSED), control.ConnectFailed, control.Reset},
		{dialError(syscall.EHOSTUNREACH), control.ConnectFailed, control.Reset},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, control.Reset, control.Reset},
		{&http1.Error{Status: 400, Reason: "malformed"}, control.Failed, control.Failed},
	} {
		if got := classifySetUpError(context.Background(), c.err); got != c.setUp {
			t.Errorf("%v: outcome %v, want %v", c.err, got, c.setUp)
		}
		if got := classifyErrorAfterStart(context.Background(), c.err); got != c.afterStart {
			t.Errorf("%v after the start: outcome %v, want %v", c.err, got, c.afterStart)
		}
	}
}
