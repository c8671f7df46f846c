// Package config reads the description of an installation: one Jsonnet file that the planner, every
// edge and the operators' tool share. Unknown fields and values that cannot be are errors that name
// the file and the field; durations and rates carry their units.
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

// Duration is written with its unit: "250ms".
type Duration time.Duration

// D is the standard library's form.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes it as it is read.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Rate is in kB a second (1 kB = 1000 bytes), written with its unit: "700kB/s".
type Rate float64

// MarshalJSON writes it as it is read.
func (r Rate) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatFloat(float64(r), 'f', -1, 64) + "kB/s")
}

// Site is one installation.
type Site struct {
	Zones      []string `json:"zones"`
	Kinds      []Kind   `json:"kinds"`
	Cells      int      `json:"cells"` // a title lies on some cells in a row
	Racks      int      `json:"racks"` // a cell's rack is its number modulo this
	Ladder     []Rung   `json:"ladder"`
	Links      Links    `json:"links"`
	Classes    []Class  `json:"classes"`
	Rules      Rules    `json:"rules"`
	Attempts   Attempts `json:"attempts"`
	Notes      Notes    `json:"notes"`
	Prices     Prices   `json:"prices"`
	RetryAfter Duration `json:"retry_after"` // longest wait advised; 0: none
	Peers      bool     `json:"peers"`       // edges send each other messages
	Copies     Copies   `json:"copies"`
	Consul     Consul   `json:"consul"`
	Titles     []Title  `json:"titles"`
	Boxes      []Box    `json:"boxes"`
	Edges      []Edge   `json:"edges"`
	Planner    Planner  `json:"planner"`
	Playback   Playback `json:"playback"`
	Limits     Limits   `json:"limits"`
}

// Kind is a kind of machine.
type Kind struct {
	Name    string `json:"name"`
	Streams int    `json:"streams"` // at most at once
}

// Rung is one rate of the ladder; Worth is earned for each second of it.
type Rung struct {
	Rate  Rate    `json:"rate"`
	Worth float64 `json:"worth"`
}

// Links tells what links give.
type Links struct {
	PerWeight Rate    `json:"per_weight"` // of a box's link, for each unit of its weight
	Uplink    Rate    `json:"uplink"`     // of a rack, on the mean
	FullFrom  float64 `json:"full_from"`  // boxes turn set-ups away from this fullness on; 0: never
}

// Class is one class of sessions. Effect is "repeatable", "keyed" or "paid".
type Class struct {
	Name       string   `json:"name"`
	Effect     string   `json:"effect"`
	Scope      string   `json:"scope"`  // of a keyed class: "all", "zone" or "cell"
	Window     Duration `json:"window"` // of a keyed class
	Aim        Duration `json:"aim"`
	Deadline   Duration `json:"deadline"`
	Worth      float64  `json:"worth"`
	RateFactor float64  `json:"rate_factor"`
	Floor      int      `json:"floor"`
	Top        *int     `json:"top"`
	Seats      int      `json:"seats"` // sessions of one title that an edge may hold; 0: no limit
	Live       bool     `json:"live"`
}

// Rules are the figures of the rules that an edge keeps.
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

// Attempts bounds set-ups.
type Attempts struct {
	Most           int      `json:"most"`
	ConnectTimeout Duration `json:"connect_timeout"`
	Cancel         bool     `json:"cancel"`
	Probes         bool     `json:"probes"`
}

// Notes tells how boxes speak of playing sessions.
type Notes struct {
	Delay      Duration `json:"delay"`
	LinkEvery  Duration `json:"link_every"`
	SwitchCost Duration `json:"switch_cost"`
	Reports    string   `json:"reports"` // "answers", "probes" or "none"
}

// Prices are shares of a session's worth.
type Prices struct {
	Move  float64 `json:"move"`
	Zone  float64 `json:"zone"`
	Probe float64 `json:"probe"`
}

// Consul says where a catalogue of boxes and titles is read. An empty address reads none.
type Consul struct {
	Address     string   `json:"address"` // host:port of an agent
	Scheme      string   `json:"scheme"`  // "http" or "https"
	Datacentre  string   `json:"datacentre"`
	Namespace   string   `json:"namespace"`
	TokenFile   string   `json:"token_file"`
	Service     string   `json:"service"`     // that boxes register as
	Titles      string   `json:"titles"`      // prefix of keys; empty: titles are the site's
	Filter      string   `json:"filter"`      // expression on service entries
	Consistency string   `json:"consistency"` // "default", "stale" or "consistent"
	Wait        Duration `json:"wait"`        // of a blocking query
	TTL         Duration `json:"ttl"`         // of this program's own check
	TLS         TLS      `json:"tls"`
}

