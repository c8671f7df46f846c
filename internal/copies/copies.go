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
type Rules struct {
	Least    int           // whole copies that a title keeps, at boxes that take new work
	AtOnce   int           // copies that a box makes, or is the source of, at once
	Share    float64       // of a box's link that copying may take
	Grace    time.Duration // from "told no more" to a drop: lists are late, and set-ups are out
	Patience time.Duration // without progress so long, another source is tried
	Backoff  time.Duration // after a failure, doubled each time up to 16 times
}

// Title is a title's size, and where it lies at rest.
type Title struct {
	Name string
	Size float64
	Base []string
}

// Copy is what a box says of one title.
type Copy struct {
	Whole   bool
	Copying bool
	Done    float64
	Size    float64
	Playing int    // sessions of it, set-ups too
	Error   string // why copying stopped
}

// Inventory is what a box says of all its titles.
type Inventory struct {
	Boot   string
	Free   float64
	Copies map[string]Copy
}

// Box is what the fleet's watch says of a box.
type Box struct {
	ID    string
	Ready bool // takes new work
	Link  float64
	Busy  float64
}

// Key is a title at a box.
type Key struct{ Title, Box string }

// Kind of a command.
type Kind int

// Kinds of commands.
const (
	Fetch Kind = iota + 1
	Drop
)

// Command is what a box should be told.
type Command struct {
	Kind       Kind
	Title, Box string
	From       string
	Rate, Size float64
}

// Answer is what a box said to a command.
type Answer int

// Answers of boxes.
const (
	Taken    Answer = iota + 1
	NoSpace         // its disk is full
	InUse           // sessions play it: not dropped
	Failed          // no connection, or anything else
	Outdated        // it obeys a planner with a higher epoch
)

type box struct {
	Box
	seen bool
	inv  Inventory
}

type job struct {
	from     string
	done     float64
	moved    int64 // last progress
	failures int
	notUntil int64 // no new try before
	running  bool
	told     int64 // the command went out
}

// Manager looks after all copies.
type Manager struct {
	Rules
	boxes    map[string]*box
	titles   map[string]*Title
	want     map[Key]bool
	jobs     map[Key]*job
	retiring map[Key]int64 // told no more since
	dropping map[Key]int64 // drop sent
	outdated bool
}

// New makes one that knows nothing.
func New(r Rules) *Manager {
	return &Manager{Rules: r, boxes: map[string]*box{}, titles: map[string]*Title{}, want: map[Key]bool{}, jobs: map[Key]*job{},
		retiring: map[Key]int64{}, dropping: map[Key]int64{}}
}

// SetTitle tells a title, or its change.
func (m *Manager) SetTitle(t Title) {
	t.Base = slices.Clone(t.Base)
	m.titles[t.Name] = &t
}

// RemoveTitle forgets a title: its copies are told no more, and dropped.
func (m *Manager) RemoveTitle(name string) { delete(m.titles, name) }

// SetBoxes tells the fleet. A box that is not named is gone; what it said of its copies is not believed
// any longer, as it may come back without them.
func (m *Manager) SetBoxes(list []Box) {
	seen := map[string]bool{}
	for _, b := range list {
		seen[b.ID] = true
		if o := m.boxes[b.ID]; o != nil {
			o.Box = b
		} else {
			m.boxes[b.ID] = &box{Box: b}
		}
	}
	for id := range m.boxes {
		if !seen[id] {
			delete(m.boxes, id)
		}
	}
}

// Want replaces the copies that are wanted beyond those at rest.
func (m *Manager) Want(keys []Key) {
	clear(m.want)
	for _, k := range keys {
		m.want[k] = true
	}
}

// Saw takes a box's inventory.
func (m *Manager) Saw(id string, inv Inventory, now int64) {
	b := m.boxes[id]
	if b == nil {
		return
	}
	b.seen, b.inv = true, inv
	for k, j := range m.jobs {
		if k.Box != id || !j.running {
			continue
		}
		c, there := inv.Copies[k.Title]
		switch {
		case c.Whole:
			delete(m.jobs, k)
		case c.Done > j.done:
			j.done, j.moved = c.Done, now
		}
		if there && c.Copying || c.Whole {
			continue
		}
		if now-j.told > time.Second.Milliseconds() { // an inventory from before the command says nothing of it
			j.fail(now, m.Backoff)
		}
	}
	for k := range m.dropping {
		if _, there := inv.Copies[k.Title]; k.Box == id && !there {
			delete(m.dropping, k)
			delete(m.retiring, k)
		}
	}
	for k := range m.retiring {
		if c := inv.Copies[k.Title]; k.Box == id && !c.Whole {
			delete(m.retiring, k)
		}
	}
}

func (j *job) fail(now int64, backoff time.Duration) {
	j.running = false
	j.failures++
	j.notUntil = now + backoff.Milliseconds()<<min(j.failures-1, 4)
}

