package inbound

import (
	"slices"
	"time"
)

// Buffer holds the received bytes of a connection that are not processed yet. Bytes that are processed as soon as they arrive are not
// copied, and an empty buffer takes no memory.
type Buffer struct {
	account *Account
	arrived []byte // the chunk of the present Add if nothing was held before; the caller's memory
	data    []byte // held bytes
	start   int    // index of the first byte of data that is not processed
}

// NewBuffer returns an empty buffer. The function evict must close the connection without waiting.
func (b *Budget) NewBuffer(evict func()) *Buffer {
	return &Buffer{account: b.NewAccount(evict)}
}

// Add adds received bytes and returns all that are not processed. The caller processes some of them and calls Consume before the chunk's
// memory is used again.
func (b *Buffer) Add(now time.Time, chunk []byte) []byte {
	if len(b.data) == 0 {
		b.arrived = chunk
		return chunk
	}
	if len(chunk) > 0 {
		if missing := len(b.data) + len(chunk) - cap(b.data); missing > 0 {
			b.data = slices.Grow(b.data, max(len(chunk), len(b.data))) // doubles it: less garbage than append leaves
		}
		b.data = append(b.data, chunk...)
		b.account.Set(now, cap(b.data))
	}
	return b.data[b.start:]
}

// Consume removes the first bytes of those that Add returned and keeps the others.
func (b *Buffer) Consume(now time.Time, processed int) {
	switch {
	case b.account.closed:
	case len(b.data) > 0:
		b.start += processed
		if rest := b.data[b.start:]; len(rest) <= cap(b.data)/2 && processed > 0 {
			b.data = append([]byte(nil), rest...) // halves the memory at least
			b.start = 0
		}
	case processed < len(b.arrived):
		b.data = append([]byte(nil), b.arrived[processed:]...)
	}
	b.arrived = nil
	if processed > 0 {
		b.account.Progress(now)
	}
	b.account.Set(now, cap(b.data))
}

// Len returns the number of bytes that are not processed.
func (b *Buffer) Len() int { return max(len(b.arrived), len(b.data)-b.start) }

// Evicted reports whether the connection is being closed in favor of others.
func (b *Buffer) Evicted() bool { return b.account.Evicted() }

// Close releases the bytes. It must be called when the connection is closed.
func (b *Buffer) Close() {
	b.data = nil
	b.start = 0
	b.account.Close()
}
