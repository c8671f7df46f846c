package starttime

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTranslationStaysBetweenContactAndReceipt checks that a start time that is first reported after a contact is
// translated to a time between that contact and its receipt, and that the translation never changes, for any skew
// between the two clocks and any step of the other clock between messages.
func TestTranslationStaysBetweenContactAndReceipt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawDuration := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		const day = 24 * time.Hour
		now, skew := 100*day, drawDuration("skew", -day, day)
		var tr Translator
		tr.RecordContact(now)
		for i := range rapid.IntRange(1, 20).Draw(t, "messages") {
			contact := now
			tr.RecordContact(contact)
			now += drawDuration("wait", 0, time.Minute)
			skew += drawDuration("step", -time.Hour, time.Hour)
			start := contact + drawDuration("start", 0, now-contact)
			id := string(rune('a' + i))
			reported := Start{ID: id, RemoteTime: start + skew}
			local := tr.Translate([]Start{reported}, now)[0]
			if local < contact || local > now {
				t.Fatalf("received at %v, last contact at %v: translated to %v", now, contact, local)
			}
			if again := tr.Translate([]Start{reported}, now+time.Second)[0]; again != local {
				t.Fatalf("first translated to %v, then to %v", local, again)
			}
		}
	})
}

// TestTranslateKeepsDistances checks that the start times of one message keep their distances and that the latest of
// them is translated to now at the latest; a start time in a later message is not translated to an earlier time.
func TestTranslateKeepsDistances(t *testing.T) {
	const now = 1000 * time.Second
	for _, skew := range []time.Duration{0, time.Hour, -800 * time.Second} {
		var tr Translator
		got := tr.Translate(
			[]Start{{"a", now - 100*time.Second + skew}, {"none", 0}, {"b", now - 10*time.Second + skew}}, now)
		if got[0] != now-90*time.Second || got[1] != 0 || got[2] != now {
			t.Errorf("clock skew %v: translated to %v", skew, got)
		}
		tr.RecordContact(now + 5*time.Second)
		if c := tr.Translate([]Start{{"c", now + 6*time.Second + skew}}, now+7*time.Second)[0]; c != now+7*time.Second {
			t.Errorf("clock skew %v: later start translated to %v", skew, c)
		}
		if again := tr.Translate([]Start{{"a", now + 100*time.Second + skew}}, now+8*time.Second)[0]; again !=
			now+8*time.Second {
			t.Errorf("clock skew %v: restarted server translated to %v", skew, again)
		}
		tr.Prune(func(id string) bool { return id == "b" })
		if len(tr.translations) != 1 {
			t.Errorf("%d translations kept, want 1", len(tr.translations))
		}
	}
}

// TestFastestMessageBoundsError checks that, with synchronized clocks, start times are exact to within the delay of the
// fastest message.
func TestFastestMessageBoundsError(t *testing.T) {
	var tr Translator
	tr.Translate([]Start{{"quick", 100 * time.Second}}, 100*time.Second+50*time.Millisecond)
	if got := tr.Translate([]Start{{"slow", 110 * time.Second}}, 113*time.Second)[0]; got !=
		110*time.Second+50*time.Millisecond {
		t.Errorf("translated to %v", got)
	}
}
