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
	"rainpulley/internal/starttime"
)

// Node is one running front node.
type Node struct {
	Config     *Config
	ConfigPath string // of the configuration, read again at SIGHUP
	Log        *slog.Logger
	// Listener takes viewers; nil: where the configuration says.
	Listener net.Listener
	// Arriving is how long after SIGTERM requests still come.
	ArrivalWindow time.Duration
	// Dial opens a connection to a server.
	Dial            func(ctx context.Context, addr string, within time.Duration) (net.Conn, error)
	beforeAdmission func(id string)     // if set, called ahead of the admission of a set-up's first byte
	yieldProcessor  func()              // lets other goroutines go first
	controller      *control.Controller // touched on the owner's goroutine only
	orchestrator    *core.Orchestrator
	pool            *pool
	viewerConns     *viewerConns
	follower        *coordinator.Follower
	serveCtx        context.Context // ends with the service of the node
	startedAt       time.Time
	startUnixTime   time.Duration
	goroutines      sync.WaitGroup

	mu            sync.Mutex
	sessions      map[string]*session // that wait or stand, by id
	recentAnswers answerCache         // given a short time ago

	resendWindow time.Duration // see defaultResendWindow

	startTranslatorMu sync.Mutex
	startTranslator   starttime.Translator // of servers, from the coordinator's clock to this node's

	nearMisses nearMissCounters
	clocks     clockMonitor
}

const (
	minSockets           = 64
	socketSlack          = 50 * time.Millisecond  // every time limit is so much longer on sockets
	defaultArrivalWindow = 700 * time.Millisecond // after SIGTERM requests still come so long
	shutdownMargin       = 350 * time.Millisecond // the node begins to end so long before the earliest kill

	// afterLastArrival is the part of Arriving in which no request comes any more: the platform sends the last ones 0.6 s
	// after SIGTERM at most.
	lastArrivalMargin = 50 * time.Millisecond

	flushTimeout      = 100 * time.Millisecond
	backlogTimeout    = 100 * time.Millisecond // connections that keep coming while the node ends are taken so long
	maxQueuedRequests = 1024
)

// New makes a front node.
func New(c *Config, path string, log *slog.Logger) (*Node, error) {
	n := &Node{Config: c, ConfigPath: path, Log: log, ArrivalWindow: defaultArrivalWindow, Dial: dialTCP, yieldProcessor: runtime.Gosched, startedAt: time.Now(), sessions: map[string]*session{},
		resendWindow:  defaultResendWindow,
		recentAnswers: answerCache{retention: defaultAnswerRetention, byID: map[string]*session{}}}
	n.startUnixTime = time.Duration(n.startedAt.UnixNano())
	set := c.Set
	set.AllowPeerMessages = false // nothing tells where they are
	decider, err := control.New(set, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	n.controller = decider
	n.pool = newPool(n, c.Sockets*3/8)
	n.viewerConns = newViewerConns(n, c.Sockets/2)
	n.orchestrator = core.New(core.Options{QueueSize: maxQueuedRequests, MaxAttempts: c.Set.MaxAttempts, AnswerSlack: c.Platform.AnswerSlack + socketSlack,
		Budget: core.Budget{Span: c.Set.BudgetSpan, Share: c.Set.BudgetShare}, Log: log, Decider: decider, Executor: n.pool, Now: n.now})
	n.follower = coordinator.New(c.Coordinator, c.Known.Index, c.Platform.ConnectTimeout, log, n.handleUpdates)
	n.follower.OnResponse = n.recordCoordinatorContact
	return n, nil
}

// Limits has the runtime keep to a front node's limits.
func ApplyLimits(c *Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
}

// now is Unix time that never steps back while the node runs.
func (n *Node) now() time.Duration { return n.startUnixTime + time.Since(n.startedAt) }

// at is the same of a moment that is known.
func (n *Node) unixTime(t time.Time) time.Duration { return n.startUnixTime + t.Sub(n.startedAt) }

// patience is what a context leaves.
func (n *Node) timeLeft(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return 0
}

func (n *Node) startGoroutine(f func()) {
	n.goroutines.Go(f)
}

// take brings updates of the list to pool and module.
func (n *Node) handleUpdates(updates []coordinator.Update) error {
	return n.applyUpdates(updates, false)
}

func (n *Node) applyUpdates(updates []coordinator.Update, cached bool) error {
	entries, whole := coordinator.Merge(updates)
	list, unusable := n.Config.parseServers(entries)
	n.translateStartTimes(list, whole)
	for _, err := range unusable {
		n.Log.Warn("entry of the server list not used", "error", err)
	}
	switch {
	case len(list) > 0:
	case len(unusable) > 0:
		return errNoUsableEntry
	case !whole:
		return nil
	}
	addresses := make(map[string]string, len(entries))
	for _, e := range entries {
		addresses[e.ID] = e.Addr
	}
	// The module first: a set-up that the pool holds back for a drain ends behind it, and is placed anew.
	n.orchestrator.AddEvent(control.ListUpdate{Whole: whole || cached, Cached: cached, Servers: list})
	n.pool.applyList(list, addresses, whole)
	n.Log.Debug("list", "whole", whole, "servers", len(list))
	return nil
}

// translateStarts puts the servers' starts into this node's time: they are told by another machine's clock.
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

// coordinatorHeard notes that the coordinator has told all that it had to tell.
func (n *Node) recordCoordinatorContact() {
	n.startTranslatorMu.Lock()
	defer n.startTranslatorMu.Unlock()
	n.startTranslator.RecordContact(n.now())
}

// Run serves until SIGTERM and what is owed after it.
func (n *Node) Run(ctx context.Context) error {
	termCtx, stopTerm := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopTerm() // until the end: a second SIGTERM changes nothing
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
	listener := n.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", n.Config.Listen); err != nil {
			stop()
			return fmt.Errorf("listen: %w", err)
		}
	}
	n.startGoroutine(func() { n.follower.Run(runCtx) })
	n.startGoroutine(func() { runEvery(runCtx, watchInterval, func() { n.pool.checkServers(runCtx) }) })
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

