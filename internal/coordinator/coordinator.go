// Package coordinator follows the numbered events of the platform's coordinator by long polling: GET
// /v2/stream?follow=N&wait_ms=MS, where N is the number of the last event applied. The package contains no decision
// logic.
package coordinator

// Entry is one server in an update.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"` // Unix milliseconds; 0 if not reported
}

// Endpoints is either a full server list or the entries that changed since the event before.
type Endpoints struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Update is one event. Unknown keys are ignored.
type Update struct {
	Endpoints *Endpoints `json:"endpoints"`
}

// Updates is a sequence of events that ends with the event number Index.
type Updates struct {
	Index   int64    `json:"index"`
	Updates []Update `json:"updates"`
}

// Merge combines updates into one: the last entry of each server, in the order in which the servers first appear. A
// full list discards all entries before it; full then reports that servers without an entry are gone. Because a history
// is merged before it is applied, a drained server does not become available again while its older updates are applied.
func Merge(updates []Update) (entries []Entry, full bool) {
	indexByID := map[string]int{}
	for _, u := range updates {
		if u.Endpoints == nil {
			continue
		}
		if u.Endpoints.Full {
			entries, full = nil, true
			clear(indexByID)
		}
		for _, e := range u.Endpoints.Servers {
			if i, ok := indexByID[e.ID]; ok {
				entries[i] = e
				continue
			}
			indexByID[e.ID] = len(entries)
			entries = append(entries, e)
		}
	}
	return entries, full
}

// isFullList reports whether the update is a full server list.
func (u Update) isFullList() bool { return u.Endpoints != nil && u.Endpoints.Full }
