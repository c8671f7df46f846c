package registry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/consul/api"

	"rainpulley/internal/config"
)

// TestSlowCatalogue guards against a catalogue that is never heard because each of its answers comes later than a fixed
// limit (5 s after the wait): its planner knew of no change for as long as it was slow.
func TestSlowCatalogue(t *testing.T) {
	const wait = 10 * time.Second
	for _, late := range []time.Duration{0, 4 * time.Second, 6 * time.Second, 30 * time.Second, 5 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			c := &Consul{Config: config.Consul{Wait: config.Duration(wait), Consistency: "default"}}
			ctx, stop := context.WithCancel(t.Context())
			started := time.Now()
			answers := 0
			c.runBlockingQuery(ctx, "boxes", func(err error) {
				if !errors.Is(err, context.Canceled) {
					t.Errorf("%v late: %v", late, err)
				}
			}, func(q *api.QueryOptions) (*api.QueryMeta, func(), error) {
				delay := late
				if q.WaitIndex > 0 {
					delay += wait
				}
				select {
				case <-time.After(delay):
				case <-q.Context().Done():
					return nil, nil, q.Context().Err()
				}
				return &api.QueryMeta{LastIndex: 7, KnownLeader: true}, func() {
					if answers++; answers == 3 {
						stop()
					}
				}, nil
			})
			if took, bound := time.Since(started), 6*(late+wait)+time.Second; answers != 3 || took > bound {
				t.Errorf("%v late: %d answers in %v, want 3 in %v", late, answers, took, bound)
			}
		})
	}
}
