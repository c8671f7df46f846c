// Package standin has the stand-ins for outside systems, written from their public descriptions: clip
// boxes with links and racks, viewers, and the relay between planner and edges. What they give is
// simulated; what passes on their sockets is real, and is logged for the audit.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
	"rainpulley/internal/peaks"
	"rainpulley/internal/regret"
)

// Fleet is a set of stand-in boxes that share racks.
type Fleet struct {
	Site  *config.Site
	Log   *audit.Log
	Scale float64 // kB of the model for each kB that is sent
	Setup time.Duration
	Boxes []*Box
	Disk  float64 // of each box, as a multiple of what it holds at first

	mu      sync.Mutex
	rnd     *rand.Rand
	uplinks []float64 // kB/s that each rack's uplink gives
	weak    []float64 // divides an uplink
	cut     int       // zone that is cut off from the others; -1: none
	ctx     context.Context
	wait    sync.WaitGroup
}

// Box is one stand-in clip box.
type Box struct {
	fleet   *Fleet
	Addr    string
	Zone    int
	rack    int
	streams int
	link    float64
	server  *http.Server
	boot    string
	started time.Time
	state   string
	up      bool
	share   float64
	short   bool
	full    float64
	held    map[string]*held
	ears    map[string]*ear // by edge instance
	recent  []time.Time     // set-ups, while cold
	fault   Faults
	frozen  map[string]float64
	titles  map[string]*stored // outlives a crash
	changed uint64             // rises with every change of titles
	epoch   uint64             // of the planner that is obeyed
	sending float64            // kB/s that copies of its titles ask of its link
	spare   float64            // part of what copies ask that its link has for them
}

// Faults of a box, set by the script.
type Faults struct {
	Hang       bool    // takes what comes, answers nothing
	Lies       bool    // with Hang: health checks are answered all the same
	AnswerLost float64 // share of set-ups that run and whose answer is lost
	Reset      float64 // share of set-ups that end in a reset, half of them having run
	Refuse     bool    // turns set-ups away as full
	Slow       float64 // divides its link; 0: as it is
	NoteDelay  time.Duration
	NoteFrozen bool   // link notes repeat their last value
	Playlist   string // served in place of every media playlist
	Manifest   string // served in place of every multivariant playlist
	SetUp      time.Duration
	FullDisk   bool // nothing more fits
}

type held struct {
	id, edge, title, class, viewer string
	attempt, rung, best            int
	rate                           float64
	since                          time.Time
}

type ear struct {
	lines chan string
	left  time.Time // the stream closed then; zero while it is open
}

const (
	tick       = 100 * time.Millisecond
	edgeGone   = 2 * time.Second // without its stream for so long, an edge's sessions are let go
	SegmentFor = 1.024           // seconds: 48 frames of 1024 samples at 48 kHz
)

// NewFleet makes the boxes of a site, not yet serving.
func NewFleet(site *config.Site, log *audit.Log, seed uint64) *Fleet {
	f := &Fleet{Site: site, Log: log, Scale: 200, Disk: 2.5, Setup: 20 * time.Millisecond, rnd: rand.New(rand.NewPCG(seed, 7)), cut: -1}
	for range site.Racks {
		spread := 1 + 0.2*(2*f.rnd.Float64()-1)
		f.uplinks, f.weak = append(f.uplinks, float64(site.Links.Uplink)*spread), append(f.weak, 1)
	}
	for _, b := range site.Boxes {
		k := site.Kind(b.Kind)
		spread := 1 + 0.15*(2*f.rnd.Float64()-1)
		f.Boxes = append(f.Boxes, &Box{fleet: f, Addr: b.Addr, Zone: site.Zone(b.Zone), rack: b.Cell % site.Racks,
			streams: site.Kinds[k].Streams, link: b.Weight * float64(site.Links.PerWeight) * spread, state: "ready",
			titles: f.firstTitles(b.Cell)})
	}
	return f
}

// Start serves until ctx ends.
func (f *Fleet) Start(ctx context.Context) error {
	f.ctx = ctx
	for _, b := range f.Boxes {
		if err := b.start(false); err != nil {
			return err
		}
	}
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		f.run(ctx)
	}()
	return nil
}

// Wait returns when all has ended after ctx.
func (f *Fleet) Wait() {
	f.wait.Wait()
	for _, b := range f.Boxes {
		b.Crash()
	}
}

