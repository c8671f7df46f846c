package hls

import (
	"fmt"
	"strconv"
	"strings"
)

// Track is a source playlist made ready for rewriting: each segment's tags and path are set once,
// so that a reload copies bytes and makes none. It does not change and may be shared.
type Track struct {
	Target   int
	Version  int
	head     string // tags of the playlist as a whole
	segments []trackSegment
	starts   []float64 // seconds; one more than segments, the last is the whole length
}

type trackSegment struct {
	own  string // tags of this segment alone
	path string // ends with ? or & when a query may follow
	keys []keyURI
	mapp string // EXT-X-MAP before its URI's host; "" for none
	rest string
	disc bool
}

type keyURI struct{ before, path, after string }

// NewTrack makes a source playlist ready. base is the URL at which it was read.
func NewTrack(m *Media, base string) (*Track, error) {
	t := &Track{Target: max(m.Target, 1), Version: max(m.Version, 3)}
	for _, o := range m.Other {
		t.head += o + "\n"
	}
	at := 0.0
	for i := range m.Segments {
		s := &m.Segments[i]
		x := trackSegment{own: string(s.appendOwn(nil)), disc: s.Discontinuity}
		path, err := Resolve(base, s.URI)
		if err != nil {
			return nil, fmt.Errorf("segment %d: %w", i, err)
		}
		x.path = path + joint(path)
		for _, k := range s.Key {
			u, err := splitURI(base, k)
			if err != nil {
				return nil, fmt.Errorf("segment %d: key: %w", i, err)
			}
			x.keys = append(x.keys, u)
		}
		if s.Map != "" {
			u, err := splitURI(base, s.Map)
			if err != nil {
				return nil, fmt.Errorf("segment %d: map: %w", i, err)
			}
			if u.path == "" {
				return nil, fmt.Errorf("segment %d: map without a URI of this host", i)
			}
			x.mapp, x.rest = u.before, u.path+u.after
		}
		t.starts = append(t.starts, at)
		at += s.Duration
		t.segments = append(t.segments, x)
	}
	t.starts = append(t.starts, at)
	if len(t.segments) == 0 {
		return nil, fmt.Errorf("hls: source playlist has no segment")
	}
	return t, nil
}

func joint(path string) string {
	if strings.Contains(path, "?") {
		return "&"
	}
	return "?"
}

// splitURI cuts a tag around its URI, so that a host can be put in. Tags whose URI leads elsewhere
// by scheme (a key service) stay whole.
func splitURI(base, line string) (keyURI, error) {
	tag, value := split(line)
	a, err := attrs(value)
	if err != nil {
		return keyURI{}, err
	}
	uri := a.Get("URI")
	if uri == "" || strings.Contains(uri, ":") {
		return keyURI{before: line + "\n"}, nil
	}
	path, err := Resolve(base, uri)
	if err != nil {
		return keyURI{}, err
	}
	const mark = "\x00"
	before, after, _ := strings.Cut(tag+":"+a.With("URI", mark).String(), mark)
	return keyURI{before, path, after + "\n"}, nil
}

// Len is the number of segments, Start where one begins in seconds.
func (t *Track) Len() int            { return len(t.segments) }
func (t *Track) Start(i int) float64 { return t.starts[min(i, len(t.starts)-1)] }

// At is the segment that plays at a time, in seconds; Len when that is past the end.
func (t *Track) At(sec float64) int {
	lo, hi := 0, len(t.segments)
	for lo < hi {
		if mid := (lo + hi) / 2; t.starts[mid+1] <= sec {
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
	host     string // "http://box", of which segments are named
	token    string // query that tells the box whose segment it is
	track    *Track
	next     int // segment of the content to publish next
	sequence uint64
	breaks   uint64 // discontinuities that fell out
	entries  []entry
	jump     bool // what comes next does not follow what was before
	target   int
	ended    bool
}

type entry struct {
	track *Track
	index int
	disc  bool
}

// Aim sets where the next entries are read from. Another host empties the window: nothing that is
// published from now on names the host before. What had been published ahead of play there is
// published again, from the segment at resume on. The same holds for a new set-up, with another token.
func (w *Window) Aim(host, token string, t *Track, resume int) {
	same := w.host == host && w.token == token
	if w.target < t.Target {
		w.target = t.Target // must not change while players follow; all rungs of a title should agree
	}
	if !same && w.host != "" {
		w.drop(len(w.entries))
		w.next, w.jump, w.ended = min(resume, w.next), true, false
	} else if w.track != nil && w.track != t {
		w.jump = true
	}
	w.host, w.token, w.track = host, token, t
}

func (w *Window) drop(n int) {
	for _, e := range w.entries[:n] {
		w.sequence++
		if e.disc {
			w.breaks++
		}
	}
	w.entries = append(w.entries[:0], w.entries[n:]...)
}

// Grow publishes up to and with a segment of the content, and keeps so many entries.
func (w *Window) Grow(upTo, keep int) {
	if w.track == nil {
		return
	}
	for w.next <= upTo && w.next < len(w.track.segments) {
		disc := w.track.segments[w.next].disc || w.jump
		w.entries = append(w.entries, entry{w.track, w.next, disc})
		w.next, w.jump = w.next+1, false
	}
	if over := len(w.entries) - keep; over > 0 {
		w.drop(over)
	}
	w.ended = w.next >= len(w.track.segments)
}

// Ended tells that the whole content was published.
func (w *Window) Ended() bool { return w.ended }

// Next is the segment of the content that is published next.
func (w *Window) Next() int { return w.next }

// Append writes the playlist as it stands. It allocates nothing but room in dst.
func (w *Window) Append(dst []byte) []byte {
	if w.track == nil {
		return dst
	}
	dst = append(dst, "#EXTM3U\n#EXT-X-VERSION:"...)
	dst = strconv.AppendInt(dst, int64(w.track.Version), 10)
	dst = append(dst, "\n#EXT-X-TARGETDURATION:"...)
	dst = strconv.AppendInt(dst, int64(w.target), 10)
	dst = append(dst, "\n#EXT-X-MEDIA-SEQUENCE:"...)
	dst = strconv.AppendUint(dst, w.sequence, 10)
	if w.breaks > 0 {
		dst = append(dst, "\n#EXT-X-DISCONTINUITY-SEQUENCE:"...)
		dst = strconv.AppendUint(dst, w.breaks, 10)
	}
	dst = append(append(dst, '\n'), w.track.head...)
	var before *trackSegment
	for i := range w.entries {
		e := &w.entries[i]
		s := &e.track.segments[e.index]
		if e.disc {
			dst = append(dst, "#EXT-X-DISCONTINUITY\n"...)
		}
		dst = w.shared(dst, s, before)
		dst = append(append(append(dst, s.own...), w.host...), s.path...)
		dst = append(append(dst, w.token...), '\n')
		before = s
	}
	if w.ended {
		dst = append(dst, "#EXT-X-ENDLIST\n"...)
	}
	return dst
}

// shared writes keys and map where they differ from those in force.
func (w *Window) shared(dst []byte, s, before *trackSegment) []byte {
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
	if s.mapp != "" && (before == nil || before.mapp != s.mapp || before.rest != s.rest) {
		dst = append(append(append(dst, s.mapp...), w.host...), s.rest...)
	}
	return dst
}

// Begin sets where an empty window starts in the content; one that published before goes on.
func (w *Window) Begin(at int) {
	if w.sequence == 0 && len(w.entries) == 0 && w.next == 0 {
		w.next, w.sequence = at, uint64(at)
	}
}
