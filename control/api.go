// Package control decides which server of a media fleet runs each session, at
// which rung of the rate ladder, and when a session is retried, refused,
// switched to another rung or moved. A front passes its observations in as
// events and carries out the returned actions.
package control

import "time"

// Settings configures the controller of one front. A zero field means "not
// stated": no limit, a feature that is off, or an unknown size.
type Settings struct {
	Position, Fronts int // index of this front, and the number of fronts that share the fleet
	Zone             int // zone of this front

	MustSubscribe    bool          // the controller must subscribe to the server list
	ListReadInterval time.Duration // longest time between reads of the list if there is no subscription

	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64 // factor on the worth of a request beyond its tenant's quota

	Ladder         []float64 // kB/s of each rung, in rising order
	RungWorth      []float64 // worth of each rung
	JoinRateFactor float64   // part of its rate that a further viewer adds to a live stream; 0 or 1: not shared

	Cells, Racks      int
	StreamSlotsByKind []int   // most streams that a server of each kind runs
	TotalLinkRate     float64 // kB/s, sum over all server links
	RackUplinkRate    float64 // kB/s, mean over the racks' uplinks
	LinkRatePerWeight float64 // kB/s of link capacity for each unit of a server's weight
	WeightMode        WeightMode
	RejectUtilization float64 // link utilization from which servers reject set-ups; 0: they never do

	NoteDelay        time.Duration // delay of the notes about playing sessions
	LinkNoteInterval time.Duration // time between link notes; 0: there are no link notes
	SwitchCost       time.Duration // a change of rung costs the worth of this much playing time

	ReportMode ReportMode

	AllowProbes, AllowPeerMessages, AllowCancel, AllowRetryAfter bool
	MaxAttempts                                                  int // for one request; 0: no limit
	MaxRetryAfter                                                time.Duration
	MovePrice, ZonePrice, ProbePrice                             float64 // parts of a session's worth

	DrainGrace  time.Duration
	Ramp        time.Duration // time from a server's start to its full capacity for set-ups
	StartShare  float64       // part of this capacity that a server has right after its start
	BurstFactor float64       // this multiple of its current set-up rate, sustained for BurstSpan, overloads it
	BurstSpan   time.Duration

	BudgetSpan  time.Duration // time over which retries are counted; 0: the budget for retries is unlimited
	BudgetFree  float64       // retries allowed regardless of the number of requests
	BudgetShare float64       // retries allowed for each request received
}

// Class describes one class of sessions. Aim is the answer time wanted.
type Class struct {
	Name             string
	Effect           Effect
	Scope            Scope
	DedupWindow      time.Duration // time for which servers remember a deduplicated set-up
	Aim, Deadline    time.Duration
	Worth            float64
	RateFactor       float64 // ratio of its rates to those of the ladder; 0 counts as 1
	MinRung, MaxRung int     // lowest and highest rung; New limits MaxRung to the top of the ladder
	Seats            int     // most sessions of one title that a front may run; 0: no limit
	Live             bool    // viewers of one title can share a stream
	LateWorth        float64
	StretchPerWork   float64
}

// Tenant has a share of the fleet. The worth of requests beyond Quota, in
// requests per second, is multiplied by Settings.OverQuotaFactor.
type Tenant struct {
	Name  string
	Share float64
	Quota float64
}

// Effect is the effect of a repeated set-up.
type Effect int

// Effects of a class.
const (
	Idempotent   Effect = iota // a repeat has no further effect
	Deduplicated               // servers within the class's Scope recognise a repeat during DedupWindow
	AtMostOnce                 // a set-up may run once at most
)

// Scope is the group of servers within which a repeated set-up is recognised.
type Scope int

// Scopes of a deduplicated class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// WeightMode is the meaning of a server's weight on the server list.
type WeightMode int

// Meanings of a weight.
const (
	WeightNone    WeightMode = iota
	WeightSize               // proportional to the capacity of the server's link
	WeightDynamic            // changes with the load, so the size cannot be derived from it
)

// ReportMode is the way in which load reports arrive.
type ReportMode int

// Ways in which load reports arrive.
const (
	ReportsNone      ReportMode = iota
	ReportsInAnswers            // in the servers' answers
	ReportsByProbe              // in answers to probes
)

// LoadReport is one report of a server's load; nil fields were not reported. A
// utilization is the requested rate divided by the capacity, and may exceed 1.
type LoadReport struct {
	Streams    *float64 // streams that play or are being set up
	Link       *float64 // utilization of the server's link
	CappedLink *float64 // the same, clipped to 1
	Uplink     *float64 // utilization of the rack's uplink
}

