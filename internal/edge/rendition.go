package edge

import (
	"context"
	"time"

	"rainpulley/internal/admission"
	"rainpulley/internal/hls"
	"rainpulley/internal/http1"
)

// writeRendition answers with the playlist of an alternative rendition (EXT-X-MEDIA), with segments at the box of
// the session and up to the position that the main playlist has published. The caller holds s.mu; writeRendition
// unlocks it.
func (e *Edge) writeRendition(ctx context.Context, x *http1.Exchange, s *session, req viewerRequest) {
	server, m, id, published := s.server, s.manifest, s.request.id, e.now()-s.contentStart+e.playback.Load().Ahead.Std()
	s.mu.Unlock()
	if req.playlist > len(m.parsed.Renditions) || m.parsed.Renditions[req.playlist-1].Attributes.Get("URI") == "" {
		e.writeText(x, 404, "no such rendition")
		return
	}
	path, err := hls.ResolvePath("http://"+server+m.path, m.parsed.Renditions[req.playlist-1].Attributes.Get("URI"))
	var t *hls.Track
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		t, err = e.playlists.loadTrack(ctx, server, path)
	}
	if err != nil {
		e.Log.Warn("could not read the rendition playlist", "session", id, "server", server, "error", err)
		e.writeText(x, 502, "the rendition could not be read")
		return
	}
	s.mu.Lock()
	unchanged := s.state == admission.Playing && s.server == server
	s.mu.Unlock()
	if !unchanged {
		e.writeText(x, 503, "the session changes its server")
		return
	}
	var w hls.Window
	w.SetSource("http://"+server, sessionQuery(id), t, 0)
	w.Publish(t.SegmentAt(published.Seconds()), t.Len())
	x.StartResponse(200)
	addCORSHeaders(x)
	x.AddHeader("Content-Type", playlistType)
	x.AddHeader("Cache-Control", "no-store")
	x.ResponseBody = w.Append(x.ResponseBody)
}
