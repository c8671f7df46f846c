package peaks

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const now = int64(1_800_000_000_000)

var knownNames = KnownNames{Classes: []string{"play"}, Zones: []string{"z"},
	Titles: map[string]bool{"a": true, "b": true}}

func testAnnouncement() Announcement {
	return Announcement{ID: "p", Version: 1, Titles: []string{"a"}, Class: "play", Start: now + 60_000,
		Uncertainty: 5000, Rate: 10, Duration: 30_000}
}

// Invalid announcements are rejected with the name of the invalid field. A newer version replaces an older one, a
// repeated or older one changes nothing, and the same version with different content is an error.
func TestAnnouncementStore(t *testing.T) {
	for _, c := range []struct {
		field  string
		change func(*Announcement)
	}{
		{"id", func(a *Announcement) { a.ID = "" }}, {"id", func(a *Announcement) { a.ID = "a/b" }},
		{"version", func(a *Announcement) { a.Version = 0 }},
		{"titles", func(a *Announcement) { a.Titles = nil }},
		{"titles[0]", func(a *Announcement) { a.Titles = []string{"x"} }},
		{"titles[1]", func(a *Announcement) { a.Titles = []string{"a", "a"} }},
		{"class", func(a *Announcement) { a.Class = "x" }},
		{"zone", func(a *Announcement) { a.Zone = "x" }}, {"rate", func(a *Announcement) { a.Rate = math.Inf(1) }},
		{"rate", func(a *Announcement) { a.Rate = math.NaN() }},
		{"rate", func(a *Announcement) { a.Rate = -1 }}, {"length_ms", func(a *Announcement) { a.Duration = 0 }},
		{"length_ms", func(a *Announcement) { a.Duration = math.MaxInt64 }},
		{"session_ms", func(a *Announcement) { a.SessionDuration = -1 }},
		{"uncertain_ms", func(a *Announcement) { a.Uncertainty = 1 << 40 }},
		{"worth", func(a *Announcement) { a.Worth = math.NaN() }}, {"start_ms", func(a *Announcement) { a.Start = 5 }},
		{"start_ms", func(a *Announcement) { a.Start = math.MaxInt64 }},
		{"start_ms", func(a *Announcement) { a.Start = now - 40_000 }},
	} {
		b, a := NewAnnouncementStore(), testAnnouncement()
		c.change(&a)
		if _, err := b.Announce(a, knownNames, now); err == nil ||
			!strings.Contains(err.Error(), "peak: "+c.field+":") || len(b.List()) != 0 {
			t.Errorf("%s: %v, %v", c.field, err, b.List())
		}
	}
	b := NewAnnouncementStore()
	announce := func(want bool, wantError string, change func(*Announcement)) {
		t.Helper()
		a := testAnnouncement()
		change(&a)
		changed, err := b.Announce(a, knownNames, now)
		if changed != want || (err != nil) != (wantError != "") {
			t.Errorf("%+v: %v %v", a, changed, err)
		}
	}
	announce(true, "", func(*Announcement) {})
	announce(false, "", func(*Announcement) {})
	announce(false, "same version, different content", func(a *Announcement) { a.Rate = 11 })
	announce(true, "", func(a *Announcement) { a.Version, a.Rate = 3, 12 })
	announce(false, "", func(a *Announcement) { a.Version = 2 })
	announce(true, "", func(a *Announcement) { a.Version, a.Cancelled = 4, true })
	announce(false, "", func(a *Announcement) { a.Version = 3 })
	if a, _ := b.Get("p"); !a.Cancelled {
		t.Error("an older version restored a cancelled peak")
	}
}

