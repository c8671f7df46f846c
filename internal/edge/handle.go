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
	"rainpulley/internal/bound"
	"rainpulley/internal/core"
	"rainpulley/internal/hls"
	"rainpulley/internal/http1"
)

const playlistType = "application/vnd.apple.mpegurl" // RFC 8216, 4

func (e *Edge) handle(ctx context.Context, x *http1.Exchange) {
	get := string(x.Method) == "GET" || string(x.Method) == "HEAD"
	switch {
	case !get && string(x.Method) == "OPTIONS": // what a browser asks before another origin's GET
		x.Status(204)
		cors(x)
	case !get:
		x.Status(405)
		x.Header("Allow", "GET, HEAD, OPTIONS")
	case bytes.HasPrefix(x.Path, []byte("/s/")):
		e.media(ctx, x)
	case bytes.HasPrefix(x.Path, []byte("/play/")):
		e.play(ctx, x)
	case string(x.Path) == "/healthz":
		x.Status(200)
		x.Out = append(x.Out, "ok\n"...)
	case string(x.Path) == "/status":
		e.status(x)
	case string(x.Path) == "/metrics":
		e.showMetrics(x)
	default:
		e.no(x, 404, "no such path")
	}
}

func cors(x *http1.Exchange) {
	x.Header("Access-Control-Allow-Origin", "*")
	x.Header("Access-Control-Allow-Headers", "Rainpulley-Key, Range, CMCD-Session, CMCD-Request, CMCD-Object, CMCD-Status")
}

func (e *Edge) no(x *http1.Exchange, code int, why string) {
	x.Status(code)
	cors(x)
	x.Header("Content-Type", "text/plain")
	x.Out = append(append(x.Out, why...), '\n')
}

// play is the first request of a session: /play/<title>/index.m3u8?class=&best=&key=&patience=.
func (e *Edge) play(ctx context.Context, x *http1.Exchange) {
	rest, ok := strings.CutSuffix(string(x.Path[len("/play/"):]), "/index.m3u8")
	if !ok || !plain(rest) {
		e.no(x, 404, "want /play/<title>/index.m3u8")
		return
	}
	ask, err := e.asked(x, rest)
	if err != nil {
		e.badAsk(x, err)
		return
	}
	e.serve(ctx, x, ask, admission.Play)
}

// badAsk answers a request that asks for what there is not.
func (e *Edge) badAsk(x *http1.Exchange, err error) {
	code := 400
	if errors.Is(err, errUnknownTitle) {
		code = 404
	}
	e.no(x, code, err.Error())
}

// ask is what a request wants.
type ask struct {
	name     []byte // class/title/key
	class    int
	title    string
	key      string
	best     int
	patience time.Duration
	position time.Duration // where play stands, as the URL tells
	track    int           // which playlist: 0 the variant's, others its renditions
}

func (e *Edge) asked(x *http1.Exchange, title string) (ask, error) {
	a := ask{title: title}
	if v := x.Param("class"); v != nil {
		a.class = e.Site.Class(string(v))
	}
	if a.class < 0 {
		return a, fmt.Errorf("no such class")
	}
	class := &e.set.Classes[a.class]
	a.best = e.canUse(a.class, cmcd(x, "cmcd-object", "tb"))
	if v := x.Param("best"); v != nil {
		n, err := strconv.Atoi(string(v))
		if err != nil || n < 0 {
			return a, fmt.Errorf("best: no rung")
		}
		a.best = min(n, class.MaxRung)
	}
	if a.best < class.MinRung {
		return a, fmt.Errorf("best: below the floor of the class")
	}
	if _, ok := e.fleet.Load().titles[title]; !ok {
		return a, errUnknownTitle
	}
	a.key = viewerKey(x)
	if a.key == "" {
		a.key = e.nextID()
	}
	if !plain(a.key) {
		return a, fmt.Errorf("key: 1 to 64 letters, digits, - . _ ~")
	}
	a.patience = class.Deadline
	if v := x.Param("patience"); v != nil {
		n, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || n <= 0 {
			return a, fmt.Errorf("patience: milliseconds above 0")
		}
		a.patience = min(a.patience, bound.Ms(n))
	}
	a.name = []byte(e.Site.Classes[a.class].Name + "/" + title + "/" + a.key)
	return a, nil
}

// viewerKey is the query's key, the header's, or the session id of CMCD (CTA-5004, sid).
func viewerKey(x *http1.Exchange) string {
	if v := x.Param("key"); v != nil {
		return string(v)
	}
	if v := x.Get("rainpulley-key"); v != nil {
		return string(v)
	}
	return strings.Trim(cmcd(x, "cmcd-session", "sid"), `"`)
}

// cmcd is a key of the player's own word (CTA-5004), by query or header; "" if it was not sent.
func cmcd(x *http1.Exchange, header, key string) string {
	text := string(x.Get(header))
	if v := x.Param("CMCD"); v != nil {
		text = unescape(string(v))
	}
	for _, part := range strings.Split(text, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), key+"="); ok {
			return v
		}
	}
	return ""
}

