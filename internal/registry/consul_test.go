package registry

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rainpulley/internal/config"
	"rainpulley/internal/reconcile"
	"rainpulley/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a simulated catalogue with three boxes and a title, and what a Consul that watches it delivered.
type fixture struct {
	t         *testing.T
	catalogue *standin.Catalogue
	site      *config.Site
	mu        sync.Mutex
	last      Snapshot
	snapshots int
	errs      []string
}

func newFixture(t *testing.T, change func(*config.Site)) *fixture {
	r := &fixture{t: t, catalogue: standin.NewCatalogue(), site: &config.Site{Zones: []string{"east"}, Kinds: []config.Kind{{Name: "two-core", Streams: 9}}, Cells: 20, Racks: 2}}
	addr, err := r.catalogue.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.site.Consul = config.Consul{Address: addr, Scheme: "http", Service: "clip-box", Titles: "clips/", Consistency: "default",
		Wait: config.Duration(2 * time.Second), TTL: config.Duration(time.Second)}
	if change != nil {
		change(r.site)
	}
	r.catalogue.Update(func(s map[string]*standin.Service, k map[string]string) {
		for i := range 3 {
			s[fmt.Sprint("box", i)] = boxService(i)
		}
		k["clips/"], k["clips/one"] = "", `{"home":1,"span":3,"length_ms":60000}`
	})
	t.Cleanup(r.catalogue.Stop)
	return r
}

func boxService(i int) *standin.Service {
	return &standin.Service{ID: fmt.Sprint("box", i), Name: "clip-box", Address: "127.0.0.1", Port: 9000 + i, Checks: map[string]string{"alive": "passing"},
		Meta: map[string]string{MetaZone: "east", MetaKind: "two-core", MetaCell: fmt.Sprint(i), MetaWeight: "2.5", MetaStarted: "1700000000000"}}
}

func (r *fixture) watch() {
	c, err := NewConsul(r.site)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.Watch(ctx, func(s Snapshot) { r.mu.Lock(); r.last, r.snapshots = s, r.snapshots+1; r.mu.Unlock() },
			func(err error) { r.mu.Lock(); r.errs = append(r.errs, err.Error()); r.mu.Unlock() })
	}()
	r.t.Cleanup(func() { stop(); <-stopped })
}

