package node

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
	"rainpulley/internal/rtsp"
)

// A short randomised trial with many faults: one node in a child process that is paused now and then, three servers
// that answer, hang, are full, fail and reset connections, and viewers whose connections end around their set-ups and
// who send them again. A seed determines all random choices. The checks use only what the servers and viewers received.

const (
	trialSeeds    = 3
	trialRequests = 150
	trialTimer    = 2 * time.Second
	trialSockets  = 128 // a low limit, so that the node must close idle connections to accept others
	// answerGrace is how long after its deadline an answer may arrive.
	answerGrace = 500 * time.Millisecond
)

// trialRequest is one request of a trial and the faults that affect it.
type trialRequest struct {
	class, id, ending string
	resends           bool          // its connection ends and the viewer sends it again
	idleTime          time.Duration // how long its connection is idle before it
	withdraws         bool          // its viewer withdraws it
	endAfter          time.Duration // time from the set-up until the client's side of the connection ends
	nodeEndLag        time.Duration // time from the end of the client's side to the node's; below 0: none
	resendDelay       time.Duration // time from the end of the client's side until the request is sent again
	splitAt           int           // bytes of the set-up that are written before the rest
}

// randomRequest returns a request with random faults.
func randomRequest(random *rand.Rand, id string) trialRequest {
	endings := []string{"close", "reset", halfClose, "no ending"}
	ms := func(n int) time.Duration { return time.Duration(random.IntN(n)) * time.Millisecond }
	return trialRequest{class: []string{"free", "paid"}[random.IntN(2)], id: id, ending: endings[random.IntN(len(endings))],
		resends: random.IntN(3) > 0, idleTime: ms(3) * 40, withdraws: random.IntN(10) == 0,
		endAfter: ms(40), nodeEndLag: ms(40) - 20*time.Millisecond, resendDelay: ms(25), splitAt: random.IntN(200)}
}

// TestRandomTrial checks that, whatever events coincide, each request gets exactly one answer, in time, on the
// connection that its viewer used last. A request of the class paid runs once at most, and sessions that no viewer
// wants are ended.
func TestRandomTrial(t *testing.T) {
	first := uint64(1)
	if s := os.Getenv("TRIAL_SEED"); s != "" {
		first, _ = strconv.ParseUint(s, 10, 64)
	}
	for seed := first; seed < first+trialSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { t.Parallel(); runTrial(t, seed) })
	}
}

// runTrial plays the trial of one seed.
func runTrial(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	servers := newTrialServers(seed)
	list := servers.start(t)
	c := newScriptedCoordinator(t, []coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true, Servers: list}}})
	p := startChild(t, childOptions{sockets: trialSockets, settings: defaultSettings},
		c.Listener.Addr().String(), c.updates)
	p.dial().send(optionsRequest).wantAnswer("", statusOK)
	r := newRelay(t, p.addr)
	var viewers sync.WaitGroup
	for i := range trialRequests {
		if random.IntN(4) == 0 {
			openIdleConn(t, p.addr)
		}
		if random.IntN(20) == 0 {
			changed := list[random.IntN(len(list))]
			changed.State = []string{"up", "draining", "up"}[random.IntN(3)]
			c.push(changed)
		}
		q := randomRequest(random, fmt.Sprintf("%08x%08x", seed, i+1))
		viewers.Go(func() { q.run(t, r, servers) })
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		if random.IntN(25) == 0 {
			p.pause(func() {}, time.Duration(random.IntN(120))*time.Millisecond)
		}
	}
	viewers.Wait()
}

// openIdleConn opens a connection that sends one request and is then idle. The node closes it when it reaches its
// limit of connections.
func openIdleConn(t *testing.T, addr string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = c.Write([]byte(optionsRequest))
}

