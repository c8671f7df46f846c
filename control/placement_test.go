package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestPlacementAndInitialRung checks which server a request is sent to and at which rung, by the reported utilization
// of the links.
func TestPlacementAndInitialRung(t *testing.T) {
	tests := []struct {
		name        string
		utilization []float64
		span        int
		class       int
		best        int
		want        string
		rung        int
	}{
		{"least utilized link", []float64{.5, .4, .1, .5, .6, .5}, 6, 0, 2, "s2", 2},
		{"holders only", []float64{.5, .4, .1, .5, .6, .5}, 2, 0, 2, "s1", 1},
		{"viewer's best rung", []float64{.5, .4, .1, .5, .6, .5}, 6, 0, 1, "s2", 1},
		{"rung that fits", []float64{.95, .9, .84, .95, .95, .95}, 6, 0, 2, "s2", 0},
		{"not below the class's lowest rung", []float64{.95, .9, .84, .95, .95, .95}, 6, 1, 2, "s2", 1},
		{"refusal without headroom", []float64{1.2, 1.2, 1.2, 1.2, 1.2, 1.2}, 6, 0, 2, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startFront(t, testSettings())
			f.reportLinks(tt.utilization...)
			out := f.step(Request{ID: "a", Class: tt.class, CellSpan: tt.span, BestRung: tt.best,
				GiveUpAt: f.now + 4*time.Second})
			if got := f.sentTo(out); got != tt.want {
				t.Fatalf("sent to %q, want %q", got, tt.want)
			}
			if r, ok := findAction[SetRung](out); ok && r.Rung != tt.rung {
				t.Errorf("rung %d, want %d", r.Rung, tt.rung)
			}
			if r, ok := findAction[Refuse](out); ok != (tt.want == "") || ok && r.RetryAfter != 500*ms {
				t.Errorf("refusal %v %v", r, ok)
			}
		})
	}
}

func TestHolderCellsWrapAround(t *testing.T) {
	f := startFront(t, testSettings())
	f.reportLinks(.3, .1, .1, .1, .1, .6)
	if got := f.sentTo(f.step(Request{ID: "a", HomeCell: 5, CellSpan: 2, GiveUpAt: f.now + time.Second})); got != "s0" {
		t.Errorf("sent to %q, want s0: the cells wrap around", got)
	}
}

func TestTieGoesToLessLoadedRack(t *testing.T) {
	settings := testSettings()
	settings.RackUplinkRate = 5000
	f := startFront(t, settings)
	f.reportLinks(.34, .3, .5, .9, .5, .9) // s0 and s1 tie; s0 is in the less loaded rack, s1 in the more loaded one
	if got := f.sentTo(f.request("a", 0)); got != "s0" {
		t.Errorf("sent to %q, want s0 in the less loaded rack", got)
	}
}

func TestSeatLimit(t *testing.T) {
	f := startFront(t, testSettings())
	first := f.startSession("a", 3)
	f.startSession("b", 3)
	if f.sentTo(f.request("c", 3)) != "" {
		t.Fatal("more sessions than seats were placed")
	}
	f.endAttempt("a", first, Served)
	if f.sentTo(f.request("d", 3)) == "" {
		t.Error("a request was refused although a seat is free")
	}
}

func TestLiveViewersShareServer(t *testing.T) {
	settings := testSettings()
	settings.JoinRateFactor = 0.2
	settings.Classes[0].Live = true
	f := startFront(t, settings)
	first := f.startSession("a", 0)
	for i := range 4 {
		if s := f.startSession(fmt.Sprint(i), 0); s != first {
			t.Errorf("viewer %d was sent to %s, the stream of its title runs on %s", i, s, first)
		}
	}
}