func (r *fixture) waitFor(what string, ok func(s Snapshot) bool) {
	r.t.Helper()
	for range 2000 {
		r.mu.Lock()
		done := ok(r.last)
		r.mu.Unlock()
		if done {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatalf("timed out waiting for: %s; last snapshot %+v, errors %v", what, r.last, r.errs)
}

func (r *fixture) change(i int, do func(s *standin.Service)) {
	r.catalogue.Update(func(s map[string]*standin.Service, _ map[string]string) { do(s[fmt.Sprint("box", i)]) })
}

// Boxes and titles are read through the official client, and every change is delivered: health, maintenance mode, a
// new address, and deregistration.
func TestConsulDeliversChanges(t *testing.T) {
	r := newFixture(t, nil)
	r.watch()
	r.waitFor("all boxes and titles", func(s Snapshot) bool { return len(s.Boxes) == 3 && len(s.Titles) == 1 })
	if b := r.last.Boxes[1]; b.ID != "127.0.0.1:9001" || b.Cell != 1 || b.Weight != 2.5 || b.Zone != "east" || b.Started != 1700000000000 || r.last.Titles[0].CellSpan != 3 {
		t.Errorf("wrong fields in snapshot %+v", r.last)
	}
	r.change(0, func(s *standin.Service) { s.Checks["alive"] = "critical" })
	r.change(1, func(s *standin.Service) { s.Checks["_service_maintenance:box1"] = "critical" })
	r.change(2, func(s *standin.Service) { s.Checks["alive"], s.Meta[MetaDrain] = "warning", "true" })
	r.waitFor("health and drain of all boxes", func(s Snapshot) bool {
		return s.Boxes[0].Health == reconcile.Critical && !s.Boxes[0].Drain && s.Boxes[1].Drain &&
			s.Boxes[1].Health == reconcile.Passing && s.Boxes[2].Drain && s.Boxes[2].Health == reconcile.Warning
	})
	r.change(0, func(s *standin.Service) { s.Port, s.Meta[MetaStarted] = 9100, "1700000005000" })
	r.waitFor("a new address under the same id", func(s Snapshot) bool { return s.Boxes[2].ID == "127.0.0.1:9100" && s.Boxes[2].Started == 1700000005000 })
	r.catalogue.Update(func(s map[string]*standin.Service, k map[string]string) {
		delete(s, "box1")
		delete(k, "clips/one")
	})
	r.waitFor("removal of a box and a title", func(s Snapshot) bool { return len(s.Boxes) == 2 && len(s.Titles) == 0 })
}

// Guards against changes of titles that have the version of the snapshot before and are therefore not stored on disk.
func TestTitleChangeHasNewVersion(t *testing.T) {
	r := newFixture(t, nil)
	r.watch()
	r.waitFor("the title", func(s Snapshot) bool { return len(s.Boxes) == 3 && len(s.Titles) == 1 })
	r.mu.Lock()
	before := r.last.Version
	r.mu.Unlock()
	r.catalogue.Update(func(_ map[string]*standin.Service, k map[string]string) { k["clips/two"] = `{"home":1,"span":3}` })
	changed := uint64(0)
	r.waitFor("the second title", func(s Snapshot) bool { changed = s.Version; return len(s.Titles) == 2 })
	if changed <= before {
		t.Errorf("version %d after the change, %d before", changed, before)
	}
}

// An invalid entry or key is left out and reported as a fault, without effect on the others.
func TestInvalidEntries(t *testing.T) {
	r := newFixture(t, nil)
	breaks := map[string]func(s *standin.Service){
		MetaZone: func(s *standin.Service) { s.Meta[MetaZone] = "nowhere" }, MetaKind: func(s *standin.Service) { delete(s.Meta, MetaKind) },
		MetaCell: func(s *standin.Service) { s.Meta[MetaCell] = "20" }, MetaWeight: func(s *standin.Service) { s.Meta[MetaWeight] = "NaN" },
		MetaStarted: func(s *standin.Service) { s.Meta[MetaStarted] = "9223372036854775807" }, "address": func(s *standin.Service) { s.Port = 0 },
	}
	r.catalogue.Update(func(s map[string]*standin.Service, k map[string]string) {
		i := 3
		for name, do := range breaks {
			s["bad-"+name] = boxService(i)
			s["bad-"+name].ID = "bad-" + name
			do(s["bad-"+name])
			i++
		}
		k["clips/half"], k["clips/wide"], k["clips/a b"], k["clips/x"] = `{"home":1,`, `{"home":1,"span":99}`, `{"home":1,"span":1}`, `{"home":0,"span":1,"holders":["h"]}`
	})
	r.watch()
	r.waitFor("valid entries and one fault for each invalid one", func(s Snapshot) bool {
		return len(s.Boxes) == 3 && len(s.Titles) == 1 && len(s.Faults) == len(breaks)+4
	})
	if n := len(r.last.InvalidBoxes); n != len(breaks)-1 { // the one without an address has no id
		t.Errorf("%d boxes with invalid entries: %+v", n, r.last.InvalidBoxes)
	}
	all := strings.Join(r.last.Faults, "\n")
	for name := range breaks {
		if !strings.Contains(all, name+":") {
			t.Errorf("no fault names %s:\n%s", name, all)
		}
	}
	for _, k := range []string{"half", "wide", "a b", "x"} {
		if !strings.Contains(all, "key clips/"+k+":") {
			t.Errorf("no fault names %s:\n%s", k, all)
		}
	}
}

// During each fault of the catalogue no wrong snapshot is delivered; after the fault, changes made meanwhile are.
func TestCatalogueFaults(t *testing.T) {
	for name, f := range map[string]standin.CatalogueFault{"hangs": {Hang: true}, "500s": {Status: 500}, "429s": {Status: 429}, "truncated": {Truncate: true},
		"no leader": {NoLeader: true}, "not found": {Status: 404}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, func(s *config.Site) { s.Consul.Titles = "" })
			r.watch()
			r.waitFor("all boxes", func(s Snapshot) bool { return len(s.Boxes) == 3 })
			r.catalogue.SetFault(f)
			if f.Hang { // setting the fault ends the waiting query; the next query hangs until its timeout
				time.Sleep(300 * time.Millisecond)
			} else {
				r.waitFor("errors", func(Snapshot) bool { return len(r.errs) > 1 })
			}
			r.change(0, func(s *standin.Service) { s.Meta[MetaDrain] = "true" })
			if len(r.last.Boxes) != 3 || r.last.Boxes[0].Drain {
				t.Errorf("delivered wrong boxes %+v", r.last.Boxes)
			}
			r.catalogue.SetFault(standin.CatalogueFault{})
			r.waitFor("the drain", func(s Snapshot) bool { return s.Boxes[0].Drain })
		})
	}
	t.Run("connections are refused, then accepted", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, nil)
		r.watch()
		r.waitFor("all boxes", func(s Snapshot) bool { return len(s.Boxes) == 3 })
		r.catalogue.Stop()
		r.waitFor("errors", func(Snapshot) bool { return len(r.errs) > 1 })
		r.change(1, func(s *standin.Service) { s.Meta[MetaDrain] = "true" })
		if _, err := r.catalogue.Start(r.site.Consul.Address); err != nil {
			t.Fatal(err)
		}
		r.waitFor("the drain", func(s Snapshot) bool { return s.Boxes[1].Drain })
	})
	t.Run("the index goes backwards during a drain", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, nil)
		r.watch()
		r.waitFor("all boxes", func(s Snapshot) bool { return len(s.Boxes) == 3 })
		r.catalogue.SetFault(standin.CatalogueFault{IndexDecrease: 50})
		r.change(1, func(s *standin.Service) { s.Meta[MetaDrain] = "true" })
		begin := time.Now()
		r.waitFor("the drain", func(s Snapshot) bool { return s.Boxes[1].Drain })
		if took := time.Since(begin); took > time.Second {
			t.Errorf("the drain was delivered after %v, want a second at most", took)
		}
	})
	t.Run("answers arrive slowly", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, nil)
		r.catalogue.SetFault(standin.CatalogueFault{TrickleDelay: 2 * time.Millisecond})
		r.watch()
		r.waitFor("all boxes and titles", func(s Snapshot) bool { return len(s.Boxes) == 3 && len(s.Titles) == 1 })
	})
	t.Run("a stale read reports its age", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, func(s *config.Site) { s.Consul.Consistency = "stale" })
		r.catalogue.SetFault(standin.CatalogueFault{LastContact: 7 * time.Second})
		r.watch()
		r.waitFor("all boxes, with an age of 7 s", func(s Snapshot) bool {
			return len(s.Boxes) == 3 && s.Age == 7*time.Second
		})
	})
	t.Run("the token is revoked", func(t *testing.T) {
		t.Parallel()
		file := filepath.Join(t.TempDir(), "token")
		if err := os.WriteFile(file, []byte("good"), 0o600); err != nil {
			t.Fatal(err)
		}
		r := newFixture(t, func(s *config.Site) { s.Consul.TokenFile = file })
		r.catalogue.RequireToken("good")
		r.watch()
		r.waitFor("all boxes", func(s Snapshot) bool { return len(s.Boxes) == 3 })
		r.catalogue.RequireToken("other")
		r.waitFor("errors", func(Snapshot) bool {
			return slices.ContainsFunc(r.errs, func(e string) bool { return strings.Contains(e, "403") })
		})
		if len(r.last.Boxes) != 3 {
			t.Errorf("want the 3 boxes read before, have %+v", r.last)
		}
	})
}

