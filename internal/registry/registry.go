// Package registry reads the list of boxes and titles from a site file or a Consul catalogue. Every source delivers
// complete lists, each with its version, its age and the source's name; package reconcile resolves differences
// between them.
package registry

import (
	"context"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/reconcile"
	"rainpulley/internal/view"
)

// Box is a source's description of one box.
type Box struct {
	reconcile.Entry
	Zone, Kind string
	Cell       int
	Weight     float64
}

// Snapshot is a source's complete list at one moment.
type Snapshot struct {
	Source  string
	Version uint64        // rises with each change; may restart when the source restarts
	Age     time.Duration // of the list when it was received; a stale read reports its lag behind the leader
	Boxes   []Box         // in order of their ids
	Titles  []view.Title  // nil: the source does not describe titles
	Faults  []string      // entries that were left out, with the reason

	InvalidTitles map[string]string // titles that have an entry which was left out, with the reason, by name
	InvalidBoxes  []reconcile.Entry // boxes that have an entry whose description was left out, with what else it says
}

// Source delivers snapshots of the fleet until ctx ends. A temporary error is passed to onError and the read is
// retried; nothing is delivered meanwhile, so that the age of the last snapshot grows.
type Source interface {
	Name() string
	Watch(ctx context.Context, deliver func(Snapshot), onError func(error))
}

// Static delivers the boxes of the site file. It repeats them at each interval, so that they count as current.
type Static struct {
	Site     func() *config.Site
	Interval time.Duration
}

// Name returns the name of the source.
func (s *Static) Name() string { return "site" }

// Watch delivers a snapshot at once and then at each interval, until ctx ends.
func (s *Static) Watch(ctx context.Context, deliver func(Snapshot), _ func(error)) {
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	for n := uint64(1); ; n++ {
		site := s.Site()
		snapshot := Snapshot{Source: s.Name(), Version: n}
		for _, b := range site.Boxes {
			snapshot.Boxes = append(snapshot.Boxes, Box{Entry: reconcile.Entry{ID: b.Addr, Address: b.Addr},
				Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, Weight: b.Weight})
		}
		deliver(snapshot)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
