package main

import (
	"fmt"
	"time"
)

// serverRestart: the process of one server dies and is started again at once at the same address, as a supervisor
// does. Its connections reset and its sessions are cut. The coordinator tells of the new start 1.5 s later. Every
// session that stood there must be released towards its viewer within 8 s of its end, with 50 ms of slack.
func serverRestart(rec *record, trouble bool) {
	const limit = 8*time.Second + 50*time.Millisecond
	f := startFleet(rec, 12, "-life", "32s")
	v := f.connect()
	classes := []string{"replay-round", "live-round"}
	for i := range 30 {
		v.setUp(classes[i%2], uint64(0x7f3a9c21e0b4d650+i%4))
		time.Sleep(80 * time.Millisecond)
	}
	time.Sleep(time.Second)
	at := map[string]string{} // server of each session
	count := map[string]int{}
	for _, e := range f.serverEvents() {
		if e.kind == "ready" {
			at[e.id] = e.server
			count[e.server]++
		}
	}
	victim := 0
	for i := range f.servers {
		if count[serverID(i)] > count[serverID(victim)] {
			victim = i
		}
	}
	var cut []string
	for id, s := range v.all() {
		if s.status == 200 && s.releasedAt.IsZero() && at[id] == serverID(victim) {
			cut = append(cut, id)
		}
	}
	if len(cut) == 0 {
		cannotRun("no session stands at any server")
	}
	rec.add("%d sessions stand at %s", len(cut), serverID(victim))
	end := time.Now()
	if trouble {
		f.servers[victim].kill()
		end = time.Now()
		rec.addAt(end, "TROUBLE: %s was killed", serverID(victim))
		f.startServer(victim)
		restarted := time.Now()
		time.Sleep(1500 * time.Millisecond)
		f.coordinator.tell(f.entry(victim, "up", restarted.UnixMilli()))
	}
	time.Sleep(time.Until(end.Add(20 * time.Second)))
	var broken []string
	all := v.all()
	if trouble {
		for _, id := range cut {
			s := all[id]
			switch {
			case s.releasedAt.IsZero():
				broken = append(broken, fmt.Sprintf("session %s was cut with %s and not released within 20 s", id, serverID(victim)))
			case s.releasedAt.Sub(end) > limit:
				broken = append(broken, fmt.Sprintf("session %s was released %v after its end", id, s.releasedAt.Sub(end)))
			}
		}
	}
	// Sessions that their server releases must be released within 1 s, in either run.
	time.Sleep(time.Until(end.Add(34 * time.Second)))
	all = v.all()
	for _, e := range f.serverEvents() {
		if e.kind != "release" || all[e.id].status != 200 {
			continue
		}
		s := all[e.id]
		if s.releasedAt.IsZero() || s.releasedAt.Sub(e.at) > 1050*time.Millisecond {
			broken = append(broken, fmt.Sprintf("session %s: its server released it, its viewer heard %q after %v", e.id, s.release, s.releasedAt.Sub(e.at)))
		}
	}
	if f.servers[victim].ended() {
		cannotRun("the server did not start again")
	}
	if f.node.ended() {
		broken = append(broken, "the node has ended")
	}
	verdict(rec, broken)
}
