package chaos

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"porthub/audit"
	"porthub/config"
	"porthub/emulator"
)

// processEnvironment marks the coordinator's process, so that a test binary can take that part.
const processEnvironment = "PORTHUB_DRILL=1"

const (
	startTimeout  = 15 * time.Second
	startPollTime = 5 * time.Millisecond
)

// coordinatorProcess is a coordinator in a process of its own that can be killed and started again. It is safe for
// concurrent use.
type coordinatorProcess struct {
	command []string // to which the arguments of serve are added
	dir     string
	world   *emulator.World
	log     *audit.Log
	output  *os.File // of the process
	profile string   // file for a CPU profile; empty: none
	cores   int      // that the process may use; 0: all

	addr atomic.Pointer[string] // where it listens; nil before the first start

	mu     sync.Mutex // guards all below; held while the process starts or ends
	config config.Config
	cmd    *exec.Cmd     // nil: it does not run
	ended  chan struct{} // closed when cmd has ended
	cpu    time.Duration // of ended processes
	peak   int64         // largest resident set, KiB
	err    error         // of all starts
}

// address returns where the coordinator listens, or last listened; empty before its first start.
func (p *coordinatorProcess) address() string {
	if addr := p.addr.Load(); addr != nil {
		return *addr
	}
	return ""
}

// start runs the process and waits until it listens. The port of the first start stays. Errors are collected for
// failure: a scenario whose coordinator did not come back has shown nothing.
func (p *coordinatorProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.startLocked()
	p.err = errors.Join(p.err, err)
	return err
}

func (p *coordinatorProcess) startLocked() error {
	text, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	configPath := filepath.Join(p.dir, "porthub.json")
	addrPath := filepath.Join(p.dir, "addr")
	if err := os.WriteFile(configPath, text, 0o644); err != nil {
		return err
	}
	_ = os.Remove(addrPath)
	args := slices.Concat(p.command[1:], []string{"serve", "-c", configPath, "--addr-file", addrPath})
	if p.profile != "" {
		args = append(args, "--cpu-profile", p.profile)
	}
	cmd := exec.Command(p.command[0], args...)
	cmd.Stdout = p.output
	cmd.Stderr = p.output
	cmd.Env = append(os.Environ(), processEnvironment)
	if p.cores > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("GOMAXPROCS=%d", p.cores))
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives this process
	startedAt := p.world.Now()
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended is seen from its state
		close(ended)
	}()
	addr, err := p.waitForAddress(cmd, ended, addrPath)
	if err != nil {
		return err
	}
	p.cmd = cmd
	p.ended = ended
	p.log.CoordinatorRunning(startedAt, true)
	p.config.Listen = addr
	p.addr.Store(&addr)
	return nil
}

// waitForAddress waits until the process has written its address. On an error the process has ended.
func (p *coordinatorProcess) waitForAddress(cmd *exec.Cmd, ended <-chan struct{}, path string) (string, error) {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(startPollTime) {
		if addr, err := os.ReadFile(path); err == nil && strings.Contains(string(addr), ":") {
			return string(addr), nil
		}
		select {
		case <-ended:
			return "", fmt.Errorf("the coordinator ended at its start: %s", lastLine(p.output.Name()))
		default:
		}
		if time.Now().After(deadline) {
			_ = cmd.Process.Kill()
			<-ended
			return "", fmt.Errorf("the coordinator is not up after %v: see %s", startTimeout, p.output.Name())
		}
	}
}

// failure returns the errors of all starts.
func (p *coordinatorProcess) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// pid returns the process's id; 0 if it does not run.
func (p *coordinatorProcess) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// kill ends the process outright.
func (p *coordinatorProcess) kill() { p.end(syscall.SIGKILL) }

// end ends the process by a signal and returns how long that took; 0 if it did not run.
func (p *coordinatorProcess) end(signal syscall.Signal) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	start := time.Now()
	p.peak = max(p.peak, peakResident(p.cmd.Process.Pid))
	_ = p.cmd.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		p.log.CoordinatorRunning(p.world.Now(), false)
	}
	<-p.ended
	p.log.CoordinatorRunning(p.world.Now(), false)
	if state := p.cmd.ProcessState; state != nil {
		p.cpu += state.UserTime() + state.SystemTime()
	}
	p.cmd = nil
	return time.Since(start)
}

// pause stops all threads of the process for a while, as a long garbage collection would.
func (p *coordinatorProcess) pause(d time.Duration) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	_ = syscall.Kill(pid, syscall.SIGSTOP)
	time.Sleep(d)
	_ = syscall.Kill(pid, syscall.SIGCONT)
}

// usage returns the CPU time and the largest resident set of all ended processes.
func (p *coordinatorProcess) usage() (cpu time.Duration, peakKiB int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cpu, p.peak
}

// lastLine is the last line of a log file, or why it can't be read.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// peakResident is the largest resident set that a process has had, KiB. What Wait reports counts the parent's before exec.
func peakResident(pid int) int64 { return readStatus(pid, "VmHWM:") }

// currentResident is a process's resident set, KiB.
func currentResident(pid int) int64 { return readStatus(pid, "VmRSS:") }

// readStatus reads a size in KiB of a process's status; 0 if it can't be read.
func readStatus(pid int, field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	size := int64(0)
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, field); found {
			_, _ = fmt.Sscan(rest, &size)
		}
	}
	return size
}
