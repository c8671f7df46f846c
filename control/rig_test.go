package control

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings is a fleet of six cells in two racks, three fronts and the three effects.
func settings() Settings {
	return Settings{
		Fronts: 3, Ladder: []float64{100, 200, 400}, RungWorth: []float64{0.3, 0.6, 1},
		Cells: 6, Racks: 2, KindStreams: []int{20}, LinksTotal: 12000, WeightLink: 2000, Weights: WeightSize,
		NoteDelay: time.Second, LinkNoteEvery: 3 * time.Second, SwitchCost: 500 * ms,
		Reports: ReportsInAnswers, Cancel: true, RetryAfter: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms,
		DrainGrace: time.Second, Ramp: 10 * time.Second, StartShare: 0.4, FallFactor: 2.5, FallSpan: 1500 * ms,
		Classes: []Class{
			{Name: "plain", Worth: 1, Top: 2, Aim: time.Second, Deadline: 4 * time.Second},
			{Name: "paid", Worth: 2, Top: 2, Floor: 1, Aim: time.Second, Deadline: 4 * time.Second, Effect: AtMostOnce},
			{Name: "once", Worth: 1, Top: 2, Aim: time.Second, Deadline: 4 * time.Second, Effect: Deduplicated,
				Scope: ScopeZone, Window: 2 * time.Second},
			{Name: "seated", Worth: 1, Top: 2, Aim: time.Second, Deadline: 4 * time.Second, Seats: 2},
		},
	}
}

// front drives one controller.
type front struct {
	t   *testing.T
	c   *Controller
	now time.Duration
}

func start(t *testing.T, set Settings, servers ...Server) *front {
	t.Helper()
	c, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	f := &front{t, c, 100 * time.Second}
	if servers == nil {
		for i := range 6 {
			servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: i % 3, Cell: i, State: Ready, Weight: 1})
		}
	}
	f.step(ListUpdate{Whole: true, Servers: servers})
	return f
}

func (f *front) step(events ...Event) []Action { return f.c.Step(f.now, events) }

func (f *front) ask(id string, class int) []Action {
	return f.step(Request{ID: id, Class: class, Title: 1, Home: 0, Span: 6, Best: 2, Due: f.now + 4*time.Second})
}

// link reports each server's link fullness.
func (f *front) link(full ...float64) {
	for i, v := range full {
		f.step(Note{Server: fmt.Sprint("s", i), Kind: NoteLink, Value: v})
	}
}

func find[A Action](out []Action) (found A, ok bool) {
	for _, a := range out {
		if a, is := a.(A); is {
			return a, true
		}
	}
	return found, false
}

func (f *front) sent(out []Action) string {
	s, _ := find[Send](out)
	return s.Server
}

func (f *front) play(id string, class int) string {
	f.t.Helper()
	s := f.sent(f.ask(id, class))
	if s == "" {
		f.t.Fatalf("%s was not sent", id)
	}
	f.step(Started{ID: id, Server: s})
	return s
}

func (f *front) end(id, server string, o Outcome) []Action {
	return f.step(Ended{ID: id, Server: server, Outcome: o})
}

// oneRack is a front over two servers behind one uplink.
func oneRack(t *testing.T, uplink float64) *front {
	set := settings()
	set.RackUplink = uplink
	return start(t, set, Server{ID: "s0", State: Ready, Weight: 1}, Server{ID: "s1", Cell: 2, State: Ready, Weight: 1})
}
