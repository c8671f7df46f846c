package edge

import (
	"bytes"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"rainpulley/internal/http1"
)

// newMetrics returns a registry whose metrics read the counters of the edge when they are scraped, so that handling
// a request costs nothing extra.
func (e *Edge) newMetrics() *prometheus.Registry {
	stats, registry := &e.orchestrator.Stats, prometheus.NewRegistry()
	count := func(name, help string, read func() int64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "rainpulley_edge_" + name, Help: help},
			func() float64 { return float64(read()) }))
	}
	gauge := func(name, help string, read func() int64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "rainpulley_edge_" + name, Help: help},
			func() float64 { return float64(read()) }))
	}
	count("requests_total", "Requests that the module was told of.", stats.Requests.Load)
	count("turned_away_total", "Requests that were not taken: the queue was full.", stats.QueueFull.Load)
	count("plays_total", "Requests that ended in a session.", stats.Started.Load)
	count("refused_total", "Requests that were refused.", stats.Refused.Load)
	count("failed_total", "Requests that failed.", stats.Failed.Load)
	count("attempts_total", "Set-ups sent.", stats.Attempts.Load)
	count("further_attempts_total", "Set-ups beyond a request's first.", stats.FurtherAttempts.Load)
	count("moot_total", "Set-ups kept back: each would have broken a rule.", stats.NotSent.Load)
	count("overdue_total", "Requests answered by the backstop.", stats.Overdue.Load)
	count("notes_lost_total", "Notes of boxes dropped: the queue was full.", stats.NotesDropped.Load)
	gauge("open_sessions", "Requests and sessions that the module holds.", stats.Open.Load)
	gauge("known_sessions", "Sessions remembered, ended ones of the last minute too.", e.sessions.size.Load)
	gauge("holds", "Holds of announced peaks in force.", func() int64 { return int64(e.holds.activeCount()) })
	gauge("view_version", "Version of the view in force.", func() int64 { return int64(e.fleet.Load().view.Version) })
	gauge("view_boxes", "Boxes of the view in force.", func() int64 { return int64(len(e.fleet.Load().view.Boxes)) })
	gauge("view_titles", "Titles of the view in force.", func() int64 { return int64(len(e.fleet.Load().view.Titles)) })
	return registry
}

// writeMetrics answers with all metrics in version 0.0.4 of the Prometheus text format.
func (e *Edge) writeMetrics(x *http1.Exchange) {
	families, err := e.metricsRegistry.Gather()
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	var out bytes.Buffer
	for _, f := range families {
		if err == nil {
			err = expfmt.NewEncoder(&out, format).Encode(f)
		}
	}
	if err != nil {
		e.Log.Error("could not write metrics", "error", err)
		e.writeText(x, 500, "metrics could not be written")
		return
	}
	x.StartResponse(200)
	x.AddHeader("Content-Type", string(format))
	x.ResponseBody = append(x.ResponseBody, out.Bytes()...)
}
