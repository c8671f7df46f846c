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

// Options configure a run.
type Options struct {
	Script  *Script
	Seed    uint64
	Ports   *standin.PortAllocator // shared by all runs of one process; nil: the run uses its own
	Policy  string                 // "module" or "random"
	Holds   string                 // how the planner holds capacity for peaks: "lp" (default), "all", "greedy" or "none"
	Copies  string                 // how the planner chooses copies: "lp" (default), "greedy" or "none"
	Command []string               // command line prefix of this program; "edge" or "planner" and flags are appended
	Dir     string                 // directory of the site file, state files and logs
	Speed   float64                // speed of the script's clock relative to real time; 0: Script.Speed
}

// Run is one run of a script: a fleet of stand-in boxes, relays and real edge and planner processes.
type Run struct {
	Options
	Site          *config.Site
	fleet         *standin.Fleet
	auditLog      *audit.Log
	plannerRelays []*standin.Relay
	sitePath      string
	processes     []*process // edges in order, then the planner
	rnd           *rand.Rand
	mu            sync.Mutex
	arrivalFactor float64 // multiplies the arrival rate of viewers
	hotTitleShare float64 // share of new viewers that request the last title
	reports       []standin.ViewerReport
	activeViewers sync.WaitGroup
	faultCount    int
	startedAt     time.Time
	arrivals      []arrival
	plannerErrors []string // responses of the planner with an unexpected status
}

// process is one edge or planner process. It can be restarted with the same arguments.
type process struct {
	name    string
	args    []string
	cmd     *exec.Cmd
	logFile *os.File
	mu      sync.Mutex
	exited  chan struct{}
}

// start starts the process without waiting until it is ready.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stderr = p.logFile
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("scenario: %s: %w", p.name, err)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) { _ = cmd.Wait(); close(exited) }(p.cmd, p.exited)
	return nil
}

