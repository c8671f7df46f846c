package control

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings is a fleet of six cells in two racks, three fronts and the three effects.
func testSettings() Settings {
	return Settings{
		Fronts: 3, Ladder: []float64{100, 200, 400}, RungWorth: []float64{0.3, 0.6, 1},
		Cells: 6, Racks: 2, StreamSlotsByKind: []int{20}, TotalLinkRate: 12000, LinkRatePerWeight: 2000, WeightMode: WeightSize,
		NoteDelay: time.Second, LinkNoteInterval: 3 * time.Second, SwitchCost: 500 * ms,
		ReportMode: ReportsInAnswers, AllowCancel: true, AllowRetryAfter: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms,
		DrainGrace: time.Second, Ramp: 10 * time.Second, StartShare: 0.4, BurstFactor: 2.5, BurstSpan: 1500 * ms,
		Classes: []Class{
			{Name: "plain", Worth: 1, MaxRung: 2, Aim: time.Second, Deadline: 4 * time.Second},
			{Name: "paid", Worth: 2, MaxRung: 2, MinRung: 1, Aim: time.Second, Deadline: 4 * time.Second, Effect: AtMostOnce},
			{Name: "once", Worth: 1, MaxRung: 2, Aim: time.Second, Deadline: 4 * time.Second, Effect: Deduplicated,
				Scope: ScopeZone, DedupWindow: 2 * time.Second},
			{Name: "seated", Worth: 1, MaxRung: 2, Aim: time.Second, Deadline: 4 * time.Second, Seats: 2},
		},
	}
}

// front drives one controller.
type testFront struct {
	t   *testing.T
	c   *Controller
	now time.Duration
}

func startFront(t *testing.T, set Settings, servers ...Server) *testFront {
	t.Helper()
	c, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	f := &testFront{t, c, 100 * time.Second}
	if servers == nil {
		for i := range 6 {
			servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: i % 3, Cell: i, State: Ready, Weight: 1})
		}
	}
	f.step(ListUpdate{Whole: true, Servers: servers})
	return f
}

func (f *testFront) step(events ...Event) []Action { return f.c.Step(f.now, events) }

func (f *testFront) request(id string, class int) []Action {
	return f.step(Request{ID: id, Class: class, Title: 1, HomeCell: 0, CellSpan: 6, BestRung: 2, GiveUpAt: f.now + 4*time.Second})
}

// link reports each server's link fullness.
func (f *testFront) reportLinks(full ...float64) {
	for i, v := range full {
		f.step(Note{Server: fmt.Sprint("s", i), Kind: NoteLink, Value: v})
	}
}

func findAction[A Action](out []Action) (found A, ok bool) {
	for _, a := range out {
		if a, is := a.(A); is {
			return a, true
		}
	}
	return found, false
}

func (f *testFront) sentTo(out []Action) string {
	s, _ := findAction[Send](out)
	return s.Server
}

func (f *testFront) startSession(id string, class int) string {
	f.t.Helper()
	s := f.sentTo(f.request(id, class))
	if s == "" {
		f.t.Fatalf("%s was not sent", id)
	}
	f.step(SessionStarted{ID: id, Server: s})
	return s
}

func (f *testFront) endAttempt(id, server string, o Outcome) []Action {
	return f.step(AttemptEnded{ID: id, Server: server, Outcome: o})
}

// oneRack is a front over two servers behind one uplink.
func startOneRackFront(t *testing.T, uplink float64) *testFront {
	set := testSettings()
	set.RackUplinkRate = uplink
	return startFront(t, set, Server{ID: "s0", State: Ready, Weight: 1}, Server{ID: "s1", Cell: 2, State: Ready, Weight: 1})
}
