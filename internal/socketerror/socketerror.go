// Package socketerror classifies errors of socket calls: what an error implies about the peer, and whether the call is
// worth repeating. It is the only place that inspects errno values. The values are those in the Linux manual pages
// socket(2), connect(2), accept(2), recv(2), send(2) and tcp(7). The package has no clock and does no I/O.
package socketerror

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Category is the kind of failure that an error indicates.
type Category int

// Categories of errors.
const (
	// Unknown is an error that fits no other category. It implies nothing about the peer; the connection is not reused.
	Unknown Category = iota
	// PeerClosed means that the peer closed the connection in an orderly way.
	PeerClosed
	// PeerReset means that the connection is broken; whether the peer is still alive is not known.
	PeerReset
	// PeerRefused means that the peer's machine is up, but nothing listens on the port.
	PeerRefused
	// PeerUnreachable means that the peer did not respond in time or that its host cannot be reached.
	PeerUnreachable
	// DeadlineExceeded means that a deadline set by this process passed; the connection itself is intact.
	DeadlineExceeded
	// ClosedLocally means that this process closed the connection or cancelled the call.
	ClosedLocally
	// LocalDescriptorLimit means that this process has no file descriptor left.
	LocalDescriptorLimit
	// LocalTemporary means that this machine temporarily lacks a resource. It implies nothing about the peer.
	LocalTemporary
	// ListenerUnusable means that the listening socket is of no use any more.
	ListenerUnusable
)

// String returns the name of a category for logs.
func (c Category) String() string {
	names := [...]string{"unknown", "peer closed", "peer reset", "peer refused", "peer silent", "deadline exceeded",
		"closed here",
		"no descriptor", "local moment", "listener unusable"}
	if c >= 0 && int(c) < len(names) {
		return names[c]
	}
	return names[Unknown]
}

// IsLocal reports whether the error was caused by this machine. Such an error implies nothing about the peer.
func (c Category) IsLocal() bool { return c == LocalDescriptorLimit || c == LocalTemporary }

// EndsListener reports whether an error of accept means that no further connection can be accepted. All others are waited
// out: the peer has left already, or this machine lacks a resource for a moment.
func EndsListener(err error) bool {
	category := Classify(err, Accept)
	return category == ClosedLocally || category == ListenerUnusable
}

// Call is the kind of call that failed. Some errno values mean different things in different calls.
type Call int

// Kinds of calls.
const (
	Connect  Call = iota // socket, bind and connect
	Accept               // accept of a connection that a peer opened
	Transfer             // read or write on an established connection
)

// callCategories holds the category of one errno value for each kind of call.
type callCategories struct{ connect, accept, transfer Category }

// errnoCategories has an entry for each documented errno value. Where a value is documented for one call only, the
// other calls get the same category.
var errnoCategories = map[syscall.Errno]callCategories{
	// Errors of this machine.
	syscall.EMFILE:        {LocalDescriptorLimit, LocalDescriptorLimit, LocalTemporary},
	syscall.ENFILE:        {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.ENOBUFS:       {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.ENOMEM:        {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.EAGAIN:        {LocalTemporary, LocalTemporary, LocalTemporary}, // connect: no free port or route cache
	syscall.EINTR:         {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.EADDRNOTAVAIL: {LocalTemporary, LocalTemporary, PeerReset}, // connect: no free port
	syscall.EADDRINUSE:    {LocalTemporary, LocalTemporary, PeerReset},
	syscall.ENETDOWN:      {LocalTemporary, LocalTemporary, PeerReset},
	syscall.ENETUNREACH:   {LocalTemporary, LocalTemporary, PeerReset},      // connect: this machine has no route
	syscall.EPERM:         {LocalTemporary, LocalTemporary, LocalTemporary}, // a local packet filter
	syscall.EACCES:        {LocalTemporary, LocalTemporary, LocalTemporary},
	syscall.ENOSPC:        {LocalTemporary, LocalTemporary, LocalTemporary}, // epoll: too many watches

	// Errors of the listening socket itself.
	syscall.EBADF:    {Unknown, ListenerUnusable, Unknown},
	syscall.EFAULT:   {Unknown, ListenerUnusable, Unknown},
	syscall.EINVAL:   {Unknown, ListenerUnusable, Unknown},
	syscall.ENOTSOCK: {Unknown, ListenerUnusable, Unknown},

	// Errors of the peer or of the path to it. accept(2) also returns pending network errors of the new connection.
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

// Classify returns the category of an error of a call. It returns Unknown for nil.
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

func (c callCategories) forCall(call Call) Category {
	switch call {
	case Connect:
		return c.connect
	case Accept:
		return c.accept
	}
	return c.transfer
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		errors.As(err, &timeout) && timeout.Timeout()
}
