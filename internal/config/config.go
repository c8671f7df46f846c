// Package config reads the description of an installation: one Jsonnet file that the planner, all
// edges and the operators' tool share. Unknown fields and invalid values are errors that name the
// file and the field. Durations and rates are written with their units.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/google/go-jsonnet"
)

// Duration is a length of time, written with its unit, such as "250ms".
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration in the form in which it is read.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Rate is a data rate in kB per second (1 kB = 1000 bytes), written with its unit, such as "700kB/s".
type Rate float64

// MarshalJSON writes the rate in the form in which it is read.
func (r Rate) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatFloat(float64(r), 'f', -1, 64) + "kB/s")
}

// Site describes one installation.
type Site struct {
	Zones      []string `json:"zones"`
	Kinds      []Kind   `json:"kinds"`
	Cells      int      `json:"cells"` // a title is stored in a range of consecutive cells
	Racks      int      `json:"racks"` // the rack of a cell is the cell's number modulo Racks
	Ladder     []Rung   `json:"ladder"`
	Links      Links    `json:"links"`
	Classes    []Class  `json:"classes"`
	Rules      Rules    `json:"rules"`
	Attempts   Attempts `json:"attempts"`
	Notes      Notes    `json:"notes"`
	Prices     Prices   `json:"prices"`
	RetryAfter Duration `json:"retry_after"` // longest wait that a refusal advises; 0: no advice
	Peers      bool     `json:"peers"`       // edges exchange messages with each other
	Copies     Copies   `json:"copies"`
	Consul     Consul   `json:"consul"`
	Titles     []Title  `json:"titles"`
	Boxes      []Box    `json:"boxes"`
	Edges      []Edge   `json:"edges"`
	Planner    Planner  `json:"planner"`
	Playback   Playback `json:"playback"`
	Limits     Limits   `json:"limits"`
}

// Kind is a kind of server hardware.
type Kind struct {
	Name    string `json:"name"`
	Streams int    `json:"streams"` // most concurrent streams of a server
}

// Rung is one rate of the ladder. Worth is the value of each second that is played at this rate.
type Rung struct {
	Rate  Rate    `json:"rate"`
	Worth float64 `json:"worth"`
}

// Links is the capacity of the links.
type Links struct {
	PerWeight Rate    `json:"per_weight"` // capacity of a box's link for each unit of the box's weight
	Uplink    Rate    `json:"uplink"`     // mean capacity of a rack's uplink
	FullFrom  float64 `json:"full_from"`  // link utilization from which boxes reject set-ups; 0: they never do
}

// Class is one class of sessions. Effect is the effect of a repeated set-up: "repeatable" (no further effect),
// "keyed" (servers in Scope recognise the repeat during Window) or "paid" (a set-up may run once at most).
type Class struct {
	Name       string   `json:"name"`
	Effect     string   `json:"effect"`
	Scope      string   `json:"scope"`  // of a keyed class: "all", "zone" or "cell"; empty: "all"
	Window     Duration `json:"window"` // of a keyed class: how long servers remember a set-up
	Aim        Duration `json:"aim"`
	Deadline   Duration `json:"deadline"`
	Worth      float64  `json:"worth"`
	RateFactor float64  `json:"rate_factor"`
	Floor      int      `json:"floor"`
	Top        *int     `json:"top"`
	Seats      int      `json:"seats"` // most sessions of one title that an edge may run; 0: no limit
	Live       bool     `json:"live"`
}

// Rules are the parameters of the rules that an edge follows. A server that started less than Ramp ago takes a
// share of its full set-up rate that rises from StartShare. FallFactor times that rate over FallSpan overloads it.
// During BudgetSpan an edge may make BudgetFree retries and BudgetShare more for each request.
type Rules struct {
	DrainGrace  Duration `json:"drain_grace"`
	Ramp        Duration `json:"ramp"`
	StartShare  float64  `json:"start_share"`
	FallFactor  float64  `json:"fall_factor"`
	FallSpan    Duration `json:"fall_span"`
	AnswerSlack Duration `json:"answer_slack"`
	BudgetSpan  Duration `json:"budget_span"`
	BudgetFree  float64  `json:"budget_free"`
	BudgetShare float64  `json:"budget_share"`
}

// Attempts limits the set-up attempts of a request.
type Attempts struct {
	Most           int      `json:"most"`
	ConnectTimeout Duration `json:"connect_timeout"`
	Cancel         bool     `json:"cancel"`
	Probes         bool     `json:"probes"`
}

