package peaks

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Solver computes plans by linear programming within a time budget. The program, for n sessions of demand d at box b
// and rung r, and a rate z in kB/s that sessions playing at b give up:
//
//	maximise   sum (worth(d,b) worth(r) - price rate(d,r)) n(d,b,r) - price sum z(b)
//	such that  sum over b, r of n(d,b,r) <= sessions(d)                   for each demand (within its seats)
//	           sum over d, r of rate(d,r) n(d,b,r) - z(b) <= free link(b)  for each box
//	           sum over d, r of n(d,b,r) <= free streams(b)                for each box where it can bind
//	           sum in the rack of rate n - z <= free uplink                for each rack where it can bind
//	           z(b) <= a share of the link load of b                       for each box
//	           sum over r of n(d,b,r) <= limit y(d,b), y <= 1              where a copy is offered, at its cost
//
// The price is what a kB/s earns in the cheapest step between rungs of other sessions, which cannot step up into held
// capacity. Groups of demands that share no box and no binding uplink are solved separately. While an earlier run is
// still in progress, no other is started and the greedy plan is used.
type Solver struct {
	Budget time.Duration
	idle   chan struct{} // holds one token while no run is in progress
}

// NewSolver returns a solver with a time budget.
func NewSolver(budget time.Duration) *Solver {
	s := &Solver{Budget: budget, idle: make(chan struct{}, 1)}
	s.idle <- struct{}{}
	return s
}

// Plan returns the optimal plan, or the greedy plan and the reason if there is none within the budget.
func (s *Solver) Plan(fleet *Fleet, demands []Demand) (*Plan, error) {
	greedy := SolveGreedy(fleet, demands)
	select {
	case <-s.idle:
	default:
		return greedy, errors.New("peaks: an earlier run of the solver is still in progress")
	}
	done := make(chan *Plan, 1)
	failed := make(chan error, 1)
	go func() {
		defer func() { s.idle <- struct{}{} }()
		start := time.Now()
		plan, err := SolveLP(fleet, demands)
		if err != nil {
			failed <- err
			return
		}
		plan.Took = time.Since(start)
		done <- plan
	}()
	timer := time.NewTimer(s.Budget)
	defer timer.Stop()
	select {
	case plan := <-done:
		return plan, nil
	case err := <-failed:
		return greedy, err
	case <-timer.C:
		return greedy, fmt.Errorf("peaks: the solver exceeded its budget of %v", s.Budget)
	}
}

// SolveLP returns the optimal plan.
func SolveLP(fleet *Fleet, demands []Demand) (*Plan, error) {
	var allocations []allocation
	var selected []SelectedOffer
	net := 0.0
	for _, group := range fleet.independentGroups(demands) {
		groupAllocations, groupNet, err := fleet.solveGroup(demands, group)
		if err != nil {
			return nil, err
		}
		net += groupNet
		for _, x := range groupAllocations {
			if x.demand <= -2 {
				if x.sessions > 1e-6 {
					selected = append(selected, SelectedOffer{-2 - x.demand, x.box, x.sessions})
				}
				continue
			}
			allocations = append(allocations, x)
		}
	}
	plan := fleet.buildPlan(demands, allocations, "lp")
	plan.Buys, plan.Net = selected, net
	return plan, nil
}

// independentGroups groups the demands that share boxes, or racks whose uplink can bind.
func (f *Fleet) independentGroups(demands []Demand) [][]int {
	parent := make([]int, len(f.Boxes)+len(f.Uplinks))
	for i := range parent {
		parent[i] = i
	}
	root := func(i int) int {
		for parent[i] != i {
			parent[i] = parent[parent[i]]
			i = parent[i]
		}
		return i
	}
	for b := range f.Boxes {
		if f.uplinkCanBind(f.Boxes[b].Rack) {
			parent[root(b)] = root(len(f.Boxes) + f.Boxes[b].Rack)
		}
	}
	firstBox := make([]int, len(demands))
	for d := range demands {
		firstBox[d] = -1
		for b := range f.Boxes {
			if f.holdsTitle(&demands[d], &f.Boxes[b]) || f.offerIndex(&demands[d], &f.Boxes[b]) >= 0 {
				if firstBox[d] < 0 {
					firstBox[d] = b
				}
				parent[root(b)] = root(firstBox[d])
			}
		}
	}
	groupOfRoot := map[int]int{}
	var out [][]int
	for d := range demands {
		if firstBox[d] < 0 || f.sessionsWithinSeats(&demands[d]) <= 0 {
			continue
		}
		r := root(firstBox[d])
		i, ok := groupOfRoot[r]
		if !ok {
			i = len(out)
			groupOfRoot[r], out = i, append(out, nil)
		}
		out[i] = append(out[i], d)
	}
	return out
}

// uplinkCanBind reports whether a rack's uplink can limit the links of its boxes.
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

// linearProgram is a linear program to which variables and constraints are added one by one.
type linearProgram struct {
	costs       []float64
	constraints []constraint
}

// constraint is an upper bound on a linear combination of variables.
type constraint struct {
	variables    []int
	coefficients []float64
	bound        float64
}

// addVariable adds a variable with its cost in the objective, which is minimised, and returns its index.
func (p *linearProgram) addVariable(cost float64) int {
	p.costs = append(p.costs, cost)
	return len(p.costs) - 1
}

// addConstraint adds a constraint without variables and returns its index.
func (p *linearProgram) addConstraint(bound float64) int {
	p.constraints = append(p.constraints, constraint{bound: bound})
	return len(p.constraints) - 1
}

// setCoefficient adds a variable with its coefficient to a constraint.
func (p *linearProgram) setCoefficient(row, variable int, value float64) {
	p.constraints[row].variables, p.constraints[row].coefficients = append(p.constraints[row].variables, variable),
		append(p.constraints[row].coefficients, value)
}

