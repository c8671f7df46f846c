package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
)

// TestDescriptorsRunOut: while discovery is down, clients that stay idle take every descriptor they can. Requests are
// answered all the same, the coordinator is followed as soon as it is back, and all descriptors come back.
func TestDescriptorExhaustion(t *testing.T) {
	const sockets, idle = 96, 300
	a, b := newBox(t, "s-1", ready), newBox(t, "s-2", ready)
	spare, err := net.Listen("tcp", "127.0.0.1:0") // where the coordinator will be: nobody answers there yet
	if err != nil {
		t.Fatal(err)
	}
	defer spare.Close()
	child := startChild(t, childOptions{sockets: sockets, settings: defaultSettings}, spare.Addr().String(),
		[]coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true, Servers: []coordinator.Entry{a.entry("up")}}}})
	var all []net.Conn
	dial := func() *dialogue {
		d := child.dial()
		all = append(all, d.Conn)
		return d
	}
	descriptors := func() int {
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", child.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(all)
	}
	dial().say(setUp(idA, "free", "")).want(idA, 200)
	before := descriptors()
	for i := range idle {
		d := dial()
		if i%2 == 0 { // half of them have spoken once, as a usual client does
			_, _ = d.Write([]byte("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"))
		}
		if i%20 == 0 {
			id := fmt.Sprintf("%016x", i+1)
			dial().say(setUp(id, "paid", "")).want(id, 200)
		}
	}
	if count := descriptors(); count > sockets {
		t.Errorf("%d descriptors of %d", count, sockets)
	}
	feed := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") != "1" {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(coordinator.Updates{Index: 2, Updates: []coordinator.Update{{Endpoints: &coordinator.Endpoints{
			Servers: []coordinator.Entry{a.entry("draining"), b.entry("up")}}}}})
	}))
	feed.Listener = spare // it is back
	feed.Start()
	defer feed.Close()
	for i := 0; ; i++ {
		id := fmt.Sprintf("%016x", 0x1000+i)
		dial().say(setUp(id, "paid", "")).want(id, 200)
		if len(b.heard) > 0 {
			break
		}
		if i == 500 {
			t.Fatal("the drain was not followed")
		}
	}
	for _, c := range all[1:] { // the first had come when they were counted
		_ = c.Close()
	}
	eventually(t, "the descriptors back", func() bool { return descriptors() <= before+1 }) // one to the second server
	_ = all[0].Close()
}

// listenAddress is a free address of loopback.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestReadyAtOnce: a node with hundreds of servers that let no connection come up, and a coordinator that does not
// answer, serves as soon as it listens: nothing at start waits for them.
func TestStartDoesNotWaitForServers(t *testing.T) {
	b := newBox(t, "s-1", ready)
	list := []coordinator.Entry{b.entry("up")}
	for i := range 400 {
		list = append(list, coordinator.Entry{ID: fmt.Sprintf("s-%d", i+2), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "east", Kind: "std", State: "draining"})
	}
	var dials []string
	n := startListed(t, 256, func(n *Node) {
		n.Dial = func(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
			if addr != b.l.Addr().String() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			n.mu.Lock()
			dials = append(dials, addr)
			n.mu.Unlock()
			return dialTCP(ctx, addr, within)
		}
	}, list)
	n.dial().say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n").want("", 200)
	n.mu.Lock()
	if len(dials) > 0 {
		t.Errorf("dialled at start: %v", dials)
	}
	n.mu.Unlock()
	n.dial().say(setUp(idA, "paid", "")).want(idA, 200)
	n.agree(1)
}
