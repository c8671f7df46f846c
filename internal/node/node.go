package node

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"rainpulley/control"
	"rainpulley/internal/coordinator"
	"rainpulley/internal/core"
	"rainpulley/internal/lifecycle"
	"rainpulley/internal/membudget"
	"rainpulley/internal/starttime"
)

// Node is one running front node.
type Node struct {
	Config     *Config
	ConfigPath string // file of the configuration, read again at SIGHUP
	Log        *slog.Logger
	// Listener accepts viewers; if nil, Run listens on Config.Listen.
	Listener net.Listener
	// ArrivalWindow is how long after SIGTERM requests may still arrive.
	ArrivalWindow time.Duration
	// Dial opens a connection to a server within a time-out.
	Dial            func(ctx context.Context, addr string, within time.Duration) (net.Conn, error)
	beforeAdmission func(id string)     // test hook, called before a set-up is admitted to its connection
	yieldProcessor  func()              // yields to other goroutines; replaced in tests
	controller      *control.Controller // accessed only on the orchestrator's goroutine
	orchestrator    *core.Orchestrator
	pool            *pool
	viewerConns     *viewerConns
	follower        *coordinator.Follower
	serveCtx        context.Context // cancelled when the node stops serving
	startedAt       time.Time
	startUnixTime   time.Duration
	goroutines      sync.WaitGroup

	mu            sync.Mutex
	sessions      map[string]*session // waiting or playing, by id
	adoptedCount  int                 // of these, sessions that were taken over
	recentAnswers answerCache         // recent final answers, repeated to viewers that send a set-up again

	resendWindow time.Duration // see defaultResendWindow

	addressOwnersMu sync.Mutex
	addressOwners   coordinator.AddressOwners

	startTranslatorMu sync.Mutex
	startTranslator   starttime.Translator // translates servers' start times from the coordinator's clock to this node's

	ledger     *lifecycle.Ledger
	nearMisses nearMissCounters
	// viewerMemory is what messages from and to viewers may take.
	viewerMemory *membudget.Budget
	burstLimiter burstLimiter

	activity      activity
	kernelCounts  kernelCounts
	allInputCheck inputCheck
	clocks        clockMonitor
}

const (
	minSockets           = 64
	socketSlack          = 50 * time.Millisecond  // added to time limits for delays of socket I/O
	defaultArrivalWindow = 700 * time.Millisecond // requests may still arrive this long after SIGTERM
	shutdownMargin       = 350 * time.Millisecond // shutdown begins this long before the earliest kill

	// lastArrivalMargin is the last part of ArrivalWindow, in which no request arrives any more: the platform sends
	// the last ones 0.6 s after SIGTERM at most.
	lastArrivalMargin = 50 * time.Millisecond

	flushTimeout      = 100 * time.Millisecond
	backlogTimeout    = 100 * time.Millisecond // connections that still arrive during shutdown are accepted this long
	maxQueuedRequests = 1024
)

