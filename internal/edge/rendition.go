package edge

import (
	"context"
	"time"

	"rainpulley/internal/admission"
	"rainpulley/internal/hls"
	"rainpulley/internal/http1"
)

// rendition answers the playlist of an alternative rendition (EXT-X-MEDIA): at the session's box, for as
// much of the content as its main playlist has published. It is entered with s.mu held, and unlocks it.
func (e *Edge) rendition(ctx context.Context, x *http1.Exchange, s *session, a ask) {
	server, src, id, until := s.server, s.source, s.try.id, e.now()-s.origin+e.playback.Load().Ahead.D()
	s.mu.Unlock()
	if a.track > len(src.m.Renditions) || src.m.Renditions[a.track-1].Attrs.Get("URI") == "" {
		e.no(x, 404, "no such rendition")
		return
	}
	path, err := hls.Resolve("http://"+server+src.base, src.m.Renditions[a.track-1].Attrs.Get("URI"))
	var t *hls.Track
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		t, err = e.sources.load(ctx, server, path)
	}
	if err != nil {
		e.Log.Warn("rendition not read", "session", id, "server", server, "error", err)
		e.no(x, 502, "the rendition could not be read")
		return
	}
	s.mu.Lock()
	still := s.state == admission.Playing && s.server == server
	s.mu.Unlock()
	if !still {
		e.no(x, 503, "the session changes its server")
		return
	}
	var w hls.Window
	w.Aim("http://"+server, token(id), t, 0)
	w.Grow(t.At(until.Seconds()), t.Len())
	x.Status(200)
	cors(x)
	x.Header("Content-Type", playlistType)
	x.Header("Cache-Control", "no-store")
	x.Out = w.Append(x.Out)
}
