package node

import (
	"context"
	"net"
	"time"
)

// isClosed tells whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// leave ends a front node's service. What still arrives is served, and sessions play on: they end with the node
// that holds them. It goes shortly before it may be killed, and then only what is not answered by its deadline fails.
func (n *Node) waitBeforeShutdown() {
	n.Log.Info("leaving")
	time.Sleep(n.shutdownDelay())
}

// staysFor is how long after SIGTERM the node stays: most of what arrives has its deadline by then, and the earliest
// kill is not near. Where all deadlines are short it stays until the last requests have come: one that found nobody
// listening would be lost.
func (n *Node) shutdownDelay() time.Duration {
	return max(n.ArrivalWindow+n.longestDeadline()-shutdownMargin, n.ArrivalWindow-lastArrivalMargin)
}

// maxCountedDeadline is what the platform takes for a longer deadline when it says when a node may be killed.
const maxCountedDeadline = 3 * time.Second

// longest is the longest deadline of a class, as the platform counts it.
func (n *Node) longestDeadline() (d time.Duration) {
	for _, k := range n.Config.Set.Classes {
		d = max(d, k.Deadline)
	}
	return min(d, maxCountedDeadline)
}

// shutDown ends everything in the order in which nothing that is owed is lost: requests, servers, the owner, viewers.
func (n *Node) shutDown(listener net.Listener, serveDone <-chan struct{}, stopOrchestrator context.CancelFunc, orchestratorDone <-chan struct{}) {
	n.viewerConns.shuttingDown.Store(true)
	n.viewerConns.stopListening(listener)
	n.orchestrator.FinishRequests()
	pollUntil(backlogTimeout, func() bool { return isClosed(serveDone) })
	_ = listener.Close()
	<-serveDone
	// Servers first: what they have said is passed on, what they say from now on they keep for the next instance. With the
	// owner stopped first, releases that came in the last moments were heard and told nobody (seen: 35 sessions in 279 restarts).
	n.pool.shutDown()
	stopOrchestrator()
	<-orchestratorDone
	n.viewerConns.closeAll()
	n.goroutines.Wait()
	n.Log.Info("ended", "sessions", n.orchestrator.Stats.Open.Load(), "near", &n.nearMisses)
}
