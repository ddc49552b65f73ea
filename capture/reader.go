package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Damage is a place of a segment that can't be read. What stands there is lost, what comes after is not.
type Damage struct {
	Segment string `json:"segment"`
	Offset  int64  `json:"offset"`
	Bytes   int64  `json:"bytes"`
	Problem string `json:"what"`
	// Torn: it is the end of a segment, as a killed process leaves it, and nothing that was taken is lost.
	Torn bool `json:"torn"`
}

// Reader reads a capture, a block at a time: it may be larger than memory.
type Reader struct {
	segments []Segment
	at       int // in segments
	text     *os.File
	offset   int64
	size     int64
	decoder  *zstd.Decoder
	pending  []byte // of the block that is being read
	next     uint64 // expected record; 0: not known
	held     *Record
	number   int // of the last segment read
	// Damages found so far.
	Damages []Damage
	// Records and bytes read so far.
	Records int64
	Bytes   int64
}

// Open reads a folder of segments, or one segment.
func Open(path string) (*Reader, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	r := &Reader{at: -1}
	if info.IsDir() {
		if r.segments, err = Segments(path); err != nil {
			return nil, err
		}
		if len(r.segments) == 0 {
			return nil, fmt.Errorf("capture: %s holds no segments (*%s)", path, segmentSuffix)
		}
	} else {
		r.segments = []Segment{{0, path, info.Size()}}
	}
	r.decoder, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockSize))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return r, nil
}

// Close ends reading.
func (r *Reader) Close() {
	if r.text != nil {
		_ = r.text.Close()
	}
	r.decoder.Close()
}

// Next is the next record; io.EOF ends them. Where records are missing it returns a Gap in their place.
func (r *Reader) Next() (*Record, error) {
	if rec := r.held; rec != nil {
		r.held = nil
		return rec, nil
	}
	for {
		if len(r.pending) == 0 {
			if err := r.block(); err != nil {
				return nil, err
			}
			continue
		}
		rec, err := r.take()
		if err != nil {
			return nil, err
		}
		r.Records++
		switch {
		case rec.Start != nil:
			r.next = rec.Seq + 1
			return rec, nil
		case rec.Gap != nil:
			r.next = rec.Gap.To + 1
			return rec, nil
		case r.next > 0 && rec.Seq > r.next || r.next == 0 && rec.Seq > 1:
			gap := &Record{Seq: r.next, Gap: &Gap{From: max(1, r.next), To: rec.Seq - 1, Reason: "not in this capture"}}
			if r.next > 0 && len(r.Damages) > 0 && !r.Damages[len(r.Damages)-1].Torn {
				gap.Gap.Reason = "damaged"
			}
			r.held, r.next = rec, rec.Seq+1
			return gap, nil
		}
		r.next = rec.Seq + 1
		return rec, nil
	}
}

// take reads one record of a block whose checksum was right: what is wrong here was written so.
func (r *Reader) take() (*Record, error) {
	if len(r.pending) < 8 {
		return nil, fmt.Errorf("%w: a block ends within a record", ErrFormat)
	}
	n, sum := binary.LittleEndian.Uint32(r.pending), binary.LittleEndian.Uint32(r.pending[4:])
	if uint64(n) > uint64(len(r.pending)-8) {
		return nil, fmt.Errorf("%w: a record of %d bytes in %d", ErrFormat, n, len(r.pending)-8)
	}
	text := r.pending[8 : 8+n]
	r.pending = r.pending[8+n:]
	if crc32.Checksum(text, crcTable) != sum {
		return nil, fmt.Errorf("%w: a record's checksum is wrong", ErrFormat)
	}
	rec := &Record{}
	if err := cbor.Unmarshal(text, rec); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if rec.Start != nil && rec.Start.Format > Format {
		return nil, fmt.Errorf("%w: format %d, written by build %s; this build reads up to %d: use that build", ErrFormat, rec.Start.Format,
			rec.Start.Build, Format)
	}
	return rec, nil
}

