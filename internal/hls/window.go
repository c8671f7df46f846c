package hls

import (
	"fmt"
	"strconv"
	"strings"
)

// Track is a source playlist made ready for rewriting: each segment's tags and path are set once,
// so that a reload copies bytes and makes none. It does not change and may be shared.
type Track struct {
	TargetDuration int
	Version        int
	playlistTags   string // tags of the playlist as a whole
	segments       []trackSegment
	startTimes     []float64 // seconds; one more than segments, the last is the whole length
}

type trackSegment struct {
	tags          string // tags of this segment alone
	path          string // ends with ? or & when a query may follow
	keys          []uriTag
	mapBeforeHost string // EXT-X-MAP before its URI's host; "" for none
	mapAfterHost  string
	discontinuity bool
}

type uriTag struct{ before, path, after string }

// NewTrack makes a source playlist ready. base is the URL at which it was read.
func NewTrack(m *MediaPlaylist, base string) (*Track, error) {
	t := &Track{TargetDuration: max(m.TargetDuration, 1), Version: max(m.Version, 3)}
	for _, o := range m.OtherTags {
		t.playlistTags += o + "\n"
	}
	at := 0.0
	for i := range m.Segments {
		s := &m.Segments[i]
		x := trackSegment{tags: string(s.appendOwnTags(nil)), discontinuity: s.Discontinuity}
		path, err := ResolvePath(base, s.URI)
		if err != nil {
			return nil, fmt.Errorf("segment %d: %w", i, err)
		}
		x.path = path + querySeparator(path)
		for _, k := range s.Keys {
			u, err := splitAtURI(base, k)
			if err != nil {
				return nil, fmt.Errorf("segment %d: key: %w", i, err)
			}
			x.keys = append(x.keys, u)
		}
		if s.Map != "" {
			u, err := splitAtURI(base, s.Map)
			if err != nil {
				return nil, fmt.Errorf("segment %d: map: %w", i, err)
			}
			if u.path == "" {
				return nil, fmt.Errorf("segment %d: map without a URI of this host", i)
			}
			x.mapBeforeHost, x.mapAfterHost = u.before, u.path+u.after
		}
		t.startTimes = append(t.startTimes, at)
		at += s.Duration
		t.segments = append(t.segments, x)
	}
	t.startTimes = append(t.startTimes, at)
	if len(t.segments) == 0 {
		return nil, fmt.Errorf("hls: source playlist has no segment")
	}
	return t, nil
}

func querySeparator(path string) string {
	if strings.Contains(path, "?") {
		return "&"
	}
	return "?"
}

// splitURI cuts a tag around its URI, so that a host can be put in. Tags whose URI leads elsewhere
// by scheme (a key service) stay whole.
func splitAtURI(base, line string) (uriTag, error) {
	tag, value := splitTag(line)
	a, err := parseAttributes(value)
	if err != nil {
		return uriTag{}, err
	}
	uri := a.Get("URI")
	if uri == "" || strings.Contains(uri, ":") {
		return uriTag{before: line + "\n"}, nil
	}
	path, err := ResolvePath(base, uri)
	if err != nil {
		return uriTag{}, err
	}
	const mark = "\x00"
	before, after, _ := strings.Cut(tag+":"+a.WithValue("URI", mark).String(), mark)
	return uriTag{before, path, after + "\n"}, nil
}

// Len is the number of segments, Start where one begins in seconds.
func (t *Track) Len() int                   { return len(t.segments) }
func (t *Track) SegmentStart(i int) float64 { return t.startTimes[min(i, len(t.startTimes)-1)] }

