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

// A title plays for at most as many viewers at once as its class has seats, also when refused viewers retry. A repeated
// request of a viewer with a seat joins the session; the other viewers get 503.
func TestSeatLimit(t *testing.T) {
	env := newTestEnv(t, 3, 1, func(s *config.Site) { s.Classes[0].Seats = 3 })
	env.startEdge(0, 3)
	played := 0
	for i := range 12 {
		if code, _ := env.play(0, fmt.Sprint("key=k", i%6)); code == 200 {
			played++
		} else if code != 503 {
			t.Errorf("%d", code)
		}
	}
	if played != 6 { // three viewers with two requests each
		t.Errorf("%d answers with a session, want 6", played)
	}
	env.checkAudit()
}

// Out-of-range numbers in a viewer's URLs: a patience beyond the deadline of the class is reduced to it, and a start
// that is negative, in the future or larger than any time is refused, whether the session is playing or not.
func TestNumbersInURLs(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	for _, c := range []struct {
		query string
		want  int
	}{{"patience=9223372036854775807", 200}, {"patience=9223372036855", 200}, {"patience=99999999999999999999", 400}, {"patience=0", 400},
		{"patience=-1", 400}, {"best=99999999999999999999", 400}, {"best=9223372036854775807", 200}} {
		if code, body := env.play(0, "key=n1&"+c.query); code != c.want {
			t.Errorf("%s: %d %s, want %d", c.query, code, body, c.want)
		}
	}
	_, manifest := env.play(0, "key=n2")
	uri := env.mediaURL(0, manifest)
	prefix, file := uri[:strings.LastIndexByte(uri[:strings.LastIndexByte(uri, '/')], '/')+1], "/media.m3u8"
	for _, start := range []string{"-5", "-zz", "zzzzzzzz", "1y2p0ij32e8e7", "zzzzzzzzzzzzzzzz", "", "+5", "A"} {
		for _, uri := range []string{prefix + start + file, strings.Replace(prefix, "/n2/", "/n3/", 1) + start + file} {
			if code, body := env.get(uri); code != 400 {
				t.Errorf("%s: %d %s, want 400", uri, code, body)
			}
		}
	}
	if code, body := env.get(uri); code != 200 {
		t.Errorf("the valid URL of the session: %d %s", code, body)
	}
}

