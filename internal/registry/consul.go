package registry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/consul/api"

	"rainpulley/internal/config"
)

// Consul reads boxes from the health API and titles from the key-value store, by blocking queries.
type Consul struct {
	Site   *config.Site
	Config config.Consul

	client *api.Client
}

const (
	minRetryDelay      = 200 * time.Millisecond
	maxRetryDelay      = 15 * time.Second
	minQueryInterval   = 100 * time.Millisecond // between answers of one query: a catalogue in uproar is not asked as fast as it answers
	queryTimeoutMargin = 5 * time.Second        // beyond the wait, which the server lengthens by up to a sixteenth
	maxEntries         = 20000
)

// NewConsul makes a client; nothing is asked yet.
func NewConsul(site *config.Site) (*Consul, error) {
	c := site.Consul
	conf := api.DefaultNonPooledConfig()
	conf.Address, conf.Scheme, conf.Datacenter, conf.Namespace = c.Address, c.Scheme, c.Datacentre, c.Namespace
	conf.TokenFile = c.TokenFile
	conf.TLSConfig = api.TLSConfig{Address: c.TLS.ServerName, CAFile: c.TLS.CA, CertFile: c.TLS.Cert, KeyFile: c.TLS.Key}
	client, err := api.NewClient(conf)
	if err != nil {
		return nil, fmt.Errorf("registry: consul: %w", err)
	}
	return &Consul{Site: site, Config: c, client: client}, nil
}

// Name of the source.
func (c *Consul) Name() string { return "consul" }

// options of one blocking query.
func (c *Consul) queryOptions(ctx context.Context, index uint64) *api.QueryOptions {
	q := &api.QueryOptions{WaitIndex: index, WaitTime: c.Config.Wait.D(), Filter: c.Config.Filter}
	switch c.Config.Consistency {
	case "stale":
		q.AllowStale = true
	case "consistent":
		q.RequireConsistent = true
	}
	return q.WithContext(ctx)
}

// Watch delivers after each change of boxes or titles, until ctx ends and its queries are over.
func (c *Consul) Watch(ctx context.Context, deliver func(Snapshot), fault func(error)) {
	var mu sync.Mutex
	var now Snapshot
	var parts [2][]string // faults of boxes and of titles
	known := [2]bool{false, c.Config.Titles == ""}
	change := func(part int, do func()) {
		mu.Lock()
		defer mu.Unlock()
		do()
		known[part] = true
		if known[0] && known[1] { // half a word would remove all titles, or all boxes
			out := now
			out.Source, out.Faults = c.Name(), slices.Concat(parts[0], parts[1])
			deliver(out)
		}
	}
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		c.runBlockingQuery(ctx, "boxes", fault, func(q *api.QueryOptions) (*api.QueryMeta, func(), error) {
			list, meta, err := c.client.Health().Service(c.Config.Service, "", false, q)
			if err == nil && len(list) > maxEntries {
				err = fmt.Errorf("%d entries, %d at most", len(list), maxEntries)
			}
			if err != nil {
				return meta, nil, err
			}
			return meta, func() {
				change(0, func() {
					now.Boxes, parts[0] = parseBoxes(c.Site, list)
					now.Version, now.Age = max(now.Version+1, meta.LastIndex), meta.LastContact
				})
			}, nil
		})
	}()
	if c.Config.Titles != "" {
		work.Add(1)
		go func() {
			defer work.Done()
			c.runBlockingQuery(ctx, "titles", fault, func(q *api.QueryOptions) (*api.QueryMeta, func(), error) {
				q.Filter = "" // the key-value store knows no filters
				list, meta, err := c.client.KV().List(c.Config.Titles, q)
				if err != nil {
					return meta, nil, err
				}
				return meta, func() {
					change(1, func() { now.Titles, parts[1] = parseTitles(c.Site, c.Config.Titles, list) })
				}, nil
			})
		}()
	}
	work.Wait()
}

// follow asks one query again and again. The published rules of blocking queries: an index that goes backwards
// is reset, and never waits from 0 on; a wait is lengthened by the server by up to a sixteenth. Every answer is
// taken, also one at the same index: its age is news. Errors wait longer each time, by a random part, so that
// fronts do not come back to a restarted catalogue together.
func (c *Consul) runBlockingQuery(ctx context.Context, what string, fault func(error), ask func(*api.QueryOptions) (*api.QueryMeta, func(), error)) {
	index, wait := uint64(0), minRetryDelay
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, c.Config.Wait.D()*17/16+queryTimeoutMargin)
		meta, take, err := ask(c.queryOptions(limited, index))
		cancel()
		if ctx.Err() != nil {
			return
		}
		pause := minQueryInterval
		if err == nil && !meta.KnownLeader && c.Config.Consistency != "stale" {
			err = errors.New("the server knows no leader")
		}
		if err != nil {
			fault(fmt.Errorf("registry: consul: %s: %w", what, err))
			pause = wait/2 + rand.N(wait)
			wait = min(2*wait, maxRetryDelay)
			index = 0 // a whole answer at once, when it is back
		} else {
			wait = minRetryDelay
			if meta.LastIndex < index {
				index = 0
			} else {
				index = max(meta.LastIndex, 1)
			}
			take()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// Register makes this program known with a TTL check, keeps it passing until ctx ends, and then leaves in order.
// A catalogue that cannot be reached, or has forgotten the program, is told again.
func (c *Consul) Register(ctx context.Context, id, name, host string, port int, fault func(error)) {
	ttl := c.Config.TTL.D()
	check := "service:" + id
	register := func() error {
		return c.client.Agent().ServiceRegisterOpts(&api.AgentServiceRegistration{ID: id, Name: name, Address: host, Port: port,
			Check: &api.AgentServiceCheck{CheckID: check, TTL: ttl.String(), DeregisterCriticalServiceAfter: (20 * ttl).String()}},
			api.ServiceRegisterOpts{}.WithContext(ctx))
	}
	known := false
	t := time.NewTicker(ttl / 3)
	defer t.Stop()
	for {
		var err error
		if !known {
			err = register()
		}
		if err == nil {
			err = c.client.Agent().UpdateTTLOpts(check, "serves", api.HealthPassing, (&api.QueryOptions{}).WithContext(ctx))
		}
		if known = err == nil; !known && ctx.Err() == nil {
			fault(fmt.Errorf("registry: consul: register %s: %w", id, err))
		}
		select {
		case <-ctx.Done():
			limited, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if err := c.client.Agent().ServiceDeregisterOpts(id, (&api.QueryOptions{}).WithContext(limited)); err != nil {
				fault(fmt.Errorf("registry: consul: deregister %s: %w", id, err))
			}
			return
		case <-t.C:
		}
	}
}
