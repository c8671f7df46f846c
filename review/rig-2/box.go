package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// box is a stand-in clip box, by the requests that docs/operate.md and docs/mapping.md say a box supports. It is sound: it
// answers at once what it can answer.
type box struct {
	rig        *rig
	addr, zone string
	cell       int
	setUpTime  time.Duration

	mu       sync.Mutex
	boot     string
	started  time.Time
	sessions map[string]*boxSession
	streams  map[string]*boxStream
	titles   map[string]bool // whole ones
	pending  map[string]int  // set-ups in progress, by title
	size     float64         // kB of a title
	version  uint64
	epoch    uint64
	setUps   []setUpSeen
}

type boxSession struct {
	edge, title, class, viewer string
	rung, best                 int
	since                      time.Time
}

type boxStream struct{ closedAt time.Time }

type setUpSeen struct {
	at    time.Time
	id    string
	title string
}

// ladder is the number of rungs of the site's ladder.
const ladder = 3

func startBox(r *rig, cell int, zone string, titles []string) *box {
	b := &box{rig: r, zone: zone, cell: cell, setUpTime: 20 * time.Millisecond, boot: "b" + strconv.Itoa(cell), started: time.Now().Add(-time.Hour),
		sessions: map[string]*boxSession{}, streams: map[string]*boxStream{}, titles: map[string]bool{}, pending: map[string]int{}, size: 60000}
	for _, t := range titles {
		b.titles[t] = true
	}
	ln := listen()
	b.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sessions/{id}", b.setUp)
	mux.HandleFunc("PUT /sessions/{id}", b.setRung)
	mux.HandleFunc("DELETE /sessions/{id}", b.release)
	mux.HandleFunc("GET /events", b.events)
	mux.HandleFunc("GET /health", b.health)
	mux.HandleFunc("GET /titles", b.listTitles)
	mux.HandleFunc("PUT /titles/{title}", b.fetch)
	mux.HandleFunc("DELETE /titles/{title}", b.drop)
	mux.HandleFunc("GET /titles/{title}/data", b.data)
	mux.HandleFunc("GET /t/{title}/{file}", b.manifest)
	mux.HandleFunc("GET /t/{title}/{rung}/{file}", b.media)
	go func() { _ = http.Serve(ln, mux) }()
	go b.endLostEdges()
	return b
}

func (b *box) has(title string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.titles[title]
}

func (b *box) load(w http.ResponseWriter) {
	w.Header().Set("CMSD-Dynamic", fmt.Sprintf(`"box";example.rainpulley-streams=%d;example.rainpulley-link=%.4f`,
		len(b.sessions), float64(len(b.sessions))*0.01))
}

func (b *box) setUp(w http.ResponseWriter, r *http.Request) {
	id, q := r.PathValue("id"), r.URL.Query()
	b.mu.Lock()
	b.setUps = append(b.setUps, setUpSeen{time.Now(), id, q.Get("title")})
	has := b.titles[q.Get("title")]
	if has {
		b.pending[q.Get("title")]++
	}
	b.load(w)
	b.mu.Unlock()
	b.rig.note("box got a set-up", "box", b.addr, "session", id, "title", q.Get("title"), "class", q.Get("class"), "viewer", q.Get("viewer"),
		"attempt", q.Get("attempt"), "edge", q.Get("edge"))
	if !has {
		w.Header().Set("Rainpulley-Reason", "no such title")
		http.Error(w, "no such title", 503)
		b.rig.note("box refused a set-up", "box", b.addr, "session", id, "why", "no such title")
		return
	}
	time.Sleep(b.setUpTime)
	s := &boxSession{edge: q.Get("edge"), title: q.Get("title"), class: q.Get("class"), viewer: q.Get("viewer"), since: time.Now()}
	s.rung, _ = strconv.Atoi(q.Get("rung"))
	s.best, _ = strconv.Atoi(q.Get("best"))
	b.mu.Lock()
	b.sessions[id] = s
	b.pending[s.title]--
	b.mu.Unlock()
	b.rig.note("box runs a session", "box", b.addr, "session", id)
	w.Header().Set("Content-Location", "/t/"+s.title+"/index.m3u8")
	w.Header().Set("Content-Type", "application/vnd.apple.mpegurl")
	w.WriteHeader(201)
	writeManifest(w)
}

func writeManifest(w http.ResponseWriter) {
	fmt.Fprint(w, "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-INDEPENDENT-SEGMENTS\n")
	for i := range ladder {
		fmt.Fprintf(w, "#EXT-X-STREAM-INF:BANDWIDTH=%d,CODECS=\"mp4a.40.2\"\nr%d/media.m3u8\n", 2000000*(i+1), i)
	}
}

func (b *box) manifest(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("file") != "index.m3u8" || !b.has(r.PathValue("title")) {
		http.NotFound(w, r)
		return
	}
	writeManifest(w)
}

func (b *box) media(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("file") != "media.m3u8" || !b.has(r.PathValue("title")) {
		http.NotFound(w, r)
		return
	}
	fmt.Fprint(w, "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:0\n#EXT-X-PLAYLIST-TYPE:VOD\n")
	for i := range 60 {
		fmt.Fprintf(w, "#EXTINF:1.000,\n%d.aac\n", i)
	}
	fmt.Fprint(w, "#EXT-X-ENDLIST\n")
}

