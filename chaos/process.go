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

// processEnvironment is set in the environment of the coordinator's process, so that a test binary can act as the coordinator.
const processEnvironment = "PORTHUB_DRILL=1"

const (
	startTimeout      = 15 * time.Second
	startPollInterval = 5 * time.Millisecond
)

// coordinatorProcess is a coordinator in a separate process that can be killed and started again. It is safe for concurrent
// use.
type coordinatorProcess struct {
	command    []string // the arguments of serve are appended to it
	dir        string
	world      *emulator.World
	log        *audit.Log
	output     *os.File // standard output and error of the process
	cpuProfile string   // file for a CPU profile; empty: none
	cores      int      // number of cores that the process may use; 0: all

	addr atomic.Pointer[string] // address of the last start; nil before the first start

	mu      sync.Mutex // guards all below; held while the process starts or ends
	config  config.Config
	cmd     *exec.Cmd     // nil while no process is running
	ended   chan struct{} // closed when cmd has exited
	cpuTime time.Duration // total of the exited processes
	peakKiB int64         // largest resident set so far
	err     error         // joined errors of all starts
}

// address returns the address at which the coordinator listens or last listened; empty before its first start.
func (p *coordinatorProcess) address() string {
	if addr := p.addr.Load(); addr != nil {
		return *addr
	}
	return ""
}

// start starts the process and waits until it listens. Later starts reuse the address of the first. Errors are also recorded
// for failure, because the results of a scenario whose coordinator failed to restart are meaningless.
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
	if p.cpuProfile != "" {
		args = append(args, "--cpu-profile", p.cpuProfile)
	}
	cmd := exec.Command(p.command[0], args...)
	cmd.Stdout = p.output
	cmd.Stderr = p.output
	cmd.Env = append(os.Environ(), processEnvironment)
	if p.cores > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("GOMAXPROCS=%d", p.cores))
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills it if this process dies
	startedAt := p.world.Now()
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // terminate reads the process state
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

// waitForAddress waits until the process has written its address to a file. If it returns an error, the process has exited.
func (p *coordinatorProcess) waitForAddress(cmd *exec.Cmd, ended <-chan struct{}, path string) (string, error) {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(startPollInterval) {
		if addr, err := os.ReadFile(path); err == nil && strings.Contains(string(addr), ":") {
			return string(addr), nil
		}
		select {
		case <-ended:
			return "", fmt.Errorf("coordinator process exited during startup: last log line: %s", lastLine(p.output.Name()))
		default:
		}
		if time.Now().After(deadline) {
			_ = cmd.Process.Kill()
			<-ended
			return "", fmt.Errorf("coordinator process did not listen within %v: see %s", startTimeout, p.output.Name())
		}
	}
}

// failure returns the joined errors of all starts.
func (p *coordinatorProcess) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// pid returns the process ID; 0 if no process is running.
func (p *coordinatorProcess) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// kill kills the process with SIGKILL.
func (p *coordinatorProcess) kill() { p.terminate(syscall.SIGKILL) }

// terminate sends a signal to the process and waits for its exit. It returns how long that took; 0 if no process was running.
func (p *coordinatorProcess) terminate(signal syscall.Signal) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	start := time.Now()
	p.peakKiB = max(p.peakKiB, peakResident(p.cmd.Process.Pid))
	_ = p.cmd.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		p.log.CoordinatorRunning(p.world.Now(), false)
	}
	<-p.ended
	p.log.CoordinatorRunning(p.world.Now(), false)
	if state := p.cmd.ProcessState; state != nil {
		p.cpuTime += state.UserTime() + state.SystemTime()
	}
	p.cmd = nil
	return time.Since(start)
}

// pause stops all threads of the process for the given time, as a long garbage collection would.
func (p *coordinatorProcess) pause(d time.Duration) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	_ = syscall.Kill(pid, syscall.SIGSTOP)
	time.Sleep(d)
	_ = syscall.Kill(pid, syscall.SIGCONT)
}

// usage returns the total CPU time and the largest resident set of all exited processes.
func (p *coordinatorProcess) usage() (cpu time.Duration, peakKiB int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cpuTime, p.peakKiB
}

// lastLine returns the last line of a log file, or the error if the file can't be read.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// peakResident returns the peak resident set of a process in KiB. The peak that Wait reports is not used, because it includes
// the memory of the parent between fork and exec.
func peakResident(pid int) int64 { return readStatus(pid, "VmHWM:") }

// currentResident returns the resident set of a process in KiB.
func currentResident(pid int) int64 { return readStatus(pid, "VmRSS:") }

// readStatus returns a size in KiB from /proc/PID/status; 0 if it can't be read.
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
