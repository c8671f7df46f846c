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
type Category int

// Verdicts.
const (
	// Unknown is an error without a verdict: nothing is concluded of the peer, and the connection is not used on.
	Unknown Category = iota
	// PeerClosed: the peer ended the connection in order.
	PeerClosed
	// PeerReset: the connection is broken for good; whether the peer lives is not known.
	PeerReset
	// PeerRefused: the peer's machine answers, and nobody listens there.
	PeerRefused
	// PeerSilent: nobody answered in time.
	PeerUnreachable
	// DeadlineExceeded: this side's own time for a call ran out; nothing is wrong with the connection.
	DeadlineExceeded
	// ClosedHere: this side closed the connection or gave the call up.
	ClosedLocally
	// LocalDescriptors: this process has no descriptor left.
	LocalDescriptorLimit
	// LocalMoment: this machine cannot for a moment. It says nothing of the peer.
	LocalTemporary
)

// String names a verdict for logs.
func (v Category) String() string {
	names := [...]string{"unknown", "peer closed", "peer reset", "peer refused", "peer silent", "deadline exceeded", "closed here",
		"no descriptor", "local moment"}
	if v >= 0 && int(v) < len(names) {
		return names[v]
	}
	return names[Unknown]
}

// Local tells errors of this machine: they say nothing of the peer.
func (v Category) IsLocal() bool { return v == LocalDescriptorLimit || v == LocalTemporary }

// Call is the kind of call that failed: some numbers mean different things in different calls.
type Call int

// Calls.
const (
	Connect  Call = iota // socket, bind and connect
	Accept               // of a connection that a peer opened
	Transfer             // read or write on a connection that was up
)

// meaning is what a number says in each call.
type callCategories struct{ connect, accept, transfer Category }

// meanings has each documented number. A number that a call does not document has the verdict of the call that does.
var errnoCategories = map[syscall.Errno]callCategories{
	// Of this machine.
	syscall.EMFILE:        {LocalDescriptorLimit, LocalDescriptorLimit, LocalTemporary},
	syscall.ENFILE:        {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.ENOBUFS:       {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.ENOMEM:        {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.EAGAIN:        {LocalTemporary, LocalTemporary, LocalTemporary}, // connect: no free port or routing cache entry
	syscall.EINTR:         {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.EADDRNOTAVAIL: {LocalTemporary, LocalTemporary, PeerReset}, // connect: no free port
	syscall.EADDRINUSE:    {LocalTemporary, LocalTemporary, PeerReset},
	syscall.ENETDOWN:      {LocalTemporary, LocalTemporary, PeerReset},
	syscall.ENETUNREACH:   {LocalTemporary, LocalTemporary, PeerReset},      // connect: this machine has no route
	syscall.EPERM:         {LocalTemporary, LocalTemporary, LocalTemporary}, // a local packet filter
	syscall.EACCES:        {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.ENOSPC:        {LocalTemporary, LocalTemporary, LocalTemporary}, // epoll: too many watches

	// Of the peer or the way to it. accept passes on what happened to the new connection.
	syscall.ECONNREFUSED: {PeerRefused, LocalTemporary, PeerReset},
	syscall.ECONNRESET:   {PeerReset, LocalTemporary, PeerReset},
	syscall.ECONNABORTED: {PeerReset, LocalTemporary, PeerReset},
	syscall.EPIPE:        {PeerReset, LocalTemporary, PeerReset},
	syscall.ENOTCONN:     {PeerReset, LocalTemporary, PeerReset},
	syscall.ETIMEDOUT:    {PeerUnreachable, LocalTemporary, PeerReset},
	syscall.EHOSTUNREACH: {PeerUnreachable, LocalTemporary, PeerReset},
	syscall.EHOSTDOWN:    {PeerUnreachable, LocalTemporary, PeerReset},
	syscall.ENONET:       {LocalTemporary, LocalTemporary, PeerReset},
	syscall.EPROTO:       {PeerReset, LocalTemporary, PeerReset},
	syscall.ENOPROTOOPT:  {LocalTemporary, LocalTemporary, PeerReset},
	syscall.EOPNOTSUPP:   {LocalTemporary, LocalTemporary, PeerReset},
}

// Judge tells what an error of a call says. Nil has no verdict and is Unknown.
func Classify(err error, call Call) Category {
	var errno syscall.Errno
	switch {
	case err == nil:
		return Unknown
	case errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return ClosedLocally
	case errors.As(err, &errno):
		return errnoCategories[errno].forCall(call)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return PeerClosed
	case isTimeout(err) && call == Connect:
		return PeerUnreachable
	case isTimeout(err):
		return DeadlineExceeded
	}
	return Unknown
}

func (m callCategories) forCall(call Call) Category {
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
