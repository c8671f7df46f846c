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
	Site       *config.Site
	Log        *audit.Log
	ModelScale float64 // kB of the model for each kB that is sent
	SetUpTime  time.Duration
	Boxes      []*Box
	DiskFactor float64 // of each box, as a multiple of what it holds at first

	mu             sync.Mutex
	rng            *rand.Rand
	uplinkRates    []float64 // kB/s that each rack's uplink gives
	uplinkDivisors []float64 // divides an uplink
	isolatedZone   int       // zone that is cut off from the others; -1: none
	ctx            context.Context
	tasks          sync.WaitGroup
}

// Box is one stand-in clip box.
type Box struct {
	fleet             *Fleet
	Addr              string
	Zone              int
	rack              int
	streamSlots       int
	linkRate          float64
	server            *http.Server
	bootID            string
	started           time.Time
	state             string
	running           bool
	rateShare         float64
	wasLimited        bool
	linkUtilization   float64
	sessions          map[string]*session
	eventStreams      map[string]*eventStream // by edge instance
	recentSetUps      []time.Time             // set-ups, while cold
	faults            Faults
	frozenUtilization map[string]float64
	titles            map[string]*storedTitle // outlives a crash
	titlesVersion     uint64                  // rises with every change of titles
	plannerEpoch      uint64                  // of the planner that is obeyed
	copySendRate      float64                 // kB/s that copies of its titles ask of its link
	copyShare         float64                 // part of what copies ask that its link has for them
}

// Faults of a box, set by the script.
type Faults struct {
	Hang            bool    // takes what comes, answers nothing
	FalseHealth     bool    // with Hang: health checks are answered all the same
	LostAnswerShare float64 // share of set-ups that run and whose answer is lost
	ResetShare      float64 // share of set-ups that end in a reset, half of them having run
	Refuse          bool    // turns set-ups away as full
	LinkDivisor     float64 // divides its link; 0: as it is
	NoteDelay       time.Duration
	FrozenNotes     bool   // link notes repeat their last value
	MediaPlaylist   string // served in place of every media playlist
	Manifest        string // served in place of every multivariant playlist
	ExtraSetUpTime  time.Duration
	FullDisk        bool // nothing more fits
}

type session struct {
	id, edge, title, class, viewer string
	attempt, rung, bestRung        int
	rate                           float64
	startedAt                      time.Time
}

type eventStream struct {
	lines    chan string
	closedAt time.Time // the stream closed then; zero while it is open
}

const (
	tickInterval   = 100 * time.Millisecond
	edgeTimeout    = 2 * time.Second // without its stream for so long, an edge's sessions are let go
	SegmentSeconds = 1.024           // seconds: 48 frames of 1024 samples at 48 kHz
)

// NewFleet makes the boxes of a site, not yet serving.
func NewFleet(site *config.Site, log *audit.Log, seed uint64) *Fleet {
	f := &Fleet{Site: site, Log: log, ModelScale: 200, DiskFactor: 2.5, SetUpTime: 20 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 7)), isolatedZone: -1}
	for range site.Racks {
		spread := 1 + 0.2*(2*f.rng.Float64()-1)
		f.uplinkRates, f.uplinkDivisors = append(f.uplinkRates, float64(site.Links.Uplink)*spread), append(f.uplinkDivisors, 1)
	}
	for _, b := range site.Boxes {
		kind := site.KindIndex(b.Kind)
		spread := 1 + 0.15*(2*f.rng.Float64()-1)
		f.Boxes = append(f.Boxes, &Box{fleet: f, Addr: b.Addr, Zone: site.ZoneIndex(b.Zone), rack: b.Cell % site.Racks,
			streamSlots: site.Kinds[kind].Streams, linkRate: b.Weight * float64(site.Links.PerWeight) * spread, state: "ready",
			titles: f.initialTitles(b.Cell)})
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
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		f.run(ctx)
	}()
	return nil
}

