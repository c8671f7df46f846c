package audit

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"rainpulley/internal/config"
)

// Breach is one violation of a rule.
type Breach struct {
	Rule       string `json:"rule"`
	TimeMicros int64  `json:"t"`
	Box        string `json:"box,omitempty"`
	Session    string `json:"session,omitempty"`
	Reason     string `json:"why"`
}

// Verdict is the result of checking a run against the rules.
type Verdict struct {
	Checks              map[string]int `json:"checks"` // number of checks by rule
	Breaches            []Breach       `json:"breaches"`
	OverlappingAttempts int            `json:"overlapping_attempts"`
	DuplicateOutcomes   int            `json:"double_outcomes"`
}

// Names of the rules.
const (
	NoSessionLost          = "no session lost"
	NoDuplicateSetUp       = "no set-up twice"
	DrainsRespected        = "drains kept"
	ColdBoxesProtected     = "no cold box pushed over"
	ClassTermsRespected    = "terms kept"
	AttemptBudgetRespected = "attempt budget kept"
)

// Rules returns the names of all rules in a fixed order.
func Rules() []string {
	return []string{NoSessionLost, NoDuplicateSetUp, DrainsRespected, ColdBoxesProtected, ClassTermsRespected,
		AttemptBudgetRespected}
}

// BrokenRules returns the names of the rules with breaches, in the order of Rules.
func (v *Verdict) BrokenRules() []string {
	out := []string{}
	for _, r := range Rules() {
		if slices.ContainsFunc(v.Breaches, func(b Breach) bool { return b.Rule == r }) {
			out = append(out, r)
		}
	}
	return out
}

// Tolerances in microseconds. Several goroutines on both ends of a socket write the logs, so entries of
// simultaneous events may be in either order.
const (
	orderSlack   = 30_000  // from the close of a connection at one end to its detection at the other
	answerSlack  = 150_000 // added to the site's AnswerSlack for scheduling delays on a busy machine
	budgetSlack  = 150_000 // from a viewer's request to its acceptance, and from an attempt to the box's log
	publishSlack = 100_000 // from the relay's write to the edge's read
)

// checker collects the verdict of a run.
type checker struct {
	site    *config.Site
	verdict *Verdict
}

// addBreach records a breach at entry e.
func (c *checker) addBreach(rule string, e Entry, format string, args ...any) {
	box := e.Subject
	if e.Observer != "box" && e.Observer != "relay" {
		box = ""
	}
	id := e.Session
	if id == "" {
		id = e.Viewer
	}
	c.verdict.Breaches = append(c.verdict.Breaches, Breach{rule, e.TimeMicros, box, id, fmt.Sprintf(format, args...)})
}

func (c *checker) countCheck(rule string) { c.verdict.Checks[rule]++ }

// Judge checks the entries of a run against all rules. The entries may be in any order.
func Judge(site *config.Site, entries []Entry) *Verdict {
	c := &checker{site, &Verdict{Checks: map[string]int{}, Breaches: []Breach{}}}
	ordered := slices.Clone(entries)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].TimeMicros < ordered[j].TimeMicros })
	c.checkAnswers(ordered)
	c.checkSetUps(ordered)
	c.checkDrains(ordered)
	c.checkColdBoxes(ordered)
	c.checkClassTerms(ordered)
	c.checkAttemptBudget(ordered)
	return c.verdict
}

// edgePosition returns the position of an edge given as "position.instance" or "position".
func edgePosition(edge string) string {
	p, _, _ := strings.Cut(edge, ".")
	return p
}

// checkAnswers checks that every request accepted by a running edge gets exactly one answer by its deadline. No answer
// is due if the viewer disconnected before the deadline, or if the edge was killed.
func (c *checker) checkAnswers(entries []Entry) {
	openRequests := map[string]Entry{}
	killTimes := map[string][]int64{}
	for _, e := range entries {
		switch {
		case e.Event == EdgeKilled:
			killTimes[e.Subject] = append(killTimes[e.Subject], e.TimeMicros)
		case e.Observer != "viewer":
		case e.Event == RequestSent:
			openRequests[e.Session] = e
		case e.Event == ExtraBytes:
			c.verdict.DuplicateOutcomes++
			c.addBreach(NoSessionLost, e, "bytes follow the answer")
		case e.Event == AnswerReceived || e.Event == ViewerGaveUp || e.Event == Unanswered:
			req, ok := openRequests[e.Session]
			if !ok {
				c.verdict.DuplicateOutcomes++
				c.addBreach(NoSessionLost, e, "the request ended a second time")
				continue
			}
			delete(openRequests, e.Session)
			c.countCheck(NoSessionLost)
			lateness := e.TimeMicros - req.TimeMicros - int64(req.Value*1e6) -
				c.site.Rules.AnswerSlack.Std().Microseconds() - answerSlack
			killed := slices.ContainsFunc(killTimes[edgePosition(req.Edge)], func(t int64) bool {
				return t >= req.TimeMicros-orderSlack && t <= e.TimeMicros+orderSlack
			})
			switch {
			case e.Event == Unanswered && !killed:
				c.addBreach(NoSessionLost, e, "the connection ended without an answer")
			case e.Event == AnswerReceived && lateness > 0:
				c.addBreach(NoSessionLost, e, "answered %d ms after the deadline", lateness/1000)
			case e.Event == ViewerGaveUp && lateness > 0 && !killed: // no answer came by the deadline
				c.addBreach(NoSessionLost, e, "no answer when the viewer gave up, %d ms after the deadline", lateness/1000)
			}
		}
	}
	for _, k := range slices.Sorted(maps.Keys(openRequests)) {
		req := openRequests[k]
		killed := slices.ContainsFunc(killTimes[edgePosition(req.Edge)],
			func(t int64) bool { return t >= req.TimeMicros-orderSlack })
		if c.countCheck(NoSessionLost); !killed {
			c.addBreach(NoSessionLost, req, "no answer by the end of the run")
		}
	}
}