// Answered takes a box's answer to a command.
func (m *Manager) Answered(c Command, a Answer, now int64) {
	k := Key{c.Title, c.Box}
	if a == Outdated {
		m.outdated = true
	}
	if c.Kind == Drop {
		if a != Taken {
			delete(m.dropping, k) // it stays told no more, and is tried again
			if _, ok := m.retiring[k]; ok {
				m.retiring[k] = max(m.retiring[k], now-m.Grace.Milliseconds()+m.Backoff.Milliseconds())
			}
		}
		return
	}
	if j := m.jobs[k]; j != nil && j.running && a != Taken {
		j.fail(now, m.Backoff)
		if a == NoSpace {
			j.notUntil = now + 8*m.Backoff.Milliseconds()
		}
	}
}

// Outdated tells that a box obeys a later planner: this one commands no more.
func (m *Manager) Outdated() bool { return m.outdated }

// wanted tells whether a title should lie at a box.
func (m *Manager) wanted(k Key) bool {
	t := m.titles[k.Title]
	return t != nil && (m.want[k] || slices.Contains(t.Base, k.Box))
}

// whole tells a copy that its box says is whole.
func (m *Manager) whole(k Key) bool {
	b := m.boxes[k.Box]
	return b != nil && b.seen && b.inv.Copies[k.Title].Whole
}

// told tells a holder that is published.
func (m *Manager) told(k Key) bool {
	_, out := m.retiring[k]
	return m.whole(k) && !out && m.titles[k.Title] != nil
}

