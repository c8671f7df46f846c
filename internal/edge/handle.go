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
	"rainpulley/internal/timeconv"
)

const playlistType = "application/vnd.apple.mpegurl" // RFC 8216, 4

func (e *Edge) handle(ctx context.Context, x *http1.Exchange) {
	get := string(x.Method) == "GET" || string(x.Method) == "HEAD"
	switch {
	case !get && string(x.Method) == "OPTIONS": // what a browser asks before another origin's GET
		x.StartResponse(204)
		addCORSHeaders(x)
	case !get:
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

func addCORSHeaders(x *http1.Exchange) {
	x.AddHeader("Access-Control-Allow-Origin", "*")
	x.AddHeader("Access-Control-Allow-Headers", "Rainpulley-Key, Range, CMCD-Session, CMCD-Request, CMCD-Object, CMCD-Status")
}

func (e *Edge) writeText(x *http1.Exchange, code int, why string) {
	x.StartResponse(code)
	addCORSHeaders(x)
	x.AddHeader("Content-Type", "text/plain")
	x.ResponseBody = append(append(x.ResponseBody, why...), '\n')
}

// play is the first request of a session: /play/<title>/index.m3u8?class=&best=&key=&patience=.
func (e *Edge) handlePlay(ctx context.Context, x *http1.Exchange) {
	rest, ok := strings.CutSuffix(string(x.Path[len("/play/"):]), "/index.m3u8")
	if !ok || !isURLSafe(rest) {
		e.writeText(x, 404, "want /play/<title>/index.m3u8")
		return
	}
	ask, err := e.parsePlay(x, rest)
	if err != nil {
		e.writeRequestError(x, err)
		return
	}
	e.serve(ctx, x, ask, admission.Play)
}

// badAsk answers a request that asks for what there is not.
func (e *Edge) writeRequestError(x *http1.Exchange, err error) {
	code := 400
	if errors.Is(err, errUnknownTitle) {
		code = 404
	}
	e.writeText(x, code, err.Error())
}

// ask is what a request wants.
type viewerRequest struct {
	sessionName []byte // class/title/key
	class       int
	title       string
	viewerKey   string
	maxRung     int
	patience    time.Duration
	position    time.Duration // where play stands, as the URL tells
	playlist    int           // which playlist: 0 the variant's, others its renditions
}

func (e *Edge) parsePlay(x *http1.Exchange, title string) (viewerRequest, error) {
	a := viewerRequest{title: title}
	if v := x.QueryParam("class"); v != nil {
		a.class = e.Site.Class(string(v))
	}
	if a.class < 0 {
		return a, fmt.Errorf("no such class")
	}
	class := &e.settings.Classes[a.class]
	a.maxRung = e.maxUsableRung(a.class, cmcdValue(x, "cmcd-object", "tb"))
	if v := x.QueryParam("best"); v != nil {
		n, err := strconv.Atoi(string(v))
		if err != nil || n < 0 {
			return a, fmt.Errorf("best: no rung")
		}
		a.maxRung = min(n, class.MaxRung)
	}
	if a.maxRung < class.MinRung {
		return a, fmt.Errorf("best: below the floor of the class")
	}
	if _, ok := e.fleet.Load().titles[title]; !ok {
		return a, errUnknownTitle
	}
	a.viewerKey = viewerKey(x)
	if a.viewerKey == "" {
		a.viewerKey = e.nextRequestID()
	}
	if !isURLSafe(a.viewerKey) {
		return a, fmt.Errorf("key: 1 to 64 letters, digits, - . _ ~")
	}
	a.patience = class.Deadline
	if v := x.QueryParam("patience"); v != nil {
		n, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || n <= 0 {
			return a, fmt.Errorf("patience: milliseconds above 0")
		}
		a.patience = min(a.patience, timeconv.Milliseconds(n))
	}
	a.sessionName = []byte(e.Site.Classes[a.class].Name + "/" + title + "/" + a.viewerKey)
	return a, nil
}

// viewerKey is the query's key, the header's, or the session id of CMCD (CTA-5004, sid).
func viewerKey(x *http1.Exchange) string {
	if v := x.QueryParam("key"); v != nil {
		return string(v)
	}
	if v := x.Get("rainpulley-key"); v != nil {
		return string(v)
	}
	return strings.Trim(cmcdValue(x, "cmcd-session", "sid"), `"`)
}

// cmcd is a key of the player's own word (CTA-5004), by query or header; "" if it was not sent.
func cmcdValue(x *http1.Exchange, header, key string) string {
	text := string(x.Get(header))
	if v := x.QueryParam("CMCD"); v != nil {
		text = unescapeCMCD(string(v))
	}
	for _, part := range strings.Split(text, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), key+"="); ok {
			return v
		}
	}
	return ""
}

