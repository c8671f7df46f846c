// Package control decides where each session of a media fleet goes, at which
// rung of the rate ladder, and when it is retried, refused, switched or moved.
// A front feeds it what it sees and carries out what it answers.
package control

import "time"

// Settings is what a front is told at start. A zero field means "not stated":
// no limit, no such feature, or an unknown size.
type Settings struct {
	Position, Fronts int // this front's number, and how many share the fleet
	Zone             int // the zone this front lives in

	MustSubscribe    bool          // the server list must be subscribed to
	ListReadInterval time.Duration // without a subscription, the list must be read this often

	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64 // worth of a request past its tenant's share, as a part of its class's worth

	Ladder         []float64 // kB/s of each rung, rising
	RungWorth      []float64 // worth of each rung
	JoinRateFactor float64   // what a further viewer adds to a shared live stream; 0 or 1: nothing is shared

	Cells, Racks      int
	StreamSlotsByKind []int   // streams a server of each kind runs at most
	TotalLinkRate     float64 // kB/s of all server links together
	RackUplinkRate    float64 // kB/s, mean uplink of a rack
	LinkRatePerWeight float64 // kB/s of link for each unit of a server's weight
	WeightMode        WeightMode
	RejectUtilization float64 // servers turn set-ups away from this link fullness on; 0: never

	NoteDelay        time.Duration // how late notes on playing sessions are
	LinkNoteInterval time.Duration // time between link notes; 0: none come
	SwitchCost       time.Duration // a change of rung costs so much playing time's worth

	ReportMode ReportMode

	AllowProbes, AllowPeerMessages, AllowCancel, AllowRetryAfter bool
	MaxAttempts                                                  int // for one request; 0: not limited
	MaxRetryAfter                                                time.Duration
	MovePrice, ZonePrice, ProbePrice                             float64 // share of a session's worth

	DrainGrace  time.Duration
	Ramp        time.Duration // a started server is warm after this long
	StartShare  float64       // part of its capacity it starts with
	BurstFactor float64       // so many times its pace, held for FallSpan, push it over
	BurstSpan   time.Duration

	BudgetSpan  time.Duration // further attempts are counted over this span; 0: no budget
	BudgetFree  float64
	BudgetShare float64 // further attempts allowed for each request taken
}

// Class describes one class of sessions.
type Class struct {
	Name             string
	Effect           Effect
	Scope            Scope
	DedupWindow      time.Duration // how long a deduplicated set-up is remembered
	Aim, Deadline    time.Duration
	Worth            float64
	RateFactor       float64 // its rates over those of the ladder; 0 counts as 1
	MinRung, MaxRung int     // lowest and highest rung; settings without tops use the ladder's
	Seats            int     // sessions of one title a front may hold; 0: no cap
	Live             bool
	LateWorth        float64
	StretchPerWork   float64
}

// Tenant has a share of the fleet; requests past Quota a second are worth little.
type Tenant struct {
	Name  string
	Share float64
	Quota float64
}

// Effect says what a repeated set-up does.
type Effect int

// Effects of a class.
const (
	Idempotent Effect = iota
	Deduplicated
	AtMostOnce
)

// Scope is the group of servers that recognise a repeat of each other's set-ups.
type Scope int

// Scopes of a deduplicated class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Weights says what the list's weight of a server means.
type WeightMode int

// Meanings of a weight.
const (
	WeightNone WeightMode = iota
	WeightSize
	WeightDynamic // shifts with load, so it tells no size
)

// Reports says how load reports come.
type ReportMode int

// Ways for reports to come.
const (
	ReportsNone ReportMode = iota
	ReportsInAnswers
	ReportsByProbe
)

// Load is one load report; nil fields were not reported.
type LoadReport struct {
	Streams    *float64 // streams run or set up
	Link       *float64 // asked of the link over what it gives
	CappedLink *float64 // the same, 1 at most
	Uplink     *float64 // asked of the rack's uplink over what it gives
}

// State of a server on the list.
type ServerState int

// States of a listed server.
const (
	Gone ServerState = iota
	Ready
	Draining
)

