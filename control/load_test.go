package control

import (
	"fmt"
	"testing"
	"time"
)

func TestShortShareStepsDown(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	for i := range 6 {
		id := fmt.Sprint(i)
		f.step(Request{ID: id, Playing: true, Server: "s0", BestRung: 2, ExpectedLength: time.Minute})
		f.step(Note{ID: id, Server: "s0", Kind: NoteRung, Value: 2})
	}
	f.now += 5 * time.Second
	f.step(Note{Server: "s0", Kind: NoteLink, Value: 1.5})
	if r, ok := findAction[SetRung](f.step(TimerFired{"beat"})); !ok || r.Rung > 1 {
		t.Errorf("no step down on an over-asked link: %v", r)
	}
}

func TestRoomThatLastsStepsUp(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.step(Request{ID: "a", Playing: true, Server: "s0", BestRung: 2, ExpectedLength: time.Minute})
	f.step(Note{ID: "a", Server: "s0", Kind: NoteRung, Value: 0})
	f.now += 5 * time.Second
	f.step(Note{ID: "a", Server: "s0", Kind: NoteLink, Value: 0.06})
	if r, ok := findAction[SetRung](f.step(TimerFired{"beat"})); !ok || r.Rung < 1 {
		t.Error("no step up on an empty link")
	}
}

func TestSilenceOfOneServerOnly(t *testing.T) {
	f := startFront(t, testSettings())
	a := f.startSession("a", 0)
	note := func(s string) { f.step(Note{Server: s, Kind: NoteLink, Value: .1}) }
	other := "s0"
	if a == other {
		other = "s1"
	}
	f.now += 14 * time.Second
	if f.c.notesOverdue(f.c.serversByID[a]) {
		t.Error("suspected while no server is heard: the notes are at fault")
	}
	note(other)
	if !f.c.notesOverdue(f.c.serversByID[a]) {
		t.Error("a server that others outlive is not suspected")
	}
}

func TestLateShareBlamesLinkThatWasFull(t *testing.T) {
	f := startOneRackFront(t, 5000)
	before := f.c.racks[0].capacity
	f.reportLinks(1.3)
	f.reportLinks(.6)
	f.now += time.Second
	f.step(Note{Server: "s0", Kind: NoteShare, Value: .8})
	if f.c.racks[0].capacity != before {
		t.Error("the uplink was blamed for a link that was full")
	}
	f.now += 10 * time.Second
	f.step(Note{Server: "s0", Kind: NoteShare, Value: .8})
	if f.c.racks[0].capacity >= before {
		t.Error("a short share on a link with room does not point at the uplink")
	}
}

func TestUplinkWithoutComplaintGrows(t *testing.T) {
	f := startOneRackFront(t, 2000)
	before := f.c.racks[0].capacity
	f.reportLinks(.9)
	f.step(Note{Server: "s1", Kind: NoteLink, Value: .9})
	f.step(TimerFired{"beat"})
	if f.c.racks[0].capacity <= before {
		t.Error("no growth")
	}
}

func TestProbesWhereReportsNeedThem(t *testing.T) {
	set := testSettings()
	set.ReportMode, set.AllowProbes, set.LinkNoteInterval = ReportsByProbe, true, 0
	f := startFront(t, set)
	seen := map[string]bool{}
	for i := range 6 {
		p, ok := findAction[Probe](f.request(fmt.Sprint(i), 0))
		if !ok || seen[p.Server] {
			t.Fatalf("request %d: probe of %q, seen before: %v", i, p.Server, seen[p.Server])
		}
		seen[p.Server] = true
		full := 0.9
		if p.Server == "s3" {
			full = 0.1
		}
		f.now += 300 * ms
		f.step(ProbeResult{Server: p.Server, OK: true, Load: &LoadReport{Link: &full}})
	}
	if got := f.sentTo(f.request("z", 0)); got != "s3" {
		t.Errorf("sent to %q, the probes found s3 the least loaded", got)
	}
	set.ReportMode = ReportsInAnswers
	if _, ok := findAction[Probe](startFront(t, set).request("a", 0)); ok {
		t.Error("probes where answers report")
	}
}

// A note on a session that outlived a failure shows that the server did not restart.
func TestNotesTellThatAServerLives(t *testing.T) {
	f := startFront(t, testSettings(), Server{ID: "s0", State: Ready, Weight: 1})
	f.startSession("a", 0)
	f.now += 5 * time.Second
	f.request("b", 0)
	f.step(AttemptEnded{ID: "b", Server: "s0", Outcome: ConnectFailed, Final: true})
	f.now += 5 * time.Second
	f.step(Note{ID: "a", Server: "s0", Kind: NoteLink, Value: .2})
	f.request("c", 0)
	f.step(SessionStarted{ID: "c", Server: "s0"})
	if f.sentTo(f.request("d", 0)) == "" {
		t.Error("a server whose old session plays on is paced as if restarted")
	}
}

// Fronts that cannot tell each other what they took step up by less at one report.
func TestStepsUpAlone(t *testing.T) {
	taken := func(peers bool) (n int) {
		set := testSettings()
		set.AllowPeerMessages, set.Racks = peers, 0
		f := startFront(t, set, Server{ID: "s0", State: Ready, Weight: 5})
		for i := range 12 {
			id := fmt.Sprint("x", i)
			f.step(Request{ID: id, Server: "s0", CellSpan: 6, BestRung: 2, Playing: true, ExpectedLength: time.Minute})
			f.step(Note{ID: id, Server: "s0", Kind: NoteRung})
		}
		f.now += 5 * time.Second
		f.step(Note{ID: "x0", Server: "s0", Kind: NoteLink, Value: 0.3})
		for _, a := range f.step(TimerFired{"beat"}) {
			if r, ok := a.(SetRung); ok && r.Rung > 0 {
				n++
			}
		}
		return n
	}
	if alone, together := taken(false), taken(true); alone == 0 || alone >= together {
		t.Errorf("%d steps up alone, %d with peers", alone, together)
	}
}
