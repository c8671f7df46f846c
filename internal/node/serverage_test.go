package node

import (
	"fmt"
	"testing"
	"time"

	"rainpulley/control"
	"rainpulley/internal/coordinator"
)

// clockOffsets are offsets of this node's wall clock from the coordinator's.
var clockOffsets = []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour}

// serverAge returns how long ago a server started according to the node, if known.
func (r *testNode) serverAge(id string) (age time.Duration, known bool) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	s := r.pool.servers[id]
	if s == nil || s.started == 0 {
		return 0, false
	}
	return r.now() - s.started, true
}

// entryStartedAgo returns a list entry for a server that started a given time ago by the coordinator's clock.
func (b *box) entryStartedAgo(ago time.Duration) coordinator.Entry {
	e := b.entry("up")
	e.StartedMs = time.Now().Add(-ago).UnixMilli()
	return e
}

// TestServerAgeIgnoresClockOffset checks that the age of a newly listed server does not depend on this node's wall
// clock. The server counts as just started even if, by this node's clock, it started an hour ago or will start in an
// hour. Its age then grows with time, and a later list entry for it does not reset the age.
func TestServerAgeIgnoresClockOffset(t *testing.T) {
	for _, offset := range clockOffsets {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			t.Parallel()
			old, fresh := newBox(t, "s-1", answerReady), newBox(t, "s-2", answerReady)
			n := startModifiedNode(t, func(n *Node) { n.startUnixTime += offset }, old)
			entry := fresh.entryStartedAgo(200 * time.Millisecond)
			n.coordinator.push(entry)
			var age time.Duration
			eventually(t, "the server listed", func() bool { var known bool; age, known = n.serverAge("s-2"); return known })
			if age < 0 || age > 1500*time.Millisecond {
				t.Errorf("age %v of a server just listed", age)
			}
			entry.State = "draining"
			n.coordinator.push(entry)
			eventually(t, "the server draining", func() bool {
				n.pool.mu.Lock()
				defer n.pool.mu.Unlock()
				return n.pool.servers["s-2"].state == control.Draining
			})
			later, _ := n.serverAge("s-2")
			if later < age || later > age+2*time.Second {
				t.Errorf("age %v, then %v", age, later)
			}
		})
	}
}

// TestKnownServerAgesIgnoreClockOffset checks the ages of servers in the list that a node has at its start, for any
// clock offset: differences in age are kept, and the server that started last counts as just started.
func TestKnownServerAgesIgnoreClockOffset(t *testing.T) {
	for _, offset := range clockOffsets {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			t.Parallel()
			a, b := newBox(t, "s-1", answerReady), newBox(t, "s-2", answerReady)
			n := startNodeWithList(t, 256, func(n *Node) { n.startUnixTime += offset },
				[]coordinator.Entry{a.entryStartedAgo(time.Minute), b.entryStartedAgo(100 * time.Millisecond)})
			firstAge, _ := n.serverAge("s-1")
			lastAge, _ := n.serverAge("s-2")
			if lastAge < 0 || lastAge > time.Second {
				t.Errorf("age %v of the server that started last", lastAge)
			}
			if gap := firstAge - lastAge; gap < 59*time.Second || gap > 61*time.Second {
				t.Errorf("age difference %v between the first and the last server, want about 1m", gap)
			}
		})
	}
}