// canUse is the highest rung that a player which says its top bit rate (CMCD tb, in kbit/s) can use.
func (e *Edge) maxUsableRung(class int, tb string) int {
	k := &e.settings.Classes[class]
	best := k.MaxRung
	kbit, err := strconv.ParseFloat(tb, 64)
	if err != nil {
		return best
	}
	for best > k.MinRung && e.settings.Ladder[best]*k.RateFactor*8 > kbit {
		best--
	}
	return best
}

func unescapeCMCD(s string) string {
	r := strings.NewReplacer("%2C", ",", "%2c", ",", "%3D", "=", "%3d", "=", "%22", `"`, "%20", " ")
	return r.Replace(s)
}

// plain tells text that may stand in a path and in a query as it is.
func isURLSafe(s string) bool {
	if s == "" || len(s) > 64 || s == "." || s == ".." {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~') {
			return false
		}
	}
	return true
}

// media is a reload: /s/<class>/<title>/<key>/<best>/<start>/<playlist>.m3u8. The common case, a session
// that plays here, is answered without any allocation.
func (e *Edge) handleMedia(ctx context.Context, x *http1.Exchange) {
	name, rest, ok := cutSessionName(x.Path[len("/s/"):])
	if !ok {
		e.writeText(x, 404, "want /s/<class>/<title>/<key>/<best>/<start>/<playlist>.m3u8")
		return
	}
	if s := e.sessions.find(name); s != nil && e.serveReload(x, s, rest) {
		return
	}
	a, err := e.parseReload(name, rest)
	if err != nil {
		e.writeRequestError(x, err)
		return
	}
	e.serve(ctx, x, a, admission.Reload)
}

// cutName splits class/title/key from what follows.
func cutSessionName(p []byte) (name, rest []byte, ok bool) {
	n := 0
	for i, c := range p {
		if c == '/' {
			if n++; n == 3 {
				return p[:i], p[i+1:], true
			}
		}
	}
	return nil, nil, false
}

