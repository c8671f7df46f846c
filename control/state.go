package control

import (
	"slices"
	"strings"
	"time"
)

// server is what one front knows of one server. Judgements on it live in control.go.
type server struct {
	Server
	rack     int
	capacity float64    // kB/s, as learned
	held     []*session // from Send (or hand-over) to Ended, in order of arrival
	history  []sample   // own rate asked, oldest first

	others     float64 // rest of the link's fullness, beyond the own sessions
	othersAt   time.Duration
	heard      bool // others was ever reported
	fresh      bool // a report came since the last correction
	strange    float64
	shortAt    time.Duration // last note of a short share
	short      float64       // and its value
	noteAt     time.Duration // last note of any kind
	steppedAt  time.Duration
	fails      int // set-ups and sessions lost in a row
	avoidTill  time.Duration
	coldFrom   time.Duration // 0: warm
	lastSend   time.Duration
	probing    bool
	everFailed bool
}

type sample struct {
	at time.Duration
	kb float64
}

// session is one request from its arrival to the end of its last attempt.
type session struct {
	Request
	class    *Class
	worth    float64
	on       *server // while an attempt is out or playing
	rung     int
	attempts int
	tried    []*server
	mayRan   *server       // first server where a set-up may have run
	mayRanAt time.Duration // when it was sent there
	sentAt   time.Duration
	taken    time.Duration
	startAt  time.Duration
	playing  bool
	done     bool // answered or gone: nothing more is owed
}

// rack is the shared uplink of some servers.
type rack struct {
	servers  []*server
	capacity float64 // kB/s, as learned
	prior    float64 // kB/s, from the settings
	told     bool    // its fullness is reported
	fresh    bool
	shortAt  time.Duration
	stepped  time.Duration
	asked    []sample
}

func (s *server) add(x *session, now time.Duration) {
	x.on = s
	s.held = append(s.held, x)
}

func (s *server) drop(x *session) {
	if i := slices.Index(s.held, x); i >= 0 {
		s.held = slices.Delete(s.held, i, i+1)
	}
	x.on = nil
}

// settingUp counts the attempts out that do not play yet.
func (s *server) settingUp() (n int) {
	for _, x := range s.held {
		if !x.playing {
			n++
		}
	}
	return n
}

// record notes the own rate asked, and forgets samples older than keep.
func record(h []sample, now time.Duration, kb float64, keep time.Duration) []sample {
	if n := len(h); n > 0 && h[n-1].at == now {
		h[n-1].kb = kb
	} else {
		h = append(h, sample{now, kb})
	}
	cut := 0
	for cut < len(h)-1 && h[cut+1].at <= now-keep {
		cut++
	}
	return slices.Delete(h, 0, cut)
}

// at is the recorded value at a time.
func at(h []sample, t time.Duration) float64 {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].at <= t {
			return h[i].kb
		}
	}
	return 0
}

// within drops times older than span before now.
func within(times []time.Duration, now, span time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] <= now-span {
		i++
	}
	return times[i:]
}

// merge applies a list update and returns the servers in order of their ids.
func merge(known map[string]*server, u ListUpdate) []*server {
	if u.Whole {
		for _, s := range known {
			s.State = Gone
		}
	}
	for _, line := range u.Servers {
		s := known[line.ID]
		if s == nil {
			s = &server{}
			known[line.ID] = s
		}
		s.Server = line
	}
	order := make([]*server, 0, len(known))
	for _, s := range known {
		order = append(order, s)
	}
	slices.SortFunc(order, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	return order
}

// holds reports whether the server's cell is one of span in a row from home.
func (s *server) holds(home, span, cells int) bool {
	if cells <= 0 || span <= 0 {
		return true
	}
	return ((s.Cell-home)%cells+cells)%cells < span
}
