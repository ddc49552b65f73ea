package capture

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
)

const second policyapi.Microseconds = 1_000_000

func testSettings(epoch string) coordinator.Settings {
	return coordinator.Settings{Epoch: epoch, Build: "test", SilenceTimeout: 3 * second, SolverEnabled: true, Start: policyapi.Start{Seed: 1, InstanceCount: 1, Zone: "a", Zones: []policyapi.Zone{"a", "b"},
		Classes: []policyapi.ClassSettings{{Name: "view", Idempotency: policyapi.Idempotent, LatencyObjective: 750_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
			{Name: "save", LatencyObjective: 750_000, ClientTimeout: 2_000_000, PriorityWeight: 2}},
		Rules: policyapi.RuleSettings{EmptyTableLimit: 5 * second, DrainGracePeriod: 3 * second, WarmUp: 17 * second, InitialCapacity: 0.16, OverloadFactor: 2.5,
			OverloadWindow: 2 * second, QueueLimit: 4000, MessageLimit: 20, MessageWindow: 10 * second},
		Channel:   policyapi.ChannelSettings{LinesPerSecond: 6000, MessageOverhead: 6, Latency: 100_000, MaxLatency: 300_000, EndpointConnections: 200},
		Reports:   policyapi.ReportSettings{Period: second, MaxLinesPerSecond: 1000, MetricsInReports: true, MetricNames: []string{"busy", "q"}},
		Admission: policyapi.AdmissionByRate, ProxyCount: 4, PollsList: true}}
}

// runScenario runs a core through a drawn course (lists with drains, joins, late and repeated reports, acknowledgements,
// pins) and hands each record over. It is the same for the same seed.
func runScenario(seed uint64, epoch string, steps int, put func(*Record)) {
	rng := rand.New(rand.NewPCG(seed, 7))
	set := testSettings(epoch)
	core := coordinator.New(set)
	put(&Record{Start: &Start{Format: Format, Build: "test", WallTime: int64(second), Settings: set}})
	now := 1000 * second
	var acks []coordinator.Input
	seqs := map[int]uint64{}
	for i := range steps {
		now += policyapi.Microseconds(rng.Int64N(int64(second / 2)))
		inputs := acks
		acks = nil
		if i == 0 || rng.IntN(12) == 0 {
			l := policyapi.EndpointUpdate{Version: policyapi.ListVersion(i + 1), Kind: policyapi.Snapshot}
			for n := range 6 {
				e := policyapi.Endpoint{ID: policyapi.EndpointID(fmt.Sprintf("n%d:1", n)), Zone: []policyapi.Zone{"a", "b"}[n%2], Weight: 1}
				if rng.IntN(6) == 0 {
					e.Status = policyapi.Draining
				}
				l.Endpoints = append(l.Endpoints, e)
			}
			inputs = append(inputs, coordinator.EndpointUpdate{EndpointUpdate: l})
		}
		for g := range 4 {
			name, conn := coordinator.Gateway(fmt.Sprint("g", g)), coordinator.ConnID(g+1)
			if i == 1 {
				inputs = append(inputs, coordinator.GatewayConnected{Gateway: name, Conn: conn, Zone: []policyapi.Zone{"a", "b"}[g%2], Weight: 5})
			}
			if i > 1 && rng.IntN(3) == 0 {
				seqs[g]++
				seq := seqs[g]
				if rng.IntN(10) == 0 {
					seq -= min(seq, 2) // late, or a repeat
				}
				n := policyapi.EndpointID(fmt.Sprintf("n%d:1", rng.IntN(6)))
				inputs = append(inputs, coordinator.LoadReport{Gateway: name, Conn: conn, Sequence: seq, Interval: second, Classes: []coordinator.ClassReport{{Class: "view",
					Arrivals: rng.IntN(30), Endpoints: []coordinator.EndpointReport{{Endpoint: n, Attempts: 10, Failures: rng.IntN(3), MeanLatency: 160_000,
						Metrics: policyapi.LoadMetrics{"busy": rng.Float64(), "q": 1}}}}}})
			}
		}
		outputs := core.Step(now, inputs)
		for _, o := range outputs {
			if p, is := o.(coordinator.Publish); is && rng.IntN(8) > 0 {
				for d, changed := range p.Changed {
					if changed {
						acks = append(acks, coordinator.DocumentAck{Gateway: p.Gateway, Conn: coordinator.ConnID(p.Gateway[1] - '0' + 1), Document: coordinator.Document(d), Version: p.Version,
							Nonce: p.Nonce})
					}
				}
			}
		}
		put(&Record{Step: &Step{Now: now, Inputs: inputs, Orders: core.Orders(), Digest: Digest(outputs)}})
		if i%40 == 20 {
			p := routing.Pin{Scope: routing.Scope{Table: routing.AnyTable}, Reason: "a test"}
			if _, err := core.Pin(p); err == nil {
				put(&Record{Command: &Command{Pin: &p}})
			}
		}
	}
}

func readAll(t *testing.T, path string) ([]*Record, *Reader) {
	t.Helper()
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var out []*Record
	for {
		rec, err := r.Next()
		if errors.Is(err, io.EOF) {
			return out, r
		}
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, rec)
	}
}

