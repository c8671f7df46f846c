// Package standin implements stand-ins for external systems, written from their public descriptions:
// clip boxes with links and racks, viewers, the relay between planner and edges, and a Consul agent.
// Link rates and media content are simulated. The traffic on the sockets is real; the boxes, viewers and
// relays log it for the audit.
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

// Fleet is a set of stand-in boxes that share rack uplinks.
type Fleet struct {
	Site       *config.Site
	Log        *audit.Log
	ModelScale float64       // kB of simulated traffic for each kB sent on a socket
	SetUpTime  time.Duration // time that a box takes to set up a session
	Boxes      []*Box
	DiskFactor float64 // disk size of each box, as a multiple of the titles that it stores initially

	mu             sync.Mutex
	rng            *rand.Rand
	uplinkRates    []float64 // kB/s of each rack's uplink
	uplinkDivisors []float64 // divides each rack's uplink rate; 1: the full rate
	isolatedZone   int       // zone without connections to the other zones; -1: none
	ctx            context.Context
	tasks          sync.WaitGroup
}

// Box is one stand-in clip box. The fleet's mutex guards its mutable fields.
type Box struct {
	fleet             *Fleet
	Addr              string
	Zone              int
	rack              int
	streamSlots       int
	linkRate          float64 // kB/s
	server            *http.Server
	bootID            string
	started           time.Time
	state             string
	running           bool
	rateShare         float64 // share of the requested rate that link and uplink can carry
	wasLimited        bool    // rateShare was below 0.98 at the last full second
	linkUtilization   float64 // requested rate of all sessions over the link rate
	sessions          map[string]*session
	eventStreams      map[string]*eventStream // by edge (position.instance)
	recentSetUps      []time.Time             // times of set-ups in the last FallSpan of slow start
	faults            Faults
	frozenUtilization map[string]float64      // last utilization sent to each edge, for FrozenNotes
	titles            map[string]*storedTitle // kept on disk through a crash
	titlesVersion     uint64                  // incremented at each change of titles
	plannerEpoch      uint64                  // highest epoch of a planner that sent a copy command
	copySendRate      float64                 // kB/s requested for copies of titles to other boxes
	copyShare         float64                 // share of the requested copy rate that link and uplink can carry
}

// Faults are the faults of a box that a scenario script sets.
type Faults struct {
	Hang            bool          // accepts requests, but does not answer them
	FalseHealth     bool          // with Hang: health checks are still answered
	LostAnswerShare float64       // share of set-ups that run without an answer being sent
	ResetShare      float64       // share of set-ups that end in a connection reset, half of them after they ran
	Refuse          bool          // refuses set-ups as full
	LinkDivisor     float64       // divides the link rate; 0: the full rate
	NoteDelay       time.Duration // added to the site's delay of notes
	FrozenNotes     bool          // notes about the link repeat the last value sent
	MediaPlaylist   string        // served in place of every media playlist
	Manifest        string        // served in place of every multivariant playlist
	ExtraSetUpTime  time.Duration // added to the fleet's SetUpTime
	FullDisk        bool          // no disk space is free
}

// session is a session that a box runs, or a set-up in progress.
type session struct {
	id, edge, title, class, viewer string
	attempt, rung, bestRung        int
	rate                           float64
	startedAt                      time.Time
}

// eventStream is the stream of notes to one edge.
type eventStream struct {
	lines    chan string
	closedAt time.Time // time at which the stream closed; zero while it is open
}

const (
	tickInterval   = 100 * time.Millisecond
	edgeTimeout    = 2 * time.Second // sessions of an edge end if its event stream is closed for longer
	SegmentSeconds = 1.024           // duration of a segment: 48 frames of 1024 samples at 48 kHz
)

