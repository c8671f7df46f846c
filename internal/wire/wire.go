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
	WallMicros int64             `json:"wall"`
	Seq        int64             `json:"seq"`
	Events     []json.RawMessage `json:"happened"`
}

// Event is one event with every field that any of them has.
type Event struct {
	Name           string             `json:"m"`
	Front          int                `json:"frontId"`
	Seed           uint64             `json:"salt"`
	Settings       json.RawMessage    `json:"facts"`
	ListID         int                `json:"sheet"`
	Entries        []ListEntry        `json:"members"`
	Kind           int                `json:"kind"`
	RequestID      string             `json:"req"`
	Class          int                `json:"type"`
	Tenant         int                `json:"userGroup"`
	Viewer         uint64             `json:"pathKey"`
	Title          uint64             `json:"title"`
	GiveUpAt       int64              `json:"due"`
	ExpectedLength float64            `json:"estimate"`
	HomeCell       float64            `json:"home"`
	CellSpan       float64            `json:"span"`
	BestRung       float64            `json:"bestRung"`
	Repeat         bool               `json:"retry"`
	Moved          bool               `json:"backFromMove"`
	Returned       bool               `json:"cameBack"`
	Server         string             `json:"server"`
	Attempt        int                `json:"trial"`
	Reason         string             `json:"reason"`
	Took           int64              `json:"spent"`
	Final          bool               `json:"noMore"`
	Load           map[string]float64 `json:"gauge"`
	Value          float64            `json:"x"`
	Label          string             `json:"label"`
	Peer           int                `json:"neighbour"`
	Data           string             `json:"data"`
}

// Entry is one line of a server list.
type ListEntry struct {
	Server  string  `json:"server"`
	Zone    int     `json:"zone"`
	Kind    int     `json:"machine"`
	Cell    int     `json:"slotNo"`
	State   int     `json:"condition"`
	Weight  float64 `json:"nominal"`
	Started int64   `json:"upSince"`
}

// Message is one action on the wire.
type Message struct {
	Name       string  `json:"m"`
	Front      int     `json:"frontId"`
	RequestID  string  `json:"req,omitempty"`
	Server     string  `json:"server,omitempty"`
	Timeout    int64   `json:"patience,omitempty"`
	Rung       *int    `json:"step,omitempty"`
	RetryAfter int64   `json:"stayAway,omitempty"`
	Attempt    *int    `json:"trial,omitempty"`
	Delay      *int64  `json:"in,omitempty"`
	Label      string  `json:"label,omitempty"`
	Active     *bool   `json:"active,omitempty"`
	Recipient  *int    `json:"recipient,omitempty"`
	Data       *string `json:"data,omitempty"`
	Text       string  `json:"words,omitempty"`
}

