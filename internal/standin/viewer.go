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

// Viewer is one stand-in viewer, which requests a session, plays it, retries after failures and may give up.
type Viewer struct {
	Site          *config.Site
	Log           *audit.Log
	Key           string
	Title         string
	Class         int
	BestRung      int
	Edges         []string // addresses of the edges of its zone, the preferred one first
	EdgePositions []int    // position of each of Edges in the site
	SessionLength time.Duration
	Retries       int           // maximum number of retries after a refusal, a failure or an interruption
	GiveUpAfter   time.Duration // timeout of a request; 0: the class's deadline and 2 s more
	Rand          *rand.Rand

	// RefusalCause returns the cause of a refusal from the actual state of the boxes. It may be nil.
	RefusalCause func(title string, class, edge int) regret.Cause
}

// ViewerReport is the result of one viewer's session.
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
	PlayerErrors   []string // errors in manifests and playlists
	Account        regret.SessionAccount
}

// requestCount numbers the requests of all viewers, to give each a unique ID in the audit log.
var requestCount atomic.Int64

// rungWorth returns the worth of one second of playback at a rung.
func (v *Viewer) rungWorth(rung int) float64 {
	return v.Site.Classes[v.Class].Worth * v.Site.Ladder[rung].Worth
}

// Run plays the whole session, with retries, and returns when it is over or the viewer gives up.
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
	withoutSince, cause := begin, regret.LateStart // start and cause of the current time without a session
	addWait := func(until time.Time) {
		if until = minTime(until, end); until.After(withoutSince) {
			report.Account.WaitedSeconds[cause] += until.Sub(withoutSince).Seconds()
			withoutSince = until
		}
	}
	defer func() { addWait(end) }() // a viewer that gave up has no session until the end, for the same cause
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

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// request sends one session request on a new connection. It logs the outcome for the audit, including bytes
// that follow the answer.
func (v *Viewer) request(ctx context.Context, edge int) (status int, body string, retryAfter time.Duration) {
	class := v.Site.Classes[v.Class]
	deadline := class.Deadline.Std()
	id := "v" + strconv.FormatInt(requestCount.Add(1), 10)
	conn, err := net.DialTimeout("tcp", v.Edges[edge], 500*time.Millisecond)
	if err != nil {
		return 0, "", 0 // no request was sent
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	e := audit.Entry{Observer: "viewer", Subject: v.Key, Viewer: v.Key, Session: id,
		Edge: strconv.Itoa(v.EdgePositions[edge]), Title: v.Title, Class: class.Name, Value: deadline.Seconds()}
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

// player follows one media playlist as RFC 8216, section 6.3, requires of clients.
type player struct {
	client        *http.Client
	nextSequence  uint64    // media sequence number of the next segment to fetch
	started       bool      // nextSequence is set
	bufferedUntil time.Time // end of playback of the fetched segments
	lastContent   int       // number of the last segment within the title that was fetched
	failures      int       // failed requests since the last fetched segment
	lastRung      int       // rung of the last segment; -1: none
}

// play plays the session. It returns true at the end of the session, and false if playback fails.
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
	p := &player{client: &http.Client{Transport: transport, Timeout: v.Site.Classes[v.Class].Deadline.Std() + time.Second},
		lastContent: -1, bufferedUntil: time.Now(), lastRung: -1}
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
		if !fetched { // RFC 8216, section 6.3.4: half the target duration if the playlist did not change
			sleep(ctx, 400*time.Millisecond)
		} else if buffered := time.Until(p.bufferedUntil); buffered > time.Second {
			sleep(ctx, buffered-time.Second)
		}
	}
	return true
}

// reload requests the media playlist and logs the request for the audit like a session request: a reload that
// waits for a new set-up has a deadline too.
func (v *Viewer) reload(ctx context.Context, p *player, edge, uri string) (int, string) {
	class := v.Site.Classes[v.Class]
	e := audit.Entry{Observer: "viewer", Subject: v.Key, Viewer: v.Key,
		Session: "r" + strconv.FormatInt(requestCount.Add(1), 10), Title: v.Title, Class: class.Name,
		Value: class.Deadline.Std().Seconds(), Text: audit.PlaylistReload}
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
		// No listener, or the viewer disconnected: the audit judges by the time whether an answer was due.
		e.Event = audit.ViewerGaveUp
	default:
		e.Event = audit.Unanswered
	}
	v.Log.Add(e)
	return code, text
}

// minTime returns the earlier of two times.
func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fetchSegments fetches the new segments of a media playlist, and counts the worth of those that play before end.
// It reports whether any was fetched.
func (v *Viewer) fetchSegments(ctx context.Context, p *player, media playlist, end time.Time,
	report *ViewerReport) (fetched bool) {
	if !p.started {
		p.nextSequence, p.started = media.firstSequence, true
	}
	if p.nextSequence < media.firstSequence { // segments left the playlist before they were fetched
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
			continue // already fetched: published again after the session moved to another box
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
			if p.lastRung >= 0 && rung != p.lastRung { // costs SwitchCost seconds at the worth of the new rung
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

// parseSegmentURI returns the rung and the segment number in a segment's URI.
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

// getSegment is getURL without the error: its status is 0 if the request failed.
func (p *player) getSegment(ctx context.Context, uri string) (int, string) {
	code, text, _ := p.getURL(ctx, uri)
	return code, text
}

// getURL returns the status and body of a GET request.
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

// playlist is a media playlist. The viewer parses it without the edge's code, so it is an independent check.
type playlist struct {
	firstSequence uint64
	uris          []string
	durations     []float64
	ended         bool
}

// parsePlaylist parses a media playlist.
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
