// Package bench compares media playlist reloads served by the edge with the same body served by net/http, by
// fasthttp and by a bare loop that writes a fixed answer, over one keep-alive loopback connection. It is a separate
// module so that fasthttp is not a dependency of the main module.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
	"rainpulley/internal/edge"
	"rainpulley/internal/planner"
	"rainpulley/internal/standin"
)

// listen returns a listener on a free loopback port.
func listen(b testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// freeAddr returns a free loopback address.
func freeAddr(b testing.TB) string {
	l := listen(b)
	defer l.Close()
	return l.Addr().String()
}

// client sends the same request repeatedly and reads the answers without allocating.
type client struct {
	conn    net.Conn
	r       *bufio.Reader
	request []byte
	body    []byte
}

func dial(b testing.TB, addr, path string) *client {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return &client{conn: c, r: bufio.NewReaderSize(c, 16<<10), request: []byte("GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n"),
		body: make([]byte, 64<<10)}
}

var lengthName = []byte("Content-Length: ")

func (c *client) get(b testing.TB) []byte {
	if _, err := c.conn.Write(c.request); err != nil {
		b.Fatal(err)
	}
	n := -1
	for first := true; ; first = false {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		if first && !bytes.HasPrefix(line, []byte("HTTP/1.1 200")) {
			b.Fatalf("status line is %q, want status 200", line)
		}
		if len(line) == 2 {
			break
		}
		if bytes.HasPrefix(line, lengthName) {
			n = 0
			for _, d := range line[len(lengthName) : len(line)-2] {
				n = n*10 + int(d-'0')
			}
		}
	}
	if n < 0 {
		b.Fatal("answer without Content-Length")
	}
	if _, err := io.ReadFull(c.r, c.body[:n]); err != nil {
		b.Fatal(err)
	}
	return c.body[:n]
}

func seconds(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }

// startEdge starts an edge with one long session, and returns the edge's address and the path of the media playlist.
// The playlist has its full length from the first reload on.
func startEdge(b testing.TB) (addr, path string) {
	s := &config.Site{Zones: []string{"z"}, Cells: 1, Racks: 1, Kinds: []config.Kind{{Name: "k", Streams: 20}},
		Ladder: []config.Rung{{Rate: 300, Worth: 1}}, Links: config.Links{PerWeight: 20000, Uplink: 20000},
		Classes:  []config.Class{{Name: "play", Effect: "repeatable", Aim: seconds(1), Deadline: seconds(4), Worth: 1}},
		Rules:    config.Rules{DrainGrace: seconds(1), AnswerSlack: seconds(0.04)},
		Attempts: config.Attempts{Most: 5, ConnectTimeout: seconds(0.25)}, Notes: config.Notes{Reports: "answers"},
		Planner:  config.Planner{Listen: freeAddr(b), CheckEvery: seconds(0.05), CheckFor: seconds(1), GoneAfter: 3},
		Playback: config.Playback{Ahead: seconds(9), Behind: seconds(1), Silence: seconds(600)},
		Limits:   config.Limits{Connections: 100, Sessions: 100, Queue: 64},
		Titles:   []config.Title{{Name: "clip", Span: 1, Length: seconds(3600)}},
		Boxes:    []config.Box{{Addr: freeAddr(b), Zone: "z", Kind: "k", Weight: 1}},
		Edges:    []config.Edge{{Zone: "z", Listen: freeAddr(b)}}}
	ctx, stop := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	f := standin.NewFleet(s, audit.NewLog(), 1)
	if err := f.Start(ctx); err != nil {
		b.Fatal(err)
	}
	e, err := edge.New(edge.Options{Site: s, Planner: s.Planner.Listen, Log: log, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan struct{}, 2)
	go func() { _ = planner.New(planner.Options{Site: s, Log: log}).Run(ctx); done <- struct{}{} }()
	go func() { _ = e.Run(ctx); done <- struct{}{} }()
	b.Cleanup(func() { stop(); <-done; <-done; f.Wait() })
	addr = s.Edges[0].Listen
	for range 200 {
		if r, err := http.Get("http://" + addr + "/play/clip/index.m3u8?key=bench"); err == nil {
			text, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			for _, l := range strings.Split(string(text), "\n") {
				if strings.HasPrefix(l, "/s/") {
					return addr, l
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.Fatal("no session started within 200 requests")
	return "", ""
}

const contentType = "application/vnd.apple.mpegurl"

func BenchmarkReload(b *testing.B) {
	addr, path := startEdge(b)
	body := bytes.Clone(dial(b, addr, path).get(b))

	std := listen(b)
	stdServer := &http.Server{ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, WriteTimeout: 10 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.Header().Set("Cache-Control", "no-store")
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
		})}
	go func() { _ = stdServer.Serve(std) }()
	defer stdServer.Close()

	fast := listen(b)
	fastServer := &fasthttp.Server{ReadTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, WriteTimeout: 10 * time.Second,
		Handler: func(c *fasthttp.RequestCtx) {
			c.SetContentType(contentType)
			c.Response.Header.Set("Cache-Control", "no-store")
			c.SetBody(body)
		}}
	go func() { _ = fastServer.Serve(fast) }()
	defer fastServer.Shutdown()

	bare := listen(b)
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nCache-Control: no-store\r\nAccess-Control-Allow-Origin: *\r\nContent-Length: %d\r\n\r\n%s",
		contentType, len(body), body)
	go bareLoop(bare, answer)
	defer bare.Close()

	for _, c := range []struct{ name, addr string }{{"edge", addr}, {"nethttp", std.Addr().String()}, {"fasthttp", fast.Addr().String()},
		{"bare", bare.Addr().String()}} {
		b.Run(c.name, func(b *testing.B) {
			cl := dial(b, c.addr, path)
			cl.get(b)
			b.ReportAllocs()
			for b.Loop() {
				cl.get(b)
			}
			b.ReportMetric(float64(len(body)), "body-bytes")
		})
	}
}

// bareLoop reads each request up to its empty line and writes a fixed answer. It measures the cost of net and bufio
// alone.
func bareLoop(ln net.Listener, answer []byte) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				line, err := r.ReadSlice('\n')
				if err != nil {
					return
				}
				if len(line) > 2 {
					continue
				}
				if _, err := c.Write(answer); err != nil {
					return
				}
			}
		}()
	}
}
