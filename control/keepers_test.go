package control

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestMessages(t *testing.T) {
	for _, m := range []message{
		{kind: messageQuery, stamp: 12345, homeCell: 269, cellSpan: 5},
		{kind: messageUpdate, stamp: 7, reports: []serverReport{{shortID: 99, utilization: 0.5, streams: 12, delayed: true, rateChange: -40, streamChange: -1}}},
		{kind: messageReply, stamp: 8, reports: []serverReport{{shortID: 1, utilization: -1, streams: -1}, {shortID: 2, utilization: 1.25, streams: 3}}},
	} {
		if got, ok := decodeMessage(encodeMessage(m)); !ok || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v came back as %+v %v", m, got, ok)
		}
	}
}

// A keeper answers with what others told it; the asker chooses by it, and waits no longer than it must.
func TestKeepers(t *testing.T) {
	set := testSettings()
	set.AllowPeerMessages, set.Fronts, set.Position = true, 2, 1 // cells 0 to 5 are kept by front 0
	asker := startFront(t, set)
	set.Position = 0
	keeper := startFront(t, set)
	stamp := 5
	news := func(i int, full float64) string {
		stamp++
		return encodeMessage(message{kind: messageUpdate, stamp: stamp,
			reports: []serverReport{{shortID: shortIDOf(fmt.Sprint("s", i)), utilization: full, streams: 3}}})
	}
	for i, full := range []float64{.8, .8, .8, .2, .8, .8} {
		keeper.step(PeerMessage{From: 1, Data: news(i, full)})
	}
	q, _ := findAction[SendToPeer](asker.request("a", 0))
	a, ok := findAction[SendToPeer](keeper.step(PeerMessage{From: 1, Data: q.Data}))
	if !ok || q.Front != 0 || a.Front != 1 {
		t.Fatalf("question %+v, answer %+v", q, a)
	}
	for _, bad := range []PeerMessage{{From: 0, Data: "zzzz"}, {From: 0, Data: "A" + a.Data[1:]}, {From: 9, Data: a.Data},
		{From: 1, Data: a.Data}, {From: 0, Data: a.Data[:len(a.Data)-1]}, {From: -1, Data: a.Data}, {From: 0}} {
		if out := asker.step(bad); len(out) > 0 {
			t.Errorf("message %+v made the asker act: %v", bad, out)
		}
	}
	if got := asker.sentTo(asker.step(PeerMessage{From: 0, Data: a.Data})); got != "s3" {
		t.Errorf("sent to %q, the keeper told of s3 as the least loaded", got)
	}
	asker.step(PeerMessage{From: 0, Data: encodeMessage(message{kind: messageReply, stamp: 1,
		reports: []serverReport{{shortID: shortIDOf("s1"), utilization: 0, streams: 0}}})})
	asker.step(SessionStarted{ID: "a", Server: "s3"})
	if asker.c.serversByID["s1"].othersUtilization < .5 {
		t.Error("an old message was taken")
	}
	for i := range maxUnansweredQueries { // nobody answers any more: the wait ends by the timer, then there is none
		id := fmt.Sprint("b", i)
		if asker.sentTo(asker.request(id, 0)) != "" {
			t.Fatal("did not wait for the keeper")
		}
		if asker.sentTo(asker.step(TimerFired{"look " + id})) == "" {
			t.Error("not placed when no answer came")
		}
	}
	if asker.sentTo(asker.request("c", 0)) == "" {
		t.Error("waits for keepers that are silent")
	}
	asker.c.unansweredQueries = 0
	if out := asker.step(Request{ID: "late", CellSpan: 6, BestRung: 2, GiveUpAt: asker.now + 50*ms}); asker.sentTo(out) == "" {
		t.Error("a viewer about to give up is made to wait for keepers")
	}
	asker.request("gone", 0)
	asker.step(ViewerLeft{"gone"})
	if out := asker.step(TimerFired{"look gone"}); len(out) > 0 {
		t.Errorf("acts for a viewer that left while a keeper was asked: %v", out)
	}
	set.AllowPeerMessages = false
	quiet := startFront(t, set)
	if _, told := findAction[SendToPeer](quiet.request("a", 0)); told {
		t.Error("message where none is allowed")
	}
}

// Random messages neither panic nor place anything.
func FuzzPeerMessage(f *testing.F) {
	f.Add(1, "q00000a05")
	f.Add(0, "n0010abV3Wg0")
	f.Add(2, "a000")
	f.Fuzz(func(t *testing.T, from int, data string) {
		set := testSettings()
		set.AllowPeerMessages, set.Fronts = true, 3
		c, _ := New(set, 1)
		c.Step(time.Second, []Event{ListUpdate{Whole: true, Servers: []Server{{ID: "s0", State: Ready, Weight: 1}}}})
		for _, a := range c.Step(2*time.Second, []Event{PeerMessage{From: from, Data: data}}) {
			if _, ok := a.(SendToPeer); !ok {
				t.Errorf("message %q from %d led to %+v", data, from, a)
			}
		}
	})
}
