package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// halfWritten: a catalogue entry of one title is half written for a while, and then put right.
func halfWritten(r *rig) int {
	const victim = 3
	f := newFleet(r, 6, 2, func(f *fleet) {
		f.site["copies"] = map[string]any{"managed": true, "least": 3, "share": 0.5, "grace": "10s", "ahead": "30m"}
	})
	f.startPlanner()
	for i := range f.edges {
		f.startEdge(i)
	}
	f.waitReady()
	title := f.titles[victim]
	f.note("holders before", "title", title, "boxes", f.holders(title))
	require(len(f.holders(title)) == 3, "the title is not on three boxes")
	stop := f.traffic(250*time.Millisecond, f.titles)
	time.Sleep(5 * time.Second)
	entry := wholeEntry(victim, len(f.boxes), 61000)
	if r.trouble {
		entry = entry[:len(entry)/2]
	}
	f.consul.update(func() { f.consul.keys["clips/"+title] = entry })
	f.note("catalogue entry written", "title", title, "value", entry)
	time.Sleep(25 * time.Second)
	f.note("holders after 25 s", "title", title, "boxes", f.holders(title))
	entry = wholeEntry(victim, len(f.boxes), 61000)
	f.consul.update(func() { f.consul.keys["clips/"+title] = entry })
	f.note("catalogue entry written", "title", title, "value", entry)
	time.Sleep(15 * time.Second)
	stop()
	left := f.holders(title)
	f.note("holders at the end", "title", title, "boxes", left)
	plays := 0
	for n := range 10 {
		if f.play(n%len(f.edges), title, "replay") == 200 {
			plays++
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.note("ten viewers asked for the title", "title", title, "plays", plays)
	fmt.Printf("boxes with %s at the end: %d of 3; plays %d of 10\n", title, len(left), plays)
	if len(left) == 0 {
		f.note("broken: the planner had the title's last copies deleted")
		return broken
	}
	return held
}

// lostPeak: a planner is killed and started again after it has accepted an announcement.
func lostPeak(r *rig) int {
	f := newFleet(r, 6, 2, nil)
	planner := f.startPlanner()
	for i := range f.edges {
		f.startEdge(i)
	}
	f.waitReady()
	url := "http://" + f.planner + "/v1/peaks"
	start := time.Now().Add(45 * time.Second)
	body := toJSON(map[string]any{"id": "friday", "version": 1, "titles": []string{f.titles[1], f.titles[2]}, "class": "round-play",
		"start_ms": start.UnixMilli(), "rate": 6, "length_ms": 60000, "session_ms": 50000})
	status, text := call("PUT", url+"/friday", body, 5*time.Second)
	f.note("announced", "body", string(body), "status", status, "text", text)
	require(status == 201, "the planner did not accept the announcement: %d %s", status, text)
	listed := func() bool {
		var list struct {
			Peaks []struct {
				ID        string
				Cancelled bool
			}
		}
		status, text := call("GET", url, nil, 5*time.Second)
		f.note("planner lists its peaks", "status", status, "text", text)
		if status != 200 || !decode(text, &list) {
			return false
		}
		for _, p := range list.Peaks {
			if p.ID == "friday" && !p.Cancelled {
				return true
			}
		}
		return false
	}
	time.Sleep(3 * time.Second)
	require(listed(), "the planner does not list the announcement")
	stop := f.traffic(250*time.Millisecond, f.titles)
	time.Sleep(2 * time.Second)
	if r.trouble {
		planner.kill()
		f.note("planner killed")
		time.Sleep(500 * time.Millisecond)
		f.startPlanner()
		require(waitFor(20*time.Second, func() bool {
			status, _ := call("GET", "http://"+f.planner+"/v1/view", nil, time.Second)
			return status == 200
		}), "the planner publishes no view after its restart")
		f.note("planner publishes a view again")
	}
	time.Sleep(10 * time.Second)
	stop()
	ok := false
	for range 5 {
		ok = ok || listed()
		time.Sleep(time.Second)
	}
	f.note("the peak is still to come", "in_s", time.Until(start).Seconds())
	if !ok {
		fmt.Println("the accepted announcement is gone")
		f.note("broken: the accepted announcement is gone")
		return broken
	}
	return held
}

// revivedBox: a box is taken out of the catalogue, and the planner is killed and started again.
func revivedBox(r *rig) int {
	f := newFleet(r, 6, 2, func(f *fleet) { f.listBoxes() })
	planner := f.startPlanner()
	for i := range f.edges {
		f.startEdge(i)
	}
	f.waitReady()
	stop := f.traffic(100*time.Millisecond, f.titles)
	time.Sleep(3 * time.Second)
	out := f.boxes[4]
	f.consul.update(func() { delete(f.consul.services, out.addr) })
	f.note("box taken out of the catalogue", "box", out.addr)
	inView := func() (bool, bool) {
		var v struct {
			Boxes []struct{ ID, State string }
		}
		status, text := call("GET", "http://"+f.planner+"/v1/view", nil, time.Second)
		if status != 200 || !decode(text, &v) {
			return false, false
		}
		for _, b := range v.Boxes {
			if b.ID == out.addr {
				return b.State == "ready", true
			}
		}
		return false, true
	}
	require(waitFor(20*time.Second, func() bool { ready, known := inView(); return known && !ready }), "the box stays in the view")
	told := time.Now()
	f.note("the view no longer has the box: the edges are told that it is gone", "box", out.addr)
	time.Sleep(5 * time.Second)
	if r.trouble {
		planner.kill()
		f.note("planner killed")
		time.Sleep(500 * time.Millisecond)
		f.startPlanner()
	}
	time.Sleep(25 * time.Second)
	ready, _ := inView()
	f.note("view at the end", "box", out.addr, "ready", ready)
	stop()
	out.mu.Lock()
	defer out.mu.Unlock()
	late := 0
	for _, s := range out.setUps {
		if s.at.After(told.Add(1500 * time.Millisecond)) { // 1 s, and half a second for the view's way to the edges
			late++
		}
	}
	f.note("set-ups at the box more than 1 s after the edges were told", "count", late)
	fmt.Println("set-ups after the grace:", late)
	if late > 0 {
		return broken
	}
	return held
}

// descriptors: a few hundred viewers ask an edge within half a second, whose process may hold as many descriptors as a small
// front node. Each keeps its connection open for 3 s, as players do.
func descriptors(r *rig) int {
	f := newFleet(r, 6, 1, func(f *fleet) { f.site["limits"] = map[string]any{"connections": 200, "sessions": 2000, "queue": 1024} })
	f.startPlanner()
	for _, b := range f.boxes {
		b.setUpTime = 200 * time.Millisecond
	}
	edge := f.startProc("edge-0", "ulimit -n 256; "+f.edgeCommand(0))
	f.waitReady()
	crowd := 10
	if r.trouble {
		crowd = 300
	}
	for burst := range 3 {
		f.note("viewers ask at once", "viewers", crowd)
		var wg sync.WaitGroup
		var counts sync.Map
		for n := range crowd {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(n) * 500 * time.Millisecond / time.Duration(crowd))
				status := f.playAndStay(0, f.titles[n%len(f.titles)], "replay", 3*time.Second)
				count, _ := counts.LoadOrStore(status, new(atomic.Int64))
				count.(*atomic.Int64).Add(1)
			}()
		}
		wg.Wait()
		counts.Range(func(status, n any) bool {
			f.note("burst over", "burst", burst, "status", status, "answers", n.(*atomic.Int64).Load())
			return true
		})
		time.Sleep(5 * time.Second)
		if edge.hasExited() {
			break
		}
	}
	if waitFor(12*time.Second, edge.hasExited) {
		f.note("broken: the edge has ended", "error", fmt.Sprint(edge.err), "log", f.lastLog("edge-0"))
		fmt.Println("the edge has ended:", edge.err)
		return broken
	}
	if f.play(0, f.titles[0], "replay") == 0 { // a refusal is an answer
		f.note("broken: the edge no longer answers")
		return broken
	}
	return held
}

