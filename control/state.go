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
	sortedServers  []*server // by id
	racks          []*rack
	sessions       map[string]*session
	requestTimes   []time.Duration         // requests, for the attempt budget
	retryTimes     []time.Duration         // attempts beyond a request's first
	tenantRequests map[int][]time.Duration // requests of a tenant in the last second
	tickStarted    bool
	subscribing    bool // a subscription was asked for and has not failed
	lastLinkNoteAt time.Duration

	awaitingReplies   []*session      // for answers of keepers
	meanOwnRate       float64         // kB/s, mean rung of own playing sessions
	seesMostServers   bool            // own sessions at most servers
	unansweredQueries int             // questions in a row that no keeper answered
	lastStamp         int             // of the last message sent
	peerStamps        map[int]int     // of the last message taken from each front
	changedServers    []*server       // own sessions changed in this step
	serversByShortID  map[int]*server // by the short names that messages use

	hasHolds       bool          // some room is held
	holdsUpdatedAt time.Duration // when holds were told

	cachedMean       float64
	meanValid        bool // nothing that the mean rests on changed since it was worked out
	meanServerVisits int  // servers looked at for means; tests bound it
	uplinkSums       int  // uplinks summed up; tests bound it

	comparingServers bool // servers are compared: nothing changes that their load rests on
	comparisonCount  int  // so far
}

// New returns the controller of one front, or an error if the settings make no sense.
func New(set Settings, seed uint64) (*Controller, error) {
	set, err := normalizeSettings(set)
	if err != nil {
		return nil, err
	}
	set.Fronts = max(set.Fronts, 1)
	return &Controller{cfg: set, rng: rand.New(rand.NewPCG(seed, 1)), serversByID: map[string]*server{},
		sessions: map[string]*session{}, tenantRequests: map[int][]time.Duration{},
		peerStamps: map[int]int{}, serversByShortID: map[int]*server{}}, nil
}

// Step takes what the front saw at a time and returns what it is to do.
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

func (c *Controller) handleTimer(e TimerFired) {
	switch e.Label {
	case "beat":
		c.emit(SetTimer{tickInterval, "beat"})
		c.adjustRungs()
	case "subscribe":
		c.subscribing = true
		c.emit(Subscribe{})
	default:
		if x := c.sessions[strings.TrimPrefix(e.Label, "look ")]; x != nil && len(x.pendingCollectors) > 0 {
			c.unansweredQueries++
			x.pendingCollectors = nil
			c.placeAnswered()
		}
	}
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// server is what one front knows of one server. What is concluded from it lives in load.go and placement.go.
type server struct {
	Server
	rackIndex      int
	capacity       float64    // kB/s, as learned
	sessions       []*session // from Send (or hand-over) to Ended, in order of arrival
	ownRate        float64    // kB/s, the own sessions' rate
	ownRateHistory []sample   // own rate asked, oldest first

	othersUtilization float64 // rest of the link's fullness, beyond the own sessions
	othersUpdatedAt   time.Duration
	hasReport         bool // others was ever reported
	freshReport       bool // a report came since the last correction
	otherStreams      int
	streamsUpdatedAt  time.Duration // when otherStreams was reported
	fullUntil         time.Duration // turned a set-up away for its streams
	lastFullAt        time.Duration // link thought full
	lastShortShareAt  time.Duration // last note of a share
	lastNoteAt        time.Duration // last note of any kind
	failures          int           // set-ups and sessions lost in a row
	failedSetUps      int           // set-ups that came to nothing since it last served
	avoidUntil        time.Duration
	lastFailureAt     time.Duration
	mayHaveRestarted  bool          // may have restarted since
	coldFrom          time.Duration // 0: warm
	goneSince         time.Duration // when it was first seen to be gone; 0: listed
	rateLimitedSince  time.Duration
	waitFactor        float64 // part of its gap that this front waits before the next set-up
	lastSetUpAt       time.Duration
	probeInFlight     bool

	holds            []Hold
	publishedRate    float64 // kB/s and streams that the keeper was told of
	publishedStreams int
	changed          bool
	pendingReport    *serverReport // a report that the keeper should hear of
	peerRateChange   float64       // kB/s, sum of the changes that other fronts told
	peerRateHistory  []sample
	lastPeerUpdateAt time.Duration
}

type sample struct {
	at   time.Duration
	rate float64
}

// session is one request from its arrival to the end of its last attempt.
type session struct {
	Request
	class             *Class
	worth             float64
	pendingCollectors []int   // keepers asked before the choice
	assignedTo        *server // while an attempt is out or playing
	rung              int
	attempts          int
	triedServers      []*server
	mayHaveRunOn      *server       // first server where a set-up may have run
	mayHaveRunAt      time.Duration // when it was sent there
	sentAt            time.Duration
	startedAt         time.Duration
	playing           bool
	done              bool // answered or gone: nothing more is owed
}

// rack is the shared uplink of some servers.
type rack struct {
	cachedRate float64 // rate asked of it, as of a comparison
	cachedFor  int     // number of that comparison

	servers             []*server
	capacity            float64 // kB/s, as learned
	configuredCapacity  float64 // kB/s, from the settings
	utilizationReported bool    // its fullness is reported
	freshReport         bool
	lastShortShareAt    time.Duration
	lastShortShare      float64 // last share that pointed at the uplink
	recovering          bool    // the share rises already
	lastStepDownAt      time.Duration
	allowanceSetAt      time.Duration // last time that allowance was set
	stepUpAllowance     float64       // kB/s that own sessions may still step up by
}

func (s *server) addSession(x *session) {
	x.assignedTo = s
	s.sessions = append(s.sessions, x)
}

func (s *server) removeSession(x *session) {
	if i := slices.Index(s.sessions, x); i >= 0 {
		s.sessions = slices.Delete(s.sessions, i, i+1)
	}
	x.assignedTo = nil
}

// settingUp counts the attempts out that do not play yet.
func (s *server) pendingSetUps() (n int) {
	for _, x := range s.sessions {
		if !x.playing {
			n++
		}
	}
	return n
}

// record notes the own rate asked, and forgets samples older than keep.
func appendSample(h []sample, now time.Duration, kb float64, keep time.Duration) []sample {
	if n := len(h); n > 0 && h[n-1].at == now {
		h[n-1].rate = kb
	} else {
		h = append(h, sample{now, kb})
	}
	cut := 0
	for cut < len(h)-1 && h[cut+1].at <= now-keep {
		cut++
	}
	return slices.Delete(h, 0, cut)
}

// at is the recorded value at a time.
func sampleAt(h []sample, t time.Duration) float64 {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].at <= t {
			return h[i].rate
		}
	}
	return 0
}

