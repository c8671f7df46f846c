package delivery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	lifetime   = 8 * time.Second
	lossWindow = time.Second

	noConnection ConnectionID = 0
)

// modelEntry is one message of the reference model, which is a list.
type modelEntry struct {
	key     string
	addedAt time.Duration
	sentOn  ConnectionID // noConnection while the message waits
	sentAt  time.Duration
	settled bool // confirmed, or its connection outlasted the loss window
}

// pendingMachine is a rapid state machine that applies random operations to a Pending and to its model.
type pendingMachine struct {
	pending *Pending[int]
	model   []*modelEntry
	now     time.Duration
	opened  ConnectionID
	open    []ConnectionID
}

func (m *pendingMachine) find(key string) *modelEntry {
	for _, e := range m.model {
		if e.key == key {
			return e
		}
	}
	return nil
}

func (m *pendingMachine) drawEntry(t *rapid.T) *modelEntry {
	if len(m.model) == 0 {
		t.Skip("no message was added")
	}
	return rapid.SampledFrom(m.model).Draw(t, "entry")
}

func (m *pendingMachine) Add(t *rapid.T) {
	key := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key"))
	m.pending.Add(key, len(m.model), m.now)
	if m.find(key) == nil {
		m.model = append(m.model, &modelEntry{key: key, addedAt: m.now})
	}
}

func (m *pendingMachine) Open(*rapid.T) {
	m.opened++
	m.open = append(m.open, m.opened)
}

func (m *pendingMachine) Send(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no connection")
	}
	on := rapid.SampledFrom(m.open).Draw(t, "connection")
	for _, message := range m.pending.Waiting() {
		m.pending.MarkSent(message.Key, on, m.now)
		e := m.find(message.Key)
		e.sentOn, e.sentAt = on, m.now
	}
}

func (m *pendingMachine) Confirm(t *rapid.T) {
	e := m.drawEntry(t)
	m.pending.Confirm(e.key)
	e.settled = true
}

func (m *pendingMachine) End(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no connection")
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "connection")
	ended := m.open[i]
	m.open = slices.Delete(m.open, i, i+1)
	want := 0
	for _, e := range m.model {
		if e.settled || e.sentOn != ended {
			continue
		}
		if m.now-e.sentAt > lossWindow {
			e.settled = true
			continue
		}
		e.sentOn = noConnection
		want++
	}
	if got := m.pending.ConnectionEnded(ended, m.now); got != want {
		t.Fatalf("%d messages wait again, want %d", got, want)
	}
}

func (m *pendingMachine) Pass(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
}

func (m *pendingMachine) Expire(t *rapid.T) {
	var want []string
	for _, e := range m.model {
		if !e.settled && m.now-e.addedAt > lifetime && e.sentOn == noConnection {
			want = append(want, e.key)
		}
	}
	if got := m.pending.Expire(m.now); !slices.Equal(got, want) {
		t.Fatalf("undelivered %v, want %v", got, want)
	}
	m.model = slices.DeleteFunc(m.model, func(e *modelEntry) bool { return m.now-e.addedAt > lifetime })
}

// Check compares the waiting messages with the model, and checks that no settled message is held.
func (m *pendingMachine) Check(t *rapid.T) {
	m.model = slices.DeleteFunc(m.model, func(e *modelEntry) bool { return e.settled })
	var want []string
	for _, e := range m.model {
		if e.sentOn == noConnection {
			want = append(want, e.key)
		}
	}
	var got []string
	for _, message := range m.pending.Waiting() {
		got = append(got, message.Key)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("waiting %v, want %v", got, want)
	}
	if m.pending.HasWaiting() != (len(want) > 0) {
		t.Fatalf("HasWaiting %v with %v waiting", m.pending.HasWaiting(), want)
	}
	if m.pending.Len() != len(m.model) {
		t.Fatalf("holds %d messages, want %d", m.pending.Len(), len(m.model))
	}
}

// TestInterleavings checks that, in any order of operations, a message waits, is on an open connection or counts as
// delivered.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &pendingMachine{pending: New[int](lifetime, lossWindow)}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
