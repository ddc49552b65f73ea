package mailbox

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
)

// Mailbox has two bounded lock-free queues. Any goroutine may put events in; one goroutine, the owner, takes them out with Next.
// The urgent lane is for events such as the endpoint list, health checks and the commands of operators. It is emptied first and
// holds no reports, so that a drain neither waits behind thousands of reports nor finds its lane filled by them.
type Mailbox[T any] struct {
	urgent, normal *xsync.MPMCQueue[T]
	normalLen      atomic.Int64
	ownerWaits     atomic.Bool   // the owner waits for wakeUp, or is about to
	wakeUp         chan struct{} // buffers one signal
	closed         atomic.Bool
	stamp          func(T) T // applied to each event as it is put in; may be nil
}

const (
	// MaxBatch is the maximum number of events that Next returns.
	MaxBatch = 4096
	// retryInterval is the time between two attempts of PutUrgent.
	retryInterval = time.Millisecond
)

// New returns a Mailbox whose lanes have the given capacities. If stamp is not nil, it is applied to each event as the event is
// put in.
func New[T any](urgent, normal int, stamp func(T) T) *Mailbox[T] {
	return &Mailbox[T]{
		urgent: xsync.NewMPMCQueue[T](urgent),
		normal: xsync.NewMPMCQueue[T](normal),
		wakeUp: make(chan struct{}, 1),
		stamp:  stamp,
	}
}

func (m *Mailbox[T]) stamped(e T) T {
	if m.stamp != nil {
		return m.stamp(e)
	}
	return e
}

// TryPut puts an event into the normal lane without waiting. It returns false if the event was not put in: the lane is full, or
// another producer has taken the place between the queue's load of its head and its compare-and-swap. The latter can happen in a
// lane with free places, and only if several goroutines put events into it.
func (m *Mailbox[T]) TryPut(e T) bool {
	if !m.normal.TryEnqueue(m.stamped(e)) {
		return false
	}
	m.normalLen.Add(1)
	m.wake()
	return true
}

// TryPutUrgent puts an event into the urgent lane without waiting. It returns false in the same cases as TryPut: the lane is full,
// or another producer has taken the place, even if other places are free.
func (m *Mailbox[T]) TryPutUrgent(e T) bool {
	if !m.urgent.TryEnqueue(m.stamped(e)) {
		return false
	}
	m.wake()
	return true
}

// PutUrgent puts an event into the urgent lane. It retries every retryInterval while TryPutUrgent returns false. If the mailbox is
// closed, it returns after an attempt that fails, and the event is lost.
func (m *Mailbox[T]) PutUrgent(e T) {
	for !m.TryPutUrgent(e) && !m.closed.Load() {
		time.Sleep(retryInterval)
	}
}

// wake wakes a waiting owner. It is called after an event has been put in, and the owner checks the lanes again after setting
// ownerWaits: either the owner finds the event or wake finds ownerWaits set.
func (m *Mailbox[T]) wake() {
	if m.ownerWaits.CompareAndSwap(true, false) {
		m.wakeUp <- struct{}{}
	}
}

// Len returns the number of events in the normal lane. It may be called from any goroutine.
func (m *Mailbox[T]) Len() int { return int(max(0, m.normalLen.Load())) }

func (m *Mailbox[T]) dequeue() (T, bool) {
	if e, has := m.urgent.TryDequeue(); has {
		return e, true
	}
	e, has := m.normal.TryDequeue()
	if has {
		m.normalLen.Add(-1)
	}
	return e, has
}

// Next appends the events in the mailbox to events, up to a total of MaxBatch, and returns the result. If there are none, it
// waits for an event, for the channel that wait returns, or for the end of the context; if the channel is nil, it does not wait.
// Only the owner may call it.
func (m *Mailbox[T]) Next(ctx context.Context, events []T, wait func() <-chan time.Time) []T {
	events = m.drain(events)
	timer := wait()
	if len(events) > 0 || timer == nil {
		return events
	}
	m.ownerWaits.Store(true)
	events = m.drain(events)
	if len(events) == 0 {
		select {
		case <-ctx.Done():
		case <-timer:
		case <-m.wakeUp:
			return m.drain(events)
		}
	}
	if !m.ownerWaits.CompareAndSwap(true, false) {
		<-m.wakeUp // a producer has sent the signal, or is about to
	}
	return m.drain(events)
}

func (m *Mailbox[T]) drain(events []T) []T {
	for len(events) < MaxBatch {
		e, has := m.dequeue()
		if !has {
			break
		}
		events = append(events, e)
	}
	return events
}

// Close releases the goroutines that retry in PutUrgent.
func (m *Mailbox[T]) Close() { m.closed.Store(true) }
