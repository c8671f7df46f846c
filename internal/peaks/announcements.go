// Package peaks decides what capacity to hold for announced peaks: it stores the announcements, follows the arrivals of
// each peak, and plans how much capacity of each box is held. It does no I/O and reads no clock.
package peaks

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"rainpulley/internal/timeconv"
)

// Announcement announces a peak. Times are Unix milliseconds, durations milliseconds.
type Announcement struct {
	ID              string   `json:"id"`
	Version         uint64   `json:"version"` // a higher one replaces the announcement; a repeated one changes nothing
	Titles          []string `json:"titles"`
	Class           string   `json:"class"`
	Zone            string   `json:"zone,omitempty"`         // zone of the viewers; empty: all zones
	Start           int64    `json:"start_ms"`               // when the viewers start to arrive
	Uncertainty     int64    `json:"uncertain_ms,omitempty"` // the start may be this much earlier or later
	Rate            float64  `json:"rate"`                   // new sessions per second for all titles together
	Duration        int64    `json:"length_ms"`              // how long viewers keep arriving
	SessionDuration int64    `json:"session_ms,omitempty"`   // how long each session plays; 0: the title's length
	Worth           float64  `json:"worth,omitempty"`        // per second at a rung of worth 1; 0: the worth of the class
	Cancelled       bool     `json:"cancelled,omitempty"`
}

// Limits of an announcement.
const (
	maxPeaks         = 1000
	maxTitles        = 1000
	maxRate          = 100000
	maxDurationMs    = 24 * 3600 * 1000
	maxUncertaintyMs = 3600 * 1000
	maxLeadMs        = 366 * 24 * 3600 * 1000
)

// KnownNames lists the names that an announcement may use.
type KnownNames struct {
	Classes, Zones []string
	Titles         map[string]bool
}

// FieldError reports the field of an announcement that is invalid.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return "peak: " + e.Field + ": " + e.Reason }

// newFieldError returns a FieldError with a formatted reason.
func newFieldError(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Validate returns a FieldError for the first invalid field of the announcement. now is Unix milliseconds.
func (a *Announcement) Validate(known KnownNames, now int64) error {
	switch {
	case a.ID == "" || len(a.ID) > 64 ||
		strings.ContainsFunc(a.ID, func(r rune) bool { return r <= ' ' || r == '/' || r > '~' }):
		return newFieldError("id", "%q: 1 to 64 printable characters without blanks and slashes", a.ID)
	case a.Version == 0:
		return newFieldError("version", "must be above 0")
	case a.Cancelled:
		return nil
	case len(a.Titles) == 0 || len(a.Titles) > maxTitles:
		return newFieldError("titles", "%d: 1 to %d", len(a.Titles), maxTitles)
	case !slices.Contains(known.Classes, a.Class):
		return newFieldError("class", "%q is not known", a.Class)
	case a.Zone != "" && !slices.Contains(known.Zones, a.Zone):
		return newFieldError("zone", "%q is not known", a.Zone)
	case !(a.Rate > 0) || a.Rate > maxRate:
		return newFieldError("rate", "%v: above 0, %d at most", a.Rate, maxRate)
	case a.Duration <= 0 || a.Duration > maxDurationMs:
		return newFieldError("length_ms", "%d: above 0, a day at most", a.Duration)
	case a.SessionDuration < 0 || a.SessionDuration > maxDurationMs:
		return newFieldError("session_ms", "%d: 0 to a day", a.SessionDuration)
	case a.Uncertainty < 0 || a.Uncertainty > maxUncertaintyMs:
		return newFieldError("uncertain_ms", "%d: 0 to an hour", a.Uncertainty)
	case a.Worth < 0 || math.IsNaN(a.Worth) || a.Worth > 1e6:
		return newFieldError("worth", "%v: 0 to 1e6", a.Worth)
	case a.Start <= 0 || a.Start > now+maxLeadMs:
		return newFieldError("start_ms", "%d: within a year", a.Start)
	case a.Start+a.Duration+a.Uncertainty <= now:
		return newFieldError("start_ms", "%d: the peak is past", a.Start)
	}
	for i, t := range a.Titles {
		if !known.Titles[t] {
			return newFieldError(fmt.Sprintf("titles[%d]", i), "%q is not known", t)
		}
		if slices.Contains(a.Titles[:i], t) {
			return newFieldError(fmt.Sprintf("titles[%d]", i), "%q stands twice", t)
		}
	}
	return nil
}

// AnnouncementStore holds the announcements by ID. A cancelled one is kept, so that an older version cannot restore it.
type AnnouncementStore struct{ byID map[string]*Announcement }

// NewAnnouncementStore returns an empty store.
func NewAnnouncementStore() *AnnouncementStore {
	return &AnnouncementStore{byID: map[string]*Announcement{}}
}

// Announce stores an announcement, a change or a cancellation. changed is false if the version is not newer than the
// stored one.
func (s *AnnouncementStore) Announce(a Announcement, known KnownNames, now int64) (changed bool, err error) {
	if err := a.Validate(known, now); err != nil {
		return false, err
	}
	previous := s.byID[a.ID]
	switch {
	case previous == nil && len(s.byID) >= maxPeaks:
		return false, newFieldError("id", "%d peaks are announced already", maxPeaks)
	case previous != nil && a.Version < previous.Version:
		return false, nil
	case previous != nil && a.Version == previous.Version:
		if !previous.equal(&a) {
			return false, newFieldError("version", "%d of %s was announced with another content", a.Version, a.ID)
		}
		return false, nil
	}
	a.Titles = slices.Clone(a.Titles)
	s.byID[a.ID] = &a
	return true, nil
}

// equal reports whether two announcements have the same content.
func (a *Announcement) equal(b *Announcement) bool {
	x, y := *a, *b
	x.Titles, y.Titles = nil, nil
	return fmt.Sprint(x) == fmt.Sprint(y) && slices.Equal(a.Titles, b.Titles)
}

// List returns all announcements, sorted by ID.
func (s *AnnouncementStore) List() []Announcement {
	out := make([]Announcement, 0, len(s.byID))
	for _, a := range s.byID {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(x, y Announcement) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Get returns the announcement with an ID.
func (s *AnnouncementStore) Get(id string) (Announcement, bool) {
	a := s.byID[id]
	if a == nil {
		return Announcement{}, false
	}
	return *a, true
}

// RemoveExpired removes the announcements whose peak has been over for a day.
func (s *AnnouncementStore) RemoveExpired(now int64) {
	for id, a := range s.byID {
		if a.Start+a.Duration+a.Uncertainty < now-maxDurationMs {
			delete(s.byID, id)
		}
	}
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(n int64) time.Duration { return timeconv.Milliseconds(n) }
