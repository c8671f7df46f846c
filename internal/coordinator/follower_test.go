package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// startFollower starts a follower that continues after the event lastIndex. It returns the follower and one text for
// each call of Apply, which lists the merged entries.
func startFollower(t *testing.T, addr string, lastIndex int64) (f *Follower, applied chan string) {
	applied = make(chan string, 100)
	f = New(addr, lastIndex, slog.New(slog.DiscardHandler), func(u []Update) error {
		entries, full := Merge(u)
		ids := []string{fmt.Sprintf("full=%v", full)}
		for _, e := range entries {
			ids = append(ids, e.ID+":"+e.State)
		}
		applied <- strings.Join(ids, " ")
		return nil
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return f, applied
}

// receive returns the next value of c and fails the test if none arrives in time.
func receive[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("timed out waiting for " + what)
	}
	return v
}

// TestSwitchAddressDuringResponse changes the address while the body of a response from the old one is being read. That
// response must not be applied, and the new address must be polled from the last event applied; events that the old
// address had delivered before remain.
func TestSwitchAddressDuringResponse(t *testing.T) {
	halfSent, sendRest := make(chan struct{}), make(chan struct{})
	late := updatesJSON(9, "late")
	old, polls := startScriptedServer(t, respondWith(updatesJSON(8, "early")), func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(late), late[:20])
		close(halfSent)
		<-sendRest
		_, _ = c.Write([]byte(late[20:]))
	})
	next, newPolls := startScriptedServer(t, respondWith(updatesJSON(9, "new")))
	f, applied := startFollower(t, old, 7)
	if got := receive(t, "the first applied response", applied); got != "full=false early:up" {
		t.Error(got)
	}
	receive(t, "the first poll", polls)
	receive(t, "the first half of a response", halfSent)
	f.SwitchAddress(next, Updates{})
	close(sendRest)
	if got := receive(t, "a poll of the new address", newPolls); !strings.Contains(got, "follow=8&") {
		t.Error(got)
	}
	if got := receive(t, "the response of the new address", applied); got != "full=false new:up" {
		t.Errorf("applied %q", got)
	}
}

// TestSwitchAddressBeforeApply changes the address when a response of the old one has been read completely and is about
// to be applied. At that point the poll no longer checks its context, so the response must be discarded because
// of its address.
func TestSwitchAddressBeforeApply(t *testing.T) {
	respond, responseRead := make(chan struct{}), make(chan struct{})
	old, polls := startScriptedServer(t, func(c net.Conn) {
		<-respond
		respondWith(updatesJSON(8, "late"))(c)
		_, _ = c.Read(make([]byte, 1)) // the follower closes the connection after reading the response
		close(responseRead)
	})
	next, _ := startScriptedServer(t, respondWith(updatesJSON(8, "new")))
	f, applied := startFollower(t, old, 7)
	receive(t, "a poll", polls)
	f.mu.Lock() // delays the poll before it applies the response
	close(respond)
	receive(t, "the response to be read", responseRead)
	f.switchAddressLocked(next, Updates{})
	f.mu.Unlock()
	if got := receive(t, "an applied response", applied); got != "full=false new:up" {
		t.Errorf("applied %q, want the response of the new address", got)
	}
}

// TestSwitchAddressAppliesKnownEvents checks that events delivered with a new address are applied at once, and only the
// new ones among them.
func TestSwitchAddressAppliesKnownEvents(t *testing.T) {
	release := make(chan struct{})
	old, polls := startScriptedServer(t, func(net.Conn) { <-release })
	next, newPolls := startScriptedServer(t)
	defer close(release)
	f, applied := startFollower(t, old, 7)
	receive(t, "a poll", polls)
	update := func(id, state string) Update {
		return Update{Endpoints: &Endpoints{Servers: []Entry{{ID: id, State: state}}}}
	}
	f.SwitchAddress(next, Updates{Index: 8, Updates: []Update{update("a", "up"), update("a", "draining")}})
	if got := receive(t, "the events delivered with the address", applied); got != "full=false a:draining" {
		t.Error(got)
	}
	if got := receive(t, "a poll of the new address", newPolls); !strings.Contains(got, "follow=8&") {
		t.Error(got)
	}
	// Older than the last event applied: it would undo a drain.
	f.SwitchAddress(next, Updates{Index: 6, Updates: []Update{update("a", "up")}})
	select {
	case got := <-applied:
		t.Errorf("applied %q", got)
	default:
	}
}