func replayCapture(t *testing.T, path string) ReplayResult {
	t.Helper()
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	v, err := Replay(r, "test", nil)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// What was put comes back, record by record, over several segments and starts, and replays to the same orders.
func TestRoundTripOverSegmentsAndStarts(t *testing.T) {
	dir := t.TempDir()
	var want []*Record
	for start := range 3 {
		w := NewWriter(dir, Limits{SegmentBytes: 8 << 10, MaxBytes: 1 << 30})
		runScenario(uint64(start), fmt.Sprint("e", start), 300, func(r *Record) { w.Append(r); want = append(want, r) })
		w.Close()
	}
	got, r := readAll(t, dir)
	if len(r.Damages) > 0 || len(got) != len(want) {
		t.Fatalf("%d records of %d, %v", len(got), len(want), r.Damages)
	}
	for i := range want {
		if want[i].Step != nil && (want[i].Seq != got[i].Seq || want[i].Step.Now != got[i].Step.Now || len(want[i].Step.Inputs) != len(got[i].Step.Inputs) ||
			len(want[i].Step.Inputs) > 0 && !reflect.DeepEqual(want[i].Step.Inputs, got[i].Step.Inputs)) {
			t.Fatalf("record %d: %+v, want %+v", i, got[i].Step, want[i].Step)
		}
	}
	v := replayCapture(t, dir)
	if v.Starts != 3 || v.Mismatches != 0 || v.Orders < 500 || v.Unfinished != 3 {
		t.Errorf("%+v", v)
	}
}

// A record that says something else than the core decides is found, with its inputs; the rest is read on.
func TestReplayReportsMismatch(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{})
	n, spoilt := 0, uint64(0)
	runScenario(5, "e", 200, func(r *Record) {
		if r.Step != nil && len(r.Step.Orders) > 3 {
			if n++; n == 6 {
				r.Step.Orders = slices.Delete(slices.Clone(r.Step.Orders), 1, 2)
				spoilt = w.Append(r)
				return
			}
		}
		w.Append(r)
	})
	w.Close()
	r, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	v, err := Replay(r, "another build", nil)
	if err != nil {
		t.Fatal(err)
	}
	if v.FirstMismatch == nil || v.FirstMismatch.Seq != spoilt || v.FirstMismatch.Order != 1 || v.SameBuild() {
		t.Errorf("record %d was spoilt: %+v", spoilt, v.FirstMismatch)
	}
}

