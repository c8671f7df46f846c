package socketerror

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// TestJudge: what passes for a dead server has to be the server's own; what this machine cannot for a moment is never
// the peer's.
func TestJudge(t *testing.T) {
	wrap := func(call string, number syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, number)}
	}
	for _, c := range []struct {
		err  error
		call Call
		want Category
	}{
		{nil, Connect, Unknown},
		{errors.New("something else"), Connect, Unknown},
		{wrap("connect", syscall.Errno(9999)), Connect, Unknown},
		{wrap("connect", syscall.ECONNREFUSED), Connect, PeerRefused},
		{wrap("connect", syscall.ETIMEDOUT), Connect, PeerUnreachable},
		{wrap("connect", syscall.EHOSTUNREACH), Connect, PeerUnreachable},
		{context.DeadlineExceeded, Connect, PeerUnreachable},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, Connect, PeerUnreachable},
		{context.Canceled, Connect, ClosedLocally},
		{wrap("connect", syscall.ENETUNREACH), Connect, LocalTemporary},
		{wrap("connect", syscall.ENOBUFS), Connect, LocalTemporary},
		{wrap("socket", syscall.ENOMEM), Connect, LocalTemporary},
		{wrap("socket", syscall.ENFILE), Connect, LocalTemporary},
		{wrap("socket", syscall.EMFILE), Connect, LocalDescriptorLimit},
		{wrap("connect", syscall.EADDRNOTAVAIL), Connect, LocalTemporary},
		{wrap("connect", syscall.EINTR), Connect, LocalTemporary},
		{wrap("accept4", syscall.ECONNABORTED), Accept, LocalTemporary},
		{wrap("accept4", syscall.EMFILE), Accept, LocalDescriptorLimit},
		{wrap("accept4", syscall.ENFILE), Accept, LocalTemporary},
		{net.ErrClosed, Accept, ClosedLocally},
		{io.EOF, Transfer, PeerClosed},
		{io.ErrUnexpectedEOF, Transfer, PeerClosed},
		{wrap("read", syscall.ECONNRESET), Transfer, PeerReset},
		{wrap("write", syscall.EPIPE), Transfer, PeerReset},
		{wrap("read", syscall.ETIMEDOUT), Transfer, PeerReset},
		{wrap("read", syscall.EHOSTUNREACH), Transfer, PeerReset},
		{wrap("write", syscall.ENOBUFS), Transfer, LocalTemporary},
		{wrap("read", syscall.ENOMEM), Transfer, LocalTemporary},
		{os.ErrDeadlineExceeded, Transfer, DeadlineExceeded},
	} {
		if got := Classify(c.err, c.call); got != c.want {
			t.Errorf("%v in call %d: %v, want %v", c.err, c.call, got, c.want)
		}
	}
	for number := syscall.Errno(1); number < 200; number++ {
		for _, call := range []Call{Connect, Accept, Transfer} {
			err := fmt.Errorf("wrapped: %w", wrap("call", number))
			if v := Classify(err, call); v == PeerRefused && number != syscall.ECONNREFUSED {
				t.Errorf("%v passes for a refusal", number)
			}
		}
	}
}
