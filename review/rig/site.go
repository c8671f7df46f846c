package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

type object = map[string]any

// siteFile writes a site of two zones, four boxes, one edge and a planner. seats limits round-play.
func (h *hls) siteFile(name string, boxes []string, consul string) string {
	var list []object
	for i, a := range boxes {
		list = append(list, object{"addr": a, "zone": zoneOf(i), "kind": "two-core", "cell": i, "weight": 2})
	}
	site := object{"zones": []string{"east-hall", "west-hall"}, "kinds": []object{{"name": "two-core", "streams": 30}},
		"cells": 4, "racks": 2,
		"ladder": []object{{"rate": "260kB/s", "worth": 0.17}, {"rate": "460kB/s", "worth": 0.41}, {"rate": "810kB/s", "worth": 0.61}},
		"links":  object{"per_weight": "9.6MB/s", "uplink": "30MB/s"},
		"classes": []object{
			{"name": "round-play", "effect": "repeatable", "aim": "1s", "deadline": "4s", "worth": 2, "rate_factor": 1.2, "seats": h.seats},
			{"name": "replay", "effect": "repeatable", "aim": "1.5s", "deadline": "4s", "worth": 1, "rate_factor": 0.7}},
		"rules":    object{"drain_grace": "1s", "answer_slack": "40ms", "ramp": "12s", "start_share": 0.4, "fall_factor": 2.5, "fall_span": "1.5s"},
		"attempts": object{"most": 5, "connect_timeout": "250ms", "cancel": true},
		"notes":    object{"delay": "700ms", "link_every": "3.5s", "switch_cost": "650ms", "reports": "answers"},
		"peers":    false,
		"titles":   []object{{"name": "clip-00", "home": 0, "span": 4, "length": "100s"}, {"name": "clip-01", "home": 0, "span": 4, "length": "100s"}},
		"edges":    []object{{"zone": "east-hall", "listen": h.edgeAddr}},
		"planner":  object{"listen": h.plannerAddr, "check_every": "250ms", "check_for": "500ms", "gone_after": 3},
		"playback": object{"ahead": "3s", "behind": "6s", "silence": "10s"}}
	if list != nil {
		site["boxes"] = list
	}
	if consul != "" {
		site["consul"] = object{"address": consul, "service": "clip-box", "wait": "5s"}
	}
	raw, _ := json.MarshalIndent(site, "", " ")
	path := filepath.Join(h.dir, name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		cannotRun("%v", err)
	}
	return path
}

func zoneOf(i int) string { return []string{"east-hall", "west-hall"}[i%2] }

// hls is a small installation: the project's stand-in boxes behind relays that record what is sent to them, and the
// project's planner and edge.
type hls struct {
	rec                   *record
	dir                   string
	seats                 int
	edgeAddr, plannerAddr string
	boxes, relays         []string
	plannerLog, edgeLog   *os.File

	delay time.Duration // one way between the programs and the boxes

	mu       sync.Mutex
	requests []boxRequest
}

// boxRequest is a request that reached a box.
type boxRequest struct {
	at   time.Time
	box  string
	line string // method and target
}

func startBoxes(rec *record, seats int) *hls {
	h := &hls{rec: rec, dir: tempDir(), seats: seats, edgeAddr: freeAddress(), plannerAddr: freeAddress()}
	h.plannerLog, h.edgeLog = createFile(h.dir, "planner.log"), createFile(h.dir, "edge.log")
	for range 4 {
		h.boxes = append(h.boxes, freeAddress())
	}
	for i := range h.boxes {
		h.startRelay(i)
	}
	startProcess(nil, createFile(h.dir, "boxes.log"), "bin/rainpulley", "standin", "--site", h.siteFile("boxes.json", h.boxes, ""))
	for _, a := range h.boxes {
		awaitListening(a, 10*time.Second)
	}
	return h
}

// startRelay passes connections on to a box and records the first line of each.
func (h *hls) startRelay(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("relay: %v", err)
	}
	addr := l.Addr().String()
	h.relays = append(h.relays, addr)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.relay(c, addr, h.boxes[i])
		}
	}()
}

func (h *hls) relay(c net.Conn, name, box string) {
	defer c.Close()
	time.Sleep(2 * h.delay) // the handshake, which the relay has already accepted
	to, err := net.DialTimeout("tcp", box, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	r := bufio.NewReader(c)
	first, err := r.ReadString('\n')
	if err != nil {
		return
	}
	method, rest, _ := strings.Cut(first, " ")
	target, _, _ := strings.Cut(rest, " ")
	if strings.HasPrefix(target, "/sessions/") || strings.HasPrefix(target, "/events") {
		h.mu.Lock()
		h.requests = append(h.requests, boxRequest{time.Now(), name, method + " " + target})
		h.mu.Unlock()
		h.rec.add("box %s got %s %s", name, method, target)
	}
	time.Sleep(2 * h.delay) // the request, and the answer
	if _, err := io.WriteString(to, first); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(to, r)
		_ = to.Close()
	}()
	_, _ = io.Copy(c, to)
}