// canUse is the highest rung that a player which says its top bit rate (CMCD tb, in kbit/s) can use.
func (e *Edge) canUse(class int, tb string) int {
	k := &e.set.Classes[class]
	best := k.MaxRung
	kbit, err := strconv.ParseFloat(tb, 64)
	if err != nil {
		return best
	}
	for best > k.MinRung && e.set.Ladder[best]*k.RateFactor*8 > kbit {
		best--
	}
	return best
}

func unescape(s string) string {
	r := strings.NewReplacer("%2C", ",", "%2c", ",", "%3D", "=", "%3d", "=", "%22", `"`, "%20", " ")
	return r.Replace(s)
}

// plain tells text that may stand in a path and in a query as it is.
func plain(s string) bool {
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
func (e *Edge) media(ctx context.Context, x *http1.Exchange) {
	name, rest, ok := cutName(x.Path[len("/s/"):])
	if !ok {
		e.no(x, 404, "want /s/<class>/<title>/<key>/<best>/<start>/<playlist>.m3u8")
		return
	}
	if s := e.table.find(name); s != nil && e.reload(x, s, rest) {
		return
	}
	a, err := e.reloadAsked(name, rest)
	if err != nil {
		e.badAsk(x, err)
		return
	}
	e.serve(ctx, x, a, admission.Reload)
}

// cutName splits class/title/key from what follows.
func cutName(p []byte) (name, rest []byte, ok bool) {
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
func (e *Edge) reload(x *http1.Exchange, s *session, rest []byte) bool {
	i := bytes.LastIndexByte(rest, '/')
	if string(rest[i+1:]) != "media.m3u8" {
		return false
	}
	now := e.now()
	if !startFits(rest[:max(i, 0)], now) {
		return false // and is refused by the slower path
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != admission.Playing {
		return false
	}
	s.seen.Store(int64(now))
	s.grow(e, now)
	x.Status(200)
	x.Header("Content-Type", playlistType)
	x.Header("Cache-Control", "no-store")
	x.Header("Access-Control-Allow-Origin", "*")
	x.Out = s.window.Append(x.Out)
	return true
}

// grow publishes what may be known by now: up to a little ahead of play.
func (s *session) grow(e *Edge, now time.Duration) {
	track := s.source.loaded(s.rung)
	if track == nil {
		return
	}
	play := e.playback.Load()
	ahead := play.Ahead.D()
	each := max(track.Start(1)-track.Start(0), 0.1)
	keep := int(math.Ceil((ahead+play.Behind.D()).Seconds()/each)) + 2
	s.window.Grow(track.At((now - s.origin + ahead).Seconds()), keep)
}

// startFits tells a <best>/<start> of which the start is a time that was, without allocating.
func startFits(p []byte, now time.Duration) bool {
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
	return n <= bound.Latest && bound.Moment(n) <= now+startAhead
}

// startAhead is how far the clock of the edge that wrote a start may be ahead of this one's.
const startAhead = time.Minute

func (e *Edge) reloadAsked(name, rest []byte) (ask, error) {
	parts := strings.Split(string(name), "/")
	tail := strings.Split(string(rest), "/")
	a := ask{name: bytes.Clone(name), class: e.Site.Class(parts[0]), title: parts[1], key: parts[2]}
	if a.class < 0 || len(tail) != 3 || !plain(a.key) {
		return a, fmt.Errorf("no such class, or malformed path")
	}
	class := &e.set.Classes[a.class]
	best, err := strconv.Atoi(tail[0])
	if err != nil || best < class.MinRung || best > class.MaxRung {
		return a, fmt.Errorf("best: no rung of the class")
	}
	start, err := strconv.ParseInt(tail[1], 36, 64)
	if err != nil || !startFits([]byte(tail[1]), e.now()) {
		return a, fmt.Errorf("start: no time, or one to come")
	}
	if _, ok := e.fleet.Load().titles[a.title]; !ok {
		return a, errUnknownTitle
	}
	if n, ok := strings.CutPrefix(strings.TrimSuffix(tail[2], ".m3u8"), "r"); ok {
		if a.track, err = strconv.Atoi(n); err != nil || a.track < 1 {
			return a, fmt.Errorf("no such playlist")
		}
	} else if tail[2] != "media.m3u8" {
		return a, fmt.Errorf("no such playlist")
	}
	a.best, a.patience = best, class.Deadline
	a.position = max(e.now()-bound.Moment(start), 0)
	return a, nil
}

// serve settles a request that is not simply a reload of what plays.
func (e *Edge) serve(ctx context.Context, x *http1.Exchange, a ask, k admission.RequestKind) {
	due := e.now() + a.patience
	if k == admission.Reload && e.reclaiming != nil && e.table.find(a.name) == nil {
		e.awaitReclaim(a.name)
	}
	if turn, after := e.turnAway(); turn && e.table.find(a.name) == nil {
		e.refuse(x, after)
		return
	}
	s := e.table.add(a.name, func(name string) *session {
		return &session{name: name, key: a.key, class: a.class, best: a.best, since: e.now()}
	})
	for {
		s.mu.Lock()
		s.seen.Store(int64(e.now()))
		d := admission.Decide(admission.Session{State: s.state, Moved: s.moved, Since: s.since}, k, e.now(), a.position > 0)
		y := s.try
		switch d.Action {
		case admission.Serve:
			e.write(ctx, x, s, a, k) // unlocks
			return
		case admission.NotFound:
			s.mu.Unlock()
			e.no(x, 410, "this session is over")
			return
		case admission.Defer:
			s.mu.Unlock()
			select {
			case <-y.closed:
				continue
			case <-time.After(due - e.now()):
				e.refuse(x, time.Second)
				return
			}
		case admission.SetUp:
			s.title, s.best = e.fleet.Load().titles[a.title], a.best
			switch {
			case d.Returned && s.position > 0: // where it stood when the server was lost
			case k == admission.Reload:
				s.position = a.position
			default: // from the beginning
				s.position, s.started, s.window = 0, false, hls.Window{}
			}
			var taken bool
			if y, taken = e.ask(s, d, due-e.now()); !taken {
				s.mu.Unlock()
				e.refuse(x, time.Second)
				return
			}
		}
		y.waiting++
		s.mu.Unlock()
		if !e.await(x, s, y, due) {
			return
		}
		if y.answer.Kind != core.Playing {
			e.deny(x, y)
			return
		}
		s.mu.Lock()
		if s.try == y && s.state == admission.Playing {
			e.write(ctx, x, s, a, k)
			return
		}
		s.mu.Unlock() // lost again in this moment
		e.no(x, 502, "the session broke")
		return
	}
}

// awaitReclaim waits, after a restart, for a box to tell of a session.
func (e *Edge) awaitReclaim(name []byte) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for e.table.find(name) == nil {
		select {
		case <-e.reclaiming:
			return
		case <-t.C:
		}
	}
}

// await waits for a try's answer. False if the exchange is settled: the viewer went away, or time ran out.
func (e *Edge) await(x *http1.Exchange, s *session, y *try, due time.Duration) bool {
	gone, stop := x.Watch()
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
	y.waiting--
	leave := !ok && y.waiting == 0 && s.try == y && s.state == admission.Pending
	if leave {
		s.state, s.since = admission.Leaving, e.now()
	}
	s.mu.Unlock()
	if leave {
		e.Log.Info("viewer left", "session", y.id)
		e.owner.ViewerLeft(y.id, y)
	}
	if ok {
		return true
	}
	e.no(x, 504, "no answer in time")
	x.Close = x.Close || left
	return false
}

func (e *Edge) deny(x *http1.Exchange, y *try) {
	if y.answer.Kind == core.Refused {
		e.refuse(x, y.answer.RetryAfter)
		return
	}
	e.no(x, 502, "the session could not be set up")
}

// refuse is 503; the wait advised is in whole seconds (RFC 9110, 10.2.3), and exactly in a field beside it.
func (e *Edge) refuse(x *http1.Exchange, after time.Duration) {
	e.no(x, 503, "no room now")
	if after > 0 {
		x.Header("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
		x.Header("Rainpulley-Retry-After-Ms", strconv.FormatInt(after.Milliseconds(), 10))
	}
}

// write answers with a playlist of a session that plays. It unlocks the session.
func (e *Edge) write(ctx context.Context, x *http1.Exchange, s *session, a ask, k admission.RequestKind) {
	now := e.now()
	if a.track > 0 {
		e.rendition(ctx, x, s, a) // unlocks
		return
	}
	defer s.mu.Unlock()
	x.Status(200)
	cors(x)
	x.Header("Content-Type", playlistType)
	x.Header("Cache-Control", "no-store")
	if k == admission.Reload {
		s.grow(e, now)
		x.Out = s.window.Append(x.Out)
		return
	}
	prefix := "/s/" + s.name + "/" + strconv.Itoa(s.best) + "/" + strconv.FormatInt(s.origin.Milliseconds(), 36) + "/"
	x.Out = s.source.multivariant(s.rung, prefix).Append(x.Out)
}

func (e *Edge) status(x *http1.Exchange) {
	x.Status(200)
	x.Header("Content-Type", "application/json")
	t, v := &e.owner.Stats, e.fleet.Load().view
	x.Out = fmt.Appendf(x.Out, `{"position":%d,"instance":%q,"view":%d,"boxes":%d,"titles":%d,"sessions":%d,"open":%d,`+
		`"requests":%d,"turned_away":%d,"plays":%d,"refused":%d,"failed":%d,"attempts":%d,"further":%d,"overdue":%d,"notes_lost":%d,"holds":%d}`+"\n",
		e.Position, e.boot, v.Version, len(v.Boxes), len(v.Titles), e.table.size.Load(), t.Open.Load(), t.Requests.Load(),
		t.QueueFull.Load(), t.Started.Load(), t.Refused.Load(), t.Failed.Load(), t.Attempts.Load(), t.FurtherAttempts.Load(),
		t.Overdue.Load(), t.NotesDropped.Load(), e.holds.inForce())
}
