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
func (v *Viewer) Run(ctx context.Context) (report ViewerReport) {
	begin := time.Now()
	end := begin.Add(v.SessionLength)
	report = ViewerReport{Class: v.Class, WorthAsked: v.SessionLength.Seconds() * v.rungWorth(v.BestRung)}
	report.Account = regret.SessionAccount{BestRung: v.BestRung, WaitedSeconds: map[regret.Cause]float64{}}
	for rung := range v.Site.Ladder {
		report.Account.WorthPerSecond = append(report.Account.WorthPerSecond, v.rungWorth(rung))
	}
	defer func() {
		report.Account.WorthAsked, report.Account.WorthDelivered = report.WorthAsked, report.WorthDelivered
	}()
	withoutSince, cause := begin, regret.LateStart // no session since, and for what cause
	addWait := func(until time.Time) {
		if until = minTime(until, end); until.After(withoutSince) {
			report.Account.WaitedSeconds[cause] += until.Sub(withoutSince).Seconds()
			withoutSince = until
		}
	}
	defer func() { addWait(end) }() // one that gave up is without a session to the end, for the same cause
	lastOutcome := "failed"
	for attempt := 0; attempt <= v.Retries && ctx.Err() == nil && time.Now().Before(end); attempt++ {
		edge := attempt % len(v.Edges)
		report.Requests++
		status, body, retryAfter := v.request(ctx, edge)
		if status == 200 {
			if report.Outcome == "" {
				if report.Outcome = "played"; time.Since(begin) > v.Site.Classes[v.Class].Aim.Std() {
					report.Outcome = "late"
				}
			}
			addWait(time.Now())
			if finished := v.play(ctx, v.Edges[edge], body, begin, end, &report); finished {
				withoutSince = end
				return report
			}
			withoutSince, cause = time.Now(), regret.Interrupted
			report.Breaks++
		} else if lastOutcome = "failed"; status == 503 {
			lastOutcome = "refused"
			report.Refusals++
			if v.RefusalCause != nil {
				addWait(time.Now())
				cause = v.RefusalCause(v.Title, v.Class, v.EdgePositions[edge])
			}
		} else {
			report.Failures++
			addWait(time.Now())
			cause = regret.Interrupted
		}
		if retryAfter == 0 {
			retryAfter = time.Duration(200+v.Rand.IntN(600)) * time.Millisecond
		}
		sleep(ctx, retryAfter)
	}
	if report.Outcome == "" {
		report.Outcome = lastOutcome
	}
	return report
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask sends one request for the session on a connection of its own, and sees to it that one answer
// comes and nothing after it.
func (v *Viewer) request(ctx context.Context, edge int) (status int, body string, retryAfter time.Duration) {
	class := v.Site.Classes[v.Class]
	deadline := class.Deadline.Std()
	id := "v" + strconv.FormatInt(requestCount.Add(1), 10)
	conn, err := net.DialTimeout("tcp", v.Edges[edge], 500*time.Millisecond)
	if err != nil {
		return 0, "", 0 // nothing was asked
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	e := audit.Entry{Observer: "viewer", Subject: v.Key, Viewer: v.Key, Session: id, Edge: strconv.Itoa(v.EdgePositions[edge]), Title: v.Title,
		Class: class.Name, Value: deadline.Seconds()}
	logEvent := func(event string, code int) {
		e.Event, e.Status = event, code
		v.Log.Add(e)
	}
	q := url.Values{"class": {class.Name}, "best": {strconv.Itoa(v.BestRung)}, "key": {v.Key}}
	logEvent(audit.RequestSent, 0)
	fmt.Fprintf(conn, "GET /play/%s/index.m3u8?%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", v.Title, q.Encode(), v.Edges[edge])
	timeout := deadline + 2*time.Second
	if v.GiveUpAfter > 0 {
		timeout = v.GiveUpAfter
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		var timeoutErr net.Error
		if event := audit.Unanswered; errors.As(err, &timeoutErr) && timeoutErr.Timeout() || ctx.Err() != nil {
			logEvent(audit.ViewerGaveUp, 0)
		} else {
			logEvent(event, 0)
		}
		return 0, "", 0
	}
	logEvent(audit.AnswerReceived, resp.StatusCode)
	if _, err := r.ReadByte(); err == nil {
		logEvent(audit.ExtraBytes, 0)
	}
	if ms, err := strconv.Atoi(resp.Header.Get("Rainpulley-Retry-After-Ms")); err == nil {
		retryAfter = time.Duration(ms) * time.Millisecond
	}
	return resp.StatusCode, string(text), retryAfter
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
func (v *Viewer) play(ctx context.Context, edge, manifest string, begin, end time.Time, report *ViewerReport) bool {
	uri := ""
	for _, l := range strings.Split(manifest, "\n") {
		if l != "" && l[0] != '#' {
			uri = l
		}
	}
	if uri == "" {
		report.PlayerErrors = append(report.PlayerErrors, "manifest without a variant")
		return false
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	p := &player{client: &http.Client{Transport: transport, Timeout: v.Site.Classes[v.Class].Deadline.Std() + time.Second}, lastContent: -1, bufferedUntil: time.Now(), lastRung: -1}
	for time.Now().Before(end) && ctx.Err() == nil {
		code, text := v.reload(ctx, p, edge, uri)
		if code != 200 {
			if p.failures++; code == 404 || code == 410 || p.failures > 2 {
				return ctx.Err() != nil
			}
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		if report.FirstPlaylist == 0 {
			report.FirstPlaylist = time.Since(begin)
		}
		media, err := parsePlaylist(text)
		if err != nil {
			report.PlayerErrors = append(report.PlayerErrors, err.Error())
			return false
		}
		fetched := v.fetchSegments(ctx, p, media, end, report)
		if media.ended && p.nextSequence >= media.firstSequence+uint64(len(media.uris)) {
			sleep(ctx, time.Until(minTime(end, p.bufferedUntil)))
			return true
		}
		if !fetched { // RFC 8216, 6.3.4: half the target duration after no change
			sleep(ctx, 400*time.Millisecond)
		} else if buffered := time.Until(p.bufferedUntil); buffered > time.Second {
			sleep(ctx, buffered-time.Second)
		}
	}
	return true
}

// reload asks for the media playlist, and logs it for the audit as any request: one that waits for a new
// set-up has its time too.
func (v *Viewer) reload(ctx context.Context, p *player, edge, uri string) (int, string) {
	class := v.Site.Classes[v.Class]
	e := audit.Entry{Observer: "viewer", Subject: v.Key, Viewer: v.Key, Session: "r" + strconv.FormatInt(requestCount.Add(1), 10), Title: v.Title,
		Class: class.Name, Value: class.Deadline.Std().Seconds(), Text: audit.PlaylistReload}
	for i, a := range v.Edges {
		if a == edge {
			e.Edge = strconv.Itoa(v.EdgePositions[i])
		}
	}
	e.Event = audit.RequestSent
	v.Log.Add(e)
	code, text, err := p.getURL(ctx, "http://"+edge+uri)
	var timeoutErr net.Error
	switch e.Status = code; {
	case err == nil:
		e.Event = audit.AnswerReceived
	case errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || errors.As(err, &timeoutErr) && timeoutErr.Timeout():
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
func (v *Viewer) fetchSegments(ctx context.Context, p *player, media playlist, end time.Time, report *ViewerReport) (fetched bool) {
	if !p.started {
		p.nextSequence, p.started = media.firstSequence, true
	}
	if p.nextSequence < media.firstSequence { // segments fell out before they were fetched
		p.nextSequence = media.firstSequence
	}
	for p.nextSequence < media.firstSequence+uint64(len(media.uris)) && ctx.Err() == nil && time.Now().Before(end) {
		i := int(p.nextSequence - media.firstSequence)
		code, _ := p.getSegment(ctx, media.uris[i])
		if code != 200 {
			p.failures++
			return fetched && p.failures < 2
		}
		p.failures, fetched = 0, true
		p.nextSequence++
		rung, content := parseSegmentURI(media.uris[i])
		if content <= p.lastContent {
			continue // published again after a move: seen already
		}
		p.lastContent = content
		now := time.Now()
		if p.bufferedUntil.Before(now) {
			report.Stalled += now.Sub(p.bufferedUntil)
			if from := minTime(p.bufferedUntil, end); now.After(from) {
				report.Account.StalledSeconds += minTime(now, end).Sub(from).Seconds()
			}
			p.bufferedUntil = now
		}
		from := p.bufferedUntil
		p.bufferedUntil = p.bufferedUntil.Add(time.Duration(media.durations[i] * float64(time.Second)))
		report.Segments++
		if from.Before(end) {
			seconds := minTime(p.bufferedUntil, end).Sub(from).Seconds()
			report.WorthDelivered += seconds * v.rungWorth(rung)
			if p.lastRung >= 0 && rung != p.lastRung { // a change costs the viewer so much of what it then plays
				cost := v.Site.Notes.SwitchCost.Std().Seconds() * v.rungWorth(rung)
				report.WorthDelivered -= cost
				report.Account.RungChangeCost += cost
			}
			if n := len(report.Account.PlayedSpans); n > 0 && rung == p.lastRung {
				report.Account.PlayedSpans[n-1].Seconds += seconds
			} else {
				report.Account.PlayedSpans = append(report.Account.PlayedSpans, regret.PlayedSpan{Rung: rung, Seconds: seconds})
			}
			p.lastRung = rung
		}
	}
	return fetched
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
	req, err := http.NewRequestWithContext(ctx, "GET", uri, nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(body), nil
}

// list is a media playlist as this viewer reads it, with no code of the front's.
type playlist struct {
	firstSequence uint64
	uris          []string
	durations     []float64
	ended         bool
}

func parsePlaylist(text string) (media playlist, err error) {
	if !strings.HasPrefix(text, "#EXTM3U\n") || !strings.Contains(text, "#EXT-X-TARGETDURATION:") {
		return media, errors.New("no media playlist")
	}
	for _, line := range strings.Split(text, "\n") {
		switch {
		case strings.HasPrefix(line, "#EXT-X-MEDIA-SEQUENCE:"):
			media.firstSequence, err = strconv.ParseUint(line[len("#EXT-X-MEDIA-SEQUENCE:"):], 10, 64)
		case strings.HasPrefix(line, "#EXTINF:"):
			d, _, _ := strings.Cut(line[len("#EXTINF:"):], ",")
			var n float64
			n, err = strconv.ParseFloat(d, 64)
			media.durations = append(media.durations, n)
		case line == "#EXT-X-ENDLIST":
			media.ended = true
		case line != "" && line[0] != '#':
			media.uris = append(media.uris, line)
		}
		if err != nil {
			return media, err
		}
	}
	if len(media.uris) != len(media.durations) {
		return media, errors.New("segments and durations differ in number")
	}
	return media, nil
}
