package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
	"rainpulley/internal/standin"
)

// Seats of a title are filled by retries too; one is free again when a session ends.
func TestSeats(t *testing.T) {
	w := newTestEnv(t, 3, 1, func(s *config.Site) { s.Classes[0].Seats = 3 })
	w.startEdge(0, 3)
	played := 0
	for i := range 12 {
		if code, _ := w.play(0, fmt.Sprint("key=k", i%6)); code == 200 {
			played++
		} else if code != 503 {
			t.Errorf("%d", code)
		}
	}
	if played != 6 { // three viewers, twice each
		t.Errorf("%d answers with a session, want 6", played)
	}
	w.checkAudit()
}

// Numbers in a viewer's URLs that no clock knows do no harm: too long a patience is the class's deadline,
// a start that is negative, to come or beyond every time is refused, whether the session plays or not.
func TestNumbersInURLs(t *testing.T) {
	w := newTestEnv(t, 3, 1, nil)
	w.startEdge(0, 3)
	for _, c := range []struct {
		query string
		want  int
	}{{"patience=9223372036854775807", 200}, {"patience=9223372036855", 200}, {"patience=99999999999999999999", 400}, {"patience=0", 400},
		{"patience=-1", 400}, {"best=99999999999999999999", 400}, {"best=9223372036854775807", 200}} {
		if code, body := w.play(0, "key=n1&"+c.query); code != c.want {
			t.Errorf("%s: %d %s, want %d", c.query, code, body, c.want)
		}
	}
	_, manifest := w.play(0, "key=n2")
	plays := w.mediaURL(0, manifest)
	head, file := plays[:strings.LastIndexByte(plays[:strings.LastIndexByte(plays, '/')], '/')+1], "/media.m3u8"
	for _, start := range []string{"-5", "-zz", "zzzzzzzz", "1y2p0ij32e8e7", "zzzzzzzzzzzzzzzz", "", "+5", "A"} {
		for _, uri := range []string{head + start + file, strings.Replace(head, "/n2/", "/n3/", 1) + start + file} {
			if code, body := w.get(uri); code != 400 {
				t.Errorf("%s: %d %s, want 400", uri, code, body)
			}
		}
	}
	if code, body := w.get(plays); code != 200 {
		t.Errorf("the session itself: %d %s", code, body)
	}
}

// Noise on the peers' port, from strangers and from a peer's own address, changes nothing.
func TestNoiseDatagrams(t *testing.T) {
	w := newTestEnv(t, 2, 2, nil)
	w.startEdge(0, 2)
	own, err := net.ListenPacket("udp", w.site.Edges[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	to, err := net.ResolveUDPAddr("udp", w.site.Edges[0].Peer)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "x", "rpl1 ", "rpl1 \x00\xff", "rpl1 " + strings.Repeat("z", 60000), "rpl1 q1;2;3"} {
		if _, err := own.WriteTo([]byte(text), to); err != nil {
			t.Error(err)
		}
	}
	if code, body := w.play(0, "key=k1"); code != 200 {
		t.Errorf("%d %s", code, body)
	}
}

// More than the edge may take is refused at once, with advice.
func TestOverload(t *testing.T) {
	w := newTestEnv(t, 2, 1, func(s *config.Site) { s.Limits.Sessions = 3 })
	w.startEdge(0, 2)
	for i := range 5 {
		r, err := http.Get("http://" + w.site.Edges[0].Listen + fmt.Sprint("/play/clip/index.m3u8?key=k", i))
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if want := 200; i < 3 && r.StatusCode != want {
			t.Errorf("%d: %d", i, r.StatusCode)
		}
		if i >= 3 && (r.StatusCode != 503 || r.Header.Get("Retry-After") == "") {
			t.Errorf("%d: %d %v", i, r.StatusCode, r.Header)
		}
	}
}

// The attempt budget is spent: set-ups that end in a reset are not sent again beyond it.
func TestBudgetSpent(t *testing.T) {
	w := newTestEnv(t, 3, 1, func(s *config.Site) {
		s.Rules.BudgetSpan, s.Rules.BudgetFree, s.Rules.BudgetShare = seconds(1.5), 3, 0.1
	})
	w.startEdge(0, 3)
	time.Sleep(w.site.Rules.BudgetSpan.D() + 100*time.Millisecond) // an edge that has just started has no free part
	for _, b := range w.fleet.Boxes {
		b.Set(func(f *standin.Faults) { f.Reset = 2 })
	}
	for i := range 20 {
		if code, _ := w.play(0, fmt.Sprint("key=k", i)); code != 503 {
			t.Errorf("%d", code)
		}
	}
	if further := w.countEntries(audit.SetupArrived, "") - 20; further > 5 {
		t.Errorf("%d further attempts", further)
	}
	w.checkAuditWithRequests(20)
}

// A box comes back cold while all edges are full of work for it: it is not pushed over.
func TestColdBoxUnderAllEdges(t *testing.T) {
	for name, skew := range map[string]time.Duration{"one clock": 0, "edges' clocks ahead": 30 * time.Second, "edges' clocks behind": -30 * time.Second} {
		t.Run(name, func(t *testing.T) { testColdBox(t, skew) })
	}
}

func testColdBox(t *testing.T, skew time.Duration) {
	w := newTestEnv(t, 2, 3, func(s *config.Site) { s.Rules.Ramp = seconds(4) })
	w.edgeClockOffset = skew
	for i := range 3 {
		w.startEdge(i, 2)
	}
	w.fleet.Boxes[0].Crash()
	w.waitFor("all know that it is gone", func() bool {
		return strings.Contains(w.status(0)+w.status(1)+w.status(2), `"boxes":1,`)
	})
	if err := w.fleet.Boxes[0].Return(); err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	for i := range 120 {
		work.Add(1)
		go func() {
			defer work.Done()
			time.Sleep(time.Duration(i*20) * time.Millisecond)
			w.play(i%3, fmt.Sprint("key=c", i))
		}()
	}
	work.Wait()
	cold := 0
	for _, e := range w.log.Entries() {
		if e.What == audit.SetupArrived && e.Who == w.fleet.Boxes[0].Addr {
			cold++
		}
	}
	if cold == 0 {
		t.Error("the cold box got no work at all")
	}
	w.checkAudit()
}

// A flood of bad connections costs no descriptor and no session of another.
func TestBadConnectionsLeaveNothing(t *testing.T) {
	w := newTestEnv(t, 2, 1, nil)
	w.startEdge(0, 2)
	_, manifest := w.play(0, "key=good")
	uri := w.mediaURL(0, manifest)
	open := func() int {
		l, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("no /proc here")
		}
		return len(l)
	}
	before := open()
	for i, text := range []string{"", "x", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", "GET /" + strings.Repeat("a", 20000), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"GET /s/play/clip/good/0/media.m3u8 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /play/clip/index.m3u8?key=" + strings.Repeat("k", 65) + " HTTP/1.1\r\nHost: a\r\n\r\n"} {
		for range 20 {
			c, err := net.Dial("tcp", w.site.Edges[0].Listen)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, text)
			if i%2 == 0 {
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				_, _ = io.Copy(io.Discard, c)
			}
			_ = c.Close()
		}
	}
	if code, list := w.get(uri); code != 200 {
		t.Errorf("%d %s", code, list)
	}
	w.waitFor("descriptors are closed", func() bool { return open() <= before+4 })
}
