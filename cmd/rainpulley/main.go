// Command rainpulley is the operators' tool: it runs demos, audits, configuration checks and stand-in servers.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"rainpulley/internal/audit"
	"rainpulley/internal/cli"
	"rainpulley/internal/config"
	"rainpulley/internal/scenario"
	"rainpulley/internal/standin"
)

type tool struct {
	Demo    demoCmd     `cmd:"" help:"Start a fleet on free loopback ports and play a scripted day."`
	Replay  replayCmd   `cmd:"" help:"Play a script file, at the speed of its clock or faster."`
	Audit   auditCmd    `cmd:"" help:"Check a recorded run against the six rules."`
	Config  configCmd   `cmd:"" help:"Configuration."`
	Peak    peakCmd     `cmd:"" help:"Announce peaks to a planner, list and cancel them."`
	Boxes   boxesCmd    `cmd:"" help:"List a planner's boxes with their state, its source, its age and the reason."`
	Titles  titlesCmd   `cmd:"" help:"List a planner's titles with their source and the faults of its entries, or accept removals that are held."`
	Standin standinCmd  `cmd:"" help:"Run the stand-in boxes of a site."`
	Edge    cli.Edge    `cmd:"" help:"Run an edge, as rainpulley-edge does."`
	Planner cli.Planner `cmd:"" help:"Run a planner, as rainpulley-planner does."`
}

func main() {
	var t tool
	k := kong.Parse(&t, kong.Name("rainpulley"),
		kong.Description("Operators' tool of rainpulley, which places video sessions on streaming servers."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run(&t))
}

type configCmd struct {
	Check struct {
		cli.SiteFile
	} `cmd:"" help:"Read a site file and report its errors."`
}

// Run reads the site file and prints its size, or returns its errors.
func (c *configCmd) Run() error {
	s, err := c.Check.Load()
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d boxes, %d edges, %d titles, %d classes: no fault found\n", c.Check.Site,
		len(s.Boxes), len(s.Edges), len(s.Titles), len(s.Classes))
	return nil
}

type auditCmd struct {
	Site    string `arg:"" help:"Site file of the run." type:"existingfile"`
	Entries string `arg:"" help:"Recorded network events, as 'demo --keep' writes them." type:"existingfile"`
}

// Run prints the verdict as JSON and returns an error if a rule was broken.
func (c *auditCmd) Run() error {
	site, err := config.Load(c.Site, nil)
	if err != nil {
		return err
	}
	f, err := os.Open(c.Entries)
	if err != nil {
		return err
	}
	defer f.Close()
	entries, err := audit.Read(f)
	if err != nil {
		return err
	}
	v := audit.Judge(site, entries)
	if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
		return err
	}
	if len(v.Breaches) > 0 {
		return fmt.Errorf("rules broken: %v", v.BrokenRules())
	}
	return nil
}

type standinCmd struct {
	cli.SiteFile
	Seed uint64 `help:"Random seed of the boxes' links." default:"1"`
}

// Run serves until SIGTERM or an interrupt.
func (c *standinCmd) Run() error {
	site, err := c.Load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f := standin.NewFleet(site, audit.NewLog(), c.Seed)
	if err := f.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("%d stand-in boxes are serving\n", len(site.Boxes))
	<-ctx.Done()
	f.Wait()
	return nil
}

// playFlags holds the flags that demo and replay share.
type playFlags struct {
	Seed     uint64   `help:"Random seed of arrivals, faults and controllers." default:"1"`
	Boxes    int      `help:"Number of stand-in boxes; by default the script's."`
	Edges    int      `help:"Number of edges; by default the script's."`
	Rate     float64  `help:"New sessions per second; by default the script's."`
	Speed    float64  `help:"Ratio of the script's clock to real time; by default the script's."`
	Keep     string   `help:"Folder for the site file, logs and recorded network events." type:"path"`
	Ways     []string `help:"Variants of a day with peaks that are played: some of module, without, holds, greedy."`
	Oracle   bool     `help:"Compute the oracles by linear programming: takes some seconds, or minutes for a hundred boxes." default:"true" negatable:""`
	Baseline bool     `help:"Also play the day with a random holder at the lowest rung, for comparison." default:"true" negatable:""`
}

type demoCmd struct {
	playFlags
	Scenario string `help:"Scenario that is played." default:"bad-day"`
	List     bool   `help:"List the scenarios."`
	Serve    bool   `help:"Keep the fleet running and print an address to open in a player."`
}

