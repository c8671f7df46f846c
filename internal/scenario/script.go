// Package scenario runs scripted load scenarios ("days") on loopback: real planner and edge processes serve
// stand-in boxes and viewers. A run is audited from the traffic recorded on the sockets.
package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
	"time"

	"rainpulley/internal/config"
)

// Script describes one day: the size of the fleet, its load, its faults and its peaks.
type Script struct {
	Name        string          `json:"name"`
	Description string          `json:"about"`
	Length      config.Duration `json:"length"`
	Boxes       int             `json:"boxes"`
	Edges       int             `json:"edges"`
	ArrivalRate float64         `json:"rate"` // mean rate of new sessions, per second
	OfferedLoad float64         `json:"load"` // demand at the middle rung's rate, as a fraction of all link capacity
	Titles      int             `json:"titles"`
	Faults      []Fault         `json:"faults"`
	Peaks       []Peak          `json:"peaks"`

	Speed            float64                  `json:"speed"`  // clock speed relative to real time, unless a flag sets it
	SessionMean      config.Duration          `json:"life"`   // mean session length
	SessionSpread    config.Duration          `json:"spread"` // largest deviation of a session's length from the mean
	SessionsByClass  map[string]SessionLength `json:"lives"`  // of classes that deviate from the default
	NoteDelay        config.Duration          `json:"late"`   // delay of the notes on playing sessions
	LinkNoteInterval config.Duration          `json:"every"`  // interval between link notes
	RampTime         config.Duration          `json:"ramp"`   // ramp-up time of a box after a cold start
	DiskFactor       float64                  `json:"disk"`   // of a box, as a multiple of its initial contents
	QuietTime        config.Duration          `json:"quiet"`  // first part of the day, with a quarter of the arrivals
	CopyLeadTime     config.Duration          `json:"ahead"`  // earliest start of copies before a peak
}

// SessionLength is the distribution of the length of a class's sessions: uniform within Spread of Mean.
type SessionLength struct {
	Mean   config.Duration `json:"mean"`
	Spread config.Duration `json:"spread"`
}

// sessionLength returns the mean length of a class's sessions and the largest deviation from it, both in seconds
// of the script's clock.
func (s *Script) sessionLength(class string) (mean, spread float64) {
	if length, ok := s.SessionsByClass[class]; ok {
		return length.Mean.Std().Seconds(), length.Spread.Std().Seconds()
	}
	return s.SessionMean.Std().Seconds(), s.SessionSpread.Std().Seconds()
}

// meanSessionLength returns the mean session length over all classes, weighted by their shares of the viewers.
func (s *Script) meanSessionLength() (sum float64) {
	for i, class := range classNames {
		mean, _ := s.sessionLength(class)
		sum += classShares[i] * mean
	}
	return sum
}

// maxSessionLength returns the upper limit of the session length over all classes.
func (s *Script) maxSessionLength() (longest float64) {
	for _, class := range classNames {
		mean, spread := s.sessionLength(class)
		longest = max(longest, mean+spread)
	}
	return longest
}

// Peak is a period in which additional viewers arrive for a few titles. It is announced to the planner when the day
// begins, with the start time Start + AnnouncementOffset: a positive offset announces a start later than the real one.
type Peak struct {
	TitleCount         int             `json:"titles"` // number of titles; titles are sorted by decreasing popularity
	FirstTitle         int             `json:"first"`  // index of the first title
	Class              string          `json:"class"`
	Start              config.Duration `json:"at"`
	Duration           config.Duration `json:"length"`
	ArrivalRate        float64         `json:"rate"`
	AnnouncementOffset config.Duration `json:"off"`
	Uncertainty        config.Duration `json:"uncertain"`
	AnnouncedRate      float64         `json:"told"` // arrival rate in the announcement; 0: ArrivalRate
	Unannounced        bool            `json:"silent"`
}

// Fault is one injected fault. Share is the share of the boxes, edges, racks or titles that it affects. The meaning of
// Magnitude depends on the kind.
type Fault struct {
	Kind      string          `json:"kind"`
	Start     config.Duration `json:"at"`
	Duration  config.Duration `json:"for"`
	Share     float64         `json:"part"`
	Magnitude float64         `json:"size"`
}

// faultKinds describes the kinds of faults by name. In the descriptions, size is Fault.Magnitude, part is Fault.Share
// and the time is Fault.Duration.
var faultKinds = map[string]string{
	"drain":         "boxes drain",
	"crash":         "boxes crash and restart cold after the time",
	"hang":          "boxes accept requests and answer none",
	"answer_lost":   "set-ups run, but the share size of their answers is lost",
	"refuse":        "boxes refuse set-ups",
	"slow":          "link capacity is divided by size",
	"weak_uplink":   "uplink capacity of racks is divided by size",
	"late_notes":    "notes are delayed by size seconds",
	"frozen_notes":  "link notes repeat their last value",
	"late_list":     "edges receive server list changes size seconds late",
	"cut_planner":   "edges lose the connection to the planner",
	"cut_zone":      "edges and boxes of one zone cannot reach those of the other zones",
	"vanish":        "boxes stop answering without a connection reset and restart cold after the time",
	"reset":         "the share size of set-ups ends in a connection reset; half of these set-ups ran",
	"false_health":  "boxes answer only their health checks",
	"burst":         "the arrival rate of viewers is multiplied by size",
	"hot_title":     "the share size of the viewers requests the same title",
	"kill_edge":     "edges are killed and restart after the time with their last stored server list",
	"drain_held":    "the box that stores the most titles of the first peak drains",
	"move_titles":   "the home cell of the share part of the titles moves by size cells",
	"remove_titles": "the share part of the titles is removed and restored after the time (less than copies.grace)",
	"half_update":   "truncated updates of titles arrive",
	"full_disk":     "the disks of boxes have no space for more titles",
	"cancel_peak":   "the first peak is cancelled",
	"kill_planner":  "the planner is killed and restarts after the time",
}

