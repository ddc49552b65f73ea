package emulator

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassZone is a request class in a zone.
type ClassZone struct{ Class, Zone string }

// Totals is the demand on a fleet and what it served.
type Totals struct {
	Requests, OnTime, Late int
	Demanded, Earned       float64 // priority weight
}

// Add returns the sum of both.
func (s Totals) Add(o Totals) Totals {
	return Totals{
		Requests: s.Requests + o.Requests,
		OnTime:   s.OnTime + o.OnTime,
		Late:     s.Late + o.Late,
		Demanded: s.Demanded + o.Demanded,
		Earned:   s.Earned + o.Earned,
	}
}

// Service is the earned part of the demanded priority weight; 1 if nothing was demanded.
func (s Totals) Service() float64 {
	if s.Demanded == 0 {
		return 1
	}
	return s.Earned / s.Demanded
}

// with returns the sum and the outcome of one more request.
func (s Totals) with(class Class, answered bool, latency time.Duration) Totals {
	s.Requests++
	s.Demanded += class.PriorityWeight
	if !answered {
		return s
	}
	if latency <= class.LatencyObjective {
		s.OnTime++
		s.Earned += class.PriorityWeight
		return s
	}
	s.Late++
	s.Earned += class.PriorityWeight * class.LateShare
	return s
}

// Tally sums up the outcomes of the requests of a run. It is safe for concurrent use.
type Tally struct {
	mu        sync.Mutex // guards all below
	cells     map[ClassZone]Totals
	seconds   []Totals // by the second in which requests arrived
	latencies *hdrhistogram.Histogram
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	const maxLatency = 60_000_000 // microseconds
	return &Tally{cells: map[ClassZone]Totals{}, latencies: hdrhistogram.New(1, maxLatency, 3)}
}

// record adds the outcome of a request that arrived at a time.
func (t *Tally) record(cell ClassZone, at time.Duration, class Class, answered bool, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	second := int(at / time.Second)
	for len(t.seconds) <= second {
		t.seconds = append(t.seconds, Totals{})
	}
	t.cells[cell] = t.cells[cell].with(class, answered, latency)
	t.seconds[second] = t.seconds[second].with(class, answered, latency)
	if answered {
		_ = t.latencies.RecordValue(max(1, latency.Microseconds()))
	}
}

// RecordLatency adds the latency of a response alone.
func (t *Tally) RecordLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latencies.RecordValue(max(1, d.Microseconds()))
}

// Totals returns the cells and their total.
func (t *Tally) Totals() (cells map[ClassZone]Totals, total Totals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sum := range t.cells {
		total = total.Add(sum)
	}
	return maps.Clone(t.cells), total
}

// WorstService is the service of the worst window of so many seconds.
func (t *Tally) WorstService(seconds int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := 1.0
	for i := 0; i+seconds <= len(t.seconds); i++ {
		worst = min(worst, serviceOf(t.seconds[i:i+seconds]))
	}
	return worst
}

// ServiceBetween is the service of the requests that arrived in the whole seconds between two times.
func (t *Tally) ServiceBetween(from, to time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := int(from / time.Second)
	last := min(len(t.seconds), int(to/time.Second))
	if first >= last {
		return serviceOf(nil)
	}
	return serviceOf(t.seconds[first:last])
}

// ServiceByWindow is the service of each window of so many seconds.
func (t *Tally) ServiceByWindow(seconds int) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []float64
	for i := 0; i < len(t.seconds); i += seconds {
		out = append(out, serviceOf(t.seconds[i:min(len(t.seconds), i+seconds)]))
	}
	return out
}

func serviceOf(seconds []Totals) float64 {
	var total Totals
	for _, s := range seconds {
		total = total.Add(s)
	}
	return total.Service()
}

// Latencies returns the latencies of responses, in microseconds, retries included.
func (t *Tally) Latencies() *hdrhistogram.Histogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hdrhistogram.Import(t.latencies.Export())
}
