package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/consul/api"

	"rainpulley/internal/config"
	"rainpulley/internal/hedge"
	"rainpulley/internal/timelimit"
)

// Consul reads boxes from the health API and titles from the key-value store, by blocking queries.
type Consul struct {
	Site   *config.Site
	Config config.Consul

	client *api.Client
}

const (
	minRetryDelay    = 200 * time.Millisecond
	maxRetryDelay    = 15 * time.Second
	minQueryInterval = 100 * time.Millisecond // limits the query rate while the catalogue changes all the time
	overdueMargin    = 5 * time.Second        // a query is overdue this long after the longest wait
	maxQueryLimit    = 10 * time.Minute       // an unanswered query is kept this long at most, beyond twice that time
	maxEntries       = 20000
)

// NewConsul makes a client without sending a request.
func NewConsul(site *config.Site) (*Consul, error) {
	c := site.Consul
	clientConfig := api.DefaultNonPooledConfig()
	clientConfig.Address, clientConfig.Scheme, clientConfig.Datacenter, clientConfig.Namespace =
		c.Address, c.Scheme, c.Datacentre, c.Namespace
	clientConfig.TokenFile = c.TokenFile
	clientConfig.TLSConfig = api.TLSConfig{Address: c.TLS.ServerName, CAFile: c.TLS.CA, CertFile: c.TLS.Cert,
		KeyFile: c.TLS.Key}
	client, err := api.NewClient(clientConfig)
	if err != nil {
		return nil, fmt.Errorf("registry: consul: %w", err)
	}
	return &Consul{Site: site, Config: c, client: client}, nil
}

// Name returns the name of the source.
func (c *Consul) Name() string { return "consul" }

// queryOptions returns the options of one blocking query from an index on.
func (c *Consul) queryOptions(ctx context.Context, index uint64) *api.QueryOptions {
	q := &api.QueryOptions{WaitIndex: index, WaitTime: c.Config.Wait.Std(), Filter: c.Config.Filter}
	switch c.Config.Consistency {
	case "stale":
		q.AllowStale = true
	case "consistent":
		q.RequireConsistent = true
	}
	return q.WithContext(ctx)
}

// Watch delivers a snapshot after each answer on boxes or titles, and returns once ctx has ended and the queries
// have stopped. The first snapshot waits for answers on both.
func (c *Consul) Watch(ctx context.Context, deliver func(Snapshot), onError func(error)) {
	var mu sync.Mutex
	var snapshot Snapshot
	var faults [2][]string // of boxes and of titles
	received := [2]bool{false, c.Config.Titles == ""}
	update := func(part int, apply func()) {
		mu.Lock()
		defer mu.Unlock()
		apply()
		received[part] = true
		if received[0] && received[1] { // a snapshot without one part would remove all titles, or all boxes
			out := snapshot
			out.Source, out.Faults = c.Name(), slices.Concat(faults[0], faults[1])
			deliver(out)
		}
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.runBlockingQuery(ctx, "boxes", onError, func(q *api.QueryOptions) (*api.QueryMeta, func(), error) {
			list, meta, err := c.client.Health().Service(c.Config.Service, "", false, q)
			if err == nil && len(list) > maxEntries {
				err = fmt.Errorf("%d entries, %d at most", len(list), maxEntries)
			}
			if err != nil {
				return meta, nil, err
			}
			return meta, func() {
				update(0, func() {
					snapshot.Boxes, snapshot.InvalidBoxes, faults[0] = parseBoxes(c.Site, list)
					snapshot.Version, snapshot.Age = max(snapshot.Version+1, meta.LastIndex), meta.LastContact
				})
			}, nil
		})
	}()
	if c.Config.Titles != "" {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.runBlockingQuery(ctx, "titles", onError, func(q *api.QueryOptions) (*api.QueryMeta, func(), error) {
				q.Filter = "" // the key-value store has no filters
				list, meta, err := c.client.KV().List(c.Config.Titles, q)
				if err != nil {
					return meta, nil, err
				}
				return meta, func() {
					update(1, func() {
						snapshot.Titles, snapshot.InvalidTitles, faults[1] = parseTitles(c.Site, c.Config.Titles, list)
						snapshot.Version++
					})
				}, nil
			})
		}()
	}
	wg.Wait()
}

