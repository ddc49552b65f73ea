// Package inbox is what waits for a goroutine that owns some state: two bounded lock-free lanes, one of them urgent.
package inbox

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
)

// Inbox is what waits for the owner: two bounded lock-free queues that all event loops, sources and timers put into and one
// loop empties. What the node list, probes and operators say goes in by a lane of its own and is taken first: a drain
// must not wait behind thousands of reports, nor find the room taken by them.
type Inbox[T any] struct {
	urgent, plain *xsync.MPMCQueue[T]
	waiting       atomic.Int64 // in the plain lane
	asleep        atomic.Bool  // the loop is about to wait, or waits, for the bell
	bell          chan struct{}
	closed        atomic.Bool
	stamp         func(T) T // nil: events go in as they are
}

// BatchMost is what the owner takes at a time.
const BatchMost = 4096

// New makes an inbox whose lanes have so many places. Stamp, if there is one, is asked for each event as it goes in.
func New[T any](urgent, plain int, stamp func(T) T) *Inbox[T] {
	return &Inbox[T]{stamp: stamp, urgent: xsync.NewMPMCQueue[T](urgent), plain: xsync.NewMPMCQueue[T](plain), bell: make(chan struct{}, 1)}
}

func (b *Inbox[T]) stamped(e T) T {
	if b.stamp != nil {
		return b.stamp(e)
	}
	return e
}

// Offer puts an event in if there is room.
func (b *Inbox[T]) Offer(e T) bool {
	if !b.plain.TryEnqueue(b.stamped(e)) {
		return false
	}
	b.waiting.Add(1)
	b.wake()
	return true
}

// Press puts an event into the urgent lane if there is room.
func (b *Inbox[T]) Press(e T) bool {
	if !b.urgent.TryEnqueue(b.stamped(e)) {
		return false
	}
	b.wake()
	return true
}

// Give puts an event into the urgent lane and waits while it is full; for goroutines that may wait. Once the inbox is closed
// nobody takes them any more.
func (b *Inbox[T]) Give(e T) {
	for !b.Press(e) && !b.closed.Load() {
		time.Sleep(time.Millisecond)
	}
}

// wake rings for a loop that sleeps. It is asked after the T has been put in, and the loop looks once more after it
// has said that it sleeps: one of the two sees the other.
func (b *Inbox[T]) wake() {
	if b.asleep.CompareAndSwap(true, false) {
		b.bell <- struct{}{}
	}
}

// Len is how many events wait in the plain lane.
func (b *Inbox[T]) Len() int { return int(max(0, b.waiting.Load())) }

func (b *Inbox[T]) take() (T, bool) {
	if e, has := b.urgent.TryDequeue(); has {
		return e, true
	}
	e, has := b.plain.TryDequeue()
	if has {
		b.waiting.Add(-1)
	}
	return e, has
}

// Next waits until there is an event, the time has come or the context ends, and takes what there is, up to a batch.
func (b *Inbox[T]) Next(ctx context.Context, events []T, wait func() <-chan time.Time) []T {
	events = b.drain(events)
	timer := wait()
	if len(events) > 0 || timer == nil {
		return events
	}
	b.asleep.Store(true)
	if events = b.drain(events); len(events) == 0 {
		select {
		case <-ctx.Done():
		case <-timer:
		case <-b.bell:
			return b.drain(events)
		}
	}
	if !b.asleep.CompareAndSwap(true, false) {
		<-b.bell // somebody rings, or has rung
	}
	return b.drain(events)
}

func (b *Inbox[T]) drain(events []T) []T {
	for len(events) < BatchMost {
		e, has := b.take()
		if !has {
			break
		}
		events = append(events, e)
	}
	return events
}

// Close lets nobody wait any more.
func (b *Inbox[T]) Close() { b.closed.Store(true) }
