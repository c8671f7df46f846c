package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
)

const (
	endingConnections = 40 // that rest until the node is told to end
	endingTimer       = 800 * time.Millisecond
	// earliestKill is how long after SIGTERM the node may be killed: its longest deadline, a second by the settings of the
	// tests, and the time in which requests still arrive.
	earliestKill = time.Second + defaultArrivalWindow
)

// TestDenseEnding: a node in a process of its own is told to end while servers err, hang and reset. Clients go on asking, on
// connections that rest and on new ones, until it could be killed. Whatever the node took it answers, once, or it closes
// the connection so soon that the client may send the request again elsewhere; then it ends by itself.
func TestDenseEnding(t *testing.T) {
	for seed := uint64(1); seed <= trialSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { t.Parallel(); playEnding(t, seed) })
	}
}

func playEnding(t *testing.T, seed uint64) {
	draws := rand.New(rand.NewPCG(seed, 2))
	servers := newTrialServers(seed)
	f := newFeed(t, []coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true, Servers: servers.start(t)}}})
	p := startChild(t, childOptions{trialSockets, defaultSettings, []string{helperStays + "=1"}}, f.Listener.Addr().String(), f.all)
	var resting [endingConnections]*dialogue
	for i := range resting {
		resting[i] = p.dial().say(optionsRequest)
		resting[i].want("", statusOK)
	}
	var clients sync.WaitGroup
	var told time.Time
	for i := range endingConnections {
		id := fmt.Sprintf("%08x%08x", seed, 0x1000+i)
		if i == endingConnections/4 {
			told = time.Now()
			if err := p.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
		on := resting[i]
		if draws.IntN(3) == 0 && (told.IsZero() || time.Since(told) < 200*time.Millisecond) {
			on = p.dial() // new connections come for a short time only
		}
		class := []string{"free", "paid"}[draws.IntN(2)]
		clients.Go(func() { askWhileEnding(t, servers, on, class, id) })
		time.Sleep(time.Duration(draws.Int64N(int64(2 * earliestKill / endingConnections))))
	}
	clients.Wait()
}

// askWhileEnding sends a request and judges what comes back.
func askWhileEnding(t *testing.T, servers *trialServers, on *dialogue, class, id string) {
	text := strings.Replace(setUp(id, class, ""), "X-Timer-Ms: 3000", fmt.Sprintf("X-Timer-Ms: %d", endingTimer.Milliseconds()), 1)
	if _, err := on.Write([]byte(text)); err != nil {
		return // the node has ended
	}
	asked := time.Now()
	answer, err := on.until(asked.Add(endingTimer + answerGrace + trialSlack))
	switch {
	case answer != nil && answer.Get("Session") != id:
		t.Errorf("%s: answered %+v", id, answer)
	case answer != nil:
		for _, wrong := range servers.judge(class, id, answer) {
			t.Errorf("%s: answered %d: %s", id, answer.Status, wrong)
		}
	case err == nil:
		t.Errorf("%s: neither answered nor closed", id)
	case time.Since(asked) > resendWithin && len(servers.of(id)) > 0:
		t.Errorf("%s: closed %v behind it, unanswered: %v", id, time.Since(asked), err)
	}
}