// expire lets go of notices and answers that are too old to be of use.
func (n *Node) expireNoticesAndAnswers() {
	n.viewerConns.expireNotices()
	n.expireAnswers()
}

const compareCountsInterval = 2 * time.Second

// compare logs where the module's count of own sessions at a server is not that on the sockets. For a moment
// they may differ, while a set-up is out or a release on its way.
func (n *Node) compareSessionCounts() {
	n.orchestrator.Inspect(func() {
		for id, counts := range n.pool.countSessions(n.controller.OwnSessionCount) {
			if counts.controller != counts.sockets {
				n.Log.Debug("belief", "server", id, "module", counts.controller, "sockets", counts.sockets)
			}
		}
	})
}

// reloads takes a new coordinator's address at SIGHUP. A file that cannot be read changes nothing.
func (n *Node) reloadOnHangup(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		c, err := ReadConfig(n.ConfigPath)
		if err != nil {
			n.Log.Error("configuration not reloaded, the one before stays", "error", err)
			continue
		}
		n.Log.Info("configuration reloaded", "coordinator", c.Coordinator)
		n.follower.SwitchAddress(c.Coordinator, c.Known)
	}
}

// begin enters a set-up, or returns the one that is open under its id.
func (n *Node) register(s *session) (existing *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if existing = n.sessions[s.id]; existing != nil {
		return existing
	}
	n.sessions[s.id] = s
	return nil
}

func (n *Node) findSession(id string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sessions[id]
}

// waits tells whether a request under an id still waits for its answer.
func (n *Node) awaitsAnswer(id string) bool {
	s := n.findSession(id)
	return s != nil && s.awaitsAnswer()
}

func (n *Node) unregister(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sessions[s.id] == s {
		delete(n.sessions, s.id)
	}
}

// adopt takes over a session that plays already; one that is held stays as it is.
func (n *Node) adopt(r control.Request, s *session) {
	if n.register(s) != nil {
		return
	}
	end, ended := n.pool.adopt(r.ID, r.Server)
	s.conn.addSessions(1)
	n.orchestrator.Adopt(r, -1, s)
	if ended {
		n.orchestrator.EndedByServer(r.ID, r.Server, end.outcome, end.load)
	}
}