// Guards against a cancellation that is forgotten at once because it names no start, so that a late older version of the
// announcement restores the peak.
func TestCancellationIsKept(t *testing.T) {
	store, a := NewAnnouncementStore(), testAnnouncement()
	announce := func(a Announcement, at int64, want bool) {
		t.Helper()
		if changed, err := store.Announce(a, knownNames, at); changed != want || err != nil {
			t.Errorf("version %d: %v %v, want %v", a.Version, changed, err, want)
		}
	}
	announce(a, now, true)
	announce(Announcement{ID: "p", Version: 3, Cancelled: true}, now, true)
	store.RemoveExpired(now + 1000)
	announce(a, now+1000, false)
	if stored, _ := store.Get("p"); !stored.Cancelled || stored.Version != 3 {
		t.Errorf("the cancellation is lost: %+v", stored)
	}
	if removed := store.RemoveExpired(now + 1000); len(removed) != 0 {
		t.Errorf("forgotten: %+v", removed)
	}
	if removed := store.RemoveExpired(a.Start + a.Uncertainty + a.Duration + 24*3600*1000 + 1); len(removed) != 1 {
		t.Errorf("forgotten a day after the peak: %+v, want it", removed)
	}
}

// Forecasts of a peak that arrives as announced, early, late, larger, smaller, or never.
func TestFollower(t *testing.T) {
	for _, c := range []struct {
		name    string
		from    int64 // start of the arrivals, in ms after the announced start
		rate    float64
		at      int64 // time of the forecast, in ms after the announced start
		lo, hi  float64
		seconds float64
	}{
		{"long before the start", 0, 10, -30_000, 0, 0, 0}, {"shortly before the start", 0, 10, -10_000, 10, 10, 30},
		{"as announced", 0, 10, 10_000, 9, 11, 20}, {"early", -30_000, 10, -20_000, 9, 11, 20},
		{"late", 12_000, 10, 22_000, 9, 11, 20},
		{"larger", 0, 30, 10_000, 19, 20, 20}, {"smaller", 0, 3, 12_000, 2.5, 4, 18},
		{"after the end", 0, 10, 31_000, 0, 0, 0},
		{"late, within the grace period", 99_000, 10, 20_000, 10, 10, 30},
		{"late, expected rate decays", 99_000, 10, 45_000, 1, 6, 30}, {"never arrives", 999_000, 10, 80_000, 0, 0, 0},
	} {
		a := testAnnouncement()
		f := &Follower{}
		for ms := int64(-60_000); ms <= c.at; ms += 1000 {
			n := 0.2 // the titles are requested outside the peak too
			if ms%3000 == 0 {
				n = 1.2
			}
			if ms >= c.from && ms < c.from+a.Duration {
				n += c.rate
			}
			f.RecordArrivals(a.Start+ms, n, &a)
		}
		e := f.Forecast(a.Start+c.at, &a, 30*time.Second)
		if e.Rate < c.lo || e.Rate > c.hi || math.Abs(e.Remaining.Seconds()-c.seconds) > 1.5 {
			t.Errorf("%s: %.1f sessions per second for %v, want %v to %v for %v s", c.name, e.Rate, e.Remaining, c.lo,
				c.hi, c.seconds)
		}
	}
	a := testAnnouncement()
	a.Cancelled = true
	if e := (&Follower{}).Forecast(a.Start, &a, time.Minute); e.Rate != 0 {
		t.Error("forecast for a cancelled peak is not 0")
	}
}

// newTestFleet returns n boxes in racks of four. Each box holds the titles of its cell.
func newTestFleet(n int) *Fleet {
	f := &Fleet{Cells: n, Edges: 3, Ladder: []float64{260, 460, 810, 1440, 2540},
		RungWorths: []float64{0.17, 0.41, 0.61, 0.81, 1},
		Classes: []Class{{RateFactor: 1, TopRung: 4, Worth: 1}, {RateFactor: 1.2, TopRung: 4, Worth: 2, Seats: 10},
			{RateFactor: 1, FloorRung: 1, TopRung: 3, Worth: 2}}}
	for i := range n {
		f.Boxes = append(f.Boxes, Box{ID: fmt.Sprintf("b%03d", i), Rack: i / 4, Cell: i,
			LinkCapacity: 9000 + float64(i%3)*3000, MaxStreams: 27, RampShare: 1,
			LinkLoad: 3000 + float64(i%5)*1000, ActiveSessions: 5})
	}
	for range (n + 3) / 4 {
		f.Uplinks = append(f.Uplinks, 36000)
	}
	return f
}

