// Package jsonlines reads and writes the messages that front nodes and servers exchange: one JSON object (RFC 8259) per
// line, with at most 16 KiB per line. The package contains no decision logic.
package jsonlines

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"
)

// MaxLineBytes is the maximum length of a line in bytes, including its line feed.
const MaxLineBytes = 16 << 10

// Types of messages that a front node processes or sends; messages of other types are ignored.
const (
	TypeOpen   = "open"
	TypeReady  = "ready"
	TypeClose  = "close"
	TypeEvent  = "event"
	TypeLevel  = "level"
	TypeProbe  = "probe"
	TypeProbed = "probed"
)

// Cause codes of a close message.
const (
	CauseEnd       = 16 // the set-up was cancelled; after its answer: the session has ended
	CauseCancelled = 31
	CauseFull      = 34
	CauseReset     = 41
	CauseError     = 47
	CauseNotSent   = 102

	CauseProbePassed = 1 // cause code of a probe's reply; 0 means that the probe failed
)

// ErrMalformed is the error for a line that is not a valid message. Nothing that follows it on the same connection can
// be trusted.
var ErrMalformed = errors.New("jsonlines: malformed line")

// Message is the content of one line.
type Message struct {
	Type  string         `json:"msg"`
	ID    string         `json:"sid"`
	Attrs map[string]any `json:"attrs"` // values are strings or numbers; others are ignored
	Code  *float64       `json:"code"`
	Text  *string        `json:"text"`
}

// Attr returns an attribute as text, or "" if it is absent.
func (m *Message) Attr(name string) string {
	switch v := m.Attrs[name].(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return ""
}

// Number returns an attribute as a finite number and reports whether it is one.
func (m *Message) Number(name string) (float64, bool) { return parseFinite(m.Attr(name)) }

// parseFinite parses a number and reports whether it is finite.
func parseFinite(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && !math.IsInf(v, 0) && !math.IsNaN(v)
}

// Cause returns the cause code of a close message, or -1 if it has no valid one.
func (m *Message) Cause() int {
	if m.Code == nil || *m.Code != math.Trunc(*m.Code) || math.Abs(*m.Code) > 1<<20 {
		return -1
	}
	return int(*m.Code)
}

// NumberMap parses an attribute of the form name:number;name:number. Entries whose value is not a finite number are
// omitted.
func (m *Message) NumberMap(name string) map[string]float64 {
	numbers := map[string]float64{}
	for part := range strings.SplitSeq(m.Attr(name), ";") {
		k, v, _ := strings.Cut(part, ":")
		if f, ok := parseFinite(strings.TrimSpace(v)); ok {
			numbers[strings.TrimSpace(k)] = f
		}
	}
	return numbers
}

// Read reads one message. After ErrMalformed the caller must close the connection.
func Read(r *bufio.Reader) (*Message, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull) || len(line) > MaxLineBytes:
		return nil, fmt.Errorf("%w: longer than the limit", ErrMalformed)
	case err != nil:
		return nil, err
	}
	return Parse(line)
}

// Parse decodes one line. Text that could not be forwarded unchanged is rejected: with a replaced character, a session
// description would no longer be the one that the server sent.
func Parse(line []byte) (*Message, error) {
	m := &Message{}
	if !utf8.Valid(line) {
		return nil, fmt.Errorf("%w: invalid UTF-8", ErrMalformed)
	}
	if err := json.Unmarshal(line, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.Type == "" {
		return nil, fmt.Errorf("%w: message type is missing", ErrMalformed)
	}
	if m.Text != nil && strings.ContainsRune(*m.Text, utf8.RuneError) && !bytes.ContainsRune(line, utf8.RuneError) {
		return nil, fmt.Errorf("%w: text has a replaced character", ErrMalformed)
	}
	return m, nil
}

// Append appends a message and its line feed to b. attrs holds alternating names and values. A negative cause and an
// empty text are omitted.
func Append(b []byte, messageType, id string, attrs []string, cause int, text string) []byte {
	b = appendString(append(b, `{"msg":`...), messageType)
	b = appendString(append(b, `,"sid":`...), id)
	b = append(b, `,"attrs":{`...)
	for i := 0; i+1 < len(attrs); i += 2 {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(append(appendString(b, attrs[i]), ':'), attrs[i+1])
	}
	b = append(b, '}')
	if cause >= 0 {
		b = strconv.AppendInt(append(b, `,"code":`...), int64(cause), 10)
	}
	if text != "" {
		b = appendString(append(b, `,"text":`...), text)
	}
	return append(b, '}', '\n')
}

// appendString appends s as a JSON string (RFC 8259, section 7). s must be valid UTF-8.
func appendString(b []byte, s string) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\r':
			b = append(b, '\\', 'r')
		case c == '\n':
			b = append(b, '\\', 'n')
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
