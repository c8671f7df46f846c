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

// follow starts a follower that holds the events up to a number; what it takes comes back, update by update.
func follow(t *testing.T, addr string, held int64) (f *Follower, took chan string) {
	took = make(chan string, 100)
	f = New(addr, held, time.Second, slog.New(slog.DiscardHandler), func(u []Update) error {
		entries, whole := Merge(u)
		ids := []string{fmt.Sprintf("whole=%v", whole)}
		for _, e := range entries {
			ids = append(ids, e.ID+":"+e.State)
		}
		took <- strings.Join(ids, " ")
		return nil
	})
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { f.Run(ctx); close(over) }()
	t.Cleanup(func() { stop(); <-over })
	return f, took
}

func next[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("never: " + what)
	}
	return v
}

// TestMoveCrossesAnswer: the address moves while an answer of the old one is being read, held within its body. What
// comes of it after the move is not taken; the new address is asked from the number that is held, and what the old one
// had told before stays.
func TestMoveCrossesAnswer(t *testing.T) {
	half, rest := make(chan struct{}), make(chan struct{})
	late := list(9, "late")
	old, polls := scripted(t, answer(list(8, "early")), func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(late), late[:20])
		close(half)
		<-rest
		_, _ = c.Write([]byte(late[20:]))
	})
	to, asked := scripted(t, answer(list(9, "new")))
	f, took := follow(t, old, 7)
	if got := next(t, "the first answer", took); got != "whole=false early:up" {
		t.Error(got)
	}
	next(t, "first poll", polls)
	next(t, "half an answer", half)
	f.SwitchAddress(to, Updates{})
	close(rest)
	if got := next(t, "a poll of the new address", asked); !strings.Contains(got, "follow=8&") {
		t.Error(got)
	}
	if got := next(t, "the new address's answer", took); got != "whole=false new:up" {
		t.Errorf("took %q", got)
	}
}

// TestMoveCrossesTake: the same with the whole answer read and about to be taken when the address moves: its poll does
// not look at its context any more.
func TestMoveCrossesTake(t *testing.T) {
	let, read := make(chan struct{}), make(chan struct{})
	old, polls := scripted(t, func(c net.Conn) {
		<-let
		answer(list(8, "late"))(c)
		_, _ = c.Read(make([]byte, 1)) // the follower closes when it has read all
		close(read)
	})
	to, _ := scripted(t, answer(list(8, "new")))
	f, took := follow(t, old, 7)
	next(t, "a poll", polls)
	f.mu.Lock() // whoever takes waits
	close(let)
	next(t, "the answer read", read)
	f.switchAddressLocked(to, Updates{})
	f.mu.Unlock()
	if got := next(t, "an answer taken", took); got != "whole=false new:up" {
		t.Errorf("took %q of the address that was left", got)
	}
}

// TestMoveTellsEvents: what whoever told the new address knows is taken at once, and only what is new in it.
func TestMoveTellsEvents(t *testing.T) {
	hold := make(chan struct{})
	old, polls := scripted(t, func(net.Conn) { <-hold })
	to, asked := scripted(t)
	defer close(hold)
	f, took := follow(t, old, 7)
	next(t, "a poll", polls)
	update := func(id, state string) Update {
		return Update{Endpoints: &Endpoints{Servers: []Entry{{ID: id, State: state}}}}
	}
	f.SwitchAddress(to, Updates{Index: 8, Updates: []Update{update("a", "up"), update("a", "draining")}})
	if got := next(t, "what was told", took); got != "whole=false a:draining" {
		t.Error(got)
	}
	if got := next(t, "a poll of the new address", asked); !strings.Contains(got, "follow=8&") {
		t.Error(got)
	}
	f.SwitchAddress(to, Updates{Index: 6, Updates: []Update{update("a", "up")}}) // older than what is held: it would undo a drain
	select {
	case got := <-took:
		t.Errorf("took %q", got)
	default:
	}
}

