// Package planner monitors the fleet and publishes the versioned view that edges follow.
package planner

import (
	"slices"
	"strings"
	"time"

	"rainpulley/internal/view"
)

// HealthCheck is the result of one health check of a box.
type HealthCheck struct {
	Answered        bool
	Draining        bool
	BootID          string    // changes when the box's process restarts
	Started         time.Time // by the box's clock; zero: not reported
	AnsweredAt      time.Time // by the planner's clock; zero: not known
	LinkUtilization float64   // demand on the box's link divided by its capacity, as the box reports it
	Streams         float64   // that the box runs
	TitlesVersion   uint64    // changes when the box's titles do
}

// Monitor derives the view from health checks. It does no I/O and reads no clock. A box is listed after its first
// answered check. A box that misses several checks in a row is gone. A box that answers with another boot ID has
// restarted, and the start time that it reports is used.
type Monitor struct {
	goneAfter int
	boxes     map[string]*boxState
	// operatorDrains are the boxes that operators drain, whatever the boxes report. A box need not be known: it may come
	// from a source that is not read yet, or return to one.
	operatorDrains map[string]bool
	titles         map[string]view.Title
	layout         uint64 // rises when a box is added, removed or moved to another cell
	version        uint64
	lastView       view.View
}

type boxState struct {
	box           view.Box
	answered      bool // has answered a check at least once
	drains        bool // as its last answer says
	missedChecks  int  // in a row
	bootID        string
	lastAnswerAt  time.Time  // last answer under that boot ID
	reportedState view.State // reconciled from the sources; "": no source reports the box

	linkUtilization, streams float64 // last reported
}

// NewMonitor makes a Monitor without boxes and titles. Versions rise from first, which must be above the versions of
// any earlier planner of the same fleet.
func NewMonitor(goneAfter int, first uint64) *Monitor {
	return &Monitor{goneAfter: max(goneAfter, 1), boxes: map[string]*boxState{},
		operatorDrains: map[string]bool{}, titles: map[string]view.Title{},
		version: first, lastView: view.View{Version: first}}
}

// Add adds a box; it is not listed in the view before it answers.
func (m *Monitor) Add(b view.Box) {
	if m.boxes[b.ID] == nil {
		b.State = view.StateGone
		m.boxes[b.ID] = &boxState{box: b}
		m.layout++
	}
}

// Update changes the configuration of a box, or adds the box; its state and start time stay.
func (m *Monitor) Update(b view.Box) {
	if old := m.boxes[b.ID]; old != nil {
		b.State, b.StartedMs = old.box.State, old.box.StartedMs
		if b.Cell != old.box.Cell {
			m.layout++
		}
		old.box = b
		return
	}
	m.Add(b)
}

// Remove removes a box.
func (m *Monitor) Remove(id string) {
	delete(m.boxes, id)
	m.layout++
}

// SetDrain starts or ends an operator's drain of a box. It returns false if there is no such box yet; the drain applies
// as soon as there is one.
func (m *Monitor) SetDrain(id string, on bool) bool {
	if on {
		m.operatorDrains[id] = true
	} else {
		delete(m.operatorDrains, id)
	}
	b := m.boxes[id]
	if b == nil {
		return false
	}
	if b.box.State != view.StateGone {
		b.box.State = m.stateOfAnswering(b)
	}
	return true
}

// SetTitle adds or changes a title; a span of 0 removes it.
func (m *Monitor) SetTitle(t view.Title) {
	if t.CellSpan == 0 {
		delete(m.titles, t.Name)
		return
	}
	if old, ok := m.titles[t.Name]; ok && !t.Listed { // the configuration of a title does not change its holders
		t.Listed, t.Holders = old.Listed, old.Holders
	}
	m.titles[t.Name] = t
}

// RecordCheck applies the result of a health check.
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
		if started := b.startTime(c); !started.IsZero() {
			b.box.StartedMs = started.UnixMilli()
		}
		b.bootID = c.BootID
	}
	b.lastAnswerAt = c.AnsweredAt
	b.drains = c.Draining
	b.box.State = m.stateOfAnswering(b)
}

// stateOfAnswering returns the state of a box that answers its checks: an operator and the box itself may each drain it.
func (m *Monitor) stateOfAnswering(b *boxState) view.State {
	if b.drains || m.operatorDrains[b.box.ID] {
		return view.StateDraining
	}
	return view.StateReady
}

// startTime returns when a box's process started, by the planner's clock. The box's own clock may differ: if it is
// behind, a box in its slow start would count as fully ramped up and be overloaded. The start is therefore limited
// to the time between the last answer under the previous boot ID and this answer. It is zero if it is not known: a box
// that has restarted and does not report when counts as started at this answer.
func (b *boxState) startTime(c HealthCheck) time.Time {
	started := c.Started
	if started.IsZero() {
		if b.bootID != "" && c.BootID != b.bootID {
			return c.AnsweredAt
		}
		return started
	}
	if b.bootID != "" && started.Before(b.lastAnswerAt) {
		started = b.lastAnswerAt
	}
	if !c.AnsweredAt.IsZero() && started.After(c.AnsweredAt) {
		started = c.AnsweredAt
	}
	return started
}

// SetReported sets the state of a box that is reconciled from the sources; its state in the view is never better
// than that. A start time from the sources replaces the box's own if it is later, or if the box reports none.
func (m *Monitor) SetReported(id string, s view.State, started int64) {
	b := m.boxes[id]
	if b == nil {
		return
	}
	b.reportedState = s
	if started > b.box.StartedMs {
		b.box.StartedMs = started
	}
}

// effectiveState returns a box's state in the view: the worse of the state by its own checks and the reported one.
func (b *boxState) effectiveState() view.State {
	switch {
	case b.box.State == view.StateGone || b.reportedState == view.StateGone:
		return view.StateGone
	case b.reportedState == view.StateDraining:
		return view.StateDraining
	}
	return b.box.State
}

// AllChecked reports whether every box has answered a check or missed enough checks to be gone. Before that, a view
// must not be published: a starting planner would report to its edges that the whole fleet is gone.
func (m *Monitor) AllChecked() bool {
	for _, b := range m.boxes {
		if !b.answered && b.missedChecks < m.goneAfter {
			return false
		}
	}
	return true
}

// View returns the current view, with a higher version if anything changed since the last call.
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
