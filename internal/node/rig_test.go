package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rainpulley/internal/coordinator"
	"rainpulley/internal/rtsp"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(helperConfigEnv); path != "" {
		os.Exit(runHelper(path))
	}
	goleak.VerifyTestMain(m)
}

const (
	testTimeout = 10 * time.Second      // longest wait for an event that must happen
	quietPeriod = 80 * time.Millisecond // how long a test waits for a message that must not arrive
)

const defaultSettings = `{"familyInfo":{"cells":4,"classFloor":[0,1],"classTop":[2,2],"joinAdds":1,"kindStreams":[50],"ladderKb":[100,200,400],
 "linksKb":100000,"rackLinkKb":100000,"rateFactor":[1,1],"reportsEvery":400000,"rungWorth":[0.3,0.6,1],"see":100000,"shelves":1,"switchS":0.1,"weightKb":1000},
 "groupSize":1,"kinds":["std"],"zones":["east"],"weights":"nominal",
 "permissions":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxAttempts":5},
 "profiles":[{"aim":900000,"deadline":1000000,"effect":"idempotent","name":"free","worth":1},
  {"aim":900000,"deadline":1000000,"effect":"at_most_once","name":"paid","worth":2}],
 "report":{"columns":["rif","x0","x1"],"how":"answers"},"safety":{"answerSlack":5000,"stopSendingWithin":2000000}}`

// testNode is a node with scripted servers and a scripted coordinator.
type testNode struct {
	*Node
	t           *testing.T
	coordinator *scriptedCoordinator
	addr        string
	settings    string // JSON of the settings in the configuration
	stop        context.CancelFunc
	done        chan error
}

func startNode(t *testing.T, boxes ...*box) *testNode { return startNodeWithSockets(t, 256, boxes...) }

func startNodeWithSockets(t *testing.T, sockets int, boxes ...*box) *testNode {
	return startModifiedNodeWithSockets(t, sockets, func(*Node) {}, boxes...)
}

// startModifiedNode starts a node after modify has changed it, for example to insert a gate.
func startModifiedNode(t *testing.T, modify func(*Node), boxes ...*box) *testNode {
	return startModifiedNodeWithSockets(t, 256, modify, boxes...)
}

// startModifiedNodeWithSockets starts a modified node with a limit of file descriptors.
func startModifiedNodeWithSockets(t *testing.T, sockets int, modify func(*Node), boxes ...*box) *testNode {
	var list []coordinator.Entry
	for _, b := range boxes {
		list = append(list, b.entry("up"))
	}
	return startNodeWithList(t, sockets, modify, list)
}

// startNodeWithList starts a modified node with the given server list.
func startNodeWithList(t *testing.T, sockets int, modify func(*Node), list []coordinator.Entry) *testNode {
	return startNodeWithSettings(t, sockets, defaultSettings, modify, list)
}

