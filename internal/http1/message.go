// Package http1 implements HTTP/1.1 (RFC 9112) on plain connections: a server that runs one goroutine per connection,
// and a client that sends every request exactly once.
//
// Where the RFC lets a recipient be lenient, this package is strict: it rejects bare LF, bare CR, obs-fold, white
// space before a colon and ambiguous body lengths, because request smuggling relies on two parsers that interpret
// the same message differently.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// Limits bounds the size of the messages that a peer may send and the time that it may take.
type Limits struct {
	MaxLineBytes int           // bytes of the request or status line, and of each header line
	MaxHeadBytes int           // bytes of the start line and all header lines
	MaxHeaders   int           // number of header lines
	MaxBodyBytes int           // bytes of the decoded body
	HeadTimeout  time.Duration // from the first byte of a message to the end of its head
	BodyTimeout  time.Duration // for reading the body
	IdleTimeout  time.Duration // between two messages on a connection; in Client.Do, for the whole response
	WriteTimeout time.Duration // for writing one request or response
}

// DefaultLimits returns limits that suit connections of viewers and boxes.
func DefaultLimits() Limits {
	return Limits{MaxLineBytes: 8 << 10, MaxHeadBytes: 16 << 10, MaxHeaders: 64, MaxBodyBytes: 1 << 20,
		HeadTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second,
		WriteTimeout: 10 * time.Second}
}

// Error is returned for a message that cannot be accepted. Status is the status code with which a server responds
// (RFC 9110, 15.5), and Reason the text of that response.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

// malformed returns an Error with status 400.
func malformed(format string, a ...any) error { return &Error{400, fmt.Sprintf(format, a...)} }

// Header is one header line. Its slices are valid until the next message is read.
type Header struct{ Name, Value []byte }

// message holds the parts that requests and responses have in common.
type message struct {
	head       []byte // start line and header lines, without line breaks
	lineEnds   []int  // end offset of each line in head
	Headers    []Header
	Close      bool // the connection is closed after this message
	bodyLength int  // in bytes; -1: the message has neither a length nor a coding
	chunked    bool
}

// Get returns the first value of a header, or nil. Names are case-insensitive (RFC 9110, 5.1).
func (m *message) Get(name string) []byte {
	for i := range m.Headers {
		if equalFold(m.Headers[i].Name, name) {
			return m.Headers[i].Value
		}
	}
	return nil
}

func equalFold(a []byte, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if toLower(a[i]) != toLower(b[i]) {
			return false
		}
	}
	return true
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// isTokenChar reports whether c is allowed in methods and header names (RFC 9110, 5.6.2).
func isTokenChar(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c != 0 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenChar(c) {
			return false
		}
	}
	return len(b) > 0
}

// readHead reads the start line and the header lines up to the empty line, and parses the headers.
func (m *message) readHead(r *bufio.Reader, limits Limits) error {
	m.head, m.lineEnds, m.Headers = m.head[:0], m.lineEnds[:0], m.Headers[:0]
	m.Close, m.bodyLength, m.chunked = false, 0, false
	for {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull) || len(line) > limits.MaxLineBytes:
			return m.lineTooLong()
		case err != nil:
			if len(m.head)+len(line) > 0 && errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		case len(line) < 2 || line[len(line)-2] != '\r':
			return malformed("line %d ends without CR", len(m.lineEnds)+1)
		}
		line = line[:len(line)-2]
		if len(line) == 0 {
			if len(m.lineEnds) == 0 {
				continue // empty lines before a request are skipped (RFC 9112, 2.2)
			}
			return m.parseHeaders()
		}
		if len(m.head)+len(line) > limits.MaxHeadBytes || len(m.lineEnds) > limits.MaxHeaders {
			return &Error{431, "head too large"}
		}
		m.head = append(m.head, line...)
		m.lineEnds = append(m.lineEnds, len(m.head))
	}
}

// lineTooLong returns the error for a start line or header line that exceeds the limit.
func (m *message) lineTooLong() error {
	if len(m.lineEnds) == 0 {
		return &Error{414, "start line too long"}
	}
	return &Error{431, "header line too long"}
}

func (m *message) startLine() []byte { return m.head[:m.lineEnds[0]] }

func (m *message) parseHeaders() error {
	for i := 1; i < len(m.lineEnds); i++ {
		line := m.head[m.lineEnds[i-1]:m.lineEnds[i]]
		if line[0] == ' ' || line[0] == '\t' {
			return malformed("header %d is folded", i)
		}
		colon := bytes.IndexByte(line, ':')
		if colon < 0 || !isToken(line[:colon]) {
			return malformed("header %d has no valid name", i)
		}
		value := trimBlanks(line[colon+1:])
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return malformed("header %d holds a control character", i)
			}
		}
		m.Headers = append(m.Headers, Header{line[:colon], value})
	}
	return m.parseFraming()
}

