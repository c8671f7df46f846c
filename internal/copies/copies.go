// Package copies looks after which box holds which title: it has copies made, counts them as holders once
// their box says that they are whole, and has them dropped when nobody needs them. It does no I/O and
// reads no clock; times are Unix milliseconds, sizes kB, rates kB/s.
//
// Never: a copy that is not whole is published; a title is dropped below its stated copies, or while a
// session plays it there, or sooner than Grace after edges were told no more of that holder.
package copies

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Rules of a manager.
type Config struct {
	MinCopies       int           // whole copies that a title keeps, at boxes that take new work
	MaxConcurrent   int           // copies that a box makes, or is the source of, at once
	LinkShare       float64       // of a box's link that copying may take
	DropGrace       time.Duration // from "told no more" to a drop: lists are late, and set-ups are out
	ProgressTimeout time.Duration // without progress so long, another source is tried
	Backoff         time.Duration // after a failure, doubled each time up to 16 times
}

// Title is a title's size, and where it lies at rest.
type Title struct {
	Name           string
	Size           float64
	PermanentBoxes []string
}

// Copy is what a box says of one title.
type Copy struct {
	Complete   bool
	InProgress bool
	Copied     float64
	Size       float64
	Sessions   int    // sessions of it, set-ups too
	Error      string // why copying stopped
}

// Inventory is what a box says of all its titles.
type Inventory struct {
	BootID   string
	FreeDisk float64
	Copies   map[string]Copy
}

// Box is what the fleet's watch says of a box.
type Box struct {
	ID           string
	Ready        bool // takes new work
	LinkCapacity float64
	LinkLoad     float64
}

// Key is a title at a box.
type Key struct{ Title, Box string }

// Kind of a command.
type CommandKind int

// Kinds of commands.
const (
	Fetch CommandKind = iota + 1
	Drop
)

// Command is what a box should be told.
type Command struct {
	Kind       CommandKind
	Title, Box string
	Source     string
	Rate, Size float64
}

// Answer is what a box said to a command.
type Answer int

// Answers of boxes.
const (
	Accepted   Answer = iota + 1
	NoSpace           // its disk is full
	InUse             // sessions play it: not dropped
	Failed            // no connection, or anything else
	Superseded        // it obeys a planner with a higher epoch
)

type boxState struct {
	Box
	reported  bool
	inventory Inventory
}

type copyJob struct {
	source         string
	copied         float64
	lastProgressAt int64 // last progress
	failures       int
	retryAt        int64 // no new try before
	running        bool
	sentAt         int64 // the command went out
}

// Manager looks after all copies.
type Manager struct {
	Config
	boxes       map[string]*boxState
	titles      map[string]*Title
	extraCopies map[Key]bool
	jobs        map[Key]*copyJob
	withdrawnAt map[Key]int64 // told no more since
	dropSentAt  map[Key]int64 // drop sent
	superseded  bool
}

// New makes one that knows nothing.
func New(config Config) *Manager {
	return &Manager{Config: config, boxes: map[string]*boxState{}, titles: map[string]*Title{}, extraCopies: map[Key]bool{}, jobs: map[Key]*copyJob{},
		withdrawnAt: map[Key]int64{}, dropSentAt: map[Key]int64{}}
}

// SetTitle tells a title, or its change.
func (m *Manager) SetTitle(t Title) {
	t.PermanentBoxes = slices.Clone(t.PermanentBoxes)
	m.titles[t.Name] = &t
}

// RemoveTitle forgets a title: its copies are told no more, and dropped.
func (m *Manager) RemoveTitle(name string) { delete(m.titles, name) }

// SetBoxes tells the fleet. A box that is not named is gone; what it said of its copies is not believed
// any longer, as it may come back without them.
func (m *Manager) SetBoxes(list []Box) {
	listed := map[string]bool{}
	for _, b := range list {
		listed[b.ID] = true
		if existing := m.boxes[b.ID]; existing != nil {
			existing.Box = b
		} else {
			m.boxes[b.ID] = &boxState{Box: b}
		}
	}
	for id := range m.boxes {
		if !listed[id] {
			delete(m.boxes, id)
		}
	}
}