func TestStaleStreamCountDoesNotRefuse(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.reportLinks(.1)
	s := f.startSession("a", 0)
	streams := 21.0 // this session and twenty others
	f.step(AttemptEnded{ID: "a", Server: s, Outcome: Served, Final: true, Load: &LoadReport{Streams: &streams}})
	if f.sentTo(f.request("b", 0)) != "" {
		t.Error("a set-up was sent although all streams were just reported as in use")
	}
	f.now += 2 * time.Second
	if f.sentTo(f.request("c", 0)) == "" {
		t.Error("a request was refused because of an outdated stream count")
	}
}

// TestTickCostIsLinear checks that a tick visits each server a bounded number of times, independent of the size of the
// fleet.
func TestTickCostIsLinear(t *testing.T) {
	visitsPerTick := func(n int) (visits float64) {
		settings := testSettings()
		settings.Cells, settings.Racks, settings.TotalLinkRate, settings.RackUplinkRate, settings.Fronts =
			n, n/5, float64(2000*n), 8000, n
		var servers []Server
		for i := range n {
			servers = append(servers, Server{ID: fmt.Sprintf("s%03d", i), Cell: i, State: Ready, Weight: 1})
		}
		f := startFront(t, settings, servers...)
		for i := range 10 {
			s := f.sentTo(f.step(Request{ID: fmt.Sprint("a", i), HomeCell: i, CellSpan: 5, BestRung: 2,
				GiveUpAt: f.now + 4*time.Second}))
			f.step(SessionStarted{ID: fmt.Sprint("a", i), Server: s},
				Note{ID: fmt.Sprint("a", i), Server: s, Kind: NoteLink, Value: .5})
		}
		before := f.c.meanServerVisits
		for range 20 {
			f.now += tickInterval
			f.step(TimerFired{"beat"})
		}
		return float64(f.c.meanServerVisits-before) / 20
	}
	small, large := visitsPerTick(50), visitsPerTick(400)
	if large > 8*small+400 || large > 4*400 {
		t.Errorf("%.0f servers visited per tick in a fleet of 400, %.0f in one of 50", large, small)
	}
}

// TestNewSessionsStartAtMeanRung checks that, up to the mean rung of the own sessions, a new session may fill a link
// beyond the utilization at which steps up end.
func TestNewSessionsStartAtMeanRung(t *testing.T) {
	for _, tt := range []struct{ meanRung, want int }{{2, 1}, {0, 0}} {
		f := startFront(t, testSettings())
		f.step(Request{ID: "old", BestRung: 2, Playing: true, Server: "s5", HomeCell: 5, CellSpan: 1},
			Note{ID: "old", Server: "s5", Kind: NoteRung, Value: float64(tt.meanRung)})
		f.step(TimerFired{"beat"})
		f.reportLinks(.7, .7, .7, .7, .7, .7)
		out := f.step(Request{ID: "new", BestRung: 2, HomeCell: 0, CellSpan: 1, GiveUpAt: f.now + 4*time.Second})
		if r, _ := findAction[SetRung](out); r.Rung != tt.want {
			t.Errorf("own session at rung %d: a new session at utilization 0.7 starts at rung %d, want %d",
				tt.meanRung, r.Rung, tt.want)
		}
	}
}

