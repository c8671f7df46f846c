// Package socketerror judges errors of socket calls: what each says of the peer, and whether the call is worth another
// try. It is the one place where error numbers are looked at. The numbers are those of Linux's manual pages socket(2),
// connect(2), accept(2), recv(2), send(2) and tcp(7). The package has no clock and no I/O.
package socketerror

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Verdict is what an error says.
type Verdict int

// Verdicts.
const (
	// Unknown is an error without a verdict: nothing is concluded of the peer, and the connection is not used on.
	Unknown Verdict = iota
	// PeerClosed: the peer ended the connection in order.
	PeerClosed
	// PeerReset: the connection is broken for good; whether the peer lives is not known.
	PeerReset
	// PeerRefused: the peer's machine answers, and nobody listens there.
	PeerRefused
	// PeerSilent: nobody answered in time.
	PeerSilent
	// DeadlineExceeded: this side's own time for a call ran out; nothing is wrong with the connection.
	DeadlineExceeded
	// ClosedHere: this side closed the connection or gave the call up.
	ClosedHere
	// LocalDescriptors: this process has no descriptor left.
	LocalDescriptors
	// LocalMoment: this machine cannot for a moment. It says nothing of the peer.
	LocalMoment
)

// String names a verdict for logs.
func (v Verdict) String() string {
	names := [...]string{"unknown", "peer closed", "peer reset", "peer refused", "peer silent", "deadline exceeded", "closed here",
		"no descriptor", "local moment"}
	if v >= 0 && int(v) < len(names) {
		return names[v]
	}
	return names[Unknown]
}

// Local tells errors of this machine: they say nothing of the peer.
func (v Verdict) Local() bool { return v == LocalDescriptors || v == LocalMoment }

// Call is the kind of call that failed: some numbers mean different things in different calls.
type Call int

// Calls.
const (
	Connect  Call = iota // socket, bind and connect
	Accept               // of a connection that a peer opened
	Transfer             // read or write on a connection that was up
)

// meaning is what a number says in each call.
type meaning struct{ connect, accept, transfer Verdict }

// meanings has each documented number. A number that a call does not document has the verdict of the call that does.
var meanings = map[syscall.Errno]meaning{
	// Of this machine.
	syscall.EMFILE:        {LocalDescriptors, LocalDescriptors, LocalMoment},
	syscall.ENFILE:        {LocalMoment, LocalMoment, LocalMoment},
	syscall.ENOBUFS:       {LocalMoment, LocalMoment, LocalMoment},
	syscall.ENOMEM:        {LocalMoment, LocalMoment, LocalMoment},
	syscall.EAGAIN:        {LocalMoment, LocalMoment, LocalMoment}, // connect: no free port or routing cache entry
	syscall.EINTR:         {LocalMoment, LocalMoment, LocalMoment},
	syscall.EADDRNOTAVAIL: {LocalMoment, LocalMoment, PeerReset}, // connect: no free port
	syscall.EADDRINUSE:    {LocalMoment, LocalMoment, PeerReset},
	syscall.ENETDOWN:      {LocalMoment, LocalMoment, PeerReset},
	syscall.ENETUNREACH:   {LocalMoment, LocalMoment, PeerReset},   // connect: this machine has no route
	syscall.EPERM:         {LocalMoment, LocalMoment, LocalMoment}, // a local packet filter
	syscall.EACCES:        {LocalMoment, LocalMoment, LocalMoment},
	syscall.ENOSPC:        {LocalMoment, LocalMoment, LocalMoment}, // epoll: too many watches

	// Of the peer or the way to it. accept passes on what happened to the new connection.
	syscall.ECONNREFUSED: {PeerRefused, LocalMoment, PeerReset},
	syscall.ECONNRESET:   {PeerReset, LocalMoment, PeerReset},
	syscall.ECONNABORTED: {PeerReset, LocalMoment, PeerReset},
	syscall.EPIPE:        {PeerReset, LocalMoment, PeerReset},
	syscall.ENOTCONN:     {PeerReset, LocalMoment, PeerReset},
	syscall.ETIMEDOUT:    {PeerSilent, LocalMoment, PeerReset},
	syscall.EHOSTUNREACH: {PeerSilent, LocalMoment, PeerReset},
	syscall.EHOSTDOWN:    {PeerSilent, LocalMoment, PeerReset},
	syscall.ENONET:       {LocalMoment, LocalMoment, PeerReset},
	syscall.EPROTO:       {PeerReset, LocalMoment, PeerReset},
	syscall.ENOPROTOOPT:  {LocalMoment, LocalMoment, PeerReset},
	syscall.EOPNOTSUPP:   {LocalMoment, LocalMoment, PeerReset},
}

// Judge tells what an error of a call says. Nil has no verdict and is Unknown.
func Judge(err error, call Call) Verdict {
	var number syscall.Errno
	switch {
	case err == nil:
		return Unknown
	case errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return ClosedHere
	case errors.As(err, &number):
		return meanings[number].of(call)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return PeerClosed
	case isTimeout(err) && call == Connect:
		return PeerSilent
	case isTimeout(err):
		return DeadlineExceeded
	}
	return Unknown
}

func (m meaning) of(call Call) Verdict {
	switch call {
	case Connect:
		return m.connect
	case Accept:
		return m.accept
	}
	return m.transfer
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
