package control

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Controller makes the decisions of one front.
type Controller struct {
	cfg            Settings
	rng            *rand.Rand
	now            time.Duration
	actions        []Action
	serversByID    map[string]*server
	sortedServers  []*server // by ID
	racks          []*rack
	sessions       map[string]*session
	requestTimes   []time.Duration         // arrivals of requests, for the retry budget
	retryTimes     []time.Duration         // starts of attempts after a request's first, for the retry budget
	tenantRequests map[int][]time.Duration // arrivals of each tenant's requests in the last second
	tickStarted    bool
	subscribing    bool          // a subscription was requested and has not failed
	lastLinkNoteAt time.Duration // link notes at set-up do not count

	awaitingReplies   []*session      // requests that wait for replies of collectors
	meanOwnRate       float64         // kB/s, mean ladder rate of the own playing sessions
	coversMostServers bool            // the part of the ready servers with own sessions exceeds coverageThreshold
	unansweredQueries int             // consecutive queries without a reply
	lastStamp         int             // stamp of the last message sent
	peerStamps        map[int]int     // stamp of the last message accepted from each front
	changedServers    []*server       // servers with own sessions or reports that changed in this step
	serversByShortID  map[int]*server // by the short IDs used in messages

	hasHolds       bool          // capacity is reserved for announced sessions
	holdsUpdatedAt time.Duration // time of the last HoldsUpdate

	cachedMean       float64
	meanValid        bool // no input of cachedMean changed since it was computed
	meanServerVisits int  // servers visited to compute means; tests check an upper bound
	uplinkSums       int  // uplink rates summed; tests check an upper bound

	comparingServers bool // servers are being compared: no input of their load changes
	comparisonCount  int  // comparisons so far; rack.cachedFor refers to it
}

// New returns the controller of one front, or an error if the settings are invalid.
func New(settings Settings, seed uint64) (*Controller, error) {
	settings, err := normalizeSettings(settings)
	if err != nil {
		return nil, err
	}
	settings.Fronts = max(settings.Fronts, 1)
	return &Controller{cfg: settings, rng: rand.New(rand.NewPCG(seed, 1)), serversByID: map[string]*server{},
		sessions: map[string]*session{}, tenantRequests: map[int][]time.Duration{},
		peerStamps: map[int]int{}, serversByShortID: map[int]*server{}}, nil
}

// Step processes, in order, the events that the front observed by the time now, and returns the actions to carry out.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = max(now, c.now), nil
	if !c.tickStarted {
		c.tickStarted = true
		c.emit(SetTimer{tickInterval + time.Duration(c.rng.Int64N(int64(tickInterval))), "beat"})
	}
	if c.cfg.MustSubscribe && !c.subscribing {
		c.subscribing = true
		c.emit(Subscribe{})
	}
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			c.handleListUpdate(e)
		case Request:
			c.handleRequest(e)
		case SessionStarted:
			c.handleSessionStarted(e)
		case Note:
			c.handleNote(e)
		case AttemptEnded:
			c.handleAttemptEnded(e)
		case ViewerLeft:
			c.handleViewerLeft(e)
		case ProbeResult:
			c.handleProbeResult(e)
		case PeerMessage:
			c.handlePeerMessage(e)
		case HoldsUpdate:
			c.handleHoldsUpdate(e)
		case TimerFired:
			c.handleTimer(e)
		}
	}
	c.sendUpdates()
	return c.actions
}

