package scenario

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rainpulley/internal/audit"
	"rainpulley/internal/regret"
)

// Result holds the measurements of one run. All boxes and viewers are stand-ins.
type Result struct {
	Scenario            string          `json:"scenario"`
	Policy              string          `json:"policy"`
	Seed                uint64          `json:"seed"`
	Sessions            int             `json:"sessions"`
	Outcomes            map[string]int  `json:"outcomes"`
	DoubleOutcomes      int             `json:"double_outcomes"`
	OverlappingAttempts int             `json:"overlapping_attempts"`
	BrokenRules         []string        `json:"broken_rules"`
	WorthAsked          float64         `json:"worth_asked"`
	WorthDelivered      float64         `json:"worth_delivered"`
	WorthShare          float64         `json:"worth_share"`
	Edges               int             `json:"edges"`
	Boxes               int             `json:"boxes"`
	Faults              int             `json:"faults"`
	Requests            int             `json:"requests"`
	Retries             int             `json:"retries"`
	Breaks              int             `json:"breaks"`
	Segments            int             `json:"segments"`
	StalledSeconds      float64         `json:"stalled_s"`
	FirstPlaylist       Percentiles     `json:"first_playlist_ms"`
	Classes             []ClassResult   `json:"classes"`
	Verdict             *audit.Verdict  `json:"audit"`
	PlayerErrors        []string        `json:"players_could_not_follow"`
	Baseline            *BaselineResult `json:"baseline,omitempty"`

	// OracleShare is the share of an optimal placement with known arrivals and moves at no cost, on the true fleet.
	OracleShare float64 `json:"oracle_share"`
	// OracleSamplesFailed counts the samples that were left out because the solver failed numerically.
	OracleSamplesFailed int `json:"oracle_samples_failed"`
	// PacedShare is the share of the paced oracle, which has complete information about the present and none about the
	// future, and steps up at the rate of the design.
	PacedShare float64 `json:"paced_share"`
	// LostByCause splits the worth that was not delivered, as shares of the worth asked.
	LostByCause map[regret.Cause]float64 `json:"lost_by_cause"`
	// RegretByCause splits the distance to OracleShare in the same proportions.
	RegretByCause map[regret.Cause]float64 `json:"regret_by_cause"`
	CopiesMade    int                      `json:"copies_made"`
	TitlesDropped int                      `json:"titles_dropped"`

	*PeakResult // nil unless the script has peaks
}

// PeakResult compares runs of the same day under different plans for its peaks. Shares are of the worth asked.
type PeakResult struct {
	ShareWith         float64 `json:"share_with"` // copies, and the holds that are worth their cost
	ShareWithout      float64 `json:"share_without"`
	ShareGreedy       float64 `json:"share_greedy"`
	ShareOracle       float64 `json:"share_oracle"`        // same as oracle_share
	ShareOracleSpread float64 `json:"share_oracle_spread"` // oracle_share with the peaks' titles on every box
	SharePaced        float64 `json:"share_paced"`         // paced_share with the peaks' titles on every box
	// SharePacedWithLead is share_paced with step-downs from ten seconds before each peak (script's clock).
	SharePacedWithLead float64 `json:"share_paced_steps_ahead"`
	SharePacedAtRest   float64 `json:"share_paced_at_rest"` // same as paced_share: titles on their usual boxes
	// GapClosed is the part of the distance from share_without to share_paced that share_with covers.
	GapClosed          float64 `json:"closed"`
	PeakShareHolds     float64 `json:"peak_share_holds"`
	OthersShareHolds   float64 `json:"others_share_holds"`
	ShareHolds         float64 `json:"share_holds"` // all holds of the linear program, no copies
	ShareUpperBound    float64 `json:"share_bound"` // upper bound: the capacity of all links together
	PeakShareWith      float64 `json:"peak_share_with"`
	PeakShareWithout   float64 `json:"peak_share_without"`
	PeakShareGreedy    float64 `json:"peak_share_greedy"`
	OthersShareWith    float64 `json:"others_share_with"`
	OthersShareWithout float64 `json:"others_share_without"`
	OthersShareGreedy  float64 `json:"others_share_greedy"`
}

// BaselineResult is the summary of the run under the baseline policy.
type BaselineResult struct {
	Policy         string   `json:"policy"`
	Sessions       int      `json:"sessions"`
	WorthShare     float64  `json:"worth_share"`
	WorthDelivered float64  `json:"worth_delivered"`
	WorthAsked     float64  `json:"worth_asked"`
	BrokenRules    []string `json:"broken_rules"`
}

// Percentiles are percentiles of Count measurements, in milliseconds.
type Percentiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Count int64   `json:"n"`
}

// ClassResult holds the outcomes and worth of one class's sessions.
type ClassResult struct {
	Name           string  `json:"name"`
	Sessions       int     `json:"sessions"`
	Played         int     `json:"played"`
	Late           int     `json:"late"`
	Refused        int     `json:"refused"`
	Failed         int     `json:"failed"`
	WorthAsked     float64 `json:"worth_asked"`
	WorthDelivered float64 `json:"worth_delivered"`
}

