package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// TestInvariants feeds random events and checks the rules on the actions.
func TestInvariants(t *testing.T) {
	for seed := range uint64(60) {
		checkInvariants(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

type openRequest struct {
	class         int
	due           time.Duration
	server        string
	out, playing  bool
	answered, ran bool
	best          int
}

func checkInvariants(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	set := testSettings()
	set.BudgetSpan, set.BudgetFree, set.BudgetShare = 5*time.Second, 3, 0.3
	f := startFront(t, set)
	state := map[string]ServerState{}
	for i := range 6 {
		state[fmt.Sprint("s", i)] = Ready
	}
	reqs, ids := map[string]*openRequest{}, []string{}
	apply := func(out []Action) {
		for _, a := range out {
			switch a := a.(type) {
			case Send:
				q := reqs[a.ID]
				if q.out || q.answered {
					t.Errorf("%s: sent while out %v, answered %v", a.ID, q.out, q.answered)
				}
				if state[a.Server] != Ready {
					t.Errorf("%s: sent to %s in state %v", a.ID, a.Server, state[a.Server])
				}
				if q.ran && q.class == 1 {
					t.Errorf("%s: paid set-up repeated", a.ID)
				}
				q.out, q.server = true, a.Server
				n := 0
				for _, o := range reqs {
					if o.class == 3 && o.out {
						n++
					}
				}
				if n > set.Classes[3].Seats {
					t.Errorf("%d sessions, %d seats", n, set.Classes[3].Seats)
				}
			case Refuse:
				q := reqs[a.ID]
				if q.answered || q.out || q.ran && (q.class == 1 || q.class == 2) {
					t.Errorf("%s: wrong refusal %+v", a.ID, q)
				}
				q.answered = true
			case Fail:
				if q := reqs[a.ID]; q.answered || q.out {
					t.Errorf("%s: wrong failure", a.ID)
				} else {
					q.answered = true
				}
			case SetRung:
				if q := reqs[a.ID]; a.Rung < set.Classes[q.class].MinRung || a.Rung > max(q.best, set.Classes[q.class].MinRung) {
					t.Errorf("%s: rung %d", a.ID, a.Rung)
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
			reqs[id], ids = q, append(ids, id)
			apply(f.step(Request{ID: id, Class: q.class, Title: 1, HomeCell: r.IntN(6), CellSpan: 3 + r.IntN(3), BestRung: q.best, GiveUpAt: q.due}))
			if !q.out && !q.answered {
				t.Errorf("%s: neither sent nor answered", id)
			}
		case k < 7:
			id := ids[r.IntN(len(ids))]
			q := reqs[id]
			if !q.out {
				continue
			}
			if !q.playing && r.IntN(2) == 0 {
				q.playing, q.answered = true, true
				apply(f.step(SessionStarted{ID: id, Server: q.server}))
				continue
			}
			o := Outcome(r.IntN(8))
			q.out = false
			q.ran = q.ran || o != Full && o != ConnectFailed && o != NotSent
			final := q.playing || o == Served
			q.answered = q.answered || final
			apply(f.step(AttemptEnded{ID: id, Server: q.server, Outcome: o, Final: final}))
			if !q.out && !q.answered {
				t.Errorf("%s: ended with %v and left without an answer", id, o)
			}
		case k < 8:
			s := fmt.Sprint("s", r.IntN(6))
			state[s] = ServerState(r.IntN(3))
			if r.IntN(2) == 0 {
				state[s] = Ready
			}
			line := Server{ID: s, Cell: int(s[1] - '0'), Zone: int(s[1]-'0') % 3, State: state[s], Weight: 1}
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
		t.Error("the same events gave other actions")
	}
}
