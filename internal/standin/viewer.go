package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
	"rainpulley/internal/regret"
)

// Viewer is one stand-in viewer: it asks, plays, retries and gives up.
type Viewer struct {
	Site          *config.Site
	Log           *audit.Log
	Key           string
	Title         string
	Class         int
	BestRung      int
	Edges         []string // those of its zone, the preferred one first
	EdgePositions []int    // of each of Edges
	SessionLength time.Duration
	Retries       int           // after a refusal, a failure or a break
	GiveUpAfter   time.Duration // gives a request up after so long; 0: the class's deadline
	Rand          *rand.Rand

	RefusalCause func(title string, class, edge int) regret.Cause // of a refusal, in truth; nil: not asked
}

// Report is what a viewer saw.
type ViewerReport struct {
	Class          int
	Outcome        string // "played", "late", "refused", "failed"
	WorthAsked     float64
	WorthDelivered float64
	FirstPlaylist  time.Duration // from the first request to the first media playlist; 0: never
	Requests       int
	Refusals       int
	Failures       int
	Breaks         int
	Segments       int
	Stalled        time.Duration
	PlayerErrors   []string // what a player could not follow
	Account        regret.SessionAccount
}

var requestCount atomic.Int64

// seconds of worth at a rung
func (v *Viewer) rungWorth(rung int) float64 {
	return v.Site.Classes[v.Class].Worth * v.Site.Ladder[rung].Worth
}

