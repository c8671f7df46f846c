package hls

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Append writes a multivariant playlist.
func (m *MultivariantPlaylist) Append(dst []byte) []byte {
	dst = fmt.Appendf(dst, "#EXTM3U\n#EXT-X-VERSION:%d\n", m.Version)
	for _, o := range m.OtherTags {
		dst = append(append(dst, o...), '\n')
	}
	for _, r := range m.Renditions {
		dst = fmt.Appendf(dst, "#EXT-X-MEDIA:%s\n", r.Attributes)
	}
	for _, v := range m.Variants {
		dst = fmt.Appendf(dst, "#EXT-X-STREAM-INF:%s\n%s\n", v.Attributes, v.URI)
	}
	return dst
}

// Append writes a media playlist.
func (m *MediaPlaylist) Append(dst []byte) []byte {
	dst = fmt.Appendf(dst, "#EXTM3U\n#EXT-X-VERSION:%d\n#EXT-X-TARGETDURATION:%d\n", m.Version, m.TargetDuration)
	dst = fmt.Appendf(dst, "#EXT-X-MEDIA-SEQUENCE:%d\n", m.MediaSequence)
	if m.DiscontinuitySequence > 0 {
		dst = fmt.Appendf(dst, "#EXT-X-DISCONTINUITY-SEQUENCE:%d\n", m.DiscontinuitySequence)
	}
	if m.Type != "" {
		dst = append(append(append(dst, "#EXT-X-PLAYLIST-TYPE:"...), m.Type...), '\n')
	}
	for _, o := range m.OtherTags {
		dst = append(append(dst, o...), '\n')
	}
	var before *Segment
	for i := range m.Segments {
		s := &m.Segments[i]
		dst = s.appendTags(dst, before)
		dst = append(append(dst, s.URI...), '\n')
		before = s
	}
	if m.EndList {
		dst = append(dst, "#EXT-X-ENDLIST\n"...)
	}
	return dst
}

// appendTags writes all of a segment but its URI. What is in force from the segment before is not repeated.
func (s *Segment) appendTags(dst []byte, before *Segment) []byte {
	if s.Discontinuity {
		dst = append(dst, "#EXT-X-DISCONTINUITY\n"...)
	}
	if before == nil && len(s.Keys) > 0 || before != nil && !slices.Equal(before.Keys, s.Keys) {
		if before != nil && len(before.Keys) > 0 {
			dst = append(dst, "#EXT-X-KEY:METHOD=NONE\n"...)
		}
		for _, k := range s.Keys {
			dst = append(append(dst, k...), '\n')
		}
	}
	if s.Map != "" && (before == nil || before.Map != s.Map) {
		dst = append(append(dst, s.Map...), '\n')
	}
	return s.appendOwnTags(dst)
}

func (s *Segment) appendOwnTags(dst []byte) []byte {
	for _, o := range s.OtherTags {
		dst = append(append(dst, o...), '\n')
	}
	if s.ByteRange != "" {
		dst = append(append(append(dst, "#EXT-X-BYTERANGE:"...), s.ByteRange...), '\n')
	}
	dst = append(dst, "#EXTINF:"...)
	dst = strconv.AppendFloat(dst, s.Duration, 'f', -1, 64)
	return append(append(append(dst, ','), s.Title...), '\n')
}

// Resolve makes a reference absolute-path within its server: what stands before the path is dropped,
// since the box that a session is at names the server. A reference to another host is refused.
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
		return "", fmt.Errorf("hls: %q leads to another host", truncate(ref))
	}
	p := u.EscapedPath()
	if !strings.HasPrefix(p, "/") {
		p = "/" + p
	}
	if u.RawQuery != "" {
		p += "?" + u.RawQuery
	}
	return p, nil
}
