package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/standin"
)

func seconds(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }

// makeSite returns the configuration of a fleet on free loopback ports, with links sized for the script's load.
// Session lengths, note delays and intervals, and the title lengths that determine the size of copies are divided by
// speed. Deadlines, grace periods, ramp times and rule intervals stay in real time: they apply to processes and
// sockets, which do not run faster than usual.
func makeSite(s *Script, speed float64, ports *standin.PortAllocator) (*config.Site, error) {
	scaled := func(d config.Duration) config.Duration { return config.Duration(float64(d) / speed) }
	site := &config.Site{
		Zones: []string{"east", "west", "north"}, Cells: max(s.Boxes, 3), Racks: max(s.Boxes/4, 1), Peers: true,
		Kinds: []config.Kind{{Name: "two-core", Streams: 0}, {Name: "three-core", Streams: 0}},
		Ladder: []config.Rung{{Rate: 260, Worth: 0.17}, {Rate: 460, Worth: 0.41}, {Rate: 810, Worth: 0.61},
			{Rate: 1440, Worth: 0.81}, {Rate: 2540, Worth: 1}},
		Rules: config.Rules{DrainGrace: seconds(1), Ramp: s.RampTime, StartShare: 0.4, FallFactor: 2.5,
			FallSpan: seconds(1.5), AnswerSlack: seconds(0.04), BudgetSpan: seconds(10), BudgetFree: 4, BudgetShare: 0.2},
		Attempts: config.Attempts{Most: 5, ConnectTimeout: seconds(0.25), Cancel: true},
		Notes: config.Notes{Delay: scaled(s.NoteDelay), LinkEvery: scaled(s.LinkNoteInterval),
			SwitchCost: scaled(seconds(0.5)), Reports: "answers"},
		Prices: config.Prices{Move: 0.05, Zone: 0.04, Probe: 0.01}, RetryAfter: seconds(0.5),
		Planner:  config.Planner{CheckEvery: seconds(0.25), CheckFor: seconds(0.5), GoneAfter: 3},
		Playback: config.Playback{Ahead: seconds(3), Behind: seconds(6), Silence: seconds(6)},
		Limits:   config.Limits{Connections: 20000, Sessions: 20000, Queue: 1024},
		Copies: config.Copies{Managed: true, Least: 2, AtOnce: 1, Share: 0.8, Most: 64, Grace: seconds(6),
			Patience: seconds(10), Backoff: seconds(1), Ahead: scaled(s.CopyLeadTime)},
	}
	maxRung := 3
	site.Classes = []config.Class{
		{Name: "round-play", Effect: "repeatable", Aim: seconds(1), Deadline: seconds(4), Worth: 2, RateFactor: 1.2,
			Seats: seatQuota(s)},
		{Name: "replay", Effect: "repeatable", Aim: seconds(1.5), Deadline: seconds(4), Worth: 1, RateFactor: 0.7,
			Top: &maxRung},
		{Name: "live-round", Effect: "paid", Aim: seconds(1), Deadline: seconds(5), Worth: 2, RateFactor: 1, Floor: 1},
	}
	playing := s.ArrivalRate * s.meanSessionLength()
	linkPerBox := playing * 810 * 0.95 / s.OfferedLoad / float64(s.Boxes)
	site.Links = config.Links{PerWeight: config.Rate(linkPerBox / 2.36),
		Uplink: config.Rate(linkPerBox * float64(s.Boxes) / float64(site.Racks) * 0.9)}
	for i := range site.Kinds {
		site.Kinds[i].Streams = max(int(2.4*float64(2+i)/2.36*playing/s.OfferedLoad/float64(s.Boxes)), 4)
	}
	for i := range s.Titles {
		span := min(3+2*(s.Titles-i)/s.Titles, site.Cells) // popular titles are stored on more boxes
		site.Titles = append(site.Titles, config.Title{Name: fmt.Sprintf("clip-%02d", i), Home: i * 5 % site.Cells,
			Span: span, Length: seconds(s.maxSessionLength()/speed + 1)})
	}
	for i := range s.Boxes {
		addr, err := ports.Allocate()
		if err != nil {
			return nil, err
		}
		kind, weight := "two-core", 2.0
		if i%25 >= 16 {
			kind, weight = "three-core", 3
		}
		site.Boxes = append(site.Boxes, config.Box{Addr: addr, Zone: site.Zones[i%3], Kind: kind,
			Cell: i % site.Cells, Weight: weight})
	}
	for i := range s.Edges {
		listen, err := ports.Allocate()
		if err != nil {
			return nil, err
		}
		peer, err := ports.Allocate()
		if err != nil {
			return nil, err
		}
		site.Edges = append(site.Edges, config.Edge{Zone: site.Zones[i%3], Listen: listen, Peer: peer})
	}
	var err error
	site.Planner.Listen, err = ports.Allocate()
	return site, err
}

// seatQuota returns a seat quota per edge and title: about twice the usual number of sessions of an edge for the most
// popular title, and at least 3. It is raised where an announced peak needs more.
func seatQuota(s *Script) int {
	quota := 3
	for _, peak := range s.Peaks { // 1.5 times the expected sessions of the peak per title and edge
		quota = max(quota, int(1.5*peak.ArrivalRate/float64(peak.TitleCount)*s.meanSessionLength()/float64(s.Edges)))
	}
	return max(int(2*0.35*s.ArrivalRate*s.meanSessionLength()/float64(s.Edges)*0.22), quota)
}

// writeSite writes the site file for the programs into dir and returns its path. JSON is valid Jsonnet.
func writeSite(dir string, s *config.Site) (string, error) {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "site.jsonnet")
	return path, os.WriteFile(path, b, 0o644)
}
