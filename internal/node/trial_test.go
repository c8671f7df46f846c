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

// A short dense trial: one node in a process of its own, three servers that answer, hang, fill up, err and reset, viewers
// whose connections end around their set-ups and who send them again, and a process that is stopped now and then. All of it
// is drawn from a seed. The judge reads what passed at both ends only.

const (
	trialSeeds    = 3
	trialRequests = 150
	trialTimer    = 2 * time.Second
	trialSockets  = 128 // few: connections that rest are closed for others
	// answerGrace is how long behind its time an answer may come.
	answerGrace = 500 * time.Millisecond
)

// trialRequest is one request of a trial, with the faults that it meets.
type trialRequest struct {
	class, id, ending string
	again             bool          // its connection ends and it is sent again
	rests             time.Duration // its connection is open so long before it
	leaves            bool          // its viewer gives it up
	endAfter          time.Duration // behind the set-up; the client's side ends then
	lag               time.Duration // by which the node's side ends later, or earlier
	copyAfter         time.Duration // behind the end of the client's side
	split             int           // bytes of the set-up that are written ahead of the rest
}

func drawRequest(draws *rand.Rand, id string) trialRequest {
	kinds := []string{"close", "reset", halfClose, "no ending"}
	ms := func(n int) time.Duration { return time.Duration(draws.IntN(n)) * time.Millisecond }
	return trialRequest{class: []string{"free", "paid"}[draws.IntN(2)], id: id, ending: kinds[draws.IntN(len(kinds))], again: draws.IntN(3) > 0,
		rests: ms(3) * 40, leaves: draws.IntN(10) == 0,
		endAfter: ms(40), lag: ms(40) - 20*time.Millisecond, copyAfter: ms(25), split: draws.IntN(200)}
}

// TestDenseTrial: whatever crosses, every request has its one answer, in time, on the connection that its viewer used last; a
// paid one runs once; and what stood and nobody wants is ended.
func TestDenseTrial(t *testing.T) {
	first := uint64(1)
	if s := os.Getenv("TRIAL_SEED"); s != "" {
		first, _ = strconv.ParseUint(s, 10, 64)
	}
	for seed := first; seed < first+trialSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { t.Parallel(); playTrial(t, seed) })
	}
}

func playTrial(t *testing.T, seed uint64) {
	draws := rand.New(rand.NewPCG(seed, 0))
	servers := newTrialServers(seed)
	list := servers.start(t)
	f := newFeed(t, []coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true, Servers: list}}})
	p := startChild(t, childOptions{sockets: trialSockets, settings: defaultSettings}, f.Listener.Addr().String(), f.all)
	p.dial().say(optionsRequest).want("", statusOK)
	r := newRelay(t, p.addr)
	var viewers sync.WaitGroup
	for i := range trialRequests {
		if draws.IntN(4) == 0 {
			rest(t, p.addr)
		}
		if draws.IntN(20) == 0 {
			changed := list[draws.IntN(len(list))]
			changed.State = []string{"up", "draining", "up"}[draws.IntN(3)]
			f.push(changed)
		}
		q := drawRequest(draws, fmt.Sprintf("%08x%08x", seed, i+1))
		viewers.Go(func() { q.play(t, r, servers) })
		time.Sleep(time.Duration(draws.IntN(20)) * time.Millisecond)
		if draws.IntN(25) == 0 {
			p.pause(func() {}, time.Duration(draws.IntN(120))*time.Millisecond)
		}
	}
	viewers.Wait()
}

// rest opens a connection that asks once and then rests: the node closes it when it has no room.
func rest(t *testing.T, addr string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = c.Write([]byte(optionsRequest))
}

func (q trialRequest) play(t *testing.T, r *relay, servers *trialServers) {
	text := strings.Replace(setUp(q.id, q.class, ""), "X-Timer-Ms: 3000", fmt.Sprintf("X-Timer-Ms: %d", trialTimer.Milliseconds()), 1)
	v, x := r.dial(t)
	v.say(optionsRequest).want("", statusOK)
	time.Sleep(q.rests)
	v.write(text[:q.split])
	v.write(text[q.split:])
	taken := time.Now()
	on := v
	switch {
	case q.leaves:
		q.giveUp(t, servers, v)
		return
	case q.again:
		answer, err := v.until(time.Now().Add(q.endAfter))
		if answer != nil { // ahead of the end
			q.finish(t, servers, v, answer, err, taken)
			return
		}
		node := time.AfterFunc(max(q.lag, 0), func() { connEndings[q.ending](x.node) })
		defer node.Stop()
		_ = x.client.Close()
		time.Sleep(q.copyAfter)
		on, _ = r.dial(t)
		on.say(text)
	}
	answer, err := on.until(taken.Add(trialTimer + answerGrace + trialSlack))
	if err != nil && on == v && time.Since(taken) < resendWithin { // it crossed the end of a connection that rested
		on, _ = r.dial(t)
		on.say(text)
		answer, err = on.until(taken.Add(trialTimer + answerGrace + trialSlack))
	}
	q.finish(t, servers, on, answer, err, taken)
}

// resendWithin is how soon behind a set-up its connection ends if the platform's clients send it again.
const resendWithin = 50 * time.Millisecond

// write sends what it can: the connection may have ended.
func (d *dialogue) write(text string) { _, _ = d.Write([]byte(text)) }

// giveUp withdraws a request. No answer is owed, and nothing of it may be left.
func (q trialRequest) giveUp(t *testing.T, servers *trialServers, v *dialogue) {
	time.Sleep(q.endAfter)
	v.write(tearDown(q.id))
	servers.wantNothingLeft(t, q)
}

// wantNothingLeft waits until no server runs a session any more.
func (s *trialServers) wantNothingLeft(t *testing.T, q trialRequest) {
	time.Sleep(quiet)
	for deadline := time.Now().Add(testFor); s.running(q.id) > 0; time.Sleep(watchInterval) {
		if time.Now().After(deadline) {
			t.Errorf("%+v: it still runs", q)
			return
		}
	}
}

// trialSlack is how much later than its time an answer may be where this machine is busy.
const trialSlack = 5 * time.Second

// until reads the next final answer that comes by a time; neither answer nor error if none does.
func (d *dialogue) until(deadline time.Time) (*rtsp.Message, error) {
	_ = d.SetReadDeadline(deadline)
	defer func() { _ = d.SetReadDeadline(time.Time{}) }()
	for {
		m, err := d.r.Next()
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

// finish judges a request, and ends its session.
func (q trialRequest) finish(t *testing.T, servers *trialServers, on *dialogue, answer *rtsp.Message, err error, taken time.Time) {
	if answer == nil {
		t.Errorf("%+v: no answer: %v", q, err)
		return
	}
	if answer.Get("Session") != q.id {
		t.Errorf("%+v: answered %+v", q, answer)
		return
	}
	for _, wrong := range servers.judge(q.class, q.id, answer) {
		t.Errorf("%+v: answered %d after %v: %s", q, answer.Status, time.Since(taken), wrong)
	}
	if second, _ := on.until(time.Now().Add(quiet)); second != nil {
		t.Errorf("%+v: second answer %+v", q, second)
	}
	on.say(tearDown(q.id))
	servers.wantNothingLeft(t, q)
}
