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

// manifest is the parsed multivariant playlist of a title at a box, from which those of sessions are made.
type manifest struct {
	path     string // URL path of the manifest at the box
	parsed   *hls.MultivariantPlaylist
	variants []hls.Variant // in order of bandwidth: the index is the rung
	tracks   []atomic.Pointer[hls.Track]
}

// parseManifest parses a manifest that was read from the given path.
func parseManifest(base string, body []byte, rungs int) (*manifest, error) {
	m, err := hls.ParseMultivariant(body)
	if err != nil {
		return nil, err
	}
	s := &manifest{path: base, parsed: m, variants: slices.Clone(m.Variants),
		tracks: make([]atomic.Pointer[hls.Track], rungs)}
	slices.SortStableFunc(s.variants, func(a, b hls.Variant) int { return a.Bandwidth - b.Bandwidth })
	return s, nil
}

// variant returns the variant of a rung. If a title has fewer variants than the ladder has rungs, its best one serves
// the remaining rungs.
func (s *manifest) variant(rung int) hls.Variant { return s.variants[min(rung, len(s.variants)-1)] }

// cachedTrack returns the track of a rung, or nil if it was not read yet.
func (s *manifest) cachedTrack(rung int) *hls.Track { return s.tracks[rung].Load() }

// duration returns the length of the content, or 0 if the track of the rung was not read yet.
func (s *manifest) duration(rung int) time.Duration {
	t := s.cachedTrack(rung)
	if t == nil {
		return 0
	}
	return timeconv.Seconds(t.SegmentStart(t.Len()))
}

// sessionManifest returns the manifest for one session: the variant of the given rung and the renditions of its
// groups, with URIs at the edge that start with prefix.
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

// playlistCache caches media playlists that were read from boxes, by path. All boxes that hold a title have the same
// playlists, so an entry is valid for all of them. Entries expire after playlistTTL.
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

// rungTrack returns the track of a rung, from the cache or read from the box, and stores it in the manifest.
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

// loadTrack returns the track of the media playlist at path, from the cache or read from the box. A full cache
// evicts arbitrary entries.
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
