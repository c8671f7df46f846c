package planner

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/peaks"
)

// knownNames returns the zones, classes and titles that an announcement may refer to. p.mu is held.
func (p *Planner) knownNames() peaks.KnownNames {
	known := peaks.KnownNames{Zones: p.Site.Zones, Titles: map[string]bool{}}
	for _, c := range p.Site.Classes {
		known.Classes = append(known.Classes, c.Name)
	}
	for name := range p.monitor.titles {
		known.Titles[name] = true
	}
	return known
}

// notReadyError reports that a request names something that is not known while the sources of the fleet have not
// reported yet: it may be known a moment later.
type notReadyError struct{ cause error }

func (e *notReadyError) Error() string {
	return e.cause.Error() + " yet: the sources of the fleet have not reported"
}
func (e *notReadyError) Unwrap() error { return e.cause }

// announce adds one announcement and stores all announcements on disk before it takes effect. It reports whether the
// announcements changed.
func (p *Planner) announce(a peaks.Announcement) (bool, error) {
	return p.changeAnnouncements(func(next *peaks.AnnouncementStore, now int64) (bool, error) {
		return next.Announce(a, p.knownNames(), now)
	})
}

// changeAnnouncements applies a change to a copy of the announcements, and replaces them by the copy once that is on
// disk. The disk is written to without p.mu, so that a slow one does not delay the view. change is called with p.mu
// held.
func (p *Planner) changeAnnouncements(change func(*peaks.AnnouncementStore, int64) (bool, error)) (bool, error) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	p.mu.Lock()
	next := p.peakState.announcements.Clone()
	changed, err := change(next, time.Now().UnixMilli())
	sourcesHeard := p.sourcesHeard()
	p.mu.Unlock()
	var invalid *peaks.FieldError
	if errors.As(err, &invalid) && invalid.UnknownName && !sourcesHeard {
		return false, &notReadyError{err}
	}
	if err != nil || !changed {
		return false, err
	}
	if err := p.storeState(announcementsFile, next.Records()); err != nil {
		return false, err
	}
	p.mu.Lock()
	p.peakState.announcements = next
	p.mu.Unlock()
	return true, nil
}

// loadAnnouncements restores the announcements that an earlier process accepted, as they are: their names may come from
// sources that are not read yet.
func (p *Planner) loadAnnouncements() {
	var records []peaks.Record
	if !p.loadState(announcementsFile, &records) {
		return
	}
	p.peakState.announcements.Restore(records, time.Now().UnixMilli())
	for _, a := range p.peakState.announcements.List() {
		p.Log.Info("announcement restored", "id", a.ID, "version", a.Version, "cancelled", a.Cancelled)
	}
}

// pendingAnnouncements returns, by ID, why announcements are not planned for at the moment: the reason names what is
// not known. p.mu is held.
func (p *Planner) pendingAnnouncements(known peaks.KnownNames) map[string]string {
	pending := map[string]string{}
	for _, a := range p.peakState.announcements.List() {
		if a.Cancelled {
			continue
		}
		if err := a.ValidateNames(known); err != nil {
			pending[a.ID] = err.Error()
		}
	}
	return pending
}

func (p *Planner) handlePutPeak(w http.ResponseWriter, r *http.Request) {
	var a peaks.Announcement
	err := readJSON(w, r, &a)
	if err == nil && a.ID != r.PathValue("id") {
		err = &peaks.FieldError{Field: "id", Reason: "differs from the path's"}
	}
	changed := false
	if err == nil {
		changed, err = p.announce(a)
	}
	if changed {
		p.Log.Info("peak announcement accepted", "id", a.ID, "version", a.Version, "cancelled", a.Cancelled,
			"start_ms", a.Start, "rate", a.Rate)
	}
	p.writePeakResult(w, changed, err)
}