// Malformed datagrams on the port for peer messages, sent from the address of a peer, have no effect.
func TestMalformedPeerMessages(t *testing.T) {
	env := newTestEnv(t, 2, 2, nil)
	env.startEdge(0, 2)
	peerConn, err := net.ListenPacket("udp", env.site.Edges[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	defer peerConn.Close()
	edgeAddr, err := net.ResolveUDPAddr("udp", env.site.Edges[0].Peer)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "x", "rpl1 ", "rpl1 \x00\xff", "rpl1 " + strings.Repeat("z", 60000), "rpl1 q1;2;3"} {
		if _, err := peerConn.WriteTo([]byte(text), edgeAddr); err != nil {
			t.Error(err)
		}
	}
	if code, body := env.play(0, "key=k1"); code != 200 {
		t.Errorf("%d %s", code, body)
	}
}

// Sessions beyond the configured limit are refused with 503 and a Retry-After field.
func TestSessionLimit(t *testing.T) {
	env := newTestEnv(t, 2, 1, func(s *config.Site) { s.Limits.Sessions = 3 })
	env.startEdge(0, 2)
	for i := range 5 {
		resp, err := http.Get("http://" + env.site.Edges[0].Listen + fmt.Sprint("/play/clip/index.m3u8?key=k", i))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if want := 200; i < 3 && resp.StatusCode != want {
			t.Errorf("%d: %d", i, resp.StatusCode)
		}
		if i >= 3 && (resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "") {
			t.Errorf("%d: %d %v", i, resp.StatusCode, resp.Header)
		}
	}
}

// Set-ups that end in a connection reset are not repeated beyond the budget of further attempts.
func TestAttemptBudget(t *testing.T) {
	env := newTestEnv(t, 3, 1, func(s *config.Site) {
		s.Rules.BudgetSpan, s.Rules.BudgetFree, s.Rules.BudgetShare = seconds(1.5), 3, 0.1
	})
	env.startEdge(0, 3)
	time.Sleep(env.site.Rules.BudgetSpan.Std() + 100*time.Millisecond) // an edge that has just started has no free attempts
	for _, b := range env.fleet.Boxes {
		b.SetFaults(func(f *standin.Faults) { f.ResetShare = 2 })
	}
	for i := range 20 {
		if code, _ := env.play(0, fmt.Sprint("key=k", i)); code != 503 {
			t.Errorf("%d", code)
		}
	}
	if further := env.countEntries(audit.SetUpReceived, "") - 20; further > 5 {
		t.Errorf("%d further attempts, want at most 5", further)
	}
	env.checkAuditWithRequests(20)
}

// A box returns cold while all edges have requests for it: its load keeps within the ramp, also if the clocks of the
// edges are 30 s fast or slow.
func TestColdBoxUnderLoad(t *testing.T) {
	for name, skew := range map[string]time.Duration{"same clock": 0, "edge clocks fast": 30 * time.Second, "edge clocks slow": -30 * time.Second} {
		t.Run(name, func(t *testing.T) { testColdBox(t, skew) })
	}
}

// testColdBox crashes and restarts a box, and sends 120 requests to edges whose clocks are off by skew.
func testColdBox(t *testing.T, skew time.Duration) {
	env := newTestEnv(t, 2, 3, func(s *config.Site) { s.Rules.Ramp = seconds(4) })
	env.edgeClockOffset = skew
	for i := range 3 {
		env.startEdge(i, 2)
	}
	env.fleet.Boxes[0].Crash()
	env.waitFor("an edge to know that the box is gone", func() bool {
		return strings.Contains(env.status(0)+env.status(1)+env.status(2), `"boxes":1,`)
	})
	if err := env.fleet.Boxes[0].Restart(); err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	for i := range 120 {
		work.Add(1)
		go func() {
			defer work.Done()
			time.Sleep(time.Duration(i*20) * time.Millisecond)
			env.play(i%3, fmt.Sprint("key=c", i))
		}()
	}
	work.Wait()
	cold := 0
	for _, e := range env.log.Entries() {
		if e.Event == audit.SetUpReceived && e.Subject == env.fleet.Boxes[0].Addr {
			cold++
		}
	}
	if cold == 0 {
		t.Error("the cold box got no set-up")
	}
	env.checkAudit()
}

// Connections with incomplete or malformed requests leak no file descriptors and do not affect another session.
func TestMalformedRequestsLeakNothing(t *testing.T) {
	env := newTestEnv(t, 2, 1, nil)
	env.startEdge(0, 2)
	_, manifest := env.play(0, "key=good")
	uri := env.mediaURL(0, manifest)
	openDescriptors := func() int {
		l, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("no /proc on this system")
		}
		return len(l)
	}
	before := openDescriptors()
	for i, text := range []string{"", "x", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", "GET /" + strings.Repeat("a", 20000), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"GET /s/play/clip/good/0/media.m3u8 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /play/clip/index.m3u8?key=" + strings.Repeat("k", 65) + " HTTP/1.1\r\nHost: a\r\n\r\n"} {
		for range 20 {
			c, err := net.Dial("tcp", env.site.Edges[0].Listen)
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
	if code, list := env.get(uri); code != 200 {
		t.Errorf("%d %s", code, list)
	}
	env.waitFor("descriptors to be closed", func() bool { return openDescriptors() <= before+4 })
}

// Guards against viewers who hold all descriptors, so that the requests to boxes of those that are served fail: a viewer
// above the limit gets 503, and one that holds a connection gets a session.
func TestDescriptorsForBoxes(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.edgeDescriptors = 80
	env.startEdge(0, 3)
	var held []net.Conn
	refused := 0
	for range 60 {
		c, err := net.Dial("tcp", env.site.Edges[0].Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		request := fmt.Sprintf("GET /play/clip/index.m3u8?key=d%d HTTP/1.1\r\nHost: x\r\n\r\n", len(held))
		answer := make([]byte, 64)
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err = io.WriteString(c, request); err == nil {
			_, err = c.Read(answer)
		}
		switch {
		case err != nil:
			t.Fatalf("connection %d: %v", len(held)+refused, err)
		case strings.HasPrefix(string(answer), "HTTP/1.1 200 "):
			held = append(held, c)
		case strings.HasPrefix(string(answer), "HTTP/1.1 503 "):
			refused++
		default:
			t.Fatalf("answered %q", answer)
		}
	}
	if len(held) < 10 || len(held) > 16 || refused == 0 {
		t.Errorf("%d served, %d refused, want half of 32 descriptors less streams to be served", len(held), refused)
	}
	if _, err := io.WriteString(held[0], "GET /play/clip/index.m3u8?key=again HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Error(err)
	}
	env.waitFor("another set-up at a box", func() bool { return env.countEntries(audit.SetUpReceived, "") == len(held)+1 })
	env.checkAudit()
}
