package node

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"rainpulley/control"
	"rainpulley/internal/core"
	"rainpulley/internal/jsonlines"
)

// TestPlaysAndEnds: what a server is sent, the description byte for byte, and who is told of the end.
func TestSetUpAndClose(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	m := b.next(t, "open")
	if m.ID != idA || m.Attr("class") != "paid" || m.Attr("key") != "7f3a9c21e0b4d655" || *m.Text != "line of "+idA+"\r\nm=audio \"1\"\r\n" {
		t.Errorf("%+v", m.Message)
	}
	if left, ok := m.Number("left"); !ok || left <= 2000 || left > 3000 {
		t.Errorf("left %v", m.Attr("left"))
	}
	if rung, ok := m.Number("rung"); !ok || rung < 1 || rung > 2 {
		t.Errorf("rung %v", m.Attr("rung"))
	}
	// progress, a stray answer ahead, what stands under the id itself, and a copy behind
	m.conn.send(`{"msg":"trying","sid":%q}`, idA)
	m.conn.send(`{"msg":"ready","sid":%q,"text":"stray"}`, idB)
	m.conn.send(`{"msg":"ready","sid":%q,"attrs":{},"text":"tab\t \u00e9 \"q\"\r\n"}`+"\n"+`{"msg":"ready","sid":%q,"text":"copy"}`, idA, idA)
	if a := v.wantAnswer(idA, 200); string(a.Body) != "tab\t é \"q\"\r\n" {
		t.Errorf("%q", a.Body)
	}
	v.wantNoMessage()
	n.wantSessionCount(1)
	m.conn.send(`{"msg":"close","sid":%q,"code":16}`, idA)
	v.wantRelease(idA, "cause=16")
	n.wantSessionCount(0)
}

// TestCauses: how each end ahead of the answer is passed on, by class, and how many servers were tried.
func TestCloseCauseBeforeAnswer(t *testing.T) {
	for _, c := range []struct {
		class  string
		close  string // code of the first server tried; the second answers
		status int
		tries  int
	}{
		{"free", "34", 200, 2}, {"paid", "34", 200, 2}, {"free", "47", 200, 2}, {"paid", "47", 504, 1},
		{"free", "41", 200, 2}, {"paid", "41", 504, 1}, {"paid", "9999", 504, 1}, {"paid", `"x"`, 504, 1}, {"free", "102", 453, 1},
	} {
		t.Run(c.class+c.close, func(t *testing.T) {
			tries := make(chan string, 10)
			answer := func(m receivedMessage) {
				if m.Type != jsonlines.TypeOpen {
					return
				}
				if tries <- m.ID; len(tries) == 1 {
					m.conn.send(`{"msg":"close","sid":%q,"attrs":{"load":"rif:1;x0:0.1;x1:0.1"},"code":%s}`, m.ID, c.close)
				} else {
					answerReady(m)
				}
			}
			n := startNode(t, newBox(t, "s-1", answer), newBox(t, "s-2", answer))
			n.dial().send(setUpRequest(idA, c.class, "")).wantAnswer(idA, c.status)
			if len(tries) != c.tries {
				t.Errorf("%d tries", len(tries))
			}
			n.wantSessionCount(map[bool]int{true: 1}[c.status == 200])
		})
	}
}

// TestSpoilt: an answer that cannot be read ends its set-up as one that may have run; what stands at that server
// stays, is heard on any connection, and the set-up that may run is released there.
func TestUnreadableAnswer(t *testing.T) {
	for name, spoil := range map[string]func(receivedMessage){
		"noise": func(m receivedMessage) { m.conn.send("\x00\x01 noise") },
		"half":  func(m receivedMessage) { m.conn.send(`{"msg":"ready","sid":%q,"text":"a`, m.ID) },
		"endless": func(m receivedMessage) {
			m.conn.send(`{"msg":"ready","sid":%q,"text":"%s`, m.ID, strings.Repeat("x", 3*jsonlines.MaxLineBytes))
		},
		"break":    func(m receivedMessage) { _, _ = io.WriteString(m.conn, `{"msg":"re`); _ = m.conn.Close() },
		"no text":  func(m receivedMessage) { m.conn.send(`{"msg":"ready","sid":%q}`, m.ID) },
		"not text": func(m receivedMessage) { m.conn.send(`{"msg":"ready","sid":%q,"text":7}`, m.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBox(t, "s-1", nil)
			n := startNode(t, b)
			v := n.dial().send(setUpRequest(idA, "paid", ""))
			answerReady(b.next(t, "open"))
			v.wantAnswer(idA, 200)
			v.send(setUpRequest(idB, "paid", ""))
			m := b.next(t, "open")
			before := b.acceptedCount()
			spoil(m)
			v.wantAnswer(idB, 504)
			eventually(t, "a connection, accepted", func() bool {
				n.pool.mu.Lock()
				defer n.pool.mu.Unlock()
				return n.pool.servers["s-1"].anyConn() != nil && (b.acceptedCount() > before || name == "no text")
			})
			b.mu.Lock()
			last := b.conns[len(b.conns)-1]
			b.mu.Unlock()
			n.wantSessionCount(1)
			last.send(`{"msg":"close","sid":%q,"code":41}`, idA)
			v.wantRelease(idA, "cause=41")
			n.wantSessionCount(0)
		})
	}
}

