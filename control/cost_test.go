package control

import (
	"fmt"
	"testing"
	"time"
)

// wideFleet is a controller that knows many servers in racks, all of which hold every title, and has heard of their load.
func newWideFleet(t testing.TB, servers int) *Controller {
	set := testSettings()
	set.Cells, set.Racks, set.Fronts, set.StreamSlotsByKind = 8, 8, 300, []int{50}
	set.TotalLinkRate, set.RackUplinkRate, set.MaxAttempts = float64(servers)*1e4, float64(servers)*1e3, 1
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	list := ListUpdate{Whole: true}
	for i := range servers {
		list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("s-%04d", i), State: Ready, Cell: i % 8, Weight: 1})
	}
	c.Step(time.Second, []Event{list})
	return c
}

// place has n requests placed, one a step.
func (c *Controller) placeRequests(n int) (sent int) {
	for i := range n {
		r := Request{ID: fmt.Sprint("r", i), Class: 0, Tenant: -1, CellSpan: 8, BestRung: 1, GiveUpAt: time.Hour, Title: uint64(i)}
		for _, a := range c.Step(2*time.Second+time.Duration(i)*time.Millisecond, []Event{r}) {
			if _, ok := a.(Send); ok {
				sent++
			}
		}
	}
	return sent
}

// TestPlacementSumsUplinksOnce: a placement sums up each rack's uplink once while it compares servers, so that its cost
// grows with the number of servers and not with its square.
func TestPlacementSumsUplinksOnce(t *testing.T) {
	for _, servers := range []int{64, 640} {
		c := newWideFleet(t, servers)
		if sent := c.placeRequests(1); sent != 1 {
			t.Fatalf("%d sent", sent)
		}
		c.uplinkSums = 0
		r := Request{ID: "x", Tenant: -1, CellSpan: 8, BestRung: 0, GiveUpAt: time.Hour}
		c.Step(3*time.Second, []Event{r})
		if most := 4 * len(c.racks); c.uplinkSums > most {
			t.Errorf("%d servers in %d racks: %d sums for one placement, %d at the most", servers, len(c.racks), c.uplinkSums, most)
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{50, 200, 800, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := newWideFleet(b, servers)
			b.ResetTimer()
			c.placeRequests(b.N)
		})
	}
}

// BenchmarkListChange is one server that changes its state, told alone.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := newWideFleet(b, servers)
			states := []ServerState{Draining, Ready}
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("s-%04d", i%servers)
				c.Step(time.Duration(i)*time.Millisecond, []Event{ListUpdate{Servers: []Server{{ID: id, State: states[i/servers%2], Cell: i % 8, Weight: 1}}}})
			}
		})
	}
}
