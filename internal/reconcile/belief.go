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
func New(r Rules, names ...string) *Reconciler {
	b := &Reconciler{Rules: r, boxes: map[string]*boxHistory{}}
	for _, n := range names {
		b.sources = append(b.sources, &source{name: n, entries: map[string]reportedEntry{}, drainedSince: map[string]int64{}})
	}
	return b
}

func (b *Reconciler) source(name string) *source {
	i := slices.IndexFunc(b.sources, func(s *source) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return b.sources[i]
}

func (b *Reconciler) history(id string) *boxHistory {
	if b.boxes[id] == nil {
		b.boxes[id] = &boxHistory{}
	}
	return b.boxes[id]
}

// Heard takes a source's whole word on the fleet.
func (b *Reconciler) UpdateSource(name string, list []Entry, now int64) error {
	s := b.source(name)
	if s == nil {
		return fmt.Errorf("belief: no source %q", name)
	}
	s.lastListAt = now
	named := map[string]bool{}
	for _, e := range list {
		named[e.ID] = true
		old, had := s.entries[e.ID]
		if had && old.Address == e.Address && e.Started < old.Started {
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
		b.recordHealth(e, now)
	}
	for id, t := range s.entries {
		if named[id] {
			continue
		}
		if t.missingSince == 0 {
			t.missingSince = now
			s.entries[id] = t
		} else if now-t.missingSince > 10*b.MissingGrace.Milliseconds() {
			delete(s.entries, id)
			delete(s.drainedSince, id)
		}
	}
	return nil
}

// checked notes a change of a box's health.
func (b *Reconciler) recordHealth(e Entry, now int64) {
	x := b.history(e.ID)
	if x.hasHealth && x.health != e.Health {
		x.healthChanges = append(x.healthChanges, now)
	}
	x.healthChanges = slices.DeleteFunc(x.healthChanges, func(at int64) bool { return now-at > b.FlapWindow.Milliseconds() })
	x.health, x.hasHealth = e.Health, true
	switch {
	case e.Health != Critical:
		x.criticalSince = 0
	case x.criticalSince == 0:
		x.criticalSince = now
	}
}

// Served and Failed are what set-ups went through at a box, at any edge. A refusal for want of room is neither.
func (b *Reconciler) RecordServed(id string, now int64) {
	x := b.history(id)
	x.failures, x.lastServedAt, x.cooldowns, x.cooldownUntil = 0, now, 0, 0
}

// Failed is a set-up that failed, or was not answered.
func (b *Reconciler) RecordFailure(id string, now int64) {
	x := b.history(id)
	if x.failures++; x.failures >= b.FailureThreshold && now >= x.cooldownUntil {
		x.cooldownUntil = now + b.Cooldown.Milliseconds()<<min(x.cooldowns, 3)
		x.cooldowns++
	}
}

// lead is the source whose word on the fleet stands: the most preferred that is fresh, else the freshest.
func (b *Reconciler) leadingSource(now int64) *source {
	var best *source
	for _, s := range b.sources {
		if s.lastListAt == 0 {
			continue
		}
		if now-s.lastListAt <= b.SourceTimeout.Milliseconds() {
			return s
		}
		if best == nil || s.lastListAt > best.lastListAt {
			best = s
		}
	}
	return best
}

// View is what is believed now, by id. Calling it settles what the next call compares with.
func (b *Reconciler) Evaluate(now int64) []Status {
	s := b.leadingSource(now)
	if s == nil {
		return nil
	}
	var out []Status
	for id, t := range s.entries {
		j := Status{Entry: t.Entry, Source: s.name, Age: time.Duration(now-t.listedAt) * time.Millisecond}
		j.State, j.Reason = b.evaluateBox(id, &t, s, now)
		j.unavailableSince = max(b.history(id).criticalSince, t.missingSince)
		out = append(out, j)
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return b.suppressMassFailure(out, now)
}

// drained tells who told of a drain that was not taken back. Any source's drain counts, whoever leads: its
// word was given to keep work off.
func (b *Reconciler) drainReportedBy(id string) (who string, since int64) {
	for _, s := range b.sources {
		if at := s.drainedSince[id]; at > 0 && (since == 0 || at < since) {
			who, since = s.name, at
		}
	}
	return who, since
}

func (b *Reconciler) evaluateBox(id string, t *reportedEntry, s *source, now int64) (State, string) {
	x := b.history(id)
	if who, since := b.drainReportedBy(id); since > 0 {
		return Draining, "drain told by " + who
	}
	if t.missingSince > 0 && now-t.missingSince > b.MissingGrace.Milliseconds() {
		return Gone, "no longer named by " + s.name
	}
	served := x.lastServedAt > 0 && now-x.lastServedAt <= b.ServedGrace.Milliseconds() && x.failures == 0
	switch {
	case t.Health == Critical && served && now-x.criticalSince <= b.ServedGrace.Milliseconds():
		return Ready, "check fails, sessions are served"
	case t.Health == Critical:
		return Gone, "check fails"
	case len(x.healthChanges) >= b.FlapThreshold:
		return Draining, fmt.Sprintf("flaps: %d changes of health in %v", len(x.healthChanges), b.FlapWindow)
	case x.failures >= b.FailureThreshold && now < x.cooldownUntil:
		return Draining, fmt.Sprintf("check passes, %d set-ups failed in a row", x.failures)
	case t.Health == Warning:
		return Draining, "check warns"
	case t.missingSince > 0:
		return Ready, "missing from the last list"
	}
	return Ready, "named and passing"
}

// massFailure keeps the last good view where checks alone take away too much at once: it is likelier that the
// health system failed than so many boxes at one moment. Drains, and boxes of which set-ups fail too, are taken
// away all the same. It ends when most of what was kept is seen ready again, or its sessions fail.
func (b *Reconciler) suppressMassFailure(out []Status, now int64) []Status {
	kept, fell := 0, 0
	for i := range out {
		x := b.history(out[i].ID)
		if !x.wasReady {
			continue
		}
		kept++
		if b.removedByChecks(&out[i], x) {
			fell++
		}
	}
	suspect := kept >= b.MassFailureMinBoxes && float64(fell) > b.MassFailureShare*float64(kept)
	switch {
	case suspect && b.massFailureSince == 0:
		b.massFailureSince = now
	case !suspect:
		b.massFailureSince = 0
	}
	for i := range out {
		j, x := &out[i], b.history(out[i].ID)
		if b.massFailureSince > 0 && x.wasReady && b.removedByChecks(j, x) {
			j.State, j.Reason = Ready, fmt.Sprintf("kept: checks took away %d of %d boxes at once (%s)", fell, kept, j.Reason)
			continue
		}
		if b.massFailureSince == 0 {
			b.updateWasReady(j, x, now)
		}
	}
	return out
}

// byChecks tells a box that is taken away by the word of checks or lists alone.
func (b *Reconciler) removedByChecks(j *Status, x *boxHistory) bool {
	return j.State == Gone && x.failures < b.FailureThreshold
}

// settle takes what is believed as good. A box that fell is forgotten as good only after the span within which
// a mass failure shows: the first of many to fall must count with the last.
func (b *Reconciler) updateWasReady(j *Status, x *boxHistory, now int64) {
	switch {
	case j.State == Ready:
		x.wasReady = true
	case j.State == Draining, now-j.unavailableSince > b.MassFailureWindow.Milliseconds()+b.MissingGrace.Milliseconds():
		x.wasReady = false
	}
}

// Suspect tells since when the checks are not believed; 0: they are.
func (b *Reconciler) MassFailureSince() int64 { return b.massFailureSince }
