package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// settings are those of a small deployment: three zones, two kinds of servers, a class that may be set up again and
// one that is paid for, with the figures that the pages give for Surat's quiz nights.
const settings = `{"clients":{"marksRetry":true},"discovery":"automatic","family":"streams",
 "familyInfo":{"cells":4,"classFloor":[0,1],"classTop":[5,5],"fullFrom":0.0,"joinAdds":1.0,"kindStreams":[30,60],
  "ladderKb":[200.0,350.0,600.0,900.0,1300.0,1900.0],"licenceCap":[0,0],"linksKb":360000.0,"live":[false,true],"rackLinkKb":130000.0,
  "rateFactor":[0.7,1.0],"reportsEvery":4000000,"rungWorth":[0.2,0.4,0.6,0.8,0.9,1.0],"see":1000000,"shelves":2,"stall":7.0,"switchS":0.5,"weightKb":10000.0},
 "groupSize":3,"kinds":["two-core","four-core"],"layer":0,"layers":["round-servers"],"locality":0,"overShareWorth":0.1,
 "permissions":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"maxAttempts":5,
  "maxOpen":1000000,"maxRetryAfter":500000,"maxStreams":100,"peers":false,"probing":false,"retryAfter":false,"secondCopies":false},
 "position":0,"profiles":[
  {"aim":1000000,"deadline":5000000,"dedupScope":"all","effect":"idempotent","lateWorth":0.0,"name":"replay-round","streaming":true,"window":5000000,"worth":1.0},
  {"aim":1000000,"deadline":5000000,"dedupScope":"all","effect":"at_most_once","lateWorth":0.0,"name":"live-round","streaming":true,"window":5000000,"worth":2.0}],
 "realms":[],"report":{"columns":["rif","x0","x1"],"how":"answers"},
 "safety":{"answerSlack":40000,"askEvery":10000000,"fall":1000000,"fallMultiple":3.0,"rampTime":8000000,"startCapacity":0.5,"stopSendingWithin":2000000},
 "tariffs":{"connection":0.0,"crossZone":0.02,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.2,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.0},
 "tick":10000,"weights":"nominal","worthBy":"request","zones":["north-hall","middle-hall","south-hall"]}`

// entry is a server in the coordinator's list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

type endpoints struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

type update struct {
	Endpoints endpoints `json:"endpoints"`
}

type updates struct {
	Index   int      `json:"index"`
	Updates []update `json:"updates"`
}

// coordinator is a sound coordinator whose answers can be late.
type coordinator struct {
	mu      sync.Mutex
	events  []update
	changed chan struct{}
	late    time.Duration // added to each answer
	addr    string
	rec     *record
}

func startCoordinator(rec *record, list []entry) *coordinator {
	c := &coordinator{changed: make(chan struct{}), rec: rec}
	c.events = []update{{endpoints{1, true, list}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("coordinator: %v", err)
	}
	c.addr = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(c.serve)) }()
	return c
}

func (c *coordinator) tell(e entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, update{endpoints{len(c.events) + 1, false, []entry{e}}})
	close(c.changed)
	c.changed = make(chan struct{})
	c.rec.add("coordinator: event %d: %s %s started_ms=%d", len(c.events), e.ID, e.State, e.StartedMs)
}

func (c *coordinator) known() updates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return updates{len(c.events), append([]update{}, c.events...)}
}

