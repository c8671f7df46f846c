package node

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
)

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// lines are the lines so far that hold a text.
func (l *logBuffer) lines(with string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, with) {
			found = append(found, line)
		}
	}
	return found
}

// TestAnswerAheadOfNotes: notes come on many connections and then an answer on another one, all before the process looks
// at the network again. The answer is passed on ahead of most of the notes: a viewer may leave while it waits for them.
func TestAnswerAheadOfNotes(t *testing.T) {
	t.Parallel()
	const sessions, rounds = 24, 24
	b := newBox(t, "s-1", nil)
	f := newFeed(t, []coordinator.Update{{Endpoints: &coordinator.Endpoints{Full: true, Servers: []coordinator.Entry{b.entry("up")}}}})
	log := &logBuffer{}
	p := startChild(t, 256, f.Listener.Addr().String(), f.all, log)
	var opened [sessions]said
	v := p.dial()
	for i := range opened { // all at once, so that each has a connection of its own
		v.say(setUp(fmt.Sprintf("%016x", i+1), "free", ""))
	}
	for i := range opened {
		opened[i] = b.next(t, "open")
	}
	for _, m := range opened {
		ready(m)
		v.next()
	}
	notes := func() int { return len(log.lines("msg=note")) }
	ahead, all := 0, 0
	for round := range rounds {
		id := fmt.Sprintf("%016x", 0x100+round)
		before := notes()
		v.say(setUp(id, "free", ""))
		last := b.next(t, "open")
		sent := 0
		p.pause(func() {
			for _, m := range opened {
				if m.on != last.on {
					m.on.say(`{"msg":"event","sid":%q,"attrs":{"note":"link","value":"0.5"}}`, m.ID)
					sent++
				}
			}
			ready(last)
		}, 50*time.Millisecond)
		v.want(id, 200)
		eventually(t, "all notes logged", func() bool { return notes() >= before+sent })
		all += sent
		ahead -= before
		for _, line := range log.lines("msg=") {
			if strings.Contains(line, "msg=note") {
				ahead++
			}
			if strings.Contains(line, "msg=answer") && strings.Contains(line, id) {
				break
			}
		}
		v.say(tearDown(id))
	}
	if ahead > all/8 {
		t.Errorf("%d of %d notes were taken ahead of the answers", ahead, all)
	}
}
