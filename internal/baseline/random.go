// Package baseline implements a placement policy to compare the controller with: it selects a random holder at the
// class's lowest rung. It is used only in demos and measurements.
package baseline

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rainpulley/control"
)

// Random sends each request to a random ready holder of its title, and retries it once. A request that may have run
// is retried only if its class is idempotent.
type Random struct {
	settings     control.Settings
	rng          *rand.Rand
	servers      map[string]control.Server
	openRequests map[string]*openRequest
	requests     int
	retries      int
}

// openRequest is a request that is not yet served, refused or failed.
type openRequest struct {
	control.Request
	attempts   int
	mayHaveRun bool
}

// New returns the policy of one front.
func New(settings control.Settings, seed uint64) *Random {
	return &Random{settings: settings, rng: rand.New(rand.NewPCG(seed, 2)), servers: map[string]control.Server{},
		openRequests: map[string]*openRequest{}}
}

// Step handles events and returns actions, like the controller.
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
			p.openRequests[e.ID] = &openRequest{Request: e}
			p.requests++
			out = append(out, p.trySend(p.openRequests[e.ID])...)
		case control.SessionStarted, control.Note:
		case control.ViewerLeft:
			delete(p.openRequests, e.ID)
		case control.AttemptEnded:
			req := p.openRequests[e.ID]
			if req == nil || e.Final {
				delete(p.openRequests, e.ID)
				continue
			}
			req.mayHaveRun = req.mayHaveRun ||
				e.Outcome != control.Full && e.Outcome != control.ConnectFailed && e.Outcome != control.NotSent
			out = append(out, p.trySend(req)...)
		}
	}
	return out
}

// trySend sends a request to a random holder, or refuses or fails it.
func (p *Random) trySend(req *openRequest) []control.Action {
	class := p.settings.Classes[req.Class]
	var holders []string
	for id, s := range p.servers {
		n := p.settings.Cells
		hasTitle := ((s.Cell-req.HomeCell)%n+n)%n < req.CellSpan
		if req.Holders != nil {
			hasTitle = slices.Contains(req.Holders, id)
		}
		if s.State == control.Ready && hasTitle {
			holders = append(holders, id)
		}
	}
	slices.SortFunc(holders, strings.Compare)
	isRetry := req.attempts > 0
	if req.mayHaveRun && class.Effect != control.Idempotent {
		return []control.Action{control.Fail{ID: req.ID}}
	}
	budgetSpent := isRetry && p.settings.BudgetSpan > 0 &&
		float64(p.retries+1) > p.settings.BudgetShare*float64(p.requests)
	if len(holders) == 0 || req.attempts >= 2 || budgetSpent {
		return []control.Action{control.Refuse{ID: req.ID}}
	}
	if isRetry {
		p.retries++
	}
	req.attempts++
	return []control.Action{control.SetRung{ID: req.ID, Rung: class.MinRung},
		control.Send{ID: req.ID, Server: holders[p.rng.IntN(len(holders))], Timeout: class.Aim}}
}
