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
func parseManifest(urlPath string, body []byte, rungs int) (*manifest, error) {
	playlist, err := hls.ParseMultivariant(body)
	if err != nil {
		return nil, err
	}
	out := &manifest{path: urlPath, parsed: playlist, variants: slices.Clone(playlist.Variants),
		tracks: make([]atomic.Pointer[hls.Track], rungs)}
	slices.SortStableFunc(out.variants, func(a, b hls.Variant) int { return a.Bandwidth - b.Bandwidth })
	return out, nil
}

// variant returns the variant of a rung. If a title has fewer variants than the ladder has rungs, its best one serves
// the remaining rungs.
func (m *manifest) variant(rung int) hls.Variant { return m.variants[min(rung, len(m.variants)-1)] }

// cachedTrack returns the track of a rung, or nil if it was not read yet.
func (m *manifest) cachedTrack(rung int) *hls.Track { return m.tracks[rung].Load() }

// duration returns the length of the content, or 0 if the track of the rung was not read yet.
func (m *manifest) duration(rung int) time.Duration {
	t := m.cachedTrack(rung)
	if t == nil {
		return 0
	}
	return timeconv.Seconds(t.SegmentStart(t.Len()))
}

// sessionManifest returns the manifest for one session: the variant of the given rung and the renditions of its
// groups, with URIs at the edge that start with prefix.
func (m *manifest) sessionManifest(rung int, prefix string) *hls.MultivariantPlaylist {
	v := m.variant(rung)
	out := &hls.MultivariantPlaylist{Version: m.parsed.Version, OtherTags: m.parsed.OtherTags}
	for i, r := range m.parsed.Renditions {
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
func (c *playlistCache) rungTrack(ctx context.Context, server string, m *manifest, rung int) (*hls.Track, error) {
	path, err := hls.ResolvePath("http://"+server+m.path, m.variant(rung).URI)
	if err != nil {
		return nil, err
	}
	t, err := c.loadTrack(ctx, server, path)
	if err != nil {
		return nil, err
	}
	m.tracks[rung].Store(t)
	return t, nil
}

// loadTrack returns the track of the media playlist at path, from the cache or read from the box. A full cache
// evicts arbitrary entries.
func (c *playlistCache) loadTrack(ctx context.Context, server, path string) (*hls.Track, error) {
	now := c.edge.now()
	c.mu.Lock()
	cached, ok := c.byPath[path]
	c.mu.Unlock()
	if ok && now-cached.at < playlistTTL {
		return cached.track, nil
	}
	resp, err := c.edge.boxes.http.Do(ctx, server, "GET", path, nil, nil)
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
	c.mu.Lock()
	defer c.mu.Unlock()
	for old := range c.byPath {
		if len(c.byPath) < maxCachedPlaylists {
			break
		}
		delete(c.byPath, old)
	}
	c.byPath[path] = cachedPlaylist{t, now}
	return t, nil
}
