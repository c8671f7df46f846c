package audit

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/config"
)

func testSite() *config.Site {
	d := func(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }
	return &config.Site{Classes: []config.Class{{Name: "play", Effect: "repeatable", Seats: 2, Floor: 1}, {Name: "paid", Effect: "paid"}},
		Rules: config.Rules{DrainGrace: d(1), Ramp: d(10), StartShare: 0.5, FallFactor: 2, FallSpan: d(1), AnswerSlack: d(0.04),
			BudgetSpan: d(10), BudgetFree: 1, BudgetShare: 0.5}}
}

// run is the entries of a day in order; each has its second.
type timeline []Entry

func (r timeline) at(seconds float64, e Entry) timeline {
	e.TimeMicros = int64(seconds * 1e6)
	return append(r, e)
}

func viewerEntry(event, id string) Entry {
	return Entry{Observer: "viewer", Subject: "v", Viewer: "v", Event: event, Session: id, Edge: "0", Value: 4}
}

func boxEntry(event, box, id string, attempt int) Entry {
	return Entry{Observer: "box", Subject: box, Event: event, Session: id, Attempt: attempt, Edge: "0.a", Title: "t", Class: "play", Rung: 1}
}

func modified(e Entry, change func(*Entry)) Entry {
	change(&e)
	return e
}

// attempt is one that ran.
func (r timeline) withAttempt(from, to float64, box, id string, attempt int) timeline {
	return r.at(from, boxEntry(SetUpReceived, box, id, attempt)).at(to, modified(boxEntry(SetUpEnded, box, id, attempt), func(e *Entry) { e.Text = "playing" }))
}

func stateEntry(edge, box, state string) Entry {
	return Entry{Observer: "relay", Subject: box, Event: StatePublished, Edge: edge, Text: state}
}

// Each planted breach is named with its rule, box and session; beside it stands the same day without it.
func TestJudgeFindsBreaches(t *testing.T) {
	atMostOnce := func(e *Entry) { e.Class = "paid" }
	base := timeline{}.at(0, viewerEntry(RequestSent, "q")).withAttempt(0.1, 0.2, "b1", "s1", 0).at(0.3, viewerEntry(AnswerReceived, "q"))
	for _, c := range []struct {
		name, rule, box, session string
		day                      timeline
	}{
		{"quiet", "", "", "", base},
		{"no answer", NoSessionLost, "", "q2", base.at(1, viewerEntry(RequestSent, "q2"))},
		{"no answer, edge killed", "", "", "", base.at(1, viewerEntry(RequestSent, "q2")).at(2, Entry{Observer: "script", Subject: "0", Event: EdgeKilled}).at(2, viewerEntry(Unanswered, "q2"))},
		{"another edge killed", NoSessionLost, "", "q2", base.at(1, viewerEntry(RequestSent, "q2")).at(2, Entry{Observer: "script", Subject: "1", Event: EdgeKilled}).at(2, viewerEntry(Unanswered, "q2"))},
		{"late answer", NoSessionLost, "", "q2", base.at(1, viewerEntry(RequestSent, "q2")).at(5.3, viewerEntry(AnswerReceived, "q2"))},
		{"answer in the slack", "", "", "", base.at(1, viewerEntry(RequestSent, "q2")).at(5.1, viewerEntry(AnswerReceived, "q2"))},
		{"gave up early", "", "", "", base.at(1, viewerEntry(RequestSent, "q2")).at(3, viewerEntry(ViewerGaveUp, "q2"))},
		{"gave up unanswered", NoSessionLost, "", "q2", base.at(1, viewerEntry(RequestSent, "q2")).at(9, viewerEntry(ViewerGaveUp, "q2"))},
		{"two answers", NoSessionLost, "", "q", base.at(0.4, viewerEntry(AnswerReceived, "q"))},
		{"bytes after the answer", NoSessionLost, "", "q", base.at(0.4, viewerEntry(ExtraBytes, "q"))},
		{"overlap", NoDuplicateSetUp, "b2", "s2", base.at(1, boxEntry(SetUpReceived, "b1", "s2", 0)).withAttempt(1.5, 1.6, "b2", "s2", 1).at(2, boxEntry(SetUpEnded, "b1", "s2", 0))},
		{"never over", NoDuplicateSetUp, "b2", "s2", base.at(1, boxEntry(SetUpReceived, "b1", "s2", 0)).withAttempt(1.5, 1.6, "b2", "s2", 1)},
		{"one after the other", "", "", "", base.withAttempt(1, 1.5, "b1", "s2", 0).withAttempt(1.5, 1.6, "b2", "s2", 1)},
		{"paid again", NoDuplicateSetUp, "b2", "s2", base.at(1, modified(boxEntry(SetUpReceived, "b1", "s2", 0), atMostOnce)).at(1.1, modified(boxEntry(SetUpEnded, "b1", "s2", 0), atMostOnce)).
			at(1.2, modified(boxEntry(SetUpReceived, "b2", "s2", 1), atMostOnce)).at(1.3, modified(boxEntry(SetUpEnded, "b2", "s2", 1), atMostOnce))},
		{"paid again after never", "", "", "", base.at(1, modified(boxEntry(SetUpReceived, "b1", "s2", 0), atMostOnce)).at(1.1, modified(boxEntry(SetUpNotRun, "b1", "s2", 0), atMostOnce)).
			at(1.1, modified(boxEntry(SetUpEnded, "b1", "s2", 0), atMostOnce)).at(1.2, modified(boxEntry(SetUpReceived, "b2", "s2", 1), atMostOnce)).at(1.3, modified(boxEntry(SetUpEnded, "b2", "s2", 1), atMostOnce))},
		{"draining", DrainsRespected, "b1", "s2", base.at(1, stateEntry("0", "b1", "draining")).withAttempt(2.2, 2.3, "b1", "s2", 0)},
		{"gone, told again as draining", DrainsRespected, "b1", "s2", base.at(1, stateEntry("0", "b1", "draining")).at(2, stateEntry("0", "b1", "gone")).withAttempt(2.2, 2.3, "b1", "s2", 0)},
		{"draining, within the grace", "", "", "", base.at(1, stateEntry("0", "b1", "draining")).withAttempt(1.9, 2, "b1", "s2", 0)},
		{"draining, told another edge", "", "", "", base.at(1, stateEntry("1", "b1", "draining")).withAttempt(3, 3.1, "b1", "s2", 0)},
		{"draining, ready again", "", "", "", base.at(1, stateEntry("0", "b1", "draining")).at(2, stateEntry("0", "b1", "ready")).withAttempt(3, 3.1, "b1", "s2", 0)},
		{"fell", ColdBoxesProtected, "b1", "", base.at(1, Entry{Observer: "box", Subject: "b1", Event: BoxOverloaded})},
		{"floor", ClassTermsRespected, "b1", "s2", base.at(1, modified(boxEntry(RungSet, "b1", "s2", 0), func(e *Entry) { e.Rung = 0 }))},
		{"seats", ClassTermsRespected, "b2", "s3", base.withAttempt(1, 1.1, "b1", "s2", 0).withAttempt(2, 2.1, "b2", "s3", 0)},
		{"seats of another edge", "", "", "", base.withAttempt(1, 1.1, "b1", "s2", 0).at(2, modified(boxEntry(SetUpReceived, "b2", "s3", 0), func(e *Entry) { e.Edge = "1.b" }))},
		{"seat given back", "", "", "", base.withAttempt(1, 1.1, "b1", "s2", 0).at(1.5, boxEntry(SessionEnd, "b1", "s1", 0)).withAttempt(2, 2.1, "b2", "s3", 0)},
		{"budget", AttemptBudgetRespected, "b2", "s3", base.withAttempt(1, 1.1, "b2", "s1", 1).withAttempt(1.2, 1.3, "b2", "s3", 1)},
		{"budget, later", "", "", "", base.withAttempt(1, 1.1, "b2", "s1", 1).withAttempt(12, 12.1, "b2", "s3", 1)},
	} {
		v := Judge(testSite(), c.day)
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
		if b := v.Breaches[len(v.Breaches)-1]; b.Rule != c.rule || b.Box != c.box || b.Session != c.session || b.Reason == "" {
			t.Errorf("%s: %+v", c.name, b)
		}
		if got := v.BrokenRules(); len(got) != 1 || got[0] != c.rule {
			t.Errorf("%s: broken %v", c.name, got)
		}
	}
}