// within drops times older than span before now.
func recent(times []time.Duration, now, span time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] <= now-span {
		i++
	}
	return times[i:]
}

// Own is the number of own sessions that the module believes to be at a server, set-ups too. For comparison with
// what passes on the sockets.
func (c *Controller) OwnSessionCount(server string) int {
	if s := c.serversByID[server]; s != nil {
		return len(s.sessions)
	}
	return 0
}

// holds reports whether the server's cell is one of span in a row from home.
func (s *server) inCellRange(home, span, cells int) bool {
	if cells <= 0 || span <= 0 {
		return true
	}
	return ((s.Cell-home)%cells+cells)%cells < span
}

// has reports whether a server has x's title: told by name, or by its cells.
func (c *Controller) hasTitle(x *session, s *server) bool {
	if x.Holders == nil {
		return s.inCellRange(x.HomeCell, x.CellSpan, c.cfg.Cells)
	}
	_, ok := slices.BinarySearch(x.Holders, s.ID)
	return ok
}

// streams is what a server runs at most; 0 if nobody told.
func (c *Controller) slots(s *server) int {
	if s.Kind < 0 || s.Kind >= len(c.cfg.StreamSlotsByKind) {
		return 0
	}
	return c.cfg.StreamSlotsByKind[s.Kind]
}

// rate is what a session asks of its link at a rung.
func (c *Controller) sessionRate(x *session, rung int) float64 {
	return c.cfg.Ladder[rung] * x.class.RateFactor
}

// alike tells other sessions of x's title and class.
func (x *session) sameTitleAndClass(y *session) bool {
	return y != x && y.class == x.class && y.Title == x.Title
}

// shares tells sessions that can share a live stream at one server and rung.
func (c *Controller) canShareStream(x, y *session) bool {
	return x.class.Live && c.cfg.JoinRateFactor > 0 && c.cfg.JoinRateFactor < 1 && x.sameTitleAndClass(y)
}

// changed works out and records the own rate after a change at a server.
func (c *Controller) updateOwnRate(s *server) {
	s.ownRate, c.meanValid = c.sumOwnRate(s), false
	s.ownRateHistory = appendSample(s.ownRateHistory, c.now, s.ownRate, historyRetention)
	c.markChanged(s)
}

// touch notes that there may be news of a server.
func (c *Controller) markChanged(s *server) {
	if !s.changed {
		s.changed = true
		c.changedServers = append(c.changedServers, s)
	}
}

// nextStamp is higher than every one before, also after a restart.
func (c *Controller) nextStamp() int {
	c.lastStamp = max(c.lastStamp+1, int(c.now/(10*time.Millisecond)))
	return c.lastStamp % stampModulus
}