func (b *box) setRung(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.sessions[r.PathValue("id")]; s != nil {
		s.rung, _ = strconv.Atoi(r.URL.Query().Get("rung"))
		w.WriteHeader(204)
		return
	}
	http.NotFound(w, r)
}

func (b *box) release(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	_, ran := b.sessions[r.PathValue("id")]
	delete(b.sessions, r.PathValue("id"))
	b.mu.Unlock()
	b.rig.note("box was told to end a session", "box", b.addr, "session", r.PathValue("id"), "ran", ran)
	w.WriteHeader(204)
}

// events streams an empty line of JSON each second. The first line lists the sessions of the edge, and those of an earlier
// instance at its position, which this one takes over.
func (b *box) events(w http.ResponseWriter, r *http.Request) {
	edge := r.URL.Query().Get("edge")
	position, _, _ := strings.Cut(edge, ".")
	stream := &boxStream{}
	ids, taken := []string{}, []map[string]any{}
	b.mu.Lock()
	b.streams[edge] = stream
	for id, s := range b.sessions {
		at, _, _ := strings.Cut(s.edge, ".")
		switch {
		case s.edge == edge:
			ids = append(ids, id)
		case at == position:
			s.edge = edge
			taken = append(taken, map[string]any{"id": id, "title": s.title, "class": s.class, "viewer": s.viewer, "rung": s.rung,
				"best": s.best, "since_ms": time.Since(s.since).Milliseconds()})
		}
	}
	boot := b.boot
	b.mu.Unlock()
	out := http.NewResponseController(w)
	_, _ = w.Write(append(toJSON(map[string]any{"boot": boot, "sessions": ids, "held": taken}), '\n'))
	_ = out.Flush()
	defer func() {
		b.mu.Lock()
		stream.closedAt = time.Now()
		b.mu.Unlock()
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
			if _, err := fmt.Fprintln(w, "{}"); err != nil || out.Flush() != nil {
				return
			}
		}
	}
}

// endLostEdges ends the sessions of edges whose stream has been closed for 2 s.
func (b *box) endLostEdges() {
	for range 2400 { // 20 minutes at most
		time.Sleep(500 * time.Millisecond)
		b.mu.Lock()
		for id, s := range b.sessions {
			if stream := b.streams[s.edge]; stream != nil && !stream.closedAt.IsZero() && time.Since(stream.closedAt) > 2*time.Second {
				delete(b.sessions, id)
				b.rig.note("box ended a session: its edge is gone", "box", b.addr, "session", id)
			}
		}
		b.mu.Unlock()
	}
}

func (b *box) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(w)
	_, _ = w.Write(toJSON(map[string]any{"state": "ready", "boot": b.boot, "started_ms": b.started.UnixMilli(), "titles_version": b.version}))
}

func (b *box) listTitles(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []map[string]any{}
	for t := range b.titles {
		playing := b.pending[t]
		for _, s := range b.sessions {
			if s.title == t {
				playing++
			}
		}
		list = append(list, map[string]any{"name": t, "whole": true, "copying": false, "done_kb": b.size, "size_kb": b.size, "playing": playing})
	}
	_, _ = w.Write(toJSON(map[string]any{"boot": b.boot, "titles_version": b.version, "free_kb": 600000, "titles": list}))
}

// accepts reports whether a planner's command has an epoch that is high enough.
func (b *box) accepts(w http.ResponseWriter, r *http.Request) bool {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil || epoch < b.epoch {
		w.Header().Set("Rainpulley-Reason", "epoch")
		http.Error(w, "epoch", 409)
		return false
	}
	b.epoch = epoch
	return true
}

// fetch copies a title from another box, within a second or so.
func (b *box) fetch(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accepts(w, r) {
		return
	}
	title, from := r.PathValue("title"), r.URL.Query().Get("from")
	b.rig.note("box was told to fetch a title", "box", b.addr, "title", title, "from", from)
	if b.titles[title] {
		return
	}
	w.WriteHeader(202)
	go func() {
		status, _ := call("GET", "http://"+from+"/titles/"+title+"/data?from=0&rate=1000", nil, 5*time.Second)
		if status == 200 {
			b.mu.Lock()
			b.titles[title] = true
			b.version++
			b.mu.Unlock()
			b.rig.note("box has fetched a title", "box", b.addr, "title", title)
		}
	}()
}

func (b *box) data(w http.ResponseWriter, r *http.Request) {
	if !b.has(r.PathValue("title")) {
		http.NotFound(w, r)
		return
	}
	time.Sleep(500 * time.Millisecond)
	fmt.Fprintln(w, "the title")
}

func (b *box) drop(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accepts(w, r) {
		return
	}
	title := r.PathValue("title")
	inUse := b.pending[title] > 0
	for _, s := range b.sessions {
		inUse = inUse || s.title == title
	}
	if inUse {
		w.Header().Set("Rainpulley-Reason", "in use")
		http.Error(w, "in use", 409)
		return
	}
	if b.titles[title] {
		delete(b.titles, title)
		b.version++
	}
	b.rig.note("box was told to drop a title, and did", "box", b.addr, "title", title)
	w.WriteHeader(204)
}

func decode(text string, into any) bool { return json.Unmarshal([]byte(text), into) == nil }
