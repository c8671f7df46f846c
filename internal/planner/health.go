package planner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"rainpulley/internal/cmsd"
	"rainpulley/internal/descriptors"
	"rainpulley/internal/timeconv"
)

// healthResponse is the body of a box's answer to GET /health.
type healthResponse struct {
	State         string `json:"state"`
	Boot          string `json:"boot"`
	StartedMs     int64  `json:"started_ms"`
	TitlesVersion uint64 `json:"titles_version"`
}

// runHealthChecks checks one box at each interval until ctx ends. The number spreads the checks of the boxes over
// the interval.
func (p *Planner) runHealthChecks(ctx context.Context, addr string, number int) {
	interval := p.Site.Planner.CheckEvery.Std()
	var knownVersion uint64 // version of the list of titles that was read last, plus 1; 0: none was read
	var lastRead time.Time
	misses := 0
	timer := time.NewTimer(interval * time.Duration(number) / time.Duration(max(len(p.Site.Boxes), 64)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(interval)
		check, known := p.checkHealth(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if !known {
			continue
		}
		p.mu.Lock()
		p.monitor.RecordCheck(addr, check)
		p.updateManagerBoxes()
		before := p.published.Version
		p.publishView()
		after := p.published.Version
		p.mu.Unlock()
		if after != before {
			p.Log.Info("view published", "version", after, "cause", addr, "answered", check.Answered,
				"draining", check.Draining, "boot", check.BootID)
		}
		// Titles are read after the state is published, so that a drain takes effect without delay.
		p.refreshTitles(ctx, addr, check, &knownVersion, &lastRead, &misses)
	}
}

// checkHealth sends one health check to a box. A failed request or an invalid answer counts as not answered. known is
// false if the check could not be sent for a reason of this machine, which says nothing about the box.
func (p *Planner) checkHealth(ctx context.Context, addr string) (check HealthCheck, known bool) {
	requestCtx, cancel := context.WithTimeout(ctx, p.Site.Planner.CheckFor.Std())
	defer cancel()
	r, err := p.client.Do(requestCtx, addr, "GET", "/health", nil, nil)
	if descriptors.IsLocal(err) {
		p.Log.Warn("health check not sent", "server", addr, "error", err)
		return HealthCheck{}, false
	}
	var health healthResponse
	if err != nil || r.Status != 200 || json.Unmarshal(r.Body, &health) != nil {
		return HealthCheck{}, true
	}
	check = HealthCheck{Answered: true, Draining: health.State == "draining", BootID: health.Boot,
		TitlesVersion: health.TitlesVersion, AnsweredAt: time.Now()}
	if load := cmsd.Parse(r.Get("cmsd-dynamic")); load != nil {
		if load.LinkUtilization != nil {
			check.LinkUtilization = *load.LinkUtilization
		}
		if load.Streams != nil {
			check.Streams = *load.Streams
		}
	}
	if health.StartedMs > 0 && health.StartedMs <= timeconv.MaxUnixMilli {
		check.Started = time.UnixMilli(health.StartedMs)
	}
	return check, true
}

// healthChecks are the goroutines that check boxes; guarded by Planner.mu.
type healthChecks struct {
	ctx         context.Context
	wg          *sync.WaitGroup
	cancelByBox map[string]context.CancelFunc
}

// startHealthChecks starts the goroutine that checks a box. p.mu is held.
func (p *Planner) startHealthChecks(addr string, number int) {
	ctx, cancel := context.WithCancel(p.healthChecks.ctx)
	p.healthChecks.cancelByBox[addr] = cancel
	p.healthChecks.wg.Add(1)
	go func() { defer p.healthChecks.wg.Done(); p.runHealthChecks(ctx, addr, number) }()
}

// stopHealthChecks ends the checks of a box, if there are any. p.mu is held.
func (p *Planner) stopHealthChecks(addr string) {
	if p.healthChecks == nil || p.healthChecks.cancelByBox[addr] == nil {
		return
	}
	p.healthChecks.cancelByBox[addr]()
	delete(p.healthChecks.cancelByBox, addr)
}
