package proxyserver

import (
	"container/heap"

	"porthub/policyapi"
)

// timer is a timer that the decision module has set.
type timer struct {
	at    policyapi.Microseconds
	order int // position in the order in which timers were set
	token policyapi.TimerToken
}

// timerQueue contains the timers of the decision module, ordered by time, and for the same time by when they were set.
type timerQueue struct {
	heap  timerHeap
	count int // number of timers that were ever set
}

// set adds a timer.
func (q *timerQueue) set(at policyapi.Microseconds, token policyapi.TimerToken) {
	q.count++
	heap.Push(&q.heap, timer{at, q.count, token})
}

// next returns the time at which the first timer fires, or false if no timer is set.
func (q *timerQueue) next() (at policyapi.Microseconds, has bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// popDue removes the first timer and returns its token if it is due.
func (q *timerQueue) popDue(now policyapi.Microseconds) (policyapi.TimerToken, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return 0, false
	}
	first, _ := heap.Pop(&q.heap).(timer)
	return first.token, true
}

// clear removes all timers.
func (q *timerQueue) clear() { q.heap = nil }

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h *timerHeap) Len() int { return len(*h) }

func (h *timerHeap) Less(i, j int) bool {
	a, b := &(*h)[i], &(*h)[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (h *timerHeap) Swap(i, j int) { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push adds a timer; timerQueue pushes no other type.
func (h *timerHeap) Push(x any) {
	if t, is := x.(timer); is {
		*h = append(*h, t)
	}
}

// Pop removes the last element.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
