// Package rtsp reads and writes RTSP messages (RFC 2326, sections 4 to 7) as far as a front node needs them: requests
// and responses in either direction, distinguished by their first line, each with a Content-Length. The package
// contains no decision logic. Every size is bounded.
//
// Like package http1, it is stricter than the RFC: it rejects bare LF, bare CR, folded lines, white space before a colon
// and ambiguous lengths, because two parsers that interpret a message differently disagree on where the next one starts.
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

// MaxMessageBytes is the maximum size of a message in bytes, head and body together.
const MaxMessageBytes = 16 << 10

const maxHeaderLines = 32

// Error describes a malformed message. Status is the status code to respond with (RFC 2326, section 11).
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("rtsp: %s (%d)", e.Reason, e.Status) }

// badRequest returns an error with status 400.
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

// Get returns the first value of a header, or "". Header names are case-insensitive (RFC 2326, section 4.2).
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
	// Reserve, if set, is called with the size in bytes of the message that is being read, as it grows, and with 0 at its
	// end. If it returns false, the message is refused.
	Reserve func(size int) bool

	r    *bufio.Reader
	head []byte
}

// maxKeptHead is the size up to which the buffer of a message's head is kept for the next message.
const maxKeptHead = 4 << 10

// reserve reserves memory for the message that is being read.
func (d *Reader) reserve(size int) error {
	if d.Reserve != nil && !d.Reserve(size) {
		return &Error{503, "no memory for the message"}
	}
	return nil
}

// NewReader returns a reader of messages from r. The size of r's buffer limits the length of one line.
func NewReader(r *bufio.Reader) *Reader { return &Reader{r: r} }

// WaitForMessage blocks until the first byte of a message is available or the stream has ended.
func (d *Reader) WaitForMessage() error {
	_, err := d.r.Peek(1)
	return err
}

// Buffered returns the number of bytes that were read from the stream and belong to no message returned so far.
func (d *Reader) Buffered() int { return d.r.Buffered() }

// Next reads one message. After an error no further message can be read from the stream. An *Error contains the status
// to respond with; io.EOF means that the stream ended between two messages.
func (d *Reader) Next() (*Message, error) {
	if err := d.readHead(); err != nil {
		return nil, err
	}
	m := &Message{}
	length, err := m.parseHead(string(d.head))
	if err != nil {
		return nil, err
	}
	if length > MaxMessageBytes-len(d.head) {
		return nil, &Error{413, "message too large"}
	}
	if length == 0 {
		return m, d.reserve(0)
	}
	if err := d.reserve(len(d.head) + length); err != nil {
		return nil, err
	}
	m.Body = make([]byte, length)
	if _, err := io.ReadFull(d.r, m.Body); err != nil {
		return nil, unexpectedEOF(err)
	}
	return m, d.reserve(0)
}

// SetUpHeaders returns the CSeq and the Session of the message that Next has returned an error for, as far as its head
// was received, so that an error response can refer to it. Both are empty unless it is a SETUP request.
func (d *Reader) SetUpHeaders() (cseq, session string) {
	line, rest, _ := strings.Cut(string(d.head), "\r\n")
	m := &Message{}
	if m.parseStartLine(line) != nil || m.Method != "SETUP" {
		return "", ""
	}
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			break
		}
		if strings.EqualFold(name, "CSeq") || strings.EqualFold(name, "Session") {
			m.Headers = append(m.Headers, Header{name, strings.Trim(value, " \t")})
		}
	}
	return m.Get("CSeq"), m.Get("Session")
}

// unexpectedEOF turns io.EOF within a message into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readHead reads the lines up to the empty line into d.head, including their line endings.
func (d *Reader) readHead() error {
	if d.head = d.head[:0]; cap(d.head) > maxKeptHead {
		d.head = nil
	}
	for {
		line, err := d.r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull) || len(d.head)+len(line) > MaxMessageBytes:
			return &Error{413, "message head too large"}
		case err != nil && len(d.head)+len(line) > 0:
			return unexpectedEOF(err)
		case err != nil:
			return err
		case len(line) < 2 || line[len(line)-2] != '\r':
			return badRequest("line does not end with CRLF")
		case len(line) == 2 && len(d.head) == 0:
			continue // empty lines before a message are skipped
		case len(line) == 2:
			return nil
		}
		if err := d.reserve(len(d.head) + len(line)); err != nil {
			return err
		}
		d.head = append(d.head, line...)
	}
}

// parseHead parses the start line and the headers and returns the length of the body.
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
			return 0, badRequest("malformed header line or too many headers")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\x00") {
			return 0, badRequest("malformed header value")
		}
		if strings.EqualFold(name, "Content-Length") {
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 || value[0] == '+' {
				return 0, badRequest("malformed or repeated Content-Length")
			}
			length = int(n)
		}
		m.Headers = append(m.Headers, Header{name, value})
	}
	if length < 0 {
		return 0, badRequest("Content-Length is missing")
	}
	return length, nil
}

// parseStartLine parses a status line or a request line.
func (m *Message) parseStartLine(line string) error {
	const version = "RTSP/1.0"
	if status, ok := strings.CutPrefix(line, version+" "); ok {
		code, _, _ := strings.Cut(status, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 {
			return badRequest("malformed status line")
		}
		m.Status = n
		return nil
	}
	method, target, _ := strings.Cut(line, " ")
	uri, protocol, ok := strings.Cut(target, " ")
	if !ok || protocol != version || !isToken(method) || uri == "" ||
		strings.ContainsFunc(uri, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return badRequest("malformed request line")
	}
	m.Method, m.URI = method, uri
	return nil
}

// isToken reports whether s is a token (RFC 2326, section 15.1).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte("()<>@,;:\\\"/[]?={}"), c) >= 0 {
			return false
		}
	}
	return s != ""
}

// reasonPhrases are the reason phrases of the status codes (RFC 2326, section 7.1.1).
var reasonPhrases = map[int]string{100: "Continue", 200: "OK", 400: "Bad Request", 408: "Request Time-out",
	413: "Request Entity Too Large",
	453: "Not Enough Bandwidth", 454: "Session Not Found", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 504: "Gateway Time-out"}

// AppendResponse appends a response to b. headers holds alternating names and values; headers with an empty value are
// omitted.
func AppendResponse(b []byte, status int, headers []string, body []byte) []byte {
	b = append(b, "RTSP/1.0 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasonPhrases[status]...)
	return appendHeadersAndBody(b, headers, body)
}

// AppendRequest appends a request to b; headers as for AppendResponse.
func AppendRequest(b []byte, method, uri string, headers []string, body []byte) []byte {
	b = append(append(append(append(b, method...), ' '), uri...), " RTSP/1.0"...)
	return appendHeadersAndBody(b, headers, body)
}

// appendHeadersAndBody appends everything that follows the start line.
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
