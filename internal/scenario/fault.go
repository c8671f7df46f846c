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

func (r *Run) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(float64(d) / r.Speed)):
		return true
	}
}

// play causes a fault at its time and mends it after.
func (r *Run) runFault(ctx context.Context, f Fault, rnd *rand.Rand) {
	if !r.sleep(ctx, f.Start.D()) {
		return
	}
	r.auditLog.Add(audit.Entry{Observer: "script", Subject: f.Kind, Event: audit.FaultApplied, Value: f.Magnitude})
	mend := r.applyFault(f, rnd)
	r.sleep(ctx, f.Duration.D())
	mend()
}

// some are the numbers of a random part of n, one at least.
func sampleIndexes(rnd *rand.Rand, n int, part float64) []int {
	k := min(max(int(math.Round(part*float64(n))), 1), n)
	return rnd.Perm(n)[:k]
}

// cause begins a fault and returns what ends it.
func (r *Run) applyFault(f Fault, rnd *rand.Rand) (mend func()) {
	switch f.Kind {
	case "kill_edge":
		return r.killEdges(sampleIndexes(rnd, len(r.Site.Edges), f.Share))
	case "kill_planner":
		p := r.processes[len(r.processes)-1]
		p.stop(syscall.SIGKILL, time.Second)
		return func() { _ = p.start() }
	case "late_list", "cut_planner":
		set := func(on bool) {
			for _, x := range r.plannerRelays {
				if f.Kind == "cut_planner" {
					x.SetBlocked(on)
				} else if on {
					x.SetDelay(time.Duration(f.Magnitude * float64(time.Second) / r.Speed))
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
		racks := sampleIndexes(rnd, r.Site.Racks, f.Share)
		for _, k := range racks {
			r.fleet.DivideUplink(k, max(f.Magnitude, 1))
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
				r.arrivalFactor = rate
			} else {
				r.hotTitleShare = hot
			}
		}
		set(max(f.Magnitude, 1), f.Magnitude)
		return func() { set(1, 0) }
	}
	switch f.Kind {
	case "move_titles", "remove_titles", "half_update":
		return r.applyTitleFault(f, rnd)
	case "cancel_peak":
		r.callPlanner("DELETE", "/v1/peaks/peak-0", "")
		return func() {}
	}
	if f.Kind == "drain_held" {
		f.Kind = "drain"
		return r.applyBoxFault(f, []int{r.boxWithMostPeakTitles()})
	}
	return r.applyBoxFault(f, sampleIndexes(rnd, len(r.fleet.Boxes), f.Share))
}

func (r *Run) killEdges(which []int) func() {
	for _, i := range which {
		r.auditLog.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeKilled})
		r.processes[i].stop(syscall.SIGKILL, time.Second)
		r.auditLog.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeKilled})
	}
	return func() {
		for _, i := range which {
			_ = r.processes[i].start()
			r.auditLog.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeStarted})
		}
	}
}

func (r *Run) applyBoxFault(f Fault, which []int) func() {
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
		return set(func(x *standin.Faults) { x.ResetShare = f.Magnitude }, func(x *standin.Faults) { x.ResetShare = 0 })
	case "false_health":
		return set(func(x *standin.Faults) { x.Hang, x.FalseHealth = true, true }, func(x *standin.Faults) { x.Hang, x.FalseHealth = false, false })
	case "hang":
		return set(func(x *standin.Faults) { x.Hang = true }, func(x *standin.Faults) { x.Hang = false })
	case "answer_lost":
		return set(func(x *standin.Faults) { x.LostAnswerShare = f.Magnitude }, func(x *standin.Faults) { x.LostAnswerShare = 0 })
	case "full_disk":
		return set(func(x *standin.Faults) { x.FullDisk = true }, func(x *standin.Faults) { x.FullDisk = false })
	case "refuse":
		return set(func(x *standin.Faults) { x.Refuse = true }, func(x *standin.Faults) { x.Refuse = false })
	case "slow":
		return set(func(x *standin.Faults) { x.LinkDivisor = f.Magnitude }, func(x *standin.Faults) { x.LinkDivisor = 0 })
	case "late_notes":
		d := time.Duration(f.Magnitude * float64(time.Second) / r.Speed)
		return set(func(x *standin.Faults) { x.NoteDelay = d }, func(x *standin.Faults) { x.NoteDelay = 0 })
	case "frozen_notes":
		return set(func(x *standin.Faults) { x.FrozenNotes = true }, func(x *standin.Faults) { x.FrozenNotes = false })
	}
	return func() {}
}
