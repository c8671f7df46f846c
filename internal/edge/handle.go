package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rainpulley/internal/admission"
	"rainpulley/internal/core"
	"rainpulley/internal/hls"
	"rainpulley/internal/http1"
)

const playlistType = "application/vnd.apple.mpegurl" // RFC 8216, section 4

// handle answers one HTTP request.
func (e *Edge) handle(ctx context.Context, x *http1.Exchange) {
	isRead := string(x.Method) == "GET" || string(x.Method) == "HEAD"
	switch {
	case !isRead && string(x.Method) == "OPTIONS": // CORS preflight
		x.StartResponse(204)
		addCORSHeaders(x)
	case !isRead:
		x.StartResponse(405)
		x.AddHeader("Allow", "GET, HEAD, OPTIONS")
	case bytes.HasPrefix(x.Path, []byte("/s/")):
		e.handleMedia(ctx, x)
	case bytes.HasPrefix(x.Path, []byte("/play/")):
		e.handlePlay(ctx, x)
	case string(x.Path) == "/healthz":
		x.StartResponse(200)
		x.ResponseBody = append(x.ResponseBody, "ok\n"...)
	case string(x.Path) == "/status":
		e.writeStatus(x)
	case string(x.Path) == "/metrics":
		e.writeMetrics(x)
	default:
		e.writeText(x, 404, "no such path")
	}
}

// addCORSHeaders allows pages of any origin to read the response.
func addCORSHeaders(x *http1.Exchange) {
	x.AddHeader("Access-Control-Allow-Origin", "*")
	x.AddHeader("Access-Control-Allow-Headers", "Rainpulley-Key, Range, CMCD-Session, CMCD-Request, CMCD-Object, CMCD-Status")
}

// writeText answers with a line of text.
func (e *Edge) writeText(x *http1.Exchange, code int, text string) {
	x.StartResponse(code)
	addCORSHeaders(x)
	x.AddHeader("Content-Type", "text/plain")
	x.ResponseBody = append(append(x.ResponseBody, text...), '\n')
}

// handlePlay handles the first request of a session: /play/<title>/index.m3u8?class=&best=&key=&patience=.
func (e *Edge) handlePlay(ctx context.Context, x *http1.Exchange) {
	title, ok := strings.CutSuffix(string(x.Path[len("/play/"):]), "/index.m3u8")
	if !ok || !isURLSafe(title) {
		e.writeText(x, 404, "want /play/<title>/index.m3u8")
		return
	}
	req, err := e.parsePlay(x, title)
	if err != nil {
		e.writeRequestError(x, err)
		return
	}
	e.serve(ctx, x, req, admission.Play)
}

// writeRequestError answers a request with invalid parameters (400) or for an unknown title (404).
func (e *Edge) writeRequestError(x *http1.Exchange, err error) {
	code := 400
	if errors.Is(err, errUnknownTitle) {
		code = 404
	}
	e.writeText(x, code, err.Error())
}

// handleMedia handles a reload: /s/<class>/<title>/<key>/<best>/<start>/<playlist>.m3u8. The common case, a session
// that is playing at this edge, is answered without allocating.
func (e *Edge) handleMedia(ctx context.Context, x *http1.Exchange) {
	name, rest, ok := cutSessionName(x.Path[len("/s/"):])
	if !ok {
		e.writeText(x, 404, "want /s/<class>/<title>/<key>/<best>/<start>/<playlist>.m3u8")
		return
	}
	if s := e.sessions.find(name); s != nil && e.serveReload(x, s, rest) {
		return
	}
	req, err := e.parseReload(name, rest)
	if err != nil {
		e.writeRequestError(x, err)
		return
	}
	e.serve(ctx, x, req, admission.Reload)
}

// serveReload answers a reload of the main playlist from a playing session. It returns false, and writes nothing, if
// the session is not playing or the rest of the path needs the slower checks of parseReload.
func (e *Edge) serveReload(x *http1.Exchange, s *session, rest []byte) bool {
	i := bytes.LastIndexByte(rest, '/')
	if string(rest[i+1:]) != "media.m3u8" {
		return false
	}
	now := e.now()
	if !isPastStart(rest[:max(i, 0)], now) {
		return false // parseReload refuses it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != admission.Playing {
		return false
	}
	s.lastSeenAt.Store(int64(now))
	s.extendWindow(e, now)
	x.StartResponse(200)
	x.AddHeader("Content-Type", playlistType)
	x.AddHeader("Cache-Control", "no-store")
	x.AddHeader("Access-Control-Allow-Origin", "*")
	x.ResponseBody = s.window.Append(x.ResponseBody)
	return true
}

