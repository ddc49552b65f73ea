package capture

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// A segment that is cut off at an arbitrary byte, as after a kill of the writing process, opens and returns all records before
// the cut.
func TestTruncatedSegmentKeepsRecordsBeforeTheCut(t *testing.T) {
	dir := t.TempDir()
	data := writeBlockPerRecord(t, dir, 2, 60)
	all, _ := readAll(t, dir)
	path := filepath.Join(t.TempDir(), "00000001.cap")
	before := 0
	for n := 0; n <= len(data); n += 1 + n/900 {
		writeFile(t, path, data[:n])
		got, r := readAll(t, path)
		for i, record := range got {
			if record.Seq != all[i].Seq || record.Gap != nil {
				t.Fatalf("cut at %d: record %d is %+v, want the one that was written", n, i, record)
			}
		}
		if len(got) < before || len(r.Damages) > 1 || len(r.Damages) == 1 && !r.Damages[0].Truncated {
			t.Fatalf("cut at %d: got %d records, %d at an earlier cut, damages %v; want no fewer, and one truncated end at most", n, len(got), before, r.Damages)
		}
		before = len(got)
	}
	if before < len(all)-1 {
		t.Errorf("got %d records of %d at the last cut, want all or all but one", before, len(all))
	}
}

// A flipped bit anywhere is reported as one damage and loses the records of one block at most. No record is read that was not
// written.
func TestFlippedBitCostsOneBlock(t *testing.T) {
	dir := t.TempDir()
	data := writeBlockPerRecord(t, dir, 3, 40)
	all, _ := readAll(t, dir)
	path := filepath.Join(t.TempDir(), "00000001.cap")
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		damaged := slices.Clone(data)
		position := rng.IntN(len(damaged))
		damaged[position] ^= 1 << rng.IntN(8)
		writeFile(t, path, damaged)
		got, r := readAll(t, path)
		if len(r.Damages) != 1 || r.Damages[0].Truncated && len(got) < len(all)-1 {
			t.Fatalf("bit at %d: got damages %v, want one", position, r.Damages)
		}
		missing := uint64(0)
		for _, record := range got {
			if record.Gap != nil {
				missing += record.Gap.To - record.Gap.From + 1
				continue
			}
			if !reflect.DeepEqual(record, all[record.Seq-1]) {
				t.Fatalf("bit at %d: record %d differs from the one that was written", position, record.Seq)
			}
		}
		if position >= len(segmentMagic) && missing > 1 {
			t.Fatalf("bit at %d: %d records are missing, want at most one", position, missing)
		}
	}
}

// A missing segment is read as a gap. Steps are compared again from the next start on.
func TestMissingSegmentIsAGap(t *testing.T) {
	dir := t.TempDir()
	limits := Limits{SegmentBytes: 4 << 10, MaxBytes: 1 << 30}
	for start := range 2 {
		w := NewWriter(dir, limits)
		runScenario(uint64(start), fmt.Sprint("e", start), 400, func(r *Record) {
			w.Append(r)
			if r.Seq%50 == 0 {
				waitWritten(w, r.Seq)
			}
		})
		w.Close()
	}
	segments := listSegments(t, dir)
	if len(segments) < 5 {
		t.Fatalf("got %d segments, want at least 5", len(segments))
	}
	if err := os.Remove(segments[1].Path); err != nil {
		t.Fatal(err)
	}
	result := replayCapture(t, dir)
	if len(result.Gaps) != 1 || result.Starts != 2 || result.Skipped == 0 || !result.Incomplete() || result.Mismatches > 0 {
		t.Errorf("got %+v, want one gap, 2 starts, skipped steps and no mismatches, and an incomplete capture", result)
	}
}

// A record of a newer format is an error that names the build that wrote it, and not damage.
func TestNewerFormatIsRejected(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{})
	w.Append(&Record{Start: &Start{Format: Format + 1, Build: "v9"}})
	w.Close()
	_, err := openCapture(t, dir).Next()
	var newer *NewerFormatError
	if !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "v9") || !errors.As(err, &newer) || newer.Format != Format+1 || newer.Build != "v9" {
		t.Errorf("got error %v, want a NewerFormatError of build v9", err)
	}
}

func TestOpenOfDirectoryWithoutSegmentsFails(t *testing.T) {
	if _, err := Open(t.TempDir()); !errors.Is(err, ErrNoSegments) {
		t.Errorf("got error %v, want %v", err, ErrNoSegments)
	}
}
