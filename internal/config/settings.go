package config

import (
	"rainpulley/control"
)

// Settings are what the module of one edge is told.
func (s *Site) Settings(position int) control.Settings {
	out := control.Settings{
		Position: position, Fronts: max(len(s.Edges), 1), Cells: s.Cells, Racks: s.Racks,
		LinkRatePerWeight: float64(s.Links.PerWeight), RackUplinkRate: float64(s.Links.Uplink), RejectUtilization: s.Links.FullFrom,
		WeightMode: control.WeightSize, NoteDelay: s.Notes.Delay.D(), LinkNoteInterval: s.Notes.LinkEvery.D(),
		SwitchCost: s.Notes.SwitchCost.D(), AllowProbes: s.Attempts.Probes, AllowPeerMessages: s.Peers && len(s.Edges) > 1,
		AllowCancel: s.Attempts.Cancel, AllowRetryAfter: s.RetryAfter > 0, MaxAttempts: s.Attempts.Most,
		MaxRetryAfter: s.RetryAfter.D(), MovePrice: s.Prices.Move, ZonePrice: s.Prices.Zone, ProbePrice: s.Prices.Probe,
		DrainGrace: s.Rules.DrainGrace.D(), Ramp: s.Rules.Ramp.D(), StartShare: s.Rules.StartShare,
		BurstFactor: s.Rules.FallFactor, BurstSpan: s.Rules.FallSpan.D(),
		BudgetSpan: s.Rules.BudgetSpan.D(), BudgetFree: s.Rules.BudgetFree, BudgetShare: s.Rules.BudgetShare,
		JoinRateFactor: 1,
	}
	if position < len(s.Edges) {
		out.Zone = index(s.Zones, s.Edges[position].Zone)
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
		out.Classes = append(out.Classes, k.class(len(s.Ladder)-1))
	}
	return out
}

func (k Class) class(top int) control.Class {
	c := control.Class{Name: k.Name, DedupWindow: k.Window.D(), Aim: k.Aim.D(), Deadline: k.Deadline.D(),
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

// Class is the number of a class by its name, or -1.
func (s *Site) Class(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// Zone and Kind are the numbers of a zone and a kind by their names, or -1.
func (s *Site) Zone(name string) int { return index(s.Zones, name) }
func (s *Site) Kind(name string) int { return index(s.kinds(), name) }
