// Package hls reads and writes HTTP Live Streaming playlists (RFC 8216, and EXT-X-DEFINE of
// draft-pantos-hls-rfc8216bis, 4.4.2.3). Unknown tags are kept unchanged, in their position.
package hls

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rainpulley/internal/timeconv"
)

// Limits for parsed playlists.
const (
	MaxPlaylistBytes = 1 << 20
	MaxSegments      = 20000
	MaxVariants      = 200
)

// Attribute is one entry of a tag's attribute list; Value is the raw text, with its quotes (RFC 8216, 4.2).
type Attribute struct{ Name, Value string }

// AttributeList is the attribute list of a tag, in source order.
type AttributeList []Attribute

// Get returns the unquoted value of an attribute, or "" if the list does not contain it.
func (a AttributeList) Get(name string) string {
	for _, x := range a {
		if x.Name == name {
			return unquote(x.Value)
		}
	}
	return ""
}

// WithValue returns a copy of the list in which the named attribute, if present, has value as a quoted string.
func (a AttributeList) WithValue(name, value string) AttributeList {
	out := append(AttributeList(nil), a...)
	for i := range out {
		if out[i].Name == name {
			out[i].Value = `"` + value + `"`
		}
	}
	return out
}

// String returns the list in the syntax of RFC 8216, 4.2.
func (a AttributeList) String() string {
	var b strings.Builder
	for i, x := range a {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(x.Name + "=" + x.Value)
	}
	return b.String()
}

func unquote(v string) string {
	if len(v) >= 2 && v[0] == '"' && v[len(v)-1] == '"' {
		return v[1 : len(v)-1]
	}
	return v
}

// Variant is one EXT-X-STREAM-INF tag with its URI.
type Variant struct {
	Attributes AttributeList
	URI        string
	Bandwidth  int // bits per second
}

// Rendition is one EXT-X-MEDIA tag.
type Rendition struct{ Attributes AttributeList }

// MultivariantPlaylist lists the variants and renditions of a title.
type MultivariantPlaylist struct {
	Version    int
	Variants   []Variant
	Renditions []Rendition
	OtherTags  []string // tag lines that are copied to the output without being interpreted
}

// Segment is one media segment and the tags that apply to it.
type Segment struct {
	Duration      float64 // seconds
	Title         string
	URI           string
	ByteRange     string // value of EXT-X-BYTERANGE, always with an explicit offset
	Discontinuity bool
	Keys          []string // EXT-X-KEY lines that apply to the segment
	Map           string   // EXT-X-MAP line that applies to the segment
	OtherTags     []string // other tag lines before the URI, copied unchanged
}

// MediaPlaylist lists the segments of one variant or rendition.
type MediaPlaylist struct {
	Version               int
	TargetDuration        int // seconds
	MediaSequence         uint64
	DiscontinuitySequence uint64 // EXT-X-DISCONTINUITY-SEQUENCE
	Type                  string // EVENT, VOD or empty
	EndList               bool
	Segments              []Segment
	OtherTags             []string // uninterpreted tag lines that apply to the whole playlist
}

// Duration returns the total duration of all segments.
func (m *MediaPlaylist) Duration() time.Duration {
	sum := 0.0
	for i := range m.Segments {
		sum += m.Segments[i].Duration
	}
	return timeconv.Seconds(sum)
}

// lineError adds the number of the invalid line to an error.
type lineError struct {
	line int
	err  error
}

func (e *lineError) Error() string { return fmt.Sprintf("hls: line %d: %v", e.line, e.err) }
func (e *lineError) Unwrap() error { return e.err }

// lineReader iterates over the lines of a playlist and substitutes the variables that EXT-X-DEFINE sets.
type lineReader struct {
	variables map[string]string
	seenTags  map[string]bool
}

var errNotPlaylist = errors.New("playlist does not begin with #EXTM3U")

