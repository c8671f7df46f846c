package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestDuplicateSessionIDIsRefused checks that a set-up under an open session id is refused and that the open request is
// not affected. The refusal carries the session id unless it is sent on the open request's own connection.
func TestDuplicateSessionIDIsRefused(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startNode(t, b)
	v := n.dial().send(setUpRequest(idA, "paid", ""))
	m := b.next(t, "open")
	n.dial().send(impostorSetUp(idA, "free")).wantAnswer(idA, 400)
	v.send(impostorSetUp(idA, "free")).wantAnswer("", 400)
	answerReady(m)
	if a := v.wantAnswer(idA, 200); string(a.Body) != "for "+idA+"\r\n\"x\"" {
		t.Errorf("description %q", a.Body)
	}
	v.wantNoMessage()
	n.wantSessionCount(1)
}

// TestMalformedRequestsAreRefused checks that each malformed request is refused or its connection closed in time, while
// valid requests are served.
func TestMalformedRequestsAreRefused(t *testing.T) {
	n := startNodeWithSockets(t, 128, newBox(t, "s-1", answerReady))
	good := setUpRequest(idB, "free", "")
	change := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	huge := change("Content-Length: ", "Content-Length: 6000000") + strings.Repeat("x", 8<<20)
	for name, text := range map[string]string{
		"noise": "\x16\x03\x01\x02\x00\x01\r\n\r\n", "endless": strings.Repeat("a", 3<<20), "huge body": huge,
		"negative length": change("Content-Length: ", "Content-Length: -"), "class": change("free", "gold"), "no class": change("X-Cos: free\r\n", ""),
		"timer": change("3000", "NaN"), "negative timer": change("3000", "-5"), "no timer": change("X-Timer-Ms: 3000\r\n", ""), "endless timer": change("3000", "1e300"),
		"hint": change("8200.0", "Inf"), "home": change("home:0", "home:99999999999"), "copies": change("copies:4", "copies:-1"), "top": change("top:2", "top:7"),
		"viewer": change("viewer:00", "viewer:zz"), "no home": change("home:0;", ""), "no id": change("Session: "+idB+"\r\n", ""), "id": change(idB, "12"),
		"title": change("7f3a9c21e0b4d655", "nothing here"), "title not hexadecimal": change("7f3a9c21e0b4d655", "xyz"), "description not UTF-8": change("audio", "\xff"),
		"method": change("SETUP", "PLAY"), "incomplete": good[:60], "lone teardown": tearDownRequest(idC),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", n.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go func() { _, _ = io.WriteString(c, text) }()
			_ = c.SetReadDeadline(time.Now().Add(testTimeout))
			b := make([]byte, 4096)
			k, _ := io.ReadAtLeast(c, b, 12)
			if !bytes.HasPrefix(b[:k], []byte("RTSP/1.0 4")) && !bytes.HasPrefix(b[:k], []byte("RTSP/1.0 5")) {
				t.Errorf("response %q", b[:k])
			}
		})
	}
	t.Run("valid", func(t *testing.T) {
		for i := range 20 {
			n.dial().send(setUpRequest(fmt.Sprintf("%016x", i+1), "free", "")).wantAnswer(fmt.Sprintf("%016x", i+1), 200)
		}
	})
}

// TestSilentConnectionsAreEvicted checks that connections without any message do not use up the descriptors that others
// need.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	n := startNodeWithSockets(t, 128, newBox(t, "s-1", answerReady))
	v := n.dial().send(setUpRequest(idA, "free", ""))
	v.wantAnswer(idA, 200)
	for range 300 {
		n.dial()
	}
	n.dial().send(setUpRequest(idB, "free", "")).wantAnswer(idB, 200)
	n.viewerConns.mu.Lock()
	open := len(n.viewerConns.conns)
	n.viewerConns.mu.Unlock()
	if open > n.viewerConns.maxConnections {
		t.Errorf("%d connections open", open)
	}
	v.send(setUpRequest(idC, "free", "")).wantAnswer(idC, 200) // the first connection was not evicted
	eventually(t, "the silent connections closed", func() bool {
		n.viewerConns.mu.Lock()
		defer n.viewerConns.mu.Unlock()
		return len(n.viewerConns.conns) == 2
	})
}

// TestSlowReaderIsDisconnected checks that a viewer that does not read its answers is disconnected and delays nobody.
func TestSlowReaderIsDisconnected(t *testing.T) {
	n := startNode(t, newBox(t, "s-1", answerReady))
	slow := n.dial()
	_ = slow.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	over := make(chan struct{})
	go func() {
		defer close(over)
		ping := strings.Repeat("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: "+strings.Repeat("3", 2000)+"\r\nContent-Length: 0\r\n\r\n", 50)
		for range 2000 {
			if _, err := io.WriteString(slow, ping); err != nil {
				return
			}
		}
		t.Error("200 MB of responses were buffered for a viewer that does not read")
	}()
	for i := range 20 {
		id := fmt.Sprintf("%016x", i+1)
		n.dial().send(setUpRequest(id, "free", "")).wantAnswer(id, 200)
	}
	<-over
}
