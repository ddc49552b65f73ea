package emulator

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassZone identifies the requests of a class in a zone.
type ClassZone struct{ Class, Zone string }

// Totals sums up requests and their outcomes.
type Totals struct {
	Requests, OnTime, Late int
	Demanded, Earned       float64 // priority weight of all requests, and the part that was earned by responses
}

// Add returns the sum of two totals.
func (t Totals) Add(o Totals) Totals {
	return Totals{
		Requests: t.Requests + o.Requests,
		OnTime:   t.OnTime + o.OnTime,
		Late:     t.Late + o.Late,
		Demanded: t.Demanded + o.Demanded,
		Earned:   t.Earned + o.Earned,
	}
}

// Service returns the fraction of the demanded priority weight that was earned, or 1 if there was no demand.
func (t Totals) Service() float64 {
	if t.Demanded == 0 {
		return 1
	}
	return t.Earned / t.Demanded
}

// with returns the totals with the outcome of one more request added.
func (t Totals) with(class Class, answered bool, latency time.Duration) Totals {
	t.Requests++
	t.Demanded += class.PriorityWeight
	if !answered {
		return t
	}
	if latency <= class.LatencyObjective {
		t.OnTime++
		t.Earned += class.PriorityWeight
		return t
	}
	t.Late++
	t.Earned += class.PriorityWeight * class.LateShare
	return t
}

// Tally sums up the outcomes of the requests of a run. It is safe for concurrent use.
type Tally struct {
	mu        sync.Mutex // guards the fields below
	totals    map[ClassZone]Totals
	seconds   []Totals // by the second in which requests arrived
	latencies *hdrhistogram.Histogram
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	const maxLatency = 60_000_000 // in microseconds
	return &Tally{totals: map[ClassZone]Totals{}, latencies: hdrhistogram.New(1, maxLatency, 3)}
}

// record adds the outcome of a request that arrived at the given time.
func (t *Tally) record(key ClassZone, at time.Duration, class Class, answered bool, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	second := int(at / time.Second)
	for len(t.seconds) <= second {
		t.seconds = append(t.seconds, Totals{})
	}
	t.totals[key] = t.totals[key].with(class, answered, latency)
	t.seconds[second] = t.seconds[second].with(class, answered, latency)
	if answered {
		_ = t.latencies.RecordValue(max(1, latency.Microseconds()))
	}
}

// RecordLatency adds a latency to the histogram without counting a request.
func (t *Tally) RecordLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latencies.RecordValue(max(1, d.Microseconds()))
}

// Totals returns the totals of each class and zone, and their sum.
func (t *Tally) Totals() (byClassZone map[ClassZone]Totals, total Totals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, totals := range t.totals {
		total = total.Add(totals)
	}
	return maps.Clone(t.totals), total
}

// WorstService returns the lowest service in any window of the given number of seconds.
func (t *Tally) WorstService(seconds int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := 1.0
	for i := 0; i+seconds <= len(t.seconds); i++ {
		worst = min(worst, serviceOf(t.seconds[i:i+seconds]))
	}
	return worst
}

// ServiceBetween returns the service of the requests that arrived in the whole seconds between two times.
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

// ServiceByWindow returns the service in consecutive windows of the given number of seconds. The last one may be shorter.
func (t *Tally) ServiceByWindow(seconds int) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var services []float64
	for i := 0; i < len(t.seconds); i += seconds {
		services = append(services, serviceOf(t.seconds[i:min(len(t.seconds), i+seconds)]))
	}
	return services
}

func serviceOf(seconds []Totals) float64 {
	var total Totals
	for _, s := range seconds {
		total = total.Add(s)
	}
	return total.Service()
}

// Latencies returns the histogram of response latencies in microseconds. They include the time of retries.
func (t *Tally) Latencies() *hdrhistogram.Histogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hdrhistogram.Import(t.latencies.Export())
}
