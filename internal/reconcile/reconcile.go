// Package reconcile derives the state of each box from several sources that may disagree: a catalogue with
// health checks, a planner, a file, the last view on disk, and the outcomes of sessions. It does no I/O and
// reads no clock; times are Unix milliseconds.
//
// Invariants: a box that a source reported as draining gets no new work until that source withdraws the drain;
// a box that a source's list lacks gets no new work from then on, however many left; a box that no source lists is never
// ready; a mass failure of health checks or an empty list alone never empties the fleet.
package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Health is the result of a source's health checks of a box.
type Health int

// Health values, from best to worst.
const (
	Passing Health = iota
	Warning
	Critical
)

// State is the reconciled state of a box.
type State string

// States of a box.
const (
	Ready    State = "ready"
	Draining State = "draining" // no new sessions; playing sessions continue
	Gone     State = "gone"
)

// Entry is what one source reports of a box.
type Entry struct {
	ID      string
	Address string
	Health  Health
	Drain   bool  // in maintenance mode, or drained by an operator
	Started int64 // start of the box's process; 0: not reported
}

// Rules are the time limits and thresholds of a Reconciler.
type Rules struct {
	SourceTimeout       time.Duration // after this time without a list, a source no longer takes precedence
	MissingGrace        time.Duration // how long a box that the list lacks drains, and an entry stays in effect while the list is empty
	ServedGrace         time.Duration // how long a box with a failing check stays in use while its sessions are served
	FailureThreshold    int           // consecutive failed set-ups, over all edges, that override a passing check
	Cooldown            time.Duration // pause before such a box is tried again, doubled each time up to 8 times
	FlapThreshold       int           // changes of health within FlapWindow that mark a box as flapping
	FlapWindow          time.Duration
	MassFailureShare    float64       // share of the ready boxes; checks that remove more of them at once are suspect
	MassFailureWindow   time.Duration // removals this far apart count as one mass failure
	MassFailureMinBoxes int           // no mass failure is detected in fleets with fewer ready boxes
}

// DefaultRules suit fleets of tens to hundreds of boxes that are checked each second or two.
func DefaultRules() Rules {
	return Rules{SourceTimeout: 15 * time.Second, MissingGrace: 5 * time.Second, ServedGrace: 20 * time.Second,
		FailureThreshold: 4, Cooldown: 2 * time.Second, FlapThreshold: 6, FlapWindow: time.Minute,
		MassFailureShare: 0.4, MassFailureWindow: 10 * time.Second, MassFailureMinBoxes: 4}
}

// Status is the reconciled state of a box, with the source and the reason.
type Status struct {
	Entry
	State  State
	Source string        // name of the source that the entry comes from
	Age    time.Duration // since that source last listed the box
	Reason string

	left             bool  // the source's list names other boxes and not this one
	unavailableSince int64 // later of the first failing check and the first list without the box; 0: neither
}

// source is the last known list of one source.
type source struct {
	name         string
	lastListAt   int64 // 0: no list received yet
	entries      map[string]reportedEntry
	drainedSince map[string]int64 // boxes whose drain the source reported and has not withdrawn
}

type reportedEntry struct {
	Entry
	listedAt     int64 // time of the last list that has the entry
	missingSince int64 // time of the first list without the entry; 0: the last list has it
	left         bool  // missing from a list that has other entries, so that its absence is no fault of the source
}

// boxHistory is the health and the set-up outcomes of a box, over all sources.
type boxHistory struct {
	failures      int // consecutive failed set-ups
	lastServedAt  int64
	cooldowns     int
	cooldownUntil int64
	healthChanges []int64 // times within FlapWindow
	health        Health
	hasHealth     bool
	criticalSince int64 // start of the current check failure; 0: the check does not fail
	wasReady      bool  // ready when the checks were last trusted
}

// Reconciler keeps what the sources reported. Sources are in order of preference, the most preferred first.
type Reconciler struct {
	Rules
	sources          []*source
	boxes            map[string]*boxHistory
	massFailureSince int64 // since when checks are suspect; 0: they are trusted
}

// New makes a Reconciler for the named sources, given in order of preference.
func New(rules Rules, names ...string) *Reconciler {
	reconciler := &Reconciler{Rules: rules, boxes: map[string]*boxHistory{}}
	for _, n := range names {
		reconciler.sources = append(reconciler.sources, &source{name: n, entries: map[string]reportedEntry{},
			drainedSince: map[string]int64{}})
	}
	return reconciler
}

