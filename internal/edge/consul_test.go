package edge_test

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
	"rainpulley/internal/planner"
	"rainpulley/internal/registry"
	"rainpulley/internal/standin"
)

// newConsulEnv starts a fleet whose boxes are listed in a stand-in Consul catalogue.
func newConsulEnv(t *testing.T, boxes, edges int) *testEnv {
	env := newTestEnv(t, boxes, edges, func(s *config.Site) {
		s.Rules.DrainGrace = seconds(1)
		s.Consul = config.Consul{Scheme: "http", Service: "clip-box", Consistency: "default",
			Wait: seconds(2), TTL: seconds(3)}
	})
	env.plannerTask.stopAndWait()
	env.catalogue = standin.NewCatalogue()
	addr, err := env.catalogue.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.catalogue.Stop)
	env.site.Consul.Address = addr
	for _, b := range env.site.Boxes {
		host, text, _ := net.SplitHostPort(b.Addr)
		port, _ := strconv.Atoi(text)
		env.catalogue.Update(func(s map[string]*standin.Service, _ map[string]string) {
			s[b.Addr] = &standin.Service{ID: b.Addr, Name: "clip-box", Address: host, Port: port, Checks: map[string]string{"alive": "passing"},
				Meta: map[string]string{registry.MetaZone: b.Zone, registry.MetaKind: b.Kind, registry.MetaCell: fmt.Sprint(b.Cell)}}
		})
	}
	env.startPlanner()
	for i := range edges {
		env.startEdge(i, boxes)
	}
	return env
}

// changeService changes the catalogue entry of box i.
func (env *testEnv) changeService(i int, do func(s *standin.Service)) {
	env.catalogue.Update(func(s map[string]*standin.Service, _ map[string]string) { do(s[env.site.Boxes[i].Addr]) })
}

// plannerBox returns what the planner reports about box i, or the zero value if it does not list the box.
func (env *testEnv) plannerBox(i int) (found planner.BoxStatus) {
	_, body := env.get("http://" + env.site.Planner.Listen + "/v1/boxes")
	var list struct{ Boxes []planner.BoxStatus }
	_ = json.Unmarshal([]byte(body), &list)
	for _, box := range list.Boxes {
		if box.ID == env.site.Boxes[i].Addr {
			return box
		}
	}
	return found
}

// waitForBoxState waits until the planner reports box i in a state for a reason.
func (env *testEnv) waitForBoxState(i int, state, reason string) {
	env.t.Helper()
	env.waitFor(fmt.Sprintf("box %d to be %s: %s", i, state, reason), func() bool {
		box := env.plannerBox(i)
		return box.State == state && strings.Contains(box.Reason, reason)
	})
}

// The fleet is read from the catalogue. A box in maintenance mode there drains, and the audit checks on the logged
// requests that it gets no set-up after the grace period. A box whose check fails gets no more work.
func TestFleetFromConsul(t *testing.T) {
	env := newConsulEnv(t, 4, 2)
	if code, _ := env.play(0, "key=a"); code != 200 {
		t.Fatal(code)
	}
	env.waitForBoxState(1, "ready", "named and passing")
	begin := time.Now()
	env.changeService(1, func(s *standin.Service) { s.Checks["_service_maintenance:x"] = "critical" })
	env.waitForBoxState(1, "draining", "drain told by consul")
	if took := time.Since(begin); took > time.Second {
		t.Errorf("the drain was published after %v, want within 1 s", took)
	}
	env.changeService(2, func(s *standin.Service) { s.Checks["alive"] = "critical" })
	env.waitForBoxState(2, "gone", "check fails")
	for i := range 12 {
		if code, _ := env.play(i%2, fmt.Sprint("key=b", i)); code != 200 {
			t.Errorf("%d", code)
		}
	}
	env.changeService(2, func(s *standin.Service) { s.Checks["alive"] = "passing" })
	env.waitForBoxState(2, "ready", "named and passing")
	env.checkAudit()
}

// The catalogue is unreachable and then returns an empty list. New sessions are still placed, and a planner that
// restarts during the outage starts from the last catalogue data on disk. A drain that is set before the catalogue
// returns takes effect and remains when the list is empty.
func TestCatalogueOutage(t *testing.T) {
	env := newConsulEnv(t, 6, 1)
	env.catalogue.Stop()
	env.plannerTask.stopAndWait()
	env.startPlanner()
	env.waitFor("a view from the saved catalogue data", func() bool {
		_, body := env.get("http://" + env.site.Planner.Listen + "/v1/view")
		return strings.Count(body, `"state":"ready"`) == 6
	})
	if box := env.plannerBox(0); box.Source != "disk" || box.AgeMs <= 0 {
		t.Errorf("%+v", box)
	}
	if code, _ := env.play(0, "key=a"); code != 200 {
		t.Error(code)
	}
	env.changeService(0, func(s *standin.Service) { s.Meta[registry.MetaDrain] = "true" })
	if _, err := env.catalogue.Start(env.site.Consul.Address); err != nil {
		t.Fatal(err)
	}
	env.waitForBoxState(0, "draining", "drain told by consul")
	env.catalogue.SetFault(standin.CatalogueFault{EmptyList: true})
	time.Sleep(6 * time.Second) // longer than a missing entry remains in effect
	env.waitForBoxState(1, "ready", "kept: checks took away")
	env.waitForBoxState(0, "draining", "drain told by consul")
	for i := range 6 {
		if code, _ := env.play(0, fmt.Sprint("key=c", i)); code != 200 {
			t.Errorf("%d", code)
		}
	}
	env.checkAudit()
}

// A box that passes its health checks but never answers set-ups is published as one that gets no new work, with the
// reason.
func TestPassingCheckFailingSessions(t *testing.T) {
	env := newConsulEnv(t, 3, 2)
	env.fleet.Boxes[1].SetFaults(func(f *standin.Faults) { f.Hang, f.FalseHealth = true, true })
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
			}
			go env.play(i%2, fmt.Sprint("key=h", i))
		}
	}()
	env.waitFor("the box to be excluded for failed set-ups", func() bool {
		return strings.Contains(env.plannerBox(1).Reason, "set-ups failed in a row")
	})
	close(stop)
	<-done
	time.Sleep(2500 * time.Millisecond) // wait for the last requests to end
	env.fleet.Boxes[1].SetFaults(func(f *standin.Faults) { f.Hang, f.FalseHealth = false, false })
	if n := env.countEntries(audit.SetUpReceived, ""); n == 0 {
		t.Error("no set-up reached a box")
	}
	env.checkAudit()
}
