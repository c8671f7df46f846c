package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/view"
)

// Relay is a TCP relay between the planner and one edge. It forwards bytes, with a configurable delay, and logs the
// state of each box that the planner publishes to the edge.
type Relay struct {
	Edge   int    // position of the edge
	Target string // address of the planner
	Log    *audit.Log

	mu         sync.Mutex
	delay      time.Duration
	blocked    bool
	conns      map[net.Conn]bool
	knownBoxes map[string]bool // boxes that were ever listed
}

// SetDelay sets the delay of forwarded data.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetBlocked closes all connections and refuses new ones while on is true.
func (r *Relay) SetBlocked(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = on
	for c := range r.conns {
		if on {
			_ = c.Close()
		}
	}
}

// Serve accepts and relays connections until ctx is done.
func (r *Relay) Serve(ctx context.Context, ln net.Listener) {
	r.conns, r.knownBoxes = map[net.Conn]bool{}, map[string]bool{}
	defer context.AfterFunc(ctx, func() {
		_ = ln.Close()
		r.SetBlocked(true)
	})()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// forward relays one connection, and logs the updates that the planner sends on it.
func (r *Relay) forward(in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	cut := r.blocked
	r.conns[in] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, in)
		r.mu.Unlock()
	}()
	if cut {
		return
	}
	out, err := net.DialTimeout("tcp", r.Target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	var rest []byte
	buf := make([]byte, 32<<10)
	for {
		n, err := out.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		delay := r.delay
		r.mu.Unlock()
		time.Sleep(delay)
		if _, err := in.Write(buf[:n]); err != nil {
			return
		}
		rest = r.logLines(append(rest, buf[:n]...))
	}
}

// logLines logs the complete lines of b and returns the remainder.
func (r *Relay) logLines(b []byte) []byte {
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			return b
		}
		line := b[:i]
		b = b[i+1:]
		var update view.Update
		if len(line) == 0 || line[0] != '{' || json.Unmarshal(line, &update) != nil {
			continue // HTTP header or chunk size
		}
		r.logUpdate(update)
	}
}

// logUpdate logs the state of each box in an update.
func (r *Relay) logUpdate(update view.Update) {
	add := func(box, state string) {
		r.Log.Add(audit.Entry{Observer: "relay", Subject: box, Event: audit.StatePublished,
			Edge: strconv.Itoa(r.Edge), Text: state})
	}
	listed := map[string]bool{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range update.Boxes {
		listed[b.ID], r.knownBoxes[b.ID] = true, true
		add(b.ID, string(b.State))
	}
	if !update.Full {
		return
	}
	for id := range r.knownBoxes { // a box that a full view does not list is gone
		if !listed[id] {
			add(id, string(view.StateGone))
		}
	}
}
