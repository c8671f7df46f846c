package node

import (
	"context"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"rainpulley/control"
	"rainpulley/internal/coordinator"
	"rainpulley/internal/core"
)

// TestDrainCrossesSetUp: a drain told while the connection comes up sends the set-up elsewhere; told after the first
// byte it changes nothing.
func TestDrainBeforeSetUpIsSent(t *testing.T) {
	a, b, g := newBox(t, "s-1", ready), newBox(t, "s-2", ready), newGate()
	n := startGated(t, func(n *Node) {
		n.beforeAdmission = func(id string) {
			if id == idA {
				g.pass(id)
			}
		}
	}, a, b)
	v := n.dial().say(setUp(idA, "paid", ""))
	g.wait(t)
	drained, other := a, b
	n.pool.mu.Lock()
	if len(n.pool.servers["s-2"].conns) > 0 {
		drained, other = b, a
	}
	n.pool.mu.Unlock()
	n.feed.push(drained.entry("draining"))
	eventually(t, "told", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return n.pool.servers[drained.id].state == control.Draining
	})
	close(g.open)
	v.want(idA, 200)
	if m := other.next(t, "open"); m.ID != idA || len(drained.heard) > 0 {
		t.Errorf("%+v; the drained server heard %d lines", m.Message, len(drained.heard))
	}
	n.agree(1)
}

// TestWholeListCrossesSetUp: a whole list that leaves a server out is a drain of it too.
func TestFullListRemovesServer(t *testing.T) {
	a, b := newBox(t, "s-1", nil), newBox(t, "s-2", ready)
	n := startNode(t, a)
	n.feed.mu.Lock()
	n.feed.all = append(n.feed.all, coordinator.Update{Endpoints: &coordinator.Endpoints{Full: true, Servers: []coordinator.Entry{b.entry("up")}}})
	n.feed.index++
	close(n.feed.more)
	n.feed.more = make(chan struct{})
	n.feed.mu.Unlock()
	eventually(t, "told", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return n.pool.servers["s-2"] != nil })
	n.dial().say(setUp(idA, "paid", "")).want(idA, 200)
	if m := b.next(t, "open"); m.ID != idA || len(a.heard) > 0 {
		t.Errorf("%+v; the one left out heard %d lines", m.Message, len(a.heard))
	}
	if r := n.pool.SetUp(context.Background(), core.Attempt{ID: idB, Server: "s-1", Listener: &session{node: n.Node}}); r.Outcome != control.NotSent {
		t.Errorf("to a server that has gone: %v", core.OutcomeName(r.Outcome))
	}
}

// TestEndCrossesAdoption: after a restart a server says a session's end, once, on a connection that was opened for
// something else, ahead of the viewer who names the session; behind it is the usual order.
func TestSessionEndBeforeAdoption(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	n.openIdleConn(b)
	eventually(t, "accepted", func() bool { return b.accepted() == 1 })
	b.mu.Lock()
	on := b.conns[0]
	b.mu.Unlock()
	on.say(`{"msg":"close","sid":%q,"code":16}`, idA)
	eventually(t, "the end heard", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return len(n.pool.servers["s-1"].earlyEnds) == 1
	})
	v := n.dial().say(setUp(idA, "free", ";at:s-1"))
	v.wantRelease(idA, "cause=16")
	v.say(setUp(idB, "free", ";at:s-1"))
	n.agree(1)
	on.say(`{"msg":"close","sid":%q,"code":41}`, idB)
	v.wantRelease(idB, "cause=41")
	n.agree(0)
}

// TestAdoptedAtUnknownServer: a session at a server that no list names is ended in time; one whose server is listed a
// moment later plays on.
func TestAdoptionAtUnlistedServer(t *testing.T) {
	n := startNode(t, newBox(t, "s-1", nil))
	v := n.dial().say(setUp(idA, "free", ";at:s-9"))
	v.wantRelease(idA, "cause=41")
	n.agree(0)
	late := newBox(t, "s-8", nil)
	n.pool.mu.Lock() // the detector waits until the list is there
	v.say(setUp(idB, "free", ";at:s-8"))
	n.feed.push(late.entry("up"))
	n.pool.mu.Unlock()
	eventually(t, "a connection", func() bool { return late.accepted() > 0 })
	v.silent()
	if n.orchestrator.Stats.Open.Load() != 1 || n.findSession(idB) == nil {
		t.Error("the session at the server that was listed late is gone")
	}
}

// TestList: a drained server gets nothing new, one that takes over the address of another is another.
func TestServerListUpdates(t *testing.T) {
	a, b := newBox(t, "s-1", ready), newBox(t, "s-2", ready)
	n := startNode(t, a)
	v := n.dial().say(setUp(idA, "free", ""))
	v.want(idA, 200)
	n.feed.push(a.entry("draining"), b.entry("up"))
	a.next(t, "open")
	eventually(t, "told", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return n.pool.servers["s-2"] != nil })
	v.say(setUp(idB, "paid", "")).want(idB, 200)
	if m := b.next(t, "open"); m.ID != idB {
		t.Errorf("%+v", m.Message)
	}
	heir := a.entry("up")
	heir.ID = "s-3"
	n.feed.push(coordinator.Entry{ID: "s-1", State: "removed"}, heir)
	v.wantRelease(idA, "cause=41")
	n.agree(1)
	n.feed.push(coordinator.Entry{ID: "s-4", State: "strange"}) // unreadable: the list stays
	v.say(setUp(idC, "free", "")).want(idC, 200)
}

// TestUnusableEntry: an entry that cannot be used is left out alone; a drain beside it is followed, and so is what comes
// after.
func TestUnusableListEntryIsSkipped(t *testing.T) {
	a, b := newBox(t, "s-1", ready), newBox(t, "s-2", ready)
	n := startNode(t, a)
	nowhere := b.entry("up")
	nowhere.ID, nowhere.Addr = "s-5", "nowhere"
	n.feed.push(coordinator.Entry{ID: "s-4", State: "strange"}, a.entry("draining"), coordinator.Entry{State: "up"}, nowhere, b.entry("up"))
	eventually(t, "told", func() bool { n.pool.mu.Lock(); defer n.pool.mu.Unlock(); return n.pool.servers["s-2"] != nil })
	v := n.dial().say(setUp(idA, "paid", "")).want(idA, 200)
	if v.Status != 200 || b.next(t, "open").ID != idA || len(a.heard) > 0 {
		t.Error("the drain beside an entry that cannot be used was not followed")
	}
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	if len(n.pool.servers) != 2 {
		t.Errorf("%d servers", len(n.pool.servers))
	}
}

// TestReload: at SIGHUP the new coordinator is followed from the same number; an unreadable file changes nothing.
func TestReloadSwitchesCoordinator(t *testing.T) {
	n := startNode(t, newBox(t, "s-1", ready))
	other := newFeed(t, n.feed.all)
	v := n.dial().say(setUp(idA, "free", ""))
	v.want(idA, 200) // it serves, so it hears signals
	_ = os.WriteFile(n.ConfigPath, []byte("{"), 0o600)
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	n.write(n.ConfigPath, other, 256, coordinator.Updates{Index: 1, Updates: n.feed.all})
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	select {
	case q := <-other.polls:
		if !strings.HasPrefix(q, "follow=1&") {
			t.Error(q)
		}
	case <-time.After(testFor):
		t.Fatal("not followed")
	}
	v.say(setUp(idB, "free", "")).want(idB, 200)
	n.agree(2)
}
