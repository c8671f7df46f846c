package hls

import (
	"fmt"
	"strconv"
	"strings"
)

// Track is a source media playlist prepared for rewriting. The tags and the path of each segment are computed once, so
// that serving a playlist reload only copies bytes. A Track is immutable and may be shared between sessions.
type Track struct {
	TargetDuration int
	Version        int
	playlistTags   string // tags that apply to the whole playlist
	segments       []trackSegment
	startTimes     []float64 // start of each segment, in seconds; the extra last entry is the total duration
}

// trackSegment is one segment of a Track, with all text of its entry except host and session query.
type trackSegment struct {
	tags          string // tags that apply to this segment only
	path          string // ends with ? or &, so that the session's query can be appended
	keys          []uriTag
	mapBeforeHost string // EXT-X-MAP line up to the host of its URI; "" if there is no map
	mapAfterHost  string // rest of the EXT-X-MAP line, from the path of its URI
	discontinuity bool
}

// uriTag is a tag line cut around the host of its URI, so that a host can be inserted before path. If path is empty,
// before is the whole line and no host is inserted.
type uriTag struct{ before, path, after string }

// NewTrack prepares a source playlist. base is the URL from which the playlist was read.
func NewTrack(playlist *MediaPlaylist, base string) (*Track, error) {
	t := &Track{TargetDuration: max(playlist.TargetDuration, 1), Version: max(playlist.Version, 3)}
	for _, tag := range playlist.OtherTags {
		t.playlistTags += tag + "\n"
	}
	start := 0.0
	for i := range playlist.Segments {
		s := &playlist.Segments[i]
		prepared := trackSegment{tags: string(s.appendOwnTags(nil)), discontinuity: s.Discontinuity}
		path, err := ResolvePath(base, s.URI)
		if err != nil {
			return nil, fmt.Errorf("segment %d: %w", i, err)
		}
		prepared.path = path + querySeparator(path)
		for _, k := range s.Keys {
			parts, err := splitAtURI(base, k)
			if err != nil {
				return nil, fmt.Errorf("segment %d: key: %w", i, err)
			}
			prepared.keys = append(prepared.keys, parts)
		}
		if s.Map != "" {
			parts, err := splitAtURI(base, s.Map)
			if err != nil {
				return nil, fmt.Errorf("segment %d: map: %w", i, err)
			}
			if parts.path == "" {
				return nil, fmt.Errorf("segment %d: EXT-X-MAP has no URI on the playlist's host", i)
			}
			prepared.mapBeforeHost, prepared.mapAfterHost = parts.before, parts.path+parts.after
		}
		t.startTimes = append(t.startTimes, start)
		start += s.Duration
		t.segments = append(t.segments, prepared)
	}
	t.startTimes = append(t.startTimes, start)
	if len(t.segments) == 0 {
		return nil, fmt.Errorf("hls: source playlist has no segments")
	}
	return t, nil
}

// querySeparator returns the character that joins a query to path.
func querySeparator(path string) string {
	if strings.Contains(path, "?") {
		return "&"
	}
	return "?"
}

// splitAtURI cuts a tag line around its URI, so that a host can be inserted. A tag whose URI has a scheme, such as
// that of a key service, is kept whole.
func splitAtURI(base, line string) (uriTag, error) {
	tag, value := splitTag(line)
	attributes, err := parseAttributes(value)
	if err != nil {
		return uriTag{}, err
	}
	uri := attributes.Get("URI")
	if uri == "" || strings.Contains(uri, ":") {
		return uriTag{before: line + "\n"}, nil
	}
	path, err := ResolvePath(base, uri)
	if err != nil {
		return uriTag{}, err
	}
	const mark = "\x00"
	before, after, _ := strings.Cut(tag+":"+attributes.WithValue("URI", mark).String(), mark)
	return uriTag{before, path, after + "\n"}, nil
}

// Len returns the number of segments.
func (t *Track) Len() int { return len(t.segments) }

// SegmentStart returns the start of a segment in seconds, or the total duration if i is past the last segment.
func (t *Track) SegmentStart(i int) float64 { return t.startTimes[min(i, len(t.startTimes)-1)] }

