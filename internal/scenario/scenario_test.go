package scenario

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"rainpulley/internal/cli"
	"rainpulley/internal/config"
	"rainpulley/internal/standin"
)

// TestMain lets this test binary serve as the programs that a run starts: with "edge" or "planner" as the first
// argument, it runs that program instead of the tests.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "edge" || os.Args[1] == "planner") {
		var c struct {
			Edge    cli.Edge    `cmd:""`
			Planner cli.Planner `cmd:""`
		}
		k, err := kong.New(&c)
		if err != nil {
			panic(err)
		}
		x, err := k.Parse(os.Args[1:])
		k.FatalIfErrorf(err)
		k.FatalIfErrorf(x.Run())
		return
	}
	os.Exit(m.Run())
}

// playDay runs a short script with real processes and checks that every rule is kept and that enough sessions played.
func playDay(t *testing.T, text string) *Result {
	t.Helper()
	script, err := Parse(t.Name(), text)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	run, err := Start(ctx, Options{Script: script, Seed: 3, Policy: "module", Command: []string{os.Args[0]},
		Dir: t.TempDir()})
	if err != nil {
		if run != nil {
			run.Stop()
		}
		t.Fatal(err)
	}
	run.Play(ctx)
	run.Stop()
	result := run.Result()
	if len(result.BrokenRules) > 0 || result.DoubleOutcomes > 0 || result.OverlappingAttempts > 0 ||
		len(result.PlayerErrors) > 0 {
		t.Errorf("audit verdict %+v, player errors %v; want no broken rule and no error", result.Verdict, result.PlayerErrors)
	}
	if result.Sessions < 20 || result.WorthDelivered <= 0 || result.Verdict.Checks["no session lost"] < result.Sessions {
		t.Errorf("%d sessions, worth delivered %.0f, checks %v; want 20 or more sessions, some worth, a check per session",
			result.Sessions, result.WorthDelivered, result.Verdict.Checks)
	}
	return result
}

// Every rule is kept on a short day with SIGKILL of edges and planner, crashes, lost answers, drains, wrong health
// checks, resets and a zone that is cut off.
func TestShortBadDayKeepsAuditRules(t *testing.T) {
	result := playDay(t, `{ length: '48s', rate: 2, speed: 6, boxes: 8, edges: 2, faults: [
		{ kind: 'crash', at: '6s', 'for': '12s', part: 0.2 }, { kind: 'answer_lost', at: '6s', 'for': '24s', part: 0.3, size: 0.6 },
		{ kind: 'kill_edge', at: '12s', 'for': '6s', part: 0.5 }, { kind: 'kill_planner', at: '18s', 'for': '12s' },
		{ kind: 'drain', at: '18s', 'for': '18s', part: 0.2 }, { kind: 'false_health', at: '24s', 'for': '12s', part: 0.2 },
		{ kind: 'reset', at: '30s', 'for': '12s', part: 0.2, size: 0.5 }, { kind: 'cut_zone', at: '30s', 'for': '12s' }] }`)
	if result.Faults != 8 || result.Verdict.Checks["drains kept"] == 0 {
		t.Errorf("%d faults, want 8; checks %v, want some of \"drains kept\"", result.Faults, result.Verdict.Checks)
	}
}

// Every embedded script is valid and has a description, every kind of fault is used by some script, and errors in
// scripts are reported with their location.
func TestScriptsAndFaultKinds(t *testing.T) {
	used := map[string]bool{}
	for _, name := range Names() {
		script, err := Load(name)
		if err != nil || script.Description == "" {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for _, f := range script.Faults {
			used[f.Kind] = true
		}
	}
	for kind := range faultKinds {
		if !used[kind] {
			t.Errorf("no embedded script uses the fault %s", kind)
		}
	}
	for _, c := range []struct{ text, want string }{
		{`{ faults: [{ kind: 'x' }] }`, "faults[0].kind"}, {`{ length: 5 }`, "unit"}, {`{ lenght: '5s' }`, "lenght"}, {`{ boxes: 1 }`, "boxes"},
		{`{ faults: [{ kind: 'drain', part: 2 }] }`, "part"}, {`{`, "x:1"},
	} {
		if _, err := Parse("x", c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %s", c.text, err, c.want)
		}
	}
}

// The site file that a run writes is a valid configuration of the programs.
func TestSiteFileIsValid(t *testing.T) {
	script, err := Load("quiet")
	if err != nil {
		t.Fatal(err)
	}
	site, err := makeSite(script, script.Speed, &standin.PortAllocator{})
	if err != nil {
		t.Fatal(err)
	}
	path, err := writeSite(t.TempDir(), site)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := config.Load(path, nil); err != nil {
		t.Fatal(err)
	}
}