func (r *Reconciler) source(name string) *source {
	i := slices.IndexFunc(r.sources, func(s *source) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return r.sources[i]
}

func (r *Reconciler) history(id string) *boxHistory {
	if r.boxes[id] == nil {
		r.boxes[id] = &boxHistory{}
	}
	return r.boxes[id]
}

// UpdateSource replaces a source's list of the fleet. An entry that the list lacks is kept for ten times
// MissingGrace.
func (r *Reconciler) UpdateSource(name string, list []Entry, now int64) error {
	s := r.source(name)
	if s == nil {
		return fmt.Errorf("reconcile: unknown source %q", name)
	}
	s.lastListAt = now
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.ID] = true
		old, known := s.entries[e.ID]
		if known && old.Address == e.Address && e.Started < old.Started {
			e.Started = old.Started // an earlier start comes from an outdated report or an adjusted clock
		}
		s.entries[e.ID] = reportedEntry{Entry: e, listedAt: now}
		if e.Drain {
			if s.drainedSince[e.ID] == 0 {
				s.drainedSince[e.ID] = now
			}
		} else {
			delete(s.drainedSince, e.ID)
		}
		r.recordHealth(e, now)
	}
	for id, t := range s.entries {
		if listed[id] {
			continue
		}
		left := t.left || len(list) > 0
		if t.missingSince == 0 {
			t.missingSince = now
		}
		t.left = left
		s.entries[id] = t
		if now-t.missingSince > 10*r.MissingGrace.Milliseconds() {
			delete(s.entries, id)
			delete(s.drainedSince, id)
		}
	}
	return nil
}

// WithdrawDrains withdraws all drains that a source reported: a later list speaks for it.
func (r *Reconciler) WithdrawDrains(name string) {
	if s := r.source(name); s != nil {
		clear(s.drainedSince)
	}
}

// recordHealth updates a box's health and records when it changes.
func (r *Reconciler) recordHealth(e Entry, now int64) {
	history := r.history(e.ID)
	if history.hasHealth && history.health != e.Health {
		history.healthChanges = append(history.healthChanges, now)
	}
	history.healthChanges = slices.DeleteFunc(history.healthChanges, func(at int64) bool {
		return now-at > r.FlapWindow.Milliseconds()
	})
	history.health, history.hasHealth = e.Health, true
	switch {
	case e.Health != Critical:
		history.criticalSince = 0
	case history.criticalSince == 0:
		history.criticalSince = now
	}
}

// RecordServed records a successful set-up at a box, from any edge. A refusal for lack of capacity counts neither
// as served nor as failed.
func (r *Reconciler) RecordServed(id string, now int64) {
	history := r.history(id)
	history.failures, history.lastServedAt, history.cooldowns, history.cooldownUntil = 0, now, 0, 0
}

// RecordFailure records a set-up that failed or was not answered.
func (r *Reconciler) RecordFailure(id string, now int64) {
	history := r.history(id)
	if history.failures++; history.failures >= r.FailureThreshold && now >= history.cooldownUntil {
		history.cooldownUntil = now + r.Cooldown.Milliseconds()<<min(history.cooldowns, 3)
		history.cooldowns++
	}
}

// leadingSource returns the source whose list is in effect: the most preferred one within SourceTimeout, else the
// one with the latest list.
func (r *Reconciler) leadingSource(now int64) *source {
	var latest *source
	for _, s := range r.sources {
		if s.lastListAt == 0 {
			continue
		}
		if now-s.lastListAt <= r.SourceTimeout.Milliseconds() {
			return s
		}
		if latest == nil || s.lastListAt > latest.lastListAt {
			latest = s
		}
	}
	return latest
}

