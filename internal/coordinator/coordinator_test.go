package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startScriptedServer starts a server that handles each poll with the next function of the script. It returns the
// address and the request targets of the polls.
func startScriptedServer(t *testing.T, script ...func(net.Conn)) (addr string, polls chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	polls = make(chan string, 100)
	done := make(chan struct{})
	go func() {
		defer close(done)
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
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String(), polls
}

// respondWith returns a script step that sends a response with the body.
func respondWith(body string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// updatesJSON returns a response body with one event per server, of which the last has the number index.
func updatesJSON(index int64, ids ...string) string {
	var updates []string
	for _, id := range ids {
		updates = append(updates,
			fmt.Sprintf(`{"new":1,"endpoints":{"full":false,"servers":[{"id":%q,"state":"up"}]}}`, id))
	}
	return fmt.Sprintf(`{"index":%d,"updates":[%s]}`, index, strings.Join(updates, ","))
}

// TestEventsAppliedOnceInOrder checks that, after any failure of a poll or of Apply, each event is applied once and in
// order, and that polls resume after the last event applied.
func TestEventsAppliedOnceInOrder(t *testing.T) {
	truncated := func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n%s", updatesJSON(4, "c")[:30])
	}
	unavailable := func(c net.Conn) { _, _ = fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }
	addr, polls := startScriptedServer(t, respondWith(updatesJSON(2, "a")), truncated, unavailable,
		respondWith("noise"), respondWith(`{"index":"x"}`), func(net.Conn) {}, respondWith(updatesJSON(1, "old")),
		respondWith(updatesJSON(3, "a", "b")), func(c net.Conn) { time.Sleep(pollWait + 2*pollGrace) },
		respondWith(updatesJSON(4, "refused")), respondWith(updatesJSON(5, "c", "d")))
	applied := make(chan string, 100)
	failNext := true
	f := New(addr, 1, slog.New(slog.DiscardHandler), func(u []Update) error {
		for _, x := range u {
			if id := x.Endpoints.Servers[0].ID; id == "refused" && failNext {
				failNext = false
				return fmt.Errorf("unreadable")
			} else {
				applied <- id
			}
		}
		return nil
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	got := ""
	for len(got) < 4 {
		select {
		case id := <-applied:
			got += id
		case <-time.After(20 * time.Second):
			t.Fatalf("applied %q, want \"abcd\"", got)
		}
	}
	stop()
	<-done
	if got != "abcd" {
		t.Errorf("applied %q, want \"abcd\"", got)
	}
	want := []int{1, 2, 2, 2, 2, 2, 2, 2, 3, 3, 3}
	for i, n := range want {
		if p := <-polls; !strings.HasPrefix(p, fmt.Sprintf("/v2/stream?follow=%d&wait_ms=", n)) {
			t.Errorf("poll %d: %s, want follow=%d", i, p, n)
		}
	}
}

// TestSwitchAddress checks that a new address is polled at once although the old one has not responded to its poll.
func TestSwitchAddress(t *testing.T) {
	release := make(chan struct{})
	old, polls := startScriptedServer(t, func(net.Conn) { <-release })
	defer close(release)
	next, nextPolls := startScriptedServer(t, respondWith(updatesJSON(8, "a")))
	applied := make(chan string, 10)
	f := New(old, 7, slog.New(slog.DiscardHandler), func(u []Update) error {
		applied <- u[0].Endpoints.Servers[0].ID
		return nil
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	<-polls
	f.SwitchAddress(next, Updates{})
	if p := <-nextPolls; !strings.Contains(p, "follow=7&") {
		t.Error(p)
	}
	if id := <-applied; id != "a" {
		t.Error(id)
	}
	stop()
	<-done
}
