package starttime

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNeverOlderThanItIs: whatever the two clocks differ by, and however the other one is stepped between messages, a
// server that is told of after a contact is never taken for older than the time since that contact, nor for younger than
// the time since it was heard of; and a translation never changes.
func TestNeverOlderThanItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		const day = 24 * time.Hour
		now, ahead := 100*day, span("ahead", -day, day)
		var tr Translator
		tr.RecordContact(now)
		for i := range rapid.IntRange(1, 20).Draw(t, "messages") {
			contact := now
			tr.RecordContact(contact)
			now += span("wait", 0, time.Minute)
			ahead += span("step", -time.Hour, time.Hour)
			start := contact + span("start", 0, now-contact)
			id := string(rune('a' + i))
			told := Start{ID: id, RemoteTime: start + ahead}
			local := tr.Translate([]Start{told}, now)[0]
			if local < contact || local > now {
				t.Fatalf("heard at %v, contact at %v, taken for %v", now, contact, local)
			}
			if again := tr.Translate([]Start{told}, now+time.Second)[0]; again != local {
				t.Fatalf("taken for %v, then for %v", local, again)
			}
		}
	})
}

// TestStepsOfOneMessage: servers of one message keep their distances, and the last one to start has started now at the
// latest; later messages make older ones no older.
func TestStepsOfOneMessage(t *testing.T) {
	const now = 1000 * time.Second
	for _, ahead := range []time.Duration{0, time.Hour, -800 * time.Second} {
		var tr Translator
		got := tr.Translate([]Start{{"a", now - 100*time.Second + ahead}, {"none", 0}, {"b", now - 10*time.Second + ahead}}, now)
		if got[0] != now-90*time.Second || got[1] != 0 || got[2] != now {
			t.Errorf("ahead %v: %v", ahead, got)
		}
		tr.RecordContact(now + 5*time.Second)
		if c := tr.Translate([]Start{{"c", now + 6*time.Second + ahead}}, now+7*time.Second)[0]; c != now+7*time.Second {
			t.Errorf("ahead %v: a later one is taken for %v", ahead, c)
		}
		if again := tr.Translate([]Start{{"a", now + 100*time.Second + ahead}}, now+8*time.Second)[0]; again != now+8*time.Second {
			t.Errorf("ahead %v: started anew, taken for %v", ahead, again)
		}
		tr.Prune(func(id string) bool { return id == "b" })
		if len(tr.translations) != 1 {
			t.Errorf("%d starts kept", len(tr.translations))
		}
	}
}

// TestKnownStep: where clocks are in step and starts are told at once, ages are right to within the quickest message.
func TestKnownStep(t *testing.T) {
	var tr Translator
	tr.Translate([]Start{{"quick", 100 * time.Second}}, 100*time.Second+50*time.Millisecond)
	if got := tr.Translate([]Start{{"slow", 110 * time.Second}}, 113*time.Second)[0]; got != 110*time.Second+50*time.Millisecond {
		t.Errorf("taken for %v", got)
	}
}