// TestGap checks that, after a response that leaves out events, all events from the first are requested once. The
// events present in the response are applied immediately, since they may contain a drain, and no drained server becomes
// available in between.
func TestGap(t *testing.T) {
	history := `{"index":9,"updates":[{"endpoints":{"full":true,"servers":[{"id":"a","state":"up"},{"id":"b","state":"up"}]}},` +
		`{"endpoints":{"servers":[{"id":"b","state":"draining"}]}},{"endpoints":{"servers":[{"id":"a","state":"removed"}]}}]}`
	addr, polls := startScriptedServer(t,
		respondWith(`{"index":9,"updates":[{"endpoints":{"servers":[{"id":"a","state":"removed"}]}}]}`),
		respondWith(history),
		respondWith(`{"index":12,"updates":[{"endpoints":{"servers":[{"id":"c","state":"up"}]}}]}`),
		respondWith(`{"index":12,"updates":[]}`), respondWith(updatesJSON(13, "d")))
	_, applied := startFollower(t, addr, 7)
	var got, requested []string
	for range 4 {
		got = append(got, receive(t, "an applied response", applied))
	}
	for range 5 {
		target := receive(t, "a poll", polls)
		requested = append(requested, target[strings.Index(target, "follow="):strings.Index(target, "&")])
	}
	want := []string{"full=false a:removed", "full=true a:removed b:draining", "full=false c:up", "full=false d:up"}
	if !slices.Equal(got, want) {
		t.Errorf("applied %q", got)
	}
	if want := []string{"follow=7", "follow=0", "follow=9", "follow=0", "follow=12"}; !slices.Equal(requested, want) {
		t.Errorf("requested %q", requested)
	}
}

// TestStalledResponse checks that a poll whose response stalls before its head, within its head or within its body is
// cancelled in bounded time, and that the next poll resumes after the last event applied.
func TestStalledResponse(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	sendAndStall := func(text string) func(net.Conn) {
		return func(c net.Conn) { _, _ = c.Write([]byte(text)); go func() { <-release; _ = c.Close() }() }
	}
	body := updatesJSON(8, "a")
	for name, text := range map[string]string{
		"before the head": "", "within the head": "HTTP/1.1 200 OK\r\nContent-Le",
		"within the body":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)-5]),
		"after the events": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)-2]),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, polls := startStallingServer(t, []func(net.Conn){respondWith(updatesJSON(8, "before"))},
				sendAndStall(text), respondWith(updatesJSON(9, "after")))
			_, applied := startFollower(t, addr, 7)
			if got := receive(t, "the first applied response", applied); got != "full=false before:up" {
				t.Error(got)
			}
			receive(t, "the first poll", polls)
			receive(t, "the poll that stalls", polls)
			started := time.Now()
			if got := receive(t, "an applied response after the stall", applied); got != "full=false after:up" {
				t.Error(got)
			}
			if d := time.Since(started); d > pollWait+pollGrace+time.Second {
				t.Errorf("stalled poll cancelled after %v", d)
			}
			if got := receive(t, "the third poll", polls); !strings.Contains(got, "follow=8&") {
				t.Error(got)
			}
		})
	}
}

// startStallingServer is like startScriptedServer, but keeps the connection of the stalling poll open.
func startStallingServer(t *testing.T, before []func(net.Conn), stalling func(net.Conn),
	after ...func(net.Conn)) (addr string, polls chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	polls = make(chan string, 100)
	go func() {
		script := slices.Concat(before, []func(net.Conn){stalling}, after)
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b := make([]byte, 4096)
			n, _ := c.Read(b)
			target, _, _ := strings.Cut(string(b[:n]), " HTTP")
			polls <- strings.TrimPrefix(target, "GET ")
			if i < len(script) {
				script[i](c)
			}
			if i != len(before) {
				_ = c.Close()
			}
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), polls
}

// TestLargeHistory checks that a history of 1,024 servers with eight changes each, as requested after a gap, is within
// the size limit and is applied.
func TestLargeHistory(t *testing.T) {
	const servers, changes = 1024, 8
	u := Updates{Index: changes}
	for range changes {
		e := &Endpoints{Full: len(u.Updates) == 0}
		for i := range servers {
			e.Servers = append(e.Servers,
				Entry{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.1.%d.%d:3868", i/256, i%256), Zone: "middle-hall",
					Kind: "four-core", State: "up", Weight: 4, StartedMs: 1_800_000_000_000})
		}
		u.Updates = append(u.Updates, Update{Endpoints: e})
	}
	history, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	if len(history) < 1<<20 {
		t.Fatalf("a history of %d bytes is too small for this test", len(history))
	}
	addr, _ := startScriptedServer(t, respondWith(string(history)))
	_, applied := startFollower(t, addr, 0)
	if got := receive(t, "the history", applied); strings.Count(got, ":up") != servers {
		t.Errorf("applied %d servers", strings.Count(got, ":up"))
	}
}
