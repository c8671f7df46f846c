package coordinator

import (
	"cmp"
	"slices"
)

// stateRemoved is the state of an entry whose server has gone.
const stateRemoved = "removed"

// AddressOwners tracks which server an address belongs to. A new server may take the address of one that has gone, and
// may be listed before the list says that the other one has. What is sent to the address reaches the new server only, so
// the server that was listed first counts as removed from then on. The zero value is ready to use.
type AddressOwners struct {
	listings map[string]*listing // by server id
	owners   map[string]*listing // by address
}

// listing is a server that is listed at an address.
type listing struct {
	id, addr string
	replaced bool // another server was listed at the address later
}

// Apply applies the entries of a list or of a change, and returns them with each replaced server as removed. Servers that
// the entries replace without naming them are added.
func (o *AddressOwners) Apply(entries []Entry, whole bool) []Entry {
	if o.listings == nil {
		o.listings, o.owners = map[string]*listing{}, map[string]*listing{}
	}
	if whole {
		o.forgetOthers(entries)
	}
	replaced := o.record(entries)
	out := slices.Clone(entries)
	named := make(map[string]bool, len(out))
	for i, e := range out {
		named[e.ID] = true
		if l := o.listings[e.ID]; l != nil && l.replaced {
			out[i].State = stateRemoved
		}
	}
	for _, l := range replaced {
		if !named[l.id] {
			out = append(out, Entry{ID: l.id, Addr: l.addr, State: stateRemoved})
		}
	}
	return out
}

// forgetOthers forgets the servers that a whole list omits.
func (o *AddressOwners) forgetOthers(entries []Entry) {
	named := make(map[string]bool, len(entries))
	for _, e := range entries {
		named[e.ID] = true
	}
	for id, l := range o.listings {
		if !named[id] {
			o.forget(l)
		}
	}
}

func (o *AddressOwners) forget(l *listing) {
	delete(o.listings, l.id)
	if o.owners[l.addr] == l {
		delete(o.owners, l.addr)
	}
}

// record records the servers that are new at their addresses, and returns those that they replace. Of several new ones
// at one address, the one that started last has it.
func (o *AddressOwners) record(entries []Entry) (replaced []*listing) {
	var added []Entry
	for _, e := range entries {
		l := o.listings[e.ID]
		if l != nil && (e.State == stateRemoved || e.Addr != l.addr) {
			o.forget(l)
			l = nil
		}
		if l == nil && e.State != stateRemoved && e.Addr != "" {
			added = append(added, e)
		}
	}
	slices.SortStableFunc(added, func(a, b Entry) int { return cmp.Compare(a.StartedMs, b.StartedMs) })
	for _, e := range added {
		l := &listing{id: e.ID, addr: e.Addr}
		if previous := o.owners[e.Addr]; previous != nil {
			previous.replaced = true
			replaced = append(replaced, previous)
		}
		o.listings[e.ID], o.owners[e.Addr] = l, l
	}
	return replaced
}
