package edge

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rainpulley/internal/hls"
	"rainpulley/internal/timeconv"
)

// source is a title's manifest as a box gave it, ready for rewriting.
type manifest struct {
	path     string // URL of the manifest at the box
	parsed   *hls.MultivariantPlaylist
	variants []hls.Variant // by bandwidth: one for each rung
	tracks   []atomic.Pointer[hls.Track]
}

func parseManifest(base string, body []byte, rungs int) (*manifest, error) {
	m, err := hls.ParseMultivariant(body)
	if err != nil {
		return nil, err
	}
	s := &manifest{path: base, parsed: m, variants: slices.Clone(m.Variants), tracks: make([]atomic.Pointer[hls.Track], rungs)}
	slices.SortStableFunc(s.variants, func(a, b hls.Variant) int { return a.Bandwidth - b.Bandwidth })
	return s, nil
}

// variant of a rung; a title with fewer renditions than the ladder has rungs uses its best for the rest.
func (s *manifest) variant(rung int) hls.Variant { return s.variants[min(rung, len(s.variants)-1)] }

// loaded is the track of a rung, or nil.
func (s *manifest) cachedTrack(rung int) *hls.Track { return s.tracks[rung].Load() }

// length is how long the content plays.
func (s *manifest) duration(rung int) time.Duration {
	t := s.cachedTrack(rung)
	if t == nil {
		return 0
	}
	return timeconv.Seconds(t.SegmentStart(t.Len()))
}

// multivariant is the manifest for one session: the variant in force and the renditions of its groups,
// with URIs at the edge under prefix.
func (s *manifest) sessionManifest(rung int, prefix string) *hls.MultivariantPlaylist {
	v := s.variant(rung)
	out := &hls.MultivariantPlaylist{Version: s.parsed.Version, OtherTags: s.parsed.OtherTags}
	for i, r := range s.parsed.Renditions {
		if g := v.Attributes.Get(r.Attributes.Get("TYPE")); g != r.Attributes.Get("GROUP-ID") {
			continue
		}
		if r.Attributes.Get("URI") != "" {
			r.Attributes = r.Attributes.WithValue("URI", prefix+"r"+strconv.Itoa(i+1)+".m3u8")
		}
		out.Renditions = append(out.Renditions, r)
	}
	v.URI = prefix + "media.m3u8"
	out.Variants = []hls.Variant{v}
	return out
}

// sources keeps media playlists that were read from boxes. Boxes that hold a title hold the same
// playlists, so one that was read is good for all; it is read anew after a while.
type playlistCache struct {
	edge   *Edge
	mu     sync.Mutex
	byPath map[string]cachedPlaylist
}

type cachedPlaylist struct {
	track *hls.Track
	at    time.Duration
}

const (
	playlistTTL        = 30 * time.Second
	maxCachedPlaylists = 4096
)

// track is the track of a rung, read from a box where it is not known.
func (s *playlistCache) rungTrack(ctx context.Context, server string, m *manifest, rung int) (*hls.Track, error) {
	path, err := hls.ResolvePath("http://"+server+m.path, m.variant(rung).URI)
	if err != nil {
		return nil, err
	}
	t, err := s.loadTrack(ctx, server, path)
	if err != nil {
		return nil, err
	}
	m.tracks[rung].Store(t)
	return t, nil
}

func (s *playlistCache) loadTrack(ctx context.Context, server, path string) (*hls.Track, error) {
	now := s.edge.now()
	s.mu.Lock()
	cached, ok := s.byPath[path]
	s.mu.Unlock()
	if ok && now-cached.at < playlistTTL {
		return cached.track, nil
	}
	resp, err := s.edge.boxes.http.Do(ctx, server, "GET", path, nil, nil)
	if err != nil {
		return nil, err
	}
	if resp.Status != 200 {
		return nil, fmt.Errorf("playlist %s at %s: status %d", path, server, resp.Status)
	}
	playlist, err := hls.ParseMedia(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("playlist %s at %s: %w", path, server, err)
	}
	t, err := hls.NewTrack(playlist, "http://"+server+path)
	if err != nil {
		return nil, fmt.Errorf("playlist %s at %s: %w", path, server, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for old := range s.byPath {
		if len(s.byPath) < maxCachedPlaylists {
			break
		}
		delete(s.byPath, old)
	}
	s.byPath[path] = cachedPlaylist{t, now}
	return t, nil
}
