package peaks

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Solver works plans out by linear programming, within a budget of time. The program, for sessions n of
// demand d at box b and rung r, and kB/s z taken from those playing at b:
//
//	maximise   sum (worth(d,b) worth(r) - price rate(d,r)) n(d,b,r) - price sum z(b)
//	such that  sum over b, r of n(d,b,r) <= count(d)                      for each demand (within its seats)
//	           sum over d, r of rate(d,r) n(d,b,r) - z(b) <= link room(b)  for each box
//	           sum over d, r of n(d,b,r) <= streams left(b)                for each box where it can bind
//	           sum in the rack of rate n - z <= uplink room                for each rack where it can bind
//	           z(b) <= a share of what plays at b                          for each box
//	           sum over r of n(d,b,r) <= most y(d,b), y <= 1               where a copy is offered, at its cost
//
// The price is what a kB/s earns in the cheapest step of other sessions: held room is room that they do
// not rise into. Parts that share no box and no binding rack are solved apart. A solver that is still at work on an
// earlier plan is not started again: the greedy plan stands in.
type Solver struct {
	Budget time.Duration
	idle   chan struct{} // holds one token while free
}

// NewSolver makes one with a budget.
func NewSolver(budget time.Duration) *Solver {
	s := &Solver{Budget: budget, idle: make(chan struct{}, 1)}
	s.idle <- struct{}{}
	return s
}

// Plan is the best plan that the budget allows. The reason tells why it is the greedy one.
func (s *Solver) Plan(f *Fleet, demands []Demand) (*Plan, error) {
	greedy := SolveGreedy(f, demands)
	select {
	case <-s.idle:
	default:
		return greedy, errors.New("peaks: the solver is still at work")
	}
	done := make(chan *Plan, 1)
	failed := make(chan error, 1)
	go func() {
		defer func() { s.idle <- struct{}{} }()
		begin := time.Now()
		p, err := SolveLP(f, demands)
		if err != nil {
			failed <- err
			return
		}
		p.Took = time.Since(begin)
		done <- p
	}()
	t := time.NewTimer(s.Budget)
	defer t.Stop()
	select {
	case p := <-done:
		return p, nil
	case err := <-failed:
		return greedy, err
	case <-t.C:
		return greedy, fmt.Errorf("peaks: solver budget of %v spent", s.Budget)
	}
}

// LP is the optimal plan.
func SolveLP(f *Fleet, demands []Demand) (*Plan, error) {
	var pieces []allocation
	var buys []SelectedOffer
	net := 0.0
	for _, part := range f.independentGroups(demands) {
		got, n, err := f.solveGroup(demands, part)
		if err != nil {
			return nil, err
		}
		net += n
		for _, x := range got {
			if x.demand <= -2 {
				if x.sessions > 1e-6 {
					buys = append(buys, SelectedOffer{-2 - x.demand, x.box, x.sessions})
				}
				continue
			}
			pieces = append(pieces, x)
		}
	}
	p := f.buildPlan(demands, pieces, "lp")
	p.Buys, p.Net = buys, net
	return p, nil
}

// parts are the demands that share boxes, or racks whose uplink could bind.
func (f *Fleet) independentGroups(demands []Demand) [][]int {
	group := make([]int, len(f.Boxes)+len(f.Uplinks))
	for i := range group {
		group[i] = i
	}
	root := func(i int) int {
		for group[i] != i {
			group[i] = group[group[i]]
			i = group[i]
		}
		return i
	}
	for b := range f.Boxes {
		if f.uplinkCanBind(f.Boxes[b].Rack) {
			group[root(b)] = root(len(f.Boxes) + f.Boxes[b].Rack)
		}
	}
	first := make([]int, len(demands))
	for d := range demands {
		first[d] = -1
		for b := range f.Boxes {
			if f.holdsTitle(&demands[d], &f.Boxes[b]) || f.offerIndex(&demands[d], &f.Boxes[b]) >= 0 {
				if first[d] < 0 {
					first[d] = b
				}
				group[root(b)] = root(first[d])
			}
		}
	}
	at := map[int]int{}
	var out [][]int
	for d := range demands {
		if first[d] < 0 || f.sessionsWithinSeats(&demands[d]) <= 0 {
			continue
		}
		r := root(first[d])
		i, ok := at[r]
		if !ok {
			i = len(out)
			at[r], out = i, append(out, nil)
		}
		out[i] = append(out[i], d)
	}
	return out
}

// binds tells whether a rack's uplink can hold its links back.
func (f *Fleet) uplinkCanBind(rack int) bool {
	if f.Uplinks[rack] <= 0 {
		return false
	}
	sum := 0.0
	for i := range f.Boxes {
		if f.Boxes[i].Rack == rack {
			sum += max(MaxUtilization*f.Boxes[i].LinkCapacity*f.Boxes[i].RampShare, f.Boxes[i].LinkLoad)
		}
	}
	return sum > MaxUtilization*f.Uplinks[rack]
}

// program is a linear program that grows by rows and columns.
type linearProgram struct {
	costs       []float64
	constraints []constraint
}

type constraint struct {
	variables    []int
	coefficients []float64
	bound        float64
}

func (p *linearProgram) addVariable(cost float64) int {
	p.costs = append(p.costs, cost)
	return len(p.costs) - 1
}