// Reply is one line of output.
type Reply struct {
	Seq      int64     `json:"seq"`
	Messages []Message `json:"outbox"`
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

func fromMicroseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func elementOr[T any](list []T, i int, missing T) T {
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
	return Platform{Zones: f.Zones, Kinds: f.Kinds, ConnectTimeout: fromMicroseconds(f.Permissions.ConnectTimeout),
		ConnIdle: fromMicroseconds(f.Permissions.ConnIdle), AnswerSlack: fromMicroseconds(f.Safety.AnswerSlack)}, nil
}

// Settings reads the start-up parameters; what is missing stays "not stated".
func ParseSettings(raw json.RawMessage) (control.Settings, error) {
	var f facts
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &f); err != nil {
			return control.Settings{}, fmt.Errorf("settings: %w", err)
		}
	}
	i, p, r := &f.FamilyInfo, &f.Permissions, &f.Safety
	s := control.Settings{
		Position: f.Position, Fronts: f.GroupSize, Zone: f.Locality,
		MustSubscribe: f.Discovery == "subscribe", ListReadInterval: fromMicroseconds(r.AskEvery),
		OverQuotaFactor: f.OverShareWorth, Ladder: i.LadderKb, RungWorth: i.RungWorth, JoinRateFactor: i.JoinAdds,
		Cells: i.Cells, Racks: i.Shelves, TotalLinkRate: i.LinksKb, RackUplinkRate: i.RackLinkKb, LinkRatePerWeight: i.WeightKb,
		RejectUtilization: i.FullFrom, NoteDelay: fromMicroseconds(i.See), LinkNoteInterval: fromMicroseconds(i.ReportsEvery),
		SwitchCost:  time.Duration(i.SwitchS * float64(time.Second)),
		AllowProbes: p.Probing, AllowPeerMessages: p.Peers, AllowCancel: p.Cancel, AllowRetryAfter: p.RetryAfter,
		MaxAttempts: p.MaxAttempts, MaxRetryAfter: fromMicroseconds(p.MaxRetryAfter),
		MovePrice: f.Tariffs.Moves, ZonePrice: f.Tariffs.CrossZone, ProbePrice: f.Tariffs.Probe,
		DrainGrace: fromMicroseconds(r.StopSendingWithin), Ramp: fromMicroseconds(r.RampTime), StartShare: r.StartCapacity,
		BurstFactor: r.FallMultiple, BurstSpan: fromMicroseconds(r.Fall), BudgetSpan: fromMicroseconds(r.RatioSpan),
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
		class := control.Class{Name: c.Name, DedupWindow: fromMicroseconds(c.Window), Aim: fromMicroseconds(c.Aim), Deadline: fromMicroseconds(c.Deadline),
			Worth: c.Worth, LateWorth: c.LateWorth, RateFactor: elementOr(i.RateFactor, n, 1), MinRung: elementOr(i.ClassFloor, n, 0),
			MaxRung: elementOr(i.ClassTop, n, len(i.LadderKb)-1), Seats: elementOr(i.LicenceCap, n, 0), Live: elementOr(i.Live, n, false)}
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
func ConvertServers(entries []ListEntry) []control.Server {
	out := make([]control.Server, len(entries))
	for i, e := range entries {
		out[i] = control.Server{ID: e.Server, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
			State: control.ServerState(e.State), Weight: e.Weight, Started: fromMicroseconds(e.Started)}
	}
	return out
}

var outcomeByCode = map[string]control.Outcome{"S": control.Served, "E": control.Failed, "F": control.Full,
	"T": control.TimedOut, "C": control.ConnectFailed, "R": control.Reset, "X": control.Cancelled, "N": control.NotSent}

// Load translates a report, by the columns that the settings name.
func ConvertLoad(g map[string]float64) *control.LoadReport {
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
func DecodeEvent(e *Event, sheet []ListEntry) (control.Event, error) {
	switch e.Name {
	case "Membership":
		u := control.ListUpdate{Whole: e.Kind == 1 || e.Kind == 2, Cached: e.Kind == 2, Failed: e.Kind == 3}
		if !u.Failed {
			u.Servers = ConvertServers(sheet)
		}
		return u, nil
	case "NewRequest", "TakenOver":
		return control.Request{ID: e.RequestID, Class: e.Class, Tenant: e.Tenant, Viewer: e.Viewer, Title: e.Title,
			HomeCell: int(e.HomeCell), CellSpan: int(e.CellSpan), BestRung: int(e.BestRung), GiveUpAt: fromMicroseconds(e.GiveUpAt), ExpectedLength: fromMicroseconds(int64(e.ExpectedLength)),
			Repeat: e.Repeat, Returned: e.Returned, Moved: e.Moved, Playing: e.Name == "TakenOver", Server: e.Server}, nil
	case "Flowing":
		return control.SessionStarted{ID: e.RequestID, Server: e.Server, Attempt: e.Attempt, Took: fromMicroseconds(e.Took)}, nil
	case "AttemptEnd":
		o, ok := outcomeByCode[e.Reason]
		if !ok {
			return nil, fmt.Errorf("AttemptEnd: unknown reason %q", e.Reason)
		}
		return control.AttemptEnded{ID: e.RequestID, Server: e.Server, Attempt: e.Attempt, Outcome: o, Took: fromMicroseconds(e.Took),
			Final: e.Final, Load: ConvertLoad(e.Load)}, nil
	case "Heartbeat":
		return control.Note{ID: e.RequestID, Server: e.Server, Kind: control.NoteKind(e.Kind), Value: e.Value}, nil
	case "Left":
		return control.ViewerLeft{ID: e.RequestID}, nil
	case "HealthResult":
		return control.ProbeResult{Server: e.Server, OK: e.Reason == "S", Load: ConvertLoad(e.Load)}, nil
	case "FromPeer":
		return control.PeerMessage{From: e.Peer, Data: e.Data}, nil
	case "Reminder":
		return control.TimerFired{Label: e.Label}, nil
	}
	return nil, nil
}

// Encode turns an action into its message.
func EncodeAction(front int, a control.Action) Message {
	yes := true
	m := Message{Front: front}
	switch a := a.(type) {
	case control.Send:
		m.Name, m.RequestID, m.Server, m.Timeout = "Try", a.ID, a.Server, a.Timeout.Microseconds()
	case control.SetRung:
		m.Name, m.RequestID, m.Rung = "SetRung", a.ID, &a.Rung
	case control.Refuse:
		m.Name, m.RequestID, m.RetryAfter = "Bounce", a.ID, a.RetryAfter.Microseconds()
	case control.Fail:
		m.Name, m.RequestID = "GiveUp", a.ID
	case control.Cancel:
		m.Name, m.RequestID, m.Attempt = "Revoke", a.ID, &a.Attempt
	case control.Move:
		m.Name, m.RequestID = "Rebalance", a.ID
	case control.Probe:
		m.Name, m.Server = "Ping", a.Server
	case control.SetTimer:
		in := a.Delay.Microseconds()
		m.Name, m.Delay, m.Label = "After", &in, a.Label
	case control.Subscribe:
		m.Name, m.Active = "Track", &yes
	case control.ReadList:
		m.Name = "ReadList"
	case control.SendToPeer:
		m.Name, m.Recipient, m.Data = "BroadcastTo", &a.Front, &a.Data
	}
	return m
}

// Host runs many instances, each with a module of its own.
type Host struct {
	controllers map[int]*control.Controller
	lists       map[int][]ListEntry
}

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{controllers: map[int]*control.Controller{}, lists: map[int][]ListEntry{}}
}

// Line answers one line of input. An error means the line is malformed and no reply exists.
func (h *Host) HandleLine(line []byte) ([]byte, error) {
	var b Batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("malformed batch: %w", err)
	}
	reply := Reply{Seq: b.Seq, Messages: []Message{}}
	pending := map[int][]control.Event{}
	step := func(front int) {
		if c := h.controllers[front]; c != nil && len(pending[front]) > 0 {
			for _, a := range c.Step(fromMicroseconds(b.WallMicros), pending[front]) {
				reply.Messages = append(reply.Messages, EncodeAction(front, a))
			}
		}
		delete(pending, front)
	}
	for i, raw := range b.Events {
		var e Event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("malformed event %d of batch %d: %w", i, b.Seq, err)
		}
		switch e.Name {
		case "":
			return nil, fmt.Errorf("malformed event %d of batch %d: no message name", i, b.Seq)
		case "Ledger":
			h.lists[e.ListID] = e.Entries
			continue
		case "CrashNow":
			delete(pending, e.Front)
			delete(h.controllers, e.Front)
			continue
		case "Hello":
			delete(pending, e.Front)
			set, err := ParseSettings(e.Settings)
			if err != nil {
				return nil, fmt.Errorf("event %d of batch %d: %w", i, b.Seq, err)
			}
			c, err := control.New(set, e.Seed)
			if err != nil {
				return nil, fmt.Errorf("event %d of batch %d: %w", i, b.Seq, err)
			}
			h.controllers[e.Front] = c
			continue
		}
		ev, err := DecodeEvent(&e, h.lists[e.ListID])
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
func ExceptionReply(line []byte, words string) []byte {
	var b struct {
		Seq      int64                   `json:"seq"`
		Happened []struct{ FrontID int } `json:"happened"`
	}
	_ = json.Unmarshal(line, &b) // best effort: the line was read once already
	m := Message{Name: "Exception", Text: words}
	if len(b.Happened) > 0 {
		m.Front = b.Happened[0].FrontID
	}
	out, _ := encodeReply(Reply{Seq: b.Seq, Messages: []Message{m}})
	return out
}
