package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// edgeRestart: as many viewers as a clip of round-play has seats play it at an edge. The edge is killed and started
// again with the same state folder. Other viewers, who knocked on the dead edge meanwhile, ask for the same clip. The
// edge may hold no more sessions of the clip than its seats.
func edgeRestart(rec *record, trouble bool) {
	const seats = 5
	h := startBoxes(rec, seats)
	h.delay = time.Millisecond // the site: 0.7 to 1.3 ms one way between halls
	site := h.siteFile("site.json", h.relays, "")
	h.startPlanner(site)
	edge := h.startEdge(site)
	h.awaitStatus(`"boxes":4`)
	end := time.Now().Add(25 * time.Second)
	for i := range seats {
		status, path := h.play("clip-00", "round-play", fmt.Sprintf("first-%d", i))
		if status != 200 {
			cannotRun("a viewer of the first %d got %d", seats, status)
		}
		go h.reload(path, end)
	}
	time.Sleep(3 * time.Second)
	rec.add("the boxes run %d sessions of clip-00", h.playing("clip-00"))
	if trouble {
		edge.kill()
		rec.add("TROUBLE: the edge was killed")
		time.Sleep(300 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for i := range 2 * seats { // each knocks until it gets an answer
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := time.Now().Add(4 * time.Second); time.Now().Before(try); time.Sleep(time.Duration(15+rand.IntN(106)) * time.Millisecond) {
				status, path := h.play("clip-00", "round-play", fmt.Sprintf("later-%d", i))
				if status == 200 {
					h.reload(path, end)
					return
				}
				if status == 503 {
					return
				}
			}
		}()
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		edge = h.startEdge(site)
	}
	most, since := 0, time.Time{}
	var over time.Duration
	for time.Now().Before(end) {
		n := h.playing("clip-00")
		if n > most {
			rec.add("the boxes run %d sessions of clip-00", n)
		}
		most = max(most, n)
		if n > seats && since.IsZero() {
			since = time.Now()
		}
		if n <= seats && !since.IsZero() {
			over, since = max(over, time.Since(since)), time.Time{}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !since.IsZero() {
		over = max(over, time.Since(since))
	}
	_, s := get("http://" + h.edgeAddr + "/status")
	rec.add("edge's status: %s", s)
	rec.add("at most %d sessions of clip-00 at the same time; more than %d for %v", most, seats, over.Round(100*time.Millisecond))
	wg.Wait()
	var broken []string
	if most > seats {
		broken = append(broken, fmt.Sprintf("%d sessions of one clip and class are held, with %d seats, for %v", most, seats, over.Round(100*time.Millisecond)))
	}
	if edge.ended() {
		broken = append(broken, "the edge has ended")
	}
	verdict(rec, broken)
}
