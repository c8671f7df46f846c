package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// rig is what every case uses: the record, a temporary folder and the processes that the case started.
type rig struct {
	root    string // of the repository
	tmp     string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
}

// newRig makes the temporary folder and opens the record in the case's folder.
func newRig(folder string) *rig {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	must(err)
	tmp, err := os.MkdirTemp("", "review2-")
	must(err)
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	r := &rig{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: f}
	r.note("run", "trouble", r.trouble)
	return r
}

type cannotRun struct{ why string }

func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

func require(ok bool, format string, a ...any) {
	if !ok {
		panic(cannotRun{fmt.Sprintf(format, a...)})
	}
}

// note writes one line to the record: milliseconds since the start, what happened, and names with values.
func (r *rig) note(what string, kv ...any) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%7d %s", time.Since(r.start).Milliseconds(), what)
	for i := 0; i+1 < len(kv); i += 2 {
		text, _ := json.Marshal(kv[i+1])
		fmt.Fprintf(&b, " %v=%s", kv[i], text)
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.Write(b.Bytes())
}

// run runs a case and ends all that it started.
func (r *rig) run(do func(*rig) int) (code int) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(108 * time.Second):
		}
		r.note("stopped: the case takes too long")
		r.end()
		os.Exit(noRun)
	}()
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannotRun)
			if !ok {
				c.why = fmt.Sprint(p)
			}
			r.note("the case could not run", "why", c.why)
			fmt.Println("could not run:", c.why)
			code = noRun
		}
		r.end()
		r.note("end", "code", code)
		fmt.Println("code", code)
	}()
	return do(r)
}

func (r *rig) end() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.tmp)
	} else {
		fmt.Println("kept", r.tmp)
	}
}

// proc is a process of the project.
type proc struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// startProc starts a shell command from the root of the repository; its log goes to the temporary folder.
func (r *rig) startProc(name, command string, env ...string) *proc {
	log, err := os.OpenFile(filepath.Join(r.tmp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	p := &proc{name: name, cmd: exec.Command("/bin/sh", "-c", command), exited: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.root, log, log
	p.cmd.Env = append(os.Environ(), env...)
	must(p.cmd.Start())
	_ = log.Close()
	r.note("started", "program", name)
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() { p.err = p.cmd.Wait(); close(p.exited) }()
	return p
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *proc) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill ends the process at once and waits for its end.
func (p *proc) kill() {
	if !p.hasExited() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
	}
}

// freeAddr returns a loopback address whose port is free.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return ln
}

// call sends one HTTP request on a connection of its own; status 0 means that no whole answer came.
func call(method, url string, body []byte, within time.Duration) (status int, text string) {
	return callWith(&http.Transport{DisableKeepAlives: true}, method, url, body, within)
}

func callWith(transport *http.Transport, method, url string, body []byte, within time.Duration) (status int, text string) {
	client := &http.Client{Timeout: within, Transport: transport}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	must(err)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}

// waitFor polls a condition for a limited time.
func waitFor(within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

func toJSON(v any) []byte {
	b, err := json.Marshal(v)
	must(err)
	return b
}

// lastLog returns the last lines of a program's log.
func (r *rig) lastLog(name string) string {
	raw, _ := os.ReadFile(filepath.Join(r.tmp, name+".log"))
	if len(raw) > 600 {
		raw = raw[len(raw)-600:]
	}
	return string(raw)
}

// panicIn returns the first line of a program's log that tells of a panic.
func (r *rig) panicIn(name string) string {
	raw, _ := os.ReadFile(filepath.Join(r.tmp, name+".log"))
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.HasPrefix(line, "panic:") {
			return line
		}
	}
	return ""
}
