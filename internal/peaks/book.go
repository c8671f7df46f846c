// Package peaks decides what room to hold ahead of announced hours: it keeps the announcements, follows
// what arrives of them, and works out how much of which box is held. It does no I/O and reads no clock.
package peaks

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"rainpulley/internal/timeconv"
)

// Announcement is an hour that was announced. Times are Unix milliseconds, lengths milliseconds.
type Announcement struct {
	ID        string   `json:"id"`
	Version   uint64   `json:"version"` // a higher one replaces; the same again changes nothing
	Titles    []string `json:"titles"`
	Class     string   `json:"class"`
	Zone      string   `json:"zone,omitempty"`         // of the viewers; "" all
	Start     int64    `json:"start_ms"`               // when they begin to come
	Uncertain int64    `json:"uncertain_ms,omitempty"` // so much earlier or later
	Rate      float64  `json:"rate"`                   // new sessions a second, at all titles together
	Length    int64    `json:"length_ms"`              // how long they keep coming
	Session   int64    `json:"session_ms,omitempty"`   // how long each plays; 0: the title's length
	Worth     float64  `json:"worth,omitempty"`        // of a second at a rung of worth 1; 0: the class's
	Cancelled bool     `json:"cancelled,omitempty"`
}

// Bounds of an announcement.
const (
	mostPeaks     = 1000
	mostTitles    = 1000
	mostRate      = 100000
	longestMs     = 24 * 3600 * 1000
	mostUncertain = 3600 * 1000
	furthestMs    = 366 * 24 * 3600 * 1000
)

// Known are the names that an announcement may use.
type Known struct {
	Classes, Zones []string
	Titles         map[string]bool
}

// FieldError names the field at fault.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return "peak: " + e.Field + ": " + e.Why }

func fault(field, format string, a ...any) error {
	return &FieldError{field, fmt.Sprintf(format, a...)}
}

// Check finds what cannot be in an announcement. now is Unix milliseconds.
func (a *Announcement) Check(k Known, now int64) error {
	switch {
	case a.ID == "" || len(a.ID) > 64 || strings.ContainsFunc(a.ID, func(r rune) bool { return r <= ' ' || r == '/' || r > '~' }):
		return fault("id", "%q: 1 to 64 printable characters without blanks and slashes", a.ID)
	case a.Version == 0:
		return fault("version", "must be above 0")
	case a.Cancelled:
		return nil
	case len(a.Titles) == 0 || len(a.Titles) > mostTitles:
		return fault("titles", "%d: 1 to %d", len(a.Titles), mostTitles)
	case !slices.Contains(k.Classes, a.Class):
		return fault("class", "%q is not known", a.Class)
	case a.Zone != "" && !slices.Contains(k.Zones, a.Zone):
		return fault("zone", "%q is not known", a.Zone)
	case !(a.Rate > 0) || a.Rate > mostRate:
		return fault("rate", "%v: above 0, %d at most", a.Rate, mostRate)
	case a.Length <= 0 || a.Length > longestMs:
		return fault("length_ms", "%d: above 0, a day at most", a.Length)
	case a.Session < 0 || a.Session > longestMs:
		return fault("session_ms", "%d: 0 to a day", a.Session)
	case a.Uncertain < 0 || a.Uncertain > mostUncertain:
		return fault("uncertain_ms", "%d: 0 to an hour", a.Uncertain)
	case a.Worth < 0 || math.IsNaN(a.Worth) || a.Worth > 1e6:
		return fault("worth", "%v: 0 to 1e6", a.Worth)
	case a.Start <= 0 || a.Start > now+furthestMs:
		return fault("start_ms", "%d: within a year", a.Start)
	case a.Start+a.Length+a.Uncertain <= now:
		return fault("start_ms", "%d: the peak is past", a.Start)
	}
	for i, t := range a.Titles {
		if !k.Titles[t] {
			return fault(fmt.Sprintf("titles[%d]", i), "%q is not known", t)
		}
		if slices.Contains(a.Titles[:i], t) {
			return fault(fmt.Sprintf("titles[%d]", i), "%q stands twice", t)
		}
	}
	return nil
}

// Book keeps announcements by id. A cancelled one stays, so that an older version cannot bring it back.
type Book struct{ byID map[string]*Announcement }

// NewBook is empty.
func NewBook() *Book { return &Book{byID: map[string]*Announcement{}} }

// Announce takes an announcement, a change or a cancellation. changed is false where it says nothing new.
func (b *Book) Announce(a Announcement, k Known, now int64) (changed bool, err error) {
	if err := a.Check(k, now); err != nil {
		return false, err
	}
	old := b.byID[a.ID]
	switch {
	case old == nil && len(b.byID) >= mostPeaks:
		return false, fault("id", "%d peaks are announced already", mostPeaks)
	case old != nil && a.Version < old.Version:
		return false, nil
	case old != nil && a.Version == old.Version:
		if !old.same(&a) {
			return false, fault("version", "%d of %s was announced with another content", a.Version, a.ID)
		}
		return false, nil
	}
	a.Titles = slices.Clone(a.Titles)
	b.byID[a.ID] = &a
	return true, nil
}

func (a *Announcement) same(b *Announcement) bool {
	x, y := *a, *b
	x.Titles, y.Titles = nil, nil
	return fmt.Sprint(x) == fmt.Sprint(y) && slices.Equal(a.Titles, b.Titles)
}

// List is all of it, by id.
func (b *Book) List() []Announcement {
	out := make([]Announcement, 0, len(b.byID))
	for _, a := range b.byID {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(x, y Announcement) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Get is one announcement.
func (b *Book) Get(id string) (Announcement, bool) {
	a := b.byID[id]
	if a == nil {
		return Announcement{}, false
	}
	return *a, true
}

// Forget drops what has been over for a day.
func (b *Book) Forget(now int64) {
	for id, a := range b.byID {
		if a.Start+a.Length+a.Uncertain < now-longestMs {
			delete(b.byID, id)
		}
	}
}

func ms(n int64) time.Duration { return timeconv.Milliseconds(n) }