// Holders are a title's holders for edges, in order.
func (m *Manager) Holders(title string) []string {
	out := []string{}
	for id := range m.boxes {
		if m.told(Key{title, id}) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ready are the told holders that take new work.
func (m *Manager) ready(title string, but string) (n int) {
	for id, b := range m.boxes {
		if id != but && b.Ready && m.told(Key{title, id}) {
			n++
		}
	}
	return n
}

// Known tells whether every box that takes work has said what it holds. Before that a list of holders
// would hide holders.
func (m *Manager) Known() bool {
	for _, b := range m.boxes {
		if b.Ready && !b.seen {
			return false
		}
	}
	return true
}

// Step works out what boxes should be told now. Each command counts as sent; its answer comes by Answered.
func (m *Manager) Step(now int64) []Command {
	if m.outdated || !m.Known() {
		return nil
	}
	m.retire(now)
	return append(m.drops(now), m.fetches(now)...)
}

// retire settles which whole copies are told no more. One that was told no more is told again when it is
// wanted again or its title would fall below its stated copies, unless its drop is out already.
func (m *Manager) retire(now int64) {
	for _, k := range slices.SortedFunc(maps.Keys(m.retiring), byKey) {
		if _, sent := m.dropping[k]; sent || m.titles[k.Title] == nil {
			continue
		}
		if m.wanted(k) || m.ready(k.Title, k.Box) < m.Least {
			delete(m.retiring, k)
		}
	}
	for _, k := range m.all() {
		if !m.told(k) || m.wanted(k) {
			continue
		}
		if m.ready(k.Title, k.Box) >= m.Least {
			m.retiring[k] = now
		}
	}
	for _, k := range m.all() { // of a title that is no more
		if _, out := m.retiring[k]; !out && m.titles[k.Title] == nil && m.whole(k) {
			m.retiring[k] = now
		}
	}
}

func byKey(a, b Key) int { return cmp.Or(cmp.Compare(a.Title, b.Title), cmp.Compare(a.Box, b.Box)) }

// all is every copy that a box told of, in order.
func (m *Manager) all() (out []Key) {
	for id, b := range m.boxes {
		for t := range b.inv.Copies {
			out = append(out, Key{t, id})
		}
	}
	slices.SortFunc(out, byKey)
	return out
}

const dropAgain = 5000 // ms: a drop whose effect is not seen is sent again

func (m *Manager) drops(now int64) (out []Command) {
	for _, k := range m.all() {
		c := m.boxes[k.Box].inv.Copies[k.Title]
		if at, sent := m.dropping[k]; sent && now-at < dropAgain {
			continue
		}
		since, retired := m.retiring[k]
		switch {
		case c.Whole && (!retired || now-since < m.Grace.Milliseconds() || c.Playing > 0):
			continue
		case c.Whole && m.titles[k.Title] != nil && m.ready(k.Title, k.Box) < m.Least:
			continue
		case !c.Whole && (m.wanted(k) || c.Playing > 0): // half a copy that nobody wants any more
			continue
		}
		delete(m.jobs, k)
		m.dropping[k] = now
		out = append(out, Command{Kind: Drop, Title: k.Title, Box: k.Box})
	}
	return out
}

// fetches starts the copies that are wanted and missing, those of titles with fewest holders first.
func (m *Manager) fetches(now int64) (out []Command) {
	in, from := map[string]int{}, map[string]int{}
	for k, j := range m.jobs {
		if !m.wanted(k) || m.boxes[k.Box] == nil {
			delete(m.jobs, k)
			continue
		}
		if j.running && now-max(j.moved, j.told) > m.Patience.Milliseconds() {
			j.fail(now, m.Backoff)
			j.notUntil = now // another source at once
		}
		if j.running {
			in[k.Box]++
			from[j.from]++
		}
	}
	unled := m.unled()
	for k := range unled {
		in[k.Box]++
	}
	for _, k := range m.missing() {
		b, t, j := m.boxes[k.Box], m.titles[k.Title], m.jobs[k]
		others := in[k.Box]
		if unled[k] {
			others--
		}
		if j != nil && (j.running || now < j.notUntil) || others >= m.AtOnce {
			continue
		}
		if _, begun := b.inv.Copies[k.Title]; !begun && t.Size > b.inv.Free { // what is begun has its room already
			continue
		}
		last := ""
		if j != nil {
			last = j.from
		}
		src := m.source(k, last, from)
		if src == nil {
			continue
		}
		if j == nil {
			j = &job{}
			m.jobs[k] = j
		}
		j.from, j.running, j.told, j.moved, j.done = src.ID, true, now, now, b.inv.Copies[k.Title].Done
		in[k.Box] = others + 1
		from[src.ID]++
		out = append(out, Command{Fetch, k.Title, k.Box, src.ID, m.Share * min(src.Link, b.Link) / float64(m.AtOnce), t.Size})
	}
	return out
}

// unled are copies that boxes say they are making and that no running job stands for: commands that ran though their
// answers were lost. Left out of the count, each of them would let a box make one more copy than it should.
func (m *Manager) unled() map[Key]bool {
	out := map[Key]bool{}
	for id, b := range m.boxes {
		for t, c := range b.inv.Copies {
			k := Key{t, id}
			if j := m.jobs[k]; c.Copying && !c.Whole && (j == nil || !j.running) {
				out[k] = true
			}
		}
	}
	return out
}

// missing is what is wanted at boxes that take work and is not whole there.
func (m *Manager) missing() (out []Key) {
	for name, t := range m.titles {
		for _, id := range t.Base {
			out = append(out, Key{name, id})
		}
	}
	for k := range m.want {
		if t := m.titles[k.Title]; t != nil && !slices.Contains(t.Base, k.Box) {
			out = append(out, k)
		}
	}
	out = slices.DeleteFunc(out, func(k Key) bool {
		b := m.boxes[k.Box]
		_, going := m.dropping[k]
		return b == nil || !b.Ready || going || m.whole(k)
	})
	holders := map[string]int{}
	for _, k := range out {
		if _, ok := holders[k.Title]; !ok {
			holders[k.Title] = m.ready(k.Title, "")
		}
	}
	slices.SortFunc(out, func(a, b Key) int { return cmp.Or(cmp.Compare(holders[a.Title], holders[b.Title]), byKey(a, b)) })
	return out
}

// source is the told holder with most room on its link; not the last one tried where there is another. One that
// drains may be copied from, as what it holds is about to go; one that is hot only where all are.
func (m *Manager) source(k Key, last string, from map[string]int) (best *box) {
	better := func(a, b *box) bool {
		if (a.ID == last) != (b.ID == last) {
			return a.ID != last
		}
		if a.room() != b.room() {
			return a.room() > b.room()
		}
		return a.ID < b.ID
	}
	for id, b := range m.boxes {
		if id != k.Box && from[id] < m.AtOnce && m.told(Key{k.Title, id}) && (best == nil || better(b, best)) {
			best = b
		}
	}
	return best
}

// room is the part of a link that is free.
func (b *box) room() float64 { return 1 - b.Busy/max(b.Link, 1e-9) }

// Playing is how many sessions of each title play, by what boxes said last.
func (m *Manager) Playing() map[string]float64 {
	out := map[string]float64{}
	for _, b := range m.boxes {
		for t, c := range b.inv.Copies {
			if c.Playing > 0 {
				out[t] += float64(c.Playing)
			}
		}
	}
	return out
}

// Free is what a box's disk has left for whole copies: what was begun there may be finished, or given up.
func (m *Manager) Free(id string) (free float64) {
	if b := m.boxes[id]; b != nil {
		free = b.inv.Free
		for _, c := range b.inv.Copies {
			if !c.Whole {
				free += c.Size
			}
		}
	}
	return free
}

// Jobs is how many copies are under way.
func (m *Manager) Jobs() (n int) {
	for _, j := range m.jobs {
		if j.running {
			n++
		}
	}
	return n
}
