package node

import (
	"log/slog"
	"sync/atomic"
)

// nearMisses counts what came close to a request or a release that is lost or late. All of them are zero on a day on
// which nothing was short.
type nearMisses struct {
	lateAnswers     atomic.Int64 // in the last tenth of their time, or after it
	viewersClosed   atomic.Int64 // connections closed to make room for others
	placesMissing   atomic.Int64 // set-ups without a descriptor for their connection
	checksDeferred  atomic.Int64 // looks at a server with sessions that had to wait for a descriptor
	noticesResent   atomic.Int64 // to viewers, as their connection ended before they were confirmed
	noticesLate     atomic.Int64 // sent more than a second after the end of their session
	noticesExpired  atomic.Int64 // never sent
	releasesExpired atomic.Int64 // to servers, never sent
	endsDropped     atomic.Int64 // of sessions that were not known yet
}

// LogValue lists the counters.
func (m *nearMisses) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("late_answers", m.lateAnswers.Load()),
		slog.Int64("viewers_closed", m.viewersClosed.Load()),
		slog.Int64("places_missing", m.placesMissing.Load()),
		slog.Int64("checks_deferred", m.checksDeferred.Load()),
		slog.Int64("notices_resent", m.noticesResent.Load()),
		slog.Int64("notices_late", m.noticesLate.Load()),
		slog.Int64("notices_expired", m.noticesExpired.Load()),
		slog.Int64("releases_expired", m.releasesExpired.Load()),
		slog.Int64("ends_dropped", m.endsDropped.Load()))
}