// run plays one request and checks its answer.
func (q trialRequest) run(t *testing.T, r *relay, servers *trialServers) {
	text := strings.Replace(setUpRequest(q.id, q.class, ""), "X-Timer-Ms: 3000",
		fmt.Sprintf("X-Timer-Ms: %d", trialTimer.Milliseconds()), 1)
	v, relayed := r.dial(t)
	v.send(optionsRequest).wantAnswer("", statusOK)
	time.Sleep(q.idleTime)
	v.tryWrite(text[:q.splitAt])
	v.tryWrite(text[q.splitAt:])
	sentAt := time.Now()
	conn := v
	switch {
	case q.withdraws:
		q.withdraw(t, servers, v)
		return
	case q.resends:
		answer, err := v.readAnswerUntil(time.Now().Add(q.endAfter))
		if answer != nil { // it arrived before the end of the connection
			q.checkAnswer(t, servers, v, answer, err, sentAt)
			return
		}
		node := time.AfterFunc(max(q.nodeEndLag, 0), func() { connEndings[q.ending](relayed.node) })
		defer node.Stop()
		_ = relayed.client.Close()
		time.Sleep(q.resendDelay)
		conn, _ = r.dial(t)
		conn.send(text)
	}
	answer, err := conn.readAnswerUntil(sentAt.Add(trialTimer + answerGrace + busyMachineSlack))
	if err != nil && conn == v && time.Since(sentAt) < resendWindow { // the node closed the idle connection meanwhile
		conn, _ = r.dial(t)
		conn.send(text)
		answer, err = conn.readAnswerUntil(sentAt.Add(trialTimer + answerGrace + busyMachineSlack))
	}
	q.checkAnswer(t, servers, conn, answer, err, sentAt)
}

// resendWindow is the longest time from a set-up to the end of its connection after which the platform's clients send
// the set-up again.
const resendWindow = 50 * time.Millisecond

// tryWrite writes text and ignores errors, because the connection may have ended.
func (v *viewerClient) tryWrite(text string) { _, _ = v.Write([]byte(text)) }

// withdraw withdraws a request. It needs no answer, and no session of it may remain.
func (q trialRequest) withdraw(t *testing.T, servers *trialServers, v *viewerClient) {
	time.Sleep(q.endAfter)
	v.tryWrite(tearDownRequest(q.id))
	servers.wantNoSession(t, q)
}

// wantNoSession waits until no server runs a session of the request.
func (s *trialServers) wantNoSession(t *testing.T, q trialRequest) {
	time.Sleep(quietPeriod)
	for deadline := time.Now().Add(testTimeout); s.runningSessions(q.id) > 0; time.Sleep(checkServersInterval) {
		if time.Now().After(deadline) {
			t.Errorf("%+v: its session still runs", q)
			return
		}
	}
}

// busyMachineSlack is the additional delay of an answer that is tolerated because the machine may be busy.
const busyMachineSlack = 5 * time.Second

// readAnswerUntil reads the next final answer that arrives before the deadline. It returns neither an answer nor an
// error if none does.
func (v *viewerClient) readAnswerUntil(deadline time.Time) (*rtsp.Message, error) {
	_ = v.SetReadDeadline(deadline)
	defer func() { _ = v.SetReadDeadline(time.Time{}) }()
	for {
		m, err := v.reader.Next()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, nil
		case err != nil:
			return nil, err
		case m.Method == "" && m.Get("CSeq") == "1" && m.Status >= 200:
			return m, nil
		}
	}
}

// checkAnswer checks the answer of a request and that there is no second one, and ends the session.
func (q trialRequest) checkAnswer(t *testing.T, servers *trialServers, conn *viewerClient, answer *rtsp.Message,
	err error, sentAt time.Time) {
	if answer == nil {
		t.Errorf("%+v: no answer: %v", q, err)
		return
	}
	if answer.Get("Session") != q.id {
		t.Errorf("%+v: answered %+v", q, answer)
		return
	}
	for _, violation := range servers.violations(q.class, q.id, answer) {
		t.Errorf("%+v: answered %d after %v: %s", q, answer.Status, time.Since(sentAt), violation)
	}
	if second, _ := conn.readAnswerUntil(time.Now().Add(quietPeriod)); second != nil {
		t.Errorf("%+v: second answer %+v", q, second)
	}
	conn.send(tearDownRequest(q.id))
	servers.wantNoSession(t, q)
}
