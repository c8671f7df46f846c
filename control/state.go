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
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	out      []Action
	known    map[string]*server
	order    []*server // by id
	racks    []*rack
	sessions map[string]*session
	taken    []time.Duration         // requests, for the attempt budget
	further  []time.Duration         // attempts beyond a request's first
	tenants  map[int][]time.Duration // requests of a tenant in the last second
	beating  bool
	asking   bool // a subscription was asked for and has not failed
	noted    time.Duration

	waiting    []*session      // for answers of keepers
	fair       float64         // kB/s, mean rung of own playing sessions
	seesFleet  bool            // own sessions at most servers
	unanswered int             // questions in a row that no keeper answered
	stamp      int             // of the last message sent
	stamps     map[int]int     // of the last message taken from each front
	touched    []*server       // own sessions changed in this step
	marks      map[int]*server // by the short names that messages use

	holding bool          // some room is held
	holdsAt time.Duration // when holds were told

	meanIs      float64
	meanKnown   bool // nothing that the mean rests on changed since it was worked out
	evaluations int  // servers looked at for means; tests bound it
	summed      int  // uplinks summed up; tests bound it

	comparing   bool // servers are compared: nothing changes that their load rests on
	comparisons int  // so far
}

// New returns the controller of one front, or an error if the settings make no sense.
func New(set Settings, seed uint64) (*Controller, error) {
	set, err := checked(set)
	if err != nil {
		return nil, err
	}
	set.Fronts = max(set.Fronts, 1)
	return &Controller{set: set, rng: rand.New(rand.NewPCG(seed, 1)), known: map[string]*server{},
		sessions: map[string]*session{}, tenants: map[int][]time.Duration{},
		stamps: map[int]int{}, marks: map[int]*server{}}, nil
}

// Step takes what the front saw at a time and returns what it is to do.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.now, c.out = max(now, c.now), nil
	if !c.beating {
		c.beating = true
		c.act(SetTimer{beat + time.Duration(c.rng.Int64N(int64(beat))), "beat"})
	}
	if c.set.Subscribe && !c.asking {
		c.asking = true
		c.act(Subscribe{})
	}
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			c.list(e)
		case Request:
			c.request(e)
		case Started:
			c.started(e)
		case Note:
			c.note(e)
		case Ended:
			c.ended(e)
		case Left:
			c.left(e)
		case Probed:
			c.probed(e)
		case PeerMessage:
			c.peer(e)
		case Holds:
			c.hold(e)
		case TimerFired:
			c.timer(e)
		}
	}
	c.tell()
	return c.out
}

func (c *Controller) timer(e TimerFired) {
	switch e.Label {
	case "beat":
		c.act(SetTimer{beat, "beat"})
		c.regulate()
	case "subscribe":
		c.asking = true
		c.act(Subscribe{})
	default:
		if x := c.sessions[strings.TrimPrefix(e.Label, "look ")]; x != nil && len(x.asking) > 0 {
			c.unanswered++
			x.asking = nil
			c.answered()
		}
	}
}

func (c *Controller) act(a Action) { c.out = append(c.out, a) }

// server is what one front knows of one server. What is concluded from it lives in load.go and placement.go.
type server struct {
	Server
	rack     int
	capacity float64    // kB/s, as learned
	held     []*session // from Send (or hand-over) to Ended, in order of arrival
	asked    float64    // kB/s, the own sessions' rate
	history  []sample   // own rate asked, oldest first

	others       float64 // rest of the link's fullness, beyond the own sessions
	othersAt     time.Duration
	heard        bool // others was ever reported
	fresh        bool // a report came since the last correction
	otherStreams int
	streamsAt    time.Duration // when otherStreams was reported
	fullTill     time.Duration // turned a set-up away for its streams
	fullAt       time.Duration // link thought full
	shortAt      time.Duration // last note of a share
	noteAt       time.Duration // last note of any kind
	fails        int           // set-ups and sessions lost in a row
	errors       int           // set-ups that came to nothing since it last served
	avoidTill    time.Duration
	failedAt     time.Duration
	broke        bool          // may have restarted since
	coldFrom     time.Duration // 0: warm
	goneSeen     time.Duration // when it was first seen to be gone; 0: listed
	pacedFrom    time.Duration
	gapPart      float64 // part of its gap that this front waits before the next set-up
	lastSend     time.Duration
	probing      bool

	kept        []Hold
	toldRate    float64 // kB/s and streams that the keeper was told of
	toldStreams int
	touched     bool
	newFull     *about  // a report that the keeper should hear of
	peerRate    float64 // kB/s, sum of the changes that other fronts told
	peerHistory []sample
	newsAt      time.Duration
}

