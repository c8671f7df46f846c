package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
)

// TestDescriptorExhaustion covers idle clients that occupy all available descriptors while the coordinator is down.
// Requests are still answered, the coordinator is followed as soon as it returns, and all descriptors are freed.
func TestDescriptorExhaustion(t *testing.T) {
	const sockets, idle = 96, 300
	a, b := newBox(t, "s-1", answerReady), newBox(t, "s-2", answerReady)
	spare, err := net.Listen("tcp", "127.0.0.1:0") // the coordinator's address: nothing answers there yet
	if err != nil {
		t.Fatal(err)
	}
	defer spare.Close()
	child := startChild(t, childOptions{sockets: sockets, settings: defaultSettings}, spare.Addr().String(),
		[]coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true, Servers: []coordinator.Entry{a.entry("up")}}}})
	var all []net.Conn
	dial := func() *viewerClient {
		v := child.dial()
		all = append(all, v.Conn)
		return v
	}
	descriptors := func() int {
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", child.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(all)
	}
	dial().send(setUpRequest(idA, "free", "")).wantAnswer(idA, 200)
	before := descriptors()
	for i := range idle {
		v := dial()
		if i%2 == 0 { // half of them have sent one request, as usual clients do
			_, _ = v.Write([]byte("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"))
		}
		if i%20 == 0 {
			id := fmt.Sprintf("%016x", i+1)
			dial().send(setUpRequest(id, "paid", "")).wantAnswer(id, 200)
		}
	}
	if count := descriptors(); count > sockets {
		t.Errorf("%d descriptors open, limit %d", count, sockets)
	}
	feed := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") != "1" {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(coordinator.Updates{Index: 2, Updates: []coordinator.Update{{Endpoints: &coordinator.Endpoints{
			Servers: []coordinator.Entry{a.entry("draining"), b.entry("up")}}}}})
	}))
	feed.Listener = spare // the coordinator is back
	feed.Start()
	defer feed.Close()
	for i := 0; ; i++ {
		id := fmt.Sprintf("%016x", 0x1000+i)
		dial().send(setUpRequest(id, "paid", "")).wantAnswer(id, 200)
		if len(b.received) > 0 {
			break
		}
		if i == 500 {
			t.Fatal("the drain was not applied")
		}
	}
	for _, c := range all[1:] { // the first one was open when the descriptors were counted
		_ = c.Close()
	}
	// One more than before: the connection to the second server.
	eventually(t, "the descriptors freed", func() bool { return descriptors() <= before+1 })
	_ = all[0].Close()
}

// freeAddress returns an unused loopback address. The host is a random one of 127.0.0.0/8: on 127.0.0.1, a listener of
// another test could get the port before the node listens on it.
func freeAddress(t *testing.T) string {
	host := net.IPv4(127, byte(1+rand.IntN(250)), byte(rand.IntN(256)), byte(1+rand.IntN(250)))
	l, err := net.Listen("tcp", net.JoinHostPort(host.String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestStartDoesNotWaitForServers checks that a node serves as soon as it listens, even if hundreds of servers accept
// no connection and the coordinator does not answer.
func TestStartDoesNotWaitForServers(t *testing.T) {
	b := newBox(t, "s-1", answerReady)
	list := []coordinator.Entry{b.entry("up")}
	for i := range 400 {
		list = append(list, coordinator.Entry{ID: fmt.Sprintf("s-%d", i+2), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "east",
			Kind: "std", State: "draining"})
	}
	var dials []string
	n := startNodeWithList(t, 256, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			if addr != b.listener.Addr().String() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			n.mu.Lock()
			dials = append(dials, addr)
			n.mu.Unlock()
			return dialTCP(ctx, addr, within)
		}
	}, list)
	n.dial().send("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n").wantAnswer("", 200)
	n.mu.Lock()
	if len(dials) > 0 {
		t.Errorf("connections dialed at start: %v", dials)
	}
	n.mu.Unlock()
	n.dial().send(setUpRequest(idA, "paid", "")).wantAnswer(idA, 200)
	n.wantSessionCount(1)
}