// A segment cut off anywhere, as a killed process leaves it, opens and gives all that stands before.
func TestTruncatedSegmentKeepsRecordsBeforeTheCut(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{})
	runScenario(2, "e", 60, func(r *Record) {
		w.Append(r)
		for w.Written() < r.Seq { // a block each
			time.Sleep(100 * time.Microsecond)
		}
	})
	w.Close()
	segments, _ := Segments(dir)
	text, err := os.ReadFile(segments[0].Path)
	if err != nil {
		t.Fatal(err)
	}
	all, _ := readAll(t, dir)
	cut := filepath.Join(t.TempDir(), "00000001.cap")
	before := 0
	for n := 0; n <= len(text); n += 1 + n/900 {
		if err := os.WriteFile(cut, text[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		got, r := readAll(t, cut)
		for i, rec := range got {
			if rec.Seq != all[i].Seq || rec.Gap != nil {
				t.Fatalf("cut at %d: record %d is %+v", n, i, rec)
			}
		}
		if len(got) < before || len(r.Damages) > 1 || len(r.Damages) == 1 && !r.Damages[0].Torn {
			t.Fatalf("cut at %d: %d records, %d before, %v", n, len(got), before, r.Damages)
		}
		before = len(got)
	}
	if before < len(all)-1 {
		t.Errorf("%d records of %d at the end", before, len(all))
	}
}

// A flipped bit anywhere costs its block and no more, is told, and never gives a record that was not written; replay
// stops comparing there and says so.
func TestFlippedBitCostsOneBlock(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{})
	runScenario(3, "e", 40, func(r *Record) {
		w.Append(r)
		for w.Written() < r.Seq {
			time.Sleep(100 * time.Microsecond)
		}
	})
	w.Close()
	segments, _ := Segments(dir)
	text, err := os.ReadFile(segments[0].Path)
	if err != nil {
		t.Fatal(err)
	}
	all, _ := readAll(t, dir)
	path := filepath.Join(t.TempDir(), "00000001.cap")
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		bad := slices.Clone(text)
		at := rng.IntN(len(bad))
		bad[at] ^= 1 << rng.IntN(8)
		if err := os.WriteFile(path, bad, 0o644); err != nil {
			t.Fatal(err)
		}
		got, r := readAll(t, path)
		if len(r.Damages) != 1 || r.Damages[0].Torn && len(got) < len(all)-1 {
			t.Fatalf("bit at %d: %v", at, r.Damages)
		}
		missing := uint64(0)
		for _, rec := range got {
			if rec.Gap != nil {
				missing += rec.Gap.To - rec.Gap.From + 1
				continue
			}
			if !reflect.DeepEqual(rec, all[rec.Seq-1]) {
				t.Fatalf("bit at %d: record %d is not what was written", at, rec.Seq)
			}
		}
		if at >= len(segmentMagic) && missing > 1 {
			t.Fatalf("bit at %d: %d records are missing", at, missing)
		}
	}
}

// A segment that was lost is a gap; the next start is compared again.
func TestMissingSegmentIsAGap(t *testing.T) {
	dir := t.TempDir()
	limits := Limits{SegmentBytes: 4 << 10, MaxBytes: 1 << 30}
	for start := range 2 {
		w := NewWriter(dir, limits)
		runScenario(uint64(start), fmt.Sprint("e", start), 400, func(r *Record) {
			w.Append(r)
			if r.Seq%50 == 0 {
				for w.Written() < r.Seq {
					time.Sleep(time.Millisecond)
				}
			}
		})
		w.Close()
	}
	segments, _ := Segments(dir)
	if len(segments) < 5 {
		t.Fatalf("only %d segments", len(segments))
	}
	if err := os.Remove(segments[1].Path); err != nil {
		t.Fatal(err)
	}
	v := replayCapture(t, dir)
	if len(v.Gaps) != 1 || v.Starts != 2 || v.Skipped == 0 || !v.Incomplete() || v.Mismatches > 0 {
		t.Errorf("%+v", v)
	}
}