// start opens a box. A cold one has just started; a warm one did so long ago.
func (b *Box) start(cold bool) error {
	var ln net.Listener
	var err error
	for range 20 { // the port may still be held for a moment after a crash
		if ln, err = net.Listen("tcp", b.Addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	f := b.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	b.boot = strconv.FormatUint(f.rnd.Uint64(), 36)
	b.started, b.state, b.up, b.share = time.Now(), "ready", true, 1
	b.held, b.ears, b.recent, b.frozen = map[string]*held{}, map[string]*ear{}, nil, map[string]float64{}
	b.fault = Faults{}
	text := ""
	if !cold {
		b.started, text = b.started.Add(-time.Hour), "warm"
	}
	f.Log.Add(audit.Entry{Side: "box", Who: b.Addr, What: audit.BoxStarted, Value: float64(b.streams), Text: text})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sessions/{id}", b.setUp)
	mux.HandleFunc("PUT /sessions/{id}", b.setRung)
	mux.HandleFunc("DELETE /sessions/{id}", b.end)
	mux.HandleFunc("GET /events", b.events)
	mux.HandleFunc("GET /health", b.health)
	b.titleRoutes(mux)
	mux.HandleFunc("GET /t/{title}/{file}", b.playlist)
	mux.HandleFunc("GET /t/{title}/{rung}/{file}", b.media)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	b.server = s
	go func() { _ = s.Serve(ln) }()
	return nil
}

// Crash ends the box at once: connections are reset and its sessions are lost.
func (b *Box) Crash() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.crash("crash")
}

func (b *Box) crash(why string) {
	if !b.up {
		return
	}
	b.up = false
	for _, h := range b.held {
		b.ended(h, why)
	}
	b.stopCopies()
	s := b.server
	go func() { _ = s.Close() }()
}

// Return starts a crashed box anew, cold.
func (b *Box) Return() error { return b.start(true) }

// Drain lets sessions play and takes no new ones.
func (b *Box) Drain(on bool) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if b.state = "ready"; on {
		b.state = "draining"
	}
}

// Set changes a box's faults.
func (b *Box) Set(change func(*Faults)) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	change(&b.fault)
}

// Weaken divides the uplink of a rack; 1 restores it.
func (f *Fleet) Weaken(rack int, by float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.weak[rack] = by
}

// CutZone lets nothing through between a zone and the others, in either direction; -1 ends it.
func (f *Fleet) CutZone(zone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = zone
}

// away tells that nothing comes through from an edge: it stands on the other side of a cut.
func (b *Box) away(edge string) bool {
	if b.fleet.cut < 0 {
		return false
	}
	position, _, _ := strings.Cut(edge, ".")
	n, err := strconv.Atoi(position)
	if err != nil || n < 0 || n >= len(b.fleet.Site.Edges) {
		return false
	}
	zone := b.fleet.Site.Zone(b.fleet.Site.Edges[n].Zone)
	return (zone == b.fleet.cut) != (b.Zone == b.fleet.cut)
}

// Capacity is what all links give, in kB/s.
func (f *Fleet) Capacity() (sum float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.Boxes {
		sum += b.link
	}
	return sum
}

// True is the fleet as it really is, without anybody on it, for a plan that knows all.
func (f *Fleet) True() *peaks.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &peaks.Fleet{Cells: f.Site.Cells, NoCompetingLoad: true}
	for _, u := range f.uplinks {
		out.Uplinks = append(out.Uplinks, u/peaks.MaxUtilization)
	}
	for i, b := range f.Boxes {
		out.Boxes = append(out.Boxes, peaks.Box{ID: b.Addr, Rack: b.rack, Cell: f.Site.Boxes[i].Cell, LinkCapacity: b.link / peaks.MaxUtilization,
			MaxStreams: float64(b.streams), RampShare: 1})
	}
	return out
}

// Why is why a viewer of a title was refused at an edge, in truth.
func (f *Fleet) Why(title string, class, edge int) regret.Cause {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.Site.Classes[class]
	low, seated := f.rate(class, k.Floor), 0
	holderStreams, holderRoom, elsewhere := false, false, false
	asked := make([]float64, len(f.uplinks))
	for _, b := range f.Boxes {
		asked[b.rack] += b.full * b.present()
	}
	for _, b := range f.Boxes {
		for _, h := range b.held {
			if position, _, _ := strings.Cut(h.edge, "."); h.title == title && h.class == k.Name && position == strconv.Itoa(edge) {
				seated++
			}
		}
		if !b.up || b.state != "ready" || b.fault.Hang || b.fault.Refuse {
			continue
		}
		streams := len(b.held) < b.streams
		room := streams && b.present()*(1-b.full) >= low && f.uplinks[b.rack]/f.weak[b.rack]-asked[b.rack] >= low
		if b.has(title) {
			holderStreams, holderRoom = holderStreams || streams, holderRoom || room
		} else {
			elsewhere = elsewhere || room
		}
	}
	switch {
	case k.Seats > 0 && seated >= k.Seats:
		return regret.Seats
	case holderRoom:
		return regret.Holder
	case elsewhere:
		return regret.Elsewhere
	case !holderStreams:
		return regret.Streams
	}
	return regret.Full
}