// extendWindow publishes the segments up to the playback position plus playback.Ahead. The window keeps as many
// segments as cover playback.Ahead and playback.Behind, plus two.
func (s *session) extendWindow(e *Edge, now time.Duration) {
	track := s.manifest.cachedTrack(s.publishedRung)
	if track == nil {
		return
	}
	playback := e.playback.Load()
	lead := playback.Ahead.Std()
	segmentDuration := max(track.SegmentStart(1)-track.SegmentStart(0), 0.1)
	keep := int(math.Ceil((lead+playback.Behind.Std()).Seconds()/segmentDuration)) + 2
	s.window.Publish(track.SegmentAt((now - s.contentStart + lead).Seconds()), keep)
}

// serve answers a request that serveReload could not: it answers from the session, waits for a pending set-up, starts
// a new one, or refuses.
func (e *Edge) serve(ctx context.Context, x *http1.Exchange, req viewerRequest, kind admission.RequestKind) {
	deadline := e.now() + req.patience
	if kind == admission.Reload && e.sessions.find(req.sessionName) == nil {
		e.awaitAdoption(req.sessionName)
	}
	if full, retryAfter := e.checkCapacity(); full && e.sessions.find(req.sessionName) == nil {
		e.writeRefusal(x, retryAfter)
		return
	}
	s := e.sessions.getOrAdd(req.sessionName, func(name string) *session {
		return &session{name: name, viewerKey: req.viewerKey, class: req.class, maxRung: req.maxRung, stateSince: e.now()}
	})
	for {
		s.mu.Lock()
		s.lastSeenAt.Store(int64(e.now()))
		decision := admission.Decide(admission.Session{State: s.state, Moved: s.moved, Since: s.stateSince}, kind,
			e.now(), req.position > 0)
		p := s.request
		switch decision.Action {
		case admission.Serve:
			e.writePlaylist(ctx, x, s, req, kind) // unlocks
			return
		case admission.NotFound:
			s.mu.Unlock()
			e.writeText(x, 410, "this session is over")
			return
		case admission.Defer:
			s.mu.Unlock()
			select {
			case <-p.closed:
				continue
			case <-time.After(deadline - e.now()):
				e.writeRefusal(x, time.Second)
				return
			}
		case admission.SetUp:
			if !e.seatsKnown(req.class) {
				s.mu.Unlock()
				if !e.awaitSeats(x, deadline) {
					e.writeRefusal(x, e.Site.RetryAfter.Std())
					return
				}
				continue
			}
			s.title, s.maxRung = e.fleet.Load().titles[req.title], req.maxRung
			switch {
			case decision.Returned && s.resumePosition > 0: // resume where playback ended
			case kind == admission.Reload:
				s.resumePosition = req.position
			default: // start from the beginning
				s.resumePosition, s.hasPlayed, s.window = 0, false, hls.Window{}
			}
			var accepted bool
			if p, accepted = e.submit(s, decision, deadline-e.now()); !accepted {
				s.mu.Unlock()
				e.writeRefusal(x, time.Second)
				return
			}
		}
		p.waiters++
		s.mu.Unlock()
		if !e.awaitAnswer(x, s, p, deadline) {
			return
		}
		if p.answer.Kind != core.Playing {
			e.writeFailure(x, p)
			return
		}
		s.mu.Lock()
		if s.request == p && s.state == admission.Playing {
			e.writePlaylist(ctx, x, s, req, kind)
			return
		}
		s.mu.Unlock() // the session was lost between the answer and the lock
		e.writeText(x, 502, "the session broke")
		return
	}
}

// awaitAdoption waits after a restart until a box reports the session, all boxes have reported, or reclaimWait is over.
func (e *Edge) awaitAdoption(name []byte) {
	complete := e.adoption.complete()
	timeout := time.NewTimer(reclaimWait)
	defer timeout.Stop()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for e.sessions.find(name) == nil {
		select {
		case <-complete:
			return
		case <-timeout.C:
			return
		case <-ticker.C:
		}
	}
}