// replacedBoxes: six of ten boxes are replaced within 7 s: the old ones are taken out of the catalogue, then new ones come. The old
// ones stay up, and only play what they have.
func replacedBoxes(r *rig) int {
	f := newFleet(r, 10, 2, nil)
	f.startPlanner()
	for i := range f.edges {
		f.startEdge(i)
	}
	f.waitReady()
	stop := f.traffic(100*time.Millisecond, f.titles)
	time.Sleep(3 * time.Second)
	old := f.boxes[:6]
	if r.trouble {
		begin := time.Now()
		for _, b := range old {
			f.consul.update(func() { delete(f.consul.services, b.addr) })
			f.note("box taken out of the catalogue", "box", b.addr)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Until(begin.Add(5300 * time.Millisecond)))
		for i, b := range old {
			var titles []string
			for t := range b.titles {
				titles = append(titles, t)
			}
			next := startBox(r, b.cell, b.zone, titles)
			next.boot, next.started = fmt.Sprint("new", i), time.Now()
			f.consul.register(next)
			f.note("new box in the catalogue", "box", next.addr, "cell", next.cell)
			time.Sleep(200 * time.Millisecond)
		}
		f.note("replaced", "boxes", len(old), "within_s", time.Since(begin).Seconds())
	} else {
		time.Sleep(6600 * time.Millisecond)
	}
	time.Sleep(25 * time.Second)
	stop()
	status, text := call("GET", "http://"+f.planner+"/v1/boxes", nil, time.Second)
	f.note("the planner's boxes", "status", status, "text", text)
	total := 0
	for _, b := range old {
		told, known := f.consul.toldWithout(b.addr)
		late, last := 0, time.Duration(0)
		b.mu.Lock()
		for _, s := range b.setUps {
			if known && s.at.After(told.Add(1500*time.Millisecond)) { // 1 s, and half a second for the way to the edges
				late, last = late+1, s.at.Sub(told)
			}
		}
		b.mu.Unlock()
		f.note("set-ups at the box more than 1 s after the catalogue told that it is gone", "box", b.addr, "told", known, "count", late,
			"last_s", last.Seconds())
		total += late
	}
	fmt.Println("set-ups after the grace:", total)
	if total > 0 {
		return broken
	}
	return held
}