// Sessions is how many a box runs.
func (b *Box) Sessions() int {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return len(b.held)
}

func (b *Box) entry(what string, h *held) audit.Entry {
	return audit.Entry{Side: "box", Who: b.Addr, What: what, Session: h.id, Edge: h.edge, Title: h.title, Class: h.class,
		Rung: h.rung, Attempt: h.attempt, Viewer: h.viewer}
}

func (b *Box) ended(h *held, why string) {
	e := b.entry(audit.SessionEnd, h)
	e.Text = why
	b.fleet.Log.Add(e)
	delete(b.held, h.id)
}

// present is what the box's link gives now.
func (b *Box) present() float64 {
	if b.fault.Slow > 0 {
		return b.link / b.fault.Slow
	}
	return b.link
}

// run works out shares and sends notes.
func (f *Fleet) run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f.mu.Lock()
		f.shares()
		for _, b := range f.Boxes {
			if b.up && !b.fault.Hang {
				b.notes(n)
			}
		}
		f.mu.Unlock()
	}
}

func (f *Fleet) shares() {
	asked := make([]float64, len(f.uplinks))
	for _, b := range f.Boxes {
		sum := 0.0
		for _, h := range b.held {
			sum += h.rate
		}
		b.full = sum / b.present()
		asked[b.rack] += min(sum, b.present())
	}
	// copies are lower effort (RFC 8622): they get what viewers leave, and are no part of what is told of links
	left, copying := make([]float64, len(f.uplinks)), make([]float64, len(f.uplinks))
	for r := range left {
		left[r] = max(f.uplinks[r]/f.weak[r]-asked[r], 0)
	}
	for _, b := range f.Boxes {
		c := b.copying()
		b.spare = min(max(b.present()*(1-b.full), 0)/max(c, 1e-9), 1)
		copying[b.rack] += c * b.spare
	}
	for _, b := range f.Boxes {
		b.spare *= min(left[b.rack]/max(copying[b.rack], 1e-9), 1)
	}
	for _, b := range f.Boxes {
		b.share = min(1, 1/max(b.full, 1e-9))
		if up := f.uplinks[b.rack] / f.weak[b.rack]; up > 0 {
			b.share *= min(1, up/max(asked[b.rack], 1e-9))
		}
	}
}

func (f *Fleet) uplinkFull(rack int) float64 {
	sum := 0.0
	for _, b := range f.Boxes {
		if b.rack == rack {
			sum += b.full * b.present()
		}
	}
	return sum / max(f.uplinks[rack]/f.weak[rack], 1e-9)
}

// notes sends each edge with sessions here what the module's notes tell, on one session of each.
func (b *Box) notes(n int) {
	second := n%10 == 0
	every := int(b.fleet.Site.Notes.LinkEvery.D() / tick)
	one := map[string]*held{}
	for _, h := range b.held {
		if o := one[h.edge]; o == nil || h.id < o.id {
			one[h.edge] = h
		}
	}
	short := b.share < 0.98
	for name, e := range b.ears {
		if !e.left.IsZero() {
			if time.Since(e.left) > edgeGone {
				b.drop(name)
			}
			continue
		}
		if b.away(name) {
			continue
		}
		if second {
			b.send(e, "{}", 0)
		}
		h := one[name]
		if h == nil {
			continue
		}
		if second && (short || b.short) {
			b.send(e, fmt.Sprintf(`{"s":%q,"k":1,"x":%.4f}`, h.id, b.share), b.noteDelay())
		}
		if every > 0 && n%every == 0 {
			full := b.full
			if b.fault.NoteFrozen {
				if old, ok := b.frozen[name]; ok {
					full = old
				}
			}
			b.frozen[name] = full
			b.send(e, fmt.Sprintf(`{"s":%q,"k":3,"x":%.4f}`, h.id, full), b.noteDelay())
			b.send(e, fmt.Sprintf(`{"s":%q,"k":4,"x":%.4f}`, h.id, b.fleet.uplinkFull(b.rack)), b.noteDelay())
		}
	}
	if second {
		b.short = short
	}
}