type sample struct {
	at time.Duration
	kb float64
}

// session is one request from its arrival to the end of its last attempt.
type session struct {
	Request
	class    *Class
	worth    float64
	asking   []int   // keepers asked before the choice
	on       *server // while an attempt is out or playing
	rung     int
	attempts int
	tried    []*server
	mayRan   *server       // first server where a set-up may have run
	mayRanAt time.Duration // when it was sent there
	sentAt   time.Duration
	startAt  time.Duration
	playing  bool
	done     bool // answered or gone: nothing more is owed
}

// rack is the shared uplink of some servers.
type rack struct {
	summed    float64 // rate asked of it, as of a comparison
	summedFor int     // number of that comparison

	servers   []*server
	capacity  float64 // kB/s, as learned
	prior     float64 // kB/s, from the settings
	told      bool    // its fullness is reported
	fresh     bool
	shortAt   time.Duration
	short     float64 // last share that pointed at the uplink
	mending   bool    // the share rises already
	stepped   time.Duration
	allowed   time.Duration // last time that allowance was set
	allowance float64       // kB/s that own sessions may still step up by
}

func (s *server) add(x *session) {
	x.on = s
	s.held = append(s.held, x)
}

func (s *server) drop(x *session) {
	if i := slices.Index(s.held, x); i >= 0 {
		s.held = slices.Delete(s.held, i, i+1)
	}
	x.on = nil
}

// settingUp counts the attempts out that do not play yet.
func (s *server) settingUp() (n int) {
	for _, x := range s.held {
		if !x.playing {
			n++
		}
	}
	return n
}

// record notes the own rate asked, and forgets samples older than keep.
func record(h []sample, now time.Duration, kb float64, keep time.Duration) []sample {
	if n := len(h); n > 0 && h[n-1].at == now {
		h[n-1].kb = kb
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
func at(h []sample, t time.Duration) float64 {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].at <= t {
			return h[i].kb
		}
	}
	return 0
}

// within drops times older than span before now.
func within(times []time.Duration, now, span time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] <= now-span {
		i++
	}
	return times[i:]
}

// Own is the number of own sessions that the module believes to be at a server, set-ups too. For comparison with
// what passes on the sockets.
func (c *Controller) Own(server string) int {
	if s := c.known[server]; s != nil {
		return len(s.held)
	}
	return 0
}

// holds reports whether the server's cell is one of span in a row from home.
func (s *server) holds(home, span, cells int) bool {
	if cells <= 0 || span <= 0 {
		return true
	}
	return ((s.Cell-home)%cells+cells)%cells < span
}

// has reports whether a server has x's title: told by name, or by its cells.
func (c *Controller) has(x *session, s *server) bool {
	if x.Holders == nil {
		return s.holds(x.Home, x.Span, c.set.Cells)
	}
	_, ok := slices.BinarySearch(x.Holders, s.ID)
	return ok
}

// streams is what a server runs at most; 0 if nobody told.
func (c *Controller) streams(s *server) int {
	if s.Kind < 0 || s.Kind >= len(c.set.KindStreams) {
		return 0
	}
	return c.set.KindStreams[s.Kind]
}

// rate is what a session asks of its link at a rung.
func (c *Controller) rate(x *session, rung int) float64 {
	return c.set.Ladder[rung] * x.class.RateFactor
}

// alike tells other sessions of x's title and class.
func (x *session) alike(y *session) bool { return y != x && y.class == x.class && y.Title == x.Title }

// shares tells sessions that can share a live stream at one server and rung.
func (c *Controller) shares(x, y *session) bool {
	return x.class.Live && c.set.JoinAdds > 0 && c.set.JoinAdds < 1 && x.alike(y)
}

// changed works out and records the own rate after a change at a server.
func (c *Controller) changed(s *server) {
	s.asked, c.meanKnown = c.ownRate(s), false
	s.history = record(s.history, c.now, s.asked, keepHistory)
	c.touch(s)
}

// touch notes that there may be news of a server.
func (c *Controller) touch(s *server) {
	if !s.touched {
		s.touched = true
		c.touched = append(c.touched, s)
	}
}

// nextStamp is higher than every one before, also after a restart.
func (c *Controller) nextStamp() int {
	c.stamp = max(c.stamp+1, int(c.now/(10*time.Millisecond)))
	return c.stamp % stampSpan
}