// Wait returns when all has ended after ctx.
func (f *Fleet) Wait() {
	f.tasks.Wait()
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
	b.bootID = strconv.FormatUint(f.rng.Uint64(), 36)
	b.started, b.state, b.running, b.rateShare = time.Now(), "ready", true, 1
	b.sessions, b.eventStreams, b.recentSetUps, b.frozenUtilization = map[string]*session{}, map[string]*eventStream{}, nil, map[string]float64{}
	b.faults = Faults{}
	text := ""
	if !cold {
		b.started, text = b.started.Add(-time.Hour), "warm"
	}
	f.Log.Add(audit.Entry{Observer: "box", Subject: b.Addr, Event: audit.BoxStarted, Value: float64(b.streamSlots), Text: text})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sessions/{id}", b.handleSetUp)
	mux.HandleFunc("PUT /sessions/{id}", b.handleSetRung)
	mux.HandleFunc("DELETE /sessions/{id}", b.handleRelease)
	mux.HandleFunc("GET /events", b.handleEvents)
	mux.HandleFunc("GET /health", b.handleHealth)
	b.addTitleRoutes(mux)
	mux.HandleFunc("GET /t/{title}/{file}", b.handleMultivariantPlaylist)
	mux.HandleFunc("GET /t/{title}/{rung}/{file}", b.handleMedia)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	b.server = server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Crash ends the box at once: connections are reset and its sessions are lost.
func (b *Box) Crash() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.crash("crash")
}

func (b *Box) crash(reason string) {
	if !b.running {
		return
	}
	b.running = false
	for _, s := range b.sessions {
		b.endSession(s, reason)
	}
	b.stopCopies()
	server := b.server
	go func() { _ = server.Close() }()
}

// Return starts a crashed box anew, cold.
func (b *Box) Restart() error { return b.start(true) }

// Drain lets sessions play and takes no new ones.
func (b *Box) Drain(on bool) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if b.state = "ready"; on {
		b.state = "draining"
	}
}

// Set changes a box's faults.
func (b *Box) SetFaults(change func(*Faults)) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	change(&b.faults)
}

// Weaken divides the uplink of a rack; 1 restores it.
func (f *Fleet) DivideUplink(rack int, divisor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uplinkDivisors[rack] = divisor
}

// CutZone lets nothing through between a zone and the others, in either direction; -1 ends it.
func (f *Fleet) IsolateZone(zone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolatedZone = zone
}

// away tells that nothing comes through from an edge: it stands on the other side of a cut.
func (b *Box) isCutOff(edge string) bool {
	if b.fleet.isolatedZone < 0 {
		return false
	}
	position, _, _ := strings.Cut(edge, ".")
	n, err := strconv.Atoi(position)
	if err != nil || n < 0 || n >= len(b.fleet.Site.Edges) {
		return false
	}
	zone := b.fleet.Site.ZoneIndex(b.fleet.Site.Edges[n].Zone)
	return (zone == b.fleet.isolatedZone) != (b.Zone == b.fleet.isolatedZone)
}

// Capacity is what all links give, in kB/s.
func (f *Fleet) TotalLinkRate() (sum float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.Boxes {
		sum += b.linkRate
	}
	return sum
}

// True is the fleet as it really is, without anybody on it, for a plan that knows all.
func (f *Fleet) ActualFleet() *peaks.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	actual := &peaks.Fleet{Cells: f.Site.Cells, NoCompetingLoad: true}
	for _, u := range f.uplinkRates {
		actual.Uplinks = append(actual.Uplinks, u/peaks.MaxUtilization)
	}
	for i, b := range f.Boxes {
		actual.Boxes = append(actual.Boxes, peaks.Box{ID: b.Addr, Rack: b.rack, Cell: f.Site.Boxes[i].Cell, LinkCapacity: b.linkRate / peaks.MaxUtilization,
			MaxStreams: float64(b.streamSlots), RampShare: 1})
	}
	return actual
}

