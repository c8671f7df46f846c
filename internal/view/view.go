// Package view defines the versioned snapshot of the fleet, boxes and titles, that the planner publishes and edges
// follow. The version only increases. A stream of JSON lines carries full views and changes. A gap in the versions or
// an invalid line is an error, after which the follower requests the full view again.
package view

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"rainpulley/internal/timeconv"
)

// State is the state of a box in the fleet.
type State string

// States of a box. In an update, StateGone removes the box.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateGone     State = "gone"
)

// Box is one streaming server. Zone and Kind are names; Rack is determined by Cell.
type Box struct {
	ID        string  `json:"id"` // host:port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	Rack      int     `json:"rack"`
	State     State   `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms,omitempty"` // Unix milliseconds; 0: long ago or unknown
}

// Title is one title of the catalogue and the place of its copies.
type Title struct {
	Name     string `json:"name"`
	HomeCell int    `json:"home"`
	CellSpan int    `json:"span"`
	LengthMs int64  `json:"length_ms,omitempty"` // 0: unknown

	Listed  bool     `json:"listed,omitempty"`  // Holders applies instead of HomeCell and CellSpan
	Holders []string `json:"holders,omitempty"` // ids of the boxes that have the whole title, sorted
}

// Equal reports whether two titles are the same in all fields.
func (t Title) Equal(o Title) bool {
	return t.Name == o.Name && t.HomeCell == o.HomeCell && t.CellSpan == o.CellSpan &&
		t.LengthMs == o.LengthMs && t.Listed == o.Listed &&
		slices.Equal(t.Holders, o.Holders)
}

// View is the snapshot of the fleet at one version.
type View struct {
	Version uint64  `json:"version"`
	Boxes   []Box   `json:"boxes"`
	Titles  []Title `json:"titles"`
}

// Update is one line of the stream: a full view, changes to BaseVersion, or a heartbeat. A heartbeat has neither and
// carries the current version.
type Update struct {
	Version       uint64   `json:"v"`
	NowMs         int64    `json:"now_ms,omitempty"` // planner's clock when sent; the age of a box is NowMs - StartedMs
	BaseVersion   uint64   `json:"base,omitempty"`   // version that the changes apply to
	Full          bool     `json:"whole,omitempty"`
	Boxes         []Box    `json:"boxes,omitempty"`
	Titles        []Title  `json:"titles,omitempty"`
	RemovedTitles []string `json:"removed_titles,omitempty"`
	Holds         *Holds   `json:"holds,omitempty"` // replaces the holds published before
}

// Holds is the capacity reserved for announced peaks, and the titles whose requests edges count for the planner. It
// expires unless the planner renews it within the lease. The lease is a duration, not a time, because clocks may
// differ.
type Holds struct {
	LeaseMs       int64          `json:"lease_ms"`
	Entries       []Hold         `json:"parts,omitempty"`
	CountedTitles []CountedTitle `json:"count,omitempty"`
}

// Hold is capacity reserved on a box for one title and class, and not yet used by any edge.
type Hold struct {
	Title   string  `json:"title"`
	Class   string  `json:"class"`
	Box     string  `json:"box"`
	Rate    float64 `json:"rate"` // kB/s
	Streams float64 `json:"streams"`
}

// CountedTitle is a title of a peak for which edges report arrivals and usage.
type CountedTitle struct {
	Peak  string `json:"peak"`
	Title string `json:"title"`
	Class string `json:"class"`
}

