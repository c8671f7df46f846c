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

// timeline is the entries of a run. Its methods return it with entries appended.
type timeline []Entry

// at appends an entry at a time in seconds.
func (r timeline) at(seconds float64, e Entry) timeline {
	e.TimeMicros = int64(seconds * 1e6)
	return append(r, e)
}

func viewerEntry(event, id string) Entry {
	return Entry{Observer: "viewer", Subject: "v", Viewer: "v", Event: event, Session: id, Edge: "0", Value: 4}
}

func boxEntry(event, box, id string, attempt int) Entry {
	return Entry{Observer: "box", Subject: box, Event: event, Session: id, Attempt: attempt, Edge: "0.a",
		Title: "t", Class: "play", Rung: 1}
}

func modified(e Entry, change func(*Entry)) Entry {
	change(&e)
	return e
}

// reload returns an entry about a viewer's reload.
func reload(event string) Entry {
	return modified(viewerEntry(event, "r"), func(e *Entry) { e.Text = PlaylistReload })
}

// ofViewer returns a box's entry about a session of that viewer.
func ofViewer(e Entry) Entry { return modified(e, func(e *Entry) { e.Viewer = "v" }) }

// withAttempt appends a set-up attempt that ran.
func (r timeline) withAttempt(from, to float64, box, id string, attempt int) timeline {
	return r.at(from, boxEntry(SetUpReceived, box, id, attempt)).at(to,
		modified(boxEntry(SetUpEnded, box, id, attempt), func(e *Entry) { e.Text = "playing" }))
}

func stateEntry(edge, box, state string) Entry {
	return Entry{Observer: "relay", Subject: box, Event: StatePublished, Edge: edge, Text: state}
}