// TLS names files of a client.
type TLS struct {
	CA         string `json:"ca"`
	Cert       string `json:"cert"`
	Key        string `json:"key"`
	ServerName string `json:"server_name"`
}

// Copies tells how the planner looks after which box holds which title.
type Copies struct {
	Managed  bool     `json:"managed"`  // else titles lie on their cells, and nobody asks boxes
	Least    int      `json:"least"`    // whole copies that a title keeps
	AtOnce   int      `json:"at_once"`  // copies that a box takes part in at once, each way
	Share    float64  `json:"share"`    // of a box's link that copying may take, of what viewers leave
	Most     int      `json:"most"`     // copies of one title that an hour may add
	Grace    Duration `json:"grace"`    // from "told no more" to a drop
	Patience Duration `json:"patience"` // without progress so long, another source is tried
	Backoff  Duration `json:"backoff"`  // after a failure
	Ahead    Duration `json:"ahead"`    // copies for an hour begin so long before it at the earliest
}

// Title is a clip or programme and where it lies: Span cells in a row from Home.
type Title struct {
	Name   string   `json:"name"`
	Home   int      `json:"home"`
	Span   int      `json:"span"`
	Length Duration `json:"length"`
}

// Box is a streaming server that the planner watches.
type Box struct {
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	Weight float64 `json:"weight"`
}

// Edge is one edge: its position among them is its place in the list.
type Edge struct {
	Zone   string `json:"zone"`
	Listen string `json:"listen"` // viewers
	Peer   string `json:"peer"`   // datagrams of other edges
	Public string `json:"public"` // what viewers are told; "" means the address they asked
}

// Planner watches the fleet.
type Planner struct {
	Listen     string   `json:"listen"`
	CheckEvery Duration `json:"check_every"`
	CheckFor   Duration `json:"check_for"` // a check unanswered for so long has failed
	GoneAfter  int      `json:"gone_after"`
}

// Playback is how manifests are written.
type Playback struct {
	Ahead   Duration `json:"ahead"`   // published before it plays
	Behind  Duration `json:"behind"`  // kept after it played
	Silence Duration `json:"silence"` // a viewer not heard of for so long has left
}

// Limits bounds what an edge takes.
type Limits struct {
	Connections int `json:"connections"`
	Sessions    int `json:"sessions"`
	Queue       int `json:"queue"` // requests waiting for the decision
}

func defaultSite() Site {
	return Site{
		Cells: 1, Racks: 1, Peers: true,
		Rules: Rules{DrainGrace: Duration(time.Second), AnswerSlack: Duration(40 * time.Millisecond)},
		Attempts: Attempts{Most: 5, ConnectTimeout: Duration(250 * time.Millisecond),
			Cancel: true},
		Notes:  Notes{Reports: "answers"},
		Consul: Consul{Scheme: "http", Service: "clip-box", Consistency: "default", Wait: Duration(30 * time.Second), TTL: Duration(15 * time.Second)},
		Copies: Copies{Least: 3, AtOnce: 1, Share: 0.5, Most: 64, Grace: Duration(10 * time.Second),
			Patience: Duration(10 * time.Second), Backoff: Duration(2 * time.Second), Ahead: Duration(30 * time.Minute)},
		Planner:  Planner{CheckEvery: Duration(250 * time.Millisecond), CheckFor: Duration(500 * time.Millisecond), GoneAfter: 3},
		Playback: Playback{Ahead: Duration(3 * time.Second), Behind: Duration(6 * time.Second), Silence: Duration(10 * time.Second)},
		Limits:   Limits{Connections: 20000, Sessions: 20000, Queue: 1024},
	}
}

// Load reads a site from a Jsonnet file.
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

// Evaluate reads Jsonnet text into a struct, by its json tags. Unknown fields are errors.
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

// units reads durations and rates, and whole numbers that are whole.
func decodeUnits(from, to reflect.Type, v any) (any, error) {
	switch to {
	case reflect.TypeFor[Duration]():
		text, ok := v.(string)
		if !ok {
			return nil, fmt.Errorf("a duration is text with its unit, such as \"250ms\", not %v", v)
		}
		d, err := time.ParseDuration(text)
		return Duration(d), err
	case reflect.TypeFor[Rate]():
		text, ok := v.(string)
		if !ok {
			return nil, fmt.Errorf("a rate is text with its unit, such as \"700kB/s\", not %v", v)
		}
		return parseRate(text)
	}
	if f, ok := v.(float64); ok && (to.Kind() == reflect.Int || to.Kind() == reflect.Int64 || to.Kind() == reflect.Uint64) {
		if f != float64(int64(f)) {
			return nil, fmt.Errorf("%v is no whole number", f)
		}
	}
	return v, nil
}

