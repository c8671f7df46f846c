package edge

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"rainpulley/internal/http1"
	"rainpulley/internal/timeconv"
)

// viewerRequest contains the parsed parameters of a viewer's HTTP request.
type viewerRequest struct {
	sessionName []byte // class/title/key
	class       int
	title       string
	viewerKey   string
	maxRung     int
	patience    time.Duration
	position    time.Duration // playback position, computed from the start time in the URL
	playlist    int           // 0: the playlist of the variant; i > 0: that of its rendition i
}

// parsePlay parses and checks the parameters of a first request. Its errors are sent to the viewer.
func (e *Edge) parsePlay(x *http1.Exchange, title string) (viewerRequest, error) {
	req := viewerRequest{title: title}
	if v := x.QueryParam("class"); v != nil {
		req.class = e.Site.ClassIndex(string(v))
	}
	if req.class < 0 {
		return req, fmt.Errorf("no such class")
	}
	class := &e.settings.Classes[req.class]
	req.maxRung = e.maxUsableRung(req.class, cmcdValue(x, "cmcd-object", "tb"))
	if v := x.QueryParam("best"); v != nil {
		n, err := strconv.Atoi(string(v))
		if err != nil || n < 0 {
			return req, fmt.Errorf("best: no rung")
		}
		req.maxRung = min(n, class.MaxRung)
	}
	if req.maxRung < class.MinRung {
		return req, fmt.Errorf("best: below the floor of the class")
	}
	if _, ok := e.fleet.Load().titles[title]; !ok {
		return req, errUnknownTitle
	}
	req.viewerKey = viewerKey(x)
	if req.viewerKey == "" {
		req.viewerKey = e.nextRequestID()
	}
	if !isURLSafe(req.viewerKey) {
		return req, fmt.Errorf("key: 1 to 64 letters, digits, - . _ ~")
	}
	req.patience = class.Deadline
	if v := x.QueryParam("patience"); v != nil {
		n, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || n <= 0 {
			return req, fmt.Errorf("patience: milliseconds above 0")
		}
		req.patience = min(req.patience, timeconv.Milliseconds(n))
	}
	req.sessionName = []byte(e.Site.Classes[req.class].Name + "/" + title + "/" + req.viewerKey)
	return req, nil
}

// viewerKey returns the key that identifies the viewer: the query parameter, the Rainpulley-Key header, or the CMCD
// session ID (CTA-5004, sid); "" if the request has none.
func viewerKey(x *http1.Exchange) string {
	if v := x.QueryParam("key"); v != nil {
		return string(v)
	}
	if v := x.Get("rainpulley-key"); v != nil {
		return string(v)
	}
	return strings.Trim(cmcdValue(x, "cmcd-session", "sid"), `"`)
}

// cmcdValue returns the value of a CMCD key (CTA-5004) that the player sent in the query or in the given header, or ""
// if it sent none. The query takes precedence.
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

// maxUsableRung returns the highest rung of a class that a player can use whose top bit rate (CMCD tb, in kbit/s) is
// given; the top rung of the class if the rate is missing or malformed.
func (e *Edge) maxUsableRung(class int, topBitRate string) int {
	limits := &e.settings.Classes[class]
	rung := limits.MaxRung
	kbit, err := strconv.ParseFloat(topBitRate, 64)
	if err != nil {
		return rung
	}
	for rung > limits.MinRung && e.settings.Ladder[rung]*limits.RateFactor*8 > kbit {
		rung--
	}
	return rung
}

// unescapeCMCD decodes the percent-encoded characters that CMCD lists use.
func unescapeCMCD(s string) string {
	r := strings.NewReplacer("%2C", ",", "%2c", ",", "%3D", "=", "%3d", "=", "%22", `"`, "%20", " ")
	return r.Replace(s)
}

// isURLSafe reports whether s has 1 to 64 unreserved characters and is not a dot segment, so that it can be used in a
// path or a query without escaping.
func isURLSafe(s string) bool {
	if s == "" || len(s) > 64 || s == "." || s == ".." {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c == '-' || c == '.' || c == '_' || c == '~') {
			return false
		}
	}
	return true
}

// cutSessionName splits a path into the session name, class/title/key, and the rest after the next slash.
func cutSessionName(path []byte) (name, rest []byte, ok bool) {
	slashes := 0
	for i, c := range path {
		if c == '/' {
			if slashes++; slashes == 3 {
				return path[:i], path[i+1:], true
			}
		}
	}
	return nil, nil, false
}

// isPastStart reports whether the start in <best>/<start> is a valid time that is not in the future, except for
// maxClockSkew. It does not allocate.
func isPastStart(path []byte, now time.Duration) bool {
	start := path[bytes.LastIndexByte(path, '/')+1:]
	if len(start) == 0 || len(start) > 12 { // longer ones exceed MaxUnixMilli and could overflow n
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

// maxClockSkew is how far the clock of the edge that wrote a start time may be ahead of the clock of this edge.
const maxClockSkew = time.Minute

// parseReload parses and checks the path of a reload. Its errors are sent to the viewer.
func (e *Edge) parseReload(name, rest []byte) (viewerRequest, error) {
	nameParts := strings.Split(string(name), "/")
	restParts := strings.Split(string(rest), "/")
	req := viewerRequest{sessionName: bytes.Clone(name), class: e.Site.ClassIndex(nameParts[0]), title: nameParts[1],
		viewerKey: nameParts[2]}
	if req.class < 0 || len(restParts) != 3 || !isURLSafe(req.viewerKey) {
		return req, fmt.Errorf("no such class, or malformed path")
	}
	class := &e.settings.Classes[req.class]
	best, err := strconv.Atoi(restParts[0])
	if err != nil || best < class.MinRung || best > class.MaxRung {
		return req, fmt.Errorf("best: no rung of the class")
	}
	start, err := strconv.ParseInt(restParts[1], 36, 64)
	if err != nil || !isPastStart([]byte(restParts[1]), e.now()) {
		return req, fmt.Errorf("start: no time, or one to come")
	}
	if _, ok := e.fleet.Load().titles[req.title]; !ok {
		return req, errUnknownTitle
	}
	if n, ok := strings.CutPrefix(strings.TrimSuffix(restParts[2], ".m3u8"), "r"); ok {
		if req.playlist, err = strconv.Atoi(n); err != nil || req.playlist < 1 {
			return req, fmt.Errorf("no such playlist")
		}
	} else if restParts[2] != "media.m3u8" {
		return req, fmt.Errorf("no such playlist")
	}
	req.maxRung, req.patience = best, class.Deadline
	req.position = max(e.now()-timeconv.UnixMilli(start), 0)
	return req, nil
}