// NewFleet returns a fleet with the boxes of a site. Start makes them serve.
func NewFleet(site *config.Site, log *audit.Log, seed uint64) *Fleet {
	f := &Fleet{Site: site, Log: log, ModelScale: 200, DiskFactor: 2.5, SetUpTime: 20 * time.Millisecond,
		rng: rand.New(rand.NewPCG(seed, 7)), isolatedZone: -1}
	for range site.Racks {
		spread := 1 + 0.2*(2*f.rng.Float64()-1)
		f.uplinkRates, f.uplinkDivisors = append(f.uplinkRates, float64(site.Links.Uplink)*spread),
			append(f.uplinkDivisors, 1)
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

// Start starts all boxes, which run until ctx is done.
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

// Wait blocks until the fleet's goroutines have ended after ctx is done, then stops the boxes.
func (f *Fleet) Wait() {
	f.tasks.Wait()
	for _, b := range f.Boxes {
		b.Crash()
	}
}

// start makes a box listen and serve. A cold box reports that it has just started, a warm one that it has
// been up for an hour.
func (b *Box) start(cold bool) error {
	var ln net.Listener
	var err error
	for range 20 { // the port may stay in use for a moment after a crash
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
	b.sessions, b.eventStreams, b.recentSetUps, b.frozenUtilization =
		map[string]*session{}, map[string]*eventStream{}, nil, map[string]float64{}
	b.faults = Faults{}
	text := ""
	if !cold {
		b.started, text = b.started.Add(-time.Hour), "warm"
	}
	f.Log.Add(audit.Entry{Observer: "box", Subject: b.Addr, Event: audit.BoxStarted, Value: float64(b.streamSlots),
		Text: text})
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

// Crash stops the box immediately: its connections are closed and its sessions are lost.
func (b *Box) Crash() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.crash("crash")
}

// crash stops the box; the caller holds the fleet's mutex.
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

// Restart starts a crashed box again, cold.
func (b *Box) Restart() error { return b.start(true) }

// Drain starts or ends draining: a draining box keeps its sessions and refuses new ones.
func (b *Box) Drain(on bool) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if b.state = "ready"; on {
		b.state = "draining"
	}
}

// SetFaults calls change with the box's faults, with the fleet locked.
func (b *Box) SetFaults(change func(*Faults)) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	change(&b.faults)
}

// DivideUplink divides the uplink rate of a rack; a divisor of 1 restores it.
func (f *Fleet) DivideUplink(rack int, divisor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uplinkDivisors[rack] = divisor
}

// IsolateZone blocks traffic between a zone and the others in both directions; -1 unblocks it.
func (f *Fleet) IsolateZone(zone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolatedZone = zone
}

// isCutOff reports whether requests of an edge cannot reach the box because IsolateZone separates their zones.
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

// TotalLinkRate returns the sum of all link rates in kB/s.
func (f *Fleet) TotalLinkRate() (sum float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.Boxes {
		sum += b.linkRate
	}
	return sum
}

// ActualFleet returns the fleet with its actual link rates and without sessions, for a plan made with complete
// knowledge.
func (f *Fleet) ActualFleet() *peaks.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	actual := &peaks.Fleet{Cells: f.Site.Cells, NoCompetingLoad: true}
	for _, u := range f.uplinkRates {
		actual.Uplinks = append(actual.Uplinks, u/peaks.MaxUtilization)
	}
	for i, b := range f.Boxes {
		actual.Boxes = append(actual.Boxes, peaks.Box{ID: b.Addr, Rack: b.rack, Cell: f.Site.Boxes[i].Cell,
			LinkCapacity: b.linkRate / peaks.MaxUtilization, MaxStreams: float64(b.streamSlots), RampShare: 1})
	}
	return actual
}

// RefusalCause returns why an edge refused a viewer of a title, judged by the actual state of all boxes rather than
// by what the edge knows.
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
			if position, _, _ := strings.Cut(s.edge, "."); s.title == title && s.class == classConfig.Name &&
				position == strconv.Itoa(edge) {
				seatsTaken++
			}
		}
		if !b.running || b.state != "ready" || b.faults.Hang || b.faults.Refuse {
			continue
		}
		hasSlot := len(b.sessions) < b.streamSlots
		hasCapacity := hasSlot && b.currentLinkRate()*(1-b.linkUtilization) >= minRate &&
			f.uplinkRates[b.rack]/f.uplinkDivisors[b.rack]-rackDemand[b.rack] >= minRate
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

// SessionCount returns the number of sessions that the box runs.
func (b *Box) SessionCount() int {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return len(b.sessions)
}

// newEntry returns an audit entry of the box about a session.
func (b *Box) newEntry(event string, s *session) audit.Entry {
	return audit.Entry{Observer: "box", Subject: b.Addr, Event: event, Session: s.id, Edge: s.edge, Title: s.title,
		Class: s.class, Rung: s.rung, Attempt: s.attempt, Viewer: s.viewer}
}