func (c *coordinator) serve(w http.ResponseWriter, r *http.Request) {
	follow, _ := strconv.Atoi(r.URL.Query().Get("follow"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	c.mu.Lock()
	late := c.late
	c.mu.Unlock()
	asked := time.Now()
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, 5*time.Second))
	defer timer.Stop()
	for waiting := true; waiting; {
		c.mu.Lock()
		changed, later := c.changed, len(c.events) > follow
		c.mu.Unlock()
		if later {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	select {
	case <-time.After(late):
	case <-r.Context().Done():
		c.rec.add("coordinator: poll from %d dropped by the node %v after it asked", follow, time.Since(asked).Round(time.Millisecond))
		return
	}
	c.mu.Lock()
	answer := updates{len(c.events), []update{}}
	if follow < len(c.events) {
		answer.Updates = append(answer.Updates, c.events[max(follow, 0):]...)
	}
	c.mu.Unlock()
	b, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(b)
	if len(answer.Updates) > 0 || late > 0 {
		c.rec.add("coordinator: answered a poll from %d with %d events, error %v", follow, len(answer.Updates), err)
	}
}

// fleet is a front node with its servers and coordinator.
type fleet struct {
	rec         *record
	dir         string
	logs        *os.File
	addrs       []string
	servers     []*process
	serverFlags []string
	coordinator *coordinator
	node        *process
	nodeAddr    string

	mu  sync.Mutex
	log []serverEvent // of all servers
}

type serverEvent struct {
	at     time.Time
	server string
	kind   string
	id     string
}

func (f *fleet) entry(i int, state string, started int64) entry {
	zones := []string{"north-hall", "middle-hall", "south-hall"}
	return entry{ID: serverID(i), Addr: f.addrs[i], Zone: zones[i%3], Kind: []string{"two-core", "four-core"}[i%2], Cell: i % 4,
		State: state, Weight: float64(2 + 2*(i%2)), StartedMs: started}
}

func serverID(i int) string { return fmt.Sprintf("s-%08x", 0x00c41f70+i) }

func startFleet(rec *record, servers int, serverFlags ...string) *fleet {
	f := &fleet{rec: rec, dir: tempDir(), serverFlags: serverFlags}
	f.logs = createFile(f.dir, "node.log")
	for i := range servers {
		f.addrs = append(f.addrs, freeAddress())
		f.servers = append(f.servers, nil)
		f.startServer(i)
	}
	for _, a := range f.addrs {
		awaitListening(a, 5*time.Second)
	}
	var list []entry
	for i := range servers {
		list = append(list, f.entry(i, "up", 0))
	}
	f.coordinator = startCoordinator(rec, list)
	f.nodeAddr = freeAddress()
	config := map[string]any{"name": "n0", "listen": f.nodeAddr, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256},
		"coordinator": f.coordinator.addr, "known": f.coordinator.known(), "settings": json.RawMessage(settings)}
	raw, _ := json.Marshal(config)
	path := filepath.Join(f.dir, "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		cannotRun("%v", err)
	}
	temp := filepath.Join(f.dir, "tmp")
	_ = os.Mkdir(temp, 0o700)
	f.node = startProcess([]string{"NODE_NAME=n0", "NODE_LISTEN=" + f.nodeAddr, "NODE_CONFIG=" + path, "TMPDIR=" + temp},
		f.logs, "/bin/sh", "-c", deployCommand("run"))
	awaitListening(f.nodeAddr, 30*time.Second)
	rec.add("node listens at %s, pid %d", f.nodeAddr, f.node.cmd.Process.Pid)
	return f
}

// startServer starts or restarts a server, and copies its log into the record.
func (f *fleet) startServer(i int) {
	r, w, err := os.Pipe()
	if err != nil {
		cannotRun("%v", err)
	}
	argv := append([]string{"review/bin/rig", "server", "-addr", f.addrs[i], "-id", serverID(i)}, f.serverFlags...)
	f.servers[i] = startProcess(nil, w, argv...)
	_ = w.Close()
	f.rec.add("%s started at %s, pid %d", serverID(i), f.addrs[i], f.servers[i].cmd.Process.Pid)
	go func() {
		for s := bufio.NewScanner(r); s.Scan(); {
			stamp, text, _ := strings.Cut(s.Text(), " ")
			us, err := strconv.ParseInt(stamp, 10, 64)
			if err != nil {
				f.rec.add("server: %s", s.Text())
				continue
			}
			at := time.UnixMicro(us)
			f.rec.addAt(at, "server %s", text)
			parts := strings.Fields(text)
			if len(parts) >= 3 {
				f.mu.Lock()
				f.log = append(f.log, serverEvent{at, parts[0], parts[1], parts[2]})
				f.mu.Unlock()
			}
		}
	}()
}

func (f *fleet) serverEvents() []serverEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]serverEvent{}, f.log...)
}

