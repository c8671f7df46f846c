package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Catalogue is a stand-in for a Consul agent, written from Consul's published HTTP API: service health with
// blocking queries, the key-value store, and service registration with TTL checks. Tests can inject faults.
type Catalogue struct {
	mu             sync.Mutex
	index          uint64
	changed        chan struct{} // closed and replaced at each change
	services       map[string]*Service
	keys           map[string]string
	fault          CatalogueFault
	requestTimes   []time.Time
	waitingQueries int
	token          string
	server         *http.Server
	addr           string
}

// Service is a service registration.
type Service struct {
	ID, Name, Address string
	Port              int
	Meta              map[string]string
	Checks            map[string]string // status by check ID
	ttlDeadline       time.Time         // time at which the TTL check turns critical unless renewed
	ttl               time.Duration
}

// CatalogueFault is a set of faults to inject.
type CatalogueFault struct {
	Hang          bool          // accepts requests, but does not answer them
	Status        int           // answers all requests with this HTTP status
	Truncate      bool          // sends only the first half of each answer
	TrickleDelay  time.Duration // pause after every 64 bytes of an answer
	EmptyList     bool          // answers with empty lists
	HalfList      bool          // omits every other service from lists
	IndexDecrease uint64        // subtracted from the reported index
	LastContact   time.Duration // reported time since the last contact with the leader
	NoLeader      bool          // reports that there is no known leader
}

// NewCatalogue returns an empty catalogue. Start makes it serve.
func NewCatalogue() *Catalogue {
	return &Catalogue{index: 100, changed: make(chan struct{}), services: map[string]*Service{}, keys: map[string]string{}}
}

// Start serves on an address and returns the address used; port 0 selects a free port.
func (c *Catalogue) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("standin: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", c.handleHealth)
	mux.HandleFunc("GET /v1/kv/{key...}", c.handleListKeys)
	mux.HandleFunc("PUT /v1/agent/service/register", c.handleRegister)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", c.handleDeregister)
	mux.HandleFunc("PUT /v1/agent/check/update/{id}", c.handleCheckUpdate)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	c.mu.Lock()
	c.server, c.addr = server, ln.Addr().String()
	c.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Stop closes the listener and all connections immediately. Start may be called again with the same address.
func (c *Catalogue) Stop() {
	c.mu.Lock()
	server := c.server
	c.server = nil
	c.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Update calls change with the services and keys, then increments the index.
func (c *Catalogue) Update(change func(services map[string]*Service, keys map[string]string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.services, c.keys)
	c.incrementIndex()
}

// incrementIndex increments the index and wakes blocking queries; the caller holds the mutex.
func (c *Catalogue) incrementIndex() {
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetFault replaces the injected faults. It wakes blocking queries, which are then answered with these faults.
func (c *Catalogue) SetFault(f CatalogueFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
	c.incrementIndex()
}

// RequireToken makes all requests require an ACL token. It wakes blocking queries.
func (c *Catalogue) RequireToken(token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = token
	c.incrementIndex()
}

// Requests returns the times of all requests so far and the number of blocking queries that wait now.
func (c *Catalogue) Requests() (times []time.Time, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.requestTimes), c.waitingQueries
}

// Service returns a copy of the registration with an ID, and whether it exists.
func (c *Catalogue) Service(id string) (Service, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireChecks()
	s := c.services[id]
	if s == nil {
		return Service{}, false
	}
	out := *s
	out.Checks = maps.Clone(s.Checks)
	return out, true
}

// expireChecks sets TTL checks to critical that were not renewed in time; the caller holds the mutex.
func (c *Catalogue) expireChecks() {
	for id, s := range c.services {
		if s.ttl > 0 && time.Now().After(s.ttlDeadline) {
			s.Checks["service:"+id] = "critical"
		}
	}
}

// admitRequest records a request. It returns false if it has failed the request because of an injected fault or a
// missing token.
func (c *Catalogue) admitRequest(w http.ResponseWriter, r *http.Request) (CatalogueFault, bool) {
	c.mu.Lock()
	c.requestTimes = append(c.requestTimes, time.Now())
	f, token := c.fault, c.token
	c.mu.Unlock()
	switch {
	case f.Hang:
		<-r.Context().Done()
		return f, false
	case f.Status != 0:
		http.Error(w, "on cue", f.Status)
		return f, false
	case token != "" && r.Header.Get("X-Consul-Token") != token:
		http.Error(w, "Permission denied", http.StatusForbidden)
		return f, false
	}
	return f, true
}

// waitForChange implements blocking queries: it waits while the index is the one in the request, for at most the
// requested time.
func (c *Catalogue) waitForChange(ctx context.Context, r *http.Request) {
	known, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		wait = 5 * time.Minute
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for known > 0 {
		c.mu.Lock()
		current, changed := c.index-c.fault.IndexDecrease, c.changed
		if current != known {
			c.mu.Unlock()
			return
		}
		c.waitingQueries++
		c.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		c.mu.Lock()
		c.waitingQueries--
		c.mu.Unlock()
		if expired {
			return
		}
	}
}

// writeAnswer writes a list as JSON with Consul's query headers, and applies the faults that concern answers.
func (c *Catalogue) writeAnswer(w http.ResponseWriter, f CatalogueFault, list any) {
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.mu.Lock()
	index := c.index - f.IndexDecrease
	c.mu.Unlock()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(!f.NoLeader))
	h.Set("X-Consul-LastContact", strconv.FormatInt(f.LastContact.Milliseconds(), 10))
	switch {
	case f.Truncate:
		_, _ = w.Write(body[:len(body)/2])
	case f.TrickleDelay > 0:
		out := http.NewResponseController(w)
		for len(body) > 0 {
			n := min(64, len(body))
			if _, err := w.Write(body[:n]); err != nil || out.Flush() != nil {
				return
			}
			body = body[n:]
			time.Sleep(f.TrickleDelay)
		}
	default:
		_, _ = w.Write(body)
	}
}