// checkSetUps checks that attempts of one session never overlap, and that an at-most-once set-up is sent again only if
// no earlier attempt can have run.
func (c *checker) checkSetUps(entries []Entry) {
	type setUpAttempt struct {
		Entry
		endedAt int64
		notRun  bool
	}
	attemptsBySession := map[string][]*setUpAttempt{}
	find := func(e Entry) *setUpAttempt {
		for _, attempt := range attemptsBySession[e.Session] {
			if attempt.Subject == e.Subject && attempt.Attempt == e.Attempt {
				return attempt
			}
		}
		return nil
	}
	for _, e := range entries {
		if e.Observer != "box" {
			continue
		}
		switch e.Event {
		case SetUpReceived:
			attemptsBySession[e.Session] = append(attemptsBySession[e.Session], &setUpAttempt{Entry: e})
		case SetUpEnded:
			if attempt := find(e); attempt != nil {
				attempt.endedAt = e.TimeMicros
			}
		case SetUpNotRun:
			if attempt := find(e); attempt != nil {
				attempt.notRun = true
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(attemptsBySession)) {
		attempts := attemptsBySession[id]
		for i, attempt := range attempts {
			c.countCheck(NoDuplicateSetUp)
			for _, earlier := range attempts[:i] {
				if earlier.endedAt == 0 || earlier.endedAt > attempt.TimeMicros+orderSlack {
					c.verdict.OverlappingAttempts++
					c.addBreach(NoDuplicateSetUp, attempt.Entry, "attempt %d was sent while attempt %d was in progress at %s",
						attempt.Attempt, earlier.Attempt, earlier.Subject)
				}
				if c.classEffect(attempt.Class) == "paid" && !earlier.notRun {
					c.addBreach(NoDuplicateSetUp, attempt.Entry, "at-most-once set-up sent again: attempt %d at %s may have run",
						earlier.Attempt, earlier.Subject)
				}
			}
		}
	}
}

// classEffect returns the effect of a class, or "" for an unknown one.
func (c *checker) classEffect(class string) string {
	if index := c.site.ClassIndex(class); index >= 0 {
		return c.site.Classes[index].Effect
	}
	return ""
}

// checkDrains checks that an edge sends no set-up to a box later than the grace period after the planner reported
// to that edge that the box drains or is gone.
func (c *checker) checkDrains(entries []Entry) {
	grace := c.site.Rules.DrainGrace.Std().Microseconds() + publishSlack
	type key struct{ edge, box string }
	notReadySince := map[key]int64{}
	for _, e := range entries {
		switch {
		case e.Observer == "relay" && e.Event == StatePublished:
			k := key{edgePosition(e.Edge), e.Subject}
			if _, known := notReadySince[k]; e.Text == "ready" {
				delete(notReadySince, k)
			} else if !known {
				notReadySince[k] = e.TimeMicros
			}
		case e.Event == EdgeKilled: // the edge lost its state and gets a new report
			for k := range notReadySince {
				if k.edge == e.Subject {
					delete(notReadySince, k)
				}
			}
		case e.Observer == "box" && e.Event == SetUpReceived:
			c.countCheck(DrainsRespected)
			if since, ok := notReadySince[key{edgePosition(e.Edge), e.Subject}]; ok && e.TimeMicros > since+grace {
				c.addBreach(DrainsRespected, e, "set-up %d ms after edge %s received that the box drains or is gone",
					(e.TimeMicros-since)/1000, edgePosition(e.Edge))
			}
		}
	}
}

// coldSetUpSlack is the number of set-ups allowed in any window beyond the computed limit, for random variation.
const coldSetUpSlack = 3

// checkColdBoxes checks that a box in slow start gets set-ups, over any window of FallSpan, at no more than FallFactor
// times its ramp rate.
func (c *checker) checkColdBoxes(entries []Entry) {
	r := c.site.Rules
	if r.Ramp <= 0 || r.FallSpan <= 0 {
		return
	}
	type box struct {
		started      int64
		streams      float64
		recentSetUps []int64
	}
	boxes := map[string]*box{}
	for _, e := range entries {
		if e.Observer != "box" {
			continue
		}
		switch e.Event {
		case BoxOverloaded:
			c.addBreach(ColdBoxesProtected, e, "the box crashed from too many set-ups")
		case BoxStarted:
			if e.Text != "warm" {
				boxes[e.Subject] = &box{started: e.TimeMicros, streams: e.Value}
			}
		case SetUpReceived:
			b := boxes[e.Subject]
			if b == nil || e.TimeMicros-b.started > r.Ramp.Std().Microseconds() {
				continue
			}
			c.countCheck(ColdBoxesProtected)
			b.recentSetUps = append(b.recentSetUps, e.TimeMicros)
			for b.recentSetUps[0] <= e.TimeMicros-r.FallSpan.Std().Microseconds() {
				b.recentSetUps = b.recentSetUps[1:]
			}
			rampShare := float64(e.TimeMicros-b.started) / float64(r.Ramp.Std().Microseconds())
			rampRate := b.streams / r.Ramp.Std().Seconds() * (r.StartShare + (1-r.StartShare)*rampShare)
			if allowed := r.FallFactor*rampRate*r.FallSpan.Std().Seconds() +
				coldSetUpSlack; float64(len(b.recentSetUps)) > allowed {
				c.addBreach(ColdBoxesProtected, e, "%d set-ups in %v, %.1f allowed",
					len(b.recentSetUps), r.FallSpan.Std(), allowed)
			}
		}
	}
}

// checkClassTerms checks that no rung is below the floor of its class, and that the sessions of a title and class
// at one edge do not exceed the seats. An edge that was restarted is the same edge: the sessions of its earlier instance
// keep their seats until they end.
func (c *checker) checkClassTerms(entries []Entry) {
	type seatKey struct{ edge, title, class string }
	endTimes := map[seatKey]map[string]int64{} // by session; 0 while it runs
	for _, e := range entries {
		if e.Observer != "box" {
			continue
		}
		k := seatKey{edgePosition(e.Edge), e.Title, e.Class}
		index := c.site.ClassIndex(e.Class)
		if index < 0 {
			continue
		}
		class := c.site.Classes[index]
		switch e.Event {
		case SetUpReceived, RungSet:
			c.countCheck(ClassTermsRespected)
			if e.Rung < class.Floor {
				c.addBreach(ClassTermsRespected, e, "rung %d is below the floor %d of %s", e.Rung, class.Floor, e.Class)
			}
		}
		switch {
		case e.Event == SetUpReceived && class.Seats > 0:
			if endTimes[k] == nil {
				endTimes[k] = map[string]int64{}
			}
			for session, endedAt := range endTimes[k] {
				if endedAt > 0 && endedAt <= e.TimeMicros {
					delete(endTimes[k], session)
				}
			}
			endTimes[k][e.Session] = 0
			if len(endTimes[k]) > class.Seats {
				c.addBreach(ClassTermsRespected, e, "%d sessions of %s in %s at edge %s, seats %d",
					len(endTimes[k]), e.Title, e.Class, e.Edge, class.Seats)
			}
		case e.Event == SessionEnd, e.Event == SetUpEnded && e.Text != "playing":
			if _, ok := endTimes[k][e.Session]; ok {
				endTimes[k][e.Session] = e.TimeMicros
			}
		}
	}
}

// checkAttemptBudget checks the number of attempts beyond the first of each session, over any window of BudgetSpan,
// against the requests that the edge accepted in it. The tolerance widens the window of requests and narrows
// that of attempts.
func (c *checker) checkAttemptBudget(entries []Entry) {
	r := c.site.Rules
	if r.BudgetSpan <= 0 {
		return
	}
	span := r.BudgetSpan.Std().Microseconds()
	requests, retries := requestTimes(entries), map[string][]int64{}
	for _, e := range entries {
		if e.Observer != "box" || e.Event != SetUpReceived || e.Attempt == 0 {
			continue
		}
		position := edgePosition(e.Edge)
		c.countCheck(AttemptBudgetRespected)
		retries[position] = append(dropBefore(retries[position], e.TimeMicros-span+budgetSlack), e.TimeMicros)
		before, _ := slices.BinarySearch(requests[position], e.TimeMicros+1)
		inSpan := dropBefore(requests[position][:before], e.TimeMicros-span-budgetSlack)
		allowed := r.BudgetFree + r.BudgetShare*float64(len(inSpan))
		if float64(len(retries[position])) > allowed {
			c.addBreach(AttemptBudgetRespected, e, "%d further attempts of edge %s in %v, %.1f allowed",
				len(retries[position]), position, r.BudgetSpan.Std(), allowed)
		}
	}
}

// dropBefore returns the part of ascending times from a time on.
func dropBefore(times []int64, from int64) []int64 {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
