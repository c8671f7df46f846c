package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// fleet is a small installation: boxes, a catalogue, one planner and edges.
type fleet struct {
	*rig
	boxes   []*box
	consul  *consul
	titles  []string
	planner string // address
	edges   []string
	site    map[string]any
	file    string
	viewers atomic.Int64
}

// titleCells returns the boxes' cells of title i: three in a row.
func titleCells(i, cells int) (cells3 []int) {
	for k := range 3 {
		cells3 = append(cells3, (i+k)%cells)
	}
	return cells3
}

// newFleet starts the boxes and the catalogue, and writes the site file. Figures are those of examples/site.jsonnet, with
// fewer boxes. change may change the site before it is written.
func newFleet(r *rig, boxCount, edgeCount int, change func(*fleet)) *fleet {
	f := &fleet{rig: r, consul: startConsul(r), planner: freeAddr()}
	zones := []string{"east-hall", "west-hall", "north-hall"}
	for i := range 8 {
		f.titles = append(f.titles, fmt.Sprintf("clip-%02d", i))
	}
	for cell := range boxCount {
		var own []string
		for i, t := range f.titles {
			for _, c := range titleCells(i, boxCount) {
				if c == cell {
					own = append(own, t)
				}
			}
		}
		f.boxes = append(f.boxes, startBox(r, cell, zones[cell%3], own))
	}
	for i, t := range f.titles {
		f.consul.update(func() { f.consul.keys["clips/"+t] = wholeEntry(i, boxCount, 60000) })
	}
	for _, b := range f.boxes {
		f.consul.register(b)
	}
	edges := []map[string]any{}
	for i := range edgeCount {
		f.edges = append(f.edges, freeAddr())
		edges = append(edges, map[string]any{"zone": zones[i%3], "listen": f.edges[i], "peer": freeAddr()})
	}
	f.site = map[string]any{
		"zones": zones, "kinds": []any{map[string]any{"name": "two-core", "streams": 30}}, "cells": boxCount, "racks": 3,
		"ladder": []any{map[string]any{"rate": "260kB/s", "worth": 0.17}, map[string]any{"rate": "810kB/s", "worth": 0.61},
			map[string]any{"rate": "2540kB/s", "worth": 1}},
		"links": map[string]any{"per_weight": "48MB/s", "uplink": "480MB/s"},
		"classes": []any{
			map[string]any{"name": "round-play", "effect": "repeatable", "aim": "1s", "deadline": "4s", "worth": 2, "rate_factor": 1.2, "seats": 12},
			map[string]any{"name": "replay", "effect": "repeatable", "aim": "1.5s", "deadline": "4s", "worth": 1, "rate_factor": 0.7},
			map[string]any{"name": "live-round", "effect": "paid", "aim": "1s", "deadline": "5s", "worth": 2, "rate_factor": 1, "floor": 1}},
		"rules": map[string]any{"drain_grace": "1s", "answer_slack": "40ms", "ramp": "12s", "start_share": 0.4, "fall_factor": 2.5,
			"fall_span": "1.5s"},
		"attempts":    map[string]any{"most": 5, "connect_timeout": "250ms", "cancel": true},
		"notes":       map[string]any{"delay": "700ms", "link_every": "3.5s", "switch_cost": "650ms", "reports": "answers"},
		"prices":      map[string]any{"move": 0.05, "zone": 0.04, "probe": 0.01},
		"retry_after": "500ms", "peers": true, "titles": []any{}, "boxes": []any{}, "edges": edges,
		"planner":  map[string]any{"listen": f.planner, "check_every": "250ms", "check_for": "500ms", "gone_after": 3},
		"consul":   map[string]any{"address": f.consul.addr, "service": "clip-box", "titles": "clips/", "wait": "30s"},
		"playback": map[string]any{"ahead": "3s", "behind": "6s", "silence": "10s"},
	}
	if change != nil {
		change(f)
	}
	f.file = filepath.Join(r.tmp, "site.jsonnet")
	must(os.WriteFile(f.file, toJSON(f.site), 0o644))
	status := r.startProc("check", "exec bin/rainpulley config check --site "+f.file)
	<-status.exited
	require(status.err == nil, "the site file is not valid")
	return f
}

// listBoxes puts the boxes into the site file, too.
func (f *fleet) listBoxes() {
	boxes := []any{}
	for _, b := range f.boxes {
		boxes = append(boxes, map[string]any{"addr": b.addr, "zone": b.zone, "kind": "two-core", "cell": b.cell, "weight": 2})
	}
	f.site["boxes"] = boxes
}

// wholeEntry is the catalogue's entry of title i.
func wholeEntry(i, cells, lengthMs int) string {
	return fmt.Sprintf(`{"home":%d,"span":3,"length_ms":%d}`, i%cells, lengthMs)
}

func (f *fleet) startPlanner() *proc {
	return f.startProc("planner", "exec bin/rainpulley-planner --site "+f.file+" --state "+filepath.Join(f.tmp, "planner-state"))
}

func (f *fleet) edgeCommand(i int) string {
	return "exec bin/rainpulley-edge --site " + f.file + " --position " + strconv.Itoa(i) + " --state " + filepath.Join(f.tmp, "edge-state-"+strconv.Itoa(i))
}

func (f *fleet) startEdge(i int) *proc { return f.startProc("edge-"+strconv.Itoa(i), f.edgeCommand(i)) }

// play asks an edge for a session of a new viewer and returns the answer's status; 0 if there was none.
func (f *fleet) play(edge int, title, class string) int {
	return f.playWith(&http.Transport{DisableKeepAlives: true}, edge, title, class)
}

// playAndStay is play on a connection that stays open for a time after the answer.
func (f *fleet) playAndStay(edge int, title, class string, stay time.Duration) int {
	transport := &http.Transport{}
	status := f.playWith(transport, edge, title, class)
	time.Sleep(stay)
	transport.CloseIdleConnections()
	return status
}

func (f *fleet) playWith(transport *http.Transport, edge int, title, class string) int {
	viewer := "v" + strconv.FormatInt(f.viewers.Add(1), 10)
	status, text := callWith(transport, "GET", "http://"+f.edges[edge]+"/play/"+title+"/index.m3u8?class="+class+"&key="+viewer, nil, 6*time.Second)
	if status == 200 || len(text) > 80 {
		text = ""
	}
	f.note("viewer was answered", "edge", edge, "viewer", viewer, "title", title, "class", class, "status", status, "text", text)
	return status
}

// waitReady waits until each edge plays every title.
func (f *fleet) waitReady() {
	for e := range f.edges {
		for _, t := range f.titles {
			require(waitFor(20*time.Second, func() bool { return f.play(e, t, "replay") == 200 }), "edge %d does not play %s", e, t)
		}
	}
	f.note("all edges play all titles")
}

// traffic has new viewers ask for titles in turn until the returned function is called.
func (f *fleet) traffic(every time.Duration, titles []string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := range 2400 {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			wg.Add(1)
			go func() { defer wg.Done(); f.play(n%len(f.edges), titles[n%len(titles)], "replay") }()
		}
	}()
	return func() { close(done); wg.Wait() }
}

func (f *fleet) holders(title string) (addrs []string) {
	addrs = []string{}
	for _, b := range f.boxes {
		if b.has(title) {
			addrs = append(addrs, b.addr)
		}
	}
	return addrs
}
