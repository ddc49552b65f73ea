//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// scene is one run of a case: its folders, its record, and the processes that it started.
type scene struct {
	root    string // of the repository
	dir     string // temporary folder
	trouble bool   // the case's disruption happens
	began   time.Time

	mu     sync.Mutex // guards the fields below
	record *os.File
	procs  []*process
}

// note writes one line to the record.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// request records one request of a gateway.
func (s *scene) request(sent time.Time, gateway, class, addr, result string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  sent: %s %s to %s; %s after %d ms\n", sent.Sub(s.began).Seconds(), gateway, class, addr, result, time.Since(sent).Milliseconds())
}

// cannot is the panic value of a run that could not take place.
type cannot struct{ reason string }

// need ends the run with exit code 2 unless ok.
func need(ok bool, format string, args ...any) {
	if !ok {
		panic(cannot{fmt.Sprintf(format, args...)})
	}
}

// process is a program of the project that runs as a process of its own.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a shell command from the root of the repository; its output goes to a log in the temporary folder.
func (s *scene) start(name, command string, env ...string) *process {
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	need(err == nil, "log of %s: %v", name, err)
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = s.root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	need(cmd.Start() == nil, "start %s", command)
	_ = log.Close()
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.done) }()
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	s.note("started %s: %s", name, command)
	return p
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// ended reports whether the process ends within a time.
func (p *process) ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// run runs a command of the project to its end and returns its exit code.
func (s *scene) run(command string) int {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = s.root
	out, err := cmd.CombinedOutput()
	code := 0
	if err != nil {
		code = 1
		if exit, ok := err.(*exec.ExitError); ok {
			code = exit.ExitCode()
		}
	}
	s.note("ran: %s: exit %d: %s", command, code, strings.TrimSpace(string(out)))
	return code
}

// endAll ends all processes that are still running.
func (s *scene) endAll() {
	s.mu.Lock()
	procs := s.procs
	s.mu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
}

// freePort returns a loopback address that nobody listens on, with a port below those that systems usually give to clients, so that
// none of them takes it meanwhile.
func freePort() string {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
	panic(cannot{"no free port"})
}

// waitListening waits until somebody listens at an address.
func waitListening(addr string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			_ = c.Close()
			return true
		}
	}
	return false
}

// writeJSON writes a value as a JSON file that is moved into place complete.
func (s *scene) writeJSON(name string, value any) string {
	text, err := json.MarshalIndent(value, "", "  ")
	need(err == nil, "encode %s: %v", name, err)
	path := filepath.Join(s.dir, name)
	need(os.WriteFile(path+".new", text, 0o644) == nil, "write %s", name)
	need(os.Rename(path+".new", path) == nil, "rename %s", name)
	return path
}
