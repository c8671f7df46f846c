package audit

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/config"
)

func site() *config.Site {
	d := func(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }
	return &config.Site{Classes: []config.Class{{Name: "play", Effect: "repeatable", Seats: 2, Floor: 1}, {Name: "paid", Effect: "paid"}},
		Rules: config.Rules{DrainGrace: d(1), Ramp: d(10), StartShare: 0.5, FallFactor: 2, FallSpan: d(1), AnswerSlack: d(0.04),
			BudgetSpan: d(10), BudgetFree: 1, BudgetShare: 0.5}}
}

// run is the entries of a day in order; each has its second.
type run []Entry

func (r run) at(sec float64, e Entry) run {
	e.T = int64(sec * 1e6)
	return append(r, e)
}

func viewer(what, id string) Entry {
	return Entry{Side: "viewer", Who: "v", Viewer: "v", What: what, Session: id, Edge: "0", Value: 4}
}

func box(what, box, id string, attempt int) Entry {
	return Entry{Side: "box", Who: box, What: what, Session: id, Attempt: attempt, Edge: "0.a", Title: "t", Class: "play", Rung: 1}
}

func with(e Entry, change func(*Entry)) Entry {
	change(&e)
	return e
}

// attempt is one that ran.
func (r run) attempt(from, to float64, where, id string, n int) run {
	return r.at(from, box(SetupArrived, where, id, n)).at(to, with(box(SetupOver, where, id, n), func(e *Entry) { e.Text = "playing" }))
}

func told(edge, who, state string) Entry {
	return Entry{Side: "relay", Who: who, What: Told, Edge: edge, Text: state}
}

// Each planted breach is named with its rule, box and session; beside it stands the same day without it.
func TestPlantedBreaches(t *testing.T) {
	paid := func(e *Entry) { e.Class = "paid" }
	base := run{}.at(0, viewer(Asked, "q")).attempt(0.1, 0.2, "b1", "s1", 0).at(0.3, viewer(Answered, "q"))
	for _, c := range []struct {
		name, rule, box, session string
		day                      run
	}{
		{"quiet", "", "", "", base},
		{"no answer", NoSessionLost, "", "q2", base.at(1, viewer(Asked, "q2"))},
		{"no answer, edge killed", "", "", "", base.at(1, viewer(Asked, "q2")).at(2, Entry{Side: "script", Who: "0", What: EdgeKilled}).at(2, viewer(Unanswered, "q2"))},
		{"another edge killed", NoSessionLost, "", "q2", base.at(1, viewer(Asked, "q2")).at(2, Entry{Side: "script", Who: "1", What: EdgeKilled}).at(2, viewer(Unanswered, "q2"))},
		{"late answer", NoSessionLost, "", "q2", base.at(1, viewer(Asked, "q2")).at(5.3, viewer(Answered, "q2"))},
		{"answer in the slack", "", "", "", base.at(1, viewer(Asked, "q2")).at(5.1, viewer(Answered, "q2"))},
		{"gave up early", "", "", "", base.at(1, viewer(Asked, "q2")).at(3, viewer(GaveUp, "q2"))},
		{"gave up unanswered", NoSessionLost, "", "q2", base.at(1, viewer(Asked, "q2")).at(9, viewer(GaveUp, "q2"))},
		{"two answers", NoSessionLost, "", "q", base.at(0.4, viewer(Answered, "q"))},
		{"bytes after the answer", NoSessionLost, "", "q", base.at(0.4, viewer(Extra, "q"))},
		{"overlap", NoSetupTwice, "b2", "s2", base.at(1, box(SetupArrived, "b1", "s2", 0)).attempt(1.5, 1.6, "b2", "s2", 1).at(2, box(SetupOver, "b1", "s2", 0))},
		{"never over", NoSetupTwice, "b2", "s2", base.at(1, box(SetupArrived, "b1", "s2", 0)).attempt(1.5, 1.6, "b2", "s2", 1)},
		{"one after the other", "", "", "", base.attempt(1, 1.5, "b1", "s2", 0).attempt(1.5, 1.6, "b2", "s2", 1)},
		{"paid again", NoSetupTwice, "b2", "s2", base.at(1, with(box(SetupArrived, "b1", "s2", 0), paid)).at(1.1, with(box(SetupOver, "b1", "s2", 0), paid)).
			at(1.2, with(box(SetupArrived, "b2", "s2", 1), paid)).at(1.3, with(box(SetupOver, "b2", "s2", 1), paid))},
		{"paid again after never", "", "", "", base.at(1, with(box(SetupArrived, "b1", "s2", 0), paid)).at(1.1, with(box(SetupNever, "b1", "s2", 0), paid)).
			at(1.1, with(box(SetupOver, "b1", "s2", 0), paid)).at(1.2, with(box(SetupArrived, "b2", "s2", 1), paid)).at(1.3, with(box(SetupOver, "b2", "s2", 1), paid))},
		{"draining", DrainsKept, "b1", "s2", base.at(1, told("0", "b1", "draining")).attempt(2.2, 2.3, "b1", "s2", 0)},
		{"gone, told again as draining", DrainsKept, "b1", "s2", base.at(1, told("0", "b1", "draining")).at(2, told("0", "b1", "gone")).attempt(2.2, 2.3, "b1", "s2", 0)},
		{"draining, within the grace", "", "", "", base.at(1, told("0", "b1", "draining")).attempt(1.9, 2, "b1", "s2", 0)},
		{"draining, told another edge", "", "", "", base.at(1, told("1", "b1", "draining")).attempt(3, 3.1, "b1", "s2", 0)},
		{"draining, ready again", "", "", "", base.at(1, told("0", "b1", "draining")).at(2, told("0", "b1", "ready")).attempt(3, 3.1, "b1", "s2", 0)},
		{"fell", ColdKept, "b1", "", base.at(1, Entry{Side: "box", Who: "b1", What: BoxFell})},
		{"floor", TermsKept, "b1", "s2", base.at(1, with(box(RungSet, "b1", "s2", 0), func(e *Entry) { e.Rung = 0 }))},
		{"seats", TermsKept, "b2", "s3", base.attempt(1, 1.1, "b1", "s2", 0).attempt(2, 2.1, "b2", "s3", 0)},
		{"seats of another edge", "", "", "", base.attempt(1, 1.1, "b1", "s2", 0).at(2, with(box(SetupArrived, "b2", "s3", 0), func(e *Entry) { e.Edge = "1.b" }))},
		{"seat given back", "", "", "", base.attempt(1, 1.1, "b1", "s2", 0).at(1.5, box(SessionEnd, "b1", "s1", 0)).attempt(2, 2.1, "b2", "s3", 0)},
		{"budget", BudgetKept, "b2", "s3", base.attempt(1, 1.1, "b2", "s1", 1).attempt(1.2, 1.3, "b2", "s3", 1)},
		{"budget, later", "", "", "", base.attempt(1, 1.1, "b2", "s1", 1).attempt(12, 12.1, "b2", "s3", 1)},
	} {
		v := Judge(site(), c.day)
		if c.rule == "" {
			if len(v.Breaches) > 0 {
				t.Errorf("%s: %+v", c.name, v.Breaches)
			}
			continue
		}
		if len(v.Breaches) == 0 {
			t.Errorf("%s: not seen", c.name)
			continue
		}
		if b := v.Breaches[len(v.Breaches)-1]; b.Rule != c.rule || b.Box != c.box || b.Session != c.session || b.Why == "" {
			t.Errorf("%s: %+v", c.name, b)
		}
		if got := v.Broken(); len(got) != 1 || got[0] != c.rule {
			t.Errorf("%s: broken %v", c.name, got)
		}
	}
}

