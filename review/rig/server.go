package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// line is one JSON line between a front node and a server.
type line struct {
	Msg   string         `json:"msg"`
	Sid   string         `json:"sid"`
	Attrs map[string]any `json:"attrs"`
	Code  *int           `json:"code,omitempty"`
	Text  string         `json:"text,omitempty"`
}

// server is a sound server of the protocol page. Its log, on standard output, has one line an event with the Unix time
// in microseconds.
type server struct {
	mu       sync.Mutex
	id       string
	delay    time.Duration
	life     time.Duration
	every    time.Duration
	sessions map[string]*serverSession
	conns    []*serverConn
	released map[string]time.Time // releases that the next connection opened brings as well
	draining bool
}

type serverConn struct {
	net.Conn
	mu sync.Mutex
}

type serverSession struct{ conn *serverConn }

func (s *server) log(format string, a ...any) {
	fmt.Fprintf(os.Stdout, "%d %s %s\n", time.Now().UnixMicro(), s.id, fmt.Sprintf(format, a...))
}

func (c *serverConn) send(l line) error {
	if l.Attrs == nil {
		l.Attrs = map[string]any{}
	}
	b, _ := json.Marshal(l)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.Write(append(b, '\n'))
	return err
}

func code(n int) *int { return &n }

func runServer(args []string) {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	addr, id := f.String("addr", "", ""), f.String("id", "", "")
	delay, life, every := f.Duration("delay", 20*time.Millisecond, "time of a set-up"),
		f.Duration("life", time.Hour, "length of a session"), f.Duration("every", 4*time.Second, "time between notes")
	_ = f.Parse(args)
	s := &server{id: *id, delay: *delay, life: *life, every: *every, sessions: map[string]*serverSession{}, released: map[string]time.Time{}}
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s.log("listens")
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	go func() {
		<-drain
		s.mu.Lock()
		s.draining = true
		s.mu.Unlock()
		s.log("drains from now on: refuses what is new")
	}()
	go s.sendNotes()
	for {
		conn, err := l.Accept()
		if err != nil {
			os.Exit(2)
		}
		_ = conn.(*net.TCPConn).SetLinger(0) // when the process dies, its connections reset
		go s.serve(&serverConn{Conn: conn})
	}
}

// sendNotes tells how full the link is, on one of the sessions.
func (s *server) sendNotes() {
	for range time.Tick(s.every) {
		s.mu.Lock()
		for id, x := range s.sessions {
			load := float64(len(s.sessions)) / 40
			if c := s.openConn(x.conn); c != nil {
				go c.send(line{Msg: "event", Sid: id, Attrs: map[string]any{"note": "link", "value": load}})
				go c.send(line{Msg: "event", Sid: id, Attrs: map[string]any{"note": "uplink", "value": load / 2}})
			}
			break
		}
		s.mu.Unlock()
	}
}

// openConn returns a connection of its set-up, or failing that any open one; the caller holds the lock.
func (s *server) openConn(preferred *serverConn) *serverConn {
	for _, c := range s.conns {
		if c == preferred {
			return c
		}
	}
	if len(s.conns) > 0 {
		return s.conns[0]
	}
	return nil
}

func (s *server) serve(c *serverConn) {
	s.mu.Lock()
	s.conns = append(s.conns, c)
	again := s.released
	s.released = map[string]time.Time{}
	s.mu.Unlock()
	for id, since := range again {
		s.log("release-again %s, over since %v", id, time.Since(since).Round(time.Millisecond))
		_ = c.send(line{Msg: "close", Sid: id, Code: code(16)})
	}
	pending := map[string]bool{} // set-ups open on the connection
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for i := range s.conns {
			if s.conns[i] == c {
				s.conns = append(s.conns[:i], s.conns[i+1:]...)
				break
			}
		}
		for id := range pending {
			s.log("given up %s: its connection closed", id)
		}
	}()
	for r := bufio.NewReaderSize(c, 16<<10); ; {
		raw, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		var l line
		if json.Unmarshal(raw, &l) != nil {
			return
		}
		switch l.Msg {
		case "open":
			s.log("open %s key=%v class=%v left=%v", l.Sid, l.Attrs["key"], l.Attrs["class"], l.Attrs["left"])
			s.mu.Lock()
			refused := s.draining
			if !refused {
				pending[l.Sid] = true
			}
			s.mu.Unlock()
			if refused {
				s.log("refuse %s", l.Sid)
				_ = c.send(line{Msg: "close", Sid: l.Sid, Code: code(34)})
				continue
			}
			time.AfterFunc(s.delay, func() { s.finishSetUp(c, pending, l.Sid) })
		case "close":
			s.mu.Lock()
			_, stood := s.sessions[l.Sid]
			delete(s.sessions, l.Sid)
			wasPending := pending[l.Sid]
			delete(pending, l.Sid)
			s.mu.Unlock()
			s.log("close %s stood=%v pending=%v", l.Sid, stood, wasPending)
			_ = c.send(line{Msg: "closed", Sid: l.Sid})
		case "probe":
			_ = c.send(line{Msg: "probed", Sid: l.Sid, Code: code(1)})
		}
	}
}

func (s *server) finishSetUp(c *serverConn, pending map[string]bool, id string) {
	s.mu.Lock()
	if !pending[id] {
		s.mu.Unlock()
		return
	}
	delete(pending, id)
	s.sessions[id] = &serverSession{c}
	load := fmt.Sprintf("rif:%d;x0:%.3f;x1:%.3f", len(s.sessions), float64(len(s.sessions))/40, float64(len(s.sessions))/80)
	s.mu.Unlock()
	s.log("ready %s", id)
	_ = c.send(line{Msg: "ready", Sid: id, Attrs: map[string]any{"load": load}, Text: "stream " + id + " at " + s.id + "\r\n"})
	time.AfterFunc(s.life, func() { s.endSession(id) })
}

// endSession ends a session that has played to its end.
func (s *server) endSession(id string) {
	s.mu.Lock()
	x := s.sessions[id]
	if x == nil {
		s.mu.Unlock()
		return
	}
	delete(s.sessions, id)
	c := s.openConn(x.conn)
	s.released[id] = time.Now()
	s.mu.Unlock()
	if c != nil {
		s.log("release %s", id)
		_ = c.send(line{Msg: "close", Sid: id, Code: code(16)})
	}
}
