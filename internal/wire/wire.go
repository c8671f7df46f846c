// Package wire translates between JSON lines and the events and actions of package control.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"rainpulley/control"
)

// Batch is one input line: the events of one moment for any number of instances.
type Batch struct {
	WallMicros int64             `json:"wall"`
	Seq        int64             `json:"seq"`
	Events     []json.RawMessage `json:"happened"`
}

// Event holds the fields of every kind of event; a kind sets only those that it has.
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

// ListEntry is one server of a server list.
type ListEntry struct {
	Server  string  `json:"server"`
	Zone    int     `json:"zone"`
	Kind    int     `json:"machine"`
	Cell    int     `json:"slotNo"`
	State   int     `json:"condition"`
	Weight  float64 `json:"nominal"`
	Started int64   `json:"upSince"`
}

// Message is an action in its wire form.
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

// Reply is one output line, the answer to one batch.
type Reply struct {
	Seq      int64     `json:"seq"`
	Messages []Message `json:"outbox"`
}

// facts are the start-up parameters of an instance. They have no tags and are decoded by their field names.
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

// elementOr returns the element at index i, or missing if the list is too short.
func elementOr[T any](list []T, i int, missing T) T {
	if i < len(list) {
		return list[i]
	}
	return missing
}

// Platform holds the start-up parameters that are not settings of the controller: the names of zones and kinds,
// which other messages refer to by number, and connection times.
type Platform struct {
	Zones, Kinds   []string
	ConnectTimeout time.Duration // a connection attempt fails after this time
	ConnIdle       time.Duration // idle connections are closed after this time
	AnswerSlack    time.Duration // an answer this long after the deadline still counts as in time
}

// ReadPlatform decodes the Platform part of the start-up parameters.
func ReadPlatform(raw json.RawMessage) (Platform, error) {
	var params facts
	if err := json.Unmarshal(raw, &params); err != nil {
		return Platform{}, fmt.Errorf("settings: %w", err)
	}
	return Platform{
		Zones: params.Zones, Kinds: params.Kinds,
		ConnectTimeout: fromMicroseconds(params.Permissions.ConnectTimeout),
		ConnIdle:       fromMicroseconds(params.Permissions.ConnIdle),
		AnswerSlack:    fromMicroseconds(params.Safety.AnswerSlack),
	}, nil
}

