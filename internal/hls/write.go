package hls

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Append appends the text of the playlist to dst.
func (m *MultivariantPlaylist) Append(dst []byte) []byte {
	dst = fmt.Appendf(dst, "#EXTM3U\n#EXT-X-VERSION:%d\n", m.Version)
	for _, tag := range m.OtherTags {
		dst = append(append(dst, tag...), '\n')
	}
	for _, r := range m.Renditions {
		dst = fmt.Appendf(dst, "#EXT-X-MEDIA:%s\n", r.Attributes)
	}
	for _, v := range m.Variants {
		dst = fmt.Appendf(dst, "#EXT-X-STREAM-INF:%s\n%s\n", v.Attributes, v.URI)
	}
	return dst
}

// Append appends the text of the playlist to dst.
func (m *MediaPlaylist) Append(dst []byte) []byte {
	dst = fmt.Appendf(dst, "#EXTM3U\n#EXT-X-VERSION:%d\n#EXT-X-TARGETDURATION:%d\n", m.Version, m.TargetDuration)
	dst = fmt.Appendf(dst, "#EXT-X-MEDIA-SEQUENCE:%d\n", m.MediaSequence)
	if m.DiscontinuitySequence > 0 {
		dst = fmt.Appendf(dst, "#EXT-X-DISCONTINUITY-SEQUENCE:%d\n", m.DiscontinuitySequence)
	}
	if m.Type != "" {
		dst = append(append(append(dst, "#EXT-X-PLAYLIST-TYPE:"...), m.Type...), '\n')
	}
	for _, tag := range m.OtherTags {
		dst = append(append(dst, tag...), '\n')
	}
	var previous *Segment
	for i := range m.Segments {
		s := &m.Segments[i]
		dst = s.appendTags(dst, previous)
		dst = append(append(dst, s.URI...), '\n')
		previous = s
	}
	if m.EndList {
		dst = append(dst, "#EXT-X-ENDLIST\n"...)
	}
	return dst
}

// appendTags appends the lines of a segment except its URI. Keys and map that already apply from the previous segment
// are not repeated.
func (s *Segment) appendTags(dst []byte, previous *Segment) []byte {
	if s.Discontinuity {
		dst = append(dst, "#EXT-X-DISCONTINUITY\n"...)
	}
	if previous == nil && len(s.Keys) > 0 || previous != nil && !slices.Equal(previous.Keys, s.Keys) {
		if previous != nil && len(previous.Keys) > 0 {
			dst = append(dst, "#EXT-X-KEY:METHOD=NONE\n"...)
		}
		for _, k := range s.Keys {
			dst = append(append(dst, k...), '\n')
		}
	}
	if s.Map != "" && (previous == nil || previous.Map != s.Map) {
		dst = append(append(dst, s.Map...), '\n')
	}
	return s.appendOwnTags(dst)
}

// appendOwnTags appends the tags that apply to this segment only.
func (s *Segment) appendOwnTags(dst []byte) []byte {
	for _, tag := range s.OtherTags {
		dst = append(append(dst, tag...), '\n')
	}
	if s.ByteRange != "" {
		dst = append(append(append(dst, "#EXT-X-BYTERANGE:"...), s.ByteRange...), '\n')
	}
	dst = append(dst, "#EXTINF:"...)
	dst = strconv.AppendFloat(dst, s.Duration, 'f', -1, 64)
	return append(append(append(dst, ','), s.Title...), '\n')
}

// ResolvePath resolves a reference against base and returns its absolute path and query. Scheme and host are dropped,
// because the box that serves the session supplies them. It returns an error for a reference to another host.
func ResolvePath(base, ref string) (string, error) {
	b, err := url.Parse(base)
	if err != nil {
		return "", err
	}
	u, err := b.Parse(ref)
	if err != nil {
		return "", fmt.Errorf("hls: %w", err)
	}
	if u.Host != "" && u.Host != b.Host || u.Scheme != b.Scheme {
		return "", fmt.Errorf("hls: %q refers to another host", truncate(ref))
	}
	path := u.EscapedPath()
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path, nil
}
