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

// TestClassify checks that only errors caused by the peer are attributed to it. A temporary local failure must not make
// a server count as dead.
func TestClassify(t *testing.T) {
	syscallError := func(call string, errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
	}
	for _, c := range []struct {
		err  error
		call Call
		want Category
	}{
		{nil, Connect, Unknown},
		{errors.New("something else"), Connect, Unknown},
		{syscallError("connect", syscall.Errno(9999)), Connect, Unknown},
		{syscallError("connect", syscall.ECONNREFUSED), Connect, PeerRefused},
		{syscallError("connect", syscall.ETIMEDOUT), Connect, PeerUnreachable},
		{syscallError("connect", syscall.EHOSTUNREACH), Connect, PeerUnreachable},
		{context.DeadlineExceeded, Connect, PeerUnreachable},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, Connect, PeerUnreachable},
		{context.Canceled, Connect, ClosedLocally},
		{syscallError("connect", syscall.ENETUNREACH), Connect, LocalTemporary},
		{syscallError("connect", syscall.ENOBUFS), Connect, LocalTemporary},
		{syscallError("socket", syscall.ENOMEM), Connect, LocalTemporary},
		{syscallError("socket", syscall.ENFILE), Connect, LocalTemporary},
		{syscallError("socket", syscall.EMFILE), Connect, LocalDescriptorLimit},
		{syscallError("connect", syscall.EADDRNOTAVAIL), Connect, LocalTemporary},
		{syscallError("connect", syscall.EINTR), Connect, LocalTemporary},
		{syscallError("accept4", syscall.ECONNABORTED), Accept, LocalTemporary},
		{syscallError("accept4", syscall.EMFILE), Accept, LocalDescriptorLimit},
		{syscallError("accept4", syscall.ENFILE), Accept, LocalTemporary},
		{net.ErrClosed, Accept, ClosedLocally},
		{io.EOF, Transfer, PeerClosed},
		{io.ErrUnexpectedEOF, Transfer, PeerClosed},
		{syscallError("read", syscall.ECONNRESET), Transfer, PeerReset},
		{syscallError("write", syscall.EPIPE), Transfer, PeerReset},
		{syscallError("read", syscall.ETIMEDOUT), Transfer, PeerReset},
		{syscallError("read", syscall.EHOSTUNREACH), Transfer, PeerReset},
		{syscallError("write", syscall.ENOBUFS), Transfer, LocalTemporary},
		{syscallError("read", syscall.ENOMEM), Transfer, LocalTemporary},
		{os.ErrDeadlineExceeded, Transfer, DeadlineExceeded},
	} {
		if got := Classify(c.err, c.call); got != c.want {
			t.Errorf("%v in call %d: got category %v, want %v", c.err, c.call, got, c.want)
		}
	}
	for errno := syscall.Errno(1); errno < 200; errno++ {
		for _, call := range []Call{Connect, Accept, Transfer} {
			err := fmt.Errorf("wrapped: %w", syscallError("call", errno))
			if v := Classify(err, call); v == PeerRefused && errno != syscall.ECONNREFUSED {
				t.Errorf("%v is classified as a refused connection", errno)
			}
		}
	}
}

// Guards against a server that ends because accept fails for a reason that passes, as all documented errors do but those
// of the listening socket itself.
func TestEndsListener(t *testing.T) {
	ends := map[syscall.Errno]bool{syscall.EBADF: true, syscall.EFAULT: true, syscall.EINVAL: true, syscall.ENOTSOCK: true}
	for errno := syscall.Errno(1); errno < 200; errno++ {
		if got := EndsListener(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}); got != ends[errno] {
			t.Errorf("%v ends the listener: %v, want %v", errno, got, ends[errno])
		}
	}
	if !EndsListener(&net.OpError{Op: "accept", Err: net.ErrClosed}) || EndsListener(os.ErrDeadlineExceeded) || EndsListener(errors.New("other")) {
		t.Error("a closed listener does not end, or a deadline or an unknown error ends it")
	}
}
