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

// Result is what a day came to. All boxes and viewers are stand-ins.
type Result struct {
	Scenario  string         `json:"scenario"`
	Policy    string         `json:"policy"`
	Seed      uint64         `json:"seed"`
	Sessions  int            `json:"sessions"`
	Outcomes  map[string]int `json:"outcomes"`
	Doubles   int            `json:"double_outcomes"`
	Overlaps  int            `json:"overlapping_attempts"`
	Broken    []string       `json:"broken_rules"`
	Asked     float64        `json:"worth_asked"`
	Delivered float64        `json:"worth_delivered"`
	Share     float64        `json:"worth_share"`
	Edges     int            `json:"edges"`
	Boxes     int            `json:"boxes"`
	Faults    int            `json:"faults"`
	Requests  int            `json:"requests"`
	Retries   int            `json:"retries"`
	Breaks    int            `json:"breaks"`
	Segments  int            `json:"segments"`
	StalledS  float64        `json:"stalled_s"`
	First     Times          `json:"first_playlist_ms"`
	Classes   []ClassResult  `json:"classes"`
	Verdict   *audit.Verdict `json:"audit"`
	Bad       []string       `json:"players_could_not_follow"`
	Baseline  *Short         `json:"baseline,omitempty"`

	Oracle  float64                  `json:"oracle_share"`          // arrivals known, viewers moved for nothing, on the true fleet
	Missed  int                      `json:"oracle_samples_failed"` // left out: the solver's arithmetic failed
	Paced   float64                  `json:"paced_share"`           // all known of now, nothing of later, at the design's pace
	Lost    map[regret.Cause]float64 `json:"lost_by_cause"`         // parts of the worth asked; they add up to what was not delivered
	Towards map[regret.Cause]float64 `json:"regret_by_cause"`       // the same of the distance to the oracle
	Copies  int                      `json:"copies_made"`
	Drops   int                      `json:"titles_dropped"`

	*PeakResult // where the day has peaks
}

// PeakResult sets the same day beside itself: shares of worth asked.
type PeakResult struct {
	With       float64 `json:"share_with"` // copies, and holds as far as they pay
	Without    float64 `json:"share_without"`
	Greedy     float64 `json:"share_greedy"`
	Oracle     float64 `json:"share_oracle"`            // as oracle_share
	OracleAll  float64 `json:"share_oracle_spread"`     // the same with the peaks' titles on every box
	Paced      float64 `json:"share_paced"`             // as paced_share, with the peaks' titles on every box
	PacedAhead float64 `json:"share_paced_steps_ahead"` // as share_paced, with steps down from ten seconds ahead (script's clock)
	PacedRest  float64 `json:"share_paced_at_rest"`     // the same with titles where they lie at rest
	Closed     float64 `json:"closed"`                  // of the distance from share_without to share_paced, by share_with
	PeakHolds  float64 `json:"peak_share_holds"`
	OthersHold float64 `json:"others_share_holds"`
	Holds      float64 `json:"share_holds"` // all that the linear program would hold, no copies
	Bound      float64 `json:"share_bound"` // all links as one
	PeakWith   float64 `json:"peak_share_with"`
	PeakNo     float64 `json:"peak_share_without"`
	PeakGreedy float64 `json:"peak_share_greedy"`
	OthersWith float64 `json:"others_share_with"`
	OthersNo   float64 `json:"others_share_without"`
	OthersGr   float64 `json:"others_share_greedy"`
}

// Short is what is kept of the policy that a day is compared with.
type Short struct {
	Policy    string   `json:"policy"`
	Sessions  int      `json:"sessions"`
	Share     float64  `json:"worth_share"`
	Delivered float64  `json:"worth_delivered"`
	Asked     float64  `json:"worth_asked"`
	Broken    []string `json:"broken_rules"`
}

// Times are percentiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	N   int64   `json:"n"`
}

