package node

import (
	"fmt"
	"testing"
	"time"

	"rainpulley/control"
	"rainpulley/internal/coordinator"
)

// clockErrors are how far a machine's wall clock may be from another's.
var clockOffsets = []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour}

// ageOf is how long ago a server started, as far as the node knows.
func (r *rig) serverAge(id string) (age time.Duration, known bool) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	s := r.pool.servers[id]
	if s == nil || s.started == 0 {
		return 0, false
	}
	return r.now() - s.started, true
}

// started is a server that came into service a while ago, by the coordinator's clock.
func (b *box) entryStartedAgo(ago time.Duration) coordinator.Entry {
	e := b.entry("up")
	e.StartedMillis = time.Now().Add(-ago).UnixMilli()
	return e
}

// TestAgeWhateverClocksSay: the age of a server that is told of as new does not depend on this node's wall clock: it is
// cold when it is told of, also where this machine thinks that it started an hour ago or will start in an hour. It ages,
// and a list that names it again changes nothing.
func TestServerAgeIgnoresClockOffset(t *testing.T) {
	for _, offset := range clockOffsets {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			t.Parallel()
			old, fresh := newBox(t, "s-1", ready), newBox(t, "s-2", ready)
			n := startGated(t, func(n *Node) { n.startUnixTime += offset }, old)
			entry := fresh.entryStartedAgo(200 * time.Millisecond)
			n.feed.push(entry)
			var age time.Duration
			eventually(t, "told", func() bool { var known bool; age, known = n.serverAge("s-2"); return known })
			if age < 0 || age > 1500*time.Millisecond {
				t.Errorf("told of as %v old", age)
			}
			entry.State = "draining"
			n.feed.push(entry)
			eventually(t, "draining", func() bool {
				n.pool.mu.Lock()
				defer n.pool.mu.Unlock()
				return n.pool.servers["s-2"].state == control.Draining
			})
			again, _ := n.serverAge("s-2")
			if again < age || again > age+2*time.Second {
				t.Errorf("%v old, then %v", age, again)
			}
		})
	}
}

// TestAgeOfKnownServers: of the servers that a node is told of at its start, one that started long before another is as
// old as that at least, and the last one may have started just now, whatever the clocks say.
func TestKnownServerAgesIgnoreClockOffset(t *testing.T) {
	for _, offset := range clockOffsets {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			t.Parallel()
			a, b := newBox(t, "s-1", ready), newBox(t, "s-2", ready)
			n := startListed(t, 256, func(n *Node) { n.startUnixTime += offset }, []coordinator.Entry{a.entryStartedAgo(time.Minute), b.entryStartedAgo(100 * time.Millisecond)})
			firstAge, _ := n.serverAge("s-1")
			lastAge, _ := n.serverAge("s-2")
			if lastAge < 0 || lastAge > time.Second {
				t.Errorf("the last one is told of as %v old", lastAge)
			}
			if gap := firstAge - lastAge; gap < 59*time.Second || gap > 61*time.Second {
				t.Errorf("the first one is told of as %v older than the last", gap)
			}
		})
	}
}
