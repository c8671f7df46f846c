package node

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// closeReason is why a viewer's connection ended, as logs and counters name it.
type closeReason string

const (
	closedByViewer    closeReason = "closed by the viewer"
	resetByViewer     closeReason = "reset by the viewer"
	brokenByNetwork   closeReason = "network error"
	closedUnreadable  closeReason = "message that cannot be read"
	closedStalled     closeReason = "message that stalled"
	closedSilent      closeReason = "no message in time"
	closedForRoom     closeReason = "closed to make room"
	closedUnwritable  closeReason = "answers cannot be written"
	closedAtNodeEnd   closeReason = "node ends"
	closedNotAccepted closeReason = "no room for another connection"
)

// byThisNode tells whether this side ended the connection: requests that were open on it then are lost.
func (r closeReason) byThisNode() bool {
	return r != closedByViewer && r != resetByViewer && r != brokenByNetwork
}

// readEnd is why a connection ended whose reading failed between two messages, or within one.
func readEnd(err error) closeReason {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return closedByViewer
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedSilent
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return resetByViewer
	}
	return brokenByNetwork
}