// ClassResult is a class's part.
type ClassResult struct {
	Name      string  `json:"name"`
	Sessions  int     `json:"sessions"`
	Played    int     `json:"played"`
	Late      int     `json:"late"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	Asked     float64 `json:"worth_asked"`
	Delivered float64 `json:"worth_delivered"`
}

// Result works out what the day came to.
func (r *Run) Result() *Result {
	entries := r.Entries()
	v := audit.Judge(r.Site, entries)
	out := &Result{Scenario: r.Script.Name, Policy: r.Policy, Seed: r.Seed, Outcomes: map[string]int{"played": 0, "late": 0, "refused": 0, "failed": 0},
		Doubles: v.DuplicateOutcomes, Overlaps: v.OverlappingAttempts, Broken: v.BrokenRules(), Edges: len(r.Site.Edges), Boxes: len(r.Site.Boxes),
		Faults: r.faults, Verdict: v, Bad: []string{}}
	hist := hdrhistogram.New(1, 60_000_000, 3)
	for _, c := range r.Site.Classes {
		out.Classes = append(out.Classes, ClassResult{Name: c.Name})
	}
	parts := regret.LossByCause{}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Bad = append(out.Bad, r.wrong...)
	for _, p := range r.reports {
		parts.Add(regret.SplitLoss(p.Account))
		out.Sessions++
		out.Outcomes[p.Outcome]++
		out.Asked, out.Delivered = out.Asked+p.WorthAsked, out.Delivered+p.WorthDelivered
		out.Requests, out.Retries, out.Breaks = out.Requests+p.Requests, out.Retries+max(p.Requests-1, 0), out.Breaks+p.Breaks
		out.Segments, out.StalledS = out.Segments+p.Segments, out.StalledS+p.Stalled.Seconds()
		out.Bad = append(out.Bad, p.PlayerErrors...)
		if p.FirstPlaylist > 0 {
			_ = hist.RecordValue(p.FirstPlaylist.Microseconds())
		}
		k := &out.Classes[p.Class]
		k.Sessions++
		k.Asked, k.Delivered = k.Asked+p.WorthAsked, k.Delivered+p.WorthDelivered
		*map[string]*int{"played": &k.Played, "late": &k.Late, "refused": &k.Refused, "failed": &k.Failed}[p.Outcome]++
	}
	out.First = Times{float64(hist.ValueAtQuantile(50)) / 1000, float64(hist.ValueAtQuantile(99)) / 1000, hist.TotalCount()}
	if out.Asked > 0 {
		out.Share = round(out.Delivered / out.Asked)
		out.Lost = map[regret.Cause]float64{}
		for _, c := range regret.Causes() {
			out.Lost[c] = parts[c] / out.Asked
		}
	}
	for _, e := range entries {
		switch e.Event {
		case audit.CopyCompleted:
			out.Copies++
		case audit.TitleDropped:
			out.Drops++
		}
	}
	out.Asked, out.Delivered, out.StalledS = round(out.Asked), round(out.Delivered), round(out.StalledS)
	return out
}

// Judge sets the oracles beside a result. They take some seconds.
func (r *Run) Judge(out *Result, oracle bool) {
	out.Paced = r.Paced(false)
	if !oracle {
		return
	}
	out.Oracle, out.Missed = r.Oracle(false)
	parts := regret.LossByCause(out.Lost)
	out.Towards = parts.ScaleToGap(1, out.Share, out.Oracle)
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// Table writes the short table.
func (o *Result) Table(w io.Writer) {
	fmt.Fprintf(w, "\n%s, policy %s, seed %d: %d edges, %d stand-in boxes, %d faults\n", o.Scenario, o.Policy, o.Seed, o.Edges, o.Boxes, o.Faults)
	fmt.Fprintf(w, "%-12s %7s %7s %6s %8s %7s %11s %10s\n", "class", "asked", "played", "late", "refused", "failed", "worth asked", "delivered")
	for _, c := range o.Classes {
		fmt.Fprintf(w, "%-12s %7d %7d %6d %8d %7d %11.0f %10.0f\n", c.Name, c.Sessions, c.Played, c.Late, c.Refused, c.Failed, c.Asked, c.Delivered)
	}
	fmt.Fprintf(w, "worth delivered of asked: %.3f; first playlist p50 %.1f ms, p99 %.1f ms; %d retries, %d breaks\n\n",
		o.Share, o.First.P50, o.First.P99, o.Retries, o.Breaks)
	if o.Towards != nil {
		fmt.Fprintf(w, "oracle %.3f, paced %.3f; the distance to the oracle, %.3f, by cause:\n", o.Oracle, o.Paced, o.Oracle-o.Share)
		for _, c := range regret.Causes() {
			if math.Abs(o.Towards[c]) >= 0.0005 {
				fmt.Fprintf(w, "  %-36s %6.3f\n", c, o.Towards[c])
			}
		}
		fmt.Fprintln(w)
	}
	for _, rule := range audit.Rules() {
		word, n := "kept", 0
		for _, b := range o.Verdict.Breaches {
			if b.Rule == rule {
				word, n = "BROKEN", n+1
			}
		}
		fmt.Fprintf(w, "%-26s %-7s checked %d times", rule, word, o.Verdict.Checks[rule])
		if n > 0 {
			fmt.Fprintf(w, ", broken %d times", n)
		}
		fmt.Fprintln(w)
	}
	for i, b := range o.Verdict.Breaches {
		if i == 20 {
			fmt.Fprintf(w, "... and %d more\n", len(o.Verdict.Breaches)-i)
			break
		}
		fmt.Fprintf(w, "  %s at %s: box %s session %s: %s\n", b.Rule, time.Duration(b.TimeMicros)*time.Microsecond, b.Box, b.Session, b.Reason)
	}
}
