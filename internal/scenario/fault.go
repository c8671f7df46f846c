package scenario

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/standin"
)

func (r *Run) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(float64(d) / r.Speed)):
		return true
	}
}

// play causes a fault at its time and mends it after.
func (r *Run) play(ctx context.Context, f Fault, rnd *rand.Rand) {
	if !r.wait(ctx, f.At.D()) {
		return
	}
	r.log.Add(audit.Entry{Observer: "script", Subject: f.Kind, Event: audit.FaultApplied, Value: f.Size})
	mend := r.cause(f, rnd)
	r.wait(ctx, f.For.D())
	mend()
}

// some are the numbers of a random part of n, one at least.
func some(rnd *rand.Rand, n int, part float64) []int {
	k := min(max(int(math.Round(part*float64(n))), 1), n)
	return rnd.Perm(n)[:k]
}

// cause begins a fault and returns what ends it.
func (r *Run) cause(f Fault, rnd *rand.Rand) (mend func()) {
	switch f.Kind {
	case "kill_edge":
		return r.killEdges(some(rnd, len(r.Site.Edges), f.Part))
	case "kill_planner":
		p := r.procs[len(r.procs)-1]
		p.end(syscall.SIGKILL, time.Second)
		return func() { _ = p.start() }
	case "late_list", "cut_planner":
		set := func(on bool) {
			for _, x := range r.relays {
				if f.Kind == "cut_planner" {
					x.SetBlocked(on)
				} else if on {
					x.SetDelay(time.Duration(f.Size * float64(time.Second) / r.Speed))
				} else {
					x.SetDelay(0)
				}
			}
		}
		set(true)
		return func() { set(false) }
	case "cut_zone":
		zone := rnd.IntN(len(r.Site.Zones))
		r.fleet.IsolateZone(zone)
		return func() { r.fleet.IsolateZone(-1) }
	case "weak_uplink":
		racks := some(rnd, r.Site.Racks, f.Part)
		for _, k := range racks {
			r.fleet.DivideUplink(k, max(f.Size, 1))
		}
		return func() {
			for _, k := range racks {
				r.fleet.DivideUplink(k, 1)
			}
		}
	case "burst", "hot_title":
		set := func(rate, hot float64) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if f.Kind == "burst" {
				r.rate = rate
			} else {
				r.hot = hot
			}
		}
		set(max(f.Size, 1), f.Size)
		return func() { set(1, 0) }
	}
	switch f.Kind {
	case "move_titles", "remove_titles", "half_update":
		return r.titleFault(f, rnd)
	case "cancel_peak":
		r.tellPlanner("DELETE", "/v1/peaks/peak-0", "")
		return func() {}
	}
	if f.Kind == "drain_held" {
		f.Kind = "drain"
		return r.boxFault(f, []int{r.heldBox()})
	}
	return r.boxFault(f, some(rnd, len(r.fleet.Boxes), f.Part))
}

func (r *Run) killEdges(which []int) func() {
	for _, i := range which {
		r.log.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeKilled})
		r.procs[i].end(syscall.SIGKILL, time.Second)
		r.log.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeKilled})
	}
	return func() {
		for _, i := range which {
			_ = r.procs[i].start()
			r.log.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeStarted})
		}
	}
}

func (r *Run) boxFault(f Fault, which []int) func() {
	each := func(do func(*standin.Box)) {
		for _, i := range which {
			do(r.fleet.Boxes[i])
		}
	}
	set := func(on, off func(*standin.Faults)) func() {
		each(func(b *standin.Box) { b.SetFaults(on) })
		return func() { each(func(b *standin.Box) { b.SetFaults(off) }) }
	}
	switch f.Kind {
	case "drain":
		each(func(b *standin.Box) { b.Drain(true) })
		return func() { each(func(b *standin.Box) { b.Drain(false) }) }
	case "crash":
		each((*standin.Box).Crash)
		return func() { each(func(b *standin.Box) { _ = b.Restart() }) }
	case "vanish":
		each(func(b *standin.Box) { b.SetFaults(func(x *standin.Faults) { x.Hang = true }) })
		return func() {
			each(func(b *standin.Box) {
				b.Crash()
				_ = b.Restart()
			})
		}
	case "reset":
		return set(func(x *standin.Faults) { x.ResetShare = f.Size }, func(x *standin.Faults) { x.ResetShare = 0 })
	case "false_health":
		return set(func(x *standin.Faults) { x.Hang, x.FalseHealth = true, true }, func(x *standin.Faults) { x.Hang, x.FalseHealth = false, false })
	case "hang":
		return set(func(x *standin.Faults) { x.Hang = true }, func(x *standin.Faults) { x.Hang = false })
	case "answer_lost":
		return set(func(x *standin.Faults) { x.LostAnswerShare = f.Size }, func(x *standin.Faults) { x.LostAnswerShare = 0 })
	case "full_disk":
		return set(func(x *standin.Faults) { x.FullDisk = true }, func(x *standin.Faults) { x.FullDisk = false })
	case "refuse":
		return set(func(x *standin.Faults) { x.Refuse = true }, func(x *standin.Faults) { x.Refuse = false })
	case "slow":
		return set(func(x *standin.Faults) { x.LinkDivisor = f.Size }, func(x *standin.Faults) { x.LinkDivisor = 0 })
	case "late_notes":
		d := time.Duration(f.Size * float64(time.Second) / r.Speed)
		return set(func(x *standin.Faults) { x.NoteDelay = d }, func(x *standin.Faults) { x.NoteDelay = 0 })
	case "frozen_notes":
		return set(func(x *standin.Faults) { x.FrozenNotes = true }, func(x *standin.Faults) { x.FrozenNotes = false })
	}
	return func() {}
}
