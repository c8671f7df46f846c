// Package wire translates between the wire's lines and the module's events and actions.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"rainpulley/control"
)

// Batch is one line of input.
type Batch struct {
	Wall     int64             `json:"wall"`
	Seq      int64             `json:"seq"`
	Happened []json.RawMessage `json:"happened"`
}

// Event is one event with every field that any of them has.
type Event struct {
	M       string             `json:"m"`
	Front   int                `json:"frontId"`
	Salt    uint64             `json:"salt"`
	Facts   json.RawMessage    `json:"facts"`
	Sheet   int                `json:"sheet"`
	Members []Entry            `json:"members"`
	Kind    int                `json:"kind"`
	Req     string             `json:"req"`
	Type    int                `json:"type"`
	Group   int                `json:"userGroup"`
	PathKey uint64             `json:"pathKey"`
	Title   uint64             `json:"title"`
	Due     int64              `json:"due"`
	Length  float64            `json:"estimate"`
	Home    float64            `json:"home"`
	Span    float64            `json:"span"`
	Best    float64            `json:"bestRung"`
	Retry   bool               `json:"retry"`
	Moved   bool               `json:"backFromMove"`
	Again   bool               `json:"cameBack"`
	Server  string             `json:"server"`
	Trial   int                `json:"trial"`
	Reason  string             `json:"reason"`
	Spent   int64              `json:"spent"`
	NoMore  bool               `json:"noMore"`
	Gauge   map[string]float64 `json:"gauge"`
	X       float64            `json:"x"`
	Label   string             `json:"label"`
	Peer    int                `json:"neighbour"`
	Data    string             `json:"data"`
}

// Entry is one line of a server list.
type Entry struct {
	Server    string  `json:"server"`
	Zone      int     `json:"zone"`
	Machine   int     `json:"machine"`
	SlotNo    int     `json:"slotNo"`
	Condition int     `json:"condition"`
	Nominal   float64 `json:"nominal"`
	UpSince   int64   `json:"upSince"`
}

// Message is one action on the wire.
type Message struct {
	M         string  `json:"m"`
	Front     int     `json:"frontId"`
	Req       string  `json:"req,omitempty"`
	Server    string  `json:"server,omitempty"`
	Patience  int64   `json:"patience,omitempty"`
	Step      *int    `json:"step,omitempty"`
	StayAway  int64   `json:"stayAway,omitempty"`
	Trial     *int    `json:"trial,omitempty"`
	In        *int64  `json:"in,omitempty"`
	Label     string  `json:"label,omitempty"`
	Active    *bool   `json:"active,omitempty"`
	Recipient *int    `json:"recipient,omitempty"`
	Data      *string `json:"data,omitempty"`
	Words     string  `json:"words,omitempty"`
}

// Reply is one line of output.
type Reply struct {
	Seq    int64     `json:"seq"`
	Outbox []Message `json:"outbox"`
}

