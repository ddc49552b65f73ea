package daemon

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"porthub/coordinator"
)

// Eight producers, one of which presses: nothing is lost, each one's events come in its order, and the loop that sleeps is
// woken for each, however they meet.
func TestInboxLosesNothing(t *testing.T) {
	const producers, each = 8, 20000
	b := newInbox(0, false)
	var all sync.WaitGroup
	for p := range producers {
		all.Add(1)
		go func() {
			defer all.Done()
			put := b.offer
			if p == 0 {
				put = b.press
			}
			for i := range each {
				for !put(event{inputs: []coordinator.Input{[2]int{p, i}}}) {
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
	var events []event
	for taken < producers*each && ctx.Err() == nil {
		events = b.next(ctx, events[:0], func() <-chan time.Time { return time.After(time.Hour) })
		for _, e := range events {
			in := e.inputs[0].([2]int)
			if in[1] != next[in[0]] {
				t.Fatalf("of %d came %d, not %d", in[0], in[1], next[in[0]])
			}
			next[in[0]]++
			taken++
		}
	}
	all.Wait()
	if taken != producers*each || b.len() != 0 {
		t.Errorf("%d taken, %d said to wait", taken, b.len())
	}
}

// A full plain lane refuses, and what is urgent still gets in and is taken first; a closed inbox keeps nobody.
func TestInboxLanes(t *testing.T) {
	b := newInbox(0, false)
	n := 0
	for b.offer(event{inputs: []coordinator.Input{n}}) {
		n++
	}
	if n != plainLength || b.len() != n {
		t.Errorf("%d taken in, %d said", n, b.len())
	}
	b.give("drain")
	events := b.next(context.Background(), nil, func() <-chan time.Time { return nil })
	if len(events) != batchMost || events[0].inputs[0] != "drain" || events[1].inputs[0] != 0 {
		t.Errorf("%d events, first %v, %v", len(events), events[0].inputs, events[1].inputs)
	}
	for b.press(event{}) {
	}
	b.close()
	b.give("nobody takes it") // returns
}

func BenchmarkInbox(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	box := newInbox(0, false)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var events []event
		for ctx.Err() == nil {
			events = box.next(ctx, events[:0], func() <-chan time.Time { return time.After(time.Second) })
		}
	}()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			for !box.offer(event{}) {
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
	box := make(chan event, plainLength)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var events []event
		for {
			select {
			case <-ctx.Done():
				return
			case e := <-box:
				events = append(events[:0], e)
			case <-time.After(time.Second):
			}
			for more := true; more && len(events) < batchMost; {
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
				case box <- event{}:
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
