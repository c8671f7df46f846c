// Package peaks decides what capacity to hold for announced peaks: it stores the announcements, follows the arrivals of
// each peak, and plans how much capacity of each box is held. It does no I/O and reads no clock.
package peaks

import (
	"fmt"
	"maps"
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
	maxVersion       = 1 << 53 // the largest range of whole numbers that all JSON decoders keep
	retentionMs      = 24 * 3600 * 1000
)

// KnownNames lists the names that an announcement may use.
type KnownNames struct {
	Classes, Zones []string
	Titles         map[string]bool
}

// FieldError reports the field of an announcement that is invalid. UnknownName is true where the field names a title, a
// class or a zone that is not known; it may become known later.
type FieldError struct {
	Field, Reason string
	UnknownName   bool
}

func (e *FieldError) Error() string { return "peak: " + e.Field + ": " + e.Reason }

// newFieldError returns a FieldError with a formatted reason.
func newFieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// newUnknownNameError returns a FieldError for a name that is not known.
func newUnknownNameError(field, name string) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf("%q is not known", name), UnknownName: true}
}

// Validate returns a FieldError for the first invalid field of an announcement that arrives at now, in Unix
// milliseconds. It must not be applied to an announcement that was accepted before: whether one is accepted depends on
// the time and on the names that are known when it arrives.
func (a *Announcement) Validate(known KnownNames, now int64) error {
	if err := a.validateIdentity(); err != nil {
		return err
	}
	if a.Cancelled {
		return a.validateCancellation(now)
	}
	if err := a.validateValues(now); err != nil {
		return err
	}
	return a.ValidateNames(known)
}

// validateIdentity checks the ID and the version.
func (a *Announcement) validateIdentity() error {
	if a.ID == "" || len(a.ID) > 64 ||
		strings.ContainsFunc(a.ID, func(r rune) bool { return r <= ' ' || r == '/' || r > '~' }) {
		return newFieldError("id", "%q: 1 to 64 printable characters without blanks and slashes", a.ID)
	}
	if a.Version == 0 || a.Version > maxVersion {
		return newFieldError("version", "%d: must be above 0, %d at most", a.Version, uint64(maxVersion))
	}
	return nil
}

// validateCancellation checks the fields of a cancellation, which may be left out.
func (a *Announcement) validateCancellation(now int64) error {
	switch {
	case len(a.Titles) > maxTitles:
		return newFieldError("titles", "%d: %d at most", len(a.Titles), maxTitles)
	case a.Start < 0 || a.Start > now+maxLeadMs:
		return newFieldError("start_ms", "%d: within a year", a.Start)
	case a.Duration < 0 || a.Duration > maxDurationMs:
		return newFieldError("length_ms", "%d: a day at most", a.Duration)
	case a.Uncertainty < 0 || a.Uncertainty > maxUncertaintyMs:
		return newFieldError("uncertain_ms", "%d: 0 to an hour", a.Uncertainty)
	}
	return nil
}

// validateValues checks the numbers and the list of titles.
func (a *Announcement) validateValues(now int64) error {
	switch {
	case len(a.Titles) == 0 || len(a.Titles) > maxTitles:
		return newFieldError("titles", "%d: 1 to %d", len(a.Titles), maxTitles)
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
	case a.IsPast(now):
		return newFieldError("start_ms", "%d: the peak is past", a.Start)
	}
	for i, t := range a.Titles {
		if slices.Contains(a.Titles[:i], t) {
			return newFieldError(fmt.Sprintf("titles[%d]", i), "%q stands twice", t)
		}
	}
	return nil
}

// ValidateNames returns a FieldError for the first class, zone or title that is not known.
func (a *Announcement) ValidateNames(known KnownNames) error {
	if !slices.Contains(known.Classes, a.Class) {
		return newUnknownNameError("class", a.Class)
	}
	if a.Zone != "" && !slices.Contains(known.Zones, a.Zone) {
		return newUnknownNameError("zone", a.Zone)
	}
	for i, t := range a.Titles {
		if !known.Titles[t] {
			return newUnknownNameError(fmt.Sprintf("titles[%d]", i), t)
		}
	}
	return nil
}