// Server is one line of the server list.
type Server struct {
	ID      string
	Zone    int
	Kind    int
	Cell    int
	State   ServerState
	Weight  float64
	Started time.Duration // 0: long ago
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Served Outcome = iota
	Failed
	Full          // never ran
	TimedOut      // may run
	ConnectFailed // never ran
	Reset
	Cancelled
	NotSent // never sent
)

// Event is something the front saw.
type Event interface{ event() }

// ListUpdate brings the server list: changed lines, or all of it if Whole.
type ListUpdate struct {
	Whole, Failed, Cached bool
	Servers               []Server
}

// Request asks for a session; Playing marks one handed over while it plays.
type Request struct {
	ID                 string
	Class, Tenant      int
	Viewer, Title      uint64
	HomeCell, CellSpan int           // the title's cells
	Holders            []string      // servers that have the title, in order; nil: those of its cells
	BestRung           int           // highest rung the viewer can use
	GiveUpAt           time.Duration // when the viewer gives up
	ExpectedLength     time.Duration // rough length, 0: not told
	Repeat, Returned   bool
	Moved              bool
	Playing            bool
	Server             string // with Playing
}

// Started says that the session plays.
type SessionStarted struct {
	ID, Server string
	Attempt    int
	Took       time.Duration
}

// Ended says how an attempt finished; Final when the request is over with it.
type AttemptEnded struct {
	ID, Server string
	Attempt    int
	Outcome    Outcome
	Took       time.Duration
	Final      bool
	Load       *LoadReport
}

// NoteKind is what a note on a playing session tells.
type NoteKind int

// Kinds of notes.
const (
	NoteShare  NoteKind = iota + 1 // part of the rate that is delivered
	NoteRung                       // rung in force
	NoteLink                       // asked of the link over what it gives
	NoteUplink                     // the same for the rack's uplink
)

// Note is told of a playing session's server.
type Note struct {
	ID, Server string
	Kind       NoteKind
	Value      float64
}

// Left says that the viewer of a request went away.
type ViewerLeft struct{ ID string }

// Probed is what a probe found.
type ProbeResult struct {
	Server string
	OK     bool
	Load   *LoadReport
}

// PeerMessage came from another front.
type PeerMessage struct {
	From int
	Data string
}

// Holds tells the room that is kept for announced sessions; it replaces all that was told before.
type HoldsUpdate struct{ Holds []Hold }

// Hold is room on one server for sessions of one class and title, of all fronts together, as it was
// still unused when told.
type Hold struct {
	Server  string
	Class   int
	Title   uint64
	Rate    float64 // kB/s, of its link and of its rack's uplink
	Streams float64
}

// TimerFired is a timer set earlier.
type TimerFired struct{ Label string }

func (ListUpdate) event()     {}
func (Request) event()        {}
func (SessionStarted) event() {}
func (AttemptEnded) event()   {}
func (Note) event()           {}
func (ViewerLeft) event()     {}
func (ProbeResult) event()    {}
func (PeerMessage) event()    {}
func (HoldsUpdate) event()    {}
func (TimerFired) event()     {}

// Action is something the front is to do, in order.
type Action interface{ action() }

// Send asks a server to start the session; Timeout 0 waits until the viewer gives up.
type Send struct {
	ID, Server string
	Timeout    time.Duration
}

// SetRung sets a session's rung.
type SetRung struct {
	ID   string
	Rung int
}

// Refuse turns the request away; it never ran. After advises when to return.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends the request with no promise whether it ran.
type Fail struct{ ID string }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Move takes a playing session off its server; its viewer returns to this front.
type Move struct{ ID string }

// Probe asks a server for its health.
type Probe struct{ Server string }

// SetTimer asks for a TimerFired.
type SetTimer struct {
	Delay time.Duration
	Label string
}

// Subscribe asks for list changes from now on.
type Subscribe struct{}

// ReadList asks for the whole list once.
type ReadList struct{}

// Tell sends a short message to one other front.
type SendToPeer struct {
	Front int
	Data  string
}

func (Send) action()       {}
func (SetRung) action()    {}
func (Refuse) action()     {}
func (Fail) action()       {}
func (Cancel) action()     {}
func (Move) action()       {}
func (Probe) action()      {}
func (SetTimer) action()   {}
func (Subscribe) action()  {}
func (ReadList) action()   {}
func (SendToPeer) action() {}