// endSession removes a session and logs its end.
func (b *Box) endSession(s *session, reason string) {
	e := b.newEntry(audit.SessionEnd, s)
	e.Text = reason
	b.fleet.Log.Add(e)
	delete(b.sessions, s.id)
}

// currentLinkRate returns the link rate in kB/s, reduced by LinkDivisor.
func (b *Box) currentLinkRate() float64 {
	if b.faults.LinkDivisor > 0 {
		return b.linkRate / b.faults.LinkDivisor
	}
	return b.linkRate
}

// run updates rate shares and sends notes at every tick until ctx is done.
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

// updateShares computes for each box which share of the requested rates its link and uplink can carry.
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
	// Copies are lower-effort traffic (RFC 8622): they get the rate that viewers leave unused, and do not count in
	// the reported utilization of links.
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

// uplinkUtilization returns the rate requested by all sessions of a rack over the rate of its uplink.
func (f *Fleet) uplinkUtilization(rack int) float64 {
	sum := 0.0
	for _, b := range f.Boxes {
		if b.rack == rack {
			sum += b.linkUtilization * b.currentLinkRate()
		}
	}
	return sum / max(f.uplinkRates[rack]/f.uplinkDivisors[rack], 1e-9)
}

// sendNotes sends the notes that are due at tick n to each edge. A note names one session of the edge; an edge without
// sessions on this box gets keep-alive lines only.
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

// sendNote queues a line for an edge's event stream, after a delay.
func (b *Box) sendNote(e *eventStream, line string, delay time.Duration) {
	enqueue := func() {
		select {
		case e.lines <- line:
		default: // drops the note if the edge does not read
		}
	}
	if delay > 0 {
		time.AfterFunc(delay, enqueue)
		return
	}
	enqueue()
}

// endEdgeSessions releases all sessions of an edge whose event stream stayed closed for longer than edgeTimeout.
func (b *Box) endEdgeSessions(edge string) {
	for _, s := range b.sessions {
		if s.edge == edge {
			b.endSession(s, "edge gone")
		}
	}
	delete(b.eventStreams, edge)
}

// handleEvents streams notes to an edge. The first line has the edge's sessions, including those that it takes over
// from an earlier instance at its position.
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
		case sessionPosition == position: // session of an earlier instance: the new one takes it over
			s.edge = edge
			takenOver = append(takenOver, map[string]any{"id": s.id, "title": s.title, "class": s.class, "viewer": s.viewer,
				"rung": s.rung, "best": s.bestRung, "since_ms": time.Since(s.startedAt).Milliseconds()})
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

// setLoadHeader reports the box's load in a CMSD header (CTA-5006) with custom keys.
func (b *Box) setLoadHeader(w http.ResponseWriter) {
	w.Header().Set("CMSD-Dynamic", fmt.Sprintf(`"box";example.rainpulley-streams=%d;example.rainpulley-link=%.4f;example.rainpulley-uplink=%.4f`,
		len(b.sessions), b.linkUtilization, b.fleet.uplinkUtilization(b.rack)))
}

// handleSetUp handles a set-up attempt, in this order: overload check of a cold box, hang, refusal if draining or
// full, set-up time, second refusal check, run.
func (b *Box) handleSetUp(w http.ResponseWriter, r *http.Request) {
	f, q := b.fleet, r.URL.Query()
	s := &session{id: r.PathValue("id"), edge: q.Get("edge"), title: q.Get("title"), class: q.Get("class"),
		viewer: q.Get("viewer"), startedAt: time.Now()}
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

// refusalReason returns the reason for refusing a set-up of a title, or "" if it can run.
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

// checkColdLoad counts set-ups during slow start. The box crashes when more arrive within FallSpan than
// FallFactor times its ramp rate allows, plus 3 for random variation.
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
	rampRate := float64(b.streamSlots) / r.Ramp.Std().Seconds() *
		(r.StartShare + (1-r.StartShare)*age.Seconds()/r.Ramp.Std().Seconds())
	if float64(len(b.recentSetUps)) > r.FallFactor*rampRate*r.FallSpan.Std().Seconds()+3 {
		b.fleet.Log.Add(audit.Entry{Observer: "box", Subject: b.Addr, Event: audit.BoxOverloaded})
		b.crash("fell")
	}
}

// rungRate returns the rate of a rung for a class in kB/s.
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
