package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Request is one request; its parts are valid until the next one of the connection is read.
type Request struct {
	message
	Method, Path, Query []byte
	Body                []byte
	minorVersion        int
}

func (q *Request) parseRequestLine() error {
	line := q.startLine()
	first, last := bytes.IndexByte(line, ' '), bytes.LastIndexByte(line, ' ')
	if first <= 0 || last <= first+1 || !isToken(line[:first]) {
		return malformed("request line has not three parts")
	}
	target, version := line[first+1:last], line[last+1:]
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return malformed("request target holds a character that is not allowed")
		}
	}
	switch string(version) {
	case "HTTP/1.1":
		q.minorVersion = 1
	case "HTTP/1.0":
		q.minorVersion = 0
	default:
		if !bytes.HasPrefix(version, []byte("HTTP/")) {
			return malformed("request line has no version")
		}
		return &Error{505, "HTTP version not known"}
	}
	var ok bool
	if target, ok = toOriginForm(target); !ok {
		return malformed("request target is no path")
	}
	q.Method, q.Path, q.Query = line[:first], target, nil
	if i := bytes.IndexByte(target, '?'); i >= 0 {
		q.Path, q.Query = target[:i], target[i+1:]
	}
	return nil
}

// originForm leaves path and query of a target. The absolute form is accepted as RFC 9112, 3.2.2 asks of
// every server: its authority stands in for Host's, and neither is used here. "*" and others are no paths.
func toOriginForm(target []byte) ([]byte, bool) {
	if target[0] == '/' {
		return target, true
	}
	const scheme = "http://" // a scheme's case does not matter (RFC 3986, 3.1)
	if len(target) <= len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
		return nil, false
	}
	rest := target[len(scheme):]
	i := bytes.IndexAny(rest, "/?")
	switch {
	case i == 0 || bytes.IndexByte(rest, '@') >= 0 && bytes.IndexByte(rest, '@') < max(i, 0): // no host, or userinfo (RFC 9110, 4.2.4)
		return nil, false
	case i < 0:
		return []byte("/"), true
	case rest[i] == '?': // an empty path
		return append([]byte("/"), rest[i:]...), true
	}
	return rest[i:], true
}

// read takes the next request off the connection.
func (q *Request) read(r *bufio.Reader, l Limits) error {
	if err := q.readHead(r, l); err != nil {
		return err
	}
	if err := q.parseRequestLine(); err != nil {
		return err
	}
	if q.minorVersion == 0 {
		q.Close = true
		if q.chunked {
			return malformed("chunked body in HTTP/1.0")
		}
	} else if hosts := q.countHeaders("host"); hosts != 1 {
		return malformed("%d host headers", hosts) // RFC 9112, 3.2
	}
	if q.bodyLength < 0 {
		q.bodyLength = 0
	}
	return nil
}

func (q *Request) countHeaders(name string) (n int) {
	for _, h := range q.Headers {
		if equalFold(h.Name, name) {
			n++
		}
	}
	return n
}