// reload answers from a session that plays; false if it does not.
func (e *Edge) serveReload(x *http1.Exchange, s *session, rest []byte) bool {
	i := bytes.LastIndexByte(rest, '/')
	if string(rest[i+1:]) != "media.m3u8" {
		return false
	}
	now := e.now()
	if !isPastStart(rest[:max(i, 0)], now) {
		return false // and is refused by the slower path
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

// grow publishes what may be known by now: up to a little ahead of play.
func (s *session) extendWindow(e *Edge, now time.Duration) {
	track := s.manifest.cachedTrack(s.publishedRung)
	if track == nil {
		return
	}
	play := e.playback.Load()
	ahead := play.Ahead.D()
	each := max(track.SegmentStart(1)-track.SegmentStart(0), 0.1)
	keep := int(math.Ceil((ahead+play.Behind.D()).Seconds()/each)) + 2
	s.window.Publish(track.SegmentAt((now - s.contentStart + ahead).Seconds()), keep)
}

// startFits tells a <best>/<start> of which the start is a time that was, without allocating.
func isPastStart(p []byte, now time.Duration) bool {
	start := p[bytes.LastIndexByte(p, '/')+1:]
	if len(start) == 0 || len(start) > 12 { // longer ones are beyond every moment, and could overflow
		return false
	}
	n := int64(0)
	for _, c := range start {
		switch {
		case c >= '0' && c <= '9':
			n = n*36 + int64(c-'0')
		case c >= 'a' && c <= 'z':
			n = n*36 + int64(c-'a') + 10
		default:
			return false
		}
	}
	return n <= timeconv.MaxUnixMilli && timeconv.UnixMilli(n) <= now+maxClockSkew
}

// startAhead is how far the clock of the edge that wrote a start may be ahead of this one's.
const maxClockSkew = time.Minute

func (e *Edge) parseReload(name, rest []byte) (viewerRequest, error) {
	parts := strings.Split(string(name), "/")
	tail := strings.Split(string(rest), "/")
	a := viewerRequest{sessionName: bytes.Clone(name), class: e.Site.Class(parts[0]), title: parts[1], viewerKey: parts[2]}
	if a.class < 0 || len(tail) != 3 || !isURLSafe(a.viewerKey) {
		return a, fmt.Errorf("no such class, or malformed path")
	}
	class := &e.settings.Classes[a.class]
	best, err := strconv.Atoi(tail[0])
	if err != nil || best < class.MinRung || best > class.MaxRung {
		return a, fmt.Errorf("best: no rung of the class")
	}
	start, err := strconv.ParseInt(tail[1], 36, 64)
	if err != nil || !isPastStart([]byte(tail[1]), e.now()) {
		return a, fmt.Errorf("start: no time, or one to come")
	}
	if _, ok := e.fleet.Load().titles[a.title]; !ok {
		return a, errUnknownTitle
	}
	if n, ok := strings.CutPrefix(strings.TrimSuffix(tail[2], ".m3u8"), "r"); ok {
		if a.playlist, err = strconv.Atoi(n); err != nil || a.playlist < 1 {
			return a, fmt.Errorf("no such playlist")
		}
	} else if tail[2] != "media.m3u8" {
		return a, fmt.Errorf("no such playlist")
	}
	a.maxRung, a.patience = best, class.Deadline
	a.position = max(e.now()-timeconv.UnixMilli(start), 0)
	return a, nil
}

// serve settles a request that is not simply a reload of what plays.
func (e *Edge) serve(ctx context.Context, x *http1.Exchange, a viewerRequest, k admission.RequestKind) {
	due := e.now() + a.patience
	if k == admission.Reload && e.reclaimDone != nil && e.sessions.find(a.sessionName) == nil {
		e.awaitAdoption(a.sessionName)
	}
	if turn, after := e.checkCapacity(); turn && e.sessions.find(a.sessionName) == nil {
		e.writeRefusal(x, after)
		return
	}
	s := e.sessions.getOrAdd(a.sessionName, func(name string) *session {
		return &session{name: name, viewerKey: a.viewerKey, class: a.class, maxRung: a.maxRung, stateSince: e.now()}
	})
	for {
		s.mu.Lock()
		s.lastSeenAt.Store(int64(e.now()))
		d := admission.Decide(admission.Session{State: s.state, Moved: s.moved, Since: s.stateSince}, k, e.now(), a.position > 0)
		y := s.request
		switch d.Action {
		case admission.Serve:
			e.writePlaylist(ctx, x, s, a, k) // unlocks
			return
		case admission.NotFound:
			s.mu.Unlock()
			e.writeText(x, 410, "this session is over")
			return
		case admission.Defer:
			s.mu.Unlock()
			select {
			case <-y.closed:
				continue
			case <-time.After(due - e.now()):
				e.writeRefusal(x, time.Second)
				return
			}
		case admission.SetUp:
			s.title, s.maxRung = e.fleet.Load().titles[a.title], a.maxRung
			switch {
			case d.Returned && s.resumePosition > 0: // where it stood when the server was lost
			case k == admission.Reload:
				s.resumePosition = a.position
			default: // from the beginning
				s.resumePosition, s.hasPlayed, s.window = 0, false, hls.Window{}
			}
			var taken bool
			if y, taken = e.submit(s, d, due-e.now()); !taken {
				s.mu.Unlock()
				e.writeRefusal(x, time.Second)
				return
			}
		}
		y.waiters++
		s.mu.Unlock()
		if !e.awaitAnswer(x, s, y, due) {
			return
		}
		if y.answer.Kind != core.Playing {
			e.writeFailure(x, y)
			return
		}
		s.mu.Lock()
		if s.request == y && s.state == admission.Playing {
			e.writePlaylist(ctx, x, s, a, k)
			return
		}
		s.mu.Unlock() // lost again in this moment
		e.writeText(x, 502, "the session broke")
		return
	}
}

// awaitReclaim waits, after a restart, for a box to tell of a session.
func (e *Edge) awaitAdoption(name []byte) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for e.sessions.find(name) == nil {
		select {
		case <-e.reclaimDone:
			return
		case <-t.C:
		}
	}
}

// await waits for a try's answer. False if the exchange is settled: the viewer went away, or time ran out.
func (e *Edge) awaitAnswer(x *http1.Exchange, s *session, y *placementRequest, due time.Duration) bool {
	gone, stop := x.WatchDisconnect()
	late := time.NewTimer(due + e.Site.Rules.AnswerSlack.D() - e.now())
	defer late.Stop()
	ok, left := false, false
	select {
	case <-y.answered:
		ok = true
	case <-gone:
		left = true
	case <-late.C:
	}
	stop()
	s.mu.Lock()
	y.waiters--
	leave := !ok && y.waiters == 0 && s.request == y && s.state == admission.Pending
	if leave {
		s.state, s.stateSince = admission.Leaving, e.now()
	}
	s.mu.Unlock()
	if leave {
		e.Log.Info("viewer left", "session", y.id)
		e.orchestrator.ViewerLeft(y.id, y)
	}
	if ok {
		return true
	}
	e.writeText(x, 504, "no answer in time")
	x.Close = x.Close || left
	return false
}

func (e *Edge) writeFailure(x *http1.Exchange, y *placementRequest) {
	if y.answer.Kind == core.Refused {
		e.writeRefusal(x, y.answer.RetryAfter)
		return
	}
	e.writeText(x, 502, "the session could not be set up")
}

// refuse is 503; the wait advised is in whole seconds (RFC 9110, 10.2.3), and exactly in a field beside it.
func (e *Edge) writeRefusal(x *http1.Exchange, after time.Duration) {
	e.writeText(x, 503, "no room now")
	if after > 0 {
		x.AddHeader("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
		x.AddHeader("Rainpulley-Retry-After-Ms", strconv.FormatInt(after.Milliseconds(), 10))
	}
}

// write answers with a playlist of a session that plays. It unlocks the session.
func (e *Edge) writePlaylist(ctx context.Context, x *http1.Exchange, s *session, a viewerRequest, k admission.RequestKind) {
	now := e.now()
	if a.playlist > 0 {
		e.writeRendition(ctx, x, s, a) // unlocks
		return
	}
	defer s.mu.Unlock()
	x.StartResponse(200)
	addCORSHeaders(x)
	x.AddHeader("Content-Type", playlistType)
	x.AddHeader("Cache-Control", "no-store")
	if k == admission.Reload {
		s.extendWindow(e, now)
		x.ResponseBody = s.window.Append(x.ResponseBody)
		return
	}
	prefix := "/s/" + s.name + "/" + strconv.Itoa(s.maxRung) + "/" + strconv.FormatInt(s.contentStart.Milliseconds(), 36) + "/"
	x.ResponseBody = s.manifest.sessionManifest(s.publishedRung, prefix).Append(x.ResponseBody)
}

func (e *Edge) writeStatus(x *http1.Exchange) {
	x.StartResponse(200)
	x.AddHeader("Content-Type", "application/json")
	t, v := &e.orchestrator.Stats, e.fleet.Load().view
	x.ResponseBody = fmt.Appendf(x.ResponseBody, `{"position":%d,"instance":%q,"view":%d,"boxes":%d,"titles":%d,"sessions":%d,"open":%d,`+
		`"requests":%d,"turned_away":%d,"plays":%d,"refused":%d,"failed":%d,"attempts":%d,"further":%d,"overdue":%d,"notes_lost":%d,"holds":%d}`+"\n",
		e.Position, e.instanceID, v.Version, len(v.Boxes), len(v.Titles), e.sessions.size.Load(), t.Open.Load(), t.Requests.Load(),
		t.QueueFull.Load(), t.Started.Load(), t.Refused.Load(), t.Failed.Load(), t.Attempts.Load(), t.FurtherAttempts.Load(),
		t.Overdue.Load(), t.NotesDropped.Load(), e.holds.activeCount())
}
