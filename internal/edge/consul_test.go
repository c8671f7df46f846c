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

// consulWorld is a fleet that a catalogue describes.
func newConsulEnv(t *testing.T, boxes, edges int) *testEnv {
	w := newTestEnv(t, boxes, edges, func(s *config.Site) {
		s.Rules.DrainGrace = seconds(1)
		s.Consul = config.Consul{Scheme: "http", Service: "clip-box", Consistency: "default", Wait: seconds(2), TTL: seconds(3)}
	})
	w.plannerTask.stopAndWait()
	w.catalogue = standin.NewCatalogue()
	addr, err := w.catalogue.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.catalogue.Stop)
	w.site.Consul.Address = addr
	for _, b := range w.site.Boxes {
		host, text, _ := net.SplitHostPort(b.Addr)
		port, _ := strconv.Atoi(text)
		w.catalogue.Change(func(s map[string]*standin.Service, _ map[string]string) {
			s[b.Addr] = &standin.Service{ID: b.Addr, Name: "clip-box", Address: host, Port: port, Checks: map[string]string{"alive": "passing"},
				Meta: map[string]string{registry.MetaZone: b.Zone, registry.MetaKind: b.Kind, registry.MetaCell: fmt.Sprint(b.Cell)}}
		})
	}
	w.startPlanner()
	for i := range edges {
		w.startEdge(i, boxes)
	}
	return w
}

func (w *testEnv) changeService(i int, do func(s *standin.Service)) {
	w.catalogue.Change(func(s map[string]*standin.Service, _ map[string]string) { do(s[w.site.Boxes[i].Addr]) })
}

// line is what the planner says of a box.
func (w *testEnv) plannerBox(i int) (out planner.BoxLine) {
	_, body := w.get("http://" + w.site.Planner.Listen + "/v1/boxes")
	var list struct{ Boxes []planner.BoxLine }
	_ = json.Unmarshal([]byte(body), &list)
	for _, l := range list.Boxes {
		if l.ID == w.site.Boxes[i].Addr {
			return l
		}
	}
	return out
}

func (w *testEnv) waitForBoxState(i int, state, reason string) {
	w.t.Helper()
	w.waitFor(fmt.Sprintf("box %d is %s: %s", i, state, reason), func() bool {
		l := w.plannerBox(i)
		return l.State == state && strings.Contains(l.Reason, reason)
	})
}

// The fleet comes from the catalogue; maintenance there is a drain, kept within its grace by what passed on the
// sockets, and what is gone from the catalogue gets no more work.
func TestFleetFromConsul(t *testing.T) {
	w := newConsulEnv(t, 4, 2)
	if code, _ := w.play(0, "key=a"); code != 200 {
		t.Fatal(code)
	}
	w.waitForBoxState(1, "ready", "named and passing")
	begin := time.Now()
	w.changeService(1, func(s *standin.Service) { s.Checks["_service_maintenance:x"] = "critical" })
	w.waitForBoxState(1, "draining", "drain told by consul")
	if took := time.Since(begin); took > time.Second {
		t.Errorf("told after %v", took)
	}
	w.changeService(2, func(s *standin.Service) { s.Checks["alive"] = "critical" })
	w.waitForBoxState(2, "gone", "check fails")
	for i := range 12 {
		if code, _ := w.play(i%2, fmt.Sprint("key=b", i)); code != 200 {
			t.Errorf("%d", code)
		}
	}
	w.changeService(2, func(s *standin.Service) { s.Checks["alive"] = "passing" })
	w.waitForBoxState(2, "ready", "named and passing")
	w.checkAudit()
}

// The catalogue fails in each way: what plays plays on, new sessions are placed, and a planner that is restarted
// meanwhile starts from its last word. A drain told after the return is kept.
func TestCatalogueOutage(t *testing.T) {
	w := newConsulEnv(t, 6, 1)
	w.catalogue.Stop()
	w.plannerTask.stopAndWait()
	w.startPlanner()
	w.waitFor("a view from the last word", func() bool {
		_, body := w.get("http://" + w.site.Planner.Listen + "/v1/view")
		return strings.Count(body, `"state":"ready"`) == 6
	})
	if l := w.plannerBox(0); l.Source != "disk" || l.AgeMs <= 0 {
		t.Errorf("%+v", l)
	}
	if code, _ := w.play(0, "key=a"); code != 200 {
		t.Error(code)
	}
	w.changeService(0, func(s *standin.Service) { s.Meta[registry.MetaDrain] = "true" })
	if _, err := w.catalogue.Start(w.site.Consul.Address); err != nil {
		t.Fatal(err)
	}
	w.waitForBoxState(0, "draining", "drain told by consul")
	w.catalogue.Set(standin.CatalogueFault{Empty: true})
	time.Sleep(6 * time.Second) // beyond the time for which a missing entry counts on
	w.waitForBoxState(1, "ready", "kept: checks took away")
	w.waitForBoxState(0, "draining", "drain told by consul")
	for i := range 6 {
		if code, _ := w.play(0, fmt.Sprint("key=c", i)); code != 200 {
			t.Errorf("%d", code)
		}
	}
	w.checkAudit()
}

// A box that passes its checks and drops set-ups is told to all edges as one that gets no new work, with the reason.
func TestPassingCheckFailingSessions(t *testing.T) {
	w := newConsulEnv(t, 3, 2)
	w.fleet.Boxes[1].Set(func(f *standin.Faults) { f.Hang, f.Lies = true, true })
	stop := make(chan struct{})
	over := make(chan struct{})
	go func() {
		defer close(over)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
			}
			go w.play(i%2, fmt.Sprint("key=h", i))
		}
	}()
	w.waitFor("it rests", func() bool { return strings.Contains(w.plannerBox(1).Reason, "set-ups failed in a row") })
	close(stop)
	<-over
	time.Sleep(2500 * time.Millisecond) // the last requests end
	w.fleet.Boxes[1].Set(func(f *standin.Faults) { f.Hang, f.Lies = false, false })
	if n := w.countEntries(audit.SetupArrived, ""); n == 0 {
		t.Error("no set-up at all")
	}
	w.checkAudit()
}
