package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"rainpulley/internal/coordinator"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/rtsp"
)

// BenchmarkSetUp measures a session from SETUP to TEARDOWN through a node over loopback. The results include the work
// of the scripted server and viewer, which run in the same process.
func BenchmarkSetUp(b *testing.B) {
	serverEnd, viewerEnd := listenLoopback(b), listenLoopback(b)
	go func() {
		for {
			c, err := serverEnd.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReaderSize(c, jsonlines.MaxLineBytes)
				var out []byte
				for {
					line, err := r.ReadSlice('\n')
					if err != nil {
						return
					}
					if i := strings.Index(string(line), `"sid":"`); strings.HasPrefix(string(line), `{"msg":"open"`) {
						out = jsonlines.Append(out[:0], jsonlines.TypeReady, string(line[i+7:i+23]), nil, -1, "m=audio\r\n")
						_, _ = c.Write(out)
					}
				}
			}()
		}
	}()
	c, err := parseConfig([]byte(`{"listen":"127.0.0.1:1","limits":{"cores":1,"memory_mb":64,"sockets":256},"coordinator":"127.0.0.1:2","known":{"index":1,"updates":[{"endpoints":{"full":true,"servers":[
	 {"id":"s-1","addr":"` + serverEnd.Addr().String() + `","zone":"east","kind":"std","state":"up","weight":100}]}}]},"settings":` + defaultSettings + `}`))
	if err != nil {
		b.Fatal(err)
	}
	n, err := New(c, "", slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	n.follower = coordinator.New(listenLoopback(b).Addr().String(), 1, n.Log,
		n.handleUpdates)
	n.Listener, n.ArrivalWindow = viewerEnd, -n.longestDeadline()
	over := make(chan error, 1)
	ctx, stop := context.WithCancel(context.Background())
	go func() { over <- n.Run(ctx) }()
	defer func() { stop(); <-over }()
	conn, err := net.Dial("tcp", viewerEnd.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	r := rtsp.NewReader(bufio.NewReader(conn))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		id := fmt.Sprintf("%016x", i)
		if _, err := io.WriteString(conn, setUpRequest(id, "free", "")); err != nil {
			b.Fatal(err)
		}
		if m, err := r.Next(); err != nil || m.Status != 200 {
			b.Fatal(m, err)
		}
		if _, err := io.WriteString(conn, tearDownRequest(id)); err != nil {
			b.Fatal(err)
		}
		if _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// listenLoopback listens on a free loopback port until the benchmark ends.
func listenLoopback(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	return l
}