// viewers sends set-ups to the node over one connection, as many viewers behind one address do.
type viewers struct {
	f    *fleet
	conn net.Conn
	wmu  sync.Mutex

	mu       sync.Mutex
	sessions map[string]*viewerSession
}

type viewerSession struct {
	id         string
	sentAt     time.Time
	answeredAt time.Time
	status     int
	body       string
	releasedAt time.Time // TEARDOWN or REDIRECT of the node
	release    string
	answers    int
}

func (f *fleet) connect() *viewers {
	conn, err := net.Dial("tcp", f.nodeAddr)
	if err != nil {
		cannotRun("viewers: %v", err)
	}
	v := &viewers{f: f, conn: conn, sessions: map[string]*viewerSession{}}
	go v.read()
	return v
}

func (v *viewers) write(text string) {
	v.wmu.Lock()
	defer v.wmu.Unlock()
	if _, err := io.WriteString(v.conn, text); err != nil {
		v.f.rec.add("viewer: write: %v", err)
	}
}

func (v *viewers) setUp(class string, title uint64) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body := fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", rand.Uint64())
	s := &viewerSession{id: id, sentAt: time.Now()}
	v.mu.Lock()
	v.sessions[id] = s
	v.mu.Unlock()
	v.f.rec.addAt(s.sentAt, "viewer SETUP %s class=%s title=%016x", id, class, title)
	v.write(fmt.Sprintf("SETUP rtsp://media/%016x RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nX-Cos: %s\r\nX-Timer-Ms: 5000\r\n"+
		"X-Guess: 45000.0\r\nX-Legs: home:0;copies:4;top:4;viewer:%016x\r\nContent-Length: %d\r\n\r\n%s",
		title, id, class, rand.Uint64()>>11, len(body), body))
	return id
}

func (v *viewers) read() {
	r := bufio.NewReader(v.conn)
	for {
		first, err := r.ReadString('\n')
		if err != nil {
			v.f.rec.add("viewer: connection ended: %v", err)
			return
		}
		h, err := textproto.NewReader(r).ReadMIMEHeader()
		if err != nil {
			v.f.rec.add("viewer: unreadable message: %v", err)
			return
		}
		n, _ := strconv.Atoi(h.Get("Content-Length"))
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil {
			v.f.rec.add("viewer: message cut off: %v", err)
			return
		}
		first = strings.TrimSpace(first)
		id, now := h.Get("Session"), time.Now()
		v.f.rec.addAt(now, "viewer got %q session=%s reason=%s", first, id, h.Get("Reason"))
		v.mu.Lock()
		s := v.sessions[id]
		parts := strings.Fields(first)
		switch {
		case s == nil:
		case parts[0] == "RTSP/1.0":
			if status, _ := strconv.Atoi(parts[1]); status >= 200 && strings.TrimSpace(h.Get("CSeq")) == "1" {
				s.status, s.answeredAt, s.body = status, now, string(body)
				s.answers++
			}
		case parts[0] == "TEARDOWN" || parts[0] == "REDIRECT":
			if s.releasedAt.IsZero() {
				s.releasedAt, s.release = now, parts[0]+" "+h.Get("Reason")
			}
		}
		v.mu.Unlock()
		if parts[0] == "TEARDOWN" {
			v.write("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + id + "\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (v *viewers) all() map[string]viewerSession {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]viewerSession{}
	for id, s := range v.sessions {
		out[id] = *s
	}
	return out
}
