package planner

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rainpulley/internal/view"
)

// metrics returns a handler that serves the planner's state in the Prometheus text format.
func (p *Planner) metrics() http.Handler {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, labels prometheus.Labels, read func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "rainpulley_planner_" + name,
			Help: help, ConstLabels: labels}, func() float64 { p.mu.Lock(); defer p.mu.Unlock(); return read() }))
	}
	gauge("view_version", "Version of the view that is published; 0: none yet.", nil, func() float64 {
		return float64(p.published.Version)
	})
	gauge("titles", "Titles of the view.", nil, func() float64 { return float64(len(p.published.Titles)) })
	gauge("titles_invalid", "Titles whose entry cannot be read; the last valid one is in force.", nil, func() float64 {
		invalid, _ := p.catalogue.Faults()
		return float64(invalid)
	})
	gauge("titles_removal_held", "Titles whose removal is held, since a list lacks most titles at once.", nil,
		func() float64 {
			_, held := p.catalogue.Faults()
			return float64(held)
		})
	for _, state := range []view.State{view.StateReady, view.StateDraining} {
		gauge("boxes", "Boxes of the view by state.", prometheus.Labels{"state": string(state)}, func() (n float64) {
			for _, b := range p.published.Boxes {
				if b.State == state {
					n++
				}
			}
			return n
		})
	}
	gauge("peaks", "Announcements in the book, cancelled ones too.", nil, func() float64 {
		return float64(len(p.peakState.announcements.List()))
	})
	gauge("peaks_pending", "Announcements that are not planned for, since a name in them is not known.", nil, func() float64 {
		return float64(len(p.pendingAnnouncements(p.knownNames())))
	})
	gauge("held_kilobytes_per_second", "Room held for peaks.", nil, func() (kb float64) {
		for _, h := range p.peakState.ledger.RemainingHolds() {
			kb += h.Rate
		}
		return kb
	})
	gauge("plan_seconds", "Time that the last plan took.", nil, func() float64 { return p.peakState.plan.Took.Seconds() })
	gauge("plan_worth_per_second", "What the last plan is thought to earn.", nil, func() float64 {
		return p.peakState.plan.Value
	})
	if manager := p.copyState.manager; manager != nil {
		gauge("copies_under_way", "Copies that boxes are making.", nil, func() float64 {
			return float64(manager.RunningJobs())
		})
		gauge("copies_wanted", "Copies beyond those at rest that are decided.", nil, func() float64 {
			return float64(len(p.copyState.decisions.Copies()) + len(p.copyState.driftCopies))
		})
		gauge("copies_commands", "Commands to boxes so far.", nil, func() float64 {
			return float64(p.copyState.commandsSent)
		})
		gauge("copies_refused", "Commands that boxes did not take.", nil, func() float64 {
			return float64(p.copyState.commandsFailed)
		})
		gauge("copies_outdated", "1: boxes obey a later planner, this one commands no more.", nil, func() float64 {
			if manager.Superseded() {
				return 1
			}
			return 0
		})
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
