package node

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"rainpulley/control"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/rtsp"
)

const (
	titleURIPrefix = "rtsp://media/"
	maxTimeout     = 10 * time.Minute
	maxLengthHint  = 24 * time.Hour

	maxDedupeKeyBytes = 256
	maxCSeqBytes      = 32

	// maxEscapedLength is the length of the longest JSON escape sequence of one byte.
	maxEscapedLength = 6
	// maxSetUpOverhead is more than a set-up's line to a server needs beside the texts that the viewer chose.
	maxSetUpOverhead = 1 << 10
)

// fitsServerLine reports whether the set-up fits into one message to a server: escaped as JSON, a text may be several
// times as long as it was received.
func (s *session) fitsServerLine() bool {
	if (len(s.description)+len(s.dedupeKey))*maxEscapedLength+maxSetUpOverhead <= jsonlines.MaxLineBytes {
		return true
	}
	line := jsonlines.Append(nil, jsonlines.TypeOpen, s.id, s.appendSetUpAttrs(nil, maxTimeout, math.MaxInt16), -1,
		s.description)
	return len(line) <= jsonlines.MaxLineBytes
}

// isSessionID reports whether s consists of 16 lower-case hexadecimal digits.
func isSessionID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// parseHex parses up to 16 hexadecimal digits.
func parseHex(s string) (uint64, bool) {
	v, err := strconv.ParseUint(s, 16, 64)
	return v, err == nil && len(s) <= 16
}

// parseIntInRange parses a decimal integer from lowest to highest.
func parseIntInRange(s string, lowest, highest int) (int, bool) {
	v, err := strconv.Atoi(s)
	return v, err == nil && v >= lowest && v <= highest
}

// parseMillis parses a number of milliseconds from 0 to highest. The value, which may be NaN, is checked before any
// arithmetic.
func parseMillis(s string, highest time.Duration) (time.Duration, bool) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > float64(highest.Milliseconds()) {
		return 0, false
	}
	return time.Duration(v * float64(time.Millisecond)), true
}

// parseSetUp parses a set-up that arrived at the given time, or returns the invalid part as problem. Every value that
// is used in arithmetic later is checked against its bounds here.
func (n *Node) parseSetUp(m *rtsp.Message, arrived time.Time) (r control.Request, s *session, problem string) {
	// Header values share the memory of the whole head, which would be held as long as one of them is.
	s = &session{node: n, id: strings.Clone(m.Get("Session")), uri: strings.Clone(m.URI),
		cseq: strings.Clone(m.Get("CSeq")), className: m.Get("X-Cos"), dedupeKey: strings.Clone(m.Get("X-Dedupe")),
		description: string(m.Body), receivedAt: n.now()}
	title, ok := strings.CutPrefix(s.uri, titleURIPrefix)
	if !ok || !isSessionID(s.id) || len(s.cseq) > maxCSeqBytes {
		return r, nil, "invalid session id or URI"
	}
	if r.Title, ok = parseHex(title); !ok {
		return r, nil, "title"
	}
	s.titleKey = title
	r.ID, r.Class, r.Tenant = s.id, -1, -1
	for i := range n.Config.Set.Classes {
		if n.Config.Set.Classes[i].Name == s.className {
			r.Class, s.className = i, n.Config.Set.Classes[i].Name
		}
	}
	if r.Class < 0 {
		return r, nil, "class"
	}
	s.atMostOnce = n.Config.Set.Classes[r.Class].Effect == control.AtMostOnce
	if name := m.Get("X-Operator"); name != "" {
		if r.Tenant = slices.IndexFunc(n.Config.Set.Tenants,
			func(t control.Tenant) bool { return t.Name == name }); r.Tenant < 0 {
			return r, nil, "tenant"
		}
	}
	if len(s.dedupeKey) > maxDedupeKeyBytes || !utf8.ValidString(s.dedupeKey) {
		return r, nil, "dedupe"
	}
	if !utf8.ValidString(s.description) || !s.fitsServerLine() {
		return r, nil, "description"
	}
	if problem := n.parseHeaders(m, arrived, &r, s); problem != "" {
		return r, nil, problem
	}
	s.identify()
	return r, s, ""
}

func (n *Node) parseHeaders(m *rtsp.Message, arrived time.Time, r *control.Request, s *session) string {
	if reattempt := m.Get("X-Reattempt"); reattempt != "" && reattempt != "0" {
		r.Repeat = true
	}
	if hint := m.Get("X-Guess"); hint != "" {
		length, ok := parseMillis(hint, maxLengthHint)
		if !ok {
			return "hint"
		}
		r.ExpectedLength = length
	}
	if problem := n.parseLegs(m.Get("X-Legs"), r); problem != "" {
		return problem
	}
	s.adopted = r.Server != ""
	s.playing = s.adopted
	if s.adopted {
		return ""
	}
	timer, ok := parseMillis(m.Get("X-Timer-Ms"), maxTimeout)
	if !ok || timer <= 0 {
		return "timer"
	}
	s.timeout = timer
	s.deadline = n.unixTime(arrived) + timer
	r.GiveUpAt = s.deadline
	return ""
}

// parseLegs parses the key-value pairs of the X-Legs header; unknown keys are ignored.
func (n *Node) parseLegs(legs string, r *control.Request) string {
	set := &n.Config.Set
	seen := 0
	for part := range strings.SplitSeq(legs, ";") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), ":")
		ok := true
		switch name {
		case "home":
			r.HomeCell, ok = parseIntInRange(v, 0, max(set.Cells-1, 0))
			seen |= 1
		case "copies":
			r.CellSpan, ok = parseIntInRange(v, 1, max(set.Cells, 1))
			seen |= 2
		case "top":
			r.BestRung, ok = parseIntInRange(v, 0, len(set.Ladder)-1)
			seen |= 4
		case "viewer":
			r.Viewer, ok = parseHex(v)
		case "again":
			r.Returned = v == "1"
		case "at":
			r.Server, ok = strings.Clone(v), v != "" && len(v) <= 64
		}
		if !ok {
			return name
		}
	}
	if seen != 7 {
		return "figures"
	}
	return ""
}
