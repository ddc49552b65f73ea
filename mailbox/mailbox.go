// Package mailbox holds the events that wait for a goroutine that owns some state, in two bounded lock-free queues, one of them urgent.
package mailbox

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
)

// Mailbox has two bounded lock-free queues: many goroutines put events in, one owner takes them out. The urgent queue, for the
// endpoint list, probes and operators, is emptied first: a drain must not wait behind thousands of reports, nor find the room
// taken by them.
type Mailbox[T any] struct {
	urgent, normal *xsync.MPMCQueue[T]
	normalLen      atomic.Int64 // events in the plain queue
	ownerWaits     atomic.Bool  // the owner is about to wait, or waits, for the bell
	wakeUp         chan struct{}
	closed         atomic.Bool
	stamp          func(T) T // nil: events go in as they are
}

// MaxBatch is how many events the owner takes at a time.
const MaxBatch = 4096

// New makes an inbox whose queues have so many places. Each event is passed through stamp, unless that is nil, as it goes in.
func New[T any](urgent, normal int, stamp func(T) T) *Mailbox[T] {
	return &Mailbox[T]{stamp: stamp, urgent: xsync.NewMPMCQueue[T](urgent), normal: xsync.NewMPMCQueue[T](normal), wakeUp: make(chan struct{}, 1)}
}

func (b *Mailbox[T]) stamped(e T) T {
	if b.stamp != nil {
		return b.stamp(e)
	}
	return e
}

// TryPut puts an event into the plain queue and tells whether there was room.
func (b *Mailbox[T]) TryPut(e T) bool {
	if !b.normal.TryEnqueue(b.stamped(e)) {
		return false
	}
	b.normalLen.Add(1)
	b.wake()
	return true
}

// TryPutUrgent puts an event into the urgent queue and tells whether there was room.
func (b *Mailbox[T]) TryPutUrgent(e T) bool {
	if !b.urgent.TryEnqueue(b.stamped(e)) {
		return false
	}
	b.wake()
	return true
}

// PutUrgent puts an event into the urgent queue and waits while that is full. Once the inbox is closed it returns at once, and the
// event is lost.
func (b *Mailbox[T]) PutUrgent(e T) {
	for !b.TryPutUrgent(e) && !b.closed.Load() {
		time.Sleep(time.Millisecond)
	}
}

// wake rings for a loop that sleeps. It is asked after the T has been put in, and the loop looks once more after it
// has said that it sleeps: one of the two sees the other.
func (b *Mailbox[T]) wake() {
	if b.ownerWaits.CompareAndSwap(true, false) {
		b.wakeUp <- struct{}{}
	}
}

// Len returns how many events wait in the plain queue.
func (b *Mailbox[T]) Len() int { return int(max(0, b.normalLen.Load())) }

func (b *Mailbox[T]) dequeue() (T, bool) {
	if e, has := b.urgent.TryDequeue(); has {
		return e, true
	}
	e, has := b.normal.TryDequeue()
	if has {
		b.normalLen.Add(-1)
	}
	return e, has
}

// Next waits until there is an event, the time has come or the context ends, and takes what there is, up to a batch.
func (b *Mailbox[T]) Next(ctx context.Context, events []T, wait func() <-chan time.Time) []T {
	events = b.drain(events)
	timer := wait()
	if len(events) > 0 || timer == nil {
		return events
	}
	b.ownerWaits.Store(true)
	if events = b.drain(events); len(events) == 0 {
		select {
		case <-ctx.Done():
		case <-timer:
		case <-b.wakeUp:
			return b.drain(events)
		}
	}
	if !b.ownerWaits.CompareAndSwap(true, false) {
		<-b.wakeUp // somebody rings, or has rung
	}
	return b.drain(events)
}

func (b *Mailbox[T]) drain(events []T) []T {
	for len(events) < MaxBatch {
		e, has := b.dequeue()
		if !has {
			break
		}
		events = append(events, e)
	}
	return events
}

// Close ends the waiting of all that put events in.
func (b *Mailbox[T]) Close() { b.closed.Store(true) }