// Many watchers spread their queries after an outage instead of returning at the same time, and none leaks a
// goroutine.
func TestThunderingHerd(t *testing.T) {
	r := newFixture(t, func(s *config.Site) { s.Consul.Titles = "" })
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for i := range 100 {
		c, err := NewConsul(r.site)
		if err != nil {
			t.Fatal(err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.Watch(ctx, func(s Snapshot) { mu.Lock(); got[i] = len(s.Boxes); mu.Unlock() }, func(error) {})
		}()
	}
	all := func(want int) func(Snapshot) bool {
		return func(Snapshot) bool {
			mu.Lock()
			defer mu.Unlock()
			n := 0
			for _, b := range got {
				if b == want {
					n++
				}
			}
			return n == 100
		}
	}
	r.waitFor("all watchers to receive 3 boxes", all(3))
	r.catalogue.Stop()
	time.Sleep(time.Second)
	r.catalogue.Update(func(s map[string]*standin.Service, _ map[string]string) { delete(s, "box2") })
	before, _ := r.catalogue.Requests()
	if _, err := r.catalogue.Start(r.site.Consul.Address); err != nil {
		t.Fatal(err)
	}
	r.waitFor("all watchers to receive 2 boxes", all(2))
	after, _ := r.catalogue.Requests()
	most := 0
	for _, at := range after[len(before):] {
		n := 0
		for _, o := range after[len(before):] {
			if d := o.Sub(at); d >= 0 && d < 50*time.Millisecond {
				n++
			}
		}
		most = max(most, n)
	}
	if most > 60 {
		t.Errorf("%d of %d requests within 50 ms", most, len(after)-len(before))
	}
	t.Logf("at most %d of %d requests within 50 ms", most, len(after)-len(before))
	stop()
	wg.Wait()
}

// A program registers, keeps its check passing, registers again after the catalogue lost it, and deregisters at the
// end.
func TestRegister(t *testing.T) {
	r := newFixture(t, nil)
	c, err := NewConsul(r.site)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.Register(ctx, "edge-0", "rainpulley-edge", "127.0.0.1", 8000, func(error) {})
	}()
	passing := func(Snapshot) bool {
		s, ok := r.catalogue.Service("edge-0")
		return ok && s.Checks["service:edge-0"] == "passing" && s.Port == 8000
	}
	r.waitFor("the registration", passing)
	time.Sleep(1500 * time.Millisecond) // beyond its TTL
	if !passing(Snapshot{}) {
		t.Error("the check does not pass after its TTL")
	}
	r.catalogue.Update(func(s map[string]*standin.Service, _ map[string]string) { delete(s, "edge-0") })
	r.waitFor("the second registration", passing)
	stop()
	<-stopped
	if _, ok := r.catalogue.Service("edge-0"); ok {
		t.Error("still registered after ctx ended")
	}
}
