// Package baseline is a policy to compare the module with: a random holder at the class's lowest rung.
// It serves no viewer outside demos and measurements.
package baseline

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rainpulley/control"
)

// Random sends each request to a random ready holder of its title, once more for those that never ran.
type Random struct {
	set     control.Settings
	rnd     *rand.Rand
	servers map[string]control.Server
	open    map[string]*asked
	taken   int
	further int
}

type asked struct {
	control.Request
	attempts int
	ran      bool
}

// New makes the policy of one front.
func New(set control.Settings, seed uint64) *Random {
	return &Random{set: set, rnd: rand.New(rand.NewPCG(seed, 2)), servers: map[string]control.Server{}, open: map[string]*asked{}}
}

// Step takes events and answers with actions, as the module does.
func (p *Random) Step(_ time.Duration, events []control.Event) (out []control.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case control.ListUpdate:
			if e.Whole {
				clear(p.servers)
			}
			for _, s := range e.Servers {
				p.servers[s.ID] = s
			}
		case control.Request:
			p.open[e.ID] = &asked{Request: e}
			p.taken++
			out = append(out, p.send(p.open[e.ID])...)
		case control.SessionStarted, control.Note:
		case control.ViewerLeft:
			delete(p.open, e.ID)
		case control.AttemptEnded:
			q := p.open[e.ID]
			if q == nil || e.Final {
				delete(p.open, e.ID)
				continue
			}
			q.ran = q.ran || e.Outcome != control.Full && e.Outcome != control.ConnectFailed && e.Outcome != control.NotSent
			out = append(out, p.send(q)...)
		}
	}
	return out
}

func (p *Random) send(q *asked) []control.Action {
	class := p.set.Classes[q.Class]
	var holders []string
	for id, s := range p.servers {
		n := p.set.Cells
		has := ((s.Cell-q.HomeCell)%n+n)%n < q.CellSpan
		if q.Holders != nil {
			has = slices.Contains(q.Holders, id)
		}
		if s.State == control.Ready && has {
			holders = append(holders, id)
		}
	}
	slices.SortFunc(holders, strings.Compare)
	again := q.attempts > 0
	if q.ran && class.Effect != control.Idempotent {
		return []control.Action{control.Fail{ID: q.ID}}
	}
	spent := again && p.set.BudgetSpan > 0 && float64(p.further+1) > p.set.BudgetShare*float64(p.taken)
	if len(holders) == 0 || q.attempts >= 2 || spent {
		return []control.Action{control.Refuse{ID: q.ID}}
	}
	if again {
		p.further++
	}
	q.attempts++
	return []control.Action{control.SetRung{ID: q.ID, Rung: class.MinRung},
		control.Send{ID: q.ID, Server: holders[p.rnd.IntN(len(holders))], Timeout: class.Aim}}
}
