package capture

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound the disk space and the memory that a capture takes.
type Limits struct {
	MaxBytes     int64         // bytes of all segments; the oldest are removed first
	SegmentBytes int64         // bytes of one segment, approximately
	SegmentAge   time.Duration // age at which a segment is closed
	QueueLength  int           // records that may wait to be written; further ones become a gap
}

// WithDefaults returns the limits with zero fields set to their defaults.
func (l Limits) WithDefaults() Limits {
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

// Stats holds the counts of a writer since its start.
type Stats struct {
	Records          int64  `json:"records"` // written to the file system
	Bytes            int64  `json:"bytes"`
	Lost             int64  `json:"lost"` // records in gaps
	Gaps             int64  `json:"gaps"`
	Failed           int64  `json:"failed"` // failed writes
	Removed          int64  `json:"segments_removed"`
	BusyMicroseconds int64  `json:"busy_us"`       // microseconds spent on encoding and writing
	LastError        string `json:"why,omitempty"` // error of the last write; empty if it succeeded
}

const (
	// maxBatchRecords and maxBatchWait limit the records of a block and how long they wait: larger blocks compress better, but
	// a killed process loses more records.
	maxBatchRecords = 128
	maxBatchWait    = 50 * time.Millisecond
	// writeRetryDelay is how long no write is tried after a failed one, so that a full disk is not retried continuously.
	writeRetryDelay = time.Second
	// queueOverflow is the reason of a gap that is not due to a failed write: the queue was full.
	queueOverflow = "more came than could be written"
)

// Writer appends records to a directory of segments. It never blocks its caller: records that come faster than the disk writes
// them, or that can't be written, become a [Gap], which is recorded as soon as possible. Append, Written and Stats may be
// called concurrently.
type Writer struct {
	queue     chan *Record
	done      chan struct{} // closed when the writing goroutine has ended
	closeOnce sync.Once
	lastSeq   atomic.Uint64 // number of the last appended record
	written   atomic.Uint64 // number of the last record in the file system

	mu    sync.Mutex // guards stats
	stats Stats

	output outputState // used by the writing goroutine only
}

// outputState is the state of the writing goroutine.
type outputState struct {
	segments *segmentWriter
	retryAt  time.Time // no write is tried before this time
	nextSeq  uint64    // number expected of the first record of the next batch
	gapFrom  uint64    // first record of the gap that is not recorded yet; 0 if there is none
}

// NewWriter returns a writer that begins a new segment in a directory, beside those of earlier processes. If that fails, it is
// tried again with the next records, which become a gap until it succeeds. Close must be called: it ends the goroutine that
// NewWriter starts.
func NewWriter(dir string, limits Limits) *Writer {
	limits = limits.WithDefaults()
	w := &Writer{queue: make(chan *Record, limits.QueueLength), done: make(chan struct{})}
	w.output.nextSeq = 1
	w.output.segments = newSegmentWriter(dir, limits, func() { w.updateStats(func(s *Stats) { s.Removed++ }) })
	if err := w.output.segments.open(); err != nil {
		w.countFailure(err)
	}
	go w.run()
	return w
}

// Append numbers and queues a record and returns its number. It never blocks. The record and what it refers to must not be
// changed afterward. Append must not be called after Close.
func (w *Writer) Append(r *Record) uint64 {
	r.Seq = w.lastSeq.Add(1)
	select {
	case w.queue <- r:
	default: // the queue is full: the missing number becomes a gap with a later batch
	}
	return r.Seq
}

// Written returns the number of the last record in the file system. A kill of the process loses no record up to it.
func (w *Writer) Written() uint64 { return w.written.Load() }

// Stats returns the writer's counts.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Close writes the queued records and ends the writing goroutine. It may be called more than once.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.queue) })
	<-w.done
}

// run writes queued records in batches. It runs in the goroutine that NewWriter starts, until Close closes the queue.
func (w *Writer) run() {
	defer close(w.done)
	defer w.output.segments.close()
	for first := range w.queue {
		batch := w.gather(first)
		start := time.Now()
		w.writeBatch(batch)
		w.updateStats(func(s *Stats) { s.BusyMicroseconds += time.Since(start).Microseconds() })
	}
}

// gather collects records until the batch is full, maxBatchWait has passed, or the queue is closed.
func (w *Writer) gather(first *Record) []*Record {
	batch := []*Record{first}
	timer := time.NewTimer(maxBatchWait)
	defer timer.Stop()
	for len(batch) < maxBatchRecords {
		select {
		case r, open := <-w.queue:
			if !open {
				return batch
			}
			batch = append(batch, r)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// writeBatch appends a batch as one block. It begins with a gap if numbers are missing before it or an earlier batch
// could not be written.
func (w *Writer) writeBatch(batch []*Record) {
	output := &w.output
	first := batch[0].Seq
	last := batch[len(batch)-1].Seq
	if output.gapFrom == 0 && first > output.nextSeq {
		output.gapFrom = output.nextSeq
	}
	output.nextSeq = last + 1
	if time.Now().Before(output.retryAt) {
		output.extendGap(first)
		return
	}
	if err := w.writeBlock(batch); err != nil {
		output.extendGap(first)
		w.countFailure(err)
		output.retryAt = time.Now().Add(writeRetryDelay)
		return
	}
	if output.gapFrom > 0 {
		w.countGap(first - output.gapFrom)
		output.gapFrom = 0
	}
	w.written.Store(last)
	w.updateStats(func(s *Stats) {
		s.Records += int64(len(batch))
		s.LastError = ""
	})
}

// extendGap adds a batch that was not written to the gap. first is the number of the batch's first record.
func (g *outputState) extendGap(first uint64) {
	if g.gapFrom == 0 {
		g.gapFrom = first
	}
}

func (w *Writer) writeBlock(batch []*Record) error {
	body, err := w.encodeBatch(batch)
	if err != nil {
		return err
	}
	size, err := w.output.segments.append(body, batch[0].Seq)
	if err != nil {
		return err
	}
	w.updateStats(func(s *Stats) { s.Bytes += int64(size) })
	return nil
}

// encodeBatch encodes a batch as the body of a block, with gaps in place of missing records.
func (w *Writer) encodeBatch(batch []*Record) (*blockBody, error) {
	body := &blockBody{}
	expected := batch[0].Seq
	if from := w.output.gapFrom; from > 0 {
		if err := body.add(gapRecord(from, expected-1, w.gapReason())); err != nil {
			return nil, err
		}
	}
	for _, r := range batch {
		if r.Seq > expected { // the queue was full while this batch was gathered
			err := body.add(gapRecord(expected, r.Seq-1, queueOverflow))
			w.countGap(r.Seq - expected)
			if err != nil {
				return nil, err
			}
		}
		if err := body.add(r); err != nil {
			return nil, err
		}
		expected = r.Seq + 1
	}
	return body, nil
}

func gapRecord(from, to uint64, reason string) *Record {
	return &Record{Seq: from, Gap: &Gap{From: from, To: to, Reason: reason}}
}

func (w *Writer) gapReason() string {
	if err := w.Stats().LastError; err != "" {
		return err
	}
	return queueOverflow
}

func (w *Writer) updateStats(update func(*Stats)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	update(&w.stats)
}

func (w *Writer) countGap(lost uint64) {
	w.updateStats(func(s *Stats) {
		s.Gaps++
		s.Lost += int64(lost)
	})
}

func (w *Writer) countFailure(err error) {
	w.updateStats(func(s *Stats) {
		s.Failed++
		s.LastError = err.Error()
	})
}