// checkLimits returns an error if a plan exceeds a limit. mayStepDown allows holds to use capacity that sessions give
// up by stepping down.
func checkLimits(f *Fleet, demands []Demand, p *Plan, mayStepDown bool) error {
	link, streams, rack, count := map[string]float64{}, map[string]float64{}, map[int]float64{}, map[string]float64{}
	box := map[string]*Box{}
	for i := range f.Boxes {
		box[f.Boxes[i].ID] = &f.Boxes[i]
	}
	for _, h := range p.Holds {
		b := box[h.Box]
		link[h.Box] += h.Rate
		streams[h.Box] += h.Streams
		rack[b.Rack] += h.Rate
		count[PeakTitleKey(h.Peak, h.Title)] += h.Streams
		for _, d := range demands {
			if d.Peak == h.Peak && d.Title == h.Title && !b.holdsCells(d.HomeCell, d.CellSpan, f.Cells) {
				return fmt.Errorf("%s does not hold %s", h.Box, h.Title)
			}
		}
	}
	stepDownShare := 0.0
	if mayStepDown {
		stepDownShare = maxStepDownShare
	}
	busy := map[int]float64{}
	for id, b := range box {
		kb, n := b.freeCapacity()
		if link[id] > kb+stepDownShare*b.LinkLoad+1 || streams[id] > n+1e-3 {
			return fmt.Errorf("%s: %v kB/s of %v, %v streams of %v", id, link[id], kb, streams[id], n)
		}
		busy[b.Rack] += b.LinkLoad
	}
	for r, kb := range rack {
		if kb > max(MaxUtilization*f.Uplinks[r]-busy[r], 0)+stepDownShare*busy[r]+1 {
			return fmt.Errorf("rack %d: %v kB/s exceed the uplink", r, kb)
		}
	}
	for _, d := range demands {
		if n := count[PeakTitleKey(d.Peak, d.Title)]; n > f.sessionsWithinSeats(&d)+1e-3 {
			return fmt.Errorf("%s of %s: %v sessions of %v", d.Title, d.Peak, n, f.sessionsWithinSeats(&d))
		}
	}
	return nil
}

// randomDemands returns n demands with drawn classes, cells and sessions.
func randomDemands(f *Fleet, n int, draw func(int) int) (out []Demand) {
	for i := range n {
		c := draw(3)
		out = append(out, Demand{Peak: fmt.Sprint("p", i), Title: "t", Class: c, HomeCell: draw(f.Cells),
			CellSpan: 3 + draw(3), Sessions: float64(5 + draw(60)),
			Worth: f.Classes[c].Worth})
	}
	return out
}

// netValue is a plan's value minus the price of the capacity that it holds.
func netValue(f *Fleet, p *Plan) float64 {
	v := p.Value
	for _, h := range p.Holds {
		v -= f.stepDownPrice() * h.Rate
	}
	return v
}

// Both plans respect every limit for any fleet and demands, and the optimal plan is worth no less than the greedy one.
func TestPlansKeepLimits(t *testing.T) {
	solved, failed := 0, 0
	defer func() {
		if failed*20 > solved {
			t.Errorf("the simplex failed %d times and solved %d", failed, solved)
		}
	}()
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		f := newTestFleet(8 + draw(8))
		for i := range f.Boxes {
			switch draw(6) {
			case 0:
				f.Boxes[i].RampShare = 0.4
			case 1:
				f.Boxes[i].LinkLoad = 2 * f.Boxes[i].LinkCapacity
			case 2:
				f.Boxes[i].ActiveSessions = 30
			}
		}
		d := randomDemands(f, 1+draw(5), draw)
		g := SolveGreedy(f, d)
		if err := checkLimits(f, d, g, false); err != nil {
			rt.Fatalf("greedy: %v", err)
		}
		p, err := SolveLP(f, d)
		if err != nil { // numerical failure of the simplex: the greedy plan is used
			failed++
			return
		}
		solved++
		if err := checkLimits(f, d, p, true); err != nil {
			rt.Fatalf("lp: %v", err)
		}
		if x, y := netValue(f, p), netValue(f, g); x < y-1e-3 {
			rt.Fatalf("net value %v of the linear program, %v of the greedy plan", x, y)
		}
	})
}