// New returns a front node for a configuration read from path.
func New(c *Config, path string, log *slog.Logger) (*Node, error) {
	n := &Node{Config: c, ConfigPath: path, Log: log, ArrivalWindow: defaultArrivalWindow, Dial: dialTCP,
		yieldProcessor: runtime.Gosched, startedAt: time.Now(), sessions: map[string]*session{},
		resendWindow:  defaultResendWindow,
		recentAnswers: answerCache{retention: defaultAnswerRetention, limit: c.MemoryMB * cachedAnswersPerMB, byIdentity: map[lifecycle.Identity]*session{}}}
	n.startUnixTime = time.Duration(n.startedAt.UnixNano())
	n.viewerMemory = membudget.New(c.MemoryMB << 20 / viewerMemoryShare)
	n.ledger = lifecycle.NewLedger(c.MemoryMB*rememberedPerMB, n.reportViolation)
	set := c.Set
	set.AllowPeerMessages = false // the addresses of other front nodes are not available
	decider, err := control.New(set, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	n.controller = decider
	n.pool = newPool(n, c.Sockets*3/8)
	n.viewerConns = newViewerConns(n, c.Sockets/2)
	n.orchestrator = core.New(core.Options{QueueSize: maxQueuedRequests, MaxAttempts: c.Set.MaxAttempts,
		AnswerSlack: c.Platform.AnswerSlack + socketSlack,
		Budget:      core.Budget{Span: c.Set.BudgetSpan, Share: c.Set.BudgetShare}, Log: log,
		Decider: decider, Executor: n.pool, Now: n.now})
	n.follower = coordinator.New(c.Coordinator, c.Known.Index, log, n.handleUpdates)
	n.follower.OnResponse = n.recordCoordinatorContact
	return n, nil
}

// rememberedPerMB is how many set-ups that may have run are remembered for each megabyte of the node's memory.
const rememberedPerMB = 128

// reportViolation logs a rule that this node has broken.
func (n *Node) reportViolation(v lifecycle.Violation, id, detail string) {
	n.Log.Error("rule broken", "violation", v.String(), "session", id, "detail", detail)
}

// ApplyLimits sets the runtime's processor and memory limits from the configuration.
func ApplyLimits(c *Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
}

// now returns the Unix time, derived from the monotonic clock: it never steps back while the node runs.
func (n *Node) now() time.Duration { return n.startUnixTime + time.Since(n.startedAt) }

// unixTime converts a time to the time base of now.
func (n *Node) unixTime(t time.Time) time.Duration { return n.startUnixTime + t.Sub(n.startedAt) }

// timeLeft returns the time until a context's deadline; 0 if it has none.
func (n *Node) timeLeft(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return 0
}

func (n *Node) startGoroutine(f func()) {
	n.goroutines.Go(f)
}

// handleUpdates applies updates of the server list to the pool and the controller.
func (n *Node) handleUpdates(updates []coordinator.Update) error {
	return n.applyUpdates(updates, false)
}

func (n *Node) applyUpdates(updates []coordinator.Update, cached bool) error {
	entries, whole := coordinator.Merge(updates)
	n.addressOwnersMu.Lock()
	entries = n.addressOwners.Apply(entries, whole)
	n.addressOwnersMu.Unlock()
	list, unusable := n.Config.parseServers(entries)
	n.translateStartTimes(list, whole)
	for _, err := range unusable {
		n.Log.Warn("skipping unusable entry of the server list", "error", err)
	}
	switch {
	case len(list) > 0:
	case len(unusable) > 0:
		return errNoUsableEntry
	case !whole:
		return nil
	}
	reports := make(map[string]serverReport, len(entries))
	for _, e := range entries {
		reports[e.ID] = serverReport{addr: e.Addr, startedMs: e.StartedMs}
	}
	// The controller is updated first: when the pool then stops a set-up because its server drains, the controller
	// knows of the drain and places the set-up on another server.
	n.orchestrator.AddEvent(control.ListUpdate{Whole: whole || cached, Cached: cached, Servers: list})
	n.pool.applyList(list, reports, whole)
	n.Log.Debug("server list applied", "whole", whole, "servers", len(list))
	return nil
}

// translateStartTimes converts the servers' start times to this node's clock: in the list they are measured by the
// clock of another machine.
func (n *Node) translateStartTimes(list []control.Server, whole bool) {
	n.startTranslatorMu.Lock()
	defer n.startTranslatorMu.Unlock()
	starts := make([]starttime.Start, len(list))
	state := make(map[string]control.ServerState, len(list))
	for i, s := range list {
		starts[i] = starttime.Start{ID: s.ID, RemoteTime: s.Started}
		state[s.ID] = s.State
	}
	for i, local := range n.startTranslator.Translate(starts, n.now()) {
		list[i].Started = local
	}
	n.startTranslator.Prune(func(id string) bool {
		now, listed := state[id]
		return listed && now != control.Gone || !listed && !whole
	})
}

// recordCoordinatorContact records the time of the coordinator's last response. Its updates, if it has any, have all
// been applied.
func (n *Node) recordCoordinatorContact() {
	n.startTranslatorMu.Lock()
	defer n.startTranslatorMu.Unlock()
	n.startTranslator.RecordContact(n.now())
}

// KeepSignalsHandled has the process survive signals that arrive after Run has returned, until it exits: they come in
// series, and their default effect would be that of a crash.
func KeepSignalsHandled() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
}

