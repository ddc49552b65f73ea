package inbound

import "time"

// Buffer holds the received bytes of a connection that are not processed yet. Bytes that are processed as soon as they arrive are not
// copied, and an empty buffer takes no memory.
type Buffer struct {
	account *Account
	arrived []byte // the chunk of the present Add if nothing was held before; the caller's memory
	data    []byte // held bytes
	start   int    // index of the first byte of data that is not processed
	inUse   bool   // the caller processes bytes: Add was called, and Consume not yet
}

// NewBuffer returns an empty buffer. The function evict must close the connection without waiting.
func (b *Budget) NewBuffer(evict func()) *Buffer {
	return &Buffer{account: b.NewAccount(evict)}
}

// Add adds received bytes and returns all that are not processed. The caller processes some of them and calls Consume before the chunk's
// memory is used again.
func (b *Buffer) Add(now time.Time, chunk []byte) []byte {
	b.inUse = true
	if len(b.data) == 0 {
		b.arrived = chunk
		return chunk
	}
	if len(chunk) > 0 {
		if len(b.data)+len(chunk) > cap(b.data) {
			b.replace(max(2*len(b.data), len(b.data)+len(chunk)))
		}
		b.data = append(b.data, chunk...)
		b.account.Set(now, cap(b.data))
	}
	return b.data[b.start:]
}

// Consume removes the first bytes of those that Add returned and keeps the others. The removed bytes must not be used any more.
func (b *Buffer) Consume(now time.Time, processed int) {
	b.inUse = false
	switch {
	case b.account.closed:
	case len(b.data) > 0:
		b.start += processed
		if rest := len(b.data) - b.start; processed > 0 && rest <= cap(b.data)/2 { // halves the memory at least
			b.replace(rest)
		}
	case processed < len(b.arrived):
		rest := b.arrived[processed:]
		b.data = append(b.pool().get(len(rest)), rest...)
	}
	b.arrived = nil
	if processed > 0 {
		b.account.Progress(now)
	}
	b.account.Set(now, cap(b.data))
}

// replace moves the bytes that are not processed to memory with at least the given capacity, or releases the memory if it is 0.
func (b *Buffer) replace(capacity int) {
	old := b.data
	b.data = nil
	if capacity > 0 {
		b.data = append(b.pool().get(capacity), old[b.start:]...)
	}
	b.start = 0
	b.pool().put(old)
}

func (b *Buffer) pool() *memoryPool { return &b.account.budget.memory }

// Len returns the number of bytes that are not processed.
func (b *Buffer) Len() int { return max(len(b.arrived), len(b.data)-b.start) }

// Evicted reports whether the connection is being closed in favor of others.
func (b *Buffer) Evicted() bool { return b.account.Evicted() }

// Close releases the bytes. It must be called when the connection is closed. An event loop that closes a connection while it processes
// the connection's bytes may use them until it calls Consume.
func (b *Buffer) Close() {
	if !b.inUse {
		b.pool().put(b.data)
	}
	b.data = nil
	b.start = 0
	b.account.Close()
}
