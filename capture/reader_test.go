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

// A segment cut off anywhere, as a killed process leaves it, opens and returns all records before the cut.
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
				t.Fatalf("cut at %d: record %d is %+v", n, i, record)
			}
		}
		if len(got) < before || len(r.Damages) > 1 || len(r.Damages) == 1 && !r.Damages[0].Truncated {
			t.Fatalf("cut at %d: %d records, %d before, %v", n, len(got), before, r.Damages)
		}
		before = len(got)
	}
	if before < len(all)-1 {
		t.Errorf("%d records of %d at the end", before, len(all))
	}
}

// A flipped bit anywhere costs its block and no more, is reported, and never gives a record that was not written.
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
			t.Fatalf("bit at %d: %v", position, r.Damages)
		}
		missing := uint64(0)
		for _, record := range got {
			if record.Gap != nil {
				missing += record.Gap.To - record.Gap.From + 1
				continue
			}
			if !reflect.DeepEqual(record, all[record.Seq-1]) {
				t.Fatalf("bit at %d: record %d is not what was written", position, record.Seq)
			}
		}
		if position >= len(segmentMagic) && missing > 1 {
			t.Fatalf("bit at %d: %d records are missing", position, missing)
		}
	}
}

// A segment that was lost is a gap; from the next start on steps are compared again.
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
		t.Fatalf("only %d segments", len(segments))
	}
	if err := os.Remove(segments[1].Path); err != nil {
		t.Fatal(err)
	}
	result := replayCapture(t, dir)
	if len(result.Gaps) != 1 || result.Starts != 2 || result.Skipped == 0 || !result.Incomplete() || result.Mismatches > 0 {
		t.Errorf("%+v", result)
	}
}

// A newer format is distinguished from damage, and the error names the build that wrote it.
func TestNewerFormatIsRejected(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{})
	w.Append(&Record{Start: &Start{Format: Format + 1, Build: "v9"}})
	w.Close()
	_, err := openCapture(t, dir).Next()
	var newer *NewerFormatError
	if !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "v9") || !errors.As(err, &newer) || newer.Format != Format+1 || newer.Build != "v9" {
		t.Errorf("%v", err)
	}
}

func TestOpenOfDirectoryWithoutSegmentsFails(t *testing.T) {
	if _, err := Open(t.TempDir()); !errors.Is(err, ErrNoSegments) {
		t.Errorf("%v, want %v", err, ErrNoSegments)
	}
}
