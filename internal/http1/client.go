package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

// ErrNotSent is returned for a request of which no byte was sent, so that the server cannot have processed it.
var ErrNotSent = errors.New("http1: request not sent")

// Response is a response received by a Client.
type Response struct {
	message
	Status int
	Body   []byte
}

// parseStatusLine parses the start line of a response. An HTTP/1.0 peer closes the connection after the response.
func (p *Response) parseStatusLine() error {
	line := p.startLine()
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		return malformed("malformed status line")
	}
	n, ok := parseDecimal(line[9:12])
	if !ok || n < 100 || len(line) > 12 && line[12] != ' ' {
		return malformed("status code is not a three-digit number")
	}
	p.Status = n
	if line[7] == '0' {
		p.Close = true
	}
	return nil
}

// Client sends each request exactly once, on a connection of its own. With persistent connections, a request on one
// that the server had already closed would have to be resent on another: a second attempt that the caller did not
// request.
type Client struct {
	Limits         Limits
	ConnectTimeout time.Duration // for opening a connection; on expiry the error wraps ErrNotSent; 0: no limit
	// Dial opens a connection; if nil, a TCP connection is opened within ConnectTimeout.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// dial opens a connection to an address.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, addr)
	}
	dialer := net.Dialer{Timeout: c.ConnectTimeout}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Do sends one request and reads its response. header holds names and values alternately. When ctx ends, Do closes the
// connection and returns an error that includes the cause.
func (c *Client) Do(ctx context.Context, addr, method, target string, header []string, body []byte) (*Response, error) {
	conn, err := c.sendRequest(ctx, addr, method, target, header, body)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(c.Limits.IdleTimeout))
	reader := bufio.NewReaderSize(conn, c.Limits.MaxLineBytes)
	response := &Response{}
	if err := response.readResponse(reader, c.Limits); err != nil {
		return nil, withContextCause(ctx, fmt.Errorf("%s %s%s: %w", method, addr, target, err))
	}
	if response.Status == 204 || response.Status == 304 || method == "HEAD" {
		return response, nil
	}
	if response.Body, err = response.readBody(nil, reader, c.Limits); err != nil {
		return nil, withContextCause(ctx, fmt.Errorf("%s %s%s: body: %w", method, addr, target, err))
	}
	return response, nil
}

// readResponse reads the head of the final response.
func (p *Response) readResponse(r *bufio.Reader, limits Limits) error {
	for range 5 { // at most 4 interim responses (1xx) are skipped
		if err := p.readHead(r, limits); err != nil {
			return err
		}
		if err := p.parseStatusLine(); err != nil {
			return err
		}
		if p.Status >= 200 {
			return nil
		}
	}
	return malformed("too many interim responses")
}

// withContextCause joins err with the cause of ctx if ctx has ended.
func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