// block reads the next block that is whole, in this segment or the next.
func (r *Reader) block() error {
	for {
		if r.text == nil {
			if r.at++; r.at >= len(r.segments) {
				return io.EOF
			}
			s := r.segments[r.at]
			f, err := os.Open(s.Path)
			if err != nil {
				return fmt.Errorf("capture: %w", err)
			}
			info, err := f.Stat()
			if err != nil {
				return fmt.Errorf("capture: %w", err)
			}
			r.text, r.offset, r.size = f, 0, info.Size()
			if r.number > 0 && s.Number > r.number+1 {
				r.Damages = append(r.Damages, Damage{s.Path, 0, 0, fmt.Sprintf("%d segments before it are missing", s.Number-r.number-1), false})
				r.next = 0
			}
			r.number = s.Number
			magic := make([]byte, len(segmentMagic))
			if _, err := f.ReadAt(magic, 0); err != nil || string(magic) != segmentMagic {
				if r.size < int64(len(segmentMagic)) {
					r.damage(r.size, "no head", true)
				} else {
					r.damage(int64(len(segmentMagic)), "another head: no capture, or a damaged one", false)
				}
			}
			r.offset = int64(len(segmentMagic))
		}
		if r.offset >= r.size {
			_ = r.text.Close()
			r.text = nil
			continue
		}
		body, whole, why := r.read(r.offset)
		if why == "" {
			r.offset += whole
			r.Bytes += whole
			r.pending = body
			return nil
		}
		r.skip(why)
	}
}

// endsWithin begins what is said of a segment whose writer was killed.
const endsWithin = "it ends within "

// read reads the block at an offset; why says what is wrong with it.
func (r *Reader) read(offset int64) (body []byte, whole int64, why string) {
	head := make([]byte, blockHeaderSize)
	if _, err := r.text.ReadAt(head, offset); err != nil {
		return nil, 0, endsWithin + "a block's head"
	}
	if binary.LittleEndian.Uint32(head) != blockMagic {
		return nil, 0, "no block begins here"
	}
	n := int64(binary.LittleEndian.Uint32(head[8:]))
	if n > maxBlockSize {
		return nil, 0, fmt.Sprintf("a block of %d bytes", n)
	}
	if offset+blockHeaderSize+n > r.size {
		return nil, 0, endsWithin + "a block"
	}
	text := make([]byte, blockHeaderSize-8+n)
	if _, err := r.text.ReadAt(text, offset+8); err != nil {
		return nil, 0, err.Error()
	}
	if crc32.Checksum(text, crcTable) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, 0, "a block's checksum is wrong"
	}
	body, err := r.decoder.DecodeAll(text[blockHeaderSize-8:], nil)
	if err != nil {
		return nil, 0, "a block can't be decompressed: " + err.Error()
	}
	return body, blockHeaderSize + n, ""
}

// skip goes on to the next whole block of the segment, or to its end.
func (r *Reader) skip(why string) {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], blockMagic)
	buf := make([]byte, 1<<20)
	for from := r.offset + 1; from < r.size; {
		n, err := r.text.ReadAt(buf, from)
		for i := 0; ; {
			j := bytes.Index(buf[i:n], magic[:])
			if j < 0 {
				break
			}
			if _, _, wrong := r.read(from + int64(i+j)); wrong == "" {
				r.damage(from+int64(i+j)-r.offset, why, false)
				r.offset = from + int64(i+j)
				return
			}
			i += j + 1
		}
		if errors.Is(err, io.EOF) || n <= len(magic) {
			break
		}
		from += int64(n - len(magic) + 1)
	}
	r.damage(r.size-r.offset, why, strings.HasPrefix(why, endsWithin))
	r.offset = r.size
}

func (r *Reader) damage(bytes int64, what string, torn bool) {
	r.Damages = append(r.Damages, Damage{r.segments[r.at].Path, r.offset, bytes, what, torn})
}