// A cold box with 20 streams and a ramp of 10 s stands 2/s at warm, half at its start: twice that for a
// second is 2 set-ups, and 3 for chance.
func TestColdWindow(t *testing.T) {
	start := run{}.at(0, Entry{Side: "box", Who: "b", What: BoxStarted, Value: 20})
	burst := func(r run, n int, from float64) run {
		for i := range n {
			r = r.at(from+float64(i)/100, with(box(SetupArrived, "b", "s"+string(rune('a'+i)), 0), func(e *Entry) { e.Class = "other" }))
		}
		return r
	}
	for _, c := range []struct {
		name string
		day  run
		bad  bool
	}{{"few", burst(start, 5, 0.1), false}, {"many", burst(start, 6, 0.1), true}, {"warmer", burst(start, 6, 9), false},
		{"warm", burst(start, 20, 11), false}, {"was warm", burst(run{}.at(0, Entry{Side: "box", Who: "b", What: BoxStarted, Value: 20, Text: "warm"}), 9, 0.1), false}} {
		if v := Judge(site(), c.day); (len(v.Breaches) > 0) != c.bad {
			t.Errorf("%s: %+v", c.name, v.Breaches)
		}
	}
}

func TestReadWrite(t *testing.T) {
	day := run{}.at(0.5, viewer(Asked, "q")).attempt(1, 2, "b", "s", 3)
	var b bytes.Buffer
	if err := Write(&b, day); err != nil {
		t.Fatal(err)
	}
	back, err := Read(&b)
	if err != nil || !reflect.DeepEqual([]Entry(day), back) {
		t.Errorf("%v %v", back, err)
	}
	if _, err := Read(strings.NewReader("{\"t\":1}\n{")); err == nil || !strings.Contains(err.Error(), "entry 2") {
		t.Error(err)
	}
}