// solve runs the simplex algorithm with a slack variable for each constraint, starting from the vertex at which nothing
// is held. It returns the values of the variables and the maximum. Constraints are scaled to similar magnitudes, which
// the simplex needs for its tolerances.
func (p *linearProgram) solve() ([]float64, float64, error) {
	n, m := len(p.costs), len(p.constraints)
	a := mat.NewDense(m, n+m, nil)
	b, c, basis := make([]float64, m), make([]float64, n+m), make([]int, m)
	copy(c, p.costs)
	for i, row := range p.constraints {
		scale := 0.0
		for _, v := range row.coefficients {
			scale = max(scale, math.Abs(v))
		}
		scale = max(scale, 1e-9)
		for j, variable := range row.variables {
			a.Set(i, variable, a.At(i, variable)+row.coefficients[j]/scale)
		}
		a.Set(i, n+i, 1)
		// Many constraints have a bound of 0, and such degenerate vertices lead the simplex into singular bases.
		// Therefore each bound is raised by a small amount that differs from constraint to constraint.
		b[i], basis[i] = max(row.bound, 0)/scale+perturbation*(1+float64(i)/float64(m)), n+i
	}
	minimum, x, err := lp.Simplex(c, a, b, 1e-9, basis)
	if err != nil {
		return nil, 0, fmt.Errorf("peaks: simplex with %d constraints and %d variables: %w", m, n+m, err)
	}
	return x[:n], -minimum, nil
}

// perturbation is the smallest amount that solve adds to the scaled bound of a constraint.
const perturbation = 1e-6

// solveGroup builds and solves the program of one group of demands. In the result, an allocation with a demand of -2-d
// is an offered copy of demand d: its box is the index of the offer and its sessions are the fraction of the copy.
func (f *Fleet) solveGroup(demands []Demand, group []int) ([]allocation, float64, error) {
	program := &linearProgram{}
	linkRows, streamRows, uplinkRows := map[int]int{}, map[int]int{}, map[int]int{}
	price := f.stepDownPrice()
	var variables []allocation
	for _, d := range group {
		demand := &demands[d]
		sessionsRow := program.addConstraint(f.sessionsWithinSeats(demand))
		class := f.Classes[demand.Class]
		for b := range f.Boxes {
			box := &f.Boxes[b]
			offer := f.offerIndex(demand, box)
			if offer < 0 && !f.holdsTitle(demand, box) {
				continue
			}
			if _, ok := linkRows[b]; !ok {
				f.addBoxConstraints(program, b, price, linkRows, streamRows, uplinkRows)
			}
			copyRow := -1
			if offer >= 0 { // sum of n(d,b,r) - limit y <= 0, y <= 1
				copyVariable := program.addVariable(demand.Offers[offer].Cost)
				for len(variables) < copyVariable {
					variables = append(variables, allocation{demand: -1})
				}
				variables = append(variables, allocation{demand: -2 - d, box: offer})
				_, freeStreams := box.freeCapacity()
				copyRow = program.addConstraint(0)
				program.setCoefficient(copyRow, copyVariable,
					-max(min(freeStreams, f.sessionsWithinSeats(demand)), 1e-3))
				program.setCoefficient(program.addConstraint(1), copyVariable, 1)
			}
			for r := class.FloorRung; r <= class.TopRung; r++ {
				variable := program.addVariable(price*f.sessionRate(demand, r) -
					f.sessionWorth(demand, box)*f.RungWorths[r])
				for len(variables) < variable {
					variables = append(variables, allocation{demand: -1}) // variables z
				}
				variables = append(variables, allocation{d, b, r, 0})
				program.setCoefficient(sessionsRow, variable, 1)
				program.setCoefficient(linkRows[b], variable, f.sessionRate(demand, r))
				program.setCoefficient(streamRows[b], variable, 1)
				if copyRow >= 0 {
					program.setCoefficient(copyRow, variable, 1)
				}
				if i, ok := uplinkRows[box.Rack]; ok {
					program.setCoefficient(i, variable, f.sessionRate(demand, r))
				}
			}
		}
	}
	solution, net, err := program.solve()
	if err != nil {
		return nil, 0, err
	}
	out := variables[:0]
	for i, v := range variables {
		if v.demand != -1 { // not a variable z
			v.sessions = solution[i]
			out = append(out, v)
		}
	}
	return out, net, nil
}

// addBoxConstraints adds the constraints of a box, and the variable z for the rate that its other sessions give up.
func (f *Fleet) addBoxConstraints(program *linearProgram, b int, price float64,
	linkRows, streamRows, uplinkRows map[int]int) {
	box := &f.Boxes[b]
	freeLink, freeStreams := box.freeCapacity()
	linkRows[b], streamRows[b] = program.addConstraint(freeLink), program.addConstraint(freeStreams)
	if f.uplinkCanBind(box.Rack) {
		if _, ok := uplinkRows[box.Rack]; !ok {
			freeUplink := MaxUtilization * f.Uplinks[box.Rack]
			for i := range f.Boxes {
				if f.Boxes[i].Rack == box.Rack {
					freeUplink -= f.Boxes[i].LinkLoad
				}
			}
			uplinkRows[box.Rack] = program.addConstraint(max(freeUplink, 0))
		}
	}
	if box.LinkLoad <= 0 {
		return
	}
	stepDownVariable := program.addVariable(price)
	program.setCoefficient(program.addConstraint(maxStepDownShare*box.LinkLoad), stepDownVariable, 1)
	program.setCoefficient(linkRows[b], stepDownVariable, -1)
	if i, ok := uplinkRows[box.Rack]; ok {
		program.setCoefficient(i, stepDownVariable, -1)
	}
}
