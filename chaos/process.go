package chaos

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"porthub/config"
)

// coordinatorProcess is a coordinator in a process of its own.
type coordinatorProcess struct {
	f     *fleet
	cfg   config.Config
	exe   []string // the command, to which serve's arguments are added
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when it has ended
	addr  string
	cpu   time.Duration // of ended processes
	peak  int64         // largest resident set, KiB
	logs  *os.File
	err   error

	profile string // file for a CPU profile; empty: none
}

// document is the configuration as a file has it: durations with their unit.
func document(c config.Config) ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return text, nil
}

// start runs the process and waits until it listens. The port of the first start stays. A failure is kept: a drill
// whose coordinator did not come back has shown nothing.
func (p *coordinatorProcess) start() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func() { p.err = errors.Join(p.err, err) }()
	text, err := document(p.cfg)
	if err != nil {
		return err
	}
	path, addrFile := filepath.Join(p.f.dir, "porthub.json"), filepath.Join(p.f.dir, "addr")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	_ = os.Remove(addrFile)
	args := append(p.exe[1:], "serve", "-c", path, "--addr-file", addrFile)
	if p.profile != "" {
		args = append(args, "--cpu-profile", p.profile)
	}
	cmd := exec.Command(p.exe[0], args...)
	cmd.Stdout, cmd.Stderr = p.logs, p.logs
	cmd.Env = append(os.Environ(), "PORTHUB_DRILL=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // never left behind
	began := p.f.world.Now()
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	ended := make(chan struct{})
	p.ended = ended
	go func() { _ = cmd.Wait(); close(ended) }()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if addr, err := os.ReadFile(addrFile); err == nil && strings.Contains(string(addr), ":") {
			p.f.log.CoordinatorRunning(began, true)
			p.f.mu.Lock()
			p.addr, p.cfg.Listen = string(addr), string(addr)
			p.f.mu.Unlock()
			return nil
		}
		select {
		case <-ended:
			p.cmd = nil
			return fmt.Errorf("the coordinator ended at its start: %s", lastLine(p.logs.Name()))
		default:
		}
		if time.Now().After(end) {
			_ = cmd.Process.Kill()
			<-ended
			p.cmd = nil
			return fmt.Errorf("the coordinator is not up after 15 s: see %s", p.logs.Name())
		}
	}
}

// kill ends the process outright.
func (p *coordinatorProcess) kill() { p.end(syscall.SIGKILL) }

// end ends the process by a signal and returns how long it took.
func (p *coordinatorProcess) end(s syscall.Signal) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	began := time.Now()
	p.peak = max(p.peak, peakOf(p.cmd.Process.Pid))
	_ = p.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		p.f.log.CoordinatorRunning(p.f.world.Now(), false)
	}
	<-p.ended
	p.f.log.CoordinatorRunning(p.f.world.Now(), false)
	if state := p.cmd.ProcessState; state != nil {
		p.cpu += state.UserTime() + state.SystemTime()
	}
	p.cmd = nil
	return time.Since(began)
}

// lastLine is the last line of a log.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// peakOf is the largest resident set that a process has had, KiB. What wait tells counts the parent's before the exec.
func peakOf(pid int) int64 { return sizeOf(pid, "VmHWM:") }

// residentOf is a process's resident set now, KiB.
func residentOf(pid int) int64 { return sizeOf(pid, "VmRSS:") }

func sizeOf(pid int, field string) (kib int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, is := strings.CutPrefix(line, field); is {
			_, _ = fmt.Sscan(rest, &kib)
		}
	}
	return kib
}