// UsageReport is the report of an edge to the planner. Arrivals are cumulative since the start of the edge.
type UsageReport struct {
	Edge     string          `json:"edge"` // position.instance of the edge
	Seq      uint64          `json:"seq"`
	Usage    []TitleUsage    `json:"uses"`
	Arrivals []TitleArrivals `json:"arrived"`

	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// Outcome counts the results of an edge's set-ups on a box since the start of the edge. Set-ups that were refused for
// lack of capacity or cancelled by the viewer count as neither served nor failed.
type Outcome struct {
	Box    string `json:"box"`
	Served int64  `json:"served"`
	Failed int64  `json:"failed"`
}

// TitleUsage is the capacity that sessions of a peak's title use on a box.
type TitleUsage struct {
	Peak    string  `json:"peak"`
	Title   string  `json:"title"`
	Box     string  `json:"box"`
	Rate    float64 `json:"rate"` // kB/s
	Streams float64 `json:"streams"`
}

// TitleArrivals is the number of first requests for a title of a peak.
type TitleArrivals struct {
	Peak  string  `json:"peak"`
	Title string  `json:"title"`
	Count float64 `json:"n"`
}

// ErrVersionGap is returned for an update that does not apply to the current version; the full view must be read.
var ErrVersionGap = errors.New("view: gap in versions")

// Decode parses and validates one line of the stream. An update returned with an error must not be applied.
func Decode(data []byte) (Update, error) {
	var update Update
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&update); err != nil {
		return update, fmt.Errorf("view: invalid line: %w", err)
	}
	if !update.Full && update.BaseVersion == 0 && len(update.Boxes)+len(update.Titles)+len(update.RemovedTitles) > 0 {
		return update, errors.New("view: changes without a base version")
	}
	for _, box := range update.Boxes {
		if box.StartedMs < 0 || box.StartedMs > timeconv.MaxUnixMilli {
			return update, fmt.Errorf("view: box %q: started_ms %d is out of range", box.ID, box.StartedMs)
		}
		if box.ID == "" || box.State != StateReady && box.State != StateDraining && box.State != StateGone || box.Cell < 0 {
			return update, fmt.Errorf("view: box %q: missing id, unknown state %q or negative cell %d", box.ID, box.State,
				box.Cell)
		}
	}
	if update.Holds != nil {
		if update.Holds.LeaseMs <= 0 || update.Holds.LeaseMs > timeconv.MaxDuration.Milliseconds() {
			return update, errors.New("view: lease_ms of holds is out of range")
		}
		for _, hold := range update.Holds.Entries {
			if !(hold.Rate >= 0) || !(hold.Streams >= 0) || hold.Box == "" || hold.Title == "" {
				return update, fmt.Errorf("view: hold for %q on %q: missing title or box, or invalid rate %v or streams %v",
					hold.Title, hold.Box, hold.Rate, hold.Streams)
			}
		}
	}
	for _, t := range update.Titles {
		if t.Name == "" || t.HomeCell < 0 || t.CellSpan < 1 {
			return update, fmt.Errorf("view: title %q: missing name, or home %d or span %d out of range",
				t.Name, t.HomeCell, t.CellSpan)
		}
		if t.Listed && !slices.IsSorted(t.Holders) || !t.Listed && t.Holders != nil {
			return update, fmt.Errorf("view: title %q: holders are not sorted, or given without listed", t.Name)
		}
		if t.LengthMs < 0 || t.LengthMs > timeconv.MaxDuration.Milliseconds() {
			return update, fmt.Errorf("view: title %q: length_ms %d is out of range", t.Name, t.LengthMs)
		}
	}
	return update, nil
}

// Apply returns the view that results from an update, and whether the update changes it. It does not modify v.
func Apply(v View, update Update) (View, bool, error) {
	if update.Full {
		return View{update.Version, update.Boxes, update.Titles}, true, nil
	}
	if update.BaseVersion == 0 { // heartbeat
		if update.Version != v.Version {
			return v, false, ErrVersionGap
		}
		return v, false, nil
	}
	if update.BaseVersion != v.Version || update.Version <= update.BaseVersion {
		return v, false, ErrVersionGap
	}
	next := View{Version: update.Version, Boxes: slices.Clone(v.Boxes), Titles: slices.Clone(v.Titles)}
	for _, b := range update.Boxes {
		i := slices.IndexFunc(next.Boxes, func(o Box) bool { return o.ID == b.ID })
		switch {
		case b.State == StateGone && i >= 0:
			next.Boxes = slices.Delete(next.Boxes, i, i+1)
		case b.State == StateGone:
		case i >= 0:
			next.Boxes[i] = b
		default:
			next.Boxes = append(next.Boxes, b)
		}
	}
	next.Titles = slices.DeleteFunc(next.Titles, func(t Title) bool {
		return slices.Contains(update.RemovedTitles, t.Name)
	})
	for _, t := range update.Titles {
		if i := slices.IndexFunc(next.Titles, func(o Title) bool { return o.Name == t.Name }); i >= 0 {
			next.Titles[i] = t
		} else {
			next.Titles = append(next.Titles, t)
		}
	}
	next.sort()
	return next, true, nil
}

// sort orders boxes by id and titles by name.
func (v *View) sort() {
	slices.SortFunc(v.Boxes, func(a, b Box) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Titles, func(a, b Title) int { return strings.Compare(a.Name, b.Name) })
}

// Diff returns the update that turns one view into a later one.
func Diff(from, to View) Update {
	update := Update{Version: to.Version, BaseVersion: from.Version}
	id := func(b Box) string { return b.ID }
	var removedBoxes []Box
	update.Boxes, removedBoxes = diffByKey(from.Boxes, to.Boxes, id, func(a, b Box) bool { return a == b })
	for _, b := range removedBoxes {
		b.State = StateGone
		update.Boxes = append(update.Boxes, b)
	}
	name := func(t Title) string { return t.Name }
	var removedTitles []Title
	update.Titles, removedTitles = diffByKey(from.Titles, to.Titles, name, Title.Equal)
	for _, t := range removedTitles {
		update.RemovedTitles = append(update.RemovedTitles, t.Name)
	}
	return update
}

// diffByKey returns the entries of to that are new or differ from those in from, and the entries that only from has.
func diffByKey[T any](from, to []T, key func(T) string, equal func(a, b T) bool) (changed, removed []T) {
	remaining := map[string]T{}
	for _, x := range from {
		remaining[key(x)] = x
	}
	for _, x := range to {
		if previous, ok := remaining[key(x)]; !ok || !equal(previous, x) {
			changed = append(changed, x)
		}
		delete(remaining, key(x))
	}
	for _, x := range from {
		if _, unmatched := remaining[key(x)]; unmatched {
			removed = append(removed, x)
		}
	}
	return changed, removed
}