// Notes describes how boxes report playing sessions and their load.
type Notes struct {
	Delay      Duration `json:"delay"`
	LinkEvery  Duration `json:"link_every"`
	SwitchCost Duration `json:"switch_cost"`
	Reports    string   `json:"reports"` // "answers", "probes" or "none"
}

// Prices are costs of placement decisions, as shares of a session's worth.
type Prices struct {
	Move  float64 `json:"move"`
	Zone  float64 `json:"zone"`
	Probe float64 `json:"probe"`
}

// Consul configures the Consul agent from which the catalogue of boxes and titles is read. With an empty
// address no catalogue is read.
type Consul struct {
	Address     string   `json:"address"` // host:port of an agent
	Scheme      string   `json:"scheme"`  // "http" or "https"
	Datacentre  string   `json:"datacentre"`
	Namespace   string   `json:"namespace"`
	TokenFile   string   `json:"token_file"`
	Service     string   `json:"service"`     // name under which boxes register
	Titles      string   `json:"titles"`      // key prefix of the titles; empty: the site file lists them
	Filter      string   `json:"filter"`      // filter expression on service entries
	Consistency string   `json:"consistency"` // "default", "stale" or "consistent"
	Wait        Duration `json:"wait"`        // longest duration of a blocking query
	TTL         Duration `json:"ttl"`         // of the health check that this program registers
	TLS         TLS      `json:"tls"`
}

// TLS names the files of a TLS client's configuration.
type TLS struct {
	CA         string `json:"ca"`
	Cert       string `json:"cert"`
	Key        string `json:"key"`
	ServerName string `json:"server_name"`
}

// Copies configures how the planner manages which boxes hold which titles.
type Copies struct {
	Managed bool     `json:"managed"` // false: titles are on the boxes of their cells, and boxes are not queried
	Least   int      `json:"least"`   // complete copies that each title keeps at least
	AtOnce  int      `json:"at_once"` // concurrent copies of a box in each direction
	Share   float64  `json:"share"`   // share of the link capacity unused by viewers that copying may take
	Most    int      `json:"most"`    // copies of one title that may be added for a peak
	Grace   Duration `json:"grace"`   // from the notice that a box is no longer a holder to the deletion of its copy
	// RemovalGrace is the time from the removal of a title to the withdrawal of its last copies.
	RemovalGrace Duration `json:"removal_grace"`
	Patience     Duration `json:"patience"` // time without progress after which another source is tried
	Backoff      Duration `json:"backoff"`  // delay after a failure
	Ahead        Duration `json:"ahead"`    // longest time before a peak at which copies for it may begin
}

// Title is a clip or programme and its location: Span consecutive cells from Home.
type Title struct {
	Name   string   `json:"name"`
	Home   int      `json:"home"`
	Span   int      `json:"span"`
	Length Duration `json:"length"`
}

// Box is a streaming server that the planner monitors.
type Box struct {
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	Weight float64 `json:"weight"`
}

// Edge is one edge. Its position is its index in the site's list of edges.
type Edge struct {
	Zone   string `json:"zone"`
	Listen string `json:"listen"` // address for viewers
	Peer   string `json:"peer"`   // address for datagrams of other edges
	Public string `json:"public"` // address that is announced to viewers; "": the one that they requested
}

// Planner configures the planner, which monitors the fleet.
type Planner struct {
	Listen     string   `json:"listen"`
	CheckEvery Duration `json:"check_every"`
	CheckFor   Duration `json:"check_for"`  // time without an answer after which a check has failed
	GoneAfter  int      `json:"gone_after"` // failed checks in a row after which a box is gone
}

// Playback configures how manifests are written.
type Playback struct {
	Ahead   Duration `json:"ahead"`   // how long before its playing time a segment is published
	Behind  Duration `json:"behind"`  // how long after its playing time a segment is kept
	Silence Duration `json:"silence"` // time without a request after which a viewer has left
}

// Limits are the limits of an edge.
type Limits struct {
	Connections int `json:"connections"`
	Sessions    int `json:"sessions"`
	Queue       int `json:"queue"` // requests that wait for a placement decision
}