// Why is why a viewer of a title was refused at an edge, in truth.
func (f *Fleet) RefusalCause(title string, class, edge int) regret.Cause {
	f.mu.Lock()
	defer f.mu.Unlock()
	classConfig := f.Site.Classes[class]
	minRate, seatsTaken := f.rungRate(class, classConfig.Floor), 0
	holderHasSlot, holderHasCapacity, otherHasCapacity := false, false, false
	rackDemand := make([]float64, len(f.uplinkRates))
	for _, b := range f.Boxes {
		rackDemand[b.rack] += b.linkUtilization * b.currentLinkRate()
	}
	for _, b := range f.Boxes {
		for _, s := range b.sessions {
			if position, _, _ := strings.Cut(s.edge, "."); s.title == title && s.class == classConfig.Name && position == strconv.Itoa(edge) {
				seatsTaken++
			}
		}
		if !b.running || b.state != "ready" || b.faults.Hang || b.faults.Refuse {
			continue
		}
		hasSlot := len(b.sessions) < b.streamSlots
		hasCapacity := hasSlot && b.currentLinkRate()*(1-b.linkUtilization) >= minRate && f.uplinkRates[b.rack]/f.uplinkDivisors[b.rack]-rackDemand[b.rack] >= minRate
		if b.hasTitleLocked(title) {
			holderHasSlot, holderHasCapacity = holderHasSlot || hasSlot, holderHasCapacity || hasCapacity
		} else {
			otherHasCapacity = otherHasCapacity || hasCapacity
		}
	}
	switch {
	case classConfig.Seats > 0 && seatsTaken >= classConfig.Seats:
		return regret.RefusedForSeats
	case holderHasCapacity:
		return regret.RefusedDespiteHolder
	case otherHasCapacity:
		return regret.RefusedCapacityElsewhere
	case !holderHasSlot:
		return regret.RefusedForStreams
	}
	return regret.RefusedNoCapacity
}

// Sessions is how many a box runs.
func (b *Box) SessionCount() int {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return len(b.sessions)
}

func (b *Box) newEntry(event string, s *session) audit.Entry {
	return audit.Entry{Observer: "box", Subject: b.Addr, Event: event, Session: s.id, Edge: s.edge, Title: s.title, Class: s.class,
		Rung: s.rung, Attempt: s.attempt, Viewer: s.viewer}
}

func (b *Box) endSession(s *session, reason string) {
	e := b.newEntry(audit.SessionEnd, s)
	e.Text = reason
	b.fleet.Log.Add(e)
	delete(b.sessions, s.id)
}

// present is what the box's link gives now.
func (b *Box) currentLinkRate() float64 {
	if b.faults.LinkDivisor > 0 {
		return b.linkRate / b.faults.LinkDivisor
	}
	return b.linkRate
}

// run works out shares and sends notes.
func (f *Fleet) run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f.mu.Lock()
		f.updateShares()
		for _, b := range f.Boxes {
			if b.running && !b.faults.Hang {
				b.sendNotes(n)
			}
		}
		f.mu.Unlock()
	}
}

func (f *Fleet) updateShares() {
	rackDemand := make([]float64, len(f.uplinkRates))
	for _, b := range f.Boxes {
		demand := 0.0
		for _, s := range b.sessions {
			demand += s.rate
		}
		b.linkUtilization = demand / b.currentLinkRate()
		rackDemand[b.rack] += min(demand, b.currentLinkRate())
	}
	// copies are lower effort (RFC 8622): they get what viewers leave, and are no part of what is told of links
	remaining, copyDemand := make([]float64, len(f.uplinkRates)), make([]float64, len(f.uplinkRates))
	for r := range remaining {
		remaining[r] = max(f.uplinkRates[r]/f.uplinkDivisors[r]-rackDemand[r], 0)
	}
	for _, b := range f.Boxes {
		c := b.copyRate()
		b.copyShare = min(max(b.currentLinkRate()*(1-b.linkUtilization), 0)/max(c, 1e-9), 1)
		copyDemand[b.rack] += c * b.copyShare
	}
	for _, b := range f.Boxes {
		b.copyShare *= min(remaining[b.rack]/max(copyDemand[b.rack], 1e-9), 1)
	}
	for _, b := range f.Boxes {
		b.rateShare = min(1, 1/max(b.linkUtilization, 1e-9))
		if uplink := f.uplinkRates[b.rack] / f.uplinkDivisors[b.rack]; uplink > 0 {
			b.rateShare *= min(1, uplink/max(rackDemand[b.rack], 1e-9))
		}
	}
}