// TestGap: what an answer leaves out is asked for from the first event, once; what it has is taken meanwhile, since a
// drain may be in it, and nothing that was drained comes back in between.
func TestGap(t *testing.T) {
	all := `{"index":9,"updates":[{"endpoints":{"full":true,"servers":[{"id":"a","state":"up"},{"id":"b","state":"up"}]}},` +
		`{"endpoints":{"servers":[{"id":"b","state":"draining"}]}},{"endpoints":{"servers":[{"id":"a","state":"removed"}]}}]}`
	addr, polls := scripted(t, answer(`{"index":9,"updates":[{"endpoints":{"servers":[{"id":"a","state":"removed"}]}}]}`), answer(all),
		answer(`{"index":12,"updates":[{"endpoints":{"servers":[{"id":"c","state":"up"}]}}]}`), answer(`{"index":12,"updates":[]}`), answer(list(13, "d")))
	_, took := follow(t, addr, 7)
	var got, asked []string
	for range 4 {
		got = append(got, next(t, "an answer taken", took))
	}
	for range 5 {
		target := next(t, "a poll", polls)
		asked = append(asked, target[strings.Index(target, "follow="):strings.Index(target, "&")])
	}
	want := []string{"whole=false a:removed", "whole=true a:removed b:draining", "whole=false c:up", "whole=false d:up"}
	if !slices.Equal(got, want) {
		t.Errorf("took %q", got)
	}
	if want := []string{"follow=7", "follow=0", "follow=9", "follow=0", "follow=12"}; !slices.Equal(asked, want) {
		t.Errorf("asked %q", asked)
	}
}

// TestSilence: a poll that falls silent before its head, within it, within its body, or late after long health is given
// up in bounded time, and the next one resumes at what is held.
func TestSilence(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	part := func(text string) func(net.Conn) {
		return func(c net.Conn) { _, _ = c.Write([]byte(text)); go func() { <-hold; _ = c.Close() }() }
	}
	body := list(8, "a")
	for name, text := range map[string]string{
		"before the head": "", "within the head": "HTTP/1.1 200 OK\r\nContent-Le",
		"within the body":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)-5]),
		"at an event's end": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)-2]),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, polls := silentAfter(t, []func(net.Conn){answer(list(8, "before"))}, part(text), answer(list(9, "after")))
			_, took := follow(t, addr, 7)
			if got := next(t, "health", took); got != "whole=false before:up" {
				t.Error(got)
			}
			next(t, "first poll", polls)
			next(t, "the silent poll", polls)
			began := time.Now()
			if got := next(t, "an answer after the silence", took); got != "whole=false after:up" {
				t.Error(got)
			}
			if d := time.Since(began); d > pollWait+pollGrace+time.Second {
				t.Errorf("given up after %v", d)
			}
			if got := next(t, "third poll", polls); !strings.Contains(got, "follow=8&") {
				t.Error(got)
			}
		})
	}
}

// silentAfter is scripted, but the connection of its one silent answer stays open.
func silentAfter(t *testing.T, before []func(net.Conn), silent func(net.Conn), after ...func(net.Conn)) (addr string, polls chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	polls = make(chan string, 100)
	go func() {
		script := slices.Concat(before, []func(net.Conn){silent}, after)
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

// TestLargeHistory: a history of 1,024 servers with several changes each, as it is told after a gap, is taken.
func TestLargeHistory(t *testing.T) {
	const servers, changes = 1024, 8
	u := Updates{Index: changes}
	for range changes {
		e := &Endpoints{Full: len(u.Updates) == 0}
		for i := range servers {
			e.Servers = append(e.Servers, Entry{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.1.%d.%d:3868", i/256, i%256), Zone: "middle-hall",
				Kind: "four-core", State: "up", Weight: 4, StartedMillis: 1_800_000_000_000})
		}
		u.Updates = append(u.Updates, Update{Endpoints: e})
	}
	history, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	if len(history) < 1<<20 {
		t.Fatalf("a history of %d bytes shows nothing", len(history))
	}
	at, _ := scripted(t, answer(string(history)))
	_, took := follow(t, at, 0)
	if got := next(t, "the history", took); strings.Count(got, ":up") != servers {
		t.Errorf("%d servers", strings.Count(got, ":up"))
	}
}