// hangup: a box that has left the catalogue is taken out of the site file, too, and the planner is told by SIGHUP.
func hangup(r *rig) int {
	f := newFleet(r, 6, 1, func(f *fleet) {
		f.listBoxes()
		f.site["consul"].(map[string]any)["wait"] = "5s"
	})
	planner := f.startPlanner()
	f.startEdge(0)
	f.waitReady()
	out := f.boxes[4]
	f.consul.update(func() { delete(f.consul.services, out.addr) })
	f.note("box taken out of the catalogue", "box", out.addr)
	stop := f.traffic(500*time.Millisecond, f.titles)
	time.Sleep(70 * time.Second)
	boxes := f.site["boxes"].([]any)
	if r.trouble {
		f.site["boxes"] = append(append([]any{}, boxes[:4]...), boxes[5:]...)
		must(os.WriteFile(f.file, toJSON(f.site), 0o644))
		f.note("box taken out of the site file", "box", out.addr)
		check := f.startProc("check", "exec bin/rainpulley config check --site "+f.file)
		<-check.exited
		require(check.err == nil, "the site file is not valid")
	}
	planner.signal(syscall.SIGHUP)
	f.note("SIGHUP to the planner")
	time.Sleep(5 * time.Second)
	stop()
	status, _ := call("GET", "http://"+f.planner+"/v1/view", nil, time.Second)
	f.note("planner asked for its view", "status", status)
	if planner.hasExited() {
		f.note("broken: the planner has ended", "error", fmt.Sprint(planner.err), "log", f.panicIn("planner"))
		fmt.Println("the planner has ended:", planner.err)
		return broken
	}
	require(status == 200, "the planner runs and does not answer")
	return held
}
