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

// TestMain is also the programs that a run starts: this test binary, with "edge" or "planner" first.
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

// day plays a short script through real processes, and wants every rule kept.
func playDay(t *testing.T, text string) *Result {
	t.Helper()
	script, err := Parse(t.Name(), text)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	run, err := Start(ctx, Options{Script: script, Seed: 3, Policy: "module", Command: []string{os.Args[0]}, Dir: t.TempDir()})
	if err != nil {
		if run != nil {
			run.Stop()
		}
		t.Fatal(err)
	}
	run.Play(ctx)
	run.Stop()
	result := run.Result()
	if len(result.BrokenRules) > 0 || result.DoubleOutcomes > 0 || result.OverlappingAttempts > 0 || len(result.PlayerErrors) > 0 {
		t.Errorf("%+v, players %v", result.Verdict, result.PlayerErrors)
	}
	if result.Sessions < 20 || result.WorthDelivered <= 0 || result.Verdict.Checks["no session lost"] < result.Sessions {
		t.Errorf("%d sessions, %.0f worth, checks %v", result.Sessions, result.WorthDelivered, result.Verdict.Checks)
	}
	return result
}

// A short bad day with kill -9 of edges and planner keeps every rule.
func TestShortBadDayKeepsAuditRules(t *testing.T) {
	result := playDay(t, `{ length: '48s', rate: 2, speed: 6, boxes: 8, edges: 2, faults: [
		{ kind: 'crash', at: '6s', 'for': '12s', part: 0.2 }, { kind: 'answer_lost', at: '6s', 'for': '24s', part: 0.3, size: 0.6 },
		{ kind: 'kill_edge', at: '12s', 'for': '6s', part: 0.5 }, { kind: 'kill_planner', at: '18s', 'for': '12s' },
		{ kind: 'drain', at: '18s', 'for': '18s', part: 0.2 }, { kind: 'false_health', at: '24s', 'for': '12s', part: 0.2 },
		{ kind: 'reset', at: '30s', 'for': '12s', part: 0.2, size: 0.5 }, { kind: 'cut_zone', at: '30s', 'for': '12s' }] }`)
	if result.Faults != 8 || result.Verdict.Checks["drains kept"] == 0 {
		t.Errorf("%d faults, checks %v", result.Faults, result.Verdict.Checks)
	}
}

// Every script that comes with the program can be read, and every kind of fault has a way to be caused.
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
			t.Errorf("no script has %s", kind)
		}
	}
	for _, c := range []struct{ text, want string }{
		{`{ faults: [{ kind: 'x' }] }`, "faults[0].kind"}, {`{ length: 5 }`, "unit"}, {`{ lenght: '5s' }`, "lenght"}, {`{ boxes: 1 }`, "boxes"},
		{`{ faults: [{ kind: 'drain', part: 2 }] }`, "part"}, {`{`, "x:1"},
	} {
		if _, err := Parse("x", c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.text, err, c.want)
		}
	}
}

// The site that a run makes is one that the programs take, and reads back the same.
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