// Run goes through the whole session.
func (v *Viewer) Run(ctx context.Context) (rep ViewerReport) {
	begin := time.Now()
	end := begin.Add(v.SessionLength)
	rep = ViewerReport{Class: v.Class, WorthAsked: v.SessionLength.Seconds() * v.rungWorth(v.BestRung)}
	rep.Account = regret.SessionAccount{BestRung: v.BestRung, WaitedSeconds: map[regret.Cause]float64{}}
	for rung := range v.Site.Ladder {
		rep.Account.WorthPerSecond = append(rep.Account.WorthPerSecond, v.rungWorth(rung))
	}
	defer func() { rep.Account.WorthAsked, rep.Account.WorthDelivered = rep.WorthAsked, rep.WorthDelivered }()
	without, why := begin, regret.LateStart // no session since, and for what cause
	waited := func(until time.Time) {
		if until = minTime(until, end); until.After(without) {
			rep.Account.WaitedSeconds[why] += until.Sub(without).Seconds()
			without = until
		}
	}
	defer func() { waited(end) }() // one that gave up is without a session to the end, for the same cause
	last := "failed"
	for try := 0; try <= v.Retries && ctx.Err() == nil && time.Now().Before(end); try++ {
		edge := try % len(v.Edges)
		rep.Requests++
		status, body, wait := v.request(ctx, edge)
		if status == 200 {
			if rep.Outcome == "" {
				if rep.Outcome = "played"; time.Since(begin) > v.Site.Classes[v.Class].Aim.D() {
					rep.Outcome = "late"
				}
			}
			waited(time.Now())
			if done := v.play(ctx, v.Edges[edge], body, begin, end, &rep); done {
				without = end
				return rep
			}
			without, why = time.Now(), regret.Interrupted
			rep.Breaks++
		} else if last = "failed"; status == 503 {
			last = "refused"
			rep.Refusals++
			if v.RefusalCause != nil {
				waited(time.Now())
				why = v.RefusalCause(v.Title, v.Class, v.EdgePositions[edge])
			}
		} else {
			rep.Failures++
			waited(time.Now())
			why = regret.Interrupted
		}
		if wait == 0 {
			wait = time.Duration(200+v.Rand.IntN(600)) * time.Millisecond
		}
		sleep(ctx, wait)
	}
	if rep.Outcome == "" {
		rep.Outcome = last
	}
	return rep
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask sends one request for the session on a connection of its own, and sees to it that one answer
// comes and nothing after it.
func (v *Viewer) request(ctx context.Context, edge int) (status int, body string, wait time.Duration) {
	class := v.Site.Classes[v.Class]
	deadline := class.Deadline.D()
	id := "v" + strconv.FormatInt(requestCount.Add(1), 10)
	conn, err := net.DialTimeout("tcp", v.Edges[edge], 500*time.Millisecond)
	if err != nil {
		return 0, "", 0 // nothing was asked
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	e := audit.Entry{Observer: "viewer", Subject: v.Key, Viewer: v.Key, Session: id, Edge: strconv.Itoa(v.EdgePositions[edge]), Title: v.Title,
		Class: class.Name, Value: deadline.Seconds()}
	add := func(what string, code int) {
		e.Event, e.Status = what, code
		v.Log.Add(e)
	}
	q := url.Values{"class": {class.Name}, "best": {strconv.Itoa(v.BestRung)}, "key": {v.Key}}
	add(audit.RequestSent, 0)
	fmt.Fprintf(conn, "GET /play/%s/index.m3u8?%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", v.Title, q.Encode(), v.Edges[edge])
	patience := deadline + 2*time.Second
	if v.GiveUpAfter > 0 {
		patience = v.GiveUpAfter
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	r := bufio.NewReader(conn)
	p, err := http.ReadResponse(r, nil)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(p.Body)
	}
	if err != nil {
		var late net.Error
		if what := audit.Unanswered; errors.As(err, &late) && late.Timeout() || ctx.Err() != nil {
			add(audit.ViewerGaveUp, 0)
		} else {
			add(what, 0)
		}
		return 0, "", 0
	}
	add(audit.AnswerReceived, p.StatusCode)
	if _, err := r.ReadByte(); err == nil {
		add(audit.ExtraBytes, 0)
	}
	if ms, err := strconv.Atoi(p.Header.Get("Rainpulley-Retry-After-Ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	return p.StatusCode, string(text), wait
}

// player follows one media playlist as RFC 8216, 6.3 asks of clients.
type player struct {
	client        *http.Client
	nextSequence  uint64 // next media sequence number wanted
	started       bool
	bufferedUntil time.Time // what was fetched plays until then
	lastContent   int       // last segment of the content that was fetched
	failures      int
	lastRung      int // of the last segment; -1: none
}

// play plays until the session's time is over (true), or it breaks (false).
func (v *Viewer) play(ctx context.Context, edge, manifest string, begin, end time.Time, rep *ViewerReport) bool {
	uri := ""
	for _, l := range strings.Split(manifest, "\n") {
		if l != "" && l[0] != '#' {
			uri = l
		}
	}
	if uri == "" {
		rep.PlayerErrors = append(rep.PlayerErrors, "manifest without a variant")
		return false
	}
	t := &http.Transport{}
	defer t.CloseIdleConnections()
	p := &player{client: &http.Client{Transport: t, Timeout: v.Site.Classes[v.Class].Deadline.D() + time.Second}, lastContent: -1, bufferedUntil: time.Now(), lastRung: -1}
	for time.Now().Before(end) && ctx.Err() == nil {
		code, text := v.reload(ctx, p, edge, uri)
		if code != 200 {
			if p.failures++; code == 404 || code == 410 || p.failures > 2 {
				return ctx.Err() != nil
			}
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		if rep.FirstPlaylist == 0 {
			rep.FirstPlaylist = time.Since(begin)
		}
		list, err := parsePlaylist(text)
		if err != nil {
			rep.PlayerErrors = append(rep.PlayerErrors, err.Error())
			return false
		}
		fetched := v.fetchSegments(ctx, p, list, end, rep)
		if list.ended && p.nextSequence >= list.firstSequence+uint64(len(list.uris)) {
			sleep(ctx, time.Until(minTime(end, p.bufferedUntil)))
			return true
		}
		if !fetched { // RFC 8216, 6.3.4: half the target duration after no change
			sleep(ctx, 400*time.Millisecond)
		} else if ahead := time.Until(p.bufferedUntil); ahead > time.Second {
			sleep(ctx, ahead-time.Second)
		}
	}
	return true
}

// reload asks for the media playlist, and logs it for the audit as any request: one that waits for a new
// set-up has its time too.
func (v *Viewer) reload(ctx context.Context, p *player, edge, uri string) (int, string) {
	class := v.Site.Classes[v.Class]
	e := audit.Entry{Observer: "viewer", Subject: v.Key, Viewer: v.Key, Session: "r" + strconv.FormatInt(requestCount.Add(1), 10), Title: v.Title,
		Class: class.Name, Value: class.Deadline.D().Seconds(), Text: audit.PlaylistReload}
	for i, a := range v.Edges {
		if a == edge {
			e.Edge = strconv.Itoa(v.EdgePositions[i])
		}
	}
	e.Event = audit.RequestSent
	v.Log.Add(e)
	code, text, err := p.getURL(ctx, "http://"+edge+uri)
	var late net.Error
	switch e.Status = code; {
	case err == nil:
		e.Event = audit.AnswerReceived
	case errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || errors.As(err, &late) && late.Timeout():
		e.Event = audit.ViewerGaveUp // nobody listens, or it hangs up: the time tells whether an answer was owed
	default:
		e.Event = audit.Unanswered
	}
	v.Log.Add(e)
	return code, text
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fetch takes the segments that are new, and earns for those that play in time.
func (v *Viewer) fetchSegments(ctx context.Context, p *player, l playlist, end time.Time, rep *ViewerReport) (any bool) {
	if !p.started {
		p.nextSequence, p.started = l.firstSequence, true
	}
	if p.nextSequence < l.firstSequence { // segments fell out before they were fetched
		p.nextSequence = l.firstSequence
	}
	for p.nextSequence < l.firstSequence+uint64(len(l.uris)) && ctx.Err() == nil && time.Now().Before(end) {
		i := int(p.nextSequence - l.firstSequence)
		code, _ := p.getSegment(ctx, l.uris[i])
		if code != 200 {
			p.failures++
			return any && p.failures < 2
		}
		p.failures, any = 0, true
		p.nextSequence++
		rung, content := parseSegmentURI(l.uris[i])
		if content <= p.lastContent {
			continue // published again after a move: seen already
		}
		p.lastContent = content
		now := time.Now()
		if p.bufferedUntil.Before(now) {
			rep.Stalled += now.Sub(p.bufferedUntil)
			if from := minTime(p.bufferedUntil, end); now.After(from) {
				rep.Account.StalledSeconds += minTime(now, end).Sub(from).Seconds()
			}
			p.bufferedUntil = now
		}
		from := p.bufferedUntil
		p.bufferedUntil = p.bufferedUntil.Add(time.Duration(l.durations[i] * float64(time.Second)))
		rep.Segments++
		if from.Before(end) {
			secs := minTime(p.bufferedUntil, end).Sub(from).Seconds()
			rep.WorthDelivered += secs * v.rungWorth(rung)
			if p.lastRung >= 0 && rung != p.lastRung { // a change costs the viewer so much of what it then plays
				cost := v.Site.Notes.SwitchCost.D().Seconds() * v.rungWorth(rung)
				rep.WorthDelivered -= cost
				rep.Account.RungChangeCost += cost
			}
			if n := len(rep.Account.PlayedSpans); n > 0 && rung == p.lastRung {
				rep.Account.PlayedSpans[n-1].Seconds += secs
			} else {
				rep.Account.PlayedSpans = append(rep.Account.PlayedSpans, regret.PlayedSpan{Rung: rung, Seconds: secs})
			}
			p.lastRung = rung
		}
	}
	return any
}

// place reads rung and number out of a segment's URI.
func parseSegmentURI(uri string) (rung, n int) {
	u, _, _ := strings.Cut(uri, "?")
	parts := strings.Split(u, "/")
	if len(parts) < 2 {
		return 0, 0
	}
	rung, _ = strconv.Atoi(strings.TrimPrefix(parts[len(parts)-2], "r"))
	n, _ = strconv.Atoi(strings.TrimSuffix(parts[len(parts)-1], ".aac"))
	return rung, n
}

func (p *player) getSegment(ctx context.Context, uri string) (int, string) {
	code, text, _ := p.getURL(ctx, uri)
	return code, text
}

func (p *player) getURL(ctx context.Context, uri string) (int, string, error) {
	q, err := http.NewRequestWithContext(ctx, "GET", uri, nil)
	if err != nil {
		return 0, "", err
	}
	r, err := p.client.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err != nil {
		return 0, "", err
	}
	return r.StatusCode, string(b), nil
}

// list is a media playlist as this viewer reads it, with no code of the front's.
type playlist struct {
	firstSequence uint64
	uris          []string
	durations     []float64
	ended         bool
}

func parsePlaylist(text string) (l playlist, err error) {
	if !strings.HasPrefix(text, "#EXTM3U\n") || !strings.Contains(text, "#EXT-X-TARGETDURATION:") {
		return l, errors.New("no media playlist")
	}
	for _, line := range strings.Split(text, "\n") {
		switch {
		case strings.HasPrefix(line, "#EXT-X-MEDIA-SEQUENCE:"):
			l.firstSequence, err = strconv.ParseUint(line[len("#EXT-X-MEDIA-SEQUENCE:"):], 10, 64)
		case strings.HasPrefix(line, "#EXTINF:"):
			d, _, _ := strings.Cut(line[len("#EXTINF:"):], ",")
			var n float64
			n, err = strconv.ParseFloat(d, 64)
			l.durations = append(l.durations, n)
		case line == "#EXT-X-ENDLIST":
			l.ended = true
		case line != "" && line[0] != '#':
			l.uris = append(l.uris, line)
		}
		if err != nil {
			return l, err
		}
	}
	if len(l.uris) != len(l.durations) {
		return l, errors.New("segments and durations differ in number")
	}
	return l, nil
}
