// Package node runs the program as a front node of the platform: it serves RTSP to viewers, speaks JSON lines to
// servers and follows the coordinator by long poll. Decisions about sessions are left to core.Orchestrator and the
// controller, which all kinds of fronts share.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"rainpulley/control"
	"rainpulley/internal/coordinator"
	"rainpulley/internal/timeconv"
	"rainpulley/internal/wire"
)

// Config is the configuration that a front node reads at start.
type Config struct {
	Name, Listen, Coordinator string
	Seed                      uint64
	Cores                     float64
	MemoryMB, Sockets         int
	Known                     coordinator.Updates
	Set                       control.Settings
	Platform                  wire.Platform
}

// ReadConfig reads the file that NODE_CONFIG names.
func ReadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	c, err := parseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG %s: %w", path, err)
	}
	return c, nil
}

func parseConfig(raw []byte) (*Config, error) {
	var file struct {
		Name, Listen, Seed, Coordinator string
		Limits                          struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		}
		Known    coordinator.Updates
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, withPosition(raw, err)
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Coordinator: file.Coordinator, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known}
	for _, a := range []struct{ field, addr string }{{"listen", file.Listen}, {"coordinator", file.Coordinator}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	if !(c.Cores > 0) || c.MemoryMB <= 0 || c.Sockets < minSockets {
		return nil, fmt.Errorf("limits: cores and memory_mb must be positive, sockets at least %d", minSockets)
	}
	var err error
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Set, err = wire.ParseSettings(file.Settings); err != nil {
		return nil, err
	}
	if c.Platform, err = wire.ReadPlatform(file.Settings); err != nil {
		return nil, err
	}
	if len(c.Set.Classes) == 0 || len(c.Set.Ladder) == 0 {
		return nil, errors.New("settings: profiles and familyInfo.ladderKb must have at least one entry each")
	}
	if c.Platform.ConnectTimeout <= 0 {
		c.Platform.ConnectTimeout = 250 * time.Millisecond
	}
	if len(c.Known.Updates) == 0 {
		return nil, errors.New("known: server list is missing")
	}
	return c, nil
}

// withPosition adds the line and byte offset to a JSON error.
func withPosition(raw []byte, err error) error {
	offset := int64(-1)
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	}
	if offset < 0 || offset > int64(len(raw)) {
		return err
	}
	line := 1
	for _, c := range raw[:offset] {
		if c == '\n' {
			line++
		}
	}
	return fmt.Errorf("line %d, byte %d: %w", line, offset, err)
}

// errNoUsableEntry is returned for a list without any usable entry: the previous list remains in effect.
var errNoUsableEntry = errors.New("no usable entry in the server list")

// parseServers converts an update's entries. An entry that names an unknown zone, kind or state, or lacks an id or
// address, is skipped by itself: its meaning is unknown, and it must not delay the drains that other entries announce.
func (c *Config) parseServers(entries []coordinator.Entry) (usable []control.Server, unusable []error) {
	usable = make([]control.Server, 0, len(entries))
	for i, e := range entries {
		s, err := c.parseServer(e)
		if err != nil {
			unusable = append(unusable, fmt.Errorf("servers[%d]: %w", i, err))
			continue
		}
		usable = append(usable, s)
	}
	return usable, unusable
}

// parseServer converts one entry.
func (c *Config) parseServer(e coordinator.Entry) (control.Server, error) {
	states := map[string]control.ServerState{"up": control.Ready, "draining": control.Draining, "removed": control.Gone}
	state, known := states[e.State]
	if e.ID == "" || !known {
		return control.Server{}, fmt.Errorf("empty id or unknown state: id %q, state %q", e.ID, e.State)
	}
	s := control.Server{ID: e.ID, State: state, Cell: e.Cell, Weight: e.Weight,
		Started: timeconv.UnixMilli(e.StartedMs),
		Zone:    slices.Index(c.Platform.Zones, e.Zone), Kind: slices.Index(c.Platform.Kinds, e.Kind)}
	if _, _, err := net.SplitHostPort(e.Addr); state != control.Gone && (err != nil || s.Zone < 0 || s.Kind < 0) {
		return control.Server{}, fmt.Errorf("server %s: invalid address or unknown zone or kind: address %q, zone %q, kind %q",
			e.ID, e.Addr, e.Zone, e.Kind)
	}
	return s, nil
}
