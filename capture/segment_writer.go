package capture

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/klauspost/compress/zstd"
)

// segmentWriter appends blocks to the newest segment of a directory, begins new segments and removes old ones. It is not
// safe for concurrent use.
type segmentWriter struct {
	dir     string
	limits  Limits
	encoder *zstd.Encoder
	// onRemove is called for each segment that is onRemove.
	onRemove func()

	file   *os.File  // nil if the next block begins a new segment
	number int       // number of the newest segment
	size   int64     // bytes written to file
	opened time.Time // when file was created
}

func newSegmentWriter(dir string, limits Limits, onRemove func()) *segmentWriter {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err) // only invalid options cause an error
	}
	return &segmentWriter{dir: dir, limits: limits, encoder: encoder, onRemove: onRemove}
}

// append writes a block and returns its size in bytes. After an error no later block follows a part of this one: the part is
// removed, or the segment is closed.
func (s *segmentWriter) append(body *blockBody, firstRecord uint64) (int, error) {
	if s.file != nil && s.segmentIsFull() {
		s.close()
	}
	if s.file == nil {
		if err := s.open(); err != nil {
			return 0, err
		}
	}
	data := body.buffer.Bytes()
	block := make([]byte, blockHeaderSize, blockHeaderSize+len(data)/4)
	block = s.encoder.EncodeAll(data, block)
	putBlockHeader(block, body.records, firstRecord)
	if size := int64(len(block)); s.size+size > s.limits.SegmentBytes {
		s.enforceLimit(size) // open made room for a segment of SegmentBytes: this block exceeds it
	}
	n, err := s.file.Write(block)
	if err != nil {
		s.discardPartialBlock()
		s.enforceLimit(s.limits.SegmentBytes) // removing old segments may free space on a full disk
		return 0, err
	}
	s.size += int64(n)
	return n, nil
}

func (s *segmentWriter) segmentIsFull() bool {
	return s.size >= s.limits.SegmentBytes || time.Since(s.opened) >= s.limits.SegmentAge
}

// discardPartialBlock ensures that the next block does not follow a part of one. The segment is reused only if it has no blocks;
// otherwise the next block begins another one, since this one can't grow any more.
func (s *segmentWriter) discardPartialBlock() {
	err := s.file.Truncate(s.size)
	if err == nil && s.size <= segmentHeaderSize {
		_, err = s.file.Seek(s.size, io.SeekStart)
		if err == nil {
			return
		}
	}
	s.close()
}

// close closes the segment, if one is open. The next block begins another one.
func (s *segmentWriter) close() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}

// open begins a segment with a higher number than all existing ones.
func (s *segmentWriter) open() error {
	if err := os.MkdirAll(s.dir, 0o755); err != nil {
		return err
	}
	segments, err := Segments(s.dir)
	if err != nil {
		return err
	}
	if n := len(segments); n > 0 {
		s.number = max(s.number, segments[n-1].Number)
	}
	file, err := s.createNext()
	if err != nil {
		return err
	}
	if _, err := file.WriteString(segmentMagic); err != nil {
		_ = file.Close()
		_ = os.Remove(file.Name())
		return err
	}
	s.file = file
	s.size = segmentHeaderSize
	s.opened = time.Now()
	s.enforceLimit(s.limits.SegmentBytes)
	return nil
}

// createNext creates a segment's file with the next free number.
func (s *segmentWriter) createNext() (*os.File, error) {
	for {
		s.number++
		path := filepath.Join(s.dir, fmt.Sprintf("%08d%s", s.number, segmentSuffix))
		file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
		if !errors.Is(err, os.ErrExist) {
			return file, err
		}
	}
}

// enforceLimit removes the oldest segments, but never the newest one, until the capture and the additional bytes fit into the
// limit on all segments.
func (s *segmentWriter) enforceLimit(additional int64) {
	segments, err := Segments(s.dir)
	if err != nil {
		return
	}
	total := int64(0)
	for _, segment := range segments {
		total += segment.Bytes
	}
	for _, segment := range segments {
		if total+additional <= s.limits.MaxBytes || segment.Number == s.number {
			return
		}
		if os.Remove(segment.Path) == nil {
			total -= segment.Bytes
			s.onRemove()
		}
	}
}
