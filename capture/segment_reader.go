package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"

	"github.com/klauspost/compress/zstd"
)

// segmentReader reads the blocks of one segment.
type segmentReader struct {
	path    string
	file    *os.File
	size    int64 // of the file when it was opened
	offset  int64 // of the next block
	decoder *zstd.Decoder
}

func openSegment(path string, decoder *zstd.Decoder) (*segmentReader, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	info, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("capture: %w", err)
	}
	return &segmentReader{path: path, file: file, size: info.Size(), decoder: decoder}, nil
}

func (s *segmentReader) close() { _ = s.file.Close() }

func (s *segmentReader) atEnd() bool { return s.offset >= s.size }

// checkHeader positions the reader after the segment's magic. If the magic is missing or wrong, ok is false and damage says why.
func (s *segmentReader) checkHeader() (damage Damage, ok bool) {
	s.offset = segmentHeaderSize
	head := make([]byte, segmentHeaderSize)
	if _, err := s.file.ReadAt(head, 0); err == nil && string(head) == segmentMagic {
		return Damage{}, true
	}
	if s.size < segmentHeaderSize {
		return Damage{Segment: s.path, Bytes: s.size, Problem: "the segment ends within its header", Truncated: true}, false
	}
	return Damage{Segment: s.path, Bytes: segmentHeaderSize, Problem: "wrong segment magic: not a capture, or a damaged one"}, false
}

// readBlock reads the block at an offset and returns its decompressed body and its size in the file. Its errors are of type
// *[DamageError].
func (s *segmentReader) readBlock(offset int64) (body []byte, size int64, err error) {
	head := make([]byte, blockHeaderSize)
	if _, err := s.file.ReadAt(head, offset); err != nil {
		return nil, 0, &DamageError{Problem: "it ends within a block's header", Truncated: true, cause: err}
	}
	header, ok := parseBlockHeader(head)
	if !ok {
		return nil, 0, &DamageError{Problem: "no block begins here"}
	}
	if header.bodySize > maxBlockSize {
		return nil, 0, &DamageError{Problem: fmt.Sprintf("the length of a block, %d bytes, exceeds the limit", header.bodySize)}
	}
	size = blockHeaderSize + header.bodySize
	if offset+size > s.size {
		return nil, 0, &DamageError{Problem: "it ends within a block", Truncated: true}
	}
	data := make([]byte, size-checksummedFrom)
	if _, err := s.file.ReadAt(data, offset+checksummedFrom); err != nil {
		return nil, 0, &DamageError{Problem: err.Error(), cause: err}
	}
	if crc32.Checksum(data, crcTable) != header.checksum {
		return nil, 0, &DamageError{Problem: "a block's checksum is wrong"}
	}
	body, err = s.decoder.DecodeAll(data[blockHeaderSize-checksummedFrom:], nil)
	if err != nil {
		return nil, 0, &DamageError{Problem: "a block can't be decompressed: " + err.Error(), cause: err}
	}
	return body, size, nil
}

// skipDamage moves to the next intact block of the segment, or to its end, and returns what was skipped
// and the reason.
func (s *segmentReader) skipDamage(reason error) Damage {
	damage := Damage{Segment: s.path, Offset: s.offset, Problem: reason.Error()}
	next, found := s.findBlock(s.offset + 1)
	if !found {
		var problem *DamageError
		damage.Truncated = errors.As(reason, &problem) && problem.Truncated
		next = s.size
	}
	damage.Bytes = next - s.offset
	s.offset = next
	return damage
}

// findBlock returns the offset of the first intact block at or after an offset.
func (s *segmentReader) findBlock(from int64) (offset int64, found bool) {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], blockMagic)
	buffer := make([]byte, 1<<20)
	for from < s.size {
		n, err := s.file.ReadAt(buffer, from)
		for start := 0; ; {
			i := bytes.Index(buffer[start:n], magic[:])
			if i < 0 {
				break
			}
			candidate := from + int64(start+i)
			if _, _, err := s.readBlock(candidate); err == nil {
				return candidate, true
			}
			start += i + 1
		}
		if errors.Is(err, io.EOF) || n <= len(magic) {
			return 0, false
		}
		from += int64(n - len(magic) + 1) // the magic of a block may cross the end of the buffer
	}
	return 0, false
}