func (b *Box) noteDelay() time.Duration { return b.fleet.Site.Notes.Delay.D() + b.fault.NoteDelay }

func (b *Box) send(e *ear, line string, after time.Duration) {
	put := func() {
		select {
		case e.lines <- line:
		default: // an edge that does not read loses notes
		}
	}
	if after > 0 {
		time.AfterFunc(after, put)
		return
	}
	put()
}

// drop lets go the sessions of an edge that is gone.
func (b *Box) drop(edge string) {
	for _, h := range b.held {
		if h.edge == edge {
			b.ended(h, "edge gone")
		}
	}
	delete(b.ears, edge)
}

func (b *Box) events(w http.ResponseWriter, r *http.Request) {
	f, edge := b.fleet, r.URL.Query().Get("edge")
	f.mu.Lock()
	if b.fault.Hang || b.away(edge) {
		f.mu.Unlock()
		<-r.Context().Done()
		return
	}
	e := &ear{lines: make(chan string, 64)}
	b.ears[edge] = e
	ids, left := []string{}, []map[string]any{}
	position, _, _ := strings.Cut(edge, ".")
	for _, h := range b.held {
		switch before, _, _ := strings.Cut(h.edge, "."); {
		case h.edge == edge:
			ids = append(ids, h.id)
		case before == position: // of an earlier instance: handed over
			h.edge = edge
			left = append(left, map[string]any{"id": h.id, "title": h.title, "class": h.class, "viewer": h.viewer, "rung": h.rung,
				"best": h.best, "since_ms": time.Since(h.since).Milliseconds()})
		}
	}
	boot := b.boot
	f.mu.Unlock()
	out := http.NewResponseController(w)
	first, _ := json.Marshal(map[string]any{"boot": boot, "sessions": ids, "held": left})
	fmt.Fprintf(w, "%s\n", first)
	_ = out.Flush()
	defer func() {
		f.mu.Lock()
		if b.ears[edge] == e {
			e.left = time.Now()
		}
		f.mu.Unlock()
	}()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-f.ctx.Done():
			return
		case l := <-e.lines:
			if _, err := fmt.Fprintln(w, l); err != nil || out.Flush() != nil {
				return
			}
		}
	}
}

func (b *Box) health(w http.ResponseWriter, r *http.Request) {
	b.fleet.mu.Lock()
	hang, state, boot, started := b.fault.Hang && !b.fault.Lies, b.state, b.boot, b.started.UnixMilli()
	changed := b.changed
	b.load(w)
	b.fleet.mu.Unlock()
	if hang {
		<-r.Context().Done()
		return
	}
	fmt.Fprintf(w, `{"state":%q,"boot":%q,"started_ms":%d,"titles_version":%d}`+"\n", state, boot, started, changed)
}

// load reports in the answer, as CMSD (CTA-5006) with keys of the project's own.
func (b *Box) load(w http.ResponseWriter) {
	w.Header().Set("CMSD-Dynamic", fmt.Sprintf(`"box";example.rainpulley-streams=%d;example.rainpulley-link=%.4f;example.rainpulley-uplink=%.4f`,
		len(b.held), b.full, b.fleet.uplinkFull(b.rack)))
}

