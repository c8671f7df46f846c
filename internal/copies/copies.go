// Package copies manages which box holds which title. It commands boxes to fetch missing copies, publishes a copy as
// a holder once its box reports it complete, and commands boxes to drop copies that are no longer needed. It does no
// I/O and reads no clock; times are Unix milliseconds, sizes kB, rates kB/s.
//
// Invariants: an incomplete copy is never published. A copy is never dropped if that leaves the title with fewer than
// MinCopies, while a session plays it on that box, or less than DropGrace after it was withdrawn from the holders
// that edges receive. The last copies of a title are dropped only if the title was removed, RemovalGrace ago or longer;
// that a title is not known is no reason.
package copies

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config holds the limits and timeouts of a Manager.
type Config struct {
	MinCopies       int           // complete copies that a title keeps on boxes that accept new work
	MaxConcurrent   int           // copies that a box may receive, and may serve as a source, at once
	LinkShare       float64       // share of a box's link that copying may use
	DropGrace       time.Duration // from withdrawal to drop: lists arrive late, and set-ups are in flight
	RemovalGrace    time.Duration // from the removal of a title to the withdrawal of its copies
	ProgressTimeout time.Duration // without progress for this long, another source is tried
	Backoff         time.Duration // delay after a failure; doubles with each failure, up to 16 times this
}

// Title is a title's size and the boxes of its permanent copies.
type Title struct {
	Name           string
	Size           float64
	PermanentBoxes []string
}

// Copy is the state of one title on a box, as the box reports it.
type Copy struct {
	Complete   bool
	InProgress bool
	Copied     float64
	Size       float64
	Sessions   int    // sessions that play it, including set-ups
	Error      string // why the transfer stopped
}

// Inventory is a box's report of all its titles.
type Inventory struct {
	BootID   string
	FreeDisk float64
	Copies   map[string]Copy
}

// Box is the state of a box as the fleet monitor has it.
type Box struct {
	ID           string
	Ready        bool // accepts new work
	LinkCapacity float64
	LinkLoad     float64
}

// Key identifies the copy of a title on a box.
type Key struct{ Title, Box string }

// CommandKind says what a command makes a box do.
type CommandKind int

// The kinds of commands.
const (
	Fetch CommandKind = iota + 1
	Drop
)

// Command is an instruction for a box.
type Command struct {
	Kind       CommandKind
	Title, Box string
	Source     string
	Rate, Size float64
}

// Answer is a box's answer to a command.
type Answer int

// The answers of boxes.
const (
	Accepted   Answer = iota + 1
	NoSpace           // the disk is full
	InUse             // not dropped, as sessions play the title
	Failed            // no connection, or any other failure
	Superseded        // the box follows a planner with a higher epoch
)

type boxState struct {
	Box
	reported  bool
	inventory Inventory
}

type copyJob struct {
	source         string
	copied         float64
	lastProgressAt int64 // time of the last progress
	failures       int
	retryAt        int64 // not retried before this time
	running        bool
	sentAt         int64 // time at which the command was sent
}

// Manager tracks the copies of all titles and decides which to fetch and which to drop.
type Manager struct {
	Config
	boxes       map[string]*boxState
	titles      map[string]*Title
	removedAt   map[string]int64 // when a title was removed, by name
	extraCopies map[Key]bool
	jobs        map[Key]*copyJob
	withdrawnAt map[Key]int64 // time at which the copy was withdrawn from the holders
	dropSentAt  map[Key]int64 // time at which the drop was sent
	superseded  bool
}

// New returns a Manager without boxes and titles.
func New(config Config) *Manager {
	return &Manager{Config: config, boxes: map[string]*boxState{}, titles: map[string]*Title{},
		removedAt: map[string]int64{}, extraCopies: map[Key]bool{}, jobs: map[Key]*copyJob{},
		withdrawnAt: map[Key]int64{}, dropSentAt: map[Key]int64{}}
}

// SetTitle adds or replaces a title.
func (m *Manager) SetTitle(t Title) {
	t.PermanentBoxes = slices.Clone(t.PermanentBoxes)
	m.titles[t.Name] = &t
	delete(m.removedAt, t.Name)
}

