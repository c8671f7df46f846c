package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
	"rainpulley/internal/jsonlines"
)

// said is one line that a scripted server heard.
type said struct {
	*jsonlines.Message
	on *peer
}

// peer is one connection at a scripted server.
type peer struct {
	net.Conn
	mu sync.Mutex
}

func (p *peer) say(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p, format+"\n", a...)
}

// box is a scripted server: what it hears goes to answer, and to heard.
type box struct {
	id     string
	l      net.Listener
	heard  chan said
	answer func(said)

	mu    sync.Mutex
	greet func(*peer) // called for each connection that comes, ahead of all else
	conns []*peer
}

func newBox(t *testing.T, id string, answer func(said)) *box {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &box{id: id, l: l, heard: make(chan said, 1000), answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := &peer{Conn: c}
			b.mu.Lock()
			b.conns = append(b.conns, p)
			greet := b.greet
			b.mu.Unlock()
			if greet != nil {
				greet(p)
			}
			go b.read(p)
		}
	}()
	t.Cleanup(b.die)
	return b
}

func (b *box) read(p *peer) {
	defer p.Close()
	r := bufio.NewReaderSize(p, jsonlines.MaxLineBytes)
	for {
		m, err := jsonlines.Read(r)
		if err != nil {
			return
		}
		if b.answer != nil {
			b.answer(said{m, p})
		}
		b.heard <- said{m, p}
	}
}

// greetWith has a function called for each connection that comes from now on.
func (b *box) greetWith(greet func(*peer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.greet = greet
}

// die ends the process: its connections reset, nobody listens.
func (b *box) die() {
	_ = b.l.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.conns {
		_ = p.Close()
	}
}

// accepted is how many connections came so far.
func (b *box) accepted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

func (b *box) next(t *testing.T, kind string) said {
	t.Helper()
	over := time.After(testFor)
	for {
		select {
		case m := <-b.heard:
			if m.Type == kind {
				return m
			}
		case <-over:
			t.Fatalf("%s did not hear %q", b.id, kind)
		}
	}
}

func (b *box) entry(state string) coordinator.Entry {
	return coordinator.Entry{ID: b.id, Addr: b.l.Addr().String(), Zone: "east", Kind: "std", State: state, Weight: 10}
}

// ready answers every set-up with a description of its own.
func ready(m said) {
	if m.Type == jsonlines.TypeOpen {
		m.on.say(`{"msg":"ready","sid":%q,"attrs":{},"text":"for %s\r\n\"x\""}`, m.ID, m.ID)
	}
}

// feed is a scripted coordinator.
type feed struct {
	*httptest.Server
	mu    sync.Mutex
	index int64
	all   []coordinator.Update
	more  chan struct{}
	polls chan string
}

func newFeed(t *testing.T, held []coordinator.Update) *feed {
	f := &feed{all: held, index: int64(len(held)), more: make(chan struct{}), polls: make(chan string, 1000)}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.polls <- r.URL.RawQuery
		var n int64
		_, _ = fmt.Sscan(r.URL.Query().Get("follow"), &n)
		f.mu.Lock()
		more := f.more
		f.mu.Unlock()
		if n >= f.last() {
			select {
			case <-more:
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(coordinator.Updates{Index: f.index, Updates: f.all[min(n, f.index):]})
	}))
	t.Cleanup(f.Server.Close)
	return f
}

func (f *feed) last() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

func (f *feed) push(servers ...coordinator.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	f.all = append(f.all, coordinator.Update{Endpoints: &coordinator.Endpoints{Servers: servers}})
	close(f.more)
	f.more = make(chan struct{})
}
