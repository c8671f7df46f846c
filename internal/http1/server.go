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

	"rainpulley/internal/accept"
)

// Request is one received request. Its slices are valid until the next request on the connection is read.
type Request struct {
	message
	Method, Path, Query []byte // Path and Query are not decoded
	Body                []byte
	minorVersion        int // of HTTP/1
}

// parseRequestLine parses method, target and version from the start line. Of the target it keeps path and query.
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

// toOriginForm reduces a request target to its path and query. It accepts the absolute form, as RFC 9112, 3.2.2
// requires of every server; the authority would replace the Host header, but neither is used here. It returns false
// for "*" and all other forms.
func toOriginForm(target []byte) ([]byte, bool) {
	if target[0] == '/' {
		return target, true
	}
	const scheme = "http://" // schemes are case-insensitive (RFC 3986, 3.1)
	if len(target) <= len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
		return nil, false
	}
	rest := target[len(scheme):]
	i := bytes.IndexAny(rest, "/?")
	switch {
	case i == 0 || bytes.IndexByte(rest, '@') >= 0 && bytes.IndexByte(rest, '@') < max(i, 0):
		// The host is missing, or the authority contains userinfo (RFC 9110, 4.2.4).
		return nil, false
	case i < 0:
		return []byte("/"), true
	case rest[i] == '?': // empty path
		return append([]byte("/"), rest[i:]...), true
	}
	return rest[i:], true
}

