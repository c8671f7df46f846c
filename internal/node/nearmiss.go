package node

import (
	"log/slog"
	"sync/atomic"
)

// nearMissCounters counts events in which a request or a release was, or nearly was, lost or late. All counters stay
// zero while no resource is short and all viewers keep to the protocol.
type nearMissCounters struct {
	answersUnsent    atomic.Int64 // answers whose connection had ended, though the viewer was not known to have left
	closedUnanswered atomic.Int64 // requests open on connections that this node closed
	leftUnanswered   atomic.Int64 // requests open on connections ended by their viewers or the network
	halfClosed       atomic.Int64 // connections half-closed by their viewers with requests open
	repeatsElsewhere atomic.Int64 // set-ups with an id that is in use on another connection
	resumed          atomic.Int64 // set-ups sent again on another connection
	sentAfterClose   atomic.Int64 // attempts that began although their viewer's close had arrived, read or not
	sendsDelayed     atomic.Int64 // attempts that waited until what their viewer had sent was handled
	adoptionsRefused atomic.Int64 // sessions not taken over because there were too many
	memoryRefused    atomic.Int64 // set-ups refused because viewers' messages take too much memory
	messagesRefused  atomic.Int64 // messages that could not be parsed or were not completed in time
	viewersRefused   atomic.Int64 // connections closed right after accept, without reading
	viewersDelayed   atomic.Int64 // failed evictions: all connections awaited answers
	lateAnswers      atomic.Int64 // answers in the last tenth of their time limit, or after it
	viewersClosed    atomic.Int64 // connections evicted in favour of new ones
	placesMissing    atomic.Int64 // set-ups for which the connection limit left no slot
	checksDeferred   atomic.Int64 // checks of servers with sessions postponed for lack of a slot
	noticesResent    atomic.Int64 // notices to viewers whose connection ended before the confirmation
	noticesLate      atomic.Int64 // notices sent more than a second after their session's end
	noticesExpired   atomic.Int64 // notices never sent
	releasesExpired  atomic.Int64 // releases to servers, never sent
	endsDropped      atomic.Int64 // reported ends of sessions not known yet, over the limit
	localErrors      atomic.Int64 // system call errors that are no evidence against a peer
	pauses           atomic.Int64 // pauses of the whole process
	clockSteps       atomic.Int64 // steps of the wall clock
}

// namedCounter is one counter and its name in logs.
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
		{"sent_after_close", &m.sentAfterClose},
		{"sends_delayed", &m.sendsDelayed},
		{"adoptions_refused", &m.adoptionsRefused},
		{"memory_refused", &m.memoryRefused},
		{"messages_refused", &m.messagesRefused},
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

// LogValue returns the counters as a group, so that they can be logged as one attribute.
func (m *nearMissCounters) LogValue() slog.Value {
	var values []slog.Attr
	for _, c := range m.counters() {
		values = append(values, slog.Int64(c.name, c.count.Load()))
	}
	return slog.GroupValue(values...)
}

// total returns the sum of all counters.
func (m *nearMissCounters) total() (sum int64) {
	for _, c := range m.counters() {
		sum += c.count.Load()
	}
	return sum
}
