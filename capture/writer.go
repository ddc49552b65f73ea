package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Limits bound what a capture costs.
type Limits struct {
	MaxBytes     int64         // bytes of all segments; the oldest go first
	SegmentBytes int64         // bytes of one, about
	SegmentAge   time.Duration // of one
	QueueLength  int           // records that wait for the disk; more are a gap
}

// Defaults fill what is left out.
func (l Limits) Defaults() Limits {
	if l.MaxBytes == 0 {
		l.MaxBytes = 1 << 30
	}
	if l.SegmentBytes == 0 {
		l.SegmentBytes = min(64<<20, l.MaxBytes/8)
	}
	if l.SegmentAge == 0 {
		l.SegmentAge = time.Hour
	}
	if l.QueueLength == 0 {
		l.QueueLength = 4096
	}
	return l
}

// Stats are a writer's counts since its start.
type Stats struct {
	Records   int64  `json:"records"` // that the system has taken
	Bytes     int64  `json:"bytes"`
	Lost      int64  `json:"lost"` // records of gaps
	Gaps      int64  `json:"gaps"`
	Failed    int64  `json:"failed"` // writes
	Removed   int64  `json:"segments_removed"`
	BusyUS    int64  `json:"busy_us"` // time spent on encoding and writing
	LastError string `json:"why,omitempty"`
}

// Writer appends records to a folder of segments. Put never waits: what the disk can't keep up with, or refuses, is a
// gap, written as such once it can be.
type Writer struct {
	dir    string
	limits Limits
	queue  chan *Record
	done   chan struct{}
	once   sync.Once

	lost  atomic.Int64 // since the last gap was written
	last  atomic.Uint64
	taken atomic.Uint64 // the last record that the system has

	// Of the goroutine that writes.
	file    *os.File
	number  int
	size    int64
	opened  time.Time
	encoder *zstd.Encoder
	retryAt time.Time
	next    uint64 // the record that should come next
	gapFrom uint64

	mu    sync.Mutex
	stats Stats
}

// A block: what a write holds. All numbers are little-endian.
const (
	segmentMagic    = "PHCAP01\n"
	blockMagic      = 0x314b4c42 // "BLK1"
	blockHeaderSize = 4 + 4 + 4 + 4 + 8
	maxBlockSize    = 256 << 20 // bytes of one, decoded or not
	segmentSuffix   = ".cap"
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// How many records make a block at most, how long one waits for more, and how long a refused write is not tried again.
const (
	maxBatchRecords = 128
	maxBatchWait    = 50 * time.Millisecond
	writeRetryDelay = time.Second
)

// NewWriter begins a new segment in a folder, beside what an earlier process left. Where it can't, that is tried again and
// again, and what comes meanwhile is a gap.
func NewWriter(dir string, limits Limits) *Writer {
	w := &Writer{dir: dir, limits: limits.Defaults(), done: make(chan struct{}), next: 1}
	w.queue = make(chan *Record, w.limits.QueueLength)
	var err error
	if w.encoder, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1)); err != nil {
		panic(err) // only bad options are errors
	}
	if err := w.open(); err != nil { // said at once, and tried again with the first record
		w.count(func(s *Stats) { s.Failed, s.LastError = s.Failed+1, err.Error() })
	}
	go w.run()
	return w
}

// SegmentBytes is one file of a capture.
type Segment struct {
	Number int
	Path   string
	Bytes  int64
}

// Segments lists a folder's segments, the oldest first.
func Segments(dir string) (out []Segment, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	for _, e := range entries {
		n, err := strconv.Atoi(strings.TrimSuffix(e.Name(), segmentSuffix))
		if err != nil || !strings.HasSuffix(e.Name(), segmentSuffix) {
			continue
		}
		info, err := e.Info()
		if err != nil {
			continue // removed meanwhile
		}
		out = append(out, Segment{n, filepath.Join(dir, e.Name()), info.Size()})
	}
	slices.SortFunc(out, func(a, b Segment) int { return a.Number - b.Number })
	return out, nil
}

// Append hands a record over and numbers it. It never waits. What the record holds must not be changed after.
func (w *Writer) Append(r *Record) uint64 {
	r.Seq = w.last.Add(1)
	select {
	case w.queue <- r:
	default:
		w.lost.Add(1)
	}
	return r.Seq
}

// Written is the last record that the system has taken: a killed process loses none up to it.
func (w *Writer) Written() uint64 { return w.taken.Load() }

// Stats returns the counts.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Close writes what waits.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.queue) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for r := range w.queue {
		batch := []*Record{r}
		timer := time.NewTimer(maxBatchWait)
	gather:
		for len(batch) < maxBatchRecords {
			select {
			case r, more := <-w.queue:
				if !more {
					break gather
				}
				batch = append(batch, r)
			case <-timer.C:
				break gather
			}
		}
		timer.Stop()
		began := time.Now()
		w.write(batch)
		w.count(func(s *Stats) { s.BusyUS += time.Since(began).Microseconds() })
	}
	if w.file != nil {
		_ = w.file.Close()
	}
}

func (w *Writer) count(do func(*Stats)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do(&w.stats)
}