// Holds for a title do not exceed the seats of its class at all edges together, even if the demand does.
func TestSeatsBoundHolds(t *testing.T) {
	f := newTestFleet(8)
	d := []Demand{{Peak: "p", Title: "t", Class: 1, CellSpan: 8, Sessions: 500, Worth: 2}}
	for _, p := range []*Plan{SolveGreedy(f, d), mustPlan(SolveLP(f, d))} {
		sum := 0.0
		for _, h := range p.Holds {
			sum += h.Streams
		}
		if math.Abs(sum-30) > 1e-3 {
			t.Errorf("%s holds %v seats, want 30", p.By, sum)
		}
	}
}

// mustPlan panics if there is no plan.
func mustPlan(p *Plan, err error) *Plan {
	if err != nil {
		panic(err)
	}
	return p
}

// Two peaks need the same holders, which have too little capacity for both. Both plans serve the one of higher worth
// first, use no removed box, and use a box in slow start only up to its ramp share.
func TestTwoPeaksShareHolders(t *testing.T) {
	f := newTestFleet(8)
	for i := range f.Boxes {
		f.Boxes[i].LinkLoad, f.Boxes[i].ActiveSessions = 0, 0
	}
	d := []Demand{{Peak: "cheap", Title: "t", HomeCell: 0, CellSpan: 4, Sessions: 200, Worth: 1},
		{Peak: "dear", Title: "u", HomeCell: 0, CellSpan: 4, Sessions: 60, Worth: 3}}
	f.Boxes[0].RampShare = 0.25
	f.Boxes = slices.Delete(f.Boxes, 1, 2) // removed
	for _, p := range []*Plan{SolveGreedy(f, d), mustPlan(SolveLP(f, d))} {
		n, cold := map[string]float64{}, 0.0
		for _, h := range p.Holds {
			n[h.Peak] += h.Streams
			if h.Box == "b000" {
				cold += h.Streams
			}
			if h.Box == "b001" {
				t.Errorf("%s holds capacity on a removed box", p.By)
			}
		}
		if n["dear"] < 40 || n["cheap"] > n["dear"]/4 || cold > 0.25*27+1e-3 {
			t.Errorf("%s: %v, %.1f on the box in slow start", p.By, n, cold)
		}
	}
}

