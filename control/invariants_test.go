package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// TestInvariants passes random events to a controller and checks that its actions obey the rules: one attempt at a time
// to a ready server, one answer for each request, no repeat of an at-most-once set-up, and limits on seats and rungs.
func TestInvariants(t *testing.T) {
	for seed := range uint64(60) {
		checkInvariants(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// openRequest is the state of a request as its events and actions imply it.
type openRequest struct {
	class                int
	due                  time.Duration
	server               string
	inProgress, playing  bool
	answered, mayHaveRun bool
	best                 int
}

// checkInvariants runs the test with one seed.
func checkInvariants(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	settings := testSettings()
	settings.BudgetSpan, settings.BudgetFree, settings.BudgetShare = 5*time.Second, 3, 0.3
	f := startFront(t, settings)
	states := map[string]ServerState{}
	for i := range 6 {
		states[fmt.Sprint("s", i)] = Ready
	}
	requests, ids := map[string]*openRequest{}, []string{}
	apply := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				q := requests[a.ID]
				if q.inProgress || q.answered {
					t.Errorf("%s: sent while attempt in progress: %v, answered: %v", a.ID, q.inProgress, q.answered)
				}
				if states[a.Server] != Ready {
					t.Errorf("%s: sent to server %s in state %v", a.ID, a.Server, states[a.Server])
				}
				if q.mayHaveRun && q.class == 1 {
					t.Errorf("%s: at-most-once set-up repeated", a.ID)
				}
				q.inProgress, q.server = true, a.Server
				n := 0
				for _, o := range requests {
					if o.class == 3 && o.inProgress {
						n++
					}
				}
				if n > settings.Classes[3].Seats {
					t.Errorf("%d sessions of one title, want at most %d", n, settings.Classes[3].Seats)
				}
			case Refuse:
				q := requests[a.ID]
				if q.answered || q.inProgress || q.mayHaveRun && (q.class == 1 || q.class == 2) {
					t.Errorf("%s: refused in state %+v", a.ID, q)
				}
				q.answered = true
			case Fail:
				if q := requests[a.ID]; q.answered || q.inProgress {
					t.Errorf("%s: failed although it was answered or an attempt is in progress", a.ID)
				} else {
					q.answered = true
				}
			case SetRung:
				if q := requests[a.ID]; a.Rung < settings.Classes[q.class].MinRung ||
					a.Rung > max(q.best, settings.Classes[q.class].MinRung) {
					t.Errorf("%s: rung %d is out of range", a.ID, a.Rung)
				}
			}
		}
	}
	for i := range 1500 {
		f.now += time.Duration(r.IntN(80)) * ms
		switch k := r.IntN(10); {
		case k < 3 || len(ids) == 0:
			id := fmt.Sprint("r", i)
			q := &openRequest{class: r.IntN(4), due: f.now + 4*time.Second, best: r.IntN(2) + 1}
			requests[id], ids = q, append(ids, id)
			apply(f.step(Request{ID: id, Class: q.class, Title: 1, HomeCell: r.IntN(6), CellSpan: 3 + r.IntN(3),
				BestRung: q.best, GiveUpAt: q.due}))
			if !q.inProgress && !q.answered {
				t.Errorf("%s: request was neither sent nor answered", id)
			}
		case k < 7:
			id := ids[r.IntN(len(ids))]
			q := requests[id]
			if !q.inProgress {
				continue
			}
			if !q.playing && r.IntN(2) == 0 {
				q.playing, q.answered = true, true
				apply(f.step(SessionStarted{ID: id, Server: q.server}))
				continue
			}
			outcome := Outcome(r.IntN(8))
			q.inProgress = false
			q.mayHaveRun = q.mayHaveRun || outcome != Full && outcome != ConnectFailed && outcome != NotSent
			final := q.playing || outcome == Served
			q.answered = q.answered || final
			apply(f.step(AttemptEnded{ID: id, Server: q.server, Outcome: outcome, Final: final}))
			if !q.inProgress && !q.answered {
				t.Errorf("%s: not answered after its attempt ended with outcome %v", id, outcome)
			}
		case k < 8:
			s := fmt.Sprint("s", r.IntN(6))
			states[s] = ServerState(r.IntN(3))
			if r.IntN(2) == 0 {
				states[s] = Ready
			}
			line := Server{ID: s, Cell: int(s[1] - '0'), Zone: int(s[1]-'0') % 3, State: states[s], Weight: 1}
			if r.IntN(4) == 0 {
				line.Started = f.now - time.Second
			}
			apply(f.step(ListUpdate{Servers: []Server{line}}))
		case k < 9:
			apply(f.step(Note{Server: fmt.Sprint("s", r.IntN(6)), Kind: NoteKind(r.IntN(5)), Value: r.Float64() * 1.5}))
		default:
			apply(f.step(TimerFired{"beat"}))
		}
	}
}

// TestSameEventsSameActions checks that the decisions are deterministic for a given seed.
func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		f := startFront(t, testSettings())
		for i := range 200 {
			f.now += 50 * ms
			out := f.request(fmt.Sprint(i), i%4)
			if s := f.sentTo(out); s != "" && i%3 > 0 {
				out = append(out, f.step(SessionStarted{ID: fmt.Sprint(i), Server: s})...)
			}
			all = append(all, out...)
			all = append(all, f.step(TimerFired{"beat"})...)
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("the same events resulted in different actions")
	}
}
