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
	watchInterval = 200 * time.Millisecond
	checkTimeout  = 1200 * time.Millisecond // a handshake that got lost is sent again after a second (RFC 6298)
)

// every calls do at once and then at each interval, until ctx ends.
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

// watch holds one connection to each server with sessions: it looks at all servers once. Those that need a connection get one in the order in which they lost their last.
func (p *pool) checkServers(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed { // what a server said on a connection that nobody reads would be lost for the next instance
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
		switch p.nextVerdict(s, now) {
		case liveness.Check:
			due = append(due, s)
		case liveness.Lost:
			p.loseSessions(s, "no connection comes up")
		}
	}
	slices.SortFunc(due, func(a, b *server) int {
		return cmp.Or(cmp.Compare(len(a.conns), len(b.conns)), cmp.Compare(a.unconnectedSince, b.unconnectedSince), cmp.Compare(a.id, b.id))
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

// verdict asks the failure detector of a server with sessions. One whose connection ended has another opened anyway.
func (p *pool) nextVerdict(s *server, now time.Duration) liveness.Verdict {
	verdict := s.detector.Next(now, p.node.Config.Set.LinkNoteInterval, len(s.conns), s.state != control.Gone)
	if verdict == liveness.Wait && s.reconnectAt > 0 && now >= s.reconnectAt && s.detector.BeginCheck(now) {
		return liveness.Check
	}
	return verdict
}

// expire forgets what a server need not be told, and what it told, any more.
func (p *pool) expire(s *server, now time.Duration) {
	for _, id := range s.pendingReleases.Expire(now) {
		p.node.nearMisses.releasesExpired.Add(1)
		p.node.Log.Warn("server not told to end a session: no connection came up", "session", id, "server", s.id)
	}
	for id, e := range s.earlyEnds {
		if now-e.receivedAt > earlyEndTimeout {
			delete(s.earlyEnds, id)
		}
	}
}

// check tries to connect with the connection reserved for it, a second time beside the first where that does not come
// up as fast as settings say: one lost handshake, or one that comes late, proves nothing (seen: two late ones in a row,
// and sessions that played on were released). A connection that comes up is kept.
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

// tryOnce dials on a reserved connection. It tells whether the try has a result already that a second one would not
// change.
func (p *pool) dialForCheckOnce(ctx context.Context, s *server) bool {
	l, err := p.dial(ctx, s, checkTimeout, dialForCheck)
	if err == nil {
		p.putBack(l)
		return true
	}
	p.node.Log.Debug("no connection", "server", s.id, "error", err)
	if errors.Is(err, errNoSlot) || errors.Is(err, errLocal) || errors.Is(err, errServerChanged) || ctx.Err() != nil {
		p.mu.Lock()
		s.detector.DiscardCheck(p.node.now())
		p.mu.Unlock()
		return true
	}
	return socketerror.Classify(err, socketerror.Connect) == socketerror.PeerRefused
}