// forEachLine checks the #EXTM3U line and calls handle for every following line that is not blank, after variable
// substitution. An EXT-X-DEFINE line is passed as an empty string.
func (r *lineReader) forEachLine(body []byte, handle func(line string) error) error {
	if len(body) > MaxPlaylistBytes {
		return fmt.Errorf("hls: playlist has %d bytes; the limit is %d", len(body), MaxPlaylistBytes)
	}
	r.variables, r.seenTags = map[string]string{}, map[string]bool{}
	for lineNumber := 1; len(body) > 0; lineNumber++ {
		line := body
		if i := bytes.IndexByte(body, '\n'); i >= 0 {
			line, body = body[:i], body[i+1:]
		} else {
			body = nil
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		if lineNumber == 1 {
			if string(line) != "#EXTM3U" {
				return &lineError{1, errNotPlaylist}
			}
			continue
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		for _, c := range line {
			if c < ' ' && c != '\t' || c == 0x7f {
				return &lineError{lineNumber, errors.New("control character in line")}
			}
		}
		text, err := r.substitute(string(line))
		if err == nil {
			err = handle(text)
		}
		if err != nil {
			return &lineError{lineNumber, err}
		}
	}
	return nil
}

// substitute replaces variable references in a line by their values. For an EXT-X-DEFINE line it stores the
// variable and returns an empty string.
func (r *lineReader) substitute(line string) (string, error) {
	if rest, ok := strings.CutPrefix(line, "#EXT-X-DEFINE:"); ok {
		attributes, err := parseAttributes(rest)
		if err != nil {
			return "", err
		}
		name := attributes.Get("NAME")
		if name == "" {
			return "", errors.New("EXT-X-DEFINE without NAME: IMPORT and QUERYPARAM are not supported")
		}
		if _, defined := r.variables[name]; defined {
			return "", fmt.Errorf("variable %q is defined more than once", name)
		}
		r.variables[name] = attributes.Get("VALUE")
		return "", nil
	}
	if len(r.variables) == 0 || !strings.Contains(line, "{$") {
		return line, nil
	}
	var b strings.Builder
	for {
		i := strings.Index(line, "{$")
		j := -1
		if i >= 0 {
			j = strings.IndexByte(line[i:], '}')
		}
		if j < 0 {
			b.WriteString(line)
			break
		}
		name := line[i+2 : i+j]
		value, ok := r.variables[name]
		if !ok {
			return "", fmt.Errorf("variable %q is not defined", name)
		}
		b.WriteString(line[:i])
		b.WriteString(value)
		line = line[i+j+1:]
		if b.Len() > MaxPlaylistBytes {
			return "", errors.New("line is too long after variable substitution")
		}
	}
	return b.String(), nil
}

// requireUnique returns an error for the second occurrence of a tag that is allowed only once per playlist.
func (r *lineReader) requireUnique(tag string) error {
	if r.seenTags[tag] {
		return fmt.Errorf("%s appears more than once", tag)
	}
	r.seenTags[tag] = true
	return nil
}

// parseAttributes parses an attribute list (RFC 8216, 4.2) and rejects duplicate names.
func parseAttributes(s string) (AttributeList, error) {
	var out AttributeList
	for len(s) > 0 {
		eq := strings.IndexByte(s, '=')
		if eq <= 0 {
			return nil, fmt.Errorf("malformed attribute list at %q", truncate(s))
		}
		name := s[:eq]
		for _, c := range name {
			if !(c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-') {
				return nil, fmt.Errorf("malformed attribute name %q", truncate(name))
			}
		}
		s = s[eq+1:]
		end := 0
		if strings.HasPrefix(s, `"`) {
			if end = strings.IndexByte(s[1:], '"') + 2; end == 1 {
				return nil, fmt.Errorf("attribute %s: missing closing quote", name)
			}
		} else if end = strings.IndexByte(s, ','); end < 0 {
			end = len(s)
		}
		value := s[:end]
		if !strings.HasPrefix(value, `"`) && strings.Contains(value, `"`) {
			// A quote inside the value would end the quoted string when the value is written with quotes.
			return nil, fmt.Errorf("attribute %s: quote inside an unquoted value", name)
		}
		if s = s[end:]; s != "" {
			if s[0] != ',' || len(s) == 1 {
				return nil, fmt.Errorf("malformed attribute list after %s", name)
			}
			s = s[1:]
		}
		for _, a := range out {
			if a.Name == name {
				return nil, fmt.Errorf("duplicate attribute %s", name)
			}
		}
		out = append(out, Attribute{name, value})
	}
	return out, nil
}

// truncate limits text of a playlist that is quoted in an error to 40 bytes.
func truncate(s string) string { return s[:min(len(s), 40)] }

// splitTag splits a tag line at its first colon.
func splitTag(line string) (tag, value string) {
	tag, value, _ = strings.Cut(line, ":")
	return tag, value
}

func parseInteger(tag, v string) (int, error) {
	n, err := strconv.ParseUint(v, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is not a decimal integer below 2^31", tag, truncate(v))
	}
	return int(n), nil
}

// IsMultivariant reports whether body is a multivariant playlist rather than a media playlist (RFC 8216, 4.1).
func IsMultivariant(body []byte) bool { return bytes.Contains(body, []byte("#EXT-X-STREAM-INF")) }

// ParseMultivariant parses a multivariant playlist.
func ParseMultivariant(body []byte) (*MultivariantPlaylist, error) {
	playlist := &MultivariantPlaylist{Version: 1}
	var r lineReader
	var pending *Variant
	err := r.forEachLine(body, func(line string) error {
		if line == "" {
			return nil
		}
		if line[0] != '#' {
			if pending == nil {
				return errors.New("URI without EXT-X-STREAM-INF")
			}
			pending.URI = line
			playlist.Variants, pending = append(playlist.Variants, *pending), nil
			return nil
		}
		tag, value := splitTag(line)
		switch tag {
		case "#EXT-X-VERSION":
			if err := r.requireUnique(tag); err != nil {
				return err
			}
			var err error
			playlist.Version, err = parseInteger(tag, value)
			return err
		case "#EXT-X-STREAM-INF":
			if pending != nil || len(playlist.Variants) >= MaxVariants {
				return errors.New("EXT-X-STREAM-INF without URI, or too many EXT-X-STREAM-INF tags")
			}
			attributes, err := parseAttributes(value)
			if err != nil {
				return err
			}
			pending = &Variant{Attributes: attributes}
			pending.Bandwidth, err = parseInteger("BANDWIDTH", attributes.Get("BANDWIDTH"))
			return err
		case "#EXT-X-MEDIA":
			attributes, err := parseAttributes(value)
			if err != nil {
				return err
			}
			if attributes.Get("TYPE") == "" || attributes.Get("GROUP-ID") == "" || len(playlist.Renditions) >= MaxVariants {
				return errors.New("EXT-X-MEDIA without TYPE or GROUP-ID, or too many EXT-X-MEDIA tags")
			}
			playlist.Renditions = append(playlist.Renditions, Rendition{attributes})
		case "#EXTINF", "#EXT-X-TARGETDURATION", "#EXT-X-MEDIA-SEQUENCE":
			return fmt.Errorf("%s in a multivariant playlist", tag)
		default:
			if strings.HasPrefix(line, "#EXT") {
				playlist.OtherTags = append(playlist.OtherTags, line)
			}
		}
		return nil
	})
	if err == nil && pending != nil {
		err = errors.New("hls: last EXT-X-STREAM-INF has no URI")
	}
	if err == nil && len(playlist.Variants) == 0 {
		err = errors.New("hls: multivariant playlist has no variant")
	}
	if err != nil {
		return nil, err
	}
	return playlist, nil
}

// mediaParser holds the parse state of a media playlist, including the tags that apply to the next segment.
type mediaParser struct {
	lineReader
	playlist     *MediaPlaylist
	nextSegment  Segment
	hasDuration  bool // the EXTINF of nextSegment was read
	keys         []string
	lastRangeEnd int64 // end of the previous byte range, for a range without offset
	lastRangeURI string
}

// ParseMedia parses a media playlist. It rejects segments that are longer than the target duration.
func ParseMedia(body []byte) (*MediaPlaylist, error) {
	parser := &mediaParser{playlist: &MediaPlaylist{Version: 1}}
	if err := parser.forEachLine(body, parser.parseLine); err != nil {
		return nil, err
	}
	playlist := parser.playlist
	switch {
	case parser.hasDuration:
		return nil, errors.New("hls: last EXTINF has no URI")
	case !parser.seenTags["#EXT-X-TARGETDURATION"]:
		return nil, errors.New("hls: EXT-X-TARGETDURATION is missing")
	}
	for i := range playlist.Segments {
		if math.Round(playlist.Segments[i].Duration) > float64(playlist.TargetDuration) {
			return nil, fmt.Errorf("hls: segment %d is longer than the target duration", i)
		}
	}
	return playlist, nil
}

// parseLine handles one line after variable substitution.
func (r *mediaParser) parseLine(line string) error {
	if line == "" {
		return nil
	}
	if line[0] != '#' {
		return r.addSegment(line)
	}
	tag, value := splitTag(line)
	switch tag {
	case "#EXT-X-VERSION", "#EXT-X-TARGETDURATION", "#EXT-X-MEDIA-SEQUENCE", "#EXT-X-DISCONTINUITY-SEQUENCE",
		"#EXT-X-PLAYLIST-TYPE", "#EXT-X-ENDLIST":
		return r.parsePlaylistTag(tag, value)
	case "#EXT-X-STREAM-INF", "#EXT-X-MEDIA", "#EXT-X-I-FRAME-STREAM-INF":
		return fmt.Errorf("%s in a media playlist", tag)
	case "#EXTINF":
		duration, title, _ := strings.Cut(value, ",")
		seconds, err := strconv.ParseFloat(duration, 64)
		if err != nil || !(seconds >= 0) || seconds > 3600 || r.hasDuration {
			return fmt.Errorf("EXTINF %q is malformed or appears twice for one segment", truncate(value))
		}
		r.nextSegment.Duration, r.nextSegment.Title, r.hasDuration = seconds, title, true
	case "#EXT-X-BYTERANGE":
		r.nextSegment.ByteRange = value
	case "#EXT-X-DISCONTINUITY":
		r.nextSegment.Discontinuity = true
	case "#EXT-X-KEY":
		return r.parseKey(line, value)
	case "#EXT-X-MAP":
		if _, err := parseAttributes(value); err != nil {
			return err
		}
		r.nextSegment.Map = line
	case "#EXT-X-INDEPENDENT-SEGMENTS", "#EXT-X-START", "#EXT-X-I-FRAMES-ONLY":
		r.playlist.OtherTags = append(r.playlist.OtherTags, line)
	default:
		if strings.HasPrefix(line, "#EXT") {
			r.nextSegment.OtherTags = append(r.nextSegment.OtherTags, line)
		}
	}
	return nil
}

// parsePlaylistTag stores a tag that applies to the whole playlist and is allowed only once.
func (r *mediaParser) parsePlaylistTag(tag, value string) (err error) {
	if err = r.requireUnique(tag); err != nil {
		return err
	}
	n := 0
	switch tag {
	case "#EXT-X-VERSION":
		r.playlist.Version, err = parseInteger(tag, value)
	case "#EXT-X-TARGETDURATION":
		r.playlist.TargetDuration, err = parseInteger(tag, value)
	case "#EXT-X-MEDIA-SEQUENCE":
		n, err = parseInteger(tag, value)
		r.playlist.MediaSequence = uint64(n)
	case "#EXT-X-DISCONTINUITY-SEQUENCE":
		n, err = parseInteger(tag, value)
		r.playlist.DiscontinuitySequence = uint64(n)
	case "#EXT-X-PLAYLIST-TYPE":
		if value != "EVENT" && value != "VOD" {
			return fmt.Errorf("%s: %q is neither EVENT nor VOD", tag, truncate(value))
		}
		r.playlist.Type = value
	case "#EXT-X-ENDLIST":
		r.playlist.EndList = true
	}
	return err
}

// parseKey updates the current keys from an EXT-X-KEY line: it replaces the key of the same KEYFORMAT and keeps those
// of other formats; METHOD=NONE removes all of them.
func (r *mediaParser) parseKey(line, value string) error {
	attributes, err := parseAttributes(value)
	if err != nil {
		return err
	}
	switch {
	case attributes.Get("METHOD") == "":
		return errors.New("EXT-X-KEY without METHOD")
	case attributes.Get("METHOD") == "NONE":
		r.keys = nil
		return nil
	}
	kept := []string{}
	for _, other := range r.keys {
		_, list := splitTag(other)
		if existing, err := parseAttributes(list); err == nil && existing.Get("KEYFORMAT") != attributes.Get("KEYFORMAT") {
			kept = append(kept, other)
		}
	}
	r.keys = append(kept, line)
	return nil
}

// addSegment adds a segment with the tags read since the previous URI. The map and the keys continue to apply.
func (r *mediaParser) addSegment(uri string) error {
	if !r.hasDuration {
		return errors.New("URI without EXTINF")
	}
	if len(r.playlist.Segments) >= MaxSegments {
		return errors.New("too many segments")
	}
	s := r.nextSegment
	s.URI, s.Keys = uri, r.keys
	if s.ByteRange != "" {
		if err := r.resolveByteRange(&s); err != nil {
			return err
		}
	}
	r.playlist.Segments = append(r.playlist.Segments, s)
	r.nextSegment, r.hasDuration = Segment{Map: s.Map}, false
	return nil
}

// resolveByteRange rewrites the byte range of a segment with an explicit offset. An omitted offset means the end of
// the previous segment's range (RFC 8216, 4.3.2.2), and the written playlist may no longer contain that segment.
func (r *mediaParser) resolveByteRange(s *Segment) error {
	length, offset, hasOffset := strings.Cut(s.ByteRange, "@")
	n, err := strconv.ParseInt(length, 10, 63)
	start := r.lastRangeEnd
	if err == nil && hasOffset {
		start, err = strconv.ParseInt(offset, 10, 63)
	}
	if err != nil || n < 0 || start < 0 || n > math.MaxInt64-start || !hasOffset && r.lastRangeURI != s.URI {
		return fmt.Errorf("EXT-X-BYTERANGE %q is malformed, or its omitted offset cannot be derived", truncate(s.ByteRange))
	}
	s.ByteRange = fmt.Sprintf("%d@%d", n, start)
	r.lastRangeEnd, r.lastRangeURI = start+n, s.URI
	return nil
}
