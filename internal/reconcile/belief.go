// Package belief decides what to believe of a fleet of which several sources speak: a catalogue with health
// checks, a planner, a file, a last view on disk, and what sessions themselves go through. It does no I/O
// and reads no clock; times are Unix milliseconds.
//
// Never: a box of which a drain was told gets new work before the one who told it takes it back; a box is
// believed ready that no source names; a mass failure of checks alone empties the fleet.
package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Health is what a source's checks say of a box.
type Health int

// Healths, from best to worst.
const (
	Passing Health = iota
	Warning
	Critical
)

// State is what is believed of a box.
type State string

// States.
const (
	Ready    State = "ready"
	Draining State = "draining" // no new work; what plays goes on
	Gone     State = "gone"
)

// Entry is a source's word on a box.
type Entry struct {
	ID      string
	Address string
	Health  Health
	Drain   bool  // maintenance, or told by an operator
	Started int64 // 0: not told
}

// Rules of believing.
type Rules struct {
	SourceTimeout       time.Duration // a source not heard for so long no longer leads
	MissingGrace        time.Duration // an entry that is missing counts on for so long
	ServedGrace         time.Duration // a box whose check fails is used on for so long while its sessions are served
	FailureThreshold    int           // set-ups failed in a row, at all edges, that speak against a passing check
	Cooldown            time.Duration // such a box rests so long before it is tried again, doubled up to 8 times
	FlapThreshold       int           // changes of health within Flapping that make a box flap
	FlapWindow          time.Duration
	MassFailureShare    float64 // of the ready boxes: when checks take away more than this within MassSpan, the checks are suspect
	MassFailureWindow   time.Duration
	MassFailureMinBoxes int // fleets with fewer ready boxes know no mass failure
}

// Defaults are for fleets of tens to hundreds of boxes that are checked each second or two.
func DefaultRules() Rules {
	return Rules{SourceTimeout: 15 * time.Second, MissingGrace: 5 * time.Second, ServedGrace: 20 * time.Second, FailureThreshold: 4, Cooldown: 2 * time.Second,
		FlapThreshold: 6, FlapWindow: time.Minute, MassFailureShare: 0.4, MassFailureWindow: 10 * time.Second, MassFailureMinBoxes: 4}
}

// Judged is what is believed of a box, and why.
type Status struct {
	Entry
	State  State
	Source string        // whose word it is
	Age    time.Duration // of that word
	Reason string

	unavailableSince int64 // of what speaks against it
}

// source is one that speaks of the fleet.
type source struct {
	name         string
	lastListAt   int64 // last whole word
	entries      map[string]reportedEntry
	drainedSince map[string]int64 // told by it and not taken back, since when
}

type reportedEntry struct {
	Entry
	listedAt     int64 // last named
	missingSince int64 // not named since; 0: named
}

// box is what is remembered of a box beside sources' words.
type boxHistory struct {
	failures      int // in a row
	lastServedAt  int64
	cooldowns     int
	cooldownUntil int64
	healthChanges []int64 // of health, lately
	health        Health
	hasHealth     bool
	criticalSince int64 // its check fails since; 0: it passes
	wasReady      bool  // ready when the checks were last believed
}

// Believer holds what was told. Sources are in order of preference, the most preferred first.
type Reconciler struct {
	Rules
	sources          []*source
	boxes            map[string]*boxHistory
	massFailureSince int64 // checks are suspect since; 0: they are not
}