// A solver that exceeds its budget returns the greedy plan, and solves again once the earlier run is over.
func TestSolverBudget(t *testing.T) {
	f := newTestFleet(40)
	i := 0
	d := randomDemands(f, 12, func(n int) int { i = i*1103515245 + 12345; return int(uint32(i)>>8) % n })
	s := NewSolver(time.Nanosecond)
	if p, err := s.Plan(f, d); err == nil || p.By != "greedy" {
		t.Errorf("%s %v", p.By, err)
	}
	if p, err := s.Plan(f, d); err == nil || p.By != "greedy" {
		t.Errorf("during an earlier run: %s %v", p.By, err)
	}
	s.Budget = time.Minute
	for range 1000 {
		if p, err := s.Plan(f, d); err == nil {
			if p.By != "lp" {
				t.Error(p.By)
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the solver did not finish its earlier run")
}

// Under any sequence of events, held + used + free = size, no hold is negative or exceeds the plan, and a repeated
// report releases nothing twice.
func TestLedgerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		boxes, titles := []string{"a", "b", "c"}, []string{"t", "u"}
		draw := func(name string) float64 { return rapid.Float64Range(0, 100).Draw(t, name) }
		sizes := map[string]BoxCapacity{}
		key := func() Key {
			return Key{rapid.SampledFrom([]string{"p", "q"}).Draw(t, "peak"), rapid.SampledFrom(titles).Draw(t, "title"),
				rapid.SampledFrom(boxes).Draw(t, "box")}
		}
		seq := uint64(0)
		var last []Usage
		plan := map[Key]Hold{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0: // an announcement or a change
				plan = map[Key]Hold{}
				var holds []Hold
				for range rapid.IntRange(0, 5).Draw(t, "holds") {
					k := key()
					plan[k] = Hold{Peak: k.Peak, Title: k.Title, Box: k.Box, Rate: draw("rate"), Streams: draw("streams")}
				}
				for _, h := range plan {
					holds = append(holds, h)
				}
				l.SetPlan(holds)
			case 1: // a cancellation
				plan = map[Key]Hold{}
				l.SetPlan(nil)
			case 2: // sessions start or end
				seq++
				last = nil
				for range rapid.IntRange(0, 4).Draw(t, "uses") {
					last = append(last, Usage{key(), draw("used"), draw("used streams")})
				}
				l.RecordReport("e"+fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "edge")), seq, int64(step), last)
			case 3: // a repeated or older report changes nothing
				before := fmt.Sprint(l.Accounts())
				for e, r := range l.reports {
					if l.RecordReport(e, r.seq, int64(step), nil) {
						t.Fatal("an old report was accepted")
					}
				}
				if after := fmt.Sprint(l.Accounts()); before != after {
					t.Fatalf("accounts %s became %s", before, after)
				}
			case 4: // boxes drain, fail or return
				sizes = map[string]BoxCapacity{}
				for _, b := range boxes {
					if rapid.Bool().Draw(t, "listed") {
						sizes[b] = BoxCapacity{draw("size"), draw("size streams"), draw("other"), draw("other streams")}
					}
				}
				l.SetCapacities(sizes)
			case 5: // an edge restarts or stops reporting
				l.ExpireReports(int64(step - 3))
			case 6:
				l.SetExpectedSessions(map[string]float64{PeakTitleKey("p", "t"): draw("coming")})
			}
			for b, a := range l.Accounts() {
				if math.Abs(a.Held+a.Used+a.Free-a.Size) > 1e-6 || a.Held < 0 || a.Held > max(a.Size-a.Used, 0)+1e-6 {
					t.Fatalf("%s: %+v", b, a)
				}
			}
			for _, h := range l.RemainingHolds() {
				p := plan[Key{h.Peak, h.Title, h.Box}]
				if _, listed := sizes[h.Box]; h.Rate > p.Rate+1e-9 || h.Streams > p.Streams+1e-9 || !listed {
					t.Fatalf("held %+v of planned %+v, listed %v", h, p, listed)
				}
			}
		}
	})
}

// Planning time of both solvers for 280 boxes, 300 edges and 20 peaks.
func BenchmarkPlan(b *testing.B) {
	f := newTestFleet(280)
	f.Edges = 300
	i := 7
	d := randomDemands(f, 20, func(n int) int { i = i*1103515245 + 12345; return int(uint32(i)>>8) % n })
	for j := range d {
		d[j].Sessions *= 3
	}
	g := SolveGreedy(f, d)
	b.Run("greedy", func(b *testing.B) {
		for b.Loop() {
			SolveGreedy(f, d)
		}
		b.ReportMetric(g.Value, "worth/s")
	})
	b.Run("lp", func(b *testing.B) {
		var p *Plan
		for b.Loop() {
			p = mustPlan(SolveLP(f, d))
		}
		b.ReportMetric(p.Value, "worth/s")
	})
}
