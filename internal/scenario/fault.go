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

// sleep waits for d on the script's clock and reports whether the time elapsed before ctx was cancelled.
func (r *Run) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(float64(d) / r.Speed)):
		return true
	}
}

// runFault applies a fault at its start time and reverts it after its duration.
func (r *Run) runFault(ctx context.Context, fault Fault, rnd *rand.Rand) {
	if !r.sleep(ctx, fault.Start.Std()) {
		return
	}
	r.auditLog.Add(audit.Entry{Observer: "script", Subject: fault.Kind, Event: audit.FaultApplied, Value: fault.Magnitude})
	revert := r.applyFault(fault, rnd)
	r.sleep(ctx, fault.Duration.Std())
	revert()
}

// sampleIndexes returns the indexes of a random share of n elements, at least one.
func sampleIndexes(rnd *rand.Rand, n int, share float64) []int {
	count := min(max(int(math.Round(share*float64(n))), 1), n)
	return rnd.Perm(n)[:count]
}

// applyFault starts a fault and returns the function that reverts it.
func (r *Run) applyFault(f Fault, rnd *rand.Rand) (revert func()) {
	switch f.Kind {
	case "kill_edge":
		return r.killEdges(sampleIndexes(rnd, len(r.Site.Edges), f.Share))
	case "kill_planner":
		planner := r.processes[len(r.processes)-1]
		planner.stop(syscall.SIGKILL, time.Second)
		return func() { _ = planner.start() }
	case "late_list", "cut_planner":
		setFault := func(on bool) {
			for _, relay := range r.plannerRelays {
				if f.Kind == "cut_planner" {
					relay.SetBlocked(on)
				} else if on {
					relay.SetDelay(time.Duration(f.Magnitude * float64(time.Second) / r.Speed))
				} else {
					relay.SetDelay(0)
				}
			}
		}
		setFault(true)
		return func() { setFault(false) }
	case "cut_zone":
		zone := rnd.IntN(len(r.Site.Zones))
		r.fleet.IsolateZone(zone)
		return func() { r.fleet.IsolateZone(-1) }
	case "weak_uplink":
		racks := sampleIndexes(rnd, r.Site.Racks, f.Share)
		for _, rack := range racks {
			r.fleet.DivideUplink(rack, max(f.Magnitude, 1))
		}
		return func() {
			for _, rack := range racks {
				r.fleet.DivideUplink(rack, 1)
			}
		}
	case "burst", "hot_title":
		setFault := func(rate, hot float64) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if f.Kind == "burst" {
				r.arrivalFactor = rate
			} else {
				r.hotTitleShare = hot
			}
		}
		setFault(max(f.Magnitude, 1), f.Magnitude)
		return func() { setFault(1, 0) }
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

// killEdges kills edges and returns a function that restarts them. The kill is logged before and after because entries
// of the edge may be recorded while its process exits.
func (r *Run) killEdges(indexes []int) func() {
	for _, i := range indexes {
		r.auditLog.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeKilled})
		r.processes[i].stop(syscall.SIGKILL, time.Second)
		r.auditLog.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeKilled})
	}
	return func() {
		for _, i := range indexes {
			_ = r.processes[i].start()
			r.auditLog.Add(audit.Entry{Observer: "script", Subject: strconv.Itoa(i), Event: audit.EdgeStarted})
		}
	}
}

// applyBoxFault starts a fault on the given boxes and returns the function that reverts it.
func (r *Run) applyBoxFault(f Fault, indexes []int) func() {
	forEach := func(do func(*standin.Box)) {
		for _, i := range indexes {
			do(r.fleet.Boxes[i])
		}
	}
	setFaults := func(on, off func(*standin.Faults)) func() {
		forEach(func(b *standin.Box) { b.SetFaults(on) })
		return func() { forEach(func(b *standin.Box) { b.SetFaults(off) }) }
	}
	switch f.Kind {
	case "drain":
		forEach(func(b *standin.Box) { b.Drain(true) })
		return func() { forEach(func(b *standin.Box) { b.Drain(false) }) }
	case "crash":
		forEach((*standin.Box).Crash)
		return func() { forEach(func(b *standin.Box) { _ = b.Restart() }) }
	case "vanish":
		forEach(func(b *standin.Box) { b.SetFaults(func(faults *standin.Faults) { faults.Hang = true }) })
		return func() {
			forEach(func(b *standin.Box) {
				b.Crash()
				_ = b.Restart()
			})
		}
	case "reset":
		return setFaults(func(faults *standin.Faults) { faults.ResetShare = f.Magnitude },
			func(faults *standin.Faults) { faults.ResetShare = 0 })
	case "false_health":
		return setFaults(func(faults *standin.Faults) { faults.Hang, faults.FalseHealth = true, true },
			func(faults *standin.Faults) { faults.Hang, faults.FalseHealth = false, false })
	case "hang":
		return setFaults(func(faults *standin.Faults) { faults.Hang = true },
			func(faults *standin.Faults) { faults.Hang = false })
	case "answer_lost":
		return setFaults(func(faults *standin.Faults) { faults.LostAnswerShare = f.Magnitude },
			func(faults *standin.Faults) { faults.LostAnswerShare = 0 })
	case "full_disk":
		return setFaults(func(faults *standin.Faults) { faults.FullDisk = true },
			func(faults *standin.Faults) { faults.FullDisk = false })
	case "refuse":
		return setFaults(func(faults *standin.Faults) { faults.Refuse = true },
			func(faults *standin.Faults) { faults.Refuse = false })
	case "slow":
		return setFaults(func(faults *standin.Faults) { faults.LinkDivisor = f.Magnitude },
			func(faults *standin.Faults) { faults.LinkDivisor = 0 })
	case "late_notes":
		delay := time.Duration(f.Magnitude * float64(time.Second) / r.Speed)
		return setFaults(func(faults *standin.Faults) { faults.NoteDelay = delay },
			func(faults *standin.Faults) { faults.NoteDelay = 0 })
	case "frozen_notes":
		return setFaults(func(faults *standin.Faults) { faults.FrozenNotes = true },
			func(faults *standin.Faults) { faults.FrozenNotes = false })
	}
	return func() {}
}