// New makes one for sources in their order of preference.
func New(rules Rules, names ...string) *Reconciler {
	reconciler := &Reconciler{Rules: rules, boxes: map[string]*boxHistory{}}
	for _, n := range names {
		reconciler.sources = append(reconciler.sources, &source{name: n, entries: map[string]reportedEntry{}, drainedSince: map[string]int64{}})
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

// Heard takes a source's whole word on the fleet.
func (r *Reconciler) UpdateSource(name string, list []Entry, now int64) error {
	s := r.source(name)
	if s == nil {
		return fmt.Errorf("belief: no source %q", name)
	}
	s.lastListAt = now
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.ID] = true
		old, known := s.entries[e.ID]
		if known && old.Address == e.Address && e.Started < old.Started {
			e.Started = old.Started // a start does not go back: an older word, or a clock that was set
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
		if t.missingSince == 0 {
			t.missingSince = now
			s.entries[id] = t
		} else if now-t.missingSince > 10*r.MissingGrace.Milliseconds() {
			delete(s.entries, id)
			delete(s.drainedSince, id)
		}
	}
	return nil
}

// checked notes a change of a box's health.
func (r *Reconciler) recordHealth(e Entry, now int64) {
	history := r.history(e.ID)
	if history.hasHealth && history.health != e.Health {
		history.healthChanges = append(history.healthChanges, now)
	}
	history.healthChanges = slices.DeleteFunc(history.healthChanges, func(at int64) bool { return now-at > r.FlapWindow.Milliseconds() })
	history.health, history.hasHealth = e.Health, true
	switch {
	case e.Health != Critical:
		history.criticalSince = 0
	case history.criticalSince == 0:
		history.criticalSince = now
	}
}

// Served and Failed are what set-ups went through at a box, at any edge. A refusal for want of room is neither.
func (r *Reconciler) RecordServed(id string, now int64) {
	history := r.history(id)
	history.failures, history.lastServedAt, history.cooldowns, history.cooldownUntil = 0, now, 0, 0
}

// Failed is a set-up that failed, or was not answered.
func (r *Reconciler) RecordFailure(id string, now int64) {
	history := r.history(id)
	if history.failures++; history.failures >= r.FailureThreshold && now >= history.cooldownUntil {
		history.cooldownUntil = now + r.Cooldown.Milliseconds()<<min(history.cooldowns, 3)
		history.cooldowns++
	}
}

// lead is the source whose word on the fleet stands: the most preferred that is fresh, else the freshest.
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

// View is what is believed now, by id. Calling it settles what the next call compares with.
func (r *Reconciler) Evaluate(now int64) []Status {
	s := r.leadingSource(now)
	if s == nil {
		return nil
	}
	var statuses []Status
	for id, entry := range s.entries {
		status := Status{Entry: entry.Entry, Source: s.name, Age: time.Duration(now-entry.listedAt) * time.Millisecond}
		status.State, status.Reason = r.evaluateBox(id, &entry, s, now)
		status.unavailableSince = max(r.history(id).criticalSince, entry.missingSince)
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return r.suppressMassFailure(statuses, now)
}

// drained tells who told of a drain that was not taken back. Any source's drain counts, whoever leads: its
// word was given to keep work off.
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
		return Ready, "missing from the last list"
	}
	return Ready, "named and passing"
}

// massFailure keeps the last good view where checks alone take away too much at once: it is likelier that the
// health system failed than so many boxes at one moment. Drains, and boxes of which set-ups fail too, are taken
// away all the same. It ends when most of what was kept is seen ready again, or its sessions fail.
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
			status.State, status.Reason = Ready, fmt.Sprintf("kept: checks took away %d of %d boxes at once (%s)", removed, readyBefore, status.Reason)
			continue
		}
		if r.massFailureSince == 0 {
			r.updateWasReady(status, history, now)
		}
	}
	return statuses
}

// byChecks tells a box that is taken away by the word of checks or lists alone.
func (r *Reconciler) removedByChecks(status *Status, history *boxHistory) bool {
	return status.State == Gone && history.failures < r.FailureThreshold
}

// settle takes what is believed as good. A box that fell is forgotten as good only after the span within which
// a mass failure shows: the first of many to fall must count with the last.
func (r *Reconciler) updateWasReady(status *Status, history *boxHistory, now int64) {
	switch {
	case status.State == Ready:
		history.wasReady = true
	case status.State == Draining, now-status.unavailableSince > r.MassFailureWindow.Milliseconds()+r.MissingGrace.Milliseconds():
		history.wasReady = false
	}
}

// Suspect tells since when the checks are not believed; 0: they are.
func (r *Reconciler) MassFailureSince() int64 { return r.massFailureSince }
