package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestOrdinaryPath(t *testing.T) {
	tests := []struct {
		name  string
		full  []float64
		span  int
		class int
		best  int
		want  string
		rung  int
	}{
		{"least loaded link wins", []float64{.5, .4, .1, .5, .6, .5}, 6, 0, 2, "s2", 2},
		{"only holders count", []float64{.5, .4, .1, .5, .6, .5}, 2, 0, 2, "s1", 1},
		{"viewer's best rung", []float64{.5, .4, .1, .5, .6, .5}, 6, 0, 1, "s2", 1},
		{"rung that fits", []float64{.95, .9, .84, .95, .95, .95}, 6, 0, 2, "s2", 0},
		{"never under the floor", []float64{.95, .9, .84, .95, .95, .95}, 6, 1, 2, "s2", 1},
		{"no room is a refusal", []float64{1.2, 1.2, 1.2, 1.2, 1.2, 1.2}, 6, 0, 2, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startFront(t, testSettings())
			f.reportLinks(tt.full...)
			out := f.step(Request{ID: "a", Class: tt.class, CellSpan: tt.span, BestRung: tt.best, GiveUpAt: f.now + 4*time.Second})
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

func TestHoldersWrapRound(t *testing.T) {
	f := startFront(t, testSettings())
	f.reportLinks(.3, .1, .1, .1, .1, .6)
	if got := f.sentTo(f.step(Request{ID: "a", HomeCell: 5, CellSpan: 2, GiveUpAt: f.now + time.Second})); got != "s0" {
		t.Errorf("sent to %q, want s0 by wrapping round", got)
	}
}

func TestTieGoesToLessLoadedRack(t *testing.T) {
	set := testSettings()
	set.RackUplinkRate = 5000
	f := startFront(t, set)
	f.reportLinks(.34, .3, .5, .9, .5, .9) // as good as equal: s0 in the light rack, s1 in the heavy one
	if got := f.sentTo(f.request("a", 0)); got != "s0" {
		t.Errorf("sent to %q, want s0 in the light rack", got)
	}
}

func TestSeats(t *testing.T) {
	f := startFront(t, testSettings())
	one := f.startSession("a", 3)
	f.startSession("b", 3)
	if f.sentTo(f.request("c", 3)) != "" {
		t.Fatal("more sessions than seats")
	}
	f.endAttempt("a", one, Served)
	if f.sentTo(f.request("d", 3)) == "" {
		t.Error("a freed seat is not used")
	}
}

func TestSharedLiveStreams(t *testing.T) {
	set := testSettings()
	set.JoinRateFactor = 0.2
	set.Classes[0].Live = true
	f := startFront(t, set)
	first := f.startSession("a", 0)
	for i := range 4 {
		if s := f.startSession(fmt.Sprint(i), 0); s != first {
			t.Errorf("viewer %d of the title on %s, the stream is on %s", i, s, first)
		}
	}
}

func TestStaleStreamCountDoesNotRefuse(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.reportLinks(.1)
	s := f.startSession("a", 0)
	all := 21.0 // this session and twenty more
	f.step(AttemptEnded{ID: "a", Server: s, Outcome: Served, Final: true, Load: &LoadReport{Streams: &all}})
	if f.sentTo(f.request("b", 0)) != "" {
		t.Error("sent although every stream was just reported taken")
	}
	f.now += 2 * time.Second
	if f.sentTo(f.request("c", 0)) == "" {
		t.Error("refused on an old count of streams")
	}
}

// A beat and a request look at each server a bounded number of times, however many servers there are.
func TestWorkGrowsWithTheFleetOnly(t *testing.T) {
	work := func(n int) (perEvent float64) {
		set := testSettings()
		set.Cells, set.Racks, set.TotalLinkRate, set.RackUplinkRate, set.Fronts = n, n/5, float64(2000*n), 8000, n
		var servers []Server
		for i := range n {
			servers = append(servers, Server{ID: fmt.Sprintf("s%03d", i), Cell: i, State: Ready, Weight: 1})
		}
		f := startFront(t, set, servers...)
		for i := range 10 {
			s := f.sentTo(f.step(Request{ID: fmt.Sprint("a", i), HomeCell: i, CellSpan: 5, BestRung: 2, GiveUpAt: f.now + 4*time.Second}))
			f.step(SessionStarted{ID: fmt.Sprint("a", i), Server: s}, Note{ID: fmt.Sprint("a", i), Server: s, Kind: NoteLink, Value: .5})
		}
		before := f.c.meanServerVisits
		for range 20 {
			f.now += tickInterval
			f.step(TimerFired{"beat"})
		}
		return float64(f.c.meanServerVisits-before) / 20
	}
	small, large := work(50), work(400)
	if large > 8*small+400 || large > 4*400 {
		t.Errorf("%.0f servers looked at a beat in a fleet of 400, %.0f in one of 50", large, small)
	}
}

// Up to the mean rung that the own sessions hold, a newcomer may fill a link beyond the mark for steps up.
func TestNewcomersStartAtTheMeanRung(t *testing.T) {
	for _, tt := range []struct{ held, want int }{{2, 1}, {0, 0}} {
		f := startFront(t, testSettings())
		f.step(Request{ID: "old", BestRung: 2, Playing: true, Server: "s5", HomeCell: 5, CellSpan: 1}, Note{ID: "old", Server: "s5", Kind: NoteRung,
			Value: float64(tt.held)})
		f.step(TimerFired{"beat"})
		f.reportLinks(.7, .7, .7, .7, .7, .7)
		out := f.step(Request{ID: "new", BestRung: 2, HomeCell: 0, CellSpan: 1, GiveUpAt: f.now + 4*time.Second})
		if r, _ := findAction[SetRung](out); r.Rung != tt.want {
			t.Errorf("own session at rung %d: a newcomer at 0.7 full starts at %d, want %d", tt.held, r.Rung, tt.want)
		}
	}
}

// Room held for announced sessions is not open to others, is open to its own, lapses when told no more, and
// own use of it counts against it.
func TestHoldKeepsRoom(t *testing.T) {
	announced, other := uint64(7), uint64(8)
	for _, c := range []struct {
		name  string
		title uint64
		parts []Hold
		sent  bool
	}{
		{"no hold", other, nil, true},
		{"held for another title", other, []Hold{{Server: "s0", Title: announced, Rate: 1e9}}, false},
		{"held for it", announced, []Hold{{Server: "s0", Title: announced, Rate: 1e9}}, true},
		{"held for its title in another class", announced, []Hold{{Server: "s0", Class: 1, Title: announced, Rate: 1e9}}, false},
		{"streams held for another title", other, []Hold{{Server: "s0", Title: announced, Streams: 1e6}}, false},
		{"little held", other, []Hold{{Server: "s0", Title: announced, Rate: 1, Streams: 1}}, true},
		{"senseless", other, []Hold{{Server: "s0", Title: announced, Rate: -1e9}, {Server: "none", Rate: 1e9}}, true},
	} {
		set := testSettings()
		f := startFront(t, set, Server{ID: "s0", State: Ready, Weight: 1})
		f.reportLinks(.1)
		f.step(HoldsUpdate{Holds: c.parts})
		out := f.step(Request{ID: "x", Title: c.title, BestRung: 0, GiveUpAt: f.now + 4*time.Second})
		sent := false
		for _, a := range out {
			if _, ok := a.(Send); ok {
				sent = true
			}
		}
		if sent != c.sent {
			t.Errorf("%s: %+v", c.name, out)
		}
		f.step(HoldsUpdate{})
		out = f.step(Request{ID: "y", Title: other, BestRung: 0, GiveUpAt: f.now + 4*time.Second})
		if !slices.ContainsFunc(out, func(a Action) bool { _, ok := a.(Send); return ok }) {
			t.Errorf("%s: nothing told any more, yet %+v", c.name, out)
		}
	}
}

// Holders told by name stand in for the title's cells, on every path that looks for holders: choice, probes
// and questions to keepers. An empty list says that nobody has it.
func TestHoldersByName(t *testing.T) {
	set := testSettings()
	set.Cells, set.Fronts, set.AllowPeerMessages = 16, 2, true
	for _, c := range []struct {
		holders []string
		want    string
	}{{[]string{"b03", "b12"}, "b03 b12"}, {[]string{"b07"}, "b07"}, {[]string{}, ""}, {nil, "b00 b01"}} {
		used := map[string]bool{}
		for seed := range uint64(20) {
			ctl, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			var list ListUpdate
			list.Whole = true
			for i := range 16 {
				list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("b%02d", i), Cell: i, State: Ready, Weight: 1})
			}
			ctl.Step(0, []Event{list})
			out := ctl.Step(time.Second, []Event{Request{ID: "x", HomeCell: 0, CellSpan: 2, BestRung: len(set.Ladder) - 1, Holders: c.holders, GiveUpAt: 5 * time.Second}})
			out = append(out, ctl.Step(2*time.Second, []Event{TimerFired{Label: "look x"}})...)
			sent, asked := false, false
			for _, a := range out {
				switch a := a.(type) {
				case Send:
					used[a.Server], sent = true, true
				case SendToPeer:
					asked = true
				}
			}
			if sent != (c.want != "") || len(c.holders) == 2 && !asked {
				t.Fatalf("holders %v: sent %v, asked %v: %v", c.holders, sent, asked, out)
			}
		}
		if got := strings.Join(slices.Sorted(maps.Keys(used)), " "); got != c.want {
			t.Errorf("holders %v: used %q, want %q", c.holders, got, c.want)
		}
	}
}

// Where uplinks are reported, a link a little fuller behind a much emptier uplink is chosen; where not, the link alone decides.
func TestReportedUplinksWidenTies(t *testing.T) {
	for _, told := range []bool{true, false} {
		set := testSettings()
		set.RackUplinkRate = 6000
		f := startFront(t, set)
		f.reportLinks(0.50, 0.65, 0.50, 0.65, 0.50, 0.65) // even cells stand in rack 0
		if told {
			f.step(Note{Server: "s0", Kind: NoteUplink, Value: 1})
			f.step(Note{Server: "s1", Kind: NoteUplink, Value: 0.5})
		}
		s := f.sentTo(f.request("x", 0))
		if rack := (s[1] - '0') % 2; (rack == 1) != told {
			t.Errorf("uplinks told %v: sent to %s", told, s)
		}
	}
}