// Want replaces the copies that are wanted beyond those at rest.
func (m *Manager) SetExtraCopies(keys []Key) {
	clear(m.extraCopies)
	for _, k := range keys {
		m.extraCopies[k] = true
	}
}

// Saw takes a box's inventory.
func (m *Manager) HandleInventory(id string, inventory Inventory, now int64) {
	state := m.boxes[id]
	if state == nil {
		return
	}
	state.reported, state.inventory = true, inventory
	for k, j := range m.jobs {
		if k.Box != id || !j.running {
			continue
		}
		c, present := inventory.Copies[k.Title]
		switch {
		case c.Complete:
			delete(m.jobs, k)
		case c.Copied > j.copied:
			j.copied, j.lastProgressAt = c.Copied, now
		}
		if present && c.InProgress || c.Complete {
			continue
		}
		if now-j.sentAt > time.Second.Milliseconds() { // an inventory from before the command says nothing of it
			j.recordFailure(now, m.Backoff)
		}
	}
	for k := range m.dropSentAt {
		if _, present := inventory.Copies[k.Title]; k.Box == id && !present {
			delete(m.dropSentAt, k)
			delete(m.withdrawnAt, k)
		}
	}
	for k := range m.withdrawnAt {
		if c := inventory.Copies[k.Title]; k.Box == id && !c.Complete {
			delete(m.withdrawnAt, k)
		}
	}
}

func (j *copyJob) recordFailure(now int64, backoff time.Duration) {
	j.running = false
	j.failures++
	j.retryAt = now + backoff.Milliseconds()<<min(j.failures-1, 4)
}

// Answered takes a box's answer to a command.
func (m *Manager) HandleAnswer(command Command, answer Answer, now int64) {
	k := Key{command.Title, command.Box}
	if answer == Superseded {
		m.superseded = true
	}
	if command.Kind == Drop {
		if answer != Accepted {
			delete(m.dropSentAt, k) // it stays told no more, and is tried again
			if _, ok := m.withdrawnAt[k]; ok {
				m.withdrawnAt[k] = max(m.withdrawnAt[k], now-m.DropGrace.Milliseconds()+m.Backoff.Milliseconds())
			}
		}
		return
	}
	if j := m.jobs[k]; j != nil && j.running && answer != Accepted {
		j.recordFailure(now, m.Backoff)
		if answer == NoSpace {
			j.retryAt = now + 8*m.Backoff.Milliseconds()
		}
	}
}

// Outdated tells that a box obeys a later planner: this one commands no more.
func (m *Manager) Superseded() bool { return m.superseded }

// wanted tells whether a title should lie at a box.
func (m *Manager) isWanted(k Key) bool {
	t := m.titles[k.Title]
	return t != nil && (m.extraCopies[k] || slices.Contains(t.PermanentBoxes, k.Box))
}

// whole tells a copy that its box says is whole.
func (m *Manager) isComplete(k Key) bool {
	b := m.boxes[k.Box]
	return b != nil && b.reported && b.inventory.Copies[k.Title].Complete
}

// told tells a holder that is published.
func (m *Manager) isPublished(k Key) bool {
	_, withdrawn := m.withdrawnAt[k]
	return m.isComplete(k) && !withdrawn && m.titles[k.Title] != nil
}

