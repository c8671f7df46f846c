// Package hls reads and writes HTTP Live Streaming playlists (RFC 8216, and EXT-X-DEFINE of
// draft-pantos-hls-rfc8216bis, 4.4.2.3). A tag that it does not know passes through unchanged, in its place.
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

// Limits of a playlist that is read.
const (
	MaxPlaylistBytes = 1 << 20
	MaxSegments      = 20000
	MaxVariants      = 200
)

// Attr is one attribute of a tag's list, with its value as it stood (RFC 8216, 4.2).
type Attribute struct{ Name, Value string }

// Attrs is an attribute list in its order.
type AttributeList []Attribute

// Get is the value of an attribute, unquoted; "" if it is not there.
func (a AttributeList) Get(name string) string {
	for _, x := range a {
		if x.Name == name {
			return unquote(x.Value)
		}
	}
	return ""
}

// With replaces the value of an attribute that is there by a quoted string.
func (a AttributeList) WithValue(name, value string) AttributeList {
	out := append(AttributeList(nil), a...)
	for i := range out {
		if out[i].Name == name {
			out[i].Value = `"` + value + `"`
		}
	}
	return out
}

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

// Variant is one EXT-X-STREAM-INF with its URI.
type Variant struct {
	Attributes AttributeList
	URI        string
	Bandwidth  int // bits a second
}

// Rendition is one EXT-X-MEDIA.
type Rendition struct{ Attributes AttributeList }

// Multivariant is a multivariant playlist.
type MultivariantPlaylist struct {
	Version    int
	Variants   []Variant
	Renditions []Rendition
	OtherTags  []string // lines of tags that this package does not know, and of those it only passes on
}

// Segment is one media segment with the tags that apply to it.
type Segment struct {
	Duration      float64 // seconds
	Title         string
	URI           string
	ByteRange     string // EXT-X-BYTERANGE with an explicit offset
	Discontinuity bool
	Keys          []string // EXT-X-KEY lines in force
	Map           string   // EXT-X-MAP line in force
	OtherTags     []string // further lines that stood before the URI
}

// Media is a media playlist.
type MediaPlaylist struct {
	Version               int
	TargetDuration        int // seconds
	MediaSequence         uint64
	DiscontinuitySequence uint64 // EXT-X-DISCONTINUITY-SEQUENCE
	Type                  string // EVENT, VOD or nothing
	EndList               bool
	Segments              []Segment
	OtherTags             []string // lines of the playlist as a whole that are passed on
}

// Duration is the length of all segments together.
func (m *MediaPlaylist) Duration() time.Duration {
	sum := 0.0
	for i := range m.Segments {
		sum += m.Segments[i].Duration
	}
	return timeconv.Seconds(sum)
}

// lineError names the line at fault.
type lineError struct {
	line int
	err  error
}

func (e *lineError) Error() string { return fmt.Sprintf("hls: line %d: %v", e.line, e.err) }
func (e *lineError) Unwrap() error { return e.err }

// reader goes through the lines of a playlist and puts in the values of its variables.
type lineReader struct {
	variables map[string]string
	seenTags  map[string]bool
}

var errNotPlaylist = errors.New("playlist does not begin with #EXTM3U")

// each calls f for every line that is not blank.
func (r *lineReader) forEachLine(body []byte, f func(line string) error) error {
	if len(body) > MaxPlaylistBytes {
		return fmt.Errorf("hls: playlist of %d bytes, %d at most", len(body), MaxPlaylistBytes)
	}
	r.variables, r.seenTags = map[string]string{}, map[string]bool{}
	for n := 1; len(body) > 0; n++ {
		line := body
		if i := bytes.IndexByte(body, '\n'); i >= 0 {
			line, body = body[:i], body[i+1:]
		} else {
			body = nil
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		if n == 1 {
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
				return &lineError{n, errors.New("control character")}
			}
		}
		text, err := r.substitute(string(line))
		if err == nil {
			err = f(text)
		}
		if err != nil {
			return &lineError{n, err}
		}
	}
	return nil
}