// TestHoldReservesCapacity checks that a hold keeps out other sessions, admits those that it is for, and ends with an
// update that no longer lists it. Invalid holds have no effect.
func TestHoldReservesCapacity(t *testing.T) {
	announced, other := uint64(7), uint64(8)
	for _, tt := range []struct {
		name  string
		title uint64
		holds []Hold
		sent  bool
	}{
		{"no hold", other, nil, true},
		{"held for another title", other, []Hold{{Server: "s0", Title: announced, Rate: 1e9}}, false},
		{"held for its title", announced, []Hold{{Server: "s0", Title: announced, Rate: 1e9}}, true},
		{"held for its title in another class", announced, []Hold{{Server: "s0", Class: 1, Title: announced, Rate: 1e9}},
			false},
		{"streams held for another title", other, []Hold{{Server: "s0", Title: announced, Streams: 1e6}}, false},
		{"small hold", other, []Hold{{Server: "s0", Title: announced, Rate: 1, Streams: 1}}, true},
		{"invalid holds", other, []Hold{{Server: "s0", Title: announced, Rate: -1e9}, {Server: "none", Rate: 1e9}}, true},
	} {
		settings := testSettings()
		f := startFront(t, settings, Server{ID: "s0", State: Ready, Weight: 1})
		f.reportLinks(.1)
		f.step(HoldsUpdate{Holds: tt.holds})
		out := f.step(Request{ID: "x", Title: tt.title, BestRung: 0, GiveUpAt: f.now + 4*time.Second})
		sent := false
		for _, a := range out {
			if _, ok := a.(Send); ok {
				sent = true
			}
		}
		if sent != tt.sent {
			t.Errorf("%s: %+v", tt.name, out)
		}
		f.step(HoldsUpdate{})
		out = f.step(Request{ID: "y", Title: other, BestRung: 0, GiveUpAt: f.now + 4*time.Second})
		if !slices.ContainsFunc(out, func(a Action) bool { _, ok := a.(Send); return ok }) {
			t.Errorf("%s: refused after the holds were withdrawn: %+v", tt.name, out)
		}
	}
}

// TestExplicitHolders checks that explicitly listed holders replace the title's cells in placement and in queries to
// collectors. An empty list means that no server has the title.
func TestExplicitHolders(t *testing.T) {
	settings := testSettings()
	settings.Cells, settings.Fronts, settings.AllowPeerMessages = 16, 2, true
	for _, c := range []struct {
		holders []string
		want    string
	}{{[]string{"b03", "b12"}, "b03 b12"}, {[]string{"b07"}, "b07"}, {[]string{}, ""}, {nil, "b00 b01"}} {
		used := map[string]bool{}
		for seed := range uint64(20) {
			controller, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			var list ListUpdate
			list.Whole = true
			for i := range 16 {
				list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("b%02d", i), Cell: i, State: Ready, Weight: 1})
			}
			controller.Step(0, []Event{list})
			out := controller.Step(time.Second,
				[]Event{Request{ID: "x", HomeCell: 0, CellSpan: 2, BestRung: len(settings.Ladder) - 1,
					Holders: c.holders, GiveUpAt: 5 * time.Second}})
			out = append(out, controller.Step(2*time.Second, []Event{TimerFired{Label: "look x"}})...)
			sent, queried := false, false
			for _, a := range out {
				switch a := a.(type) {
				case Send:
					used[a.Server], sent = true, true
				case SendToPeer:
					queried = true
				}
			}
			if sent != (c.want != "") || len(c.holders) == 2 && !queried {
				t.Fatalf("holders %v: sent %v, queried %v: %v", c.holders, sent, queried, out)
			}
		}
		if got := strings.Join(slices.Sorted(maps.Keys(used)), " "); got != c.want {
			t.Errorf("holders %v: used %q, want %q", c.holders, got, c.want)
		}
	}
}

// TestReportedUplinksWidenTies checks that, with reported uplinks, a somewhat more utilized link behind a much less
// utilized uplink is chosen; without such reports, the link alone decides.
func TestReportedUplinksWidenTies(t *testing.T) {
	for _, reported := range []bool{true, false} {
		settings := testSettings()
		settings.RackUplinkRate = 6000
		f := startFront(t, settings)
		f.reportLinks(0.50, 0.65, 0.50, 0.65, 0.50, 0.65) // servers of even cells are in rack 0
		if reported {
			f.step(Note{Server: "s0", Kind: NoteUplink, Value: 1})
			f.step(Note{Server: "s1", Kind: NoteUplink, Value: 0.5})
		}
		s := f.sentTo(f.request("x", 0))
		if rack := (s[1] - '0') % 2; (rack == 1) != reported {
			t.Errorf("uplinks reported %v: sent to %s", reported, s)
		}
	}
}