// Run plays a scenario, or lists the scenarios.
func (c *demoCmd) Run() error {
	if c.List {
		for _, n := range scenario.Names() {
			s, err := scenario.Load(n)
			if err != nil {
				return err
			}
			fmt.Printf("%-14s %s\n", n, s.Description)
		}
		return nil
	}
	s, err := scenario.Load(c.Scenario)
	if err != nil {
		return err
	}
	return c.play(s, c.Serve)
}

type replayCmd struct {
	playFlags
	Script string `arg:"" help:"Script file, or the name of a scenario."`
}

// Run plays the script.
func (c *replayCmd) Run() error {
	s, err := scenario.Load(c.Script)
	if err != nil {
		return err
	}
	return c.play(s, false)
}

// play plays all variants of a day at the same time, prints the results as a table and as one line of JSON, and
// returns an error if a variant with the controller broke a rule.
func (c *playFlags) play(s *scenario.Script, serve bool) error {
	if c.Boxes > 0 {
		s.Boxes = c.Boxes
	}
	if c.Edges > 0 {
		s.Edges = c.Edges
	}
	if c.Rate > 0 {
		s.ArrivalRate = c.Rate
	}
	if c.Speed < 0 {
		return errors.New("--speed must not be negative")
	}
	c.Speed = cmp.Or(c.Speed, s.Speed)
	dir := c.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "rainpulley-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	ports := &standin.PortAllocator{}
	variants := selectVariants(s, c.Baseline && !serve, serve)
	if len(c.Ways) > 0 {
		variants = slices.DeleteFunc(variants, func(v variant) bool { return !slices.Contains(c.Ways, v.name) })
	}
	if len(variants) == 0 || variants[0].name != "module" {
		return errors.New("--ways must include module")
	}
	results, errs := make([]*scenario.Result, len(variants)), make([]error, len(variants))
	scenarioRuns := make([]*scenario.Run, len(variants))
	var running sync.WaitGroup
	for i, p := range variants {
		running.Add(1)
		go func() {
			defer running.Done()
			o := scenario.Options{Script: s, Seed: c.Seed, Policy: p.policy, Holds: p.holds, Copies: p.copies,
				Command: []string{executable}, Ports: ports, Dir: filepath.Join(dir, p.name), Speed: c.Speed}
			results[i], scenarioRuns[i], errs[i] = playVariant(ctx, o, serve)
		}()
	}
	done := make(chan struct{})
	go func() { running.Wait(); close(done) }()
	printProgress(done, s, c.Speed, serve)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	r := results[0]
	for i, x := range results { // printed first, because the oracles may take minutes
		fmt.Fprintf(os.Stderr, "%s: %.3f of worth asked, broken rules %v\n", variants[i].name, x.WorthShare, x.BrokenRules)
	}
	if !serve {
		scenarioRuns[0].AddOracles(r, c.Oracle)
	}
	for i, p := range variants {
		if b := results[i]; p.policy == "random" {
			r.Baseline = &scenario.BaselineResult{Policy: b.Policy, Sessions: b.Sessions,
				WorthShare: b.WorthShare, WorthDelivered: b.WorthDelivered, WorthAsked: b.WorthAsked, BrokenRules: b.BrokenRules}
		}
	}
	if len(s.Peaks) > 0 && !serve {
		r.PeakResult = comparePeakPlans(results, scenarioRuns, variants, c.Oracle)
	}
	r.WriteTable(os.Stdout)
	if r.Baseline != nil {
		fmt.Printf("for comparison, a random holder at the lowest rung: %.3f of worth asked\n", r.Baseline.WorthShare)
	}
	if p := r.PeakResult; p != nil {
		fmt.Printf("share of worth asked     all    peak   others\ncopies and paying holds  %.3f  %.3f  %.3f\ngreedy copies and holds  %.3f  %.3f  %.3f\nall holds, no copies     %.3f  %.3f  %.3f\n"+
			"no holds, no copies      %.3f  %.3f  %.3f\npaced, usual holders     %.3f\npaced, peak everywhere   %.3f  part of the gap closed %.2f\npaced, early down-steps  %.3f\n"+
			"oracle, usual holders    %.3f\noracle, peak everywhere  %.3f\nall links as one         %.3f\n",
			p.ShareWith, p.PeakShareWith, p.OthersShareWith, p.ShareGreedy, p.PeakShareGreedy, p.OthersShareGreedy,
			p.ShareHolds, p.PeakShareHolds, p.OthersShareHolds, p.ShareWithout, p.PeakShareWithout, p.OthersShareWithout,
			p.SharePacedAtRest, p.SharePaced, p.GapClosed, p.SharePacedWithLead,
			p.ShareOracle, p.ShareOracleSpread, p.ShareUpperBound)
	}
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", line)
	for i, x := range results {
		if variants[i].policy == "module" && len(x.BrokenRules) > 0 {
			return fmt.Errorf("rules broken (%s): %v", variants[i].name, x.BrokenRules)
		}
	}
	return nil
}

