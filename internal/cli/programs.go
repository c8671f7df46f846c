// Package cli holds the commands and flags that several programs share.
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

// Logging holds the flags of a program's log, which is JSON lines on standard error.
type Logging struct {
	LogLevel string `help:"Lowest level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
}

// Logger returns the program's logger.
func (l Logging) Logger(program string) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.LogLevel)) // kong accepts only the levels of the enum, which are all valid
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("program", program)
}

// SiteFile holds the flags that name the site file, which describes the installation.
type SiteFile struct {
	Site string            `help:"Jsonnet file that describes the installation." required:"" type:"existingfile"`
	Var  map[string]string `help:"External variables of the Jsonnet file."`
}

// Load reads the site file.
func (s SiteFile) Load() (*config.Site, error) { return config.Load(s.Site, s.Var) }

// reloadOnHangup reads the site file again at each SIGHUP and calls apply with the new site, until the returned
// function is called. If the file cannot be read or is invalid, the current site remains in effect.
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
				log.Error("cannot reload the site file; the current site remains in effect", "error", err)
			} else {
				apply(site)
			}
		}
	}()
	return func() { signal.Stop(hangup); close(done) }
}

// signalContext returns a context that is cancelled at the first SIGTERM or interrupt. From then on the signals have
// their default effect, so that a second one ends the process.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// Edge is the command that runs an edge.
type Edge struct {
	SiteFile
	Logging
	Position int           `help:"Index of this edge in the site's list of edges, from 0." required:""`
	Planner  string        `help:"Planner's host:port; by default that of the site file."`
	State    string        `help:"Folder for the last view of the fleet; without it an edge starts without a view." type:"path"`
	Grace    time.Duration `help:"At SIGTERM, time for pending requests to finish." default:"10s"`
	Seed     uint64        `help:"Random seed of the controller; by default the current time."`
	Policy   string        `help:"For comparisons: 'random' chooses servers at random in place of the controller." hidden:"" default:"module" enum:"module,random"`
}

// Run serves viewers until SIGTERM or an interrupt.
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
	o := edge.Options{Site: site, Position: c.Position, Planner: c.Planner, StateDir: c.State, ShutdownGrace: c.Grace,
		Seed: c.Seed, Log: c.Logger("edge").With("edge", c.Position)}
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

// Node is the command that runs a front node of the platform.
type Node struct {
	Config   string `help:"Configuration file." env:"NODE_CONFIG"`
	Listen   string `help:"Address for viewers; by default that of the configuration." env:"NODE_LISTEN"`
	Name     string `help:"Name of this front node; by default that of the configuration." env:"NODE_NAME"`
	LogLevel string `help:"Lowest level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error" env:"NODE_LOG_LEVEL"`
}

// Run serves viewers until the node has shut down.
func (c *Node) Run() error {
	cfg, err := node.ReadConfig(c.Config)
	if err != nil {
		return err
	}
	cfg.Listen, cfg.Name = cmp.Or(c.Listen, cfg.Listen), cmp.Or(c.Name, cfg.Name)
	node.ApplyLimits(cfg)
	node.KeepSignalsHandled()
	n, err := node.New(cfg, c.Config, Logging{LogLevel: c.LogLevel}.Logger("node").With("node", cfg.Name))
	if err != nil {
		return err
	}
	return n.Run(context.Background())
}

// Planner is the command that runs a planner.
type Planner struct {
	SiteFile
	Logging
	State  string `help:"Folder for announcements of peaks; without it they are lost at a restart." type:"path"`
	Peaks  string `help:"Folder of Jsonnet files with announcements of peaks, checked for changes." type:"path"`
	Copies string `help:"How copies for peaks are chosen: by linear programming (lp), greedily, or none." default:"lp" enum:"lp,greedy,none"`
	Holds  string `help:"How capacity is held for peaks: the part of a linear programming plan that is worth its cost (lp), all of that plan, greedily, or not at all." default:"lp" enum:"lp,all,greedy,none"`
}

// Run runs the planner until SIGTERM or an interrupt.
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
	p := planner.New(planner.Options{Site: site, Log: c.Logger("planner"),
		State: c.State, Announcements: c.Peaks, Holds: c.Holds, Copies: c.Copies})
	defer c.reloadOnHangup(p.Log, p.Reload)()
	return p.Run(ctx)
}