//go:embed scripts/*.jsonnet
var scripts embed.FS

// Names returns the sorted names of the embedded scripts.
func Names() (out []string) {
	names, _ := fs.Glob(scripts, "scripts/*.jsonnet")
	for _, n := range names {
		out = append(out, strings.TrimSuffix(strings.TrimPrefix(n, "scripts/"), ".jsonnet"))
	}
	slices.Sort(out)
	return out
}

// Load reads an embedded script by its name, or a script from the file called name. A file name must contain a dot or
// a slash.
func Load(name string) (*Script, error) {
	if slices.Contains(Names(), name) {
		text, err := scripts.ReadFile("scripts/" + name + ".jsonnet")
		if err != nil {
			return nil, err
		}
		return Parse(name, string(text))
	}
	if !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("scenario: unknown scenario %q; available: %s", name, strings.Join(Names(), ", "))
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(name, string(text))
}

// Parse reads a script from Jsonnet text, fills in defaults and validates it. name is used in error messages and as
// the name of a script that has none.
func Parse(name, text string) (*Script, error) {
	s := &Script{Length: config.Duration(30 * time.Second), Boxes: 12, Edges: 3, ArrivalRate: 2.5,
		OfferedLoad: 0.85, Titles: 24, Speed: 1, SessionMean: seconds(54.5), SessionSpread: seconds(15.5),
		NoteDelay: seconds(2.5), LinkNoteInterval: seconds(3.5), RampTime: seconds(8),
		DiskFactor: 2.5, CopyLeadTime: seconds(600)}
	if err := config.Evaluate(name, text, nil, s); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = name
	}
	var errs []error
	require := func(ok bool, format string, a ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("scenario: %s: "+format, append([]any{name}, a...)...))
		}
	}
	require(s.Length > 0 && s.Length.Std() <= time.Hour, "length: must be above 0 and at most 1h")
	require(s.Boxes >= 3 && s.Boxes <= 400, "boxes: must be 3 to 400")
	require(s.Edges >= 1 && s.Edges <= 32, "edges: must be 1 to 32")
	require(s.ArrivalRate > 0 && s.ArrivalRate <= 1000, "rate: must be above 0 and at most 1000")
	require(s.OfferedLoad > 0, "load: must be above 0")
	require(s.Speed > 0 && s.Speed <= 100, "speed: must be above 0 and at most 100")
	require(s.QuietTime >= 0 && s.NoteDelay >= 0 && s.LinkNoteInterval > 0 && s.RampTime >= 0 && s.CopyLeadTime >= 0,
		"quiet, late, ramp and ahead must not be negative, every must be above 0")
	require(s.DiskFactor >= 1, "disk: must be at least 1")
	for _, class := range classNames {
		mean, spread := s.sessionLength(class)
		require(mean > spread && spread >= 0 && mean <= 3600,
			"life of %s: mean %v s, spread %v s: the spread must be below the mean and not negative, the mean at most 3600 s",
			class, mean, spread)
	}
	for class := range s.SessionsByClass {
		require(slices.Contains(classNames, class), "lives: unknown class %q; classes are %v", class, classNames)
	}
	require(s.Titles >= 1 && s.Titles <= 10000, "titles: must be 1 to 10000")
	for i, fault := range s.Faults {
		_, ok := faultKinds[fault.Kind]
		require(ok, "faults[%d].kind: unknown kind %q", i, fault.Kind)
		require(fault.Start >= 0 && fault.Duration >= 0 && fault.Start <= s.Length,
			"faults[%d]: at must lie within the day, for must not be negative", i)
		require(fault.Share >= 0 && fault.Share <= 1 && fault.Magnitude >= 0,
			"faults[%d]: part must be 0 to 1, size must not be negative", i)
	}
	for i, peak := range s.Peaks {
		require(peak.TitleCount > 0 && peak.FirstTitle >= 0 && peak.FirstTitle+peak.TitleCount <= s.Titles,
			"peaks[%d].titles: must select from the %d titles of the script", i, s.Titles)
		require(peak.ArrivalRate >= 0 && peak.ArrivalRate <= 1000 && peak.AnnouncedRate >= 0,
			"peaks[%d]: rate must be 0 to 1000, told must not be negative", i)
		require(peak.Start >= 0 && peak.Duration > 0 && peak.Start+peak.Duration <= s.Length,
			"peaks[%d]: the peak must lie within the day", i)
		require(slices.Contains(classNames, peak.Class),
			"peaks[%d].class: unknown class %q; classes are %v", i, peak.Class, classNames)
	}
	return s, errors.Join(errs...)
}

var (
	classNames  = []string{"round-play", "replay", "live-round"}
	classShares = []float64{0.35, 0.45, 0.2} // shares of the viewers, by class
)