// variant is one policy with its ways of planning holds and copies, with which a day is played.
type variant struct{ name, policy, holds, copies string }

// selectVariants returns the variants in which a day is played. The first one is the full planning of the controller.
func selectVariants(s *scenario.Script, random, serve bool) []variant {
	out := []variant{{"module", "module", "lp", "lp"}}
	if len(s.Peaks) > 0 && !serve {
		return append(out, variant{"without", "module", "none", "none"}, variant{"holds", "module", "all", "none"},
			variant{"greedy", "module", "greedy", "greedy"})
	}
	if random {
		out = append(out, variant{"random", "random", "none", "none"})
	}
	return out
}

// comparePeakPlans compares the variants of planning a peak. GapClosed is the share of the difference between no
// planning and the paced oracle that full planning gains.
func comparePeakPlans(results []*scenario.Result, scenarioRuns []*scenario.Run, variants []variant,
	oracle bool) *scenario.PeakResult {
	p := &scenario.PeakResult{ShareUpperBound: scenarioRuns[0].UpperBound(), ShareOracle: results[0].OracleShare,
		SharePacedAtRest: results[0].PacedShare}
	if oracle {
		p.ShareOracleSpread, _ = scenarioRuns[0].OracleShare(true)
	}
	p.SharePaced = scenarioRuns[0].PacedShare(true)
	p.SharePacedWithLead = scenarioRuns[0].PacedShareWithLead(true,
		time.Duration(10*float64(time.Second)/scenarioRuns[0].Speed))
	for i, v := range variants {
		inside, outside := scenarioRuns[i].PeakAndOtherShares()
		switch v.holds {
		case "lp":
			p.ShareWith, p.PeakShareWith, p.OthersShareWith = results[i].WorthShare, inside, outside
		case "all":
			p.ShareHolds, p.PeakShareHolds, p.OthersShareHolds = results[i].WorthShare, inside, outside
		case "greedy":
			p.ShareGreedy, p.PeakShareGreedy, p.OthersShareGreedy = results[i].WorthShare, inside, outside
		case "none":
			p.ShareWithout, p.PeakShareWithout, p.OthersShareWithout = results[i].WorthShare, inside, outside
		}
	}
	if d := p.SharePaced - p.ShareWithout; d > 0 {
		p.GapClosed = (p.ShareWith - p.ShareWithout) / d
	}
	return p
}

// playVariant plays a day in one variant and writes its recorded network events to entries.jsonl.
func playVariant(ctx context.Context, o scenario.Options, serve bool) (*scenario.Result, *scenario.Run, error) {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r, err := scenario.Start(runCtx, o)
	if err != nil {
		if r != nil {
			r.Stop()
		}
		return nil, nil, err
	}
	if serve {
		fmt.Printf("open in a player: %s\n", r.PlayURL())
	}
	r.Play(ctx)
	if serve && ctx.Err() == nil {
		fmt.Println("the day is over; serving until interrupted")
		<-ctx.Done()
	}
	r.Stop()
	result := r.Result()
	f, err := os.Create(filepath.Join(o.Dir, "entries.jsonl"))
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	return result, r, audit.Write(f, r.Entries())
}

// printProgress keeps one line with the elapsed time up to date on standard error until done is closed.
func printProgress(done <-chan struct{}, s *scenario.Script, speed float64, serve bool) {
	begin := time.Now()
	t := time.NewTicker(time.Second)
	defer t.Stop()
	var w io.Writer = os.Stderr
	for {
		select {
		case <-done:
			fmt.Fprintln(w)
			return
		case <-t.C:
			elapsed := time.Duration(float64(time.Since(begin)) * speed).Round(time.Second)
			if !serve || elapsed < s.Length.Std() {
				fmt.Fprintf(w, "\r%s: %v of %v, plus the last viewers ", s.Name, min(elapsed, s.Length.Std()), s.Length.Std())
			}
		}
	}
}
