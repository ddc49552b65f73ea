package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"porthub/coordinator"
)

// inbox is what waits for the core: two bounded lock-free queues that all event loops, sources and timers put into and one
// loop empties. What the node list, probes and operators say goes in by a lane of its own and is taken first: a drain
// must not wait behind thousands of reports, nor find the room taken by them.
type inbox struct {
	urgent, plain *xsync.MPMCQueue[event]
	waiting       atomic.Int64 // in the plain lane
	asleep        atomic.Bool  // the loop is about to wait, or waits, for the bell
	bell          chan struct{}
	closed        atomic.Bool
	timed         bool
}

func (b *inbox) stamp(e event) event {
	if b.timed {
		e.at = time.Now()
	}
	return e
}

// urgentLength bounds the urgent lane, plainLength is the least bound of the plain one, and batchMost is what the core takes at
// a time.
const (
	urgentLength = 8192
	plainLength  = 8192
	batchMost    = 4096
)

// newInbox makes room in the plain lane for a request of each connection: none has two on its way, so that none that polls or
// acknowledges is turned away for what others have sent. (At ten thousand gateways a step of half a second filled 8,192 places,
// and those that found none came a second later: drains were at 171% of the grace.) Reports are put off long before,
// by package intake.
//
// Timed: events are stamped, for tracing.
func newInbox(connections int, timed bool) *inbox {
	return &inbox{timed: timed, urgent: xsync.NewMPMCQueue[event](urgentLength), plain: xsync.NewMPMCQueue[event](max(plainLength, connections)),
		bell: make(chan struct{}, 1)}
}

// offer puts an event in if there is room.
func (b *inbox) offer(e event) bool {
	if !b.plain.TryEnqueue(b.stamp(e)) {
		return false
	}
	b.waiting.Add(1)
	b.wake()
	return true
}

// press puts an event into the urgent lane if there is room.
func (b *inbox) press(e event) bool {
	if !b.urgent.TryEnqueue(b.stamp(e)) {
		return false
	}
	b.wake()
	return true
}

// give puts inputs into the urgent lane and waits while it is full; for goroutines that may wait. Once the inbox is closed
// nobody takes them any more.
func (b *inbox) give(inputs ...coordinator.Input) {
	for !b.press(event{inputs: inputs}) && !b.closed.Load() {
		time.Sleep(time.Millisecond)
	}
}

// wake rings for a loop that sleeps. It is asked after the event has been put in, and the loop looks once more after it
// has said that it sleeps: one of the two sees the other.
func (b *inbox) wake() {
	if b.asleep.CompareAndSwap(true, false) {
		b.bell <- struct{}{}
	}
}

// len is how many events wait in the plain lane.
func (b *inbox) len() int { return int(max(0, b.waiting.Load())) }

func (b *inbox) take() (event, bool) {
	if e, has := b.urgent.TryDequeue(); has {
		return e, true
	}
	e, has := b.plain.TryDequeue()
	if has {
		b.waiting.Add(-1)
	}
	return e, has
}

// next waits until there is an event, the time has come or the context ends, and takes what there is, up to a batch.
func (b *inbox) next(ctx context.Context, events []event, wait func() <-chan time.Time) []event {
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

func (b *inbox) drain(events []event) []event {
	for len(events) < batchMost {
		e, has := b.take()
		if !has {
			break
		}
		events = append(events, e)
	}
	return events
}

// close lets nobody wait any more.
func (b *inbox) close() { b.closed.Store(true) }