// TestGivenUp: whatever crosses a viewer's give-up, the server is told and all counts agree after.
func TestViewerWithdrawsSetUp(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "free", ""))
	m := b.next(t, "open")
	v.send(tearDownRequest(idA))
	if c := b.next(t, "close"); c.ID != idA || c.Cause() != jsonlines.CauseEnd {
		t.Errorf("%+v", c.Message)
	}
	answerReady(m) // too late: nobody wants it
	n.wantSessionCount(0)
	v.send(setUpRequest(idB, "free", ""))
	answerReady(b.next(t, "open"))
	v.wantAnswer(idB, 200)
	other := n.dial().send(tearDownRequest(idB)) // on any connection
	if c := b.next(t, "close"); c.ID != idB {
		t.Errorf("%+v", c.Message)
	}
	n.wantSessionCount(0)
	other.wantNoMessage()
	v.wantNoMessage()
	// many at once, each given up at another moment
	b2 := n.dial()
	for i := range 60 {
		id := fmt.Sprintf("%016x", i+1)
		b2.send(setUpRequest(id, "free", ""))
		if i%2 == 0 {
			answerReady(b.next(t, "open"))
		}
		b2.send(tearDownRequest(id))
	}
	n.wantSessionCount(0)
	// a connection that closes takes its waiting set-ups with it
	gone := n.dial().send(setUpRequest(idC, "paid", ""))
	for m = b.next(t, "open"); m.ID != idC; m = b.next(t, "open") {
	}
	_ = gone.Close()
	b.next(t, "close")
	n.wantSessionCount(0)
}

// TestNotConnected: only a connection that the server did not let come up speaks against it.
func TestConnectOutcome(t *testing.T) {
	gone, withdraw := context.WithCancel(context.Background())
	withdraw()
	late, stop := context.WithTimeout(context.Background(), 0)
	defer stop()
	for _, c := range []struct {
		ctx  context.Context
		err  error
		want control.Outcome
	}{{gone, context.Canceled, control.NotSent}, {context.Background(), errNoSlot, control.NotSent},
		{late, context.DeadlineExceeded, control.ConnectFailed}, {context.Background(), syscall.ECONNREFUSED, control.ConnectFailed}} {
		if got := connectOutcome(c.ctx, c.err); got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}

// TestServerDies: its sessions are released, those of a quiet server that is alive are not.
func TestServerCrashReleasesSessions(t *testing.T) {
	a, b := newBox(t, "s-1", nil), newBox(t, "s-2", nil)
	n := startNode(t, a, b)
	v := n.dial()
	v.send(setUpRequest(idA, "free", ";at:s-1")).send(setUpRequest(idB, "free", ";at:s-2")).send(setUpRequest(idA, "free", ";at:s-1"))
	n.wantSessionCount(2)
	a.crash()
	v.wantRelease(idA, "cause=41")
	n.wantSessionCount(1)
	_ = v.SetReadDeadline(time.Now().Add(2 * time.Second)) // several times what a detector waits for a note
	if m, err := v.reader.Next(); err == nil {
		t.Errorf("a quiet server lost its session: %+v", m)
	}
	b.mu.Lock()
	last := b.conns[len(b.conns)-1]
	b.mu.Unlock()
	last.send(`{"msg":"event","sid":%q,"attrs":{"note":"rung","value":2}}`, idB)
	last.send(`{"msg":"close","sid":%q,"code":31}`, idB) // its viewer ended it and is owed nothing
	n.wantSessionCount(0)
}

// TestAdmissionLooksAgain: a set-up whose server was drained, or whose viewer withdrew, while it waited is not sent.
func TestWaitingSetUpIsCheckedAgain(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idC, "free", ""))
	answerReady(b.next(t, "open"))
	v.wantAnswer(idC, 200)
	eventually(t, "a connection at rest", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		s := n.pool.servers["s-1"]
		return s != nil && len(s.idleConns) > 0
	})
	long, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	withdrawn, withdraw := context.WithCancel(long)
	withdraw()
	try := core.Attempt{ID: idA, Server: "s-1", Listener: &session{node: n.Node}}
	if r := n.pool.SetUp(withdrawn, try); r.Outcome != control.NotSent {
		t.Errorf("withdrawn: %v", core.OutcomeName(r.Outcome))
	}
	n.pool.applyList([]control.Server{{ID: "s-1", State: control.Draining}}, nil, false)
	if r := n.pool.SetUp(long, try); r.Outcome != control.NotSent {
		t.Errorf("drained: %v", core.OutcomeName(r.Outcome))
	}
	n.pool.applyList([]control.Server{{ID: "s-1", State: control.Ready}}, nil, false)
	n.dial().send(setUpRequest(idB, "free", ""))
	if m := b.next(t, "open"); m.ID != idB {
		t.Errorf("sent all the same: %+v", m.Message)
	}
}

