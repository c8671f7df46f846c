// Package scenario plays scripted days through real planner and edge processes against stand-in boxes
// and viewers on loopback, and judges them by what passed on the sockets.
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

// Script is a day: its size and its trouble.
type Script struct {
	Name        string          `json:"name"`
	Description string          `json:"about"`
	Length      config.Duration `json:"length"`
	Boxes       int             `json:"boxes"`
	Edges       int             `json:"edges"`
	ArrivalRate float64         `json:"rate"` // new sessions a second
	OfferedLoad float64         `json:"load"` // what viewers ask at the middle rate over what links give
	Titles      int             `json:"titles"`
	Faults      []Fault         `json:"faults"`
	Peaks       []Peak          `json:"peaks"`

	Speed            float64                  `json:"speed"`  // the script's clock over the real one, unless the command says another
	SessionMean      config.Duration          `json:"life"`   // of a session, on the mean
	SessionSpread    config.Duration          `json:"spread"` // a session lasts so much longer or shorter at the most
	SessionsByClass  map[string]SessionLength `json:"lives"`  // of classes that differ
	NoteDelay        config.Duration          `json:"late"`   // notes on playing sessions
	LinkNoteInterval config.Duration          `json:"every"`  // link notes
	RampTime         config.Duration          `json:"ramp"`   // of a box that starts
	DiskFactor       float64                  `json:"disk"`   // of each box, as a multiple of what it holds at first
	QuietTime        config.Duration          `json:"quiet"`  // the day begins with so long of a quarter of the viewers
	CopyLeadTime     config.Duration          `json:"ahead"`  // copies for an hour begin so long before it at the earliest
}

// Life is how long a class's sessions last.
type SessionLength struct {
	Mean   config.Duration `json:"mean"`
	Spread config.Duration `json:"spread"`
}

// life of a class's sessions, in seconds of the script's clock: the mean, and how far they lie apart.
func (s *Script) sessionLength(class string) (mean, spread float64) {
	if length, ok := s.SessionsByClass[class]; ok {
		return length.Mean.Std().Seconds(), length.Spread.Std().Seconds()
	}
	return s.SessionMean.Std().Seconds(), s.SessionSpread.Std().Seconds()
}

// meanLife is that of all classes, by their share of the viewers.
func (s *Script) meanSessionLength() (sum float64) {
	for i, class := range classNames {
		mean, _ := s.sessionLength(class)
		sum += classShares[i] * mean
	}
	return sum
}

// longest is the longest session there may be.
func (s *Script) maxSessionLength() (longest float64) {
	for _, class := range classNames {
		mean, spread := s.sessionLength(class)
		longest = max(longest, mean+spread)
	}
	return longest
}

// Peak is an hour at which viewers come together. It is announced to the planner when the day begins,
// for At + Off: a positive Off announces it late.
type Peak struct {
	TitleCount         int             `json:"titles"` // so many of the most wanted
	FirstTitle         int             `json:"first"`  // the first of them
	Class              string          `json:"class"`
	Start              config.Duration `json:"at"`
	Duration           config.Duration `json:"length"`
	ArrivalRate        float64         `json:"rate"`
	AnnouncementOffset config.Duration `json:"off"`
	Uncertainty        config.Duration `json:"uncertain"`
	AnnouncedRate      float64         `json:"told"` // rate that is announced; 0: the true one
	Unannounced        bool            `json:"silent"`
}

// Fault is one trouble. Part is a share of the boxes, edges or racks that it meets, Size its strength.
type Fault struct {
	Kind      string          `json:"kind"`
	Start     config.Duration `json:"at"`
	Duration  config.Duration `json:"for"`
	Share     float64         `json:"part"`
	Magnitude float64         `json:"size"`
}

// kinds of faults, with what Size means.
var faultKinds = map[string]string{
	"drain":         "boxes drain",
	"crash":         "boxes crash and come back cold after the time",
	"hang":          "boxes take work and answer nothing",
	"answer_lost":   "set-ups run, the share size of their answers is lost",
	"refuse":        "boxes turn set-ups away",
	"slow":          "links give size times less",
	"weak_uplink":   "racks' uplinks give size times less",
	"late_notes":    "notes come size seconds later",
	"frozen_notes":  "link notes repeat their last value",
	"late_list":     "edges hear of list changes size seconds later",
	"cut_planner":   "edges lose the planner",
	"cut_zone":      "edges and boxes of one zone lose those of the others",
	"vanish":        "boxes go silent, without a reset, and come back cold",
	"reset":         "the share size of set-ups ends in a reset, half of them having run",
	"false_health":  "boxes answer nothing but their health checks",
	"burst":         "size times as many viewers come",
	"hot_title":     "the share size of the viewers wants one title",
	"kill_edge":     "edges are killed and come back after the time with their last list",
	"drain_held":    "the box that holds most of the first peak's titles drains",
	"move_titles":   "the share part of the titles lies elsewhere at rest: size cells further on",
	"remove_titles": "the share part of the titles is removed, and put back after the time, which must lie under the grace",
	"half_update":   "updates of titles arrive half written",
	"full_disk":     "boxes have no room for titles",
	"cancel_peak":   "the first peak is cancelled",
	"kill_planner":  "the planner is killed and comes back after the time",
}

