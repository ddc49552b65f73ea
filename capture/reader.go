package capture

import (
	"errors"
	"fmt"
	"io"
	"iter"
	"os"

	"github.com/klauspost/compress/zstd"

	"porthub/policyapi"
)

// Damage describes a part of a segment that can't be read. Its content is lost; reading continues after it.
type Damage struct {
	Segment string `json:"segment"`
	Offset  int64  `json:"offset"`
	Bytes   int64  `json:"bytes"`
	Problem string `json:"what"`
	// Truncated reports whether the part is the incomplete end of a segment, as after a kill of the writing process: no record
	// that was written completely is lost.
	Truncated bool `json:"torn"`
}

// Reader reads a capture block by block, since a capture may be larger than memory. It is not safe for concurrent use.
type Reader struct {
	segments []Segment
	index    int // of the segment being read
	segment  *segmentReader
	decoder  *zstd.Decoder

	pending     []byte  // the rest of the block being read
	expectedSeq uint64  // number of the next record; 0 if unknown
	deferred    *Record // the record after a gap that was returned; the next call returns it

	// Damages found so far.
	Damages []Damage
	// Records and Bytes read so far.
	Records int64
	Bytes   int64
}

// Open opens a directory of segments, or a single segment. The caller must close the reader. If a directory holds
// no segments, the error wraps [ErrNoSegments].
func Open(path string) (*Reader, error) {
	segments, err := segmentsAt(path)
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockSize))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return &Reader{segments: segments, index: -1, decoder: decoder}, nil
}

func segmentsAt(path string) ([]Segment, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	if !info.IsDir() {
		return []Segment{{Path: path, Bytes: info.Size()}}, nil
	}
	segments, err := Segments(path)
	if err != nil {
		return nil, err
	}
	if len(segments) == 0 {
		return nil, fmt.Errorf("capture: %w in %s: its files must be named *%s", ErrNoSegments, path, segmentSuffix)
	}
	return segments, nil
}

// Close releases the reader's file and decoder.
func (r *Reader) Close() {
	if r.segment != nil {
		r.segment.close()
		r.segment = nil
	}
	r.decoder.Close()
}

// All iterates over the remaining records. It ends after the last record, or after the first error.
func (r *Reader) All() iter.Seq2[*Record, error] {
	return func(yield func(*Record, error) bool) {
		for {
			record, err := r.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if !yield(record, err) || err != nil {
				return
			}
		}
	}
}

// Next returns the next record, or io.EOF after the last one. Where records are missing, it returns a [Gap] in
// their place. Its other errors wrap [ErrFormat] or are those of the file system.
func (r *Reader) Next() (*Record, error) {
	if record := r.deferred; record != nil {
		r.deferred = nil
		return record, nil
	}
	for len(r.pending) == 0 {
		if err := r.nextBlock(); err != nil {
			return nil, err
		}
	}
	record, rest, err := decodeRecord(r.pending)
	r.pending = rest
	if err != nil {
		return nil, err
	}
	r.Records++
	return r.checkSequence(record), nil
}

// checkSequence returns the record, or a gap in its place if records before it are missing.
func (r *Reader) checkSequence(record *Record) *Record {
	expected := r.expectedSeq
	if record.Gap != nil {
		r.expectedSeq = record.Gap.To + 1
		return record
	}
	r.expectedSeq = record.Seq + 1
	if record.Start != nil || record.Seq <= max(expected, 1) {
		return record
	}
	gap := gapRecord(max(1, expected), record.Seq-1, "not in this capture")
	gap.Seq = expected
	if expected > 0 && len(r.Damages) > 0 && !r.Damages[len(r.Damages)-1].Truncated {
		gap.Gap.Reason = "damaged"
	}
	r.deferred = record
	return gap
}

// nextBlock reads the next intact block, in this segment or a later one.
func (r *Reader) nextBlock() error {
	for {
		if r.segment == nil {
			if err := r.nextSegment(); err != nil {
				return err
			}
		}
		if r.segment.atEnd() {
			r.segment.close()
			r.segment = nil
			continue
		}
		body, size, err := r.segment.readBlock(r.segment.offset)
		if err == nil {
			r.segment.offset += size
			r.Bytes += size
			r.pending = body
			return nil
		}
		r.addDamage(r.segment.skipDamage(err))
	}
}

// nextSegment opens the next segment and checks its header. It returns io.EOF after the last segment.
func (r *Reader) nextSegment() error {
	r.index++
	if r.index >= len(r.segments) {
		return io.EOF
	}
	info := r.segments[r.index]
	segment, err := openSegment(info.Path, r.decoder)
	if err != nil {
		return err
	}
	r.segment = segment
	if missing := r.segmentsMissingBefore(r.index); missing > 0 {
		r.addDamage(Damage{Segment: info.Path, Problem: fmt.Sprintf("%d segments before it are missing", missing)})
		r.expectedSeq = 0
	}
	if damage, ok := segment.checkHeader(); !ok {
		r.addDamage(damage)
	}
	return nil
}

// segmentsMissingBefore counts the numbers that are missing between a segment and the previous one. Writers number segments
// from 1.
func (r *Reader) segmentsMissingBefore(index int) int {
	if index == 0 || r.segments[index-1].Number <= 0 {
		return 0
	}
	return max(0, r.segments[index].Number-r.segments[index-1].Number-1)
}

func (r *Reader) addDamage(damage Damage) { r.Damages = append(r.Damages, damage) }

// TimeRange reads the rest of a capture and returns the times of its first and last step; both are 0 if there is no step.
func TimeRange(r *Reader) (first, last policyapi.Microseconds, err error) {
	for record, err := range r.All() {
		if err != nil {
			return first, last, err
		}
		if record.Step == nil {
			continue
		}
		last = record.Step.Now
		if first == 0 {
			first = last
		}
	}
	return first, last, nil
}