type facts struct {
	Discovery  string
	FamilyInfo struct {
		Cells        int
		ClassFloor   []int
		ClassTop     []int
		FullFrom     float64
		JoinAdds     float64
		KindStreams  []float64
		LadderKb     []float64
		LicenceCap   []int
		LinksKb      float64
		Live         []bool
		RackLinkKb   float64
		RateFactor   []float64
		ReportsEvery int64
		RungWorth    []float64
		See          int64
		Shelves      int
		SwitchS      float64
		WeightKb     float64
	}
	GroupSize, Position, Locality int
	OverShareWorth                float64
	Weights                       string
	Zones, Kinds                  []string
	Permissions                   struct {
		Cancel, Peers, Probing, RetryAfter bool
		MaxAttempts                        int
		MaxRetryAfter                      int64
		ConnIdle, ConnectTimeout           int64
	}
	Profiles []struct {
		Aim, Deadline, Window      int64
		DedupScope, Effect, Name   string
		LateWorth, Worth, AimStrch float64
	}
	Realms []struct {
		Name             string
		QuotaPerS, Share float64
	}
	Report struct {
		Columns []string
		How     string
	}
	Safety struct {
		AnswerSlack, AskEvery, Fall, RampTime, StopSendingWithin, RatioSpan int64
		FallMultiple, StartCapacity                                         float64
		FreeResends, ExtraPerRequest                                        float64
	}
	Tariffs struct{ CrossZone, Moves, Probe float64 }
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func pick[T any](list []T, i int, missing T) T {
	if i < len(list) {
		return list[i]
	}
	return missing
}

// Platform is what the start-up parameters tell beside the module's settings: names that stand for numbers
// elsewhere, and times of connections.
type Platform struct {
	Zones, Kinds   []string
	ConnectTimeout time.Duration // a connection that is not up by then is none
	ConnIdle       time.Duration // idle connections are closed after so long
	AnswerSlack    time.Duration // an answer so long after the deadline is in time
}

// ReadPlatform reads it.
func ReadPlatform(raw json.RawMessage) (Platform, error) {
	var f facts
	if err := json.Unmarshal(raw, &f); err != nil {
		return Platform{}, fmt.Errorf("settings: %w", err)
	}
	return Platform{Zones: f.Zones, Kinds: f.Kinds, ConnectTimeout: micros(f.Permissions.ConnectTimeout),
		ConnIdle: micros(f.Permissions.ConnIdle), AnswerSlack: micros(f.Safety.AnswerSlack)}, nil
}

// Settings reads the start-up parameters; what is missing stays "not stated".
func Settings(raw json.RawMessage) (control.Settings, error) {
	var f facts
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &f); err != nil {
			return control.Settings{}, fmt.Errorf("settings: %w", err)
		}
	}
	i, p, r := &f.FamilyInfo, &f.Permissions, &f.Safety
	s := control.Settings{
		Position: f.Position, Fronts: f.GroupSize, Zone: f.Locality,
		MustSubscribe: f.Discovery == "subscribe", ListReadInterval: micros(r.AskEvery),
		OverQuotaFactor: f.OverShareWorth, Ladder: i.LadderKb, RungWorth: i.RungWorth, JoinRateFactor: i.JoinAdds,
		Cells: i.Cells, Racks: i.Shelves, TotalLinkRate: i.LinksKb, RackUplinkRate: i.RackLinkKb, LinkRatePerWeight: i.WeightKb,
		RejectUtilization: i.FullFrom, NoteDelay: micros(i.See), LinkNoteInterval: micros(i.ReportsEvery),
		SwitchCost:  time.Duration(i.SwitchS * float64(time.Second)),
		AllowProbes: p.Probing, AllowPeerMessages: p.Peers, AllowCancel: p.Cancel, AllowRetryAfter: p.RetryAfter,
		MaxAttempts: p.MaxAttempts, MaxRetryAfter: micros(p.MaxRetryAfter),
		MovePrice: f.Tariffs.Moves, ZonePrice: f.Tariffs.CrossZone, ProbePrice: f.Tariffs.Probe,
		DrainGrace: micros(r.StopSendingWithin), Ramp: micros(r.RampTime), StartShare: r.StartCapacity,
		BurstFactor: r.FallMultiple, BurstSpan: micros(r.Fall), BudgetSpan: micros(r.RatioSpan),
		BudgetFree: r.FreeResends, BudgetShare: r.ExtraPerRequest,
	}
	for _, n := range i.KindStreams {
		s.StreamSlotsByKind = append(s.StreamSlotsByKind, int(n))
	}
	switch f.Weights {
	case "nominal", "rough":
		s.WeightMode = control.WeightSize
	case "live":
		s.WeightMode = control.WeightDynamic
	}
	switch f.Report.How {
	case "answers":
		s.ReportMode = control.ReportsInAnswers
	case "probe":
		s.ReportMode = control.ReportsByProbe
	}
	for n, c := range f.Profiles {
		class := control.Class{Name: c.Name, DedupWindow: micros(c.Window), Aim: micros(c.Aim), Deadline: micros(c.Deadline),
			Worth: c.Worth, LateWorth: c.LateWorth, RateFactor: pick(i.RateFactor, n, 1), MinRung: pick(i.ClassFloor, n, 0),
			MaxRung: pick(i.ClassTop, n, len(i.LadderKb)-1), Seats: pick(i.LicenceCap, n, 0), Live: pick(i.Live, n, false)}
		switch c.Effect {
		case "at_most_once":
			class.Effect = control.AtMostOnce
		case "deduplicated":
			class.Effect = control.Deduplicated
		}
		switch c.DedupScope {
		case "zone", "same zone":
			class.Scope = control.ScopeZone
		case "cell", "same cell":
			class.Scope = control.ScopeCell
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range f.Realms {
		s.Tenants = append(s.Tenants, control.Tenant{Name: t.Name, Share: t.Share, Quota: t.QuotaPerS})
	}
	return s, nil
}

// Servers translates a list.
func Servers(entries []Entry) []control.Server {
	out := make([]control.Server, len(entries))
	for i, e := range entries {
		out[i] = control.Server{ID: e.Server, Zone: e.Zone, Kind: e.Machine, Cell: e.SlotNo,
			State: control.ServerState(e.Condition), Weight: e.Nominal, Started: micros(e.UpSince)}
	}
	return out
}

var outcomes = map[string]control.Outcome{"S": control.Served, "E": control.Failed, "F": control.Full,
	"T": control.TimedOut, "C": control.ConnectFailed, "R": control.Reset, "X": control.Cancelled, "N": control.NotSent}

// Load translates a report, by the columns that the settings name.
func Load(g map[string]float64) *control.LoadReport {
	if len(g) == 0 {
		return nil
	}
	get := func(name string) *float64 {
		if v, ok := g[name]; ok {
			return &v
		}
		return nil
	}
	return &control.LoadReport{Streams: get("rif"), Link: get("x0"), CappedLink: get("busy"), Uplink: get("x1")}
}

// Translate turns a wire event into the module's; nil for one it does not know.
func Translate(e *Event, sheet []Entry) (control.Event, error) {
	switch e.M {
	case "Membership":
		u := control.ListUpdate{Whole: e.Kind == 1 || e.Kind == 2, Cached: e.Kind == 2, Failed: e.Kind == 3}
		if !u.Failed {
			u.Servers = Servers(sheet)
		}
		return u, nil
	case "NewRequest", "TakenOver":
		return control.Request{ID: e.Req, Class: e.Type, Tenant: e.Group, Viewer: e.PathKey, Title: e.Title,
			HomeCell: int(e.Home), CellSpan: int(e.Span), BestRung: int(e.Best), GiveUpAt: micros(e.Due), ExpectedLength: micros(int64(e.Length)),
			Repeat: e.Retry, Returned: e.Again, Moved: e.Moved, Playing: e.M == "TakenOver", Server: e.Server}, nil
	case "Flowing":
		return control.SessionStarted{ID: e.Req, Server: e.Server, Attempt: e.Trial, Took: micros(e.Spent)}, nil
	case "AttemptEnd":
		o, ok := outcomes[e.Reason]
		if !ok {
			return nil, fmt.Errorf("AttemptEnd: unknown reason %q", e.Reason)
		}
		return control.AttemptEnded{ID: e.Req, Server: e.Server, Attempt: e.Trial, Outcome: o, Took: micros(e.Spent),
			Final: e.NoMore, Load: Load(e.Gauge)}, nil
	case "Heartbeat":
		return control.Note{ID: e.Req, Server: e.Server, Kind: control.NoteKind(e.Kind), Value: e.X}, nil
	case "Left":
		return control.ViewerLeft{ID: e.Req}, nil
	case "HealthResult":
		return control.ProbeResult{Server: e.Server, OK: e.Reason == "S", Load: Load(e.Gauge)}, nil
	case "FromPeer":
		return control.PeerMessage{From: e.Peer, Data: e.Data}, nil
	case "Reminder":
		return control.TimerFired{Label: e.Label}, nil
	}
	return nil, nil
}

// Encode turns an action into its message.
func Encode(front int, a control.Action) Message {
	yes := true
	m := Message{Front: front}
	switch a := a.(type) {
	case control.Send:
		m.M, m.Req, m.Server, m.Patience = "Try", a.ID, a.Server, a.Timeout.Microseconds()
	case control.SetRung:
		m.M, m.Req, m.Step = "SetRung", a.ID, &a.Rung
	case control.Refuse:
		m.M, m.Req, m.StayAway = "Bounce", a.ID, a.RetryAfter.Microseconds()
	case control.Fail:
		m.M, m.Req = "GiveUp", a.ID
	case control.Cancel:
		m.M, m.Req, m.Trial = "Revoke", a.ID, &a.Attempt
	case control.Move:
		m.M, m.Req = "Rebalance", a.ID
	case control.Probe:
		m.M, m.Server = "Ping", a.Server
	case control.SetTimer:
		in := a.Delay.Microseconds()
		m.M, m.In, m.Label = "After", &in, a.Label
	case control.Subscribe:
		m.M, m.Active = "Track", &yes
	case control.ReadList:
		m.M = "ReadList"
	case control.SendToPeer:
		m.M, m.Recipient, m.Data = "BroadcastTo", &a.Front, &a.Data
	}
	return m
}

// Host runs many instances, each with a module of its own.
type Host struct {
	fronts map[int]*control.Controller
	sheets map[int][]Entry
}

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{fronts: map[int]*control.Controller{}, sheets: map[int][]Entry{}}
}

