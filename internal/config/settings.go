package config

import (
	"rainpulley/control"
)

// Settings returns the settings of the controller of the edge at a position.
func (s *Site) Settings(position int) control.Settings {
	out := control.Settings{
		Position: position, Fronts: max(len(s.Edges), 1), Cells: s.Cells, Racks: s.Racks,
		LinkRatePerWeight: float64(s.Links.PerWeight), RackUplinkRate: float64(s.Links.Uplink),
		RejectUtilization: s.Links.FullFrom, WeightMode: control.WeightSize,
		NoteDelay: s.Notes.Delay.Std(), LinkNoteInterval: s.Notes.LinkEvery.Std(),
		SwitchCost: s.Notes.SwitchCost.Std(), AllowProbes: s.Attempts.Probes, AllowPeerMessages: s.Peers && len(s.Edges) > 1,
		AllowCancel: s.Attempts.Cancel, AllowRetryAfter: s.RetryAfter > 0, MaxAttempts: s.Attempts.Most,
		MaxRetryAfter: s.RetryAfter.Std(), MovePrice: s.Prices.Move, ZonePrice: s.Prices.Zone, ProbePrice: s.Prices.Probe,
		DrainGrace: s.Rules.DrainGrace.Std(), Ramp: s.Rules.Ramp.Std(), StartShare: s.Rules.StartShare,
		BurstFactor: s.Rules.FallFactor, BurstSpan: s.Rules.FallSpan.Std(),
		BudgetSpan: s.Rules.BudgetSpan.Std(), BudgetFree: s.Rules.BudgetFree, BudgetShare: s.Rules.BudgetShare,
		JoinRateFactor: 1,
	}
	if position < len(s.Edges) {
		out.Zone = indexOf(s.Zones, s.Edges[position].Zone)
	}
	for _, r := range s.Ladder {
		out.Ladder, out.RungWorth = append(out.Ladder, float64(r.Rate)), append(out.RungWorth, r.Worth)
	}
	for _, k := range s.Kinds {
		out.StreamSlotsByKind = append(out.StreamSlotsByKind, k.Streams)
	}
	for _, b := range s.Boxes {
		out.TotalLinkRate += b.Weight * float64(s.Links.PerWeight)
	}
	switch s.Notes.Reports {
	case "answers":
		out.ReportMode = control.ReportsInAnswers
	case "probes":
		out.ReportMode = control.ReportsByProbe
	}
	for _, k := range s.Classes {
		out.Classes = append(out.Classes, k.controlClass(len(s.Ladder)-1))
	}
	return out
}

func (k Class) controlClass(top int) control.Class {
	c := control.Class{Name: k.Name, DedupWindow: k.Window.Std(), Aim: k.Aim.Std(), Deadline: k.Deadline.Std(),
		Worth: k.Worth, RateFactor: k.RateFactor, MinRung: k.Floor, MaxRung: top, Seats: k.Seats, Live: k.Live}
	if k.Top != nil {
		c.MaxRung = *k.Top
	}
	if c.RateFactor <= 0 {
		c.RateFactor = 1
	}
	switch k.Effect {
	case "paid":
		c.Effect = control.AtMostOnce
	case "keyed":
		c.Effect = control.Deduplicated
	}
	switch k.Scope {
	case "zone":
		c.Scope = control.ScopeZone
	case "cell":
		c.Scope = control.ScopeCell
	}
	return c
}

// ClassIndex returns the index of the class of a name, or -1.
func (s *Site) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// ZoneIndex returns the index of the zone of a name, or -1.
func (s *Site) ZoneIndex(name string) int { return indexOf(s.Zones, name) }

// KindIndex returns the index of the kind of a name, or -1.
func (s *Site) KindIndex(name string) int { return indexOf(s.kindNames(), name) }
