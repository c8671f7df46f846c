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
		want Verdict
	}{
		{nil, Connect, Unknown},
		{errors.New("something else"), Connect, Unknown},
		{wrap("connect", syscall.Errno(9999)), Connect, Unknown},
		{wrap("connect", syscall.ECONNREFUSED), Connect, PeerRefused},
		{wrap("connect", syscall.ETIMEDOUT), Connect, PeerSilent},
		{wrap("connect", syscall.EHOSTUNREACH), Connect, PeerSilent},
		{context.DeadlineExceeded, Connect, PeerSilent},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, Connect, PeerSilent},
		{context.Canceled, Connect, ClosedHere},
		{wrap("connect", syscall.ENETUNREACH), Connect, LocalMoment},
		{wrap("connect", syscall.ENOBUFS), Connect, LocalMoment},
		{wrap("socket", syscall.ENOMEM), Connect, LocalMoment},
		{wrap("socket", syscall.ENFILE), Connect, LocalMoment},
		{wrap("socket", syscall.EMFILE), Connect, LocalDescriptors},
		{wrap("connect", syscall.EADDRNOTAVAIL), Connect, LocalMoment},
		{wrap("connect", syscall.EINTR), Connect, LocalMoment},
		{wrap("accept4", syscall.ECONNABORTED), Accept, LocalMoment},
		{wrap("accept4", syscall.EMFILE), Accept, LocalDescriptors},
		{wrap("accept4", syscall.ENFILE), Accept, LocalMoment},
		{net.ErrClosed, Accept, ClosedHere},
		{io.EOF, Transfer, PeerClosed},
		{io.ErrUnexpectedEOF, Transfer, PeerClosed},
		{wrap("read", syscall.ECONNRESET), Transfer, PeerReset},
		{wrap("write", syscall.EPIPE), Transfer, PeerReset},
		{wrap("read", syscall.ETIMEDOUT), Transfer, PeerReset},
		{wrap("read", syscall.EHOSTUNREACH), Transfer, PeerReset},
		{wrap("write", syscall.ENOBUFS), Transfer, LocalMoment},
		{wrap("read", syscall.ENOMEM), Transfer, LocalMoment},
		{os.ErrDeadlineExceeded, Transfer, DeadlineExceeded},
	} {
		if got := Judge(c.err, c.call); got != c.want {
			t.Errorf("%v in call %d: %v, want %v", c.err, c.call, got, c.want)
		}
	}
	for number := syscall.Errno(1); number < 200; number++ {
		for _, call := range []Call{Connect, Accept, Transfer} {
			err := fmt.Errorf("wrapped: %w", wrap("call", number))
			if v := Judge(err, call); v == PeerRefused && number != syscall.ECONNREFUSED {
				t.Errorf("%v passes for a refusal", number)
			}
		}
	}
}
