package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
	"rainpulley/internal/jsonlines"
)

// receivedMessage is one line that a scripted server received, with the connection that carried it.
type receivedMessage struct {
	*jsonlines.Message
	conn *scriptedConn
}

// scriptedConn is one connection at a scripted server.
type scriptedConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *scriptedConn) send(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c, format+"\n", a...)
}

// maxUnreadMessages is how many messages a scripted server keeps for next before its connections block.
const maxUnreadMessages = 1000

// box is a scripted server. It passes each received message to answer and then to the channel received, if it has one.
type box struct {
	id       string
	listener net.Listener
	received chan receivedMessage
	answer   func(receivedMessage)

	mu       sync.Mutex
	onAccept func(*scriptedConn) // called for each accepted connection before anything is read
	conns    []*scriptedConn
}

func newBox(t *testing.T, id string, answer func(receivedMessage)) *box {
	return newBoxWithChannel(t, id, answer, make(chan receivedMessage, maxUnreadMessages))
}

// newBoxWithChannel starts a scripted server. Without a channel its messages are only passed to answer.
func newBoxWithChannel(t *testing.T, id string, answer func(receivedMessage), received chan receivedMessage) *box {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &box{id: id, listener: l, received: received, answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := &scriptedConn{Conn: c}
			b.mu.Lock()
			b.conns = append(b.conns, p)
			onAccept := b.onAccept
			b.mu.Unlock()
			if onAccept != nil {
				onAccept(p)
			}
			go b.read(p)
		}
	}()
	t.Cleanup(b.crash)
	return b
}

func (b *box) read(c *scriptedConn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, jsonlines.MaxLineBytes)
	for {
		m, err := jsonlines.Read(r)
		if err != nil {
			return
		}
		if b.answer != nil {
			b.answer(receivedMessage{m, c})
		}
		if b.received != nil {
			b.received <- receivedMessage{m, c}
		}
	}
}

// setOnAccept sets the function that is called for each connection accepted from now on.
func (b *box) setOnAccept(onAccept func(*scriptedConn)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onAccept = onAccept
}

// crash ends the server like a process that dies: it closes the listener and all connections.
func (b *box) crash() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.Close()
	}
}

// acceptedCount returns the number of connections accepted so far.
func (b *box) acceptedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// next returns the next received message of a type, and skips all others.
func (b *box) next(t *testing.T, messageType string) receivedMessage {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case m := <-b.received:
			if m.Type == messageType {
				return m
			}
		case <-timeout:
			t.Fatalf("%s did not receive a message of type %q", b.id, messageType)
		}
	}
}

// entry returns the box's entry of the server list.
func (b *box) entry(state string) coordinator.Entry {
	return coordinator.Entry{ID: b.id, Addr: b.listener.Addr().String(), Zone: "east", Kind: "std", State: state,
		Weight: 10}
}

// answerReady answers each set-up as ready, with a description that names its session.
func answerReady(m receivedMessage) {
	if m.Type == jsonlines.TypeOpen {
		m.conn.send(`{"msg":"ready","sid":%q,"attrs":{},"text":"for %s\r\n\"x\""}`, m.ID, m.ID)
	}
}

// scriptedCoordinator is an HTTP server that serves a list of updates as a coordinator does, with long polling.
type scriptedCoordinator struct {
	*httptest.Server
	mu      sync.Mutex
	index   int64
	updates []coordinator.Update
	changed chan struct{}
	queries chan string
}

func newScriptedCoordinator(t *testing.T, updates []coordinator.Update) *scriptedCoordinator {
	c := &scriptedCoordinator{updates: updates, index: int64(len(updates)), changed: make(chan struct{}),
		queries: make(chan string, 1000)}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.queries <- r.URL.RawQuery
		var n int64
		_, _ = fmt.Sscan(r.URL.Query().Get("follow"), &n)
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if n >= c.lastIndex() {
			select {
			case <-changed:
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = json.NewEncoder(w).Encode(coordinator.Updates{Index: c.index, Updates: c.updates[min(n, c.index):]})
	}))
	t.Cleanup(c.Server.Close)
	return c
}

func (c *scriptedCoordinator) lastIndex() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index
}

// push publishes an update with the given server entries.
func (c *scriptedCoordinator) push(servers ...coordinator.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	c.updates = append(c.updates, coordinator.Update{Endpoints: &coordinator.Endpoints{Servers: servers}})
	close(c.changed)
	c.changed = make(chan struct{})
}
