// Package http1 reads and writes HTTP/1.1 messages (RFC 9112) on plain connections: a server with
// one goroutine for each connection, and a client whose every request is sent once.
//
// Where the RFC lets a recipient be lenient, this package is strict: bare LF, bare CR, obs-fold,
// white space before a colon and doubtful lengths are refused, since two parsers that read one
// message differently are how requests are smuggled.
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

// Limits bound what one peer may send and how long it may take. Sizes in bytes.
type Limits struct {
	MaxLineBytes int           // request or status line, and one header line
	MaxHeadBytes int           // whole head
	MaxHeaders   int           // number of header lines
	MaxBodyBytes int           // decoded body
	HeadTimeout  time.Duration // from a message's first byte to the end of its head
	BodyTimeout  time.Duration // for its body
	IdleTimeout  time.Duration // between messages of a connection
	WriteTimeout time.Duration // for writing one answer
}

// DefaultLimits suit viewers and boxes.
func DefaultLimits() Limits {
	return Limits{MaxLineBytes: 8 << 10, MaxHeadBytes: 16 << 10, MaxHeaders: 64, MaxBodyBytes: 1 << 20, HeadTimeout: 5 * time.Second,
		BodyTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, WriteTimeout: 10 * time.Second}
}

// Error is a refusal to read a message on; Status is the answer that a server owes (RFC 9110, 15.5).
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

func malformed(format string, a ...any) error { return &Error{400, fmt.Sprintf(format, a...)} }

// Header is one header line; its parts are valid until the next message is read.
type Header struct{ Name, Value []byte }

// message is what requests and responses share.
type message struct {
	head       []byte
	lineEnds   []int // where each line ends in head
	Headers    []Header
	Close      bool // the connection ends after this message
	bodyLength int  // of the body; -1: until the connection ends
	chunked    bool
}

// Get is the first value of a header, or nil. Names compare without case (RFC 9110, 5.1).
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

// token tells characters of methods and header names (RFC 9110, 5.6.2).
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

// readHead reads a start line and header lines up to the empty one.
func (m *message) readHead(r *bufio.Reader, l Limits) error {
	m.head, m.lineEnds, m.Headers = m.head[:0], m.lineEnds[:0], m.Headers[:0]
	m.Close, m.bodyLength, m.chunked = false, 0, false
	for {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull) || len(line) > l.MaxLineBytes:
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
				continue // RFC 9112, 2.2: empty lines before a request are skipped
			}
			return m.parseHeaders()
		}
		if len(m.head)+len(line) > l.MaxHeadBytes || len(m.lineEnds) > l.MaxHeaders {
			return &Error{431, "head too large"}
		}
		m.head = append(m.head, line...)
		m.lineEnds = append(m.lineEnds, len(m.head))
	}
}

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

func trimBlanks(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}

// framing settles the body's length (RFC 9112, 6.3). Both ways at once, or one told twice, is refused.
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
		m.bodyLength = -1 // the caller knows what none means
	}
	return nil
}

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

// readBody appends the body to dst, decoded.
func (m *message) readBody(dst []byte, r *bufio.Reader, l Limits) ([]byte, error) {
	switch {
	case m.chunked:
		return readChunked(dst, r, l)
	case m.bodyLength > l.MaxBodyBytes:
		return dst, &Error{413, "body too large"}
	case m.bodyLength >= 0:
		return readFull(dst, r, m.bodyLength)
	}
	for { // until the connection ends
		if len(dst) > l.MaxBodyBytes {
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

func readFull(dst []byte, r *bufio.Reader, n int) ([]byte, error) {
	at := len(dst)
	dst = slices.Grow(dst, n)[:at+n]
	_, err := io.ReadFull(r, dst[at:])
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return dst, err
}

// readChunks decodes the chunked coding (RFC 9112, 7.1). Trailers are read and dropped.
func readChunked(dst []byte, r *bufio.Reader, l Limits) ([]byte, error) {
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
		if len(dst)+size > l.MaxBodyBytes {
			return dst, &Error{413, "body too large"}
		}
		if dst, err = readFull(dst, r, size); err != nil {
			return dst, err
		}
		if end, err := readChunkLine(r); err != nil || len(end) > 0 {
			return dst, malformed("chunk longer than its size")
		}
	}
	for range l.MaxHeaders {
		if line, err := readChunkLine(r); err != nil || len(line) == 0 {
			return dst, err
		}
	}
	return dst, &Error{431, "too many trailers"}
}

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