// fill puts in variables, and takes their definitions.
func (r *lineReader) substitute(line string) (string, error) {
	if rest, ok := strings.CutPrefix(line, "#EXT-X-DEFINE:"); ok {
		a, err := parseAttributes(rest)
		if err != nil {
			return "", err
		}
		name := a.Get("NAME")
		if name == "" {
			return "", errors.New("EXT-X-DEFINE without NAME: IMPORT and QUERYPARAM cannot be followed here")
		}
		if _, twice := r.variables[name]; twice {
			return "", fmt.Errorf("variable %q defined twice", name)
		}
		r.variables[name] = a.Get("VALUE")
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
		v, ok := r.variables[name]
		if !ok {
			return "", fmt.Errorf("variable %q is not defined", name)
		}
		b.WriteString(line[:i])
		b.WriteString(v)
		line = line[i+j+1:]
		if b.Len() > MaxPlaylistBytes {
			return "", errors.New("line too long")
		}
	}
	return b.String(), nil
}

// once refuses a tag that may stand only once.
func (r *lineReader) requireUnique(tag string) error {
	if r.seenTags[tag] {
		return fmt.Errorf("%s stands twice", tag)
	}
	r.seenTags[tag] = true
	return nil
}

// attrs reads an attribute list.
func parseAttributes(s string) (AttributeList, error) {
	var out AttributeList
	for len(s) > 0 {
		eq := strings.IndexByte(s, '=')
		if eq <= 0 {
			return nil, fmt.Errorf("attribute list malformed at %q", truncate(s))
		}
		name := s[:eq]
		for _, c := range name {
			if !(c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-') {
				return nil, fmt.Errorf("attribute name %q malformed", truncate(name))
			}
		}
		s = s[eq+1:]
		end := 0
		if strings.HasPrefix(s, `"`) {
			if end = strings.IndexByte(s[1:], '"') + 2; end == 1 {
				return nil, fmt.Errorf("attribute %s: quote not closed", name)
			}
		} else if end = strings.IndexByte(s, ','); end < 0 {
			end = len(s)
		}
		value := s[:end]
		if !strings.HasPrefix(value, `"`) && strings.Contains(value, `"`) { // would close the quotes that it is written in
			return nil, fmt.Errorf("attribute %s: quote inside a value", name)
		}
		if s = s[end:]; s != "" {
			if s[0] != ',' || len(s) == 1 {
				return nil, fmt.Errorf("attribute list malformed after %s", name)
			}
			s = s[1:]
		}
		for _, a := range out {
			if a.Name == name {
				return nil, fmt.Errorf("attribute %s stands twice", name)
			}
		}
		out = append(out, Attribute{name, value})
	}
	return out, nil
}

func truncate(s string) string { return s[:min(len(s), 40)] }

func splitTag(line string) (tag, value string) {
	tag, value, _ = strings.Cut(line, ":")
	return tag, value
}

func parseInteger(tag, v string) (int, error) {
	n, err := strconv.ParseUint(v, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is no whole number", tag, truncate(v))
	}
	return int(n), nil
}

// IsMultivariant tells which of the two kinds a playlist is (RFC 8216, 4.1).
func IsMultivariant(body []byte) bool { return bytes.Contains(body, []byte("#EXT-X-STREAM-INF")) }

// ParseMultivariant reads a multivariant playlist.
func ParseMultivariant(body []byte) (*MultivariantPlaylist, error) {
	m := &MultivariantPlaylist{Version: 1}
	var r lineReader
	var open *Variant
	err := r.forEachLine(body, func(line string) error {
		if line == "" {
			return nil
		}
		if line[0] != '#' {
			if open == nil {
				return errors.New("URI without EXT-X-STREAM-INF")
			}
			open.URI = line
			m.Variants, open = append(m.Variants, *open), nil
			return nil
		}
		tag, value := splitTag(line)
		switch tag {
		case "#EXT-X-VERSION":
			if err := r.requireUnique(tag); err != nil {
				return err
			}
			var err error
			m.Version, err = parseInteger(tag, value)
			return err
		case "#EXT-X-STREAM-INF":
			if open != nil || len(m.Variants) >= MaxVariants {
				return errors.New("EXT-X-STREAM-INF without URI, or too many of them")
			}
			a, err := parseAttributes(value)
			if err != nil {
				return err
			}
			open = &Variant{Attributes: a}
			open.Bandwidth, err = parseInteger("BANDWIDTH", a.Get("BANDWIDTH"))
			return err
		case "#EXT-X-MEDIA":
			a, err := parseAttributes(value)
			if err != nil {
				return err
			}
			if a.Get("TYPE") == "" || a.Get("GROUP-ID") == "" || len(m.Renditions) >= MaxVariants {
				return errors.New("EXT-X-MEDIA without TYPE or GROUP-ID, or too many of them")
			}
			m.Renditions = append(m.Renditions, Rendition{a})
		case "#EXTINF", "#EXT-X-TARGETDURATION", "#EXT-X-MEDIA-SEQUENCE":
			return fmt.Errorf("%s in a multivariant playlist", tag)
		default:
			if strings.HasPrefix(line, "#EXT") {
				m.OtherTags = append(m.OtherTags, line)
			}
		}
		return nil
	})
	if err == nil && open != nil {
		err = errors.New("hls: last EXT-X-STREAM-INF has no URI")
	}
	if err == nil && len(m.Variants) == 0 {
		err = errors.New("hls: no variant")
	}
	if err != nil {
		return nil, err
	}
	return m, nil
}

