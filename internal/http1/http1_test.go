package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testLimits returns small limits, so that tests exceed them with short messages and waits.
func testLimits() Limits {
	l := DefaultLimits()
	l.MaxLineBytes, l.MaxHeadBytes, l.MaxHeaders, l.MaxBodyBytes = 256, 512, 8, 64
	l.HeadTimeout, l.IdleTimeout, l.BodyTimeout = 150*time.Millisecond, time.Second, 150*time.Millisecond
	return l
}

// echo responds with the method, path, query, "key" parameter and body of the request. It panics for /panic.
func echo(_ context.Context, x *Exchange) {
	if string(x.Path) == "/panic" {
		panic("on purpose")
	}
	x.StartResponse(200)
	x.ResponseBody = fmt.Appendf(x.ResponseBody, "%s %s %s %s|%s", x.Method, x.Path, x.Query, x.QueryParam("key"), x.Body)
}

// startServer runs a Server until the test ends, and returns its address.
func startServer(t *testing.T, h Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, h, ln)
}

// serve runs a Server with at most four connections on a listener until the test ends, and returns its address.
func serve(t *testing.T, h Handler, ln net.Listener) string {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{Handler: h, Limits: testLimits(), MaxConns: 4, RetryAfter: 500 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln, time.Second) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// sendRaw sends text on a new connection and returns everything received until the server closes it.
func sendRaw(t *testing.T, addr, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	b, _ := io.ReadAll(c)
	return string(b)
}

// TestRejectedMessages checks that each malformed or oversized request yields exactly one response with the right
// status.
func TestRejectedMessages(t *testing.T) {
	addr := startServer(t, echo)
	for _, c := range []struct{ name, text, want string }{
		{"no version", "GET /\r\n\r\n", "400"},
		{"no target", "GET  HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		{"invalid character in method", "G@T / HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		{"unsupported version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", "505"},
		{"target with another scheme", "GET ftp://a/ HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		{"absolute target without a host", "GET http:///a HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		{"userinfo in target", "GET http://u@a/ HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		{"absolute target without host field", "GET http://a/ HTTP/1.1\r\n\r\n", "400"},
		{"control character in target", "GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		{"bare LF", "GET / HTTP/1.1\nHost: a\n\n", "400"},
		{"bare CR", "GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", "400"},
		{"obs-fold", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", "400"},
		{"space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "400"},
		{"NUL in value", "GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n", "400"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
		{"two body lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"400"},
		{"repeated length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400"},
		{"content-length with a sign", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", "400"},
		{"unsupported transfer coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "501"},
		{"negative chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n", "400"},
		{"chunk too long", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", "400"},
		{"chunk above the body limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", "413"},
		{"chunked in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n", "413"},
		{"body timeout", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", "408"},
		{"start line too long", "GET /" + strings.Repeat("a", 300) + " HTTP/1.1\r\nHost: a\r\n\r\n", "414"},
		{"header line too long", "GET / HTTP/1.1\r\nHost: " + strings.Repeat("a", 300) + "\r\n\r\n", "431"},
		{"head too large", "GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("b", 150)+"\r\n", 4) + "\r\n", "431"},
		{"too many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9) + "\r\n", "431"},
		{"head timeout", "GET / HTTP/1.1\r\nHo", "408"},
	} {
		got := sendRaw(t, addr, c.text)
		if !strings.HasPrefix(got, "HTTP/1.1 "+c.want+" ") || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%s: got %q, want %s once", c.name, got, c.want)
		}
	}
}

// TestAcceptedMessages checks how the server interprets valid requests.
func TestAcceptedMessages(t *testing.T) {
	addr := startServer(t, echo)
	for _, c := range []struct{ name, text, want string }{
		{"query", "GET /p?a=1&key=v&keyx=2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "GET /p a=1&key=v&keyx=2 v|"},
		{"empty lines before the request", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n", "GET /  |"},
		{"chunked", "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n", "POST /  |abcde"},
		{"content-length", "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", "POST /  |abc"},
		{"HTTP/1.0 closes the connection", "GET / HTTP/1.0\r\n\r\n", "GET /  |"},
	} {
		if got := sendRaw(t, addr, c.text); !strings.HasPrefix(got, "HTTP/1.1 200 OK") || !strings.HasSuffix(got, c.want) {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}

// TestPipelinedRequests checks that pipelined requests are handled in order, also if the handler of the last one
// panics.
func TestPipelinedRequests(t *testing.T) {
	addr := startServer(t, echo)
	got := sendRaw(t, addr, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /panic HTTP/1.1\r\nHost: a\r\n\r\n")
	one, two, three := strings.Index(got, "GET /1"), strings.Index(got, "GET /2"), strings.Index(got, " 500 ")
	if one < 0 || two < one || three < two {
		t.Errorf("got %q", got)
	}
}

// TestWatchDisconnect checks that a peer that closes its connection while waiting is detected, and that a pipelined
// request is not mistaken for that.
func TestWatchDisconnect(t *testing.T) {
	results := make(chan string, 2)
	addr := startServer(t, func(_ context.Context, x *Exchange) {
		gone, stop := x.WatchDisconnect()
		defer stop()
		select {
		case <-gone:
			results <- "gone"
		case <-time.After(100 * time.Millisecond):
			results <- "stayed"
		}
		x.StartResponse(200)
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	if got := <-results; got != "stayed" {
		t.Errorf("with a pipelined request: got %s, want stayed", got)
	}
	c.Close()
	if got := <-results; got != "gone" {
		t.Errorf("after the peer closed: got %s, want gone", got)
	}
}

// TestClient runs the client against the server of the standard library.
func TestClient(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/lines", func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			fmt.Fprintf(w, "line %d\n", i)
			_ = http.NewResponseController(w).Flush()
		}
	})
	mux.HandleFunc("/wait", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Cmsd-Dynamic", "x")
		w.WriteHeader(201)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL, b)
	})
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	c := &Client{Limits: DefaultLimits(), ConnectTimeout: time.Second}
	ctx := context.Background()
	response, err := c.Do(ctx, ln.Addr().String(), "POST", "/a?b=c", []string{"X-Y", "z"}, []byte("body"))
	if err != nil || response.Status != 201 || string(response.Body) != "POST /a?b=c body" ||
		string(response.Get("CMSD-dynamic")) != "x" {
		t.Errorf("%+v %v", response, err)
	}
	var lines []string
	ok, err := c.StreamLines(ctx, ln.Addr().String(), "/lines", time.Second, func(b []byte) error {
		lines = append(lines, string(b))
		return nil
	})
	if !ok || !errors.Is(err, errStreamEnd) || strings.Join(lines, ",") != "line 0,line 1,line 2" {
		t.Errorf("%v %v %v", ok, err, lines)
	}
	limited, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	if _, err := c.Do(limited, ln.Addr().String(), "GET", "/wait", nil, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("request past its deadline: %v, want context.DeadlineExceeded", err)
	}
	if _, err := c.Do(ctx, "127.0.0.1:1", "GET", "/", nil, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener: %v, want ErrNotSent", err)
	}
}

// TestClientInvalidResponses checks that truncated or malformed responses are errors, but not ErrNotSent: the
// request may have been processed.
func TestClientInvalidResponses(t *testing.T) {
	for _, answer := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort", "HTTP/1.1 2x0 OK\r\n\r\n",
		"nonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9)} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}()
		c := &Client{Limits: DefaultLimits(), ConnectTimeout: time.Second}
		if response, err := c.Do(context.Background(), ln.Addr().String(), "GET", "/", nil, nil); err == nil ||
			errors.Is(err, ErrNotSent) {
			t.Errorf("%q: %+v, %v", answer, response, err)
		}
		_ = ln.Close()
	}
}

// TestWriteReadProperty checks that the server reads method, path, query and body as the client wrote them.
func TestWriteReadProperty(t *testing.T) {
	addr := startServer(t, echo)
	c := &Client{Limits: DefaultLimits(), ConnectTimeout: time.Second}
	rapid.Check(t, func(rt *rapid.T) {
		path := "/" + rapid.StringMatching(`[a-z0-9/._~-]{0,40}`).Draw(rt, "path")
		key := rapid.StringMatching(`[a-zA-Z0-9-]{1,20}`).Draw(rt, "key")
		body := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(rt, "body")
		response, err := c.Do(context.Background(), addr, "POST", path+"?key="+key, nil, body)
		if want := fmt.Sprintf("POST %s key=%s %s|%s", path, key, key, body); err != nil || string(response.Body) != want {
			rt.Fatalf("got %+v %v, want %q", response, err, want)
		}
	})
}

// FuzzRequest checks that reading never panics, and that an accepted request is unambiguous: written again, it
// parses to the same path, query and body.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, in []byte) {
		read := func(b []byte) (*Request, []byte, error) {
			q, r := &Request{}, bufio.NewReaderSize(bytes.NewReader(b), 256)
			if err := q.read(r, testLimits()); err != nil {
				return nil, nil, err
			}
			body, err := q.readBody(nil, r, testLimits())
			return q, body, err
		}
		q, body, err := read(in)
		if err != nil {
			return
		}
		out := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", q.Method, q.Path, len(body),
			body)
		if len(q.Query) > 0 {
			out = fmt.Appendf(nil, "%s %s?%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", q.Method, q.Path, q.Query,
				len(body), body)
		}
		if len(out) > 200 {
			return
		}
		p, again, err := read(out)
		if err != nil || !bytes.Equal(p.Path, q.Path) || !bytes.Equal(p.Query, q.Query) || !bytes.Equal(again, body) {
			t.Fatalf("%q became %q: %v", in, out, err)
		}
	})
}

// FuzzResponse checks that reading a response or its lines never panics, and that lineReader ends on any input.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na\n\r\n0\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, in []byte, lines bool) {
		p, r := &Response{}, bufio.NewReaderSize(bytes.NewReader(in), 256)
		if p.readResponse(r, testLimits()) != nil {
			return
		}
		if !lines {
			_, _ = p.readBody(nil, r, testLimits())
			return
		}
		l := &lineReader{r: r, chunked: p.chunked, maxLineBytes: 64}
		for range len(in) + 1 {
			if _, err := l.next(); err != nil {
				return
			}
		}
		t.Fatal("lineReader returned more lines than the input has bytes")
	})
}

// TestAbsoluteForm checks that the server accepts request targets in absolute form (RFC 9112, 3.2.2).
func TestAbsoluteForm(t *testing.T) {
	addr := startServer(t, echo)
	for _, c := range []struct{ target, want string }{{"http://a/b?key=c", "GET /b key=c c|"},
		{"HTTP://a:80/", "GET /  |"},
		{"http://a", "GET /  |"}, {"http://a?key=@", "GET / key=@ @|"}, {"http://a/b@c", "GET /b@c  |"}} {
		got := sendRaw(t, addr, "GET "+c.target+" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		if !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.HasSuffix(got, c.want) {
			t.Errorf("%s: %q, want %q", c.target, got, c.want)
		}
	}
}

// failingListener returns an error before each connection.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed = !l.failed; l.failed {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends when accept fails because the process has no descriptor left.
func TestServerOutlivesAcceptErrors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := serve(t, echo, &failingListener{Listener: ln})
	for range 3 {
		if got := sendRaw(t, addr, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
			t.Errorf("answered %q", got)
		}
	}
}

// Guards against connections above the limit that are closed without an answer: each gets 503 with advice, however many
// come at once, and one is served again once others are closed.
func TestConnectionsAboveLimitAreRefused(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	release, holding := make(chan struct{}), make(chan struct{}, 4)
	addr := startServer(t, func(ctx context.Context, x *Exchange) {
		if string(x.Path) == "/hold" {
			holding <- struct{}{}
			<-release
		}
		echo(ctx, x)
	})
	for range 4 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, strings.Replace(request, "/", "/hold", 1)); err != nil {
			t.Fatal(err)
		}
		<-holding
	}
	var work sync.WaitGroup
	for range 60 {
		work.Go(func() {
			got := sendRaw(t, addr, request)
			if !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nRetry-After: 1\r\n") {
				t.Errorf("answered %q", got)
			}
		})
	}
	work.Wait()
	close(release)
	for range 100 {
		if got := sendRaw(t, addr, request); strings.HasPrefix(got, "HTTP/1.1 200 ") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("not served after the others were closed")
}