// Result evaluates the run: it audits the recorded entries and sums the reports of all viewers.
func (r *Run) Result() *Result {
	entries := r.Entries()
	verdict := audit.Judge(r.Site, entries)
	result := &Result{Scenario: r.Script.Name, Policy: r.Policy, Seed: r.Seed,
		Outcomes:       map[string]int{"played": 0, "late": 0, "refused": 0, "failed": 0},
		DoubleOutcomes: verdict.DuplicateOutcomes, OverlappingAttempts: verdict.OverlappingAttempts,
		BrokenRules: verdict.BrokenRules(), Edges: len(r.Site.Edges), Boxes: len(r.Site.Boxes),
		Faults: r.faultCount, Verdict: verdict, PlayerErrors: []string{}}
	firstPlaylistTimes := hdrhistogram.New(1, 60_000_000, 3)
	for _, c := range r.Site.Classes {
		result.Classes = append(result.Classes, ClassResult{Name: c.Name})
	}
	losses := regret.LossByCause{}
	r.mu.Lock()
	defer r.mu.Unlock()
	result.PlayerErrors = append(result.PlayerErrors, r.plannerErrors...)
	for _, report := range r.reports {
		losses.Add(regret.SplitLoss(report.Account))
		result.Sessions++
		result.Outcomes[report.Outcome]++
		result.WorthAsked, result.WorthDelivered = result.WorthAsked+report.WorthAsked,
			result.WorthDelivered+report.WorthDelivered
		result.Requests, result.Retries, result.Breaks = result.Requests+report.Requests,
			result.Retries+max(report.Requests-1, 0), result.Breaks+report.Breaks
		result.Segments, result.StalledSeconds = result.Segments+report.Segments,
			result.StalledSeconds+report.Stalled.Seconds()
		result.PlayerErrors = append(result.PlayerErrors, report.PlayerErrors...)
		if report.FirstPlaylist > 0 {
			_ = firstPlaylistTimes.RecordValue(report.FirstPlaylist.Microseconds())
		}
		class := &result.Classes[report.Class]
		class.Sessions++
		class.WorthAsked, class.WorthDelivered = class.WorthAsked+report.WorthAsked,
			class.WorthDelivered+report.WorthDelivered
		*map[string]*int{"played": &class.Played, "late": &class.Late, "refused": &class.Refused,
			"failed": &class.Failed}[report.Outcome]++
	}
	result.FirstPlaylist = Percentiles{float64(firstPlaylistTimes.ValueAtQuantile(50)) / 1000,
		float64(firstPlaylistTimes.ValueAtQuantile(99)) / 1000, firstPlaylistTimes.TotalCount()}
	if result.WorthAsked > 0 {
		result.WorthShare = round(result.WorthDelivered / result.WorthAsked)
		result.LostByCause = map[regret.Cause]float64{}
		for _, c := range regret.Causes() {
			result.LostByCause[c] = losses[c] / result.WorthAsked
		}
	}
	for _, e := range entries {
		switch e.Event {
		case audit.CopyCompleted:
			result.CopiesMade++
		case audit.TitleDropped:
			result.TitlesDropped++
		}
	}
	result.WorthAsked, result.WorthDelivered, result.StalledSeconds = round(result.WorthAsked),
		round(result.WorthDelivered), round(result.StalledSeconds)
	return result
}

// AddOracles adds the share of the paced oracle to a result and, with withOracle, that of the optimal oracle and the
// regret by cause. The optimal oracle takes several seconds.
func (r *Run) AddOracles(result *Result, withOracle bool) {
	result.PacedShare = r.PacedShare(false)
	if !withOracle {
		return
	}
	result.OracleShare, result.OracleSamplesFailed = r.OracleShare(false)
	losses := regret.LossByCause(result.LostByCause)
	result.RegretByCause = losses.ScaleToGap(1, result.WorthShare, result.OracleShare)
}

// round rounds to three decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// WriteTable writes a short human-readable summary.
func (r *Result) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "\n%s, policy %s, seed %d: %d edges, %d stand-in boxes, %d faults\n",
		r.Scenario, r.Policy, r.Seed, r.Edges, r.Boxes, r.Faults)
	fmt.Fprintf(w, "%-12s %7s %7s %6s %8s %7s %11s %10s\n",
		"class", "asked", "played", "late", "refused", "failed", "worth asked", "delivered")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-12s %7d %7d %6d %8d %7d %11.0f %10.0f\n",
			c.Name, c.Sessions, c.Played, c.Late, c.Refused, c.Failed, c.WorthAsked, c.WorthDelivered)
	}
	fmt.Fprintf(w, "worth delivered of asked: %.3f; first playlist p50 %.1f ms, p99 %.1f ms; %d retries, %d breaks\n\n",
		r.WorthShare, r.FirstPlaylist.P50, r.FirstPlaylist.P99, r.Retries, r.Breaks)
	if r.RegretByCause != nil {
		fmt.Fprintf(w, "oracle %.3f, paced %.3f; the distance to the oracle, %.3f, by cause:\n",
			r.OracleShare, r.PacedShare, r.OracleShare-r.WorthShare)
		for _, c := range regret.Causes() {
			if math.Abs(r.RegretByCause[c]) >= 0.0005 {
				fmt.Fprintf(w, "  %-36s %6.3f\n", c, r.RegretByCause[c])
			}
		}
		fmt.Fprintln(w)
	}
	for _, rule := range audit.Rules() {
		status, breaches := "kept", 0
		for _, b := range r.Verdict.Breaches {
			if b.Rule == rule {
				status, breaches = "BROKEN", breaches+1
			}
		}
		fmt.Fprintf(w, "%-26s %-7s checked %d times", rule, status, r.Verdict.Checks[rule])
		if breaches > 0 {
			fmt.Fprintf(w, ", broken %d times", breaches)
		}
		fmt.Fprintln(w)
	}
	for i, b := range r.Verdict.Breaches {
		if i == 20 {
			fmt.Fprintf(w, "... and %d more\n", len(r.Verdict.Breaches)-i)
			break
		}
		fmt.Fprintf(w, "  %s at %s: box %s session %s: %s\n",
			b.Rule, time.Duration(b.TimeMicros)*time.Microsecond, b.Box, b.Session, b.Reason)
	}
}
