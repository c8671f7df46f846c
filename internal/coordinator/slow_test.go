package coordinator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// simulatedCoordinator answers polls in simulated time, over pipes.
type simulatedCoordinator struct {
	answerDelay  time.Duration // each answer, whose content is fixed before, comes this much late
	connectDelay time.Duration // each connection comes up this much late
	behaviour    func(pollNumber int) pollBehaviour

	mu      sync.Mutex
	polls   int
	open    int
	maxOpen int
	events  int64 // number of the last event
	changed chan struct{}
}

// pollBehaviour is what becomes of a poll.
type pollBehaviour int

const (
	answered pollBehaviour = iota
	refused                // the connection is refused
	ignored                // the connection is accepted, the poll never answered
)

func (c *simulatedCoordinator) dial(ctx context.Context, _ string) (net.Conn, error) {
	c.mu.Lock()
	c.polls++
	behaviour := answered
	if c.behaviour != nil {
		behaviour = c.behaviour(c.polls)
	}
	c.mu.Unlock()
	if behaviour == refused {
		return nil, errors.New("connection refused")
	}
	select {
	case <-time.After(c.connectDelay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	go c.serve(server, behaviour)
	return client, nil
}

// serve answers one poll once an event later than the requested ones exists, or after the requested wait.
func (c *simulatedCoordinator) serve(conn net.Conn, behaviour pollBehaviour) {
	defer conn.Close()
	c.countOpen(1)
	defer c.countOpen(-1)
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { _, _ = conn.Read(make([]byte, 1)); close(closed) }()
	if behaviour == ignored {
		<-closed
		return
	}
	follow, _ := strconv.ParseInt(r.URL.Query().Get("follow"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	c.mu.Lock()
	changed, last := c.changed, c.events
	c.mu.Unlock()
	if last <= follow {
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		case <-closed:
			return
		}
	}
	body, delay := c.answerTo(follow)
	select {
	case <-time.After(delay):
	case <-closed:
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (c *simulatedCoordinator) countOpen(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += change
	c.maxOpen = max(c.maxOpen, c.open)
}

// answerTo returns the body of the answer to a poll, and how late it comes.
func (c *simulatedCoordinator) answerTo(follow int64) (body []byte, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Updates{Index: c.events}
	for n := follow + 1; n <= c.events; n++ {
		u.Updates = append(u.Updates, Update{Endpoints: &Endpoints{Servers: []Entry{{ID: fmt.Sprint(n), State: "draining"}}}})
	}
	body, _ = json.Marshal(u)
	return body, c.answerDelay
}

// tell publishes the next event.
func (c *simulatedCoordinator) tell() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events++
	close(c.changed)
	c.changed = make(chan struct{})
}

// followSimulated follows the coordinator in simulated time while run publishes events. It returns when each event was
// applied, and fails the test unless each was applied once and in order.
func followSimulated(t *testing.T, c *simulatedCoordinator, run func()) (appliedAt []time.Time) {
	t.Helper()
	c.changed = make(chan struct{})
	f := New("coordinator", 0, slog.New(slog.DiscardHandler), func(updates []Update) error {
		for _, u := range updates {
			appliedAt = append(appliedAt, time.Now())
			if id := u.Endpoints.Servers[0].ID; id != fmt.Sprint(len(appliedAt)) {
				t.Errorf("event %s applied as number %d", id, len(appliedAt))
			}
		}
		return nil
	})
	f.client.Dial = c.dial
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	run()
	stop()
	<-done
	return appliedAt
}

// TestSlowCoordinator guards against a coordinator that is never heard because each of its answers comes later than the
// time for which a poll is kept (1.4 s): no drain was known for as long as it was slow. Events at any phase of a poll
// are applied, soon if the answers are late by up to 3 s, and in any case within two answers.
func TestSlowCoordinator(t *testing.T) {
	const phases = 9
	for _, delay := range []time.Duration{0, 300, 500, 1000, 1500, 2000, 3000, 5000, 8000, 15000, 40000} {
		delay *= time.Millisecond
		for _, late := range []string{"answers", "connections"} {
			t.Run(fmt.Sprintf("%s %v late", late, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := &simulatedCoordinator{answerDelay: delay}
					if late == "connections" {
						c.answerDelay, c.connectDelay = 0, delay
					}
					bound := 2*delay + pollWait + pollGrace + 10*time.Millisecond
					if delay <= 3*time.Second {
						bound = delay + pollWait + pollGrace + 10*time.Millisecond
					}
					var told []time.Time
					applied := followSimulated(t, c, func() {
						time.Sleep(8 * delay) // the limit of the oldest poll adapts
						for range phases {
							told = append(told, time.Now())
							c.tell()
							time.Sleep(3*delay + 3700*time.Millisecond)
						}
					})
					if len(applied) != phases {
						t.Fatalf("%d of %d events applied", len(applied), phases)
					}
					for i := range told {
						if took := applied[i].Sub(told[i]); took > bound {
							t.Errorf("event %d applied after %v, want %v at most", i+1, took, bound)
						}
					}
					c.mu.Lock()
					defer c.mu.Unlock()
					if c.maxOpen > maxOpenPolls+1 { // one that is being cancelled
						t.Errorf("%d polls open at the same time", c.maxOpen)
					}
				})
			})
		}
	}
}

// TestCoordinatorBecomesSlow checks that a drain is known in bounded time if the coordinator, prompt until then, becomes
// slow just as it is told. The first polls are given up if answers take longer than initialPollLimit.
func TestCoordinatorBecomesSlow(t *testing.T) {
	for _, delay := range []time.Duration{1500, 2500, 4000, 6000, 20000} {
		delay *= time.Millisecond
		for phase := time.Duration(0); phase < 2*time.Second; phase += 130 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				c := &simulatedCoordinator{}
				var told time.Time
				applied := followSimulated(t, c, func() {
					time.Sleep(5*time.Second + phase)
					c.mu.Lock()
					c.answerDelay = delay
					c.mu.Unlock()
					told = time.Now()
					c.tell()
					time.Sleep(4 * delay)
				})
				bound := delay + pollWait + pollGrace
				if delay > initialPollLimit {
					bound = 2 * delay
				}
				if len(applied) != 1 || applied[0].Sub(told) > bound {
					t.Errorf("answers %v late, told after %v: applied after %v", delay, phase, applied)
				}
			})
		}
	}
}

