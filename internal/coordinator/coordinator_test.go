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

// scripted answers each poll with the next script; the polls' targets come back.
func scripted(t *testing.T, script ...func(net.Conn)) (addr string, polls chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	polls = make(chan string, 100)
	over := make(chan struct{})
	go func() {
		defer close(over)
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
	t.Cleanup(func() { _ = l.Close(); <-over })
	return l.Addr().String(), polls
}

func answer(body string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func list(index int64, ids ...string) string {
	var all []string
	for _, id := range ids {
		all = append(all, fmt.Sprintf(`{"new":1,"endpoints":{"full":false,"servers":[{"id":%q,"state":"up"}]}}`, id))
	}
	return fmt.Sprintf(`{"index":%d,"updates":[%s]}`, index, strings.Join(all, ","))
}

// TestFollow: whatever breaks, each event is taken once and in order, and polls resume at the last one held.
func TestFollow(t *testing.T) {
	half := func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n%s", list(4, "c")[:30])
	}
	status := func(c net.Conn) { _, _ = fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }
	addr, polls := scripted(t, answer(list(2, "a")), half, status, answer("noise"), answer(`{"index":"x"}`), func(net.Conn) {}, answer(list(1, "old")),
		answer(list(3, "a", "b")), func(c net.Conn) { time.Sleep(pollWait + 2*pollGrace) }, answer(list(4, "refused")), answer(list(5, "c", "d")))
	took := make(chan string, 100)
	refuse := true
	f := New(addr, 1, time.Second, slog.New(slog.DiscardHandler), func(u []Update) error {
		for _, x := range u {
			if id := x.Endpoints.Servers[0].ID; id == "refused" && refuse {
				refuse = false
				return fmt.Errorf("unreadable")
			} else {
				took <- id
			}
		}
		return nil
	})
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { f.Run(ctx); close(over) }()
	got := ""
	for len(got) < 4 {
		select {
		case id := <-took:
			got += id
		case <-time.After(20 * time.Second):
			t.Fatalf("took %q", got)
		}
	}
	stop()
	<-over
	if got != "abcd" {
		t.Errorf("took %q", got)
	}
	want := []int{1, 2, 2, 2, 2, 2, 2, 2, 3, 3, 3}
	for i, n := range want {
		if p := <-polls; !strings.HasPrefix(p, fmt.Sprintf("/v2/stream?follow=%d&wait_ms=", n)) {
			t.Errorf("poll %d: %s, want follow=%d", i, p, n)
		}
	}
}

// TestMove: a new address is asked at once, though the old one keeps its poll.
func TestMove(t *testing.T) {
	hold := make(chan struct{})
	old, polls := scripted(t, func(net.Conn) { <-hold })
	defer close(hold)
	next, asked := scripted(t, answer(list(8, "a")))
	took := make(chan string, 10)
	f := New(old, 7, time.Second, slog.New(slog.DiscardHandler), func(u []Update) error { took <- u[0].Endpoints.Servers[0].ID; return nil })
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { f.Run(ctx); close(over) }()
	<-polls
	f.SwitchAddress(next, Updates{})
	if p := <-asked; !strings.Contains(p, "follow=7&") {
		t.Error(p)
	}
	if id := <-took; id != "a" {
		t.Error(id)
	}
	stop()
	<-over
}
