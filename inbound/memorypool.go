package inbound

import (
	"math/bits"
	"sync"
)

const (
	// freeDivisor defines the fraction of a budget's limit that is kept for later buffers.
	freeDivisor = 2
	// minPooledBytes is the size from which memory is used again. Smaller buffers are left to the garbage collector.
	minPooledBytes = 32 << 10
)

// memoryPool keeps the memory of buffers that are no longer used. Clients that connect, send large messages and are closed would
// otherwise make garbage faster than it is collected. The zero value keeps nothing; it is safe for concurrent use.
type memoryPool struct {
	limit int // bytes that are kept at most

	mu   sync.Mutex // guards the fields below
	kept int
	free [bits.UintSize][][]byte // by the binary logarithm of the capacity, which is a power of two
}

// get returns an empty slice with at least the given capacity.
func (p *memoryPool) get(capacity int) []byte {
	if capacity < minPooledBytes {
		return make([]byte, 0, capacity)
	}
	class := bits.Len(uint(capacity - 1))
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.free[class]) - 1; last >= 0 {
		memory := p.free[class][last]
		p.free[class] = p.free[class][:last]
		p.kept -= cap(memory)
		return memory
	}
	return make([]byte, 0, 1<<class)
}

// put takes back memory that get returned and that nobody uses any more.
func (p *memoryPool) put(memory []byte) {
	if cap(memory) < minPooledBytes {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept+cap(memory) > p.limit {
		return
	}
	class := bits.Len(uint(cap(memory) - 1))
	p.free[class] = append(p.free[class], memory[:0])
	p.kept += cap(memory)
}