// newer takes a stamp that is higher than the last one of that front.
func (c *Controller) newer(from, stamp int) bool {
	last, known := c.stamps[from]
	if ahead := (stamp - last + stampSpan) % stampSpan; known && (ahead == 0 || ahead >= stampSpan/2) {
		return false
	}
	c.stamps[from] = stamp
	return true
}

// seated counts the front's sessions of x's title and class, set-ups too.
func (c *Controller) seated(x *session) (n int) {
	for _, s := range c.order {
		for _, y := range s.held {
			if x.alike(y) {
				n++
			}
		}
	}
	return n
}

// spare is what own sessions at a server could free by stepping down.
func (c *Controller) spare(s *server) (kb float64) {
	for _, x := range s.held {
		if x.playing {
			kb += c.rate(x, x.rung) - c.rate(x, min(x.rung, x.class.Floor))
		}
	}
	return kb
}

// uplink is the rate asked of a rack's uplink. While servers are compared nothing changes that it rests on, and it is
// summed up once for each rack: a sum for each server that is compared grows with the square of the fleet.
func (c *Controller) uplink(r *rack) (kb float64) {
	if !c.comparing {
		return c.sumUplink(r)
	}
	if r.summedFor != c.comparisons {
		r.summedFor, r.summed = c.comparisons, c.sumUplink(r)
	}
	return r.summed
}

// compare has look run while nothing changes that a server's load rests on.
func (c *Controller) compare(look func()) {
	c.comparisons++
	c.comparing = true
	look()
	c.comparing = false
}

func (c *Controller) sumUplink(r *rack) (kb float64) {
	c.summed++
	mean := c.mean()
	for _, s := range r.servers {
		kb += c.blend(s, mean) * s.capacity
	}
	return kb
}

// ownRate is the own sessions' rate at a server; viewers of one live title at one rung share a stream.
func (c *Controller) ownRate(s *server) (kb float64) {
	for i, x := range s.held {
		kb += c.rate(x, x.rung) * c.added(x, x.rung, s.held[:i])
	}
	return kb
}

// added is the part of its rate that x adds beside others.
func (c *Controller) added(x *session, rung int, beside []*session) float64 {
	for _, y := range beside {
		if c.shares(x, y) && y.rung == rung {
			return c.set.JoinAdds
		}
	}
	return 1
}

// checked returns the settings with gaps filled, or what makes no sense in them.
func checked(set Settings) (Settings, error) {
	if len(set.Ladder) == 0 || len(set.RungWorth) != len(set.Ladder) {
		return set, errors.New("control: the ladder needs a worth for each of its rungs, and one rung at least")
	}
	for i, kb := range set.Ladder {
		if !(kb > 0) || (i > 0 && kb < set.Ladder[i-1]) {
			return set, errors.New("control: the ladder's rates must be positive and rising")
		}
	}
	for _, d := range []time.Duration{set.DrainGrace, set.Ramp, set.FallSpan, set.BudgetSpan, set.NoteDelay,
		set.LinkNoteEvery, set.SwitchCost, set.MaxRetryAfter, set.AskWithin} {
		if d < 0 {
			return set, errors.New("control: a time in the settings is negative")
		}
	}
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		k := &set.Classes[i]
		k.Top = min(k.Top, len(set.Ladder)-1)
		if k.RateFactor <= 0 {
			k.RateFactor = 1
		}
		if k.Floor < 0 || k.Floor > k.Top || k.Aim < 0 || k.Deadline < 0 || k.Window < 0 {
			return set, errors.New("control: a class has no rung or a negative time: " + k.Name)
		}
	}
	return set, nil
}

// stream is the own session that x could share a live stream with at a server.
func (c *Controller) stream(x *session, s *server) *session {
	for _, y := range s.held {
		if c.shares(x, y) {
			return y
		}
	}
	return nil
}

// ownSessions tells at what part of the ready servers the front has sessions, and their mean rung in kB/s.
func (c *Controller) ownSessions() (view, rung float64) {
	ready, seen, playing := 0, 0, 0
	for _, s := range c.order {
		if s.State != Ready {
			continue
		}
		ready++
		if len(s.held) > 0 {
			seen++
		}
		for _, x := range s.held {
			if x.playing {
				rung, playing = rung+c.set.Ladder[x.rung], playing+1
			}
		}
	}
	return float64(seen) / float64(max(ready, 1)), rung / float64(max(playing, 1))
}
