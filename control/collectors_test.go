package control

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range []message{
		{kind: messageQuery, stamp: 12345, homeCell: 269, cellSpan: 5},
		{kind: messageUpdate, stamp: 7, reports: []serverReport{
			{shortID: 99, utilization: 0.5, streams: 12, delayed: true, rateChange: -40, streamChange: -1}}},
		{kind: messageReply, stamp: 8, reports: []serverReport{
			{shortID: 1, utilization: -1, streams: -1}, {shortID: 2, utilization: 1.25, streams: 3}}},
	} {
		if got, ok := decodeMessage(encodeMessage(m)); !ok || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v was decoded as %+v %v", m, got, ok)
		}
	}
}

// TestCollectorQueries checks that a collector replies with what other fronts reported to it, and that the querying
// front chooses by the reply, ignores invalid messages, and does not wait longer than necessary.
func TestCollectorQueries(t *testing.T) {
	settings := testSettings()
	settings.AllowPeerMessages, settings.Fronts, settings.Position = true, 2, 1 // front 0 is the collector of cells 0 to 5
	querier := startFront(t, settings)
	settings.Position = 0
	collector := startFront(t, settings)
	stamp := 5
	update := func(i int, utilization float64) string {
		stamp++
		return encodeMessage(message{kind: messageUpdate, stamp: stamp,
			reports: []serverReport{{shortID: shortIDOf(fmt.Sprint("s", i)), utilization: utilization, streams: 3}}})
	}
	for i, utilization := range []float64{.8, .8, .8, .2, .8, .8} {
		collector.step(PeerMessage{From: 1, Data: update(i, utilization)})
	}
	query, _ := findAction[SendToPeer](querier.request("a", 0))
	reply, ok := findAction[SendToPeer](collector.step(PeerMessage{From: 1, Data: query.Data}))
	if !ok || query.Front != 0 || reply.Front != 1 {
		t.Fatalf("query %+v, reply %+v", query, reply)
	}
	for _, invalid := range []PeerMessage{{From: 0, Data: "zzzz"}, {From: 0, Data: "A" + reply.Data[1:]},
		{From: 9, Data: reply.Data}, {From: 1, Data: reply.Data}, {From: 0, Data: reply.Data[:len(reply.Data)-1]},
		{From: -1, Data: reply.Data}, {From: 0}} {
		if out := querier.step(invalid); len(out) > 0 {
			t.Errorf("invalid message %+v led to actions %v", invalid, out)
		}
	}
	if got := querier.sentTo(querier.step(PeerMessage{From: 0, Data: reply.Data})); got != "s3" {
		t.Errorf("sent to %q, the collector reported s3 as the least loaded", got)
	}
	querier.step(PeerMessage{From: 0, Data: encodeMessage(message{kind: messageReply, stamp: 1,
		reports: []serverReport{{shortID: shortIDOf("s1"), utilization: 0, streams: 0}}})})
	querier.step(SessionStarted{ID: "a", Server: "s3"})
	if querier.c.serversByID["s1"].othersUtilization < .5 {
		t.Error("a message with an old stamp was applied")
	}
	for i := range maxUnansweredQueries { // without replies the wait ends by the timer, and then no request waits
		id := fmt.Sprint("b", i)
		if querier.sentTo(querier.request(id, 0)) != "" {
			t.Fatal("the request did not wait for the collector")
		}
		if querier.sentTo(querier.step(TimerFired{"look " + id})) == "" {
			t.Error("the request was not placed after the reply timeout")
		}
	}
	if querier.sentTo(querier.request("c", 0)) == "" {
		t.Error("a request waits although recent queries remained unanswered")
	}
	querier.c.unansweredQueries = 0
	if out := querier.step(Request{ID: "late", CellSpan: 6, BestRung: 2,
		GiveUpAt: querier.now + 50*ms}); querier.sentTo(out) == "" {
		t.Error("the request of a viewer about to give up waits for collectors")
	}
	querier.request("gone", 0)
	querier.step(ViewerLeft{"gone"})
	if out := querier.step(TimerFired{"look gone"}); len(out) > 0 {
		t.Errorf("actions for a viewer that left during the query: %v", out)
	}
	settings.AllowPeerMessages = false
	isolated := startFront(t, settings)
	if _, sent := findAction[SendToPeer](isolated.request("a", 0)); sent {
		t.Error("a message was sent although messages between fronts are not allowed")
	}
}

// FuzzPeerMessage checks that random messages cause no panic and no action other than a message.
func FuzzPeerMessage(f *testing.F) {
	f.Add(1, "q00000a05")
	f.Add(0, "n0010abV3Wg0")
	f.Add(2, "a000")
	f.Fuzz(func(t *testing.T, from int, data string) {
		settings := testSettings()
		settings.AllowPeerMessages, settings.Fronts = true, 3
		c, _ := New(settings, 1)
		c.Step(time.Second, []Event{ListUpdate{Whole: true, Servers: []Server{{ID: "s0", State: Ready, Weight: 1}}}})
		for _, a := range c.Step(2*time.Second, []Event{PeerMessage{From: from, Data: data}}) {
			if _, ok := a.(SendToPeer); !ok {
				t.Errorf("message %q from %d led to %+v", data, from, a)
			}
		}
	})
}
