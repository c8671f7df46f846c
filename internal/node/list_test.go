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

// TestDrainBeforeSetUpIsSent checks that a set-up is placed on another server if its server is reported as draining
// while the connection is being established. A drain reported after the first byte does not affect the set-up.
func TestDrainBeforeSetUpIsSent(t *testing.T) {
	a, b, g := newBox(t, "s-1", answerReady), newBox(t, "s-2", answerReady), newGate()
	n := startModifiedNode(t, func(n *Node) {
		n.beforeAdmission = func(id string) {
			if id == idA {
				g.pass(id)
			}
		}
	}, a, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	g.wait(t)
	drained, other := a, b
	n.pool.mu.Lock()
	if len(n.pool.servers["s-2"].conns) > 0 {
		drained, other = b, a
	}
	n.pool.mu.Unlock()
	n.coordinator.push(drained.entry("draining"))
	eventually(t, "the drain applied", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return n.pool.servers[drained.id].state == control.Draining
	})
	close(g.open)
	v.wantAnswer(idA, 200)
	if m := other.next(t, "open"); m.ID != idA || len(drained.received) > 0 {
		t.Errorf("got %+v; the draining server received %d lines, want 0", m.Message, len(drained.received))
	}
	n.wantSessionCount(1)
}

// TestFullListRemovesServer checks that a full list without a server stops set-ups to that server.
func TestFullListRemovesServer(t *testing.T) {
	a, b := newBox(t, "s-1", nil), newBox(t, "s-2", answerReady)
	n := startNode(t, a)
	n.coordinator.mu.Lock()
	n.coordinator.updates = append(n.coordinator.updates, coordinator.Update{
		Endpoints: &coordinator.Endpoints{Full: true, Servers: []coordinator.Entry{b.entry("up")}}})
	n.coordinator.index++
	close(n.coordinator.changed)
	n.coordinator.changed = make(chan struct{})
	n.coordinator.mu.Unlock()
	eventually(t, "the list applied", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return n.pool.servers["s-2"] != nil
	})
	n.dial().send(setUpRequest(idA, "paid", "")).wantAnswer(idA, 200)
	if m := b.next(t, "open"); m.ID != idA || len(a.received) > 0 {
		t.Errorf("got %+v; the removed server received %d lines, want 0", m.Message, len(a.received))
	}
	if r := n.pool.SetUp(context.Background(), core.Attempt{ID: idB, Server: "s-1",
		Listener: &session{node: n.Node}}); r.Outcome != control.NotSent {
		t.Errorf("set-up at a removed server: outcome %v, want not sent", core.OutcomeName(r.Outcome))
	}
}

// TestSessionEndBeforeAdoption checks that a session's end is passed on to the viewer even if it arrives before the
// viewer names the session. After a restart a server reports the end only once, on whichever connection is opened
// first. The end of a session that was adopted before is covered too.
func TestSessionEndBeforeAdoption(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	n.openIdleConn(b)
	eventually(t, "the connection accepted", func() bool { return b.acceptedCount() == 1 })
	b.mu.Lock()
	conn := b.conns[0]
	b.mu.Unlock()
	conn.send(`{"msg":"close","sid":%q,"code":16}`, idA)
	eventually(t, "the end of the session received", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return len(n.pool.servers["s-1"].earlyEnds) == 1
	})
	v := n.dial().send(setUpRequest(idA, "free", ";at:s-1"))
	v.wantRelease(idA, "cause=16")
	v.send(setUpRequest(idB, "free", ";at:s-1"))
	n.wantSessionCount(1)
	conn.send(`{"msg":"close","sid":%q,"code":41}`, idB)
	v.wantRelease(idB, "cause=41")
	n.wantSessionCount(0)
}