// startNodeWithSettings starts a node with the given settings and server list, and waits until it has the list.
func startNodeWithSettings(t *testing.T, sockets int, settings string, modify func(*Node),
	list []coordinator.Entry) *testNode {
	known := coordinator.Updates{Index: 1, Updates: []coordinator.Update{
		{Endpoints: &coordinator.Endpoints{Full: true, Servers: list}}}}
	r := &testNode{t: t, settings: settings, coordinator: newScriptedCoordinator(t, known.Updates),
		done: make(chan error, 1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = l.Addr().String()
	path := filepath.Join(t.TempDir(), "config.json")
	r.writeConfig(path, r.coordinator, sockets, known)
	c, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	if r.Node, err = New(c, path, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	r.Node.Listener, r.Node.ArrivalWindow = l, -r.longestDeadline()
	modify(r.Node)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- r.Run(ctx) }()
	defer eventually(t, "the first server list", func() bool {
		r.pool.mu.Lock()
		defer r.pool.mu.Unlock()
		return len(r.pool.servers) == len(list)
	})
	t.Cleanup(func() {
		stop()
		if err := <-r.done; err != nil {
			t.Error(err)
		}
	})
	return r
}

// writeConfig writes the configuration file of a node that follows a coordinator.
func (r *testNode) writeConfig(path string, c *scriptedCoordinator, sockets int, known coordinator.Updates) {
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "0a", "limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets},
		"coordinator": c.Listener.Addr().String(), "known": known, "settings": json.RawMessage(r.settings)})
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// viewerClient is one connection of a viewer.
type viewerClient struct {
	net.Conn
	t      *testing.T
	reader *rtsp.Reader
}

func (r *testNode) dial() *viewerClient {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return &viewerClient{c, r.t, rtsp.NewReader(bufio.NewReaderSize(c, 4<<10))}
}

// setUpRequest returns a SETUP request with a description as its body; extraLegs is appended to the X-Legs header.
func setUpRequest(id, class, extraLegs string) string {
	body := "line of " + id + "\r\nm=audio \"1\"\r\n"
	return fmt.Sprintf("SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nX-Cos: %s\r\nX-Timer-Ms: 3000\r\nX-Guess: 8200.0\r\n"+
		"X-Legs: home:0;copies:4;top:2;viewer:00000000b4d65521%s\r\nContent-Length: %d\r\n\r\n%s", id, class, extraLegs, len(body), body)
}

func tearDownRequest(id string) string {
	return "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

func (v *viewerClient) send(text string) *viewerClient {
	v.t.Helper()
	if _, err := v.Write([]byte(text)); err != nil {
		v.t.Fatal(err)
	}
	return v
}

// reset closes the connection with a TCP reset (RST).
func (v *viewerClient) reset() {
	_ = v.Conn.(*net.TCPConn).SetLinger(0)
	_ = v.Close()
}

// next returns the next message that is neither a progress response nor a response to a TEARDOWN.
func (v *viewerClient) next() *rtsp.Message {
	v.t.Helper()
	_ = v.SetReadDeadline(time.Now().Add(testTimeout))
	for {
		m, err := v.reader.Next()
		if err != nil {
			v.t.Fatal(err)
		}
		if (m.Get("CSeq") != "2" || m.Method != "") && m.Status != 100 {
			return m
		}
	}
}

func (v *viewerClient) wantAnswer(id string, status int) *rtsp.Message {
	v.t.Helper()
	m := v.next()
	if m.Status != status || m.Get("Session") != id {
		v.t.Fatalf("want status %d for session %q, got %+v", status, id, m)
	}
	return m
}

func (v *viewerClient) wantRelease(id, reason string) {
	v.t.Helper()
	if m := v.next(); m.Method != "TEARDOWN" || m.Get("Session") != id || m.Get("Reason") != reason {
		v.t.Fatalf("want a TEARDOWN of session %s with reason %s, got %+v", id, reason, m)
	}
}

// wantNoMessage checks that no further message arrives during quietPeriod, except responses to a TEARDOWN.
func (v *viewerClient) wantNoMessage() {
	v.t.Helper()
	_ = v.SetReadDeadline(time.Now().Add(quietPeriod))
	for {
		m, err := v.reader.Next()
		if err != nil {
			_ = v.SetReadDeadline(time.Time{})
			return
		}
		if m.Get("CSeq") != "2" || m.Method != "" {
			v.t.Fatalf("unexpected message: %+v", m)
		}
	}
}

// eventually waits until a condition holds and fails the test after testTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// wantSessionCount waits until the controller and the connections have the same number of sessions for each server,
// and their sum, the node's table and the orchestrator's table all have n sessions.
func (r *testNode) wantSessionCount(n int) {
	r.t.Helper()
	eventually(r.t, fmt.Sprintf("%d sessions in all tables", n), func() bool {
		same := make(chan bool, 1)
		r.orchestrator.Inspect(func() {
			sum, ok := 0, true
			for _, b := range r.pool.countSessions(r.controller.OwnSessionCount) {
				sum, ok = sum+b.controller, ok && b.controller == b.sockets
			}
			same <- ok && sum == n
		})
		r.mu.Lock()
		nodeSessions := len(r.sessions)
		r.mu.Unlock()
		return <-same && nodeSessions == n && r.orchestrator.Stats.Open.Load() == int64(n)
	})
}

const (
	idA = "9b1f03aa5c7e2d41"
	idB = "9b1f03aa5c7e2d42"
	idC = "9b1f03aa5c7e2d43"
)