// Param is the raw value of a query parameter, nil if it is not there.
func (q *Request) QueryParam(name string) []byte {
	rest := q.Query
	for len(rest) > 0 {
		part := rest
		if i := bytes.IndexByte(rest, '&'); i >= 0 {
			part, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		if len(part) > len(name) && part[len(name)] == '=' && string(part[:len(name)]) == name {
			return part[len(name)+1:]
		}
	}
	return nil
}

// Exchange is one request with the answer that is being made for it.
type Exchange struct {
	Request
	conn           *serverConn
	reader         *bufio.Reader
	responseHead   []byte
	responseStatus int
	ResponseBody   []byte // the answer's body
}

// Remote is the peer's address.
func (x *Exchange) RemoteAddr() string { return x.conn.RemoteAddr().String() }

// Status begins the answer; header lines follow by Header. The body goes into Out.
func (x *Exchange) StartResponse(code int) {
	x.responseStatus, x.responseHead, x.ResponseBody = code, x.responseHead[:0], x.ResponseBody[:0]
}

// Header adds a header line. Neither part may hold a line break; the caller's own words only.
func (x *Exchange) AddHeader(name, value string) {
	x.responseHead = append(x.responseHead, name...)
	x.responseHead = append(x.responseHead, ": "...)
	x.responseHead = append(x.responseHead, value...)
	x.responseHead = append(x.responseHead, "\r\n"...)
}

// Watch reports by closing gone when the peer hangs up while its request is being answered.
// stop must be called before the handler returns.
func (x *Exchange) WatchDisconnect() (gone <-chan struct{}, stop func()) {
	left, over := make(chan struct{}), make(chan struct{})
	x.conn.readDeadline = lazyDeadline{}
	_ = x.conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(over)
		if _, err := x.reader.Peek(1); err != nil {
			var late net.Error
			if !errors.As(err, &late) || !late.Timeout() {
				close(left)
			}
		}
	}()
	return left, func() {
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
		<-over
		_ = x.conn.SetReadDeadline(time.Time{})
	}
}

// statusText names the codes in use.
func statusText(code int) string {
	switch code {
	case 200:
		return "OK"
	case 201:
		return "Created"
	case 204:
		return "No Content"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 410:
		return "Gone"
	case 413:
		return "Content Too Large"
	case 414:
		return "URI Too Long"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	}
	return "Status"
}

func appendResponse(dst []byte, code int, head, body []byte, end, bodyless bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(code), 10)
	dst = append(dst, ' ')
	dst = append(dst, statusText(code)...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, head...)
	if end {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	if bodyless {
		return dst
	}
	return append(dst, body...)
}

// Handler answers one request: Status first, then headers and body.
type Handler func(ctx context.Context, x *Exchange)

// Server serves connections, one goroutine for each. Requests of one connection are answered in
// order, pipelined ones too.
type Server struct {
	Handler  Handler
	Limits   Limits
	MaxConns int // at most at once; more are closed at once
	Log      *slog.Logger

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining atomic.Bool
	wg       sync.WaitGroup
}

// serverConn is one connection. Its state tells the end of the server which connections may be closed
// at once: a connection is either idle, or a request on it is being answered, or it was closed while idle.
type serverConn struct {
	net.Conn
	state         atomic.Int32
	readDeadline  lazyDeadline
	writeDeadline lazyDeadline
}

const (
	connIdle int32 = iota
	connBusy
	connClosed
)

// deadline is one that is set anew only when much of it has gone: setting it costs more than a small
// request is worth, and a wait that is a quarter shorter than its limit harms nobody.
type lazyDeadline struct{ at time.Time }

func (d *lazyDeadline) refresh(now time.Time, limit time.Duration) (time.Time, bool) {
	if left := d.at.Sub(now); left > limit-limit/4 && left <= limit {
		return d.at, false
	}
	d.at = now.Add(limit)
	return d.at, true
}

// Serve accepts until ctx ends, then lets requests under way finish, for grace at most.
func (s *Server) Serve(ctx context.Context, ln net.Listener, grace time.Duration) error {
	s.conns = map[*serverConn]struct{}{}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var err error
	for {
		var c net.Conn
		if c, err = ln.Accept(); err != nil {
			break
		}
		if !s.startConn(c) {
			_ = c.Close()
		}
	}
	_ = ln.Close()
	s.drain(grace)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) startConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() || s.MaxConns > 0 && len(s.conns) >= s.MaxConns {
		return false
	}
	sc := &serverConn{Conn: c}
	s.conns[sc] = struct{}{}
	s.wg.Add(1)
	go s.serveConn(sc)
	return true
}

