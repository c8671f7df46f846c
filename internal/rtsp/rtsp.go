// Package rtsp reads and writes RTSP messages (RFC 2326, sections 4 to 7) as far as a front node needs them:
// requests and responses in either direction, told apart by their first line, each with a Content-Length.
// It decides nothing. Every size is bounded.
//
// Like package http1 it is stricter than the RFC: bare LF, bare CR, folded lines, white space before a colon and
// doubtful lengths are refused, since two parsers that read one message differently lose a message between them.
package rtsp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// MaxMessage is the size of the largest message, head and body together, in bytes.
const MaxMessage = 16 << 10

const maxHeaderLines = 32

// Error is a message that cannot be read on; Status is the answer owed (RFC 2326, section 11).
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("rtsp: %s (%d)", e.Reason, e.Status) }

func badRequest(reason string) error { return &Error{400, reason} }

// Header is one header line.
type Header struct{ Name, Value string }

// Message is a request (Method and URI) or a response (Status).
type Message struct {
	Method, URI string
	Status      int
	Headers     []Header
	Body        []byte
}

// Get is the first value of a header, or "". Names compare without case (RFC 2326, section 4.2).
func (m *Message) Get(name string) string {
	for i := range m.Headers {
		if strings.EqualFold(m.Headers[i].Name, name) {
			return m.Headers[i].Value
		}
	}
	return ""
}

// Reader reads messages from a stream.
type Reader struct {
	r    *bufio.Reader
	head []byte
}

// NewReader returns a reader; r's buffer bounds one line.
func NewReader(r *bufio.Reader) *Reader { return &Reader{r: r} }

// Wait returns when a message has begun or the stream has ended.
func (d *Reader) WaitForMessage() error {
	_, err := d.r.Peek(1)
	return err
}

// Next reads one message. After an error the stream cannot be read on. An *Error says what to answer;
// io.EOF is a stream that ended between messages.
func (d *Reader) Next() (*Message, error) {
	if err := d.readHead(); err != nil {
		return nil, err
	}
	m := &Message{}
	length, err := m.parseHead(string(d.head))
	if err != nil {
		return nil, err
	}
	if length > MaxMessage-len(d.head) {
		return nil, &Error{413, "message too large"}
	}
	if length == 0 {
		return m, nil
	}
	m.Body = make([]byte, length)
	if _, err := io.ReadFull(d.r, m.Body); err != nil {
		return nil, unexpectedEOF(err)
	}
	return m, nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readHead reads up to the empty line; the lines are kept with their ends.
func (d *Reader) readHead() error {
	d.head = d.head[:0]
	for {
		line, err := d.r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull) || len(d.head)+len(line) > MaxMessage:
			return &Error{413, "head too large"}
		case err != nil && len(d.head)+len(line) > 0:
			return unexpectedEOF(err)
		case err != nil:
			return err
		case len(line) < 2 || line[len(line)-2] != '\r':
			return badRequest("line without CR")
		case len(line) == 2 && len(d.head) == 0:
			continue // empty lines before a message are skipped
		case len(line) == 2:
			return nil
		}
		d.head = append(d.head, line...)
	}
}

// parse takes a head apart and returns the body's length.
func (m *Message) parseHead(head string) (int, error) {
	line, rest, _ := strings.Cut(head, "\r\n")
	if err := m.parseStartLine(line); err != nil {
		return 0, err
	}
	length := -1
	m.Headers = make([]Header, 0, 8)
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || len(m.Headers) >= maxHeaderLines {
			return 0, badRequest("header line malformed")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\x00") {
			return 0, badRequest("header value malformed")
		}
		if strings.EqualFold(name, "Content-Length") {
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 || value[0] == '+' {
				return 0, badRequest("length malformed")
			}
			length = int(n)
		}
		m.Headers = append(m.Headers, Header{name, value})
	}
	if length < 0 {
		return 0, badRequest("no length")
	}
	return length, nil
}

func (m *Message) parseStartLine(line string) error {
	const version = "RTSP/1.0"
	if s, ok := strings.CutPrefix(line, version+" "); ok {
		code, _, _ := strings.Cut(s, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 {
			return badRequest("status line malformed")
		}
		m.Status = n
		return nil
	}
	method, s, _ := strings.Cut(line, " ")
	uri, v, ok := strings.Cut(s, " ")
	if !ok || v != version || !isToken(method) || uri == "" || strings.ContainsFunc(uri, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return badRequest("request line malformed")
	}
	m.Method, m.URI = method, uri
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte("()<>@,;:\\\"/[]?={}"), c) >= 0 {
			return false
		}
	}
	return s != ""
}

// reasons are the status codes' phrases (RFC 2326, section 7.1.1).
var reasonPhrases = map[int]string{100: "Continue", 200: "OK", 400: "Bad Request", 408: "Request Time-out", 413: "Request Entity Too Large",
	453: "Not Enough Bandwidth", 454: "Session Not Found", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 504: "Gateway Time-out"}

// AppendResponse appends a response. Headers are names and values in turn; empty values are left out.
func AppendResponse(b []byte, status int, headers []string, body []byte) []byte {
	b = append(b, "RTSP/1.0 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasonPhrases[status]...)
	return appendHeadersAndBody(b, headers, body)
}

// AppendRequest appends a request.
func AppendRequest(b []byte, method, uri string, headers []string, body []byte) []byte {
	b = append(append(append(append(b, method...), ' '), uri...), " RTSP/1.0"...)
	return appendHeadersAndBody(b, headers, body)
}

func appendHeadersAndBody(b []byte, headers []string, body []byte) []byte {
	b = append(b, "\r\n"...)
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] != "" {
			b = append(append(append(append(b, headers[i]...), ": "...), headers[i+1]...), "\r\n"...)
		}
	}
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
