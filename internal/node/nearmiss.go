package node

import (
	"log/slog"
	"sync/atomic"
)

// nearMisses counts what came close to a request or a release that is lost or late. All of them are zero on a day on
// which nothing was short.
type nearMissCounters struct {
	answersUnsent    atomic.Int64 // their connection was over, and no viewer was known to have left
	closedUnanswered atomic.Int64 // requests open on connections that this side closed
	leftUnanswered   atomic.Int64 // requests open on connections that their viewers or the network ended
	halfClosed       atomic.Int64 // connections that their viewers shut down in one direction, with requests open
	repeatsElsewhere atomic.Int64 // set-ups under an id that is open on another connection
	resumed          atomic.Int64 // set-ups that came again on another connection
	viewersRefused   atomic.Int64 // connections accepted and closed unread
	viewersDelayed   atomic.Int64 // tries to make room in vain: all connections waited for answers
	lateAnswers      atomic.Int64 // in the last tenth of their time, or after it
	viewersClosed    atomic.Int64 // connections closed to make room for others
	placesMissing    atomic.Int64 // set-ups without a descriptor for their connection
	checksDeferred   atomic.Int64 // checks of a server with sessions that had to wait for a descriptor
	noticesResent    atomic.Int64 // to viewers, as their connection ended before they were confirmed
	noticesLate      atomic.Int64 // sent more than a second after the end of their session
	noticesExpired   atomic.Int64 // never sent
	releasesExpired  atomic.Int64 // to servers, never sent
	endsDropped      atomic.Int64 // of sessions that were not known yet
	localErrors      atomic.Int64 // of system calls, that say nothing of a peer
	pauses           atomic.Int64 // of the whole process
	clockSteps       atomic.Int64 // of the wall clock
}

// nearMissCounter is one counter and its name in logs.
type namedCounter struct {
	name  string
	count *atomic.Int64
}

func (m *nearMissCounters) counters() []namedCounter {
	return []namedCounter{
		{"answers_unsent", &m.answersUnsent},
		{"closed_unanswered", &m.closedUnanswered},
		{"left_unanswered", &m.leftUnanswered},
		{"half_closed", &m.halfClosed},
		{"repeats_elsewhere", &m.repeatsElsewhere},
		{"resumed", &m.resumed},
		{"viewers_refused", &m.viewersRefused},
		{"viewers_delayed", &m.viewersDelayed},
		{"late_answers", &m.lateAnswers},
		{"viewers_closed", &m.viewersClosed},
		{"places_missing", &m.placesMissing},
		{"checks_deferred", &m.checksDeferred},
		{"notices_resent", &m.noticesResent},
		{"notices_late", &m.noticesLate},
		{"notices_expired", &m.noticesExpired},
		{"releases_expired", &m.releasesExpired},
		{"ends_dropped", &m.endsDropped},
		{"local_errors", &m.localErrors},
		{"pauses", &m.pauses},
		{"clock_steps", &m.clockSteps},
	}
}

// LogValue lists the counters.
func (m *nearMissCounters) LogValue() slog.Value {
	var values []slog.Attr
	for _, c := range m.counters() {
		values = append(values, slog.Int64(c.name, c.count.Load()))
	}
	return slog.GroupValue(values...)
}

// sum changes with every near miss.
func (m *nearMissCounters) total() (sum int64) {
	for _, c := range m.counters() {
		sum += c.count.Load()
	}
	return sum
}
