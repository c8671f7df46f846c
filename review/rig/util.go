// Command rig holds the stand-ins of the review's cases and the cases themselves: servers that speak JSON lines, a
// coordinator, viewers that speak RTSP, a catalogue with the part of Consul's HTTP API that a planner reads, and a
// relay that records the requests which pass it.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the text file of what was sent, answered and run. Times are seconds since the case began.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func openRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{f: f, began: time.Now()}
}

func (r *record) add(format string, a ...any) { r.addAt(time.Now(), format, a...) }

func (r *record) addAt(at time.Time, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// The processes that the case started, ended by exit.
var (
	started   []*process
	startedMu sync.Mutex
	tempDirs  []string
)

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program in a process group of its own.
func startProcess(env []string, stderr *os.File, argv ...string) *process {
	p := &process{cmd: exec.Command(argv[0], argv[1:]...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr, p.cmd.Stdout = stderr, stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		cannotRun("start %s: %v", argv[0], err)
	}
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	startedMu.Lock()
	started = append(started, p)
	startedMu.Unlock()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process at once and waits until it has gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func tempDir() string {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	tempDirs = append(tempDirs, dir)
	return dir
}

func exit(code int) {
	startedMu.Lock()
	for _, p := range started {
		if !p.ended() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, d := range tempDirs {
		_ = os.RemoveAll(d)
	}
	os.Exit(code)
}

func cannotRun(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", a...)
	exit(2)
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) string {
	f, err := os.Open("deploy/balancer.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if v, ok := strings.CutPrefix(s.Text(), key+" = \""); ok {
			return strings.TrimSuffix(v, "\"")
		}
	}
	cannotRun("deploy/balancer.toml: no line sets %s", key)
	return ""
}

func createFile(dir, name string) *os.File {
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		cannotRun("%v", err)
	}
	return f
}

// awaitListening waits until something accepts connections at an address.
func awaitListening(addr string, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			_ = c.Close()
			return
		}
	}
	cannotRun("nothing listens at %s after %v", addr, within)
}