// What comes faster than it can be written is a gap that names every record lost; nobody waits.
func TestQueueOverflowIsAGap(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{QueueLength: 2})
	longest := time.Duration(0)
	for i := range 20000 {
		began := time.Now()
		w.Append(&Record{Step: &Step{Now: policyapi.Microseconds(i)}})
		longest = max(longest, time.Since(began))
	}
	time.Sleep(100 * time.Millisecond)
	last := w.Append(&Record{End: &End{}})
	w.Close()
	got, _ := readAll(t, dir)
	next, lost := uint64(1), uint64(0)
	for _, rec := range got {
		if rec.Seq != next {
			t.Fatalf("record %d after %d", rec.Seq, next-1)
		}
		if next = rec.Seq + 1; rec.Gap != nil {
			next, lost = rec.Gap.To+1, lost+rec.Gap.To-rec.Gap.From+1
		}
	}
	if s := w.Stats(); next != last+1 || lost == 0 || s.Lost != int64(lost) {
		t.Errorf("read up to %d of %d, %d lost, %+v", next-1, last, lost, s)
	}
}

// The oldest segments go when the budget is used up; what is left is read, and says that it begins in the middle.
func TestOldestSegmentsAreRemovedAtTheLimit(t *testing.T) {
	dir := t.TempDir()
	limits := Limits{SegmentBytes: 4 << 10, MaxBytes: 24 << 10}
	w := NewWriter(dir, limits)
	runScenario(1, "e", 1500, func(r *Record) {
		w.Append(r)
		if r.Seq%20 == 0 {
			for w.Written() < r.Seq {
				time.Sleep(time.Millisecond)
			}
		}
	})
	w.Close()
	segments, _ := Segments(dir)
	total := int64(0)
	for _, s := range segments {
		total += s.Bytes
	}
	if total > limits.MaxBytes || w.Stats().Removed == 0 {
		t.Errorf("%d bytes in %d segments, %d removed", total, len(segments), w.Stats().Removed)
	}
	got, _ := readAll(t, dir)
	if len(got) < 50 || got[0].Gap == nil {
		t.Errorf("%d records, the first %+v", len(got), got[0])
	}
}

// A format from the future is told apart from damage, with the build that wrote it.
func TestNewerFormatIsRejected(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{})
	w.Append(&Record{Start: &Start{Format: Format + 1, Build: "v9"}})
	w.Close()
	r, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if _, err := r.Next(); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "v9") {
		t.Errorf("%v", err)
	}
}

// A folder that can't be written costs a gap and nobody waits; once it can be, all goes on.
func TestUnwritableDirectoryIsAGap(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "capture")
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	w := NewWriter(dir, Limits{})
	for i := range 10 {
		w.Append(&Record{Step: &Step{Now: policyapi.Microseconds(i)}})
	}
	for end := time.Now().Add(5 * time.Second); w.Stats().Failed < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if s := w.Stats(); s.LastError == "" {
		t.Errorf("nothing is said: %+v", s)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); w.Stats().Records == 0 && time.Now().Before(end); {
		w.Append(&Record{Step: &Step{Now: 11}})
		time.Sleep(50 * time.Millisecond)
	}
	w.Close()
	got, _ := readAll(t, dir)
	if len(got) < 2 || got[0].Gap == nil || got[0].Gap.From != 1 || !strings.Contains(got[0].Gap.Reason, "not a directory") {
		t.Errorf("%+v", got[0])
	}
}

// child is the other side of the tests that kill: it writes a course and tells what the system has taken.
func TestChild(t *testing.T) {
	dir := os.Getenv("PORTHUB_CAPTURE_CHILD")
	if dir == "" {
		t.Skip("only as another test's child")
	}
	if n, err := strconv.Atoi(os.Getenv("PORTHUB_CAPTURE_LIMIT")); err == nil {
		// No file may be larger: what a full disk does to a write, with a part of it written.
		signal.Ignore(syscall.SIGXFSZ)
		lim := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &lim); err != nil {
			t.Fatal(err)
		}
	}
	seed, _ := strconv.Atoi(os.Getenv("PORTHUB_CAPTURE_SEED"))
	w := NewWriter(dir, Limits{SegmentBytes: 16 << 10, MaxBytes: 1 << 30})
	told := uint64(0)
	runScenario(uint64(seed), fmt.Sprint("e", seed), 4000, func(r *Record) {
		w.Append(r)
		if taken := w.Written(); taken != told {
			told = taken
			fmt.Println("taken", told)
		}
		time.Sleep(200 * time.Microsecond)
	})
	w.Close()
	s := w.Stats()
	fmt.Println("end", s.Gaps, s.Lost, s.Failed)
}

