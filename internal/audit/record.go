// Package audit checks a recorded run against six rules. Its input is the traffic on the sockets as logged by the
// stand-in boxes and viewers and by the relays between planner and edges; it uses no report of an edge.
package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Entry is one event observed on a socket, or one action of the scenario script.
type Entry struct {
	TimeMicros int64   `json:"t"`                 // microseconds since the start of the run
	Observer   string  `json:"side"`              // "box", "viewer", "relay" or "script"
	Subject    string  `json:"who"`               // box or viewer; for the script an edge or a kind of fault
	Event      string  `json:"what"`              // one of the constants below
	Session    string  `json:"session,omitempty"` // box: session ID assigned by the edge; viewer: request ID
	Viewer     string  `json:"viewer,omitempty"`
	Edge       string  `json:"edge,omitempty"` // position.instance, or position
	Title      string  `json:"title,omitempty"`
	Class      string  `json:"class,omitempty"`
	Rung       int     `json:"rung"`
	Attempt    int     `json:"attempt,omitempty"`
	Status     int     `json:"status,omitempty"`
	Value      float64 `json:"value,omitempty"`
	Text       string  `json:"text,omitempty"`
}

// Events of entries, with the observer that logs them.
const (
	SetUpReceived  = "setup-arrived" // box: a set-up attempt arrived
	SetUpRan       = "setup-ran"     // box: the set-up succeeded and the session runs
	SetUpNotRun    = "setup-never"   // box: the set-up was refused and certainly did not run
	SetUpEnded     = "setup-over"    // box: the attempt was answered or its connection closed; Text "playing": success
	SessionEnd     = "session-end"   // box: a session ended; Text is the reason
	RungSet        = "rung"          // box: the edge changed a session's rung
	BoxStarted     = "box-started"   // box: its process started; Value is its stream slots, Text "warm" if it starts warm
	BoxOverloaded  = "box-fell"      // box: it crashed from too many set-ups during slow start
	StatePublished = "told"          // relay: forwarded an update about box Subject to edge Edge; Text is its state
	RequestSent    = "asked"         // viewer: a request was sent; Value is its deadline in seconds
	PlaylistReload = "reload"        // Text of a viewer's entries about a playlist reload rather than a session request
	AnswerReceived = "answered"      // viewer: the answer was read
	Unanswered     = "unanswered"    // viewer: the connection ended without an answer
	ViewerGaveUp   = "gave-up"       // viewer: it closed the connection before an answer
	ExtraBytes     = "extra"         // viewer: bytes followed the answer
	CopyCompleted  = "copy-whole"    // box: a copy of a title is complete; Text is the box it came from
	TitleDropped   = "title-dropped" // box: a title was deleted from its disk
	EdgeKilled     = "edge-killed"   // script: edge Subject was stopped
	EdgeStarted    = "edge-up"       // script: edge Subject was started again
	FaultApplied   = "fault"         // script: a fault of kind Subject was applied
)

// Log collects entries. It may be used by several goroutines.
type Log struct {
	start   time.Time
	mu      sync.Mutex
	entries []Entry
}

// NewLog returns an empty log whose time starts now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Add appends an entry with the current time.
func (l *Log) Add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.TimeMicros = time.Since(l.start).Microseconds()
	l.entries = append(l.entries, e)
}

// Entries returns a copy of all entries so far, in order of time.
func (l *Log) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.entries...)
}

// Write writes entries as JSON lines.
func Write(w io.Writer, entries []Entry) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for _, e := range entries {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return b.Flush()
}

// Read reads entries written by Write.
func Read(r io.Reader) (out []Entry, err error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	for {
		var e Entry
		if err := decoder.Decode(&e); err == io.EOF {
			return out, nil
		} else if err != nil {
			return nil, fmt.Errorf("audit: entry %d: %w", len(out)+1, err)
		}
		out = append(out, e)
	}
}