// ParseSettings decodes the controller's settings from the start-up parameters. A missing parameter leaves its
// setting "not stated".
func ParseSettings(raw json.RawMessage) (control.Settings, error) {
	var params facts
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &params); err != nil {
			return control.Settings{}, fmt.Errorf("settings: %w", err)
		}
	}
	family, permissions, safety := &params.FamilyInfo, &params.Permissions, &params.Safety
	settings := control.Settings{
		Position: params.Position, Fronts: params.GroupSize, Zone: params.Locality,
		MustSubscribe: params.Discovery == "subscribe", ListReadInterval: fromMicroseconds(safety.AskEvery),
		OverQuotaFactor: params.OverShareWorth, Ladder: family.LadderKb, RungWorth: family.RungWorth,
		JoinRateFactor: family.JoinAdds, Cells: family.Cells, Racks: family.Shelves,
		TotalLinkRate: family.LinksKb, RackUplinkRate: family.RackLinkKb, LinkRatePerWeight: family.WeightKb,
		RejectUtilization: family.FullFrom, NoteDelay: fromMicroseconds(family.See),
		LinkNoteInterval: fromMicroseconds(family.ReportsEvery),
		SwitchCost:       time.Duration(family.SwitchS * float64(time.Second)),
		AllowProbes:      permissions.Probing, AllowPeerMessages: permissions.Peers,
		AllowCancel: permissions.Cancel, AllowRetryAfter: permissions.RetryAfter,
		MaxAttempts: permissions.MaxAttempts, MaxRetryAfter: fromMicroseconds(permissions.MaxRetryAfter),
		MovePrice: params.Tariffs.Moves, ZonePrice: params.Tariffs.CrossZone, ProbePrice: params.Tariffs.Probe,
		DrainGrace: fromMicroseconds(safety.StopSendingWithin), Ramp: fromMicroseconds(safety.RampTime),
		StartShare: safety.StartCapacity, BurstFactor: safety.FallMultiple, BurstSpan: fromMicroseconds(safety.Fall),
		BudgetSpan: fromMicroseconds(safety.RatioSpan), BudgetFree: safety.FreeResends,
		BudgetShare: safety.ExtraPerRequest,
	}
	for _, n := range family.KindStreams {
		settings.StreamSlotsByKind = append(settings.StreamSlotsByKind, int(n))
	}
	switch params.Weights {
	case "nominal", "rough":
		settings.WeightMode = control.WeightSize
	case "live":
		settings.WeightMode = control.WeightDynamic
	}
	switch params.Report.How {
	case "answers":
		settings.ReportMode = control.ReportsInAnswers
	case "probe":
		settings.ReportMode = control.ReportsByProbe
	}
	for n, c := range params.Profiles {
		class := control.Class{
			Name: c.Name, DedupWindow: fromMicroseconds(c.Window),
			Aim: fromMicroseconds(c.Aim), Deadline: fromMicroseconds(c.Deadline),
			Worth: c.Worth, LateWorth: c.LateWorth, RateFactor: elementOr(family.RateFactor, n, 1),
			MinRung: elementOr(family.ClassFloor, n, 0), MaxRung: elementOr(family.ClassTop, n, len(family.LadderKb)-1),
			Seats: elementOr(family.LicenceCap, n, 0), Live: elementOr(family.Live, n, false),
		}
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
		settings.Classes = append(settings.Classes, class)
	}
	for _, t := range params.Realms {
		settings.Tenants = append(settings.Tenants, control.Tenant{Name: t.Name, Share: t.Share, Quota: t.QuotaPerS})
	}
	return settings, nil
}

// ConvertServers converts the entries of a server list to the controller's servers.
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

// ConvertLoad converts a load report, whose columns have the names given in the settings; nil if it is empty.
func ConvertLoad(gauge map[string]float64) *control.LoadReport {
	if len(gauge) == 0 {
		return nil
	}
	get := func(name string) *float64 {
		if v, ok := gauge[name]; ok {
			return &v
		}
		return nil
	}
	return &control.LoadReport{Streams: get("rif"), Link: get("x0"), CappedLink: get("busy"), Uplink: get("x1")}
}

