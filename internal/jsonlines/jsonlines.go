// Package jsonlines reads and writes what front nodes and servers say to each other: one JSON object (RFC 8259) a
// line, at most 16 KiB of it. It decides nothing.
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

// MaxLine is the longest line in bytes, its end included.
const MaxLineBytes = 16 << 10

// Types of messages that a front node acts on or sends; others are skipped.
const (
	TypeOpen   = "open"
	TypeReady  = "ready"
	TypeClose  = "close"
	TypeEvent  = "event"
	TypeLevel  = "level"
	TypeProbe  = "probe"
	TypeProbed = "probed"
)

// Causes of a close.
const (
	CauseEnd       = 16 // given up; after the answer: come to its end
	CauseCancelled = 31
	CauseFull      = 34
	CauseReset     = 41
	CauseError     = 47
	CauseNotSent   = 102

	CauseProbePassed = 1 // of a test's answer; 0: failed
)

// ErrSpoilt marks a line that is no message: what follows on its connection cannot be trusted.
var ErrMalformed = errors.New("jsonlines: line spoilt")

// Message is one line.
type Message struct {
	Type  string         `json:"msg"`
	ID    string         `json:"sid"`
	Attrs map[string]any `json:"attrs"` // strings and numbers
	Code  *float64       `json:"code"`
	Text  *string        `json:"text"`
}

// Attr is a field as text, "" if there is none.
func (m *Message) Attr(name string) string {
	switch v := m.Attrs[name].(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return ""
}

// Number is a field as a finite number.
func (m *Message) Number(name string) (float64, bool) { return parseFinite(m.Attr(name)) }

func parseFinite(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && !math.IsInf(v, 0) && !math.IsNaN(v)
}

// Cause is the cause of a close; -1 where none is told.
func (m *Message) Cause() int {
	if m.Code == nil || *m.Code != math.Trunc(*m.Code) || math.Abs(*m.Code) > 1<<20 {
		return -1
	}
	return int(*m.Code)
}

// Figures reads a field of the form name:number;name:number. What is no number is left out.
func (m *Message) NumberMap(name string) map[string]float64 {
	out := map[string]float64{}
	for part := range strings.SplitSeq(m.Attr(name), ";") {
		k, v, _ := strings.Cut(part, ":")
		if f, ok := parseFinite(strings.TrimSpace(v)); ok {
			out[strings.TrimSpace(k)] = f
		}
	}
	return out
}

// Read reads one message. ErrSpoilt: close the connection.
func Read(r *bufio.Reader) (*Message, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull) || len(line) > MaxLineBytes:
		return nil, fmt.Errorf("%w: too long", ErrMalformed)
	case err != nil:
		return nil, err
	}
	return Parse(line)
}

// Parse takes a line apart. Text that could not be passed on as it was written is refused: a replaced character
// in a description would be a description that no server gave.
func Parse(line []byte) (*Message, error) {
	m := &Message{}
	if !utf8.Valid(line) {
		return nil, fmt.Errorf("%w: no UTF-8", ErrMalformed)
	}
	if err := json.Unmarshal(line, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.Type == "" {
		return nil, fmt.Errorf("%w: no type", ErrMalformed)
	}
	if m.Text != nil && strings.ContainsRune(*m.Text, utf8.RuneError) && !bytes.ContainsRune(line, utf8.RuneError) {
		return nil, fmt.Errorf("%w: half a character", ErrMalformed)
	}
	return m, nil
}

// Append appends a message with its line feed. Attrs are names and values in turn; a cause under 0 and an empty
// text are left out.
func Append(b []byte, kind, id string, attrs []string, cause int, text string) []byte {
	b = appendString(append(b, `{"msg":`...), kind)
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

// appendText appends a JSON string (RFC 8259, section 7); s must be UTF-8.
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
