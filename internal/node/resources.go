package node

import (
	"log/slog"
	"runtime"
	"runtime/metrics"
)

const (
	heapBytesMetric  = "/memory/classes/heap/objects:bytes"
	totalBytesMetric = "/memory/classes/total:bytes"
)

// resourceUse returns what the process holds, for the log: whatever a client can make grow shows here.
func (n *Node) resourceUse() slog.Value {
	samples := []metrics.Sample{{Name: heapBytesMetric}, {Name: totalBytesMetric}}
	metrics.Read(samples)
	n.mu.Lock()
	sessions, cached := len(n.sessions), len(n.recentAnswers.order)
	n.mu.Unlock()
	return slog.GroupValue(slog.Int("goroutines", runtime.NumGoroutine()), slog.Uint64("heap", samples[0].Value.Uint64()),
		slog.Uint64("memory", samples[1].Value.Uint64()), slog.Int("queued", n.orchestrator.QueueLen()),
		slog.Int("sessions", sessions), slog.Int("answers cached", cached),
		slog.Int("viewer connections", n.viewerConns.count()), slog.Int("server connections", n.pool.count()))
}

// count returns the number of open viewer connections.
func (v *viewerConns) count() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.conns)
}

// count returns the number of connections to servers that are open or being opened.
func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}