// mediaReader holds what applies to the segment that comes next.
type mediaParser struct {
	lineReader
	playlist     *MediaPlaylist
	nextSegment  Segment
	hasDuration  bool // EXTINF was read
	keys         []string
	lastRangeEnd int64
	lastRangeURI string
}

// ParseMedia reads a media playlist.
func ParseMedia(body []byte) (*MediaPlaylist, error) {
	r := &mediaParser{playlist: &MediaPlaylist{Version: 1}}
	if err := r.forEachLine(body, r.parseLine); err != nil {
		return nil, err
	}
	m := r.playlist
	switch {
	case r.hasDuration:
		return nil, errors.New("hls: last EXTINF has no URI")
	case !r.seenTags["#EXT-X-TARGETDURATION"]:
		return nil, errors.New("hls: no EXT-X-TARGETDURATION")
	}
	for i := range m.Segments {
		if math.Round(m.Segments[i].Duration) > float64(m.TargetDuration) {
			return nil, fmt.Errorf("hls: segment %d is longer than the target duration", i)
		}
	}
	return m, nil
}

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
		d, title, _ := strings.Cut(value, ",")
		n, err := strconv.ParseFloat(d, 64)
		if err != nil || !(n >= 0) || n > 3600 || r.hasDuration {
			return fmt.Errorf("EXTINF %q malformed or twice", truncate(value))
		}
		r.nextSegment.Duration, r.nextSegment.Title, r.hasDuration = n, title, true
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

// keys follows EXT-X-KEY: lines of different KEYFORMATs stand beside each other, NONE ends them all.
func (r *mediaParser) parseKey(line, value string) error {
	a, err := parseAttributes(value)
	if err != nil {
		return err
	}
	switch {
	case a.Get("METHOD") == "":
		return errors.New("EXT-X-KEY without METHOD")
	case a.Get("METHOD") == "NONE":
		r.keys = nil
		return nil
	}
	kept := []string{}
	for _, k := range r.keys {
		_, v := splitTag(k)
		if old, err := parseAttributes(v); err == nil && old.Get("KEYFORMAT") != a.Get("KEYFORMAT") {
			kept = append(kept, k)
		}
	}
	r.keys = append(kept, line)
	return nil
}

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

// byteRange gives every range its offset: one that is left out follows the segment before
// (RFC 8216, 4.3.2.2), which may no longer stand in what is written.
func (r *mediaParser) resolveByteRange(s *Segment) error {
	length, offset, told := strings.Cut(s.ByteRange, "@")
	n, err := strconv.ParseInt(length, 10, 63)
	from := r.lastRangeEnd
	if err == nil && told {
		from, err = strconv.ParseInt(offset, 10, 63)
	}
	if err != nil || n < 0 || from < 0 || n > math.MaxInt64-from || !told && r.lastRangeURI != s.URI {
		return fmt.Errorf("EXT-X-BYTERANGE %q malformed or without offset", truncate(s.ByteRange))
	}
	s.ByteRange = fmt.Sprintf("%d@%d", n, from)
	r.lastRangeEnd, r.lastRangeURI = from+n, s.URI
	return nil
}