func startChild(t *testing.T, dir string, seed int, env ...string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestChild$", "-test.v")
	cmd.Env = append(append(os.Environ(), "PORTHUB_CAPTURE_CHILD="+dir, fmt.Sprint("PORTHUB_CAPTURE_SEED=", seed)), env...)
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

// Killed at drawn points: no record that the system had taken is lost, the store opens, and what is read replays to the
// same orders. PORTHUB_KILLS sets how many points; CI takes few.
func TestKilledWriterLosesNoWrittenRecord(t *testing.T) {
	kills := 12
	if n, err := strconv.Atoi(os.Getenv("PORTHUB_KILLS")); err == nil {
		kills = n
	}
	rng := rand.New(rand.NewPCG(14, 14))
	torn, orders := 0, 0
	dir := t.TempDir()
	for kill := range kills {
		if kill%10 == 0 {
			dir = t.TempDir() // ten starts beside each other
		}
		cmd, lines := startChild(t, dir, kill)
		time.Sleep(time.Duration(rng.IntN(300_000)) * time.Microsecond)
		_ = cmd.Process.Kill()
		taken := uint64(0)
		for lines.Scan() {
			if n, found := strings.CutPrefix(lines.Text(), "taken "); found {
				taken, _ = strconv.ParseUint(n, 10, 64)
			}
		}
		_ = cmd.Wait()
		r, err := Open(dir)
		if err != nil {
			if taken == 0 {
				continue // killed before the first write
			}
			t.Fatalf("kill %d: %v", kill, err)
		}
		last, epoch := uint64(0), ""
		v, err := Replay(r, "test", func(rec *Record, _ *coordinator.Core, _ []coordinator.Output) bool {
			if rec.Start != nil {
				epoch = rec.Start.Settings.Epoch
			}
			if last = rec.Seq; epoch != fmt.Sprint("e", kill) {
				last = 0
			}
			return true
		})
		r.Close()
		if err != nil || len(v.Gaps) > 0 || v.Incomplete() || last < taken || v.Mismatches > 0 {
			t.Fatalf("kill %d: record %d was taken, %d is the last, %+v, %v", kill, taken, last, v, err)
		}
		torn, orders = torn+len(v.Damages), orders+v.Orders
	}
	t.Logf("%d kills, %d torn ends, %d orders replayed", kills, torn, orders)
}

// A disk that takes no more, with a part of a write written: the process goes on, the gaps are told, and everything
// that is no gap reads as it was written.
func TestFullDiskLeavesGaps(t *testing.T) {
	dir := t.TempDir()
	cmd, lines := startChild(t, dir, 1, "PORTHUB_CAPTURE_LIMIT=9000")
	end := ""
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "end ") {
			end = lines.Text()
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("the process did not go on: %v", err)
	}
	var gaps, lost, failed int
	if n, _ := fmt.Sscanf(end, "end %d %d %d", &gaps, &lost, &failed); n != 3 || failed == 0 {
		t.Fatalf("no write failed: %q", end)
	}
	got, r := readAll(t, dir)
	noted := 0
	for _, rec := range got {
		if rec.Gap != nil {
			noted++
		}
	}
	if len(got) < 100 || noted == 0 || len(r.Damages) > 0 {
		t.Errorf("%d records, %d gaps noted, %d by the writer, %v", len(got), noted, gaps, r.Damages)
	}
}