// Line answers one line of input. An error means the line is malformed and no reply exists.
func (h *Host) Line(line []byte) ([]byte, error) {
	var b Batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("malformed batch: %w", err)
	}
	reply := Reply{Seq: b.Seq, Outbox: []Message{}}
	pending := map[int][]control.Event{}
	step := func(front int) {
		if c := h.fronts[front]; c != nil && len(pending[front]) > 0 {
			for _, a := range c.Step(micros(b.Wall), pending[front]) {
				reply.Outbox = append(reply.Outbox, Encode(front, a))
			}
		}
		delete(pending, front)
	}
	for i, raw := range b.Happened {
		var e Event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("malformed event %d of batch %d: %w", i, b.Seq, err)
		}
		switch e.M {
		case "":
			return nil, fmt.Errorf("malformed event %d of batch %d: no message name", i, b.Seq)
		case "Ledger":
			h.sheets[e.Sheet] = e.Members
			continue
		case "CrashNow":
			delete(pending, e.Front)
			delete(h.fronts, e.Front)
			continue
		case "Hello":
			delete(pending, e.Front)
			set, err := Settings(e.Facts)
			if err != nil {
				return nil, fmt.Errorf("event %d of batch %d: %w", i, b.Seq, err)
			}
			c, err := control.New(set, e.Salt)
			if err != nil {
				return nil, fmt.Errorf("event %d of batch %d: %w", i, b.Seq, err)
			}
			h.fronts[e.Front] = c
			continue
		}
		ev, err := Translate(&e, h.sheets[e.Sheet])
		if err != nil {
			return nil, fmt.Errorf("malformed event %d of batch %d: %w", i, b.Seq, err)
		}
		if ev != nil {
			pending[e.Front] = append(pending[e.Front], ev)
		}
	}
	fronts := make([]int, 0, len(pending))
	for f := range pending {
		fronts = append(fronts, f)
	}
	sort.Ints(fronts)
	for _, f := range fronts {
		step(f)
	}
	return encodeReply(reply)
}

func encodeReply(r Reply) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Exception is the reply that reports broken decision code, in answer to a line.
func Exception(line []byte, words string) []byte {
	var b struct {
		Seq      int64                   `json:"seq"`
		Happened []struct{ FrontID int } `json:"happened"`
	}
	_ = json.Unmarshal(line, &b) // best effort: the line was read once already
	m := Message{M: "Exception", Words: words}
	if len(b.Happened) > 0 {
		m.Front = b.Happened[0].FrontID
	}
	out, _ := encodeReply(Reply{Seq: b.Seq, Outbox: []Message{m}})
	return out
}