// sendRequest opens a connection and writes the request. The error wraps ErrNotSent if no byte was written.
func (c *Client) sendRequest(
	ctx context.Context, addr, method, target string, header []string, body []byte,
) (net.Conn, error) {
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, withContextCause(ctx, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	request := make([]byte, 0, 512+len(body))
	request = append(append(append(append(request, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	request = append(append(request, addr...), "\r\nConnection: close\r\nContent-Length: "...)
	request = append(strconv.AppendInt(request, int64(len(body)), 10), "\r\n"...)
	for i := 0; i+1 < len(header); i += 2 {
		request = append(append(append(append(request, header[i]...), ": "...), header[i+1]...), "\r\n"...)
	}
	request = append(append(request, "\r\n"...), body...)
	_ = conn.SetWriteDeadline(time.Now().Add(c.Limits.WriteTimeout))
	if n, err := conn.Write(request); err != nil {
		_ = conn.Close()
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, withContextCause(ctx, err)
	}
	return conn, nil
}

// StreamLines sends a GET request and calls handleLine for each line of the long-lived response, until the response or
// ctx ends, handleLine fails or no data arrives for idleTimeout. The first result reports whether the status was 200.
func (c *Client) StreamLines(
	ctx context.Context, addr, target string, idleTimeout time.Duration, handleLine func([]byte) error,
) (bool, error) {
	stream, err := c.OpenLines(ctx, addr, target, idleTimeout)
	if err != nil {
		return false, err
	}
	return true, stream.Read(ctx, idleTimeout, handleLine)
}

// LineStream is a long-lived response that is read by lines.
type LineStream struct {
	conn  net.Conn
	lines *lineReader
}

// OpenLines sends a GET request for a long-lived response and reads its head. It fails unless the status is 200, or if
// ctx ends or the head takes longer than timeout; 0 means no timeout.
func (c *Client) OpenLines(ctx context.Context, addr, target string, timeout time.Duration) (*LineStream, error) {
	conn, err := c.sendRequest(ctx, addr, "GET", target, nil, nil)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if timeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(timeout))
	}
	reader := bufio.NewReaderSize(conn, c.Limits.MaxLineBytes)
	response := &Response{}
	err = response.readResponse(reader, c.Limits)
	if err == nil && response.Status != 200 {
		err = fmt.Errorf("http1: %s%s returned status %d", addr, target, response.Status)
	}
	if err != nil {
		_ = conn.Close()
		return nil, withContextCause(ctx, err)
	}
	return &LineStream{conn: conn,
		lines: &lineReader{r: reader, chunked: response.chunked, maxLineBytes: c.Limits.MaxBodyBytes}}, nil
}

// Close closes the connection of the stream.
func (s *LineStream) Close() { _ = s.conn.Close() }

// Read calls handleLine for each line until the response or ctx ends, handleLine fails or no data arrives for
// idleTimeout. It closes the stream.
func (s *LineStream) Read(ctx context.Context, idleTimeout time.Duration, handleLine func([]byte) error) error {
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		line, err := s.lines.next()
		if err != nil {
			return withContextCause(ctx, err)
		}
		if err := handleLine(line); err != nil {
			return err
		}
	}
}

// lineReader splits a body, chunked or not, into lines.
type lineReader struct {
	r              *bufio.Reader
	chunked        bool
	maxLineBytes   int
	chunkRemaining int // bytes left in the current chunk
	buf            []byte
	unread         []byte // part of buf that next has not returned yet
}

// next returns the next line without its line feed; it is valid until the following call.
func (l *lineReader) next() ([]byte, error) {
	for {
		if i := bytes.IndexByte(l.unread, '\n'); i >= 0 {
			line := l.unread[:i]
			l.unread = l.unread[i+1:]
			return line, nil
		}
		if len(l.unread) > l.maxLineBytes {
			return nil, &Error{413, "line too long"}
		}
		l.buf = append(l.buf[:0], l.unread...)
		if err := l.fill(); err != nil {
			return nil, err
		}
		l.unread = l.buf
	}
}

// fill appends the next bytes of the body to buf.
func (l *lineReader) fill() error {
	size := 4096
	if l.chunked {
		if l.chunkRemaining == 0 {
			sizeLine, err := readChunkLine(l.r)
			if err != nil {
				return err
			}
			n, ok := parseHex(sizeLine)
			if !ok {
				return malformed("chunk size is no number")
			}
			if n == 0 {
				return errStreamEnd
			}
			l.chunkRemaining = n
		}
		size = min(size, l.chunkRemaining)
	}
	start := len(l.buf)
	l.buf = append(l.buf, make([]byte, size)...)
	n, err := l.r.Read(l.buf[start:])
	l.buf = l.buf[:start+n]
	if l.chunked {
		if l.chunkRemaining -= n; l.chunkRemaining == 0 && err == nil {
			if rest, err := readChunkLine(l.r); err != nil || len(rest) > 0 {
				return malformed("chunk longer than its size")
			}
		}
	}
	if n > 0 {
		return nil
	}
	return err
}

// errStreamEnd is returned by lineReader at the last chunk. A body without chunks ends with io.EOF.
var errStreamEnd = errors.New("http1: chunked stream ended")
