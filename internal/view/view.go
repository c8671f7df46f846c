// Package view is the fleet as the planner publishes it and edges follow it: boxes and titles under a
// version that only rises. A stream of lines carries whole views and changes; a gap or a line that does
// not fit is an error, after which the follower asks for the whole view again.
package view

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"rainpulley/internal/timeconv"
)

// State of a box.
type State string

// States of a box.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateGone     State = "gone"
)

// Box is one streaming server. Zone and kind are names; its rack follows from its cell.
type Box struct {
	ID        string  `json:"id"` // host:port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	Rack      int     `json:"rack"`
	State     State   `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms,omitempty"` // Unix milliseconds; 0: long ago or not known
}

// Title is what can be played and where it lies.
type Title struct {
	Name     string `json:"name"`
	HomeCell int    `json:"home"`
	CellSpan int    `json:"span"`
	LengthMs int64  `json:"length_ms,omitempty"` // 0: not known

	Listed  bool     `json:"listed,omitempty"`  // Holders counts, not Home and Span
	Holders []string `json:"holders,omitempty"` // boxes that have it whole, in order of their ids
}

// Equal compares two titles.
func (t Title) Equal(o Title) bool {
	return t.Name == o.Name && t.HomeCell == o.HomeCell && t.CellSpan == o.CellSpan && t.LengthMs == o.LengthMs && t.Listed == o.Listed &&
		slices.Equal(t.Holders, o.Holders)
}

// View is the fleet at one version.
type View struct {
	Version uint64  `json:"version"`
	Boxes   []Box   `json:"boxes"`
	Titles  []Title `json:"titles"`
}

// Line is one line of the stream: a whole view, changes to the version before, or a heartbeat
// (neither, with the version in force).
type Update struct {
	Version       uint64   `json:"v"`
	NowMs         int64    `json:"now_ms,omitempty"` // of the planner's clock when it was sent: boxes' starts count from it
	BaseVersion   uint64   `json:"base,omitempty"`   // the version that changes apply to
	Full          bool     `json:"whole,omitempty"`
	Boxes         []Box    `json:"boxes,omitempty"`
	Titles        []Title  `json:"titles,omitempty"`
	RemovedTitles []string `json:"removed_titles,omitempty"`
	Holds         *Holds   `json:"holds,omitempty"` // replaces the holds told before
}

// Holds is the room that is kept for announced peaks, and what edges should count for the planner.
// It lapses where it is not told again within its lease: lengths, not times, so that clocks may differ.
type Holds struct {
	LeaseMs       int64          `json:"lease_ms"`
	Entries       []Hold         `json:"parts,omitempty"`
	CountedTitles []CountedTitle `json:"count,omitempty"`
}

// Hold is room on a box for one title and class, as yet unused by any edge.
type Hold struct {
	Title   string  `json:"title"`
	Class   string  `json:"class"`
	Box     string  `json:"box"`
	Rate    float64 `json:"rate"` // kB/s
	Streams float64 `json:"streams"`
}

// Count names a peak's title whose arrivals and use edges report.
type CountedTitle struct {
	Peak  string `json:"peak"`
	Title string `json:"title"`
	Class string `json:"class"`
}