// end returns the latest time at which viewers arrive.
func (a *Announcement) end() int64 { return a.Start + a.Duration + a.Uncertainty }

// IsPast reports whether a peak that is not cancelled is over: its last viewers have arrived.
func (a *Announcement) IsPast(now int64) bool { return !a.Cancelled && a.Start > 0 && a.end() <= now }

// Record is an accepted announcement, as it is stored.
type Record struct {
	Announcement
	KeepUntil int64 `json:"keep_until_ms,omitempty"` // Unix milliseconds; it is forgotten afterwards
}

// AnnouncementStore holds the accepted announcements by ID, whether or not the names in them are known at the moment. A
// cancelled one is kept, so that an older version cannot restore it.
type AnnouncementStore struct{ byID map[string]Record }

// NewAnnouncementStore returns an empty store.
func NewAnnouncementStore() *AnnouncementStore { return &AnnouncementStore{byID: map[string]Record{}} }

// Clone returns a copy, so that a change can be written to disk before it takes effect.
func (s *AnnouncementStore) Clone() *AnnouncementStore {
	return &AnnouncementStore{byID: maps.Clone(s.byID)}
}

// Announce stores an announcement, a change or a cancellation. changed is false if the version is not newer than the
// stored one; that does not depend on the time or on the names that are known, since the sender may only have missed
// the response.
func (s *AnnouncementStore) Announce(a Announcement, known KnownNames, now int64) (changed bool, err error) {
	if err := a.validateIdentity(); err != nil {
		return false, err
	}
	previous, exists := s.byID[a.ID]
	switch {
	case exists && a.Version < previous.Version:
		return false, nil
	case exists && a.Version == previous.Version:
		if !previous.equal(&a) {
			return false, newFieldError("version", "%d of %s was announced with another content", a.Version, a.ID)
		}
		return false, nil
	}
	if err := a.Validate(known, now); err != nil {
		return false, err
	}
	if !exists && len(s.byID) >= maxPeaks {
		return false, newFieldError("id", "%d peaks are announced already", maxPeaks)
	}
	a.Titles = slices.Clone(a.Titles)
	s.byID[a.ID] = Record{Announcement: a, KeepUntil: max(previous.KeepUntil, a.keepUntil(now))}
	return true, nil
}

// keepUntil returns when an announcement accepted at now may be forgotten. A cancellation may come without a start.
func (a *Announcement) keepUntil(now int64) int64 {
	if a.Cancelled {
		return max(a.end(), now) + retentionMs
	}
	return a.end() + retentionMs
}

// Restore adds the records that an earlier process stored, as they are: they were accepted then. A record that is not
// newer than the one in the store is ignored.
func (s *AnnouncementStore) Restore(records []Record, now int64) {
	for _, r := range records {
		if previous, exists := s.byID[r.ID]; exists && previous.Version >= r.Version {
			continue
		}
		if r.KeepUntil == 0 { // written by an earlier release
			r.KeepUntil = r.keepUntil(now)
		}
		s.byID[r.ID] = r
	}
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
	for _, r := range s.Records() {
		out = append(out, r.Announcement)
	}
	return out
}

// Records returns what must be stored to restore the announcements, sorted by ID.
func (s *AnnouncementStore) Records() []Record {
	return slices.SortedFunc(maps.Values(s.byID), func(x, y Record) int { return strings.Compare(x.ID, y.ID) })
}

// Get returns the announcement with an ID.
func (s *AnnouncementStore) Get(id string) (Announcement, bool) {
	r, exists := s.byID[id]
	return r.Announcement, exists
}

// RemoveExpired removes the announcements whose time to be kept is over, and returns them.
func (s *AnnouncementStore) RemoveExpired(now int64) (removed []Announcement) {
	for _, r := range s.Records() {
		if r.KeepUntil < now {
			removed = append(removed, r.Announcement)
			delete(s.byID, r.ID)
		}
	}
	return removed
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(n int64) time.Duration { return timeconv.Milliseconds(n) }
