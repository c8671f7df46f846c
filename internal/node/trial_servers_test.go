package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/coordinator"
	"rainpulley/internal/jsonlines"
	"rainpulley/internal/rtsp"
)

// heardSetUp is one set-up at a server of the trial, and what the server made of it.
type heardSetUp struct {
	server  string
	refused bool // it never ran
	stood   bool // it was answered that it stands
	on      *peer
}

// trialServers are the servers of a trial and what they heard.
type trialServers struct {
	mu     sync.Mutex
	draws  *rand.Rand
	setUps map[string][]*heardSetUp
	ended  map[string]int // by server and session: times that the node ended it
}

func newTrialServers(seed uint64) *trialServers {
	return &trialServers{draws: rand.New(rand.NewPCG(seed, 1)), setUps: map[string][]*heardSetUp{}, ended: map[string]int{}}
}

// start starts three servers, and returns their entries of the list.
func (s *trialServers) start(t *testing.T) (list []coordinator.Entry) {
	for i := range 3 {
		name := fmt.Sprintf("s-%d", i+1)
		list = append(list, newBox(t, name, func(m said) { s.hear(name, m) }).entry("up"))
	}
	return list
}

// of is the set-ups of a request that were heard.
func (s *trialServers) of(id string) []*heardSetUp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setUps[id]
}

func (s *trialServers) hear(server string, m said) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Type {
	case jsonlines.TypeClose:
		s.ended[server+" "+m.ID]++
	case jsonlines.TypeOpen:
		h := &heardSetUp{server: server, on: m.on}
		s.setUps[m.ID] = append(s.setUps[m.ID], h)
		s.answer(h, m)
	}
}

// answer does one of the things that servers do to a set-up. The caller holds the lock.
func (s *trialServers) answer(h *heardSetUp, m said) {
	after := time.Duration(s.draws.IntN(60)) * time.Millisecond
	switch draw := s.draws.IntN(20); {
	case draw < 13:
		time.AfterFunc(after, func() { s.stand(h, m) })
	case draw < 15:
		h.refused = true
		m.on.say(`{"msg":"close","sid":%q,"attrs":{},"code":%d}`, m.ID, jsonlines.CauseFull)
	case draw < 16:
		m.on.say(`{"msg":"close","sid":%q,"attrs":{},"code":%d}`, m.ID, jsonlines.CauseError)
	case draw < 18:
		time.AfterFunc(after/4, func() { _ = m.on.Conn.(*net.TCPConn).SetLinger(0); _ = m.on.Close() })
	default: // it never answers
	}
}

// stand answers that a session stands, unless it was ended meanwhile.
func (s *trialServers) stand(h *heardSetUp, m said) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[h.server+" "+m.ID] == 0 {
		h.stood = true
		m.on.say(`{"msg":"ready","sid":%q,"attrs":{},"text":"%s for %s"}`, m.ID, h.server, m.ID)
	}
}

// judge tells what is wrong with what the servers heard of a request that was answered so.
func (s *trialServers) judge(class, id string, answer *rtsp.Message) (wrong []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran, text := 0, ""
	for _, h := range s.setUps[id] {
		if !h.refused {
			ran++
		}
		if h.stood {
			text += h.server + " for " + id
		}
	}
	if class == "paid" && ran > 1 {
		wrong = append(wrong, fmt.Sprintf("%d paid set-ups that may have run", ran))
	}
	if answer.Status == statusOK && (len(answer.Body) == 0 || !strings.Contains(text, string(answer.Body))) {
		wrong = append(wrong, fmt.Sprintf("description %q, servers said %q", answer.Body, text))
	}
	if class == "paid" && ran > 0 && (answer.Status == statusNotEnoughBandwidth || answer.Status == statusServiceUnavailable) {
		wrong = append(wrong, fmt.Sprintf("refused with %d, and it may have run", answer.Status))
	}
	return wrong
}

// running is how many servers still run a session that they said stands.
func (s *trialServers) running(id string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.setUps[id] {
		if h.stood && s.ended[h.server+" "+id] == 0 {
			n++
		}
	}
	return n
}
