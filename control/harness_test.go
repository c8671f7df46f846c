package control

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings for a fleet of six cells, two racks and three fronts, with a class for each effect and
// one with a limit of seats.
func testSettings() Settings {
	return Settings{
		Fronts: 3, Ladder: []float64{100, 200, 400}, RungWorth: []float64{0.3, 0.6, 1},
		Cells: 6, Racks: 2, StreamSlotsByKind: []int{20}, TotalLinkRate: 12000, LinkRatePerWeight: 2000,
		WeightMode: WeightSize,
		NoteDelay:  time.Second, LinkNoteInterval: 3 * time.Second, SwitchCost: 500 * ms,
		ReportMode: ReportsInAnswers, AllowCancel: true, AllowRetryAfter: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms,
		DrainGrace: time.Second, Ramp: 10 * time.Second, StartShare: 0.4, BurstFactor: 2.5, BurstSpan: 1500 * ms,
		Classes: []Class{
			{Name: "plain", Worth: 1, MaxRung: 2, Aim: time.Second, Deadline: 4 * time.Second},
			{Name: "paid", Worth: 2, MaxRung: 2, MinRung: 1, Aim: time.Second, Deadline: 4 * time.Second,
				Effect: AtMostOnce},
			{Name: "once", Worth: 1, MaxRung: 2, Aim: time.Second, Deadline: 4 * time.Second, Effect: Deduplicated,
				Scope: ScopeZone, DedupWindow: 2 * time.Second},
			{Name: "seated", Worth: 1, MaxRung: 2, Aim: time.Second, Deadline: 4 * time.Second, Seats: 2},
		},
	}
}

// testFront drives one controller in a test. Tests advance its clock by hand.
type testFront struct {
	t   *testing.T
	c   *Controller
	now time.Duration
}

// startFront creates a controller and passes it the list of servers, or a list of six servers with one in each cell.
func startFront(t *testing.T, settings Settings, servers ...Server) *testFront {
	t.Helper()
	c, err := New(settings, 7)
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

// request requests a session of a class; all six servers have the title.
func (f *testFront) request(id string, class int) []Action {
	return f.step(Request{ID: id, Class: class, Title: 1, HomeCell: 0, CellSpan: 6, BestRung: 2,
		GiveUpAt: f.now + 4*time.Second})
}

// reportLinks reports the link utilization of each server.
func (f *testFront) reportLinks(utilizations ...float64) {
	for i, v := range utilizations {
		f.step(Note{Server: fmt.Sprint("s", i), Kind: NoteLink, Value: v})
	}
}

// findAction returns the first action of a type.
func findAction[A Action](actions []Action) (found A, ok bool) {
	for _, a := range actions {
		if a, matches := a.(A); matches {
			return a, true
		}
	}
	return found, false
}

// sentTo returns the server of the first Send, or the empty string if there is none.
func (f *testFront) sentTo(actions []Action) string {
	send, _ := findAction[Send](actions)
	return send.Server
}

// startSession requests a session that starts at once, and returns its server.
func (f *testFront) startSession(id string, class int) string {
	f.t.Helper()
	server := f.sentTo(f.request(id, class))
	if server == "" {
		f.t.Fatalf("%s: no attempt was sent", id)
	}
	f.step(SessionStarted{ID: id, Server: server})
	return server
}

func (f *testFront) endAttempt(id, server string, outcome Outcome) []Action {
	return f.step(AttemptEnded{ID: id, Server: server, Outcome: outcome})
}

// startOneRackFront creates a controller with two servers in the same rack. uplink is the mean uplink rate of a rack.
func startOneRackFront(t *testing.T, uplink float64) *testFront {
	settings := testSettings()
	settings.RackUplinkRate = uplink
	return startFront(t, settings, Server{ID: "s0", State: Ready, Weight: 1},
		Server{ID: "s1", Cell: 2, State: Ready, Weight: 1})
}