//go:embed scripts/*.jsonnet
var scripts embed.FS

// Names lists the scripts that come with the program.
func Names() (out []string) {
	names, _ := fs.Glob(scripts, "scripts/*.jsonnet")
	for _, n := range names {
		out = append(out, strings.TrimSuffix(strings.TrimPrefix(n, "scripts/"), ".jsonnet"))
	}
	slices.Sort(out)
	return out
}

// Load reads a script by its name among those that come with the program, or from a file.
func Load(name string) (*Script, error) {
	if slices.Contains(Names(), name) {
		text, err := scripts.ReadFile("scripts/" + name + ".jsonnet")
		if err != nil {
			return nil, err
		}
		return Parse(name, string(text))
	}
	if !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("scenario: no scenario %q; there are %s", name, strings.Join(Names(), ", "))
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(name, string(text))
}

// Parse reads a script from Jsonnet text.
func Parse(name, text string) (*Script, error) {
	s := &Script{Length: config.Duration(30 * time.Second), Boxes: 12, Edges: 3, ArrivalRate: 2.5, OfferedLoad: 0.85, Titles: 24, Speed: 1,
		SessionMean: seconds(54.5), SessionSpread: seconds(15.5), NoteDelay: seconds(2.5), LinkNoteInterval: seconds(3.5), RampTime: seconds(8), DiskFactor: 2.5, CopyLeadTime: seconds(600)}
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
	require(s.Length > 0 && s.Length.Std() <= time.Hour, "length: above 0, an hour at most")
	require(s.Boxes >= 3 && s.Boxes <= 400, "boxes: 3 to 400")
	require(s.Edges >= 1 && s.Edges <= 32, "edges: 1 to 32")
	require(s.ArrivalRate > 0 && s.ArrivalRate <= 1000, "rate: above 0, 1000 at most")
	require(s.OfferedLoad > 0, "load: above 0")
	require(s.Speed > 0 && s.Speed <= 100, "speed: above 0, 100 at most")
	require(s.QuietTime >= 0 && s.NoteDelay >= 0 && s.LinkNoteInterval > 0 && s.RampTime >= 0 && s.CopyLeadTime >= 0, "quiet, late, every, ramp and ahead: not negative, every above 0")
	require(s.DiskFactor >= 1, "disk: 1 at least")
	for _, class := range classNames {
		mean, spread := s.sessionLength(class)
		require(mean > spread && spread >= 0 && mean <= 3600, "life of %s: %v s, %v s apart: above 0 whatever the spread", class, mean, spread)
	}
	for class := range s.SessionsByClass {
		require(slices.Contains(classNames, class), "lives: %q is none of %v", class, classNames)
	}
	require(s.Titles >= 1 && s.Titles <= 10000, "titles: 1 to 10000")
	for i, fault := range s.Faults {
		_, ok := faultKinds[fault.Kind]
		require(ok, "faults[%d].kind: %q is not known", i, fault.Kind)
		require(fault.Start >= 0 && fault.Duration >= 0 && fault.Start <= s.Length, "faults[%d]: at and for must lie in the day", i)
		require(fault.Share >= 0 && fault.Share <= 1 && fault.Magnitude >= 0, "faults[%d]: part is a share, size not negative", i)
	}
	for i, peak := range s.Peaks {
		require(peak.TitleCount > 0 && peak.FirstTitle >= 0 && peak.FirstTitle+peak.TitleCount <= s.Titles, "peaks[%d].titles: some of %d", i, s.Titles)
		require(peak.ArrivalRate >= 0 && peak.ArrivalRate <= 1000 && peak.AnnouncedRate >= 0, "peaks[%d].rate: 0 to 1000", i)
		require(peak.Start >= 0 && peak.Duration > 0 && peak.Start+peak.Duration <= s.Length, "peaks[%d]: must lie in the day", i)
		require(slices.Contains(classNames, peak.Class), "peaks[%d].class: %q is none of %v", i, peak.Class, classNames)
	}
	return s, errors.Join(errs...)
}

var (
	classNames  = []string{"round-play", "replay", "live-round"}
	classShares = []float64{0.35, 0.45, 0.2} // of the viewers
)