// TestConnectionsRest: the connection of a set-up is not closed after its answer, however many there are; a server
// would take the set-up for given up.
func TestConnectionsKeptWhileSessionsPlay(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial()
	var opens []receivedMessage
	for i := range 12 * maxKeptIdle {
		v.send(setUpRequest(fmt.Sprintf("%016x", i+1), "free", ""))
		opens = append(opens, b.next(t, "open"))
	}
	for _, m := range opens {
		answerReady(m)
		v.wantAnswer(m.ID, 200)
	}
	eventually(t, "all rest", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return len(n.pool.servers["s-1"].idleConns) >= len(opens)
	})
	n.pool.mu.Lock()
	s, now := n.pool.servers["s-1"], n.now()
	n.pool.closeSurplus(s, now+2*surplusIdleTimeout)
	standing := len(s.conns) // a release may be on its way on any
	n.pool.mu.Unlock()
	for _, m := range opens {
		v.send(tearDownRequest(m.ID))
	}
	n.wantSessionCount(0)
	n.pool.mu.Lock()
	now = n.now()
	for _, l := range s.idleConns {
		l.lastUsed = now
	}
	n.pool.closeSurplus(s, now+surplusIdleTimeout/2)
	early := len(s.conns)
	n.pool.closeSurplus(s, now+2*surplusIdleTimeout)
	late := len(s.conns)
	n.pool.mu.Unlock()
	if standing < len(opens) || early < len(opens) || late != maxKeptIdle {
		t.Errorf("%d connections for %d set-ups that play, %d when they have ended, later %d", standing, len(opens), early, late)
	}
}

// TestLeaves: after SIGTERM what was taken and what still arrives is answered, then the node ends by itself.
func TestShutdownAnswersLateRequests(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	n.ArrivalWindow = shutdownMargin
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	m := b.next(t, "open")
	n.stop()
	late := n.dial().send(setUpRequest(idB, "free", ""))
	answerReady(b.next(t, "open"))
	late.wantAnswer(idB, 200)
	answerReady(m)
	v.wantAnswer(idA, 200)
	select {
	case err := <-n.done:
		n.done <- err
	case <-time.After(testTimeout):
		t.Fatal("did not end")
	}
}

// TestConfig: what is missing or malformed is named.
func TestConfigErrors(t *testing.T) {
	good := `{"listen":"127.0.0.1:1","seed":"a","limits":{"cores":1,"memory_mb":64,"sockets":256},"coordinator":"127.0.0.1:2","known":{"index":1,"updates":[{}]},"settings":` + defaultSettings + `}`
	if _, err := parseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][3]string{{`"127.0.0.1:1"`, `"nowhere"`, "listen"}, {`"127.0.0.1:2"`, `""`, "coordinator"}, {`"seed":"a"`, `"seed":"xyz"`, "seed"},
		{`"sockets":256`, `"sockets":3`, "limits"}, {`"cores":1`, `"cores":-1`, "limits"}, {`"memory_mb":64`, `"memory_mb":"x"`, "line 1"}, {`[{}]`, `[]`, "known"},
		{`"ladderKb":[100,200,400]`, `"ladderKb":[]`, "ladderKb"}, {`"seed":"a",`, `"seed" "a",`, "line 1"}, {defaultSettings, `null`, "settings"}} {
		if _, err := parseConfig([]byte(strings.Replace(good, c[0], c[1], 1))); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: %v", c[1], err)
		}
	}
	if _, err := ReadConfig(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no file, no error")
	}
	if _, err := ReadConfig(""); err == nil {
		t.Error("no name, no error")
	}
}
