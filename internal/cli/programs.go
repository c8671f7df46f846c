// Package cli holds what the programs' command lines share.
package cli

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"rainpulley/control"
	"rainpulley/internal/baseline"
	"rainpulley/internal/config"
	"rainpulley/internal/core"
	"rainpulley/internal/edge"
	"rainpulley/internal/node"
	"rainpulley/internal/planner"
)

// Logging is how a program logs: lines of JSON on standard error.
type Logging struct {
	LogLevel string `help:"Least level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
}

// Logger makes the program's logger.
func (l Logging) Logger(program string) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.LogLevel)) // the enum holds only valid ones
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("program", program)
}

// SiteFile names the description of the installation.
type SiteFile struct {
	Site string            `help:"Jsonnet file that describes the installation." required:"" type:"existingfile"`
	Var  map[string]string `help:"External variables of the Jsonnet file."`
}

// Load reads it.
func (s SiteFile) Load() (*config.Site, error) { return config.Load(s.Site, s.Var) }

// onHangup reads the site again at each SIGHUP, until the function that it returns is called. A file that
// cannot be read, or holds what cannot be, changes nothing.
func (s SiteFile) reloadOnHangup(log *slog.Logger, apply func(*config.Site)) (stop func()) {
	hangup, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-hangup:
			}
			if site, err := s.Load(); err != nil {
				log.Error("site not reloaded, the one before stays", "error", err)
			} else {
				apply(site)
			}
		}
	}()
	return func() { signal.Stop(hangup); close(done) }
}

// untilSignal ends at SIGTERM or interrupt; a second one ends the process.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// Edge runs an edge.
type Edge struct {
	SiteFile
	Logging
	Position int           `help:"Which of the site's edges this is, from 0." required:""`
	Planner  string        `help:"Planner's host:port; by default the site's."`
	State    string        `help:"Folder for the last view; without it a restart begins empty." type:"path"`
	Grace    time.Duration `help:"At SIGTERM, requests under way may take so long." default:"10s"`
	Seed     uint64        `help:"Seed of the module; by default the time."`
	Policy   string        `help:"For comparisons: 'random' in place of the module." hidden:"" default:"module" enum:"module,random"`
}

// Run serves until a signal comes.
func (c *Edge) Run() error {
	site, err := c.Load()
	if err != nil {
		return err
	}
	if c.State != "" {
		if err := os.MkdirAll(c.State, 0o755); err != nil {
			return fmt.Errorf("state folder: %w", err)
		}
	}
	o := edge.Options{Site: site, Position: c.Position, Planner: c.Planner, StateDir: c.State, ShutdownGrace: c.Grace, Seed: c.Seed,
		Log: c.Logger("edge").With("edge", c.Position)}
	if o.Planner == "" {
		o.Planner = site.Planner.Listen
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	if c.Policy == "random" {
		o.NewDecider = func(s control.Settings, seed uint64) (core.Decider, error) { return baseline.New(s, seed), nil }
	}
	e, err := edge.New(o)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	defer c.reloadOnHangup(o.Log, e.Reload)()
	return e.Run(ctx)
}

// Node runs a front node of the platform.
type Node struct {
	Config   string `help:"File that holds the configuration." env:"NODE_CONFIG"`
	Listen   string `help:"Address for viewers; by default the configuration's." env:"NODE_LISTEN"`
	Name     string `help:"Name of this front node; by default the configuration's." env:"NODE_NAME"`
	LogLevel string `help:"Least level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error" env:"NODE_LOG_LEVEL"`
}

// Run serves until a signal comes.
func (c *Node) Run() error {
	cfg, err := node.ReadConfig(c.Config)
	if err != nil {
		return err
	}
	cfg.Listen, cfg.Name = cmp.Or(c.Listen, cfg.Listen), cmp.Or(c.Name, cfg.Name)
	node.ApplyLimits(cfg)
	n, err := node.New(cfg, c.Config, Logging{LogLevel: c.LogLevel}.Logger("node").With("node", cfg.Name))
	if err != nil {
		return err
	}
	return n.Run(context.Background())
}

// Planner runs a planner.
type Planner struct {
	SiteFile
	Logging
	State  string `help:"Folder for announcements; without it a restart forgets them." type:"path"`
	Peaks  string `help:"Folder of Jsonnet files with announced peaks, watched for change." type:"path"`
	Copies string `help:"How copies for peaks are chosen: by linear programming, greedily, or none." default:"lp" enum:"lp,greedy,none"`
	Holds  string `help:"How peaks' room is planned: by linear programming as far as holding pays (lp), all of that plan, greedily, or not at all." default:"lp" enum:"lp,all,greedy,none"`
}

// Run serves until a signal comes.
func (c *Planner) Run() error {
	site, err := c.Load()
	if err != nil {
		return err
	}
	if c.State != "" {
		if err := os.MkdirAll(c.State, 0o755); err != nil {
			return fmt.Errorf("state folder: %w", err)
		}
	}
	ctx, stop := signalContext()
	defer stop()
	p := planner.New(planner.Options{Site: site, Log: c.Logger("planner"), State: c.State, Announcements: c.Peaks, Holds: c.Holds, Copies: c.Copies})
	defer c.reloadOnHangup(p.Log, p.Reload)()
	return p.Run(ctx)
}