// DecodeEvent converts a wire event to the controller's event, or nil if its name is unknown.
func DecodeEvent(e *Event, list []ListEntry) (control.Event, error) {
	switch e.Name {
	case "Membership":
		update := control.ListUpdate{Whole: e.Kind == 1 || e.Kind == 2, Cached: e.Kind == 2, Failed: e.Kind == 3}
		if !update.Failed {
			update.Servers = ConvertServers(list)
		}
		return update, nil
	case "NewRequest", "TakenOver":
		return control.Request{ID: e.RequestID, Class: e.Class, Tenant: e.Tenant, Viewer: e.Viewer, Title: e.Title,
			HomeCell: int(e.HomeCell), CellSpan: int(e.CellSpan), BestRung: int(e.BestRung),
			GiveUpAt: fromMicroseconds(e.GiveUpAt), ExpectedLength: fromMicroseconds(int64(e.ExpectedLength)),
			Repeat: e.Repeat, Returned: e.Returned, Moved: e.Moved, Playing: e.Name == "TakenOver", Server: e.Server}, nil
	case "Flowing":
		return control.SessionStarted{ID: e.RequestID, Server: e.Server, Attempt: e.Attempt,
			Took: fromMicroseconds(e.Took)}, nil
	case "AttemptEnd":
		outcome, ok := outcomeByCode[e.Reason]
		if !ok {
			return nil, fmt.Errorf("AttemptEnd: unknown reason %q", e.Reason)
		}
		return control.AttemptEnded{ID: e.RequestID, Server: e.Server, Attempt: e.Attempt, Outcome: outcome,
			Took: fromMicroseconds(e.Took), Final: e.Final, Load: ConvertLoad(e.Load)}, nil
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

// EncodeAction converts an action of a front to its message.
func EncodeAction(front int, a control.Action) Message {
	active := true
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
		delay := a.Delay.Microseconds()
		m.Name, m.Delay, m.Label = "After", &delay, a.Label
	case control.Subscribe:
		m.Name, m.Active = "Track", &active
	case control.ReadList:
		m.Name = "ReadList"
	case control.SendToPeer:
		m.Name, m.Recipient, m.Data = "BroadcastTo", &a.Front, &a.Data
	}
	return m
}

// Host runs several front instances in one process, each with its own controller.
type Host struct {
	controllers map[int]*control.Controller
	lists       map[int][]ListEntry
}

// NewHost returns a Host without instances.
func NewHost() *Host {
	return &Host{controllers: map[int]*control.Controller{}, lists: map[int][]ListEntry{}}
}

// HandleLine processes one input line and returns its reply. It returns an error and no reply if the line is malformed.
func (h *Host) HandleLine(line []byte) ([]byte, error) {
	var batch Batch
	if err := json.Unmarshal(line, &batch); err != nil {
		return nil, fmt.Errorf("malformed batch: %w", err)
	}
	reply := Reply{Seq: batch.Seq, Messages: []Message{}}
	pending := map[int][]control.Event{}
	step := func(front int) {
		if c := h.controllers[front]; c != nil && len(pending[front]) > 0 {
			for _, a := range c.Step(fromMicroseconds(batch.WallMicros), pending[front]) {
				reply.Messages = append(reply.Messages, EncodeAction(front, a))
			}
		}
		delete(pending, front)
	}
	for i, raw := range batch.Events {
		var wireEvent Event
		if err := json.Unmarshal(raw, &wireEvent); err != nil {
			return nil, fmt.Errorf("malformed event %d of batch %d: %w", i, batch.Seq, err)
		}
		switch wireEvent.Name {
		case "":
			return nil, fmt.Errorf("malformed event %d of batch %d: no message name", i, batch.Seq)
		case "Ledger":
			h.lists[wireEvent.ListID] = wireEvent.Entries
			continue
		case "CrashNow":
			delete(pending, wireEvent.Front)
			delete(h.controllers, wireEvent.Front)
			continue
		case "Hello":
			delete(pending, wireEvent.Front)
			settings, err := ParseSettings(wireEvent.Settings)
			if err != nil {
				return nil, fmt.Errorf("event %d of batch %d: %w", i, batch.Seq, err)
			}
			c, err := control.New(settings, wireEvent.Seed)
			if err != nil {
				return nil, fmt.Errorf("event %d of batch %d: %w", i, batch.Seq, err)
			}
			h.controllers[wireEvent.Front] = c
			continue
		}
		event, err := DecodeEvent(&wireEvent, h.lists[wireEvent.ListID])
		if err != nil {
			return nil, fmt.Errorf("malformed event %d of batch %d: %w", i, batch.Seq, err)
		}
		if event != nil {
			pending[wireEvent.Front] = append(pending[wireEvent.Front], event)
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

// ExceptionReply returns the reply to a line on which the decision code panicked.
func ExceptionReply(line []byte, text string) []byte {
	var batch struct {
		Seq      int64                   `json:"seq"`
		Happened []struct{ FrontID int } `json:"happened"`
	}
	_ = json.Unmarshal(line, &batch) // best effort: the line was decoded once already
	m := Message{Name: "Exception", Text: text}
	if len(batch.Happened) > 0 {
		m.Front = batch.Happened[0].FrontID
	}
	out, _ := encodeReply(Reply{Seq: batch.Seq, Messages: []Message{m}})
	return out
}
