// Package titles decides which titles of the catalogue are in force. It merges the lists of several sources with the
// words of operators. It does no I/O and reads no clock; times are Unix milliseconds.
//
// Invariants: a title leaves only by a positive word, which is an operator's removal or its absence from a whole list. An
// entry that cannot be read is no such word: the last valid one stays in force. A list that lacks most titles of the one
// before is suspect: its removals are held until it names the titles again or an operator accepts them.
package titles

import (
	"cmp"
	"maps"
	"slices"

	"rainpulley/internal/view"
)

// List is the complete list of one source at one moment.
type List struct {
	Titles  []view.Title
	Invalid map[string]string // by name: why the source's entry for it could not be read
}

// Entry is a title in force.
type Entry struct {
	Title  view.Title
	Source string
	Fault  string // why the source's current word does not count and an earlier one is in force; "": it counts
	Since  int64  // when the fault began; 0: there is none
}

// held is the reason of a removal that is not carried out.
const held = "removal held: the list lacks most titles at once"

// Catalogue keeps the lists of sources and the overrides of operators.
type Catalogue struct {
	order     []string                    // sources in order of preference
	lists     map[string]map[string]Entry // by source and name
	overrides map[string]view.Title       // a span of 0 marks a removed title
}

// New makes a Catalogue of the named sources, in order of preference.
func New(order ...string) *Catalogue {
	c := &Catalogue{order: order, lists: map[string]map[string]Entry{}, overrides: map[string]view.Title{}}
	for _, source := range order {
		c.lists[source] = map[string]Entry{}
	}
	return c
}

// SetOverride sets an operator's title, which takes precedence over all sources; a span of 0 removes the title.
func (c *Catalogue) SetOverride(t view.Title) { c.overrides[t.Name] = t }

// Update replaces the list of a source.
func (c *Catalogue) Update(source string, list List, now int64) {
	next := map[string]Entry{}
	for _, t := range list.Titles {
		next[t.Name] = Entry{Title: t, Source: source}
	}
	previous := c.lists[source]
	var missing []Entry
	for _, name := range slices.Sorted(maps.Keys(previous)) {
		entry := previous[name]
		if _, listed := next[name]; listed {
			continue
		}
		if reason, invalid := list.Invalid[name]; invalid {
			next[name] = entry.withFault(reason, now)
			continue
		}
		missing = append(missing, entry)
	}
	if isMassRemoval(len(missing), len(previous)) {
		for _, entry := range missing {
			next[entry.Title.Name] = entry.withFault(held, now)
		}
	}
	c.lists[source] = next
}

// isMassRemoval reports whether a list that lacks so many titles of the one before is suspect.
func isMassRemoval(missing, before int) bool {
	return missing > 0 && (missing == before || 2*missing > before)
}

// withFault returns the entry with the reason why it is still in force.
func (e Entry) withFault(reason string, now int64) Entry {
	if e.Fault == "" {
		e.Since = now
	}
	e.Fault = reason
	return e
}

// HeldRemovals returns the names of the titles whose removal is held.
func (c *Catalogue) HeldRemovals() (names []string) {
	for _, list := range c.lists {
		for name, entry := range list {
			if entry.Fault == held {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// AcceptRemovals carries out the removals of the named titles that are held.
func (c *Catalogue) AcceptRemovals(names []string) {
	for _, list := range c.lists {
		for _, name := range names {
			if list[name].Fault == held {
				delete(list, name)
			}
		}
	}
}

// InForce returns the titles in force, by name. The word of an operator comes first, then that of the most preferred
// source that names the title.
func (c *Catalogue) InForce() map[string]Entry {
	out := map[string]Entry{}
	for _, source := range slices.Backward(c.order) {
		maps.Copy(out, c.lists[source])
	}
	for name, t := range c.overrides {
		if t.CellSpan == 0 {
			delete(out, name)
		} else {
			out[name] = Entry{Title: t, Source: "operator"}
		}
	}
	return out
}

// List returns what a source's list amounts to without the named titles: its titles in force, also those of an earlier
// list.
func (c *Catalogue) List(source string, without ...string) []view.Title {
	out := []view.Title{}
	for name, entry := range c.lists[source] {
		if !slices.Contains(without, name) {
			out = append(out, entry.Title)
		}
	}
	slices.SortFunc(out, func(a, b view.Title) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Faults counts the titles in force whose source's word does not count: entries that cannot be read, and removals that
// are held.
func (c *Catalogue) Faults() (invalid, heldRemovals int) {
	for _, list := range c.lists {
		for _, entry := range list {
			switch entry.Fault {
			case "":
			case held:
				heldRemovals++
			default:
				invalid++
			}
		}
	}
	return invalid, heldRemovals
}
