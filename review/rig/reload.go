package main

import (
	"strings"
	"syscall"
	"time"
)

// plannerReload: a box is taken out of service: first it leaves the catalogue, then, when the planner has forgotten it,
// the site file, which the planner is told to read again by SIGHUP. The planner may not crash.
func plannerReload(rec *record, trouble bool) {
	h := startBoxes(rec, 12)
	consul := h.startConsul()
	site := h.siteFile("site.json", h.relays, consul.addr)
	planner := h.startPlanner(site)
	h.startEdge(site)
	h.awaitStatus(`"boxes":4`)
	leaving := h.relays[3]
	listed := func() bool {
		_, s := get("http://" + h.plannerAddr + "/v1/boxes")
		return strings.Contains(s, leaving)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		consul.deregister(leaving)
		for end := time.Now().Add(85 * time.Second); listed(); time.Sleep(500 * time.Millisecond) {
			if time.Now().After(end) {
				cannotRun("the planner still lists the box 85 s after it left the catalogue")
			}
		}
		rec.add("the planner no longer lists %s", leaving)
	}
	h.siteFile("site.json", h.relays[:3], consul.addr)
	rec.add("operator: %s is taken out of the site file, SIGHUP to the planner", leaving)
	planner.signal(syscall.SIGHUP)
	var broken []string
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if planner.ended() {
			broken = append(broken, "the planner has crashed: "+planner.cmd.ProcessState.String())
			break
		}
	}
	if status, _ := get("http://" + h.plannerAddr + "/healthz"); status != 200 && broken == nil {
		broken = append(broken, "the planner does not answer")
	}
	verdict(rec, broken)
}