// Used is what an edge reports. Arrived counts up from the edge's start.
type UsageReport struct {
	Edge     string          `json:"edge"` // position.instance
	Seq      uint64          `json:"seq"`
	Usage    []TitleUsage    `json:"uses"`
	Arrivals []TitleArrivals `json:"arrived"`

	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// Outcome is what set-ups of an edge came to at a box, counted up from the edge's start. Refusals for want of room
// and set-ups that a viewer called off are neither.
type Outcome struct {
	Box    string `json:"box"`
	Served int64  `json:"served"`
	Failed int64  `json:"failed"`
}

// Use is what sessions of a peak's title take on a box.
type TitleUsage struct {
	Peak    string  `json:"peak"`
	Title   string  `json:"title"`
	Box     string  `json:"box"`
	Rate    float64 `json:"rate"` // kB/s
	Streams float64 `json:"streams"`
}

// Arrived is how many first requests came for a peak's title.
type TitleArrivals struct {
	Peak  string  `json:"peak"`
	Title string  `json:"title"`
	Count float64 `json:"n"`
}

// ErrGap says that changes do not follow on what is held; the whole view must be read.
var ErrVersionGap = errors.New("view: gap in versions")

// Decode reads a line and checks it; a line that makes no sense changes nothing.
func Decode(b []byte) (Update, error) {
	var l Update
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return l, fmt.Errorf("view: line: %w", err)
	}
	if !l.Full && l.BaseVersion == 0 && len(l.Boxes)+len(l.Titles)+len(l.RemovedTitles) > 0 {
		return l, errors.New("view: changes without base")
	}
	for _, x := range l.Boxes {
		if x.StartedMs < 0 || x.StartedMs > timeconv.MaxUnixMilli {
			return l, fmt.Errorf("view: box %q: started_ms %d makes no sense", x.ID, x.StartedMs)
		}
		if x.ID == "" || x.State != StateReady && x.State != StateDraining && x.State != StateGone || x.Cell < 0 {
			return l, fmt.Errorf("view: box %q: state %q or cell %d makes no sense", x.ID, x.State, x.Cell)
		}
	}
	if l.Holds != nil {
		if l.Holds.LeaseMs <= 0 || l.Holds.LeaseMs > timeconv.MaxDuration.Milliseconds() {
			return l, errors.New("view: holds without a lease")
		}
		for _, h := range l.Holds.Entries {
			if !(h.Rate >= 0) || !(h.Streams >= 0) || h.Box == "" || h.Title == "" {
				return l, fmt.Errorf("view: hold for %q on %q: rate %v or streams %v makes no sense", h.Title, h.Box, h.Rate, h.Streams)
			}
		}
	}
	for _, t := range l.Titles {
		if t.Name == "" || t.HomeCell < 0 || t.CellSpan < 1 {
			return l, fmt.Errorf("view: title %q: home %d or span %d makes no sense", t.Name, t.HomeCell, t.CellSpan)
		}
		if t.Listed && !slices.IsSorted(t.Holders) || !t.Listed && t.Holders != nil {
			return l, fmt.Errorf("view: title %q: holders out of order, or not listed", t.Name)
		}
		if t.LengthMs < 0 || t.LengthMs > timeconv.MaxDuration.Milliseconds() {
			return l, fmt.Errorf("view: title %q: length_ms %d makes no sense", t.Name, t.LengthMs)
		}
	}
	return l, nil
}

// Apply returns the view after a line, and whether anything changed. v is not changed.
func Apply(v View, l Update) (View, bool, error) {
	if l.Full {
		return View{l.Version, l.Boxes, l.Titles}, true, nil
	}
	if l.BaseVersion == 0 { // heartbeat
		if l.Version != v.Version {
			return v, false, ErrVersionGap
		}
		return v, false, nil
	}
	if l.BaseVersion != v.Version || l.Version <= l.BaseVersion {
		return v, false, ErrVersionGap
	}
	out := View{Version: l.Version, Boxes: slices.Clone(v.Boxes), Titles: slices.Clone(v.Titles)}
	for _, b := range l.Boxes {
		i := slices.IndexFunc(out.Boxes, func(o Box) bool { return o.ID == b.ID })
		switch {
		case b.State == StateGone && i >= 0:
			out.Boxes = slices.Delete(out.Boxes, i, i+1)
		case b.State == StateGone:
		case i >= 0:
			out.Boxes[i] = b
		default:
			out.Boxes = append(out.Boxes, b)
		}
	}
	out.Titles = slices.DeleteFunc(out.Titles, func(t Title) bool { return slices.Contains(l.RemovedTitles, t.Name) })
	for _, t := range l.Titles {
		if i := slices.IndexFunc(out.Titles, func(o Title) bool { return o.Name == t.Name }); i >= 0 {
			out.Titles[i] = t
		} else {
			out.Titles = append(out.Titles, t)
		}
	}
	out.sort()
	return out, true, nil
}

func (v *View) sort() {
	slices.SortFunc(v.Boxes, func(a, b Box) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Titles, func(a, b Title) int { return strings.Compare(a.Name, b.Name) })
}

// Diff is the line that leads from one view to a later one.
func Diff(from, to View) Update {
	l := Update{Version: to.Version, BaseVersion: from.Version}
	id := func(b Box) string { return b.ID }
	var gone []Box
	l.Boxes, gone = diffByKey(from.Boxes, to.Boxes, id, func(a, b Box) bool { return a == b })
	for _, b := range gone {
		b.State = StateGone
		l.Boxes = append(l.Boxes, b)
	}
	name := func(t Title) string { return t.Name }
	var removed []Title
	l.Titles, removed = diffByKey(from.Titles, to.Titles, name, Title.Equal)
	for _, t := range removed {
		l.RemovedTitles = append(l.RemovedTitles, t.Name)
	}
	return l
}

// changes are the entries that are new or other than before, and those that are no more.
func diffByKey[T any](from, to []T, key func(T) string, equal func(a, b T) bool) (changed, gone []T) {
	old := map[string]T{}
	for _, x := range from {
		old[key(x)] = x
	}
	for _, x := range to {
		if o, ok := old[key(x)]; !ok || !equal(o, x) {
			changed = append(changed, x)
		}
		delete(old, key(x))
	}
	for _, x := range from {
		if _, left := old[key(x)]; left {
			gone = append(gone, x)
		}
	}
	return changed, gone
}