// handleTimer handles an expired timer by its label: "beat" is the periodic tick, "subscribe" renews a failed
// subscription, and "look " with the ID of a request ends its wait for the replies of collectors.
func (c *Controller) handleTimer(e TimerFired) {
	switch e.Label {
	case "beat":
		c.emit(SetTimer{tickInterval, "beat"})
		c.adjustRungs()
	case "subscribe":
		c.subscribing = true
		c.emit(Subscribe{})
	default:
		if sess := c.sessions[strings.TrimPrefix(e.Label, "look ")]; sess != nil && len(sess.pendingCollectors) > 0 {
			c.unansweredQueries++
			sess.pendingCollectors = nil
			c.placeAnswered()
		}
	}
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// server is the state that one front keeps for one server. The estimates and decisions based on it are in load.go and
// placement.go.
type server struct {
	Server
	rackIndex      int
	capacity       float64    // kB/s of the link, adjusted by reports
	sessions       []*session // from Send or hand-over to AttemptEnded, in order of arrival
	ownRate        float64    // kB/s, requested by the own sessions
	ownRateHistory []sample   // recent values of ownRate, oldest first

	othersUtilization float64 // part of the link's utilization that other fronts' sessions cause
	othersUpdatedAt   time.Duration
	hasReport         bool // othersUtilization was reported at least once
	freshReport       bool // a report arrived since the rungs were last adjusted
	otherStreams      int
	streamsUpdatedAt  time.Duration // time of the last update of otherStreams
	fullUntil         time.Duration // end of the pause after the server rejected a set-up as full
	lastFullAt        time.Duration // last time at which the estimate had the link nearly full
	lastShortShareAt  time.Duration // time of the last note about a short share
	lastNoteAt        time.Duration // time of the last note about any of its sessions
	failures          int           // consecutive failed set-ups and lost sessions
	failedSetUps      int           // failed attempts since a set-up last succeeded
	avoidUntil        time.Duration
	lastFailureAt     time.Duration
	mayHaveRestarted  bool          // a failure may have been a restart
	coldFrom          time.Duration // start of the last slow start; 0: none
	goneSince         time.Duration // time at which a list update first found it gone; 0: listed
	rateLimitedSince  time.Duration // time from which the slow start's allowance accumulates
	waitFactor        float64       // part of the interval between set-ups that this front waits before the next
	lastSetUpAt       time.Duration
	probeInFlight     bool

	holds            []Hold
	publishedRate    float64 // kB/s and streams last reported to the collector
	publishedStreams int
	changed          bool          // listed in Controller.changedServers
	pendingReport    *serverReport // load report to pass to the collector
	peerRateChange   float64       // kB/s, sum of the changes reported by other fronts
	peerRateHistory  []sample
	lastPeerUpdateAt time.Duration
}

type sample struct {
	at   time.Duration
	rate float64
}

// session is a request, from its arrival to the end of its last attempt.
type session struct {
	Request
	class             *Class
	worth             float64
	pendingCollectors []int   // fronts whose replies the placement waits for
	assignedTo        *server // set while an attempt is in progress or the session plays
	rung              int
	attempts          int // attempts sent so far
	triedServers      []*server
	mayHaveRunOn      *server       // first server where a set-up may have run
	mayHaveRunAt      time.Duration // time at which that set-up was sent
	sentAt            time.Duration // start of the last attempt
	startedAt         time.Duration
	playing           bool
	done              bool // the request was answered or its viewer left: no answer is due any more
}

// rack is a group of servers with a shared uplink.
type rack struct {
	cachedRate float64 // requested rate of the uplink, computed during a comparison of servers
	cachedFor  int     // number of that comparison

	servers             []*server
	capacity            float64 // kB/s, adjusted by reports
	configuredCapacity  float64 // kB/s, from the settings
	utilizationReported bool    // a report of the uplink's utilization was received
	freshReport         bool    // a report arrived since the rungs were last adjusted
	lastShortShareAt    time.Duration
	lastShortShare      float64 // last short share attributed to the uplink
	recovering          bool    // the share already rises again
	lastStepDownAt      time.Duration
	allowanceSetAt      time.Duration // last time that stepUpAllowance was set
	stepUpAllowance     float64       // kB/s by which the own sessions may still step up
}

func (s *server) addSession(sess *session) {
	sess.assignedTo = s
	s.sessions = append(s.sessions, sess)
}

func (s *server) removeSession(sess *session) {
	if i := slices.Index(s.sessions, sess); i >= 0 {
		s.sessions = slices.Delete(s.sessions, i, i+1)
	}
	sess.assignedTo = nil
}

// pendingSetUps counts the attempts in progress whose sessions do not play yet.
func (s *server) pendingSetUps() (n int) {
	for _, sess := range s.sessions {
		if !sess.playing {
			n++
		}
	}
	return n
}

// appendSample records a value at the time now and removes the samples that ended before now minus retention.
func appendSample(samples []sample, now time.Duration, value float64, retention time.Duration) []sample {
	if n := len(samples); n > 0 && samples[n-1].at == now {
		samples[n-1].rate = value
	} else {
		samples = append(samples, sample{now, value})
	}
	cut := 0
	for cut < len(samples)-1 && samples[cut+1].at <= now-retention {
		cut++
	}
	return slices.Delete(samples, 0, cut)
}

// sampleAt returns the recorded rate at the time t, or 0 if there is no sample as old as that.
func sampleAt(samples []sample, t time.Duration) float64 {
	for i := len(samples) - 1; i >= 0; i-- {
		if samples[i].at <= t {
			return samples[i].rate
		}
	}
	return 0
}

// recent removes the times that are span or more before now. times is sorted.
func recent(times []time.Duration, now, span time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] <= now-span {
		i++
	}
	return times[i:]
}