func (f *Fleet) uplinkUtilization(rack int) float64 {
	sum := 0.0
	for _, b := range f.Boxes {
		if b.rack == rack {
			sum += b.linkUtilization * b.currentLinkRate()
		}
	}
	return sum / max(f.uplinkRates[rack]/f.uplinkDivisors[rack], 1e-9)
}

// notes sends each edge with sessions here what the module's notes tell, on one session of each.
func (b *Box) sendNotes(n int) {
	everySecond := n%10 == 0
	linkNoteTicks := int(b.fleet.Site.Notes.LinkEvery.Std() / tickInterval)
	sessionByEdge := map[string]*session{}
	for _, s := range b.sessions {
		if chosen := sessionByEdge[s.edge]; chosen == nil || s.id < chosen.id {
			sessionByEdge[s.edge] = s
		}
	}
	limited := b.rateShare < 0.98
	for name, e := range b.eventStreams {
		if !e.closedAt.IsZero() {
			if time.Since(e.closedAt) > edgeTimeout {
				b.endEdgeSessions(name)
			}
			continue
		}
		if b.isCutOff(name) {
			continue
		}
		if everySecond {
			b.sendNote(e, "{}", 0)
		}
		s := sessionByEdge[name]
		if s == nil {
			continue
		}
		if everySecond && (limited || b.wasLimited) {
			b.sendNote(e, fmt.Sprintf(`{"s":%q,"k":1,"x":%.4f}`, s.id, b.rateShare), b.noteDelay())
		}
		if linkNoteTicks > 0 && n%linkNoteTicks == 0 {
			utilization := b.linkUtilization
			if b.faults.FrozenNotes {
				if previous, ok := b.frozenUtilization[name]; ok {
					utilization = previous
				}
			}
			b.frozenUtilization[name] = utilization
			b.sendNote(e, fmt.Sprintf(`{"s":%q,"k":3,"x":%.4f}`, s.id, utilization), b.noteDelay())
			b.sendNote(e, fmt.Sprintf(`{"s":%q,"k":4,"x":%.4f}`, s.id, b.fleet.uplinkUtilization(b.rack)), b.noteDelay())
		}
	}
	if everySecond {
		b.wasLimited = limited
	}
}

func (b *Box) noteDelay() time.Duration { return b.fleet.Site.Notes.Delay.Std() + b.faults.NoteDelay }

func (b *Box) sendNote(e *eventStream, line string, delay time.Duration) {
	enqueue := func() {
		select {
		case e.lines <- line:
		default: // an edge that does not read loses notes
		}
	}
	if delay > 0 {
		time.AfterFunc(delay, enqueue)
		return
	}
	enqueue()
}

// drop lets go the sessions of an edge that is gone.
func (b *Box) endEdgeSessions(edge string) {
	for _, s := range b.sessions {
		if s.edge == edge {
			b.endSession(s, "edge gone")
		}
	}
	delete(b.eventStreams, edge)
}

