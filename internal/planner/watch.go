// Package planner watches the fleet and publishes the versioned view that edges follow.
package planner

import (
	"slices"
	"strings"
	"time"

	"rainpulley/internal/view"
)

// Check is what one health check of a box found.
type HealthCheck struct {
	Answered        bool
	Draining        bool
	BootID          string    // changes when the box's process starts anew
	Started         time.Time // zero: not told; by the box's clock
	AnsweredAt      time.Time // when it was answered, by the planner's clock; zero: not known
	LinkUtilization float64   // asked of its link over what it gives, as it reports
	Streams         float64   // that it runs
	TitlesVersion   uint64    // changes when its titles do
}

// Watch turns checks into the view. It does no I/O and reads no clock: what to believe of checks is
// settled here. A box is listed once a check was answered; one that misses several in a row is gone; one
// that answers with another boot has restarted, and its start counts as told by the box.
type Monitor struct {
	goneAfter int
	boxes     map[string]*boxState
	titles    map[string]view.Title
	version   uint64
	lastView  view.View
}

type boxState struct {
	box           view.Box
	answered      bool // ever answered
	missedChecks  int
	bootID        string
	lastAnswerAt  time.Time  // last answer under that boot
	operatorDrain bool       // told by an operator, whatever the box says
	reportedState view.State // what sources are believed to say; "": nobody else speaks of it

	linkUtilization, streams float64 // last reported
}

// NewWatch begins with nothing known. Versions rise from first, which must be above those of an earlier
// planner of the same fleet.
func NewMonitor(goneAfter int, first uint64) *Monitor {
	return &Monitor{goneAfter: max(goneAfter, 1), boxes: map[string]*boxState{}, titles: map[string]view.Title{},
		version: first, lastView: view.View{Version: first}}
}

// Add makes a box known; it is not listed before it answers.
func (m *Monitor) Add(b view.Box) {
	if m.boxes[b.ID] == nil {
		b.State = view.StateGone
		m.boxes[b.ID] = &boxState{box: b}
	}
}

// Update changes what is known of a box from its installation; its state and start stay.
func (m *Monitor) Update(b view.Box) {
	if old := m.boxes[b.ID]; old != nil {
		b.State, b.StartedMs = old.box.State, old.box.StartedMs
		old.box = b
		return
	}
	m.Add(b)
}

// Remove forgets a box.
func (m *Monitor) Remove(id string) { delete(m.boxes, id) }

// Drain marks a box for draining, or ends that.
func (m *Monitor) SetDrain(id string, on bool) bool {
	b := m.boxes[id]
	if b == nil {
		return false
	}
	b.operatorDrain = on
	if on && b.box.State == view.StateReady {
		b.box.State = view.StateDraining
	} else if !on && b.box.State == view.StateDraining {
		b.box.State = view.StateReady // the next check says otherwise where the box itself drains
	}
	return true
}

// SetTitle adds or changes a title; a span of 0 removes it.
func (m *Monitor) SetTitle(t view.Title) {
	if t.CellSpan == 0 {
		delete(m.titles, t.Name)
		return
	}
	if old, ok := m.titles[t.Name]; ok && !t.Listed { // who holds it is not for the installation to say
		t.Listed, t.Holders = old.Listed, old.Holders
	}
	m.titles[t.Name] = t
}

// Saw takes a check.
func (m *Monitor) RecordCheck(id string, c HealthCheck) {
	b := m.boxes[id]
	if b == nil {
		return
	}
	if !c.Answered {
		if b.missedChecks++; b.missedChecks >= m.goneAfter {
			b.box.State = view.StateGone
		}
		return
	}
	b.missedChecks, b.answered, b.linkUtilization, b.streams = 0, true, c.LinkUtilization, c.Streams
	if c.BootID != b.bootID || b.box.StartedMs == 0 {
		if !c.Started.IsZero() {
			b.box.StartedMs = b.startTime(c).UnixMilli()
		}
		b.bootID = c.BootID
	}
	b.lastAnswerAt = c.AnsweredAt
	b.box.State = view.StateReady
	if c.Draining || b.operatorDrain {
		b.box.State = view.StateDraining
	}
}

// began is when a box's process started, by the planner's clock. The box's own clock may be apart: one that is
// behind would let a cold box pass for a warm one, and be pushed over. It cannot have started before the
// last answer under its old boot, nor after this one.
func (b *boxState) startTime(c HealthCheck) time.Time {
	started := c.Started
	if b.bootID != "" && started.Before(b.lastAnswerAt) {
		started = b.lastAnswerAt
	}
	if !c.AnsweredAt.IsZero() && started.After(c.AnsweredAt) {
		started = c.AnsweredAt
	}
	return started
}

// Believe takes what other sources are believed to say of a box: it gets no better state than that. A start that
// they tell later than the box's own is believed.
func (m *Monitor) SetReported(id string, s view.State, started int64) {
	b := m.boxes[id]
	if b == nil {
		return
	}
	b.reportedState = s
	if b.box.StartedMs > 0 && started > b.box.StartedMs {
		b.box.StartedMs = started
	}
}

// state is a box's state in the view: the worse of its own checks and of what is believed of other sources.
func (b *boxState) effectiveState() view.State {
	switch {
	case b.box.State == view.StateGone || b.reportedState == view.StateGone:
		return view.StateGone
	case b.reportedState == view.StateDraining:
		return view.StateDraining
	}
	return b.box.State
}

// Settled tells that every box was heard of or missed often enough. Before that the view is not worth
// publishing: a planner that starts would tell its edges that the whole fleet is gone.
func (m *Monitor) AllChecked() bool {
	for _, b := range m.boxes {
		if !b.answered && b.missedChecks < m.goneAfter {
			return false
		}
	}
	return true
}

// View is the view as it stands, with a higher version if anything changed since the last call.
func (m *Monitor) View() (next view.View, changed bool) {
	for _, b := range m.boxes {
		if state := b.effectiveState(); state != view.StateGone {
			listed := b.box
			listed.State = state
			next.Boxes = append(next.Boxes, listed)
		}
	}
	for _, t := range m.titles {
		next.Titles = append(next.Titles, t)
	}
	slices.SortFunc(next.Boxes, func(a, b view.Box) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(next.Titles, func(a, b view.Title) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(next.Boxes, m.lastView.Boxes) && slices.EqualFunc(next.Titles, m.lastView.Titles, view.Title.Equal) {
		return m.lastView, false
	}
	m.version++
	next.Version = m.version
	m.lastView = next
	return next, true
}