// stop sends a signal and waits for the process to exit. A process still running after timeout is killed.
func (p *process) stop(signal syscall.Signal, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(signal)
	select {
	case <-p.exited:
	case <-time.After(timeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// Start starts boxes, relays, edges and the planner, waits until every edge has a complete view of the fleet and
// announces the peaks. On an error, the run is returned too if processes may have to be stopped.
func Start(ctx context.Context, options Options) (*Run, error) {
	if options.Ports == nil {
		options.Ports = &standin.PortAllocator{}
	}
	if options.Speed <= 0 {
		options.Speed = options.Script.Speed
	}
	site, err := makeSite(options.Script, options.Speed, options.Ports)
	if err != nil {
		return nil, err
	}
	run := &Run{Options: options, Site: site, auditLog: audit.NewLog(), rnd: rand.New(rand.NewPCG(options.Seed, 11)),
		arrivalFactor: 1}
	run.fleet = standin.NewFleet(site, run.auditLog, options.Seed)
	run.fleet.DiskFactor = options.Script.DiskFactor
	if err := run.fleet.Start(ctx); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if run.sitePath, err = writeSite(options.Dir, site); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	for i := range site.Edges {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
		relay := &standin.Relay{Edge: i, Target: site.Planner.Listen, Log: run.auditLog}
		run.plannerRelays = append(run.plannerRelays, relay)
		go relay.Serve(ctx, ln)
		if err := run.addProcess("edge-"+strconv.Itoa(i), "edge", "--site", run.sitePath, "--position", strconv.Itoa(i),
			"--planner", ln.Addr().String(), "--state", filepath.Join(options.Dir, "state"),
			"--seed", strconv.FormatUint(options.Seed+uint64(i), 10), "--policy", options.Policy, "--grace", "6s"); err != nil {
			return run, err
		}
	}
	run.Holds, run.Copies = cmp.Or(run.Holds, "lp"), cmp.Or(run.Copies, "lp")
	if err := run.addProcess("planner", "planner", "--site", run.sitePath,
		"--state", filepath.Join(options.Dir, "state"), "--holds", run.Holds, "--copies", run.Copies); err != nil {
		return run, err
	}
	for _, p := range run.processes {
		if err := p.start(); err != nil {
			return run, err
		}
	}
	if err := run.waitReady(ctx); err != nil {
		return run, err
	}
	return run, run.announcePeaks()
}

// addProcess adds a process without starting it. Its standard error goes to a log file in Dir.
func (r *Run) addProcess(name string, args ...string) error {
	f, err := os.Create(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	r.processes = append(r.processes, &process{name: name,
		args: append(append([]string(nil), r.Command...), args...), logFile: f})
	return nil
}

// waitReady waits up to 20 s until all edges report every box in /status.
func (r *Run) waitReady(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for i, edge := range r.Site.Edges {
		for {
			var status struct{ Boxes int }
			if response, err := http.Get("http://" + edge.Listen + "/status"); err == nil {
				_ = json.NewDecoder(response.Body).Decode(&status)
				_ = response.Body.Close()
			}
			if status.Boxes == len(r.Site.Boxes) {
				break
			}
			select {
			case <-waitCtx.Done():
				return fmt.Errorf("scenario: edge %d did not receive a complete fleet view in time; see its log in %s", i, r.Dir)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Play runs the script: arrivals, faults and peaks. It returns when the last viewer has finished.
func (r *Run) Play(ctx context.Context) {
	length := time.Duration(float64(r.Script.Length.Std()) / r.Speed)
	r.startedAt = time.Now()
	dayCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var background sync.WaitGroup
	for _, fault := range r.Script.Faults {
		r.faultCount++
		seed := r.rnd.Uint64()
		background.Add(1)
		go func() { defer background.Done(); r.runFault(ctx, fault, rand.New(rand.NewPCG(seed, 1))) }()
	}
	for i, peak := range r.Script.Peaks {
		seed := r.rnd.Uint64()
		background.Add(1)
		go func() { defer background.Done(); r.runPeak(ctx, i, peak, rand.New(rand.NewPCG(seed, 5))) }()
	}
	r.generateArrivals(dayCtx, ctx)
	background.Wait()
	r.activeViewers.Wait()
}

// quietArrivalFactor multiplies the arrival rate during the quiet time of the day.
const quietArrivalFactor = 0.25

// generateArrivals starts viewers at exponentially distributed intervals, at the current arrival rate, until dayCtx
// ends.
func (r *Run) generateArrivals(dayCtx, ctx context.Context) {
	for {
		r.mu.Lock()
		rate := r.Script.ArrivalRate * r.arrivalFactor * r.Speed
		if time.Since(r.startedAt) < time.Duration(float64(r.Script.QuietTime.Std())/r.Speed) {
			rate *= quietArrivalFactor
		}
		r.mu.Unlock()
		select {
		case <-dayCtx.Done():
			return
		case <-time.After(time.Duration(r.rnd.ExpFloat64() / rate * float64(time.Second))):
		}
		r.startViewer(ctx, r.newViewer(), false)
	}
}

// startViewer runs a viewer's session in the background and records its arrival and report when it ends.
func (r *Run) startViewer(ctx context.Context, viewer *standin.Viewer, forPeak bool) {
	arrivedAt := time.Since(r.startedAt)
	r.activeViewers.Add(1)
	go func() {
		defer r.activeViewers.Done()
		report := viewer.Run(ctx)
		r.mu.Lock()
		r.reports = append(r.reports, report)
		r.arrivals = append(r.arrivals, arrival{arrivedAt, viewer, forPeak, len(r.reports) - 1})
		r.mu.Unlock()
	}()
}

// newViewer draws a viewer: class, best rung, title, session length, edges in the order of use, and in 2% of the cases
// a short patience.
func (r *Run) newViewer() *standin.Viewer {
	r.mu.Lock()
	defer r.mu.Unlock()
	viewer := &standin.Viewer{Site: r.Site, Log: r.auditLog, Key: "k" + strconv.FormatUint(r.rnd.Uint64(), 36), Retries: 4,
		RefusalCause: r.fleet.RefusalCause}
	viewer.Class = r.drawClass()
	class := r.Site.Classes[viewer.Class]
	viewer.BestRung = len(r.Site.Ladder) - 1
	if class.Top != nil {
		viewer.BestRung = *class.Top
	}
	if r.rnd.Float64() < 0.25 {
		viewer.BestRung = max(viewer.BestRung-1-r.rnd.IntN(2), class.Floor)
	}
	// The title is approximately Zipf-distributed; title 0 is the most popular.
	title := int(math.Pow(float64(len(r.Site.Titles)), r.rnd.Float64())) - 1
	if r.rnd.Float64() < r.hotTitleShare {
		title = len(r.Site.Titles) - 1
	}
	viewer.Title = r.Site.Titles[title].Name
	r.drawSessionLength(viewer)
	first := r.rnd.IntN(len(r.Site.Edges))
	for i := range r.Site.Edges {
		edge := (first + i) % len(r.Site.Edges)
		viewer.Edges, viewer.EdgePositions = append(viewer.Edges, r.Site.Edges[edge].Listen),
			append(viewer.EdgePositions, edge)
	}
	if r.rnd.Float64() < 0.02 { // gives up after 5 to 64 ms, to race with the answer
		viewer.GiveUpAfter = time.Duration(5+r.rnd.IntN(60)) * time.Millisecond
	}
	viewer.Rand = rand.New(rand.NewPCG(r.rnd.Uint64(), 3))
	return viewer
}

// drawClass draws a class index with the probabilities classShares.
func (r *Run) drawClass() int {
	remaining := r.rnd.Float64()
	for i, share := range classShares {
		if remaining -= share; remaining < 0 {
			return i
		}
	}
	return len(classShares) - 1
}

// drawSessionLength sets the length of a viewer's session, uniform around the mean of its class, in real time.
func (r *Run) drawSessionLength(viewer *standin.Viewer) {
	mean, spread := r.Script.sessionLength(r.Site.Classes[viewer.Class].Name)
	viewer.SessionLength = time.Duration((mean + spread*(2*r.rnd.Float64()-1)) * float64(time.Second) / r.Speed)
}

// Stop terminates all processes at the same time, with SIGTERM, and closes their logs. The logs stay in Dir.
func (r *Run) Stop() {
	var stopping sync.WaitGroup
	for _, p := range r.processes {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			p.stop(syscall.SIGTERM, 8*time.Second)
			_ = p.logFile.Close()
		}()
	}
	stopping.Wait()
}

// Entries returns the recorded events: traffic on the sockets and actions of the script.
func (r *Run) Entries() []audit.Entry { return r.auditLog.Entries() }

// PlayURL returns the playlist URL of the first title at the first edge, to open in a player.
func (r *Run) PlayURL() string {
	return "http://" + r.Site.Edges[0].Listen + "/play/" + r.Site.Titles[0].Name + "/index.m3u8"
}