// At is the segment that plays at a time, in seconds; Len when that is past the end.
func (t *Track) SegmentAt(sec float64) int {
	lo, hi := 0, len(t.segments)
	for lo < hi {
		if mid := (lo + hi) / 2; t.startTimes[mid+1] <= sec {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// Window is the playlist of one session as it was published: entries are appended and fall out at
// the front, as RFC 8216, 6.2.1 allows, and are never changed.
type Window struct {
	host                  string // "http://box", of which segments are named
	sessionQuery          string // query that tells the box whose segment it is
	track                 *Track
	nextSegment           int // segment of the content to publish next
	mediaSequence         uint64
	discontinuitySequence uint64 // discontinuities that fell out
	entries               []windowEntry
	pendingDiscontinuity  bool // what comes next does not follow what was before
	targetDuration        int
	ended                 bool
}

type windowEntry struct {
	track         *Track
	index         int
	discontinuity bool
}

// Aim sets where the next entries are read from. Another host empties the window: nothing that is
// published from now on names the host before. What had been published ahead of play there is
// published again, from the segment at resume on. The same holds for a new set-up, with another token.
func (w *Window) SetSource(host, token string, t *Track, resume int) {
	same := w.host == host && w.sessionQuery == token
	if w.targetDuration < t.TargetDuration {
		w.targetDuration = t.TargetDuration // must not change while players follow; all rungs of a title should agree
	}
	if !same && w.host != "" {
		w.dropFirst(len(w.entries))
		w.nextSegment, w.pendingDiscontinuity, w.ended = min(resume, w.nextSegment), true, false
	} else if w.track != nil && w.track != t {
		w.pendingDiscontinuity = true
	}
	w.host, w.sessionQuery, w.track = host, token, t
}

func (w *Window) dropFirst(n int) {
	for _, e := range w.entries[:n] {
		w.mediaSequence++
		if e.discontinuity {
			w.discontinuitySequence++
		}
	}
	w.entries = append(w.entries[:0], w.entries[n:]...)
}

// Grow publishes up to and with a segment of the content, and keeps so many entries.
func (w *Window) Publish(upTo, keep int) {
	if w.track == nil {
		return
	}
	for w.nextSegment <= upTo && w.nextSegment < len(w.track.segments) {
		disc := w.track.segments[w.nextSegment].discontinuity || w.pendingDiscontinuity
		w.entries = append(w.entries, windowEntry{w.track, w.nextSegment, disc})
		w.nextSegment, w.pendingDiscontinuity = w.nextSegment+1, false
	}
	if over := len(w.entries) - keep; over > 0 {
		w.dropFirst(over)
	}
	w.ended = w.nextSegment >= len(w.track.segments)
}

// Ended tells that the whole content was published.
func (w *Window) Ended() bool { return w.ended }

// Next is the segment of the content that is published next.
func (w *Window) NextSegment() int { return w.nextSegment }

// Append writes the playlist as it stands. It allocates nothing but room in dst.
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
	var before *trackSegment
	for i := range w.entries {
		e := &w.entries[i]
		s := &e.track.segments[e.index]
		if e.discontinuity {
			dst = append(dst, "#EXT-X-DISCONTINUITY\n"...)
		}
		dst = w.appendKeysAndMap(dst, s, before)
		dst = append(append(append(dst, s.tags...), w.host...), s.path...)
		dst = append(append(dst, w.sessionQuery...), '\n')
		before = s
	}
	if w.ended {
		dst = append(dst, "#EXT-X-ENDLIST\n"...)
	}
	return dst
}

// shared writes keys and map where they differ from those in force.
func (w *Window) appendKeysAndMap(dst []byte, s, before *trackSegment) []byte {
	same := before != nil && len(before.keys) == len(s.keys)
	for i := range s.keys {
		same = same && before.keys[i] == s.keys[i]
	}
	if !same && (len(s.keys) > 0 || before != nil) {
		if before != nil && len(before.keys) > 0 {
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
	if s.mapBeforeHost != "" && (before == nil || before.mapBeforeHost != s.mapBeforeHost || before.mapAfterHost != s.mapAfterHost) {
		dst = append(append(append(dst, s.mapBeforeHost...), w.host...), s.mapAfterHost...)
	}
	return dst
}

// Begin sets where an empty window starts in the content; one that published before goes on.
func (w *Window) StartAt(at int) {
	if w.mediaSequence == 0 && len(w.entries) == 0 && w.nextSegment == 0 {
		w.nextSegment, w.mediaSequence = at, uint64(at)
	}
}