func defaultSite() Site {
	return Site{
		Cells: 1, Racks: 1, Peers: true,
		Rules: Rules{DrainGrace: Duration(time.Second), AnswerSlack: Duration(40 * time.Millisecond)},
		Attempts: Attempts{Most: 5, ConnectTimeout: Duration(250 * time.Millisecond),
			Cancel: true},
		Notes: Notes{Reports: "answers"},
		Consul: Consul{Scheme: "http", Service: "clip-box", Consistency: "default",
			Wait: Duration(30 * time.Second), TTL: Duration(15 * time.Second)},
		Copies: Copies{Least: 3, AtOnce: 1, Share: 0.5, Most: 64, Grace: Duration(10 * time.Second), RemovalGrace: Duration(10 * time.Minute),
			Patience: Duration(10 * time.Second), Backoff: Duration(2 * time.Second), Ahead: Duration(30 * time.Minute)},
		Planner: Planner{CheckEvery: Duration(250 * time.Millisecond), CheckFor: Duration(500 * time.Millisecond),
			GoneAfter: 3},
		Playback: Playback{Ahead: Duration(3 * time.Second), Behind: Duration(6 * time.Second),
			Silence: Duration(10 * time.Second)},
		Limits: Limits{Connections: 20000, Sessions: 20000, Queue: 1024},
	}
}

// Load reads a site from a Jsonnet file; vars are its external variables.
func Load(path string, vars map[string]string) (*Site, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return Parse(path, string(raw), vars)
}

// Parse reads a site from Jsonnet text; vars are its external variables.
func Parse(name, text string, vars map[string]string) (*Site, error) {
	s := defaultSite()
	if err := Evaluate(name, text, vars, &s); err != nil {
		return nil, err
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("config: %s: %w", name, err)
	}
	return &s, nil
}

// Evaluate evaluates Jsonnet text and decodes the result into a struct by its json tags. Unknown fields are errors.
func Evaluate(name, text string, vars map[string]string, target any) error {
	vm := jsonnet.MakeVM()
	for k, v := range vars {
		vm.ExtVar(k, v)
	}
	out, err := vm.EvaluateAnonymousSnippet(name, text)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	var tree any
	if err := json.Unmarshal([]byte(out), &tree); err != nil {
		return fmt.Errorf("config: %s: %w", name, err)
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: target, TagName: "json", ErrorUnused: true, DecodeHook: decodeUnits,
		MatchName: func(key, field string) bool { return key == field },
	})
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if err := decoder.Decode(tree); err != nil {
		return fmt.Errorf("config: %s: %w", name, err)
	}
	return nil
}

// decodeUnits decodes durations and rates, and rejects fractions where the field is an integer.
func decodeUnits(from, to reflect.Type, v any) (any, error) {
	switch to {
	case reflect.TypeFor[Duration]():
		text, ok := v.(string)
		if !ok {
			return nil, fmt.Errorf("a duration must be a string with a unit, such as \"250ms\", not %v", v)
		}
		d, err := time.ParseDuration(text)
		return Duration(d), err
	case reflect.TypeFor[Rate]():
		text, ok := v.(string)
		if !ok {
			return nil, fmt.Errorf("a rate must be a string with a unit, such as \"700kB/s\", not %v", v)
		}
		return parseRate(text)
	}
	if f, ok := v.(float64); ok && (to.Kind() == reflect.Int || to.Kind() == reflect.Int64 ||
		to.Kind() == reflect.Uint64) {
		if f != float64(int64(f)) {
			return nil, fmt.Errorf("%v is not a whole number", f)
		}
	}
	return v, nil
}

