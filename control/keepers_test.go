package control

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestMessages(t *testing.T) {
	for _, m := range []message{
		{kind: messageQuestion, stamp: 12345, home: 269, span: 5},
		{kind: messageNews, stamp: 7, about: []about{{mark: 99, full: 0.5, streams: 12, late: true, rate: -40, places: -1}}},
		{kind: messageAnswer, stamp: 8, about: []about{{mark: 1, full: -1, streams: -1}, {mark: 2, full: 1.25, streams: 3}}},
	} {
		if got, ok := decode(encode(m)); !ok || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v came back as %+v %v", m, got, ok)
		}
	}
}

// A keeper answers with what others told it; the asker chooses by it, and waits no longer than it must.
func TestKeepers(t *testing.T) {
	set := settings()
	set.Peers, set.Fronts, set.Position = true, 2, 1 // cells 0 to 5 are kept by front 0
	asker := start(t, set)
	set.Position = 0
	keeper := start(t, set)
	stamp := 5
	news := func(i int, full float64) string {
		stamp++
		return encode(message{kind: messageNews, stamp: stamp,
			about: []about{{mark: markOf(fmt.Sprint("s", i)), full: full, streams: 3}}})
	}
	for i, full := range []float64{.8, .8, .8, .2, .8, .8} {
		keeper.step(PeerMessage{From: 1, Data: news(i, full)})
	}
	q, _ := find[Tell](asker.ask("a", 0))
	a, ok := find[Tell](keeper.step(PeerMessage{From: 1, Data: q.Data}))
	if !ok || q.To != 0 || a.To != 1 {
		t.Fatalf("question %+v, answer %+v", q, a)
	}
	for _, bad := range []PeerMessage{{From: 0, Data: "zzzz"}, {From: 0, Data: "A" + a.Data[1:]}, {From: 9, Data: a.Data},
		{From: 1, Data: a.Data}, {From: 0, Data: a.Data[:len(a.Data)-1]}, {From: -1, Data: a.Data}, {From: 0}} {
		if out := asker.step(bad); len(out) > 0 {
			t.Errorf("message %+v made the asker act: %v", bad, out)
		}
	}
	if got := asker.sent(asker.step(PeerMessage{From: 0, Data: a.Data})); got != "s3" {
		t.Errorf("sent to %q, the keeper told of s3 as the least loaded", got)
	}
	asker.step(PeerMessage{From: 0, Data: encode(message{kind: messageAnswer, stamp: 1,
		about: []about{{mark: markOf("s1"), full: 0, streams: 0}}})})
	asker.step(Started{ID: "a", Server: "s3"})
	if asker.c.known["s1"].others < .5 {
		t.Error("an old message was taken")
	}
	for i := range giveUpAsking { // nobody answers any more: the wait ends by the timer, then there is none
		id := fmt.Sprint("b", i)
		if asker.sent(asker.ask(id, 0)) != "" {
			t.Fatal("did not wait for the keeper")
		}
		if asker.sent(asker.step(TimerFired{"look " + id})) == "" {
			t.Error("not placed when no answer came")
		}
	}
	if asker.sent(asker.ask("c", 0)) == "" {
		t.Error("waits for keepers that are silent")
	}
	asker.c.unanswered = 0
	if out := asker.step(Request{ID: "late", Span: 6, Best: 2, Due: asker.now + 50*ms}); asker.sent(out) == "" {
		t.Error("a viewer about to give up is made to wait for keepers")
	}
	asker.ask("gone", 0)
	asker.step(Left{"gone"})
	if out := asker.step(TimerFired{"look gone"}); len(out) > 0 {
		t.Errorf("acts for a viewer that left while a keeper was asked: %v", out)
	}
	set.Peers = false
	quiet := start(t, set)
	if _, told := find[Tell](quiet.ask("a", 0)); told {
		t.Error("message where none is allowed")
	}
}

// Random messages neither panic nor place anything.
func FuzzPeerMessage(f *testing.F) {
	f.Add(1, "q00000a05")
	f.Add(0, "n0010abV3Wg0")
	f.Add(2, "a000")
	f.Fuzz(func(t *testing.T, from int, data string) {
		set := settings()
		set.Peers, set.Fronts = true, 3
		c, _ := New(set, 1)
		c.Step(time.Second, []Event{ListUpdate{Whole: true, Servers: []Server{{ID: "s0", State: Ready, Weight: 1}}}})
		for _, a := range c.Step(2*time.Second, []Event{PeerMessage{From: from, Data: data}}) {
			if _, ok := a.(Tell); !ok {
				t.Errorf("message %q from %d led to %+v", data, from, a)
			}
		}
	})
}
