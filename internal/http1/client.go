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

// ErrNeverSent marks a request of which no byte left: it provably never ran.
var ErrNotSent = errors.New("http1: never sent")

// Response is an answer read by a Client.
type Response struct {
	message
	Status int
	Body   []byte
}

func (p *Response) parseStatusLine() error {
	line := p.startLine()
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		return malformed("status line malformed")
	}
	n, ok := parseDecimal(line[9:12])
	if !ok || n < 100 || len(line) > 12 && line[12] != ' ' {
		return malformed("status is no number")
	}
	p.Status = n
	if line[7] == '0' {
		p.Close = true
	}
	return nil
}

// Client sends requests. Each goes out once, on a connection of its own: a request that is sent
// again on a fresh connection because a kept one had died is a second attempt that nobody ordered.
type Client struct {
	Limits         Limits
	ConnectTimeout time.Duration // a connection that is not up by then is ErrNeverSent
}

// Do sends one request and reads its answer. When ctx ends the connection is closed before Do returns.
func (c *Client) Do(ctx context.Context, addr, method, target string, header []string, body []byte) (*Response, error) {
	conn, err := c.sendRequest(ctx, addr, method, target, header, body)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(c.Limits.IdleTimeout))
	r := bufio.NewReaderSize(conn, c.Limits.MaxLineBytes)
	p := &Response{}
	if err := p.readResponse(r, c.Limits); err != nil {
		return nil, withContextCause(ctx, fmt.Errorf("%s %s%s: %w", method, addr, target, err))
	}
	if p.Status == 204 || p.Status == 304 || method == "HEAD" {
		return p, nil
	}
	if p.Body, err = p.readBody(nil, r, c.Limits); err != nil {
		return nil, withContextCause(ctx, fmt.Errorf("%s %s%s: body: %w", method, addr, target, err))
	}
	return p, nil
}

func (p *Response) readResponse(r *bufio.Reader, l Limits) error {
	for range 5 { // interim answers (1xx) are skipped
		if err := p.readHead(r, l); err != nil {
			return err
		}
		if err := p.parseStatusLine(); err != nil {
			return err
		}
		if p.Status >= 200 {
			return nil
		}
	}
	return malformed("too many interim answers")
}

func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

func (c *Client) sendRequest(ctx context.Context, addr, method, target string, header []string, body []byte) (net.Conn, error) {
	d := net.Dialer{Timeout: c.ConnectTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, withContextCause(ctx, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	b := make([]byte, 0, 512+len(body))
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, addr...), "\r\nConnection: close\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(len(body)), 10), "\r\n"...)
	for i := 0; i+1 < len(header); i += 2 {
		b = append(append(append(append(b, header[i]...), ": "...), header[i+1]...), "\r\n"...)
	}
	b = append(append(b, "\r\n"...), body...)
	_ = conn.SetWriteDeadline(time.Now().Add(c.Limits.WriteTimeout))
	if n, err := conn.Write(b); err != nil {
		_ = conn.Close()
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, withContextCause(ctx, err)
	}
	return conn, nil
}

// Lines opens a long-lived answer and calls line for each of its lines until it ends, ctx ends or
// nothing came for quiet. The first result tells whether the peer answered with 200 at all.
func (c *Client) StreamLines(ctx context.Context, addr, target string, quiet time.Duration, line func([]byte) error) (bool, error) {
	conn, err := c.sendRequest(ctx, addr, "GET", target, nil, nil)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(quiet))
	r := bufio.NewReaderSize(conn, c.Limits.MaxLineBytes)
	p := &Response{}
	if err := p.readResponse(r, c.Limits); err != nil {
		return false, withContextCause(ctx, err)
	}
	if p.Status != 200 {
		return false, fmt.Errorf("http1: %s%s answered %d", addr, target, p.Status)
	}
	lines := &lineReader{r: r, chunked: p.chunked, maxLineBytes: c.Limits.MaxBodyBytes}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(quiet))
		b, err := lines.next()
		if err != nil {
			return true, withContextCause(ctx, err)
		}
		if err := line(b); err != nil {
			return true, err
		}
	}
}

// lineReader takes lines out of a body, chunked or not.
type lineReader struct {
	r              *bufio.Reader
	chunked        bool
	maxLineBytes   int
	chunkRemaining int // of the present chunk
	buf            []byte
	unread         []byte
}

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

func (l *lineReader) fill() error {
	want := 4096
	if l.chunked {
		if l.chunkRemaining == 0 {
			head, err := readChunkLine(l.r)
			if err != nil {
				return err
			}
			n, ok := parseHex(head)
			if !ok {
				return malformed("chunk size is no number")
			}
			if n == 0 {
				return errStreamEnd
			}
			l.chunkRemaining = n
		}
		want = min(want, l.chunkRemaining)
	}
	at := len(l.buf)
	l.buf = append(l.buf, make([]byte, want)...)
	n, err := l.r.Read(l.buf[at:])
	l.buf = l.buf[:at+n]
	if l.chunked {
		if l.chunkRemaining -= n; l.chunkRemaining == 0 && err == nil {
			if end, err := readChunkLine(l.r); err != nil || len(end) > 0 {
				return malformed("chunk longer than its size")
			}
		}
	}
	if n > 0 {
		return nil
	}
	return err
}

var errStreamEnd = errors.New("http1: stream ended")
