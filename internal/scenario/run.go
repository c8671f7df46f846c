package scenario

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/config"
	"rainpulley/internal/standin"
)

// Options of a run.
type Options struct {
	Script  *Script
	Seed    uint64
	Ports   *standin.PortAllocator // shared by runs of one process; nil: its own
	Policy  string                 // "module" or "random"
	Holds   string                 // how the planner holds room for peaks: "lp" (default), "all", "greedy" or "none"
	Copies  string                 // how it chooses copies: "lp" (default), "greedy" or "none"
	Command []string               // starts this program; "edge" or "planner" and flags follow
	Dir     string                 // for the site file, states and logs
	Speed   float64                // the script's clock over the real one; 0: the script's
}

// Run is one running fleet.
type Run struct {
	Options
	Site          *config.Site
	fleet         *standin.Fleet
	auditLog      *audit.Log
	plannerRelays []*standin.Relay
	sitePath      string
	processes     []*process // edges, then the planner
	rnd           *rand.Rand
	mu            sync.Mutex
	arrivalFactor float64 // times as many viewers
	hotTitleShare float64
	reports       []standin.ViewerReport
	activeViewers sync.WaitGroup
	faultCount    int
	startedAt     time.Time
	arrivals      []arrival
	plannerErrors []string // answers of the planner that should have been others
}

// process is one program of the fleet, started again under the same arguments.
type process struct {
	name    string
	args    []string
	cmd     *exec.Cmd
	logFile *os.File
	mu      sync.Mutex
	exited  chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stderr = p.logFile
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("scenario: %s: %w", p.name, err)
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(p.cmd, p.exited)
	return nil
}

