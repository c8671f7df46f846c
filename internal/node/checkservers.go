package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"rainpulley/control"
	"rainpulley/internal/liveness"
	"rainpulley/internal/socketerror"
)

const (
	checkServersInterval = 200 * time.Millisecond
	checkTimeout         = 1200 * time.Millisecond // exceeds the 1 s after which a lost SYN is retransmitted (RFC 6298)
)

// runEvery calls fn at once and then at each interval, until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, fn func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// checkServers checks all servers once, and keeps one connection open to each server with sessions. Servers without
// any connection come first, in the order in which they lost their last one.
func (p *pool) checkServers(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed { // nothing reads a new connection: a message on it would not reach the next instance of this node
		return
	}
	now := p.node.now()
	var due []*server
	for _, s := range p.servers {
		p.closeSurplus(s, now)
		p.expire(s, now)
		p.queueHeldReleases(s)
		if len(s.activeSessions) == 0 && !s.pendingReleases.HasWaiting() {
			continue
		}
		p.loseSuspectedSessions(s, now)
		switch p.nextVerdict(s, now) {
		case liveness.Check:
			due = append(due, s)
		case liveness.Lost:
			p.loseSessions(s, "server unreachable")
		}
	}
	slices.SortFunc(due, func(a, b *server) int {
		return cmp.Or(cmp.Compare(len(a.conns), len(b.conns)), cmp.Compare(a.unconnectedSince, b.unconnectedSince),
			cmp.Compare(a.id, b.id))
	})
	for _, s := range due {
		if p.reserveSlotForCheck(s, now) {
			p.node.startGoroutine(func() { p.checkServer(ctx, s) })
			continue
		}
		s.detector.DeferCheck()
		p.node.nearMisses.checksDeferred.Add(1)
	}
	p.removeGoneServers()
}

// nextVerdict returns the failure detector's verdict on a server with sessions. It also returns Check if a scheduled
// reconnect is due.
func (p *pool) nextVerdict(s *server, now time.Duration) liveness.Verdict {
	verdict := s.detector.Next(now, p.node.Config.Set.LinkNoteInterval, len(s.conns), s.state != control.Gone)
	if verdict == liveness.Wait && s.reconnectAt > 0 && now >= s.reconnectAt && s.detector.BeginCheck(now) {
		return liveness.Check
	}
	return verdict
}

// expire drops releases that have waited for too long, and session ends that no adoption has claimed in time.
func (p *pool) expire(s *server, now time.Duration) {
	for _, id := range s.pendingReleases.Expire(now) {
		p.node.nearMisses.releasesExpired.Add(1)
		p.node.Log.Warn("release not delivered to server: no connection could be established in time",
			"session", id, "server", s.id)
	}
	for id, e := range s.earlyEnds {
		if now-e.receivedAt > earlyEndTimeout {
			delete(s.earlyEnds, id)
		}
	}
}

// checkServer checks whether a server accepts a connection, in the slot reserved for it. If the first dial takes
// longer than ConnectTimeout, a second one starts in parallel: a single lost or late handshake is no evidence of a
// failure. Observed: after two late handshakes in a row, sessions that were still playing were released. A connection
// that is established is kept.
func (p *pool) checkServer(ctx context.Context, s *server) {
	var second sync.WaitGroup
	defer second.Wait()
	connected := make(chan struct{})
	second.Go(func() {
		retryTimer := time.NewTimer(p.node.Config.Platform.ConnectTimeout)
		defer retryTimer.Stop()
		select {
		case <-connected:
		case <-ctx.Done():
		case <-retryTimer.C:
			if p.reserveFreeSlot() {
				p.dialForCheckOnce(ctx, s)
			}
		}
	})
	if p.dialForCheckOnce(ctx, s) {
		close(connected)
	}
}

// dialForCheckOnce dials in a reserved slot. It reports whether the result is conclusive, so that a second dial would
// not change it.
func (p *pool) dialForCheckOnce(ctx context.Context, s *server) bool {
	c, err := p.dial(ctx, s, checkTimeout, dialForCheck)
	if err == nil {
		p.putBack(c)
		return true
	}
	p.node.Log.Debug("no connection to server", "server", s.id, "error", err)
	if errors.Is(err, errNoSlot) || errors.Is(err, errLocal) || errors.Is(err, errServerChanged) || ctx.Err() != nil {
		p.mu.Lock()
		s.detector.DiscardCheck(p.node.now())
		p.mu.Unlock()
		return true
	}
	return socketerror.Classify(err, socketerror.Connect) == socketerror.PeerRefused
}