// setUps returns the set-ups that reached a box after a time.
func (h *hls) setUps(box string, after time.Time) (out []boxRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		if r.box == box && r.at.After(after) && strings.HasPrefix(r.line, "POST /sessions/") {
			out = append(out, r)
		}
	}
	return out
}

func (h *hls) startPlanner(site string) *process {
	p := startProcess(nil, h.plannerLog, "bin/rainpulley-planner", "--site", site, "--state", filepath.Join(h.dir, "planner"))
	awaitListening(h.plannerAddr, 10*time.Second)
	h.rec.add("planner listens at %s, pid %d", h.plannerAddr, p.cmd.Process.Pid)
	return p
}

func (h *hls) startEdge(site string) *process {
	p := startProcess(nil, h.edgeLog, "bin/rainpulley-edge", "--site", site, "--position", "0", "--state", filepath.Join(h.dir, "edge"))
	h.rec.add("edge started, pid %d", p.cmd.Process.Pid)
	return p
}

// get sends a GET request and returns status and body; status 0 is a failure of the connection.
func get(url string) (int, string) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(b)
}

// awaitStatus waits until the edge's /status has want.
func (h *hls) awaitStatus(want string) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, s := get("http://" + h.edgeAddr + "/status"); strings.Contains(s, want) {
			return
		}
	}
	cannotRun("the edge did not report %s", want)
}

// play begins a session as a player does and returns the status and the path of its media playlist.
func (h *hls) play(title, class, key string) (int, string) {
	status, body := get("http://" + h.edgeAddr + "/play/" + title + "/index.m3u8?class=" + class + "&key=" + key)
	h.rec.add("viewer %s plays %s (%s): %d", key, title, class, status)
	for _, l := range strings.Split(body, "\n") {
		if status == 200 && strings.HasPrefix(l, "/s/") {
			return status, strings.TrimSpace(l)
		}
	}
	return status, ""
}

// reload reloads a media playlist each second until a time, as a player does.
func (h *hls) reload(path string, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Second)
		get("http://" + h.edgeAddr + path)
	}
}

// playing returns how many sessions of a title the boxes run.
func (h *hls) playing(title string) (n int) {
	for _, b := range h.boxes {
		status, body := get("http://" + b + "/titles")
		var list struct {
			Titles []struct {
				Name    string `json:"name"`
				Playing int    `json:"playing"`
			} `json:"titles"`
		}
		if status != 200 || json.Unmarshal([]byte(body), &list) != nil {
			cannotRun("a stand-in box does not list its titles: %d", status)
		}
		for _, t := range list.Titles {
			if t.Name == title {
				n += t.Playing
			}
		}
	}
	return n
}

// catalogue is the part of Consul's HTTP API that a planner reads: the health of a service, by blocking queries.
type catalogue struct {
	h    *hls
	addr string

	mu      sync.Mutex
	index   int
	changed chan struct{}
	absent  map[string]bool // boxes that are not registered
}

func (h *hls) startConsul() *catalogue {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("catalogue: %v", err)
	}
	c := &catalogue{h: h, addr: l.Addr().String(), index: 7, changed: make(chan struct{}), absent: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/clip-box", c.serve)
	go func() { _ = http.Serve(l, mux) }()
	return c
}

// deregister removes a box from the catalogue.
func (c *catalogue) deregister(box string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.absent[box] = true
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
	c.h.rec.add("catalogue: %s is no longer registered", box)
}

func (c *catalogue) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	index, changed := c.index, c.changed
	c.mu.Unlock()
	if r.URL.Query().Get("index") == fmt.Sprint(index) {
		wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
		if err != nil || wait <= 0 {
			wait = time.Minute
		}
		select {
		case <-time.After(wait):
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []object{}
	for i, a := range c.h.relays {
		host, port, _ := net.SplitHostPort(a)
		n := 0
		_, _ = fmt.Sscan(port, &n)
		id := fmt.Sprintf("box-%d", i)
		if c.absent[a] {
			continue
		}
		list = append(list, object{"Node": object{"Node": "n", "Address": host},
			"Service": object{"ID": id, "Service": "clip-box", "Address": host, "Port": n, "Meta": object{"rainpulley-zone": zoneOf(i),
				"rainpulley-kind": "two-core", "rainpulley-cell": fmt.Sprint(i), "rainpulley-weight": "2"}},
			"Checks": []object{{"Node": "n", "CheckID": "serfHealth", "Status": "passing"},
				{"Node": "n", "CheckID": "service:" + id, "Status": "passing", "ServiceID": id}}})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", fmt.Sprint(c.index))
	w.Header().Set("X-Consul-KnownLeader", "true")
	w.Header().Set("X-Consul-LastContact", "0")
	_ = json.NewEncoder(w).Encode(list)
}
