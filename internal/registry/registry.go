// Package registry reads the fleet from where it is described: a site file, or a Consul catalogue. Every
// source delivers whole lists, each with its version, its age and the source's name; what to believe of them
// is package belief's.
package registry

import (
	"context"
	"time"

	"rainpulley/internal/config"
	"rainpulley/internal/reconcile"
	"rainpulley/internal/view"
)

// Box is one box as a source describes it.
type Box struct {
	reconcile.Entry
	Zone, Kind string
	Cell       int
	Weight     float64
}

// Snapshot is a source's whole word at one moment.
type Snapshot struct {
	Source  string
	Version uint64        // rises with each change; of a source that starts anew it may begin again
	Age     time.Duration // of the word when it was heard: a stale reader's distance from its leader
	Boxes   []Box         // in order of their ids
	Titles  []view.Title  // nil: the source says nothing of titles
	Faults  []string      // entries that were kept out, and why
}

// Source delivers the fleet until ctx ends. An error that passes is told to fault and tried again; nothing is
// delivered meanwhile, so that the last word ages.
type Source interface {
	Name() string
	Watch(ctx context.Context, deliver func(Snapshot), fault func(error))
}

// Static is the site file's word. It is delivered again and again, as it does not age.
type Static struct {
	Site     func() *config.Site
	Interval time.Duration
}

// Name of the source.
func (s *Static) Name() string { return "site" }

// Watch delivers.
func (s *Static) Watch(ctx context.Context, deliver func(Snapshot), _ func(error)) {
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	for n := uint64(1); ; n++ {
		site := s.Site()
		snapshot := Snapshot{Source: s.Name(), Version: n}
		for _, b := range site.Boxes {
			snapshot.Boxes = append(snapshot.Boxes, Box{Entry: reconcile.Entry{ID: b.Addr, Address: b.Addr}, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, Weight: b.Weight})
		}
		deliver(snapshot)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