// TestAdoptionAtUnlistedServer checks that a session adopted at a server that no list names is ended, and that one
// whose server is listed shortly afterwards continues.
func TestAdoptionAtUnlistedServer(t *testing.T) {
	n := startNode(t, newBox(t, "s-1", nil))
	v := n.dial().send(setUpRequest(idA, "free", ";at:s-9"))
	v.wantRelease(idA, "cause=41")
	n.wantSessionCount(0)
	late := newBox(t, "s-8", nil)
	n.pool.mu.Lock() // keeps the failure detector from running before the list is applied
	v.send(setUpRequest(idB, "free", ";at:s-8"))
	n.coordinator.push(late.entry("up"))
	n.pool.mu.Unlock()
	eventually(t, "a connection to the server listed late", func() bool { return late.acceptedCount() > 0 })
	v.wantNoMessage()
	if n.orchestrator.Stats.Open.Load() != 1 || n.findSession(idB) == nil {
		t.Error("the session at the server listed late has ended")
	}
}

// TestServerListUpdates checks that a draining server gets no new set-ups, that a server that takes over another's
// address is a different server, and that an unusable entry changes nothing.
func TestServerListUpdates(t *testing.T) {
	a, b := newBox(t, "s-1", answerReady), newBox(t, "s-2", answerReady)
	n := startNode(t, a)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	v.wantAnswer(idA, 200)
	n.coordinator.push(a.entry("draining"), b.entry("up"))
	a.next(t, "open")
	eventually(t, "the list applied", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return n.pool.servers["s-2"] != nil
	})
	v.send(setUpRequest(idB, "paid", "")).wantAnswer(idB, 200)
	if m := b.next(t, "open"); m.ID != idB {
		t.Errorf("got %+v, want the second set-up", m.Message)
	}
	successor := a.entry("up")
	successor.ID = "s-3"
	n.coordinator.push(coordinator.Entry{ID: "s-1", State: "removed"}, successor)
	v.wantRelease(idA, "cause=41")
	n.wantSessionCount(1)
	n.coordinator.push(coordinator.Entry{ID: "s-4", State: "strange"}) // unusable: the list stays as it is
	v.send(setUpRequest(idC, "free", "")).wantAnswer(idC, 200)
}

// TestUnusableListEntryIsSkipped checks that unusable entries are skipped and that the drain and the new server in the
// same update still take effect.
func TestUnusableListEntryIsSkipped(t *testing.T) {
	a, b := newBox(t, "s-1", answerReady), newBox(t, "s-2", answerReady)
	n := startNode(t, a)
	badAddress := b.entry("up")
	badAddress.ID, badAddress.Addr = "s-5", "nowhere"
	n.coordinator.push(coordinator.Entry{ID: "s-4", State: "strange"}, a.entry("draining"),
		coordinator.Entry{State: "up"}, badAddress, b.entry("up"))
	eventually(t, "the update applied", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return n.pool.servers["s-2"] != nil
	})
	v := n.dial().send(setUpRequest(idA, "paid", "")).wantAnswer(idA, 200)
	if v.Status != 200 || b.next(t, "open").ID != idA || len(a.received) > 0 {
		t.Error("the drain in an update with unusable entries was not applied")
	}
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	if len(n.pool.servers) != 2 {
		t.Errorf("%d servers, want 2", len(n.pool.servers))
	}
}

// TestReloadSwitchesCoordinator checks that SIGHUP makes the node follow the new coordinator from the same index, and
// that an unreadable file changes nothing.
func TestReloadSwitchesCoordinator(t *testing.T) {
	n := startNode(t, newBox(t, "s-1", answerReady))
	other := newScriptedCoordinator(t, n.coordinator.updates)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	v.wantAnswer(idA, 200) // the node serves, so its signal handler is installed
	_ = os.WriteFile(n.ConfigPath, []byte("{"), 0o600)
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	n.writeConfig(n.ConfigPath, other, 256, coordinator.Updates{Index: 1, Updates: n.coordinator.updates})
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	select {
	case query := <-other.queries:
		if !strings.HasPrefix(query, "follow=1&") {
			t.Error(query)
		}
	case <-time.After(testTimeout):
		t.Fatal("the new coordinator was not polled")
	}
	v.send(setUpRequest(idB, "free", "")).wantAnswer(idB, 200)
	n.wantSessionCount(2)
}
