package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rainpulley/internal/coordinator"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/rtsp"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(helperConfig); path != "" {
		os.Exit(runHelper(path))
	}
	goleak.VerifyTestMain(m)
}

const (
	testFor = 10 * time.Second // longest wait for what must come
	quiet   = 80 * time.Millisecond
)

const defaultSettings = `{"familyInfo":{"cells":4,"classFloor":[0,1],"classTop":[2,2],"joinAdds":1,"kindStreams":[50],"ladderKb":[100,200,400],
 "linksKb":100000,"rackLinkKb":100000,"rateFactor":[1,1],"reportsEvery":400000,"rungWorth":[0.3,0.6,1],"see":100000,"shelves":1,"switchS":0.1,"weightKb":1000},
 "groupSize":1,"kinds":["std"],"zones":["east"],"weights":"nominal",
 "permissions":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxAttempts":5},
 "profiles":[{"aim":900000,"deadline":1000000,"effect":"idempotent","name":"free","worth":1},
  {"aim":900000,"deadline":1000000,"effect":"at_most_once","name":"paid","worth":2}],
 "report":{"columns":["rif","x0","x1"],"how":"answers"},"safety":{"answerSlack":5000,"stopSendingWithin":2000000}}`

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
	r := bufio.NewReaderSize(p, jsonlines.MaxLine)
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
	if m.Type == jsonlines.Open {
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

// rig is a node with scripted servers and a scripted coordinator.
type rig struct {
	*Node
	t        *testing.T
	feed     *feed
	addr     string
	settings string // of its configuration
	stop     context.CancelFunc
	over     chan error
}

func startNode(t *testing.T, boxes ...*box) *rig { return startWith(t, 256, boxes...) }

func startWith(t *testing.T, sockets int, boxes ...*box) *rig {
	return startAs(t, sockets, func(*Node) {}, boxes...)
}

// startGated starts a node that was changed first.
func startGated(t *testing.T, change func(*Node), boxes ...*box) *rig {
	return startAs(t, 256, change, boxes...)
}

func startAs(t *testing.T, sockets int, change func(*Node), boxes ...*box) *rig {
	var list []coordinator.Entry
	for _, b := range boxes {
		list = append(list, b.entry("up"))
	}
	return startListed(t, sockets, change, list)
}

func startListed(t *testing.T, sockets int, change func(*Node), list []coordinator.Entry) *rig {
	return startSet(t, sockets, defaultSettings, change, list)
}

// startSet starts a node with settings of its own.
func startSet(t *testing.T, sockets int, settings string, change func(*Node), list []coordinator.Entry) *rig {
	known := coordinator.Updates{Index: 1, Updates: []coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true, Servers: list}}}}
	r := &rig{t: t, settings: settings, feed: newFeed(t, known.Updates), over: make(chan error, 1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = l.Addr().String()
	path := filepath.Join(t.TempDir(), "config.json")
	r.write(path, r.feed, sockets, known)
	c, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	if r.Node, err = New(c, path, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	r.Node.Listener, r.Node.Arriving = l, -r.longest()
	change(r.Node)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.over <- r.Run(ctx) }()
	defer eventually(t, "the first list", func() bool {
		r.pool.mu.Lock()
		defer r.pool.mu.Unlock()
		return len(r.pool.byID) == len(list)
	})
	t.Cleanup(func() {
		stop()
		if err := <-r.over; err != nil {
			t.Error(err)
		}
	})
	return r
}

func (r *rig) write(path string, f *feed, sockets int, known coordinator.Updates) {
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "0a", "limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets},
		"coordinator": f.Listener.Addr().String(), "known": known, "settings": json.RawMessage(r.settings)})
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// dialogue is one connection of a viewer.
type dialogue struct {
	net.Conn
	t *testing.T
	r *rtsp.Reader
}

func (r *rig) dial() *dialogue {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return &dialogue{c, r.t, rtsp.NewReader(bufio.NewReaderSize(c, 4<<10))}
}

func setUp(id, class, more string) string {
	body := "line of " + id + "\r\nm=audio \"1\"\r\n"
	return fmt.Sprintf("SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nX-Cos: %s\r\nX-Timer-Ms: 3000\r\nX-Guess: 8200.0\r\n"+
		"X-Legs: home:0;copies:4;top:2;viewer:00000000b4d65521%s\r\nContent-Length: %d\r\n\r\n%s", id, class, more, len(body), body)
}

func tearDown(id string) string {
	return "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

func (d *dialogue) say(text string) *dialogue {
	d.t.Helper()
	if _, err := d.Write([]byte(text)); err != nil {
		d.t.Fatal(err)
	}
	return d
}

// reset ends the connection with a reset.
func (d *dialogue) reset() {
	_ = d.Conn.(*net.TCPConn).SetLinger(0)
	_ = d.Close()
}

// next is the next message that is neither progress nor an answer to a TEARDOWN.
func (d *dialogue) next() *rtsp.Message {
	d.t.Helper()
	_ = d.SetReadDeadline(time.Now().Add(testFor))
	for {
		m, err := d.r.Next()
		if err != nil {
			d.t.Fatal(err)
		}
		if (m.Get("CSeq") != "2" || m.Method != "") && m.Status != 100 {
			return m
		}
	}
}

func (d *dialogue) want(id string, status int) *rtsp.Message {
	d.t.Helper()
	m := d.next()
	if m.Status != status || m.Get("Session") != id {
		d.t.Fatalf("want %d for %q, got %+v", status, id, m)
	}
	return m
}

func (d *dialogue) wantRelease(id, reason string) {
	d.t.Helper()
	if m := d.next(); m.Method != "TEARDOWN" || m.Get("Session") != id || m.Get("Reason") != reason {
		d.t.Fatalf("want a release of %s with %s, got %+v", id, reason, m)
	}
}

// silent checks that nothing more comes for a moment.
func (d *dialogue) silent() {
	d.t.Helper()
	_ = d.SetReadDeadline(time.Now().Add(quiet))
	for {
		m, err := d.r.Next()
		if err != nil {
			_ = d.SetReadDeadline(time.Time{})
			return
		}
		if m.Get("CSeq") != "2" || m.Method != "" {
			d.t.Fatalf("unexpected: %+v", m)
		}
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testFor); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
	}
}

// agree waits until the module's sessions, those on the sockets, and the node's and the core's tables are as many as
// told, server by server.
func (r *rig) agree(n int) {
	r.t.Helper()
	eventually(r.t, fmt.Sprintf("%d sessions everywhere", n), func() bool {
		same := make(chan bool, 1)
		r.owner.Inspect(func() {
			sum, ok := 0, true
			for _, b := range r.pool.believed(r.module.Own) {
				sum, ok = sum+b.module, ok && b.module == b.sockets
			}
			same <- ok && sum == n
		})
		r.mu.Lock()
		held := len(r.sessions)
		r.mu.Unlock()
		return <-same && held == n && r.owner.Stats.Open.Load() == int64(n)
	})
}

const (
	idA = "9b1f03aa5c7e2d41"
	idB = "9b1f03aa5c7e2d42"
	idC = "9b1f03aa5c7e2d43"
)
