// Package peerstate asks the kernel what has arrived on a TCP connection, whether or not the program has read it: a
// reader learns that its peer has closed the connection only behind all that the peer sent before. It reads nothing
// and never blocks.
package peerstate

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what has arrived on a connection.
type State struct {
	// Closed means that the peer has closed its write side or has reset the connection.
	Closed bool
	// Unread is the number of bytes that have arrived and were not read yet.
	Unread int
	// Received is the number of bytes that have arrived in all; negative if it is not known. A close may count as one.
	Received int64
	// SinceData is the time since the last data arrived; negative if it is not known. A close arrived no earlier.
	SinceData time.Duration
}

// States of a TCP connection that has received its peer's FIN or RST (Linux, include/net/tcp_states.h).
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// Query returns the state of a connection. It returns false if the connection is no open TCP socket, or if the kernel
// does not tell.
func Query(conn net.Conn) (State, bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return State{}, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return State{}, false
	}
	state, known := State{Received: -1, SinceData: -1}, false
	err = raw.Control(func(fd uintptr) { known = state.read(int(fd)) })
	return state, err == nil && known
}

// read fills in the state of a socket. It reports whether the kernel told anything.
func (s *State) read(fd int) (known bool) {
	if unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ); err == nil {
		s.Unread, known = unread, true
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State == 0 {
		return known
	}
	switch info.State {
	case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		s.Closed = true
	}
	s.SinceData = time.Duration(info.Last_data_recv) * time.Millisecond
	s.Received = int64(info.Bytes_received)
	return true
}