// read reads the head of the next request and checks it.
func (q *Request) read(r *bufio.Reader, limits Limits) error {
	if err := q.readHead(r, limits); err != nil {
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

// countHeaders returns the number of header lines with a name.
func (q *Request) countHeaders(name string) (n int) {
	for _, h := range q.Headers {
		if equalFold(h.Name, name) {
			n++
		}
	}
	return n
}

// QueryParam returns the value of a query parameter without decoding it, or nil if it is absent.
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

// Exchange is one request and the response that the handler builds for it.
type Exchange struct {
	Request
	conn           *serverConn
	reader         *bufio.Reader
	responseHead   []byte
	responseStatus int
	ResponseBody   []byte // body of the response, filled by the handler
}

// RemoteAddr returns the address of the peer.
func (x *Exchange) RemoteAddr() string { return x.conn.RemoteAddr().String() }

// StartResponse sets the status code and clears headers and body. Header lines follow with AddHeader; the body is
// appended to ResponseBody.
func (x *Exchange) StartResponse(code int) {
	x.responseStatus, x.responseHead, x.ResponseBody = code, x.responseHead[:0], x.ResponseBody[:0]
}

// AddHeader adds a header line. Name and value are not escaped: they must not contain line breaks or text from a peer.
func (x *Exchange) AddHeader(name, value string) {
	x.responseHead = append(x.responseHead, name...)
	x.responseHead = append(x.responseHead, ": "...)
	x.responseHead = append(x.responseHead, value...)
	x.responseHead = append(x.responseHead, "\r\n"...)
}

// WatchDisconnect returns a channel that is closed when the peer closes the connection while its request is being
// handled. The handler must call stop before it returns.
func (x *Exchange) WatchDisconnect() (disconnected <-chan struct{}, stop func()) {
	closed, finished := make(chan struct{}), make(chan struct{})
	x.conn.readDeadline = lazyDeadline{}
	_ = x.conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(finished)
		if _, err := x.reader.Peek(1); err != nil {
			var netErr net.Error
			if !errors.As(err, &netErr) || !netErr.Timeout() {
				close(closed)
			}
		}
	}()
	return closed, func() {
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
		<-finished
		_ = x.conn.SetReadDeadline(time.Time{})
	}
}

// statusText returns the reason phrase of the status codes that this program uses.
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

// appendResponse appends a whole response to dst. With omitBody, as for HEAD, only the length of the body is sent.
func appendResponse(dst []byte, code int, head, body []byte, closeConn, omitBody bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(code), 10)
	dst = append(dst, ' ')
	dst = append(dst, statusText(code)...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, head...)
	if closeConn {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	if omitBody {
		return dst
	}
	return append(dst, body...)
}

// Handler handles one request: it calls StartResponse, then adds headers and body.
type Handler func(ctx context.Context, x *Exchange)

// Server serves each connection in its own goroutine. Requests on a connection, including pipelined ones, are
// handled in the order in which they arrive.
type Server struct {
	Handler    Handler
	Limits     Limits
	MaxConns   int           // maximum number of open connections, 0 for no limit; further ones are refused with status 503
	Slots      ConnSlots     // further limit of open connections; nil: none
	RetryAfter time.Duration // advised to connections that are refused
	Log        *slog.Logger

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining atomic.Bool
	wg       sync.WaitGroup
	refusals chan struct{} // one entry for each connection that is being refused
	listener *accept.Listener
}

// ConnSlots limits the number of open connections.
type ConnSlots interface {
	Acquire() bool // false: none is free
	Release()
}

// serverConn is one connection. Its state tells drain which connections can be closed immediately: a connection is
// idle, is handling a request, or was closed while idle.
type serverConn struct {
	net.Conn
	state         atomic.Int32 // connIdle, connBusy or connClosed
	readDeadline  lazyDeadline
	writeDeadline lazyDeadline
}

const (
	connIdle int32 = iota
	connBusy
	connClosed
)

// lazyDeadline is a connection deadline that is renewed only once a quarter of its time has passed, because setting a
// deadline is expensive compared with a small request. A timeout may therefore be up to a quarter shorter than its
// limit, which is acceptable.
type lazyDeadline struct{ at time.Time }

// refresh returns the deadline, and whether it changed and has to be set on the connection.
func (d *lazyDeadline) refresh(now time.Time, limit time.Duration) (time.Time, bool) {
	if remaining := d.at.Sub(now); remaining > limit-limit/4 && remaining <= limit {
		return d.at, false
	}
	d.at = now.Add(limit)
	return d.at, true
}

// Serve accepts connections until ctx ends, then waits up to grace for requests in progress and closes all
// connections. An error of accept that passes is waited out.
func (s *Server) Serve(ctx context.Context, ln net.Listener, grace time.Duration) error {
	s.conns = map[*serverConn]struct{}{}
	s.refusals, s.listener = make(chan struct{}, maxRefusals), accept.NewListener(ctx, ln, s.Log)
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var err error
	for err == nil {
		var c net.Conn
		if c, err = s.listener.Accept(); err == nil && !s.startConn(c) {
			s.startRefusal(ctx, c)
		}
	}
	_ = ln.Close()
	s.drain(grace)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// startConn starts serving a connection. It returns false if the server is draining or no connection is free.
func (s *Server) startConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() || s.MaxConns > 0 && len(s.conns) >= s.MaxConns || s.Slots != nil && !s.Slots.Acquire() {
		return false
	}
	sc := &serverConn{Conn: c}
	s.conns[sc] = struct{}{}
	s.wg.Add(1)
	go s.serveConn(sc)
	return true
}

// endConn closes a connection that startConn started, and frees its place.
func (s *Server) endConn(c *serverConn) {
	_ = c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if s.Slots != nil {
		s.Slots.Release()
	}
	s.listener.NotifyFreed()
	s.wg.Done()
}

// drain closes idle connections, waits up to grace for the others and then closes those too.
func (s *Server) drain(grace time.Duration) {
	s.draining.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		if c.state.CompareAndSwap(connIdle, connClosed) {
			_ = c.Close()
		}
	}
	s.mu.Unlock()
	finished := make(chan struct{})
	go func() { s.wg.Wait(); close(finished) }()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-finished:
		return
	case <-timer.C:
	}
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	<-finished
}