// RemoveTitle removes a title. Its copies are no longer published; after RemovalGrace they are withdrawn and then
// dropped, unless the title is set again.
func (m *Manager) RemoveTitle(name string, now int64) {
	delete(m.titles, name)
	if _, removed := m.removedAt[name]; !removed {
		m.removedAt[name] = now
	}
}

// isRemoved reports whether a title was removed and its copies may be dropped.
func (m *Manager) isRemoved(name string, now int64) bool {
	at, removed := m.removedAt[name]
	return removed && now-at >= m.RemovalGrace.Milliseconds()
}

// SetBoxes replaces the list of boxes. A box that is not listed is removed together with its inventory, because it
// may return without its copies.
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

// SetExtraCopies replaces the copies that are wanted in addition to the permanent ones.
func (m *Manager) SetExtraCopies(keys []Key) {
	clear(m.extraCopies)
	for _, k := range keys {
		m.extraCopies[k] = true
	}
}

// HandleInventory processes a box's inventory: it updates the running copy jobs and confirms drops.
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
		if now-j.sentAt > time.Second.Milliseconds() { // an inventory taken before the command does not show its effect
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

// recordFailure stops the job and sets the time of its next attempt.
func (j *copyJob) recordFailure(now int64, backoff time.Duration) {
	j.running = false
	j.failures++
	j.retryAt = now + backoff.Milliseconds()<<min(j.failures-1, 4)
}

// HandleAnswer processes a box's answer to a command.
func (m *Manager) HandleAnswer(command Command, answer Answer, now int64) {
	k := Key{command.Title, command.Box}
	if answer == Superseded {
		m.superseded = true
	}
	if command.Kind == Drop {
		if answer != Accepted {
			delete(m.dropSentAt, k) // the copy stays withdrawn, and the drop is tried again
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

// Superseded reports whether a box follows a planner with a higher epoch. The manager then issues no more commands.
func (m *Manager) Superseded() bool { return m.superseded }

// isWanted reports whether a title should have a copy on a box.
func (m *Manager) isWanted(k Key) bool {
	t := m.titles[k.Title]
	return t != nil && (m.extraCopies[k] || slices.Contains(t.PermanentBoxes, k.Box))
}

// isComplete reports whether the box reported the copy as complete.
func (m *Manager) isComplete(k Key) bool {
	b := m.boxes[k.Box]
	return b != nil && b.reported && b.inventory.Copies[k.Title].Complete
}

// isPublished reports whether a copy is published as a holder of its title.
func (m *Manager) isPublished(k Key) bool {
	_, withdrawn := m.withdrawnAt[k]
	return m.isComplete(k) && !withdrawn && m.titles[k.Title] != nil
}

// Holders returns the sorted IDs of the boxes that are published to edges as holders of a title.
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

// countReadyHolders counts the published holders other than exceptBox that accept new work.
func (m *Manager) countReadyHolders(title string, exceptBox string) (n int) {
	for id, b := range m.boxes {
		if id != exceptBox && b.Ready && m.isPublished(Key{title, id}) {
			n++
		}
	}
	return n
}

// AllReported reports whether every box that accepts work has sent an inventory. Before that, a list of holders would
// be incomplete.
func (m *Manager) AllReported() bool {
	for _, b := range m.boxes {
		if b.Ready && !b.reported {
			return false
		}
	}
	return true
}

// NextCommands returns the commands to send now. Each is recorded as sent; pass its answer to HandleAnswer.
func (m *Manager) NextCommands(now int64) []Command {
	if m.superseded || !m.AllReported() {
		return nil
	}
	m.updateWithdrawn(now)
	return append(m.dropCommands(now), m.fetchCommands(now)...)
}

// updateWithdrawn decides which complete copies are withdrawn from the published holders. A withdrawn copy is
// published again when it is wanted again or its title would have fewer than MinCopies, unless its drop was already
// sent.
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
	for _, k := range m.reportedKeys() {
		if _, withdrawn := m.withdrawnAt[k]; !withdrawn && m.isRemoved(k.Title, now) && m.isComplete(k) {
			m.withdrawnAt[k] = now
		}
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Title, b.Title), cmp.Compare(a.Box, b.Box))
}

// reportedKeys returns every copy that a box reported, sorted.
func (m *Manager) reportedKeys() (out []Key) {
	for id, b := range m.boxes {
		for t := range b.inventory.Copies {
			out = append(out, Key{t, id})
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

const dropRetryMs = 5000 // a drop is sent again after 5 s if the inventory still shows the copy

// dropCommands returns the drops that may be sent now.
func (m *Manager) dropCommands(now int64) (out []Command) {
	for _, k := range m.reportedKeys() {
		c := m.boxes[k.Box].inventory.Copies[k.Title]
		if at, sent := m.dropSentAt[k]; sent && now-at < dropRetryMs {
			continue
		}
		since, withdrawn := m.withdrawnAt[k]
		switch {
		case m.titles[k.Title] == nil && !m.isRemoved(k.Title, now):
			continue
		case c.Complete && (!withdrawn || now-since < m.DropGrace.Milliseconds() || c.Sessions > 0):
			continue
		case c.Complete && m.titles[k.Title] != nil && m.countReadyHolders(k.Title, k.Box) < m.MinCopies:
			continue
		case !c.Complete && (m.isWanted(k) || c.Sessions > 0): // an incomplete copy that is no longer wanted is dropped
			continue
		}
		delete(m.jobs, k)
		m.dropSentAt[k] = now
		out = append(out, Command{Kind: Drop, Title: k.Title, Box: k.Box})
	}
	return out
}

// fetchCommands starts the copies that are wanted and missing, beginning with the titles with the fewest holders.
func (m *Manager) fetchCommands(now int64) (out []Command) {
	incoming, outgoing := map[string]int{}, map[string]int{}
	for k, job := range m.jobs {
		if !m.isWanted(k) || m.boxes[k.Box] == nil {
			delete(m.jobs, k)
			continue
		}
		if job.running && now-max(job.lastProgressAt, job.sentAt) > m.ProgressTimeout.Milliseconds() {
			job.recordFailure(now, m.Backoff)
			job.retryAt = now // retry immediately from another source
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
		// A started copy already has its disk space.
		if _, started := state.inventory.Copies[k.Title]; !started && title.Size > state.inventory.FreeDisk {
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
		job.source, job.running, job.sentAt, job.lastProgressAt, job.copied = source.ID, true, now, now,
			state.inventory.Copies[k.Title].Copied
		incoming[k.Box] = concurrent + 1
		outgoing[source.ID]++
		out = append(out, Command{Fetch, k.Title, k.Box, source.ID,
			m.LinkShare * min(source.LinkCapacity, state.LinkCapacity) / float64(m.MaxConcurrent), title.Size})
	}
	return out
}

// untrackedCopies returns the copies that boxes report as in progress and that have no running job: their commands were
// carried out but the answers were lost. If they were not counted, a box would make more copies than MaxConcurrent.
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

// missingCopies returns the wanted copies that are not complete, on boxes that accept work.
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
	slices.SortFunc(out, func(a, b Key) int {
		return cmp.Or(cmp.Compare(holders[a.Title], holders[b.Title]), compareKeys(a, b))
	})
	return out
}

// chooseSource returns the published holder with the largest free share of its link, and avoids the last one tried if
// there is another. A draining box may be a source, because its copies are about to disappear; an overloaded box is
// chosen only if all holders are.
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
		if id != k.Box && outgoing[id] < m.MaxConcurrent && m.isPublished(Key{k.Title, id}) &&
			(best == nil || better(b, best)) {
			best = b
		}
	}
	return best
}

// freeLinkShare returns the share of the link that is not in use.
func (b *boxState) freeLinkShare() float64 { return 1 - b.LinkLoad/max(b.LinkCapacity, 1e-9) }

// SessionsByTitle returns the number of sessions that play each title, by the boxes' last inventories.
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

// FreeDisk returns the disk space of a box that is available for complete copies. The space of incomplete copies counts
// as available, since they may be completed or dropped.
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

// RunningJobs returns the number of copies in progress.
func (m *Manager) RunningJobs() (n int) {
	for _, j := range m.jobs {
		if j.running {
			n++
		}
	}
	return n
}