// Judge reports each breach with its rule, box and session, and reports none for similar runs without the breach.
func TestJudgeFindsBreaches(t *testing.T) {
	atMostOnce := func(e *Entry) { e.Class = "paid" }
	base := timeline{}.at(0, viewerEntry(RequestSent, "q")).withAttempt(0.1, 0.2, "b1", "s1", 0).
		at(0.3, viewerEntry(AnswerReceived, "q"))
	for _, c := range []struct {
		name, rule, box, session string
		day                      timeline
	}{
		{"no breach", "", "", "", base},
		{"no answer", NoSessionLost, "", "q2", base.at(1, viewerEntry(RequestSent, "q2"))},
		{"no answer, edge killed", "", "", "",
			base.at(1, viewerEntry(RequestSent, "q2")).at(2, Entry{Observer: "script", Subject: "0", Event: EdgeKilled}).
				at(2, viewerEntry(Unanswered, "q2"))},
		{"another edge killed", NoSessionLost, "", "q2",
			base.at(1, viewerEntry(RequestSent, "q2")).at(2, Entry{Observer: "script", Subject: "1", Event: EdgeKilled}).
				at(2, viewerEntry(Unanswered, "q2"))},
		{"late answer", NoSessionLost, "", "q2",
			base.at(1, viewerEntry(RequestSent, "q2")).at(5.3, viewerEntry(AnswerReceived, "q2"))},
		{"answer within the tolerance", "", "", "",
			base.at(1, viewerEntry(RequestSent, "q2")).at(5.1, viewerEntry(AnswerReceived, "q2"))},
		{"gave up before the deadline", "", "", "",
			base.at(1, viewerEntry(RequestSent, "q2")).at(3, viewerEntry(ViewerGaveUp, "q2"))},
		{"gave up after the deadline", NoSessionLost, "", "q2",
			base.at(1, viewerEntry(RequestSent, "q2")).at(9, viewerEntry(ViewerGaveUp, "q2"))},
		{"two answers", NoSessionLost, "", "q", base.at(0.4, viewerEntry(AnswerReceived, "q"))},
		{"bytes after the answer", NoSessionLost, "", "q", base.at(0.4, viewerEntry(ExtraBytes, "q"))},
		{"overlapping attempts", NoDuplicateSetUp, "b2", "s2",
			base.at(1, boxEntry(SetUpReceived, "b1", "s2", 0)).withAttempt(1.5, 1.6, "b2", "s2", 1).
				at(2, boxEntry(SetUpEnded, "b1", "s2", 0))},
		{"attempt without an end", NoDuplicateSetUp, "b2", "s2",
			base.at(1, boxEntry(SetUpReceived, "b1", "s2", 0)).withAttempt(1.5, 1.6, "b2", "s2", 1)},
		{"consecutive attempts", "", "", "", base.withAttempt(1, 1.5, "b1", "s2", 0).withAttempt(1.5, 1.6, "b2", "s2", 1)},
		{"at-most-once set-up sent again", NoDuplicateSetUp, "b2", "s2",
			base.at(1, modified(boxEntry(SetUpReceived, "b1", "s2", 0), atMostOnce)).
				at(1.1, modified(boxEntry(SetUpEnded, "b1", "s2", 0), atMostOnce)).
				at(1.2, modified(boxEntry(SetUpReceived, "b2", "s2", 1), atMostOnce)).
				at(1.3, modified(boxEntry(SetUpEnded, "b2", "s2", 1), atMostOnce))},
		{"at-most-once set-up sent again after one that did not run", "", "", "",
			base.at(1, modified(boxEntry(SetUpReceived, "b1", "s2", 0), atMostOnce)).
				at(1.1, modified(boxEntry(SetUpNotRun, "b1", "s2", 0), atMostOnce)).
				at(1.1, modified(boxEntry(SetUpEnded, "b1", "s2", 0), atMostOnce)).
				at(1.2, modified(boxEntry(SetUpReceived, "b2", "s2", 1), atMostOnce)).
				at(1.3, modified(boxEntry(SetUpEnded, "b2", "s2", 1), atMostOnce))},
		{"set-up on a draining box", DrainsRespected, "b1", "s2",
			base.at(1, stateEntry("0", "b1", "draining")).withAttempt(2.2, 2.3, "b1", "s2", 0)},
		{"gone after draining", DrainsRespected, "b1", "s2",
			base.at(1, stateEntry("0", "b1", "draining")).at(2, stateEntry("0", "b1", "gone")).
				withAttempt(2.2, 2.3, "b1", "s2", 0)},
		{"draining, within the grace period", "", "", "",
			base.at(1, stateEntry("0", "b1", "draining")).withAttempt(1.9, 2, "b1", "s2", 0)},
		{"draining, reported to another edge", "", "", "",
			base.at(1, stateEntry("1", "b1", "draining")).withAttempt(3, 3.1, "b1", "s2", 0)},
		{"draining, ready again", "", "", "",
			base.at(1, stateEntry("0", "b1", "draining")).at(2, stateEntry("0", "b1", "ready")).
				withAttempt(3, 3.1, "b1", "s2", 0)},
		{"cold box crashed", ColdBoxesProtected, "b1", "",
			base.at(1, Entry{Observer: "box", Subject: "b1", Event: BoxOverloaded})},
		{"rung below the floor", ClassTermsRespected, "b1", "s2",
			base.at(1, modified(boxEntry(RungSet, "b1", "s2", 0), func(e *Entry) { e.Rung = 0 }))},
		{"more sessions than seats", ClassTermsRespected, "b2", "s3",
			base.withAttempt(1, 1.1, "b1", "s2", 0).withAttempt(2, 2.1, "b2", "s3", 0)},
		{"seats of another edge", "", "", "",
			base.withAttempt(1, 1.1, "b1", "s2", 0).
				at(2, modified(boxEntry(SetUpReceived, "b2", "s3", 0), func(e *Entry) { e.Edge = "1.b" }))},
		{"seats of an earlier instance of the edge", ClassTermsRespected, "b2", "s3",
			base.withAttempt(1, 1.1, "b1", "s2", 0).
				at(2, modified(boxEntry(SetUpReceived, "b2", "s3", 0), func(e *Entry) { e.Edge = "0.b" }))},
		{"seat released", "", "", "",
			base.withAttempt(1, 1.1, "b1", "s2", 0).at(1.5, boxEntry(SessionEnd, "b1", "s1", 0)).
				withAttempt(2, 2.1, "b2", "s3", 0)},
		{"attempts beyond the budget", AttemptBudgetRespected, "b2", "s3",
			base.withAttempt(1, 1.1, "b2", "s1", 1).withAttempt(1.2, 1.3, "b2", "s3", 1)},
		{"attempts within the budget that a reload's request raises", "", "", "",
			base.at(0.5, reload(RequestSent)).at(0.6, ofViewer(boxEntry(SetUpReceived, "b2", "s3", 0))).
				at(0.65, boxEntry(SetUpNotRun, "b2", "s3", 0)).at(0.66, boxEntry(SetUpEnded, "b2", "s3", 0)).at(0.7, reload(AnswerReceived)).
				withAttempt(1, 1.1, "b2", "s1", 1).withAttempt(1.2, 1.3, "b2", "s3", 1)},
		{"attempts beyond the budget beside a reload that set up nothing", AttemptBudgetRespected, "b2", "s3",
			base.at(0.5, reload(RequestSent)).at(0.7, reload(AnswerReceived)).at(0.8, ofViewer(boxEntry(SetUpReceived, "b2", "s3", 0))).
				at(0.85, boxEntry(SetUpNotRun, "b2", "s3", 0)).at(0.86, boxEntry(SetUpEnded, "b2", "s3", 0)).
				withAttempt(1, 1.1, "b2", "s1", 1).withAttempt(1.2, 1.3, "b2", "s3", 1)},
		{"attempts in different windows", "", "", "",
			base.withAttempt(1, 1.1, "b2", "s1", 1).withAttempt(12, 12.1, "b2", "s3", 1)},
	} {
		v := Judge(testSite(), c.day)
		if c.rule == "" {
			if len(v.Breaches) > 0 {
				t.Errorf("%s: unexpected breaches %+v", c.name, v.Breaches)
			}
			continue
		}
		if len(v.Breaches) == 0 {
			t.Errorf("%s: no breach reported", c.name)
			continue
		}
		if b := v.Breaches[len(v.Breaches)-1]; b.Rule != c.rule || b.Box != c.box ||
			b.Session != c.session || b.Reason == "" {
			t.Errorf("%s: reported breach is %+v", c.name, b)
		}
		if got := v.BrokenRules(); len(got) != 1 || got[0] != c.rule {
			t.Errorf("%s: broken rules are %v, want only the rule of the case", c.name, got)
		}
	}
}