// queryAnswer is the answer to one query; apply takes it over.
type queryAnswer struct {
	meta  *api.QueryMeta
	apply func()
}

// runBlockingQuery repeats one blocking query until ctx ends. It follows Consul's rules for blocking queries: an
// index that goes backwards is reset to 0, and an index is at least 1, because a query from 0 does not wait; the
// server lengthens a wait by up to a sixteenth. Every answer is applied, also one at the same index, because it
// renews the age. The delay after an error doubles and is randomized, so that clients do not return to a restarted
// catalogue at the same time. An overdue query is followed by another one and stays open: with a fixed time limit, a
// catalogue that is slower would never be heard.
func (c *Consul) runBlockingQuery(ctx context.Context, subject string, onError func(error),
	query func(*api.QueryOptions) (*api.QueryMeta, func(), error)) {
	index, retry := uint64(0), timelimit.NewBackoff(minRetryDelay, maxRetryDelay)
	longestWait := c.Config.Wait.Std() * 17 / 16 // the server lengthens the wait by up to a sixteenth
	overdue := longestWait + overdueMargin
	hedged := hedge.Call[queryAnswer]{Overdue: overdue,
		Limit: timelimit.NewAdaptive(2*overdue, 2*overdue+maxQueryLimit),
		Run: func(ctx context.Context) (queryAnswer, error) {
			meta, apply, err := query(c.queryOptions(ctx, index))
			return queryAnswer{meta, apply}, err
		}}
	for ctx.Err() == nil {
		answer, err := hedged.Do(ctx)
		meta := answer.meta
		if ctx.Err() != nil {
			return
		}
		delay := minQueryInterval
		if err == nil && !meta.KnownLeader && c.Config.Consistency != "stale" {
			err = errors.New("the server has no cluster leader")
		}
		if err != nil {
			onError(fmt.Errorf("registry: consul: %s: %w", subject, err))
			delay = retry.Next()
			index = 0 // the next query is answered at once, with the whole list
		} else {
			retry.Reset()
			if meta.LastIndex < index {
				index = 0
			} else {
				index = max(meta.LastIndex, 1)
			}
			answer.apply()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// Register registers this program with a TTL check, keeps the check passing until ctx ends, and then deregisters
// the program. It registers again after any error, such as a catalogue that was not reached or that lost the
// registration.
func (c *Consul) Register(ctx context.Context, id, name, host string, port int, onError func(error)) {
	ttl := c.Config.TTL.Std()
	check := "service:" + id
	register := func() error {
		return c.client.Agent().ServiceRegisterOpts(&api.AgentServiceRegistration{ID: id, Name: name, Address: host,
			Port: port, Check: &api.AgentServiceCheck{CheckID: check, TTL: ttl.String(),
				DeregisterCriticalServiceAfter: (20 * ttl).String()}},
			api.ServiceRegisterOpts{}.WithContext(ctx))
	}
	registered := false
	ticker := time.NewTicker(ttl / 3)
	defer ticker.Stop()
	for {
		var err error
		if !registered {
			err = register()
		}
		if err == nil {
			err = c.client.Agent().UpdateTTLOpts(check, "serves", api.HealthPassing, (&api.QueryOptions{}).WithContext(ctx))
		}
		if registered = err == nil; !registered && ctx.Err() == nil {
			onError(fmt.Errorf("registry: consul: register %s: %w", id, err))
		}
		select {
		case <-ctx.Done():
			shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if err := c.client.Agent().ServiceDeregisterOpts(id, (&api.QueryOptions{}).WithContext(shutdownCtx)); err != nil {
				onError(fmt.Errorf("registry: consul: deregister %s: %w", id, err))
			}
			return
		case <-ticker.C:
		}
	}
}