func (b *Box) handleEvents(w http.ResponseWriter, r *http.Request) {
	f, edge := b.fleet, r.URL.Query().Get("edge")
	f.mu.Lock()
	if b.faults.Hang || b.isCutOff(edge) {
		f.mu.Unlock()
		<-r.Context().Done()
		return
	}
	e := &eventStream{lines: make(chan string, 64)}
	b.eventStreams[edge] = e
	ids, takenOver := []string{}, []map[string]any{}
	position, _, _ := strings.Cut(edge, ".")
	for _, s := range b.sessions {
		switch sessionPosition, _, _ := strings.Cut(s.edge, "."); {
		case s.edge == edge:
			ids = append(ids, s.id)
		case sessionPosition == position: // of an earlier instance: handed over
			s.edge = edge
			takenOver = append(takenOver, map[string]any{"id": s.id, "title": s.title, "class": s.class, "viewer": s.viewer, "rung": s.rung,
				"best": s.bestRung, "since_ms": time.Since(s.startedAt).Milliseconds()})
		}
	}
	boot := b.bootID
	f.mu.Unlock()
	out := http.NewResponseController(w)
	first, _ := json.Marshal(map[string]any{"boot": boot, "sessions": ids, "held": takenOver})
	fmt.Fprintf(w, "%s\n", first)
	_ = out.Flush()
	defer func() {
		f.mu.Lock()
		if b.eventStreams[edge] == e {
			e.closedAt = time.Now()
		}
		f.mu.Unlock()
	}()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-f.ctx.Done():
			return
		case line := <-e.lines:
			if _, err := fmt.Fprintln(w, line); err != nil || out.Flush() != nil {
				return
			}
		}
	}
}

func (b *Box) handleHealth(w http.ResponseWriter, r *http.Request) {
	b.fleet.mu.Lock()
	hang, state, boot, started := b.faults.Hang && !b.faults.FalseHealth, b.state, b.bootID, b.started.UnixMilli()
	titlesVersion := b.titlesVersion
	b.setLoadHeader(w)
	b.fleet.mu.Unlock()
	if hang {
		<-r.Context().Done()
		return
	}
	fmt.Fprintf(w, `{"state":%q,"boot":%q,"started_ms":%d,"titles_version":%d}`+"\n", state, boot, started, titlesVersion)
}

// load reports in the answer, as CMSD (CTA-5006) with keys of the project's own.
func (b *Box) setLoadHeader(w http.ResponseWriter) {
	w.Header().Set("CMSD-Dynamic", fmt.Sprintf(`"box";example.rainpulley-streams=%d;example.rainpulley-link=%.4f;example.rainpulley-uplink=%.4f`,
		len(b.sessions), b.linkUtilization, b.fleet.uplinkUtilization(b.rack)))
}

// setUp takes an attempt, in the order: hang, cold push, draining, full, set-up time, run.
func (b *Box) handleSetUp(w http.ResponseWriter, r *http.Request) {
	f, q := b.fleet, r.URL.Query()
	s := &session{id: r.PathValue("id"), edge: q.Get("edge"), title: q.Get("title"), class: q.Get("class"), viewer: q.Get("viewer"), startedAt: time.Now()}
	s.attempt, _ = strconv.Atoi(q.Get("attempt"))
	s.rung, _ = strconv.Atoi(q.Get("rung"))
	s.bestRung, _ = strconv.Atoi(q.Get("best"))
	class := f.Site.ClassIndex(s.class)
	if class < 0 || s.rung < 0 || s.rung >= len(f.Site.Ladder) {
		http.Error(w, "no such class or rung", http.StatusBadRequest)
		return
	}
	s.rate = f.rungRate(class, s.rung)
	e := b.newEntry(audit.SetUpReceived, s)
	f.Log.Add(e)
	logEnded := func(text string) {
		e.Event, e.Text = audit.SetUpEnded, text
		f.Log.Add(e)
	}
	refuse := func(reasonText string) {
		e.Event = audit.SetUpNotRun
		f.Log.Add(e)
		logEnded("refused")
		w.Header().Set("Rainpulley-Reason", reasonText)
		http.Error(w, reasonText, http.StatusServiceUnavailable)
	}
	f.mu.Lock()
	faults := b.faults
	if cutOff := b.isCutOff(s.edge); cutOff {
		faults.Hang = true
	} else {
		b.checkColdLoad()
	}
	running := b.running
	reason := b.refusalReason(s.title)
	setUpTime := f.SetUpTime + faults.ExtraSetUpTime
	resetBefore := f.rng.Float64() < faults.ResetShare/2
	b.setLoadHeader(w)
	f.mu.Unlock()
	switch {
	case !running:
		logEnded("fell")
		panic(http.ErrAbortHandler)
	case faults.Hang:
		<-r.Context().Done()
		logEnded("closed")
		return
	case reason != "":
		refuse(reason)
		return
	case resetBefore:
		logEnded("reset")
		panic(http.ErrAbortHandler)
	}
	select {
	case <-r.Context().Done():
		logEnded("closed")
		return
	case <-time.After(setUpTime):
	}
	f.mu.Lock()
	if !b.running {
		f.mu.Unlock()
		logEnded("fell")
		panic(http.ErrAbortHandler)
	}
	if reason = b.refusalReason(s.title); reason != "" {
		f.mu.Unlock()
		refuse(reason)
		return
	}
	b.sessions[s.id] = s
	f.Log.Add(b.newEntry(audit.SetUpRan, s))
	loseAnswer, resetAfter := f.rng.Float64() < faults.LostAnswerShare, f.rng.Float64() < faults.ResetShare/2
	b.setLoadHeader(w)
	f.mu.Unlock()
	switch {
	case resetAfter:
		logEnded("reset")
		panic(http.ErrAbortHandler)
	case loseAnswer:
		<-r.Context().Done()
		logEnded("closed")
		return
	}
	w.Header().Set("Content-Location", "/t/"+s.title+"/index.m3u8")
	w.Header().Set("Content-Type", "application/vnd.apple.mpegurl")
	logEnded("playing")
	w.WriteHeader(http.StatusCreated)
	manifest := f.multivariantPlaylist(class)
	if faults.Manifest != "" {
		manifest = faults.Manifest
	}
	_, _ = w.Write([]byte(manifest))
}

