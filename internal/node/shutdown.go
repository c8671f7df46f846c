package node

import (
	"context"
	"net"
	"time"
)

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitBeforeShutdown delays the shutdown. Meanwhile requests that still arrive are served, and sessions keep playing, as
// they end only when the node that holds them exits. The node exits shortly before it may be killed, so that only requests with a
// deadline after that fail.
func (n *Node) waitBeforeShutdown() {
	n.Log.Info("shutting down")
	time.Sleep(n.shutdownDelay())
}

// shutdownDelay returns how long the node keeps serving after SIGTERM. By then the deadlines of most requests have
// passed, and shutdownMargin is left before the earliest kill. If all deadlines are short, the node stays until the
// last requests have arrived: a request that finds no listener would be lost.
func (n *Node) shutdownDelay() time.Duration {
	return max(n.ArrivalWindow+n.longestDeadline()-shutdownMargin, n.ArrivalWindow-lastArrivalMargin)
}

// maxCountedDeadline caps a class's deadline where the platform computes the earliest time at which a node may be
// killed.
const maxCountedDeadline = 3 * time.Second

// longestDeadline returns the longest deadline of all classes, capped as the platform does.
func (n *Node) longestDeadline() (d time.Duration) {
	for _, k := range n.Config.Set.Classes {
		d = max(d, k.Deadline)
	}
	return min(d, maxCountedDeadline)
}

// shutDown stops all parts of the node in the order in which no pending message is lost: requests, connections to
// servers, the orchestrator, connections to viewers.
func (n *Node) shutDown(listener net.Listener, serveDone <-chan struct{},
	stopOrchestrator context.CancelFunc, orchestratorDone <-chan struct{}) {
	n.viewerConns.shuttingDown.Store(true)
	n.viewerConns.stopListening(listener)
	n.orchestrator.FinishRequests()
	pollUntil(backlogTimeout, func() bool { return isClosed(serveDone) })
	_ = listener.Close()
	<-serveDone
	// Connections to servers are closed before the orchestrator stops: messages received so far are passed on, and
	// servers keep later ones for the next instance. With the orchestrator stopped first, releases received in the
	// last moments were not forwarded to viewers (observed for 35 sessions in 279 restarts).
	n.pool.shutDown()
	stopOrchestrator()
	<-orchestratorDone
	n.viewerConns.closeAll()
	n.goroutines.Wait()
	n.Log.Info("shutdown complete", "sessions", n.orchestrator.Stats.Open.Load(), "near", &n.nearMisses,
		"use", n.resourceUse())
}
