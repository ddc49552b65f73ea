package mailbox

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"
)

const normalCapacity = 8192

// With eight producers, one of which uses the urgent lane, no event is lost, the events of each producer are returned in order, and
// a waiting owner is woken.
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
					runtime.Gosched() // the lane is full, or another producer has taken the place
				}
				if i%64 == 0 {
					time.Sleep(time.Microsecond) // lets the owner empty the lanes and wait
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
				t.Fatalf("producer %d: got event %d, want %d", producer, event, next[producer])
			}
			next[producer]++
			taken++
		}
	}
	producersDone.Wait()
	if taken != producers*eventsOfEach || m.Len() != 0 {
		t.Errorf("got %d events with %d left, want %d with none left", taken, m.Len(), producers*eventsOfEach)
	}
}

// A full normal lane rejects events, while urgent events are still accepted and returned first. PutUrgent does not wait on a closed
// mailbox.
func TestMailboxLanes(t *testing.T) {
	m := New[[2]int](normalCapacity, normalCapacity, nil)
	n := 0
	for m.TryPut([2]int{0, n}) {
		n++
	}
	if n != normalCapacity || m.Len() != n {
		t.Errorf("got %d accepted events and length %d, want %d", n, m.Len(), normalCapacity)
	}
	m.PutUrgent([2]int{1, 0})
	events := m.Next(context.Background(), nil, func() <-chan time.Time { return nil })
	if len(events) != MaxBatch || events[0] != [2]int{1, 0} || events[1] != [2]int{0, 0} {
		t.Errorf("got %d events, first %v and %v, want %d with the urgent event first", len(events), events[0], events[1], MaxBatch)
	}
	for m.TryPutUrgent([2]int{}) {
	}
	m.Close()
	m.PutUrgent([2]int{}) // must return although the lane is full
}

// BenchmarkMailbox measures TryPut from several goroutines while the owner takes the events out.
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

// BenchmarkChannel measures a plain channel, for comparison with BenchmarkMailbox.
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