// handleHealth lists the instances of a service with their checks.
func (c *Catalogue) handleHealth(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.admitRequest(w, r); !ok {
		return
	}
	c.waitForChange(r.Context(), r)
	c.mu.Lock()
	f := c.fault
	c.expireChecks()
	list := []map[string]any{}
	ids := make([]string, 0, len(c.services))
	for id, s := range c.services {
		if s.Name == r.PathValue("name") {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for i, id := range ids {
		if f.EmptyList || f.HalfList && i%2 == 0 {
			continue
		}
		s := c.services[id]
		checks := []map[string]any{{"Node": "n", "CheckID": "serfHealth", "Status": "passing"}}
		for k, status := range s.Checks {
			checks = append(checks, map[string]any{"Node": "n", "CheckID": k, "Status": status, "ServiceID": id})
		}
		list = append(list, map[string]any{"Node": map[string]any{"Node": "n", "Address": "127.0.0.1"},
			"Service": map[string]any{"ID": id, "Service": s.Name, "Address": s.Address, "Port": s.Port, "Meta": s.Meta},
			"Checks":  checks})
	}
	c.mu.Unlock()
	if f.Hang || f.Status != 0 {
		http.Error(w, "on cue", max(f.Status, 500))
		return
	}
	c.writeAnswer(w, f, list)
}

// handleListKeys lists the keys with a prefix.
func (c *Catalogue) handleListKeys(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.admitRequest(w, r); !ok {
		return
	}
	c.waitForChange(r.Context(), r)
	c.mu.Lock()
	f, index := c.fault, c.index
	list := []map[string]any{}
	for k, v := range c.keys {
		if strings.HasPrefix(k, r.PathValue("key")) && !f.EmptyList {
			list = append(list, map[string]any{"Key": k, "Value": []byte(v)})
		}
	}
	c.mu.Unlock()
	if len(list) == 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index-f.IndexDecrease, 10))
		w.Header().Set("X-Consul-KnownLeader", "true")
		http.NotFound(w, r)
		return
	}
	c.writeAnswer(w, f, list)
}

// handleRegister registers a service, with an optional TTL check.
func (c *Catalogue) handleRegister(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.admitRequest(w, r); !ok {
		return
	}
	var q struct {
		ID, Name, Address string
		Port              int
		Meta              map[string]string
		Check             struct{ CheckID, TTL string }
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := &Service{ID: q.ID, Name: q.Name, Address: q.Address, Port: q.Port, Meta: q.Meta, Checks: map[string]string{}}
	if ttl, err := time.ParseDuration(q.Check.TTL); err == nil {
		s.ttl, s.ttlDeadline = ttl, time.Now().Add(ttl)
		s.Checks["service:"+q.ID] = "critical" // until the first renewal, as Consul documents it
	}
	c.Update(func(services map[string]*Service, _ map[string]string) { services[q.ID] = s })
}

func (c *Catalogue) handleDeregister(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.admitRequest(w, r); ok {
		c.Update(func(services map[string]*Service, _ map[string]string) { delete(services, r.PathValue("id")) })
	}
}

// handleCheckUpdate renews a TTL check and sets its status.
func (c *Catalogue) handleCheckUpdate(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.admitRequest(w, r); !ok {
		return
	}
	var q struct{ Status string }
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := strings.TrimPrefix(r.PathValue("id"), "service:")
	c.mu.Lock()
	s := c.services[id]
	if s != nil {
		s.ttlDeadline = time.Now().Add(s.ttl)
		if s.Checks["service:"+id] != q.Status {
			s.Checks["service:"+id] = q.Status
			c.incrementIndex()
		}
	}
	c.mu.Unlock()
	if s == nil {
		http.Error(w, "Unknown check", http.StatusNotFound)
	}
}