var ratePattern = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?) ?(B|kB|MB|kbit|Mbit)/s$`)

func parseRate(text string) (Rate, error) {
	m := ratePattern.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("rate %q: want a number with B/s, kB/s, MB/s, kbit/s or Mbit/s", text)
	}
	n, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return 0, err
	}
	unit := map[string]float64{"B": 0.001, "kB": 1, "MB": 1000, "kbit": 0.125, "Mbit": 125}
	return Rate(n * unit[m[2]]), nil
}

// checker collects what is wrong.
type validator struct{ errs []error }

func (c *validator) require(ok bool, field, format string, a ...any) {
	if !ok {
		c.errs = append(c.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, a...)))
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
	c := &validator{}
	c.require(len(s.Zones) > 0, "zones", "one at least")
	c.require(s.Cells > 0, "cells", "%d: must be above 0", s.Cells)
	c.require(s.Racks > 0, "racks", "%d: must be above 0", s.Racks)
	c.require(len(s.Kinds) > 0, "kinds", "one at least")
	for i, k := range s.Kinds {
		c.require(k.Name != "" && k.Streams > 0, fmt.Sprintf("kinds[%d]", i), "needs a name and streams above 0")
	}
	c.require(len(s.Ladder) > 0, "ladder", "one rung at least")
	for i, r := range s.Ladder {
		rising := i == 0 || r.Rate > s.Ladder[i-1].Rate
		c.require(r.Rate > 0 && rising && r.Worth >= 0, fmt.Sprintf("ladder[%d]", i), "rates must rise, worths not be negative")
	}
	c.require(s.Links.PerWeight > 0, "links.per_weight", "must be above 0")
	c.require(s.Links.Uplink >= 0 && s.Links.FullFrom >= 0, "links", "negative")
	s.validateClasses(c)
	s.validateRules(c)
	s.validateCopies(c)
	s.validateConsul(c)
	s.validatePlacement(c)
	c.require(s.Playback.Ahead > 0 && s.Playback.Behind > 0, "playback", "ahead and behind must be above 0")
	c.require(s.Playback.Silence >= s.Playback.Ahead, "playback.silence", "shorter than what is published ahead")
	c.require(s.Limits.Connections > 0 && s.Limits.Sessions > 0 && s.Limits.Queue > 0, "limits", "must be above 0")
	return errors.Join(c.errs...)
}

func (s *Site) validateClasses(c *validator) {
	c.require(len(s.Classes) > 0, "classes", "one at least")
	seen := map[string]bool{}
	for i, k := range s.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		c.require(k.Name != "" && !seen[k.Name] && IsPathSegment(k.Name), at+".name", "%q: empty, twice, or not fit for a URL", k.Name)
		seen[k.Name] = true
		c.require(indexOf([]string{"repeatable", "keyed", "paid"}, k.Effect) >= 0, at+".effect",
			"%q is none of repeatable, keyed, paid", k.Effect)
		c.require(k.Scope == "" || indexOf([]string{"all", "zone", "cell"}, k.Scope) >= 0, at+".scope",
			"%q is none of all, zone, cell", k.Scope)
		c.require(k.Aim > 0 && k.Deadline >= k.Aim, at+".deadline", "must be at least the aim, and the aim above 0")
		c.require(k.Worth >= 0 && k.RateFactor >= 0 && k.Seats >= 0, at, "negative worth, rate_factor or seats")
		top := len(s.Ladder) - 1
		if k.Top != nil {
			top = *k.Top
		}
		c.require(k.Floor >= 0 && k.Floor <= top && top < len(s.Ladder), at, "floor %d and top %d do not fit the ladder", k.Floor, top)
	}
}

func (s *Site) validateRules(c *validator) {
	r := s.Rules
	for name, d := range map[string]Duration{"drain_grace": r.DrainGrace, "ramp": r.Ramp, "fall_span": r.FallSpan,
		"answer_slack": r.AnswerSlack, "budget_span": r.BudgetSpan} {
		c.require(d >= 0, "rules."+name, "negative")
	}
	c.require(r.StartShare >= 0 && r.StartShare <= 1, "rules.start_share", "%v is no share", r.StartShare)
	c.require(r.FallFactor >= 0 && r.BudgetFree >= 0 && r.BudgetShare >= 0, "rules", "negative")
	c.require(s.Attempts.Most >= 0 && s.Attempts.ConnectTimeout > 0, "attempts", "most negative, or connect_timeout not above 0")
	c.require(indexOf([]string{"answers", "probes", "none"}, s.Notes.Reports) >= 0, "notes.reports",
		"%q is none of answers, probes, none", s.Notes.Reports)
	c.require(s.Notes.Delay >= 0 && s.Notes.LinkEvery >= 0 && s.Notes.SwitchCost >= 0, "notes", "negative")
	c.require(s.RetryAfter >= 0, "retry_after", "negative")
	p := s.Planner
	c.require(p.CheckEvery > 0 && p.CheckFor > 0 && p.GoneAfter > 0, "planner", "check_every, check_for and gone_after must be above 0")
}

func (s *Site) validateConsul(c *validator) {
	k := s.Consul
	if k.Address == "" {
		return
	}
	c.require(isHostPort(k.Address), "consul.address", "%q is no host:port", k.Address)
	c.require(indexOf([]string{"http", "https"}, k.Scheme) >= 0, "consul.scheme", "%q is none of http, https", k.Scheme)
	c.require(k.Service != "", "consul.service", "empty")
	c.require(indexOf([]string{"default", "stale", "consistent"}, k.Consistency) >= 0, "consul.consistency", "%q is none of default, stale, consistent", k.Consistency)
	c.require(k.Wait >= Duration(time.Second) && k.Wait <= Duration(10*time.Minute), "consul.wait", "1s to 10m")
	c.require(k.TTL >= Duration(time.Second), "consul.ttl", "1s at least")
	c.require((k.TLS.Cert == "") == (k.TLS.Key == ""), "consul.tls", "cert and key belong together")
}

func (s *Site) validateCopies(c *validator) {
	k := s.Copies
	c.require(k.Least >= 1 && k.AtOnce >= 1 && k.Most >= 0, "copies", "least and at_once must be above 0, most not negative")
	c.require(k.Share > 0 && k.Share <= 1, "copies.share", "%v: above 0, 1 at most", k.Share)
	c.require(k.Grace >= s.Rules.DrainGrace, "copies.grace", "shorter than rules.drain_grace: set-ups may still be on their way")
	c.require(k.Patience > 0 && k.Backoff > 0 && k.Ahead >= 0, "copies", "patience and backoff must be above 0, ahead not negative")
}

func (s *Site) validatePlacement(c *validator) {
	seen := map[string]bool{}
	for i, t := range s.Titles {
		at := fmt.Sprintf("titles[%d]", i)
		c.require(IsPathSegment(t.Name) && !seen[t.Name], at+".name", "%q: empty, twice, or not fit for a URL", t.Name)
		seen[t.Name] = true
		c.require(t.Home >= 0 && t.Home < s.Cells, at+".home", "%d is no cell of %d", t.Home, s.Cells)
		c.require(t.Span >= 1 && t.Span <= s.Cells, at+".span", "%d: 1 to %d", t.Span, s.Cells)
		c.require(t.Length >= 0, at+".length", "negative")
	}
	for i, b := range s.Boxes {
		at := fmt.Sprintf("boxes[%d]", i)
		c.require(isHostPort(b.Addr) && !seen[b.Addr], at+".addr", "%q is no host:port, or stands twice", b.Addr)
		seen[b.Addr] = true
		c.require(indexOf(s.Zones, b.Zone) >= 0, at+".zone", "%q is no zone", b.Zone)
		c.require(indexOf(s.kindNames(), b.Kind) >= 0, at+".kind", "%q is no kind", b.Kind)
		c.require(b.Cell >= 0 && b.Cell < s.Cells, at+".cell", "%d is no cell of %d", b.Cell, s.Cells)
		c.require(b.Weight > 0, at+".weight", "must be above 0")
	}
	for i, e := range s.Edges {
		at := fmt.Sprintf("edges[%d]", i)
		c.require(indexOf(s.Zones, e.Zone) >= 0, at+".zone", "%q is no zone", e.Zone)
		c.require(isHostPort(e.Listen), at+".listen", "%q is no host:port", e.Listen)
		c.require(e.Peer == "" || isHostPort(e.Peer), at+".peer", "%q is no host:port", e.Peer)
	}
	c.require(s.Planner.Listen == "" || isHostPort(s.Planner.Listen), "planner.listen", "%q is no host:port", s.Planner.Listen)
}

func isHostPort(a string) bool {
	host, port, err := net.SplitHostPort(a)
	n, perr := strconv.Atoi(port)
	return err == nil && perr == nil && host != "" && n >= 0 && n <= 65535
}

// Segment tells names that may stand in a URL's path as they are (RFC 3986, 2.3).
func IsPathSegment(s string) bool {
	if s == "" || len(s) > 128 || s == "." || s == ".." {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-._~", r))
	}) < 0
}
