package mailbox

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"
)

const normalCapacity = 8192

// Eight producers, one of them urgent: no event is lost, each producer's events come in order, and a waiting owner is woken for each.
func TestMailboxLosesNothing(t *testing.T) {
	const producers, eventsOfEach = 8, 20000
	m := New[[2]int](normalCapacity, normalCapacity, nil)
	var producersDone sync.WaitGroup
	for producer := range producers {
		producersDone.Add(1)
		go func() {
			defer producersDone.Done()
			put := m.TryPut
			if producer == 0 {
				put = m.TryPutUrgent
			}
			for i := range eventsOfEach {
				for !put([2]int{producer, i}) {
					runtime.Gosched() // the lane is full
				}
				if i%64 == 0 {
					time.Sleep(time.Microsecond) // the owner waits now and then
				}
			}
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	next, taken := [producers]int{}, 0
	var events [][2]int
	for taken < producers*eventsOfEach && ctx.Err() == nil {
		events = m.Next(ctx, events[:0], func() <-chan time.Time { return time.After(time.Hour) })
		for _, e := range events {
			producer, event := e[0], e[1]
			if event != next[producer] {
				t.Fatalf("producer %d: event %d, want %d", producer, event, next[producer])
			}
			next[producer]++
			taken++
		}
	}
	producersDone.Wait()
	if taken != producers*eventsOfEach || m.Len() != 0 {
		t.Errorf("%d events taken, length %d", taken, m.Len())
	}
}

// A full normal lane rejects events, while urgent ones still get in and come first; PutUrgent does not wait on a closed mailbox.
func TestMailboxLanes(t *testing.T) {
	m := New[[2]int](normalCapacity, normalCapacity, nil)
	n := 0
	for m.TryPut([2]int{0, n}) {
		n++
	}
	if n != normalCapacity || m.Len() != n {
		t.Errorf("%d events put, length %d", n, m.Len())
	}
	m.PutUrgent([2]int{1, 0})
	events := m.Next(context.Background(), nil, func() <-chan time.Time { return nil })
	if len(events) != MaxBatch || events[0] != [2]int{1, 0} || events[1] != [2]int{0, 0} {
		t.Errorf("%d events, first %v, %v", len(events), events[0], events[1])
	}
	for m.TryPutUrgent([2]int{}) {
	}
	m.Close()
	m.PutUrgent([2]int{}) // returns though the lane is full
}

func BenchmarkMailbox(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	mailbox := New[[2]int](normalCapacity, normalCapacity, nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var events [][2]int
		for ctx.Err() == nil {
			events = mailbox.Next(ctx, events[:0], func() <-chan time.Time { return time.After(time.Second) })
		}
	}()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			for !mailbox.TryPut([2]int{}) {
				runtime.Gosched()
			}
		}
	})
	cancel()
	<-ended
}

// BenchmarkChannel is a plain channel, for comparison.
func BenchmarkChannel(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	mailbox := make(chan [2]int, normalCapacity)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var events [][2]int
		for {
			select {
			case <-ctx.Done():
				return
			case e := <-mailbox:
				events = append(events[:0], e)
			case <-time.After(time.Second):
			}
			for more := true; more && len(events) < MaxBatch; {
				select {
				case e := <-mailbox:
					events = append(events, e)
				default:
					more = false
				}
			}
		}
	}()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			for sent := false; !sent; {
				select {
				case mailbox <- [2]int{}:
					sent = true
				default:
					runtime.Gosched()
				}
			}
		}
	})
	cancel()
	<-ended
}