func (b *Box) refusalReason(title string) string {
	if !b.hasTitleLocked(title) {
		return "no such title"
	}
	switch {
	case b.state == "draining":
		return "draining"
	case len(b.sessions) >= b.streamSlots || b.faults.Refuse:
		return "full"
	case b.fleet.Site.Links.FullFrom > 0 && b.linkUtilization >= b.fleet.Site.Links.FullFrom:
		return "full"
	}
	return ""
}

// push counts set-ups while the box is cold; too many push it over.
func (b *Box) checkColdLoad() {
	r := b.fleet.Site.Rules
	age := time.Since(b.started)
	if age >= r.Ramp.Std() || r.FallSpan <= 0 {
		return
	}
	now := time.Now()
	b.recentSetUps = append(b.recentSetUps, now)
	for now.Sub(b.recentSetUps[0]) >= r.FallSpan.Std() {
		b.recentSetUps = b.recentSetUps[1:]
	}
	rampRate := float64(b.streamSlots) / r.Ramp.Std().Seconds() * (r.StartShare + (1-r.StartShare)*age.Seconds()/r.Ramp.Std().Seconds())
	if float64(len(b.recentSetUps)) > r.FallFactor*rampRate*r.FallSpan.Std().Seconds()+3 {
		b.fleet.Log.Add(audit.Entry{Observer: "box", Subject: b.Addr, Event: audit.BoxOverloaded})
		b.crash("fell")
	}
}

func (f *Fleet) rungRate(class, rung int) float64 {
	factor := f.Site.Classes[class].RateFactor
	if factor <= 0 {
		factor = 1
	}
	return float64(f.Site.Ladder[rung].Rate) * factor
}

func (b *Box) handleSetRung(w http.ResponseWriter, r *http.Request) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	s := b.sessions[r.PathValue("id")]
	rung, err := strconv.Atoi(r.URL.Query().Get("rung"))
	if s == nil || err != nil || rung < 0 || rung >= len(b.fleet.Site.Ladder) {
		http.Error(w, "no such session or rung", http.StatusNotFound)
		return
	}
	s.rung, s.rate = rung, b.fleet.rungRate(b.fleet.Site.ClassIndex(s.class), rung)
	b.fleet.Log.Add(b.newEntry(audit.RungSet, s))
	w.WriteHeader(http.StatusNoContent)
}

func (b *Box) handleRelease(w http.ResponseWriter, r *http.Request) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if s := b.sessions[r.PathValue("id")]; s != nil {
		b.endSession(s, "released")
	}
	w.WriteHeader(http.StatusNoContent)
}