// OwnSessionCount returns the number of own sessions at a server as the controller has it, set-ups included. Tests and
// monitoring compare it with the sessions that are open on the connections.
func (c *Controller) OwnSessionCount(server string) int {
	if s := c.serversByID[server]; s != nil {
		return len(s.sessions)
	}
	return 0
}

// inCellRange reports whether the server's cell is one of span consecutive cells from first on. Cell numbers wrap
// around at cells.
func (s *server) inCellRange(first, span, cells int) bool {
	if cells <= 0 || span <= 0 {
		return true
	}
	return ((s.Cell-first)%cells+cells)%cells < span
}

// hasTitle reports whether a server has the title of sess: it is one of the named holders or, if none are named, in one
// of the title's cells.
func (c *Controller) hasTitle(sess *session, s *server) bool {
	if sess.Holders == nil {
		return s.inCellRange(sess.HomeCell, sess.CellSpan, c.cfg.Cells)
	}
	_, ok := slices.BinarySearch(sess.Holders, s.ID)
	return ok
}

// slots returns the number of streams that a server runs at most; 0 if it is not configured.
func (c *Controller) slots(s *server) int {
	if s.Kind < 0 || s.Kind >= len(c.cfg.StreamSlotsByKind) {
		return 0
	}
	return c.cfg.StreamSlotsByKind[s.Kind]
}

// sessionRate returns the rate in kB/s that a session requests of its server's link at a rung.
func (c *Controller) sessionRate(sess *session, rung int) float64 {
	return c.cfg.Ladder[rung] * sess.class.RateFactor
}

// sameTitleAndClass reports whether y is another session of x's title and class.
func (x *session) sameTitleAndClass(y *session) bool {
	return y != x && y.class == x.class && y.Title == x.Title
}

// canShareStream reports whether x and y can share a live stream if they play at the same server and rung.
func (c *Controller) canShareStream(x, y *session) bool {
	return c.mayShareStream(x) && x.sameTitleAndClass(y)
}

// mayShareStream reports whether x can share a live stream with any other session.
func (c *Controller) mayShareStream(x *session) bool {
	return x.class.Live && c.cfg.JoinRateFactor > 0 && c.cfg.JoinRateFactor < 1
}

// updateOwnRate recomputes and records the own rate at a server after a change of its sessions.
func (c *Controller) updateOwnRate(s *server) {
	s.ownRate, c.meanValid = c.sumOwnRate(s), false
	s.ownRateHistory = appendSample(s.ownRateHistory, c.now, s.ownRate, historyRetention)
	c.markChanged(s)
}

// markChanged has sendUpdates check at the end of the step whether the collector needs an update about a server.
func (c *Controller) markChanged(s *server) {
	if !s.changed {
		s.changed = true
		c.changedServers = append(c.changedServers, s)
	}
}

// nextStamp returns a stamp, modulo stampModulus, that is above all earlier ones, also those sent before a restart of
// the front: a stamp is at least the time in units of 10 ms.
func (c *Controller) nextStamp() int {
	c.lastStamp = max(c.lastStamp+1, int(c.now/(10*time.Millisecond)))
	return c.lastStamp % stampModulus
}

// acceptStamp reports whether a stamp is newer than the last one accepted from a front, and if so records it. Stamps
// wrap around: newer means higher by less than half of stampModulus.
func (c *Controller) acceptStamp(from, stamp int) bool {
	last, known := c.peerStamps[from]
	if diff := (stamp - last + stampModulus) % stampModulus; known && (diff == 0 || diff >= stampModulus/2) {
		return false
	}
	c.peerStamps[from] = stamp
	return true
}

// countSeats counts the front's other sessions of x's title and class, set-ups included.
func (c *Controller) countSeats(x *session) (n int) {
	for _, s := range c.sortedServers {
		for _, y := range s.sessions {
			if x.sameTitleAndClass(y) {
				n++
			}
		}
	}
	return n
}

// reclaimableRate returns the rate that the own playing sessions at a server would free by stepping down to their
// lowest rung.
func (c *Controller) reclaimableRate(s *server) (rate float64) {
	for _, sess := range s.sessions {
		if sess.playing {
			rate += c.sessionRate(sess, sess.rung) - c.sessionRate(sess, min(sess.rung, sess.class.MinRung))
		}
	}
	return rate
}

