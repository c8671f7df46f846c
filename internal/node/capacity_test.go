package node

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"rainpulley/control"
	"rainpulley/internal/coordinator"
)

const (
	listedServers   = 1024
	listedProcesses = 1024

	maxIdleGoroutines = 64      // of a node without viewers, whatever the length of its server list
	maxListHeap       = 8 << 20 // bytes of heap for a list of 1,024 servers
)

// TestThousandServersAndProcesses loads a list of 1,024 servers in a deployment of 1,024 processes at the start, as a
// whole list, as changes and by a reload. The list must not add goroutines, and only little memory.
func TestThousandServersAndProcesses(t *testing.T) {
	b := newBox(t, "s-0", answerReady)
	list := []coordinator.Entry{b.entry("up")} // alone in its cell; the other addresses are not listened on
	for i := range listedServers - 1 {
		list = append(list, coordinator.Entry{ID: fmt.Sprintf("s-%d", i+1), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "east",
			Kind: "std", State: "up", Weight: 10, Cell: 1 + i%3})
	}
	settings := strings.NewReplacer(`"groupSize":1,`, fmt.Sprintf(`"groupSize":%d,"position":%d,`, listedProcesses, listedProcesses-1),
		`"linksKb":100000`, `"linksKb":100000000`, `"rackLinkKb":100000`, `"rackLinkKb":100000000`, `"weightKb":1000`, `"weightKb":1000000`, `"kindStreams":[50]`, `"kindStreams":[100000]`).Replace(defaultSettings)
	if !strings.Contains(settings, fmt.Sprint(`"groupSize":`, listedProcesses)) || !strings.Contains(settings, `"linksKb":100000000`) {
		t.Fatal("the settings were not changed as intended")
	}
	goroutines, heap, begun := runtime.NumGoroutine(), heapInUse(), time.Now()
	n := startNodeWithSettings(t, 256, settings, func(*Node) {}, list)
	v := n.dial().send(optionsRequest)
	v.wantAnswer("", 200)
	ready := time.Since(begun)
	t.Logf("ready after %v, %d goroutines more, %d kB of heap more", ready, runtime.NumGoroutine()-goroutines,
		(heapInUse()-heap)>>10)
	if more := runtime.NumGoroutine() - goroutines; more > maxIdleGoroutines {
		t.Errorf("%d more goroutines", more)
	}
	if more := heapInUse() - heap; more > maxListHeap {
		t.Errorf("%d more bytes of heap", more)
	}
	n.wantServedBy(v, b, idA)

	changed := make([]coordinator.Entry, 0, listedServers-1)
	for _, e := range list[1:] {
		e.State = "draining"
		changed = append(changed, e)
	}
	n.coordinator.push(changed...) // one update of 1,023 servers
	eventually(t, "the changes", func() bool { return n.drainingCount() == listedServers-1 })
	for _, e := range changed[:100] { // and one hundred single updates
		e.State = "removed"
		n.coordinator.push(e)
	}
	eventually(t, "the single changes", func() bool { return n.drainingCount() == listedServers-101 })
	n.wantServedBy(v, b, idB)

	whole := coordinator.Update{Endpoints: &coordinator.Endpoints{Full: true, Servers: list}}
	n.writeConfig(n.ConfigPath, n.coordinator, 256, coordinator.Updates{Index: n.coordinator.lastIndex() + 1,
		Updates: []coordinator.Update{whole}})
	_ = syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
	eventually(t, "the reload", func() bool { return n.drainingCount() == 0 })
	n.wantServedBy(v, b, idC)
	n.wantSessionCount(3)
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// drainingCount returns the number of listed servers that are draining.
func (r *testNode) drainingCount() (count int) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	for _, s := range r.pool.servers {
		if s.state == control.Draining {
			count++
		}
	}
	return count
}

// wantServedBy sets up a session of a title that only one server has and checks that this server gets the set-up.
func (r *testNode) wantServedBy(v *viewerClient, b *box, id string) {
	r.t.Helper()
	v.send(strings.Replace(setUpRequest(id, "free", ""), "copies:4", "copies:1", 1)).wantAnswer(id, 200)
	if m := b.next(r.t, "open"); m.ID != id {
		r.t.Errorf("%+v", m.Message)
	}
}
