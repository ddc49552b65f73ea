package capture

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"porthub/coordinator"
)

// Environment variables of a child process, see TestChildProcess.
const (
	childDirVariable   = "PORTHUB_CAPTURE_CHILD" // directory of the capture
	childSeedVariable  = "PORTHUB_CAPTURE_SEED"  // of the scenario
	childLimitVariable = "PORTHUB_CAPTURE_LIMIT" // limit on a file's size in bytes; unset: no limit
)

// TestChildProcess is the child process of the tests below. It records a scenario and prints the number of the last record in the
// file system whenever that changes.
func TestChildProcess(t *testing.T) {
	dir := os.Getenv(childDirVariable)
	if dir == "" {
		t.Skip("runs only as a child process of other tests")
	}
	if n, err := strconv.Atoi(os.Getenv(childLimitVariable)); err == nil {
		// The limit acts as a full disk does: a write fails after a part of it was written.
		signal.Ignore(syscall.SIGXFSZ)
		limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
			t.Fatal(err)
		}
	}
	seed, _ := strconv.Atoi(os.Getenv(childSeedVariable))
	w := NewWriter(dir, Limits{SegmentBytes: 16 << 10, MaxBytes: 1 << 30})
	printed := uint64(0)
	runScenario(uint64(seed), fmt.Sprint("e", seed), 4000, func(r *Record) {
		w.Append(r)
		if written := w.Written(); written != printed {
			printed = written
			fmt.Println("written", printed)
		}
		time.Sleep(200 * time.Microsecond)
	})
	w.Close()
	stats := w.Stats()
	fmt.Println("end", stats.Gaps, stats.Lost, stats.Failed)
}

func startChild(t *testing.T, dir string, seed int, env ...string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestChildProcess$", "-test.v")
	cmd.Env = append(os.Environ(), childDirVariable+"="+dir, fmt.Sprintf("%s=%d", childSeedVariable, seed))
	cmd.Env = append(cmd.Env, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, bufio.NewScanner(out)
}

// A process that is killed at a random point loses no record that was in the file system: the capture opens, has no gap and
// replays to the same orders. PORTHUB_KILLS sets the number of kills; the default is small because CI runs it.
func TestKilledWriterLosesNoWrittenRecord(t *testing.T) {
	kills := 12
	if n, err := strconv.Atoi(os.Getenv("PORTHUB_KILLS")); err == nil {
		kills = n
	}
	rng := rand.New(rand.NewPCG(14, 14))
	truncated := 0
	orders := 0
	dir := t.TempDir()
	for kill := range kills {
		if kill%10 == 0 {
			dir = t.TempDir() // each capture has the starts of ten processes
		}
		child, output := startChild(t, dir, kill)
		time.Sleep(time.Duration(rng.IntN(300_000)) * time.Microsecond)
		_ = child.Process.Kill()
		written := lastWritten(output)
		_ = child.Wait()
		r, err := Open(dir)
		if err != nil {
			if written == 0 {
				continue // killed before the first write
			}
			t.Fatalf("kill %d: %v", kill, err)
		}
		last, result, err := replayLastStart(r, fmt.Sprint("e", kill))
		r.Close()
		if err != nil || len(result.Gaps) > 0 || result.Incomplete() || last < written || result.Mismatches > 0 {
			t.Fatalf("kill %d: record %d was written, the last one read is %d, got %+v, error %v; want all written records without gaps or mismatches", kill, written, last, result, err)
		}
		truncated += len(result.Damages)
		orders += result.Orders
	}
	t.Logf("%d kills, %d truncated segments, %d replayed orders", kills, truncated, orders)
}

// lastWritten reads a child's output to its end and returns the number of the last record that was in the file system.
func lastWritten(output *bufio.Scanner) uint64 {
	written := uint64(0)
	for output.Scan() {
		if number, found := strings.CutPrefix(output.Text(), "written "); found {
			written, _ = strconv.ParseUint(number, 10, 64)
		}
	}
	return written
}

// replayLastStart replays a capture. last is the number of the capture's last record if that belongs to the epoch, otherwise 0.
func replayLastStart(r *Reader, epoch string) (last uint64, result ReplayResult, err error) {
	current := ""
	result, err = Replay(r, "test", func(record *Record, _ *coordinator.Core, _ []coordinator.Output) bool {
		if record.Start != nil {
			current = record.Start.Settings.Epoch
		}
		last = 0
		if current == epoch {
			last = record.Seq
		}
		return true
	})
	return last, result, err
}

// On a full disk, where a write may fail after a part of it was written, the process continues. The lost records are recorded as
// gaps, and all other records can be read.
func TestFullDiskLeavesGaps(t *testing.T) {
	dir := t.TempDir()
	child, output := startChild(t, dir, 1, childLimitVariable+"=9000")
	end := ""
	for output.Scan() {
		if strings.HasPrefix(output.Text(), "end ") {
			end = output.Text()
		}
	}
	if err := child.Wait(); err != nil {
		t.Fatalf("the process did not continue after a failed write: %v", err)
	}
	var gaps, lost, failed int
	if n, _ := fmt.Sscanf(end, "end %d %d %d", &gaps, &lost, &failed); n != 3 || failed == 0 {
		t.Fatalf("the child's last line is %q, want at least one failed write", end)
	}
	got, r := readAll(t, dir)
	recordedGaps := 0
	for _, record := range got {
		if record.Gap != nil {
			recordedGaps++
		}
	}
	if len(got) < 100 || recordedGaps == 0 || len(r.Damages) > 0 {
		t.Errorf("got %d records, %d gaps of them, %d gaps counted by the writer, damages %v; want at least 100 records, a gap and no damage", len(got), recordedGaps, gaps, r.Damages)
	}
}