func (p *linearProgram) addConstraint(to float64) int {
	p.constraints = append(p.constraints, constraint{bound: to})
	return len(p.constraints) - 1
}

func (p *linearProgram) setCoefficient(r, col int, v float64) {
	p.constraints[r].variables, p.constraints[r].coefficients = append(p.constraints[r].variables, col), append(p.constraints[r].coefficients, v)
}

// run solves it with a slack for each row, from the corner at which nothing is held. Rows are scaled to
// like sizes, which the simplex needs for its tolerances.
func (p *linearProgram) solve() ([]float64, float64, error) {
	n, m := len(p.costs), len(p.constraints)
	a := mat.NewDense(m, n+m, nil)
	b, c, basis := make([]float64, m), make([]float64, n+m), make([]int, m)
	copy(c, p.costs)
	for i, r := range p.constraints {
		scale := 0.0
		for _, v := range r.coefficients {
			scale = max(scale, math.Abs(v))
		}
		scale = max(scale, 1e-9)
		for j, col := range r.variables {
			a.Set(i, col, a.At(i, col)+r.coefficients[j]/scale)
		}
		a.Set(i, n+i, 1)
		// rows of no room at all are many, and equal corners lead the simplex into singular bases: each
		// row gets a little more, no two the same
		b[i], basis[i] = max(r.bound, 0)/scale+perturbation*(1+float64(i)/float64(m)), n+i
	}
	least, x, err := lp.Simplex(c, a, b, 1e-9, basis)
	if err != nil {
		return nil, 0, fmt.Errorf("peaks: simplex over %d rows and %d columns: %w", m, n+m, err)
	}
	return x[:n], -least, nil
}

const perturbation = 1e-6

// solve sets up and solves the program of one part.
func (f *Fleet) solveGroup(demands []Demand, part []int) ([]allocation, float64, error) {
	p := &linearProgram{}
	link, streams, rack := map[int]int{}, map[int]int{}, map[int]int{}
	price := f.stepDownPrice()
	var vars []allocation
	for _, d := range part {
		dm := &demands[d]
		want := p.addConstraint(f.sessionsWithinSeats(dm))
		k := f.Classes[dm.Class]
		for b := range f.Boxes {
			x := &f.Boxes[b]
			o := f.offerIndex(dm, x)
			if o < 0 && !f.holdsTitle(dm, x) {
				continue
			}
			if _, ok := link[b]; !ok {
				f.addBoxConstraints(p, b, price, link, streams, rack)
			}
			bought := -1
			if o >= 0 { // sum of n(d,b,r) - most y <= 0, y <= 1
				y := p.addVariable(dm.Offers[o].Cost)
				for len(vars) < y {
					vars = append(vars, allocation{demand: -1})
				}
				vars = append(vars, allocation{demand: -2 - d, box: o})
				_, most := x.freeCapacity()
				bought = p.addConstraint(0)
				p.setCoefficient(bought, y, -max(min(most, f.sessionsWithinSeats(dm)), 1e-3))
				p.setCoefficient(p.addConstraint(1), y, 1)
			}
			for r := k.FloorRung; r <= k.TopRung; r++ {
				col := p.addVariable(price*f.sessionRate(dm, r) - f.sessionWorth(dm, x)*f.RungWorths[r])
				for len(vars) < col {
					vars = append(vars, allocation{demand: -1}) // columns of z
				}
				vars = append(vars, allocation{d, b, r, 0})
				p.setCoefficient(want, col, 1)
				p.setCoefficient(link[b], col, f.sessionRate(dm, r))
				p.setCoefficient(streams[b], col, 1)
				if bought >= 0 {
					p.setCoefficient(bought, col, 1)
				}
				if i, ok := rack[x.Rack]; ok {
					p.setCoefficient(i, col, f.sessionRate(dm, r))
				}
			}
		}
	}
	sol, net, err := p.solve()
	if err != nil {
		return nil, 0, err
	}
	out := vars[:0]
	for i, v := range vars {
		if v.demand != -1 { // not a column of z
			v.sessions = sol[i]
			out = append(out, v)
		}
	}
	return out, net, nil
}

// addBox adds a box's rows, and what those playing there could give up.
func (f *Fleet) addBoxConstraints(p *linearProgram, b int, price float64, link, streams, rack map[int]int) {
	x := &f.Boxes[b]
	kb, n := x.freeCapacity()
	link[b], streams[b] = p.addConstraint(kb), p.addConstraint(n)
	if f.uplinkCanBind(x.Rack) {
		if _, ok := rack[x.Rack]; !ok {
			room := MaxUtilization * f.Uplinks[x.Rack]
			for i := range f.Boxes {
				if f.Boxes[i].Rack == x.Rack {
					room -= f.Boxes[i].LinkLoad
				}
			}
			rack[x.Rack] = p.addConstraint(max(room, 0))
		}
	}
	if x.LinkLoad <= 0 {
		return
	}
	z := p.addVariable(price)
	p.setCoefficient(p.addConstraint(maxStepDownShare*x.LinkLoad), z, 1)
	p.setCoefficient(link[b], z, -1)
	if i, ok := rack[x.Rack]; ok {
		p.setCoefficient(i, z, -1)
	}
}