// SegmentAt returns the index of the segment that plays at a time in seconds, or Len if the time is past the end.
func (t *Track) SegmentAt(seconds float64) int {
	lo, hi := 0, len(t.segments)
	for lo < hi {
		if mid := (lo + hi) / 2; t.startTimes[mid+1] <= seconds {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// Window is the sliding media playlist of one session. Entries are appended at the end and removed from the front, as
// RFC 8216, 6.2.1 allows, and never change once published.
type Window struct {
	host                  string // prefix of the segment URIs, such as "http://box"
	sessionQuery          string // query parameter that identifies the session to the box
	track                 *Track
	nextSegment           int // index of the next segment to publish
	mediaSequence         uint64
	discontinuitySequence uint64 // number of discontinuities removed from the front
	entries               []windowEntry
	pendingDiscontinuity  bool // the next entry does not continue the previous one
	targetDuration        int
	ended                 bool
}

// windowEntry is one published segment.
type windowEntry struct {
	track         *Track
	index         int // of the segment in track
	discontinuity bool
}

// SetSource sets the host, session query and track of the entries published from now on. A change of host or query (a
// new set-up) empties the window, so that the playlist no longer names the previous host. Segments already published
// but not yet played are published again, starting at resumeAt.
func (w *Window) SetSource(host, sessionQuery string, track *Track, resumeAt int) {
	sameServer := w.host == host && w.sessionQuery == sessionQuery
	if w.targetDuration < track.TargetDuration {
		// The target duration must not change while players reload the playlist: all rungs of a title should have the same.
		w.targetDuration = track.TargetDuration
	}
	if !sameServer && w.host != "" {
		w.dropFirst(len(w.entries))
		w.nextSegment, w.pendingDiscontinuity, w.ended = min(resumeAt, w.nextSegment), true, false
	} else if w.track != nil && w.track != track {
		w.pendingDiscontinuity = true
	}
	w.host, w.sessionQuery, w.track = host, sessionQuery, track
}

// dropFirst removes the first n entries and counts them in the media and discontinuity sequences.
func (w *Window) dropFirst(n int) {
	for _, e := range w.entries[:n] {
		w.mediaSequence++
		if e.discontinuity {
			w.discontinuitySequence++
		}
	}
	w.entries = append(w.entries[:0], w.entries[n:]...)
}

// Publish appends segments up to and including index last, then removes entries from the front until at most
// maxEntries remain.
func (w *Window) Publish(last, maxEntries int) {
	if w.track == nil {
		return
	}
	for w.nextSegment <= last && w.nextSegment < len(w.track.segments) {
		discontinuity := w.track.segments[w.nextSegment].discontinuity || w.pendingDiscontinuity
		w.entries = append(w.entries, windowEntry{w.track, w.nextSegment, discontinuity})
		w.nextSegment, w.pendingDiscontinuity = w.nextSegment+1, false
	}
	if excess := len(w.entries) - maxEntries; excess > 0 {
		w.dropFirst(excess)
	}
	w.ended = w.nextSegment >= len(w.track.segments)
}

// Ended reports whether the last segment of the content has been published.
func (w *Window) Ended() bool { return w.ended }

// NextSegment returns the index of the segment that is published next.
func (w *Window) NextSegment() int { return w.nextSegment }

// Append appends the current playlist to dst. It allocates only when dst has to grow.
func (w *Window) Append(dst []byte) []byte {
	if w.track == nil {
		return dst
	}
	dst = append(dst, "#EXTM3U\n#EXT-X-VERSION:"...)
	dst = strconv.AppendInt(dst, int64(w.track.Version), 10)
	dst = append(dst, "\n#EXT-X-TARGETDURATION:"...)
	dst = strconv.AppendInt(dst, int64(w.targetDuration), 10)
	dst = append(dst, "\n#EXT-X-MEDIA-SEQUENCE:"...)
	dst = strconv.AppendUint(dst, w.mediaSequence, 10)
	if w.discontinuitySequence > 0 {
		dst = append(dst, "\n#EXT-X-DISCONTINUITY-SEQUENCE:"...)
		dst = strconv.AppendUint(dst, w.discontinuitySequence, 10)
	}
	dst = append(append(dst, '\n'), w.track.playlistTags...)
	var previous *trackSegment
	for i := range w.entries {
		e := &w.entries[i]
		s := &e.track.segments[e.index]
		if e.discontinuity {
			dst = append(dst, "#EXT-X-DISCONTINUITY\n"...)
		}
		dst = w.appendKeysAndMap(dst, s, previous)
		dst = append(append(append(dst, s.tags...), w.host...), s.path...)
		dst = append(append(dst, w.sessionQuery...), '\n')
		previous = s
	}
	if w.ended {
		dst = append(dst, "#EXT-X-ENDLIST\n"...)
	}
	return dst
}

// appendKeysAndMap appends the keys and the map of s where they differ from those of the previous segment.
func (w *Window) appendKeysAndMap(dst []byte, s, previous *trackSegment) []byte {
	same := previous != nil && len(previous.keys) == len(s.keys)
	for i := range s.keys {
		same = same && previous.keys[i] == s.keys[i]
	}
	if !same && (len(s.keys) > 0 || previous != nil) {
		if previous != nil && len(previous.keys) > 0 {
			dst = append(dst, "#EXT-X-KEY:METHOD=NONE\n"...)
		}
		for _, k := range s.keys {
			dst = append(dst, k.before...)
			if k.path != "" {
				dst = append(append(dst, w.host...), k.path...)
			}
			dst = append(dst, k.after...)
		}
	}
	if s.mapBeforeHost != "" &&
		(previous == nil || previous.mapBeforeHost != s.mapBeforeHost || previous.mapAfterHost != s.mapAfterHost) {
		dst = append(append(append(dst, s.mapBeforeHost...), w.host...), s.mapAfterHost...)
	}
	return dst
}

// StartAt sets the first segment of a window that has not published anything; otherwise it has no effect.
func (w *Window) StartAt(segment int) {
	if w.mediaSequence == 0 && len(w.entries) == 0 && w.nextSegment == 0 {
		w.nextSegment, w.mediaSequence = segment, uint64(segment)
	}
}
