// Package audit judges a run by the six rules from what passed on the sockets: the logs of stand-in
// boxes and viewers and of the relay between planner and edges. It takes no edge's word for anything.
package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Entry is one thing seen on a socket, or done by the script.
type Entry struct {
	TimeMicros int64   `json:"t"`    // microseconds since the run began
	Observer   string  `json:"side"` // "box", "viewer", "relay" or "script"
	Subject    string  `json:"who"`
	Event      string  `json:"what"`
	Session    string  `json:"session,omitempty"` // request id that the edge gave
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

// What entries say.
const (
	SetUpReceived  = "setup-arrived" // box: an attempt came in
	SetUpRan       = "setup-ran"     // box: it runs the session now
	SetUpNotRun    = "setup-never"   // box: turned away, provably never ran
	SetUpEnded     = "setup-over"    // box: the attempt is no longer out: answered, or its connection closed
	SessionEnd     = "session-end"   // box
	RungSet        = "rung"          // box
	BoxStarted     = "box-started"   // box: its process started; Value is its streams
	BoxOverloaded  = "box-fell"      // box: pushed over while cold
	StatePublished = "told"          // relay: a line about box Who passed to edge Edge; Text is its state
	RequestSent    = "asked"         // viewer: a request for a session went out; Value is its deadline in seconds
	PlaylistReload = "reload"        // text of a viewer's entries: of a playlist, not of the session
	AnswerReceived = "answered"      // viewer: the answer was read
	Unanswered     = "unanswered"    // viewer: the connection ended without an answer
	ViewerGaveUp   = "gave-up"       // viewer: it hung up first
	ExtraBytes     = "extra"         // viewer: bytes came after the one answer
	CopyCompleted  = "copy-whole"    // box: a copy of a title became whole; Text is the box it came from
	TitleDropped   = "title-dropped" // box: a title was taken off its disk
	EdgeKilled     = "edge-killed"   // script
	EdgeStarted    = "edge-up"       // script
	FaultApplied   = "fault"         // script
)

// Log collects entries, from any goroutine.
type Log struct {
	start   time.Time
	mu      sync.Mutex
	entries []Entry
}

// NewLog begins now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Add notes an entry at this moment.
func (l *Log) Add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.TimeMicros = time.Since(l.start).Microseconds()
	l.entries = append(l.entries, e)
}

// Entries are all entries so far, in order of time.
func (l *Log) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.entries...)
}

// Write writes entries as lines of JSON.
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

// Read reads lines of JSON.
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