// A box with 20 stream slots and a slow start of 10 s has a ramp rate of 2 set-ups/s at the end and half of it at
// the start. A burst factor of 2 over 1 s allows 2 set-ups at the start, plus 3 for random variation.
func TestSlowStartLimit(t *testing.T) {
	start := timeline{}.at(0, Entry{Observer: "box", Subject: "b", Event: BoxStarted, Value: 20})
	burst := func(r timeline, n int, from float64) timeline {
		for i := range n {
			r = r.at(from+float64(i)/100, modified(boxEntry(SetUpReceived, "b", "s"+string(rune('a'+i)), 0),
				func(e *Entry) { e.Class = "other" }))
		}
		return r
	}
	for _, c := range []struct {
		name string
		day  timeline
		bad  bool
	}{{"within the limit", burst(start, 5, 0.1), false}, {"beyond the limit", burst(start, 6, 0.1), true},
		{"late in the slow start", burst(start, 6, 9), false}, {"after the slow start", burst(start, 20, 11), false},
		{"started warm", burst(timeline{}.at(0,
			Entry{Observer: "box", Subject: "b", Event: BoxStarted, Value: 20, Text: "warm"}), 9, 0.1), false}} {
		if v := Judge(testSite(), c.day); (len(v.Breaches) > 0) != c.bad {
			t.Errorf("%s: breaches are %+v", c.name, v.Breaches)
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
		t.Errorf("read %v, %v, want the entries written", read, err)
	}
	if _, err := Read(strings.NewReader("{\"t\":1}\n{")); err == nil || !strings.Contains(err.Error(), "entry 2") {
		t.Error(err)
	}
}

// A reload counts as a request if its viewer's session is set up meanwhile, or if its answer is one that only a placement
// gets; but neither if the viewer asked for a session as well, nor twice, nor if it is another viewer's.
func TestRequestTimes(t *testing.T) {
	setUp := func(session string, attempt int) Entry {
		return ofViewer(boxEntry(SetUpReceived, "b", session, attempt))
	}
	answer := func(status int) Entry { return modified(reload(AnswerReceived), func(e *Entry) { e.Status = status }) }
	for name, c := range map[string]struct {
		day  timeline
		want []int64 // in tenths of a second
	}{
		"set-up while a reload waits":        {timeline{}.at(0.1, reload(RequestSent)).at(0.2, setUp("s", 0)), []int64{1}},
		"its first attempt did not arrive":   {timeline{}.at(0.1, reload(RequestSent)).at(0.2, setUp("s", 1)), []int64{1}},
		"a further attempt":                  {timeline{}.at(0.1, reload(RequestSent)).at(0.2, setUp("s", 0)).at(0.3, setUp("s", 1)), []int64{1}},
		"answered before the set-up":         {timeline{}.at(0.1, reload(RequestSent)).at(0.2, answer(200)).at(0.3, setUp("s", 0)), nil},
		"refused without a set-up":           {timeline{}.at(0.1, reload(RequestSent)).at(0.2, answer(503)), []int64{1}},
		"refused after a set-up":             {timeline{}.at(0.1, reload(RequestSent)).at(0.2, setUp("s", 0)).at(0.3, answer(503)), []int64{1}},
		"its session is over":                {timeline{}.at(0.1, reload(RequestSent)).at(0.2, answer(410)), nil},
		"a request for a session waits, too": {timeline{}.at(0, viewerEntry(RequestSent, "q")).at(0.1, reload(RequestSent)).at(0.2, setUp("s", 0)), []int64{0}},
		"that request was answered before": {timeline{}.at(0, viewerEntry(RequestSent, "q")).at(0.1, viewerEntry(AnswerReceived, "q")).
			at(0.2, reload(RequestSent)).at(0.3, setUp("s", 0)), []int64{0, 2}},
		"another viewer's session": {timeline{}.at(0.1, reload(RequestSent)).at(0.2, boxEntry(SetUpReceived, "b", "s", 0)), nil},
		"at another edge":          {timeline{}.at(0.1, reload(RequestSent)).at(0.2, modified(setUp("s", 0), func(e *Entry) { e.Edge = "1.a" })), nil},
	} {
		var got []int64
		for _, at := range requestTimes(c.day)["0"] {
			got = append(got, at/100_000)
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: requests at %v, want %v", name, got, c.want)
		}
	}
}