// awaitAnswer waits for the answer to a request of the module. It returns false if it answered the exchange itself,
// because the viewer disconnected or the deadline passed. If no other HTTP request of the viewer waits, the request is
// then abandoned.
func (e *Edge) awaitAnswer(x *http1.Exchange, s *session, p *placementRequest, deadline time.Duration) bool {
	disconnected, stop := x.WatchDisconnect()
	timeout := time.NewTimer(deadline + e.Site.Rules.AnswerSlack.Std() - e.now())
	defer timeout.Stop()
	answered, gone := false, false
	select {
	case <-p.answered:
		answered = true
	case <-disconnected:
		gone = true
	case <-timeout.C:
	}
	stop()
	s.mu.Lock()
	p.waiters--
	abandon := !answered && p.waiters == 0 && s.request == p && s.state == admission.Pending
	if abandon {
		s.state, s.stateSince = admission.Leaving, e.now()
	}
	s.mu.Unlock()
	if abandon {
		e.Log.Info("viewer left", "session", p.id)
		e.orchestrator.ViewerLeft(p.id, p)
	}
	if answered {
		return true
	}
	e.writeText(x, 504, "no answer in time")
	x.Close = x.Close || gone
	return false
}

// writeFailure answers a request that was refused (503) or failed (502).
func (e *Edge) writeFailure(x *http1.Exchange, p *placementRequest) {
	if p.answer.Kind == core.Refused {
		e.writeRefusal(x, p.answer.RetryAfter)
		return
	}
	e.writeText(x, 502, "the session could not be set up")
}

// writeRefusal answers with 503. Retry-After has the advised delay in whole seconds (RFC 9110, section 10.2.3), and
// Rainpulley-Retry-After-Ms has the exact delay.
func (e *Edge) writeRefusal(x *http1.Exchange, retryAfter time.Duration) {
	e.writeText(x, 503, "no room now")
	if retryAfter > 0 {
		x.AddHeader("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
		x.AddHeader("Rainpulley-Retry-After-Ms", strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
}

// writePlaylist answers with a playlist of a playing session. The caller holds s.mu; writePlaylist unlocks it.
func (e *Edge) writePlaylist(ctx context.Context, x *http1.Exchange, s *session, req viewerRequest,
	kind admission.RequestKind) {
	now := e.now()
	if req.playlist > 0 {
		e.writeRendition(ctx, x, s, req) // unlocks
		return
	}
	defer s.mu.Unlock()
	x.StartResponse(200)
	addCORSHeaders(x)
	x.AddHeader("Content-Type", playlistType)
	x.AddHeader("Cache-Control", "no-store")
	if kind == admission.Reload {
		s.extendWindow(e, now)
		x.ResponseBody = s.window.Append(x.ResponseBody)
		return
	}
	prefix := "/s/" + s.name + "/" + strconv.Itoa(s.maxRung) + "/" +
		strconv.FormatInt(s.contentStart.Milliseconds(), 36) + "/"
	x.ResponseBody = s.manifest.sessionManifest(s.publishedRung, prefix).Append(x.ResponseBody)
}

// writeStatus answers with the state and counters of the edge as JSON.
func (e *Edge) writeStatus(x *http1.Exchange) {
	x.StartResponse(200)
	x.AddHeader("Content-Type", "application/json")
	stats, v := &e.orchestrator.Stats, e.fleet.Load().view
	x.ResponseBody = fmt.Appendf(x.ResponseBody, `{"position":%d,"instance":%q,"view":%d,"boxes":%d,"titles":%d,"sessions":%d,"open":%d,`+
		`"requests":%d,"turned_away":%d,"plays":%d,"refused":%d,"failed":%d,"attempts":%d,"further":%d,"overdue":%d,"notes_lost":%d,"holds":%d}`+"\n",
		e.Position, e.instanceID, v.Version, len(v.Boxes), len(v.Titles), e.sessions.size.Load(), stats.Open.Load(),
		stats.Requests.Load(), stats.QueueFull.Load(), stats.Started.Load(), stats.Refused.Load(), stats.Failed.Load(),
		stats.Attempts.Load(), stats.FurtherAttempts.Load(), stats.Overdue.Load(), stats.NotesDropped.Load(),
		e.holds.activeCount())
}
