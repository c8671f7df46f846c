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
	busy   chan struct{} // holds one token while free
}

// NewSolver makes one with a budget.
func NewSolver(budget time.Duration) *Solver {
	s := &Solver{Budget: budget, busy: make(chan struct{}, 1)}
	s.busy <- struct{}{}
	return s
}

// Plan is the best plan that the budget allows. The reason tells why it is the greedy one.
func (s *Solver) Plan(f *Fleet, demands []Demand) (*Plan, error) {
	greedy := Greedy(f, demands)
	select {
	case <-s.busy:
	default:
		return greedy, errors.New("peaks: the solver is still at work")
	}
	done := make(chan *Plan, 1)
	failed := make(chan error, 1)
	go func() {
		defer func() { s.busy <- struct{}{} }()
		begin := time.Now()
		p, err := LP(f, demands)
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
func LP(f *Fleet, demands []Demand) (*Plan, error) {
	var pieces []piece
	var buys []Buy
	net := 0.0
	for _, part := range f.parts(demands) {
		got, n, err := f.solve(demands, part)
		if err != nil {
			return nil, err
		}
		net += n
		for _, x := range got {
			if x.demand <= -2 {
				if x.n > 1e-6 {
					buys = append(buys, Buy{-2 - x.demand, x.box, x.n})
				}
				continue
			}
			pieces = append(pieces, x)
		}
	}
	p := f.collect(demands, pieces, "lp")
	p.Buys, p.Net = buys, net
	return p, nil
}

// parts are the demands that share boxes, or racks whose uplink could bind.
func (f *Fleet) parts(demands []Demand) [][]int {
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
		if f.binds(f.Boxes[b].Rack) {
			group[root(b)] = root(len(f.Boxes) + f.Boxes[b].Rack)
		}
	}
	first := make([]int, len(demands))
	for d := range demands {
		first[d] = -1
		for b := range f.Boxes {
			if f.has(&demands[d], &f.Boxes[b]) || f.offer(&demands[d], &f.Boxes[b]) >= 0 {
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
		if first[d] < 0 || f.count(&demands[d]) <= 0 {
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
func (f *Fleet) binds(rack int) bool {
	if f.Uplinks[rack] <= 0 {
		return false
	}
	sum := 0.0
	for i := range f.Boxes {
		if f.Boxes[i].Rack == rack {
			sum += max(Fill*f.Boxes[i].Link*f.Boxes[i].Warm, f.Boxes[i].Busy)
		}
	}
	return sum > Fill*f.Uplinks[rack]
}

// program is a linear program that grows by rows and columns.
type program struct {
	cost []float64
	rows []row
}

type row struct {
	cols  []int
	vals  []float64
	limit float64
}

func (p *program) column(cost float64) int {
	p.cost = append(p.cost, cost)
	return len(p.cost) - 1
}

func (p *program) limit(to float64) int {
	p.rows = append(p.rows, row{limit: to})
	return len(p.rows) - 1
}

func (p *program) set(r, col int, v float64) {
	p.rows[r].cols, p.rows[r].vals = append(p.rows[r].cols, col), append(p.rows[r].vals, v)
}

// run solves it with a slack for each row, from the corner at which nothing is held. Rows are scaled to
// like sizes, which the simplex needs for its tolerances.
func (p *program) run() ([]float64, float64, error) {
	n, m := len(p.cost), len(p.rows)
	a := mat.NewDense(m, n+m, nil)
	b, c, basis := make([]float64, m), make([]float64, n+m), make([]int, m)
	copy(c, p.cost)
	for i, r := range p.rows {
		scale := 0.0
		for _, v := range r.vals {
			scale = max(scale, math.Abs(v))
		}
		scale = max(scale, 1e-9)
		for j, col := range r.cols {
			a.Set(i, col, a.At(i, col)+r.vals[j]/scale)
		}
		a.Set(i, n+i, 1)
		// rows of no room at all are many, and equal corners lead the simplex into singular bases: each
		// row gets a little more, no two the same
		b[i], basis[i] = max(r.limit, 0)/scale+perturb*(1+float64(i)/float64(m)), n+i
	}
	least, x, err := lp.Simplex(c, a, b, 1e-9, basis)
	if err != nil {
		return nil, 0, fmt.Errorf("peaks: simplex over %d rows and %d columns: %w", m, n+m, err)
	}
	return x[:n], -least, nil
}

const perturb = 1e-6

// solve sets up and solves the program of one part.
func (f *Fleet) solve(demands []Demand, part []int) ([]piece, float64, error) {
	p := &program{}
	link, streams, rack := map[int]int{}, map[int]int{}, map[int]int{}
	price := f.stepPrice()
	var vars []piece
	for _, d := range part {
		dm := &demands[d]
		want := p.limit(f.count(dm))
		k := f.Classes[dm.Class]
		for b := range f.Boxes {
			x := &f.Boxes[b]
			o := f.offer(dm, x)
			if o < 0 && !f.has(dm, x) {
				continue
			}
			if _, ok := link[b]; !ok {
				f.addBox(p, b, price, link, streams, rack)
			}
			bought := -1
			if o >= 0 { // sum of n(d,b,r) - most y <= 0, y <= 1
				y := p.column(dm.Offers[o].Cost)
				for len(vars) < y {
					vars = append(vars, piece{demand: -1})
				}
				vars = append(vars, piece{demand: -2 - d, box: o})
				_, most := x.room()
				bought = p.limit(0)
				p.set(bought, y, -max(min(most, f.count(dm)), 1e-3))
				p.set(p.limit(1), y, 1)
			}
			for r := k.Floor; r <= k.Top; r++ {
				col := p.column(price*f.rate(dm, r) - f.worth(dm, x)*f.Worths[r])
				for len(vars) < col {
					vars = append(vars, piece{demand: -1}) // columns of z
				}
				vars = append(vars, piece{d, b, r, 0})
				p.set(want, col, 1)
				p.set(link[b], col, f.rate(dm, r))
				p.set(streams[b], col, 1)
				if bought >= 0 {
					p.set(bought, col, 1)
				}
				if i, ok := rack[x.Rack]; ok {
					p.set(i, col, f.rate(dm, r))
				}
			}
		}
	}
	sol, net, err := p.run()
	if err != nil {
		return nil, 0, err
	}
	out := vars[:0]
	for i, v := range vars {
		if v.demand != -1 { // not a column of z
			v.n = sol[i]
			out = append(out, v)
		}
	}
	return out, net, nil
}

// addBox adds a box's rows, and what those playing there could give up.
func (f *Fleet) addBox(p *program, b int, price float64, link, streams, rack map[int]int) {
	x := &f.Boxes[b]
	kb, n := x.room()
	link[b], streams[b] = p.limit(kb), p.limit(n)
	if f.binds(x.Rack) {
		if _, ok := rack[x.Rack]; !ok {
			room := Fill * f.Uplinks[x.Rack]
			for i := range f.Boxes {
				if f.Boxes[i].Rack == x.Rack {
					room -= f.Boxes[i].Busy
				}
			}
			rack[x.Rack] = p.limit(max(room, 0))
		}
	}
	if x.Busy <= 0 {
		return
	}
	z := p.column(price)
	p.set(p.limit(giveUp*x.Busy), z, 1)
	p.set(link[b], z, -1)
	if i, ok := rack[x.Rack]; ok {
		p.set(i, z, -1)
	}
}