var ratePattern = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?) ?(B|kB|MB|kbit|Mbit)/s$`)

func parseRate(text string) (Rate, error) {
	m := ratePattern.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("rate %q must be a number with the unit B/s, kB/s, MB/s, kbit/s or Mbit/s", text)
	}
	n, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return 0, err
	}
	unit := map[string]float64{"B": 0.001, "kB": 1, "MB": 1000, "kbit": 0.125, "Mbit": 125}
	return Rate(n * unit[m[2]]), nil
}

// validator collects the errors of a site file.
type validator struct{ errs []error }

func (v *validator) require(ok bool, field, format string, a ...any) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, a...)))
	}
}

func indexOf(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

func (s *Site) kindNames() (names []string) {
	for _, k := range s.Kinds {
		names = append(names, k.Name)
	}
	return names
}

func (s *Site) validate() error {
	v := &validator{}
	v.require(len(s.Zones) > 0, "zones", "at least one is required")
	v.require(s.Cells > 0, "cells", "%d: must be above 0", s.Cells)
	v.require(s.Racks > 0, "racks", "%d: must be above 0", s.Racks)
	v.require(len(s.Kinds) > 0, "kinds", "at least one is required")
	for i, k := range s.Kinds {
		v.require(k.Name != "" && k.Streams > 0, fmt.Sprintf("kinds[%d]", i), "must have a name and streams above 0")
	}
	v.require(len(s.Ladder) > 0, "ladder", "at least one rung is required")
	for i, r := range s.Ladder {
		rising := i == 0 || r.Rate > s.Ladder[i-1].Rate
		v.require(r.Rate > 0 && rising && r.Worth >= 0, fmt.Sprintf("ladder[%d]", i),
			"rates must be above 0 and rise, and worths must not be negative")
	}
	v.require(s.Links.PerWeight > 0, "links.per_weight", "must be above 0")
	v.require(s.Links.Uplink >= 0 && s.Links.FullFrom >= 0, "links", "uplink and full_from must not be negative")
	s.validateClasses(v)
	s.validateRules(v)
	s.validateCopies(v)
	s.validateConsul(v)
	s.validatePlacement(v)
	v.require(s.Playback.Ahead > 0 && s.Playback.Behind > 0, "playback", "ahead and behind must be above 0")
	v.require(s.Playback.Silence >= s.Playback.Ahead, "playback.silence", "must be at least playback.ahead")
	v.require(s.Limits.Connections > 0 && s.Limits.Sessions > 0 && s.Limits.Queue > 0, "limits", "all must be above 0")
	return errors.Join(v.errs...)
}

func (s *Site) validateClasses(v *validator) {
	v.require(len(s.Classes) > 0, "classes", "at least one is required")
	seen := map[string]bool{}
	for i, k := range s.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		v.require(k.Name != "" && !seen[k.Name] && IsPathSegment(k.Name), field+".name",
			"%q is empty, a duplicate or not valid as a URL path segment", k.Name)
		seen[k.Name] = true
		v.require(indexOf([]string{"repeatable", "keyed", "paid"}, k.Effect) >= 0, field+".effect",
			"%q must be one of repeatable, keyed, paid", k.Effect)
		v.require(k.Scope == "" || indexOf([]string{"all", "zone", "cell"}, k.Scope) >= 0, field+".scope",
			"%q must be one of all, zone, cell", k.Scope)
		v.require(k.Aim > 0 && k.Deadline >= k.Aim, field+".deadline", "must be at least the aim, which must be above 0")
		v.require(k.Worth >= 0 && k.RateFactor >= 0 && k.Seats >= 0, field,
			"worth, rate_factor and seats must not be negative")
		top := len(s.Ladder) - 1
		if k.Top != nil {
			top = *k.Top
		}
		v.require(k.Floor >= 0 && k.Floor <= top && top < len(s.Ladder), field,
			"floor %d and top %d must be rungs of the ladder, the floor not above the top", k.Floor, top)
	}
}

func (s *Site) validateRules(v *validator) {
	r := s.Rules
	for name, d := range map[string]Duration{"drain_grace": r.DrainGrace, "ramp": r.Ramp, "fall_span": r.FallSpan,
		"answer_slack": r.AnswerSlack, "budget_span": r.BudgetSpan} {
		v.require(d >= 0, "rules."+name, "must not be negative")
	}
	v.require(r.StartShare >= 0 && r.StartShare <= 1, "rules.start_share", "%v must be from 0 to 1", r.StartShare)
	v.require(r.FallFactor >= 0 && r.BudgetFree >= 0 && r.BudgetShare >= 0, "rules",
		"fall_factor, budget_free and budget_share must not be negative")
	v.require(s.Attempts.Most >= 0 && s.Attempts.ConnectTimeout > 0, "attempts",
		"most must not be negative and connect_timeout must be above 0")
	v.require(indexOf([]string{"answers", "probes", "none"}, s.Notes.Reports) >= 0, "notes.reports",
		"%q must be one of answers, probes, none", s.Notes.Reports)
	v.require(s.Notes.Delay >= 0 && s.Notes.LinkEvery >= 0 && s.Notes.SwitchCost >= 0, "notes",
		"delay, link_every and switch_cost must not be negative")
	v.require(s.RetryAfter >= 0, "retry_after", "must not be negative")
	p := s.Planner
	v.require(p.CheckEvery > 0 && p.CheckFor > 0 && p.GoneAfter > 0, "planner",
		"check_every, check_for and gone_after must be above 0")
}

func (s *Site) validateConsul(v *validator) {
	k := s.Consul
	if k.Address == "" {
		return
	}
	v.require(isHostPort(k.Address), "consul.address", "%q must be host:port", k.Address)
	v.require(indexOf([]string{"http", "https"}, k.Scheme) >= 0, "consul.scheme",
		"%q must be one of http, https", k.Scheme)
	v.require(k.Service != "", "consul.service", "must not be empty")
	v.require(indexOf([]string{"default", "stale", "consistent"}, k.Consistency) >= 0, "consul.consistency",
		"%q must be one of default, stale, consistent", k.Consistency)
	v.require(k.Wait >= Duration(time.Second) && k.Wait <= Duration(10*time.Minute), "consul.wait",
		"must be from 1s to 10m")
	v.require(k.TTL >= Duration(time.Second), "consul.ttl", "must be at least 1s")
	v.require((k.TLS.Cert == "") == (k.TLS.Key == ""), "consul.tls", "cert and key must both be set or both be empty")
}

func (s *Site) validateCopies(v *validator) {
	k := s.Copies
	v.require(k.Least >= 1 && k.AtOnce >= 1 && k.Most >= 0, "copies",
		"least and at_once must be above 0, and most must not be negative")
	v.require(k.Share > 0 && k.Share <= 1, "copies.share", "%v must be above 0 and at most 1", k.Share)
	v.require(k.Grace >= s.Rules.DrainGrace, "copies.grace",
		"must be at least rules.drain_grace, during which set-ups for the copy may still arrive")
	v.require(k.RemovalGrace >= 0, "copies.removal_grace", "must not be negative")
	v.require(k.Patience > 0 && k.Backoff > 0 && k.Ahead >= 0, "copies",
		"patience and backoff must be above 0, and ahead must not be negative")
}

func (s *Site) validatePlacement(v *validator) {
	seen := map[string]bool{}
	for i, t := range s.Titles {
		field := fmt.Sprintf("titles[%d]", i)
		v.require(IsPathSegment(t.Name) && !seen[t.Name], field+".name",
			"%q is empty, a duplicate or not valid as a URL path segment", t.Name)
		seen[t.Name] = true
		v.require(t.Home >= 0 && t.Home < s.Cells, field+".home", "%d is not one of the %d cells", t.Home, s.Cells)
		v.require(t.Span >= 1 && t.Span <= s.Cells, field+".span", "%d must be from 1 to %d", t.Span, s.Cells)
		v.require(t.Length >= 0, field+".length", "must not be negative")
	}
	for i, b := range s.Boxes {
		field := fmt.Sprintf("boxes[%d]", i)
		v.require(isHostPort(b.Addr) && !seen[b.Addr], field+".addr", "%q is not host:port or is a duplicate", b.Addr)
		seen[b.Addr] = true
		v.require(indexOf(s.Zones, b.Zone) >= 0, field+".zone", "%q is not one of the zones", b.Zone)
		v.require(indexOf(s.kindNames(), b.Kind) >= 0, field+".kind", "%q is not one of the kinds", b.Kind)
		v.require(b.Cell >= 0 && b.Cell < s.Cells, field+".cell", "%d is not one of the %d cells", b.Cell, s.Cells)
		v.require(b.Weight > 0, field+".weight", "must be above 0")
	}
	for i, e := range s.Edges {
		field := fmt.Sprintf("edges[%d]", i)
		v.require(indexOf(s.Zones, e.Zone) >= 0, field+".zone", "%q is not one of the zones", e.Zone)
		v.require(isHostPort(e.Listen), field+".listen", "%q must be host:port", e.Listen)
		v.require(e.Peer == "" || isHostPort(e.Peer), field+".peer", "%q must be host:port", e.Peer)
	}
	v.require(s.Planner.Listen == "" || isHostPort(s.Planner.Listen), "planner.listen",
		"%q must be host:port", s.Planner.Listen)
}

func isHostPort(a string) bool {
	host, port, err := net.SplitHostPort(a)
	n, perr := strconv.Atoi(port)
	return err == nil && perr == nil && host != "" && n >= 0 && n <= 65535
}

// IsPathSegment reports whether a name may be used unescaped as a segment of a URL path: it consists of unreserved
// characters only (RFC 3986, section 2.3).
func IsPathSegment(s string) bool {
	if s == "" || len(s) > 128 || s == "." || s == ".." {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-._~", r))
	}) < 0
}