func (s *Server) drain(grace time.Duration) {
	s.draining.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		if c.state.CompareAndSwap(connIdle, connClosed) {
			_ = c.Close()
		}
	}
	s.mu.Unlock()
	over := make(chan struct{})
	go func() { s.wg.Wait(); close(over) }()
	t := time.NewTimer(grace)
	defer t.Stop()
	select {
	case <-over:
		return
	case <-t.C:
	}
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	<-over
}

func (s *Server) serveConn(c *serverConn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.wg.Done()
	}()
	x := &Exchange{conn: c, reader: bufio.NewReaderSize(c, s.Limits.MaxLineBytes)}
	var out []byte
	for {
		now := time.Now()
		if at, anew := c.readDeadline.refresh(now, s.Limits.IdleTimeout); anew {
			_ = c.SetReadDeadline(at)
		}
		if _, err := x.reader.Peek(1); err != nil || !c.state.CompareAndSwap(connIdle, connBusy) {
			return
		}
		if err := s.readRequest(c, x); err != nil {
			s.reject(c, x, err)
			return
		}
		s.handle(ctx, x)
		end := x.Close || s.draining.Load()
		out = appendResponse(out[:0], x.responseStatus, x.responseHead, x.ResponseBody, end, string(x.Method) == "HEAD")
		if at, anew := c.writeDeadline.refresh(now, s.Limits.WriteTimeout); anew {
			_ = c.SetWriteDeadline(at)
		}
		if _, err := c.Write(out); err != nil || end {
			return
		}
		c.state.Store(connIdle)
		if s.draining.Load() { // the end may have passed this connection by while it was busy
			return
		}
	}
}

// read takes a request off the connection. One whose head is here already needs no time limit of its own.
func (s *Server) readRequest(c *serverConn, x *Exchange) error {
	here, _ := x.reader.Peek(x.reader.Buffered())
	if !bytes.Contains(here, []byte("\r\n\r\n")) {
		c.readDeadline = lazyDeadline{}
		_ = c.SetReadDeadline(time.Now().Add(s.Limits.HeadTimeout))
	}
	if err := x.read(x.reader, s.Limits); err != nil {
		return err
	}
	return s.readBody(c, x)
}

// answer calls the handler; one that panics costs its own request only.
func (s *Server) handle(ctx context.Context, x *Exchange) {
	x.responseStatus = 0
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("handler broke", "panic", p, "path", string(x.Path))
			x.responseStatus = 0
		}
		if x.responseStatus == 0 {
			x.StartResponse(500)
			x.Close = true
		}
	}()
	s.Handler(ctx, x)
}

func (s *Server) readBody(c *serverConn, x *Exchange) (err error) {
	x.Body = x.Body[:0]
	if !x.chunked && x.bodyLength == 0 {
		return nil
	}
	if e := x.Get("expect"); e != nil {
		if _, err := x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	c.readDeadline = lazyDeadline{}
	_ = c.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
	x.Body, err = x.readBody(x.Body, x.reader, s.Limits)
	return err
}

// refuse answers a message that cannot be read, and the connection ends: what follows on it can
// no longer be told apart.
func (s *Server) reject(c *serverConn, x *Exchange, err error) {
	var e *Error
	var late net.Error
	switch {
	case errors.As(err, &e):
	case errors.As(err, &late) && late.Timeout():
		e = &Error{408, "message came too slowly"}
	case errors.Is(err, io.ErrUnexpectedEOF):
		e = &Error{400, "message was cut off"}
	default:
		return
	}
	s.Log.Warn("request refused", "remote", c.RemoteAddr().String(), "status", e.Status, "reason", e.Reason)
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	body := append([]byte(e.Reason), '\n')
	if _, err := c.Write(appendResponse(nil, e.Status, []byte("Content-Type: text/plain\r\n"), body, true, false)); err != nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok { // let the answer out before unread input resets the connection
		_ = t.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(250 * time.Millisecond))
		_, _ = io.CopyN(io.Discard, c, 64<<10)
	}
}