// Run serves until SIGTERM, and then completes the requests that are still open.
func (n *Node) Run(ctx context.Context) error {
	termCtx, stopTerm := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopTerm() // stays registered to the end, so that a second SIGTERM has no effect
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	n.serveCtx = runCtx
	if err := n.applyUpdates(n.Config.Known.Updates, true); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	orchestratorDone := make(chan struct{})
	go func() { n.orchestrator.Run(runCtx); close(orchestratorDone) }()
	n.clocks.sample(time.Now()) // before the first request may arrive: a pause is the time since a sample
	listener := n.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", n.Config.Listen); err != nil {
			stop()
			return fmt.Errorf("listen: %w", err)
		}
	}
	n.startGoroutine(func() { n.follower.Run(runCtx) })
	n.startGoroutine(func() { runEvery(runCtx, checkServersInterval, func() { n.pool.checkServers(runCtx) }) })
	n.startGoroutine(func() { n.monitorClocks(runCtx) })
	n.startGoroutine(func() { runEvery(runCtx, noticeExpiryInterval, n.expireNoticesAndAnswers) })
	n.startGoroutine(func() { n.reloadOnHangup(runCtx, hangup) })
	if log := n.Log; log.Enabled(runCtx, slog.LevelDebug) {
		n.startGoroutine(func() { runEvery(runCtx, compareCountsInterval, n.compareSessionCounts) })
	}
	serveDone := make(chan struct{})
	n.startGoroutine(func() { defer close(serveDone); n.viewerConns.serve(listener) })
	n.Log.Info("ready", "name", n.Config.Name, "listen", n.Config.Listen)
	<-termCtx.Done()
	n.waitBeforeShutdown()
	n.shutDown(listener, serveDone, stop, orchestratorDone)
	return nil
}

// expireNoticesAndAnswers removes notices and cached answers that have exceeded their lifetimes.
func (n *Node) expireNoticesAndAnswers() {
	n.viewerConns.expireNotices()
	n.expireAnswers()
}

const compareCountsInterval = 2 * time.Second

// compareSessionCounts logs servers for which the controller's count of own sessions differs from the count on the
// sockets. A brief difference is normal while a set-up or a release is in transit.
func (n *Node) compareSessionCounts() {
	n.orchestrator.Inspect(func() {
		for id, counts := range n.pool.countSessions(n.controller.OwnSessionCount) {
			if counts.controller != counts.sockets {
				n.Log.Debug("session counts differ", "server", id, "module", counts.controller, "sockets", counts.sockets)
			}
		}
	})
}

// reloadOnHangup reads the coordinator's address again at SIGHUP. An unreadable or invalid file changes nothing.
func (n *Node) reloadOnHangup(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		c, err := ReadConfig(n.ConfigPath)
		if err != nil {
			n.Log.Error("configuration not reloaded; the previous one remains in effect", "error", err)
			continue
		}
		n.Log.Info("configuration reloaded", "coordinator", c.Coordinator)
		n.follower.SwitchAddress(c.Coordinator, c.Known)
	}
}

func (n *Node) findSession(id string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sessions[id]
}

// awaitsAnswer reports whether a request with an id still awaits its answer.
func (n *Node) awaitsAnswer(id string) bool {
	s := n.findSession(id)
	return s != nil && s.awaitsAnswer()
}

func (n *Node) unregister(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sessions[s.id] == s {
		delete(n.sessions, s.id)
		if s.adopted {
			n.adoptedCount--
		}
		n.ledger.Closed(s.identity, s.adopted || s.isWithdrawn(), n.now())
	}
}

// adopt takes over a session that plays already. A session that this node has under the same id stays unchanged. What a
// client claims to play cannot be verified, so the number of such sessions is limited.
func (n *Node) adopt(r control.Request, s *session) {
	if !n.pool.mayAdopt(r.Server) || !n.reserveAdoption() {
		n.nearMisses.adoptionsRefused.Add(1)
		n.Log.Info("session not taken over: too many", "session", r.ID, "server", r.Server, "connection", uint64(s.conn.id))
		return
	}
	if existing, _ := n.register(s, s.conn); existing != nil {
		n.freeAdoption()
		return
	}
	end, ended := n.pool.adopt(r.ID, r.Server)
	s.conn.addSessions(1)
	n.orchestrator.Adopt(r, -1, s)
	if ended {
		n.orchestrator.EndedByServer(r.ID, r.Server, end.outcome, end.load)
	}
}

// sessionsPerMB is how many requests and sessions a node holds for each megabyte of its memory.
const sessionsPerMB = 64

// hasRoom reports whether the node may hold another request.
func (n *Node) hasRoom() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions) <= n.Config.MemoryMB*sessionsPerMB
}

// adoptedSessionsPerMB is how many sessions a node takes over for each megabyte of its memory.
const adoptedSessionsPerMB = 32

// reserveAdoption reserves room for a session that is taken over.
func (n *Node) reserveAdoption() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.adoptedCount >= n.Config.MemoryMB*adoptedSessionsPerMB {
		return false
	}
	n.adoptedCount++
	return true
}

func (n *Node) freeAdoption() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adoptedCount--
}