// write appends a batch as one block. Where numbers are missing, or an earlier batch could not be written, it begins
// with the gap.
func (w *Writer) write(batch []*Record) {
	first := batch[0].Seq
	if w.gapFrom == 0 && first > w.next {
		w.gapFrom = w.next
	}
	w.next = batch[len(batch)-1].Seq + 1
	if time.Now().Before(w.retryAt) {
		w.miss(first, "")
		return
	}
	var body bytes.Buffer
	records := 0
	put := func(r *Record) error {
		at := body.Len()
		body.Write(make([]byte, 8))
		if err := r.encode(&body); err != nil {
			body.Truncate(at)
			return err
		}
		head, text := body.Bytes()[at:at+8], body.Bytes()[at+8:]
		binary.LittleEndian.PutUint32(head, uint32(len(text)))
		binary.LittleEndian.PutUint32(head[4:], crc32.Checksum(text, crcTable))
		records++
		return nil
	}
	var err error
	if w.gapFrom > 0 {
		err = put(&Record{Seq: w.gapFrom, Gap: &Gap{From: w.gapFrom, To: first - 1, Reason: w.why()}})
	}
	expect := first
	for _, r := range batch {
		if err == nil && r.Seq > expect { // some were turned away while this batch was gathered
			err = put(&Record{Seq: expect, Gap: &Gap{From: expect, To: r.Seq - 1, Reason: "more came than could be written"}})
			w.count(func(s *Stats) { s.Gaps, s.Lost = s.Gaps+1, s.Lost+int64(r.Seq-expect) })
		}
		if err == nil {
			err = put(r)
		}
		expect = r.Seq + 1
	}
	if err == nil {
		err = w.append(body.Bytes(), records, first)
	}
	if err != nil {
		w.miss(first, err.Error())
		w.retryAt = time.Now().Add(writeRetryDelay)
		return
	}
	if w.gapFrom > 0 {
		missing := int64(first - w.gapFrom)
		w.count(func(s *Stats) { s.Gaps, s.Lost = s.Gaps+1, s.Lost+missing })
		w.gapFrom = 0
	}
	w.taken.Store(batch[len(batch)-1].Seq)
	w.count(func(s *Stats) { s.Records, s.LastError = s.Records+int64(len(batch)), "" })
}

func (w *Writer) why() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stats.LastError != "" {
		return w.stats.LastError
	}
	return "more came than could be written"
}

// miss makes a batch part of the gap.
func (w *Writer) miss(first uint64, why string) {
	if w.gapFrom == 0 {
		w.gapFrom = first
	}
	if why != "" {
		w.count(func(s *Stats) { s.Failed, s.LastError = s.Failed+1, why })
	}
}

func (w *Writer) append(body []byte, records int, first uint64) error {
	if w.file != nil && (w.size >= w.limits.SegmentBytes || time.Since(w.opened) >= w.limits.SegmentAge) {
		_ = w.file.Close()
		w.file = nil
	}
	if w.file == nil {
		if err := w.open(); err != nil {
			return err
		}
	}
	block := make([]byte, blockHeaderSize, blockHeaderSize+len(body)/4)
	block = w.encoder.EncodeAll(body, block)
	binary.LittleEndian.PutUint32(block, blockMagic)
	binary.LittleEndian.PutUint32(block[8:], uint32(len(block)-blockHeaderSize))
	binary.LittleEndian.PutUint32(block[12:], uint32(records))
	binary.LittleEndian.PutUint64(block[16:], first)
	binary.LittleEndian.PutUint32(block[4:], crc32.Checksum(block[8:], crcTable))
	n, err := w.file.Write(block)
	if err != nil {
		// A part of a block must not stand before the next one, and a file that can't grow is left for another.
		if cerr := w.file.Truncate(w.size); cerr != nil || w.size > int64(len(segmentMagic)) {
			_ = w.file.Close()
			w.file = nil
		} else if _, serr := w.file.Seek(w.size, 0); serr != nil {
			_ = w.file.Close()
			w.file = nil
		}
		w.budget() // a full disk may have room again
		return err
	}
	w.size += int64(n)
	w.count(func(s *Stats) { s.Bytes += int64(n) })
	return nil
}

// open begins a segment.
func (w *Writer) open() error {
	if err := os.MkdirAll(w.dir, 0o755); err != nil {
		return err
	}
	segments, err := Segments(w.dir)
	if err != nil {
		return err
	}
	if n := len(segments); n > 0 {
		w.number = max(w.number, segments[n-1].Number)
	}
	for {
		w.number++
		f, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("%08d%s", w.number, segmentSuffix)), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return err
		}
		if _, err := f.WriteString(segmentMagic); err != nil {
			_ = f.Close()
			_ = os.Remove(f.Name())
			return err
		}
		w.file, w.size, w.opened = f, int64(len(segmentMagic)), time.Now()
		w.budget()
		return nil
	}
}

// budget removes the oldest segments until all fit.
func (w *Writer) budget() {
	segments, err := Segments(w.dir)
	if err != nil {
		return
	}
	total := int64(0)
	for _, s := range segments {
		total += s.Bytes
	}
	for _, s := range segments {
		if total+w.limits.SegmentBytes <= w.limits.MaxBytes || s.Number == w.number {
			return
		}
		if os.Remove(s.Path) == nil {
			total -= s.Bytes
			w.count(func(st *Stats) { st.Removed++ })
		}
	}
}