// Holders are a title's holders for edges, in order.
func (m *Manager) Holders(title string) []string {
	out := []string{}
	for id := range m.boxes {
		if m.isPublished(Key{title, id}) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ready are the told holders that take new work.
func (m *Manager) countReadyHolders(title string, exceptBox string) (n int) {
	for id, b := range m.boxes {
		if id != exceptBox && b.Ready && m.isPublished(Key{title, id}) {
			n++
		}
	}
	return n
}

// Known tells whether every box that takes work has said what it holds. Before that a list of holders
// would hide holders.
func (m *Manager) AllReported() bool {
	for _, b := range m.boxes {
		if b.Ready && !b.reported {
			return false
		}
	}
	return true
}

// Step works out what boxes should be told now. Each command counts as sent; its answer comes by Answered.
func (m *Manager) NextCommands(now int64) []Command {
	if m.superseded || !m.AllReported() {
		return nil
	}
	m.updateWithdrawn(now)
	return append(m.dropCommands(now), m.fetchCommands(now)...)
}

// retire settles which whole copies are told no more. One that was told no more is told again when it is
// wanted again or its title would fall below its stated copies, unless its drop is out already.
func (m *Manager) updateWithdrawn(now int64) {
	for _, k := range slices.SortedFunc(maps.Keys(m.withdrawnAt), compareKeys) {
		if _, sent := m.dropSentAt[k]; sent || m.titles[k.Title] == nil {
			continue
		}
		if m.isWanted(k) || m.countReadyHolders(k.Title, k.Box) < m.MinCopies {
			delete(m.withdrawnAt, k)
		}
	}
	for _, k := range m.reportedKeys() {
		if !m.isPublished(k) || m.isWanted(k) {
			continue
		}
		if m.countReadyHolders(k.Title, k.Box) >= m.MinCopies {
			m.withdrawnAt[k] = now
		}
	}
	for _, k := range m.reportedKeys() { // of a title that is no more
		if _, withdrawn := m.withdrawnAt[k]; !withdrawn && m.titles[k.Title] == nil && m.isComplete(k) {
			m.withdrawnAt[k] = now
		}
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Title, b.Title), cmp.Compare(a.Box, b.Box))
}

// all is every copy that a box told of, in order.
func (m *Manager) reportedKeys() (out []Key) {
	for id, b := range m.boxes {
		for t := range b.inventory.Copies {
			out = append(out, Key{t, id})
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

const dropRetryMs = 5000 // ms: a drop whose effect is not seen is sent again

func (m *Manager) dropCommands(now int64) (out []Command) {
	for _, k := range m.reportedKeys() {
		c := m.boxes[k.Box].inventory.Copies[k.Title]
		if at, sent := m.dropSentAt[k]; sent && now-at < dropRetryMs {
			continue
		}
		since, withdrawn := m.withdrawnAt[k]
		switch {
		case c.Complete && (!withdrawn || now-since < m.DropGrace.Milliseconds() || c.Sessions > 0):
			continue
		case c.Complete && m.titles[k.Title] != nil && m.countReadyHolders(k.Title, k.Box) < m.MinCopies:
			continue
		case !c.Complete && (m.isWanted(k) || c.Sessions > 0): // half a copy that nobody wants any more
			continue
		}
		delete(m.jobs, k)
		m.dropSentAt[k] = now
		out = append(out, Command{Kind: Drop, Title: k.Title, Box: k.Box})
	}
	return out
}

// fetches starts the copies that are wanted and missing, those of titles with fewest holders first.
func (m *Manager) fetchCommands(now int64) (out []Command) {
	incoming, outgoing := map[string]int{}, map[string]int{}
	for k, job := range m.jobs {
		if !m.isWanted(k) || m.boxes[k.Box] == nil {
			delete(m.jobs, k)
			continue
		}
		if job.running && now-max(job.lastProgressAt, job.sentAt) > m.ProgressTimeout.Milliseconds() {
			job.recordFailure(now, m.Backoff)
			job.retryAt = now // another source at once
		}
		if job.running {
			incoming[k.Box]++
			outgoing[job.source]++
		}
	}
	untracked := m.untrackedCopies()
	for k := range untracked {
		incoming[k.Box]++
	}
	for _, k := range m.missingCopies() {
		state, title, job := m.boxes[k.Box], m.titles[k.Title], m.jobs[k]
		concurrent := incoming[k.Box]
		if untracked[k] {
			concurrent--
		}
		if job != nil && (job.running || now < job.retryAt) || concurrent >= m.MaxConcurrent {
			continue
		}
		if _, started := state.inventory.Copies[k.Title]; !started && title.Size > state.inventory.FreeDisk { // what is begun has its room already
			continue
		}
		lastSource := ""
		if job != nil {
			lastSource = job.source
		}
		source := m.chooseSource(k, lastSource, outgoing)
		if source == nil {
			continue
		}
		if job == nil {
			job = &copyJob{}
			m.jobs[k] = job
		}
		job.source, job.running, job.sentAt, job.lastProgressAt, job.copied = source.ID, true, now, now, state.inventory.Copies[k.Title].Copied
		incoming[k.Box] = concurrent + 1
		outgoing[source.ID]++
		out = append(out, Command{Fetch, k.Title, k.Box, source.ID, m.LinkShare * min(source.LinkCapacity, state.LinkCapacity) / float64(m.MaxConcurrent), title.Size})
	}
	return out
}

// unled are copies that boxes say they are making and that no running job stands for: commands that ran though their
// answers were lost. Left out of the count, each of them would let a box make one more copy than it should.
func (m *Manager) untrackedCopies() map[Key]bool {
	out := map[Key]bool{}
	for id, b := range m.boxes {
		for t, c := range b.inventory.Copies {
			k := Key{t, id}
			if j := m.jobs[k]; c.InProgress && !c.Complete && (j == nil || !j.running) {
				out[k] = true
			}
		}
	}
	return out
}

// missing is what is wanted at boxes that take work and is not whole there.
func (m *Manager) missingCopies() (out []Key) {
	for name, t := range m.titles {
		for _, id := range t.PermanentBoxes {
			out = append(out, Key{name, id})
		}
	}
	for k := range m.extraCopies {
		if t := m.titles[k.Title]; t != nil && !slices.Contains(t.PermanentBoxes, k.Box) {
			out = append(out, k)
		}
	}
	out = slices.DeleteFunc(out, func(k Key) bool {
		b := m.boxes[k.Box]
		_, dropping := m.dropSentAt[k]
		return b == nil || !b.Ready || dropping || m.isComplete(k)
	})
	holders := map[string]int{}
	for _, k := range out {
		if _, ok := holders[k.Title]; !ok {
			holders[k.Title] = m.countReadyHolders(k.Title, "")
		}
	}
	slices.SortFunc(out, func(a, b Key) int { return cmp.Or(cmp.Compare(holders[a.Title], holders[b.Title]), compareKeys(a, b)) })
	return out
}

// source is the told holder with most room on its link; not the last one tried where there is another. One that
// drains may be copied from, as what it holds is about to go; one that is hot only where all are.
func (m *Manager) chooseSource(k Key, lastSource string, outgoing map[string]int) (best *boxState) {
	better := func(a, b *boxState) bool {
		if (a.ID == lastSource) != (b.ID == lastSource) {
			return a.ID != lastSource
		}
		if a.freeLinkShare() != b.freeLinkShare() {
			return a.freeLinkShare() > b.freeLinkShare()
		}
		return a.ID < b.ID
	}
	for id, b := range m.boxes {
		if id != k.Box && outgoing[id] < m.MaxConcurrent && m.isPublished(Key{k.Title, id}) && (best == nil || better(b, best)) {
			best = b
		}
	}
	return best
}

// room is the part of a link that is free.
func (b *boxState) freeLinkShare() float64 { return 1 - b.LinkLoad/max(b.LinkCapacity, 1e-9) }

// Playing is how many sessions of each title play, by what boxes said last.
func (m *Manager) SessionsByTitle() map[string]float64 {
	out := map[string]float64{}
	for _, b := range m.boxes {
		for t, c := range b.inventory.Copies {
			if c.Sessions > 0 {
				out[t] += float64(c.Sessions)
			}
		}
	}
	return out
}

// Free is what a box's disk has left for whole copies: what was begun there may be finished, or given up.
func (m *Manager) FreeDisk(id string) (free float64) {
	if b := m.boxes[id]; b != nil {
		free = b.inventory.FreeDisk
		for _, c := range b.inventory.Copies {
			if !c.Complete {
				free += c.Size
			}
		}
	}
	return free
}

// Jobs is how many copies are under way.
func (m *Manager) RunningJobs() (n int) {
	for _, j := range m.jobs {
		if j.running {
			n++
		}
	}
	return n
}