// ServerState is the state of a server on the server list.
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
	Started time.Duration // time of the last start; 0: long ago
}

// Outcome is the way in which an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Served Outcome = iota
	Failed
	Full          // the server rejected the set-up for lack of capacity; it never ran
	TimedOut      // the set-up may run
	ConnectFailed // the set-up never ran
	Reset         // the connection was lost; the set-up may have run
	Cancelled
	NotSent // the set-up never left the front
)

// Event is an observation of the front.
type Event interface{ event() }

// ListUpdate carries the changed lines of the server list, or the complete
// list if Whole. Failed reports that the subscription to the list failed, and
// Cached that the list was stored earlier and may be outdated.
type ListUpdate struct {
	Whole, Failed, Cached bool
	Servers               []Server
}

// Request asks for a session. Playing marks a session that already plays on
// Server and is handed over to this front.
type Request struct {
	ID                 string
	Class, Tenant      int
	Viewer, Title      uint64
	HomeCell, CellSpan int           // the title's cells: the first one, and how many in a row
	Holders            []string      // sorted IDs of the servers that have the title; nil: all servers of its cells
	BestRung           int           // highest rung that the viewer can use
	GiveUpAt           time.Duration // time at which the viewer gives up
	ExpectedLength     time.Duration // rough length of the session; 0: unknown
	Repeat, Returned   bool          // requested before; requested again after an interruption or a refusal
	Moved              bool          // requested again because the session was moved
	Playing            bool
	Server             string // set if Playing
}

// SessionStarted reports that the session plays. Took is the time since the
// attempt was sent.
type SessionStarted struct {
	ID, Server string
	Attempt    int
	Took       time.Duration
}

// AttemptEnded reports the end of an attempt. Final is set if the request
// ended with it.
type AttemptEnded struct {
	ID, Server string
	Attempt    int
	Outcome    Outcome
	Took       time.Duration
	Final      bool
	Load       *LoadReport
}

// NoteKind is the quantity that a note about a playing session reports.
type NoteKind int

// Kinds of notes.
const (
	NoteShare  NoteKind = iota + 1 // part of the session's rate that the server delivers
	NoteRung                       // rung at which the session plays
	NoteLink                       // utilization of the server's link
	NoteUplink                     // utilization of the rack's uplink
)

// Note is a server's message about a playing session.
type Note struct {
	ID, Server string
	Kind       NoteKind
	Value      float64
}

// ViewerLeft reports that the viewer of a request disconnected.
type ViewerLeft struct{ ID string }

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Server string
	OK     bool
	Load   *LoadReport
}

// PeerMessage is a message received from another front.
type PeerMessage struct {
	From int
	Data string
}

// HoldsUpdate replaces all holds, that is the capacity reserved for announced
// sessions.
type HoldsUpdate struct{ Holds []Hold }

// Hold is capacity reserved on one server for the sessions of one class and
// title at all fronts together. Rate and Streams are the parts that were still
// unused when the hold was published.
type Hold struct {
	Server  string
	Class   int
	Title   uint64
	Rate    float64 // kB/s on the server's link and on its rack's uplink
	Streams float64
}

// TimerFired reports that a timer set by SetTimer expired.
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

// Action is an instruction to the front. Actions are carried out in order.
type Action interface{ action() }

// Send asks a server to start the session. With a Timeout of 0 the attempt
// lasts until the viewer gives up.
type Send struct {
	ID, Server string
	Timeout    time.Duration
}

// SetRung sets a session's rung.
type SetRung struct {
	ID   string
	Rung int
}

// Refuse rejects a request for which no set-up ran or a repeat has no effect.
// RetryAfter is the delay before a new request that the answer advises.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends a request of which a set-up may have run.
type Fail struct{ ID string }

// Cancel abandons an attempt that is in progress.
type Cancel struct {
	ID      string
	Attempt int
}

// Move ends a playing session on its server; the viewer then requests it again
// at this front.
type Move struct{ ID string }

// Probe requests the health and load of a server.
type Probe struct{ Server string }

// SetTimer requests a TimerFired event with the same label after a delay.
type SetTimer struct {
	Delay time.Duration
	Label string
}

// Subscribe subscribes to changes of the server list.
type Subscribe struct{}

// ReadList requests the complete server list once.
type ReadList struct{}

// SendToPeer sends a short message to one other front.
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
