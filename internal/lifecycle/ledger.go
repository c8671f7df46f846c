package lifecycle

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Violation is a rule that something done for a request has broken.
type Violation int

// Violations.
const (
	SentUnpermitted  Violation = iota // a set-up was written although MaySend refuses it
	SentAfterEnd                      // a set-up was written for a request that is over or answered
	TwoAttemptsOut                    // a set-up was written while another attempt of the request was out
	RanTwice                          // a set-up that must not run twice was written after one that may have run
	AnsweredTwice                     // a request got a second final answer
	EndedUnanswered                   // a request ended without an answer, though its viewer had not left
	ReleasedForeign                   // a server was told to end what MayRelease refuses
	ClosedUnanswered                  // this side closed a connection on which requests awaited answers
	violationCount
)

var violationNames = [violationCount]string{"sent_unpermitted", "sent_after_end", "two_attempts_out", "ran_twice",
	"answered_twice", "ended_unanswered", "released_foreign", "closed_unanswered"}

func (v Violation) String() string { return violationNames[v] }

const (
	// retention is how long a set-up is remembered that may have run.
	retention = time.Minute
	// withdrawalRetention is how much later than its withdrawal a request may be read.
	withdrawalRetention = 500 * time.Millisecond
	// maxWithdrawn limits the number of withdrawn ids without a request that are remembered.
	maxWithdrawn = 1 << 10
)

// Identity identifies a set-up. The session id alone does not: another client may use it as well.
type Identity struct {
	ID      string
	Content [sha256.Size]byte // digest of what is set up
}

// entry is what is known of one set-up.
type entry struct {
	open       bool // the request is open
	atMostOnce bool
	answered   bool
	out        bool // an attempt is out at a server
	runs       int  // attempts that may have run
}

// Ledger records what was done for each request, and which set-ups must not run again. It is safe for concurrent use.
type Ledger struct {
	// Report is called for each violation, without the Ledger's lock.
	Report func(v Violation, id, detail string)

	limit int // number of set-ups that are remembered of requests that are over

	mu         sync.Mutex
	entries    map[Identity]*entry
	remembered []rememberedSetUp // set-ups of requests that are over, oldest first
	withdrawn  []withdrawnID     // ids that were withdrawn before their request was read, oldest first
	violations [violationCount]int64
}

type rememberedSetUp struct {
	id    Identity
	entry *entry
	at    time.Duration
}

// withdrawnID is an id that was withdrawn although no request is known under it. Two connections have no order: its
// request may be read later.
type withdrawnID struct {
	id string
	at time.Duration
}

// NewLedger returns an empty ledger that remembers a number of set-ups whose requests are over.
func NewLedger(limit int, report func(v Violation, id, detail string)) *Ledger {
	return &Ledger{Report: report, limit: limit, entries: map[Identity]*entry{}}
}

// Withdrawn records that an id was withdrawn under which no request is known.
func (l *Ledger) Withdrawn(id string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn = append(l.withdrawn, withdrawnID{id, now})
	l.expireWithdrawn(now)
}

func (l *Ledger) expireWithdrawn(now time.Duration) {
	for len(l.withdrawn) > 0 && (len(l.withdrawn) > maxWithdrawn || now-l.withdrawn[0].at > withdrawalRetention) {
		l.withdrawn = l.withdrawn[1:]
	}
}

// wasWithdrawn reports whether an id was withdrawn before its request was read.
func (l *Ledger) wasWithdrawn(id string, now time.Duration) bool {
	l.expireWithdrawn(now)
	return slices.ContainsFunc(l.withdrawn, func(w withdrawnID) bool { return w.id == id })
}

// Open records that a set-up was received. It refuses one that was withdrawn before it was read, and one that must not
// run twice and may have run.
func (l *Ledger) Open(id Identity, atMostOnce bool, now time.Duration) Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	e := l.entries[id]
	if e != nil && e.runs > 0 && (e.atMostOnce || atMostOnce) {
		return MayHaveRun
	}
	if l.wasWithdrawn(id.ID, now) {
		return ViewerLeft
	}
	l.entries[id] = &entry{open: true, atMostOnce: atMostOnce}
	return Permitted
}

// Sent records that a set-up was written to a server, under the facts at that moment.
func (l *Ledger) Sent(id Identity, f SendFacts) {
	l.mu.Lock()
	e := l.entries[id]
	var broken []Violation
	if MaySend(f) != Permitted {
		broken = append(broken, SentUnpermitted)
	}
	switch {
	case e == nil || !e.open || e.answered:
		broken = append(broken, SentAfterEnd)
	case e.out:
		broken = append(broken, TwoAttemptsOut)
	}
	if e != nil {
		if e.atMostOnce && e.runs > 0 {
			broken = append(broken, RanTwice)
		}
		e.out = true
		e.runs++
	}
	l.mu.Unlock()
	for _, v := range broken {
		l.Violate(v, id.ID, fmt.Sprintf("%v, %+v", MaySend(f), f))
	}
}

// AttemptEnded records that an attempt is no longer out, and whether it is certain that it never ran.
func (l *Ledger) AttemptEnded(id Identity, neverRan bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || !e.out {
		return
	}
	e.out = false
	if neverRan {
		e.runs--
	}
}

// Answered records that a request got its final answer.
func (l *Ledger) Answered(id Identity) {
	l.mu.Lock()
	e := l.entries[id]
	second := e != nil && e.answered
	if e != nil {
		e.answered = true
	}
	l.mu.Unlock()
	if second {
		l.Violate(AnsweredTwice, id.ID, "")
	}
}

// Closed records that a request is over. A set-up that may have run is remembered for a while.
func (l *Ledger) Closed(id Identity, viewerLeft bool, now time.Duration) {
	l.mu.Lock()
	e := l.entries[id]
	unanswered := e != nil && e.open && !e.answered && !viewerLeft
	if e != nil {
		e.open = false
		if e.runs > 0 && e.atMostOnce {
			l.remembered = append(l.remembered, rememberedSetUp{id, e, now})
		} else {
			delete(l.entries, id)
		}
	}
	l.expire(now)
	l.mu.Unlock()
	if unanswered {
		l.Violate(EndedUnanswered, id.ID, "")
	}
}

// expire forgets set-ups that are too old or too many.
func (l *Ledger) expire(now time.Duration) {
	for len(l.remembered) > 0 && (len(l.remembered) > l.limit || now-l.remembered[0].at > retention) {
		r := l.remembered[0]
		l.remembered[0] = rememberedSetUp{}
		l.remembered = l.remembered[1:]
		if l.entries[r.id] == r.entry {
			delete(l.entries, r.id)
		}
	}
}

// Violate counts and reports a violation.
func (l *Ledger) Violate(v Violation, id, detail string) {
	l.mu.Lock()
	l.violations[v]++
	l.mu.Unlock()
	l.Report(v, id, detail)
}

// Violations returns the number of violations by kind.
func (l *Ledger) Violations() map[Violation]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[Violation]int64{}
	for v, n := range l.violations {
		counts[Violation(v)] = n
	}
	return counts
}