// trimBlanks removes leading and trailing spaces and tabs.
func trimBlanks(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}

// parseFraming determines the body length (RFC 9112, 6.3). It rejects a message that has both Content-Length and
// Transfer-Encoding, or either of them more than once.
func (m *message) parseFraming() error {
	lengths, codings := 0, 0
	for _, h := range m.Headers {
		switch {
		case equalFold(h.Name, "content-length"):
			lengths++
			n, ok := parseDecimal(h.Value)
			if !ok {
				return malformed("content-length is no number")
			}
			m.bodyLength = n
		case equalFold(h.Name, "transfer-encoding"):
			codings++
			if !equalFold(h.Value, "chunked") {
				return &Error{501, "transfer coding not known"}
			}
			m.chunked = true
		case equalFold(h.Name, "connection"):
			m.Close = m.Close || hasToken(h.Value, "close")
		}
	}
	if lengths+codings > 1 {
		return malformed("more than one body length")
	}
	if lengths+codings == 0 {
		m.bodyLength = -1 // a request then has no body; the body of a response ends with the connection
	}
	return nil
}

// parseDecimal parses an unsigned decimal number of at most 15 digits.
func parseDecimal(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 15 {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// hasToken reports whether a comma-separated list contains a token, without regard to case.
func hasToken(list []byte, want string) bool {
	for len(list) > 0 {
		part := list
		if i := bytes.IndexByte(list, ','); i >= 0 {
			part, list = list[:i], list[i+1:]
		} else {
			list = nil
		}
		if equalFold(trimBlanks(part), want) {
			return true
		}
	}
	return false
}

// readBody appends the decoded body to dst.
func (m *message) readBody(dst []byte, r *bufio.Reader, limits Limits) ([]byte, error) {
	switch {
	case m.chunked:
		return readChunked(dst, r, limits)
	case m.bodyLength > limits.MaxBodyBytes:
		return dst, &Error{413, "body too large"}
	case m.bodyLength >= 0:
		return readFull(dst, r, m.bodyLength)
	}
	for { // read until the connection ends
		if len(dst) > limits.MaxBodyBytes {
			return dst, &Error{413, "body too large"}
		}
		dst = append(dst, 0)
		n, err := r.Read(dst[len(dst)-1 : cap(dst)])
		dst = dst[:len(dst)-1+n]
		if errors.Is(err, io.EOF) {
			return dst, nil
		}
		if err != nil {
			return dst, err
		}
	}
}

// readFull appends exactly n bytes to dst.
func readFull(dst []byte, r *bufio.Reader, n int) ([]byte, error) {
	start := len(dst)
	dst = slices.Grow(dst, n)[:start+n]
	_, err := io.ReadFull(r, dst[start:])
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return dst, err
}

// readChunked appends a body in chunked coding (RFC 9112, 7.1) to dst. Trailers are discarded.
func readChunked(dst []byte, r *bufio.Reader, limits Limits) ([]byte, error) {
	for {
		line, err := readChunkLine(r)
		if err != nil {
			return dst, err
		}
		if i := bytes.IndexByte(line, ';'); i >= 0 {
			line = trimBlanks(line[:i])
		}
		size, ok := parseHex(line)
		if !ok {
			return dst, malformed("chunk size is no number")
		}
		if size == 0 {
			break
		}
		if len(dst)+size > limits.MaxBodyBytes {
			return dst, &Error{413, "body too large"}
		}
		if dst, err = readFull(dst, r, size); err != nil {
			return dst, err
		}
		if rest, err := readChunkLine(r); err != nil || len(rest) > 0 {
			return dst, malformed("chunk longer than its size")
		}
	}
	for range limits.MaxHeaders {
		if line, err := readChunkLine(r); err != nil || len(line) == 0 {
			return dst, err
		}
	}
	return dst, &Error{431, "too many trailers"}
}

// readChunkLine reads one line of the chunked coding and removes its CRLF.
func readChunkLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' || bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
		return nil, malformed("chunk line ends without CR")
	}
	return line[:len(line)-2], nil
}

// parseHex parses an unsigned hexadecimal number of at most 7 digits.
func parseHex(b []byte) (n int, ok bool) {
	for _, c := range b {
		switch c = toLower(c); {
		case '0' <= c && c <= '9':
			n = n<<4 | int(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 | int(c-'a'+10)
		default:
			return 0, false
		}
	}
	return n, len(b) > 0 && len(b) <= 7
}
