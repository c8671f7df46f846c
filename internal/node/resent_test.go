package node

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/jsonlines"
)

// The tests of this file break a viewer's connection under a pending set-up and resend the set-up on a new connection,
// as the platform's clients do if a set-up crosses the end of a connection. Whichever event the node notices first, the
// viewer must get the one answer on the new connection.

// waitForResends makes a node await resent set-ups, and cache answers, for as long as a test may take.
func waitForResends(n *Node) { n.resendWindow, n.recentAnswers.retention = testFor, testFor }

// messageLog records the messages that a server received, by session id.
type messageLog struct {
	mu     sync.Mutex
	opens  map[string][]said
	closes map[string]int
}

func newMessageLog() *messageLog {
	return &messageLog{opens: map[string][]said{}, closes: map[string]int{}}
}

func (l *messageLog) record(m said) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m.Type {
	case jsonlines.TypeOpen:
		l.opens[m.ID] = append(l.opens[m.ID], m)
	case jsonlines.TypeClose:
		l.closes[m.ID]++
	}
}

// forSession returns the set-ups received for a session and how often it was ended.
func (l *messageLog) forSession(id string) (opens []said, closes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opens[id], l.closes[id]
}

// resendDelay is how long after the end of its first connection a set-up is resent, in the cases where that end comes
// first. The platform allows 50 ms.
const resendDelay = 15 * time.Millisecond

// resentCase is one way in which a set-up crosses the end of its connection.
type resentCase struct {
	class, ending string
	resendFirst   bool // the resent set-up reaches the node before the end of the first connection
	answered      bool // the answer was written on the first connection and is lost with it
	id            string
}

func (c resentCase) String() string {
	order, moment := "end first", "pending"
	if c.resendFirst {
		order = "resend first"
	}
	if c.answered {
		moment = "answered"
	}
	return fmt.Sprintf("%s, %s, %s, %s", c.class, c.ending, order, moment)
}

// setUp returns the set-up request, with a timeout that is long enough for a busy machine.
func (c resentCase) setUp() string {
	return strings.Replace(setUp(c.id, c.class, ""), "X-Timer-Ms: 3000", "X-Timer-Ms: 9000", 1)
}

func resentCases() (cases []resentCase) {
	for _, class := range []string{"free", "paid"} {
		for ending := range connEndings {
			for _, copyFirst := range []bool{false, true} {
				for _, answered := range []bool{false, true} {
					id := fmt.Sprintf("%016x", 0xa000+len(cases))
					cases = append(cases, resentCase{class, ending, copyFirst, answered, id})
				}
			}
		}
	}
	return cases
}

// TestResentSetUpGetsOneAnswer ends the connection of a set-up and resends the set-up on a new one. The new connection
// gets the answer of the one attempt, which continues; the session stays active until its viewer ends it.
func TestResentSetUpGetsOneAnswer(t *testing.T) {
	t.Parallel()
	received := newMessageLog()
	patient := strings.ReplaceAll(defaultSettings, `"aim":900000`, `"aim":30000000`) // so that no attempt times out
	p := startProcessWith(t, newBox(t, "s-1", received.record), childOptions{256, patient, []string{helperWaits + "=1"}})
	p.dial().say(optionsRequest).want("", 200) // the process is listening
	r := newRelay(t, p.addr)
	for _, c := range resentCases() {
		t.Run(c.String(), func(t *testing.T) { t.Parallel(); c.run(t, r, received) })
	}
}

// TestOriginalReadAfterResend has the node read the resent set-up before the original, as may happen after a pause of
// the process. The answer goes to the newest connection.
func TestOriginalReadAfterResend(t *testing.T) {
	for _, answered := range []bool{false, true} {
		b := newBox(t, "s-1", nil)
		n := startGated(t, waitForResends, b)
		text := setUp(idA, "paid", "")
		first := n.dial().say(optionsRequest)
		first.want("", statusOK)
		second := n.dial().say(text)
		m := b.next(t, "open")
		if answered {
			ready(m)
			second.want(idA, statusOK)
		}
		first.say(text + optionsRequest)
		first.want("", statusOK) // the original has been read by now
		_ = first.Conn.(*net.TCPConn).CloseWrite()
		if !answered {
			ready(m)
			second.want(idA, statusOK)
		}
		second.silent()
		n.agree(1)
	}
}

// TestOriginalReadAfterRefusedResend has the node read the original set-up after its resent copy was refused without an
// attempt. The original must not start anew, because its viewer already has the answer.
func TestOriginalReadAfterRefusedResend(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startGated(t, waitForResends, b)
	first := n.dial().say(optionsRequest)
	first.want("", statusOK)
	_ = b.l.Close() // connections to the server fail
	second := n.dial().say(setUp(idA, "paid", ""))
	second.want(idA, statusNotEnoughBandwidth)
	first.say(setUp(idA, "paid", "") + optionsRequest)
	first.want("", statusOK)
	second.silent()
	if attempts := n.orchestrator.Stats.Requests.Load(); attempts != 1 {
		t.Errorf("%d requests begun", attempts)
	}
	n.agree(0)
}

func (c resentCase) run(t *testing.T, r *relay, received *messageLog) {
	first, x := r.dial(t)
	second, _ := r.dial(t) // connected in advance, so that no handshake delays the resend
	second.say(optionsRequest).want("", 200)
	first.say(c.setUp())
	eventually(t, "an attempt", func() bool { opens, _ := received.forSession(c.id); return len(opens) == 1 })
	opens, _ := received.forSession(c.id)
	_ = x.client.Close()
	if c.answered {
		ready(opens[0])
		time.Sleep(resendDelay)
	}
	if c.resendFirst {
		second.say(c.setUp())
		time.Sleep(resendDelay)
		connEndings[c.ending](x.node)
	} else {
		connEndings[c.ending](x.node)
		time.Sleep(resendDelay)
		second.say(c.setUp())
	}
	if !c.answered {
		time.Sleep(3 * firstProbeInterval) // the node has handled the end of the connection by now
		ready(opens[0])
	}
	if m := second.want(c.id, 200); string(m.Body) != "for "+c.id+"\r\n\"x\"" {
		t.Errorf("description %q", m.Body)
	}
	second.silent()
	if opens, closes := received.forSession(c.id); len(opens) != 1 || closes != 0 {
		t.Errorf("%d attempts, %d ends at the server", len(opens), closes)
	}
	second.say(tearDown(c.id))
	eventually(t, "the session released", func() bool { _, closes := received.forSession(c.id); return closes == 1 })
}