// Evaluate returns the status of every listed box, in order of their ids. Each call updates which boxes were ready,
// which the next call compares with to detect a mass failure.
func (r *Reconciler) Evaluate(now int64) []Status {
	s := r.leadingSource(now)
	if s == nil {
		return nil
	}
	var statuses []Status
	for id, entry := range s.entries {
		status := Status{Entry: entry.Entry, Source: s.name, Age: time.Duration(now-entry.listedAt) * time.Millisecond}
		status.State, status.Reason = r.evaluateBox(id, &entry, s, now)
		status.left = entry.left
		status.unavailableSince = max(r.history(id).criticalSince, entry.missingSince)
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return r.suppressMassFailure(statuses, now)
}

// drainReportedBy returns the source with the earliest drain of a box that was not withdrawn. A drain from any
// source is honoured, whichever source leads, because it was set to keep new sessions off the box.
func (r *Reconciler) drainReportedBy(id string) (sourceName string, since int64) {
	for _, s := range r.sources {
		if at := s.drainedSince[id]; at > 0 && (since == 0 || at < since) {
			sourceName, since = s.name, at
		}
	}
	return sourceName, since
}

func (r *Reconciler) evaluateBox(id string, entry *reportedEntry, s *source, now int64) (State, string) {
	history := r.history(id)
	if sourceName, since := r.drainReportedBy(id); since > 0 {
		return Draining, "drain told by " + sourceName
	}
	if entry.missingSince > 0 && now-entry.missingSince > r.MissingGrace.Milliseconds() {
		return Gone, "no longer named by " + s.name
	}
	if entry.left {
		return Draining, "no longer named by " + s.name
	}
	served := history.lastServedAt > 0 && now-history.lastServedAt <= r.ServedGrace.Milliseconds() && history.failures == 0
	switch {
	case entry.Health == Critical && served && now-history.criticalSince <= r.ServedGrace.Milliseconds():
		return Ready, "check fails, sessions are served"
	case entry.Health == Critical:
		return Gone, "check fails"
	case len(history.healthChanges) >= r.FlapThreshold:
		return Draining, fmt.Sprintf("flaps: %d changes of health in %v", len(history.healthChanges), r.FlapWindow)
	case history.failures >= r.FailureThreshold && now < history.cooldownUntil:
		return Draining, fmt.Sprintf("check passes, %d set-ups failed in a row", history.failures)
	case entry.Health == Warning:
		return Draining, "check warns"
	case entry.missingSince > 0:
		return Ready, "the last list is empty"
	}
	return Ready, "named and passing"
}

// suppressMassFailure keeps boxes ready where checks alone would remove too many of them at once: a failure of the
// health system is then likelier than simultaneous failures of that many boxes. Draining boxes, and boxes whose
// set-ups also fail, are removed all the same. The suppression ends when most of the kept boxes pass their checks
// again, or their sessions fail.
func (r *Reconciler) suppressMassFailure(statuses []Status, now int64) []Status {
	readyBefore, removed := 0, 0
	for i := range statuses {
		history := r.history(statuses[i].ID)
		if !history.wasReady {
			continue
		}
		readyBefore++
		if r.removedByChecks(&statuses[i], history) {
			removed++
		}
	}
	suspect := readyBefore >= r.MassFailureMinBoxes && float64(removed) > r.MassFailureShare*float64(readyBefore)
	switch {
	case suspect && r.massFailureSince == 0:
		r.massFailureSince = now
	case !suspect:
		r.massFailureSince = 0
	}
	for i := range statuses {
		status, history := &statuses[i], r.history(statuses[i].ID)
		if r.massFailureSince > 0 && history.wasReady && r.removedByChecks(status, history) {
			status.State, status.Reason = Ready, fmt.Sprintf("kept: checks took away %d of %d boxes at once (%s)",
				removed, readyBefore, status.Reason)
			continue
		}
		if r.massFailureSince == 0 {
			r.updateWasReady(status, history, now)
		}
	}
	return statuses
}

// removedByChecks reports whether a box is gone because of checks or an empty list alone, with fewer failed set-ups than
// FailureThreshold. A box that left the list was told to be gone, which is not doubted.
func (r *Reconciler) removedByChecks(status *Status, history *boxHistory) bool {
	return status.State == Gone && !status.left && history.failures < r.FailureThreshold
}

// updateWasReady records whether a box is ready. A box that is gone counts as ready before until
// MassFailureWindow and MissingGrace have passed, so that the first box of a mass failure is counted together
// with the last.
func (r *Reconciler) updateWasReady(status *Status, history *boxHistory, now int64) {
	switch {
	case status.State == Ready:
		history.wasReady = true
	case status.State == Draining,
		now-status.unavailableSince > r.MassFailureWindow.Milliseconds()+r.MissingGrace.Milliseconds():
		history.wasReady = false
	}
}

// MassFailureSince returns since when the checks are suspect; 0: they are trusted.
func (r *Reconciler) MassFailureSince() int64 { return r.massFailureSince }
