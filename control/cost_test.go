package control

import (
	"fmt"
	"testing"
	"time"
)

// newWideFleet returns a controller with many servers in eight racks. All servers have every title.
func newWideFleet(t testing.TB, servers int) *Controller {
	settings := testSettings()
	settings.Cells, settings.Racks, settings.Fronts, settings.StreamSlotsByKind = 8, 8, 300, []int{50}
	settings.TotalLinkRate, settings.RackUplinkRate, settings.MaxAttempts = float64(servers)*1e4,
		float64(servers)*1e3, 1
	c, err := New(settings, 1)
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

// placeRequests places n requests, one in each step, and returns the number of set-ups sent.
func (c *Controller) placeRequests(n int) (sent int) {
	for i := range n {
		r := Request{ID: fmt.Sprint("r", i), Class: 0, Tenant: -1, CellSpan: 8, BestRung: 1, GiveUpAt: time.Hour,
			Title: uint64(i)}
		for _, a := range c.Step(2*time.Second+time.Duration(i)*time.Millisecond, []Event{r}) {
			if _, ok := a.(Send); ok {
				sent++
			}
		}
	}
	return sent
}

// TestPlacementSumsUplinksOnce checks that a placement sums the rate of each rack's uplink once while it compares
// servers. With a sum for each server, its cost would grow with the square of the number of servers.
func TestPlacementSumsUplinksOnce(t *testing.T) {
	for _, servers := range []int{64, 640} {
		c := newWideFleet(t, servers)
		if sent := c.placeRequests(1); sent != 1 {
			t.Fatalf("%d set-ups sent, want 1", sent)
		}
		c.uplinkSums = 0
		r := Request{ID: "x", Tenant: -1, CellSpan: 8, BestRung: 0, GiveUpAt: time.Hour}
		c.Step(3*time.Second, []Event{r})
		if most := 4 * len(c.racks); c.uplinkSums > most {
			t.Errorf("%d servers in %d racks: %d sums for one placement, want at most %d", servers,
				len(c.racks), c.uplinkSums, most)
		}
	}
}

// BenchmarkPlace measures the placement of one request.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{50, 200, 800, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := newWideFleet(b, servers)
			b.ResetTimer()
			c.placeRequests(b.N)
		})
	}
}

// BenchmarkListChange measures a list update that changes the state of one server.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := newWideFleet(b, servers)
			states := []ServerState{Draining, Ready}
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("s-%04d", i%servers)
				c.Step(time.Duration(i)*time.Millisecond, []Event{ListUpdate{Servers: []Server{
					{ID: id, State: states[i/servers%2], Cell: i % 8, Weight: 1}}}})
			}
		})
	}
}
