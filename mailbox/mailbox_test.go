package mailbox

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"
)

const normalCapacity = 8192

// Eight producers, one of which presses: nothing is lost, each one's events come in its order, and the loop that sleeps is
// woken for each, however they meet.
func TestInboxLosesNothing(t *testing.T) {
	const producers, each = 8, 20000
	b := New[[2]int](normalCapacity, normalCapacity, nil)
	var all sync.WaitGroup
	for p := range producers {
		all.Add(1)
		go func() {
			defer all.Done()
			put := b.TryPut
			if p == 0 {
				put = b.TryPutUrgent
			}
			for i := range each {
				for !put([2]int{p, i}) {
					runtime.Gosched() // full
				}
				if i%64 == 0 {
					time.Sleep(time.Microsecond) // the loop falls asleep now and then
				}
			}
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	next, taken := [producers]int{}, 0
	var events [][2]int
	for taken < producers*each && ctx.Err() == nil {
		events = b.Next(ctx, events[:0], func() <-chan time.Time { return time.After(time.Hour) })
		for _, e := range events {
			in := e
			if in[1] != next[in[0]] {
				t.Fatalf("of %d came %d, not %d", in[0], in[1], next[in[0]])
			}
			next[in[0]]++
			taken++
		}
	}
	all.Wait()
	if taken != producers*each || b.Len() != 0 {
		t.Errorf("%d taken, %d said to wait", taken, b.Len())
	}
}

// A full plain lane refuses, and what is urgent still gets in and is taken first; a closed inbox keeps nobody.
func TestInboxLanes(t *testing.T) {
	b := New[[2]int](normalCapacity, normalCapacity, nil)
	n := 0
	for b.TryPut([2]int{0, n}) {
		n++
	}
	if n != normalCapacity || b.Len() != n {
		t.Errorf("%d taken in, %d said", n, b.Len())
	}
	b.PutUrgent([2]int{1, 0})
	events := b.Next(context.Background(), nil, func() <-chan time.Time { return nil })
	if len(events) != MaxBatch || events[0] != [2]int{1, 0} || events[1] != [2]int{0, 0} {
		t.Errorf("%d events, first %v, %v", len(events), events[0], events[1])
	}
	for b.TryPutUrgent([2]int{}) {
	}
	b.Close()
	b.PutUrgent([2]int{}) // nobody takes it: it returns
}

func BenchmarkInbox(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	box := New[[2]int](normalCapacity, normalCapacity, nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var events [][2]int
		for ctx.Err() == nil {
			events = box.Next(ctx, events[:0], func() <-chan time.Time { return time.After(time.Second) })
		}
	}()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			for !box.TryPut([2]int{}) {
				runtime.Gosched()
			}
		}
	})
	cancel()
	<-ended
}

// BenchmarkChannel is what the inbox was before.
func BenchmarkChannel(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	box := make(chan [2]int, normalCapacity)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var events [][2]int
		for {
			select {
			case <-ctx.Done():
				return
			case e := <-box:
				events = append(events[:0], e)
			case <-time.After(time.Second):
			}
			for more := true; more && len(events) < MaxBatch; {
				select {
				case e := <-box:
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
				case box <- [2]int{}:
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