func (p *Planner) writePeakResult(w http.ResponseWriter, changed bool, err error) {
	switch {
	case err != nil:
		writeChangeError(w, err)
	case changed:
		w.WriteHeader(http.StatusCreated)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// writeChangeError answers a request for a change that has no effect. If the planner is the cause, the same request may
// succeed later.
func writeChangeError(w http.ResponseWriter, err error) {
	var notStored *storeError
	var notReady *notReadyError
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &notStored) || errors.As(err, &notReady):
		w.Header().Set("Retry-After", "1")
		status = http.StatusServiceUnavailable
	case errors.Is(err, errUnknownBox):
		status = http.StatusNotFound
	}
	http.Error(w, err.Error(), status)
}

// handleCancelPeak cancels a peak by announcing its next version as cancelled.
func (p *Planner) handleCancelPeak(w http.ResponseWriter, r *http.Request) {
	id, exists := r.PathValue("id"), false
	changed, err := p.changeAnnouncements(func(next *peaks.AnnouncementStore, now int64) (bool, error) {
		var a peaks.Announcement
		if a, exists = next.Get(id); !exists || a.Cancelled {
			return false, nil
		}
		a.Version, a.Cancelled = a.Version+1, true
		return next.Announce(a, p.knownNames(), now)
	})
	if !exists {
		http.Error(w, "no such peak", http.StatusNotFound)
		return
	}
	if changed {
		p.Log.Info("peak cancelled", "id", id)
	}
	p.writePeakResult(w, changed, err)
}

// readAnnouncementFiles announces the peaks of the Jsonnet files in the announcement folder. A file is read when its
// modification time changes, and again as long as it fails for a reason that may pass: a name that is not known, or a
// state folder that cannot be written. A file with any invalid announcement is rejected as a whole.
func (p *Planner) readAnnouncementFiles() {
	if p.Announcements == "" {
		return
	}
	state := &p.peakState
	names, _ := filepath.Glob(filepath.Join(p.Announcements, "*.jsonnet"))
	slices.Sort(names)
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil || info.ModTime().Equal(state.fileReadTimes[name]) {
			continue
		}
		err = p.readAnnouncementFile(name)
		if err == nil || !mayPass(err) {
			state.fileReadTimes[name] = info.ModTime()
		}
		if err == nil {
			delete(state.fileErrors, name)
		} else if reason := err.Error(); reason != state.fileErrors[name] || !mayPass(err) {
			state.fileErrors[name] = reason
			p.Log.Error("announcement file rejected", "file", name, "read_again", mayPass(err), "error", err)
		}
	}
}

// mayPass reports whether announcements that were rejected may be accepted later, as they are.
func mayPass(err error) bool {
	var notStored *storeError
	var invalid *peaks.FieldError
	return errors.As(err, &notStored) || errors.As(err, &invalid) && invalid.UnknownName
}

// readAnnouncementFile announces the peaks of one file. All of them are checked before the first one is announced. A
// peak that is past is left out, since a file keeps those that are over.
func (p *Planner) readAnnouncementFile(name string) error {
	list, err := ReadAnnouncements(name)
	if err != nil {
		return err
	}
	_, err = p.changeAnnouncements(func(next *peaks.AnnouncementStore, now int64) (changed bool, err error) {
		known := p.knownNames()
		for i, a := range list {
			if a.IsPast(now) {
				continue
			}
			accepted, err := next.Announce(a, known, now)
			if err != nil {
				return false, fmt.Errorf("[%d]: %w", i, err)
			}
			changed = changed || accepted
		}
		return changed, nil
	})
	return err
}

// ReadAnnouncements reads the announcements of a Jsonnet file, which is an object with a list under "peaks".
func ReadAnnouncements(name string) ([]peaks.Announcement, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("planner: %w", err)
	}
	var file struct {
		Peaks []peaks.Announcement `json:"peaks"`
	}
	if strings.TrimSpace(string(text)) == "" {
		return nil, fmt.Errorf("planner: %s is empty", name)
	}
	err = config.Evaluate(name, string(text), map[string]string{"now_ms": fmt.Sprint(time.Now().UnixMilli())}, &file)
	return file.Peaks, err
}