// uplinkRate returns the rate requested of a rack's uplink. During a comparison of servers its inputs do not change, so
// the sum is computed once for each rack: with a sum for each compared server, the cost would grow with the square of
// the fleet's size.
func (c *Controller) uplinkRate(r *rack) (rate float64) {
	if !c.comparingServers {
		return c.sumUplinkRate(r)
	}
	if r.cachedFor != c.comparisonCount {
		r.cachedFor, r.cachedRate = c.comparisonCount, c.sumUplinkRate(r)
	}
	return r.cachedRate
}

// compareServers runs compare with cached uplink rates. compare must not change any input of a server's load.
func (c *Controller) compareServers(compare func()) {
	c.comparisonCount++
	c.comparingServers = true
	compare()
	c.comparingServers = false
}

func (c *Controller) sumUplinkRate(r *rack) (rate float64) {
	c.uplinkSums++
	mean := c.meanUtilization()
	for _, s := range r.servers {
		rate += c.estimateUtilization(s, mean) * s.capacity
	}
	return rate
}

// sumOwnRate returns the rate that the own sessions request of a server. Viewers of one live title at one rung share a
// stream.
func (c *Controller) sumOwnRate(s *server) (rate float64) {
	var shared map[sharedStream]bool // nil while no session may share
	for _, x := range s.sessions {
		factor := 1.0
		if c.mayShareStream(x) {
			stream := sharedStream{x.Title, x.class, x.rung}
			if shared[stream] {
				factor = c.cfg.JoinRateFactor
			}
			if shared == nil {
				shared = map[sharedStream]bool{}
			}
			shared[stream] = true
		}
		rate += c.sessionRate(x, x.rung) * factor
	}
	return rate
}

// sharedStream is a live stream that several sessions at one server can share.
type sharedStream struct {
	title uint64
	class *Class
	rung  int
}

// addedRateFactor returns the part of its rate that x adds at a rung to a server that runs the other sessions.
func (c *Controller) addedRateFactor(x *session, rung int, others []*session) float64 {
	if !c.mayShareStream(x) {
		return 1
	}
	for _, y := range others {
		if c.canShareStream(x, y) && y.rung == rung {
			return c.cfg.JoinRateFactor
		}
	}
	return 1
}

// normalizeSettings validates the settings and returns them with defaults filled in.
func normalizeSettings(settings Settings) (Settings, error) {
	if len(settings.Ladder) == 0 || len(settings.RungWorth) != len(settings.Ladder) {
		return settings, errors.New("control: the ladder must have at least one rung, and a worth for each rung")
	}
	for i, rate := range settings.Ladder {
		if !(rate > 0) || (i > 0 && rate < settings.Ladder[i-1]) {
			return settings, errors.New("control: the rates of the ladder must be positive and in rising order")
		}
	}
	for _, d := range []time.Duration{settings.DrainGrace, settings.Ramp, settings.BurstSpan, settings.BudgetSpan,
		settings.NoteDelay, settings.LinkNoteInterval, settings.SwitchCost, settings.MaxRetryAfter,
		settings.ListReadInterval} {
		if d < 0 {
			return settings, errors.New("control: a duration in the settings is negative")
		}
	}
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		class := &settings.Classes[i]
		class.MaxRung = min(class.MaxRung, len(settings.Ladder)-1)
		if class.RateFactor <= 0 {
			class.RateFactor = 1
		}
		if class.MinRung < 0 || class.MinRung > class.MaxRung ||
			class.Aim < 0 || class.Deadline < 0 || class.DedupWindow < 0 {
			return settings, errors.New("control: a class has no valid rung or a negative duration: " + class.Name)
		}
	}
	return settings, nil
}

// findSharedStream returns an own session at a server with which x can share a live stream, or nil.
func (c *Controller) findSharedStream(x *session, s *server) *session {
	for _, y := range s.sessions {
		if c.canShareStream(x, y) {
			return y
		}
	}
	return nil
}

// ownSessionStats returns the part of the ready servers at which this front has sessions, and the mean ladder rate in
// kB/s of those sessions that play.
func (c *Controller) ownSessionStats() (coverage, meanRate float64) {
	ready, withSessions, playing := 0, 0, 0
	for _, s := range c.sortedServers {
		if s.State != Ready {
			continue
		}
		ready++
		if len(s.sessions) > 0 {
			withSessions++
		}
		for _, x := range s.sessions {
			if x.playing {
				meanRate, playing = meanRate+c.cfg.Ladder[x.rung], playing+1
			}
		}
	}
	return float64(withSessions) / float64(max(ready, 1)), meanRate / float64(max(playing, 1))
}
