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

// The tests of this file cut a viewer's connection under a set-up that waits, and send the set-up again on a new one, as
// the platform has clients do whose set-up crossed the end of a connection. Whichever of the two the node sees first, the
// viewer that waits on the new connection is owed the one answer.

// waitForCopies has a node wait for set-ups that come again, and keep answers, for as long as a test takes.
func waitForResends(n *Node) { n.resendWindow, n.recentAnswers.retention = testFor, testFor }

// ledger is what a server heard, by session.
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

// of is the set-ups of a session that were heard, and how often it was ended.
func (l *messageLog) forSession(id string) (opens []said, closes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opens[id], l.closes[id]
}

// resendDelay is how long behind the end of its first connection a set-up is sent again where that end comes first. The
// platform allows 50 ms.
const resendDelay = 15 * time.Millisecond

// resentCase is one way in which a set-up and the end of its connection cross.
type resentCase struct {
	class, ending string
	resendFirst   bool // the copy reaches the node ahead of the end of the first connection
	answered      bool // the answer was written on the first connection, and is lost with it
	id            string
}

func (c resentCase) String() string {
	order, moment := "end first", "waits"
	if c.resendFirst {
		order = "copy first"
	}
	if c.answered {
		moment = "answered"
	}
	return fmt.Sprintf("%s, %s, %s, %s", c.class, c.ending, order, moment)
}

// setUp is the set-up, with time enough for a busy machine.
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

// TestSetUpSentAgainIsAnswered: the connection of a set-up ends under it, and its viewer sends it again on a new one. That
// one gets the one answer, of the one attempt, which goes on; the session stands until its viewer ends it.
func TestResentSetUpGetsOneAnswer(t *testing.T) {
	t.Parallel()
	heard := newMessageLog()
	patient := strings.ReplaceAll(defaultSettings, `"aim":900000`, `"aim":30000000`) // no attempt is given up for time
	p := startProcessWith(t, newBox(t, "s-1", heard.record), childOptions{256, patient, []string{helperWaits + "=1"}})
	p.dial().say(optionsRequest).want("", 200) // it listens
	r := newRelay(t, p.addr)
	for _, c := range resentCases() {
		t.Run(c.String(), func(t *testing.T) { t.Parallel(); c.run(t, r, heard) })
	}
}

// TestEarlierCopyReadLater: the node reads the copy ahead of the set-up itself, as it may when it stood still for a moment.
// The answer goes to the connection that was opened last.
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
		first.want("", statusOK) // read by now
		_ = first.Conn.(*net.TCPConn).CloseWrite()
		if !answered {
			ready(m)
			second.want(idA, statusOK)
		}
		second.silent()
		n.agree(1)
	}
}

// TestEarlierCopyOfRefused: the copy was refused, nothing of it went to a server, and then the set-up itself is read. It
// is not begun anew: its viewer has its answer.
func TestOriginalReadAfterRefusedResend(t *testing.T) {
	b := newBox(t, "s-1", nil)
	n := startGated(t, waitForResends, b)
	first := n.dial().say(optionsRequest)
	first.want("", statusOK)
	_ = b.l.Close() // no connection comes up
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

func (c resentCase) run(t *testing.T, r *relay, heard *messageLog) {
	first, x := r.dial(t)
	second, _ := r.dial(t) // connected ahead, so that no handshake comes between
	second.say(optionsRequest).want("", 200)
	first.say(c.setUp())
	eventually(t, "an attempt", func() bool { opens, _ := heard.forSession(c.id); return len(opens) == 1 })
	opens, _ := heard.forSession(c.id)
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
		time.Sleep(3 * firstProbeInterval) // whatever the node makes of the end, it has made by now
		ready(opens[0])
	}
	if m := second.want(c.id, 200); string(m.Body) != "for "+c.id+"\r\n\"x\"" {
		t.Errorf("description %q", m.Body)
	}
	second.silent()
	if opens, closes := heard.forSession(c.id); len(opens) != 1 || closes != 0 {
		t.Errorf("%d attempts, %d ends at the server", len(opens), closes)
	}
	second.say(tearDown(c.id))
	eventually(t, "the session released", func() bool { _, closes := heard.forSession(c.id); return closes == 1 })
}
