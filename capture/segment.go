package capture

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// The layout of a segment: its magic and then blocks. Each block has a header and a body, which is a zstd frame. All numbers
// are little-endian.
const (
	segmentSuffix     = ".cap"
	segmentMagic      = "PHCAP01\n"
	segmentHeaderSize = int64(len(segmentMagic))

	blockMagic      = 0x314b4c42        // "BLK1"
	blockHeaderSize = 4 + 4 + 4 + 4 + 8 // magic, checksum, length of the body, records, number of the first record
	checksummedFrom = 4 + 4             // offset in a block: the checksum covers all bytes from here on
	maxBlockSize    = 256 << 20         // bytes of a body, compressed or not: a damaged length must not exhaust memory
)

// crcTable is the table of CRC-32C, which processors compute in hardware.
var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Segment is one file of a capture.
type Segment struct {
	Number int // by the file's name; 0 if the segment was opened by its path
	Path   string
	Bytes  int64
}

// Segments lists the segments of a directory, the oldest first. Other files are ignored.
func Segments(dir string) ([]Segment, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var out []Segment
	for _, entry := range entries {
		name, isSegment := strings.CutSuffix(entry.Name(), segmentSuffix)
		number, err := strconv.Atoi(name)
		if !isSegment || err != nil {
			continue
		}
		info, err := entry.Info()
		if err != nil {
			continue // removed by the writer in the meantime
		}
		out = append(out, Segment{Number: number, Path: filepath.Join(dir, entry.Name()), Bytes: info.Size()})
	}
	slices.SortFunc(out, func(a, b Segment) int { return a.Number - b.Number })
	return out, nil
}

// blockHeader holds the fields of a block's header that the reader uses.
type blockHeader struct {
	checksum uint32
	bodySize int64
}

// putBlockHeader fills the header of a block whose body follows in the same slice.
func putBlockHeader(block []byte, records int, firstRecord uint64) {
	binary.LittleEndian.PutUint32(block, blockMagic)
	binary.LittleEndian.PutUint32(block[8:], uint32(len(block)-blockHeaderSize))
	binary.LittleEndian.PutUint32(block[12:], uint32(records))
	binary.LittleEndian.PutUint64(block[16:], firstRecord)
	binary.LittleEndian.PutUint32(block[4:], crc32.Checksum(block[checksummedFrom:], crcTable))
}

// parseBlockHeader parses a block's header. ok is false if data does not begin with the magic of a block.
func parseBlockHeader(data []byte) (header blockHeader, ok bool) {
	if binary.LittleEndian.Uint32(data) != blockMagic {
		return blockHeader{}, false
	}
	return blockHeader{
		checksum: binary.LittleEndian.Uint32(data[4:]),
		bodySize: int64(binary.LittleEndian.Uint32(data[8:])),
	}, true
}