// end sends a signal and waits; what does not end by then is killed.
func (p *process) stop(sig syscall.Signal, within time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.exited:
	case <-time.After(within):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// Start brings up boxes, relays, planner and edges, and waits until every edge has its view.
func Start(ctx context.Context, o Options) (*Run, error) {
	if o.Ports == nil {
		o.Ports = &standin.PortAllocator{}
	}
	if o.Speed <= 0 {
		o.Speed = o.Script.Speed
	}
	site, err := makeSite(o.Script, o.Speed, o.Ports)
	if err != nil {
		return nil, err
	}
	r := &Run{Options: o, Site: site, auditLog: audit.NewLog(), rnd: rand.New(rand.NewPCG(o.Seed, 11)), arrivalFactor: 1}
	r.fleet = standin.NewFleet(site, r.auditLog, o.Seed)
	r.fleet.DiskFactor = o.Script.DiskFactor
	if err := r.fleet.Start(ctx); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if r.sitePath, err = writeSite(o.Dir, site); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	for i := range site.Edges {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
		relay := &standin.Relay{Edge: i, Target: site.Planner.Listen, Log: r.auditLog}
		r.plannerRelays = append(r.plannerRelays, relay)
		go relay.Serve(ctx, ln)
		if err := r.addProcess("edge-"+strconv.Itoa(i), "edge", "--site", r.sitePath, "--position", strconv.Itoa(i), "--planner", ln.Addr().String(),
			"--state", filepath.Join(o.Dir, "state"), "--seed", strconv.FormatUint(o.Seed+uint64(i), 10), "--policy", o.Policy, "--grace", "6s"); err != nil {
			return r, err
		}
	}
	r.Holds, r.Copies = cmp.Or(r.Holds, "lp"), cmp.Or(r.Copies, "lp")
	if err := r.addProcess("planner", "planner", "--site", r.sitePath, "--state", filepath.Join(o.Dir, "state"), "--holds", r.Holds, "--copies", r.Copies); err != nil {
		return r, err
	}
	for _, p := range r.processes {
		if err := p.start(); err != nil {
			return r, err
		}
	}
	if err := r.waitReady(ctx); err != nil {
		return r, err
	}
	return r, r.announcePeaks()
}

func (r *Run) addProcess(name string, args ...string) error {
	f, err := os.Create(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	r.processes = append(r.processes, &process{name: name, args: append(append([]string(nil), r.Command...), args...), logFile: f})
	return nil
}

func (r *Run) waitReady(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for i, e := range r.Site.Edges {
		for {
			var s struct{ Boxes int }
			if p, err := http.Get("http://" + e.Listen + "/status"); err == nil {
				_ = json.NewDecoder(p.Body).Decode(&s)
				_ = p.Body.Close()
			}
			if s.Boxes == len(r.Site.Boxes) {
				break
			}
			select {
			case <-limited.Done():
				return fmt.Errorf("scenario: edge %d has no view; its log is in %s", i, r.Dir)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Play goes through the script and waits for the last viewer.
func (r *Run) Play(ctx context.Context) {
	length := time.Duration(float64(r.Script.Length.D()) / r.Speed)
	r.startedAt = time.Now()
	day, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var work sync.WaitGroup
	for _, f := range r.Script.Faults {
		r.faultCount++
		seed := r.rnd.Uint64()
		work.Add(1)
		go func() { defer work.Done(); r.runFault(ctx, f, rand.New(rand.NewPCG(seed, 1))) }()
	}
	for i, p := range r.Script.Peaks {
		seed := r.rnd.Uint64()
		work.Add(1)
		go func() { defer work.Done(); r.runPeak(ctx, i, p, rand.New(rand.NewPCG(seed, 5))) }()
	}
	r.generateArrivals(day, ctx)
	work.Wait()
	r.activeViewers.Wait()
}

// quietPart of the usual viewers come while the day is quiet.
const quietArrivalFactor = 0.25

// arrivals start viewers at random distances, as the rate asks.
func (r *Run) generateArrivals(day, ctx context.Context) {
	for {
		r.mu.Lock()
		rate := r.Script.ArrivalRate * r.arrivalFactor * r.Speed
		if time.Since(r.startedAt) < time.Duration(float64(r.Script.QuietTime.D())/r.Speed) {
			rate *= quietArrivalFactor
		}
		r.mu.Unlock()
		select {
		case <-day.Done():
			return
		case <-time.After(time.Duration(r.rnd.ExpFloat64() / rate * float64(time.Second))):
		}
		r.startViewer(ctx, r.newViewer(), false)
	}
}

// come lets a viewer go through its session.
func (r *Run) startViewer(ctx context.Context, v *standin.Viewer, peak bool) {
	at := time.Since(r.startedAt)
	r.activeViewers.Add(1)
	go func() {
		defer r.activeViewers.Done()
		rep := v.Run(ctx)
		r.mu.Lock()
		r.reports = append(r.reports, rep)
		r.arrivals = append(r.arrivals, arrival{at, v, peak, len(r.reports) - 1})
		r.mu.Unlock()
	}()
}

func (r *Run) newViewer() *standin.Viewer {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &standin.Viewer{Site: r.Site, Log: r.auditLog, Key: "k" + strconv.FormatUint(r.rnd.Uint64(), 36), Retries: 4, RefusalCause: r.fleet.RefusalCause}
	v.Class = r.drawClass()
	class := r.Site.Classes[v.Class]
	v.BestRung = len(r.Site.Ladder) - 1
	if class.Top != nil {
		v.BestRung = *class.Top
	}
	if r.rnd.Float64() < 0.25 {
		v.BestRung = max(v.BestRung-1-r.rnd.IntN(2), class.Floor)
	}
	title := int(math.Pow(float64(len(r.Site.Titles)), r.rnd.Float64())) - 1 // about Zipf's law
	if r.rnd.Float64() < r.hotTitleShare {
		title = len(r.Site.Titles) - 1
	}
	v.Title = r.Site.Titles[title].Name
	r.drawSessionLength(v)
	first := r.rnd.IntN(len(r.Site.Edges))
	for i := range r.Site.Edges {
		n := (first + i) % len(r.Site.Edges)
		v.Edges, v.EdgePositions = append(v.Edges, r.Site.Edges[n].Listen), append(v.EdgePositions, n)
	}
	if r.rnd.Float64() < 0.02 { // gives up at once, in a race with the answer
		v.GiveUpAfter = time.Duration(5+r.rnd.IntN(60)) * time.Millisecond
	}
	v.Rand = rand.New(rand.NewPCG(r.rnd.Uint64(), 3))
	return v
}

// class draws one by its share.
func (r *Run) drawClass() int {
	x := r.rnd.Float64()
	for i, part := range classShares {
		if x -= part; x < 0 {
			return i
		}
	}
	return len(classShares) - 1
}

// lasts draws how long a viewer's session lasts.
func (r *Run) drawSessionLength(v *standin.Viewer) {
	mean, spread := r.Script.sessionLength(r.Site.Classes[v.Class].Name)
	v.SessionLength = time.Duration((mean + spread*(2*r.rnd.Float64()-1)) * float64(time.Second) / r.Speed)
}

// Stop ends the programs in order. Kept logs are in Dir.
func (r *Run) Stop() {
	var work sync.WaitGroup
	for _, p := range r.processes {
		work.Add(1)
		go func() {
			defer work.Done()
			p.stop(syscall.SIGTERM, 8*time.Second)
			_ = p.logFile.Close()
		}()
	}
	work.Wait()
}

// Entries is what passed on the sockets.
func (r *Run) Entries() []audit.Entry { return r.auditLog.Entries() }

// Address is where a player finds a title.
func (r *Run) PlayURL() string {
	return "http://" + r.Site.Edges[0].Listen + "/play/" + r.Site.Titles[0].Name + "/index.m3u8"
}