// setUp takes an attempt, in the order: hang, cold push, draining, full, set-up time, run.
func (b *Box) setUp(w http.ResponseWriter, r *http.Request) {
	f, q := b.fleet, r.URL.Query()
	h := &held{id: r.PathValue("id"), edge: q.Get("edge"), title: q.Get("title"), class: q.Get("class"), viewer: q.Get("viewer"), since: time.Now()}
	h.attempt, _ = strconv.Atoi(q.Get("attempt"))
	h.rung, _ = strconv.Atoi(q.Get("rung"))
	h.best, _ = strconv.Atoi(q.Get("best"))
	class := f.Site.Class(h.class)
	if class < 0 || h.rung < 0 || h.rung >= len(f.Site.Ladder) {
		http.Error(w, "no such class or rung", http.StatusBadRequest)
		return
	}
	h.rate = f.rate(class, h.rung)
	e := b.entry(audit.SetupArrived, h)
	f.Log.Add(e)
	over := func(text string) {
		e.What, e.Text = audit.SetupOver, text
		f.Log.Add(e)
	}
	never := func(why string) {
		e.What = audit.SetupNever
		f.Log.Add(e)
		over("refused")
		w.Header().Set("Rainpulley-Reason", why)
		http.Error(w, why, http.StatusServiceUnavailable)
	}
	f.mu.Lock()
	fault := b.fault
	if away := b.away(h.edge); away {
		fault.Hang = true
	} else {
		b.push()
	}
	up := b.up
	reason := b.turnsAway(h.title)
	setup := f.Setup + fault.SetUp
	before := f.rnd.Float64() < fault.Reset/2
	b.load(w)
	f.mu.Unlock()
	switch {
	case !up:
		over("fell")
		panic(http.ErrAbortHandler)
	case fault.Hang:
		<-r.Context().Done()
		over("closed")
		return
	case reason != "":
		never(reason)
		return
	case before:
		over("reset")
		panic(http.ErrAbortHandler)
	}
	select {
	case <-r.Context().Done():
		over("closed")
		return
	case <-time.After(setup):
	}
	f.mu.Lock()
	if !b.up {
		f.mu.Unlock()
		over("fell")
		panic(http.ErrAbortHandler)
	}
	if reason = b.turnsAway(h.title); reason != "" {
		f.mu.Unlock()
		never(reason)
		return
	}
	b.held[h.id] = h
	f.Log.Add(b.entry(audit.SetupRan, h))
	lost, reset := f.rnd.Float64() < fault.AnswerLost, f.rnd.Float64() < fault.Reset/2
	b.load(w)
	f.mu.Unlock()
	switch {
	case reset:
		over("reset")
		panic(http.ErrAbortHandler)
	case lost:
		<-r.Context().Done()
		over("closed")
		return
	}
	w.Header().Set("Content-Location", "/t/"+h.title+"/index.m3u8")
	w.Header().Set("Content-Type", "application/vnd.apple.mpegurl")
	over("playing")
	w.WriteHeader(http.StatusCreated)
	manifest := f.multivariant(class)
	if fault.Manifest != "" {
		manifest = fault.Manifest
	}
	_, _ = w.Write([]byte(manifest))
}

func (b *Box) turnsAway(title string) string {
	if !b.has(title) {
		return "no such title"
	}
	switch {
	case b.state == "draining":
		return "draining"
	case len(b.held) >= b.streams || b.fault.Refuse:
		return "full"
	case b.fleet.Site.Links.FullFrom > 0 && b.full >= b.fleet.Site.Links.FullFrom:
		return "full"
	}
	return ""
}

// push counts set-ups while the box is cold; too many push it over.
func (b *Box) push() {
	r := b.fleet.Site.Rules
	age := time.Since(b.started)
	if age >= r.Ramp.D() || r.FallSpan <= 0 {
		return
	}
	now := time.Now()
	b.recent = append(b.recent, now)
	for now.Sub(b.recent[0]) >= r.FallSpan.D() {
		b.recent = b.recent[1:]
	}
	pace := float64(b.streams) / r.Ramp.D().Seconds() * (r.StartShare + (1-r.StartShare)*age.Seconds()/r.Ramp.D().Seconds())
	if float64(len(b.recent)) > r.FallFactor*pace*r.FallSpan.D().Seconds()+3 {
		b.fleet.Log.Add(audit.Entry{Side: "box", Who: b.Addr, What: audit.BoxFell})
		b.crash("fell")
	}
}

func (f *Fleet) rate(class, rung int) float64 {
	factor := f.Site.Classes[class].RateFactor
	if factor <= 0 {
		factor = 1
	}
	return float64(f.Site.Ladder[rung].Rate) * factor
}

func (b *Box) setRung(w http.ResponseWriter, r *http.Request) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	h := b.held[r.PathValue("id")]
	rung, err := strconv.Atoi(r.URL.Query().Get("rung"))
	if h == nil || err != nil || rung < 0 || rung >= len(b.fleet.Site.Ladder) {
		http.Error(w, "no such session or rung", http.StatusNotFound)
		return
	}
	h.rung, h.rate = rung, b.fleet.rate(b.fleet.Site.Class(h.class), rung)
	b.fleet.Log.Add(b.entry(audit.RungSet, h))
	w.WriteHeader(http.StatusNoContent)
}

func (b *Box) end(w http.ResponseWriter, r *http.Request) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if h := b.held[r.PathValue("id")]; h != nil {
		b.ended(h, "released")
	}
	w.WriteHeader(http.StatusNoContent)
}