// serveConn handles the requests of one connection until it is closed.
func (s *Server) serveConn(c *serverConn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() { cancel(); s.endConn(c) }()
	x := &Exchange{conn: c, reader: bufio.NewReaderSize(c, s.Limits.MaxLineBytes)}
	var response []byte
	for {
		now := time.Now()
		if deadline, changed := c.readDeadline.refresh(now, s.Limits.IdleTimeout); changed {
			_ = c.SetReadDeadline(deadline)
		}
		if _, err := x.reader.Peek(1); err != nil || !c.state.CompareAndSwap(connIdle, connBusy) {
			return
		}
		if err := s.readRequest(c, x); err != nil {
			s.reject(c, x, err)
			return
		}
		s.handle(ctx, x)
		closeConn := x.Close || s.draining.Load()
		response = appendResponse(response[:0], x.responseStatus, x.responseHead, x.ResponseBody, closeConn,
			string(x.Method) == "HEAD")
		if deadline, changed := c.writeDeadline.refresh(now, s.Limits.WriteTimeout); changed {
			_ = c.SetWriteDeadline(deadline)
		}
		if _, err := c.Write(response); err != nil || closeConn {
			return
		}
		c.state.Store(connIdle)
		if s.draining.Load() { // drain may have skipped this connection while it was busy
			return
		}
	}
}

// readRequest reads the next request. It sets no separate deadline if the whole head has been received already.
func (s *Server) readRequest(c *serverConn, x *Exchange) error {
	buffered, _ := x.reader.Peek(x.reader.Buffered())
	if !bytes.Contains(buffered, []byte("\r\n\r\n")) {
		c.readDeadline = lazyDeadline{}
		_ = c.SetReadDeadline(time.Now().Add(s.Limits.HeadTimeout))
	}
	if err := x.read(x.reader, s.Limits); err != nil {
		return err
	}
	return s.readBody(c, x)
}

// handle calls the handler. A panic of the handler, or a handler that sets no status, yields status 500 and closes the
// connection.
func (s *Server) handle(ctx context.Context, x *Exchange) {
	x.responseStatus = 0
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("HTTP handler panicked", "panic", p, "path", string(x.Path))
			x.responseStatus = 0
		}
		if x.responseStatus == 0 {
			x.StartResponse(500)
			x.Close = true
		}
	}()
	s.Handler(ctx, x)
}

// readBody reads the request body, after the interim response that an Expect header requests.
func (s *Server) readBody(c *serverConn, x *Exchange) (err error) {
	x.Body = x.Body[:0]
	if !x.chunked && x.bodyLength == 0 {
		return nil
	}
	if expect := x.Get("expect"); expect != nil {
		if _, err := x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	c.readDeadline = lazyDeadline{}
	_ = c.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
	x.Body, err = x.readBody(x.Body, x.reader, s.Limits)
	return err
}

// reject responds to a request that cannot be read. The caller then closes the connection, because the start of the
// next request can no longer be determined.
func (s *Server) reject(c *serverConn, x *Exchange, err error) {
	var refusal *Error
	var netErr net.Error
	switch {
	case errors.As(err, &refusal):
	case errors.As(err, &netErr) && netErr.Timeout():
		refusal = &Error{408, "message came too slowly"}
	case errors.Is(err, io.ErrUnexpectedEOF):
		refusal = &Error{400, "message was cut off"}
	default:
		return
	}
	s.Log.Warn("HTTP request rejected", "remote", c.RemoteAddr().String(),
		"status", refusal.Status, "reason", refusal.Reason)
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	body := append([]byte(refusal.Reason), '\n')
	if _, err := c.Write(
		appendResponse(nil, refusal.Status, []byte("Content-Type: text/plain\r\n"), body, true, false),
	); err != nil {
		return
	}
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
		// Closing with unread input resets the connection, which can discard the response: read the input first.
		_ = tcpConn.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(250 * time.Millisecond))
		_, _ = io.CopyN(io.Discard, c, 64<<10)
	}
}