// TestCoordinatorStops checks that a drain is known soon after a coordinator that has stopped for a while, by refusing
// connections or by never answering, works again, also if it is slow then. Polls sent before that are never answered.
func TestCoordinatorStops(t *testing.T) {
	for _, outage := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 8 * time.Second, time.Minute} {
		for name, during := range map[string]pollBehaviour{"refuses": refused, "does not answer": ignored} {
			for _, delay := range []time.Duration{0, 1500 * time.Millisecond, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s for %v, then answers %v late", name, outage, delay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var mu sync.Mutex
						down := false
						c := &simulatedCoordinator{answerDelay: delay}
						c.behaviour = func(int) pollBehaviour {
							mu.Lock()
							defer mu.Unlock()
							if down {
								return during
							}
							return answered
						}
						setDown := func(v bool) { mu.Lock(); down = v; mu.Unlock() }
						var back time.Time
						applied := followSimulated(t, c, func() {
							time.Sleep(3 * time.Second)
							setDown(true)
							time.Sleep(outage / 2)
							c.tell()
							time.Sleep(outage / 2)
							setDown(false)
							back = time.Now()
							time.Sleep(time.Minute)
						})
						// The oldest poll may be one that is never answered: later ones must be heard beside it.
						if bound := delay + 2*(pollWait+pollGrace); len(applied) != 1 || applied[0].Sub(back) > bound {
							t.Errorf("applied %v, back at %v, want %v later at most", applied, back, bound)
						}
					})
				})
			}
		}
	}
}

// TestReloadWithoutSwitch checks that reloads with the same address in quick succession do not keep a slow coordinator
// from being heard.
func TestReloadWithoutSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &simulatedCoordinator{answerDelay: 1500 * time.Millisecond, changed: make(chan struct{})}
		applied := 0
		f := New("coordinator", 0, slog.New(slog.DiscardHandler), func(u []Update) error { applied += len(u); return nil })
		f.client.Dial = c.dial
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		c.tell()
		for range 10 {
			time.Sleep(500 * time.Millisecond)
			f.SwitchAddress("coordinator", Updates{})
		}
		stop()
		<-done
		if applied != 1 {
			t.Errorf("%d events applied, want 1", applied)
		}
	})
}

// TestRequestTarget checks the request line of a poll.
func TestRequestTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New("coordinator", 41, slog.New(slog.DiscardHandler), nil)
		client, server := net.Pipe()
		f.client.Dial = func(context.Context, string) (net.Conn, error) { return client, nil }
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		line, err := bufio.NewReader(server).ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "GET /v2/stream?follow=41&wait_ms=1000 HTTP/1.1") {
			t.Errorf("request line %q, %v", line, err)
		}
		_ = server.Close()
		stop()
		<-done
	})
}