// A cold box with 20 streams and a ramp of 10 s stands 2/s at warm, half at its start: twice that for a
// second is 2 set-ups, and 3 for chance.
func TestSlowStartLimit(t *testing.T) {
	start := timeline{}.at(0, Entry{Observer: "box", Subject: "b", Event: BoxStarted, Value: 20})
	burst := func(r timeline, n int, from float64) timeline {
		for i := range n {
			r = r.at(from+float64(i)/100, modified(boxEntry(SetUpReceived, "b", "s"+string(rune('a'+i)), 0), func(e *Entry) { e.Class = "other" }))
		}
		return r
	}
	for _, c := range []struct {
		name string
		day  timeline
		bad  bool
	}{{"few", burst(start, 5, 0.1), false}, {"many", burst(start, 6, 0.1), true}, {"warmer", burst(start, 6, 9), false},
		{"warm", burst(start, 20, 11), false}, {"was warm", burst(timeline{}.at(0, Entry{Observer: "box", Subject: "b", Event: BoxStarted, Value: 20, Text: "warm"}), 9, 0.1), false}} {
		if v := Judge(testSite(), c.day); (len(v.Breaches) > 0) != c.bad {
			t.Errorf("%s: %+v", c.name, v.Breaches)
		}
	}
}

func TestWriteAndRead(t *testing.T) {
	entries := timeline{}.at(0.5, viewerEntry(RequestSent, "q")).withAttempt(1, 2, "b", "s", 3)
	var b bytes.Buffer
	if err := Write(&b, entries); err != nil {
		t.Fatal(err)
	}
	read, err := Read(&b)
	if err != nil || !reflect.DeepEqual([]Entry(entries), read) {
		t.Errorf("%v %v", read, err)
	}
	if _, err := Read(strings.NewReader("{\"t\":1}\n{")); err == nil || !strings.Contains(err.Error(), "entry 2") {
		t.Error(err)
	}
}
