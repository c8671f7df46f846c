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
	shutdownConnections = 40 // that rest until the node is told to end
	shutdownTimer       = 800 * time.Millisecond
	// earliestKill is how long after SIGTERM the node may be killed: its longest deadline, a second by the settings of the
	// tests, and the time in which requests still arrive.
	earliestKill = time.Second + defaultArrivalWindow
)

// TestDenseEnding: a node in a process of its own is told to end while servers err, hang and reset. Clients go on asking, on
// connections that rest and on new ones, until it could be killed. Whatever the node took it answers, once, or it closes
// the connection so soon that the client may send the request again elsewhere; then it ends by itself.
func TestRandomShutdownTrial(t *testing.T) {
	for seed := uint64(1); seed <= trialSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { t.Parallel(); runShutdownTrial(t, seed) })
	}
}

func runShutdownTrial(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	servers := newTrialServers(seed)
	f := newScriptedCoordinator(t, []coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true, Servers: servers.start(t)}}})
	p := startChild(t, childOptions{trialSockets, defaultSettings, []string{helperArrivalWindowEnv + "=1"}}, f.Listener.Addr().String(), f.updates)
	var resting [shutdownConnections]*viewerClient
	for i := range resting {
		resting[i] = p.dial().send(optionsRequest)
		resting[i].wantAnswer("", statusOK)
	}
	var clients sync.WaitGroup
	var signalledAt time.Time
	for i := range shutdownConnections {
		id := fmt.Sprintf("%08x%08x", seed, 0x1000+i)
		if i == shutdownConnections/4 {
			signalledAt = time.Now()
			if err := p.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
		conn := resting[i]
		if random.IntN(3) == 0 && (signalledAt.IsZero() || time.Since(signalledAt) < 200*time.Millisecond) {
			conn = p.dial() // new connections come for a short time only
		}
		class := []string{"free", "paid"}[random.IntN(2)]
		clients.Go(func() { requestDuringShutdown(t, servers, conn, class, id) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * earliestKill / shutdownConnections))))
	}
	clients.Wait()
}

// askWhileEnding sends a request and judges what comes back.
func requestDuringShutdown(t *testing.T, servers *trialServers, conn *viewerClient, class, id string) {
	text := strings.Replace(setUpRequest(id, class, ""), "X-Timer-Ms: 3000", fmt.Sprintf("X-Timer-Ms: %d", shutdownTimer.Milliseconds()), 1)
	if _, err := conn.Write([]byte(text)); err != nil {
		return // the node has ended
	}
	sentAt := time.Now()
	answer, err := conn.readAnswerUntil(sentAt.Add(shutdownTimer + answerGrace + busyMachineSlack))
	switch {
	case answer != nil && answer.Get("Session") != id:
		t.Errorf("%s: answered %+v", id, answer)
	case answer != nil:
		for _, violation := range servers.violations(class, id, answer) {
			t.Errorf("%s: answered %d: %s", id, answer.Status, violation)
		}
	case err == nil:
		t.Errorf("%s: neither answered nor closed", id)
	case time.Since(sentAt) > resendWindow && len(servers.setUpsOf(id)) > 0:
		t.Errorf("%s: closed %v behind it, unanswered: %v", id, time.Since(sentAt), err)
	}
}
