package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
)

const (
	shutdownConnections = 40 // idle connections that are open before the shutdown
	shutdownTimer       = 800 * time.Millisecond
	// earliestKill is how long after SIGTERM the node may be killed: its longest deadline, a second by the settings of the
	// tests, and the time in which requests still arrive.
	earliestKill = time.Second + defaultArrivalWindow
)

// TestRandomShutdownTrial shuts down a node in a child process while servers fail, hang and reset connections. Clients
// go on sending requests, on idle and on new connections, until the node could be killed. The node must answer each
// request that it accepted exactly once, or close the connection so soon that the client may send the request again
// to another node; then it must end by itself.
func TestRandomShutdownTrial(t *testing.T) {
	for seed := uint64(1); seed <= trialSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { t.Parallel(); runShutdownTrial(t, seed) })
	}
}

// runShutdownTrial plays the trial of one seed.
func runShutdownTrial(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	servers := newTrialServers(seed)
	c := newScriptedCoordinator(t, []coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true,
		Servers: servers.start(t)}}})
	p := startChild(t, childOptions{trialSockets, defaultSettings, []string{helperArrivalWindowEnv + "=1"}},
		c.Listener.Addr().String(), c.updates)
	var idle [shutdownConnections]*viewerClient
	for i := range idle {
		idle[i] = p.dial().send(optionsRequest)
		idle[i].wantAnswer("", statusOK)
	}
	var clients sync.WaitGroup
	var signalledAt time.Time
	for i := range shutdownConnections {
		id := fmt.Sprintf("%08x%08x", seed, 0x1000+i)
		if i == shutdownConnections/4 {
			signalledAt = time.Now()
			p.terminate()
		}
		conn := idle[i]
		if random.IntN(3) == 0 && (signalledAt.IsZero() || time.Since(signalledAt) < 200*time.Millisecond) {
			conn = p.dial() // new connections arrive only for a short time after the signal
		}
		class := []string{"free", "paid"}[random.IntN(2)]
		clients.Go(func() { requestDuringShutdown(t, servers, conn, class, id) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * earliestKill / shutdownConnections))))
	}
	clients.Wait()
}

// requestDuringShutdown sends a request and checks what the node answers.
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
		t.Errorf("%s: no answer, and the connection is still open", id)
	case time.Since(sentAt) > resendWindow && len(servers.setUpsOf(id)) > 0:
		t.Errorf("%s: connection closed %v after the request without an answer: %v", id, time.Since(sentAt), err)
	}
}
