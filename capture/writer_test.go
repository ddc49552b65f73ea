package capture

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"porthub/policyapi"
)

// Records that come faster than they can be written become gaps, which cover every lost record. Append does not wait.
func TestQueueOverflowIsAGap(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{QueueLength: 2})
	for i := range 20000 {
		w.Append(&Record{Step: &Step{Now: policyapi.Microseconds(i)}})
	}
	time.Sleep(100 * time.Millisecond)
	last := w.Append(&Record{End: &End{}})
	w.Close()
	got, _ := readAll(t, dir)
	next := uint64(1)
	lost := uint64(0)
	for _, record := range got {
		if record.Seq != next {
			t.Fatalf("got record %d after %d, want no number left out", record.Seq, next-1)
		}
		next = record.Seq + 1
		if record.Gap != nil {
			next = record.Gap.To + 1
			lost += record.Gap.To - record.Gap.From + 1
		}
	}
	if stats := w.Stats(); next != last+1 || lost == 0 || stats.Lost != int64(lost) {
		t.Errorf("read up to record %d of %d, %d lost in gaps, writer counts %+v; want all records, some in gaps, and equal losses", next-1, last, lost, stats)
	}
}

// The oldest segments are removed at the limit. The rest can be read, and begins with a gap.
func TestOldestSegmentsAreRemovedAtTheLimit(t *testing.T) {
	dir := t.TempDir()
	limits := Limits{SegmentBytes: 4 << 10, MaxBytes: 24 << 10}
	w := NewWriter(dir, limits)
	runScenario(1, "e", 1500, func(r *Record) {
		w.Append(r)
		if r.Seq%20 == 0 {
			waitWritten(w, r.Seq)
		}
	})
	w.Close()
	segments := listSegments(t, dir)
	total := int64(0)
	for _, segment := range segments {
		total += segment.Bytes
	}
	if total > limits.MaxBytes || w.Stats().Removed == 0 {
		t.Errorf("got %d bytes in %d segments, %d removed; want at most the limit, and some removed", total, len(segments), w.Stats().Removed)
	}
	got, _ := readAll(t, dir)
	if len(got) < 50 || got[0].Gap == nil {
		t.Errorf("got %d records, the first %+v; want at least 50, the first a gap", len(got), got[0])
	}
}

// While the directory can't be written, records become a gap and Append does not wait. Writing resumes once it can be written.
func TestUnwritableDirectoryIsAGap(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "capture")
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	w := NewWriter(dir, Limits{})
	for i := range 10 {
		w.Append(&Record{Step: &Step{Now: policyapi.Microseconds(i)}})
	}
	for deadline := time.Now().Add(5 * time.Second); w.Stats().Failed < 2 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if stats := w.Stats(); stats.LastError == "" {
		t.Errorf("got counts %+v without an error, want the error of the last write", stats)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); w.Stats().Records == 0 && time.Now().Before(deadline); {
		w.Append(&Record{Step: &Step{Now: 11}})
		time.Sleep(50 * time.Millisecond)
	}
	w.Close()
	got, _ := readAll(t, dir)
	if len(got) < 2 || got[0].Gap == nil || got[0].Gap.From != 1 || !strings.Contains(got[0].Gap.Reason, "not a directory") {
		t.Errorf("the first record is %+v, want a gap from record 1 with the write error as its reason", got[0])
	}
}

// The segments stay within the limit on their total bytes, whatever the size of the blocks. (Regression: a segment ends with the
// block that exceeds the segment size, and the excess was not counted against the limit. Block sizes vary on a busy machine:
// TestOldestSegmentsAreRemovedAtTheLimit once got 24,959 bytes with a limit of 24,576.)
func TestLargeBlocksStayWithinTheLimit(t *testing.T) {
	for blockBytes := 100; blockBytes <= 6000; blockBytes += 100 {
		limits := Limits{SegmentBytes: 4 << 10, MaxBytes: 24 << 10, SegmentAge: time.Hour}
		dir, random := t.TempDir(), rand.New(rand.NewPCG(uint64(blockBytes), 1))
		w := newSegmentWriter(dir, limits, func() {})
		for block := range 40 {
			body := &blockBody{records: 1}
			for range blockBytes { // random bytes can't be compressed
				body.buffer.WriteByte(byte(random.IntN(256)))
			}
			if _, err := w.append(body, uint64(block)); err != nil {
				t.Fatal(err)
			}
			total := int64(0)
			for _, segment := range listSegments(t, dir) {
				total += segment.Bytes
			}
			if total > limits.MaxBytes {
				t.Fatalf("blocks of %d bytes: got %d bytes in all segments, want at most %d", blockBytes, total, limits.MaxBytes)
			}
		}
		w.close()
	}
}
