package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// consul is a small stand-in for a Consul agent, by its published HTTP API: service health and the key-value store,
// both with blocking queries. It answers at once and always rightly.
type consul struct {
	rig  *rig
	addr string

	mu       sync.Mutex
	index    uint64
	changed  chan struct{}
	services map[string]map[string]any // by id
	keys     map[string]string
	without  map[string]time.Time // when the planner was first answered with a list that no longer has a box
	seen     map[string]bool
}

// toldWithout returns when the planner was first answered with a list from which a box was missing that an earlier one had.
func (c *consul) toldWithout(addr string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.without[addr]
	return at, ok
}

func startConsul(r *rig) *consul {
	c := &consul{rig: r, index: 10, changed: make(chan struct{}), services: map[string]map[string]any{}, keys: map[string]string{},
		without: map[string]time.Time{}, seen: map[string]bool{}}
	ln := listen()
	c.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", c.health)
	mux.HandleFunc("GET /v1/kv/{key...}", c.list)
	go func() { _ = http.Serve(ln, mux) }()
	return c
}

// update changes services and keys, and answers the blocking queries.
func (c *consul) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
}

// register lists a box.
func (c *consul) register(b *box) {
	host, port, _ := strings.Cut(b.addr, ":")
	n, _ := strconv.Atoi(port)
	c.update(func() {
		c.services[b.addr] = map[string]any{
			"Node": map[string]any{"Node": "n", "Address": host},
			"Service": map[string]any{"ID": b.addr, "Service": "clip-box", "Address": host, "Port": n, "Meta": map[string]string{
				"rainpulley-zone": b.zone, "rainpulley-kind": "two-core", "rainpulley-cell": strconv.Itoa(b.cell), "rainpulley-weight": "2"}},
			"Checks": []map[string]any{{"Node": "n", "CheckID": "alive", "Status": "passing", "ServiceID": b.addr}},
		}
	})
}

func (c *consul) wait(r *http.Request) {
	known, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	limit, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || limit <= 0 {
		limit = 5 * time.Minute
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		c.mu.Lock()
		index, changed := c.index, c.changed
		c.mu.Unlock()
		if known == 0 || index != known {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *consul) answer(w http.ResponseWriter, index uint64, list []map[string]any) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", "true")
	h.Set("X-Consul-LastContact", "0")
	_ = json.NewEncoder(w).Encode(list)
}

func (c *consul) health(w http.ResponseWriter, r *http.Request) {
	c.wait(r)
	c.mu.Lock()
	index, list, ids := c.index, []map[string]any{}, []string{}
	for id := range c.services {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		list = append(list, c.services[id])
	}
	c.mu.Unlock()
	c.answer(w, index, list)
	c.mu.Lock()
	listed := map[string]bool{}
	for _, id := range ids {
		listed[id], c.seen[id] = true, true
	}
	for id := range c.seen {
		if _, told := c.without[id]; !listed[id] && !told {
			c.without[id] = time.Now()
		}
	}
	c.mu.Unlock()
	c.rig.note("catalogue answered", "services", ids)
}

func (c *consul) list(w http.ResponseWriter, r *http.Request) {
	c.wait(r)
	c.mu.Lock()
	index, list, names := c.index, []map[string]any{}, []string{}
	for k := range c.keys {
		if strings.HasPrefix(k, r.PathValue("key")) {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	values := map[string]string{}
	for _, k := range names {
		list = append(list, map[string]any{"Key": k, "Value": []byte(c.keys[k])})
		values[k] = c.keys[k]
	}
	c.mu.Unlock()
	if len(list) == 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
		w.Header().Set("X-Consul-KnownLeader", "true")
		http.NotFound(w, r)
		return
	}
	c.answer(w, index, list)
	c.rig.note("catalogue answered", "keys", values)
}