// newer takes a stamp that is higher than the last one of that front.
func (c *Controller) acceptStamp(from, stamp int) bool {
	last, known := c.peerStamps[from]
	if ahead := (stamp - last + stampModulus) % stampModulus; known && (ahead == 0 || ahead >= stampModulus/2) {
		return false
	}
	c.peerStamps[from] = stamp
	return true
}

// seated counts the front's sessions of x's title and class, set-ups too.
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

// spare is what own sessions at a server could free by stepping down.
func (c *Controller) reclaimableRate(s *server) (kb float64) {
	for _, x := range s.sessions {
		if x.playing {
			kb += c.sessionRate(x, x.rung) - c.sessionRate(x, min(x.rung, x.class.MinRung))
		}
	}
	return kb
}

// uplink is the rate asked of a rack's uplink. While servers are compared nothing changes that it rests on, and it is
// summed up once for each rack: a sum for each server that is compared grows with the square of the fleet.
func (c *Controller) uplinkRate(r *rack) (kb float64) {
	if !c.comparingServers {
		return c.sumUplinkRate(r)
	}
	if r.cachedFor != c.comparisonCount {
		r.cachedFor, r.cachedRate = c.comparisonCount, c.sumUplinkRate(r)
	}
	return r.cachedRate
}

// compare has look run while nothing changes that a server's load rests on.
func (c *Controller) compareServers(look func()) {
	c.comparisonCount++
	c.comparingServers = true
	look()
	c.comparingServers = false
}

func (c *Controller) sumUplinkRate(r *rack) (kb float64) {
	c.uplinkSums++
	mean := c.meanUtilization()
	for _, s := range r.servers {
		kb += c.estimateUtilization(s, mean) * s.capacity
	}
	return kb
}

// ownRate is the own sessions' rate at a server; viewers of one live title at one rung share a stream.
func (c *Controller) sumOwnRate(s *server) (kb float64) {
	for i, x := range s.sessions {
		kb += c.sessionRate(x, x.rung) * c.addedRateFactor(x, x.rung, s.sessions[:i])
	}
	return kb
}

// added is the part of its rate that x adds beside others.
func (c *Controller) addedRateFactor(x *session, rung int, beside []*session) float64 {
	for _, y := range beside {
		if c.canShareStream(x, y) && y.rung == rung {
			return c.cfg.JoinRateFactor
		}
	}
	return 1
}

// checked returns the settings with gaps filled, or what makes no sense in them.
func normalizeSettings(set Settings) (Settings, error) {
	if len(set.Ladder) == 0 || len(set.RungWorth) != len(set.Ladder) {
		return set, errors.New("control: the ladder needs a worth for each of its rungs, and one rung at least")
	}
	for i, kb := range set.Ladder {
		if !(kb > 0) || (i > 0 && kb < set.Ladder[i-1]) {
			return set, errors.New("control: the ladder's rates must be positive and rising")
		}
	}
	for _, d := range []time.Duration{set.DrainGrace, set.Ramp, set.BurstSpan, set.BudgetSpan, set.NoteDelay,
		set.LinkNoteInterval, set.SwitchCost, set.MaxRetryAfter, set.ListReadInterval} {
		if d < 0 {
			return set, errors.New("control: a time in the settings is negative")
		}
	}
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		k := &set.Classes[i]
		k.MaxRung = min(k.MaxRung, len(set.Ladder)-1)
		if k.RateFactor <= 0 {
			k.RateFactor = 1
		}
		if k.MinRung < 0 || k.MinRung > k.MaxRung || k.Aim < 0 || k.Deadline < 0 || k.DedupWindow < 0 {
			return set, errors.New("control: a class has no rung or a negative time: " + k.Name)
		}
	}
	return set, nil
}

// stream is the own session that x could share a live stream with at a server.
func (c *Controller) findSharedStream(x *session, s *server) *session {
	for _, y := range s.sessions {
		if c.canShareStream(x, y) {
			return y
		}
	}
	return nil
}

// ownSessions tells at what part of the ready servers the front has sessions, and their mean rung in kB/s.
func (c *Controller) ownSessionStats() (view, rung float64) {
	ready, seen, playing := 0, 0, 0
	for _, s := range c.sortedServers {
		if s.State != Ready {
			continue
		}
		ready++
		if len(s.sessions) > 0 {
			seen++
		}
		for _, x := range s.sessions {
			if x.playing {
				rung, playing = rung+c.cfg.Ladder[x.rung], playing+1
			}
		}
	}
	return float64(seen) / float64(max(ready, 1)), rung / float64(max(playing, 1))
}
